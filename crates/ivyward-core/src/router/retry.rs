//! Limits on attempts: time-outs, reservations, what idempotency allows, and final answers.

use super::health::STALL_MULTIPLE;
use super::state::{Actions, AttemptKind, RequestState, TrackedEndpoint};
use super::Router;
use crate::interface::{Action, DeduplicationScope, EndpointId, Idempotency, Micros, RequestId};

/// The share of the remaining time that an attempt may take while another could follow.
const ATTEMPT_TIME_SHARE: f64 = 0.65;
/// No time-out is set under this multiple of the expected latency.
const MIN_TIMEOUT_MULTIPLE: f64 = 4.0;
/// Reservations are released after this share of their allowed time if no attempt reached an endpoint.
const RESERVATION_SHARE: f64 = 0.7;
/// Each attempt but the last may take this share of what is left of it to connect.
const CONNECT_SHARE: f64 = 0.5;
/// No attempt begins in this last share of the allowed time.
const MIN_RESERVATION_SHARE: f64 = 0.1;

/// What [`Router::attempt_timeout`] depends on.
pub(super) struct TimeoutInputs {
    pub(super) kind: AttemptKind,
    /// Attempts left, this one among them.
    pub(super) attempts_left: usize,
    /// Expected latency in microseconds.
    pub(super) expected: f64,
}

impl Router {
    /// How many attempts a request may still have.
    pub(super) fn attempts_left(&self, state: &RequestState) -> usize {
        (self.settings.max_attempts as usize).saturating_sub(state.attempts.len())
    }

    /// The time-out of an attempt; 0 for none. It leaves time for another attempt, unless a repeat is ruled
    /// out. Under a clear multiple of the expected latency it would only give up places under overload, or
    /// with clients of short timeouts.
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
        // Attempts that cannot be cancelled when they stall time out instead.
        let stall = if self.settings.may_cancel {
            share
        } else {
            STALL_MULTIPLE * inputs.expected
        };
        let too_short = share < MIN_TIMEOUT_MULTIPLE * inputs.expected;
        if must_not_repeat || inputs.attempts_left <= 1 || too_short {
            0
        } else {
            share.min(stall) as Micros
        }
    }

    /// When the attempt's last byte must have been sent; 0 for no limit. Guards against a repeat sent after
    /// its deduplication window, as its connection came up late.
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

    /// When reservations are released unless an attempt reaches an endpoint. Guards against KV state that
    /// waits while one endpoint after the other cannot be reached: each connection attempt alone is within the
    /// time, and all together are not. An attempt that reached its endpoint starts the time anew.
    fn reservation_deadline(&self, state: &RequestState) -> Option<Micros> {
        let span = (self.settings.release_within as f64 * RESERVATION_SHARE) as Micros;
        state
            .reserved_since
            .filter(|_| self.settings.in_flight_after_last_byte && span > 0)
            .map(|since| since + span)
    }

    /// Releases reservations whose time leaves none for another attempt.
    pub(super) fn release_expired_reservation(
        &self,
        now: Micros,
        state: &mut RequestState,
        out: &mut Actions,
    ) {
        let shortest = (self.settings.release_within as f64 * MIN_RESERVATION_SHARE) as Micros;
        let expired = self
            .reservation_deadline(state)
            .is_some_and(|until| now + shortest >= until);
        if expired {
            out.push(Action::ReleaseReservation(state.request.id));
            state.kv_endpoint = None;
            // A reservation that is still on its way may arrive later.
            state.reserved_since = state.reserved_endpoint.take().map(|_| now);
        }
    }

    pub(super) fn on_reservation_result(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        reserved: bool,
    ) {
        let Some(state) = self.open_requests.get_mut(&request) else {
            return;
        };
        if state.reserved_endpoint == Some(endpoint) && !reserved {
            state.reserved_endpoint = None;
        }
    }

    /// Until when a request that may have run may be sent again, so that no effect happens twice; `None` for
    /// no limit.
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

    /// Whether a request may be sent to this endpoint: if it may have run, the endpoint must drop repeats.
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
        let Some(ran_at) = self.endpoints.get(&run.endpoint) else {
            return false;
        };
        self.may_retry(state, now)
            && match class.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => ran_at.info.zone == endpoint.info.zone,
                DeduplicationScope::Rack => ran_at.info.rack == endpoint.info.rack,
            }
    }

    /// The final answer of a request that cannot be served: a rejection where another try does no harm.
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

    /// Ends a request: releases its reservations, and forgets it once its attempts have ended.
    pub(super) fn finish(&mut self, now: Micros, mut state: RequestState, out: &mut Actions) {
        if state.first_token.is_none() {
            let waited = (now - state.arrived) as f64;
            if !state.finished && !state.attempts.is_empty() {
                // A client with a short timeout tells no more than how long it waited.
                self.record_ttft_ratio(now, waited / state.objective.max(1.0));
            }
            if !state.finished {
                // An unserved request must not flatter its path: the time it cost counts.
                self.record_path_ttft(now, state.path, waited.max(state.objective));
            }
            // Also when a late outcome of a finished request leaves KV state behind.
            out.push(Action::ReleaseReservation(state.request.id));
        }
        state.finished = true;
        if state.has_attempt_in_flight() {
            self.open_requests.insert(state.request.id, state);
        }
    }
}
