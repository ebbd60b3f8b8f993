//! What the queue remembers about pending releases and engines. Plain data.

use crate::interface::{EndpointId, Micros};
use std::cmp::Reverse;

/// A release that no engine has accepted yet, or that is to be repeated.
pub(super) struct PendingRelease {
    pub(super) request: u64,
    /// When it became pending, or is to be repeated.
    pub(super) since: Micros,
    /// Nothing of the request is on its way any more: one accepted release is enough.
    pub(super) confirmed: bool,
    pub(super) repeats: usize,
    /// Engines asked since `since` or since an engine recovered.
    pub(super) attempted: Vec<EndpointId>,
    pub(super) in_flight: usize,
    pub(super) last_attempt: Micros,
    /// Attempts in this pause, after the span.
    pub(super) probes: usize,
    pub(super) pause: Micros,
    /// The time of its entry in the queue's `due`.
    pub(super) next_attempt: Micros,
}

impl PendingRelease {
    /// Whether its span is not over, so that several engines are asked at once.
    pub(super) fn is_hedged(&self, now: Micros, span: Micros) -> bool {
        now <= self.since.saturating_add(span)
    }

    /// Whether it was accepted and waits for its repetition.
    pub(super) fn waits_for_repeat(&self, now: Micros) -> bool {
        self.since > now
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
    /// When the first of them was sent, or when the engine accepted one meanwhile.
    pub(super) silent_since: Micros,
}

/// The order in which engines are asked: lowest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    pub(super) silent: bool,
    pub(super) draining: bool,
    /// Of the silent engines, the one asked longest ago: all releases look for one that is back.
    pub(super) silent_last_failure: Micros,
    pub(super) lacks_recent_idle_connection: bool,
    /// Attempts in flight there.
    pub(super) in_flight: usize,
    pub(super) not_recent: bool,
    pub(super) lacks_idle_connection: bool,
    pub(super) last_response: Reverse<Micros>,
    pub(super) id: EndpointId,
}
