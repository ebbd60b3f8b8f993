//! Timing of long polls against the time within which a change must be known.

use ivyward_core::long_poll::{CallFailure, LongPoll};

const CONFIGURED: u64 = 6_000_000;

/// One call that falls silent as it begins and three more without answer leave time for the list itself.
#[test]
fn four_silent_calls_fit_into_the_configured_time() {
    let watch = LongPoll::new(CONFIGURED, true, 1);
    assert!(
        watch.worst_case_delay(3) + CONFIGURED / 20 <= CONFIGURED,
        "{} us",
        watch.worst_case_delay(3)
    );
    // As a sum of what the parts really are, not of what the module says of them.
    let call = watch.connect_timeout() + watch.silence_timeout();
    assert_eq!(
        watch.worst_case_delay(3),
        watch.requested_wait() + watch.silence_timeout() + 4 * call
    );
}

/// A service that takes its time is not called again and again: what is out at once is bounded, and a call is kept for
/// several times as long as the next one waits to begin beside it.
#[test]
fn a_silent_call_is_kept_while_others_begin() {
    let watch = LongPoll::new(CONFIGURED, true, 1);
    assert_eq!(
        watch.next_call_delay(),
        watch.connect_timeout() + watch.silence_timeout()
    );
    assert!(watch.call_timeout() >= 2 * watch.next_call_delay());
    assert!(
        watch.max_calls() as u64 * watch.next_call_delay() >= watch.call_timeout()
            && watch.max_calls() <= 4
    );
}

#[test]
fn pauses_grow_with_quick_failures_only_and_end_with_a_response() {
    let mut watch = LongPoll::new(CONFIGURED, true, 1);
    assert_eq!(
        watch.call_failed(CallFailure::NoResponse),
        0,
        "silence has cost time enough"
    );
    let pauses: Vec<u64> = (0..12)
        .map(|_| watch.call_failed(CallFailure::Failed))
        .collect();
    assert!(
        pauses.windows(2).all(|p| p[0] <= p[1]) && pauses[0] > 0,
        "{pauses:?}"
    );
    assert!(
        pauses[11] <= CONFIGURED / 10,
        "back within a tenth of the told time: {pauses:?}"
    );
    // A service that is down for a minute is not run against.
    assert!(pauses[11] >= CONFIGURED / 20, "{pauses:?}");
    watch.list_received();
    assert_eq!(watch.call_failed(CallFailure::Failed), pauses[0]);
}

/// A service that turns calls away is left alone for longer and longer, by each node of a fleet for another span, and calls
/// that it takes wait longer for news; when it bears those again, everything goes back step by step.
#[test]
fn a_service_that_rejects_calls_gets_fewer() {
    let pauses = |seed: u64| {
        let mut watch = LongPoll::new(CONFIGURED, true, seed);
        (0..10)
            .map(|_| watch.call_failed(CallFailure::Rejected))
            .collect::<Vec<_>>()
    };
    let (one, other) = (pauses(1), pauses(2));
    assert_eq!(one, pauses(1), "the same seed draws the same");
    assert!(
        one.iter().zip(&other).all(|(a, b)| a != b),
        "{one:?} {other:?}"
    );
    assert!(
        one[0] <= CONFIGURED / 50
            && one[9] >= CONFIGURED / 2
            && one.iter().all(|p| *p <= CONFIGURED),
        "{one:?}"
    );
    let mut watch = LongPoll::new(CONFIGURED, true, 1);
    let usual = watch.requested_wait();
    for _ in 0..8 {
        watch.call_failed(CallFailure::Rejected);
    }
    let longest = watch.requested_wait();
    assert!(longest >= 5 * usual && longest <= 2 * CONFIGURED);
    watch.list_received();
    assert_eq!(
        watch.requested_wait(),
        longest,
        "one list is no sign that it bears more calls"
    );
    for _ in 0..8 {
        watch.no_changes_received(0);
    }
    assert_eq!(watch.requested_wait(), usual);
    // Late answers say the same, but not where lists come by themselves: there it was this node that was late.
    for costly in [true, false] {
        let mut watch = LongPoll::new(CONFIGURED, costly, 1);
        for _ in 0..8 {
            watch.no_changes_received(CONFIGURED / 10);
        }
        assert_eq!(watch.requested_wait(), if costly { longest } else { usual });
    }
}

/// A service that answers calls one after the other, and turns away what it could not answer within two seconds. Saying so
/// takes a quarter of the time of an answer.
struct Service {
    cost: u64,
    free_at: u64,
}

impl Service {
    /// When a call is answered, or when it is turned away.
    fn call(&mut self, now: u64) -> Result<u64, u64> {
        let waits = self.free_at.saturating_sub(now);
        let (cost, queue) = (self.cost, self.free_at.max(now));
        if waits > 2_000_000 {
            self.free_at = queue + cost / 4;
            return Err(now + 2_000);
        }
        self.free_at = queue + cost;
        Ok(self.free_at)
    }
}

/// A fleet of 32 nodes, and a service that can take a call from each of them in four or eight seconds: all of them come to
/// have a list soon, all of them keep up with it, and the service has more room than they need.
#[test]
fn many_nodes_reach_a_service_that_accepts_few_calls() {
    const NODES: u64 = 32;
    for all_in in [4_000_000, 8_000_000] {
        let mut service = Service {
            cost: all_in / NODES,
            free_at: 0,
        };
        let mut nodes: Vec<LongPoll> = (0..NODES)
            .map(|seed| LongPoll::new(CONFIGURED, true, seed))
            .collect();
        // What each node does next, in the order of time: it calls for the whole list, or goes on with a watch.
        let mut next: std::collections::BTreeSet<(u64, usize, bool)> =
            (0..nodes.len()).map(|node| (0, node, false)).collect();
        let (mut last_answer, mut longest_gap) = (vec![0; nodes.len()], 0);
        let (mut calls, mut turned_away) = (0, 0);
        while let Some((now, node, watches)) = next.pop_first().filter(|n| n.0 < 120_000_000) {
            let watch = &mut nodes[node];
            if now > 60_000_000 {
                longest_gap = longest_gap.max(now - last_answer[node]);
                calls += 1;
            }
            match service.call(now) {
                Ok(at) => {
                    last_answer[node] = at;
                    if watches {
                        watch.no_changes_received(at - now)
                    } else {
                        watch.list_received()
                    }
                    next.insert((
                        at + if watches { watch.requested_wait() } else { 0 },
                        node,
                        true,
                    ));
                }
                Err(at) => {
                    turned_away += u32::from(now > 60_000_000);
                    next.insert((at + watch.call_failed(CallFailure::Rejected), node, false));
                }
            }
        }
        assert!(last_answer.iter().all(|at| *at > 0), "{last_answer:?}");
        assert!(
            longest_gap < 6 * CONFIGURED,
            "{longest_gap} us without a word, {turned_away} of {calls} turned away"
        );
        assert!(
            turned_away * 2 < calls,
            "{turned_away} of {calls} calls turned away"
        );
    }
}

/// A list that is long for its connection comes in the end: each try has more time, up to a bound.
#[test]
fn a_slow_response_gets_more_time_at_each_try() {
    let mut watch = LongPoll::new(CONFIGURED, true, 1);
    let first = watch.body_timeout();
    assert!(first < CONFIGURED);
    for _ in 0..40 {
        watch.call_failed(CallFailure::SlowResponse);
    }
    assert!(watch.body_timeout() >= 8 * first && watch.body_timeout() <= 20 * CONFIGURED);
    watch.list_received();
    assert_eq!(watch.body_timeout(), first);
}

#[test]
fn no_configured_time_makes_a_poll_without_waits() {
    for told in [0, 1, 99] {
        let watch = LongPoll::new(told, true, 1);
        assert!(
            watch.requested_wait() > 0
                && watch.silence_timeout() > 0
                && watch.connect_timeout() > 0
        );
    }
}
