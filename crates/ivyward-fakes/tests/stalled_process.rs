//! The rule checker does not count time in which the whole process did not run, and counts all other time.

use ivyward_fakes::event_log::{
    AttemptKey, CallIdempotency, CallKind, ClientOutcome, LoggedEvent, ObservedEvent, RetentionEnd,
};
use ivyward_fakes::{check, RuleLimits};
use std::collections::BTreeMap;

const CALL: u64 = 1;
const ENGINE: u64 = 2;
const KEY: AttemptKey = AttemptKey {
    node: 3,
    request: 4,
    attempt: 0,
};
/// How long the stall lasts, in microseconds.
const STALL: u64 = 600_000;

fn limits() -> RuleLimits {
    RuleLimits {
        delivery_allowance: 50_000,
        notification_allowance: 50_000,
        drain_grace: 100_000,
        overload_multiple: 0.0,
        overload_window: 1_000_000,
        initial_capacity: 1.0,
        warm_up_duration: 0,
        release_within: 200_000,
        locations: BTreeMap::new(),
    }
}

fn attempt_arrived() -> ObservedEvent {
    ObservedEvent::AttemptArrived {
        engine: ENGINE,
        key: KEY,
        call: CALL,
        kind: CallKind::Decode,
        timeout: Some(1_000_000),
    }
}

/// A call whose client waits for a second from time 0.
fn call_started() -> (u64, ObservedEvent) {
    let event = ObservedEvent::CallStarted {
        call: CALL,
        operation: CALL,
        node: 0,
        idempotency: CallIdempotency::Idempotent,
        until: 1_000_000,
    };
    (0, event)
}

fn call_ended(at: u64, outcome: ClientOutcome) -> (u64, ObservedEvent) {
    let event = ObservedEvent::CallEnded {
        call: CALL,
        outcome,
    };
    (at, event)
}

/// Returns the violations in a log, without a stall and with one that ends at `stall_end`.
fn violations(events: &[(u64, ObservedEvent)], stall_end: u64) -> [Vec<String>; 2] {
    let stall = ObservedEvent::ProcessStalled { duration: STALL };
    [None, Some((stall_end, stall))].map(|stall| {
        let mut log: Vec<LoggedEvent> = events
            .iter()
            .copied()
            .chain(stall)
            .map(|(at, event)| LoggedEvent { at, event })
            .collect();
        log.sort_by_key(|logged| logged.at);
        check(&log, &limits(), 5_000_000).violations()
    })
}

/// Asserts that `events` break a rule, and break none if the process did not run in the `STALL` before `stall_end`.
fn assert_excused_by_stall(events: &[(u64, ObservedEvent)], stall_end: u64) {
    let [without, with] = violations(events, stall_end);
    assert_eq!(without.len(), 1, "{without:?}");
    assert_eq!(with, Vec::<String>::new());
}

#[test]
fn an_answer_that_was_due_in_a_stall_is_excused_and_no_other() {
    let events = [
        call_started(),
        call_ended(1_010_000, ClientOutcome::TimedOut),
    ];
    assert_excused_by_stall(&events, 1_005_000);
    // Long before the answer was due, and after it.
    for stall_end in [900_000, 1_010_000 + STALL] {
        assert_eq!(violations(&events, stall_end)[1].len(), 1, "{stall_end}");
    }
}

#[test]
fn an_attempt_in_flight_during_a_stall_is_not_late() {
    let started = call_started();
    let ended = call_ended(100_000, ClientOutcome::Disconnected);
    let arrival = |at| [started, ended, (at, attempt_arrived())];
    // Within the allowance after a stall of 600 ms, and beyond it.
    let [_, with] = violations(&arrival(740_000), 735_000);
    let late = |text: &String| text.contains("after the call ended");
    assert!(!with.iter().any(late), "{with:?}");
    let [_, with] = violations(&arrival(760_000), 735_000);
    assert!(with.iter().any(late), "{with:?}");
}

#[test]
fn a_deadline_stated_before_a_stall_is_compared_without_it() {
    let served = call_ended(900_000, ClientOutcome::Served);
    let events = [call_started(), (610_000, attempt_arrived()), served];
    assert_excused_by_stall(&events, 605_000);
    assert_eq!(violations(&events, 800_000 + STALL)[1].len(), 1);
}

/// Guards against an excess that is cut to the time since the log's clock started.
#[test]
fn an_excessive_deadline_is_found_at_the_start_of_the_clock() {
    let arrived = ObservedEvent::AttemptArrived {
        engine: ENGINE,
        key: KEY,
        call: CALL,
        kind: CallKind::Decode,
        timeout: Some(9_000_000),
    };
    let served = call_ended(900_000, ClientOutcome::Served);
    let [without, _] = violations(&[call_started(), (1_000, arrived), served], 5_000_000);
    assert_eq!(without.len(), 1, "{without:?}");
}

#[test]
fn a_reservation_is_not_held_too_long_by_a_stall() {
    let retained = ObservedEvent::Retained {
        engine: ENGINE,
        key: KEY,
        is_decode_slot: false,
    };
    let released = ObservedEvent::Released {
        engine: ENGINE,
        key: KEY,
        is_decode_slot: false,
        how: RetentionEnd::Released,
    };
    assert_excused_by_stall(&[(0, retained), (840_000, released)], 700_000);
    let too_long = [(0, retained), (860_000, released)];
    assert_eq!(violations(&too_long, 700_000)[1].len(), 1);
}

#[test]
fn the_grace_period_of_a_drain_does_not_run_in_a_stall() {
    let notified = ObservedEvent::NodeNotified {
        node: KEY.node,
        engine: ENGINE,
        ready: false,
    };
    assert_excused_by_stall(&[(0, notified), (740_000, attempt_arrived())], 650_000);
    let late = [(0, notified), (760_000, attempt_arrived())];
    assert_eq!(violations(&late, 650_000)[1].len(), 1);
}
