//! What engines, clients and the script saw, in one log with one clock.

use ivyward_runtime::{Micros, RuntimeRef};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// An attempt, as nodes name it to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The node's run.
    pub node: u64,
    /// Its request.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
}

/// What a call to an engine asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// To read a prompt.
    Read,
    /// To write an answer.
    Write,
    /// To hold a place.
    Hold,
}

/// How far a class may be repeated, as the auditor must know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Freely.
    Safe,
    /// Engines drop repeats of its key for so long, each in its group: all engines, a zone or a cell.
    Keyed(Micros, Group),
    /// Never twice.
    Unsafe,
}

/// Which engines drop repeats of a keyed request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// How a kept state or held place ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// Fetched by a writer, or used by the request that held it.
    Taken,
    /// Let go by the node.
    Released,
    /// Let go by the engine's own limit.
    Expired,
    /// Lost: the engine died or dropped it.
    Lost,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Served, and all tokens right.
    Served,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// The connection to the node broke.
    Unreachable,
    /// The client left by its own script.
    Left,
    /// The client's patience ended without an answer.
    GaveUp,
    /// The stream was wrong: a token missing, twice or not as expected, or something after the end.
    Wrong,
}

/// One thing seen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sight {
    /// A call came in whole at an engine.
    Arrived {
        /// Where.
        engine: u64,
        /// Which attempt.
        key: Key,
        /// The client's call.
        call: u64,
        /// What it asks.
        kind: Kind,
        /// How long its answer is waited for, as the call says; counted from here.
        timeout: Option<Micros>,
    },
    /// An engine began to do what has an effect.
    Ran {
        /// Where.
        engine: u64,
        /// Which attempt.
        key: Key,
        /// The client's call.
        call: u64,
    },
    /// A call ended at an engine, by either side.
    Ended {
        /// Where.
        engine: u64,
        /// Which attempt.
        key: Key,
    },
    /// An engine keeps a state, or holds a place, for a request.
    Kept {
        /// Where.
        engine: u64,
        /// Under whose key.
        key: Key,
        /// A place, not a state.
        place: bool,
    },
    /// It does no longer.
    LetGo {
        /// Where.
        engine: u64,
        /// Under whose key.
        key: Key,
        /// A place, not a state.
        place: bool,
        /// How.
        how: Gone,
    },
    /// An engine came up.
    Up {
        /// Which.
        engine: u64,
        /// It is cold.
        cold: bool,
        /// Calls a second that it does when warm.
        capacity: f64,
    },
    /// An engine went down.
    Down {
        /// Which.
        engine: u64,
        /// Because it was pushed over.
        pushed: bool,
    },
    /// An engine stands still, or goes on: it neither reads nor answers.
    Still {
        /// Which.
        engine: u64,
        /// It stands.
        on: bool,
    },
    /// An engine's machine is gone without a word, or there again: what is sent to it meanwhile is out, and nobody sees
    /// it arrive.
    Dark {
        /// Which.
        engine: u64,
        /// It is gone.
        on: bool,
    },
    /// A client called.
    Called {
        /// The call.
        call: u64,
        /// The same for all tries of one request.
        operation: u64,
        /// Which node, as the script counts them.
        node: usize,
        /// How far it may be repeated.
        effect: Effect,
        /// Until when the client waits for its first token; afterwards for the end.
        until: Micros,
    },
    /// A call's first token came to its client.
    Began {
        /// The call.
        call: u64,
    },
    /// A call ended for its client.
    Heard {
        /// The call.
        call: u64,
        /// How.
        how: Heard,
    },
    /// The script told a node that an engine drains, is gone, or is ready again, and the node took it in.
    Told {
        /// The node's run.
        node: u64,
        /// The engine.
        engine: u64,
        /// It may be sent new work.
        ready: bool,
    },
    /// The script killed a node.
    Killed {
        /// Which node, as the script counts them.
        node: usize,
        /// Its run.
        run: u64,
    },
}

/// One thing seen and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Microseconds on the log's clock.
    pub at: Micros,
    /// What.
    pub what: Sight,
}

type Beside = Box<dyn Fn(&Seen) + Send + Sync>;

/// The log. Clones are handles to the same one. It holds at most [`Log::MOST`] entries: a run that would need more
/// is cut short by [`Log::full`].
#[derive(Clone)]
pub struct Log {
    runtime: RuntimeRef,
    seen: Arc<Mutex<Vec<Seen>>>,
    beside: Arc<OnceLock<Beside>>,
    most: usize,
}

impl Log {
    /// Most entries.
    pub const MOST: usize = 4 << 20;

    /// An empty log with a clock.
    pub fn new(runtime: &RuntimeRef) -> Log {
        Log {
            runtime: runtime.clone(),
            seen: Arc::default(),
            beside: Arc::default(),
            most: Log::MOST,
        }
    }
    /// A log that keeps nothing, for measurements in which memory counts.
    pub fn forgetful(runtime: &RuntimeRef) -> Log {
        Log {
            most: 0,
            ..Log::new(runtime)
        }
    }
    /// Adds what is seen now.
    pub fn add(&self, what: Sight) {
        // The clock is read inside the lock, so that entries stand in the order of their times.
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let one = Seen {
            at: self.runtime.now(),
            what,
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
    pub fn show(&self, to: impl Fn(&Seen) + Send + Sync + 'static) {
        // An error hands back one that came second.
        let _ = self.beside.set(Box::new(to));
    }
    /// Whether it took all that it takes.
    pub fn full(&self) -> bool {
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
    pub fn all(&self) -> Vec<Seen> {
        self.seen
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
