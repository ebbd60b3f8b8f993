//! Nodes, engines and clients on loopback, with one event log of what engines and clients observe.

use crate::child_process::end_with_parent;
use crate::registration;
use crate::stall_monitor::StallMonitor;
use futures_lite::future::block_on;
use ivyward::core::interface::{
    Action, ClassSettings, DeduplicationScope, Endpoint, EndpointId, EndpointState, Idempotency,
    ListKind, Micros, Settings,
};
use ivyward::recording::{RecordingError, RecordingReader};
use ivyward::registration::{Record, State, DEFAULT_ENGINE_PREFIX};
use ivyward::{Class, Engine as Listed, Node, NodeSettings};
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::{Observer, Store, StoreOutput};
use ivyward_fakes::event_log::{CallIdempotency, KeyScope};
use ivyward_fakes::{
    check, Client, ClientBehavior, ClientRequest, ClientResult, Engine, EngineSpec, EventLog, Host,
    ObservedEvent, Role, RuleLimits, RuleReport,
};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{Runtime, RuntimeExt, RuntimeRef, SmolRuntime};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An error in setting up a local cluster.
#[derive(Debug, thiserror::Error)]
pub enum LocalClusterError {
    /// A system call failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation that failed.
        what: String,
        /// The error of the system.
        error: std::io::Error,
    },
    /// A node could not be started.
    #[error("a node could not be started: {0}")]
    Node(#[from] ivyward::StartError),
}

pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> LocalClusterError {
    let what = what.into();
    move |error| LocalClusterError::Io { what, error }
}

/// The limit on the time for which requests may be in flight after a notification, whatever the limit for other data is on
/// a busy machine.
const MAX_NOTICE_FLIGHT: Micros = 250_000;

/// Where nodes run.
#[derive(Clone, Debug, Default)]
pub enum NodePlacement {
    /// In this process, each on its own runtime.
    #[default]
    InProcess,
    /// As daemon processes, started from this path.
    Daemon(PathBuf),
}

enum Process {
    Inside(Arc<SmolRuntime>, Node),
    Daemon(Child),
}

/// A node of a cluster. Stays when the node's process ends.
struct NodeSlot {
    address: SocketAddr,
    process: Option<Process>,
    client: Option<Client>,
    starts: u64,
}

/// An in-memory buffer for a recording. Clones share the buffer.
#[derive(Clone, Default)]
pub struct RecordingBuffer(Arc<Mutex<Vec<u8>>>);

impl RecordingBuffer {
    /// Returns the bytes that have been written so far.
    pub fn bytes(&self) -> Vec<u8> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Write for RecordingBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns a line for each action in a recording, without times.
///
/// # Errors
/// [`RecordingError`] if the recording is malformed.
pub fn decisions(recording: &[u8]) -> Result<Vec<String>, RecordingError> {
    let mut reader = RecordingReader::begin(recording)?;
    let mut out = Vec::new();
    while let Some(step) = reader.step()? {
        for action in step.actions {
            match action {
                Action::SetTimer { .. } => {}
                Action::Send {
                    request,
                    endpoint: server,
                    ..
                } => out.push(format!("send {} to {}", request.0, server.0)),
                other => out.push(format!("{other:?}")),
            }
        }
    }
    Ok(out)
}

/// The configuration of a local cluster.
#[derive(Clone)]
pub struct ClusterBuilder {
    /// The seed of every random choice.
    pub seed: u64,
    /// The engines' specifications.
    pub engines: Vec<EngineSpec>,
    /// The nodes' settings.
    pub settings: NodeSettings,
    /// The number of nodes.
    pub nodes: usize,
    /// Where the nodes run.
    pub placement: NodePlacement,
    /// The longest time that data may be in flight on this machine, in microseconds, for the rule checker.
    pub flight: Micros,
    /// The options with which nodes in this process watch engines in a store. Without them, the cluster notifies the nodes.
    pub watcher: Option<ivyward::watcher::WatcherOptions>,
    /// The buffer for a recording of the first node's first incarnation.
    pub recording: Option<RecordingBuffer>,
}

/// Nodes, engines and clients on loopback.
pub struct LocalCluster {
    /// The runtime of the clients and the test.
    pub runtime: Arc<SmolRuntime>,
    /// The event log.
    pub log: EventLog,
    make: ClusterBuilder,
    engines: Vec<Mutex<Engine>>,
    node_slots: Vec<Mutex<NodeSlot>>,
    calls: AtomicU64,
    /// The store in which nodes watch the engines, if they do.
    pub store: Mutex<Option<Store>>,
    /// The listed state of each engine, and its start time if it started recently.
    list: Mutex<Vec<(EndpointState, Option<Micros>)>>,
    /// Records in the log when the process did not run.
    _stall_monitor: StallMonitor,
}

/// Returns the request classes of test clusters: two idempotent ones, one that is not idempotent, and one with idempotency
/// keys that are valid on all engines.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, settings: ClassSettings| Class {
        name: name.into(),
        settings,
    };
    let quick = ClassSettings {
        ttft_objective: 300_000,
        ttft_objective_per_1000: 20_000.0,
        tpot_objective: 10_000.0,
        deadline: 2_500_000,
        priority_weight: 2.0,
        late_weight: 0.2,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0,
    };
    let long = ClassSettings {
        ttft_objective: 800_000,
        deadline: 4_000_000,
        priority_weight: 1.0,
        ..quick.clone()
    };
    let order = ClassSettings {
        idempotency: Idempotency::NonIdempotent,
        priority_weight: 5.0,
        ..quick.clone()
    };
    let note = ClassSettings {
        idempotency: Idempotency::WithKey,
        deduplication_window: 5_000_000,
        ..quick.clone()
    };
    vec![
        class("quick-ask", quick),
        class("list-review", long),
        class("order", order),
        class("note", note),
    ]
}

/// Returns the idempotency of a class in the form that the rule checker uses.
pub fn call_idempotency(class: &ClassSettings) -> CallIdempotency {
    let group = match class.deduplication_scope {
        DeduplicationScope::All => KeyScope::All,
        DeduplicationScope::Zone => KeyScope::Zone,
        DeduplicationScope::Rack => KeyScope::Rack,
    };
    match class.idempotency {
        Idempotency::Idempotent => CallIdempotency::Idempotent,
        Idempotency::NonIdempotent => CallIdempotency::NonIdempotent,
        Idempotency::WithKey => CallIdempotency::WithKey(class.deduplication_window, group),
    }
}

/// Returns settings for clusters on one machine: short intervals, and the limits of a small deployment.
pub fn settings() -> NodeSettings {
    let base = NodeSettings::default();
    NodeSettings {
        classes: classes(),
        router: Settings {
            release_within: 300_000,
            drain_grace: 250_000,
            overload_multiple: 4.0,
            overload_window: 1_000_000,
            initial_capacity: 0.3,
            warm_up_duration: 4_000_000,
            max_retry_after: 300_000,
            ..base.router.clone()
        },
        // The time for a node's final answer, on a machine that may be busy.
        answer_margin: 200_000,
        ping_interval: 300_000,
        ping_timeout: 300_000,
        max_backoff: 300_000,
        release_retry_window: 2_000_000,
        stream_idle_timeout: 2_000_000,
        ..base
    }
}

/// Returns the specifications of `racks` racks, each of one prefill engine, one mixed engine and two decode engines.
pub fn fleet(racks: u16) -> Vec<EngineSpec> {
    let roles = [Role::Prefill, Role::Mixed, Role::Decode, Role::Decode];
    let of = |rack: u16| {
        roles.iter().enumerate().map(move |(i, role)| EngineSpec {
            rack,
            warm_up: (0.3, 4_000_000),
            overload: (4.0, 1_000_000),
            ..EngineSpec::small(u64::from(rack) * 16 + i as u64 + 1, *role)
        })
    };
    (0..racks).flat_map(of).collect()
}

impl ClusterBuilder {
    /// Returns the configuration of a cluster with the given engines and one node.
    pub fn new(seed: u64, engines: Vec<EngineSpec>) -> ClusterBuilder {
        let settings = NodeSettings { seed, ..settings() };
        ClusterBuilder {
            seed,
            engines,
            settings,
            nodes: 1,
            placement: NodePlacement::InProcess,
            flight: 250_000,
            watcher: None,
            recording: None,
        }
    }
    /// Sets objectives and deadlines that only a lost request misses, for tests in which waiting is neither overload nor a
    /// stall.
    pub fn use_long_deadlines(&mut self) {
        for class in &mut self.settings.classes {
            (class.settings.ttft_objective, class.settings.deadline) = (60_000_000, 60_000_000);
        }
    }
    /// Starts the cluster.
    ///
    /// # Errors
    /// [`LocalClusterError`] if a socket or a process cannot be created, or the settings are invalid.
    pub fn build(self) -> Result<LocalCluster, LocalClusterError> {
        let runtime = SmolRuntime::start(2, self.seed);
        let as_ref: RuntimeRef = runtime.clone();
        let log = EventLog::new(&as_ref);
        let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
        let mut engines = Vec::new();
        for spec in &self.engines {
            engines.push(Mutex::new(
                Engine::start(&host, &log, spec.clone()).map_err(io("starting an engine"))?,
            ));
        }
        let slot = |_| {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            Mutex::new(NodeSlot {
                address,
                process: None,
                client: None,
                starts: 0,
            })
        };
        let node_slots = (0..self.nodes).map(slot).collect();
        let list = Mutex::new(vec![(EndpointState::Ready, None); engines.len()]);
        let cluster = LocalCluster {
            runtime,
            _stall_monitor: StallMonitor::start(log.clone()),
            log,
            make: self,
            engines,
            node_slots,
            calls: AtomicU64::new(1),
            store: Mutex::default(),
            list,
        };
        for node in 0..cluster.nodes() {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }
}

impl LocalCluster {
    fn slot(&self, node: usize) -> MutexGuard<'_, NodeSlot> {
        self.node_slots[node]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
    /// Returns an engine by its index in [`ClusterBuilder::engines`].
    pub fn engine(&self, i: usize) -> MutexGuard<'_, Engine> {
        self.engines[i]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
    /// Returns the number of engines.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }
    /// Returns the number of nodes.
    pub fn nodes(&self) -> usize {
        self.node_slots.len()
    }
    /// Returns the configuration of the cluster.
    pub fn builder(&self) -> &ClusterBuilder {
        &self.make
    }
    /// Returns a node's handle if the node runs in this process.
    pub fn node(&self, node: usize) -> Option<Node> {
        match &self.slot(node).process {
            Some(Process::Inside(_, node)) => Some(node.clone()),
            _ => None,
        }
    }

    /// Returns an engine's entry in an endpoint list.
    pub fn entry(&self, i: usize, state: EndpointState, started: Micros) -> Listed {
        list_entry(&self.engine(i), state, started)
    }

    /// Returns the key and the registration record of an engine, as the engine would write them.
    pub fn registration(&self, i: usize, state: State, started_ms: u64) -> (String, String) {
        registration::record(&self.engine(i), state, started_ms)
    }

    /// Has an engine register itself in a store under a lease of `seconds`. `skew` is how far the engine's clock is ahead of the
    /// other clocks, in seconds.
    pub fn keep_engine_registered(
        &self,
        engine: usize,
        endpoints: &[SocketAddr],
        seconds: i64,
        skew: i64,
    ) {
        let unix = self.runtime.unix_micros() as i64 / 1_000 + skew * 1_000;
        registration::keep_registered(
            &self.engine(engine),
            endpoints.to_vec(),
            seconds,
            unix.max(1) as u64,
            |_| {},
        );
    }

    /// Starts a node, at its previous address if it had one. Unless the node watches a store, it is given the list of all
    /// engines that are not removed.
    ///
    /// # Errors
    /// [`LocalClusterError`] if a socket or a process cannot be created.
    pub fn start_node(&self, i: usize) -> Result<(), LocalClusterError> {
        let (address, starts) = {
            let mut slot = self.slot(i);
            slot.starts += 1;
            (slot.address, slot.starts)
        };
        let listed = self.listed();
        let seed = self
            .make
            .seed
            .wrapping_mul(100)
            .wrapping_add(i as u64 * 10 + starts);
        let settings = NodeSettings {
            seed,
            ..self.make.settings.clone()
        };
        let (address, process) = match &self.make.placement {
            NodePlacement::InProcess => {
                let runtime = SmolRuntime::start(1, seed);
                let as_ref: RuntimeRef = runtime.clone();
                let mut follow = self.make.watcher.clone();
                if let Some(follow) = follow.as_mut().filter(|_| self.nodes() > 1) {
                    // Each node uses its own endpoint of the store, so that the store's observer knows which node it notified.
                    follow.endpoints = vec![follow.endpoints[i % follow.endpoints.len()]];
                }
                let record = self
                    .make
                    .recording
                    .clone()
                    .filter(|_| i == 0 && starts == 1);
                let record = record.map(|m| Box::new(m) as Box<dyn Write + Send>);
                let node = Node::start(as_ref.clone(), settings, record)?;
                let listener = as_ref.listen(address).map_err(io("opening a listener"))?;
                let address = listener.address();
                let now = ivyward_runtime::Runtime::now(&*runtime);
                let since = |at: Option<Micros>| {
                    at.map_or(0, |at| now.saturating_sub(self.log.now() - at).max(1))
                };
                let entries = listed
                    .into_iter()
                    .map(|(e, state, at)| self.entry(e, state, since(at)));
                match follow {
                    None => block_on(node.update_endpoints(ListKind::Full, entries.collect())),
                    Some(follow) => {
                        let following = node.clone();
                        runtime.run(async move { following.watch_endpoints(follow).await });
                    }
                }
                let serving = node.clone();
                runtime.run(async move { serving.serve(listener).await });
                (address, Process::Inside(runtime, node))
            }
            NodePlacement::Daemon(path) => {
                let entries: Vec<Listed> = listed
                    .into_iter()
                    .map(|(e, c, _)| self.entry(e, c, 0))
                    .collect();
                let (child, address) = daemon(path, &settings, &entries, address)?;
                (address, Process::Daemon(child))
            }
        };
        let mut slot = self.slot(i);
        (slot.address, slot.process, slot.client) = (address, Some(process), None);
        Ok(())
    }

    /// Kills a node. Its clients and engines see connection resets.
    pub fn kill_node(&self, i: usize) {
        let process = self.slot(i).process.take();
        let run = match process {
            Some(Process::Inside(runtime, node)) => {
                let run = node.incarnation();
                // Logged before and after, so that failures during the kill are attributed to it.
                self.log.add(ObservedEvent::NodeKilled { node: i, run });
                runtime.stop();
                run
            }
            Some(Process::Daemon(mut child)) => {
                self.log.add(ObservedEvent::NodeKilled { node: i, run: 0 });
                // The process may have ended already.
                let _ = child.kill();
                let _ = child.wait();
                0
            }
            None => return,
        };
        self.log.add(ObservedEvent::NodeKilled { node: i, run });
        self.slot(i).client = None;
    }

    /// Returns the engines that are not removed, with their listed state and start time.
    fn listed(&self) -> Vec<(usize, EndpointState, Option<Micros>)> {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let all = list
            .iter()
            .enumerate()
            .map(|(i, (state, since))| (i, *state, *since));
        all.filter(|l| l.1 != EndpointState::Removed).collect()
    }

    /// Changes the listed state and start time of an engine. Nodes receive the change from [`LocalCluster::notify_node`].
    pub fn set_listed_state(&self, engine: usize, state: EndpointState, since: Option<Micros>) {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)[engine] = (state, since);
    }

    /// Sends a node the listed state of an engine, and logs when the node has processed it. Does nothing for daemons, whose
    /// list is fixed.
    pub async fn notify_node(&self, node: usize, engine: usize) {
        let (state, since) = self.list.lock().unwrap_or_else(PoisonError::into_inner)[engine];
        let (handle, now) = match &self.slot(node).process {
            Some(Process::Inside(runtime, handle)) => {
                (handle.clone(), ivyward_runtime::Runtime::now(&**runtime))
            }
            _ => return,
        };
        let started = since.map_or(0, |at| {
            now.saturating_sub(self.log.now().saturating_sub(at)).max(1)
        });
        let entry = self.entry(engine, state, started);
        // The node may be killed before it has processed the change.
        let took = handle.update_endpoints(ListKind::Changes, vec![entry]);
        let killed = async {
            while self
                .node(node)
                .is_some_and(|n| n.incarnation() == handle.incarnation())
            {
                self.runtime.sleep(20_000).await;
            }
            false
        };
        let took = futures_lite::future::or(
            async {
                took.await;
                true
            },
            killed,
        );
        if took.await {
            let ready = state == EndpointState::Ready;
            self.log.add(ObservedEvent::NodeNotified {
                node: handle.incarnation(),
                engine: entry.endpoint.id.0,
                ready,
            });
        }
    }

    /// Changes the listed state of an engine, and notifies all nodes one after the other.
    pub async fn notify_all_nodes(
        &self,
        engine: usize,
        state: EndpointState,
        since: Option<Micros>,
    ) {
        self.set_listed_state(engine, state, since);
        for node in 0..self.nodes() {
            self.notify_node(node, engine).await;
        }
    }

    /// Logs notifications of nodes at the time at which the store sends them, and keeps the store for
    /// [`LocalCluster::with_store`].
    pub fn watch_store(self: &Arc<Self>, store: Store) {
        store.set_observer(self.store_observer());
        *self.store.lock().unwrap_or_else(PoisonError::into_inner) = Some(store);
    }

    /// Returns an observer for a store that has one endpoint for each node. The observer logs what the store sends through an
    /// endpoint as notifications of that node.
    pub fn store_observer(self: &Arc<Self>) -> Observer {
        let cluster = Arc::downgrade(self);
        let known: Mutex<Vec<BTreeSet<u64>>> = Mutex::new(vec![BTreeSet::new(); self.nodes()]);
        Arc::new(move |door, shown| {
            let Some((cluster, mut known)) = cluster.upgrade().zip(known.lock().ok()) else {
                return;
            };
            let (Some(node), Some(known)) = (cluster.node(door), known.get_mut(door)) else {
                return;
            };
            for (engine, ready) in notices(&shown, known) {
                cluster.log.add(ObservedEvent::NodeNotified {
                    node: node.incarnation(),
                    engine,
                    ready,
                });
            }
        })
    }

    /// Calls a function with the store, if there is one.
    pub fn with_store<T>(&self, act: impl FnOnce(&mut Store) -> T) -> Option<T> {
        self.store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_mut()
            .map(act)
    }

    /// Returns a unique id for a call.
    pub fn call_id(&self) -> u64 {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a client that is connected to a node, and connects one if there is none.
    ///
    /// # Errors
    /// Fails if the node cannot be reached.
    pub async fn client(&self, node: usize) -> std::io::Result<Client> {
        let address = {
            let slot = self.slot(node);
            if let Some(client) = slot.client.clone().filter(Client::is_usable) {
                return Ok(client);
            }
            slot.address
        };
        let runtime: RuntimeRef = self.runtime.clone();
        let client = Client::connect(&runtime, &self.log, address).await?;
        self.slot(node).client = Some(client.clone());
        Ok(client)
    }

    /// Returns a request of a class for a node, with a unique id. `max_output_tokens` limits the answer.
    pub fn new_request(
        &self,
        node: usize,
        class: usize,
        prompt: Vec<u32>,
        max_output_tokens: u32,
    ) -> ClientRequest {
        let call = self.call_id();
        let named = &self.make.settings.classes[class];
        let request = GenerateRequest {
            prompt,
            max_output_tokens,
            class: named.name.clone(),
            call_id: call,
            idempotency_key: format!("op-{call}"),
            ..GenerateRequest::default()
        };
        let behavior = ClientBehavior {
            client_timeout: named.settings.deadline,
            ..ClientBehavior::default()
        };
        ClientRequest {
            request,
            operation: call,
            idempotency: call_idempotency(&named.settings),
            node,
            behavior,
        }
    }

    /// Sends a request and returns its result, or `None` if the node cannot be reached.
    pub async fn send(&self, request: &ClientRequest) -> Option<ClientResult> {
        Some(self.client(request.node).await.ok()?.send(request).await)
    }

    /// Sends a request like [`LocalCluster::send`], but the client disconnects as soon as `disconnect` completes.
    pub async fn send_until(
        &self,
        request: &ClientRequest,
        disconnect: impl Future<Output = ()>,
    ) -> Option<ClientResult> {
        Some(
            self.client(request.node)
                .await
                .ok()?
                .send_until(request, disconnect)
                .await,
        )
    }

    /// Returns the limits that the rule checker applies to this cluster.
    pub fn limits(&self) -> RuleLimits {
        limits(
            &self.make.settings.router,
            self.make.flight,
            &self.make.engines,
        )
    }

    /// Waits until no node has an open request and no engine has a reservation, but not longer than `timeout` microseconds.
    pub async fn wait_until_idle(&self, timeout: Micros) {
        let until = self.log.now().saturating_add(timeout);
        while self.log.now() < until {
            let open: usize = (0..self.nodes())
                .filter_map(|n| self.node(n))
                .map(|n| n.open_requests())
                .sum();
            let reserved: usize = (0..self.engines())
                .map(|e| self.engine(e).retained_count())
                .sum();
            if open + reserved == 0 {
                break;
            }
            self.runtime.sleep(5_000).await;
        }
    }

    /// Checks the rules on the event log so far.
    pub fn audit(&self) -> RuleReport {
        check(&self.log.all(), &self.limits(), self.log.now())
    }
}

impl Drop for LocalCluster {
    fn drop(&mut self) {
        for i in 0..self.nodes() {
            self.kill_node(i);
        }
        self.runtime.stop();
    }
}

/// Returns the engines that a list or watch event of the store is about, and whether each may receive new work. `known` are
/// the engines that the store has shown before; an engine that a list leaves out is no longer ready.
pub(crate) fn notices(shown: &StoreOutput<'_>, known: &mut BTreeSet<u64>) -> Vec<(u64, bool)> {
    let id = |key: &[u8]| {
        ivyward::registration::key_id(DEFAULT_ENGINE_PREFIX.as_bytes(), key).map(|id| id.0)
    };
    let ready = |value: &[u8]| {
        serde_json::from_slice::<Record>(value).is_ok_and(|r| r.state == State::Ready)
    };
    match shown {
        StoreOutput::List(kvs) => {
            let listed: BTreeMap<u64, bool> = kvs
                .iter()
                .filter_map(|kv| Some((id(&kv.key)?, ready(&kv.value))))
                .collect();
            let removed = known
                .iter()
                .filter(|e| !listed.contains_key(e))
                .map(|e| (*e, false));
            let notified = removed
                .chain(listed.iter().map(|(e, ready)| (*e, *ready)))
                .collect();
            *known = listed.into_keys().collect();
            notified
        }
        StoreOutput::Events(events) => {
            let kvs = events.iter().filter_map(|e| e.kv.as_ref());
            // The value of a deletion is empty, so it does not parse as ready.
            let notified: Vec<_> = kvs
                .filter_map(|kv| Some((id(&kv.key)?, ready(&kv.value))))
                .collect();
            known.extend(notified.iter().map(|t| t.0));
            notified
        }
    }
}

/// Returns the machine type, as an index into the node's settings, for a fake engine's role.
pub fn machine_type(role: Role) -> u8 {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

/// The names of the machine types in the daemon's flags.
pub const ROLES: [&str; 3] = ["prefill", "decode", "mixed"];

/// Returns a fake engine's entry in an endpoint list.
pub fn list_entry(engine: &Engine, state: EndpointState, started: Micros) -> Listed {
    let spec = engine.spec();
    let entry = Endpoint {
        id: EndpointId(spec.id),
        zone: 0,
        machine_type: machine_type(spec.role),
        rack: spec.rack,
        state,
        weight: 1.0,
        started_at: started,
    };
    Listed {
        endpoint: entry,
        address: engine.address(),
    }
}

/// Returns the limits of the rule checker that follow from the nodes' settings.
pub fn limits(rules: &Settings, flight: Micros, engines: &[EngineSpec]) -> RuleLimits {
    RuleLimits {
        delivery_allowance: flight,
        notification_allowance: flight.min(MAX_NOTICE_FLIGHT),
        drain_grace: rules.drain_grace,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window,
        initial_capacity: rules.initial_capacity,
        warm_up_duration: rules.warm_up_duration,
        release_within: rules.release_within,
        locations: engines.iter().map(|s| (s.id, (s.rack, 0))).collect(),
    }
}

/// Starts a daemon with the given settings as flags, and waits for the line with its address on standard output.
fn daemon(
    path: &Path,
    settings: &NodeSettings,
    engines: &[Listed],
    at: SocketAddr,
) -> Result<(Child, SocketAddr), LocalClusterError> {
    let mut command = Command::new(path);
    end_with_parent(&mut command);
    command
        .args(ivyward_flags(settings, engines))
        .arg("--listen")
        .arg(at.to_string());
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let what = || format!("starting {}", path.display());
    let mut child = command.spawn().map_err(io(what()))?;
    let out = child
        .stdout
        .take()
        .ok_or_else(|| io(what())(std::io::Error::other("standard output is not a pipe")))?;
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)
        .map_err(io(what()))?;
    let notified = line
        .trim()
        .strip_prefix("listening on ")
        .and_then(|a| a.parse().ok());
    notified.map(|address| (child, address)).ok_or_else(|| {
        io(what())(std::io::Error::other(format!(
            "it wrote {line:?} instead of its address"
        )))
    })
}

/// The daemon's flags for a node's settings and engines.
pub fn ivyward_flags(settings: &NodeSettings, engines: &[Listed]) -> Vec<String> {
    let rules = &settings.router;
    let us = |span: Micros| format!("{span}us");
    let mut flags: Vec<String> = Vec::new();
    let mut flag = |name: &str, value: String| flags.push(format!("--{name}={value}"));
    for (name, span) in [
        ("answer-margin", settings.answer_margin),
        ("dial-timeout", settings.dial_timeout),
        ("redial-first", settings.initial_backoff),
        ("redial-most", settings.max_backoff),
        ("reset-wait", settings.reset_timeout),
        ("stream-stall", settings.stream_idle_timeout),
        ("release-tries", settings.release_retry_window),
        ("ping-every", settings.ping_interval),
        ("ping-timeout", settings.ping_timeout),
        ("release-within", rules.release_within),
        ("drain-grace", rules.drain_grace),
        ("fall-window", rules.overload_window),
        ("warm-after", rules.warm_up_duration),
        ("max-retry-after", rules.max_retry_after),
    ] {
        flag(name, us(span));
    }
    flag("seed", settings.seed.to_string());
    flag("fall-multiple", rules.overload_multiple.to_string());
    flag("start-capacity", rules.initial_capacity.to_string());
    flag(
        "resting-checks",
        settings.idle_checks_per_second.to_string(),
    );
    flag("max-attempts", rules.max_attempts.to_string());
    flag("nodes", rules.replica_count.to_string());
    flag("most-open", settings.max_open_requests.to_string());
    for class in &settings.classes {
        let s = &class.settings;
        let effect = match s.idempotency {
            Idempotency::Idempotent => "safe",
            Idempotency::WithKey => "keyed",
            Idempotency::NonIdempotent => "unsafe",
        };
        let mut text = format!(
            "name={},ttft-aim={},ttft-aim-per-1000={},tpot-aim={},deadline={},worth={},late-share={},effect={effect}",
            class.name,
            us(s.ttft_objective),
            us(s.ttft_objective_per_1000 as Micros),
            us(s.tpot_objective as Micros),
            us(s.deadline),
            s.priority_weight,
            s.late_weight
        );
        if s.idempotency == Idempotency::WithKey {
            text += &format!(",group=all,repeat-window={}", us(s.deduplication_window));
        }
        flag("class", text);
    }
    for engine in engines {
        let role = ROLES[usize::from(engine.endpoint.machine_type)];
        let (id, cell, weight) = (
            engine.endpoint.id.0,
            engine.endpoint.rack,
            engine.endpoint.weight,
        );
        flag(
            "server",
            format!(
                "id={id},address={},role={role},cell={cell},weight={weight}",
                engine.address
            ),
        );
    }
    flags
}
