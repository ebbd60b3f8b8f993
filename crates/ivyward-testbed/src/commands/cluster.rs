//! `cluster`: runs daemons as processes and injects the faults of a plan.

use super::{exit_code, file_error, CommandResult};
use ivyward_testbed::cluster::plan::Plan;
use ivyward_testbed::cluster::play::{run_plan, EpisodeReport, Report};
use ivyward_testbed::cluster::{Cluster, Size};
use std::error::Error;
use std::path::PathBuf;

/// Time in microseconds without an answer after which the daemons declare a peer dead.
const DEATH_TIMEOUT: u64 = 2_400_000;
/// Lease of a node's record in the store, in seconds.
const LEASE: i64 = 5;
/// Number of seed nodes whose addresses all daemons are given when there is no store.
const SEED_NODES: usize = 2;

#[derive(clap::Args)]
pub struct ClusterCommand {
    /// Path of the daemon's executable.
    #[arg(long, value_name = "PATH")]
    daemon: PathBuf,
    /// Seed from which the fault plan is generated.
    #[arg(long, env = "IVYWARD_TESTBED_SEED", default_value_t = 1)]
    seed: u64,
    /// Number of node processes to start.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=300))]
    nodes: u64,
    /// Number of fake engines to start.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(0..=32))]
    engines: u64,
    /// Number of fault episodes in the generated plan.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    episodes: u64,
    /// Runs the plan in this file instead of a generated one. The number of nodes and the seed are taken from the file.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Starts an etcd store, through which nodes discover each other and the engines.
    #[arg(long)]
    store: bool,
    /// Writes the plan and the report to this file as JSON.
    #[arg(long, value_name = "FILE")]
    keep: Option<PathBuf>,
}

impl ClusterCommand {
    pub fn run(self) -> CommandResult {
        let plan = self.plan()?;
        println!("{}", serde_json::to_string(&plan).unwrap_or_default());
        let size = Size {
            nodes: plan.nodes,
            engines: self.engines as usize,
            store: self.store,
            seeds: if self.store { 0 } else { SEED_NODES },
            death_after: DEATH_TIMEOUT,
            lease: LEASE,
            daemon: self.daemon,
            seed: plan.seed,
        };
        let mut cluster = Cluster::start(size)?;
        println!(
            "| fault | lasted, ms | all agree after, ms | kill known to all, ms | false deaths | miscounts |"
        );
        println!("| --- | --- | --- | --- | --- | --- |");
        let report = run_plan(&mut cluster, &plan, print_episode)?;
        print_report(&report);
        if let Some(path) = self.keep {
            let text = serde_json::to_string_pretty(&report).unwrap_or_default();
            std::fs::write(&path, text).map_err(|error| file_error("--keep", &path, error))?;
        }
        Ok(exit_code(report.failures().is_empty()))
    }

    fn plan(&self) -> Result<Plan, Box<dyn Error>> {
        let Some(path) = &self.plan else {
            let (nodes, episodes) = (self.nodes as usize, self.episodes as usize);
            return Ok(Plan::draw(self.seed, nodes, episodes));
        };
        let text =
            std::fs::read_to_string(path).map_err(|error| file_error("--plan", path, error))?;
        Plan::read(&text).map_err(|error| file_error("--plan", path, error))
    }
}

fn print_episode(episode: &EpisodeReport) {
    let fault = serde_json::to_string(&episode.fault).unwrap_or_default();
    let detected = episode.detected_ms.map_or("-".into(), |ms| ms.to_string());
    println!(
        "| {fault} | {} | {} | {detected} | {} | {} |",
        episode.lasted_ms,
        episode.converged_ms,
        episode.false_deaths,
        episode.miscounts.len()
    );
}

fn print_report(report: &Report) {
    println!(
        "joined after {} ms; {:.1} datagrams and {:.0} bytes a second a node; {} of {} calls served; {} of 5 rules kept",
        report.joined_ms,
        report.datagrams_s,
        report.bytes_s,
        report.calls.1,
        report.calls.0,
        report.rules_satisfied
    );
    for line in report.failures() {
        println!("wrong: {line}");
    }
}
