//! What many nodes do together, each knowing only its own traffic.

mod common;
use common::*;
use ivyward_core::interface::*;
use ivyward_core::router::Router;

/// `nodes` routers with seeds of their own, that have each served `turns` requests among `endpoints` over ten seconds.
fn nodes(nodes: u32, turns: u64, endpoints: &[Endpoint]) -> Vec<Harness> {
    let rigs = (0..nodes).map(|seed| {
        let cfg = Settings {
            replica_count: nodes,
            ..settings()
        };
        let router = Router::new(cfg, u64::from(seed) + 1);
        let mut harness = Harness {
            router,
            now: 100 * SECOND,
            done: Vec::new(),
        };
        harness.endpoints(ListKind::Full, endpoints);
        for id in 0..turns {
            harness.now = 100 * SECOND + id * (10 * SECOND / turns);
            harness.turn(id, 10_000 * u64::from(seed) + id, 1_000.0);
        }
        harness.now = 111 * SECOND;
        harness
    });
    rigs.collect()
}

#[test]
fn many_nodes_with_little_traffic_do_not_overload_a_cold_endpoint() {
    let mut endpoints: Vec<Endpoint> = (1..=10).map(|id| server(id, 0)).collect();
    endpoints.extend((11..=30).map(|id| server(id, 1)));
    let mut rigs = nodes(150, 10, &endpoints);
    let cold = Endpoint {
        started_at: 111 * SECOND,
        ..server(31, 1)
    };
    let mut sent = 0;
    for harness in &mut rigs {
        harness.endpoints(ListKind::Changes, &[cold]);
        // A storm: each node has ten requests within one window.
        for id in 200..210 {
            harness.request(arrival(id, 1_000_000 + id, 1_000.0));
            harness.now += SECOND / 10;
            sent +=
                u32::from(harness.end_attempt(id, 0, Outcome::Prefilled) == Some(EndpointId(31)));
        }
    }
    // 150 requests a second on 20 decode endpoints: a warm one gets 22.5 in a window of 3 s; 2.5 times 0.3 of it is 17.
    assert!((1..=17).contains(&sent), "{sent} sent to the cold server");
}

/// Equal decode endpoints are chosen at random: a fixed order would send all nodes to the same one.
#[test]
fn nodes_do_not_all_choose_the_same_decode_endpoint() {
    let endpoints = [
        server(1, 0),
        server(11, 1),
        server(12, 1),
        server(13, 1),
        server(14, 1),
    ];
    let mut sent = std::collections::BTreeMap::<u64, u32>::new();
    for seed in 0..100 {
        let cfg = Settings {
            replica_count: 100,
            ..settings()
        };
        let mut harness = Harness {
            router: Router::new(cfg, seed),
            now: SECOND,
            done: Vec::new(),
        };
        harness.endpoints(ListKind::Full, &endpoints);
        harness.request(arrival(1, 5_000 + seed, 1_000.0));
        *sent
            .entry(harness.end_attempt(1, 0, Outcome::Prefilled).unwrap().0)
            .or_default() += 1;
    }
    assert!(
        sent.len() == 4 && sent.values().all(|n| (10..45).contains(n)),
        "{sent:?}"
    );
}

/// KV states stay in the rack of their prefill endpoint while its decode endpoints are as free as others (incident i31fe7b).
#[test]
fn a_node_with_little_traffic_keeps_kv_states_in_their_rack() {
    let near = |id, kind, cell| Endpoint {
        rack: cell,
        ..server(id, kind)
    };
    let mut endpoints = vec![near(1, 0, 1), near(11, 1, 1), near(12, 1, 1)];
    endpoints.extend((21..=60).map(|id| near(id, 1, 2)));
    let mut harness = Harness {
        router: Router::new(
            Settings {
                replica_count: 150,
                ..settings()
            },
            3,
        ),
        now: SECOND,
        done: vec![],
    };
    harness.endpoints(ListKind::Full, &endpoints);
    let decode_endpoints: Vec<u64> = (0..10)
        .map(|id| harness.turn(id, 100 + id, 1_000.0).0)
        .collect();
    assert!(
        decode_endpoints.iter().all(|w| *w < 20),
        "{decode_endpoints:?}"
    );
}

/// Configured weights compare endpoints of one machine type: small numbers don't mean small machines.
#[test]
fn weights_of_two_machine_types_are_not_compared() {
    let weighed = |id, kind, weight| Endpoint {
        weight,
        ..server(id, kind)
    };
    let endpoints = [server(1, 0), weighed(11, 1, 10.0), weighed(12, 2, 1.0)];
    let mut mixed = 0;
    for seed in 0..100 {
        let mut harness = Harness {
            router: Router::new(settings(), seed),
            now: SECOND,
            done: Vec::new(),
        };
        harness.endpoints(ListKind::Full, &endpoints);
        harness.request(arrival(1, 5_000 + seed, 1_000.0));
        mixed += u32::from(harness.end_attempt(1, 0, Outcome::Prefilled) == Some(EndpointId(12)));
    }
    assert!(
        (25..75).contains(&mixed),
        "{mixed} of 100 to the mixed server"
    );
}

/// A short-lived try in a slow pool is left to run: a time-out would only give up its place.
#[test]
fn no_timeout_if_little_more_than_the_expected_latency_is_left() {
    let mut harness = Harness::new(settings(), &[server(1, 0), server(11, 1)]);
    for id in 0..10 {
        harness.turn(id, id, 1_000.0);
    }
    harness.request(Request {
        client_timeout: SECOND / 4,
        ..arrival(50, 50, 1_000.0)
    });
    assert_eq!(harness.timeout(), Some(0));
    harness.request(arrival(51, 51, 1_000.0));
    assert!(harness.timeout().is_some_and(|t| t > 0));
}

/// One tenant whose clients repeat without end does not take the others' service: its tries are refused first.
#[test]
fn a_tenant_over_its_quota_is_rejected_before_others() {
    let tenant = || TenantSettings {
        quota_per_s: Some(10.0),
    };
    let cfg = Settings {
        tenants: vec![tenant(), tenant()],
        ..settings()
    };
    let mut harness = Harness::new(cfg, &[server(1, 0), server(11, 1)]);
    let (mut asked, mut rejected) = ([0.0; 2], [0.0; 2]);
    // Nothing is answered, and nine of ten arrivals are the first tenant's.
    for id in 0..200 {
        harness.now += SECOND / 20;
        let tenant = usize::from(id % 10 == 0);
        harness.request(Request {
            tenant,
            ..arrival(id, id, 1_000.0)
        });
        asked[tenant] += 1.0;
        rejected[tenant] += f64::from(u8::from(harness.rejected()));
        if id > 20 {
            harness.event(Event::ClientDisconnected(RequestId(id - 20)));
        }
    }
    let [over, within] = [rejected[0] / asked[0], rejected[1] / asked[1]];
    assert!(over > 0.5 && within < over / 2.0, "{over} against {within}");
}
