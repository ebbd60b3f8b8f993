//! Ordinary routing: first turns by consistent hashing, later turns by the PPD score.

mod common;
use common::*;
use ivyward_core::interface::*;

fn endpoints() -> Vec<Endpoint> {
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
fn a_first_turn_is_prefilled_and_its_kv_state_is_fetched_at_once() {
    let mut harness = Harness::new(settings(), &endpoints());
    let prefill = harness.request(arrival(1, 5, 1_500.0)).unwrap();
    assert!(prefill.0 < 10, "a first turn goes to a prefill server");
    let decode = harness.end_attempt(1, 0, Outcome::Prefilled).unwrap();
    assert!(
        decode.0 > 10,
        "a read state goes to a writer in the same step"
    );
}

#[test]
fn all_nodes_prefill_a_prefix_at_the_same_endpoint() {
    let mut homes = Vec::new();
    for seed in 0..5 {
        let mut harness = Harness::new(settings(), &endpoints());
        harness.router = ivyward_core::router::Router::new(settings(), seed);
        harness.endpoints(ListKind::Full, &endpoints());
        homes.push(harness.request(arrival(1, 100 + seed, 1_500.0)).unwrap());
    }
    assert!(homes.windows(2).all(|w| w[0] == w[1]), "{homes:?}");
}

#[test]
fn a_loaded_home_spills_to_another_prefill_endpoint() {
    let mut harness = Harness::new(settings(), &endpoints());
    let prefill_endpoints: Vec<_> = (0..6)
        .map(|i| harness.request(arrival(i, 100 + i, 4_000.0)).unwrap())
        .collect();
    assert!(
        prefill_endpoints.iter().any(|r| *r != prefill_endpoints[0]),
        "six waiting reads of one prefix stay at {:?}",
        prefill_endpoints[0]
    );
}

/// Counts how many of many later turns with few new tokens go to the decode endpoint that keeps the session.
fn count_local_turns(change: impl Fn(&mut Harness, EndpointId)) -> usize {
    (0..40)
        .filter(|i| {
            let mut harness = Harness::new(settings(), &endpoints());
            harness.router = ivyward_core::router::Router::new(settings(), *i);
            harness.endpoints(ListKind::Full, &endpoints());
            let decode = harness.turn(1, 5, 2_000.0);
            change(&mut harness, decode);
            harness.request(arrival(2, 5, 2_200.0)) == Some(decode)
        })
        .count()
}

#[test]
fn a_later_turn_with_few_new_tokens_is_local_but_for_the_exploration_share() {
    let count = count_local_turns(|_, _| {});
    assert!(
        (30..40).contains(&count),
        "{count} of 40 local: all but a small remote share"
    );
}

#[test]
fn a_session_is_invalid_after_its_decode_endpoint_restarted_or_was_removed() {
    let restart = |harness: &mut Harness, w: EndpointId| {
        let entry = Endpoint {
            started_at: harness.now - 60 * SECOND,
            ..server(w.0, 1)
        };
        harness.endpoints(ListKind::Changes, &[entry]);
    };
    assert_eq!(count_local_turns(restart), 0);
    let gone = |harness: &mut Harness, w: EndpointId| {
        harness.endpoints(
            ListKind::Changes,
            &[Endpoint {
                state: EndpointState::Removed,
                ..server(w.0, 1)
            }],
        );
    };
    assert_eq!(count_local_turns(gone), 0);
}

#[test]
fn a_session_expires_when_idle() {
    assert_eq!(
        count_local_turns(|harness, _| harness.now += 121 * SECOND),
        0
    );
}

#[test]
fn many_new_tokens_take_the_prefill_path() {
    let mut harness = Harness::new(settings(), &endpoints());
    harness.turn(1, 5, 2_000.0);
    assert!(harness.request(arrival(2, 5, 8_000.0)).unwrap().0 < 10);
}

#[test]
fn requests_without_keys_are_served_and_have_no_session() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..20 {
        let a = Request {
            prefix: 0,
            prefix_tokens: 0.0,
            ..arrival(id, 0, 1_000.0)
        };
        assert!(
            harness.request(a).unwrap().0 < 10,
            "no row, so no local turn"
        );
        assert!(harness.end_attempt(id, 0, Outcome::Prefilled).unwrap().0 > 10);
        harness.first_token(id, 1);
        harness.end_attempt(id, 1, Outcome::Served);
    }
}

/// A writer that forgot makes a local turn a full read among running streams: one kept count of nothing has to
/// end local turns whose distance was as long.
#[test]
fn an_evicted_session_is_learned_from_one_response() {
    let mut harness = Harness::new(
        Settings {
            max_attempts: 9,
            ..settings()
        },
        &endpoints()[..4],
    );
    harness.turn(1, 5, 20_000.0);
    for id in 10..16 {
        harness.turn(id, id, 20_000.0);
    }
    // Session 5 is 120,000 tokens back, with a memory of 200,000. Repeat until its turn is local (exploration may come first).
    let mut forgot = false;
    for id in 20..24 {
        let a = Request {
            prefix: 0,
            prefix_tokens: 0.0,
            ..arrival(id, 5, 20_100.0)
        };
        if harness.request(a) == Some(EndpointId(11)) {
            harness.first_token(id, 0);
            harness.end_with_cached_tokens(id, 0, Outcome::Served, 0);
            forgot = true;
            break;
        }
        harness.end_attempt(id, 0, Outcome::Cancelled);
    }
    assert!(forgot);
    // 140,000 tokens back, where the first estimate would still be local.
    for id in 30..37 {
        harness.turn(id, id, 20_000.0);
    }
    let local = (40..46)
        .filter(|id| harness.request(arrival(*id, 5, 20_200.0)) == Some(EndpointId(11)))
        .count();
    assert_eq!(local, 0);
}

#[test]
fn without_prefill_endpoints_a_decode_endpoint_prefills_itself() {
    let mut harness = Harness::new(settings(), &[server(11, 1), server(21, 2)]);
    assert!(harness.request(arrival(1, 5, 1_000.0)).is_some());
    let mut harness = Harness::new(
        Settings {
            decode_may_prefill: false,
            ..settings()
        },
        &[server(11, 1), server(21, 2)],
    );
    assert_eq!(
        harness.request(arrival(1, 5, 1_000.0)),
        Some(EndpointId(21))
    );
}

#[test]
fn a_decode_slot_is_reserved_where_allowed_and_then_used() {
    let mut harness = Harness::new(
        Settings {
            reserve_decode_slot: true,
            ..settings()
        },
        &endpoints(),
    );
    harness.request(arrival(1, 5, 1_000.0)).unwrap();
    let held = harness.done.iter().find_map(|a| match a {
        Action::Reserve {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    });
    assert!(held.is_some());
    assert_eq!(harness.end_attempt(1, 0, Outcome::Prefilled), held);
    let mut harness = Harness::new(settings(), &endpoints());
    harness.request(arrival(1, 5, 1_000.0));
    assert!(!harness
        .done
        .iter()
        .any(|a| matches!(a, Action::Reserve { .. })));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), &endpoints());
        let mut all = Vec::new();
        for id in 0..50 {
            harness.request(arrival(id, id % 7, 1_000.0 + 30.0 * id as f64));
            all.extend(harness.done.clone());
            harness.now += 10_000;
        }
        all
    };
    assert_eq!(run(), run());
}

/// Where crossing zones has a price, most prefixes have their home in the node's own zone; without one, zones mean nothing.
#[test]
fn homes_are_in_the_own_zone_where_crossing_has_a_price() {
    let far = |id, zone| Endpoint {
        zone,
        ..server(id, 0)
    };
    let endpoints = vec![
        far(1, 0),
        far(2, 0),
        far(3, 1),
        far(4, 1),
        server(11, 1),
        server(12, 1),
    ];
    let near = |price| {
        let mut harness = Harness::new(
            Settings {
                cross_zone_price: price,
                ..settings()
            },
            &endpoints,
        );
        let homes = (0..200).map(|id| {
            let home = harness
                .request(Request {
                    prefix: 1_000 + id,
                    ..arrival(id, id, 1_000.0)
                })
                .expect("a reader");
            harness.now += 200_000;
            harness.end_attempt(id, 0, Outcome::Prefilled);
            harness.first_token(id, 1);
            harness.end_attempt(id, 1, Outcome::Served);
            usize::from(home.0 <= 2)
        });
        homes.sum::<usize>()
    };
    let (with, without) = (near(0.02), near(0.0));
    assert!(with > 140, "{with} of 200 homes are in the node's zone");
    assert!((60..140).contains(&without), "{without} of 200");
}
