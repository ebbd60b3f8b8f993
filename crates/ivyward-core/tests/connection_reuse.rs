//! Idle connections: which idle times are used, by the failures observed.

use ivyward_core::connection_reuse::ReuseHistory;

const SECOND: u64 = 1_000_000;

/// Some ends in a hundred uses of an idle time, a tenth of a second apart.
fn record_uses(history: &mut ReuseHistory, from: u64, idle: Option<u64>, ends: usize) -> u64 {
    for n in 0..100 {
        history.record_use(from + n as u64 * SECOND / 10, idle, n % 100 < ends);
    }
    from + 10 * SECOND
}

#[test]
fn idle_times_at_which_connections_fail_are_not_used() {
    let mut history = ReuseHistory::new();
    assert!(
        history.allows_reuse(0, 300_000, true),
        "nothing speaks against it"
    );
    let now = record_uses(&mut history, 0, Some(300_000), 25);
    assert!(!history.allows_reuse(now, 300_000, true));
    assert!(
        history.allows_reuse(now, 20_000, true),
        "shorter ones are judged by themselves"
    );
    assert!(
        history.allows_reuse(now, 5 * SECOND, true),
        "and so are those that outlived it"
    );
    assert!(!history.allows_reuse(now + SECOND, 310_000, true));
    assert!(
        history.allows_reuse(now + 300 * SECOND, 300_000, true),
        "it is tried again when that is long ago"
    );
}

#[test]
fn two_failures_in_a_row_are_enough_at_the_start() {
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
        let ended = n % 7 == 0;
        history.record_use(now, None, ended);
        history.record_use(now, Some(50_000), ended);
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
        "another idle time has shown nothing"
    );
    assert!(
        !history.allows_reuse(now + 200 * SECOND, 50_000, false),
        "nor has one of long ago"
    );
}
