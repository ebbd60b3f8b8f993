//! Many nodes, each knowing only its own traffic, with endpoints that take any amount of work.

use super::*;
use std::collections::{BTreeMap, BinaryHeap};

pub const START: Micros = 100 * SECOND;

/// The next event at a node: an arrival, the end of a prefill, a first token, the end of a response.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival,
    Read(u64, u16),
    First(u64, u16),
    Served(u64, u16),
}

/// Nodes, and endpoints that take any amount of work in a fixed time; measures how much each endpoint gets.
pub struct MultiNodeSimulation {
    pub nodes: Vec<Harness>,
    due: BinaryHeap<(std::cmp::Reverse<Micros>, usize, Due)>,
    next: u64,
    /// Times of the sends to each endpoint.
    pub sends: BTreeMap<u64, Vec<Micros>>,
    pub rejected: usize,
    pub arrived: usize,
    kinds: BTreeMap<u64, u8>,
    /// A node gets a request once in its interval times this.
    pub pace: Vec<f64>,
    /// The prefix of a request, by its number.
    pub prefix: fn(u64) -> u64,
    seed: u64,
    restarts_so_far: u64,
}

impl MultiNodeSimulation {
    /// Each node gets a request once in `every` microseconds, the first ones spread over that time.
    pub fn new(nodes: u32, every: Micros, endpoints: &[Endpoint]) -> MultiNodeSimulation {
        MultiNodeSimulation::seeded(0, nodes, every, endpoints)
    }

    pub fn seeded(
        seed: u64,
        nodes: u32,
        every: Micros,
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
                done: Vec::new(),
            }
        };
        let mut simulation = MultiNodeSimulation {
            pace: vec![1.0; nodes as usize],
            prefix: |id| 1 + id % 20,
            seed,
            restarts_so_far: 0,
            nodes: (0..nodes).map(harness).collect(),
            due: BinaryHeap::new(),
            next: 0,
            sends: BTreeMap::new(),
            rejected: 0,
            arrived: 0,
            kinds: BTreeMap::new(),
        };
        for node in 0..nodes as usize {
            let first = START + every * node as u64 / u64::from(nodes);
            simulation
                .due
                .push((std::cmp::Reverse(first), node, Due::Arrival));
        }
        simulation.list(START, ListKind::Full, endpoints);
        simulation
    }

    /// Restarts a node: it knows the list and nothing of its earlier process.
    pub fn restart(&mut self, node: usize, at: Micros, list: &[Endpoint]) {
        self.restarts_so_far += 1;
        let nodes = self.nodes.len() as u32;
        let seed = (self.seed + 77) * 1_000_003 + 1_000 * self.restarts_so_far + node as u64;
        let mut harness = Harness {
            router: Router::new(
                Settings {
                    replica_count: nodes,
                    ..settings()
                },
                seed,
            ),
            now: at,
            done: Vec::new(),
        };
        harness.endpoints(ListKind::Full, list);
        self.nodes[node] = harness;
        self.due
            .retain(|(_, n, due)| *n != node || *due == Due::Arrival);
    }

    pub fn list(&mut self, at: Micros, kind: ListKind, entries: &[Endpoint]) {
        self.kinds
            .extend(entries.iter().map(|e| (e.id.0, e.machine_type)));
        for node in &mut self.nodes {
            node.now = at;
            node.endpoints(kind, entries);
        }
    }

    /// Simulates until `end`.
    pub fn run_until(&mut self, end: Micros, every: Micros) {
        while let Some((at, node, due)) = self.due.pop() {
            if at.0 >= end {
                self.due.push((at, node, due));
                return;
            }
            let harness = &mut self.nodes[node];
            harness.now = at.0;
            match due {
                Due::Arrival => {
                    self.next += 1;
                    self.arrived += 1;
                    let id = self.next;
                    harness.request(Request {
                        prefix: (self.prefix)(id),
                        ..arrival(id, 1_000 + id, 1_000.0)
                    });
                    self.rejected += usize::from(harness.rejected());
                    let next = (every as f64 * self.pace[node]) as Micros;
                    self.due
                        .push((std::cmp::Reverse(at.0 + next), node, Due::Arrival));
                }
                Due::Read(id, attempt) => {
                    harness.end_attempt(id, attempt, Outcome::Prefilled);
                    self.rejected += usize::from(harness.rejected());
                }
                Due::First(id, attempt) => harness.first_token(id, attempt),
                Due::Served(id, attempt) => drop(harness.end_attempt(id, attempt, Outcome::Served)),
            }
            let sent: Vec<(u64, u64)> = self.nodes[node]
                .done
                .iter()
                .filter_map(|a| match a {
                    Action::Send {
                        request,
                        endpoint: server,
                        ..
                    } => Some((request.0, server.0)),
                    _ => None,
                })
                .collect();
            for (id, server) in sent {
                self.sends.entry(server).or_default().push(at.0);
                let later = |span| std::cmp::Reverse(at.0 + span);
                if self.kinds[&server] == 0 {
                    self.due.push((later(100_000), node, Due::Read(id, 0)));
                } else {
                    self.due.push((later(100_000), node, Due::First(id, 1)));
                    self.due.push((later(SECOND), node, Due::Served(id, 1)));
                }
            }
        }
    }

    /// The most requests that an endpoint got within one overload window, from `from` on.
    pub fn max_sends_in_a_window(&self, server: u64, from: Micros) -> usize {
        let times: Vec<Micros> = self
            .sends
            .get(&server)
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
        servers: std::ops::RangeInclusive<u64>,
        from: Micros,
        to: Micros,
    ) -> usize {
        self.sends
            .range(servers)
            .flat_map(|s| s.1)
            .filter(|t| (from..to).contains(*t))
            .count()
    }
}

pub fn started(id: u64, kind: u8, at: Micros) -> Endpoint {
    Endpoint {
        started_at: at,
        ..server(id, kind)
    }
}

/// Prefill endpoints 1 to 20 and decode endpoints 101 to 120, or a part of them, that started then.
pub fn both(numbers: std::ops::RangeInclusive<u64>, at: Micros) -> Vec<Endpoint> {
    numbers
        .flat_map(|n| [started(n, 0, at), started(100 + n, 1, at)])
        .collect()
}
