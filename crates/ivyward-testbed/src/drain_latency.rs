//! Measures how soon a node acts on a notification: the time to its last attempt at a drained engine and to its first
//! attempt at a returned one. Also measures the cost of a record change by the size of the fleet.

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

/// Latencies of watch events, measured under load.
#[derive(Clone, Debug, Default)]
pub struct WatchLatencies {
    /// Microseconds from each notification of a node that an engine is draining or removed to the arrival of that node's last
    /// attempt at the engine; 0 if no attempt arrived.
    pub last_sends: Vec<Micros>,
    /// Microseconds from the first notification that an engine is listed as ready again to its first attempt.
    pub first_sends: Vec<Micros>,
    /// Number of times that an engine was drained or its record deleted.
    pub drains: usize,
    /// Number of faults injected into the store, by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Number of gaps in the watch, over all nodes.
    pub list_gaps: u64,
    /// Violations of the rules, as texts. The third rule is the one that this measurement is about.
    pub violations: Vec<String>,
}

/// Kinds of store faults, in the order in which they are injected.
const STORE_FAULTS: [&str; 8] = [
    "lag",
    "batches",
    "cancelled",
    "mute and compacted",
    "restart",
    "hang",
    "half open",
    "slow link",
];

/// Injects one store fault for 300 ms and then clears it.
async fn inject_store_fault(cluster: &LocalCluster, kind: &str) {
    let set = |change: &dyn Fn(&mut StoreFaults)| cluster.with_store(|s| s.fault(change));
    match kind {
        "lag" => set(&|f| f.watch_delays = vec![0, 200_000]),
        "batches" => set(&|f| f.batch_interval = 60_000),
        "cancelled" => cluster.with_store(|s| s.cancel_watches()),
        "mute and compacted" => set(&|f| f.suppress_watch_events = true),
        "restart" => cluster.with_store(Store::crash),
        "hang" => set(&|f| f.hang = true),
        "half open" => set(&|f| f.half_open = true),
        _ => set(&|f| f.bytes_per_second = 60_000),
    };
    cluster.runtime.sleep(300_000).await;
    match kind {
        "mute and compacted" => {
            cluster.with_store(|s| s.compact());
        }
        "restart" => {
            // The restart is retried while the port is still in use.
            while cluster
                .with_store(Store::restart)
                .is_some_and(|up| up.is_err())
            {
                cluster.runtime.sleep(20_000).await;
            }
        }
        _ => {}
    }
    set(&|f| *f = StoreFaults::default());
}

/// Cost of a record change at one fleet size. Times are in microseconds and measured in the node.
#[derive(Clone, Debug)]
pub struct ChangeCost {
    /// Number of engines in the fleet.
    pub fleet: usize,
    /// Time from the start of the watch until the node lists all engines.
    pub load: Micros,
    /// Router time per change.
    pub module: f64,
    /// Time of the rest of the driver per change.
    pub driver: f64,
    /// Growth of the resident memory of this process, which holds the node and the store, in KiB; 0 if the system does not
    /// report it.
    pub memory: u64,
}

fn store() -> Result<Store, LocalClusterError> {
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    Store::start(&host, 1).map_err(io("starting a store"))
}

/// Takes engines out one after the other under load, alternately by marking the record as draining and by deleting it, and
/// lists them as ready again. `faults` injects faults into the store meanwhile.
///
/// # Errors
/// Returns an error if the cluster cannot be set up.
pub fn measure_watch_latencies(
    drains: usize,
    nodes: usize,
    faults: bool,
) -> Result<WatchLatencies, LocalClusterError> {
    let mut store = store()?;
    store
        .open_endpoints(nodes)
        .map_err(io("opening endpoints of a store"))?;
    let mut watcher_options = WatcherOptions {
        endpoints: store.endpoints().to_vec(),
        ..WatcherOptions::default()
    };
    if faults {
        (watcher_options.silence_timeout, watcher_options.backoff) = (150_000, (10_000, 100_000));
        watcher_options.etcd.call_timeout = 150_000;
    }
    let mut builder = ClusterBuilder::new(51, fleet(4));
    (builder.nodes, builder.watcher) = (nodes, Some(watcher_options));
    let cluster = Arc::new(builder.build()?);
    cluster.watch_store(store);
    let put = |cluster: &LocalCluster, engine: usize, state| {
        let (key, record) = cluster.registration(engine, state, 0);
        cluster.with_store(|s| s.put(&key, &record));
    };
    (0..cluster.engines()).for_each(|e| put(&cluster, e, State::Ready));
    // With store faults, the interval is long enough to reveal attempts sent after the drain grace has ended.
    let interval = if faults { 450_000 } else { 150_000 };
    let mut out = WatchLatencies {
        drains,
        ..WatchLatencies::default()
    };
    cluster.runtime.clone().block_on(async {
        cluster.runtime.sleep(300_000).await;
        let load = Load {
            requests: drains * 2 * interval as usize / 5_000,
            rate: 200.0,
            output: 12,
        };
        let plan = Arc::new(Plan {
            seed: 51,
            length: drains as u64 * 2 * interval,
            faults: vec![],
        });
        let (done, wait) = async_channel::bounded::<()>(1);
        let task_cluster = cluster.clone();
        cluster.runtime.run(async move {
            for drain in 0..drains {
                let engine = drain * 5 % task_cluster.engines();
                match drain % 2 {
                    0 => put(&task_cluster, engine, State::Draining),
                    _ => {
                        let key = task_cluster.registration(engine, State::Ready, 0).0;
                        task_cluster.with_store(|s| s.delete(&key));
                    }
                }
                task_cluster.runtime.sleep(interval).await;
                put(&task_cluster, engine, State::Ready);
                task_cluster.runtime.sleep(interval).await;
            }
            drop(done);
        });
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (report_counts, fault_counts) = async_channel::bounded(1);
        let task_cluster = cluster.clone();
        cluster.runtime.run(async move {
            let mut counts = BTreeMap::new();
            for kind in STORE_FAULTS
                .iter()
                .cycle()
                .take_while(|_| faults && !stopped.is_closed())
            {
                inject_store_fault(&task_cluster, kind).await;
                *counts.entry(*kind).or_insert(0) += 1;
                task_cluster.runtime.sleep(250_000).await;
            }
            let _ = report_counts.send(counts).await;
        });
        run_load(&cluster, &plan, &load).await;
        let _ = wait.recv().await;
        drop(stop);
        out.faults = fault_counts.recv().await.unwrap_or_default();
        cluster.wait_until_idle(5_000_000).await;
    });
    let (mut notified, mut relisted) = (BTreeMap::new(), BTreeMap::new());
    out.list_gaps = (0..nodes)
        .filter_map(|n| cluster.node(n))
        .map(|n| n.metrics().list_gaps.get())
        .sum();
    out.violations = cluster.audit().violations();
    for seen in cluster.log.all() {
        match seen.event {
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: false,
            } => {
                notified.insert((node, engine), (seen.at, seen.at));
                relisted.remove(&engine);
            }
            ObservedEvent::NodeNotified {
                node,
                engine,
                ready: true,
            } => {
                if let Some((from, last)) = notified.remove(&(node, engine)) {
                    out.last_sends.push(last - from);
                    relisted.entry(engine).or_insert(seen.at);
                }
            }
            ObservedEvent::AttemptArrived { engine, key, .. } => {
                if let Some((_, last)) = notified.get_mut(&(key.node, engine)) {
                    *last = seen.at;
                }
                if let Some(from) = relisted.remove(&engine) {
                    out.first_sends.push(seen.at - from);
                }
            }
            _ => {}
        }
    }
    Ok(out)
}

fn resident_memory_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next())
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

/// Measures the cost of a change at each of these fleet sizes. The engines exist only as records.
///
/// # Errors
/// Returns an error if a node or a store does not start.
pub fn measure_change_costs(
    fleets: &[usize],
    count: usize,
) -> Result<Vec<ChangeCost>, LocalClusterError> {
    let mut out = Vec::new();
    for &fleet in fleets {
        let before = resident_memory_kib();
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
        let watcher_options = WatcherOptions {
            endpoints: vec![store.address()],
            ..WatcherOptions::default()
        };
        let (following, began) = (node.clone(), as_ref.now());
        runtime.run(async move { following.watch_endpoints(watcher_options).await });
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
        // One change goes first, so that the watch is established before the changes that are timed.
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
        out.push(ChangeCost {
            fleet,
            load,
            module: module as f64 / count as f64,
            driver: driver.saturating_sub(module) as f64 / count as f64,
            memory: resident_memory_kib().saturating_sub(before),
        });
        runtime.stop();
    }
    Ok(out)
}

/// Formats the results as Markdown tables for the documentation.
pub fn format_tables(latencies: &WatchLatencies, changes: &[ChangeCost]) -> String {
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
        row(
            "last attempt after a notification, per node",
            &latencies.last_sends
        )
    );
    let _ = writeln!(
        out,
        "{}",
        row(
            "first request after an engine's return",
            &latencies.first_sends
        )
    );
    let kinds: Vec<String> = latencies
        .faults
        .iter()
        .map(|(kind, n)| format!("{kind} {n}"))
        .collect();
    let _ = writeln!(
        out,
        "\n{} drains and departures; {} gaps; the store's faults: {}",
        latencies.drains,
        latencies.list_gaps,
        if kinds.is_empty() {
            "none".into()
        } else {
            kinds.join(", ")
        }
    );
    let _ = writeln!(out, "rule violations: {}", latencies.violations.len());
    latencies.violations.iter().for_each(|line| {
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
