//! What engines, clients and discovery observed, in one log on one clock.

use ivyward_runtime::Micros;
use std::sync::{Arc, Mutex, PoisonError};

/// How far a request of the class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Freely.
    Idempotent,
    /// Engines drop repeats by its key.
    WithKey,
    /// Not at all.
    NonIdempotent,
}

/// Something that was observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client wrote the last byte of a request to a connection that the node's machine had accepted.
    Sent {
        /// Its id.
        id: String,
        /// Its class's effect.
        idempotency: Idempotency,
        /// The node.
        node: usize,
        /// How long the client waits for the first token.
        client_timeout: Micros,
        /// It is the first request of its connection.
        new_connection: bool,
    },
    /// The client closed its connection before the answer's end.
    ClientDisconnected {
        /// The request.
        id: String,
    },
    /// The answer's end, or the connection's, came to the client.
    ResponseEnded {
        /// The request.
        id: String,
        /// 0 where the connection ended without an answer.
        status: u16,
        /// The body came to its end.
        complete: bool,
    },
    /// The last byte of an attempt came to an engine that runs.
    AttemptArrived {
        /// The request.
        id: String,
        /// The engine.
        engine: usize,
        /// The attempt, among all.
        attempt: u64,
        /// It reads the prompt.
        is_prefill: bool,
        /// The time that the attempt tells: how long the node waits.
        timeout: Micros,
        /// It is turned away or dropped as a repeat, and has no effect.
        dropped: bool,
    },
    /// An attempt is over at its engine: answered, or its connection ended.
    AttemptEnded {
        /// The attempt.
        attempt: u64,
    },
    /// A read came to its end: its state waits at its engine.
    StateReserved {
        /// The request.
        id: String,
    },
    /// What is held for a request was fetched or released.
    StateReleased {
        /// The request.
        id: String,
    },
    /// Discovery wrote to a node that an engine drains.
    DrainNotified {
        /// The node.
        node: usize,
        /// The engine.
        engine: usize,
    },
    /// An engine begins to drain, as discovery has it.
    DrainStarted {
        /// The engine.
        engine: usize,
    },
    /// An engine drains no longer.
    DrainEnded {
        /// The engine.
        engine: usize,
    },
    /// Nothing passes between nodes and an engine any more, or everything does again.
    LinkCut {
        /// The engine.
        engine: usize,
        /// Nothing passes.
        cut: bool,
    },
    /// The connections to an engine were reset.
    LinkReset {
        /// The engine.
        engine: usize,
    },
    /// An engine broke a stream off.
    StreamBroken {
        /// The request.
        id: String,
    },
    /// An engine's process ended; what it held is gone.
    EngineEnded {
        /// The engine.
        engine: usize,
    },
    /// Connections of a node break under it, those of clients among them, or no longer do.
    ConnectionFaults {
        /// The node.
        node: usize,
        /// They do.
        on: bool,
    },
    /// A node was told to end.
    NodeStopRequested {
        /// The node.
        node: usize,
    },
    /// A node was killed, or ended when it was told to.
    NodeEnded {
        /// The node.
        node: usize,
        /// It was killed.
        killed: bool,
    },
    /// A node's process ended by itself.
    NodeCrashed {
        /// The node.
        node: usize,
    },
}

/// The log. Clones are handles to the same one.
#[derive(Clone, Debug, Default)]
pub struct ObservationLog(Arc<Mutex<Vec<(Micros, Observation)>>>);

impl ObservationLog {
    /// Adds an observation.
    pub fn add(&self, at: Micros, observation: Observation) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, observation));
    }
    /// All of them so far, by time.
    pub fn all(&self) -> Vec<(Micros, Observation)> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}
