//! `fault-scenario`: scripted faults under load, checked by the rule checker.

use super::{exit_code, file_error, CommandResult};
use ivyward_testbed::fault_plan::{FaultKind, Plan};
use ivyward_testbed::fault_scenario::{self, FaultScenario as Scenario};
use ivyward_testbed::local_cluster::NodePlacement;
use std::path::PathBuf;

/// Shortest scenario, in microseconds.
const MIN_LENGTH: u64 = 2_000_000;

#[derive(clap::Args)]
pub struct FaultScenario {
    /// Draws the scenario.
    #[arg(long, env = "IVYWARD_TESTBED_SEED", default_value_t = 1)]
    seed: u64,
    /// Requests, retries not counted.
    #[arg(long, env = "IVYWARD_TESTBED_REQUESTS", default_value_t = 3_000, value_parser = clap::value_parser!(u64).range(1..=200_000))]
    requests: u64,
    /// Requests a second, on the mean.
    #[arg(long, env = "IVYWARD_TESTBED_RATE", default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=5_000))]
    rate: u64,
    /// Nodes.
    #[arg(long, env = "IVYWARD_TESTBED_NODES", default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=32))]
    nodes: u64,
    /// Racks of one prefill, one mixed and two decode engines.
    #[arg(long, env = "IVYWARD_TESTBED_RACKS", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=32))]
    racks: u16,
    /// Only these kinds of fault; may be given several times.
    #[arg(long = "fault", alias = "trouble", value_parser = FaultKind::named)]
    faults: Vec<FaultKind>,
    /// Plays the kinds of fault of a scenario file, scaled to this machine.
    #[arg(
        long = "scenario",
        alias = "day",
        value_name = "FILE",
        conflicts_with = "faults"
    )]
    scenario: Option<PathBuf>,
    /// How nodes learn of engines: notified by the script, or through a store that is among the faulty.
    #[arg(long, default_value = "told", value_parser = ["told", "etcd"])]
    discovery: String,
    /// Prints JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// Runs these daemons instead of nodes in this process.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// Keeps the first node's recording in this file.
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
                "--discovery etcd: goes with nodes in this process, not with --daemon".to_owned();
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

/// The plan of a scenario file, with the seed and the length of a drawn one.
fn read_plan(path: &PathBuf, drawn: &Plan) -> Result<Plan, Box<dyn std::error::Error>> {
    let text =
        std::fs::read_to_string(path).map_err(|error| file_error("--scenario", path, error))?;
    let (plan, unknown) = Plan::from_scenario_file(&text, drawn.seed, drawn.length)
        .map_err(|error| file_error("--scenario", path, error))?;
    for kind in unknown {
        eprintln!("ivyward-testbed: fault {kind:?} is not known here and is left out");
    }
    Ok(plan)
}
