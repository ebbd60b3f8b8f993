//! Capacity of cold endpoints, and the budget of requests that this node may send them.

use super::health::Health;
use super::state::{Pool, RequestState, TrackedEndpoint};
use super::{Router, RECENT_SPAN};
use crate::hash::{mix, unit_interval};
use crate::interface::{Endpoint, Micros};

/// The share of the cold budget that is spent: the learned rate is a guess, and draws vary.
const BUDGET_SAFETY: f64 = 0.8;
/// What was sent lately may grow by this multiple before the overload window is over.
const MAX_BURST: f64 = 2.0;
/// Capacity is refreshed this many times during a warm-up.
const REFRESHES_PER_WARM_UP: u64 = 64;
/// The share of linear growth that a cold endpoint is sure to have: how it grows is not known.
const SURE_GROWTH: f64 = 0.75;

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

    /// The share of its capacity that an endpoint is sure to have; 1 when warm.
    pub(super) fn capacity_share(&self, info: &Endpoint, now: Micros) -> f64 {
        let age = now.saturating_sub(info.started_at) as f64;
        let warm_up = self.settings.warm_up_duration as f64;
        if info.started_at == 0 || age >= warm_up {
            return 1.0;
        }
        let initial = self.settings.initial_capacity.min(1.0);
        initial + (1.0 - initial) * SURE_GROWTH * age / warm_up.max(1.0)
    }

    /// The share of its capacity that an endpoint most likely has: the configured initial capacity is a lower
    /// bound, the warm-up duration an upper one. Traffic is balanced by this share, and limited by
    /// [`Router::capacity_share`].
    pub(super) fn likely_share(&self, info: &Endpoint, now: Micros) -> f64 {
        let age = now.saturating_sub(info.started_at) as f64;
        let warm_up = self.settings.warm_up_duration as f64;
        let sure = self.capacity_share(info, now);
        let initial = self.settings.initial_capacity.min(1.0);
        let likely = initial + (1.0 - initial) * (0.1 + age / (0.75 * warm_up).max(1.0));
        // An endpoint that is sure to be warm has all of its capacity.
        likely.min(1.0).max(sure.floor())
    }

    /// Guards a cold endpoint: whether this node's part of its budget allows another request, measured by what
    /// its machine type completes for this node per present capacity. Retries and later turns count too.
    ///
    /// A budget under one request becomes a chance of one request in a window, decided by a draw, so that many
    /// nodes with little traffic each keep the budget together. `send_density` (see there) and `home_load`,
    /// the requests of the prefixes whose home it is, tell how likely this node uses a draw that it wins.
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
        // A node that has been busy for a short time only has seen a part of its usual traffic.
        let busy = now.saturating_sub(self.busy_since).max(window) as f64;
        let usual = self.usual_rate(&endpoint.info, now) / (1.0 - (-busy / RECENT_SPAN).exp());
        let usual = usual.max(self.initial_rate(&endpoint.info));
        let budget =
            BUDGET_SAFETY * self.settings.overload_multiple * share * usual * window as f64;
        let use_probability =
            1.0 - (-send_density * self.size(&endpoint.info) * share - home_load).exp();
        let draw = unit_interval(self.draw_seed ^ mix(endpoint.info.id.0) ^ mix(now / window));
        sent + 1.0 <= budget || sent == 0.0 && draw * use_probability < budget
    }

    /// What this node is about to send in a window to each unit of present capacity that the request may use;
    /// 0 while all endpoints are warm, as nobody needs it then.
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

    /// What this node sent to a pool in the last overload window; at least 1.
    pub(super) fn recent_sends(&self, now: Micros, pool: Pool) -> f64 {
        let sent = match pool {
            Pool::Prefill => &self.sent_to_prefill,
            Pool::Decode => &self.sent_to_decode,
        };
        sent.count_at(now, self.settings.overload_window as f64)
            .max(1.0)
    }

    /// Counts one send to a pool.
    pub(super) fn record_send(&mut self, now: Micros, pool: Pool) {
        let window = self.settings.overload_window as f64;
        let sent = match pool {
            Pool::Prefill => &mut self.sent_to_prefill,
            Pool::Decode => &mut self.sent_to_decode,
        };
        sent.add(now, window, 0.0);
    }

    /// Guards against a list of new endpoints only, before any completed work tells their rate: one request in
    /// the longest first-token objective, over all nodes, is within the means of any endpoint.
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

    /// Requests that a warm endpoint of this machine type and size completes for this node in a microsecond,
    /// by the capacity that the machine type had at the time: cold endpoints that do little must not make
    /// others look smaller than they are, nor removed endpoints the remaining ones larger.
    pub(super) fn usual_rate(&self, info: &Endpoint, now: Micros) -> f64 {
        self.completed_work[usize::from(info.machine_type)].sum_at(now, RECENT_SPAN) / RECENT_SPAN
            * self.size(info)
    }
}
