//! Reuse of idle connections: which idle times are allowed after which observed failures.

use ivyward_core::connection_reuse::ReuseHistory;

const SECOND: u64 = 1_000_000;

/// Records 100 uses of connections with an idle time, 0.1 s apart, of which the first `failures` fail. Returns the time
/// after the last use.
fn record_uses(history: &mut ReuseHistory, from: u64, idle: Option<u64>, failures: usize) -> u64 {
    for n in 0..100 {
        history.record_use(from + n as u64 * SECOND / 10, idle, n % 100 < failures);
    }
    from + 10 * SECOND
}

#[test]
fn idle_times_at_which_connections_fail_are_not_used() {
    let mut history = ReuseHistory::new();
    assert!(
        history.allows_reuse(0, 300_000, true),
        "without observations, idle connections are reused"
    );
    let now = record_uses(&mut history, 0, Some(300_000), 25);
    assert!(!history.allows_reuse(now, 300_000, true));
    assert!(
        history.allows_reuse(now, 20_000, true),
        "shorter idle times are judged separately"
    );
    assert!(
        history.allows_reuse(now, 5 * SECOND, true),
        "longer idle times are judged separately"
    );
    assert!(!history.allows_reuse(now + SECOND, 310_000, true));
    assert!(
        history.allows_reuse(now + 300 * SECOND, 300_000, true),
        "the idle time is tried again when the failures are long ago"
    );
}

#[test]
fn two_failures_at_the_start_prevent_reuse() {
    let mut history = ReuseHistory::new();
    history.record_use(1, Some(300_000), true);
    history.record_use(2, Some(300_000), true);
    assert!(!history.allows_reuse(3, 300_000, true));
}

#[test]
fn failures_shared_by_new_connections_do_not_prevent_reuse() {
    let mut history = ReuseHistory::new();
    let mut now = 0;
    for n in 0..400 {
        now = n * SECOND / 20;
        let failed = n % 7 == 0;
        history.record_use(now, None, failed);
        history.record_use(now, Some(50_000), failed);
    }
    assert!(history.allows_reuse(now, 50_000, true));
}

#[test]
fn non_repeatable_requests_reuse_only_proven_idle_times() {
    let mut history = ReuseHistory::new();
    assert!(!history.allows_reuse(0, 50_000, false));
    let now = record_uses(&mut history, 0, Some(50_000), 0);
    assert!(history.allows_reuse(now, 50_000, false));
    assert!(
        !history.allows_reuse(now, 500_000, false),
        "another idle time is not proven"
    );
    assert!(
        !history.allows_reuse(now + 200 * SECOND, 50_000, false),
        "observations of long ago prove nothing"
    );
}
