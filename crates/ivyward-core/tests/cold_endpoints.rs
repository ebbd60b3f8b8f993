//! Clusters in which many or all endpoints have just started, used by many nodes that each know only their own traffic.

mod common;
use common::multi_node::*;
use common::*;
use ivyward_core::interface::*;

/// Guards against measuring a cold server by warm ones when there are none: nothing was served for as long as all were
/// cold.
#[test]
fn an_idle_cluster_of_new_endpoints_serves_its_first_request() {
    for nodes in [1, 3, 300] {
        let mut harness = Harness::new(
            Settings {
                replica_count: nodes,
                ..settings()
            },
            &both(1..=20, START - SECOND),
        );
        harness.turn(1, 1, 1_000.0);
        assert!(!harness.rejected());
    }
}

/// All nodes meet the new fleet at once, a request a second each: all are served, and no server gets what would push it
/// over if it could do no more than one request of this class in its wanted time.
#[test]
fn many_nodes_together_use_a_new_cluster() {
    let every = 10 * SECOND;
    let mut simulation = MultiNodeSimulation::new(100, every, &both(1..=20, START - SECOND));
    simulation.run_until(START + 9 * SECOND, every);
    assert!(
        simulation.rejected * 10 <= simulation.arrived,
        "{} of {} refused",
        simulation.rejected,
        simulation.arrived
    );
    let settings = settings();
    let bound =
        settings.overload_multiple * settings.initial_capacity * settings.overload_window as f64
            / SECOND as f64;
    // Chance has a say: ten requests a second on twenty servers of each role.
    let most = (1..=20)
        .flat_map(|n| [n, 100 + n])
        .map(|s| simulation.max_sends_in_a_window(s, START))
        .max()
        .unwrap();
    assert!(
        most as f64 <= 3.0 * bound,
        "{most} in a window, {bound:.1} for a server of the least size"
    );
}

/// Six in ten are replaced within seconds: the new ones take their part at once, in proportion to what they can do, and
/// the old ones are not left with all of it (join day: the old ones jammed beside idle new ones).
#[test]
fn new_endpoints_carry_their_share_while_most_are_replaced() {
    for (nodes, every) in [(100, SECOND), (4, SECOND / 25)] {
        let mut simulation = MultiNodeSimulation::new(nodes, every, &both(1..=20, 0));
        simulation.run_until(START + 15 * SECOND, every);
        let old = (simulation.rejected, simulation.arrived);
        let mut released = both(1..=12, 0);
        released
            .iter_mut()
            .for_each(|e| e.state = EndpointState::Draining);
        released.extend(both(21..=32, START + 15 * SECOND));
        simulation.list(START + 15 * SECOND, ListKind::Changes, &released);
        simulation.run_until(START + 20 * SECOND, every);
        assert!(
            simulation.rejected - old.0 <= (simulation.arrived - old.1) / 50,
            "{} refused",
            simulation.rejected - old.0
        );
        // Of 100 requests a second the new ones, at 0.3 to 0.55 of their size, should take 12 in 20 or so.
        for (role, new, kept) in [
            ("readers", 21..=32, 13..=20),
            ("writers", 121..=132, 113..=120),
        ] {
            let count = |servers| {
                simulation.sent_between(servers, START + 15 * SECOND, START + 20 * SECOND) as f64
            };
            let (new, kept) = (count(new), count(kept));
            assert!(
                (0.15..0.6).contains(&(new / (new + kept))),
                "{nodes} nodes, {role}: {new} beside {kept}"
            );
        }
        for server in (21..=32).flat_map(|n| [n, 100 + n]) {
            let most = simulation.max_sends_in_a_window(server, START + 15 * SECOND);
            assert!(
                most as f64 <= BOUND,
                "{nodes} nodes: {most} to {server} in a window"
            );
        }
    }
}

/// A server that does twice the usual 5 a second: 2.5 times 0.3 of that in any window of 3 s.
const BOUND: f64 = 2.5 * 0.3 * 10.0 * 3.0;

/// Writers are replaced and readers are not: each role is measured by itself.
#[test]
fn new_decode_endpoints_beside_warm_prefill_endpoints_carry_their_share() {
    let mut simulation = MultiNodeSimulation::new(100, SECOND, &both(1..=20, 0));
    let at = START + 15 * SECOND;
    simulation.run_until(at, SECOND);
    let mut changed: Vec<Endpoint> = (101..=112).map(|id| started(id, 1, 0)).collect();
    changed
        .iter_mut()
        .for_each(|e| e.state = EndpointState::Draining);
    changed.extend((121..=132).map(|id| started(id, 1, at)));
    simulation.list(at, ListKind::Changes, &changed);
    let old = (simulation.rejected, simulation.arrived);
    simulation.run_until(at + 5 * SECOND, SECOND);
    assert!(simulation.rejected - old.0 <= (simulation.arrived - old.1) / 50);
    let count = |servers| simulation.sent_between(servers, at, at + 5 * SECOND) as f64;
    let (new, kept) = (count(121..=132), count(113..=120));
    assert!(
        (0.15..0.6).contains(&(new / (new + kept))),
        "{new} beside {kept}"
    );
    assert_eq!(count(101..=112), 0.0, "nothing to those that drain");
    assert!((121..=132).all(|s| simulation.max_sends_in_a_window(s, at) as f64 <= BOUND));
}

/// A rack comes back cold as a whole: it is used from the first second on, by less than its size, and others go on.
#[test]
fn a_rack_of_cold_endpoints_is_used_below_its_size() {
    let at = START + 15 * SECOND;
    let rack = |since: Micros| -> Vec<Endpoint> {
        both(1..=5, since)
            .into_iter()
            .map(|e| Endpoint { rack: 1, ..e })
            .collect()
    };
    let rest = both(6..=20, 0)
        .into_iter()
        .map(|e| Endpoint { rack: 2, ..e });
    let mut simulation = MultiNodeSimulation::new(
        100,
        SECOND,
        &rack(0).into_iter().chain(rest).collect::<Vec<_>>(),
    );
    simulation.run_until(at, SECOND);
    simulation.list(at, ListKind::Changes, &rack(at));
    let old = (simulation.rejected, simulation.arrived);
    simulation.run_until(at + 5 * SECOND, SECOND);
    assert!(simulation.rejected - old.0 <= (simulation.arrived - old.1) / 50);
    for (role, mine, all) in [
        ("readers", 1..=5, 1..=20),
        ("writers", 101..=105, 101..=120),
    ] {
        let count = |servers| simulation.sent_between(servers, at, at + 5 * SECOND) as f64;
        let part = count(mine) / count(all);
        assert!((0.03..0.22).contains(&part), "{role}: {part}");
    }
    assert!((1..=5)
        .flat_map(|n| [n, 100 + n])
        .all(|s| simulation.max_sends_in_a_window(s, at) as f64 <= BOUND));
}

/// Guards against taking an idle time for a stopped fleet: of 60 requests at once at an idle node, half were refused.
#[test]
fn a_burst_after_idle_time_is_not_overload() {
    let mut cfg = settings();
    cfg.classes[0].ttft_objective = SECOND / 2;
    let mut harness = Harness::new(cfg, &both(1..=4, 0));
    for id in 0..60 {
        harness.now += 200;
        harness.request(arrival(id, 1_000 + id, 300.0));
        assert!(!harness.rejected(), "request {id}");
    }
    // The same burst where nothing is answered for seconds is one, and is refused in part.
    let mut rejected = 0;
    for id in 60..400 {
        harness.now += 20_000;
        harness.request(arrival(id, 1_000 + id, 300.0));
        rejected += usize::from(harness.rejected());
    }
    assert!(rejected > 100, "{rejected}");
}
