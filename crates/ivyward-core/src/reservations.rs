//! What engines may hold for one request, and what is released when.
//!
//! A request may leave two things at engines: the KV state of a prefill, and decode slots reserved while the prefill runs.
//! [`RequestReservations`] follows each from the moment it is reserved, through its use by an attempt, to its release.
//! Every transition returns the reservations that the caller has to release now; nothing here does I/O.

use crate::interface::{EndpointId, Outcome};
use crate::mutations::{self, Mutation};

/// How a protocol releases what engines hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseMode {
    /// Each reservation is released by a call of its own, at any time.
    PerReservation,
    /// One call releases all that is held for the request anywhere. It is made once no attempt is in flight, and an
    /// answer's stream makes it unnecessary.
    PerRequest,
}

/// How a call that asks for a decode slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationStatus {
    /// The engine said that it holds the slot.
    Granted,
    /// The engine said no, or nothing left for it.
    Denied,
    /// The slot may be held.
    Unknown,
}

/// Something that an engine may hold for a request. `H` is the caller's handle of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation<H> {
    /// The engine that may hold it.
    pub engine: H,
    /// The engine's id.
    pub endpoint: EndpointId,
    /// The attempt under whose key it is held.
    pub attempt: u16,
    /// Whether it is a decode slot; otherwise it is a KV state.
    pub is_decode_slot: bool,
    /// Whether the engine confirmed it. Otherwise the call that asked for it was given up and may still be on its way: a
    /// release may arrive before it.
    pub confirmed: bool,
}

impl<H> Reservation<H> {
    /// The decode slot that a call with this status leaves behind, if any.
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
    /// The engine that holds it.
    pub engine: H,
    /// The prefill attempt that left it there.
    pub attempt: u16,
}

/// The end of an attempt, as far as it concerns reservations.
#[derive(Clone, Debug)]
pub struct AttemptEnd<H> {
    /// The attempt's number.
    pub attempt: u16,
    /// The engine it was sent to; `None` when the engine was no longer known.
    pub engine: Option<(H, EndpointId)>,
    /// Whether the engine was asked to prefill only.
    pub prefill_only: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether an earlier release of this request was withdrawn, so that its work falls to the next one.
    pub release_withdrawn: bool,
}

/// Where a reservation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// No attempt uses it yet.
    Reserved,
    /// This decode attempt was sent when the slot was known to be held: its engine uses the slot for it.
    ByAttempt(u16),
}

#[derive(Clone, Debug)]
struct Held<H> {
    reservation: Reservation<H>,
    usage: Use,
}

/// All reservations of one request. A reservation leaves it by being returned for release, or by being used up.
#[derive(Clone, Debug)]
pub struct RequestReservations<H> {
    mode: ReleaseMode,
    kv_state: Option<KvState<H>>,
    held: Vec<Held<H>>,
    /// Reservations of attempts below this number were released.
    released_before: u16,
}

impl<H: Clone> RequestReservations<H> {
    /// Those of a request that has just been accepted: none.
    pub fn new(mode: ReleaseMode) -> RequestReservations<H> {
        RequestReservations {
            mode,
            kv_state: None,
            held: Vec::new(),
            released_before: 0,
        }
    }

    /// The KV state that a decode attempt started now would fetch.
    pub fn kv_state(&self) -> Option<&KvState<H>> {
        self.kv_state.as_ref()
    }

    /// Marks the decode slots that an attempt about to be sent to `endpoint` uses.
    ///
    /// Guards against slots that outlast their request: a decode attempt uses the slot that was reserved beside the prefill
    /// whose state it fetches. Its engine knows nothing of one reserved beside a prefill that failed, and a reservation whose
    /// result is not here yet may reach the engine after the attempt.
    pub fn attempt_started(&mut self, attempt: u16, endpoint: EndpointId, prefill_only: bool) {
        if prefill_only {
            return;
        }
        let prefill = self.kv_state.as_ref().map(|state| state.attempt);
        let slots = self
            .held
            .iter_mut()
            .filter(|held| held.reservation.is_decode_slot)
            .filter(|held| held.reservation.endpoint == endpoint);
        for slot in slots {
            let used = Some(slot.reservation.attempt) == prefill
                || mutations::is_active(Mutation::AnyDecodeUsesSlot);
            slot.usage = if used {
                Use::ByAttempt(attempt)
            } else {
                Use::Reserved
            };
        }
    }

    /// Takes in the end of an attempt.
    ///
    /// A successful prefill leaves a KV state. One whose end is unknown may have left a state that nobody will fetch. A
    /// decode engine that found no state ends the use of the present one, which may still be there: an engine that could
    /// not reach the state says the same.
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
                self.hold(state);
                self.kv_state = Some(KvState {
                    engine,
                    attempt: end.attempt,
                });
            } else if may_leave_kv_state(outcome)
                && !mutations::is_active(Mutation::NoReleaseAfterUnknownPrefill)
            {
                match self.mode {
                    ReleaseMode::PerReservation => release.push(state),
                    ReleaseMode::PerRequest => self.hold(state),
                }
            }
        }
        if outcome == Outcome::KvCacheMiss {
            self.kv_state = None;
            if self.mode == ReleaseMode::PerReservation {
                let (slots, states): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held)
                    .into_iter()
                    .partition(|held| held.reservation.is_decode_slot);
                self.held = slots;
                release.extend(states.into_iter().map(|held| held.reservation));
            }
        }
        release
    }

    /// Takes in a decode slot that may be held, while the request waits for its first token. `attempt_in_flight` says
    /// whether the attempt beside which it was reserved still is. Returns the slot if it is to be released at once.
    ///
    /// Guards against a slot that was asked for before a release and granted after it: nobody waits for that one.
    ///
    /// Guards against a slot that was asked for beside a prefill which a network partition keeps from its engine: nobody
    /// knows of an attempt there, so its time runs, and the prefill's own end may be seconds away. The prefill leaves
    /// nothing yet that the release could take.
    pub fn slot_reserved(
        &mut self,
        slot: Reservation<H>,
        attempt_in_flight: bool,
    ) -> Option<Reservation<H>> {
        let may_wait = slot.confirmed || self.mode == ReleaseMode::PerRequest;
        let unheard_of = !slot.confirmed && attempt_in_flight;
        if may_wait && !unheard_of && slot.attempt >= self.released_before {
            self.hold(slot);
            return None;
        }
        Some(slot)
    }

    /// The answer began to stream from this attempt. What its engine fetched or used is gone with that; the rest is
    /// returned, unless the stream itself releases it.
    pub fn first_token(&mut self, attempt: u16) -> Vec<Reservation<H>> {
        let fetched = self.kv_state.take().map(|state| state.attempt);
        let held = std::mem::take(&mut self.held);
        if self.mode == ReleaseMode::PerRequest {
            return Vec::new();
        }
        held.into_iter()
            .filter(|held| match held.reservation.is_decode_slot {
                true => held.usage != Use::ByAttempt(attempt),
                false => fetched != Some(held.reservation.attempt),
            })
            .map(|held| held.reservation)
            .collect()
    }

    /// Returns everything for release, after `attempts_started` attempts.
    ///
    /// Guards against a common release of what an attempt in flight still needs or is about to leave: then nothing is
    /// returned, and the attempt's end leads here again.
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
        std::mem::take(&mut self.held)
            .into_iter()
            .map(|held| held.reservation)
            .collect()
    }

    /// The client disconnected. Nothing changes until the router asks for the release.
    pub fn client_disconnected(&mut self) {
        if mutations::is_active(Mutation::NoReleaseOnDisconnect) {
            self.held.clear();
        }
    }

    fn hold(&mut self, reservation: Reservation<H>) {
        self.held.push(Held {
            reservation,
            usage: Use::Reserved,
        });
    }
}

/// Whether a prefill that ended so may have left a KV state although it did not say so.
fn may_leave_kv_state(outcome: Outcome) -> bool {
    outcome == Outcome::Served || outcome.may_have_run()
}
