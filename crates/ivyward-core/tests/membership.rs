//! Membership of engines, by synthetic events and against a simple model.

use ivyward_core::interface::*;
use ivyward_core::membership::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const GRACE: Micros = 5_000_000;

fn member(id: u64, revision: i64, state: EndpointState) -> Member {
    let entry = Endpoint {
        id: EndpointId(id),
        state,
        weight: 1.0,
        started_at: 1,
        ..Endpoint::default()
    };
    Member {
        endpoint: entry,
        address: SocketAddr::from(([127, 0, 0, 1], id as u16)),
        revision,
    }
}

fn ready(id: u64, revision: i64) -> Member {
    member(id, revision, EndpointState::Ready)
}

fn list(revision: i64, members: Vec<Member>) -> WatchEvent {
    WatchEvent::List {
        cluster: 1,
        revision,
        members,
        unreadable: vec![],
    }
}

struct Harness {
    of: Membership,
    now: Micros,
    /// The view of a router that gets all actions.
    view: BTreeMap<EndpointId, Endpoint>,
}

impl Harness {
    fn new() -> Harness {
        let settings = MembershipSettings {
            empty_grace: GRACE,
            behind_grace: 2 * GRACE,
        };
        Harness {
            of: Membership::new(settings),
            now: 1,
            view: BTreeMap::new(),
        }
    }
    fn receive(&mut self, event: WatchEvent) -> Vec<MembershipAction> {
        let mut out = Vec::new();
        self.of.handle_event(self.now, event, &mut out);
        for told in &out {
            if let MembershipAction::EndpointList {
                kind,
                members: entries,
            } = told
            {
                if matches!(kind, ListKind::Full | ListKind::Cached) {
                    self.view.clear();
                }
                for Member {
                    endpoint: entry, ..
                } in entries
                {
                    match entry.state {
                        EndpointState::Removed => drop(self.view.remove(&entry.id)),
                        _ => drop(self.view.insert(entry.id, *entry)),
                    }
                }
            }
        }
        out
    }
    fn ids(&self) -> Vec<u64> {
        self.view.keys().map(|id| id.0).collect()
    }
    fn state(&self, id: u64) -> Option<EndpointState> {
        self.view.get(&EndpointId(id)).map(|e| e.state)
    }
}

#[test]
fn drains_and_removals_are_passed_on_at_once() {
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5), ready(2, 6)]));
    let told = harness.receive(WatchEvent::Put(member(1, 11, EndpointState::Draining)));
    let entries = vec![member(1, 11, EndpointState::Draining)];
    assert_eq!(
        told,
        [
            MembershipAction::EndpointList {
                kind: ListKind::Changes,
                members: entries
            },
            MembershipAction::SaveSnapshot
        ]
    );
    harness.receive(WatchEvent::Deleted {
        id: EndpointId(2),
        revision: 12,
    });
    assert_eq!(
        (harness.ids(), harness.state(1), harness.of.revision()),
        (vec![1], Some(EndpointState::Draining), 12)
    );
}

/// Guards against a watch that was compacted away: missed deletions are found by the next list.
#[test]
fn after_a_gap_the_list_shows_removed_engines() {
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5), ready(2, 6), ready(3, 7)]));
    assert_eq!(harness.receive(WatchEvent::Gap), [MembershipAction::Relist]);
    assert_eq!(harness.ids(), [1, 2, 3], "a gap alone empties nothing");
    harness.receive(list(
        40,
        vec![ready(1, 5), member(3, 30, EndpointState::Draining)],
    ));
    assert_eq!(
        (harness.ids(), harness.state(3)),
        (vec![1, 3], Some(EndpointState::Draining))
    );
}

/// Guards against a drain that is forgotten while the store restarts: known states stay until the store says otherwise,
/// and events during the gap are passed on.
#[test]
fn a_drain_survives_a_restart_of_the_store() {
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5), ready(2, 6)]));
    harness.receive(WatchEvent::Put(member(1, 11, EndpointState::Draining)));
    harness.receive(WatchEvent::Gap);
    assert_eq!(harness.state(1), Some(EndpointState::Draining));
    // A member that lags behind answers from before the drain: not believed.
    assert_eq!(
        harness.receive(list(10, vec![ready(1, 5), ready(2, 6)])),
        [MembershipAction::Relist]
    );
    assert_eq!(harness.state(1), Some(EndpointState::Draining));
    // An event during the gap is passed on, but the watch must not continue from its revision.
    harness.receive(WatchEvent::Put(member(2, 14, EndpointState::Draining)));
    assert_eq!(
        (harness.state(2), harness.of.revision()),
        (Some(EndpointState::Draining), 11)
    );
    harness.receive(list(
        15,
        vec![
            member(1, 11, EndpointState::Draining),
            member(2, 14, EndpointState::Draining),
        ],
    ));
    assert_eq!((harness.of.revision(), harness.of.has_gap()), (15, false));
}

/// Guards against a store that comes back empty, and against a wrong prefix.
#[test]
fn an_empty_list_is_believed_only_after_the_grace() {
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5)]));
    let again = harness.now + GRACE;
    assert_eq!(
        harness.receive(list(11, vec![])),
        [MembershipAction::RelistAt(again)]
    );
    assert_eq!(harness.ids(), [1]);
    // An engine is there after all: the grace starts anew next time.
    harness.now += GRACE / 2;
    harness.receive(list(12, vec![ready(1, 5)]));
    harness.now += GRACE;
    assert!(matches!(
        harness.receive(list(13, vec![]))[..],
        [MembershipAction::RelistAt(_)]
    ));
    harness.now += GRACE;
    harness.receive(list(14, vec![]));
    assert_eq!(harness.ids(), Vec::<u64>::new());
    // The deletion of the last one is believed at once.
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5)]));
    harness.receive(WatchEvent::Deleted {
        id: EndpointId(1),
        revision: 11,
    });
    assert!(harness.view.is_empty());
    // With nobody known, an empty list is just that.
    let mut harness = Harness::new();
    assert!(matches!(
        harness.receive(list(3, vec![]))[..],
        [
            MembershipAction::EndpointList {
                kind: ListKind::Full,
                ..
            },
            MembershipAction::SaveSnapshot
        ]
    ));
}

#[test]
fn a_restarted_engine_is_new_and_a_stale_record_is_ignored() {
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5)]));
    // Deleted and put again between two responses: its new start time tells.
    let mut again = ready(1, 12);
    again.endpoint.started_at = 9;
    harness.receive(WatchEvent::Deleted {
        id: EndpointId(1),
        revision: 11,
    });
    harness.receive(WatchEvent::Put(again));
    assert_eq!(harness.view[&EndpointId(1)].started_at, 9);
    // A late record or deletion of the old process changes nothing.
    assert_eq!(
        harness.receive(WatchEvent::Put(member(1, 11, EndpointState::Draining))),
        []
    );
    assert_eq!(
        harness.receive(WatchEvent::Put(member(1, 13, EndpointState::Ready))),
        []
    );
    assert_eq!(
        harness.receive(WatchEvent::Deleted {
            id: EndpointId(1),
            revision: 11
        }),
        []
    );
    assert_eq!(harness.state(1), Some(EndpointState::Ready));
    // A drain and its cancellation.
    let draining = Member {
        endpoint: Endpoint {
            state: EndpointState::Draining,
            ..again.endpoint
        },
        revision: 14,
        ..again
    };
    harness.receive(WatchEvent::Put(draining));
    harness.receive(WatchEvent::Put(Member {
        revision: 15,
        ..again
    }));
    assert_eq!(harness.state(1), Some(EndpointState::Ready));
}

#[test]
fn an_unreadable_record_affects_no_engine() {
    let mut harness = Harness::new();
    harness.receive(list(10, vec![ready(1, 5), ready(2, 6)]));
    let unread = vec![EndpointId(2), EndpointId(9)];
    harness.receive(WatchEvent::List {
        cluster: 1,
        revision: 12,
        members: vec![ready(1, 5), ready(3, 11)],
        unreadable: unread,
    });
    assert_eq!(harness.ids(), [1, 2, 3]);
}

#[test]
fn a_snapshot_is_used_until_the_store_answers() {
    let mut harness = Harness::new();
    let told = harness.receive(WatchEvent::Snapshot(vec![ready(1, 5)]));
    assert!(matches!(
        told[..],
        [MembershipAction::EndpointList {
            kind: ListKind::Cached,
            ..
        }]
    ));
    harness.receive(list(3, vec![ready(1, 2), ready(2, 3)]));
    assert_eq!(harness.ids(), [1, 2]);
    assert_eq!(harness.receive(WatchEvent::Snapshot(vec![])), []);
    // Another store with revisions of its own.
    let event = WatchEvent::List {
        cluster: 2,
        revision: 1,
        members: vec![ready(2, 1)],
        unreadable: vec![],
    };
    harness.receive(event);
    assert_eq!((harness.ids(), harness.of.revision()), (vec![2], 1));
}

#[derive(Clone, Debug)]
enum Step {
    Put(u64, bool),
    Delete(u64),
    /// The watch breaks; changes are missed until a list.
    Break,
    List,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1u64..6, any::<bool>()).prop_map(|(id, drains)| Step::Put(id, drains)),
        2 => (1u64..6).prop_map(Step::Delete),
        1 => Just(Step::Break),
        1 => Just(Step::List),
    ]
}

proptest! {
    /// Against a plain map with revisions: whenever the watch is whole, the module's view is the store's; while it is
    /// broken, the view is what it was when it broke.
    #[test]
    fn the_view_equals_the_store_whenever_the_watch_is_complete(steps in prop::collection::vec(step(), 1..120)) {
        let mut harness = Harness::new();
        // The grace is not the matter here.
        harness.of = Membership::new(MembershipSettings { empty_grace: 0, behind_grace: 0 });
        let (mut store, mut revision, mut whole) = (BTreeMap::<u64, Member>::new(), 1i64, true);
        harness.receive(list(revision, vec![]));
        for step in steps {
            harness.now += 1;
            let before = harness.view.clone();
            match step {
                Step::Put(id, drains) => {
                    revision += 1;
                    let state = if drains { EndpointState::Draining } else { EndpointState::Ready };
                    store.insert(id, member(id, revision, state));
                    if whole {
                        harness.receive(WatchEvent::Put(store[&id]));
                    }
                }
                Step::Delete(id) => {
                    if store.remove(&id).is_some() {
                        revision += 1;
                        if whole {
                            harness.receive(WatchEvent::Deleted { id: EndpointId(id), revision });
                        }
                    }
                }
                Step::Break => {
                    whole = false;
                    harness.receive(WatchEvent::Gap);
                }
                Step::List => {
                    whole = true;
                    harness.receive(list(revision, store.values().copied().collect()));
                }
            }
            if whole {
                let wanted: BTreeMap<EndpointId, Endpoint> =
                    store.values().map(|m| (m.endpoint.id, m.endpoint)).collect();
                prop_assert_eq!(&harness.view, &wanted);
                prop_assert_eq!(harness.of.revision(), revision);
            } else {
                prop_assert_eq!(&harness.view, &before);
            }
        }
    }
}

/// Guards against a store that was restored from an older copy under its old name: its revisions went back, and a node
/// that waits for those it heard would never hear of it again.
#[test]
fn a_store_with_lower_revisions_is_believed_after_the_grace() {
    let mut harness = Harness::new();
    harness.receive(list(100, vec![ready(1, 50), ready(2, 60), ready(3, 70)]));
    assert_eq!(
        harness.receive(list(40, vec![ready(1, 30)])),
        [MembershipAction::Relist],
        "an old answer, it seems"
    );
    assert_eq!(harness.ids(), [1, 2, 3]);
    harness.now += 2 * GRACE - 1;
    assert_eq!(
        harness.receive(list(41, vec![ready(1, 30)])),
        [MembershipAction::Relist]
    );
    harness.now += 1;
    // Records of lower revisions than the ones known are no echoes now.
    harness.receive(list(
        42,
        vec![member(1, 30, EndpointState::Draining), ready(4, 42)],
    ));
    assert_eq!(
        (harness.ids(), harness.state(1)),
        (vec![1, 4], Some(EndpointState::Draining))
    );
    assert_eq!(harness.of.revision(), 42);
}

/// A member that lags behind now and then, between answers that do not, is never believed.
#[test]
fn a_lagging_store_member_is_ignored() {
    let mut harness = Harness::new();
    for _ in 0..10 {
        harness.receive(list(100, vec![ready(1, 50), ready(2, 60)]));
        harness.now += GRACE;
        assert_eq!(
            harness.receive(list(40, vec![ready(1, 30)])),
            [MembershipAction::Relist]
        );
        harness.now += GRACE;
    }
    assert_eq!(harness.ids(), [1, 2]);
}

/// A minute of silence, with a gap every two seconds, removes no engine.
#[test]
fn a_minute_of_silence_removes_nothing() {
    let mut harness = Harness::new();
    harness.receive(list(
        100,
        vec![ready(1, 50), member(2, 60, EndpointState::Draining)],
    ));
    for _ in 0..30 {
        harness.now += 2_000_000;
        assert_eq!(harness.receive(WatchEvent::Gap), [MembershipAction::Relist]);
    }
    assert_eq!(
        (harness.ids(), harness.state(2)),
        (vec![1, 2], Some(EndpointState::Draining))
    );
}

fn started(id: u64, revision: i64, state: EndpointState, started: Micros) -> Member {
    let mut member = member(id, revision, state);
    member.endpoint.started_at = started;
    member
}

/// Found by a seed of the virtual world: a drain that was written without the engine's start, or with an older one, was
/// taken for an echo of the past, and work went on.
#[test]
fn a_drain_counts_whatever_its_start_time() {
    for named in [0, 5, 10] {
        let mut harness = Harness::new();
        harness.receive(list(10, vec![started(1, 5, EndpointState::Ready, 10)]));
        harness.receive(WatchEvent::Put(started(
            1,
            11,
            EndpointState::Draining,
            named,
        )));
        assert_eq!(
            harness.state(1),
            Some(EndpointState::Draining),
            "named {named}"
        );
        assert_eq!(harness.view[&EndpointId(1)].started_at, 10);
        // Only the engine itself, or a record that says nothing of its start, makes it ready again.
        harness.receive(WatchEvent::Put(started(1, 12, EndpointState::Ready, 5)));
        assert_eq!(
            harness.state(1),
            Some(EndpointState::Draining),
            "a process of the past is not the engine"
        );
        harness.receive(WatchEvent::Put(started(
            1,
            13,
            EndpointState::Ready,
            if named == 0 { 0 } else { 20 },
        )));
        assert_eq!(harness.state(1), Some(EndpointState::Ready));
    }
    // The same in a list.
    let mut harness = Harness::new();
    harness.receive(list(10, vec![started(1, 5, EndpointState::Ready, 10)]));
    harness.receive(WatchEvent::Gap);
    harness.receive(list(20, vec![started(1, 15, EndpointState::Draining, 5)]));
    assert_eq!(harness.state(1), Some(EndpointState::Draining));
}
