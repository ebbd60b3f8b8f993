//! Slow start: the capacity of cold endpoints, and the budget of requests that this node may send to them.

use super::health::Health;
use super::state::{Pool, RequestState, TrackedEndpoint};
use super::{Router, RECENT_DECAY};
use crate::hash::{mix, unit_interval};
use crate::interface::{Endpoint, Micros};

/// The share of the cold budget that is used. The rest is a margin for the estimated request rate and the random
/// draws.
const BUDGET_SAFETY: f64 = 0.8;
/// The factor by which this node's sends are assumed to grow within an overload window.
const MAX_BURST: f64 = 2.0;
/// Capacity is refreshed this many times during a warm-up.
const REFRESHES_PER_WARM_UP: u64 = 64;
/// The share of linear growth in capacity that a cold endpoint is guaranteed to have. How its capacity really grows is
/// not known.
const GUARANTEED_GROWTH: f64 = 0.75;

impl Router {
    /// Updates the present capacity of each machine type.
    pub(super) fn refresh_capacity(&mut self, now: Micros) {
        self.next_capacity_refresh =
            now + self.settings.warm_up_duration / REFRESHES_PER_WARM_UP + 1;
        let mut present = vec![0.0; self.machine_types.len()];
        let mut any_cold = false;
        for endpoint in self.listed() {
            let share = self.capacity_share(&endpoint.info, now);
            present[usize::from(endpoint.info.machine_type)] += self.size(&endpoint.info) * share;
            any_cold |= share < 1.0;
        }
        self.any_cold = any_cold;
        self.present_capacity = present;
    }

    /// Returns the share of its full capacity that an endpoint is guaranteed to have; 1 when warm.
    pub(super) fn capacity_share(&self, info: &Endpoint, now: Micros) -> f64 {
        let age = now.saturating_sub(info.started_at) as f64;
        let warm_up = self.settings.warm_up_duration as f64;
        if info.started_at == 0 || age >= warm_up {
            return 1.0;
        }
        let initial = self.settings.initial_capacity.min(1.0);
        initial + (1.0 - initial) * GUARANTEED_GROWTH * age / warm_up.max(1.0)
    }

    /// Returns the share of its full capacity that an endpoint most likely has. It is above
    /// [`Router::capacity_share`], because the configured initial capacity is a lower bound and the configured warm-up
    /// duration an upper bound. Traffic is balanced by the likely share, and limited by the guaranteed one.
    pub(super) fn likely_share(&self, info: &Endpoint, now: Micros) -> f64 {
        let age = now.saturating_sub(info.started_at) as f64;
        let warm_up = self.settings.warm_up_duration as f64;
        let guaranteed = self.capacity_share(info, now);
        let initial = self.settings.initial_capacity.min(1.0);
        let likely = initial + (1.0 - initial) * (0.1 + age / (0.75 * warm_up).max(1.0));
        // A warm endpoint has its full capacity.
        likely.min(1.0).max(guaranteed.floor())
    }

    /// Returns whether this node's part of a cold endpoint's budget allows another request in this window. The budget
    /// is derived from the rate at which the endpoint's machine type completes requests for this node per present
    /// capacity. All attempts count against it, including retries and later turns. A warm endpoint has no limit.
    ///
    /// If this node's budget is less than one request, the node may send one request with the corresponding
    /// probability, decided by a random draw per endpoint and window. In this way many nodes with little traffic stay
    /// within the budget together. Not every node that wins the draw has a request to send; how likely it has one
    /// follows from [`Router::send_density`] and from `home_load`, its requests for prefixes whose home is this
    /// endpoint.
    pub(super) fn has_cold_budget(
        &self,
        endpoint: &TrackedEndpoint,
        now: Micros,
        send_density: f64,
        home_load: f64,
    ) -> bool {
        let share = self.capacity_share(&endpoint.info, now);
        if share >= 1.0 || self.settings.overload_multiple <= 0.0 {
            return true;
        }
        let window = self.settings.overload_window.max(1);
        let sent = endpoint
            .recent_sends
            .iter()
            .filter(|sent| now.saturating_sub(**sent) < window)
            .count() as f64;
        // A node that has been busy for a short time has seen only a part of its usual traffic.
        let busy = now.saturating_sub(self.busy_since).max(window) as f64;
        let usual = self.usual_rate(&endpoint.info, now) / (1.0 - (-busy / RECENT_DECAY).exp());
        let usual = usual.max(self.initial_rate(&endpoint.info));
        let budget =
            BUDGET_SAFETY * self.settings.overload_multiple * share * usual * window as f64;
        let use_probability =
            1.0 - (-send_density * self.size(&endpoint.info) * share - home_load).exp();
        let draw = unit_interval(self.draw_seed ^ mix(endpoint.info.id.0) ^ mix(now / window));
        sent + 1.0 <= budget || sent == 0.0 && draw * use_probability < budget
    }

    /// Returns how many requests this node is expected to send in an overload window per unit of present capacity that
    /// the request may use. Returns 0 while all endpoints are warm, because only cold budgets depend on it.
    pub(super) fn send_density(&self, now: Micros, pool: Pool, state: &RequestState) -> f64 {
        if !self.any_cold {
            return 0.0;
        }
        let usable: f64 = self
            .pool(pool)
            .filter(|endpoint| {
                endpoint.health(now, state.request.tenant, false) != Health::Ejected
                    && !state.tried.contains(&endpoint.info.id)
            })
            .map(|endpoint| self.size(&endpoint.info) * self.capacity_share(&endpoint.info, now))
            .sum();
        MAX_BURST * self.recent_sends(now, pool) / usable.max(0.01)
    }

    /// Returns how many requests this node sent to a pool in about the last overload window; at least 1.
    pub(super) fn recent_sends(&self, now: Micros, pool: Pool) -> f64 {
        let sent = match pool {
            Pool::Prefill => &self.sent_to_prefill,
            Pool::Decode => &self.sent_to_decode,
        };
        sent.count_at(now, self.settings.overload_window as f64)
            .max(1.0)
    }

    /// Counts one request sent to a pool.
    pub(super) fn record_send(&mut self, now: Micros, pool: Pool) {
        let window = self.settings.overload_window as f64;
        let sent = match pool {
            Pool::Prefill => &mut self.sent_to_prefill,
            Pool::Decode => &mut self.sent_to_decode,
        };
        sent.add(now, window, 0.0);
    }

    /// Returns the minimum request rate assumed for an endpoint, per microsecond. It applies when all endpoints are new
    /// and no completed request shows their real rate: one request per longest first-token objective, over all nodes,
    /// is within the capacity of any endpoint.
    fn initial_rate(&self, info: &Endpoint) -> f64 {
        let objective = self
            .settings
            .classes
            .iter()
            .map(|class| class.ttft_objective)
            .max()
            .unwrap_or(0)
            .max(1);
        self.size(info) / objective as f64 / f64::from(self.settings.replica_count.max(1))
    }

    /// Returns how many requests per microsecond a warm endpoint of this machine type and size completes for this
    /// node. Completed requests are divided by the machine type's capacity at that time, so that cold endpoints, which
    /// complete little, do not make the others seem smaller, and removed endpoints do not make the remaining ones
    /// seem larger.
    pub(super) fn usual_rate(&self, info: &Endpoint, now: Micros) -> f64 {
        self.completed_work[usize::from(info.machine_type)].sum_at(now, RECENT_DECAY) / RECENT_DECAY
            * self.size(info)
    }
}
