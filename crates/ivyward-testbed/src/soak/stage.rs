//! The parties of one soak run, and how troubles begin and end at them.

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

/// How long a read takes, and an answer to its first event.
const READ: Micros = 25_000;
const WRITE: Micros = 35_000;
/// Calls in a million that meet a fault.
const OFTEN: u64 = 20_000;
const SOMETIMES: u64 = 2_000;
const HOUR: i64 = 3_600_000_000;
/// A node stands still for so long at a time.
const HELD_UP: (Micros, Micros) = (10_000, 140_000);
const SLOWER: f64 = 5.0;
const BREAKS_PERCENT: u64 = 60;
/// After the word to end a node has its clients' patience and this, in microseconds, before it is killed.
const STOP_LIMIT: Micros = 4_000_000;
/// Clients go on connecting to a node for so long after it was told to end.
const FRONT_LEARNS: Micros = 300_000;
const LOOK: Micros = 5_000;

/// Everything of one run.
pub(super) struct Stage {
    pub(super) runtime: RuntimeRef,
    pub(super) log: ObservationLog,
    engines: Vec<PlatformEngine>,
    links: Vec<Link>,
    discovery: Discovery,
    /// Two addresses of discovery for each node: a new configuration names the other one.
    agents: Vec<[SocketAddr; 2]>,
    files: Vec<NodeFiles>,
    nodes: Mutex<Vec<Option<NodeProcess>>>,
    pub(super) addresses: Mutex<Vec<Option<SocketAddr>>>,
    seed: u64,
    pub(super) over: AtomicBool,
    pub(super) burst: AtomicBool,
    pub(super) clients_leave: AtomicBool,
    pub(super) half_requests: AtomicBool,
    pub(super) answers: Mutex<BTreeMap<(u16, bool), u64>>,
    /// Invariants that did not hold at nodes that have ended, and how often each fault took place there.
    violations: AtomicU64,
    hits: Mutex<BTreeMap<SystemFault, u64>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stage {
    /// Starts engines, links, discovery and nodes.
    pub(super) fn start(
        runtime: &RuntimeRef,
        (daemon, folder): (&Path, &Path),
        nodes: usize,
        seed: u64,
    ) -> Result<Arc<Stage>, SoakError> {
        let log = ObservationLog::default();
        let platform = Arc::new(Platform::default());
        let count = (nodes * 2).max(6);
        let (mut engines, mut links, mut entries) = (Vec::new(), Vec::new(), Vec::new());
        for index in 0..count {
            let reads = index % 2 == 0;
            let work = if reads { READ } else { WRITE };
            let started = PlatformEngine::start(runtime, &log, &platform, (index, reads, work));
            let (engine, address) = started.map_err(SoakError::io("an engine"))?;
            let link = Link::default();
            let near = link
                .serve(runtime, address)
                .map_err(SoakError::io("a link"))?;
            entries.push(entry(index, reads, near));
            engines.push(engine);
            links.push(link);
        }
        let discovery = Discovery::new(entries);
        let (mut agents, mut files) = (Vec::new(), Vec::new());
        for index in 0..nodes {
            let agent = || {
                discovery
                    .serve(runtime, &log, index)
                    .map_err(SoakError::io("discovery"))
            };
            agents.push([agent()?, agent()?]);
            files.push(NodeFiles {
                daemon: daemon.to_owned(),
                folder: folder.to_owned(),
                index,
            });
        }
        let stage = Arc::new(Stage {
            runtime: runtime.clone(),
            log,
            engines,
            links,
            discovery,
            agents,
            files,
            nodes: Mutex::new((0..nodes).map(|_| None).collect()),
            addresses: Mutex::new(vec![None; nodes]),
            seed,
            over: AtomicBool::new(false),
            burst: AtomicBool::new(false),
            clients_leave: AtomicBool::new(false),
            half_requests: AtomicBool::new(false),
            answers: Mutex::default(),
            violations: AtomicU64::new(0),
            hits: Mutex::default(),
        });
        for node in 0..nodes {
            stage.start_node(node, 0)?;
        }
        Ok(stage)
    }

    pub(super) fn count(&self, status: u16, whole: bool) {
        *lock(&self.answers).entry((status, whole)).or_default() += 1;
    }

    fn start_node(&self, node: usize, agent: usize) -> Result<(), SoakError> {
        let text = configuration(
            node,
            self.files.len(),
            self.agents[node][agent],
            &self.discovery.list_json(),
        );
        self.files[node].configure(&text)?;
        let process = NodeProcess::start(&self.files[node], self.seed ^ node as u64)?;
        lock(&self.addresses)[node] = Some(process.address);
        lock(&self.nodes)[node] = Some(process);
        Ok(())
    }

    /// Takes a node's process out, with what it counted. Nobody connects to it from now on.
    fn take_node(&self, node: usize) -> Option<NodeProcess> {
        lock(&self.addresses)[node] = None;
        lock(&self.nodes)[node].take()
    }

    fn keep_counts(&self, process: &NodeProcess) {
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

    /// Finds nodes that ended by themselves.
    pub(super) fn look_for_crashes(&self) {
        let mut nodes = lock(&self.nodes);
        for (node, process) in nodes.iter_mut().enumerate() {
            if process.as_mut().is_some_and(|p| p.ended().is_some()) {
                *process = None;
                self.log
                    .add(self.runtime.now(), Observation::NodeCrashed { node });
            }
        }
    }

    /// Ends all nodes by SIGTERM, at once; what they counted: violations, and how often each fault took place.
    pub(super) async fn end(self: &Arc<Self>) -> (u64, BTreeMap<SystemFault, u64>) {
        let ends = (0..self.files.len()).map(|node| {
            let (stage, (done, ended)) = (self.clone(), async_channel::bounded::<()>(1));
            self.runtime.run(async move {
                stage.stop_node(node).await;
                drop(done);
            });
            ended
        });
        for ended in ends.collect::<Vec<_>>() {
            // Ends when the sender is dropped.
            let _ = ended.recv().await;
        }
        (
            self.violations.load(Ordering::SeqCst),
            lock(&self.hits).clone(),
        )
    }

    /// SIGTERM, and SIGKILL where that is not heeded in time. Clients go on with the connections that they have.
    async fn stop_node(&self, node: usize) {
        let taken = lock(&self.nodes)[node].take();
        let Some(mut process) = taken else { return };
        process.signal(Signal::TERM);
        self.log
            .add(self.runtime.now(), Observation::NodeStopRequested { node });
        let until = self.runtime.now() + STOP_LIMIT;
        // The front learns of it late: new connections come for a while.
        self.runtime.sleep(FRONT_LEARNS).await;
        lock(&self.addresses)[node] = None;
        while process.ended().is_none() && self.runtime.now() < until {
            self.runtime.sleep(LOOK).await;
        }
        let killed = process.ended().is_none();
        self.keep_counts(&process);
        drop(process);
        self.log
            .add(self.runtime.now(), Observation::NodeEnded { node, killed });
    }

    /// Plays one trouble from its beginning to its end.
    pub(super) async fn trouble(self: Arc<Self>, trouble: ScheduledFault) {
        let span = trouble.duration_ms * 1_000;
        let (node, engine) = (
            trouble.target % self.files.len(),
            trouble.target % self.engines.len(),
        );
        match trouble.kind {
            FaultKind::NodePaused
            | FaultKind::NodeRestart
            | FaultKind::NodeKilled
            | FaultKind::NodeReload => {
                self.node_trouble(trouble.kind, node, span).await;
            }
            FaultKind::Interrupted => {
                let calls = [
                    SystemFault::ReceiveInterrupted,
                    SystemFault::SendInterrupted,
                ];
                self.calls_fail(node, &calls, OFTEN, span).await;
            }
            FaultKind::ShortCalls => {
                let calls = [SystemFault::ReceiveShort, SystemFault::SendShort];
                self.calls_fail(node, &calls, OFTEN, span).await;
            }
            FaultKind::AcceptFails => {
                let calls = [
                    SystemFault::AcceptAborted,
                    SystemFault::AcceptNoDescriptor,
                    SystemFault::AcceptNoBuffers,
                ];
                self.calls_fail(node, &calls, 5 * OFTEN, span).await;
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
                self.calls_fail(node, &calls, SOMETIMES, span).await;
                mark(false);
            }
            FaultKind::ClockAhead => self.clock(node, HOUR, span).await,
            FaultKind::ClockBehind => self.clock(node, -HOUR, span).await,
            FaultKind::Burst => self.flag(&self.burst, span).await,
            FaultKind::ClientsDisconnect => self.flag(&self.clients_leave, span).await,
            FaultKind::HalfRequests => self.flag(&self.half_requests, span).await,
            FaultKind::DiscoveryUnresponsive => {
                self.discovery.set_unresponsive(true);
                self.runtime.sleep(span).await;
                self.discovery.set_unresponsive(false);
            }
            FaultKind::WatchReset => self.discovery.reset_watches(),
            kind => self.engine_trouble(kind, engine, span).await,
        }
    }

    async fn node_trouble(&self, kind: FaultKind, node: usize, span: Micros) {
        match kind {
            FaultKind::NodeRestart => {
                self.stop_node(node).await;
                self.start_again(node).await;
            }
            FaultKind::NodeKilled => {
                let Some(process) = self.take_node(node) else {
                    return;
                };
                self.keep_counts(&process);
                self.log.add(
                    self.runtime.now(),
                    Observation::NodeEnded { node, killed: true },
                );
                drop(process);
                self.runtime.sleep(span).await;
                self.start_again(node).await;
            }
            FaultKind::NodeReload => {
                for agent in [1, 0] {
                    let agent = self.agents[node][agent];
                    let text =
                        configuration(node, self.files.len(), agent, &self.discovery.list_json());
                    if self.files[node].configure(&text).is_ok() {
                        self.with_node(node, |process| process.signal(Signal::HUP));
                    }
                    self.runtime.sleep(LOOK).await;
                }
            }
            _ => {
                let until = self.runtime.now() + span;
                while self.runtime.now() < until {
                    let still = HELD_UP.0 + self.runtime.random() % (HELD_UP.1 - HELD_UP.0);
                    self.with_node(node, |process| process.signal(Signal::STOP));
                    self.runtime.sleep(still).await;
                    self.with_node(node, |process| process.signal(Signal::CONT));
                    self.runtime.sleep(2 * still).await;
                }
            }
        }
    }

    async fn start_again(&self, node: usize) {
        if self.over.load(Ordering::SeqCst) || lock(&self.nodes)[node].is_some() {
            return;
        }
        if self.start_node(node, 0).is_err() {
            self.log
                .add(self.runtime.now(), Observation::NodeCrashed { node });
        }
    }

    async fn calls_fail(&self, node: usize, calls: &[SystemFault], rate: u64, span: Micros) {
        for rate in [rate, 0] {
            self.with_node(node, |process| {
                for fault in calls {
                    // The file is the run's own and small; an error leaves the fault out.
                    let _ = process.control.set_rate(*fault, rate);
                }
            });
            if rate > 0 {
                self.runtime.sleep(span).await;
            }
        }
    }

    async fn clock(&self, node: usize, offset: i64, span: Micros) {
        for offset in [offset, 0] {
            self.with_node(node, |process| {
                let _ = process.control.set_wall_clock_offset(offset);
            });
            if offset != 0 {
                self.runtime.sleep(span).await;
            }
        }
    }

    async fn flag(&self, flag: &AtomicBool, span: Micros) {
        flag.store(true, Ordering::SeqCst);
        self.runtime.sleep(span).await;
        flag.store(false, Ordering::SeqCst);
    }

    async fn engine_trouble(&self, kind: FaultKind, index: usize, span: Micros) {
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
            FaultKind::EngineSlow => engine.set_faults(|t| t.slowdown = SLOWER),
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
        self.runtime.sleep(span).await;
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

/// What is held is let go of within this span, a drain has this grace, and repeats are dropped for this window.
pub(super) const LIMITS: super::oracle::Limits = super::oracle::Limits {
    release_within: 300_000,
    drain_grace: 1_000_000,
    deduplication_window: 1_500_000,
};

fn configuration(node: usize, nodes: usize, discovery: SocketAddr, known: &str) -> String {
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
        "limits":{{"memory_mb":64,"sockets":512}},"known":{known},
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
