//! A rig of processes: daemons, with engines and a store beside them, and a relay on each directed link between any two.
//!
//! - [`links`]: the relays and what they do to what crosses them.
//! - [`process`]: the daemons.
//! - [`plan`]: what happens, drawn from a seed or read from a file.
//! - [`play`]: plays a plan and reports.
//!
//! All of it is on loopback and ends with the [`Cluster`]. It signals only processes that it started, by their numbers.

pub mod links;
pub mod plan;
pub mod play;
pub mod process;

use crate::local_cluster::{ivyward_flags, limits, settings, LocalClusterError};
use crate::registration;
use ivyward::core::interface::Settings;
use ivyward::registration::State;
use ivyward::NodeSettings;
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::ObservedEvent;
use ivyward_fakes::{check, Engine, EngineSpec, EventLog, Host, Role, RuleReport};
use ivyward_runtime::{Micros, Runtime, RuntimeExt, RuntimeRef, SmolRuntime};
use links::{End, Links};
use process::{Process, View};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The key of all nodes of a rig: what others on this machine send is dropped.
const KEY: &str = "the rig's own key, of no worth";
/// A port that was free may be taken before a daemon takes it; so often another is tried.
const TRIES: usize = 5;
/// What may be on its way on a busy machine, for the auditor.
const FLIGHT: Micros = 250_000;
/// How often views are asked for.
const LOOK: Micros = 50_000;

/// Why a rig does not come up.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A daemon does not start.
    #[error("{program} does not start: {what}")]
    Start {
        /// Which program.
        program: String,
        /// What it said.
        what: String,
    },
    /// A port or stand-in fails.
    #[error("{doing}: {error}")]
    Io {
        /// What was being done.
        doing: &'static str,
        /// What the system said.
        error: std::io::Error,
    },
    /// The stand-ins fail.
    #[error(transparent)]
    LocalCluster(#[from] LocalClusterError),
    /// Something that had to come about did not.
    #[error("{0}")]
    Timeout(String),
}

fn io(doing: &'static str) -> impl Fn(std::io::Error) -> ClusterError {
    move |error| ClusterError::Io { doing, error }
}

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct Size {
    /// Node processes.
    pub nodes: usize,
    /// Engines: two readers in five, the others writers.
    pub engines: usize,
    /// Nodes learn of engines and of each other by a store as well.
    pub store: bool,
    /// Addresses that each node is given; with a store none are needed.
    pub seeds: usize,
    /// A node that nobody hears for so long is dead.
    pub death_after: Micros,
    /// Seconds that a node's record outlives it.
    pub lease: i64,
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Feeds lots.
    pub seed: u64,
}

/// One node's place: what stays when its process ends.
struct Place {
    /// Where it takes datagrams; what it announces is its relay.
    real: SocketAddr,
    flags: Vec<String>,
    process: Option<Process>,
    stopped: bool,
}

/// A running rig.
pub struct Cluster {
    runtime: Arc<SmolRuntime>,
    links: Links,
    log: EventLog,
    size: Size,
    rules: Settings,
    specs: Vec<EngineSpec>,
    engines: Vec<Engine>,
    store: Option<Store>,
    places: Vec<Place>,
}

/// The number by which peers know a node of the rig.
pub fn id(node: usize) -> u64 {
    xxh3_64(name(node).as_bytes())
}

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Cluster {
    /// Starts stand-ins, relays and daemons.
    ///
    /// # Errors
    /// [`ClusterError`].
    pub fn start(size: Size) -> Result<Cluster, ClusterError> {
        // The relays of hundreds of processes take more than one core; a late relay would look like a late node.
        let runtime = SmolRuntime::start(if size.nodes > 20 { 6 } else { 2 }, size.seed);
        let as_ref: RuntimeRef = runtime.clone();
        let (log, host): (EventLog, Arc<dyn Host>) =
            (EventLog::new(&as_ref), Arc::new(ThreadPerProcess));
        let rules = Settings {
            replica_count: size.nodes as u32,
            ..settings().router
        };
        let spec = |id: u64| {
            let role = if id % 5 < 2 {
                Role::Prefill
            } else {
                Role::Decode
            };
            EngineSpec {
                overload: (rules.overload_multiple, rules.overload_window),
                ..EngineSpec::small(id, role)
            }
        };
        let specs: Vec<EngineSpec> = (1..=size.engines as u64).map(spec).collect();
        let engines = specs.iter().map(|s| Engine::start(&host, &log, s.clone()));
        let engines = engines
            .collect::<std::io::Result<Vec<Engine>>>()
            .map_err(io("starting an engine"))?;
        let store = match size.store {
            true => Some(Store::start(&host, 1).map_err(io("starting the store"))?),
            false => None,
        };
        let links = Links::default();
        let places = Vec::new();
        let mut cluster = Cluster {
            runtime,
            links,
            log,
            size,
            rules,
            specs,
            engines,
            store,
            places,
        };
        cluster.wire_up()?;
        for node in 0..cluster.size.nodes {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }

    /// Opens the relays and works out each node's flags.
    fn wire_up(&mut self) -> Result<(), ClusterError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let mut doors = Vec::new();
        for _ in 0..self.size.nodes {
            doors.push(
                runtime
                    .bind_datagram(local())
                    .map_err(io("opening a relay"))?,
            );
        }
        let announced: Vec<SocketAddr> = doors.iter().map(|d| d.address()).collect();
        let mut held = Vec::new();
        for (node, door) in doors.into_iter().enumerate() {
            // A port that was free a moment ago; the node takes it.
            let socket = runtime
                .bind_datagram(local())
                .map_err(io("finding a port"))?;
            let real = socket.address();
            // Held until all are found: one that is free again is found twice.
            held.push(socket);
            self.links.set_source(real, node);
            runtime.run(links::relay_datagrams(
                runtime.clone(),
                self.links.clone(),
                door,
                node,
                real,
            ));
            let mut listed = Vec::new();
            for engine in &self.engines {
                let id = engine.spec().id;
                let through = self.relay(End::Node(node), End::Engine(id), engine.address())?;
                let mut entry = crate::local_cluster::list_entry(
                    engine,
                    ivyward::core::interface::EndpointState::Ready,
                    0,
                );
                entry.address = through;
                listed.push(entry);
            }
            let settings = NodeSettings {
                router: self.rules.clone(),
                ..settings()
            };
            let mut flags = match &self.store {
                Some(store) => {
                    let prefix = format!("ivyward/engines-of-{node}/");
                    for (engine, through) in self.engines.iter().zip(&listed) {
                        let (_, text) = registration::record(engine, State::Ready, 0);
                        let text = text
                            .replace(&engine.address().to_string(), &through.address.to_string());
                        store.put(&format!("{prefix}{}", engine.spec().id), &text);
                    }
                    let through = self.relay(End::Node(node), End::Store, store.address())?;
                    let mut flags = ivyward_flags(&settings, &[]);
                    flags.push(format!("--etcd-endpoint={through}"));
                    flags.push(format!("--etcd-prefix={prefix}"));
                    flags.push(format!("--peer-lease={}", self.size.lease));
                    flags
                }
                None => ivyward_flags(&settings, &listed),
            };
            flags.push(format!("--peer-listen={real}"));
            flags.push(format!("--peer-announce={}", announced[node]));
            flags.push(format!("--peer-name={}", name(node)));
            flags.push(format!("--peer-death-after={}us", self.size.death_after));
            flags.extend(
                announced
                    .iter()
                    .take(self.size.seeds)
                    .map(|a| format!("--peer={a}")),
            );
            self.places.push(Place {
                real,
                flags,
                process: None,
                stopped: false,
            });
        }
        Ok(())
    }

    fn relay(&self, from: End, to: End, address: SocketAddr) -> Result<SocketAddr, ClusterError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let door = runtime.listen(local()).map_err(io("opening a relay"))?;
        let through = door.address();
        runtime.run(links::relay_streams(
            runtime.clone(),
            self.links.clone(),
            door,
            (from, to),
            address,
        ));
        Ok(through)
    }

    /// The links.
    pub fn links(&self) -> &Links {
        &self.links
    }
    /// Its clock and tasks.
    pub fn runtime(&self) -> &Arc<SmolRuntime> {
        &self.runtime
    }
    /// What engines, clients and the script saw.
    pub fn log(&self) -> &EventLog {
        &self.log
    }
    /// The store, if there is one.
    pub fn store(&mut self) -> Option<&mut Store> {
        self.store.as_mut()
    }
    /// A node's process, if it runs or is stopped.
    pub fn process(&self, node: usize) -> Option<&Process> {
        self.places.get(node)?.process.as_ref()
    }
    /// Where a node really takes datagrams, past its relay.
    pub fn peer_address(&self, node: usize) -> SocketAddr {
        self.places[node].real
    }
    /// Nodes that run.
    pub fn running(&self) -> BTreeSet<usize> {
        let runs = |n: &usize| self.places[*n].process.is_some() && !self.places[*n].stopped;
        (0..self.places.len()).filter(runs).collect()
    }
    /// Nodes whose processes are there, stopped or not: each may be sending.
    pub fn process_count(&self) -> usize {
        self.places.iter().filter(|p| p.process.is_some()).count()
    }

    /// Starts a node, under the name that it always has.
    ///
    /// # Errors
    /// [`ClusterError`].
    pub fn start_node(&mut self, node: usize) -> Result<(), ClusterError> {
        let place = &mut self.places[node];
        let mut tries = 0;
        let process = loop {
            tries += 1;
            match Process::start(&self.size.daemon, &place.flags, KEY) {
                Err(_) if tries < TRIES => {}
                other => break other?,
            }
        };
        (place.process, place.stopped) = (Some(process), false);
        Ok(())
    }
    /// Kills a node (SIGKILL).
    pub fn kill_node(&mut self, node: usize) {
        if let Some(process) = self.places[node].process.take() {
            self.log.add(ObservedEvent::NodeKilled {
                node,
                run: process.incarnation,
            });
        }
    }
    /// Asks a node to end in order (SIGTERM) and waits for it; whether it ended well.
    pub fn terminate_node(&mut self, node: usize) -> bool {
        self.places[node]
            .process
            .take()
            .is_some_and(Process::terminate)
    }
    /// Stops a node where it is, or lets it go on.
    pub fn set_paused(&mut self, node: usize, on: bool) {
        let place = &mut self.places[node];
        if let Some(process) = &place.process {
            if on {
                process.pause();
            } else {
                process.resume();
            }
            place.stopped = on;
        }
    }

    /// The views of all that run, by node.
    pub fn views(&self) -> BTreeMap<usize, View> {
        let runtime: RuntimeRef = self.runtime.clone();
        self.runtime.block_on(async {
            let mut views = BTreeMap::new();
            for node in self.running() {
                if let Some(process) = self.process(node) {
                    if let Some(view) = process.view(&runtime).await {
                        views.insert(node, view);
                    }
                }
            }
            views
        })
    }

    /// What is wrong with the views, in words: each that runs is to take all that run for alive and all others for dead or
    /// gone. Empty if they agree.
    pub fn disagreements(&self, views: &BTreeMap<usize, View>) -> Vec<String> {
        let running = self.running();
        let mut wrong = Vec::new();
        for node in &running {
            let Some(view) = views.get(node) else {
                wrong.push(format!("node {node} does not answer"));
                continue;
            };
            for of in (0..self.places.len()).filter(|of| of != node) {
                let state = view
                    .peers
                    .get(&id(of))
                    .map_or("unknown", |row| row.state.as_str());
                let right = match running.contains(&of) {
                    true => matches!(state, "alive" | "unheard"),
                    false => matches!(state, "dead" | "left" | "unknown"),
                };
                if !right {
                    wrong.push(format!("to node {node}, node {of} is {state}"));
                }
            }
        }
        wrong
    }

    /// What is wrong with the counts: none is to be lower than the number of processes that are there.
    pub fn miscounts(&self, views: &BTreeMap<usize, View>) -> Vec<String> {
        let there = self.process_count() as u32;
        let low = views.iter().filter(|(_, view)| view.count < there);
        low.map(|(node, view)| format!("node {node} counts {} of {there}", view.count))
            .collect()
    }

    /// Waits until something holds of the views; how long that took. The limit is for what never comes about.
    ///
    /// # Errors
    /// [`ClusterError::Never`] with what was still wrong.
    pub fn wait_until(
        &self,
        most: Micros,
        what: impl Fn(&Cluster, &BTreeMap<usize, View>) -> Vec<String>,
    ) -> Result<Micros, ClusterError> {
        let began = self.runtime.now();
        loop {
            let views = self.views();
            let mut wrong = what(self, &views);
            if wrong.is_empty() {
                return Ok(self.runtime.now() - began);
            }
            if self.runtime.now() - began > most {
                wrong.truncate(8);
                return Err(ClusterError::Timeout(format!(
                    "after {} s: {}",
                    most / 1_000_000,
                    wrong.join("; ")
                )));
            }
            self.sleep(LOOK);
        }
    }
    /// Waits until all views agree.
    ///
    /// # Errors
    /// As for [`Cluster::until`].
    pub fn wait_until_agreed(&self, most: Micros) -> Result<Micros, ClusterError> {
        self.wait_until(most, |cluster, views| cluster.disagreements(views))
    }
    /// Lets a span go by.
    pub fn sleep(&self, span: Micros) {
        let runtime: RuntimeRef = self.runtime.clone();
        self.runtime.block_on(runtime.sleep(span));
    }

    /// The five rules, from what engines and clients saw.
    pub fn audit(&self) -> RuleReport {
        check(
            &self.log.all(),
            &limits(&self.rules, FLIGHT, &self.specs),
            self.log.now(),
        )
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // Processes first: what is behind the relays goes with the world.
        self.places.clear();
        self.engines.clear();
        self.store = None;
        self.runtime.stop();
    }
}
