//! Whole scenes in the virtual world: nodes, engines, a store and clients, played from one seed under a plan of faults,
//! with the rules checked on what crossed the virtual sockets.
//!
//! The nodes' and the stand-ins' code is the same as on sockets; only their world differs.

use crate::local_cluster::{
    classes, fleet, limits, notices, seen_effect, settings, RecordingBuffer,
};
use crate::peer_scenario::{disagreements, miscounts, Addresses};
use crate::registration;
use futures_lite::future::or;
use ivyward::core::interface::{Action, Endpoint, EndpointState, Event, ListKind, Micros};
use ivyward::core::invariants::Rule;
use ivyward::metrics::OUTCOMES;
use ivyward::recording::{replay, RecordingReader};
use ivyward::registration::{State, PREFIX};
use ivyward::watcher::WatcherOptions;
use ivyward::{Node, NodeSettings};
use ivyward_fakes::engine::Kill;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::{ClientOutcome, LoggedEvent};
use ivyward_fakes::{
    check, check_so_far, Client, ClientBehavior, ClientRequest, Engine, EngineSpec, EventLog,
    Faults, Host, ObservedEvent, ResponseFault, RuleChecker,
};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use ivyward_sim::{HostId, Net, Sim, Stuck};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What goes wrong. Engines and nodes are numbered as the scene has them; spans are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An engine's process dies, its peers hear of it or not, and it comes back cold.
    Die {
        /// Which.
        engine: usize,
        /// Its connections are reset.
        word: bool,
    },
    /// It drains by its record, and is ready again.
    Drain {
        /// Which.
        engine: usize,
    },
    /// Its record is deleted, and written again.
    Leave {
        /// Which.
        engine: usize,
    },
    /// Its process hangs.
    Hang {
        /// Which.
        engine: usize,
    },
    /// It works so many times as slowly.
    Slow {
        /// Which.
        engine: usize,
        /// How much.
        by: f64,
    },
    /// It resets, loses answers, turns away and refuses streams, each with this chance.
    Ill {
        /// Which.
        engine: usize,
        /// How often.
        share: f64,
    },
    /// It answers in a wrong way, takes calls that it never answers, and loses the states that it keeps.
    Odd {
        /// Which.
        engine: usize,
        /// How often.
        share: f64,
        /// Which of [`TWISTS`].
        how: usize,
    },
    /// The way between an engine and a node is cut, in one direction.
    Cut {
        /// Which engine.
        engine: usize,
        /// Which node.
        node: usize,
        /// From the engine to the node.
        back: bool,
    },
    /// An engine that registered itself cannot reach the store, nor the store it: its lease may run out.
    Lone {
        /// Which.
        engine: usize,
    },
    /// A node is killed and comes back.
    NodeKill {
        /// Which.
        node: usize,
    },
    /// All bytes go in small pieces, and take longer.
    Pieces,
    /// Every link is narrow, and its buffers are small.
    Narrow,
    /// The store dies and comes back.
    StoreDies,
    /// Watches tell nothing while changes pass, and history is dropped.
    StoreCompacts,
    /// What watches tell is late, for one node more than for the others.
    StoreLags,
    /// The way from one node to another's datagrams is cut, or to all of them and back.
    PeerCut {
        /// Whose.
        from: usize,
        /// To whom; all if it is the same.
        to: usize,
    },
    /// Datagrams are lost, repeated and overtake one another.
    PeersRough {
        /// How many are lost.
        lose: f64,
    },
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Timed {
    /// Microseconds from the begin.
    pub at: Micros,
    /// How long it lasts.
    pub len: Micros,
    /// What.
    pub fault: Fault,
}

/// Wrong answers that plans draw from.
const TWISTS: [ResponseFault; 10] = [
    ResponseFault::WrongId,
    ResponseFault::Malformed,
    ResponseFault::Oversized,
    ResponseFault::OutOfOrder,
    ResponseFault::Twice,
    ResponseFault::AfterEnd,
    ResponseFault::CutShort,
    ResponseFault::Stuck,
    ResponseFault::StatusExhausted,
    ResponseFault::NoLastWord,
];

/// The size of a scene.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Racks of one reader, one mixed engine and two writers.
    pub racks: u16,
    /// Nodes.
    pub nodes: usize,
    /// First tries.
    pub requests: usize,
    /// Faults.
    pub faults: usize,
    /// Nodes know each other, and faults are between them as well.
    pub peers: bool,
    /// How rough they are: spans, shares and slowness grow with it. 1 as a scene is by itself.
    pub rough: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            racks: 2,
            nodes: 2,
            requests: 60,
            faults: 8,
            peers: false,
            rough: 1.0,
        }
    }
}

/// Requests come within this span, and faults begin in it.
const SPAN: Micros = 2_000_000;
/// What may be under way in the virtual network, for the auditor, beside what a cut holds up.
const FLIGHT: Micros = 50_000;
/// The rules are checked so often while a scene goes on.
const AUDIT_EVERY: Micros = 250_000;
/// What the virtual clock shows when a scene begins.
const BEGIN: Micros = 1_000_000;
/// Bytes need so long for a way at most; the store's notices of that span die with it.
const LAST_MOMENT: Micros = 10_000;
/// The longest cut, the longest time without the store, and the longest of any other fault, at roughness 1; and at any.
const LONGEST_CUT: (Micros, Micros) = (100_000, 2_000_000);
const LONGEST_LONE: (Micros, Micros) = (2_500_000, 5_000_000);
const LONGEST: (Micros, Micros) = (900_000, 4_000_000);
/// Tokens that wait for a slow client.
const STREAM_BUFFER: usize = 16;
/// Bytes of an answer that may be under way to a client: a few tokens, so that a slow one holds its node up.
const CLIENT_WINDOW: u32 = 32;
/// Requests to each node then.
const LAST_ASKS: u64 = 6;
/// How long one of them is refused at most.
const LAST_PATIENCE: Micros = 5_000_000;
/// When all is over and everything had this time, what each node tries it reaches.
const QUIET: Micros = 3_000_000;
/// And so much longer views may take to agree.
const PEERS_AGREE: Micros = 10_000_000;
/// Leases of engines that register themselves, in seconds.
const LEASE: i64 = 1;

/// A plan of faults, drawn from a seed.
pub fn plan(seed: u64, size: &Size) -> Vec<Timed> {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let engines = usize::from(size.racks) * 4;
    let mut plan = Vec::new();
    let mut last = 0;
    for _ in 0..size.faults {
        let engine = random.random_range(0..engines);
        let node = random.random_range(0..size.nodes);
        let rough = size.rough.max(0.1);
        let fault = match random.random_range(0..if size.peers { 26 } else { 20 }) {
            0 | 1 => Fault::Die {
                engine,
                word: random.random_bool(0.6),
            },
            2 | 3 => Fault::Drain { engine },
            4 => Fault::Leave { engine },
            5 => Fault::Hang { engine },
            6 => Fault::Slow {
                engine,
                by: random.random_range(2.0..2.0 + 18.0 * rough),
            },
            7 | 8 => Fault::Ill {
                engine,
                share: random.random_range(0.05..(0.5 * rough).min(0.95)),
            },
            9 | 10 => Fault::Cut {
                engine,
                node,
                back: random.random(),
            },
            11 => Fault::NodeKill { node },
            12 => Fault::Pieces,
            13 => Fault::Narrow,
            14 => Fault::StoreDies,
            15 => Fault::StoreCompacts,
            16 => Fault::StoreLags,
            17 | 18 => {
                let how = random.random_range(0..TWISTS.len());
                Fault::Odd {
                    engine,
                    share: random.random_range(0.05..(0.5 * rough).min(0.95)),
                    how,
                }
            }
            20 | 21 => Fault::NodeKill { node },
            22 | 23 => Fault::PeerCut {
                from: node,
                to: random.random_range(0..size.nodes),
            },
            24 | 25 => Fault::PeersRough {
                lose: random.random_range(0.0..(0.3 * rough).min(0.9)),
            },
            // Those with even numbers register themselves.
            _ => Fault::Lone {
                engine: engine & !1,
            },
        };
        // A third of them begin in the same instant as the one before.
        let at = if random.random_bool(0.33) {
            last
        } else {
            random.random_range(100_000..SPAN)
        };
        last = at;
        let (longest, ever) = match fault {
            Fault::Cut { .. } => LONGEST_CUT,
            Fault::Lone { .. } | Fault::PeerCut { .. } => LONGEST_LONE,
            _ => LONGEST,
        };
        let most = ((longest as f64 * rough) as Micros).clamp(30_000, ever);
        plan.push(Timed {
            at,
            len: random.random_range(20_000..most),
            fault,
        });
    }
    plan.sort_by_key(|t| t.at);
    plan
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The digest over every byte, poll and event.
    pub digest: u64,
    /// How many those were.
    pub events: u64,
    /// What is wrong, in words; empty where all rules held and everything ended.
    pub wrong: Vec<String>,
    /// How calls ended for their clients.
    pub heard: BTreeMap<&'static str, u64>,
    /// Coincidences of [`CATALOGUE`] that came about, and ends of attempts, as often as they did.
    pub met: BTreeMap<&'static str, u64>,
    /// Virtual time from begin to end.
    pub span: Micros,
    /// All that engines, clients and the script saw, in its order.
    pub seen: Vec<LoggedEvent>,
    /// The recording of each run of a node, with the node's number: what its module was told and did.
    pub records: Vec<(usize, Vec<u8>)>,
    /// What broke first, and the step at which it did.
    pub broke: Option<Break>,
}

/// The first thing that broke in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Polls, events and reads before it.
    pub step: u64,
    /// When, on the virtual clock.
    pub at: Micros,
    /// The rule, and how.
    pub rule: String,
    /// How many things had been seen.
    pub seen: usize,
}

impl Outcome {
    /// What was seen, and what each node's module was told and did, a line each, in milliseconds from the scene's begin.
    pub fn trace(&self) -> String {
        let ms = |at: Micros| at.saturating_sub(BEGIN) as f64 / 1e3;
        let mut lines = Vec::new();
        for (i, LoggedEvent { at, what }) in self.seen.iter().enumerate() {
            lines.push((*at, format!("seen    {what:?}")));
            if let Some(broke) = self.broke.as_ref().filter(|b| b.seen == i + 1) {
                lines.push((*at, format!("BROKEN  {} (step {})", broke.rule, broke.step)));
            }
        }
        for (node, bytes) in &self.records {
            let Ok(mut reader) = RecordingReader::begin(&bytes[..]) else {
                continue;
            };
            // What is malformed is told by the replay.
            while let Ok(Some(step)) = reader.step() {
                lines.push((step.at, format!("node {node}  told {:?}", step.event)));
                for action in step
                    .actions
                    .iter()
                    .filter(|a| !matches!(a, Action::SetTimer { .. }))
                {
                    lines.push((step.at, format!("node {node}  does {action:?}")));
                }
            }
        }
        lines.sort_by_key(|l| l.0);
        let mut out = String::new();
        for (at, line) in lines {
            // Writing to a String cannot fail.
            let _ = writeln!(out, "{:>10.3} {line}", ms(at));
        }
        out
    }

    /// The last things seen up to what broke first.
    pub fn last_steps(&self, count: usize) -> Vec<String> {
        let until = self.broke.as_ref().map_or(self.seen.len(), |b| b.seen);
        let from = until.saturating_sub(count);
        let line = |s: &LoggedEvent| {
            format!(
                "{:.3} ms {:?}",
                s.at.saturating_sub(BEGIN) as f64 / 1e3,
                s.what
            )
        };
        self.seen[from..until].iter().map(line).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Processes in the virtual world. The next ones to be killed die with a word or without.
pub struct Hosts {
    sim: Sim,
    silent: Arc<AtomicBool>,
    last: Mutex<HostId>,
}

impl Hosts {
    /// Processes of a world.
    pub fn of(sim: &Sim) -> Hosts {
        Hosts {
            sim: sim.clone(),
            silent: Arc::default(),
            last: Mutex::new(0),
        }
    }
    /// The process that was started last.
    pub fn last(&self) -> HostId {
        *lock(&self.last)
    }
}

impl Host for Hosts {
    fn process(&self, seed: u64) -> (RuntimeRef, Kill) {
        let host = self.sim.host(seed);
        let (sim, id, silent) = (self.sim.clone(), host.id(), self.silent.clone());
        *lock(&self.last) = id;
        (
            host.runtime(),
            Box::new(move || sim.kill(id, !silent.load(Ordering::SeqCst))),
        )
    }
}

struct Place {
    node: Option<(HostId, Node)>,
    address: SocketAddr,
    client: Option<Client>,
}

struct Stage {
    /// If nodes know each other: where, and the forwarders' process.
    addresses: Option<(Addresses, HostId)>,
    sim: Sim,
    hosts: Arc<Hosts>,
    log: EventLog,
    runtime: RuntimeRef,
    settings: NodeSettings,
    engines: Vec<Mutex<(Engine, HostId)>>,
    places: Vec<Mutex<Place>>,
    store: Mutex<Store>,
    /// The process that the store is now.
    store_host: Mutex<HostId>,
    /// What the store showed to each node.
    shown: Mutex<Vec<BTreeSet<u64>>>,
    /// Notices that were shown lately: when, to which run of a node, of which engine.
    notices: Mutex<Vec<(Micros, u64, u64)>>,
    /// What each run of a node was told and did.
    records: Mutex<Vec<(usize, RecordingBuffer)>>,
}

impl Stage {
    fn key(&self, engine: usize) -> String {
        format!("{PREFIX}{}", lock(&self.engines[engine]).0.spec().id)
    }

    fn put(&self, engine: usize, state: State, started: Micros) {
        let (key, text) = self.engine(engine, |e| registration::record(e, state, started / 1_000));
        lock(&self.store).put(&key, &text);
    }

    /// The engine registers itself.
    fn enlist(&self, engine: usize, started: Micros) {
        let endpoints = lock(&self.store).endpoints()[self.places.len()..].to_vec();
        self.engine(engine, |e| {
            registration::keep(e, endpoints, LEASE, started / 1_000, |_| {})
        });
    }

    fn register(&self, engine: usize, started: Micros) {
        match engine % 2 {
            0 => self.enlist(engine, started),
            _ => self.put(engine, State::Ready, started),
        }
    }

    fn start_node(self: &Arc<Self>, i: usize, salt: u64) -> Result<(), String> {
        let host = self.sim.host(salt);
        let runtime = host.runtime();
        let settings = NodeSettings {
            seed: salt,
            ..self.settings.clone()
        };
        let record = RecordingBuffer::default();
        let node = Node::start(runtime.clone(), settings, Some(Box::new(record.clone())));
        let node = node.map_err(|e| e.to_string())?;
        if let Some((addresses, _)) = &self.addresses {
            addresses.begin(&node, i)?;
        }
        let mut place = lock(&self.places[i]);
        let listener = runtime.listen(place.address).map_err(|e| e.to_string())?;
        place.address = listener.address();
        let (serving, following) = (node.clone(), node.clone());
        runtime.run(async move { serving.serve(listener).await });
        let follow = WatcherOptions {
            endpoints: lock(&self.store).endpoints()[i..=i].to_vec(),
            silence: 400_000,
            empty_grace: 3_000_000,
            pauses: (10_000, 200_000),
            ..WatcherOptions::default()
        };
        runtime.run(async move { following.follow(follow).await });
        lock(&self.records).push((i, record));
        place.node = Some((host.id(), node));
        place.client = None;
        Ok(())
    }

    fn kill_node(&self, i: usize) {
        let (host, run) = {
            let mut place = lock(&self.places[i]);
            place.client = None;
            match place.node.take() {
                Some((host, node)) => (host, node.incarnation()),
                None => return,
            }
        };
        self.log.add(ObservedEvent::Killed { node: i, run });
        self.sim.kill(host, true);
        self.log.add(ObservedEvent::Killed { node: i, run });
        lock(&self.shown)[i].clear();
    }

    fn nodes(&self) -> Vec<Option<Node>> {
        (0..self.places.len())
            .map(|i| self.node(i).map(|n| n.1))
            .collect()
    }

    fn node(&self, i: usize) -> Option<(HostId, Node)> {
        lock(&self.places[i]).node.clone()
    }

    fn engine<T>(&self, i: usize, act: impl FnOnce(&mut Engine) -> T) -> T {
        act(&mut lock(&self.engines[i]).0)
    }

    /// The store's own sight of what it handed to each node's socket is when that node was told.
    fn witness(self: &Arc<Self>) {
        let stage = Arc::downgrade(self);
        lock(&self.store).set_observer(Arc::new(move |door, shown| {
            let Some(stage) = stage.upgrade() else { return };
            let Some((_, node)) = (door < stage.places.len())
                .then(|| stage.node(door))
                .flatten()
            else {
                return;
            };
            let (node, now) = (node.incarnation(), stage.runtime.now());
            for (engine, ready) in notices(&shown, &mut lock(&stage.shown)[door]) {
                if !ready {
                    let mut lately = lock(&stage.notices);
                    lately.retain(|n| n.0 + LAST_MOMENT >= now);
                    lately.push((now, node, engine));
                }
                stage.log.add(ObservedEvent::Told {
                    node,
                    engine,
                    ready,
                });
            }
        }));
    }

    async fn client(&self, i: usize) -> Option<Client> {
        let address = {
            let place = lock(&self.places[i]);
            if let Some(client) = place.client.clone().filter(Client::usable) {
                return Some(client);
            }
            place.node.as_ref()?;
            place.address
        };
        let dial = Client::connect_with(&self.runtime, &self.log, address, CLIENT_WINDOW);
        let until = self.runtime.now() + 500_000;
        let client = ivyward_runtime::before(&self.runtime, until, dial)
            .await?
            .ok()?;
        lock(&self.places[i]).client = Some(client.clone());
        Some(client)
    }

    /// One fault from its begin to its end.
    async fn play(self: Arc<Self>, timed: Timed, salt: u64) {
        let (runtime, len) = (self.runtime.clone(), timed.len);
        let fault =
            |engine: usize, change: &dyn Fn(&mut Faults)| self.engine(engine, |e| e.fault(change));
        match timed.fault {
            Fault::Die { engine, word } => {
                let id = self.engine(engine, |e| e.spec().id);
                if !word {
                    self.log.add(ObservedEvent::Dark {
                        engine: id,
                        on: true,
                    });
                }
                self.hosts.silent.store(!word, Ordering::SeqCst);
                self.engine(engine, Engine::crash);
                self.hosts.silent.store(false, Ordering::SeqCst);
                runtime.sleep(len / 4).await;
                // The list learns of it late, or not before it is back.
                lock(&self.store).delete(&self.key(engine));
                runtime.sleep(len).await;
                let up = self.engine(engine, |e| e.restart(true));
                if !word {
                    self.log.add(ObservedEvent::Dark {
                        engine: id,
                        on: false,
                    });
                }
                if up.is_ok() {
                    let host = self.hosts.last();
                    lock(&self.engines[engine]).1 = host;
                    self.register(engine, self.runtime.unix_micros());
                }
            }
            Fault::Drain { engine } => {
                self.put(engine, State::Draining, 0);
                runtime.sleep(len).await;
                self.put(engine, State::Ready, 0);
            }
            Fault::Leave { engine } => {
                lock(&self.store).delete(&self.key(engine));
                runtime.sleep(len).await;
                self.put(engine, State::Ready, 0);
            }
            Fault::Hang { engine } => {
                fault(engine, &|f| f.hang = true);
                runtime.sleep(len).await;
                fault(engine, &|f| f.hang = false);
            }
            Fault::Slow { engine, by } => {
                fault(engine, &|f| f.slow = by);
                runtime.sleep(len).await;
                fault(engine, &|f| f.slow = 1.0);
            }
            Fault::Ill { engine, share } => {
                fault(engine, &|f| {
                    (f.reset, f.lose_answer, f.full, f.refuse_stream) = (share, share, share, share)
                });
                runtime.sleep(len).await;
                fault(engine, &|f| {
                    (f.reset, f.lose_answer, f.full, f.refuse_stream) = (0.0, 0.0, 0.0, 0.0)
                });
            }
            Fault::Odd { engine, share, how } => {
                let how = TWISTS.get(how).copied();
                fault(engine, &|f| {
                    (f.malformed, f.response_fault, f.stall, f.drop_states) =
                        (share, how, share / 4.0, share > 0.4);
                });
                runtime.sleep(len).await;
                fault(engine, &|f| {
                    (f.malformed, f.stall, f.drop_states) = (0.0, 0.0, false)
                });
            }
            Fault::Cut { engine, node, back } => {
                let Some((node, _)) = self.node(node) else {
                    return;
                };
                let engine = lock(&self.engines[engine]).1;
                let (from, to) = if back { (engine, node) } else { (node, engine) };
                self.sim.cut(from, to, true);
                runtime.sleep(len).await;
                self.sim.cut(from, to, false);
            }
            Fault::Lone { engine } => {
                let ways = |on: bool, hosts: (HostId, HostId)| {
                    self.sim.cut(hosts.0, hosts.1, on);
                    self.sim.cut(hosts.1, hosts.0, on);
                };
                let hosts = (lock(&self.engines[engine]).1, *lock(&self.store_host));
                ways(true, hosts);
                runtime.sleep(len).await;
                ways(false, hosts);
            }
            Fault::NodeKill { node } => {
                self.kill_node(node);
                runtime.sleep(len).await;
                // It cannot fail but for a port that another fault's node has taken again.
                let _ = self.start_node(node, salt);
            }
            Fault::PeerCut { from, to } => {
                let (Some((_, host)), Some((a, _)), Some((b, _))) =
                    (&self.addresses, self.node(from), self.node(to))
                else {
                    return;
                };
                // Its datagrams leave towards the forwarders, and come from them.
                let ways = if from == to {
                    vec![(a, *host), (*host, a)]
                } else {
                    vec![(a, *host), (*host, b)]
                };
                ways.iter()
                    .for_each(|(from, to)| self.sim.cut(*from, *to, true));
                runtime.sleep(len).await;
                ways.iter()
                    .for_each(|(from, to)| self.sim.cut(*from, *to, false));
            }
            Fault::PeersRough { lose } => {
                self.sim.net(|n| (n.lose, n.repeat) = (lose, lose / 2.0));
                runtime.sleep(len).await;
                self.sim.net(|n| (n.lose, n.repeat) = (0.0, 0.0));
            }
            Fault::Pieces => {
                self.sim.net(|n| (n.pieces, n.jitter) = (0.5, 4_000));
                runtime.sleep(len).await;
                self.sim.net(|n| (n.pieces, n.jitter) = (0.0, 100));
            }
            Fault::Narrow => {
                self.sim.net(|n| (n.rate, n.buffer) = (400_000, 3_000));
                runtime.sleep(len).await;
                self.sim
                    .net(|n| (n.rate, n.buffer) = (0, Net::default().buffer));
            }
            Fault::StoreDies => {
                lock(&self.store).crash();
                // What it handed to its sockets in its last moment never left them: nobody was told.
                let just = self.runtime.now().saturating_sub(LAST_MOMENT);
                for (at, node, engine) in std::mem::take(&mut *lock(&self.notices)) {
                    if at >= just {
                        self.log.add(ObservedEvent::Told {
                            node,
                            engine,
                            ready: true,
                        });
                    }
                }
                runtime.sleep(len).await;
                // Another fault may have brought it back.
                let up = lock(&self.store).restart();
                if up.is_ok() {
                    *lock(&self.store_host) = self.hosts.last();
                }
            }
            Fault::StoreCompacts => {
                lock(&self.store).fault(|f| f.mute_watches = true);
                runtime.sleep(len).await;
                let store = lock(&self.store);
                store.compact();
                store.fault(|f| f.mute_watches = false);
            }
            Fault::StoreLags => {
                lock(&self.store).fault(|f| f.lag = vec![100_000, 20_000]);
                runtime.sleep(len).await;
                lock(&self.store).fault(|f| f.lag = vec![]);
            }
        }
    }

    /// When all is over, connections come back: a request is served at its first try, and no attempt finds nobody.
    async fn come_back(&self) -> Vec<String> {
        self.runtime.sleep(QUIET).await;
        let mut wrong = Vec::new();
        if let Some((addresses, _)) = &self.addresses {
            let until = self.runtime.now() + PEERS_AGREE;
            while !disagreements(&self.nodes()).is_empty() && self.runtime.now() < until {
                self.runtime.sleep(50_000).await;
            }
            wrong.extend(disagreements(&self.nodes()));
            let astray = addresses.astray.load(Ordering::SeqCst);
            if astray > 0 {
                wrong.push(format!(
                    "{astray} datagrams were answers to where one seemed to come from"
                ));
            }
        }
        // Every fault ends with its engine ready again: what a node's module was told last must say so.
        let all: BTreeSet<u64> = self.engines.iter().map(|e| lock(e).0.spec().id).collect();
        for i in 0..self.places.len() {
            let record = lock(&self.records)
                .iter()
                .rev()
                .find(|r| r.0 == i)
                .map(|r| r.1.bytes());
            let ready = ready_at_last(&record.unwrap_or_default());
            if ready != all {
                wrong.push(format!(
                    "node {i} takes {ready:?} for ready after everything ended, not {all:?}"
                ));
            }
        }
        let failed = OUTCOMES
            .iter()
            .position(|o| o.1 == "connect_failed")
            .unwrap_or(0);
        for i in 0..self.places.len() {
            let (Some((_, node)), Some(client)) = (self.node(i), self.client(i).await) else {
                wrong.push(format!(
                    "node {i} is not there, {} s after everything ended",
                    QUIET / 1_000_000
                ));
                continue;
            };
            let before = node.metrics().outcomes[failed].get();
            for no in 0..LAST_ASKS {
                let call = (1 << 32) + (i as u64) * LAST_ASKS + no;
                let request = GenerateRequest {
                    prompt: (0..100).map(|t| t ^ (call as u32)).collect(),
                    max_output_tokens: 4,
                    session: format!("last{call}"),
                    call_id: call,
                    ..GenerateRequest::default()
                };
                let habit = ClientBehavior {
                    client_timeout: 2_500_000,
                    ..ClientBehavior::default()
                };
                let effect = ivyward_fakes::event_log::CallIdempotency::Idempotent;
                let ask = ClientRequest {
                    request,
                    operation: call,
                    idempotency: effect,
                    node: i,
                    behavior: habit,
                };
                let mut end = client.send(&ask).await;
                // What was refused a share of work while it went badly forgets that by and by.
                let until = self.runtime.now() + LAST_PATIENCE;
                while end.outcome == ClientOutcome::Rejected && self.runtime.now() < until {
                    self.runtime.sleep(end.pushback.unwrap_or(50_000)).await;
                    end = client.send(&ask).await;
                }
                if end.outcome != ClientOutcome::Served {
                    wrong.push(format!(
                        "a request after everything ended was not served: {end:?}"
                    ));
                }
            }
            let failures = node.metrics().outcomes[failed].get() - before;
            if failures > 0 {
                wrong.push(format!(
                    "{failures} attempts of node {i} found nobody after everything ended"
                ));
            }
        }
        wrong
    }

    /// One request with its tries.
    async fn ask(self: Arc<Self>, no: u64, mut random: SmallRng) {
        let class_no = random.random_range(0..self.settings.classes.len());
        let class = &self.settings.classes[class_no];
        let opening = random.random_range(0..4u32);
        let mut prompt: Vec<u32> = (0..60).map(|i| opening ^ (i * 31)).collect();
        prompt.extend((0..random.random_range(1..200)).map(|i| i ^ no as u32));
        let first_node = random.random_range(0..self.places.len());
        for attempt in 0..3 {
            let node = (first_node + attempt) % self.places.len();
            let share = random.random_range(0.3..1.0);
            let client_timeout = (class.settings.deadline as f64 * share) as Micros;
            let (mut habit, mut max_output_tokens) = (
                ClientBehavior {
                    client_timeout,
                    ..ClientBehavior::default()
                },
                12,
            );
            match random.random_range(0..10) {
                0 => habit.leave_after = Some(random.random_range(1_000..300_000)),
                1 => habit.leave_at_token = Some(random.random_range(1..5)),
                // A long answer, taken slowly.
                2 => {
                    (max_output_tokens, habit.read_pause) = (200, random.random_range(3_500..4_500))
                }
                _ => {}
            }
            let request = GenerateRequest {
                prompt: prompt.clone(),
                max_output_tokens,
                session: format!("s{}", no / 2),
                shared_opening_tokens: 60,
                class: class.name.clone(),
                repeat: attempt > 0,
                idempotency_key: format!("op{no}"),
                call_id: no * 8 + attempt as u64 + 1,
                ..GenerateRequest::default()
            };
            let Some(client) = self.client(node).await else {
                self.runtime.sleep(30_000).await;
                continue;
            };
            let ask = ClientRequest {
                request,
                operation: no,
                idempotency: seen_effect(&class.settings),
                node,
                behavior: habit,
            };
            let end = client.send(&ask).await;
            let again = match end.outcome {
                ClientOutcome::Rejected => true,
                ClientOutcome::Failed | ClientOutcome::Unreachable => {
                    class.settings.idempotency
                        != ivyward::core::interface::Idempotency::NonIdempotent
                }
                _ => false,
            };
            if !again {
                return;
            }
            self.runtime.sleep(end.pushback.unwrap_or(50_000)).await;
        }
    }
}

/// Plays a seed under a plan.
pub fn run(seed: u64, size: &Size, plan: &[Timed]) -> Outcome {
    let sim = Sim::new(seed, Net::default());
    let script = sim.host(0);
    let played = {
        let (sim, size, plan, runtime) = (sim.clone(), *size, plan.to_vec(), script.runtime());
        sim.clone().run(&script, 120_000_000, async move {
            scene(sim, runtime, seed, size, plan).await
        })
    };
    let (digest, events) = sim.digest();
    let span = sim.now();
    let done = match played {
        Ok(Ok(done)) => done,
        Ok(Err(line)) => Done {
            wrong: vec![format!("the scene cannot be set up: {line}")],
            ..Done::default()
        },
        Err(stuck @ Stuck::Nothing { .. }) => Done {
            wrong: vec![format!("deadlock: {stuck}")],
            ..Done::default()
        },
        Err(stuck) => Done {
            wrong: vec![stuck.to_string()],
            ..Done::default()
        },
    };
    let Done {
        mut wrong,
        heard,
        mut met,
        seen,
        records,
        broke,
    } = done;
    // The module's own replay agrees with what it did in the scene, and its events and actions are in the digest.
    let mut digest = digest;
    for (node, bytes) in &records {
        digest = xxh3_64_with_seed(bytes, digest);
        for (kind, _) in lists(bytes) {
            let name = match kind {
                ListKind::Full => "list: full",
                ListKind::Changes => "list: changes",
                _ => "list: of another kind",
            };
            *met.entry(name).or_default() += 1;
        }
        if let Err(e) = replay(&bytes[..]) {
            wrong.push(format!("node {node}'s record does not play again: {e}"));
        }
    }
    Outcome {
        digest,
        events,
        wrong,
        heard,
        met,
        span,
        seen,
        records,
        broke,
    }
}

/// The lists that a node's module was told, in their order. What is malformed is told by the replay.
fn lists(record: &[u8]) -> Vec<(ListKind, Vec<Endpoint>)> {
    let mut out = Vec::new();
    let Ok(mut reader) = RecordingReader::begin(record) else {
        return out;
    };
    while let Ok(Some(step)) = reader.step() {
        if let Event::EndpointList {
            kind,
            endpoints: entries,
        } = step.event
        {
            out.push((kind, entries));
        }
    }
    out
}

/// The engines that a module was told last to be ready.
fn ready_at_last(record: &[u8]) -> BTreeSet<u64> {
    let mut ready = BTreeSet::new();
    for (kind, entries) in lists(record) {
        if kind != ListKind::Changes {
            ready.clear();
        }
        for entry in entries {
            match entry.state {
                EndpointState::Ready => ready.insert(entry.id.0),
                _ => ready.remove(&entry.id.0),
            };
        }
    }
    ready
}

#[derive(Default)]
struct Done {
    wrong: Vec<String>,
    heard: BTreeMap<&'static str, u64>,
    met: BTreeMap<&'static str, u64>,
    seen: Vec<LoggedEvent>,
    records: Vec<(usize, Vec<u8>)>,
    broke: Option<Break>,
}

/// Coincidences that seeds are to bring about, each looked for in what was seen.
pub const CATALOGUE: [&str; 9] = [
    "a drain notice within a millisecond of a retry by the same node",
    "an engine listed again within 50 ms of its removal",
    "a late list, a cut way and an impatient client in one second",
    "a node killed while a state is kept for it",
    "a first token within 5 ms of the client's leaving",
    "an engine dead while its record says that it drains",
    "history compacted while the store's watches begin anew",
    "two faults in one instant",
    "a lease that ends while its engine cannot reach the store",
];

/// Which of [`CATALOGUE`] came about in a run, and how often.
fn coincidences(
    log: &[LoggedEvent],
    plan: &[Timed],
    engines: &[u64],
) -> BTreeMap<&'static str, u64> {
    let near = |a: Micros, b: Micros, span: Micros| a.abs_diff(b) <= span;
    let (mut told, mut retries, mut back) = (Vec::new(), Vec::new(), Vec::new());
    let (mut began, mut left) = (BTreeMap::new(), Vec::new());
    let (mut kept, mut dead, mut draining) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    let mut counts = [0u64; 9];
    for LoggedEvent { at, what } in log {
        match *what {
            ObservedEvent::Told {
                node,
                engine,
                ready: false,
            } => {
                told.push((*at, node, engine));
                draining.insert(engine);
            }
            ObservedEvent::Told {
                node,
                engine,
                ready: true,
            } => {
                back.push((*at, node, engine));
                draining.remove(&engine);
            }
            ObservedEvent::Arrived { key, .. } if key.attempt >= 2 => retries.push((*at, key.node)),
            ObservedEvent::Retained { key, .. } => drop(kept.insert(key)),
            ObservedEvent::Released { key, .. } => drop(kept.remove(&key)),
            ObservedEvent::Killed { run, .. } => {
                counts[3] += u64::from(kept.iter().any(|k| k.node == run))
            }
            ObservedEvent::Began { call } => drop(began.insert(call, *at)),
            ObservedEvent::ClientOutcome {
                call,
                how: ClientOutcome::Disconnected | ClientOutcome::TimedOut,
            } => {
                left.push(*at);
                counts[4] += u64::from(began.get(&call).is_some_and(|b| near(*b, *at, 5_000)));
            }
            ObservedEvent::Down { engine, .. } => {
                dead.insert(engine);
                counts[5] += u64::from(draining.contains(&engine));
            }
            ObservedEvent::Up { engine, .. } => drop(dead.remove(&engine)),
            _ => {}
        }
    }
    counts[0] = told
        .iter()
        .filter(|t| retries.iter().any(|r| r.1 == t.1 && near(r.0, t.0, 1_000)))
        .count() as u64;
    let soon = |t: &&(Micros, u64, u64)| {
        back.iter()
            .any(|b| (b.1, b.2) == (t.1, t.2) && b.0 > t.0 && near(b.0, t.0, 50_000))
    };
    counts[1] = told.iter().filter(soon).count() as u64;
    let of = |f: &dyn Fn(&Fault) -> bool| {
        plan.iter()
            .filter(|t| f(&t.fault))
            .map(|t| t.at)
            .collect::<Vec<_>>()
    };
    let lags = of(&|f| matches!(f, Fault::StoreLags));
    let cuts = of(&|f| matches!(f, Fault::Cut { .. }));
    // Plans count from the scene's begin, which is the clock's first second.
    let one_second = |l: &&Micros| {
        cuts.iter().any(|c| near(**l, *c, 1_000_000))
            && left.iter().any(|x| near(**l + BEGIN, *x, 1_000_000))
    };
    counts[2] = lags.iter().filter(one_second).count() as u64;
    let (dies, compacts) = (
        of(&|f| matches!(f, Fault::StoreDies)),
        of(&|f| matches!(f, Fault::StoreCompacts)),
    );
    counts[6] = compacts
        .iter()
        .filter(|c| dies.iter().any(|d| near(**c, *d, 600_000)))
        .count() as u64;
    // An engine is told to be gone within its lease, or a little later, of a cut that outlasts it.
    for t in plan.iter().filter(|t| t.len > LEASE as Micros * 1_000_000) {
        let Fault::Lone { engine } = t.fault else {
            continue;
        };
        let id = engines[engine];
        let ends = t.at + BEGIN + 500_000..t.at + BEGIN + t.len + 100_000;
        counts[8] += u64::from(
            told.iter()
                .any(|told| told.2 == id && ends.contains(&told.0)),
        );
    }
    counts[7] = plan.windows(2).filter(|w| w[0].at == w[1].at).count() as u64;
    CATALOGUE
        .into_iter()
        .zip(counts)
        .filter(|(_, n)| *n > 0)
        .collect()
}

async fn scene(
    sim: Sim,
    runtime: RuntimeRef,
    seed: u64,
    size: Size,
    plan: Vec<Timed>,
) -> Result<Done, String> {
    let log = EventLog::new(&runtime);
    let hosts = Arc::new(Hosts::of(&sim));
    let host: Arc<dyn Host> = hosts.clone();
    let mut engines = Vec::new();
    for spec in fleet(size.racks) {
        let spec = EngineSpec {
            read_rate: 20_000.0,
            fetch_rate: 200_000.0,
            token_gap: 3_000,
            ..spec
        };
        let engine = Engine::start(&host, &log, spec).map_err(|e| e.to_string())?;
        let id = hosts.last();
        engines.push(Mutex::new((engine, id)));
    }
    let mut store = Store::start(&host, 1).map_err(|e| e.to_string())?;
    // One for each node, and one for the engines, so that what was shown to whom is told apart.
    store
        .open_endpoints(size.nodes + 1)
        .map_err(|e| e.to_string())?;
    let store_host = Mutex::new(hosts.last());
    let base = settings();
    let settings = NodeSettings {
        classes: classes(),
        // The virtual machine is never late with an answer; a slow client reads what came before it first.
        answer_margin: 50_000,
        stream_buffer: STREAM_BUFFER,
        // Every other deployment holds places ahead.
        rules: ivyward::core::interface::Settings {
            replica_count: size.nodes as u32,
            reserve_decode_slot: seed % 2 == 1,
            ..base.rules.clone()
        },
        ..base
    };
    let addresses = match size.peers {
        false => None,
        true => {
            let host = sim.host(seed);
            let opened = Addresses::open(&host.runtime(), size.nodes).map_err(|e| e.to_string())?;
            Some((opened, host.id()))
        }
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let place = |_| {
        Mutex::new(Place {
            node: None,
            address: free,
            client: None,
        })
    };
    let stage = Arc::new(Stage {
        addresses,
        sim,
        hosts,
        log: log.clone(),
        runtime: runtime.clone(),
        settings,
        engines,
        places: (0..size.nodes).map(place).collect(),
        store: Mutex::new(store),
        store_host,
        shown: Mutex::new(vec![BTreeSet::new(); size.nodes]),
        notices: Mutex::default(),
        records: Mutex::default(),
    });
    stage.witness();
    (0..stage.engines.len()).for_each(|e| stage.register(e, 0));
    for i in 0..size.nodes {
        stage.start_node(i, seed.wrapping_mul(16).wrapping_add(i as u64))?;
    }
    let (done, wait) = async_channel::bounded::<()>(1);
    let mut random = SmallRng::seed_from_u64(seed);
    let played = plan.clone();
    for (i, timed) in plan.into_iter().enumerate() {
        let (stage, runtime, done) = (stage.clone(), runtime.clone(), done.clone());
        let salt = seed.wrapping_mul(16).wrapping_add(8 + i as u64);
        runtime.clone().run(async move {
            runtime.sleep(timed.at).await;
            stage.play(timed, salt).await;
            drop(done);
        });
    }
    for no in 1..=size.requests as u64 {
        let (stage, runtime, done) = (stage.clone(), runtime.clone(), done.clone());
        let (at, own) = (
            random.random_range(20_000..SPAN),
            SmallRng::seed_from_u64(random.random()),
        );
        runtime.clone().run(async move {
            runtime.sleep(at).await;
            stage.ask(no, own).await;
            drop(done);
        });
    }
    drop(done);
    // After every step: whatever crossed the sockets is looked at as it does, and the first break ends the scene.
    let cut = |t: &Timed| {
        if matches!(t.fault, Fault::Cut { .. }) {
            t.len
        } else {
            0
        }
    };
    let held_up = played.iter().map(cut).max().unwrap_or(0);
    let mut limits = limits(&stage.settings.rules, FLIGHT + held_up, &fleet(size.racks));
    limits.notice_flight = limits.flight;
    let first: Arc<Mutex<Option<Break>>> = Arc::default();
    let (broken, broke) = async_channel::bounded::<()>(1);
    let note = {
        let (first, stage) = (first.clone(), Arc::downgrade(&stage));
        move |at: Micros, seen: usize, rule: String| {
            let step = stage.upgrade().map_or(0, |s| s.sim.digest().1);
            lock(&first).get_or_insert(Break {
                step,
                at,
                rule,
                seen,
            });
            // Full means that it was told already.
            let _ = broken.try_send(());
        }
    };
    let live = Mutex::new((RuleChecker::new(limits.clone()), 0));
    // What was seen while the scene was set up.
    let mut before = Vec::new();
    for seen in log.all() {
        let (live, count) = &mut *lock(&live);
        *count += 1;
        before.extend(live.step(&seen));
    }
    let beside = note.clone();
    log.show(move |seen| {
        let (rule, count) = {
            let (live, count) = &mut *lock(&live);
            *count += 1;
            (live.step(seen), *count)
        };
        if let Some(rule) = rule {
            beside(seen.at, count, rule);
        }
    });
    // And what breaks by time alone.
    {
        let (log, limits, clock) = (log.clone(), limits.clone(), runtime.clone());
        let stage = Arc::downgrade(&stage);
        runtime.run(async move {
            loop {
                clock.sleep(AUDIT_EVERY).await;
                let seen = log.all();
                let low = stage
                    .upgrade()
                    .filter(|s| s.addresses.is_some())
                    .and_then(|s| miscounts(&s.nodes()));
                if let Some(low) = low {
                    return note(log.now(), seen.len(), low);
                }
                let found = check_so_far(&seen, &limits, log.now()).broken();
                if let Some(rule) = found.into_iter().next() {
                    return note(log.now(), seen.len(), rule);
                }
            }
        });
    }
    // Ends with an error when the last fault and the last request are over.
    let over = wait.recv();
    let _ = or(over, broke.recv()).await;
    // Liveness: what is in hand and what is kept falls to nothing.
    let left = |stage: &Stage| {
        let open: usize = (0..size.nodes)
            .filter_map(|n| stage.node(n))
            .map(|n| n.1.open_requests())
            .sum();
        let kept: usize = (0..stage.engines.len())
            .map(|e| stage.engine(e, |e| e.retained()))
            .sum();
        (open, kept)
    };
    let until = runtime.now() + 15_000_000;
    while left(&stage) != (0, 0) && runtime.now() < until && lock(&first).is_none() {
        runtime.sleep(20_000).await;
    }
    let broke = lock(&first).clone();
    let mut wrong = before;
    if let Some(Break { step, at, rule, .. }) = &broke {
        wrong.push(format!("step {step}, {} ms: {rule}", (at - BEGIN) / 1_000));
    } else if left(&stage) != (0, 0) {
        let (open, kept) = left(&stage);
        wrong.push(format!(
            "{open} requests in hand and {kept} states kept 15 s after everything ended"
        ));
    }
    if wrong.is_empty() {
        wrong.extend(stage.come_back().await);
    }
    let buffered = |node: Node| node.metrics().buffered_most.get();
    let nodes = (0..size.nodes).filter_map(|n| stage.node(n));
    if let Some(most) = nodes
        .map(|n| buffered(n.1))
        .max()
        .filter(|most| *most > 2 * STREAM_BUFFER as u64)
    {
        wrong.push(format!(
            "{most} tokens waited for one client where {STREAM_BUFFER} are the bound"
        ));
    }
    // Where it broke off, much is still under way.
    let audit = match broke {
        Some(_) => check_so_far(&log.all(), &limits, log.now()),
        None => check(&log.all(), &limits, log.now()),
    };
    if broke.is_none() {
        wrong.extend(audit.broken());
    }
    let ids: Vec<u64> = fleet(size.racks).iter().map(|s| s.id).collect();
    let mut met = coincidences(&log.all(), &played, &ids);
    for (_, node) in (0..size.nodes).filter_map(|n| stage.node(n)) {
        for (counter, (_, name)) in node.metrics().violations.iter().zip(Rule::ALL) {
            if counter.get() > 0 {
                wrong.push(format!(
                    "invariant {name} did not hold {} times",
                    counter.get()
                ));
            }
        }
        for (counter, (_, name)) in node
            .metrics()
            .outcomes
            .iter()
            .zip(ivyward::metrics::OUTCOMES)
        {
            *met.entry(name).or_default() += counter.get();
        }
    }
    let records = std::mem::take(&mut *lock(&stage.records));
    let records = records
        .into_iter()
        .map(|(node, memory)| (node, memory.bytes()))
        .collect();
    Ok(Done {
        wrong,
        heard: audit.outcomes,
        met,
        seen: log.all(),
        records,
        broke,
    })
}

/// What came of many seeds.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Seeds played.
    pub played: u64,
    /// Those in which something was wrong, with what.
    pub wrong: BTreeMap<u64, Vec<String>>,
    /// How calls ended, over all.
    pub heard: BTreeMap<&'static str, u64>,
    /// Coincidences and ends of attempts, over all.
    pub met: BTreeMap<&'static str, u64>,
    /// Faults that were played, by kind.
    pub faults: BTreeMap<String, u64>,
}

fn name(fault: &Fault) -> String {
    match serde_json::to_value(fault) {
        Ok(serde_json::Value::Object(map)) => map.keys().next().cloned().unwrap_or_default(),
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Plays seeds on so many threads. Each has a world of its own, so that they do not touch each other.
pub fn many(
    from: u64,
    count: u64,
    jobs: usize,
    size: &Size,
    told: &(dyn Fn(&Tally) + Sync),
) -> Tally {
    let tally = Mutex::new(Tally::default());
    let next = std::sync::atomic::AtomicU64::new(from);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= from.saturating_add(count) {
                    return;
                }
                let plan = plan(seed, size);
                let outcome = run(seed, size, &plan);
                let mut tally = lock(&tally);
                tally.played += 1;
                outcome
                    .met
                    .iter()
                    .for_each(|(what, n)| *tally.met.entry(what).or_default() += n);
                outcome
                    .heard
                    .iter()
                    .for_each(|(how, n)| *tally.heard.entry(how).or_default() += n);
                plan.iter()
                    .for_each(|t| *tally.faults.entry(name(&t.fault)).or_default() += 1);
                if !outcome.wrong.is_empty() {
                    let last = outcome.last_steps(6);
                    let mut lines = outcome.wrong;
                    lines.extend(last.into_iter().map(|line| format!("  before it: {line}")));
                    tally.wrong.insert(seed, lines);
                }
                told(&tally);
            });
        }
    });
    tally.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// The first of so many seeds in which something is wrong, and what.
pub fn first_wrong(from: u64, count: u64, jobs: usize, size: &Size) -> Option<(u64, String)> {
    let (mut at, end) = (from, from.saturating_add(count));
    while at < end {
        let part = (jobs.max(1) as u64 * 4).min(end - at);
        let found = many(at, part, jobs, size, &|_| {});
        if let Some((seed, lines)) = found.wrong.into_iter().next() {
            return Some((seed, lines.into_iter().next().unwrap_or_default()));
        }
        at += part;
    }
    None
}

/// Cuts a plan down: as few faults as can be, with something still wrong.
pub fn shrink(seed: u64, size: &Size, plan: &[Timed]) -> Vec<Timed> {
    let mut small = plan.to_vec();
    let mut i = 0;
    while i < small.len() {
        let mut less = small.clone();
        less.remove(i);
        if run(seed, size, &less).wrong.is_empty() {
            i += 1;
        } else {
            small = less;
        }
    }
    small
}
