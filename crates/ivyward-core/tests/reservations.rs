//! The reservations of a request at engines, and when they are released.

use ivyward_core::interface::{EndpointId, Outcome};
use ivyward_core::reservations::{
    AttemptEnd, KvState, ReleaseMode, RequestReservations, Reservation, ReservationStatus,
};

const PREFILL: EndpointId = EndpointId(1);
const DECODE: EndpointId = EndpointId(2);
const OTHER_DECODE: EndpointId = EndpointId(3);

type Reservations = RequestReservations<&'static str>;

fn end(attempt: u16, outcome: Outcome, prefill_only: bool) -> AttemptEnd<&'static str> {
    AttemptEnd {
        attempt,
        engine: Some(if prefill_only {
            ("prefill", PREFILL)
        } else {
            ("decode", DECODE)
        }),
        prefill_only,
        outcome,
        release_withdrawn: false,
    }
}

fn kv_state(attempt: u16, confirmed: bool) -> Reservation<&'static str> {
    Reservation {
        engine: "prefill",
        endpoint: PREFILL,
        attempt,
        is_decode_slot: false,
        confirmed,
    }
}

fn slot(
    endpoint: EndpointId,
    attempt: u16,
    status: ReservationStatus,
) -> Reservation<&'static str> {
    Reservation::decode_slot("decode", endpoint, attempt, status).expect("not denied")
}

/// Returns the reservations of a request whose prefill (attempt 0) succeeded, with a decode slot granted during it.
fn prefilled_with_slot(mode: ReleaseMode) -> Reservations {
    let mut reservations = Reservations::new(mode);
    reservations.attempt_started(0, PREFILL, true);
    let granted = slot(DECODE, 0, ReservationStatus::Granted);
    assert_eq!(reservations.slot_reserved(granted, true), None);
    assert_eq!(
        reservations.attempt_ended(end(0, Outcome::Prefilled, true)),
        []
    );
    reservations
}

#[test]
fn successful_prefill_leaves_a_kv_state_to_fetch() {
    for mode in [ReleaseMode::PerReservation, ReleaseMode::PerRequest] {
        let mut reservations = Reservations::new(mode);
        assert_eq!(reservations.kv_state(), None);
        assert_eq!(
            reservations.attempt_ended(end(0, Outcome::Prefilled, true)),
            []
        );
        let expected = KvState {
            engine: "prefill",
            attempt: 0,
        };
        assert_eq!(reservations.kv_state(), Some(&expected));
        assert_eq!(reservations.release_all(1, false), [kv_state(0, true)]);
        assert_eq!(reservations.kv_state(), None);
        assert_eq!(reservations.release_all(1, false), []);
    }
}

#[test]
fn kv_state_is_unconfirmed_if_a_release_was_withdrawn() {
    let mut reservations = Reservations::new(ReleaseMode::PerRequest);
    let end = AttemptEnd {
        release_withdrawn: true,
        ..end(0, Outcome::Prefilled, true)
    };
    assert_eq!(reservations.attempt_ended(end), []);
    assert_eq!(reservations.release_all(1, false), [kv_state(0, false)]);
}

#[test]
fn prefill_of_unknown_outcome_may_leave_a_kv_state() {
    let unknown = [
        Outcome::Served,
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    for outcome in unknown {
        let mut per_reservation = Reservations::new(ReleaseMode::PerReservation);
        assert_eq!(
            per_reservation.attempt_ended(end(0, outcome, true)),
            [kv_state(0, false)]
        );
        assert_eq!(per_reservation.release_all(1, false), []);

        let mut per_request = Reservations::new(ReleaseMode::PerRequest);
        assert_eq!(per_request.attempt_ended(end(0, outcome, true)), []);
        assert_eq!(per_request.release_all(1, false), [kv_state(0, false)]);
        assert_eq!(per_request.kv_state(), None);
    }
}

#[test]
fn prefill_that_never_ran_leaves_nothing() {
    let never_ran = [
        Outcome::ConnectFailed,
        Outcome::NotSent,
        Outcome::Rejected,
        Outcome::KvCacheMiss,
    ];
    for outcome in never_ran {
        for mode in [ReleaseMode::PerReservation, ReleaseMode::PerRequest] {
            let mut reservations = Reservations::new(mode);
            assert_eq!(reservations.attempt_ended(end(0, outcome, true)), []);
            assert_eq!(reservations.release_all(1, false), []);
        }
    }
}

#[test]
fn decode_attempt_and_unknown_engine_leave_nothing() {
    let mut reservations = Reservations::new(ReleaseMode::PerReservation);
    assert_eq!(
        reservations.attempt_ended(end(0, Outcome::Reset, false)),
        []
    );
    let unknown_engine = AttemptEnd {
        engine: None,
        ..end(1, Outcome::Reset, true)
    };
    assert_eq!(reservations.attempt_ended(unknown_engine), []);
    assert_eq!(reservations.release_all(2, false), []);
}

#[test]
fn cache_miss_releases_kv_states_but_not_slots() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    reservations.attempt_started(1, DECODE, false);
    assert_eq!(
        reservations.attempt_ended(end(1, Outcome::KvCacheMiss, false)),
        [kv_state(0, true)]
    );
    assert_eq!(reservations.kv_state(), None);
    let remaining = reservations.release_all(2, false);
    assert_eq!(remaining, [slot(DECODE, 0, ReservationStatus::Granted)]);
}

#[test]
fn cache_miss_releases_nothing_if_one_call_releases_the_whole_request() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerRequest);
    assert_eq!(
        reservations.attempt_ended(end(1, Outcome::KvCacheMiss, false)),
        []
    );
    assert_eq!(reservations.kv_state(), None);
    assert_eq!(reservations.release_all(2, false).len(), 2);
}

#[test]
fn first_token_uses_up_the_fetched_kv_state_and_its_slot() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    reservations.attempt_started(1, DECODE, false);
    assert_eq!(reservations.first_token(1), []);
    assert_eq!(reservations.kv_state(), None);
    assert_eq!(reservations.release_all(2, false), []);
}

#[test]
fn first_token_releases_a_slot_at_another_engine() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    reservations.attempt_started(1, OTHER_DECODE, false);
    let unused = slot(DECODE, 0, ReservationStatus::Granted);
    assert_eq!(reservations.first_token(1), [unused]);
}

#[test]
fn first_token_releases_a_slot_that_an_earlier_attempt_used() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    reservations.attempt_started(1, DECODE, false);
    reservations.attempt_started(2, OTHER_DECODE, false);
    let used_before = slot(DECODE, 0, ReservationStatus::Granted);
    assert_eq!(reservations.first_token(2), [used_before]);
}

#[test]
fn slot_reserved_with_a_failed_prefill_is_not_used() {
    let mut reservations = Reservations::new(ReleaseMode::PerReservation);
    let granted = slot(DECODE, 0, ReservationStatus::Granted);
    assert_eq!(reservations.slot_reserved(granted.clone(), true), None);
    reservations.attempt_ended(end(0, Outcome::Rejected, true));
    reservations.attempt_ended(end(1, Outcome::Prefilled, true));
    reservations.attempt_started(2, DECODE, false);
    assert_eq!(reservations.first_token(2), [granted]);
}

#[test]
fn slot_granted_after_the_attempt_started_is_not_used() {
    let mut reservations = Reservations::new(ReleaseMode::PerReservation);
    reservations.attempt_ended(end(0, Outcome::Prefilled, true));
    reservations.attempt_started(1, DECODE, false);
    let granted = slot(DECODE, 0, ReservationStatus::Granted);
    assert_eq!(reservations.slot_reserved(granted.clone(), false), None);
    assert_eq!(reservations.first_token(1), [granted]);
}

#[test]
fn prefill_attempt_uses_no_slot() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    reservations.attempt_started(1, DECODE, true);
    let unused = slot(DECODE, 0, ReservationStatus::Granted);
    assert_eq!(reservations.first_token(1), [unused]);
}

#[test]
fn first_token_releases_nothing_if_the_stream_does() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerRequest);
    reservations.attempt_started(1, OTHER_DECODE, false);
    assert_eq!(reservations.first_token(1), []);
    assert_eq!(reservations.release_all(2, false), []);
}

/// Guards against a state that a cancelled prefill leaves after the stream has begun elsewhere.
#[test]
fn first_token_releases_what_prefills_of_unknown_end_may_still_leave() {
    let mut reservations = Reservations::new(ReleaseMode::PerRequest);
    reservations.attempt_ended(end(0, Outcome::Cancelled, true));
    reservations.attempt_ended(end(1, Outcome::Prefilled, true));
    reservations.attempt_started(2, DECODE, false);
    assert_eq!(reservations.first_token(2), [kv_state(0, false)]);
    assert_eq!(reservations.release_all(3, false), []);
}

/// Guards against a stream that forgets a release which its prefill had withdrawn.
#[test]
fn first_token_makes_up_for_a_withdrawn_release() {
    let mut reservations = Reservations::new(ReleaseMode::PerRequest);
    let prefilled = AttemptEnd {
        release_withdrawn: true,
        ..end(0, Outcome::Prefilled, true)
    };
    reservations.attempt_ended(prefilled);
    reservations.attempt_started(1, DECODE, false);
    assert_eq!(reservations.first_token(1), [kv_state(0, false)]);
}

/// Guards against a state that an engine keeps for a decode attempt whose end it has not noticed when the release arrives.
#[test]
fn release_after_a_decode_attempt_of_unknown_end_is_unconfirmed() {
    for outcome in [Outcome::Cancelled, Outcome::TimedOut, Outcome::Reset] {
        let mut reservations = Reservations::new(ReleaseMode::PerRequest);
        reservations.attempt_ended(end(0, Outcome::Prefilled, true));
        reservations.attempt_started(1, DECODE, false);
        reservations.attempt_ended(end(1, outcome, false));
        assert_eq!(reservations.release_all(2, false), [kv_state(0, false)]);
    }
}

#[test]
fn denied_slot_leaves_nothing() {
    let denied = Reservation::decode_slot("decode", DECODE, 0, ReservationStatus::Denied);
    assert_eq!(denied, None);
}

#[test]
fn slot_of_unknown_status_is_released_at_once_if_reservations_are_released_individually() {
    for in_flight in [true, false] {
        let mut reservations = Reservations::new(ReleaseMode::PerReservation);
        let unknown = slot(DECODE, 0, ReservationStatus::Unknown);
        assert_eq!(
            reservations.slot_reserved(unknown.clone(), in_flight),
            Some(unknown)
        );
        assert_eq!(reservations.release_all(1, false), []);
    }
}

#[test]
fn slot_of_unknown_status_waits_for_the_release_of_the_request_unless_its_attempt_is_in_flight() {
    let unknown = slot(DECODE, 0, ReservationStatus::Unknown);

    let mut reservations = Reservations::new(ReleaseMode::PerRequest);
    assert_eq!(
        reservations.slot_reserved(unknown.clone(), true),
        Some(unknown.clone())
    );
    assert_eq!(reservations.release_all(1, false), []);

    assert_eq!(
        reservations.slot_reserved(unknown.clone(), false),
        Some(unknown.clone())
    );
    let mut reservations = Reservations::new(ReleaseMode::PerRequest);
    assert_eq!(reservations.slot_reserved(unknown.clone(), false), None);
    assert_eq!(reservations.release_all(1, false), [unknown]);
}

#[test]
fn slot_granted_after_a_release_is_released_at_once() {
    for mode in [ReleaseMode::PerReservation, ReleaseMode::PerRequest] {
        let mut reservations = Reservations::new(mode);
        assert_eq!(reservations.release_all(1, false), []);
        let late = slot(DECODE, 0, ReservationStatus::Granted);
        assert_eq!(reservations.slot_reserved(late.clone(), false), Some(late));
        let next = slot(DECODE, 1, ReservationStatus::Granted);
        assert_eq!(reservations.slot_reserved(next.clone(), true), None);
        assert_eq!(reservations.release_all(2, false), [next]);
    }
}

#[test]
fn release_of_the_whole_request_waits_for_attempts_in_flight() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerRequest);
    assert_eq!(reservations.release_all(2, true), []);
    assert!(reservations.kv_state().is_some());
    assert_eq!(reservations.release_all(2, false).len(), 2);
}

#[test]
fn release_of_single_reservations_does_not_wait_for_attempts_in_flight() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    let released = reservations.release_all(2, true);
    let expected = [
        slot(DECODE, 0, ReservationStatus::Granted),
        kv_state(0, true),
    ];
    assert_eq!(released, expected);
}

#[test]
fn disconnect_alone_releases_nothing() {
    let mut reservations = prefilled_with_slot(ReleaseMode::PerReservation);
    reservations.client_disconnected();
    assert!(reservations.kv_state().is_some());
    assert_eq!(reservations.release_all(1, false).len(), 2);
}
