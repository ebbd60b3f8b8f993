//! Outlier detection: latency ratios, failure scores, stalls, rejections, and expected service times.

use super::state::{
    Actions, AttemptKey, AttemptKind, Pool, RequestState, ServiceKey, ServiceTime, TrackedEndpoint,
    WaitingAttempt,
};
use super::{ppd, Router, RECENT_SPAN, TICK_TIMER};
use crate::interface::{Action, EndpointId, Idempotency, Micros, Role};

/// One observation counts for at most this multiple of its expectation.
const MAX_LATENCY_RATIO: f64 = 3.0;
/// An endpoint counts as usual until about this many responses tell otherwise.
const LATENCY_PRIOR_WEIGHT: f64 = 3.0;
/// A wait of this multiple of its expected time without progress is a stall,
pub(super) const STALL_MULTIPLE: f64 = 6.0;
/// but only if it is also this share of the first-token objective.
const MIN_STALL_SHARE: f64 = 0.6;
/// Cancellations are at most this share of arrivals: under overload each one repeats work.
const MAX_CANCELLATION_SHARE: f64 = 0.05;
/// Looks for stalled endpoints in the shortest first-token objective.
const TICKS_PER_OBJECTIVE: u64 = 8;
/// The shortest time between two looks, in microseconds.
const MIN_TICK_INTERVAL: Micros = 1_000;
/// The first probe of an ejected endpoint comes after the usual time between two sends of this node, but not
/// before this share of the warm-up duration and not after all of it. The interval then doubles.
const MIN_PROBE_SHARE: f64 = 0.05;
/// Added to the shortest probe interval, in microseconds.
const PROBE_MARGIN: f64 = 100_000.0;
/// The failure score at which an endpoint is ejected, and the most that it reaches.
const EJECTION_SCORE: f64 = 1.0;
const MAX_FAILURE_SCORE: f64 = 3.0;
/// A response leaves this share of the failure score.
const SUCCESS_FACTOR: f64 = 0.3;
/// An attempt without measurements so far is expected to take this multiple of a prefill endpoint's time.
const UNMEASURED_MULTIPLE: f64 = 3.0;
/// A rejection of a tenant is remembered for a quarter of the objective, twice as long each time, up to this
/// many times.
const MAX_TENANT_REJECTIONS: i32 = 5;
/// Log lines written from start to exit.
const MAX_LOG_LINES: u32 = 40;

/// How far an endpoint may be used; better first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Health {
    /// Use freely.
    Available,
    /// It rejected requests lately, of all tenants or of this one.
    Saturated,
    /// It failed or is stalled; used only when nothing else is left.
    Ejected,
}

impl TrackedEndpoint {
    /// Attempts of this node in progress there.
    pub(super) fn load(&self) -> f64 {
        (self.active_streams + self.waiting.len()) as f64
    }

    /// Prompt tokens of this node that wait there.
    pub(super) fn waiting_tokens(&self) -> f64 {
        self.waiting.values().map(|waiting| waiting.tokens).sum()
    }

    /// How much slower it is than a usual endpoint of its pool.
    pub(super) fn slowness(&self, now: Micros) -> f64 {
        let span = self.latency_span.max(RECENT_SPAN);
        self.latency_ratio
            .mean_with_prior(now, span, 1.0, LATENCY_PRIOR_WEIGHT)
            .max(0.5)
    }

    /// Age of the oldest wait in microseconds; reveals a queue that other nodes filled.
    pub(super) fn oldest_wait(&self, now: Micros) -> f64 {
        self.waiting
            .values()
            .map(|waiting| now.saturating_sub(waiting.sent))
            .max()
            .unwrap_or(0) as f64
    }

    /// Guards against endpoints that take work and answer none, for any cause (hang, cut link, pause): a wait
    /// far over its own expected time, which is long for a heavy prompt, without a response to anything
    /// meanwhile. May harm when all latencies jump at once; the pool is not emptied then, as the pickers fall
    /// back on ejected endpoints.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        let silence = |waiting: &WaitingAttempt| {
            now.saturating_sub(waiting.sent.max(self.last_progress)) as f64
        };
        self.waiting
            .values()
            .any(|waiting| silence(waiting) > STALL_MULTIPLE * waiting.expected)
    }

    /// Its health for a tenant's request. A request that `must_not_repeat` is never used as a probe: an
    /// endpoint that fails at once is always the least loaded one.
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

    /// Guards against endpoints that limit one tenant: they reject its requests while serving those of others,
    /// so each further rejection is remembered longer, for that tenant alone, until it is served there.
    pub(super) fn record_rejection(&mut self, now: Micros, state: &RequestState) {
        let rejections = self
            .rejected_tenants
            .entry(state.request.tenant)
            .or_default();
        rejections.count = (rejections.count + 1).min(MAX_TENANT_REJECTIONS);
        let pause = state.objective / 8.0 * 2f64.powi(rejections.count);
        rejections.rejected_until = now + pause as Micros;
        if rejections.count == 1 {
            self.saturated_until = rejections.rejected_until;
        }
    }

    /// Counts an attempt without a response as a slow one.
    pub(super) fn record_missing_response(&mut self, now: Micros) {
        let span = self.latency_span.max(RECENT_SPAN);
        self.latency_ratio.add(now, span, MAX_LATENCY_RATIO);
    }
}

impl ServiceTime {
    /// The expected latency for this much work; `None` without measurements.
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
        self.latency.add(now, RECENT_SPAN, latency.min(limit));
        self.work.add(now, RECENT_SPAN, work);
    }
}

/// A response: what it took and the work behind it.
pub(super) struct Response {
    pub(super) endpoint: EndpointId,
    pub(super) kind: AttemptKind,
    pub(super) latency: Micros,
    /// In tokens.
    pub(super) work: f64,
}

impl Router {
    /// Capacity of an endpoint by its size, warm-up and measured speed.
    pub(super) fn effective_weight(&self, endpoint: &TrackedEndpoint, now: Micros) -> f64 {
        self.size(&endpoint.info) * self.likely_share(&endpoint.info, now) / endpoint.slowness(now)
    }

    /// Expected latency in microseconds of an attempt at an endpoint.
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
        // A decode endpoint that has not prefilled yet is taken to be slower at it than prefill endpoints.
        let usual = measured(kind, self.role(endpoint)).or_else(|| {
            measured(AttemptKind::Prefill, Role::Prefill).map(|time| time * UNMEASURED_MULTIPLE)
        });
        (usual.unwrap_or(objective / 4.0) * endpoint.slowness(now).clamp(1.0, 2.0))
            .max(MIN_STALL_SHARE * objective / STALL_MULTIPLE)
    }

    /// Records a response: it lowers the failure score, and its latency against its pool's tells the speed.
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
        self.completed_work[machine_type].add(now, RECENT_SPAN, work);
        let usual_rate = self.usual_rate(&info, now);
        let endpoint = self.endpoint_mut(response.endpoint);
        // A node that rarely uses it remembers its slowness for the time between two responses.
        endpoint.latency_span =
            (1.0 / usual_rate.max(1e-12)).clamp(RECENT_SPAN, ppd::CELL_DECAY_SPAN);
        endpoint
            .latency_ratio
            .add(now, endpoint.latency_span, ratio);
        endpoint.failure_score *= SUCCESS_FACTOR;
        endpoint.last_progress = now;
    }

    /// Records a failure that says something about the endpoint, and ejects it at a score of 1. The first
    /// pause is no shorter than the usual time between two sends of this node: a shorter one would not be
    /// noticed.
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

    /// Schedules the next look for stalled endpoints while requests are open.
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

    /// Cancels what waits at stalled endpoints, so that requests don't wait until the end of a hang.
    pub(super) fn on_tick(&mut self, now: Micros, out: &mut Actions) {
        self.tick_scheduled = false;
        self.update_shed_rate(now);
        for id in self.stalled_endpoints(now) {
            // Long prompts that arrive together look like a hang to a node that sees one wait at a time.
            let allowed = MAX_CANCELLATION_SHARE * self.arrivals.count_at(now, RECENT_SPAN) + 1.0;
            if self.cancellations.count_at(now, RECENT_SPAN) > allowed {
                break;
            }
            self.cancel_waiting(id, now, out);
            self.record_failure(id, now, 1.0, out);
            self.endpoint_mut(id).last_progress = now;
        }
        self.schedule_tick(now, out);
    }

    /// Stalled endpoints of both pools. A pool in which half of the endpoints seem stalled is overloaded, and
    /// no other endpoint of it is better: none of it is returned.
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

    /// Cancels the attempts that wait at an endpoint and may be repeated elsewhere.
    fn cancel_waiting(&mut self, id: EndpointId, now: Micros, out: &mut Actions) {
        let waiting: Vec<AttemptKey> = self.endpoints[&id].waiting.keys().copied().collect();
        for key in waiting {
            if self.settings.may_cancel && self.may_repeat_elsewhere(key) {
                self.cancellations.add(now, RECENT_SPAN, 0.0);
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
