//! Outlier detection: latency ratios, failure scores, stalls, rejections and expected service times.

use super::state::{
    Actions, AttemptKey, AttemptKind, Pool, RequestState, ServiceKey, ServiceTime, TrackedEndpoint,
    WaitingAttempt,
};
use super::{ppd, Router, RECENT_DECAY, TICK_TIMER};
use crate::interface::{Action, EndpointId, Idempotency, Micros, Role};

/// The ratio of observed to expected latency of one response is limited to this.
const MAX_LATENCY_RATIO: f64 = 3.0;
/// Weight, in responses, of the prior assumption that an endpoint has the usual latency.
const LATENCY_PRIOR_WEIGHT: f64 = 3.0;
/// An attempt that waits for this multiple of its expected latency without progress at the endpoint is a stall.
pub(super) const STALL_MULTIPLE: f64 = 6.0;
/// The expected latency is at least so high that a stall takes this share of the first-token objective.
const MIN_STALL_SHARE: f64 = 0.6;
/// Cancellations are limited to this share of arrivals, because under overload each one repeats work.
const MAX_CANCELLATION_SHARE: f64 = 0.05;
/// Stalled endpoints are looked for this many times in the shortest first-token objective.
const TICKS_PER_OBJECTIVE: u64 = 8;
/// The minimum time between two checks for stalled endpoints.
const MIN_TICK_INTERVAL: Micros = 1_000;
/// An ejected endpoint gets its first probe after the usual time between two sends of this node to it, but not
/// earlier than this share of the warm-up duration, and not later than the whole of it. The interval then doubles.
const MIN_PROBE_SHARE: f64 = 0.05;
/// Added to the minimum probe interval, in microseconds.
const PROBE_MARGIN: f64 = 100_000.0;
/// The failure score at which an endpoint is ejected.
const EJECTION_SCORE: f64 = 1.0;
/// The maximum failure score.
const MAX_FAILURE_SCORE: f64 = 3.0;
/// A response multiplies the failure score by this.
const SUCCESS_FACTOR: f64 = 0.3;
/// Without measurements, an attempt is expected to take this multiple of the time at a prefill endpoint.
const UNMEASURED_MULTIPLE: f64 = 3.0;
/// An endpoint counts as saturated for a rejected tenant for a quarter of the first-token objective. Each further
/// rejection doubles the time, up to this many rejections.
const MAX_TENANT_REJECTIONS: i32 = 5;
/// The maximum number of log lines in the lifetime of the router.
const MAX_LOG_LINES: u32 = 40;

/// The usability of an endpoint, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Health {
    /// The endpoint may be used without restriction.
    Available,
    /// The endpoint recently rejected requests of all tenants or of this tenant.
    Saturated,
    /// The endpoint failed or is stalled. It is used only if no other endpoint is left.
    Ejected,
}

impl TrackedEndpoint {
    /// Returns the number of this node's attempts in progress at the endpoint.
    pub(super) fn load(&self) -> f64 {
        (self.active_streams + self.waiting.len()) as f64
    }

    /// Returns the prompt tokens of this node's attempts that wait at the endpoint.
    pub(super) fn waiting_tokens(&self) -> f64 {
        self.waiting.values().map(|waiting| waiting.tokens).sum()
    }

    /// Returns the endpoint's latency relative to a typical endpoint of its role; above 1 is slower.
    pub(super) fn slowness(&self, now: Micros) -> f64 {
        let decay = self.latency_decay.max(RECENT_DECAY);
        self.latency_ratio
            .mean_with_prior(now, decay, 1.0, LATENCY_PRIOR_WEIGHT)
            .max(0.5)
    }

    /// Returns how long the oldest waiting attempt has waited, in microseconds. A long wait reveals a queue that
    /// other nodes filled.
    pub(super) fn oldest_wait(&self, now: Micros) -> f64 {
        self.waiting
            .values()
            .map(|waiting| now.saturating_sub(waiting.sent))
            .max()
            .unwrap_or(0) as f64
    }

    /// Returns whether the endpoint accepts requests but does not respond to any, whatever the cause (a hang, a
    /// network partition, a paused process): an attempt has waited far longer than its expected latency, which is
    /// long for a long prompt, and no other request got a response in that time. If all latencies rise at once,
    /// working endpoints look stalled, too; their pool stays usable, because ejected endpoints are used if no others
    /// are left.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        let time_without_response = |waiting: &WaitingAttempt| {
            now.saturating_sub(waiting.sent.max(self.last_progress)) as f64
        };
        self.waiting
            .values()
            .any(|waiting| time_without_response(waiting) > STALL_MULTIPLE * waiting.expected)
    }

    /// Returns the endpoint's health for a tenant's request. An endpoint that fails every request at once is always the
    /// least loaded one, so a request that `must_not_repeat` is never used as a probe.
    pub(super) fn health(&self, now: Micros, tenant: usize, must_not_repeat: bool) -> Health {
        let probe_due = now >= self.next_probe_at && self.waiting.is_empty() && !must_not_repeat;
        let failing = self.failure_score >= EJECTION_SCORE && !probe_due;
        if failing || self.is_stalled(now) {
            return Health::Ejected;
        }
        let rejects_tenant = self
            .rejected_tenants
            .get(&tenant)
            .is_some_and(|rejections| now < rejections.rejected_until);
        if now < self.saturated_until || rejects_tenant {
            Health::Saturated
        } else {
            Health::Available
        }
    }

    /// Records that the endpoint rejected a request. An endpoint that limits one tenant rejects its requests while it
    /// serves those of others. Therefore each further rejection counts for longer, but only for that tenant, until
    /// the endpoint serves the tenant again.
    pub(super) fn record_rejection(&mut self, now: Micros, state: &RequestState) {
        let rejections = self
            .rejected_tenants
            .entry(state.request.tenant)
            .or_default();
        rejections.count = (rejections.count + 1).min(MAX_TENANT_REJECTIONS);
        let duration = state.objective / 8.0 * 2f64.powi(rejections.count);
        rejections.rejected_until = now + duration as Micros;
        if rejections.count == 1 {
            self.saturated_until = rejections.rejected_until;
        }
    }

    /// Counts an attempt without a response as a response with the maximum latency ratio.
    pub(super) fn record_missing_response(&mut self, now: Micros) {
        let decay = self.latency_decay.max(RECENT_DECAY);
        self.latency_ratio.add(now, decay, MAX_LATENCY_RATIO);
    }
}

impl ServiceTime {
    /// Returns the expected latency for this much work in tokens; `None` without measurements.
    fn expect(&self, work: f64) -> Option<f64> {
        let relative = 0.5 + 0.5 * work / self.work.mean().max(1.0);
        (self.work.count > 0.0).then(|| self.latency.mean() * relative)
    }

    fn record(&mut self, now: Micros, latency: f64, work: f64) {
        let limit = if self.work.count > 0.0 {
            MAX_LATENCY_RATIO * self.latency.mean()
        } else {
            latency
        };
        self.latency.add(now, RECENT_DECAY, latency.min(limit));
        self.work.add(now, RECENT_DECAY, work);
    }
}

/// The latency of a response, and the work done for it.
pub(super) struct Response {
    pub(super) endpoint: EndpointId,
    pub(super) kind: AttemptKind,
    pub(super) latency: Micros,
    /// The tokens processed until the response began.
    pub(super) work: f64,
}

impl Router {
    /// Returns the capacity of an endpoint, from its size, its warm-up and its measured speed.
    pub(super) fn effective_weight(&self, endpoint: &TrackedEndpoint, now: Micros) -> f64 {
        self.size(&endpoint.info) * self.likely_share(&endpoint.info, now) / endpoint.slowness(now)
    }

    /// Returns the expected latency of an attempt at an endpoint, in microseconds.
    pub(super) fn expected_latency(
        &self,
        now: Micros,
        endpoint: &TrackedEndpoint,
        kind: AttemptKind,
        work: f64,
        objective: f64,
    ) -> f64 {
        let measured = |kind, role| {
            self.service_times
                .get(&ServiceKey { kind, role })
                .and_then(|service_time| service_time.expect(work))
        };
        // Without measurements, a decode endpoint is assumed to prefill more slowly than a prefill endpoint.
        let typical = measured(kind, self.role(endpoint)).or_else(|| {
            measured(AttemptKind::Prefill, Role::Prefill).map(|time| time * UNMEASURED_MULTIPLE)
        });
        (typical.unwrap_or(objective / 4.0) * endpoint.slowness(now).clamp(1.0, 2.0))
            .max(MIN_STALL_SHARE * objective / STALL_MULTIPLE)
    }

    /// Records a response: it lowers the endpoint's failure score, and its latency, compared with the expected one,
    /// updates the endpoint's latency ratio.
    pub(super) fn record_response(&mut self, now: Micros, response: Response) {
        let latency = response.latency as f64;
        let info = self.endpoints[&response.endpoint].info;
        let machine_type = usize::from(info.machine_type);
        let key = ServiceKey {
            kind: response.kind,
            role: self.settings.roles[machine_type],
        };
        let service_time = self.service_times.entry(key).or_default();
        let ratio = service_time.expect(response.work).map_or(1.0, |expected| {
            (latency / expected.max(1.0)).min(MAX_LATENCY_RATIO)
        });
        service_time.record(now, latency, response.work);
        let work = 1.0 / self.present_capacity[machine_type].max(0.1);
        self.completed_work[machine_type].add(now, RECENT_DECAY, work);
        let usual_rate = self.usual_rate(&info, now);
        let endpoint = self.endpoint_mut(response.endpoint);
        // A node that rarely uses the endpoint remembers its slowness at least for the time between two responses.
        endpoint.latency_decay = (1.0 / usual_rate.max(1e-12)).clamp(RECENT_DECAY, ppd::CELL_DECAY);
        endpoint
            .latency_ratio
            .add(now, endpoint.latency_decay, ratio);
        endpoint.failure_score *= SUCCESS_FACTOR;
        endpoint.last_progress = now;
    }

    /// Adds to the endpoint's failure score and ejects the endpoint at a score of 1. The first ejection lasts at least
    /// as long as the usual time between two sends of this node to it, since a shorter one would have no effect.
    pub(super) fn record_failure(
        &mut self,
        id: EndpointId,
        now: Micros,
        amount: f64,
        out: &mut Actions,
    ) {
        let warm_up = self.settings.warm_up_duration as f64;
        let shortest = warm_up * MIN_PROBE_SHARE + PROBE_MARGIN;
        let longest = warm_up.max(shortest);
        let usual_gap = 1.0 / self.usual_rate(&self.endpoints[&id].info, now).max(1e-12);
        let first = usual_gap.clamp(shortest, longest);
        let endpoint = self.endpoint_mut(id);
        let was_ejected = endpoint.failure_score >= EJECTION_SCORE;
        endpoint.failure_score = (endpoint.failure_score + amount).min(MAX_FAILURE_SCORE);
        if endpoint.failure_score < EJECTION_SCORE {
            return;
        }
        let interval = if was_ejected {
            (endpoint.probe_interval as f64 * 2.0)
                .min(first.max(4.0 * shortest))
                .min(longest)
        } else {
            first
        };
        endpoint.probe_interval = interval as Micros;
        endpoint.next_probe_at = now + endpoint.probe_interval;
        let waiting = endpoint.waiting.len();
        if !was_ejected && self.log_lines < MAX_LOG_LINES {
            self.log_lines += 1;
            out.push(Action::Log(format!(
                "server {:x} doubted, {waiting} more of ours wait there",
                id.0
            )));
        }
    }

    /// Schedules the next check for stalled endpoints, as long as requests are open.
    pub(super) fn schedule_tick(&mut self, now: Micros, out: &mut Actions) {
        if self.tick_scheduled || self.open_requests.is_empty() {
            return;
        }
        let shortest_objective = self
            .settings
            .classes
            .iter()
            .map(|class| class.ttft_objective)
            .min()
            .unwrap_or(0);
        self.tick_scheduled = true;
        out.push(Action::SetTimer {
            at: now + (shortest_objective / TICKS_PER_OBJECTIVE).max(MIN_TICK_INTERVAL),
            token: TICK_TIMER,
        });
    }

    /// Cancels the attempts that wait at stalled endpoints, so that their requests don't wait until a hang ends.
    pub(super) fn on_tick(&mut self, now: Micros, out: &mut Actions) {
        self.tick_scheduled = false;
        self.update_shed_rate(now);
        for id in self.stalled_endpoints(now) {
            // Many long prompts that arrive together look like a hang to a node that has only one attempt waiting
            // at the endpoint.
            let allowed = MAX_CANCELLATION_SHARE * self.arrivals.count_at(now, RECENT_DECAY) + 1.0;
            if self.cancellations.count_at(now, RECENT_DECAY) > allowed {
                break;
            }
            self.cancel_waiting(id, now, out);
            self.record_failure(id, now, 1.0, out);
            self.endpoint_mut(id).last_progress = now;
        }
        self.schedule_tick(now, out);
    }

    /// Returns the stalled endpoints of both pools. If at least half of a pool's endpoints seem stalled, the pool is
    /// overloaded and its other endpoints are no better, so none of them is returned. This does not apply to a pool with
    /// a single endpoint.
    fn stalled_endpoints(&self, now: Micros) -> Vec<EndpointId> {
        let mut stalled = Vec::new();
        for pool in [Pool::Prefill, Pool::Decode] {
            let of_pool: Vec<EndpointId> = self
                .pool(pool)
                .filter(|endpoint| endpoint.is_stalled(now))
                .map(|endpoint| endpoint.info.id)
                .collect();
            let count = self.pool(pool).count();
            if of_pool.len() * 2 < count || count == 1 {
                stalled.extend(of_pool);
            }
        }
        stalled
    }

    /// Cancels the attempts that wait at an endpoint and may be repeated at another one.
    fn cancel_waiting(&mut self, id: EndpointId, now: Micros, out: &mut Actions) {
        let waiting: Vec<AttemptKey> = self.endpoints[&id].waiting.keys().copied().collect();
        for key in waiting {
            if self.settings.may_cancel && self.may_repeat_elsewhere(key) {
                self.cancellations.add(now, RECENT_DECAY, 0.0);
                out.push(Action::Cancel {
                    request: key.request,
                    attempt: key.attempt,
                });
            }
        }
    }

    fn may_repeat_elsewhere(&self, key: AttemptKey) -> bool {
        let Some(state) = self.open_requests.get(&key.request) else {
            return false;
        };
        if state.finished {
            return false;
        }
        let prefill = state.attempts[usize::from(key.attempt)].kind == AttemptKind::Prefill;
        let idempotency = self.settings.classes[state.request.class].idempotency;
        (prefill || idempotency == Idempotency::Idempotent)
            && state.attempts.len() < self.settings.max_attempts as usize
    }
}
