//! A cluster of daemon processes with fake engines and a fake store, and a relay on each directed link between two of them.
//!
//! - [`links`]: the relays and the faults that they inject.
//! - [`process`]: the daemon processes.
//! - `peer_addresses`: the addresses that the daemons bind for datagrams.
//! - [`plan`]: fault plans, drawn from a seed or read from a file.
//! - [`play`]: runs a plan and reports the results.
//!
//! Everything runs on loopback and ends with the [`Cluster`]. Signals go only to processes that the cluster started, by
//! their process ids.

pub mod links;
mod peer_addresses;
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

/// The peer key of all nodes of a cluster. Messages from other nodes on this machine are dropped.
const KEY: &str = "key of a test cluster, not a secret";
/// The longest time that data may be in flight on a busy machine, for the rule checker.
const MAX_FLIGHT: Micros = 250_000;
/// The interval at which views are requested.
const VIEW_INTERVAL: Micros = 50_000;

/// An error of a cluster.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A daemon did not start.
    #[error("{program} does not start: {what}")]
    Start {
        /// The path of the program.
        program: String,
        /// The output of the program.
        what: String,
    },
    /// A socket or a fake could not be started.
    #[error("{doing}: {error}")]
    Io {
        /// The operation that failed.
        doing: &'static str,
        /// The error of the system.
        error: std::io::Error,
    },
    /// An error of the local cluster's parts.
    #[error(transparent)]
    LocalCluster(#[from] LocalClusterError),
    /// A condition was not met in time.
    #[error("{0}")]
    Timeout(String),
}

fn io(doing: &'static str) -> impl Fn(std::io::Error) -> ClusterError {
    move |error| ClusterError::Io { doing, error }
}

/// The size and the options of a cluster.
#[derive(Clone, Debug)]
pub struct Size {
    /// The number of node processes.
    pub nodes: usize,
    /// The number of engines. Two of five are prefill engines, the others decode engines.
    pub engines: usize,
    /// Whether nodes also discover engines and each other through a store.
    pub store: bool,
    /// The number of peer addresses that each node is given. With a store, none are needed.
    pub seeds: usize,
    /// The time without messages from a node after which it is declared dead.
    pub death_after: Micros,
    /// The lease of a node's record in the store, in seconds.
    pub lease: i64,
    /// The path of the daemon.
    pub daemon: PathBuf,
    /// The seed of random choices.
    pub seed: u64,
}

/// The parts of a node that stay when its process ends.
struct NodeSlot {
    /// The address that the node binds for datagrams. It announces the address of its relay.
    real: SocketAddr,
    flags: Vec<String>,
    process: Option<Process>,
    stopped: bool,
}

/// A running cluster. Its processes are killed on drop.
pub struct Cluster {
    runtime: Arc<SmolRuntime>,
    links: Links,
    log: EventLog,
    size: Size,
    rules: Settings,
    specs: Vec<EngineSpec>,
    engines: Vec<Engine>,
    store: Option<Store>,
    nodes: Vec<NodeSlot>,
}

/// Returns the id by which peers know a node of the cluster.
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
    /// Starts the fakes, the relays and the daemons.
    ///
    /// # Errors
    /// [`ClusterError`] if a socket, an engine, the store or a daemon cannot be started.
    pub fn start(size: Size) -> Result<Cluster, ClusterError> {
        // The relays of hundreds of processes need more than one core, and a late relay would look like a late node.
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
        let nodes = Vec::new();
        let mut cluster = Cluster {
            runtime,
            links,
            log,
            size,
            rules,
            specs,
            engines,
            store,
            nodes,
        };
        cluster.set_up_nodes()?;
        for node in 0..cluster.size.nodes {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }

    /// Opens the relays and computes each node's flags.
    fn set_up_nodes(&mut self) -> Result<(), ClusterError> {
        let runtime: RuntimeRef = self.runtime.clone();
        let mut relays = Vec::new();
        for _ in 0..self.size.nodes {
            relays.push(
                runtime
                    .bind_datagram(local())
                    .map_err(io("opening a relay"))?,
            );
        }
        let announced: Vec<SocketAddr> = relays.iter().map(|d| d.address()).collect();
        for (node, relay) in relays.into_iter().enumerate() {
            let real = peer_addresses::allocate();
            self.links.set_source(real, node);
            runtime.run(links::relay_datagrams(
                runtime.clone(),
                self.links.clone(),
                relay,
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
            self.nodes.push(NodeSlot {
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
        let relay = runtime.listen(local()).map_err(io("opening a relay"))?;
        let through = relay.address();
        runtime.run(links::relay_streams(
            runtime.clone(),
            self.links.clone(),
            relay,
            (from, to),
            address,
        ));
        Ok(through)
    }

    /// Returns the links.
    pub fn links(&self) -> &Links {
        &self.links
    }
    /// Returns the runtime of the relays and the clients.
    pub fn runtime(&self) -> &Arc<SmolRuntime> {
        &self.runtime
    }
    /// Returns the event log of engines, clients and the harness.
    pub fn log(&self) -> &EventLog {
        &self.log
    }
    /// Returns the store, if there is one.
    pub fn store(&mut self) -> Option<&mut Store> {
        self.store.as_mut()
    }
    /// Returns a node's process, running or paused.
    pub fn process(&self, node: usize) -> Option<&Process> {
        self.nodes.get(node)?.process.as_ref()
    }
    /// Returns the address that a node binds for datagrams, behind its relay.
    pub fn peer_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].real
    }
    /// Returns the nodes that are running and not paused.
    pub fn running(&self) -> BTreeSet<usize> {
        let runs = |n: &usize| self.nodes[*n].process.is_some() && !self.nodes[*n].stopped;
        (0..self.nodes.len()).filter(runs).collect()
    }
    /// Returns the number of existing processes, paused or not. Each of them may be sending requests.
    pub fn process_count(&self) -> usize {
        self.nodes.iter().filter(|p| p.process.is_some()).count()
    }

    /// Starts a node with its fixed name and flags.
    ///
    /// # Errors
    /// [`ClusterError::Start`] if the daemon does not start.
    pub fn start_node(&mut self, node: usize) -> Result<(), ClusterError> {
        let slot = &mut self.nodes[node];
        let process = Process::start(&self.size.daemon, &slot.flags, KEY)?;
        (slot.process, slot.stopped) = (Some(process), false);
        Ok(())
    }
    /// Kills a node (SIGKILL).
    pub fn kill_node(&mut self, node: usize) {
        if let Some(process) = self.nodes[node].process.take() {
            self.log.add(ObservedEvent::NodeKilled {
                node,
                run: process.incarnation,
            });
        }
    }
    /// Terminates a node (SIGTERM) and waits for it. Returns whether it exited with success.
    pub fn terminate_node(&mut self, node: usize) -> bool {
        self.nodes[node]
            .process
            .take()
            .is_some_and(Process::terminate)
    }
    /// Pauses or resumes a node (SIGSTOP, SIGCONT).
    pub fn set_paused(&mut self, node: usize, on: bool) {
        let slot = &mut self.nodes[node];
        if let Some(process) = &slot.process {
            if on {
                process.pause();
            } else {
                process.resume();
            }
            slot.stopped = on;
        }
    }

    /// Returns the views of all running nodes that answer, by node.
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

    /// Returns descriptions of disagreements between the views and the processes: every running node must have all running
    /// nodes as alive, and all others as dead, left or unknown. Empty if the views agree.
    pub fn disagreements(&self, views: &BTreeMap<usize, View>) -> Vec<String> {
        let running = self.running();
        let mut problems = Vec::new();
        for node in &running {
            let Some(view) = views.get(node) else {
                problems.push(format!("node {node} does not answer"));
                continue;
            };
            for of in (0..self.nodes.len()).filter(|of| of != node) {
                let state = view
                    .peers
                    .get(&id(of))
                    .map_or("unknown", |row| row.state.as_str());
                let right = match running.contains(&of) {
                    true => matches!(state, "alive" | "unheard"),
                    false => matches!(state, "dead" | "left" | "unknown"),
                };
                if !right {
                    problems.push(format!("to node {node}, node {of} is {state}"));
                }
            }
        }
        problems
    }

    /// Returns descriptions of the node counts that are lower than the number of existing processes.
    pub fn miscounts(&self, views: &BTreeMap<usize, View>) -> Vec<String> {
        let existing = self.process_count() as u32;
        let low = views.iter().filter(|(_, view)| view.count < existing);
        low.map(|(node, view)| format!("node {node} counts {} of {existing}", view.count))
            .collect()
    }

    /// Waits until `what` returns no problems for the views, and returns how long that took.
    ///
    /// # Errors
    /// [`ClusterError::Timeout`], with the remaining problems, after `timeout`.
    pub fn wait_until(
        &self,
        timeout: Micros,
        what: impl Fn(&Cluster, &BTreeMap<usize, View>) -> Vec<String>,
    ) -> Result<Micros, ClusterError> {
        let began = self.runtime.now();
        loop {
            let views = self.views();
            let mut problems = what(self, &views);
            if problems.is_empty() {
                return Ok(self.runtime.now() - began);
            }
            if self.runtime.now() - began > timeout {
                problems.truncate(8);
                return Err(ClusterError::Timeout(format!(
                    "after {} s: {}",
                    timeout / 1_000_000,
                    problems.join("; ")
                )));
            }
            self.sleep(VIEW_INTERVAL);
        }
    }
    /// Waits until all views agree.
    ///
    /// # Errors
    /// As for [`Cluster::wait_until`].
    pub fn wait_until_agreed(&self, timeout: Micros) -> Result<Micros, ClusterError> {
        self.wait_until(timeout, |cluster, views| cluster.disagreements(views))
    }
    /// Sleeps for a duration, in microseconds.
    pub fn sleep(&self, span: Micros) {
        let runtime: RuntimeRef = self.runtime.clone();
        self.runtime.block_on(runtime.sleep(span));
    }

    /// Checks the five rules on what engines and clients observed.
    pub fn audit(&self) -> RuleReport {
        check(
            &self.log.all(),
            &limits(&self.rules, MAX_FLIGHT, &self.specs),
            self.log.now(),
        )
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The processes end first; the relays end with the runtime.
        self.nodes.clear();
        self.engines.clear();
        self.store = None;
        self.runtime.stop();
    }
}
