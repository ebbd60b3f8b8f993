//! A mean whose samples lose weight exponentially with their age.

use crate::interface::Micros;

/// Exponentially decaying sum and count of samples. The decay span is passed to each call, so that the caller
/// may change it between samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    pub(crate) sum: f64,
    pub(crate) count: f64,
    pub(crate) updated_at: Micros,
}

impl DecayingMean {
    /// The weight at `now` of what was recorded up to the last update.
    fn remaining(&self, now: Micros, span: f64) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / span).exp()
    }

    /// The decayed sum of the samples at `now`.
    pub(crate) fn sum_at(&self, now: Micros, span: f64) -> f64 {
        self.sum * self.remaining(now, span)
    }

    /// The decayed number of samples at `now`.
    pub(crate) fn count_at(&self, now: Micros, span: f64) -> f64 {
        self.count * self.remaining(now, span)
    }

    /// Adds one sample.
    pub(crate) fn add(&mut self, now: Micros, span: f64, value: f64) {
        *self = DecayingMean {
            sum: self.sum_at(now, span) + value,
            count: self.count_at(now, span) + 1.0,
            updated_at: now,
        };
    }

    /// The mean of the samples; 0 without any.
    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.count.max(1e-9)
    }

    /// The mean at `now` after adding `weight` samples of the value `prior`.
    pub(crate) fn mean_with_prior(&self, now: Micros, span: f64, prior: f64, weight: f64) -> f64 {
        (self.sum_at(now, span) + prior * weight) / (self.count_at(now, span) + weight)
    }
}
