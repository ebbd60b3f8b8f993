//! The ordinary path: first turns through a hashed reader, later turns by the score.

mod common;
use common::*;
use ivyward_core::interface::*;

fn fleet() -> Vec<Endpoint> {
    vec![
        server(1, 0),
        server(2, 0),
        server(3, 0),
        server(11, 1),
        server(12, 1),
        server(13, 1),
    ]
}

#[test]
fn a_first_turn_is_read_at_a_reader_and_its_state_is_taken_at_once() {
    let mut rig = Rig::new(settings(), &fleet());
    let reader = rig.ask(arrival(1, 5, 1_500.0)).unwrap();
    assert!(reader.0 < 10, "a first turn goes to a prefill server");
    let writer = rig.end(1, 0, Outcome::Prefilled).unwrap();
    assert!(
        writer.0 > 10,
        "a read state goes to a writer in the same step"
    );
}

#[test]
fn all_nodes_read_a_prefix_at_the_same_server() {
    let mut homes = Vec::new();
    for seed in 0..5 {
        let mut rig = Rig::new(settings(), &fleet());
        rig.router = ivyward_core::router::Router::new(settings(), seed);
        rig.fleet(ListKind::Full, &fleet());
        homes.push(rig.ask(arrival(1, 100 + seed, 1_500.0)).unwrap());
    }
    assert!(homes.windows(2).all(|w| w[0] == w[1]), "{homes:?}");
}

#[test]
fn a_crowded_home_spills_to_another_reader() {
    let mut rig = Rig::new(settings(), &fleet());
    let readers: Vec<_> = (0..6)
        .map(|i| rig.ask(arrival(i, 100 + i, 4_000.0)).unwrap())
        .collect();
    assert!(
        readers.iter().any(|r| *r != readers[0]),
        "six waiting reads of one prefix stay at {:?}",
        readers[0]
    );
}

/// Counts how many of many later turns with few new tokens go to the writer that holds the session.
fn locals(change: impl Fn(&mut Rig, EndpointId)) -> usize {
    (0..40)
        .filter(|i| {
            let mut rig = Rig::new(settings(), &fleet());
            rig.router = ivyward_core::router::Router::new(settings(), *i);
            rig.fleet(ListKind::Full, &fleet());
            let writer = rig.turn(1, 5, 2_000.0);
            change(&mut rig, writer);
            rig.ask(arrival(2, 5, 2_200.0)) == Some(writer)
        })
        .count()
}

#[test]
fn a_later_turn_with_little_new_goes_to_its_holder_but_for_the_remote_share() {
    let count = locals(|_, _| {});
    assert!(
        (30..40).contains(&count),
        "{count} of 40 local: all but a small remote share"
    );
}

#[test]
fn a_row_is_void_when_its_writer_restarted_or_went() {
    let restart = |rig: &mut Rig, w: EndpointId| {
        let entry = Endpoint {
            started_at: rig.now - 60 * SECOND,
            ..server(w.0, 1)
        };
        rig.fleet(ListKind::Changes, &[entry]);
    };
    assert_eq!(locals(restart), 0);
    let gone = |rig: &mut Rig, w: EndpointId| {
        rig.fleet(
            ListKind::Changes,
            &[Endpoint {
                state: EndpointState::Removed,
                ..server(w.0, 1)
            }],
        );
    };
    assert_eq!(locals(gone), 0);
}

#[test]
fn a_row_expires_when_idle() {
    assert_eq!(locals(|rig, _| rig.now += 121 * SECOND), 0);
}

#[test]
fn much_new_text_takes_the_reader_path() {
    let mut rig = Rig::new(settings(), &fleet());
    rig.turn(1, 5, 2_000.0);
    assert!(rig.ask(arrival(2, 5, 8_000.0)).unwrap().0 < 10);
}

#[test]
fn requests_without_keys_are_served_and_have_no_row() {
    let mut rig = Rig::new(settings(), &fleet());
    for id in 0..20 {
        let a = Request {
            prefix: 0,
            prefix_tokens: 0.0,
            ..arrival(id, 0, 1_000.0)
        };
        assert!(rig.ask(a).unwrap().0 < 10, "no row, so no local turn");
        assert!(rig.end(id, 0, Outcome::Prefilled).unwrap().0 > 10);
        rig.first(id, 1);
        rig.end(id, 1, Outcome::Served);
    }
}

/// A writer that forgot makes a local turn a full read among running streams: one kept count of nothing has to
/// end local turns whose distance was as long.
#[test]
fn a_writer_that_forgot_is_learned_from_one_answer() {
    let mut rig = Rig::new(
        Settings {
            max_attempts: 9,
            ..settings()
        },
        &fleet()[..4],
    );
    rig.turn(1, 5, 20_000.0);
    for id in 10..16 {
        rig.turn(id, id, 20_000.0);
    }
    // Session 5 is 120,000 tokens back, of a told memory of 200,000. Ask until its turn goes local (the remote share may come first).
    let mut forgot = false;
    for id in 20..24 {
        let a = Request {
            prefix: 0,
            prefix_tokens: 0.0,
            ..arrival(id, 5, 20_100.0)
        };
        if rig.ask(a) == Some(EndpointId(11)) {
            rig.first(id, 0);
            rig.end_kept(id, 0, Outcome::Served, 0);
            forgot = true;
            break;
        }
        rig.end(id, 0, Outcome::Cancelled);
    }
    assert!(forgot);
    // 140,000 tokens back, where the first guess would still have gone local.
    for id in 30..37 {
        rig.turn(id, id, 20_000.0);
    }
    let local = (40..46)
        .filter(|id| rig.ask(arrival(*id, 5, 20_200.0)) == Some(EndpointId(11)))
        .count();
    assert_eq!(local, 0);
}

#[test]
fn without_readers_a_server_that_reads_for_itself_answers() {
    let mut rig = Rig::new(settings(), &[server(11, 1), server(21, 2)]);
    assert!(rig.ask(arrival(1, 5, 1_000.0)).is_some());
    let mut rig = Rig::new(
        Settings {
            decode_may_prefill: false,
            ..settings()
        },
        &[server(11, 1), server(21, 2)],
    );
    assert_eq!(rig.ask(arrival(1, 5, 1_000.0)), Some(EndpointId(21)));
}

#[test]
fn a_place_is_held_ahead_where_allowed_and_then_used() {
    let mut rig = Rig::new(
        Settings {
            reserve_decode_slot: true,
            ..settings()
        },
        &fleet(),
    );
    rig.ask(arrival(1, 5, 1_000.0)).unwrap();
    let held = rig.done.iter().find_map(|a| match a {
        Action::Reserve {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    });
    assert!(held.is_some());
    assert_eq!(rig.end(1, 0, Outcome::Prefilled), held);
    let mut rig = Rig::new(settings(), &fleet());
    rig.ask(arrival(1, 5, 1_000.0));
    assert!(!rig.done.iter().any(|a| matches!(a, Action::Reserve { .. })));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), &fleet());
        let mut all = Vec::new();
        for id in 0..50 {
            rig.ask(arrival(id, id % 7, 1_000.0 + 30.0 * id as f64));
            all.extend(rig.done.clone());
            rig.now += 10_000;
        }
        all
    };
    assert_eq!(run(), run());
}

/// Where crossing zones has a price, most prefixes have their home in the node's own zone; without one, zones mean nothing.
#[test]
fn homes_are_near_where_crossing_has_a_price() {
    let far = |id, zone| Endpoint {
        zone,
        ..server(id, 0)
    };
    let fleet = vec![
        far(1, 0),
        far(2, 0),
        far(3, 1),
        far(4, 1),
        server(11, 1),
        server(12, 1),
    ];
    let near = |price| {
        let mut rig = Rig::new(
            Settings {
                cross_zone_price: price,
                ..settings()
            },
            &fleet,
        );
        let homes = (0..200).map(|id| {
            let home = rig
                .ask(Request {
                    prefix: 1_000 + id,
                    ..arrival(id, id, 1_000.0)
                })
                .expect("a reader");
            rig.now += 200_000;
            rig.end(id, 0, Outcome::Prefilled);
            rig.first(id, 1);
            rig.end(id, 1, Outcome::Served);
            usize::from(home.0 <= 2)
        });
        homes.sum::<usize>()
    };
    let (with, without) = (near(0.02), near(0.0));
    assert!(with > 140, "{with} of 200 homes are in the node's zone");
    assert!((60..140).contains(&without), "{without} of 200");
}
