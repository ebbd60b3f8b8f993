//! The invariant guard: for each rule, a step that breaks it and a similar step that does not.

mod common;

use common::{endpoint, settings, SECOND};
use ivyward_core::interface::*;
use ivyward_core::invariants::{AnswerKind, AttemptReason, AttemptTarget, Guard, NodePhase, Rule};

const IDEMPOTENT: usize = 0;
const NON_IDEMPOTENT: usize = 1;
const WITH_KEY_IN_ZONE: usize = 2;
const PREFILL: AttemptTarget = AttemptTarget {
    endpoint: EndpointId(1),
    prefill_only: true,
};
const DECODE: AttemptTarget = AttemptTarget {
    endpoint: EndpointId(2),
    prefill_only: false,
};
const FAR_DECODE: AttemptTarget = AttemptTarget {
    endpoint: EndpointId(3),
    prefill_only: false,
};
const REQUEST: RequestId = RequestId(9);

/// Returns the guard of a serving node with a prefill and a decode endpoint in zone 0, a decode endpoint in zone 1, and one
/// request of this class.
fn serving_guard(class: usize) -> Guard {
    let mut guard = Guard::new(&settings());
    let far = Endpoint {
        zone: 1,
        ..endpoint(3, 1)
    };
    guard.update_endpoints(0, ListKind::Full, &[endpoint(1, 0), endpoint(2, 1), far]);
    guard.enter_phase(NodePhase::Serving).unwrap();
    guard.accept(REQUEST, class, 6 * SECOND).unwrap();
    guard
}

fn broken_rule<T: std::fmt::Debug>(result: Result<T, ivyward_core::invariants::Violation>) -> Rule {
    result.expect_err("a step that breaks a rule").rule
}

#[test]
fn a_request_is_prefilled_decoded_and_answered_once() {
    let mut guard = serving_guard(NON_IDEMPOTENT);
    assert_eq!(
        guard.start_attempt(10, REQUEST, 0, PREFILL),
        Ok(AttemptReason::First)
    );
    guard.end_attempt(REQUEST, 0, Outcome::Prefilled);
    assert_eq!(
        guard.start_attempt(20, REQUEST, 1, DECODE),
        Ok(AttemptReason::NextStage)
    );
    guard.end_attempt(REQUEST, 1, Outcome::Served);
    assert_eq!(guard.answer(REQUEST, AnswerKind::Served), Ok(()));
    assert_eq!(
        broken_rule(guard.answer(REQUEST, AnswerKind::Failed)),
        Rule::OneAnswer
    );
    assert_eq!(guard.remove(REQUEST), Ok(()));
    assert_eq!(broken_rule(guard.remove(REQUEST)), Rule::OneAnswer);
}

#[test]
fn nothing_is_sent_after_the_answer_or_the_deadline() {
    let mut guard = serving_guard(IDEMPOTENT);
    assert_eq!(
        broken_rule(guard.start_attempt(6 * SECOND + 1, REQUEST, 0, PREFILL)),
        Rule::NoSendAfterAnswer
    );
    assert!(guard.start_attempt(6 * SECOND, REQUEST, 0, PREFILL).is_ok());
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    guard
        .answer(REQUEST, AnswerKind::ClientDisconnected)
        .unwrap();
    assert_eq!(
        broken_rule(guard.start_attempt(6 * SECOND, REQUEST, 1, PREFILL)),
        Rule::NoSendAfterAnswer
    );
    assert_eq!(
        broken_rule(guard.start_attempt(10, RequestId(5), 0, PREFILL)),
        Rule::NoSendAfterAnswer
    );
}

#[test]
fn one_attempt_is_in_flight_at_a_time() {
    let mut guard = serving_guard(IDEMPOTENT);
    guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
    assert_eq!(
        broken_rule(guard.start_attempt(11, REQUEST, 1, FAR_DECODE)),
        Rule::OneAttempt
    );
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    assert_eq!(
        guard.start_attempt(12, REQUEST, 1, FAR_DECODE),
        Ok(AttemptReason::Retry(Outcome::Reset))
    );
}

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_cannot_have_run() {
    for (outcome, may_retry) in [
        (Outcome::NotSent, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
        (Outcome::Error, false),
        (Outcome::Cancelled, false),
    ] {
        let mut guard = serving_guard(NON_IDEMPOTENT);
        guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
        guard.end_attempt(REQUEST, 0, outcome);
        let sent = guard.clone().start_attempt(20, REQUEST, 1, DECODE);
        let rejected = guard.answer(REQUEST, AnswerKind::Rejected);
        if may_retry {
            assert!(sent.is_ok() && rejected.is_ok(), "{outcome:?}");
        } else {
            assert_eq!(broken_rule(sent), Rule::NoDuplicateExecution, "{outcome:?}");
            assert_eq!(
                broken_rule(rejected),
                Rule::HarmlessRejection,
                "{outcome:?}"
            );
        }
    }
    // A prefill has no side effect, so it may be repeated.
    let mut guard = serving_guard(NON_IDEMPOTENT);
    guard.start_attempt(10, REQUEST, 0, PREFILL).unwrap();
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    assert!(guard.start_attempt(20, REQUEST, 1, DECODE).is_ok());
}

#[test]
fn a_keyed_request_is_retried_inside_its_scope_and_window() {
    let mut guard = serving_guard(WITH_KEY_IN_ZONE);
    guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    assert_eq!(
        broken_rule(guard.clone().start_attempt(20, REQUEST, 1, FAR_DECODE)),
        Rule::NoDuplicateExecution
    );
    assert_eq!(
        broken_rule(
            guard
                .clone()
                .start_attempt(10 + 5 * SECOND, REQUEST, 1, DECODE)
        ),
        Rule::NoDuplicateExecution
    );
    assert!(guard
        .start_attempt(9 + 5 * SECOND, REQUEST, 1, DECODE)
        .is_ok());
}

#[test]
fn a_rejection_while_a_decode_is_in_flight_is_broken_rule() {
    let mut guard = serving_guard(NON_IDEMPOTENT);
    guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
    assert_eq!(
        broken_rule(guard.answer(REQUEST, AnswerKind::Rejected)),
        Rule::HarmlessRejection
    );
    assert_eq!(guard.answer(REQUEST, AnswerKind::Failed), Ok(()));
}

#[test]
fn the_drain_grace_starts_when_the_endpoint_is_first_listed_as_draining() {
    let mut guard = serving_guard(IDEMPOTENT);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint(2, 1)
    };
    guard.update_endpoints(SECOND, ListKind::Changes, &[draining]);
    // Listed as draining again, the endpoint's drain grace does not start again.
    guard.update_endpoints(2 * SECOND, ListKind::Full, &[endpoint(1, 0), draining]);
    assert!(guard
        .clone()
        .start_attempt(2 * SECOND, REQUEST, 0, DECODE)
        .is_ok());
    assert_eq!(
        broken_rule(
            guard
                .clone()
                .start_attempt(2 * SECOND + 1, REQUEST, 0, DECODE)
        ),
        Rule::NoSendToDraining
    );
    guard.update_endpoints(3 * SECOND, ListKind::Changes, &[endpoint(2, 1)]);
    assert!(guard.start_attempt(3 * SECOND, REQUEST, 0, DECODE).is_ok());
}

#[test]
fn a_node_does_not_return_to_an_earlier_phase() {
    let mut guard = serving_guard(IDEMPOTENT);
    guard.enter_phase(NodePhase::Stopping).unwrap();
    guard.enter_phase(NodePhase::Stopping).unwrap();
    assert_eq!(
        broken_rule(guard.enter_phase(NodePhase::Serving)),
        Rule::NodePhase
    );
    assert_eq!(
        broken_rule(guard.enter_phase(NodePhase::Stopped)),
        Rule::NodePhase
    );
    guard.answer(REQUEST, AnswerKind::Failed).unwrap();
    guard.enter_phase(NodePhase::Stopped).unwrap();
    assert_eq!(
        broken_rule(guard.accept(RequestId(10), IDEMPOTENT, SECOND)),
        Rule::NodePhase
    );
}
