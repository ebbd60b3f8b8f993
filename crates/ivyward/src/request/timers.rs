//! The driver's timers: those that the router sets, and the deadlines of open requests.

use ivyward_core::interface::Micros;
use std::collections::BTreeSet;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RouterTimer {
    at: Micros,
    /// Timers that are due at the same time fire in the order in which they were set.
    sequence: u64,
    token: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Micros,
    request: u64,
}

/// The router's timers and the deadlines of open requests.
#[derive(Default)]
pub(super) struct Timers {
    router: BTreeSet<RouterTimer>,
    deadlines: BTreeSet<Deadline>,
    sequence: u64,
}

impl Timers {
    pub(super) fn set_router_timer(&mut self, at: Micros, token: u64) {
        self.sequence += 1;
        self.router.insert(RouterTimer {
            at,
            sequence: self.sequence,
            token,
        });
    }

    pub(super) fn set_deadline(&mut self, at: Micros, request: u64) {
        self.deadlines.insert(Deadline { at, request });
    }

    pub(super) fn clear_deadline(&mut self, at: Micros, request: u64) {
        self.deadlines.remove(&Deadline { at, request });
    }

    /// The time of the next timer or deadline.
    pub(super) fn next_due(&self) -> Option<Micros> {
        let timer = self.router.first().map(|timer| timer.at);
        let deadline = self.deadlines.first().map(|deadline| deadline.at);
        [timer, deadline].into_iter().flatten().min()
    }

    /// Removes the router's next timer that is due, and returns its token.
    pub(super) fn take_due_timer(&mut self, now: Micros) -> Option<u64> {
        let due = self.router.first().copied().filter(|t| t.at <= now)?;
        self.router.remove(&due);
        Some(due.token)
    }

    /// Removes the next deadline that is due, and returns its request.
    pub(super) fn take_due_deadline(&mut self, now: Micros) -> Option<u64> {
        let due = self.deadlines.first().copied().filter(|d| d.at <= now)?;
        self.deadlines.remove(&due);
        Some(due.request)
    }
}
