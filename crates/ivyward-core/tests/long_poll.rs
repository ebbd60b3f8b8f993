//! Timing of long polls, compared with the time within which a change must be known.

use ivyward_core::long_poll::{CallFailure, LongPoll};

const MAX_DELAY: u64 = 6_000_000;

/// One call that stops responding as it begins and three more that are not answered leave time for the list itself.
#[test]
fn four_unanswered_calls_fit_into_the_configured_time() {
    let long_poll = LongPoll::new(MAX_DELAY, true, 1);
    assert!(
        long_poll.worst_case_delay(3) + MAX_DELAY / 20 <= MAX_DELAY,
        "{} us",
        long_poll.worst_case_delay(3)
    );
    // The sum is computed independently, from the durations that callers use.
    let call = long_poll.connect_timeout() + long_poll.silence_timeout();
    assert_eq!(
        long_poll.worst_case_delay(3),
        long_poll.requested_wait() + long_poll.silence_timeout() + 4 * call
    );
}

/// A slow service does not get ever more calls: the number of calls in flight is limited, and a call stays open for several
/// times the delay after which the next one begins.
#[test]
fn an_unanswered_call_stays_open_while_others_begin() {
    let long_poll = LongPoll::new(MAX_DELAY, true, 1);
    assert_eq!(
        long_poll.next_call_delay(),
        long_poll.connect_timeout() + long_poll.silence_timeout()
    );
    assert!(long_poll.call_timeout() >= 2 * long_poll.next_call_delay());
    assert!(
        long_poll.max_calls() as u64 * long_poll.next_call_delay() >= long_poll.call_timeout()
            && long_poll.max_calls() <= 4
    );
}

#[test]
fn pauses_grow_with_quick_failures_only_and_end_with_a_response() {
    let mut long_poll = LongPoll::new(MAX_DELAY, true, 1);
    assert_eq!(
        long_poll.call_failed(CallFailure::NoResponse),
        0,
        "no pause follows a call that timed out"
    );
    let pauses: Vec<u64> = (0..12)
        .map(|_| long_poll.call_failed(CallFailure::Failed))
        .collect();
    assert!(
        pauses.windows(2).all(|p| p[0] <= p[1]) && pauses[0] > 0,
        "{pauses:?}"
    );
    assert!(
        pauses[11] <= MAX_DELAY / 10,
        "the next call begins within a tenth of the configured time: {pauses:?}"
    );
    // A service that is down is not called too often.
    assert!(pauses[11] >= MAX_DELAY / 20, "{pauses:?}");
    long_poll.list_received();
    assert_eq!(long_poll.call_failed(CallFailure::Failed), pauses[0]);
}

/// Each rejected call lengthens the pause before the next one, by a different time on each node, and accepted calls wait
/// longer for changes. When the service answers in time again, both become shorter step by step.
#[test]
fn a_service_that_rejects_calls_gets_fewer() {
    let pauses = |seed: u64| {
        let mut long_poll = LongPoll::new(MAX_DELAY, true, seed);
        (0..10)
            .map(|_| long_poll.call_failed(CallFailure::Rejected))
            .collect::<Vec<_>>()
    };
    let (first, second) = (pauses(1), pauses(2));
    assert_eq!(first, pauses(1), "the same seed gives the same pauses");
    assert!(
        first.iter().zip(&second).all(|(a, b)| a != b),
        "{first:?} {second:?}"
    );
    assert!(
        first[0] <= MAX_DELAY / 50
            && first[9] >= MAX_DELAY / 2
            && first.iter().all(|p| *p <= MAX_DELAY),
        "{first:?}"
    );
    let mut long_poll = LongPoll::new(MAX_DELAY, true, 1);
    let usual = long_poll.requested_wait();
    for _ in 0..8 {
        long_poll.call_failed(CallFailure::Rejected);
    }
    let longest = long_poll.requested_wait();
    assert!(longest >= 5 * usual && longest <= 2 * MAX_DELAY);
    long_poll.list_received();
    assert_eq!(
        long_poll.requested_wait(),
        longest,
        "one list does not show that the service can handle more calls"
    );
    for _ in 0..8 {
        long_poll.no_changes_received(0);
    }
    assert_eq!(long_poll.requested_wait(), usual);
    // Late answers are a sign of overload, too, unless the service sends lists on its own: then this node itself was late.
    for costly in [true, false] {
        let mut long_poll = LongPoll::new(MAX_DELAY, costly, 1);
        for _ in 0..8 {
            long_poll.no_changes_received(MAX_DELAY / 10);
        }
        assert_eq!(
            long_poll.requested_wait(),
            if costly { longest } else { usual }
        );
    }
}

/// A service that answers calls one after the other, and rejects calls that it could not answer within two seconds. A
/// rejection takes a quarter of the time of an answer.
struct Service {
    cost: u64,
    free_at: u64,
}

impl Service {
    /// Returns when a call is answered, or the time of its rejection as an error.
    fn call(&mut self, now: u64) -> Result<u64, u64> {
        let queueing = self.free_at.saturating_sub(now);
        let (cost, start) = (self.cost, self.free_at.max(now));
        if queueing > 2_000_000 {
            self.free_at = start + cost / 4;
            return Err(now + 2_000);
        }
        self.free_at = start + cost;
        Ok(self.free_at)
    }
}

/// 32 nodes call a service that needs four or eight seconds to answer one call of each. All nodes must get a list soon and
/// then keep up with the changes, and the service must have capacity left.
#[test]
fn many_nodes_reach_a_service_that_accepts_few_calls() {
    const NODES: u64 = 32;
    for time_for_all in [4_000_000, 8_000_000] {
        let mut service = Service {
            cost: time_for_all / NODES,
            free_at: 0,
        };
        let mut nodes: Vec<LongPoll> = (0..NODES)
            .map(|seed| LongPoll::new(MAX_DELAY, true, seed))
            .collect();
        // The next call of each node in the order of time: for the complete list, or for changes of the list it has.
        let mut next: std::collections::BTreeSet<(u64, usize, bool)> =
            (0..nodes.len()).map(|node| (0, node, false)).collect();
        let (mut last_answer, mut longest_gap) = (vec![0; nodes.len()], 0);
        let (mut calls, mut rejected) = (0, 0);
        while let Some((now, node, has_list)) = next.pop_first().filter(|n| n.0 < 120_000_000) {
            let long_poll = &mut nodes[node];
            if now > 60_000_000 {
                longest_gap = longest_gap.max(now - last_answer[node]);
                calls += 1;
            }
            match service.call(now) {
                Ok(at) => {
                    last_answer[node] = at;
                    if has_list {
                        long_poll.no_changes_received(at - now)
                    } else {
                        long_poll.list_received()
                    }
                    next.insert((
                        at + if has_list {
                            long_poll.requested_wait()
                        } else {
                            0
                        },
                        node,
                        true,
                    ));
                }
                Err(at) => {
                    rejected += u32::from(now > 60_000_000);
                    next.insert((
                        at + long_poll.call_failed(CallFailure::Rejected),
                        node,
                        false,
                    ));
                }
            }
        }
        assert!(last_answer.iter().all(|at| *at > 0), "{last_answer:?}");
        assert!(
            longest_gap < 6 * MAX_DELAY,
            "{longest_gap} us without an answer, {rejected} of {calls} calls rejected"
        );
        assert!(rejected * 2 < calls, "{rejected} of {calls} calls rejected");
    }
}

/// A list that takes long on its connection arrives in the end: each try gets more time, up to a limit.
#[test]
fn a_slow_response_gets_more_time_at_each_try() {
    let mut long_poll = LongPoll::new(MAX_DELAY, true, 1);
    let first = long_poll.body_timeout();
    assert!(first < MAX_DELAY);
    for _ in 0..40 {
        long_poll.call_failed(CallFailure::SlowResponse);
    }
    assert!(long_poll.body_timeout() >= 8 * first && long_poll.body_timeout() <= 20 * MAX_DELAY);
    long_poll.list_received();
    assert_eq!(long_poll.body_timeout(), first);
}

#[test]
fn very_short_configured_times_leave_positive_durations() {
    for max_delay in [0, 1, 99] {
        let long_poll = LongPoll::new(max_delay, true, 1);
        assert!(
            long_poll.requested_wait() > 0
                && long_poll.silence_timeout() > 0
                && long_poll.connect_timeout() > 0
        );
    }
}
