//! Admission control: the share of arrivals that is rejected under overload, and the tenants' quotas.

use super::balancing::SHARE_PRIOR_REQUESTS;
use super::state::{LocalityPreference, RequestState};
use super::{Router, RECENT_DECAY};
use crate::interface::{Micros, TenantSettings};

/// The weight of a new arrival in the running mean of priority weights, which covers about the last ten arrivals.
const PRIORITY_MEAN_STEP: f64 = 0.1;
/// The shed rate rises while the mean first-token time, or the time that the waiting requests will need, is above this
/// share of the objective.
const TARGET_TTFT_RATIO: f64 = 0.8;
/// The ratio of one first-token time to its objective is limited to this.
const MAX_TTFT_RATIO: f64 = 2.0;
/// The minimum decay time of first-token times, in microseconds. It is short, so that a node that rejected many requests
/// soon accepts more again.
const MIN_TTFT_DECAY: f64 = 2e6;
/// The decay time of first-token times is at least the time in which this many requests arrive.
const TTFT_DECAY_REQUESTS: f64 = 8.0;
/// Decay time of the first-token count, in microseconds.
const FIRST_TOKEN_RATE_DECAY: f64 = 4e6;
/// The maximum shed rate. It is below 1, so that there are always responses that show the load.
pub(super) const MAX_SHED_RATE: f64 = 0.8;
/// Differences between the first-token times of near and far endpoints below this share of the objective are ignored.
const MIN_LOCALITY_GAP: f64 = 0.2;
/// One update changes the shed rate as if at most this time had passed since the previous one.
const MAX_UPDATE_INTERVAL: Micros = 1_000_000;
/// The time, in microseconds, in which shed rates and locality weights change by the full error.
const UPDATE_TIME_CONSTANT: f64 = 1e6;

impl LocalityPreference {
    /// Raises the weight while prompts prefilled at far endpoints get their first tokens later than those prefilled at
    /// near ones, and lowers it while they get them earlier.
    fn update(&mut self, now: Micros, elapsed: f64) {
        let far = self.far.mean_with_prior(now, RECENT_DECAY, 0.0, 1.0);
        let near = self.near.mean_with_prior(now, RECENT_DECAY, 0.0, 1.0);
        let gap = far - near;
        if gap.abs() > MIN_LOCALITY_GAP {
            let change = gap * elapsed / UPDATE_TIME_CONSTANT;
            self.locality_weight = (self.locality_weight + change).clamp(0.0, 1.0);
        }
    }
}

impl Router {
    /// Decides whether to reject a new request because of overload. Requests of low priority and of tenants over their
    /// quota are rejected first. This prevents queues that make every response late, whatever their cause (a burst,
    /// failed endpoints, slow links). A drawback: a few failing endpoints can raise the mean first-token time, so that
    /// requests are rejected although the other endpoints have capacity.
    pub(super) fn should_shed(&mut self, state: &RequestState) -> bool {
        let now = state.arrived;
        self.arrivals.add(now, RECENT_DECAY, 0.0);
        self.update_shed_rate(now);
        let class = &self.settings.classes[state.request.class];
        let weight = class.priority_weight.max(0.01);
        self.mean_priority_weight += if self.mean_priority_weight == 0.0 {
            weight
        } else {
            PRIORITY_MEAN_STEP * (weight - self.mean_priority_weight)
        };
        let relative_weight = (self.mean_priority_weight / weight).clamp(0.5, 2.0);
        let probability = self.shed_rate * relative_weight * self.quota_factor(state);
        self.shed_rate > 0.0 && self.next_random() < probability.min(MAX_SHED_RATE)
    }

    /// Returns the factor by which a tenant's requests are more (or less) likely to be rejected: its share of recent
    /// arrivals divided by its share of all quotas, squared and clamped; 1 without quotas. This protects other tenants
    /// from one that sends too much or whose clients retry without limit. A drawback: shares are counted at this node
    /// only, so a tenant whose requests all arrive in one zone seems to be over its quota there.
    fn quota_factor(&mut self, state: &RequestState) -> f64 {
        let now = state.arrived;
        let tenant = state.request.tenant;
        let quota = |settings: &TenantSettings| settings.quota_per_s.unwrap_or(0.0);
        let total: f64 = self.settings.tenants.iter().map(quota).sum();
        let share = self.settings.tenants.get(tenant).map_or(0.0, quota) / total.max(1e-9);
        let Some(arrivals) = self.tenant_arrivals.get_mut(tenant).filter(|_| share > 0.0) else {
            return 1.0;
        };
        arrivals.add(now, RECENT_DECAY, 0.0);
        let of_tenant = arrivals.count;
        let of_all = self.arrivals.count_at(now, RECENT_DECAY);
        let ratio =
            (of_tenant + SHARE_PRIOR_REQUESTS * share) / (of_all + SHARE_PRIOR_REQUESTS) / share;
        (ratio * ratio).clamp(0.1, 10.0)
    }

    /// Returns the decay time of first-token times, in microseconds. It is longer on a node with little traffic, so that
    /// the mean still covers several responses.
    fn ttft_decay(&self, now: Micros) -> f64 {
        let rate = self.arrivals.count_at(now, RECENT_DECAY) / RECENT_DECAY;
        (TTFT_DECAY_REQUESTS / rate.max(1e-12)).clamp(MIN_TTFT_DECAY, RECENT_DECAY)
    }

    /// Records a first-token time divided by its objective.
    pub(super) fn record_ttft_ratio(&mut self, now: Micros, ratio: f64) {
        let decay = self.ttft_decay(now);
        self.ttft_ratio.add(now, decay, ratio.min(MAX_TTFT_RATIO));
    }

    /// Counts a first token, for the estimate of the queue.
    pub(super) fn record_first_token(&mut self, now: Micros) {
        self.first_tokens.add(now, FIRST_TOKEN_RATE_DECAY, 0.0);
    }

    /// Updates the shed rate and the locality weights for the time since the last update.
    pub(super) fn update_shed_rate(&mut self, now: Micros) {
        let elapsed = now
            .saturating_sub(self.shed_rate_updated_at)
            .min(MAX_UPDATE_INTERVAL) as f64;
        self.shed_rate_updated_at = now;
        let ttft_ratio = self
            .ttft_ratio
            .mean_with_prior(now, self.ttft_decay(now), 0.0, 1.0);
        self.rack_locality.update(now, elapsed);
        self.zone_locality.update(now, elapsed);
        let error = ttft_ratio.max(self.queue_ratio(now)) - TARGET_TTFT_RATIO;
        let change = error * elapsed / UPDATE_TIME_CONSTANT;
        self.shed_rate = (self.shed_rate + change).clamp(0.0, MAX_SHED_RATE);
    }

    /// Returns the time that the waiting requests will need, by Little's law, divided by their mean objective. It shows
    /// a queue before its responses are late.
    fn queue_ratio(&self, now: Micros) -> f64 {
        let (waiting, objectives) = self
            .open_requests
            .values()
            .filter(|state| !state.finished && state.first_token.is_none())
            .fold((0.0, 0.0), |(count, sum), state| {
                (count + 1.0, sum + state.objective)
            });
        // First tokens are counted only for the time in which requests arrived. After idle time a low count does not
        // mean that there is a queue; otherwise a part of a burst after idle time would be rejected.
        let observed = FIRST_TOKEN_RATE_DECAY.min(now.saturating_sub(self.busy_since) as f64);
        let first_tokens = self.first_tokens.count_at(now, FIRST_TOKEN_RATE_DECAY);
        let time = f64::max(waiting - 1.0, 0.0) * observed / (first_tokens + 1.0);
        time * waiting / f64::max(objectives, 1.0)
    }
}
