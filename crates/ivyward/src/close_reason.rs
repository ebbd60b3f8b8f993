//! The reasons for which client connections are closed.

/// Why a client connection was closed. Counted in `ivyward_client_closes_total{reason}` and logged with the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed the connection, or the connection broke.
    ClientDisconnected,
    /// No request arrived in time, or the idle connection was closed in favour of a new one at the connection limit.
    Idle,
    /// The request was answered with an error after which the connection cannot be reused.
    InvalidRequest,
    /// The request or its response asked for the connection to be closed.
    CloseRequested,
    /// The client sent more bytes after a request than the node buffers.
    Pipelined,
    /// The response could not be completed, or the client read no byte of it for too long.
    ResponseBroken,
    /// The node is stopping.
    Stopping,
}

impl CloseReason {
    /// All reasons, in the order of their declaration, which is that of [`Metrics::client_closes`](crate::metrics::Metrics).
    pub const ALL: [CloseReason; 7] = [
        CloseReason::ClientDisconnected,
        CloseReason::Idle,
        CloseReason::InvalidRequest,
        CloseReason::CloseRequested,
        CloseReason::Pipelined,
        CloseReason::ResponseBroken,
        CloseReason::Stopping,
    ];

    /// The name of the reason in metrics and logs.
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
