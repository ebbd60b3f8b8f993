//! What all nodes together send to one cold endpoint, against its budget N: at most 2 * sqrt(N) + 2 beyond it is chance,
//! with one, two, twenty, thirty or three hundred nodes. That is the bound for budgets of 30 requests and more; the same is
//! required under 30, where 3 * sqrt(N) + 3 would do.
//!
//! `IVYWARD_SEEDS` sets the number of seeds (a few without it); `--nocapture` prints the distribution.

mod common;
use common::multi_node::*;
use common::*;
use ivyward_core::interface::*;

/// A load scenario. Each begins with 20 prefill and 20 decode endpoints at full load.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: u32,
    /// Requests a second over all nodes.
    rate: f64,
    /// How many endpoints of each role start.
    cold: u64,
    /// From then on the request rate is multiplied by this.
    storm: f64,
    /// Some nodes get several times the traffic of others.
    uneven: bool,
    /// Three in ten requests share one prefix.
    hot: bool,
    /// Seven in ten nodes restart a second later.
    restarts: bool,
    /// The old endpoints of one role are removed as new ones start.
    replaced: bool,
}

const BASELINE: Scenario = Scenario {
    nodes: 30,
    rate: 200.0,
    cold: 1,
    storm: 1.0,
    uneven: false,
    hot: false,
    restarts: false,
    replaced: false,
};

/// The most sends in a window to any cold endpoint beyond its budget, in square roots of that budget.
fn worst(seed: u64, scenario: Scenario) -> (f64, f64) {
    let set = settings();
    let every = |nodes: u32, rate: f64| (f64::from(nodes) / rate * SECOND as f64) as Micros;
    let span = every(scenario.nodes, scenario.rate);
    let old = both(1..=20, 0);
    let mut simulation = MultiNodeSimulation::seeded(seed, scenario.nodes, span, &old);
    if scenario.uneven {
        // One in five sees four times the mean of the others.
        simulation.pace = (0..scenario.nodes)
            .map(|n| if n % 5 == 0 { 0.4 } else { 1.6 })
            .collect();
    }
    if scenario.hot {
        simulation.prefix = |id| if id % 10 < 3 { 1_000 } else { 1 + id % 20 };
    }
    let at = START + 20 * SECOND + seed % 7 * SECOND / 3;
    simulation.run_until(at, span);
    let mut changed = both(21..=20 + scenario.cold, at - SECOND / 2);
    if scenario.replaced {
        changed.extend(both(1..=scenario.cold, 0).into_iter().map(|e| Endpoint {
            state: EndpointState::Draining,
            ..e
        }));
    }
    simulation.list(at, ListKind::Changes, &changed);
    let storm = every(scenario.nodes, scenario.rate * scenario.storm);
    if scenario.restarts {
        simulation.run_until(at + SECOND, storm);
        let mut list = old.clone();
        list.extend(changed.iter().copied());
        for node in 0..scenario.nodes as usize {
            if node % 10 < 7 {
                simulation.restart(node, at + SECOND, &list);
            }
        }
    }
    simulation.run_until(at + 12 * SECOND, storm);
    // What a warm one is seen to carry: the guide that the rule names.
    let window = set.overload_window;
    let stay = if scenario.replaced {
        scenario.cold + 1..=20
    } else {
        1..=20
    };
    let carried = |from: Micros| {
        simulation.sent_between(stay.clone(), from, from + window) as f64
            / stay.clone().count() as f64
    };
    let most = (0..10)
        .map(|n| carried(at + n * SECOND))
        .fold(0.0, f64::max)
        / window as f64;
    let each = most.max(scenario.rate * scenario.storm / 20.0 / SECOND as f64);
    let mut worst = (f64::MIN, 0.0);
    for server in (21..=20 + scenario.cold).flat_map(|n| [n, 100 + n]) {
        let times = simulation.sends.get(&server).cloned().unwrap_or_default();
        for (i, from) in times.iter().enumerate() {
            // The share that it is sure to have: three quarters of linear growth.
            let age = (from.saturating_sub(at - SECOND / 2)) as f64 / set.warm_up_duration as f64;
            if age >= 1.0 {
                break;
            }
            let share = set.initial_capacity + (1.0 - set.initial_capacity) * 0.75 * age;
            let budget = set.overload_multiple * share * each * window as f64;
            let sent = times[i..]
                .iter()
                .take_while(|t| **t < from + window)
                .count() as f64;
            let over = (sent - budget) / budget.sqrt();
            if over > worst.0 {
                worst = (over, sent - budget - 2.0 * budget.sqrt() - 2.0);
            }
        }
    }
    worst
}

fn scenarios() -> Vec<(&'static str, Scenario)> {
    let mut all = Vec::new();
    for nodes in [1, 2, 20, 30, 300] {
        let plain = Scenario { nodes, ..BASELINE };
        all.extend([
            ("plain", plain),
            (
                "storm",
                Scenario {
                    storm: 4.0,
                    ..plain
                },
            ),
            (
                "few requests",
                Scenario {
                    rate: 40.0,
                    storm: 3.0,
                    ..plain
                },
            ),
            (
                "uneven storm",
                Scenario {
                    uneven: true,
                    storm: 3.0,
                    ..plain
                },
            ),
            (
                "hot opening",
                Scenario {
                    hot: true,
                    storm: 2.0,
                    ..plain
                },
            ),
            (
                "restarts",
                Scenario {
                    restarts: true,
                    storm: 2.0,
                    ..plain
                },
            ),
            (
                "several cold",
                Scenario {
                    cold: 6,
                    storm: 2.0,
                    ..plain
                },
            ),
            (
                "mostly new",
                Scenario {
                    cold: 12,
                    replaced: true,
                    ..plain
                },
            ),
            (
                "mostly new, hot",
                Scenario {
                    cold: 12,
                    replaced: true,
                    hot: true,
                    restarts: true,
                    ..plain
                },
            ),
        ]);
    }
    all
}

#[test]
fn sends_of_all_nodes_stay_within_the_cold_budget_and_chance() {
    let seeds = std::env::var("IVYWARD_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(3u64);
    let mut broken = Vec::new();
    for (name, scenario) in scenarios() {
        let mut over: Vec<(f64, f64)> = (0..seeds).map(|seed| worst(seed, scenario)).collect();
        over.sort_by(|a, b| a.0.total_cmp(&b.0));
        let at = |part: f64| over[((over.len() - 1) as f64 * part) as usize].0;
        let breaks = over.iter().filter(|o| o.1 > 0.0).count();
        println!(
            "{:>4} nodes, {name:<16} (sends - N) / sqrt(N): p50 {:6.2}  p99.9 {:6.2}  most {:6.2}  over the bound {breaks} of {seeds}",
            scenario.nodes, at(0.5), at(0.999), at(1.0)
        );
        if breaks > 0 {
            broken.push((scenario.nodes, name, breaks));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}
