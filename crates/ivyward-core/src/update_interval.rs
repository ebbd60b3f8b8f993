//! How often the module is told of changes in the fleet.
//!
//! The module goes over all engines that it knows at each list, so a burst of single changes in a large fleet would keep
//! the node's one driver from its requests. Changes that come while it is not their time are passed on together, as one
//! list, so that lists take a stated time_share of the driver's time at most. A notice that must be heeded within a grace (a
//! drain, a departure) waits a stated part of that grace at most, whatever the time_share. No I/O, no clock.

use crate::interface::Micros;

/// Settings of the pace. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdateIntervalSettings {
    /// The part of the time that lists may take, over 0 and up to 1.
    pub time_share: f64,
    /// An urgent notice waits so long at most.
    pub urgent_delay: Micros,
    /// Any other waits so long at most.
    pub max_delay: Micros,
}

impl UpdateIntervalSettings {
    /// For a grace within which drains are to be heeded: a quarter of the time, an eighth of the grace, a second.
    pub fn for_grace(grace: Micros) -> UpdateIntervalSettings {
        UpdateIntervalSettings {
            time_share: 0.25,
            urgent_delay: grace / 8,
            max_delay: 1_000_000,
        }
    }
}

/// Waits shorter than this are not worth a timer.
const LEAST: Micros = 500;

/// The pace of lists.
#[derive(Clone, Debug)]
pub struct UpdateInterval {
    settings: UpdateIntervalSettings,
    /// What a list costs: the last one, or more if the ones before did, fading.
    cost: f64,
    ended: Micros,
}

impl UpdateInterval {
    /// Nothing was passed on yet.
    pub fn new(settings: UpdateIntervalSettings) -> UpdateInterval {
        UpdateInterval {
            settings,
            cost: 0.0,
            ended: 0,
        }
    }

    /// When what was first heard at `since` is to be passed on; a time that is over means now.
    pub fn due(&self, since: Micros, urgent: bool) -> Micros {
        let rest = (self.cost * (1.0 / self.settings.time_share - 1.0)) as Micros;
        if rest < LEAST {
            return since;
        }
        let most = if urgent {
            self.settings.urgent_delay
        } else {
            self.settings.max_delay
        };
        self.ended
            .saturating_add(rest)
            .min(since.saturating_add(most))
    }

    /// A list was passed on between these times.
    pub fn delivered(&mut self, began: Micros, ended: Micros) {
        let took = ended.saturating_sub(began) as f64;
        self.cost = took.max(0.8 * self.cost);
        self.ended = self.ended.max(ended);
    }
}
