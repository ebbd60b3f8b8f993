//! Nodes, engines and clients on loopback, with one log of what engines and clients saw.

use crate::child_process::end_with_parent;
use crate::registration;
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

/// What went wrong in setting up a scene.
#[derive(Debug, thiserror::Error)]
pub enum LocalClusterError {
    /// The system said no.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// What the system said.
        error: std::io::Error,
    },
    /// A node did not start.
    #[error("a node did not start: {0}")]
    Node(#[from] ivyward::StartError),
}

pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> LocalClusterError {
    let what = what.into();
    move |error| LocalClusterError::Io { what, error }
}

/// What may be in flight after a notice, however much is allowed for the rest on a busy machine.
const MOST_NOTICE_FLIGHT: Micros = 250_000;

/// How nodes run.
#[derive(Clone, Debug, Default)]
pub enum NodePlacement {
    /// In this process, each in a world of its own.
    #[default]
    InProcess,
    /// As daemons.
    Daemon(PathBuf),
}

enum Process {
    Inside(Arc<SmolRuntime>, Node),
    Daemon(Child),
}

/// A node of a scene.
struct Place {
    address: SocketAddr,
    process: Option<Process>,
    client: Option<Client>,
    starts: u64,
}

/// A buffer that a recording is written to and read from.
#[derive(Clone, Default)]
pub struct RecordingBuffer(Arc<Mutex<Vec<u8>>>);

impl RecordingBuffer {
    /// What was written so far.
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

/// What a recording says was decided, a line an action, everything but times.
///
/// # Errors
/// When it is no recording.
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

/// What a scene is made of.
#[derive(Clone)]
pub struct ClusterBuilder {
    /// Feeds every random choice.
    pub seed: u64,
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The nodes' settings.
    pub settings: NodeSettings,
    /// How many nodes.
    pub nodes: usize,
    /// How they run.
    pub placement: NodePlacement,
    /// What may be in flight on this machine, for the rule checker.
    pub flight: Micros,
    /// Nodes in this process follow engines through a store instead of being told.
    pub watcher: Option<ivyward::watcher::WatcherOptions>,
    /// Records the first node's run.
    pub recording: Option<RecordingBuffer>,
}

/// Nodes, engines and clients on loopback.
pub struct LocalCluster {
    /// The clients' and the script's world.
    pub runtime: Arc<SmolRuntime>,
    /// What was seen.
    pub log: EventLog,
    make: ClusterBuilder,
    engines: Vec<Mutex<Engine>>,
    places: Vec<Mutex<Place>>,
    calls: AtomicU64,
    /// Where nodes follow the engines, if they do.
    pub store: Mutex<Option<Store>>,
    /// What the list says of each engine: its condition, and since when it runs where that is not long ago.
    list: Mutex<Vec<(EndpointState, Option<Micros>)>>,
}

/// Classes for scenes: two safe ones, one unsafe, one keyed within everything.
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

/// How far a class may be repeated, for the rule checker.
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

/// Settings for scenes on one machine: quick pauses, the rules' figures of a small deployment.
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
        // What the node has for its last word, on a machine that may be busy with other things.
        answer_margin: 200_000,
        ping_interval: 300_000,
        ping_timeout: 300_000,
        max_backoff: 300_000,
        release_retry_window: 2_000_000,
        stream_idle_timeout: 2_000_000,
        ..base
    }
}

/// A small fleet: `racks` racks, each of one reader, one mixed engine and two writers.
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
    /// A scene of some engines and one node.
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
    /// Aims and deadlines that only a lost request misses, for scenes in which a wait is neither overload nor a stall.
    pub fn use_long_deadlines(&mut self) {
        for class in &mut self.settings.classes {
            (class.settings.ttft_objective, class.settings.deadline) = (60_000_000, 60_000_000);
        }
    }
    /// Builds it.
    ///
    /// # Errors
    /// When a socket or a process cannot be had, or the settings do not hold.
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
        let place = |_| {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            Mutex::new(Place {
                address,
                process: None,
                client: None,
                starts: 0,
            })
        };
        let places = (0..self.nodes).map(place).collect();
        let list = Mutex::new(vec![(EndpointState::Ready, None); engines.len()]);
        let scene = LocalCluster {
            runtime,
            log,
            make: self,
            engines,
            places,
            calls: AtomicU64::new(1),
            store: Mutex::default(),
            list,
        };
        for node in 0..scene.nodes() {
            scene.start_node(node)?;
        }
        Ok(scene)
    }
}

impl LocalCluster {
    fn place(&self, node: usize) -> MutexGuard<'_, Place> {
        self.places[node]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
    /// An engine, by its number in the make.
    pub fn engine(&self, i: usize) -> MutexGuard<'_, Engine> {
        self.engines[i]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
    /// How many engines.
    pub fn engines(&self) -> usize {
        self.engines.len()
    }
    /// How many nodes.
    pub fn nodes(&self) -> usize {
        self.places.len()
    }
    /// What it is made of.
    pub fn builder(&self) -> &ClusterBuilder {
        &self.make
    }
    /// The node itself, where it runs in this process.
    pub fn node(&self, node: usize) -> Option<Node> {
        match &self.place(node).process {
            Some(Process::Inside(_, node)) => Some(node.clone()),
            _ => None,
        }
    }

    /// An engine as lists name it.
    pub fn entry(&self, i: usize, condition: EndpointState, started: Micros) -> Listed {
        list_entry(&self.engine(i), condition, started)
    }

    /// The key and the registration record of an engine, as it would write them.
    pub fn registration(&self, i: usize, state: State, started_ms: u64) -> (String, String) {
        registration::record(&self.engine(i), state, started_ms)
    }

    /// The engine registers itself in a store. `skew` is how far its clock is ahead of the others, in seconds.
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

    /// Starts a node, again at its old door if it had one, and tells it all engines that are up.
    ///
    /// # Errors
    /// When a socket or a process cannot be had.
    pub fn start_node(&self, i: usize) -> Result<(), LocalClusterError> {
        let (address, starts) = {
            let mut place = self.place(i);
            place.starts += 1;
            (place.address, place.starts)
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
                    // A door of the store for each node, so that what was shown to whom is told apart.
                    follow.endpoints = vec![follow.endpoints[i % follow.endpoints.len()]];
                }
                let record = self
                    .make
                    .recording
                    .clone()
                    .filter(|_| i == 0 && starts == 1);
                let record = record.map(|m| Box::new(m) as Box<dyn Write + Send>);
                let node = Node::start(as_ref.clone(), settings, record)?;
                let listener = as_ref.listen(address).map_err(io("opening a door"))?;
                let address = listener.address();
                let now = ivyward_runtime::Runtime::now(&*runtime);
                let since = |at: Option<Micros>| {
                    at.map_or(0, |at| now.saturating_sub(self.log.now() - at).max(1))
                };
                let entries = listed
                    .into_iter()
                    .map(|(e, condition, at)| self.entry(e, condition, since(at)));
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
        let mut place = self.place(i);
        (place.address, place.process, place.client) = (address, Some(process), None);
        Ok(())
    }

    /// Kills a node outright: its clients and engines see resets.
    pub fn kill_node(&self, i: usize) {
        let process = self.place(i).process.take();
        let run = match process {
            Some(Process::Inside(runtime, node)) => {
                let run = node.incarnation();
                // Noted before and after: what breaks while it dies is its death's doing.
                self.log.add(ObservedEvent::NodeKilled { node: i, run });
                runtime.stop();
                run
            }
            Some(Process::Daemon(mut child)) => {
                self.log.add(ObservedEvent::NodeKilled { node: i, run: 0 });
                // Already gone is as good.
                let _ = child.kill();
                let _ = child.wait();
                0
            }
            None => return,
        };
        self.log.add(ObservedEvent::NodeKilled { node: i, run });
        self.place(i).client = None;
    }

    /// What the list says: each engine that is not gone, its condition, and since when it runs.
    fn listed(&self) -> Vec<(usize, EndpointState, Option<Micros>)> {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let all = list
            .iter()
            .enumerate()
            .map(|(i, (condition, since))| (i, *condition, *since));
        all.filter(|l| l.1 != EndpointState::Removed).collect()
    }

    /// Changes what the list says of an engine; nodes learn of it by [`LocalCluster::notify_node`].
    pub fn set_listed_state(&self, engine: usize, condition: EndpointState, since: Option<Micros>) {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)[engine] = (condition, since);
    }

    /// Tells a node what the list says of an engine, and notes when it took that in. Daemons have a fixed list.
    pub async fn notify_node(&self, node: usize, engine: usize) {
        let (condition, since) = self.list.lock().unwrap_or_else(PoisonError::into_inner)[engine];
        let (handle, now) = match &self.place(node).process {
            Some(Process::Inside(runtime, handle)) => {
                (handle.clone(), ivyward_runtime::Runtime::now(&**runtime))
            }
            _ => return,
        };
        let started = since.map_or(0, |at| {
            now.saturating_sub(self.log.now().saturating_sub(at)).max(1)
        });
        let entry = self.entry(engine, condition, started);
        // The node may be killed before it took that in.
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
            let ready = condition == EndpointState::Ready;
            self.log.add(ObservedEvent::NodeNotified {
                node: handle.incarnation(),
                engine: entry.endpoint.id.0,
                ready,
            });
        }
    }

    /// Changes the list and tells all nodes at once.
    pub async fn notify_all_nodes(
        &self,
        engine: usize,
        condition: EndpointState,
        since: Option<Micros>,
    ) {
        self.set_listed_state(engine, condition, since);
        for node in 0..self.nodes() {
            self.notify_node(node, engine).await;
        }
    }

    /// Takes a store's sight of what it showed to each node as the time at which the node was told.
    pub fn watch_store(self: &Arc<Self>, store: Store) {
        store.set_observer(self.store_observer());
        *self.store.lock().unwrap_or_else(PoisonError::into_inner) = Some(store);
    }

    /// Notes what a store shows through a door for each node as what that node was told.
    pub fn store_observer(self: &Arc<Self>) -> Observer {
        let scene = Arc::downgrade(self);
        let known: Mutex<Vec<BTreeSet<u64>>> = Mutex::new(vec![BTreeSet::new(); self.nodes()]);
        Arc::new(move |door, shown| {
            let Some((scene, mut known)) = scene.upgrade().zip(known.lock().ok()) else {
                return;
            };
            let (Some(node), Some(known)) = (scene.node(door), known.get_mut(door)) else {
                return;
            };
            for (engine, ready) in notices(&shown, known) {
                scene.log.add(ObservedEvent::NodeNotified {
                    node: node.incarnation(),
                    engine,
                    ready,
                });
            }
        })
    }

    /// The store, where there is one.
    pub fn with_store<T>(&self, act: impl FnOnce(&mut Store) -> T) -> Option<T> {
        self.store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_mut()
            .map(act)
    }

    /// A name for a call that no other has.
    pub fn call_id(&self) -> u64 {
        self.calls.fetch_add(1, Ordering::Relaxed)
    }

    /// A connection to a node's door, opened if need be.
    ///
    /// # Errors
    /// When the node cannot be reached.
    pub async fn client(&self, node: usize) -> std::io::Result<Client> {
        let address = {
            let place = self.place(node);
            if let Some(client) = place.client.clone().filter(Client::is_usable) {
                return Ok(client);
            }
            place.address
        };
        let runtime: RuntimeRef = self.runtime.clone();
        let client = Client::connect(&runtime, &self.log, address).await?;
        self.place(node).client = Some(client.clone());
        Ok(client)
    }

    /// A request of a class for a node, with a name of its own.
    pub fn new_request(
        &self,
        node: usize,
        class: usize,
        prompt: Vec<u32>,
        most: u32,
    ) -> ClientRequest {
        let call = self.call_id();
        let named = &self.make.settings.classes[class];
        let request = GenerateRequest {
            prompt,
            max_output_tokens: most,
            class: named.name.clone(),
            call_id: call,
            idempotency_key: format!("op-{call}"),
            ..GenerateRequest::default()
        };
        let habit = ClientBehavior {
            client_timeout: named.settings.deadline,
            ..ClientBehavior::default()
        };
        ClientRequest {
            request,
            operation: call,
            idempotency: call_idempotency(&named.settings),
            node,
            behavior: habit,
        }
    }

    /// Sends a request and follows it to its end; `None` if the node cannot be reached.
    pub async fn send(&self, ask: &ClientRequest) -> Option<ClientResult> {
        Some(self.client(ask.node).await.ok()?.send(ask).await)
    }

    /// The same; the client leaves as soon as `leave` is over.
    pub async fn send_until(
        &self,
        ask: &ClientRequest,
        leave: impl Future<Output = ()>,
    ) -> Option<ClientResult> {
        Some(
            self.client(ask.node)
                .await
                .ok()?
                .send_until(ask, leave)
                .await,
        )
    }

    /// What the auditor allows and asks for here.
    pub fn limits(&self) -> RuleLimits {
        limits(
            &self.make.settings.router,
            self.make.flight,
            &self.make.engines,
        )
    }

    /// Waits until no node has anything in hand and no engine keeps anything for a request, for `span` at most.
    pub async fn wait_until_idle(&self, span: Micros) {
        let until = self.log.now().saturating_add(span);
        while self.log.now() < until {
            let open: usize = (0..self.nodes())
                .filter_map(|n| self.node(n))
                .map(|n| n.open_requests())
                .sum();
            let kept: usize = (0..self.engines())
                .map(|e| self.engine(e).retained_count())
                .sum();
            if open + kept == 0 {
                break;
            }
            self.runtime.sleep(5_000).await;
        }
    }

    /// Checks the rules on what was seen so far.
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

/// What a store's showing tells of engines, and whether each may be sent new work; `known` are those it showed before.
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
            let gone = known
                .iter()
                .filter(|e| !listed.contains_key(e))
                .map(|e| (*e, false));
            let told = gone
                .chain(listed.iter().map(|(e, ready)| (*e, *ready)))
                .collect();
            *known = listed.into_keys().collect();
            told
        }
        StoreOutput::Events(events) => {
            let kvs = events.iter().filter_map(|e| e.kv.as_ref());
            // A deletion's record is empty, and so not ready.
            let told: Vec<_> = kvs
                .filter_map(|kv| Some((id(&kv.key)?, ready(&kv.value))))
                .collect();
            known.extend(told.iter().map(|t| t.0));
            told
        }
    }
}

/// The kind, as the node's settings count them, of what a stand-in does.
pub fn machine_type(role: Role) -> u8 {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

/// The names of the kinds, as flags have them.
pub const ROLES: [&str; 3] = ["prefill", "decode", "mixed"];

/// A stand-in engine as lists name it.
pub fn list_entry(engine: &Engine, condition: EndpointState, started: Micros) -> Listed {
    let spec = engine.spec();
    let entry = Endpoint {
        id: EndpointId(spec.id),
        zone: 0,
        machine_type: machine_type(spec.role),
        rack: spec.rack,
        state: condition,
        weight: 1.0,
        started_at: started,
    };
    Listed {
        endpoint: entry,
        address: engine.address(),
    }
}

/// What the auditor allows and asks for, by the nodes' own rules.
pub fn limits(rules: &Settings, flight: Micros, engines: &[EngineSpec]) -> RuleLimits {
    RuleLimits {
        delivery_allowance: flight,
        notification_allowance: flight.min(MOST_NOTICE_FLIGHT),
        drain_grace: rules.drain_grace,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window,
        initial_capacity: rules.initial_capacity,
        warm_up_duration: rules.warm_up_duration,
        release_within: rules.release_within,
        locations: engines.iter().map(|s| (s.id, (s.rack, 0))).collect(),
    }
}

/// Starts a daemon with the same settings, by its flags, and waits for its line that the door is open.
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
        .ok_or_else(|| io(what())(std::io::Error::other("no output")))?;
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(out), &mut line)
        .map_err(io(what()))?;
    let told = line
        .trim()
        .strip_prefix("listening on ")
        .and_then(|a| a.parse().ok());
    told.map(|address| (child, address)).ok_or_else(|| {
        io(what())(std::io::Error::other(format!(
            "it said {line:?} instead of its address"
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
