//! A log of what engines, clients and the test script observed, timed by one clock.

use ivyward_runtime::{Micros, RuntimeRef};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// Identifies an attempt, as nodes state it to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The run of the node's process, unique among all runs of all nodes.
    pub node: u64,
    /// The request, unique within the run.
    pub request: u64,
    /// The attempt, unique within the request.
    pub attempt: u32,
}

/// The operation that a call to an engine requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Read a prompt.
    Prefill,
    /// Generate an answer.
    Decode,
    /// Reserve a decode slot.
    Reserve,
}

/// How requests of a class may be repeated, as far as the rule checker needs to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallIdempotency {
    /// Any number of times.
    Idempotent,
    /// Engines in the scope drop repeats of the request's idempotency key for this duration, in microseconds.
    WithKey(Micros, KeyScope),
    /// The request must not run more than once.
    NonIdempotent,
}

/// The engines among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All engines.
    All,
    /// Engines in the same zone.
    Zone,
    /// Engines in the same rack.
    Rack,
}

/// How the reservation of a KV state or decode slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetentionEnd {
    /// Fetched by a decode engine, or used by the request that reserved it.
    Used,
    /// Released by the node.
    Released,
    /// Released by the engine after its retention time.
    Expired,
    /// Lost because the engine crashed or dropped it.
    Lost,
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The complete answer arrived, with the expected tokens.
    Served,
    /// The node rejected the request.
    Rejected,
    /// The node reported that the request failed.
    Failed,
    /// The connection to the node broke.
    Unreachable,
    /// The client disconnected, as its script says.
    Disconnected,
    /// The client's timeout ended before the answer was complete.
    TimedOut,
    /// The stream was wrong: a token was missing, duplicated or not the expected one, or data followed the end.
    Wrong,
}

/// An observed event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObservedEvent {
    /// A complete call arrived at an engine.
    AttemptArrived {
        /// Engine id.
        engine: u64,
        /// The attempt.
        key: AttemptKey,
        /// Id of the client's call.
        call: u64,
        /// The requested operation.
        kind: CallKind,
        /// How long the node waits for the response from now on, in microseconds, as stated in the call.
        timeout: Option<Micros>,
    },
    /// An engine started the part of an attempt that has an effect.
    AttemptRan {
        /// Engine id.
        engine: u64,
        /// The attempt.
        key: AttemptKey,
        /// Id of the client's call.
        call: u64,
    },
    /// A call ended at an engine, whichever side ended it.
    AttemptEnded {
        /// Engine id.
        engine: u64,
        /// The attempt.
        key: AttemptKey,
    },
    /// An engine reserved a KV state or a decode slot for a request.
    Retained {
        /// Engine id.
        engine: u64,
        /// The attempt that the reservation belongs to.
        key: AttemptKey,
        /// Whether a decode slot is reserved; otherwise it is a KV state.
        is_decode_slot: bool,
    },
    /// The reservation of a KV state or decode slot ended.
    Released {
        /// Engine id.
        engine: u64,
        /// The attempt that the reservation belongs to.
        key: AttemptKey,
        /// Whether a decode slot is reserved; otherwise it is a KV state.
        is_decode_slot: bool,
        /// How the reservation ended.
        how: RetentionEnd,
    },
    /// An engine's process started.
    EngineStarted {
        /// Engine id.
        engine: u64,
        /// Whether the engine is cold.
        cold: bool,
        /// Calls per second that the engine completes when warm.
        capacity: f64,
    },
    /// An engine's process ended.
    EngineStopped {
        /// Engine id.
        engine: u64,
        /// Whether the process crashed because the engine was cold and overloaded.
        overloaded: bool,
    },
    /// An engine's process hung, so that it neither processes calls nor responds, or resumed.
    EnginePaused {
        /// Engine id.
        engine: u64,
        /// Whether the process hangs from now on.
        paused: bool,
    },
    /// An engine's machine became unreachable without resetting its connections, or became reachable again. Attempts sent to
    /// it meanwhile count as pending although no engine observes their arrival.
    EngineUnreachable {
        /// Engine id.
        engine: u64,
        /// Whether the machine is unreachable from now on.
        unreachable: bool,
    },
    /// A client sent a request.
    CallStarted {
        /// Id of the client's call.
        call: u64,
        /// Id of the request, the same for all of the client's retries.
        operation: u64,
        /// Index of the node in the script.
        node: usize,
        /// How the request may be repeated.
        idempotency: CallIdempotency,
        /// Until when the client waits: first for the first token, then for the end of the response.
        until: Micros,
    },
    /// The first token of a call arrived at its client.
    FirstTokenReceived {
        /// Id of the client's call.
        call: u64,
    },
    /// A call ended for its client.
    CallEnded {
        /// Id of the client's call.
        call: u64,
        /// How the call ended.
        outcome: ClientOutcome,
    },
    /// The script notified a node that an engine drains, was removed, or is ready again, and the node received the
    /// notification.
    NodeNotified {
        /// The run of the node's process.
        node: u64,
        /// Engine id.
        engine: u64,
        /// Whether the engine may be sent new attempts.
        ready: bool,
    },
    /// No thread of the process with the clients, the engines and the nodes ran for a while. Logged when it runs again.
    ProcessStalled {
        /// How long the process did not run, in microseconds.
        duration: Micros,
    },
    /// The script killed a node.
    NodeKilled {
        /// Index of the node in the script.
        node: usize,
        /// The run of the node's process.
        run: u64,
    },
}

/// An observed event and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoggedEvent {
    /// Time in microseconds on the log's clock.
    pub at: Micros,
    /// The event.
    pub event: ObservedEvent,
}

/// Called with each event that is added to a log.
type Observer = Box<dyn Fn(&LoggedEvent) + Send + Sync>;

/// A log of events. Clones share one log. The log stores at most [`EventLog::MAX_ENTRIES`] events; a run that needs more
/// ends early, because [`EventLog::is_full`] returns `true`.
#[derive(Clone)]
pub struct EventLog {
    runtime: RuntimeRef,
    events: Arc<Mutex<Vec<LoggedEvent>>>,
    observer: Arc<OnceLock<Observer>>,
    max_entries: usize,
}

impl EventLog {
    /// Maximum number of stored events.
    pub const MAX_ENTRIES: usize = 4 << 20;

    /// Creates an empty log that reads the time from the runtime's clock.
    pub fn new(runtime: &RuntimeRef) -> EventLog {
        EventLog {
            runtime: runtime.clone(),
            events: Arc::default(),
            observer: Arc::default(),
            max_entries: EventLog::MAX_ENTRIES,
        }
    }
    /// Creates a log that stores no events, for measurements in which memory matters.
    pub fn without_entries(runtime: &RuntimeRef) -> EventLog {
        EventLog {
            max_entries: 0,
            ..EventLog::new(runtime)
        }
    }
    /// Adds an event at the current time.
    pub fn add(&self, event: ObservedEvent) {
        // The clock is read inside the lock, so that events are stored in the order of their times.
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = LoggedEvent {
            at: self.runtime.now(),
            event,
        };
        if events.len() < self.max_entries {
            events.push(entry);
        }
        drop(events);
        if let Some(observer) = self.observer.get() {
            observer(&entry);
        }
    }
    /// Calls an observer with each event that is added from now on. Meant for runtimes with one thread. Only the first
    /// observer is used.
    pub fn set_observer(&self, observer: impl Fn(&LoggedEvent) + Send + Sync + 'static) {
        // Fails if an observer is set already.
        let _ = self.observer.set(Box::new(observer));
    }
    /// Whether the log stores its maximum number of events. Later events are not stored.
    pub fn is_full(&self) -> bool {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
            >= self.max_entries
    }
    /// Returns the time in microseconds on the log's clock.
    pub fn now(&self) -> Micros {
        self.runtime.now()
    }
    /// Returns all stored events in the order of their times.
    pub fn all(&self) -> Vec<LoggedEvent> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
