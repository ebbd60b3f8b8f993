//! The program of a stub process: runs nodes, engines or a store, and carries out the commands that it reads from standard
//! input until end of file.

use crate::local_cluster::classes;
use crate::registration;
use crate::scale::message::{Reply, Role, StubCommand};
use crate::scale::usage::{Counters, PartCounters};
use crate::scale::ScaleError;
use ivyward::watcher::{EtcdOptions, WatcherOptions};
use ivyward::{Class, Node, NodeSettings, PeerOptions, PeerStore, Tenant};
use ivyward_fakes::engine::{Kill, SharedRuntime};
use ivyward_fakes::etcd::Store;
use ivyward_fakes::{Engine, EngineSpec, EventLog, Host, Role as EngineRole};
use ivyward_runtime::{metered, Meter, RuntimeExt, RuntimeRef, SmolRuntime};
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of threads of a stub process.
const THREADS: usize = 2;
/// Lease of the records of engines and nodes, in seconds: how long a record remains after its owner has ended.
pub const LEASE: i64 = 10;
/// Percentage of engines that are prefill engines: the share that the operators plan for.
const PREFILL_PERCENT: u64 = 35;
/// Time between two output tokens of an engine, in microseconds: the 26 ms of the planned deployment.
const TOKEN_INTERVAL_US: u64 = 26_000;

/// Starts each fake process on a runtime with threads of its own, so that the store can crash and restart. One meter
/// counts the traffic of all of them.
struct MeteredThreads(Arc<Meter>);

impl Host for MeteredThreads {
    fn process(&self, seed: u64) -> (RuntimeRef, Kill) {
        let smol = SmolRuntime::start(THREADS, seed);
        let plain: RuntimeRef = smol.clone();
        (metered(&plain, &self.0), Box::new(move || smol.stop()))
    }
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Specification of a stub engine: its role and speeds.
pub fn spec(id: u64) -> EngineSpec {
    let is_prefill = id * PREFILL_PERCENT / 100 != (id + 1) * PREFILL_PERCENT / 100;
    let role = if is_prefill {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    };
    EngineSpec {
        prefill_rate: 40_000.0,
        kv_fetch_rate: 400_000.0,
        token_interval: TOKEN_INTERVAL_US,
        ..EngineSpec::small(id, role)
    }
}

/// Returns `count` tenants without quotas.
pub fn tenants(count: u64) -> Vec<Tenant> {
    let tenant = |i| Tenant {
        name: format!("tenant-{i}"),
        settings: ivyward::core::interface::TenantSettings { quota_per_s: None },
    };
    (0..count).map(tenant).collect()
}

/// Returns `count` request classes with the settings of the first class of [`classes`].
pub fn request_classes(count: u64) -> Vec<Class> {
    let Some(template) = classes().into_iter().next() else {
        return Vec::new();
    };
    (0..count)
        .map(|i| Class {
            name: format!("class-{i}"),
            settings: template.settings.clone(),
        })
        .collect()
}

/// What the process runs.
enum Workload {
    Store(Box<Store>),
    /// Never read: the engines stop when they are dropped.
    Engines(#[allow(dead_code)] Vec<Engine>),
    Nodes(Vec<Node>),
}

/// Runs a stub process until its standard input ends.
///
/// # Errors
/// When the store, an engine or a node cannot be started.
pub fn run(role: Role) -> Result<(), ScaleError> {
    let smol = SmolRuntime::start(THREADS, u64::from(std::process::id()));
    let (plain, meter): (RuntimeRef, Arc<Meter>) = (smol.clone(), Arc::default());
    let runtime = metered(&plain, &meter);
    let mut workload = start_workload(role, &runtime, &meter)?;
    write_reply(&Reply::Ready(match &workload {
        Workload::Store(store) => Some(store.address()),
        _ => None,
    }));
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let reply = match serde_json::from_str::<StubCommand>(&line) {
            Ok(command) => smol.block_on(execute(&mut workload, command, &meter, &runtime)),
            Err(e) => Reply::Failed(format!("malformed command {line:?}: {e}")),
        };
        write_reply(&reply);
    }
    Ok(())
}

fn write_reply(reply: &Reply) {
    let mut out = std::io::stdout().lock();
    // Write errors are ignored: the run may have ended already, and then this process ends at the end of its input.
    let _ = serde_json::to_writer(&mut out, reply);
    let _ = writeln!(out);
    let _ = out.flush();
}

fn start_workload(
    role: Role,
    runtime: &RuntimeRef,
    meter: &Arc<Meter>,
) -> Result<Workload, ScaleError> {
    match role {
        Role::Store => {
            let host: Arc<dyn Host> = Arc::new(MeteredThreads(meter.clone()));
            let store = Store::start(&host, 1).map_err(ScaleError::io("starting the store"))?;
            Ok(Workload::Store(Box::new(store)))
        }
        Role::Engines {
            first,
            count,
            store,
        } => {
            let host: Arc<dyn Host> = Arc::new(SharedRuntime(runtime.clone()));
            let log = EventLog::without_entries(runtime);
            let mut engines = Vec::new();
            for id in first..first + count {
                let engine = Engine::start(&host, &log, spec(id));
                let engine = engine.map_err(ScaleError::io(format!("starting engine {id}")))?;
                registration::keep_registered(&engine, vec![store], LEASE, 0, |_| {});
                engines.push(engine);
            }
            Ok(Workload::Engines(engines))
        }
        Role::Nodes {
            first,
            count,
            store,
            tenants,
            classes,
        } => {
            let start = |number| node(runtime, number, store, (tenants, classes));
            Ok(Workload::Nodes(
                (first..first + count)
                    .map(start)
                    .collect::<Result<_, _>>()?,
            ))
        }
    }
}

/// Starts a node that serves no requests.
fn node(
    runtime: &RuntimeRef,
    number: u64,
    store: SocketAddr,
    (tenant_count, class_count): (u64, u64),
) -> Result<Node, ScaleError> {
    let failed =
        |e: &dyn std::fmt::Display| ScaleError::Process(format!("starting node {number}: {e}"));
    let settings = NodeSettings {
        seed: number,
        classes: request_classes(class_count),
        tenants: tenants(tenant_count),
        ..NodeSettings::default()
    };
    let node = Node::start(runtime.clone(), settings, None).map_err(|e| failed(&e))?;
    let watcher_options = WatcherOptions {
        endpoints: vec![store],
        ..WatcherOptions::default()
    };
    let watching_node = node.clone();
    runtime.run(async move { watching_node.watch_endpoints(watcher_options).await });
    let peer_store = PeerStore {
        endpoints: vec![store],
        prefix: ivyward::peers::DEFAULT_NODE_PREFIX.into(),
        lease_seconds: LEASE,
        etcd: EtcdOptions::default(),
    };
    let name = Some(format!("hollow-{number}"));
    let options = PeerOptions {
        name,
        store: Some(peer_store),
        ..PeerOptions::new(local())
    };
    node.start_peers(options).map_err(|e| failed(&e))?;
    Ok(node)
}

async fn execute(
    workload: &mut Workload,
    command: StubCommand,
    meter: &Meter,
    runtime: &RuntimeRef,
) -> Reply {
    match (command, workload) {
        (StubCommand::ReadCounters, Workload::Nodes(nodes)) => Reply::Counted(node_counters(nodes)),
        (StubCommand::ReadCounters, _) => {
            Reply::Counted([("all".to_owned(), meter.usage().into())].into())
        }
        (StubCommand::Connect(most), Workload::Nodes(nodes)) => {
            let mut each = Vec::new();
            for node in nodes {
                each.push(node.open_connections(most as usize).await as u64);
            }
            Reply::PerNode(each)
        }
        (StubCommand::KnownEngines, Workload::Nodes(nodes)) => Reply::PerNode(
            nodes
                .iter()
                .map(|node| node.metrics().engines.get())
                .collect(),
        ),
        (StubCommand::ListRevision, Workload::Nodes(nodes)) => Reply::PerNode(
            nodes
                .iter()
                .map(|node| node.metrics().list_revision.get())
                .collect(),
        ),
        (StubCommand::ListRevision, Workload::Store(store)) => {
            Reply::PerNode(vec![store.revision().unsigned_abs()])
        }
        (StubCommand::ChangeRecords(count), Workload::Store(store)) => change(store, count),
        (StubCommand::Restart, Workload::Store(store)) => {
            store.crash();
            runtime.sleep(500_000).await;
            match store.restart() {
                Ok(()) => Reply::Done,
                Err(e) => Reply::Failed(e.to_string()),
            }
        }
        (command, _) => Reply::Failed(format!(
            "a process of this role cannot carry out {command:?}"
        )),
    }
}

/// Changes the weight in `count` engine records, so that every node that watches the list is notified.
fn change(store: &Store, count: u64) -> Reply {
    let keys: Vec<String> = store
        .keys()
        .into_iter()
        .filter(|k| k.starts_with(ivyward::registration::DEFAULT_ENGINE_PREFIX))
        .collect();
    let start = store.revision() as usize;
    for i in 0..count as usize {
        let Some(key) = keys.get((start + i) % keys.len().max(1)) else {
            break;
        };
        let Some(text) = store.value(key) else {
            continue;
        };
        let Ok(mut record) = serde_json::from_str::<serde_json::Value>(&text) else {
            continue;
        };
        let weight = if record["weight"].as_f64() == Some(1.0) {
            1.25
        } else {
            1.0
        };
        record["weight"] = weight.into();
        store.put_keeping_lease(key, &record.to_string());
    }
    Reply::Done
}

/// Sums the counters of all nodes of the process.
fn node_counters(nodes: &[Node]) -> Counters {
    let mut all = Counters::new();
    for node in nodes {
        for (part, counted) in
            crate::scale::usage::counters(&node.metrics().text(node.open_requests()))
        {
            let sum: &mut PartCounters = all.entry(part).or_default();
            sum.bytes_in += counted.bytes_in;
            sum.bytes_out += counted.bytes_out;
            sum.messages_in += counted.messages_in;
            sum.messages_out += counted.messages_out;
            sum.busy_us += counted.busy_us;
        }
    }
    all
}
