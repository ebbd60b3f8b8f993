//! What engines, clients and the script saw, in one log with one clock.

use ivyward_runtime::{Micros, RuntimeRef};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// An attempt, as nodes name it to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The node's run.
    pub node: u64,
    /// Its request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
}

/// What a call to an engine asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// To read a prompt.
    Prefill,
    /// To write an answer.
    Decode,
    /// To hold a place.
    Reserve,
}

/// How far a class may be repeated, as the auditor must know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallIdempotency {
    /// Freely.
    Idempotent,
    /// Engines drop repeats of its key for so long, each in its group: all engines, a zone or a cell.
    WithKey(Micros, KeyScope),
    /// Never twice.
    NonIdempotent,
}

/// Which engines drop repeats of a keyed request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Rack,
}

/// How a kept state or held place ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetentionEnd {
    /// Fetched by a writer, or used by the request that held it.
    Used,
    /// Let go by the node.
    Released,
    /// Let go by the engine's own limit.
    Expired,
    /// Lost: the engine died or dropped it.
    Lost,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// Served, and all tokens right.
    Served,
    /// Refused.
    Rejected,
    /// Failed.
    Failed,
    /// The connection to the node broke.
    Unreachable,
    /// The client left by its own script.
    Disconnected,
    /// The client's patience ended without an answer.
    TimedOut,
    /// The stream was wrong: a token missing, twice or not as expected, or something after the end.
    Wrong,
}

/// One thing seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObservedEvent {
    /// A call came in whole at an engine.
    AttemptArrived {
        /// Where.
        engine: u64,
        /// Which attempt.
        key: AttemptKey,
        /// The client's call.
        call: u64,
        /// What it asks.
        kind: CallKind,
        /// How long its answer is waited for, as the call says; counted from here.
        timeout: Option<Micros>,
    },
    /// An engine began to do what has an effect.
    AttemptRan {
        /// Where.
        engine: u64,
        /// Which attempt.
        key: AttemptKey,
        /// The client's call.
        call: u64,
    },
    /// A call ended at an engine, by either side.
    AttemptEnded {
        /// Where.
        engine: u64,
        /// Which attempt.
        key: AttemptKey,
    },
    /// An engine keeps a state, or holds a place, for a request.
    Retained {
        /// Where.
        engine: u64,
        /// Under whose key.
        key: AttemptKey,
        /// A place, not a state.
        is_decode_slot: bool,
    },
    /// It does no longer.
    Released {
        /// Where.
        engine: u64,
        /// Under whose key.
        key: AttemptKey,
        /// A place, not a state.
        is_decode_slot: bool,
        /// How.
        how: RetentionEnd,
    },
    /// An engine came up.
    EngineStarted {
        /// Which.
        engine: u64,
        /// It is cold.
        cold: bool,
        /// Calls a second that it does when warm.
        capacity: f64,
    },
    /// An engine went down.
    EngineStopped {
        /// Which.
        engine: u64,
        /// Because it was pushed over.
        overloaded: bool,
    },
    /// An engine stands still, or goes on: it neither reads nor answers.
    EnginePaused {
        /// Which.
        engine: u64,
        /// It stands.
        paused: bool,
    },
    /// An engine's machine is gone without a word, or there again: what is sent to it meanwhile is out, and nobody sees
    /// it arrive.
    EngineUnreachable {
        /// Which.
        engine: u64,
        /// It is gone.
        unreachable: bool,
    },
    /// A client called.
    CallStarted {
        /// The call.
        call: u64,
        /// The same for all tries of one request.
        operation: u64,
        /// Which node, as the script counts them.
        node: usize,
        /// How far it may be repeated.
        idempotency: CallIdempotency,
        /// Until when the client waits for its first token; afterwards for the end.
        until: Micros,
    },
    /// A call's first token came to its client.
    FirstTokenReceived {
        /// The call.
        call: u64,
    },
    /// A call ended for its client.
    CallEnded {
        /// The call.
        call: u64,
        /// How.
        outcome: ClientOutcome,
    },
    /// The script told a node that an engine drains, is gone, or is ready again, and the node took it in.
    NodeNotified {
        /// The node's run.
        node: u64,
        /// The engine.
        engine: u64,
        /// It may be sent new work.
        ready: bool,
    },
    /// The script killed a node.
    NodeKilled {
        /// Which node, as the script counts them.
        node: usize,
        /// Its run.
        run: u64,
    },
}

/// One thing seen and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoggedEvent {
    /// Microseconds on the log's clock.
    pub at: Micros,
    /// What.
    pub event: ObservedEvent,
}

type Beside = Box<dyn Fn(&LoggedEvent) + Send + Sync>;

/// The log. Clones are handles to the same one. It holds at most [`EventLog::MOST`] entries: a run that would need more
/// is cut short by [`EventLog::full`].
#[derive(Clone)]
pub struct EventLog {
    runtime: RuntimeRef,
    seen: Arc<Mutex<Vec<LoggedEvent>>>,
    beside: Arc<OnceLock<Beside>>,
    most: usize,
}

impl EventLog {
    /// Most entries.
    pub const MOST: usize = 4 << 20;

    /// An empty log with a clock.
    pub fn new(runtime: &RuntimeRef) -> EventLog {
        EventLog {
            runtime: runtime.clone(),
            seen: Arc::default(),
            beside: Arc::default(),
            most: EventLog::MOST,
        }
    }
    /// A log that keeps nothing, for measurements in which memory counts.
    pub fn without_entries(runtime: &RuntimeRef) -> EventLog {
        EventLog {
            most: 0,
            ..EventLog::new(runtime)
        }
    }
    /// Adds what is seen now.
    pub fn add(&self, what: ObservedEvent) {
        // The clock is read inside the lock, so that entries stand in the order of their times.
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let one = LoggedEvent {
            at: self.runtime.now(),
            event: what,
        };
        if seen.len() < self.most {
            seen.push(one);
        }
        drop(seen);
        if let Some(beside) = self.beside.get() {
            beside(&one);
        }
    }
    /// Shows everything that is added from now on to one more, as it comes. Meant for worlds of one thread; the first
    /// one counts.
    pub fn set_observer(&self, to: impl Fn(&LoggedEvent) + Send + Sync + 'static) {
        // An error hands back one that came second.
        let _ = self.beside.set(Box::new(to));
    }
    /// Whether it took all that it takes.
    pub fn is_full(&self) -> bool {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
            >= self.most
    }
    /// The log's clock.
    pub fn now(&self) -> Micros {
        self.runtime.now()
    }
    /// All that was seen so far, in order.
    pub fn all(&self) -> Vec<LoggedEvent> {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
