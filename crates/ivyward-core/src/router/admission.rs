//! Admission control: the share of arrivals to refuse under overload, and tenants' quotas.

use super::balancing::SHARE_PRIOR_REQUESTS;
use super::state::{LocalityPreference, RequestState};
use super::{Router, RECENT_SPAN};
use crate::interface::{Micros, TenantSettings};

/// Step of the running mean of priority weights: about the last ten arrivals.
const PRIORITY_MEAN_STEP: f64 = 0.1;
/// The shed rate rises while first-token times are over this share of their objectives.
const TARGET_TTFT_RATIO: f64 = 0.8;
/// One first-token time counts for at most this multiple of its objective.
const MAX_TTFT_RATIO: f64 = 2.0;
/// First-token times decay over this span in microseconds, so that a node that refused much soon tries again,
/// or over the time in which `TTFT_SPAN_REQUESTS` arrive, if that is longer.
const MIN_TTFT_SPAN: f64 = 2e6;
const TTFT_SPAN_REQUESTS: f64 = 8.0;
/// The rate of first tokens is counted over this span in microseconds.
const FIRST_TOKEN_RATE_SPAN: f64 = 4e6;
/// The highest shed rate, so that responses go on telling about the load.
pub(super) const MAX_SHED_RATE: f64 = 0.8;
/// Differences between the first-token times of near and far endpoints under this don't count, in parts of the
/// objective.
const MIN_LOCALITY_GAP: f64 = 0.2;
/// The longest time in microseconds for which one update changes the shed rate.
const MAX_UPDATE_INTERVAL: Micros = 1_000_000;
/// Shed rates and locality weights change by their error in this time, in microseconds.
const UPDATE_TIME_CONSTANT: f64 = 1e6;

impl LocalityPreference {
    /// Raises the weight while first tokens come later from far endpoints, lowers it while they come earlier.
    fn update(&mut self, now: Micros, elapsed: f64) {
        let far = self.far.mean_with_prior(now, RECENT_SPAN, 0.0, 1.0);
        let near = self.near.mean_with_prior(now, RECENT_SPAN, 0.0, 1.0);
        let gap = far - near;
        if gap.abs() > MIN_LOCALITY_GAP {
            let change = gap * elapsed / UPDATE_TIME_CONSTANT;
            self.locality_weight = (self.locality_weight + change).clamp(0.0, 1.0);
        }
    }
}

impl Router {
    /// Whether to refuse a new request because of overload: low priorities and tenants over their quota first.
    /// Guards against queues that make every response late, whatever fills them (bursts, lost endpoints, slow
    /// links). May harm when a few sick endpoints alone make the mean late.
    pub(super) fn should_shed(&mut self, state: &RequestState) -> bool {
        let now = state.arrived;
        self.arrivals.add(now, RECENT_SPAN, 0.0);
        self.update_shed_rate(now);
        let class = &self.settings.classes[state.request.class];
        let weight = class.priority_weight.max(0.01);
        self.mean_priority_weight += if self.mean_priority_weight == 0.0 {
            weight
        } else {
            PRIORITY_MEAN_STEP * (weight - self.mean_priority_weight)
        };
        let relative_weight = (self.mean_priority_weight / weight).clamp(0.5, 2.0);
        let probability = self.shed_rate * relative_weight * self.over_quota(state);
        self.shed_rate > 0.0 && self.chance() < probability.min(MAX_SHED_RATE)
    }

    /// A tenant's share of recent arrivals over its quota's share, squared; 1 without quotas. Guards other
    /// tenants when one sends too much or its clients retry without end. May harm where a zone has tenants of
    /// its own.
    fn over_quota(&mut self, state: &RequestState) -> f64 {
        let now = state.arrived;
        let tenant = state.request.tenant;
        let quota = |settings: &TenantSettings| settings.quota_per_s.unwrap_or(0.0);
        let total: f64 = self.settings.tenants.iter().map(quota).sum();
        let share = self.settings.tenants.get(tenant).map_or(0.0, quota) / total.max(1e-9);
        let Some(arrivals) = self.tenant_arrivals.get_mut(tenant).filter(|_| share > 0.0) else {
            return 1.0;
        };
        arrivals.add(now, RECENT_SPAN, 0.0);
        let of_tenant = arrivals.count;
        let of_all = self.arrivals.count_at(now, RECENT_SPAN);
        let ratio =
            (of_tenant + SHARE_PRIOR_REQUESTS * share) / (of_all + SHARE_PRIOR_REQUESTS) / share;
        (ratio * ratio).clamp(0.1, 10.0)
    }

    /// The decay span of first-token times: a node with little traffic looks back longer, so that the mean
    /// still rests on several responses.
    fn ttft_span(&self, now: Micros) -> f64 {
        let rate = self.arrivals.count_at(now, RECENT_SPAN) / RECENT_SPAN;
        (TTFT_SPAN_REQUESTS / rate.max(1e-12)).clamp(MIN_TTFT_SPAN, RECENT_SPAN)
    }

    /// Records a first-token time over its objective.
    pub(super) fn record_ttft_ratio(&mut self, now: Micros, ratio: f64) {
        let span = self.ttft_span(now);
        self.ttft_ratio.add(now, span, ratio.min(MAX_TTFT_RATIO));
    }

    /// Records a first token for the queue estimate.
    pub(super) fn record_first_token(&mut self, now: Micros) {
        self.first_tokens.add(now, FIRST_TOKEN_RATE_SPAN, 0.0);
    }

    /// Moves the shed rate and the locality weights by the time since the last update.
    pub(super) fn update_shed_rate(&mut self, now: Micros) {
        let elapsed = now
            .saturating_sub(self.shed_rate_updated_at)
            .min(MAX_UPDATE_INTERVAL) as f64;
        self.shed_rate_updated_at = now;
        let ttft_ratio = self
            .ttft_ratio
            .mean_with_prior(now, self.ttft_span(now), 0.0, 1.0);
        self.rack_locality.update(now, elapsed);
        self.zone_locality.update(now, elapsed);
        let error = ttft_ratio.max(self.queue_ratio(now)) - TARGET_TTFT_RATIO;
        let change = error * elapsed / UPDATE_TIME_CONSTANT;
        self.shed_rate = (self.shed_rate + change).clamp(0.0, MAX_SHED_RATE);
    }

    /// The time that waiting requests will need over their mean objective, by Little's law: shows a queue
    /// before its responses are late.
    fn queue_ratio(&self, now: Micros) -> f64 {
        let (waiting, objectives) = self
            .open_requests
            .values()
            .filter(|state| !state.finished && state.first_token.is_none())
            .fold((0.0, 0.0), |(count, sum), state| {
                (count + 1.0, sum + state.objective)
            });
        // Guards against a burst after idle time: no first tokens while no requests came is no sign of a queue.
        let observed = FIRST_TOKEN_RATE_SPAN.min(now.saturating_sub(self.busy_since) as f64);
        let first_tokens = self.first_tokens.count_at(now, FIRST_TOKEN_RATE_SPAN);
        let time = f64::max(waiting - 1.0, 0.0) * observed / (first_tokens + 1.0);
        time * waiting / f64::max(objectives, 1.0)
    }
}
