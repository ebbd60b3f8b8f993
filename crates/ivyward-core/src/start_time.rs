//! Start times of engines on this node's clock.
//!
//! Engines report their start times by their own clocks, which may be wrong by hours. An age that is too low wastes some of
//! an engine's capacity during its warm-up; an age that is too high lets all nodes overload a cold engine. A reported start
//! time is therefore accepted only where nothing better is known: in the first complete list that a node receives.
//!
//! An engine that is new to a node with a complete list was not listed a moment ago and counts as started now, whatever
//! its clock says. The same holds for an engine that comes back with another start time. An engine that comes back with
//! the same start time (its lease was lost, or its store was restored) is the same process and keeps its age.
//!
//! The module does no I/O and reads no clock.

use crate::interface::{Endpoint, EndpointId, Micros};
use std::collections::BTreeMap;

/// Maximum number of removed engines whose start times are remembered in case the same process comes back. The engines that
/// were removed first are forgotten first, and count as new when they come back.
pub const MAX_REMEMBERED: usize = 10_000;

/// The longest expected time from an engine's start until it is listed, in microseconds. A new engine whose reported
/// start is further back has a clock that differs from this node's.
const MAX_LISTING_DELAY: Micros = 60_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StartTime {
    /// The start time as reported by the engine.
    reported: Micros,
    /// The start time on this node's clock; 0 for long ago.
    local: Micros,
}

/// An engine that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedEngine {
    start: StartTime,
    /// Number of the removal, counted from 1.
    removal: u64,
}

/// The start times of listed and removed engines. The module documentation describes the rules.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    listed: BTreeMap<EndpointId, StartTime>,
    removed: BTreeMap<EndpointId, RemovedEngine>,
    /// The removed engines by the number of their removal.
    removal_order: BTreeMap<u64, EndpointId>,
    /// Number of removals so far.
    removals: u64,
    /// Whether a complete list was received. Engines that are new from then on have just started.
    has_complete_list: bool,
    /// When the list service last responded, for callers of [`StartTimes::resolve_with_shared_clock`].
    last_response: Option<Micros>,
}

impl StartTimes {
    /// Creates the table without known engines.
    pub fn new() -> StartTimes {
        StartTimes::default()
    }

    /// Returns the start time of a listed engine to pass to the router, on the clock of `now`; 0 for long ago.
    /// `unix_now` is the current time of this node's wall clock. An engine that is at least `warm_up_duration` old
    /// counts as long started.
    pub fn resolve(
        &mut self,
        entry: &Endpoint,
        now: Micros,
        unix_now: Micros,
        warm_up_duration: Micros,
    ) -> Micros {
        let (id, reported) = (entry.id, entry.started_at);
        let known = self.known(id);
        let local = match known {
            Some(start) if start.reported == reported => start.local,
            _ if reported == 0 => 0,
            // The engine was not listed a moment ago, or was listed as another process.
            _ if self.has_complete_list || known.is_some() => now.max(1),
            _ => {
                // A start time in the future counts as now.
                let age = unix_now.saturating_sub(reported);
                if age >= warm_up_duration {
                    0
                } else {
                    now.saturating_sub(age).max(1)
                }
            }
        };
        self.remember(id, StartTime { reported, local });
        local
    }

    /// Returns the same as [`StartTimes::resolve`] for a list whose start times are by one clock shared by all machines.
    /// `unix_now` is this node's estimate of that clock.
    ///
    /// The shared clock is trusted as far as it agrees with the lists. No engine starts in the future. An engine that
    /// is new to a node which follows the list, but reports a start long before the last list without it, counts as
    /// started at that list. If the clock steps by an hour, either way, no new engine therefore counts as warm, and no
    /// engine counts as cold for an hour. A list that is merely late does not make an engine younger than it is.
    pub fn resolve_with_shared_clock(
        &mut self,
        entry: &Endpoint,
        now: Micros,
        unix_now: Micros,
    ) -> Micros {
        let (id, reported) = (entry.id, entry.started_at);
        let known = self.known(id);
        let local = match known {
            Some(start) if start.reported == reported => start.local,
            _ if reported == 0 => 0,
            _ => {
                let start = reported
                    .saturating_add(now)
                    .saturating_sub(unix_now)
                    .clamp(1, now.max(1));
                // For the first list, nothing better than the reported start time is known.
                let age = unix_now.saturating_sub(reported);
                match self.last_response.filter(|_| self.has_complete_list) {
                    Some(last)
                        if age > now.saturating_sub(last).saturating_add(MAX_LISTING_DELAY) =>
                    {
                        last.min(now)
                    }
                    _ => start,
                }
            }
        };
        self.remember(id, StartTime { reported, local });
        local
    }

    /// Records that the list service sent a list, or the answer that nothing changed.
    pub fn record_response(&mut self, now: Micros) {
        self.last_response = Some(now);
    }

    fn known(&self, id: EndpointId) -> Option<StartTime> {
        let removed = || self.removed.get(&id).map(|removed| &removed.start);
        self.listed.get(&id).or_else(removed).copied()
    }

    fn remember(&mut self, id: EndpointId, start: StartTime) {
        self.listed.insert(id, start);
        if let Some(removed) = self.removed.remove(&id) {
            self.removal_order.remove(&removed.removal);
        }
    }

    /// Removes an engine that is no longer listed. Its start time is remembered in case the same process comes back.
    pub fn remove(&mut self, id: EndpointId) {
        let Some(start) = self.listed.remove(&id) else {
            return;
        };
        self.removals += 1;
        let removal = self.removals;
        self.removed.insert(id, RemovedEngine { start, removal });
        self.removal_order.insert(removal, id);
        if self.removal_order.len() > MAX_REMEMBERED {
            if let Some((_, oldest)) = self.removal_order.pop_first() {
                self.removed.remove(&oldest);
            }
        }
    }

    /// Applies a complete list: removes the known engines for which `is_listed` returns false.
    pub fn apply_complete_list(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        let missing: Vec<EndpointId> = self
            .listed
            .keys()
            .copied()
            .filter(|id| !is_listed(*id))
            .collect();
        missing.into_iter().for_each(|id| self.remove(id));
        self.has_complete_list = true;
    }
}
