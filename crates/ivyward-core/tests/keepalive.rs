//! The schedule of connection checks.

use ivyward_core::keepalive::*;
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;

fn settings(resting_checks: u32) -> KeepaliveSettings {
    KeepaliveSettings {
        ping_after: SECOND,
        ping_timeout: SECOND,
        idle_checks_per_second: resting_checks,
        dial_timeout: SECOND / 4,
    }
}

/// Most of these times that lie within a second.
fn most_in_a_second(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let from = |i: usize| {
        times[i..]
            .iter()
            .take_while(|t| **t < times[i] + SECOND)
            .count()
    };
    (0..times.len()).map(from).max().unwrap_or(0)
}

/// Simulates connections that are idle from `since` until `until`; returns when each was checked.
fn checks(keepalive: &mut Keepalive, connections: usize, since: u64, until: u64) -> Vec<Vec<u64>> {
    let mut random = 1_u64;
    let mut jitter = move || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 40) as f64 / (1_u64 << 24) as f64
    };
    (0..connections).for_each(|_| keepalive.connection_idle());
    let mut asks: BTreeSet<(u64, usize)> = (0..connections)
        .map(|i| (keepalive.next_check(since, jitter()).unwrap(), i))
        .collect();
    let mut checked = vec![Vec::new(); connections];
    while let Some((at, connection)) = asks.pop_first().filter(|(at, _)| *at < until) {
        let next = match keepalive.request_check(at, jitter()) {
            CheckDecision::RetryAt(next) => next,
            CheckDecision::Check => {
                checked[connection].push(at);
                keepalive.next_check(at, jitter()).unwrap()
            }
        };
        asks.insert((next, connection));
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
            "none before the silence is over"
        );
        let most = most_in_a_second(all.clone());
        assert!(
            most <= budget as usize + 1,
            "{most} in a second of {budget}"
        );
        // Half of the budget is used at least, and all have their turns.
        assert!(
            all.len() >= connections * 8,
            "{} checks of {connections} in 20 rounds",
            all.len()
        );
        let least = checked.iter().map(Vec::len).min().unwrap();
        assert!(least >= 1, "one was checked {least} times in 20 rounds");
    }
}

/// A process that stood still for a minute finds all due: one is checked, and the others take turns within the budget.
#[test]
fn checks_due_during_a_pause_are_not_made_up_for_at_once() {
    let mut keepalive = Keepalive::new(settings(16));
    (0..600).for_each(|_| keepalive.connection_idle());
    let woke = 100 * SECOND;
    let told: Vec<CheckDecision> = (0..600)
        .map(|i| keepalive.request_check(woke, f64::from(i) / 600.0))
        .collect();
    let at_once = told
        .iter()
        .filter(|told| **told == CheckDecision::Check)
        .count();
    assert_eq!(at_once, 1);
    let again: Vec<u64> = told
        .into_iter()
        .filter_map(|told| {
            if let CheckDecision::RetryAt(at) = told {
                Some(at)
            } else {
                None
            }
        })
        .collect();
    assert!(again.iter().all(|at| *at > woke));
    assert!(most_in_a_second(again) <= 17);
}

/// What is taken up again leaves its turn to the others: use takes nothing from the budget.
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
    // A clock that is behind the last response.
    assert_eq!(keepalive.before_use(now, now + SECOND), BeforeUse::Nothing);
}

#[test]
fn settings_at_their_limits() {
    let mut none = Keepalive::new(settings(0));
    assert_eq!(none.next_check(5, 0.5), None);
    assert_eq!(none.request_check(5, 0.5), CheckDecision::RetryAt(u64::MAX));
    // Without checks at rest they are still checked before use.
    assert_ne!(none.before_use(100 * SECOND, 0), BeforeUse::Nothing);
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
    let most = Keepalive::new(largest);
    assert_eq!(most.next_check(u64::MAX, f64::NAN), Some(u64::MAX));
    assert_eq!(most.before_use(u64::MAX, 0), BeforeUse::Nothing);
}
