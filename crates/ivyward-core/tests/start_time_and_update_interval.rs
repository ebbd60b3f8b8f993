//! Start times of engines on a node's clock, and how often changes are passed to the router.

use ivyward_core::interface::*;
use ivyward_core::start_time::{StartTimes, MAX_REMEMBERED};
use ivyward_core::update_interval::{UpdateInterval, UpdateIntervalSettings};
use proptest::prelude::*;

const HOUR: Micros = 3_600_000_000;
const WARM_UP: Micros = 14_000_000;
const NOW: Micros = 50_000_000;
const UNIX_NOW: Micros = 1_000 * HOUR;

fn endpoint(id: u64, started_at: Micros) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        weight: 1.0,
        started_at,
        ..Endpoint::default()
    }
}

/// Guards against a wall clock that is an hour ahead of the engines' clock: a new engine would count as warm.
#[test]
fn a_new_engine_of_a_followed_list_started_after_the_last_list_without_it() {
    let mut starts = StartTimes::new();
    starts.resolve_with_shared_clock(&endpoint(1, UNIX_NOW), NOW, UNIX_NOW);
    starts.apply_complete_list(|_| true);
    starts.record_response(NOW);
    let (later, ahead) = (NOW + 3_000_000, UNIX_NOW + HOUR);
    assert_eq!(
        starts.resolve_with_shared_clock(&endpoint(2, UNIX_NOW + 2_000_000), later, ahead),
        NOW,
        "wall clock an hour ahead"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(
            &endpoint(3, UNIX_NOW + 2_000_000),
            later,
            UNIX_NOW + 3_000_000
        ),
        NOW + 2_000_000,
        "wall clock in agreement"
    );
    let late = starts.resolve_with_shared_clock(
        &endpoint(5, UNIX_NOW - 5_000_000),
        later,
        UNIX_NOW + 3_000_000,
    );
    assert_eq!(late, NOW - 5_000_000, "a late list makes no engine younger");
    assert_eq!(
        starts.resolve_with_shared_clock(&endpoint(1, UNIX_NOW + 2_000_000), later, ahead),
        NOW,
        "restarted engine"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(
            &endpoint(1, UNIX_NOW + 2_000_000),
            later + HOUR,
            ahead + HOUR
        ),
        NOW,
        "listed again"
    );
    assert_eq!(
        starts.resolve_with_shared_clock(&endpoint(4, 0), later, ahead),
        0,
        "said to be long ago"
    );
}

/// Guards against a wall clock that is an hour behind: every engine that started within that hour would count as cold until
/// the hour is over.
#[test]
fn no_engine_starts_in_the_future() {
    let mut starts = StartTimes::new();
    assert_eq!(
        starts.resolve_with_shared_clock(&endpoint(1, UNIX_NOW), NOW, UNIX_NOW - HOUR),
        NOW
    );
    assert_eq!(
        starts.resolve_with_shared_clock(
            &endpoint(1, UNIX_NOW),
            NOW + WARM_UP,
            UNIX_NOW - HOUR + WARM_UP
        ),
        NOW,
        "the start time stays, so that the age grows"
    );
}

#[test]
fn in_the_first_list_a_reported_age_is_accepted() {
    let mut starts = StartTimes::new();
    assert_eq!(
        starts.resolve(&endpoint(1, UNIX_NOW - 5_000_000), NOW, UNIX_NOW, WARM_UP),
        NOW - 5_000_000
    );
    assert_eq!(
        starts.resolve(&endpoint(2, UNIX_NOW - HOUR), NOW, UNIX_NOW, WARM_UP),
        0,
        "the warm-up is long over"
    );
    assert_eq!(
        starts.resolve(&endpoint(3, UNIX_NOW + HOUR), NOW, UNIX_NOW, WARM_UP),
        NOW,
        "a start time in the future counts as now"
    );
    assert_eq!(
        starts.resolve(&endpoint(4, 0), NOW, UNIX_NOW, WARM_UP),
        0,
        "said to be long ago"
    );
    // An engine that is listed again later has not restarted.
    assert_eq!(
        starts.resolve(
            &endpoint(1, UNIX_NOW - 5_000_000),
            NOW + HOUR,
            UNIX_NOW + HOUR,
            WARM_UP
        ),
        NOW - 5_000_000
    );
}

/// Guards against a new engine whose clock is an hour behind: it would count as warm, and all nodes would overload it.
#[test]
fn a_new_engine_has_just_started_whatever_its_clock_says() {
    let mut starts = StartTimes::new();
    starts.resolve(&endpoint(1, UNIX_NOW - HOUR), NOW, UNIX_NOW, WARM_UP);
    starts.apply_complete_list(|id| id.0 == 1);
    for (id, skew) in [(2, -(HOUR as i64)), (3, 0), (4, HOUR as i64)] {
        let reported = (UNIX_NOW as i64 + skew) as Micros;
        assert_eq!(
            starts.resolve(&endpoint(id, reported), NOW, UNIX_NOW, WARM_UP),
            NOW,
            "clock skew {skew} us"
        );
    }
    // A known engine restarts after its clock went back.
    assert_eq!(
        starts.resolve(
            &endpoint(1, UNIX_NOW - 2 * HOUR),
            NOW + 9,
            UNIX_NOW,
            WARM_UP
        ),
        NOW + 9
    );
}

/// Guards against a warm engine that counts as cold after its lease was lost or its store came back empty: the same process
/// registers again.
#[test]
fn a_returning_process_keeps_its_age() {
    let mut starts = StartTimes::new();
    starts.resolve(&endpoint(1, UNIX_NOW - HOUR), NOW, UNIX_NOW, WARM_UP);
    starts.resolve(&endpoint(2, UNIX_NOW - 1), NOW, UNIX_NOW, WARM_UP);
    starts.apply_complete_list(|_| true);
    starts.remove(EndpointId(1));
    assert_eq!(
        starts.resolve(
            &endpoint(1, UNIX_NOW - HOUR),
            NOW + HOUR,
            UNIX_NOW + HOUR,
            WARM_UP
        ),
        0
    );
    // The engine is missing from a complete list and listed again in the next.
    starts.apply_complete_list(|_| false);
    assert_eq!(
        starts.resolve(
            &endpoint(2, UNIX_NOW - 1),
            NOW + HOUR,
            UNIX_NOW + HOUR,
            WARM_UP
        ),
        NOW - 1
    );
    // The engine comes back as another process.
    starts.remove(EndpointId(1));
    assert_eq!(
        starts.resolve(
            &endpoint(1, UNIX_NOW + HOUR),
            NOW + HOUR,
            UNIX_NOW + HOUR,
            WARM_UP
        ),
        NOW + HOUR
    );
}

#[test]
fn removed_engines_are_remembered_in_bounded_number() {
    let mut starts = StartTimes::new();
    let count = MAX_REMEMBERED as u64 + 10;
    for id in 0..count {
        starts.resolve(&endpoint(id, UNIX_NOW - HOUR), NOW, UNIX_NOW, WARM_UP);
    }
    starts.apply_complete_list(|_| true);
    (0..count).for_each(|id| starts.remove(EndpointId(id)));
    assert_eq!(
        starts.resolve(&endpoint(9, UNIX_NOW - HOUR), NOW, UNIX_NOW, WARM_UP),
        NOW,
        "the engine that was removed first is forgotten"
    );
    assert_eq!(
        starts.resolve(&endpoint(10, UNIX_NOW - HOUR), NOW, UNIX_NOW, WARM_UP),
        0,
        "the next one is not"
    );
}

fn update_interval() -> UpdateInterval {
    UpdateInterval::new(UpdateIntervalSettings {
        time_share: 0.25,
        max_urgent_delay: 30_000,
        max_delay: 1_000_000,
    })
}

#[test]
fn cheap_lists_are_delivered_at_once() {
    let mut interval = update_interval();
    assert_eq!(interval.deliver_at(100, false), 100);
    interval.delivered(100, 200);
    assert_eq!(interval.deliver_at(210, false), 210);
}

#[test]
fn costly_lists_keep_to_their_share_and_urgent_changes_wait_at_most_the_urgent_delay() {
    let mut interval = update_interval();
    interval.delivered(0, 1_000);
    assert_eq!(interval.deliver_at(1_001, false), 4_000);
    interval.delivered(4_000, 104_000);
    assert_eq!(
        (
            interval.deliver_at(104_001, false),
            interval.deliver_at(104_001, true)
        ),
        (404_000, 134_001)
    );
    // One cheap list after a costly one does not reset the remembered cost.
    interval.delivered(404_000, 404_010);
    assert_eq!(interval.deliver_at(404_011, false), 644_010);
    // No change waits longer than `max_delay`.
    interval.delivered(1_000_000, 9_000_000);
    assert_eq!(interval.deliver_at(9_000_001, false), 10_000_001);
}

proptest! {
    /// For random costs of lists and times of changes, lists take at most their share of the time, except for the
    /// skipped short delays, and no change waits longer than `max_delay`.
    #[test]
    fn lists_keep_to_their_time_share(steps in prop::collection::vec((1u64..20_000, 0u64..50_000), 1..200)) {
        let (mut interval, mut now, mut spent) = (update_interval(), 0, 0);
        let mut first = None;
        for (cost, gap) in steps {
            now += gap;
            let due = interval.deliver_at(now, false);
            prop_assert!(due <= now + 1_000_000);
            now = now.max(due);
            let started_at = *first.get_or_insert(now);
            // The lists before this one took at most a quarter of the time, plus the delays that were too short for a
            // timer.
            let skipped_delays = 500.0 * 200.0;
            prop_assert!(spent as f64 <= 0.25 * (now - started_at) as f64 + skipped_delays, "{spent} of {}", now - started_at);
            interval.delivered(now, now + cost);
            now += cost;
            spent += cost;
        }
    }
}
