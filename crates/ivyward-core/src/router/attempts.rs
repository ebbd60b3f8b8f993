//! First tokens and ends of attempts: updates the measurements and takes the request's next step.

use super::health::Response;
use super::state::{
    expected_output, Actions, Attempt, AttemptKey, AttemptKind, Path, PossibleRun, RequestState,
};
use super::Router;
use crate::interface::{Micros, Outcome};

// What each kind of failure adds to an endpoint's failure score; the endpoint is ejected at a score of 1. Resets,
// timeouts and errors are rare on a working endpoint, so two of them without a response in between eject it.
const CONNECT_FAILURE_SCORE: f64 = 1.0;
const RESET_SCORE: f64 = 0.5;
const TIMEOUT_SCORE: f64 = 0.6;
const ERROR_SCORE: f64 = 0.5;

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    pub(super) cached_tokens: u32,
    /// Whether the request is finished, so that no further attempt follows.
    pub(super) finished: bool,
}

impl Router {
    pub(super) fn on_first_token(&mut self, now: Micros, key: AttemptKey) {
        let Some(mut state) = self.open_requests.remove(&key.request) else {
            return;
        };
        if let Some(attempt) = state
            .attempts
            .get_mut(usize::from(key.attempt))
            .filter(|attempt| attempt.in_flight && !attempt.streaming)
        {
            attempt.streaming = true;
            let attempt = *attempt;
            self.record_ttft(now, &state, &attempt);
            self.record_stream(now, &state, key, &attempt);
            state.first_token = Some(now);
            state.kv_endpoint = None;
            state.reserved_endpoint = None;
        }
        self.open_requests.insert(key.request, state);
    }

    /// Records the time to first token in all measurements that depend on it.
    fn record_ttft(&mut self, now: Micros, state: &RequestState, attempt: &Attempt) {
        let objective = state.objective.max(1.0);
        let prefill = state
            .attempts
            .iter()
            .rfind(|attempt| attempt.kind == AttemptKind::Prefill);
        if let Some(prefill) = prefill {
            let since_prefill = (now - prefill.sent) as f64;
            self.record_locality(now, prefill.endpoint, since_prefill / objective);
        }
        let ttft = (now - state.arrived) as f64;
        self.record_first_token(now);
        self.record_ttft_ratio(now, ttft / objective);
        self.record_path_ttft(now, state.path, ttft);
        self.record_response(now, response(now, attempt));
    }

    /// Records that an attempt began to stream.
    fn record_stream(
        &mut self,
        now: Micros,
        state: &RequestState,
        key: AttemptKey,
        attempt: &Attempt,
    ) {
        let prompt = state.request.prompt_tokens;
        let endpoint = self.endpoint_mut(attempt.endpoint);
        endpoint.rejected_tenants.remove(&state.request.tenant);
        endpoint.waiting.remove(&key);
        endpoint.active_streams += 1;
        self.streaming_tokens += prompt;
        self.token_flow += if attempt.kind == AttemptKind::Decode {
            prompt
        } else {
            state.new_tokens
        };
        self.record_session(now, state, attempt.endpoint);
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        key: AttemptKey,
        end: AttemptEnd,
        out: &mut Actions,
    ) {
        let Some(mut state) = self.open_requests.remove(&key.request) else {
            return;
        };
        let Some(attempt) = state
            .attempts
            .get_mut(usize::from(key.attempt))
            .filter(|attempt| attempt.in_flight)
        else {
            self.open_requests.insert(key.request, state);
            return;
        };
        attempt.in_flight = false;
        let attempt = *attempt;
        let endpoint = self.endpoint_mut(attempt.endpoint);
        endpoint.waiting.remove(&key);
        if attempt.streaming {
            endpoint.active_streams -= 1;
            self.streaming_tokens -= state.request.prompt_tokens;
        }
        match end.outcome {
            Outcome::Prefilled => self.on_prefilled(now, &mut state, &attempt),
            Outcome::Served => self.on_served(now, &state, &attempt, end.cached_tokens),
            Outcome::KvCacheMiss => state.kv_endpoint = None,
            failure => self.on_attempt_failed(now, &state, &attempt, failure, out),
        }
        state.record_end(&attempt, end.outcome);
        self.record_reservation_end(now, &mut state, &attempt, end.outcome);
        if end.finished || state.finished {
            self.finish(now, state, out);
        } else if state.has_attempt_in_flight() {
            self.open_requests.insert(key.request, state);
        } else {
            self.dispatch(now, state, out);
        }
    }

    fn on_prefilled(&mut self, now: Micros, state: &mut RequestState, attempt: &Attempt) {
        self.record_response(now, response(now, attempt));
        self.endpoint_mut(attempt.endpoint)
            .rejected_tenants
            .remove(&state.request.tenant);
        state.kv_endpoint = Some(attempt.endpoint);
    }

    fn on_served(&mut self, now: Micros, state: &RequestState, attempt: &Attempt, cached: u32) {
        let chose_local = state.path.is_some_and(|choice| choice.path == Path::Local);
        if chose_local && attempt.kind == AttemptKind::PrefillAndDecode {
            self.record_kv_retention(attempt.endpoint, state, cached);
        }
        if let Some(first_token) = state.first_token {
            let tpot = (now - first_token) as f64 / expected_output(&state.request);
            self.record_path_tpot(now, state.path, tpot);
            self.endpoint_mut(attempt.endpoint).last_progress = now;
        }
        self.touch_sessions(now, &state.request);
    }

    fn on_attempt_failed(
        &mut self,
        now: Micros,
        state: &RequestState,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Actions,
    ) {
        let id = attempt.endpoint;
        match outcome {
            Outcome::Rejected => self.endpoint_mut(id).record_rejection(now, state),
            Outcome::ConnectFailed => {
                self.endpoint_mut(id).cache_epoch += 1;
                self.record_failure(id, now, CONNECT_FAILURE_SCORE, out);
            }
            Outcome::Reset => {
                self.endpoint_mut(id).cache_epoch += 1;
                self.record_failure(id, now, RESET_SCORE, out);
            }
            Outcome::TimedOut | Outcome::Cancelled if !state.finished => {
                let endpoint = self.endpoint_mut(id);
                endpoint.record_missing_response(now);
                // An endpoint that responded to other requests in the meantime is busy, not failing.
                let unresponsive = endpoint.last_progress < attempt.sent;
                if outcome == Outcome::TimedOut && unresponsive {
                    self.record_failure(id, now, TIMEOUT_SCORE, out);
                }
            }
            Outcome::Error => self.record_failure(id, now, ERROR_SCORE, out),
            Outcome::TimedOut
            | Outcome::Cancelled
            | Outcome::NotSent
            | Outcome::Served
            | Outcome::Prefilled
            | Outcome::KvCacheMiss => {}
        }
    }
}

impl RequestState {
    /// Records the end of an attempt, as far as it limits the request's further attempts.
    fn record_end(&mut self, attempt: &Attempt, outcome: Outcome) {
        if !matches!(
            outcome,
            Outcome::Prefilled | Outcome::KvCacheMiss | Outcome::NotSent
        ) {
            self.tried.push(attempt.endpoint);
        }
        let prefill = attempt.kind == AttemptKind::Prefill;
        if outcome.may_have_run() && !prefill && self.may_have_run.is_none() {
            self.may_have_run = Some(PossibleRun {
                endpoint: attempt.endpoint,
                sent: attempt.sent,
            });
        }
        if self.reserved_endpoint == Some(attempt.endpoint)
            && outcome != Outcome::Prefilled
            && !prefill
        {
            self.reserved_endpoint = None;
        }
    }
}

fn response(now: Micros, attempt: &Attempt) -> Response {
    Response {
        endpoint: attempt.endpoint,
        kind: attempt.kind,
        latency: now - attempt.sent,
        work: attempt.work,
    }
}
