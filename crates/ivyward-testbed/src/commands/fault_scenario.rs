//! `fault-scenario`: injects scripted faults under load and runs the rule checker on what was observed.

use super::{exit_code, file_error, CommandResult};
use ivyward_testbed::fault_plan::{FaultKind, Plan};
use ivyward_testbed::fault_scenario::{self, FaultScenario as Scenario};
use ivyward_testbed::local_cluster::NodePlacement;
use std::path::PathBuf;

/// Shortest scenario, in microseconds.
const MIN_LENGTH: u64 = 2_000_000;

#[derive(clap::Args)]
pub struct FaultScenario {
    /// Seed from which the fault plan and the load are generated.
    #[arg(long, env = "IVYWARD_TESTBED_SEED", default_value_t = 1)]
    seed: u64,
    /// Number of requests to send, not counting retries.
    #[arg(long, env = "IVYWARD_TESTBED_REQUESTS", default_value_t = 3_000, value_parser = clap::value_parser!(u64).range(1..=200_000))]
    requests: u64,
    /// Mean number of requests per second.
    #[arg(long, env = "IVYWARD_TESTBED_RATE", default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=5_000))]
    rate: u64,
    /// Number of nodes to start.
    #[arg(long, env = "IVYWARD_TESTBED_NODES", default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=32))]
    nodes: u64,
    /// Number of racks, each with one prefill, one mixed and two decode engines.
    #[arg(long, env = "IVYWARD_TESTBED_RACKS", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=32))]
    racks: u16,
    /// Restricts the plan to this kind of fault. May be given several times; all kinds are used without it.
    #[arg(long = "fault", alias = "trouble", value_parser = FaultKind::named)]
    faults: Vec<FaultKind>,
    /// Runs the faults of this scenario file, with times scaled to the length of the run and sizes to
    /// what one machine can take.
    #[arg(
        long = "scenario",
        alias = "day",
        value_name = "FILE",
        conflicts_with = "faults"
    )]
    scenario: Option<PathBuf>,
    /// How nodes discover engines. With `told`, the script notifies each node of every change. With `etcd`, nodes watch an
    /// etcd store, into which faults are injected as well.
    #[arg(long, default_value = "told", value_parser = ["told", "etcd"])]
    discovery: String,
    /// Prints the report as JSON instead of as tables.
    #[arg(long)]
    json: bool,
    /// Starts the nodes as processes of this daemon executable instead of inside this process.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// Writes the recording of the first node to this file.
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

impl FaultScenario {
    pub fn run(self) -> CommandResult {
        let mut scenario = Scenario::from_seed(self.seed, self.requests as usize, &self.faults);
        scenario.load.rate = self.rate as f64;
        scenario.etcd = self.discovery == "etcd";
        if scenario.etcd && self.daemon.is_some() {
            let error =
                "--discovery etcd needs nodes inside this process and cannot be combined with --daemon".to_owned();
            return Err(error.into());
        }
        (scenario.nodes, scenario.racks) = (self.nodes as usize, self.racks);
        let length = (self.requests as f64 / self.rate as f64 * 1e6) as u64;
        scenario.plan = Plan::draw(self.seed, length.max(MIN_LENGTH), &self.faults);
        if let Some(path) = self.daemon {
            scenario.placement = NodePlacement::Daemon(path);
        }
        if let Some(path) = self.scenario {
            scenario.plan = read_plan(&path, &scenario.plan)?;
        }
        let report = fault_scenario::run(scenario)?;
        if let Some(path) = self.record {
            std::fs::write(&path, &report.recording)
                .map_err(|error| file_error("--record", &path, error))?;
        }
        match self.json {
            true => println!("{}\n{}", report.json()?, report.verdict()),
            false => print!("{}", report.text()),
        }
        Ok(exit_code(report.audit.rules_passed() == 5))
    }
}

/// Reads the plan from a scenario file and gives it the seed and the length of the generated plan.
fn read_plan(path: &PathBuf, generated: &Plan) -> Result<Plan, Box<dyn std::error::Error>> {
    let text =
        std::fs::read_to_string(path).map_err(|error| file_error("--scenario", path, error))?;
    let (plan, unknown) = Plan::from_scenario_file(&text, generated.seed, generated.length)
        .map_err(|error| file_error("--scenario", path, error))?;
    for kind in unknown {
        eprintln!("ivyward-testbed: skipping unknown fault kind {kind:?} of the scenario file");
    }
    Ok(plan)
}
