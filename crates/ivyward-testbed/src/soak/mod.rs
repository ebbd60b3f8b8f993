//! Random faults against node processes on loopback, many seeds, two or three troubles at a time.
//!
//! - [`plan`]: which troubles when, from a seed; as JSON it can be kept, cut down and played again.
//! - `stage`: engines, links, discovery and nodes of a run; `node`: a node's process with its preloaded faults.
//! - `link`: a relay before each engine; `clients`: sessions.
//! - [`oracle`]: the rules, from what engines and clients observed.
//! - [`report`]: what came of the seeds.

mod clients;
mod link;
mod node;
pub mod oracle;
pub mod plan;
pub mod report;
mod stage;

use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef, SmolRuntime};
use oracle::Violation;
use plan::Plan;
use report::{Report, SeedReport};
use stage::Stage;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Clients of each node.
const CLIENTS: u64 = 3;
/// After the last trouble, everything that was begun has so long to end.
const SETTLE: Micros = 5_000_000;
/// How often nodes are looked at.
const LOOK: Micros = 100_000;
/// Most nodes of a run.
pub const MAX_NODES: usize = 40;

/// Why a soak cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A call of the system failed.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// The fault library was not built beside this program.
    #[error("the library ivyward-fault-injection-preload is not beside this program: build the workspace")]
    MissingLibrary,
    /// A node does not start.
    #[error("{0}")]
    Start(String),
    /// A plan's file does not hold.
    #[error("plan: {0}")]
    Plan(#[from] serde_json::Error),
}

impl SoakError {
    pub(crate) fn io(what: &'static str) -> impl FnOnce(std::io::Error) -> SoakError {
        move |error| SoakError::Io(what, error)
    }
}

/// What to play.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Node processes, [`MOST_NODES`] at most.
    pub nodes: usize,
    /// The first seed, and how many follow each other.
    pub seeds: (u64, u64),
    /// Seconds of trouble in each run.
    pub seconds: u64,
    /// A plan to play in place of drawn ones.
    pub plan: Option<Plan>,
    /// Where logs, plans and configurations are kept; without it only those of seeds that broke a rule stay.
    pub keep_dir: Option<PathBuf>,
}

/// Plays all seeds, and prints a line for each as it ends.
///
/// # Errors
/// When a run cannot be played at all.
pub fn run_seeds(options: &Options) -> Result<Report, SoakError> {
    let mut report = Report::default();
    for seed in options.seeds.0..options.seeds.0 + options.seeds.1 {
        let plan = options
            .plan
            .clone()
            .unwrap_or_else(|| Plan::draw(seed, options.seconds));
        let folder = folder(options, seed)?;
        let played = play_one(options, &folder, plan)?;
        println!("{}", played.summary_line());
        if options.keep_dir.is_none() && !played.has_violations() {
            // Files that stay are only untidy.
            let _ = std::fs::remove_dir_all(&folder);
        }
        report.add(played);
    }
    Ok(report)
}

fn folder(options: &Options, seed: u64) -> Result<PathBuf, SoakError> {
    let root = options.keep_dir.clone().unwrap_or_else(std::env::temp_dir);
    let folder = root.join(format!("ivyward-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(SoakError::io("a folder"))?;
    Ok(folder)
}

fn play_one(options: &Options, folder: &Path, plan: Plan) -> Result<SeedReport, SoakError> {
    let text = serde_json::to_string_pretty(&plan)?;
    std::fs::write(folder.join("plan.json"), text).map_err(SoakError::io("a plan"))?;
    let smol = SmolRuntime::start(2, plan.seed);
    let runtime: RuntimeRef = smol.clone();
    let nodes = options.nodes.clamp(1, MAX_NODES);
    let stage = Stage::start(&runtime, (&options.daemon, folder), nodes, plan.seed)?;
    let (violations, faults) = smol.block_on(run(&stage, &plan, nodes));
    let observed = stage.log.all();
    let broken: Vec<Violation> = oracle::check(&observed, &stage::LIMITS, runtime.now());
    let lines: Vec<String> = observed
        .iter()
        .map(|(at, o)| format!("{at} {o:?}"))
        .collect();
    std::fs::write(folder.join("observed.log"), lines.join("\n"))
        .map_err(SoakError::io("a log"))?;
    let answers = stage
        .answers
        .lock()
        .map(|answers| answers.clone())
        .unwrap_or_default();
    smol.stop();
    Ok(SeedReport {
        plan,
        folder: folder.to_owned(),
        answers,
        rule_violations: broken,
        invariant_violations: violations,
        faults,
    })
}

async fn run(
    stage: &Arc<Stage>,
    plan: &Plan,
    nodes: usize,
) -> (
    u64,
    std::collections::BTreeMap<ivyward_fault_injection::SystemFault, u64>,
) {
    let runtime = stage.runtime.clone();
    for node in 0..nodes {
        for number in 0..CLIENTS {
            runtime.run(clients::session(stage.clone(), node, number));
        }
    }
    let began = runtime.now();
    let mut end = began;
    for trouble in &plan.faults {
        let at = began + trouble.at_ms * 1_000;
        while runtime.now() < at {
            runtime.sleep(LOOK.min(at - runtime.now())).await;
            stage.look_for_crashes();
        }
        end = end.max(at + trouble.duration_ms * 1_000);
        runtime.run(stage.clone().trouble(*trouble));
    }
    while runtime.now() < end + SETTLE / 2 {
        runtime.sleep(LOOK).await;
        stage.look_for_crashes();
    }
    stage.over.store(true, Ordering::SeqCst);
    runtime.sleep(SETTLE).await;
    stage.look_for_crashes();
    stage.end().await
}
