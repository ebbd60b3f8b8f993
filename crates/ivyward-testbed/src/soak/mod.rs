//! Runs node processes on loopback under random faults, two or three at a time, for many seeds.
//!
//! - [`plan`]: the faults and their times, drawn from a seed. A plan can be saved as JSON, edited and run again.
//! - `cluster`: the engines, links, discovery and nodes of a run; `node`: a node's process with preloaded faults.
//! - `link`: a relay in front of each engine; `clients`: client sessions.
//! - [`oracle`]: checks the rules on what engines and clients observed.
//! - [`report`]: the results of the seeds.

mod clients;
mod cluster;
mod link;
mod node;
pub mod oracle;
pub mod plan;
pub mod report;

use cluster::SoakCluster;
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef, SmolRuntime};
use oracle::Violation;
use plan::Plan;
use report::{Report, SeedReport};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The number of clients of each node.
const CLIENTS: u64 = 3;
/// The time after the clients have stopped within which open requests must end.
const SETTLE_TIME: Micros = 5_000_000;
/// The time for which a run waits for sessions that still receive an answer. It is longer than any client waits.
const MAX_SETTLE_TIME: Micros = 10_000_000;
/// The interval at which the harness checks whether a node has crashed.
const CRASH_CHECK_INTERVAL: Micros = 100_000;
/// The largest number of nodes in a run.
pub const MAX_NODES: usize = 40;

/// An error that prevents a soak run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A system call failed.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// The fault injection library is not in this program's directory.
    #[error("the library ivyward-fault-injection-preload is not beside this program: build the workspace")]
    MissingLibrary,
    /// A node did not start.
    #[error("{0}")]
    Start(String),
    /// A plan cannot be read or written as JSON.
    #[error("plan: {0}")]
    Plan(#[from] serde_json::Error),
}

impl SoakError {
    pub(crate) fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> SoakError {
        move |error| SoakError::Io(what, error)
    }
}

/// The options of a soak run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The path of the daemon.
    pub daemon: PathBuf,
    /// The number of node processes, at most [`MAX_NODES`].
    pub nodes: usize,
    /// The first seed and the number of consecutive seeds.
    pub seeds: (u64, u64),
    /// The duration of each run's fault plan, in seconds.
    pub seconds: u64,
    /// A plan to run in place of plans drawn from the seeds.
    pub plan: Option<Plan>,
    /// The directory for logs, plans and configurations. Without it, they are written to the system's temporary directory,
    /// and only those of seeds with violations are kept.
    pub keep_dir: Option<PathBuf>,
}

/// Runs all seeds, and prints a line for each when it has ended.
///
/// # Errors
/// [`SoakError`] if a run cannot be set up.
pub fn run_seeds(options: &Options) -> Result<Report, SoakError> {
    let mut report = Report::default();
    for seed in options.seeds.0..options.seeds.0 + options.seeds.1 {
        let plan = options
            .plan
            .clone()
            .unwrap_or_else(|| Plan::draw(seed, options.seconds));
        let dir = dir(options, seed)?;
        let seed_report = run_seed(options, &dir, plan)?;
        println!("{}", seed_report.summary_line());
        if options.keep_dir.is_none() && !seed_report.has_violations() {
            // Files that cannot be removed do no harm.
            let _ = std::fs::remove_dir_all(&dir);
        }
        report.add(seed_report);
    }
    Ok(report)
}

fn dir(options: &Options, seed: u64) -> Result<PathBuf, SoakError> {
    let root = options.keep_dir.clone().unwrap_or_else(std::env::temp_dir);
    let dir = root.join(format!("ivyward-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(SoakError::io("create the run's directory"))?;
    Ok(dir)
}

fn run_seed(options: &Options, dir: &Path, plan: Plan) -> Result<SeedReport, SoakError> {
    let text = serde_json::to_string_pretty(&plan)?;
    std::fs::write(dir.join("plan.json"), text).map_err(SoakError::io("write the plan"))?;
    let smol = SmolRuntime::start(2, plan.seed);
    let runtime: RuntimeRef = smol.clone();
    let nodes = options.nodes.clamp(1, MAX_NODES);
    let cluster = SoakCluster::start(&runtime, (&options.daemon, dir), nodes, plan.seed)?;
    let (violations, faults) = smol.block_on(run(&cluster, &plan, nodes));
    let observed = cluster.log.all();
    let rule_violations: Vec<Violation> = oracle::check(&observed, &cluster::LIMITS, runtime.now());
    let lines: Vec<String> = observed
        .iter()
        .map(|(at, o)| format!("{at} {o:?}"))
        .collect();
    std::fs::write(dir.join("observed.log"), lines.join("\n"))
        .map_err(SoakError::io("write the log of observations"))?;
    let answers = cluster
        .answers
        .lock()
        .map(|answers| answers.clone())
        .unwrap_or_default();
    smol.stop();
    Ok(SeedReport {
        plan,
        dir: dir.to_owned(),
        answers,
        rule_violations,
        invariant_violations: violations,
        faults,
    })
}

async fn run(
    cluster: &Arc<SoakCluster>,
    plan: &Plan,
    nodes: usize,
) -> (
    u64,
    std::collections::BTreeMap<ivyward_fault_injection::SystemFault, u64>,
) {
    let runtime = cluster.runtime.clone();
    for node in 0..nodes {
        for number in 0..CLIENTS {
            runtime.run(clients::session(cluster.clone(), node, number));
        }
    }
    let began = runtime.now();
    let mut end = began;
    for fault in &plan.faults {
        let at = began + fault.at_ms * 1_000;
        while runtime.now() < at {
            runtime
                .sleep(CRASH_CHECK_INTERVAL.min(at - runtime.now()))
                .await;
            cluster.detect_crashes();
        }
        end = end.max(at + fault.duration_ms * 1_000);
        runtime.run(cluster.clone().inject(*fault));
    }
    while runtime.now() < end + SETTLE_TIME / 2 {
        runtime.sleep(CRASH_CHECK_INTERVAL).await;
        cluster.detect_crashes();
    }
    cluster.clients_stop.store(true, Ordering::SeqCst);
    let stopped = runtime.now();
    runtime.sleep(SETTLE_TIME).await;
    while cluster.has_sessions() && runtime.now() < stopped + MAX_SETTLE_TIME {
        runtime.sleep(CRASH_CHECK_INTERVAL).await;
    }
    cluster.detect_crashes();
    cluster.stop_all_nodes().await
}
