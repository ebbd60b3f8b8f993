//! The pace at which a list is followed, against the time in which a change has to be known.

use ivyward_core::watch::{Miss, Watch};

const TOLD: u64 = 6_000_000;

/// One call that falls silent as it begins and three more that nobody answers leave time for the list itself.
#[test]
fn four_silent_calls_fit_into_the_told_time() {
    let watch = Watch::new(TOLD, 1);
    assert!(watch.longest(3) + TOLD / 20 <= TOLD, "{} us", watch.longest(3));
    // As a sum of what the parts really are, not of what the module says of them.
    let call = watch.dial() + watch.silence();
    assert_eq!(watch.longest(3), watch.wait() + watch.silence() + 4 * call);
}

/// A service that takes its time is not called again and again: what is out at once is bounded, and a call is kept for
/// several times as long as the next one waits to begin beside it.
#[test]
fn a_silent_call_is_kept_while_others_begin_beside_it() {
    let watch = Watch::new(TOLD, 1);
    assert_eq!(watch.beside(), watch.dial() + watch.silence());
    assert!(watch.patience() >= 2 * watch.beside());
    assert!(watch.most_calls() as u64 * watch.beside() >= watch.patience() && watch.most_calls() <= 4);
}

#[test]
fn pauses_grow_with_quick_failures_alone_and_end_with_an_answer() {
    let mut watch = Watch::new(TOLD, 1);
    assert_eq!(watch.missed(Miss::Silent), 0, "silence has cost time enough");
    let pauses: Vec<u64> = (0..12).map(|_| watch.missed(Miss::Failed)).collect();
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]) && pauses[0] > 0, "{pauses:?}");
    assert!(pauses[11] <= TOLD / 10, "back within a tenth of the told time: {pauses:?}");
    // A service that is down for a minute is not run against.
    assert!(pauses[11] >= TOLD / 20, "{pauses:?}");
    watch.came();
    assert_eq!(watch.missed(Miss::Failed), pauses[0]);
}

/// A service that turns calls away is left alone for longer and longer, by each node of a fleet for another span, and calls
/// that it takes wait longer for news; when it bears those again, everything goes back step by step.
#[test]
fn a_service_that_turns_calls_away_is_spared() {
    let pauses = |seed: u64| {
        let mut watch = Watch::new(TOLD, seed);
        (0..10).map(|_| watch.missed(Miss::TurnedAway)).collect::<Vec<_>>()
    };
    let (one, other) = (pauses(1), pauses(2));
    assert_eq!(one, pauses(1), "the same seed draws the same");
    assert!(one.iter().zip(&other).all(|(a, b)| a != b), "{one:?} {other:?}");
    assert!(one[0] <= TOLD / 50 && one[9] >= TOLD / 2 && one.iter().all(|p| *p <= TOLD), "{one:?}");
    let mut watch = Watch::new(TOLD, 1);
    let usual = watch.wait();
    for _ in 0..8 {
        watch.missed(Miss::TurnedAway);
    }
    let longest = watch.wait();
    assert!(longest >= 5 * usual && longest <= 2 * TOLD);
    watch.came();
    assert_eq!(watch.wait(), longest, "one list is no sign that it bears more calls");
    for _ in 0..8 {
        watch.watch_came();
    }
    assert_eq!(watch.wait(), usual);
}

/// A list that is long for its connection comes in the end: each try has more time, up to a bound.
#[test]
fn an_answer_that_comes_slowly_has_more_time_at_each_try() {
    let mut watch = Watch::new(TOLD, 1);
    let first = watch.whole();
    assert!(first < TOLD);
    for _ in 0..40 {
        watch.missed(Miss::Slow);
    }
    assert!(watch.whole() >= 8 * first && watch.whole() <= 20 * TOLD);
    watch.came();
    assert_eq!(watch.whole(), first);
}

#[test]
fn no_told_time_makes_a_watch_that_never_waits() {
    for told in [0, 1, 99] {
        let watch = Watch::new(told, 1);
        assert!(watch.wait() > 0 && watch.silence() > 0 && watch.dial() > 0);
    }
}
