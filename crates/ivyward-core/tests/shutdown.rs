//! Until when a stopping node accepts requests.

use ivyward_core::shutdown::Admission;

/// A request that comes later than this after the stop signal, and is under way when the process is killed, is lost.
const LATEST: u64 = 700_000;

#[test]
fn a_stopping_node_accepts_requests_for_less_than_the_time_that_is_allowed() {
    let mut admission = Admission::default();
    assert!(admission.accepts(u64::MAX) && !admission.is_stopping());
    let closes_at = admission.stop(1_000);
    assert!(admission.is_stopping());
    assert!((1_000..1_000 + LATEST).contains(&closes_at));
    // A request that crosses the close of its connection is accepted.
    assert!(admission.accepts(1_000) && admission.accepts(closes_at));
    assert!(!admission.accepts(1_000 + LATEST) && !admission.accepts(u64::MAX));
}

/// Guards against a second stop signal that extends the time in which requests are accepted.
#[test]
fn a_further_stop_signal_does_not_accept_requests_for_longer() {
    let mut admission = Admission::default();
    let closes_at = admission.stop(0);
    assert_eq!(admission.stop(600_000), closes_at);
    assert_eq!(admission.stop(LATEST), closes_at);
    assert!(!admission.accepts(LATEST));
}
