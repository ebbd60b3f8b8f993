//! Tracks what engines have reserved for one request, and decides when each reservation is released.
//!
//! Engines reserve two things for a request: the KV state of a prefill, and decode slots requested while the prefill runs.
//! [`RequestReservations`] tracks each reservation from the moment it may exist, through its use by an attempt, to its
//! release. Every transition returns the reservations that the caller has to release now. The module does no I/O.

use crate::interface::{EndpointId, Outcome};
use crate::mutations::{self, Mutation};

/// How an engine protocol releases reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseMode {
    /// Each reservation is released by its own call, at any time.
    PerReservation,
    /// One call releases all reservations of the request at all engines. It is made when no attempt is in flight. Engines
    /// release what they hold by themselves once an answer has begun to stream.
    PerRequest,
}

/// The result of a call that requests a decode slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationStatus {
    /// The engine reserved the slot.
    Granted,
    /// The engine denied the slot, or the call was never sent to it.
    Denied,
    /// The call was sent and its result is unknown, so the slot may be reserved.
    Unknown,
}

/// A KV state or decode slot that an engine may have reserved for a request. `H` is the caller's handle of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation<H> {
    /// The engine at which the reservation was made.
    pub engine: H,
    /// The endpoint id of that engine.
    pub endpoint: EndpointId,
    /// The number of the attempt in the reservation's key at the engine.
    pub attempt: u16,
    /// Whether it is a decode slot; otherwise it is a KV state.
    pub is_decode_slot: bool,
    /// Whether the engine confirmed the reservation. Otherwise the call that requested it was abandoned and may still be
    /// in transit, so that a release may arrive before it.
    pub confirmed: bool,
}

impl<H> Reservation<H> {
    /// Returns the decode slot that may be reserved after a call with this status; `None` if it was denied.
    pub fn decode_slot(
        engine: H,
        endpoint: EndpointId,
        attempt: u16,
        status: ReservationStatus,
    ) -> Option<Reservation<H>> {
        (status != ReservationStatus::Denied).then_some(Reservation {
            engine,
            endpoint,
            attempt,
            is_decode_slot: true,
            confirmed: status == ReservationStatus::Granted,
        })
    }
}

/// The KV state that the next decode attempt fetches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvState<H> {
    /// The engine that stores the KV state.
    pub engine: H,
    /// The number of the prefill attempt that produced it.
    pub attempt: u16,
}

/// The end of an attempt, with the facts that decide what happens to its reservations.
#[derive(Clone, Debug)]
pub struct AttemptEnd<H> {
    /// The number of the attempt.
    pub attempt: u16,
    /// The engine that the attempt was sent to; `None` if the engine was no longer known.
    pub engine: Option<(H, EndpointId)>,
    /// Whether the attempt only prefilled the prompt.
    pub prefill_only: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether a pending release of this request was withdrawn. The next release then also has to cover what the withdrawn
    /// one would have released.
    pub release_withdrawn: bool,
}

/// Whether an attempt uses a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usage {
    /// No attempt uses it yet.
    Unused,
    /// The engine uses the decode slot for this attempt, which was sent after the slot was known to be reserved.
    ByAttempt(u16),
}

#[derive(Clone, Debug)]
struct Tracked<H> {
    reservation: Reservation<H>,
    usage: Usage,
}

/// All reservations of one request. A reservation is removed when it is returned for release or used up by an attempt.
#[derive(Clone, Debug)]
pub struct RequestReservations<H> {
    mode: ReleaseMode,
    kv_state: Option<KvState<H>>,
    reservations: Vec<Tracked<H>>,
    /// Reservations of attempts with a lower number were returned for release.
    released_before: u16,
    /// Whether an engine may not have noticed yet that a decode attempt has ended. With [`ReleaseMode::PerRequest`], a release
    /// that arrives before that leaves what the attempt waits for.
    decode_may_be_waiting: bool,
}

impl<H: Clone> RequestReservations<H> {
    /// Returns the reservations of a newly accepted request, which has none.
    pub fn new(mode: ReleaseMode) -> RequestReservations<H> {
        RequestReservations {
            mode,
            kv_state: None,
            reservations: Vec::new(),
            released_before: 0,
            decode_may_be_waiting: false,
        }
    }

    /// Returns the KV state that a decode attempt sent now would fetch.
    pub fn kv_state(&self) -> Option<&KvState<H>> {
        self.kv_state.as_ref()
    }

    /// Marks the decode slots that an attempt about to be sent to `endpoint` will use.
    ///
    /// A decode attempt uses only the slot that was reserved with the prefill whose KV state it fetches. The engine does not
    /// associate the attempt with a slot reserved for a prefill that failed, and a reservation whose result is not known yet
    /// may reach the engine after the attempt. If such slots counted as used, they would stay reserved after the request.
    pub fn attempt_started(&mut self, attempt: u16, endpoint: EndpointId, prefill_only: bool) {
        if prefill_only {
            return;
        }
        let prefill = self.kv_state.as_ref().map(|state| state.attempt);
        let slots = self
            .reservations
            .iter_mut()
            .filter(|tracked| tracked.reservation.is_decode_slot)
            .filter(|tracked| tracked.reservation.endpoint == endpoint);
        for slot in slots {
            let used = Some(slot.reservation.attempt) == prefill
                || mutations::is_active(Mutation::AnyDecodeUsesSlot);
            slot.usage = if used {
                Usage::ByAttempt(attempt)
            } else {
                Usage::Unused
            };
        }
    }

    /// Records the end of an attempt and returns the reservations to release.
    ///
    /// A successful prefill leaves a KV state to fetch. A prefill of unknown outcome may have left a KV state that no
    /// attempt will fetch. After a KV cache miss the current KV state is not used any more, but may still exist, so it has to
    /// be released: a decode engine also reports a miss when it could not reach the engine that stores the state.
    pub fn attempt_ended(&mut self, end: AttemptEnd<H>) -> Vec<Reservation<H>> {
        let mut release = Vec::new();
        let outcome = end.outcome;
        if let Some((engine, endpoint)) = end.engine.filter(|_| end.prefill_only) {
            let state = Reservation {
                engine: engine.clone(),
                endpoint,
                attempt: end.attempt,
                is_decode_slot: false,
                confirmed: outcome == Outcome::Prefilled && !end.release_withdrawn,
            };
            if outcome == Outcome::Prefilled {
                self.track(state);
                self.kv_state = Some(KvState {
                    engine,
                    attempt: end.attempt,
                });
            } else if may_leave_kv_state(outcome)
                && !mutations::is_active(Mutation::NoReleaseAfterUnknownPrefill)
            {
                match self.mode {
                    ReleaseMode::PerReservation => release.push(state),
                    ReleaseMode::PerRequest => self.track(state),
                }
            }
        }
        if !end.prefill_only && self.mode == ReleaseMode::PerRequest {
            self.decode_may_be_waiting |= may_still_be_waiting(outcome);
        }
        if outcome == Outcome::KvCacheMiss {
            self.kv_state = None;
            if self.mode == ReleaseMode::PerReservation {
                let (slots, states): (Vec<_>, Vec<_>) = std::mem::take(&mut self.reservations)
                    .into_iter()
                    .partition(|tracked| tracked.reservation.is_decode_slot);
                self.reservations = slots;
                release.extend(states.into_iter().map(|tracked| tracked.reservation));
            }
        }
        release
    }

    /// Records a decode slot that may be reserved, while the request waits for its first token. `attempt_in_flight` says
    /// whether the prefill attempt that the slot was requested with is still in flight. Returns the slot if it has to be
    /// released at once, in three cases:
    ///
    /// - The slot was requested before a release and granted after it, so no attempt will use it.
    /// - The slot is unconfirmed and can be released on its own ([`ReleaseMode::PerReservation`]).
    /// - The slot is unconfirmed and its prefill attempt is in flight. A network partition may keep the prefill from
    ///   reaching its engine. Then no engine knows of an attempt, so the time limit of the reservation runs, and the prefill
    ///   may take seconds to fail. An early release is safe because the prefill has left nothing yet that it could remove.
    pub fn slot_reserved(
        &mut self,
        slot: Reservation<H>,
        attempt_in_flight: bool,
    ) -> Option<Reservation<H>> {
        let may_wait = slot.confirmed || self.mode == ReleaseMode::PerRequest;
        let engine_may_not_know = !slot.confirmed && attempt_in_flight;
        if may_wait && !engine_may_not_know && slot.attempt >= self.released_before {
            self.track(slot);
            return None;
        }
        Some(slot)
    }

    /// Records that the answer began to stream from this attempt. The KV state and the slot that the attempt used are used
    /// up. The other reservations are returned for release; with [`ReleaseMode::PerRequest`] only the unconfirmed ones are,
    /// because the stream makes engines release what they hold, and what is still on its way to an engine comes after that.
    pub fn first_token(&mut self, attempt: u16) -> Vec<Reservation<H>> {
        let fetched = self.kv_state.take().map(|state| state.attempt);
        let reservations = std::mem::take(&mut self.reservations);
        let is_left = |tracked: &Tracked<H>| match self.mode {
            ReleaseMode::PerRequest => !tracked.reservation.confirmed,
            ReleaseMode::PerReservation if tracked.reservation.is_decode_slot => {
                tracked.usage != Usage::ByAttempt(attempt)
            }
            ReleaseMode::PerReservation => fetched != Some(tracked.reservation.attempt),
        };
        reservations
            .into_iter()
            .filter(is_left)
            .map(|tracked| tracked.reservation)
            .collect()
    }

    /// Returns all reservations for release. `attempts_started` is the number of attempts so far.
    ///
    /// With [`ReleaseMode::PerRequest`], nothing is returned while an attempt is in flight: the release would remove what
    /// the attempt still needs, or come before what the attempt is about to leave. The caller calls this again when the
    /// attempt ends.
    pub fn release_all(
        &mut self,
        attempts_started: u16,
        any_in_flight: bool,
    ) -> Vec<Reservation<H>> {
        if self.mode == ReleaseMode::PerRequest && any_in_flight {
            return Vec::new();
        }
        self.kv_state = None;
        self.released_before = attempts_started;
        let decode_has_ended = !self.decode_may_be_waiting;
        std::mem::take(&mut self.reservations)
            .into_iter()
            .map(|tracked| Reservation {
                confirmed: tracked.reservation.confirmed && decode_has_ended,
                ..tracked.reservation
            })
            .collect()
    }

    /// Returns all reservations, which stay tracked.
    pub fn all(&self) -> Vec<Reservation<H>> {
        let reservations = self.reservations.iter();
        reservations
            .map(|tracked| tracked.reservation.clone())
            .collect()
    }

    /// Records that the client disconnected. Nothing is released until the router requests it.
    pub fn client_disconnected(&mut self) {
        if mutations::is_active(Mutation::NoReleaseOnDisconnect) {
            self.reservations.clear();
        }
    }

    fn track(&mut self, reservation: Reservation<H>) {
        self.reservations.push(Tracked {
            reservation,
            usage: Usage::Unused,
        });
    }
}

/// Returns whether an engine may still run an attempt that ended with this outcome for the node.
fn may_still_be_waiting(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Cancelled | Outcome::TimedOut | Outcome::Reset
    )
}

/// Returns whether a prefill attempt with this outcome may have left a KV state without confirming it.
fn may_leave_kv_state(outcome: Outcome) -> bool {
    outcome == Outcome::Served || outcome.may_have_run()
}
