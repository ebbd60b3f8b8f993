//! The combined effect of many nodes, each of which sees only its own traffic.

mod common;
use common::*;
use ivyward_core::interface::*;
use ivyward_core::router::Router;

/// Returns `nodes` routers with different seeds, each of which has served `turns` requests in ten seconds.
fn nodes(nodes: u32, turns: u64, endpoints: &[Endpoint]) -> Vec<Harness> {
    let harnesses = (0..nodes).map(|seed| {
        let settings = Settings {
            replica_count: nodes,
            ..settings()
        };
        let router = Router::new(settings, u64::from(seed) + 1);
        let mut harness = Harness {
            router,
            now: 100 * SECOND,
            actions: Vec::new(),
        };
        harness.update_endpoints(ListKind::Full, endpoints);
        for id in 0..turns {
            harness.now = 100 * SECOND + id * (10 * SECOND / turns);
            harness.turn(id, 10_000 * u64::from(seed) + id, 1_000.0);
        }
        harness.now = 111 * SECOND;
        harness
    });
    harnesses.collect()
}

#[test]
fn many_nodes_with_little_traffic_do_not_overload_a_cold_endpoint() {
    let mut endpoints: Vec<Endpoint> = (1..=10).map(|id| endpoint(id, 0)).collect();
    endpoints.extend((11..=30).map(|id| endpoint(id, 1)));
    let mut harnesses = nodes(150, 10, &endpoints);
    let cold = Endpoint {
        started_at: 111 * SECOND,
        ..endpoint(31, 1)
    };
    let mut sent = 0;
    for harness in &mut harnesses {
        harness.update_endpoints(ListKind::Changes, &[cold]);
        // The load rises: each node gets ten requests within one window.
        for id in 200..210 {
            harness.request(arrival(id, 1_000_000 + id, 1_000.0));
            harness.now += SECOND / 10;
            sent +=
                u32::from(harness.end_attempt(id, 0, Outcome::Prefilled) == Some(EndpointId(31)));
        }
    }
    // With 150 requests per second on 20 decode endpoints, a warm one gets 22.5 in a window of 3 s. The budget is 2.5 times
    // 0.3 of that, which is 17.
    assert!((1..=17).contains(&sent), "{sent} sent to the cold endpoint");
}

/// Equal decode endpoints are chosen at random. With a fixed order, all nodes would choose the same one.
#[test]
fn nodes_do_not_all_choose_the_same_decode_endpoint() {
    let endpoints = [
        endpoint(1, 0),
        endpoint(11, 1),
        endpoint(12, 1),
        endpoint(13, 1),
        endpoint(14, 1),
    ];
    let mut sent = std::collections::BTreeMap::<u64, u32>::new();
    for seed in 0..100 {
        let settings = Settings {
            replica_count: 100,
            ..settings()
        };
        let mut harness = Harness {
            router: Router::new(settings, seed),
            now: SECOND,
            actions: Vec::new(),
        };
        harness.update_endpoints(ListKind::Full, &endpoints);
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

/// KV state stays in the rack of its prefill endpoint as long as the decode endpoints there are not busier than others
/// (incident i31fe7b).
#[test]
fn a_node_with_little_traffic_keeps_kv_states_in_their_rack() {
    let in_rack = |id, machine_type, rack| Endpoint {
        rack,
        ..endpoint(id, machine_type)
    };
    let mut endpoints = vec![in_rack(1, 0, 1), in_rack(11, 1, 1), in_rack(12, 1, 1)];
    endpoints.extend((21..=60).map(|id| in_rack(id, 1, 2)));
    let mut harness = Harness {
        router: Router::new(
            Settings {
                replica_count: 150,
                ..settings()
            },
            3,
        ),
        now: SECOND,
        actions: vec![],
    };
    harness.update_endpoints(ListKind::Full, &endpoints);
    let decode_endpoints: Vec<u64> = (0..10)
        .map(|id| harness.turn(id, 100 + id, 1_000.0).0)
        .collect();
    assert!(
        decode_endpoints.iter().all(|id| *id < 20),
        "{decode_endpoints:?}"
    );
}

/// Configured weights compare endpoints of one machine type only. A type with smaller weights need not have less capacity.
#[test]
fn weights_of_two_machine_types_are_not_compared() {
    let weighted = |id, machine_type, weight| Endpoint {
        weight,
        ..endpoint(id, machine_type)
    };
    let endpoints = [endpoint(1, 0), weighted(11, 1, 10.0), weighted(12, 2, 1.0)];
    let mut mixed = 0;
    for seed in 0..100 {
        let mut harness = Harness {
            router: Router::new(settings(), seed),
            now: SECOND,
            actions: Vec::new(),
        };
        harness.update_endpoints(ListKind::Full, &endpoints);
        harness.request(arrival(1, 5_000 + seed, 1_000.0));
        mixed += u32::from(harness.end_attempt(1, 0, Outcome::Prefilled) == Some(EndpointId(12)));
    }
    assert!(
        (25..75).contains(&mixed),
        "{mixed} of 100 sent to the mixed endpoint"
    );
}

/// If a client's timeout is little more than the expected latency, the attempt has no timeout, which would only lose its
/// place in the engine's queue.
#[test]
fn no_timeout_if_little_more_than_the_expected_latency_is_left() {
    let mut harness = Harness::new(settings(), &[endpoint(1, 0), endpoint(11, 1)]);
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

/// If the clients of one tenant retry without limit, its requests are rejected first, so that others are still served.
#[test]
fn a_tenant_over_its_quota_is_rejected_before_others() {
    let tenant = || TenantSettings {
        quota_per_s: Some(10.0),
    };
    let settings = Settings {
        tenants: vec![tenant(), tenant()],
        ..settings()
    };
    let mut harness = Harness::new(settings, &[endpoint(1, 0), endpoint(11, 1)]);
    let (mut sent, mut rejected) = ([0.0; 2], [0.0; 2]);
    // No request gets a response, and nine in ten requests are the first tenant's.
    for id in 0..200 {
        harness.now += SECOND / 20;
        let tenant = usize::from(id % 10 == 0);
        harness.request(Request {
            tenant,
            ..arrival(id, id, 1_000.0)
        });
        sent[tenant] += 1.0;
        rejected[tenant] += f64::from(u8::from(harness.rejected()));
        if id > 20 {
            harness.event(Event::ClientDisconnected(RequestId(id - 20)));
        }
    }
    let [over, within] = [rejected[0] / sent[0], rejected[1] / sent[1]];
    assert!(
        over > 0.5 && within < over / 2.0,
        "rejected: {over} of the tenant over its quota, {within} of the other"
    );
}
