//! What may be wrong with an engine. A script sets it while the engine runs.

/// An answer that is not what was agreed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// Another engine's id.
    WrongId,
    /// Bytes that are no message.
    Malformed,
    /// A message over any limit.
    Oversized,
    /// The second token before the first.
    OutOfOrder,
    /// The first token twice.
    DuplicateToken,
    /// Tokens after the last word.
    TokensAfterEnd,
    /// The stream is reset after its second token.
    StreamReset,
    /// The stream stands still after its second token.
    StreamStalled,
    /// A status instead of an answer: gRPC's RESOURCE_EXHAUSTED, which proves nothing.
    StatusExhausted,
    /// The answer ends with OK and without a last word.
    MissingFinalMessage,
}

/// What is wrong. Shares are parts of calls, drawn one by one from a seed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Accepts connections, and neither reads nor answers.
    pub hang: bool,
    /// Calls that are taken and never answered; nothing is run.
    pub stall: f64,
    /// Calls that are run and whose answer is lost: nothing comes.
    pub lose_answer: f64,
    /// Calls reset after they came in; they may have run.
    pub reset: f64,
    /// Calls refused by REFUSED_STREAM.
    pub refuse_stream: f64,
    /// Calls turned away as full.
    pub reject: f64,
    /// Calls answered in a wrong way.
    pub malformed: f64,
    /// Which way.
    pub response_fault: Option<ResponseFault>,
    /// All work takes this many times as long; 0 stands for 1.
    pub slowdown: f64,
    /// Fetches from this engine take this many times as long; 0 stands for 1.
    pub fetch_slowdown: f64,
    /// Every state is lost when it would be fetched.
    pub drop_states: bool,
}

impl Faults {
    pub(crate) fn slowness(&self) -> f64 {
        if self.slowdown > 0.0 {
            self.slowdown
        } else {
            1.0
        }
    }
    pub(crate) fn link_slowness(&self) -> f64 {
        if self.fetch_slowdown > 0.0 {
            self.fetch_slowdown
        } else {
            1.0
        }
    }
}
