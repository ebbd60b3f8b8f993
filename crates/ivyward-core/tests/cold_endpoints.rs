//! Clusters in which many or all endpoints have just started, used by many nodes that each see only their own traffic.

mod common;
use common::multi_node::*;
use common::*;
use ivyward_core::interface::*;

/// The budget of a cold endpoint is derived from what warm endpoints serve. Because there were none in a new cluster, no
/// request was served until its endpoints were warm.
#[test]
fn an_idle_cluster_of_new_endpoints_serves_its_first_request() {
    for nodes in [1, 3, 300] {
        let mut harness = Harness::new(
            Settings {
                replica_count: nodes,
                ..settings()
            },
            &endpoint_pairs(1..=20, START - SECOND),
        );
        harness.turn(1, 1, 1_000.0);
        assert!(!harness.rejected());
    }
}

/// 100 nodes start to use a new cluster at the same time. Nearly all requests are served, and no endpoint gets more than it
/// can take even if its capacity is only one request per first-token objective.
#[test]
fn many_nodes_together_use_a_new_cluster() {
    let interval = 10 * SECOND;
    let mut simulation =
        MultiNodeSimulation::new(100, interval, &endpoint_pairs(1..=20, START - SECOND));
    simulation.run_until(START + 9 * SECOND, interval);
    assert!(
        simulation.rejected * 10 <= simulation.arrived,
        "{} of {} rejected",
        simulation.rejected,
        simulation.arrived
    );
    let settings = settings();
    let bound =
        settings.overload_multiple * settings.initial_capacity * settings.overload_window as f64
            / SECOND as f64;
    // The bound has a factor of 3 for chance: ten requests per second go to twenty endpoints of each role.
    let max = (1..=20)
        .flat_map(|n| [n, 100 + n])
        .map(|endpoint| simulation.max_sends_in_a_window(endpoint, START))
        .max()
        .unwrap();
    assert!(
        max as f64 <= 3.0 * bound,
        "{max} requests in a window; an endpoint of the minimum capacity has a budget of {bound:.1}"
    );
}

/// Six in ten endpoints are replaced at once. The new ones get requests immediately, in proportion to their capacity.
/// In an earlier run the remaining old endpoints were overloaded while the new ones were idle.
#[test]
fn new_endpoints_take_their_share_while_most_are_replaced() {
    for (nodes, interval) in [(100, SECOND), (4, SECOND / 25)] {
        let mut simulation = MultiNodeSimulation::new(nodes, interval, &endpoint_pairs(1..=20, 0));
        simulation.run_until(START + 15 * SECOND, interval);
        let before = (simulation.rejected, simulation.arrived);
        let mut changed = endpoint_pairs(1..=12, 0);
        changed
            .iter_mut()
            .for_each(|e| e.state = EndpointState::Draining);
        changed.extend(endpoint_pairs(21..=32, START + 15 * SECOND));
        simulation.update_endpoints(START + 15 * SECOND, ListKind::Changes, &changed);
        simulation.run_until(START + 20 * SECOND, interval);
        assert!(
            simulation.rejected - before.0 <= (simulation.arrived - before.1) / 50,
            "{} rejected",
            simulation.rejected - before.0
        );
        // Of 100 requests per second the new endpoints, at 0.3 to 0.55 of their capacity, should get about 12 in 20.
        for (role, new, old) in [
            ("prefill", 21..=32, 13..=20),
            ("decode", 121..=132, 113..=120),
        ] {
            let count = |endpoints| {
                simulation.sent_between(endpoints, START + 15 * SECOND, START + 20 * SECOND) as f64
            };
            let (new, old) = (count(new), count(old));
            assert!(
                (0.15..0.6).contains(&(new / (new + old))),
                "{nodes} nodes, {role}: {new} requests to new endpoints, {old} to old ones"
            );
        }
        for endpoint in (21..=32).flat_map(|n| [n, 100 + n]) {
            let max = simulation.max_sends_in_a_window(endpoint, START + 15 * SECOND);
            assert!(
                max as f64 <= BOUND,
                "{nodes} nodes: {max} requests to {endpoint} in a window"
            );
        }
    }
}

/// The budget in a window of 3 s of a new endpoint whose full capacity is 10 requests per second, twice the usual load:
/// 2.5 times 0.3 of that.
const BOUND: f64 = 2.5 * 0.3 * 10.0 * 3.0;

/// Decode endpoints are replaced and prefill endpoints are not. Budgets are derived for each role separately.
#[test]
fn new_decode_endpoints_beside_warm_prefill_endpoints_take_their_share() {
    let mut simulation = MultiNodeSimulation::new(100, SECOND, &endpoint_pairs(1..=20, 0));
    let at = START + 15 * SECOND;
    simulation.run_until(at, SECOND);
    let mut changed: Vec<Endpoint> = (101..=112).map(|id| started(id, 1, 0)).collect();
    changed
        .iter_mut()
        .for_each(|e| e.state = EndpointState::Draining);
    changed.extend((121..=132).map(|id| started(id, 1, at)));
    simulation.update_endpoints(at, ListKind::Changes, &changed);
    let before = (simulation.rejected, simulation.arrived);
    simulation.run_until(at + 5 * SECOND, SECOND);
    assert!(simulation.rejected - before.0 <= (simulation.arrived - before.1) / 50);
    let count = |endpoints| simulation.sent_between(endpoints, at, at + 5 * SECOND) as f64;
    let (new, old) = (count(121..=132), count(113..=120));
    assert!(
        (0.15..0.6).contains(&(new / (new + old))),
        "{new} requests to new endpoints, {old} to old ones"
    );
    assert_eq!(
        count(101..=112),
        0.0,
        "nothing is sent to draining endpoints"
    );
    assert!(
        (121..=132).all(|endpoint| simulation.max_sends_in_a_window(endpoint, at) as f64 <= BOUND)
    );
}

/// All endpoints of a rack restart at once. They get requests from the first second on, but fewer than when warm, and hardly
/// any request is rejected.
#[test]
fn a_rack_of_cold_endpoints_gets_less_than_its_full_share() {
    let at = START + 15 * SECOND;
    let rack = |started_at: Micros| -> Vec<Endpoint> {
        endpoint_pairs(1..=5, started_at)
            .into_iter()
            .map(|e| Endpoint { rack: 1, ..e })
            .collect()
    };
    let rest = endpoint_pairs(6..=20, 0)
        .into_iter()
        .map(|e| Endpoint { rack: 2, ..e });
    let mut simulation = MultiNodeSimulation::new(
        100,
        SECOND,
        &rack(0).into_iter().chain(rest).collect::<Vec<_>>(),
    );
    simulation.run_until(at, SECOND);
    simulation.update_endpoints(at, ListKind::Changes, &rack(at));
    let before = (simulation.rejected, simulation.arrived);
    simulation.run_until(at + 5 * SECOND, SECOND);
    assert!(simulation.rejected - before.0 <= (simulation.arrived - before.1) / 50);
    for (role, cold, all) in [("prefill", 1..=5, 1..=20), ("decode", 101..=105, 101..=120)] {
        let count = |endpoints| simulation.sent_between(endpoints, at, at + 5 * SECOND) as f64;
        let share = count(cold) / count(all);
        assert!((0.03..0.22).contains(&share), "{role}: {share}");
    }
    assert!((1..=5)
        .flat_map(|n| [n, 100 + n])
        .all(|endpoint| simulation.max_sends_in_a_window(endpoint, at) as f64 <= BOUND));
}

/// After idle time there are no recent first tokens, which must not count as overload: of 60 requests that arrived at once
/// at an idle node, half were rejected.
#[test]
fn a_burst_after_idle_time_is_not_overload() {
    let mut cfg = settings();
    cfg.classes[0].ttft_objective = SECOND / 2;
    let mut harness = Harness::new(cfg, &endpoint_pairs(1..=4, 0));
    for id in 0..60 {
        harness.now += 200;
        harness.request(arrival(id, 1_000 + id, 300.0));
        assert!(!harness.rejected(), "request {id}");
    }
    // More requests follow, and none gets a response for seconds. This is an overload, and a part is rejected.
    let mut rejected = 0;
    for id in 60..400 {
        harness.now += 20_000;
        harness.request(arrival(id, 1_000 + id, 300.0));
        rejected += usize::from(harness.rejected());
    }
    assert!(rejected > 100, "{rejected}");
}
