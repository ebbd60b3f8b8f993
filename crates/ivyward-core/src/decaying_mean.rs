//! A mean whose samples decay exponentially with their age.

use crate::interface::Micros;

/// An exponentially decaying sum and count of samples.
///
/// Each call takes the decay time in microseconds, after which a sample has 1/e of its weight. It is passed to each call
/// so that the caller may change it between samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    pub(crate) sum: f64,
    pub(crate) count: f64,
    pub(crate) updated_at: Micros,
}

impl DecayingMean {
    /// Returns the share of the sum and count of the last update that is left at `now`.
    fn remaining(&self, now: Micros, decay: f64) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / decay).exp()
    }

    /// Returns the decayed sum of the samples at `now`.
    pub(crate) fn sum_at(&self, now: Micros, decay: f64) -> f64 {
        self.sum * self.remaining(now, decay)
    }

    /// Returns the decayed number of samples at `now`.
    pub(crate) fn count_at(&self, now: Micros, decay: f64) -> f64 {
        self.count * self.remaining(now, decay)
    }

    /// Adds a sample, after the previous ones have decayed until `now`.
    pub(crate) fn add(&mut self, now: Micros, decay: f64, value: f64) {
        *self = DecayingMean {
            sum: self.sum_at(now, decay) + value,
            count: self.count_at(now, decay) + 1.0,
            updated_at: now,
        };
    }

    /// Returns the mean of the samples, or 0 if there are none.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.count.max(1e-9)
    }

    /// Returns the mean at `now` as if `weight` samples of the value `prior` had been added.
    pub(crate) fn mean_with_prior(&self, now: Micros, decay: f64, prior: f64, weight: f64) -> f64 {
        (self.sum_at(now, decay) + prior * weight) / (self.count_at(now, decay) + weight)
    }
}
