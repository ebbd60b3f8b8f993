//! The pace at which a list is followed, against the time in which a change has to be known.

use ivyward_core::watch::{Miss, Watch};

const TOLD: u64 = 6_000_000;

/// One call that falls silent as it begins and three more that nobody answers leave time for the list itself.
#[test]
fn four_silent_calls_fit_into_the_told_time() {
    let watch = Watch::new(TOLD);
    assert!(watch.longest(3) + TOLD / 20 <= TOLD, "{} us", watch.longest(3));
    // As a sum of what the parts really are, not of what the module says of them.
    let call = watch.dial() + watch.silence();
    assert_eq!(watch.longest(3), watch.wait() + watch.silence() + 4 * call);
}

#[test]
fn pauses_grow_with_quick_failures_alone_and_end_with_an_answer() {
    let mut watch = Watch::new(TOLD);
    assert_eq!(watch.missed(Miss::Silent), 0, "silence has cost time enough");
    let pauses: Vec<u64> = (0..12).map(|_| watch.missed(Miss::Failed)).collect();
    assert!(pauses.windows(2).all(|p| p[0] <= p[1]) && pauses[0] > 0, "{pauses:?}");
    assert!(pauses[11] <= TOLD / 10, "back within a tenth of the told time: {pauses:?}");
    // A service that is down for a minute is not run against.
    assert!(pauses[11] >= TOLD / 20, "{pauses:?}");
    watch.came();
    assert_eq!(watch.missed(Miss::Failed), pauses[0]);
}

/// A list that is long for its connection comes in the end: each try has more time, up to a bound.
#[test]
fn an_answer_that_comes_slowly_has_more_time_at_each_try() {
    let mut watch = Watch::new(TOLD);
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
        let watch = Watch::new(told);
        assert!(watch.wait() > 0 && watch.silence() > 0 && watch.dial() > 0);
    }
}
