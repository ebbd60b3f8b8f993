//! The guard of the invariants: for each rule a step that it forbids, and a similar one that it allows.

mod common;

use common::{server, settings, SECOND};
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

/// A serving node with a prefill and a decode endpoint in zone 0, a decode endpoint in zone 1, and one request.
fn serving(class: usize) -> Guard {
    let mut guard = Guard::new(&settings());
    let far = Endpoint {
        zone: 1,
        ..server(3, 1)
    };
    guard.update_endpoints(0, ListKind::Full, &[server(1, 0), server(2, 1), far]);
    guard.enter_phase(NodePhase::Serving).unwrap();
    guard.accept(REQUEST, class, 6 * SECOND).unwrap();
    guard
}

fn forbidden<T: std::fmt::Debug>(result: Result<T, ivyward_core::invariants::Violation>) -> Rule {
    result.expect_err("a step that breaks a rule").rule
}

#[test]
fn a_request_goes_from_prefill_to_decode_to_one_answer() {
    let mut guard = serving(NON_IDEMPOTENT);
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
        forbidden(guard.answer(REQUEST, AnswerKind::Failed)),
        Rule::OneAnswer
    );
    assert_eq!(guard.remove(REQUEST), Ok(()));
    assert_eq!(forbidden(guard.remove(REQUEST)), Rule::OneAnswer);
}

#[test]
fn nothing_is_sent_after_the_answer_or_the_deadline() {
    let mut guard = serving(IDEMPOTENT);
    assert_eq!(
        forbidden(guard.start_attempt(6 * SECOND + 1, REQUEST, 0, PREFILL)),
        Rule::NoSendAfterAnswer
    );
    assert!(guard.start_attempt(6 * SECOND, REQUEST, 0, PREFILL).is_ok());
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    guard
        .answer(REQUEST, AnswerKind::ClientDisconnected)
        .unwrap();
    assert_eq!(
        forbidden(guard.start_attempt(6 * SECOND, REQUEST, 1, PREFILL)),
        Rule::NoSendAfterAnswer
    );
    assert_eq!(
        forbidden(guard.start_attempt(10, RequestId(5), 0, PREFILL)),
        Rule::NoSendAfterAnswer
    );
}

#[test]
fn one_attempt_is_in_flight_at_a_time() {
    let mut guard = serving(IDEMPOTENT);
    guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
    assert_eq!(
        forbidden(guard.start_attempt(11, REQUEST, 1, FAR_DECODE)),
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
    for (outcome, again) in [
        (Outcome::NotSent, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
        (Outcome::Error, false),
        (Outcome::Cancelled, false),
    ] {
        let mut guard = serving(NON_IDEMPOTENT);
        guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
        guard.end_attempt(REQUEST, 0, outcome);
        let sent = guard.clone().start_attempt(20, REQUEST, 1, DECODE);
        let rejected = guard.answer(REQUEST, AnswerKind::Rejected);
        if again {
            assert!(sent.is_ok() && rejected.is_ok(), "{outcome:?}");
        } else {
            assert_eq!(forbidden(sent), Rule::NoDuplicateExecution, "{outcome:?}");
            assert_eq!(forbidden(rejected), Rule::HarmlessRejection, "{outcome:?}");
        }
    }
    // A read has no effect.
    let mut guard = serving(NON_IDEMPOTENT);
    guard.start_attempt(10, REQUEST, 0, PREFILL).unwrap();
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    assert!(guard.start_attempt(20, REQUEST, 1, DECODE).is_ok());
}

#[test]
fn a_keyed_request_is_retried_inside_its_scope_and_window() {
    let mut guard = serving(WITH_KEY_IN_ZONE);
    guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
    guard.end_attempt(REQUEST, 0, Outcome::Reset);
    assert_eq!(
        forbidden(guard.clone().start_attempt(20, REQUEST, 1, FAR_DECODE)),
        Rule::NoDuplicateExecution
    );
    assert_eq!(
        forbidden(
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
fn a_rejection_while_a_decode_is_in_flight_is_forbidden() {
    let mut guard = serving(NON_IDEMPOTENT);
    guard.start_attempt(10, REQUEST, 0, DECODE).unwrap();
    assert_eq!(
        forbidden(guard.answer(REQUEST, AnswerKind::Rejected)),
        Rule::HarmlessRejection
    );
    assert_eq!(guard.answer(REQUEST, AnswerKind::Failed), Ok(()));
}

#[test]
fn the_drain_grace_runs_from_the_first_report() {
    let mut guard = serving(IDEMPOTENT);
    let drains = Endpoint {
        state: EndpointState::Draining,
        ..server(2, 1)
    };
    guard.update_endpoints(SECOND, ListKind::Changes, &[drains]);
    // Reported again, its grace does not start anew.
    guard.update_endpoints(2 * SECOND, ListKind::Full, &[server(1, 0), drains]);
    assert!(guard
        .clone()
        .start_attempt(2 * SECOND, REQUEST, 0, DECODE)
        .is_ok());
    assert_eq!(
        forbidden(
            guard
                .clone()
                .start_attempt(2 * SECOND + 1, REQUEST, 0, DECODE)
        ),
        Rule::NoSendToDraining
    );
    guard.update_endpoints(3 * SECOND, ListKind::Changes, &[server(2, 1)]);
    assert!(guard.start_attempt(3 * SECOND, REQUEST, 0, DECODE).is_ok());
}

#[test]
fn a_node_passes_each_phase_once() {
    let mut guard = serving(IDEMPOTENT);
    guard.enter_phase(NodePhase::Stopping).unwrap();
    guard.enter_phase(NodePhase::Stopping).unwrap();
    assert_eq!(
        forbidden(guard.enter_phase(NodePhase::Serving)),
        Rule::NodePhase
    );
    assert_eq!(
        forbidden(guard.enter_phase(NodePhase::Stopped)),
        Rule::NodePhase
    );
    guard.answer(REQUEST, AnswerKind::Failed).unwrap();
    guard.enter_phase(NodePhase::Stopped).unwrap();
    assert_eq!(
        forbidden(guard.accept(RequestId(10), IDEMPOTENT, SECOND)),
        Rule::NodePhase
    );
}
