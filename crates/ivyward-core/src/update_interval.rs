//! Decides how often changes of the endpoint list are passed to the router.
//!
//! The router processes all engines for each list, so a burst of single changes in a large cluster would keep the
//! node's one driver from handling requests. Changes that arrive early are combined into one list, so that lists take
//! at most a configured share of the driver's time. A change that must take effect within the drain grace (a drain, a
//! removal) waits at most for a part of that grace, whatever the share. The module does no I/O and reads no clock.

use crate::interface::Micros;

/// Limits for the delay of changes. Times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpdateIntervalSettings {
    /// Maximum share of the driver's time that lists may take, over 0 and up to 1.
    pub time_share: f64,
    /// Maximum delay of an urgent change, even if lists then take more than `time_share`.
    pub max_urgent_delay: Micros,
    /// Maximum delay of any other change, even if lists then take more than `time_share`.
    pub max_delay: Micros,
}

impl UpdateIntervalSettings {
    /// Returns the settings for a grace within which drains must take effect: lists take a quarter of the time, urgent
    /// changes wait for at most an eighth of the grace, and other changes for at most one second.
    pub fn for_drain_grace(grace: Micros) -> UpdateIntervalSettings {
        UpdateIntervalSettings {
            time_share: 0.25,
            max_urgent_delay: grace / 8,
            max_delay: 1_000_000,
        }
    }
}

/// Delays shorter than this, in microseconds, are skipped: they are not worth a timer.
const MIN_DELAY: Micros = 500;
/// Factor by which the remembered cost decays with each cheaper list.
const COST_DECAY: f64 = 0.8;

/// The schedule of the lists that are passed to the router.
#[derive(Clone, Debug)]
pub struct UpdateInterval {
    settings: UpdateIntervalSettings,
    /// The cost of a list in microseconds: a decaying maximum over the lists passed on so far.
    cost: f64,
    /// When the router finished processing the latest list.
    last_delivered: Micros,
}

impl UpdateInterval {
    /// Creates a schedule on which no list was passed on yet.
    pub fn new(settings: UpdateIntervalSettings) -> UpdateInterval {
        UpdateInterval {
            settings,
            cost: 0.0,
            last_delivered: 0,
        }
    }

    /// Returns when to pass on changes of which the first was received at `since`. A time in the past means now.
    pub fn deliver_at(&self, since: Micros, urgent: bool) -> Micros {
        let rest = (self.cost * (1.0 / self.settings.time_share - 1.0)) as Micros;
        if rest < MIN_DELAY {
            return since;
        }
        let max_delay = if urgent {
            self.settings.max_urgent_delay
        } else {
            self.settings.max_delay
        };
        self.last_delivered
            .saturating_add(rest)
            .min(since.saturating_add(max_delay))
    }

    /// Records that the router processed a list from `began` to `ended`.
    pub fn delivered(&mut self, began: Micros, ended: Micros) {
        let cost = ended.saturating_sub(began) as f64;
        self.cost = cost.max(COST_DECAY * self.cost);
        self.last_delivered = self.last_delivered.max(ended);
    }
}
