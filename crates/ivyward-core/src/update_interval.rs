//! How often the router gets changes of the endpoint list.
//!
//! The router goes over all engines at each list, so a burst of single changes in a large cluster would keep the node's one
//! driver from its requests. Changes that arrive too early are combined into one list, so that lists take at most a
//! configured share of the driver's time. A change that must take effect within a grace (a drain, a removal) waits for at
//! most a part of that grace, whatever the share. No I/O, no clock.

use crate::interface::Micros;

/// Settings. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdateIntervalSettings {
    /// The share of the time that lists may take, over 0 and up to 1.
    pub time_share: f64,
    /// The longest delay of an urgent change.
    pub urgent_delay: Micros,
    /// The longest delay of any other change.
    pub max_delay: Micros,
}

impl UpdateIntervalSettings {
    /// For a grace within which drains must take effect: a quarter of the time, an eighth of the grace, a second.
    pub fn for_drain_grace(grace: Micros) -> UpdateIntervalSettings {
        UpdateIntervalSettings {
            time_share: 0.25,
            urgent_delay: grace / 8,
            max_delay: 1_000_000,
        }
    }
}

/// Delays shorter than this, in microseconds, are not worth a timer.
const MIN_DELAY: Micros = 500;
/// The share of the cost that is kept at each cheaper list.
const COST_DECAY: f64 = 0.8;

/// Decides when to pass on the next list.
#[derive(Clone, Debug)]
pub struct UpdateInterval {
    settings: UpdateIntervalSettings,
    /// What a list costs in microseconds: the last one, or a decaying maximum of those before.
    cost: f64,
    last_delivered: Micros,
}

impl UpdateInterval {
    /// Before the first list.
    pub fn new(settings: UpdateIntervalSettings) -> UpdateInterval {
        UpdateInterval {
            settings,
            cost: 0.0,
            last_delivered: 0,
        }
    }

    /// When to pass on changes of which the first was received at `since`; a time in the past means now.
    pub fn deliver_at(&self, since: Micros, urgent: bool) -> Micros {
        let rest = (self.cost * (1.0 / self.settings.time_share - 1.0)) as Micros;
        if rest < MIN_DELAY {
            return since;
        }
        let max_delay = if urgent {
            self.settings.urgent_delay
        } else {
            self.settings.max_delay
        };
        self.last_delivered
            .saturating_add(rest)
            .min(since.saturating_add(max_delay))
    }

    /// The router took in a list between these times.
    pub fn delivered(&mut self, began: Micros, ended: Micros) {
        let cost = ended.saturating_sub(began) as f64;
        self.cost = cost.max(COST_DECAY * self.cost);
        self.last_delivered = self.last_delivered.max(ended);
    }
}
