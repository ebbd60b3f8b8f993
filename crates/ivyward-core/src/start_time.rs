//! Start times of engines on this node's clock.
//!
//! Engines report when they started by clocks of their own, which may be wrong by hours. An age that is too low wastes some
//! capacity during the warm-up; one that is too high lets all nodes overload a cold engine. So a reported age is believed
//! only where nothing better is known: in the first complete list that a node receives. An engine that is new to a node
//! with a complete list was not there a moment ago and counts as started now, whatever its clock says; so does one that
//! comes back with another start time. One that comes back with the same start time (its lease was lost, or its store
//! restored) is the same process and keeps its age. No I/O, no clock.

use crate::interface::{Endpoint, EndpointId, Micros};
use std::collections::BTreeMap;

/// How many removed engines are remembered, in case the same process comes back; the oldest are forgotten first and then
/// count as new.
pub const MAX_REMEMBERED: usize = 10_000;

/// The longest time from an engine's start until it is listed, in microseconds; a reported start further back is of another
/// clock.
const MAX_LISTING_DELAY: Micros = 60_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StartTime {
    /// As the engine reported it.
    reported: Micros,
    /// On this node's clock; 0 for long ago.
    local: Micros,
}

/// An engine that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedEngine {
    start: StartTime,
    /// Its number in the order of removals.
    order: u64,
}

/// Start times of engines. See the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    listed: BTreeMap<EndpointId, StartTime>,
    removed: BTreeMap<EndpointId, RemovedEngine>,
    removal_order: BTreeMap<u64, EndpointId>,
    removals: u64,
    /// A complete list was received: an engine that is new from then on has just started.
    has_complete_list: bool,
    /// When a list was last received, for callers of [`StartTimes::resolve_with_shared_clock`].
    last_response: Option<Micros>,
}

impl StartTimes {
    /// Without any known engine.
    pub fn new() -> StartTimes {
        StartTimes::default()
    }

    /// The start time to pass to the router for a listed engine; `unix` is this node's own clock.
    pub fn resolve(
        &mut self,
        entry: &Endpoint,
        now: Micros,
        unix: Micros,
        warm_up_duration: Micros,
    ) -> Micros {
        let (id, reported) = (entry.id, entry.started_at);
        let known = self.known(id);
        let local = match known {
            Some(start) if start.reported == reported => start.local,
            _ if reported == 0 => 0,
            // Not listed a moment ago, or listed as another process.
            _ if self.has_complete_list || known.is_some() => now.max(1),
            _ => {
                // A start in the future counts as now.
                let age = unix.saturating_sub(reported);
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

    /// The same for lists by one clock of all machines, `unix` being this node's estimate of it. That clock is believed as
    /// far as the lists allow: no engine starts in the future, and an engine that is new to a node which follows the list,
    /// but reports a start long before the last list without it, counts from that list. So a step of the clock by an
    /// hour, either way, makes no new engine warm and no engine cold for an hour; a list that is merely late does not
    /// make an engine younger than it is.
    pub fn resolve_with_shared_clock(
        &mut self,
        entry: &Endpoint,
        now: Micros,
        unix: Micros,
    ) -> Micros {
        let (id, reported) = (entry.id, entry.started_at);
        let known = self.known(id);
        let local = match known {
            Some(start) if start.reported == reported => start.local,
            _ if reported == 0 => 0,
            _ => {
                let start = reported
                    .saturating_add(now)
                    .saturating_sub(unix)
                    .clamp(1, now.max(1));
                // In the first list nothing better than the reported start is known.
                let age = unix.saturating_sub(reported);
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

    /// A list, or the answer that nothing changed, was received.
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
            self.removal_order.remove(&removed.order);
        }
    }

    /// An engine was removed.
    pub fn remove(&mut self, id: EndpointId) {
        let Some(start) = self.listed.remove(&id) else {
            return;
        };
        self.removals += 1;
        let order = self.removals;
        self.removed.insert(id, RemovedEngine { start, order });
        self.removal_order.insert(order, id);
        if self.removal_order.len() > MAX_REMEMBERED {
            if let Some((_, oldest)) = self.removal_order.pop_first() {
                self.removed.remove(&oldest);
            }
        }
    }

    /// A complete list was received: engines that it does not name are removed.
    pub fn apply_complete_list(&mut self, named: impl Fn(EndpointId) -> bool) {
        let missing: Vec<EndpointId> = self
            .listed
            .keys()
            .copied()
            .filter(|id| !named(*id))
            .collect();
        missing.into_iter().for_each(|id| self.remove(id));
        self.has_complete_list = true;
    }
}
