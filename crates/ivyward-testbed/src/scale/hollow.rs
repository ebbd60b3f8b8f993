//! A hollow process: nodes, engines or a store, which do what a run says on standard input until that ends.

use crate::local_cluster::classes;
use crate::registration;
use crate::scale::message::{Order, Reply, Role};
use crate::scale::usage::{Counted, Counters};
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

/// Threads of a hollow process.
const THREADS: usize = 2;
/// Seconds that records of engines and nodes outlive them.
pub const LEASE: i64 = 10;
/// Of so many engines in a hundred, prompts are read at: the share that the operators plan for.
const PREFILL_PERCENT: u64 = 35;
/// Tokens that engines hold back between two, in microseconds: the target's 26 ms.
const TOKEN_GAP: u64 = 26_000;

/// Processes with a thread of their own each, counted together, so that the store can die and come back.
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

/// The make of a hollow engine.
pub fn spec(id: u64) -> EngineSpec {
    let reads = id * PREFILL_PERCENT / 100 != (id + 1) * PREFILL_PERCENT / 100;
    let role = if reads {
        EngineRole::Prefill
    } else {
        EngineRole::Decode
    };
    EngineSpec {
        prefill_rate: 40_000.0,
        kv_fetch_rate: 400_000.0,
        token_interval: TOKEN_GAP,
        ..EngineSpec::small(id, role)
    }
}

/// So many tenants without quotas.
pub fn tenants(count: u64) -> Vec<Tenant> {
    let tenant = |i| Tenant {
        name: format!("tenant-{i}"),
        settings: ivyward::core::interface::TenantSettings { quota_per_s: None },
    };
    (0..count).map(tenant).collect()
}

/// So many request classes, all like the first one of the scenes.
pub fn request_classes(count: u64) -> Vec<Class> {
    let Some(usual) = classes().into_iter().next() else {
        return Vec::new();
    };
    (0..count)
        .map(|i| Class {
            name: format!("class-{i}"),
            settings: usual.settings.clone(),
        })
        .collect()
}

/// What the process holds.
enum Held {
    Store(Box<Store>),
    /// Held so that they run.
    Engines(#[allow(dead_code)] Vec<Engine>),
    Nodes(Vec<Node>),
}

/// Runs a hollow process until its standard input ends.
///
/// # Errors
/// When what it is to hold does not come up.
pub fn run(role: Role) -> Result<(), ScaleError> {
    let smol = SmolRuntime::start(THREADS, u64::from(std::process::id()));
    let (plain, meter): (RuntimeRef, Arc<Meter>) = (smol.clone(), Arc::default());
    let runtime = metered(&plain, &meter);
    let mut held = hold(role, &runtime, &meter)?;
    say(&Reply::Ready(match &held {
        Held::Store(store) => Some(store.address()),
        _ => None,
    }));
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let reply = match serde_json::from_str::<Order>(&line) {
            Ok(order) => smol.block_on(obey(&mut held, order, &meter, &runtime)),
            Err(e) => Reply::Failed(format!("{line:?}: {e}")),
        };
        say(&reply);
    }
    Ok(())
}

fn say(reply: &Reply) {
    let mut out = std::io::stdout().lock();
    // The run that asked may be gone, and this process ends with its input.
    let _ = serde_json::to_writer(&mut out, reply);
    let _ = writeln!(out);
    let _ = out.flush();
}

fn hold(role: Role, runtime: &RuntimeRef, meter: &Arc<Meter>) -> Result<Held, ScaleError> {
    match role {
        Role::Store => {
            let host: Arc<dyn Host> = Arc::new(MeteredThreads(meter.clone()));
            let store = Store::start(&host, 1).map_err(ScaleError::io("starting the store"))?;
            Ok(Held::Store(Box::new(store)))
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
                registration::keep(&engine, vec![store], LEASE, 0, |_| {});
                engines.push(engine);
            }
            Ok(Held::Engines(engines))
        }
        Role::Nodes {
            first,
            count,
            store,
            tenants,
            classes,
        } => {
            let start = |number| node(runtime, number, store, (tenants, classes));
            Ok(Held::Nodes(
                (first..first + count)
                    .map(start)
                    .collect::<Result<_, _>>()?,
            ))
        }
    }
}

/// A node that takes no requests.
fn node(
    runtime: &RuntimeRef,
    number: u64,
    store: SocketAddr,
    (tenant_count, class_count): (u64, u64),
) -> Result<Node, ScaleError> {
    let failed = |e: &dyn std::fmt::Display| ScaleError::Process(format!("node {number}: {e}"));
    let settings = NodeSettings {
        seed: number,
        classes: request_classes(class_count),
        tenants: tenants(tenant_count),
        ..NodeSettings::default()
    };
    let node = Node::start(runtime.clone(), settings, None).map_err(|e| failed(&e))?;
    let follow = WatcherOptions {
        endpoints: vec![store],
        ..WatcherOptions::default()
    };
    let following = node.clone();
    runtime.run(async move { following.watch_endpoints(follow).await });
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

async fn obey(held: &mut Held, order: Order, meter: &Meter, runtime: &RuntimeRef) -> Reply {
    match (order, held) {
        (Order::Count, Held::Nodes(nodes)) => Reply::Counted(node_counters(nodes)),
        (Order::Count, _) => Reply::Counted([("all".to_owned(), meter.usage().into())].into()),
        (Order::Connect(most), Held::Nodes(nodes)) => {
            let mut each = Vec::new();
            for node in nodes {
                each.push(node.open_connections(most as usize).await as u64);
            }
            Reply::Each(each)
        }
        (Order::Known, Held::Nodes(nodes)) => Reply::Each(
            nodes
                .iter()
                .map(|node| node.metrics().engines.get())
                .collect(),
        ),
        (Order::Revision, Held::Nodes(nodes)) => Reply::Each(
            nodes
                .iter()
                .map(|node| node.metrics().list_revision.get())
                .collect(),
        ),
        (Order::Revision, Held::Store(store)) => Reply::Each(vec![store.revision().unsigned_abs()]),
        (Order::Change(count), Held::Store(store)) => change(store, count),
        (Order::Restart, Held::Store(store)) => {
            store.crash();
            runtime.sleep(500_000).await;
            match store.restart() {
                Ok(()) => Reply::Done,
                Err(e) => Reply::Failed(e.to_string()),
            }
        }
        (order, _) => Reply::Failed(format!("{order:?} is not for this process")),
    }
}

/// Writes engines' records anew with another weight, which is a change that every node hears of.
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

/// The counters of all nodes of a process together.
fn node_counters(nodes: &[Node]) -> Counters {
    let mut all = Counters::new();
    for node in nodes {
        for (part, counted) in
            crate::scale::usage::counters(&node.metrics().text(node.open_requests()))
        {
            let sum: &mut Counted = all.entry(part).or_default();
            sum.bytes_in += counted.bytes_in;
            sum.bytes_out += counted.bytes_out;
            sum.messages_in += counted.messages_in;
            sum.messages_out += counted.messages_out;
            sum.busy_us += counted.busy_us;
        }
    }
    all
}
