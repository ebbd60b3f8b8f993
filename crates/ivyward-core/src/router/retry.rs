//! Limits on attempts: timeouts, idempotency, and final answers.

use super::health::STALL_MULTIPLE;
use super::state::{Actions, AttemptKind, RequestState, TrackedEndpoint};
use super::Router;
use crate::interface::{Action, DeduplicationScope, Idempotency, Micros, RequestId};

/// The share of the time until the deadline that an attempt may take if another attempt could follow.
const ATTEMPT_TIME_SHARE: f64 = 0.65;
/// An attempt whose timeout would be less than this multiple of its expected latency has no timeout.
const MIN_TIMEOUT_MULTIPLE: f64 = 4.0;
/// Every attempt but the last may use this share of the remaining reservation time to connect.
const CONNECT_SHARE: f64 = 0.5;
/// The inputs of [`Router::attempt_timeout`].
pub(super) struct TimeoutInputs {
    pub(super) kind: AttemptKind,
    /// The number of attempts left, including this one.
    pub(super) attempts_left: usize,
    /// The expected latency in microseconds.
    pub(super) expected: f64,
}

impl Router {
    /// Returns how many attempts a request may still have.
    pub(super) fn attempts_left(&self, state: &RequestState) -> usize {
        (self.settings.max_attempts as usize).saturating_sub(state.attempts.len())
    }

    /// Returns the timeout of an attempt; 0 for none. It leaves time for another attempt, and is not set if the request
    /// must not be repeated, except for a repeat, which ends with its deduplication window. A timeout below a clear multiple of the expected latency is not set either: under
    /// overload, or for clients with short timeouts, it would only lose the attempt's place in the engine's queue.
    pub(super) fn attempt_timeout(
        &self,
        now: Micros,
        state: &RequestState,
        inputs: &TimeoutInputs,
    ) -> Micros {
        let idempotency = self.settings.classes[state.request.class].idempotency;
        let must_not_repeat =
            inputs.kind != AttemptKind::Prefill && idempotency != Idempotency::Idempotent;
        let share = state.deadline.saturating_sub(now) as f64 * ATTEMPT_TIME_SHARE;
        // If attempts cannot be cancelled at stalled endpoints, they time out after the same duration.
        let stall_timeout = if self.settings.may_cancel {
            share
        } else {
            STALL_MULTIPLE * inputs.expected
        };
        let too_short = share < MIN_TIMEOUT_MULTIPLE * inputs.expected;
        if let Some(until) = self.window_end(state, inputs.kind) {
            return until.saturating_sub(now).max(1);
        }
        if must_not_repeat || inputs.attempts_left <= 1 || too_short {
            0
        } else {
            share.min(stall_timeout) as Micros
        }
    }

    /// Returns the end of the deduplication window that an attempt relies on; `None` if it relies on none. The attempt ends
    /// then: a repeat that was sent within the window could still be on its way, and would run when it arrives after it.
    fn window_end(&self, state: &RequestState, kind: AttemptKind) -> Option<Micros> {
        self.retry_until(state)
            .filter(|_| kind != AttemptKind::Prefill && self.may_arrive_late())
    }

    /// Returns when the attempt's last byte must have been sent; 0 for no limit. Without this limit, a connection that
    /// opens late would let a repeat be sent after its deduplication window, or a reservation expire.
    pub(super) fn send_deadline(
        &self,
        now: Micros,
        state: &RequestState,
        attempts_left: usize,
    ) -> Micros {
        let share = if attempts_left > 1 {
            CONNECT_SHARE
        } else {
            1.0
        };
        let connect_deadline = self
            .reservation_deadline(state)
            .map(|until| now + (until.saturating_sub(now) as f64 * share) as Micros);
        connect_deadline
            .into_iter()
            .chain(self.retry_until(state))
            .min()
            .unwrap_or(0)
    }

    /// Returns until when a request that may have run may be sent again without running twice; `None` for no limit, 0 if
    /// it must not be sent again.
    pub(super) fn retry_until(&self, state: &RequestState) -> Option<Micros> {
        let class = &self.settings.classes[state.request.class];
        let run = state
            .may_have_run
            .filter(|_| class.idempotency != Idempotency::Idempotent)?;
        Some(if class.idempotency == Idempotency::WithKey {
            run.sent.saturating_add(class.deduplication_window)
        } else {
            0
        })
    }

    pub(super) fn may_retry(&self, state: &RequestState, now: Micros) -> bool {
        self.retry_until(state).is_none_or(|until| now < until)
    }

    /// Returns whether a request may be sent to this endpoint. If the request may have run, the endpoint must be one that
    /// drops repeats of it.
    pub(super) fn may_repeat_at(
        &self,
        state: &RequestState,
        endpoint: &TrackedEndpoint,
        now: Micros,
    ) -> bool {
        let class = &self.settings.classes[state.request.class];
        let Some(run) = state
            .may_have_run
            .filter(|_| class.idempotency != Idempotency::Idempotent)
        else {
            return true;
        };
        let Some(first_endpoint) = self.endpoints.get(&run.endpoint) else {
            return false;
        };
        self.may_retry(state, now)
            && match class.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first_endpoint.info.zone == endpoint.info.zone,
                DeduplicationScope::Rack => first_endpoint.info.rack == endpoint.info.rack,
            }
    }

    /// Gives the final answer of a request that cannot be served: a rejection if a retry is harmless, otherwise a failure.
    pub(super) fn fail_request(&mut self, now: Micros, state: RequestState, out: &mut Actions) {
        let class = &self.settings.classes[state.request.class];
        let deduplicated_everywhere = class.idempotency == Idempotency::WithKey
            && class.deduplication_scope == DeduplicationScope::All;
        let harmless = class.idempotency == Idempotency::Idempotent
            || state.may_have_run.is_none()
            || deduplicated_everywhere;
        out.push(if harmless && now < state.deadline {
            Action::Reject {
                request: state.request.id,
                retry_after: self.settings.max_retry_after,
            }
        } else {
            Action::Fail(state.request.id)
        });
        self.finish(now, state, out);
    }

    pub(super) fn on_client_disconnected(
        &mut self,
        now: Micros,
        request: RequestId,
        out: &mut Actions,
    ) {
        let Some(state) = self.open_requests.remove(&request) else {
            return;
        };
        for (number, attempt) in state.attempts.iter().enumerate() {
            if self.settings.may_cancel && attempt.in_flight && !attempt.streaming {
                out.push(Action::Cancel {
                    request,
                    attempt: number as u16,
                });
            }
        }
        self.finish(now, state, out);
    }

    /// Finishes a request: releases its reservations, and drops it unless an attempt is still in flight. If one is, this
    /// is called again when the attempt ends.
    pub(super) fn finish(&mut self, now: Micros, mut state: RequestState, out: &mut Actions) {
        if state.first_token.is_none() {
            let waited = (now - state.arrived) as f64;
            if !state.finished && !state.attempts.is_empty() {
                // A client with a short timeout shows only that its request took at least as long as it waited.
                self.record_ttft_ratio(now, waited / state.objective.max(1.0));
            }
            if !state.finished {
                // An unserved request counts with at least its objective, so that failures don't improve the
                // statistics of its path.
                self.record_path_ttft(now, state.path, waited.max(state.objective));
            }
            // Also sent when a finished request's last attempt ends, as that attempt may have left KV state.
            out.push(Action::ReleaseReservation(state.request.id));
        }
        state.finished = true;
        if state.has_attempt_in_flight() {
            self.open_requests.insert(state.request.id, state);
        }
    }
}
