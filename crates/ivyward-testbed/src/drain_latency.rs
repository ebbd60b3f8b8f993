//! How soon a node follows a notice: the last send after a drain, the first to a new engine, and what a change costs by the
//! size of the fleet.

use crate::fault_plan::Plan;
use crate::load::{run_load, Load};
use crate::local_cluster::{fleet, io, settings, ClusterBuilder, LocalCluster, LocalClusterError};
use ivyward::core::interface::Micros;
use ivyward::registration::State;
use ivyward::watcher::WatcherOptions;
use ivyward::{Node, NodeSettings};
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::{Store, StoreFaults};
use ivyward_fakes::event_log::ObservedEvent;
use ivyward_fakes::Host;
use ivyward_runtime::{RuntimeExt, RuntimeRef, SmolRuntime};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// What was measured under load.
#[derive(Clone, Debug, Default)]
pub struct Followed {
    /// For each notice to a node: how long after it the node's last attempt came to the engine; 0 where none came.
    pub last_sends: Vec<Micros>,
    /// From an engine's return to the list to its first attempt.
    pub first_sends: Vec<Micros>,
    /// Engines drained or deleted.
    pub drains: usize,
    /// Times that something was wrong with the store, by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Gaps that nodes met.
    pub gaps: u64,
    /// What broke the rules, in words; the third is the one that matters here.
    pub broken: Vec<String>,
}

/// The kinds of what goes wrong with the store, in the order in which a round plays them.
const FAULTS: [&str; 8] = [
    "lag",
    "batches",
    "cancelled",
    "mute and compacted",
    "restart",
    "hang",
    "half open",
    "slow link",
];

/// Plays one kind of trouble with the store.
async fn fault(scene: &LocalCluster, kind: &str) {
    let set = |change: &dyn Fn(&mut StoreFaults)| scene.with_store(|s| s.fault(change));
    match kind {
        "lag" => set(&|f| f.watch_delays = vec![0, 200_000]),
        "batches" => set(&|f| f.batch_interval = 60_000),
        "cancelled" => scene.with_store(|s| s.cancel_watches()),
        "mute and compacted" => set(&|f| f.suppress_watch_events = true),
        "restart" => scene.with_store(Store::crash),
        "hang" => set(&|f| f.hang = true),
        "half open" => set(&|f| f.half_open = true),
        _ => set(&|f| f.bytes_per_second = 60_000),
    };
    scene.runtime.sleep(300_000).await;
    match kind {
        "mute and compacted" => {
            scene.with_store(|s| s.compact());
        }
        "restart" => {
            // A port that is still taken is tried again.
            while scene
                .with_store(Store::restart)
                .is_some_and(|up| up.is_err())
            {
                scene.runtime.sleep(20_000).await;
            }
        }
        _ => {}
    }
    set(&|f| *f = StoreFaults::default());
}

/// What a change costs at one size of the fleet, in microseconds of the node.
#[derive(Clone, Debug)]
pub struct Change {
    /// Engines.
    pub fleet: usize,
    /// From the start to all of them known.
    pub load: Micros,
    /// The module's time a change.
    pub module: f64,
    /// The rest of the driver's.
    pub driver: f64,
    /// Memory that the node and the store's list of this many took in the process, in KiB; 0 where not told.
    pub memory: u64,
}

fn store() -> Result<Store, LocalClusterError> {
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    Store::start(&host, 1).map_err(io("starting a store"))
}

/// Drains engines one after the other under load, half of them by a put and half by a deletion, and brings them back.
///
/// # Errors
/// When the scene cannot be set up.
pub fn followed(drains: usize, nodes: usize, faults: bool) -> Result<Followed, LocalClusterError> {
    let mut store = store()?;
    store
        .open_endpoints(nodes)
        .map_err(io("opening doors of a store"))?;
    let mut follow = WatcherOptions {
        endpoints: store.endpoints().to_vec(),
        ..WatcherOptions::default()
    };
    if faults {
        (follow.silence_timeout, follow.backoff) = (150_000, (10_000, 100_000));
        follow.etcd.call_timeout = 150_000;
    }
    let mut make = ClusterBuilder::new(51, fleet(4));
    (make.nodes, make.watcher) = (nodes, Some(follow));
    let scene = Arc::new(make.build()?);
    scene.watch_store(store);
    let put = |scene: &LocalCluster, engine: usize, state| {
        let (key, record) = scene.registration(engine, state, 0);
        scene.with_store(|s| s.put(&key, &record));
    };
    (0..scene.engines()).for_each(|e| put(&scene, e, State::Ready));
    // Beside faults, long enough for sends past the grace to show.
    let span = if faults { 450_000 } else { 150_000 };
    let mut out = Followed {
        drains,
        ..Followed::default()
    };
    scene.runtime.clone().block_on(async {
        scene.runtime.sleep(300_000).await;
        let load = Load {
            requests: drains * 2 * span as usize / 5_000,
            rate: 200.0,
            output: 12,
        };
        let plan = Arc::new(Plan {
            seed: 51,
            length: drains as u64 * 2 * span,
            faults: vec![],
        });
        let (done, wait) = async_channel::bounded::<()>(1);
        let one = scene.clone();
        scene.runtime.run(async move {
            for drain in 0..drains {
                let engine = drain * 5 % one.engines();
                match drain % 2 {
                    0 => put(&one, engine, State::Draining),
                    _ => {
                        let key = one.registration(engine, State::Ready, 0).0;
                        one.with_store(|s| s.delete(&key));
                    }
                }
                one.runtime.sleep(span).await;
                put(&one, engine, State::Ready);
                one.runtime.sleep(span).await;
            }
            drop(done);
        });
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (tell, played) = async_channel::bounded(1);
        let one = scene.clone();
        scene.runtime.run(async move {
            let mut counts = BTreeMap::new();
            for kind in FAULTS
                .iter()
                .cycle()
                .take_while(|_| faults && !stopped.is_closed())
            {
                fault(&one, kind).await;
                *counts.entry(*kind).or_insert(0) += 1;
                one.runtime.sleep(250_000).await;
            }
            let _ = tell.send(counts).await;
        });
        run_load(&scene, &plan, &load).await;
        let _ = wait.recv().await;
        drop(stop);
        out.faults = played.recv().await.unwrap_or_default();
        scene.wait_until_idle(5_000_000).await;
    });
    let (mut told, mut back) = (BTreeMap::new(), BTreeMap::new());
    out.gaps = (0..nodes)
        .filter_map(|n| scene.node(n))
        .map(|n| n.metrics().list_gaps.get())
        .sum();
    out.broken = scene.audit().violations();
    for seen in scene.log.all() {
        match seen.event {
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: false,
            } => {
                told.insert((node, engine), (seen.at, seen.at));
                back.remove(&engine);
            }
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: true,
            } => {
                if let Some((from, last)) = told.remove(&(node, engine)) {
                    out.last_sends.push(last - from);
                    back.entry(engine).or_insert(seen.at);
                }
            }
            ObservedEvent::AttemptArrived { engine, key, .. } => {
                if let Some((_, last)) = told.get_mut(&(key.node, engine)) {
                    *last = seen.at;
                }
                if let Some(from) = back.remove(&engine) {
                    out.first_sends.push(seen.at - from);
                }
            }
            _ => {}
        }
    }
    Ok(out)
}

fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Measures a change's cost at these sizes of the fleet; the engines are records alone.
///
/// # Errors
/// When a node or a store does not start.
pub fn changes(fleets: &[usize], count: usize) -> Result<Vec<Change>, LocalClusterError> {
    let mut out = Vec::new();
    for &fleet in fleets {
        let before = memory();
        let store = store()?;
        let record = |i: usize, state: &str| {
            let role = ["prefill", "mixed", "decode", "decode"][i % 4];
            let (a, b, c) = (i >> 16 & 255, i >> 8 & 255, i & 255);
            format!(
                r#"{{"version":1,"id":{i},"role":"{role}","address":"127.{a}.{b}.{c}:9000","cell":{},"state":"{state}"}}"#,
                i / 16
            )
        };
        let key = |i: usize| format!("ivyward/engines/{i}");
        for i in 1..=fleet {
            store.put(&key(i), &record(i, "ready"));
        }
        let runtime = SmolRuntime::start(1, 1);
        let as_ref: RuntimeRef = runtime.clone();
        let node = Node::start(as_ref.clone(), NodeSettings { ..settings() }, None)?;
        let follow = WatcherOptions {
            endpoints: vec![store.address()],
            ..WatcherOptions::default()
        };
        let (following, began) = (node.clone(), as_ref.now());
        runtime.run(async move { following.watch_endpoints(follow).await });
        let known = |at_least: i64| {
            let (node, runtime) = (node.clone(), as_ref.clone());
            async move {
                let m = node.metrics();
                while m.engines.get() < fleet as u64 || (m.list_revision.get() as i64) < at_least {
                    runtime.sleep(500).await;
                }
            }
        };
        let load = runtime.block_on(async {
            known(0).await;
            as_ref.now() - began
        });
        // A first change, so that the watch stands before the others are timed.
        let first = store.put(&key(1), &record(1, "draining"));
        runtime.block_on(known(first));
        let m = node.metrics();
        let (module, driver) = (m.router_us.get(), m.driver_us.get());
        for i in 0..count {
            let state = if i / fleet % 2 == 0 {
                "draining"
            } else {
                "ready"
            };
            let last = store.put(&key(i % fleet + 1), &record(i % fleet + 1, state));
            runtime.block_on(known(last));
        }
        let (module, driver) = (m.router_us.get() - module, m.driver_us.get() - driver);
        out.push(Change {
            fleet,
            load,
            module: module as f64 / count as f64,
            driver: driver.saturating_sub(module) as f64 / count as f64,
            memory: memory().saturating_sub(before),
        });
        runtime.stop();
    }
    Ok(out)
}

/// The tables, as they are kept in docs.
pub fn text(followed: &Followed, changes: &[Change]) -> String {
    let mut out = String::new();
    let row = |name: &str, values: &[Micros]| {
        let mut sorted = values.to_vec();
        sorted.sort_unstable();
        let at = |p: f64| {
            sorted.get(((sorted.len() as f64 * p) as usize).min(sorted.len().saturating_sub(1)))
        };
        let ms = |p: f64| at(p).map_or(0.0, |us| *us as f64 / 1e3);
        format!(
            "| {name} | {} | {:.1} | {:.1} | {:.1} |",
            sorted.len(),
            ms(0.5),
            ms(0.99),
            ms(1.0)
        )
    };
    // Writing to a String cannot fail.
    let _ = writeln!(
        out,
        "| ms | times | p50 | p99 | max |\n| --- | --- | --- | --- | --- |"
    );
    let _ = writeln!(
        out,
        "{}",
        row("last send after a notice, a node", &followed.last_sends)
    );
    let _ = writeln!(
        out,
        "{}",
        row(
            "first request after an engine's return",
            &followed.first_sends
        )
    );
    let kinds: Vec<String> = followed
        .faults
        .iter()
        .map(|(kind, n)| format!("{kind} {n}"))
        .collect();
    let _ = writeln!(
        out,
        "\n{} drains and departures; {} gaps; the store's faults: {}",
        followed.drains,
        followed.gaps,
        if kinds.is_empty() {
            "none".into()
        } else {
            kinds.join(", ")
        }
    );
    let _ = writeln!(out, "rules broken: {}", followed.broken.len());
    followed.broken.iter().for_each(|line| {
        let _ = writeln!(out, "- {line}");
    });
    let _ = writeln!(
        out,
        "\n| engines | all known after ms | module, us a change | rest of the driver, us | memory, KiB |\n| --- | --- | --- | --- | --- |"
    );
    for c in changes {
        let load = c.load as f64 / 1e3;
        let _ = writeln!(
            out,
            "| {} | {load:.0} | {:.1} | {:.1} | {} |",
            c.fleet, c.module, c.driver, c.memory
        );
    }
    out
}
