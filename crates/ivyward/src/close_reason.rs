//! Why a node closes a client's connection.

/// Why a client connection was closed; counted as `ivyward_client_closes_total{reason}` and logged with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or it broke.
    ClientDisconnected,
    /// No request came in time, or the connection made room for another one.
    Idle,
    /// The request was answered with an error after which the connection cannot be used.
    InvalidRequest,
    /// The request or its answer asked for the close.
    CloseRequested,
    /// More bytes followed a request than are buffered.
    Pipelined,
    /// The answer broke off, or the client read no byte of it for too long.
    ResponseBroken,
    /// The node stops.
    Stopping,
}

impl CloseReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [CloseReason; 7] = [
        CloseReason::ClientDisconnected,
        CloseReason::Idle,
        CloseReason::InvalidRequest,
        CloseReason::CloseRequested,
        CloseReason::Pipelined,
        CloseReason::ResponseBroken,
        CloseReason::Stopping,
    ];

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_left",
            CloseReason::Idle => "idle",
            CloseReason::InvalidRequest => "invalid_request",
            CloseReason::CloseRequested => "asked",
            CloseReason::Pipelined => "pipelined",
            CloseReason::ResponseBroken => "answer_broken",
            CloseReason::Stopping => "stopping",
        }
    }
}
