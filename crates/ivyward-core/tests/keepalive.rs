//! The schedule of checks of idle connections, and the decision before a connection is used.

use ivyward_core::keepalive::*;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;

fn settings(idle_checks_per_second: u32) -> KeepaliveSettings {
    KeepaliveSettings {
        ping_after: SECOND,
        ping_timeout: SECOND,
        idle_checks_per_second,
        dial_timeout: SECOND / 4,
    }
}

/// Returns the maximum number of these times that lie within one second.
fn max_in_a_second(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let from = |i: usize| {
        times[i..]
            .iter()
            .take_while(|t| **t < times[i] + SECOND)
            .count()
    };
    (0..times.len()).map(from).max().unwrap_or(0)
}

/// Simulates connections that are idle from `since` until `until`. Returns the times of the checks of each connection.
fn checks(keepalive: &mut Keepalive, connections: usize, since: u64, until: u64) -> Vec<Vec<u64>> {
    let mut random = 1_u64;
    let mut jitter = move || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 40) as f64 / (1_u64 << 24) as f64
    };
    (0..connections).for_each(|_| keepalive.connection_idle());
    let mut requests: BTreeSet<(u64, usize)> = (0..connections)
        .map(|i| (keepalive.next_check(since, jitter()).unwrap(), i))
        .collect();
    let mut checked = vec![Vec::new(); connections];
    while let Some((at, connection)) = requests.pop_first().filter(|(at, _)| *at < until) {
        let next = match keepalive.request_check(at, jitter()) {
            CheckDecision::RetryAt(next) => next,
            CheckDecision::Check => {
                checked[connection].push(at);
                keepalive.next_check(at, jitter()).unwrap()
            }
        };
        requests.insert((next, connection));
    }
    checked
}

#[test]
fn connections_that_become_idle_together_are_checked_within_the_budget() {
    for (connections, budget) in [(5, 16), (40, 16), (1_100, 16), (1_100, 1), (5_000, 200)] {
        let mut keepalive = Keepalive::new(settings(budget));
        let since = 50 * SECOND;
        let round = (connections as u64 * SECOND / u64::from(budget)).max(2 * SECOND);
        let checked = checks(&mut keepalive, connections, since, since + 20 * round);
        let all: Vec<u64> = checked.iter().flatten().copied().collect();
        assert!(
            all.iter().all(|at| *at >= since + SECOND),
            "no connection is checked before it was silent for `ping_after`"
        );
        let max = max_in_a_second(all.clone());
        assert!(
            max <= budget as usize + 1,
            "{max} checks in a second, with a budget of {budget}"
        );
        // At least half of the budget is used, and every connection is checked.
        assert!(
            all.len() >= connections * 8,
            "{} checks of {connections} connections in 20 rounds",
            all.len()
        );
        let min = checked.iter().map(Vec::len).min().unwrap();
        assert!(
            min >= 1,
            "a connection was checked {min} times in 20 rounds"
        );
    }
}

/// After a pause of the process the checks of all connections are due. One connection is checked at once, and the
/// others are spread out within the budget.
#[test]
fn checks_missed_during_a_pause_are_spread_within_the_budget() {
    let mut keepalive = Keepalive::new(settings(16));
    (0..600).for_each(|_| keepalive.connection_idle());
    let resumed_at = 100 * SECOND;
    let decisions: Vec<CheckDecision> = (0..600)
        .map(|i| keepalive.request_check(resumed_at, f64::from(i) / 600.0))
        .collect();
    let checked_at_once = decisions
        .iter()
        .filter(|decision| **decision == CheckDecision::Check)
        .count();
    assert_eq!(checked_at_once, 1);
    let retries: Vec<u64> = decisions
        .into_iter()
        .filter_map(|decision| {
            if let CheckDecision::RetryAt(at) = decision {
                Some(at)
            } else {
                None
            }
        })
        .collect();
    assert!(retries.iter().all(|at| *at > resumed_at));
    assert!(max_in_a_second(retries) <= 17);
}

/// Connections that calls use again no longer count for the round, so that the remaining idle ones are checked more often.
#[test]
fn a_round_is_proportional_to_the_idle_connections() {
    let mut keepalive = Keepalive::new(settings(10));
    (0..1_000).for_each(|_| keepalive.connection_idle());
    assert_eq!(keepalive.next_check(0, 0.5), Some(100 * SECOND));
    (0..900).for_each(|_| keepalive.connection_active());
    assert_eq!(
        (keepalive.idle_connections(), keepalive.next_check(0, 0.5)),
        (100, Some(10 * SECOND))
    );
    (0..200).for_each(|_| keepalive.connection_active());
    assert_eq!(
        (keepalive.idle_connections(), keepalive.next_check(0, 0.0)),
        (0, Some(SECOND))
    );
}

#[test]
fn long_idle_connections_are_checked_before_use() {
    let keepalive = Keepalive::new(settings(16));
    let now = 100 * SECOND;
    let check = BeforeUse::Check(SECOND / 16);
    for (silent, before) in [
        (0, BeforeUse::Nothing),
        (2 * SECOND, BeforeUse::Nothing),
        (2 * SECOND + 1, check),
        (90 * SECOND, check),
    ] {
        assert_eq!(
            keepalive.before_use(now, now - silent),
            before,
            "silent {silent}"
        );
    }
    // A clock that is behind the time of the last response.
    assert_eq!(keepalive.before_use(now, now + SECOND), BeforeUse::Nothing);
}

#[test]
fn zero_and_maximum_settings_are_handled() {
    let mut without_idle_checks = Keepalive::new(settings(0));
    assert_eq!(without_idle_checks.next_check(5, 0.5), None);
    assert_eq!(
        without_idle_checks.request_check(5, 0.5),
        CheckDecision::RetryAt(u64::MAX)
    );
    // Without checks of idle connections, connections are still checked before use.
    assert_ne!(
        without_idle_checks.before_use(100 * SECOND, 0),
        BeforeUse::Nothing
    );
    let off = Keepalive::new(KeepaliveSettings {
        ping_after: 0,
        ..settings(16)
    });
    assert_eq!(
        (off.next_check(5, 0.5), off.before_use(u64::MAX, 0)),
        (None, BeforeUse::Nothing)
    );
    let largest = KeepaliveSettings {
        ping_after: u64::MAX,
        ping_timeout: u64::MAX,
        idle_checks_per_second: u32::MAX,
        dial_timeout: u64::MAX,
    };
    let with_largest = Keepalive::new(largest);
    assert_eq!(with_largest.next_check(u64::MAX, f64::NAN), Some(u64::MAX));
    assert_eq!(with_largest.before_use(u64::MAX, 0), BeforeUse::Nothing);
}
