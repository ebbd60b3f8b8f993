//! The time limit of reservations: KV states and decode slots that no attempt at an endpoint uses.
//!
//! A sent attempt is not yet an attempt at an endpoint: its connection may have fallen silent, or the engine may not read
//! it. Only the endpoint's answer on the attempt's own connection, or a confirmation of its delivery, shows that it has
//! arrived. Until then the time limit of the request's reservations keeps running, and
//! [`crate::interface::UnconfirmedAttempts`] says what happens when it is nearly over.

use super::state::{Actions, Attempt, AttemptKey, AttemptKind, RequestState};
use super::{Router, RESERVATION_TIMER};
use crate::interface::{Action, EndpointId, Micros, Outcome, RequestId, UnconfirmedAttempts};

/// Reservations are released after this share of `Settings::release_within` if no attempt was sent.
const RESERVATION_SHARE: f64 = 0.7;
/// Reservations are released after this share of `Settings::release_within` if an attempt was sent whose arrival is not
/// confirmed. The difference to [`RESERVATION_SHARE`] lets the last byte of an attempt arrive first.
const UNCONFIRMED_SHARE: f64 = 0.85;
/// No attempt starts if less than this share of `Settings::release_within` remains of the reservation time.
const MIN_RESERVATION_SHARE: f64 = 0.1;

/// When the reservations of a request are released unless the arrival of its attempt is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReservationDeadline {
    at: Micros,
    request: RequestId,
}

impl Router {
    /// Returns whether an attempt may arrive at its endpoint later than its last byte was sent, or never.
    pub(super) fn may_arrive_late(&self) -> bool {
        self.settings.in_flight_after_last_byte
            && self.settings.unconfirmed_attempts != UnconfirmedAttempts::CountAsArrived
    }

    /// Returns the time that is `share` of the time limit after the request's reservations began to be unused. `None` if
    /// there are none, or if an attempt counts as in flight from its send.
    fn reservation_time(&self, state: &RequestState, share: f64) -> Option<Micros> {
        let duration = (self.settings.release_within as f64 * share) as Micros;
        state
            .reserved_since
            .filter(|_| self.settings.in_flight_after_last_byte && duration > 0)
            .map(|since| since + duration)
    }

    /// Returns when the last byte of the request's next attempt must have been sent. Otherwise KV state could stay reserved
    /// for too long while one endpoint after another cannot be reached: each connection attempt is within
    /// `Settings::release_within`, but all of them together are not.
    pub(super) fn reservation_deadline(&self, state: &RequestState) -> Option<Micros> {
        self.reservation_time(state, RESERVATION_SHARE)
    }

    /// Releases reservations whose remaining time is too short for another attempt.
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
            // The result of a pending reservation may still arrive.
            state.reserved_since = state.reserved_endpoint.take().map(|_| now);
        }
    }

    /// Sets the timer that ends the wait for the arrival of the attempt in flight, if anything is reserved meanwhile.
    pub(super) fn schedule_reservation_release(&mut self, state: &RequestState, out: &mut Actions) {
        if !self.may_arrive_late() {
            return;
        }
        let Some(at) = self.reservation_time(state, UNCONFIRMED_SHARE) else {
            return;
        };
        let request = state.request.id;
        let is_new = self
            .reservation_deadlines
            .insert(ReservationDeadline { at, request });
        if is_new {
            let token = RESERVATION_TIMER;
            out.push(Action::SetTimer { at, token });
        }
    }

    /// Releases the reservations of requests whose attempts in flight were not confirmed in time.
    pub(super) fn on_reservation_timer(&mut self, now: Micros, out: &mut Actions) {
        while let Some(due) = self.reservation_deadlines.first().copied() {
            if due.at > now {
                return;
            }
            self.reservation_deadlines.remove(&due);
            self.release_unconfirmed(due, out);
        }
    }

    fn release_unconfirmed(&self, due: ReservationDeadline, out: &mut Actions) {
        let request = due.request;
        let Some(state) = self.open_requests.get(&request) else {
            return;
        };
        // The time may have been restarted since the timer was set.
        if self.reservation_time(state, UNCONFIRMED_SHARE) != Some(due.at) {
            return;
        }
        let Some(attempt) = state.unconfirmed_attempt() else {
            return;
        };
        match self.settings.unconfirmed_attempts {
            UnconfirmedAttempts::CountAsArrived => {}
            UnconfirmedAttempts::ReleaseBeside => out.push(Action::ReleaseUnused(request)),
            UnconfirmedAttempts::Cancel => out.push(Action::Cancel { request, attempt }),
        }
    }

    /// Records that an attempt has arrived at its endpoint, where it uses or will use the request's reservations.
    pub(super) fn on_attempt_delivered(&mut self, key: AttemptKey) {
        let state = self.open_requests.get_mut(&key.request);
        let attempt = state.and_then(|state| state.attempts.get_mut(usize::from(key.attempt)));
        if let Some(attempt) = attempt {
            attempt.delivered = true;
        }
    }

    pub(super) fn on_reservation_result(
        &mut self,
        now: Micros,
        request: RequestId,
        endpoint: EndpointId,
        reserved: bool,
        out: &mut Actions,
    ) {
        let Some(mut state) = self.open_requests.remove(&request) else {
            return;
        };
        if state.reserved_endpoint == Some(endpoint) && !reserved {
            state.reserved_endpoint = None;
        }
        if reserved && self.may_arrive_late() && state.unconfirmed_attempt().is_some() {
            state.reserved_since.get_or_insert(now);
            self.schedule_reservation_release(&state, out);
        }
        self.open_requests.insert(request, state);
    }

    /// Updates the time since when a request's reservations are unused at the end of an attempt. An attempt that was at its
    /// endpoint restarts the time. One of which that is not known does not, but a prefill may have left KV state that is
    /// unused from now on.
    pub(super) fn record_reservation_end(
        &self,
        now: Micros,
        state: &mut RequestState,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let is_prefill = attempt.kind == AttemptKind::Prefill;
        let was_sent = !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        let was_at_endpoint = match self.settings.unconfirmed_attempts {
            UnconfirmedAttempts::CountAsArrived => was_sent,
            UnconfirmedAttempts::ReleaseBeside | UnconfirmedAttempts::Cancel => {
                attempt.delivered || outcome.is_answer()
            }
        };
        if was_at_endpoint && (is_prefill || state.reserved_since.is_some()) {
            state.reserved_since = Some(now);
        } else if is_prefill && was_sent {
            state.reserved_since.get_or_insert(now);
        }
    }
}

impl RequestState {
    /// Returns the number of the attempt in flight whose arrival is not confirmed.
    fn unconfirmed_attempt(&self) -> Option<u16> {
        self.attempts
            .iter()
            .position(|attempt| attempt.in_flight && !attempt.delivered && !attempt.streaming)
            .map(|number| number as u16)
    }
}
