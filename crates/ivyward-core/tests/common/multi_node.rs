//! A simulation of many nodes, each of which sees only its own traffic, with endpoints of unlimited capacity.

use super::*;
use std::collections::{BTreeMap, BinaryHeap};

pub const START: Micros = 100 * SECOND;

/// A scheduled event at a node. Requests and attempts are identified by number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Prefilled(u64, u16),
    FirstToken(u64, u16),
    Served(u64, u16),
}

/// Nodes with their endpoints, which run any number of requests in a fixed time each. Records what each endpoint gets.
pub struct MultiNodeSimulation {
    pub nodes: Vec<Harness>,
    schedule: BinaryHeap<(std::cmp::Reverse<Micros>, usize, Due)>,
    last_request: u64,
    /// The times of all sends to each endpoint.
    pub sends: BTreeMap<u64, Vec<Micros>>,
    pub rejected: usize,
    pub arrived: usize,
    machine_types: BTreeMap<u64, u8>,
    /// For each node, the factor on its interval between requests.
    pub interval_factors: Vec<f64>,
    /// Returns the prefix of a request, given its number.
    pub prefix: fn(u64) -> u64,
    seed: u64,
    restarts: u64,
}

impl MultiNodeSimulation {
    /// Each node gets one request per `interval`; the first requests are spread over one interval.
    pub fn new(nodes: u32, interval: Micros, endpoints: &[Endpoint]) -> MultiNodeSimulation {
        MultiNodeSimulation::seeded(0, nodes, interval, endpoints)
    }

    pub fn seeded(
        seed: u64,
        nodes: u32,
        interval: Micros,
        endpoints: &[Endpoint],
    ) -> MultiNodeSimulation {
        let harness = |node| {
            let router = Router::new(
                Settings {
                    replica_count: nodes,
                    ..settings()
                },
                seed * 1_000_003 + u64::from(node) + 1,
            );
            Harness {
                router,
                now: START,
                actions: Vec::new(),
            }
        };
        let mut simulation = MultiNodeSimulation {
            interval_factors: vec![1.0; nodes as usize],
            prefix: |id| 1 + id % 20,
            seed,
            restarts: 0,
            nodes: (0..nodes).map(harness).collect(),
            schedule: BinaryHeap::new(),
            last_request: 0,
            sends: BTreeMap::new(),
            rejected: 0,
            arrived: 0,
            machine_types: BTreeMap::new(),
        };
        for node in 0..nodes as usize {
            let first = START + interval * node as u64 / u64::from(nodes);
            simulation
                .schedule
                .push((std::cmp::Reverse(first), node, Due::Arrival));
        }
        simulation.update_endpoints(START, ListKind::Full, endpoints);
        simulation
    }

    /// Restarts a node, which then knows the endpoint list and nothing of its requests before.
    pub fn restart(&mut self, node: usize, at: Micros, endpoints: &[Endpoint]) {
        self.restarts += 1;
        let nodes = self.nodes.len() as u32;
        let seed = (self.seed + 77) * 1_000_003 + 1_000 * self.restarts + node as u64;
        let mut harness = Harness {
            router: Router::new(
                Settings {
                    replica_count: nodes,
                    ..settings()
                },
                seed,
            ),
            now: at,
            actions: Vec::new(),
        };
        harness.update_endpoints(ListKind::Full, endpoints);
        self.nodes[node] = harness;
        self.schedule
            .retain(|(_, n, due)| *n != node || *due == Due::Arrival);
    }

    pub fn update_endpoints(&mut self, at: Micros, kind: ListKind, endpoints: &[Endpoint]) {
        self.machine_types
            .extend(endpoints.iter().map(|e| (e.id.0, e.machine_type)));
        for node in &mut self.nodes {
            node.now = at;
            node.update_endpoints(kind, endpoints);
        }
    }

    /// Simulates until `end`, with one request per node and `interval`.
    pub fn run_until(&mut self, end: Micros, interval: Micros) {
        while let Some((at, node, due)) = self.schedule.pop() {
            if at.0 >= end {
                self.schedule.push((at, node, due));
                return;
            }
            let harness = &mut self.nodes[node];
            harness.now = at.0;
            match due {
                Due::Arrival => {
                    self.last_request += 1;
                    self.arrived += 1;
                    let id = self.last_request;
                    harness.request(Request {
                        prefix: (self.prefix)(id),
                        ..arrival(id, 1_000 + id, 1_000.0)
                    });
                    self.rejected += usize::from(harness.rejected());
                    let next = (interval as f64 * self.interval_factors[node]) as Micros;
                    self.schedule
                        .push((std::cmp::Reverse(at.0 + next), node, Due::Arrival));
                }
                Due::Prefilled(id, attempt) => {
                    harness.end_attempt(id, attempt, Outcome::Prefilled);
                    self.rejected += usize::from(harness.rejected());
                }
                Due::FirstToken(id, attempt) => harness.first_token(id, attempt),
                Due::Served(id, attempt) => drop(harness.end_attempt(id, attempt, Outcome::Served)),
            }
            let sent: Vec<(u64, u64)> = self.nodes[node]
                .actions
                .iter()
                .filter_map(|a| match a {
                    Action::Send {
                        request, endpoint, ..
                    } => Some((request.0, endpoint.0)),
                    _ => None,
                })
                .collect();
            for (id, endpoint) in sent {
                self.sends.entry(endpoint).or_default().push(at.0);
                let after = |delay| std::cmp::Reverse(at.0 + delay);
                if self.machine_types[&endpoint] == 0 {
                    self.schedule
                        .push((after(100_000), node, Due::Prefilled(id, 0)));
                } else {
                    self.schedule
                        .push((after(100_000), node, Due::FirstToken(id, 1)));
                    self.schedule
                        .push((after(SECOND), node, Due::Served(id, 1)));
                }
            }
        }
    }

    /// The maximum number of requests that an endpoint got within one overload window, from `from` on.
    pub fn max_sends_in_a_window(&self, endpoint: u64, from: Micros) -> usize {
        let times: Vec<Micros> = self
            .sends
            .get(&endpoint)
            .into_iter()
            .flatten()
            .copied()
            .filter(|t| *t >= from)
            .collect();
        let window = settings().overload_window;
        let within = |i: usize| {
            times[i..]
                .iter()
                .take_while(|t| **t < times[i] + window)
                .count()
        };
        (0..times.len()).map(within).max().unwrap_or(0)
    }

    pub fn sent_between(
        &self,
        endpoints: std::ops::RangeInclusive<u64>,
        from: Micros,
        to: Micros,
    ) -> usize {
        self.sends
            .range(endpoints)
            .flat_map(|s| s.1)
            .filter(|t| (from..to).contains(*t))
            .count()
    }
}

/// An endpoint whose process started at `at`.
pub fn started(id: u64, machine_type: u8, at: Micros) -> Endpoint {
    Endpoint {
        started_at: at,
        ..endpoint(id, machine_type)
    }
}

/// For each number n, the prefill endpoint n and the decode endpoint 100 + n, which started at `at`.
pub fn endpoint_pairs(numbers: std::ops::RangeInclusive<u64>, at: Micros) -> Vec<Endpoint> {
    numbers
        .flat_map(|n| [started(n, 0, at), started(100 + n, 1, at)])
        .collect()
}
