//! The cluster of one soak run (engines, links, discovery and nodes), and the injection of faults into it.

use crate::soak::clients;
use crate::soak::link::Link;
use crate::soak::node::{NodeFiles, NodeProcess};
use crate::soak::plan::{FaultKind, ScheduledFault};
use crate::soak::SoakError;
use ivyward_fakes::platform::discovery::{Discovery, Entry};
use ivyward_fakes::platform::engine::{Platform, PlatformEngine};
use ivyward_fakes::platform::observe::{Observation, ObservationLog};
use ivyward_fault_injection::SystemFault;
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The time that a prefill engine needs for a prompt, and a decode engine to its first event.
const PREFILL_TIME: Micros = 25_000;
const DECODE_TIME: Micros = 35_000;
/// Rates of system call faults, per million calls.
const HIGH_FAULT_RATE: u64 = 20_000;
const LOW_FAULT_RATE: u64 = 2_000;
const HOUR: i64 = 3_600_000_000;
/// The range of the time for which a paused node stops at a time.
const PAUSE_RANGE: (Micros, Micros) = (10_000, 140_000);
const SLOW_FACTOR: f64 = 5.0;
const BREAKS_PERCENT: u64 = 60;
/// A node that has not ended this long after SIGTERM is killed: the classes' deadline, which is below 3 s, and 0.7 s.
const STOP_LIMIT: Micros = 3_200_000;
/// With [`FaultKind::BytesLost`], bytes are lost for this part of each period.
const BYTES_LOST_TIME: Micros = 120_000;
const BYTES_LOST_PERIOD: Micros = 1_000_000;
const SILENT_NEW_PERCENT: u64 = 33;
/// Clients still open connections to a node for this time after SIGTERM, as they do behind a load balancer that removes
/// the node late.
const LATE_CONNECTIONS: Micros = 300_000;
/// The longest pause between two signals of a series.
const MAX_SIGNAL_PAUSE: Micros = 60_000;
const POLL_INTERVAL: Micros = 5_000;

/// The cluster of one run.
pub(super) struct SoakCluster {
    pub(super) runtime: RuntimeRef,
    pub(super) log: ObservationLog,
    engines: Vec<PlatformEngine>,
    links: Vec<Link>,
    discovery: Discovery,
    /// Two discovery addresses for each node. Each reload of its configuration switches to the other one.
    discovery_addresses: Vec<[SocketAddr; 2]>,
    files: Vec<NodeFiles>,
    nodes: Mutex<Vec<Option<NodeProcess>>>,
    pub(super) addresses: Mutex<Vec<Option<SocketAddr>>>,
    seed: u64,
    pub(super) clients_stop: AtomicBool,
    /// Each running session holds a clone.
    pub(super) sessions: Arc<()>,
    pub(super) burst: AtomicBool,
    pub(super) clients_disconnect: AtomicBool,
    pub(super) half_requests: AtomicBool,
    pub(super) answers: Mutex<BTreeMap<(u16, bool), u64>>,
    /// Invariant violations in the logs of nodes that have ended, and how often each system call fault occurred there.
    violations: AtomicU64,
    hits: Mutex<BTreeMap<SystemFault, u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SoakCluster {
    /// Starts engines, links, discovery and nodes.
    pub(super) fn start(
        runtime: &RuntimeRef,
        (daemon, dir): (&Path, &Path),
        nodes: usize,
        seed: u64,
    ) -> Result<Arc<SoakCluster>, SoakError> {
        let log = ObservationLog::default();
        let platform = Arc::new(Platform::default());
        let count = (nodes * 2).max(6);
        let (mut engines, mut links, mut entries) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count {
            let reads = index % 2 == 0;
            let work = if reads { PREFILL_TIME } else { DECODE_TIME };
            let started = PlatformEngine::start(runtime, &log, &platform, (index, reads, work));
            let (engine, address) = started.map_err(SoakError::io("start an engine"))?;
            let link = Link::new(&log, index);
            let near = link
                .serve(runtime, address)
                .map_err(SoakError::io("start a link's relay"))?;
            entries.push(entry(index, reads, near));
            engines.push(engine);
            links.push(link);
        }
        let discovery = Discovery::new(entries);
        let (mut discovery_addresses, mut files) = (Vec::new(), Vec::new());
        for index in 0..nodes {
            let serve = || {
                discovery
                    .serve(runtime, &log, index)
                    .map_err(SoakError::io("start discovery"))
            };
            discovery_addresses.push([serve()?, serve()?]);
            files.push(NodeFiles {
                daemon: daemon.to_owned(),
                dir: dir.to_owned(),
                index,
            });
        }
        let cluster = Arc::new(SoakCluster {
            runtime: runtime.clone(),
            log,
            engines,
            links,
            discovery,
            discovery_addresses,
            files,
            nodes: Mutex::new((0..nodes).map(|_| None).collect()),
            addresses: Mutex::new(vec![None; nodes]),
            seed,
            clients_stop: AtomicBool::new(false),
            sessions: Arc::default(),
            burst: AtomicBool::new(false),
            clients_disconnect: AtomicBool::new(false),
            half_requests: AtomicBool::new(false),
            answers: Mutex::default(),
            violations: AtomicU64::new(0),
            hits: Mutex::default(),
        });
        for node in 0..nodes {
            cluster.start_node(node, 0)?;
        }
        Ok(cluster)
    }

    /// Returns whether a client's session still runs.
    pub(super) fn has_sessions(&self) -> bool {
        Arc::strong_count(&self.sessions) > 1
    }

    pub(super) fn count_answer(&self, status: u16, whole: bool) {
        *lock(&self.answers).entry((status, whole)).or_default() += 1;
    }

    fn start_node(&self, node: usize, address_index: usize) -> Result<(), SoakError> {
        let text = configuration(
            node,
            self.files.len(),
            self.discovery_addresses[node][address_index],
            &self.discovery.list_json(),
        );
        self.files[node].configure(&text)?;
        let process = NodeProcess::start(&self.files[node], self.seed ^ node as u64)?;
        lock(&self.addresses)[node] = Some(process.address);
        lock(&self.nodes)[node] = Some(process);
        Ok(())
    }

    /// Removes a node's process and its address, so that clients no longer connect to it.
    fn take_node(&self, node: usize) -> Option<NodeProcess> {
        lock(&self.addresses)[node] = None;
        lock(&self.nodes)[node].take()
    }

    fn add_counts(&self, process: &NodeProcess) {
        self.violations
            .fetch_add(process.violations(), Ordering::SeqCst);
        let mut hits = lock(&self.hits);
        for (fault, count) in process.hits() {
            *hits.entry(fault).or_default() += count;
        }
    }

    fn with_node(&self, node: usize, act: impl FnOnce(&NodeProcess)) {
        if let Some(process) = lock(&self.nodes)[node].as_ref() {
            act(process);
        }
    }

    /// Records nodes whose processes ended without a signal from the harness.
    pub(super) fn detect_crashes(&self) {
        let mut nodes = lock(&self.nodes);
        for (node, process) in nodes.iter_mut().enumerate() {
            if process.as_mut().is_some_and(|p| p.ended().is_some()) {
                *process = None;
                self.log
                    .add(self.runtime.now(), Observation::NodeCrashed { node });
            }
        }
    }

    /// Terminates all nodes at the same time (SIGTERM). Returns the number of invariant violations and how often each system
    /// call fault occurred.
    pub(super) async fn stop_all_nodes(self: &Arc<Self>) -> (u64, BTreeMap<SystemFault, u64>) {
        let ends = (0..self.files.len()).map(|node| {
            let (cluster, (done, ended)) = (self.clone(), async_channel::bounded::<()>(1));
            self.runtime.run(async move {
                cluster.stop_node(node).await;
                drop(done);
            });
            ended
        });
        for ended in ends.collect::<Vec<_>>() {
            // Returns an error, and so ends, when the sender is dropped.
            let _ = ended.recv().await;
        }
        (
            self.violations.load(Ordering::SeqCst),
            lock(&self.hits).clone(),
        )
    }

    /// Sends SIGTERM, in some cases between other signals, and SIGKILL if the node does not end in time. Clients continue to
    /// use their open connections.
    async fn stop_node(&self, node: usize) {
        let taken = lock(&self.nodes)[node].take();
        let Some(mut process) = taken else { return };
        if self.runtime.random() % 2 == 0 {
            process.signal(Signal::HUP);
            self.pause_between_signals().await;
        }
        process.signal(Signal::TERM);
        self.log
            .add(self.runtime.now(), Observation::NodeStopRequested { node });
        let until = self.runtime.now() + STOP_LIMIT;
        if self.runtime.random() % 2 == 0 {
            self.pause_between_signals().await;
            process.signal(Signal::HUP);
            process.signal(Signal::TERM);
        }
        // New connections still arrive for a while, as from a load balancer that removes the node late.
        self.runtime.sleep(LATE_CONNECTIONS).await;
        lock(&self.addresses)[node] = None;
        while process.ended().is_none() && self.runtime.now() < until {
            self.runtime.sleep(POLL_INTERVAL).await;
        }
        let killed = process.ended().is_none();
        self.add_counts(&process);
        drop(process);
        self.log
            .add(self.runtime.now(), Observation::NodeEnded { node, killed });
    }

    async fn pause_between_signals(&self) {
        let pause = self.runtime.random() % MAX_SIGNAL_PAUSE;
        self.runtime.sleep(pause).await;
    }

    /// Injects a fault, waits for its duration and ends it.
    pub(super) async fn inject(self: Arc<Self>, fault: ScheduledFault) {
        let duration = fault.duration_ms * 1_000;
        let (node, engine) = (
            fault.target % self.files.len(),
            fault.target % self.engines.len(),
        );
        match fault.kind {
            FaultKind::NodePaused
            | FaultKind::NodeRestart
            | FaultKind::NodeKilled
            | FaultKind::NodeReload => {
                self.inject_node_fault(fault.kind, node, duration).await;
            }
            FaultKind::Interrupted => {
                let calls = [
                    SystemFault::ReceiveInterrupted,
                    SystemFault::SendInterrupted,
                ];
                self.fail_system_calls(node, &calls, HIGH_FAULT_RATE, duration)
                    .await;
            }
            FaultKind::ShortCalls => {
                let calls = [SystemFault::ReceiveShort, SystemFault::SendShort];
                self.fail_system_calls(node, &calls, HIGH_FAULT_RATE, duration)
                    .await;
            }
            FaultKind::AcceptFails => {
                let calls = [
                    SystemFault::AcceptAborted,
                    SystemFault::AcceptNoDescriptor,
                    SystemFault::AcceptNoBuffers,
                ];
                self.fail_system_calls(node, &calls, 5 * HIGH_FAULT_RATE, duration)
                    .await;
            }
            FaultKind::ConnectionsBreak => {
                let calls = [SystemFault::ReceiveTimedOut, SystemFault::SendUnreachable];
                let mark = |on| {
                    self.log.add(
                        self.runtime.now(),
                        Observation::ConnectionFaults { node, on },
                    )
                };
                mark(true);
                self.fail_system_calls(node, &calls, LOW_FAULT_RATE, duration)
                    .await;
                mark(false);
            }
            FaultKind::ClockAhead => self.offset_clock(node, HOUR, duration).await,
            FaultKind::ClockBehind => self.offset_clock(node, -HOUR, duration).await,
            FaultKind::Burst => self.set_flag_for(&self.burst, duration).await,
            FaultKind::ClientsDisconnect => {
                self.set_flag_for(&self.clients_disconnect, duration).await
            }
            FaultKind::HalfRequests => self.set_flag_for(&self.half_requests, duration).await,
            FaultKind::Crowd => clients::crowd(&self, node, duration).await,
            FaultKind::DiscoveryUnresponsive => {
                self.discovery.set_unresponsive(true);
                self.runtime.sleep(duration).await;
                self.discovery.set_unresponsive(false);
            }
            FaultKind::WatchReset => self.discovery.reset_watches(),
            FaultKind::OpenConnectionsSilent
            | FaultKind::BytesLost
            | FaultKind::NewConnectionsSilent
            | FaultKind::RoleHangs => {
                let is_prefill = fault.target % 2 == 0;
                self.inject_role_fault(fault.kind, is_prefill, duration)
                    .await;
            }
            kind => self.inject_engine_fault(kind, engine, duration).await,
        }
    }

    /// Injects a fault into all engines of one role, or their links.
    async fn inject_role_fault(&self, kind: FaultKind, is_prefill: bool, duration: Micros) {
        let of_role = |(engine, _): &(&PlatformEngine, &Link)| engine.is_prefill() == is_prefill;
        let (engines, links): (Vec<_>, Vec<_>) =
            self.engines.iter().zip(&self.links).filter(of_role).unzip();
        match kind {
            FaultKind::OpenConnectionsSilent => {
                links
                    .iter()
                    .for_each(|link| link.silence_open_connections());
            }
            FaultKind::BytesLost => self.lose_bytes(&links, duration).await,
            FaultKind::NewConnectionsSilent => {
                let set = |percent| move |link: &&Link| link.set_silent_new_percent(percent);
                links.iter().for_each(set(SILENT_NEW_PERCENT));
                self.runtime.sleep(duration).await;
                links.iter().for_each(set(0));
            }
            _ => {
                let hanging = &engines[..engines.len() * 4 / 5];
                let set =
                    |hung| move |engine: &&PlatformEngine| engine.set_faults(|t| t.hung = hung);
                hanging.iter().for_each(set(true));
                self.runtime.sleep(duration).await;
                hanging.iter().for_each(set(false));
            }
        }
    }

    async fn lose_bytes(&self, links: &[&Link], duration: Micros) {
        let until = self.runtime.now() + duration;
        while self.runtime.now() < until {
            links.iter().for_each(|link| link.set_loses_bytes(true));
            self.runtime.sleep(BYTES_LOST_TIME).await;
            links.iter().for_each(|link| link.set_loses_bytes(false));
            self.runtime
                .sleep(BYTES_LOST_PERIOD - BYTES_LOST_TIME)
                .await;
        }
    }

    async fn inject_node_fault(&self, kind: FaultKind, node: usize, duration: Micros) {
        match kind {
            FaultKind::NodeRestart => {
                self.stop_node(node).await;
                self.restart_node(node).await;
            }
            FaultKind::NodeKilled => {
                let Some(process) = self.take_node(node) else {
                    return;
                };
                self.add_counts(&process);
                self.log.add(
                    self.runtime.now(),
                    Observation::NodeEnded { node, killed: true },
                );
                drop(process);
                self.runtime.sleep(duration).await;
                self.restart_node(node).await;
            }
            FaultKind::NodeReload => {
                for address_index in [1, 0] {
                    let address = self.discovery_addresses[node][address_index];
                    let text =
                        configuration(node, self.files.len(), address, &self.discovery.list_json());
                    if self.files[node].configure(&text).is_ok() {
                        self.with_node(node, |process| process.signal(Signal::HUP));
                    }
                    self.runtime.sleep(POLL_INTERVAL).await;
                }
            }
            _ => {
                let until = self.runtime.now() + duration;
                while self.runtime.now() < until {
                    let pause =
                        PAUSE_RANGE.0 + self.runtime.random() % (PAUSE_RANGE.1 - PAUSE_RANGE.0);
                    self.with_node(node, |process| process.signal(Signal::STOP));
                    self.runtime.sleep(pause).await;
                    self.with_node(node, |process| process.signal(Signal::CONT));
                    self.runtime.sleep(2 * pause).await;
                }
            }
        }
    }

    async fn restart_node(&self, node: usize) {
        if self.clients_stop.load(Ordering::SeqCst) || lock(&self.nodes)[node].is_some() {
            return;
        }
        if self.start_node(node, 0).is_err() {
            self.log
                .add(self.runtime.now(), Observation::NodeCrashed { node });
        }
    }

    async fn fail_system_calls(
        &self,
        node: usize,
        calls: &[SystemFault],
        rate: u64,
        duration: Micros,
    ) {
        for rate in [rate, 0] {
            self.with_node(node, |process| {
                for fault in calls {
                    // The control file belongs to this run; on an error the fault is left out.
                    let _ = process.control.set_rate(*fault, rate);
                }
            });
            if rate > 0 {
                self.runtime.sleep(duration).await;
            }
        }
    }

    async fn offset_clock(&self, node: usize, offset: i64, duration: Micros) {
        for offset in [offset, 0] {
            self.with_node(node, |process| {
                let _ = process.control.set_wall_clock_offset(offset);
            });
            if offset != 0 {
                self.runtime.sleep(duration).await;
            }
        }
    }

    async fn set_flag_for(&self, flag: &AtomicBool, duration: Micros) {
        flag.store(true, Ordering::SeqCst);
        self.runtime.sleep(duration).await;
        flag.store(false, Ordering::SeqCst);
    }

    async fn inject_engine_fault(&self, kind: FaultKind, index: usize, duration: Micros) {
        let (engine, link) = (&self.engines[index], &self.links[index]);
        let cut = |cut| {
            link.set_cut(cut);
            self.log.add(
                self.runtime.now(),
                Observation::LinkCut { engine: index, cut },
            );
        };
        match kind {
            FaultKind::EngineCrash => engine.set_faults(|t| t.down = true),
            FaultKind::EngineHang => engine.set_faults(|t| t.hung = true),
            FaultKind::EngineRejects => engine.set_faults(|t| t.rejects_requests = true),
            FaultKind::EngineSlow => engine.set_faults(|t| t.slowdown = SLOW_FACTOR),
            FaultKind::StreamsReset => {
                engine.set_faults(|t| t.broken_stream_percent = BREAKS_PERCENT)
            }
            FaultKind::LinkCut => cut(true),
            FaultKind::LinkReset => {
                self.log
                    .add(self.runtime.now(), Observation::LinkReset { engine: index });
                link.reset();
            }
            FaultKind::EngineDrain => {
                self.log.add(
                    self.runtime.now(),
                    Observation::DrainStarted { engine: index },
                );
                self.discovery
                    .update_engine(index, |entry| entry.state = "draining");
            }
            _ => {}
        }
        self.runtime.sleep(duration).await;
        match kind {
            FaultKind::EngineCrash => {
                let started_ms = self.runtime.unix_micros() / 1_000;
                self.discovery
                    .update_engine(index, |entry| entry.started_ms = started_ms);
                engine.set_faults(|t| t.down = false);
            }
            FaultKind::LinkCut => cut(false),
            FaultKind::EngineDrain => {
                self.discovery
                    .update_engine(index, |entry| entry.state = "up");
                self.log.add(
                    self.runtime.now(),
                    Observation::DrainEnded { engine: index },
                );
            }
            FaultKind::EngineHang => engine.set_faults(|t| t.hung = false),
            FaultKind::EngineRejects => engine.set_faults(|t| t.rejects_requests = false),
            FaultKind::EngineSlow => engine.set_faults(|t| t.slowdown = 1.0),
            FaultKind::StreamsReset => engine.set_faults(|t| t.broken_stream_percent = 0),
            _ => {}
        }
    }
}

fn entry(index: usize, reads: bool, near: SocketAddr) -> Entry {
    Entry {
        id: format!("s-{index}"),
        address: near.to_string(),
        zone: "a".into(),
        machine_type: if reads { "prefill" } else { "decode" }.into(),
        rack: (index / 4) as u16,
        state: "up",
        weight: 1.0,
        started_ms: 0,
    }
}

/// The limits in the nodes' configuration that the oracle checks.
pub(super) const LIMITS: super::oracle::Limits = super::oracle::Limits {
    release_within: 300_000,
    drain_grace: 1_000_000,
    deduplication_window: 1_500_000,
};

fn configuration(node: usize, nodes: usize, discovery: SocketAddr, known_engines: &str) -> String {
    let class = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","semantics":"{semantics}","target_us":800000,"deadline_us":2500000,"importance":2.0,
            "late_share":0.1,"key_ttl_us":{},"group":"all","streamed":true}}"#,
            LIMITS.deduplication_window
        )
    };
    let classes = [
        class("draft", "retryable"),
        class("once", "dedup"),
        class("send", "fragile"),
    ]
    .join(",");
    format!(
        r#"{{"name":"n{node}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{node:x}",
        "limits":{{"memory_mb":64,"sockets":512}},"known":{known_engines},
        "settings":{{"balancers":{nodes},"zone":0,"failure_domains":["a"],"host_types":["prefill","decode"],
        "family_info":{{"kind_role":["read","write"],"local_read":false,"early_pairing":true,"let_go_by_us":{},
          "memory_tokens":[250000,150000]}},
        "classes":[{classes}],
        "guarantees":{{"drain_grace_us":{},"fall_multiple":2.5,"fall_us":3000000,"start_capacity":0.4,"warm_after_us":10000000}},
        "limits":{{"may_cancel":true,"probes":true,"try_limit":5,"retry_after":true,"max_retry_after_us":2000000,
          "keepalive_us":15000000,"dial_timeout_us":250000,"max_open":20000}},"discovery":"automatic"}}}}"#,
        LIMITS.release_within, LIMITS.drain_grace
    )
}
