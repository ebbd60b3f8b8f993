//! Periods in which the process of a test did not run.

use crate::event_log::{LoggedEvent, ObservedEvent};
use ivyward_runtime::Micros;

/// The periods in which the process did not run, in the order of their times.
#[derive(Clone, Debug, Default)]
pub(super) struct Stalls {
    periods: Vec<(Micros, Micros)>,
}

impl Stalls {
    /// Returns the stalls in a log.
    pub(super) fn of(log: &[LoggedEvent]) -> Stalls {
        let period = |logged: &LoggedEvent| match logged.event {
            ObservedEvent::ProcessStalled { duration } => {
                Some((logged.at.saturating_sub(duration), logged.at))
            }
            _ => None,
        };
        Stalls {
            periods: log.iter().filter_map(period).collect(),
        }
    }

    /// Returns how long the process did not run between two times.
    pub(super) fn within(&self, from: Micros, to: Micros) -> Micros {
        let overlap = |(begin, end): &(Micros, Micros)| {
            let (begin, end) = ((*begin).max(from), (*end).min(to));
            end.saturating_sub(begin)
        };
        self.periods.iter().map(overlap).sum()
    }

    /// Returns how long the process ran between two times.
    pub(super) fn running_time(&self, from: Micros, to: Micros) -> Micros {
        to.saturating_sub(from) - self.within(from, to)
    }
}
