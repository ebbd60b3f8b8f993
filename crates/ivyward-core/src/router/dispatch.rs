//! The arrival of a request, and the choice and start of its next attempt.

use super::admission::MAX_SHED_RATE;
use super::health::Health;
use super::ppd::CELL_DECAY;
use super::retry::TimeoutInputs;
use super::state::{
    Actions, Attempt, AttemptKey, AttemptKind, Pool, RequestState, Target, TrackedEndpoint,
    WaitingAttempt,
};
use super::{Router, RECENT_DECAY};
use crate::interface::{Action, EndpointId, EndpointState, Micros, Request};

/// Requests that are past their first-token objective are not prefilled again while the shed rate is above this.
const MAX_SHED_RATE_FOR_LATE_RETRY: f64 = MAX_SHED_RATE / 2.0;

impl Router {
    pub(super) fn on_request(&mut self, now: Micros, request: Request, out: &mut Actions) {
        self.sweep_sessions(now);
        let Some(class) = self.settings.classes.get(request.class) else {
            out.push(Action::Reject {
                request: request.id,
                retry_after: 0,
            });
            return;
        };
        let objective = class.ttft_objective as f64
            + class.ttft_objective_per_1000 * request.prompt_tokens / 1000.0;
        let state = RequestState {
            request,
            arrived: now,
            deadline: now + request.client_timeout,
            objective,
            new_tokens: self.new_tokens(&request),
            ..RequestState::default()
        };
        self.record_prompt_tokens(now, &request);
        if self.should_shed(&state) {
            self.fail_request(now, state, out);
        } else {
            self.dispatch(now, state, out);
        }
    }

    fn record_prompt_tokens(&mut self, now: Micros, request: &Request) {
        if now.saturating_sub(self.prompt_tokens.updated_at) as f64 > RECENT_DECAY {
            self.busy_since = now;
        }
        let tokens = request.prompt_tokens;
        self.prompt_tokens.add(now, CELL_DECAY, tokens);
        if request.prefix != 0 {
            self.prefix_tokens
                .get_or_default(request.prefix)
                .add(now, CELL_DECAY, tokens);
        }
    }

    /// Takes the next step for a request without an attempt in flight: starts an attempt or gives the final answer.
    pub(super) fn dispatch(&mut self, now: Micros, mut state: RequestState, out: &mut Actions) {
        self.release_expired_reservation(now, &mut state, out);
        match self.next_target(now, &mut state) {
            Some(target) => self.send(now, state, target, out),
            None => self.fail_request(now, state, out),
        }
    }

    fn next_target(&mut self, now: Micros, state: &mut RequestState) -> Option<Target> {
        let attempts_left = self.attempts_left(state);
        if attempts_left == 0 || !self.should_attempt(now, state) || !self.may_retry(state, now) {
            return None;
        }
        if state.kv_endpoint.is_some() {
            return self.decode_target(now, state);
        }
        let direct = |endpoint| Target {
            endpoint,
            kind: AttemptKind::PrefillAndDecode,
        };
        if let Some(local) = self.pick_local(now, state) {
            return Some(direct(local));
        }
        let prefill = if attempts_left > 1 {
            self.prefill_target(now, state)
        } else {
            None
        };
        // Without a prefill endpoint, or with only one attempt left, one endpoint prefills and decodes.
        prefill.or_else(|| {
            self.pick_decode(now, None, state, AttemptKind::PrefillAndDecode)
                .map(direct)
        })
    }

    /// Returns whether an attempt still makes sense before the deadline. Under overload a request that is already late
    /// is not prefilled again, because such retries would sustain the overload.
    fn should_attempt(&self, now: Micros, state: &RequestState) -> bool {
        let late = (now - state.arrived) as f64 > state.objective;
        let would_repeat = !state.attempts.is_empty() && state.kv_endpoint.is_none();
        let overloaded = self.shed_rate > MAX_SHED_RATE_FOR_LATE_RETRY;
        now < state.deadline && !(late && would_repeat && overloaded)
    }

    /// Returns where to decode a prefilled request, preferring the endpoint with a reserved slot if it is usable.
    fn decode_target(&self, now: Micros, state: &RequestState) -> Option<Target> {
        let density = self.send_density(now, Pool::Decode, state);
        let usable = |endpoint: &&TrackedEndpoint| {
            endpoint.info.state == EndpointState::Ready
                && endpoint.health(now, state.request.tenant, true) != Health::Ejected
                && self.has_cold_budget(endpoint, now, density, 0.0)
                && !state.tried.contains(&endpoint.info.id)
                && self.may_repeat_at(state, endpoint, now)
        };
        let reserved = state
            .reserved_endpoint
            .and_then(|id| self.endpoints.get(&id))
            .filter(usable)
            .map(|endpoint| endpoint.info.id);
        let kind = AttemptKind::Decode;
        reserved
            .or_else(|| self.pick_decode(now, state.kv_endpoint, state, kind))
            .map(|endpoint| Target { endpoint, kind })
    }

    fn prefill_target(&self, now: Micros, state: &RequestState) -> Option<Target> {
        let endpoint = self.pick_prefill(now, state)?;
        if self.direct_is_faster(now, endpoint, state) {
            return None;
        }
        Some(Target {
            endpoint,
            kind: AttemptKind::Prefill,
        })
    }

    fn send(&mut self, now: Micros, mut state: RequestState, target: Target, out: &mut Actions) {
        let Target { endpoint, kind } = target;
        let attempts_left = self.attempts_left(&state);
        let tokens = if kind == AttemptKind::Decode {
            state.request.prompt_tokens
        } else {
            state.new_tokens
        };
        let tracked = &self.endpoints[&endpoint];
        let queued = if kind == AttemptKind::Prefill {
            tracked.waiting_tokens()
        } else {
            0.0
        };
        let work = tokens + queued;
        let expected = self.expected_latency(now, tracked, kind, work, state.objective);
        let inputs = TimeoutInputs {
            kind,
            attempts_left,
            expected,
        };
        out.push(Action::Send {
            request: state.request.id,
            endpoint,
            timeout: self.attempt_timeout(now, &state, &inputs),
            send_deadline: self.send_deadline(now, &state, attempts_left),
        });
        let waiting = WaitingAttempt {
            sent: now,
            tokens,
            expected,
        };
        self.record_attempt(now, &mut state, target, waiting, work);
        if kind == AttemptKind::Prefill && self.settings.reserve_decode_slot && attempts_left > 1 {
            self.reserve_decode_slot(now, &mut state, endpoint, out);
        }
        self.schedule_reservation_release(&state, out);
        self.open_requests.insert(state.request.id, state);
        self.schedule_tick(now, out);
    }

    /// Records a sent attempt at its endpoint and in the request's state.
    fn record_attempt(
        &mut self,
        now: Micros,
        state: &mut RequestState,
        target: Target,
        waiting: WaitingAttempt,
        work: f64,
    ) {
        let key = AttemptKey {
            request: state.request.id,
            attempt: state.attempts.len() as u16,
        };
        self.record_send(now, Pool::of(target.kind));
        let window = self.settings.overload_window;
        let endpoint = self.endpoint_mut(target.endpoint);
        endpoint.count_cold_send(now, window);
        endpoint.waiting.insert(key, waiting);
        state.attempts.push(Attempt {
            endpoint: target.endpoint,
            kind: target.kind,
            sent: now,
            work,
            in_flight: true,
            delivered: false,
            streaming: false,
        });
    }

    /// Requests a decode slot, while the prompt is prefilled, at the decode endpoint that would be chosen now.
    fn reserve_decode_slot(
        &self,
        now: Micros,
        state: &mut RequestState,
        prefill: EndpointId,
        out: &mut Actions,
    ) {
        state.reserved_endpoint = self.pick_decode(now, Some(prefill), state, AttemptKind::Decode);
        if let Some(endpoint) = state.reserved_endpoint {
            out.push(Action::Reserve {
                request: state.request.id,
                endpoint,
            });
        }
    }
}

impl TrackedEndpoint {
    /// Counts a send against the cold budget, and removes sends that are older than the overload window.
    fn count_cold_send(&mut self, now: Micros, window: Micros) {
        if self.info.started_at == 0 {
            return;
        }
        self.recent_sends.push_back(now);
        while self
            .recent_sends
            .front()
            .is_some_and(|sent| now.saturating_sub(*sent) >= window)
        {
            self.recent_sends.pop_front();
        }
    }
}
