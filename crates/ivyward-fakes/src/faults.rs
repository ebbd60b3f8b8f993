//! Faults of a fake engine. A test script sets them while the engine runs.

/// A response that violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The response states another engine's id.
    WrongId,
    /// The response is not a valid message.
    Malformed,
    /// The response announces a message that exceeds every size limit.
    Oversized,
    /// The second token is sent before the first.
    OutOfOrder,
    /// The first token is sent twice.
    DuplicateToken,
    /// Tokens are sent after the final message.
    TokensAfterEnd,
    /// The stream is reset after its second token.
    StreamReset,
    /// The stream stalls after its second token.
    StreamStalled,
    /// The response is the gRPC status RESOURCE_EXHAUSTED, which does not prove that the attempt had no effect.
    StatusExhausted,
    /// The response ends with status OK but without a final message.
    MissingFinalMessage,
}

/// Faults of an engine; none by default. Fields that are shares give the probability, from 0 to 1, that a call is affected.
/// Each call is drawn from a seeded generator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// The engine accepts connections but neither processes calls nor responds.
    pub hang: bool,
    /// Share of calls that are accepted but neither run nor answered.
    pub stall: f64,
    /// Share of calls that run but are never answered.
    pub lose_answer: f64,
    /// Share of calls whose stream is reset after the attempt may have run.
    pub reset: f64,
    /// Share of calls whose stream is reset with REFUSED_STREAM before the attempt runs.
    pub refuse_stream: f64,
    /// Share of calls that are rejected as if the engine were full.
    pub reject: f64,
    /// Share of calls that are answered with `response_fault`.
    pub malformed: f64,
    /// How the responses of these calls violate the protocol; `None` for no violation.
    pub response_fault: Option<ResponseFault>,
    /// Factor by which all processing takes longer; 0 means 1.
    pub slowdown: f64,
    /// Factor by which fetches of KV states from this engine take longer; 0 means 1.
    pub fetch_slowdown: f64,
    /// Every KV state is lost when another engine tries to fetch it.
    pub drop_states: bool,
}

impl Faults {
    pub(crate) fn slowdown_factor(&self) -> f64 {
        if self.slowdown > 0.0 {
            self.slowdown
        } else {
            1.0
        }
    }
    pub(crate) fn fetch_slowdown_factor(&self) -> f64 {
        if self.fetch_slowdown > 0.0 {
            self.fetch_slowdown
        } else {
            1.0
        }
    }
}
