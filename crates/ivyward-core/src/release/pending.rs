//! State of the pending releases and of the engines they were sent to, as plain data.

use crate::interface::{EndpointId, Micros};
use std::cmp::Reverse;

/// A release that no engine has accepted yet, or that is still to be repeated.
pub(super) struct PendingRelease {
    pub(super) request: u64,
    /// When the release became pending, or when its next repetition starts.
    pub(super) window_start: Micros,
    /// Whether nothing of the request can still be on its way to an engine, so that one accepted release is enough.
    pub(super) confirmed: bool,
    /// Number of repetitions scheduled so far.
    pub(super) repeats: usize,
    /// Engines asked since `window_start`, or since an engine last recovered.
    pub(super) attempted: Vec<EndpointId>,
    /// Whether an attempt was sent since the release was last accepted.
    pub(super) is_unanswered: bool,
    pub(super) in_flight: usize,
    /// When the latest attempt was sent; 0 before the first.
    pub(super) last_attempt: Micros,
    /// Engines asked in the current pause, after the release window.
    pub(super) probes: usize,
    /// The length of the next pause.
    pub(super) pause: Micros,
    /// When the next attempt is due: the time of the release's entry in the queue's `due`.
    pub(super) next_attempt: Micros,
}

impl PendingRelease {
    /// Returns whether the release window is not over. Within the window several engines are asked at once.
    pub(super) fn is_within_window(&self, now: Micros, window: Micros) -> bool {
        now <= self.window_start.saturating_add(window)
    }

    /// Returns whether the release was accepted and waits for its next repetition.
    pub(super) fn waits_for_repeat(&self, now: Micros) -> bool {
        self.window_start > now
    }
}

/// When a release needs its next attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueRelease {
    pub(super) at: Micros,
    pub(super) release_id: u64,
}

/// Attempts in flight at one engine.
#[derive(Clone, Copy)]
pub(super) struct EngineAttempts {
    pub(super) in_flight: usize,
    /// When the first attempt in flight was sent, or when the engine last accepted one since.
    pub(super) unanswered_since: Micros,
}

/// Sort key of an engine: the engine with the lowest key is asked first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    pub(super) unresponsive: bool,
    pub(super) draining: bool,
    /// When an unresponsive engine last failed, 0 for other engines. Of the unresponsive engines, the one that failed
    /// longest ago is asked first: all releases together search for one that has recovered.
    pub(super) unresponsive_last_failure: Micros,
    pub(super) lacks_recent_idle_connection: bool,
    /// Attempts in flight at the engine.
    pub(super) in_flight: usize,
    pub(super) not_recent: bool,
    pub(super) lacks_idle_connection: bool,
    pub(super) last_response: Reverse<Micros>,
    pub(super) id: EndpointId,
}
