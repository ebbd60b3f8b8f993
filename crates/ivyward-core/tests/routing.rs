//! Routing of first turns by consistent hashing, and of later turns by the PPD score.

mod common;
use common::*;
use ivyward_core::interface::*;

fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint(1, 0),
        endpoint(2, 0),
        endpoint(3, 0),
        endpoint(11, 1),
        endpoint(12, 1),
        endpoint(13, 1),
    ]
}

#[test]
fn a_first_turn_is_prefilled_and_its_kv_state_is_fetched_at_once() {
    let mut harness = Harness::new(settings(), &endpoints());
    let prefill = harness.request(arrival(1, 5, 1_500.0)).unwrap();
    assert!(prefill.0 < 10, "a first turn goes to a prefill endpoint");
    let decode = harness.end_attempt(1, 0, Outcome::Prefilled).unwrap();
    assert!(
        decode.0 > 10,
        "the decode attempt is sent when the prefill ends"
    );
}

#[test]
fn all_nodes_prefill_a_prefix_at_the_same_endpoint() {
    let mut homes = Vec::new();
    for seed in 0..5 {
        let mut harness = Harness::new(settings(), &endpoints());
        harness.router = ivyward_core::router::Router::new(settings(), seed);
        harness.update_endpoints(ListKind::Full, &endpoints());
        homes.push(harness.request(arrival(1, 100 + seed, 1_500.0)).unwrap());
    }
    assert!(homes.windows(2).all(|pair| pair[0] == pair[1]), "{homes:?}");
}

#[test]
fn prefills_go_to_another_endpoint_when_the_home_is_loaded() {
    let mut harness = Harness::new(settings(), &endpoints());
    let prefill_endpoints: Vec<_> = (0..6)
        .map(|i| harness.request(arrival(i, 100 + i, 4_000.0)).unwrap())
        .collect();
    assert!(
        prefill_endpoints
            .iter()
            .any(|endpoint| *endpoint != prefill_endpoints[0]),
        "six waiting prefills of one prefix stay at {:?}",
        prefill_endpoints[0]
    );
}

/// Counts how many of 40 later turns with few new tokens, each on a router of its own, go to the decode endpoint that has
/// the session cached. `change` runs between the first and the later turn.
fn count_local_turns(change: impl Fn(&mut Harness, EndpointId)) -> usize {
    (0..40)
        .filter(|i| {
            let mut harness = Harness::new(settings(), &endpoints());
            harness.router = ivyward_core::router::Router::new(settings(), *i);
            harness.update_endpoints(ListKind::Full, &endpoints());
            let decode = harness.turn(1, 5, 2_000.0);
            change(&mut harness, decode);
            harness.request(arrival(2, 5, 2_200.0)) == Some(decode)
        })
        .count()
}

#[test]
fn later_turns_with_few_new_tokens_are_local_except_for_the_exploration_share() {
    let count = count_local_turns(|_, _| {});
    assert!(
        (30..40).contains(&count),
        "{count} of 40 turns are local; all but a small share should be"
    );
}

#[test]
fn a_session_is_invalid_after_its_decode_endpoint_restarted_or_was_removed() {
    let restart = |harness: &mut Harness, decode: EndpointId| {
        let entry = Endpoint {
            started_at: harness.now - 60 * SECOND,
            ..endpoint(decode.0, 1)
        };
        harness.update_endpoints(ListKind::Changes, &[entry]);
    };
    assert_eq!(count_local_turns(restart), 0);
    let removed = |harness: &mut Harness, decode: EndpointId| {
        harness.update_endpoints(
            ListKind::Changes,
            &[Endpoint {
                state: EndpointState::Removed,
                ..endpoint(decode.0, 1)
            }],
        );
    };
    assert_eq!(count_local_turns(removed), 0);
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
            "without a session there is no local turn"
        );
        assert!(harness.end_attempt(id, 0, Outcome::Prefilled).unwrap().0 > 10);
        harness.first_token(id, 1);
        harness.end_attempt(id, 1, Outcome::Served);
    }
}

/// If the decode endpoint has evicted a session, a local turn prefills its whole prompt and slows down running streams. One
/// response that reports no cached tokens must end local turns after as many tokens.
#[test]
fn one_response_without_cached_tokens_lowers_the_retention_estimate() {
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
    // 120,000 tokens have passed since the last turn of session 5, and the memory has 200,000. Repeat until a turn is local,
    // since exploration may send it to a prefill endpoint first.
    let mut evicted = false;
    for id in 20..24 {
        let a = Request {
            prefix: 0,
            prefix_tokens: 0.0,
            ..arrival(id, 5, 20_100.0)
        };
        if harness.request(a) == Some(EndpointId(11)) {
            harness.first_token(id, 0);
            harness.end_with_cached_tokens(id, 0, Outcome::Served, 0);
            evicted = true;
            break;
        }
        harness.end_attempt(id, 0, Outcome::Cancelled);
    }
    assert!(evicted);
    // 140,000 tokens have passed, with which the first estimate would still allow a local turn.
    for id in 30..37 {
        harness.turn(id, id, 20_000.0);
    }
    let local = (40..46)
        .filter(|id| harness.request(arrival(*id, 5, 20_200.0)) == Some(EndpointId(11)))
        .count();
    assert_eq!(local, 0);
}

#[test]
fn without_prefill_endpoints_a_decode_endpoint_prefills() {
    let mut harness = Harness::new(settings(), &[endpoint(11, 1), endpoint(21, 2)]);
    assert!(harness.request(arrival(1, 5, 1_000.0)).is_some());
    let mut harness = Harness::new(
        Settings {
            decode_may_prefill: false,
            ..settings()
        },
        &[endpoint(11, 1), endpoint(21, 2)],
    );
    assert_eq!(
        harness.request(arrival(1, 5, 1_000.0)),
        Some(EndpointId(21))
    );
}

#[test]
fn a_decode_slot_is_reserved_if_allowed_and_then_used() {
    let mut harness = Harness::new(
        Settings {
            reserve_decode_slot: true,
            ..settings()
        },
        &endpoints(),
    );
    harness.request(arrival(1, 5, 1_000.0)).unwrap();
    let reserved = harness.actions.iter().find_map(|a| match a {
        Action::Reserve { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    assert!(reserved.is_some());
    assert_eq!(harness.end_attempt(1, 0, Outcome::Prefilled), reserved);
    let mut harness = Harness::new(settings(), &endpoints());
    harness.request(arrival(1, 5, 1_000.0));
    assert!(!harness
        .actions
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
            all.extend(harness.actions.clone());
            harness.now += 10_000;
        }
        all
    };
    assert_eq!(run(), run());
}

/// If crossing zones has a price, most prefixes have their home in the node's zone. Without a price, zones are ignored.
#[test]
fn homes_are_in_the_nodes_zone_if_crossing_zones_has_a_price() {
    let prefill = |id, zone| Endpoint {
        zone,
        ..endpoint(id, 0)
    };
    let endpoints = vec![
        prefill(1, 0),
        prefill(2, 0),
        prefill(3, 1),
        prefill(4, 1),
        endpoint(11, 1),
        endpoint(12, 1),
    ];
    let count_homes_in_zone = |price| {
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
                .expect("sent to a prefill endpoint");
            harness.now += 200_000;
            harness.end_attempt(id, 0, Outcome::Prefilled);
            harness.first_token(id, 1);
            harness.end_attempt(id, 1, Outcome::Served);
            usize::from(home.0 <= 2)
        });
        homes.sum::<usize>()
    };
    let (with, without) = (count_homes_in_zone(0.02), count_homes_in_zone(0.0));
    assert!(with > 140, "{with} of 200 homes are in the node's zone");
    assert!(
        (60..140).contains(&without),
        "without a price, {without} of 200 homes are in the node's zone"
    );
}
