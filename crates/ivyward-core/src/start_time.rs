//! What an engine's told start means on this node's clock.
//!
//! Engines write when they started by clocks of their own, which may be wrong by hours. Too young costs a little work for
//! the time to warm; too old lets all nodes push a cold engine over. So an age is taken at its word only where nothing
//! better is known: in the first whole list that a node hears. Whoever is new to a node that already held a whole list
//! was not there a moment ago, and counts as started now, whatever its clock says; so does one that comes back with
//! another start. One that comes back with the start that it had (its lease was lost, or its store restored) is the
//! same process, and keeps its age. No I/O, no clock.

use crate::interface::{Endpoint, EndpointId, Micros};
use std::collections::BTreeMap;

/// Most engines that are gone and remembered, in case they come back as they were; the oldest are forgotten first, and
/// then count as new.
pub const MAX_REMEMBERED: usize = 10_000;

/// An engine may be listed so long after its start; a told start that lies further back is one of another clock.
const MOST_LATE: Micros = 60_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    /// As the engine wrote it.
    written: Micros,
    /// On this node's clock; 0 for long ago.
    own: Micros,
}

/// Start times by engine. See the module's page.
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    here: BTreeMap<EndpointId, Start>,
    /// With a number that says in which order they left.
    gone: BTreeMap<EndpointId, (Start, u64)>,
    left: BTreeMap<u64, EndpointId>,
    leaves: u64,
    /// A whole list was heard: whoever is new from then on has just come.
    whole: bool,
    /// When a list was heard last, for callers of [`StartTimes::resolve_listed`].
    heard: Option<Micros>,
}

impl StartTimes {
    /// Nobody is known yet.
    pub fn new() -> StartTimes {
        StartTimes::default()
    }

    /// The start to tell the module for an engine that is there, `unix` being this node's own clock.
    pub fn resolve(
        &mut self,
        entry: &Endpoint,
        now: Micros,
        unix: Micros,
        warm_up_duration: Micros,
    ) -> Micros {
        let (id, written) = (entry.id, entry.started_at);
        let known = self
            .here
            .get(&id)
            .or_else(|| self.gone.get(&id).map(|g| &g.0))
            .copied();
        let own = match known {
            Some(start) if start.written == written => start.own,
            _ if written == 0 => 0,
            // Not there a moment ago, or there as another process.
            _ if self.whole || known.is_some() => now.max(1),
            _ => {
                // A start in the future is just now.
                let age = unix.saturating_sub(written);
                if age >= warm_up_duration {
                    0
                } else {
                    now.saturating_sub(age).max(1)
                }
            }
        };
        self.remember(id, Start { written, own });
        own
    }

    /// The same for lists by one clock of all machines, `unix` being what this node takes for it. That clock is believed
    /// as far as the lists allow: no engine starts in the future, and one that is new to a node which follows the list and
    /// says that it started long before the list was heard without it counts from then. So an hour's step of a clock, on
    /// either side, makes nobody warm who has just come, and nobody cold for an hour; a list that is merely late does not
    /// make an engine younger than it is.
    pub fn resolve_listed(&mut self, entry: &Endpoint, now: Micros, unix: Micros) -> Micros {
        let (id, written) = (entry.id, entry.started_at);
        let known = self
            .here
            .get(&id)
            .or_else(|| self.gone.get(&id).map(|g| &g.0))
            .copied();
        let own = match known {
            Some(start) if start.written == written => start.own,
            _ if written == 0 => 0,
            _ => {
                let told = written
                    .saturating_add(now)
                    .saturating_sub(unix)
                    .clamp(1, now.max(1));
                // In the first list nothing better than the told start is known.
                let age = unix.saturating_sub(written);
                match self.heard.filter(|_| self.whole) {
                    Some(heard) if age > now.saturating_sub(heard).saturating_add(MOST_LATE) => {
                        heard.min(now)
                    }
                    _ => told,
                }
            }
        };
        self.remember(id, Start { written, own });
        own
    }

    /// A list, or the word that there is no news, was heard from who has the list.
    pub fn record_response(&mut self, now: Micros) {
        self.heard = Some(now);
    }

    fn remember(&mut self, id: EndpointId, start: Start) {
        self.here.insert(id, start);
        if let Some((_, order)) = self.gone.remove(&id) {
            self.left.remove(&order);
        }
    }

    /// An engine left.
    pub fn remove(&mut self, id: EndpointId) {
        let Some(start) = self.here.remove(&id) else {
            return;
        };
        self.leaves += 1;
        self.gone.insert(id, (start, self.leaves));
        self.left.insert(self.leaves, id);
        if self.left.len() > MAX_REMEMBERED {
            if let Some((_, oldest)) = self.left.pop_first() {
                self.gone.remove(&oldest);
            }
        }
    }

    /// A whole list was heard, and named these alone.
    pub fn complete_list(&mut self, named: impl Fn(EndpointId) -> bool) {
        let missing: Vec<EndpointId> = self.here.keys().copied().filter(|id| !named(*id)).collect();
        missing.into_iter().for_each(|id| self.remove(id));
        self.whole = true;
    }
}
