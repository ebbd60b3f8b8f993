//! Start times on a node's clock, and how often the router gets changes.

use ivyward_core::interface::*;
use ivyward_core::start_time::{StartTimes, MAX_REMEMBERED};
use ivyward_core::update_interval::{UpdateInterval, UpdateIntervalSettings};
use proptest::prelude::*;

const HOUR: Micros = 3_600_000_000;
const WARM: Micros = 14_000_000;
const NOW: Micros = 50_000_000;
const UNIX: Micros = 1_000 * HOUR;

fn entry(id: u64, started: Micros) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        weight: 1.0,
        started_at: started,
        ..Endpoint::default()
    }
}

/// Guards against a wall clock an hour ahead of the engines': one that has just come would count as warm.
#[test]
fn a_new_engine_of_a_followed_list_started_after_the_last_list_without_it() {
    let mut starts = StartTimes::new();
    starts.resolve_with_shared_clock(&entry(1, UNIX), NOW, UNIX);
    starts.apply_complete_list(|_| true);
    starts.record_response(NOW);
    let (later, ahead) = (NOW + 3_000_000, UNIX + HOUR);
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(2, UNIX + 2_000_000), later, ahead),
        NOW,
        "an hour ahead"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(3, UNIX + 2_000_000), later, UNIX + 3_000_000),
        NOW + 2_000_000,
        "by one clock"
    );
    let late =
        starts.resolve_with_shared_clock(&entry(5, UNIX - 5_000_000), later, UNIX + 3_000_000);
    assert_eq!(
        late,
        NOW - 5_000_000,
        "a list that is late makes nobody younger"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(1, UNIX + 2_000_000), later, ahead),
        NOW,
        "it started again"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(1, UNIX + 2_000_000), later + HOUR, ahead + HOUR),
        NOW,
        "told again"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(4, 0), later, ahead),
        0,
        "said to be long ago"
    );
}

/// Guards against a wall clock an hour behind: every engine that started within that hour would count as cold for it.
#[test]
fn no_engine_starts_in_the_future() {
    let mut starts = StartTimes::new();
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(1, UNIX), NOW, UNIX - HOUR),
        NOW
    );
    assert_eq!(
        starts.resolve_with_shared_clock(&entry(1, UNIX), NOW + WARM, UNIX - HOUR + WARM),
        NOW,
        "its age grows"
    );
}

#[test]
fn in_the_first_list_a_reported_age_is_believed() {
    let mut starts = StartTimes::new();
    assert_eq!(
        starts.resolve(&entry(1, UNIX - 5_000_000), NOW, UNIX, WARM),
        NOW - 5_000_000
    );
    assert_eq!(
        starts.resolve(&entry(2, UNIX - HOUR), NOW, UNIX, WARM),
        0,
        "long warm"
    );
    assert_eq!(
        starts.resolve(&entry(3, UNIX + HOUR), NOW, UNIX, WARM),
        NOW,
        "in the future is just now"
    );
    assert_eq!(
        starts.resolve(&entry(4, 0), NOW, UNIX, WARM),
        0,
        "said to be long ago"
    );
    // Listed again later, no engine has started anew.
    assert_eq!(
        starts.resolve(&entry(1, UNIX - 5_000_000), NOW + HOUR, UNIX + HOUR, WARM),
        NOW - 5_000_000
    );
}

/// Guards against an engine whose clock is an hour behind: it has just started, looks long warm, and all nodes would
/// push it over.
#[test]
fn a_new_engine_has_just_started_whatever_its_clock_says() {
    let mut starts = StartTimes::new();
    starts.resolve(&entry(1, UNIX - HOUR), NOW, UNIX, WARM);
    starts.apply_complete_list(|id| id.0 == 1);
    for (id, skew) in [(2, -(HOUR as i64)), (3, 0), (4, HOUR as i64)] {
        let written = (UNIX as i64 + skew) as Micros;
        assert_eq!(
            starts.resolve(&entry(id, written), NOW, UNIX, WARM),
            NOW,
            "{skew}"
        );
    }
    // One that was there restarts, by a clock that went back meanwhile.
    assert_eq!(
        starts.resolve(&entry(1, UNIX - 2 * HOUR), NOW + 9, UNIX, WARM),
        NOW + 9
    );
}

/// Guards against a lease that was lost, or a store that came back empty: the same process registers again, and is as
/// warm as it was.
#[test]
fn a_returning_process_keeps_its_age() {
    let mut starts = StartTimes::new();
    starts.resolve(&entry(1, UNIX - HOUR), NOW, UNIX, WARM);
    starts.resolve(&entry(2, UNIX - 1), NOW, UNIX, WARM);
    starts.apply_complete_list(|_| true);
    starts.remove(EndpointId(1));
    assert_eq!(
        starts.resolve(&entry(1, UNIX - HOUR), NOW + HOUR, UNIX + HOUR, WARM),
        0
    );
    // Missing from a whole list, and back in the next.
    starts.apply_complete_list(|_| false);
    assert_eq!(
        starts.resolve(&entry(2, UNIX - 1), NOW + HOUR, UNIX + HOUR, WARM),
        NOW - 1
    );
    // Back as another process.
    starts.remove(EndpointId(1));
    assert_eq!(
        starts.resolve(&entry(1, UNIX + HOUR), NOW + HOUR, UNIX + HOUR, WARM),
        NOW + HOUR
    );
}

#[test]
fn removed_engines_are_remembered_in_bounded_number() {
    let mut starts = StartTimes::new();
    let many = MAX_REMEMBERED as u64 + 10;
    for id in 0..many {
        starts.resolve(&entry(id, UNIX - HOUR), NOW, UNIX, WARM);
    }
    starts.apply_complete_list(|_| true);
    (0..many).for_each(|id| starts.remove(EndpointId(id)));
    assert_eq!(
        starts.resolve(&entry(9, UNIX - HOUR), NOW, UNIX, WARM),
        NOW,
        "the oldest is forgotten"
    );
    assert_eq!(
        starts.resolve(&entry(10, UNIX - HOUR), NOW, UNIX, WARM),
        0,
        "the next is not"
    );
}

fn pace() -> UpdateInterval {
    UpdateInterval::new(UpdateIntervalSettings {
        time_share: 0.25,
        urgent_delay: 30_000,
        max_delay: 1_000_000,
    })
}

#[test]
fn cheap_lists_are_delivered_at_once() {
    let mut pace = pace();
    assert_eq!(pace.deliver_at(100, false), 100);
    pace.delivered(100, 200);
    assert_eq!(pace.deliver_at(210, false), 210);
}

#[test]
fn costly_lists_keep_to_their_share_and_urgent_changes_wait_at_most_the_urgent_delay() {
    let mut pace = pace();
    pace.delivered(0, 1_000);
    assert_eq!(pace.deliver_at(1_001, false), 4_000);
    pace.delivered(4_000, 104_000);
    assert_eq!(
        (
            pace.deliver_at(104_001, false),
            pace.deliver_at(104_001, true)
        ),
        (404_000, 134_001)
    );
    // One cheap list between costly ones does not hide what they cost.
    pace.delivered(404_000, 404_010);
    assert_eq!(pace.deliver_at(404_011, false), 644_010);
    // Nothing waits longer than the most.
    pace.delivered(1_000_000, 9_000_000);
    assert_eq!(pace.deliver_at(9_000_001, false), 10_000_001);
}

proptest! {
    /// Whatever lists cost and whenever changes come: the share is kept, but for urgent ones and the longest wait.
    #[test]
    fn lists_keep_to_their_time_share(steps in prop::collection::vec((1u64..20_000, 0u64..50_000), 1..200)) {
        let (mut pace, mut now, mut spent) = (pace(), 0, 0);
        let mut first = None;
        for (cost, gap) in steps {
            now += gap;
            let due = pace.deliver_at(now, false);
            prop_assert!(due <= now + 1_000_000);
            now = now.max(due);
            let begun = *first.get_or_insert(now);
            // What was spent before this one is a quarter of the time at most, and waits under the timer's grain.
            let waits = 500.0 * 200.0;
            prop_assert!(spent as f64 <= 0.25 * (now - begun) as f64 + waits, "{spent} of {}", now - begun);
            pace.delivered(now, now + cost);
            now += cost;
            spent += cost;
        }
    }
}
