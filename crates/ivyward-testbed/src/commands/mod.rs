//! The subcommands. Each module defines the flags of its commands and runs them.

mod cluster;
mod drain_latency;
mod fault_scenario;
mod manual;
#[cfg(mutations)]
mod mutations;
mod peers;
mod register;
mod relay_overhead;
mod replay_record;
mod simulate;
mod soak;

use clap::Subcommand;
use std::error::Error;
use std::process::ExitCode;

/// Exit code of a command that ran, or the error that kept it from running.
pub type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// Returns the exit code for success only if all checks passed.
fn exit_code(passed: bool) -> ExitCode {
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Returns an error text that names the flag and the file to which the error relates.
fn file_error(flag: &str, path: &std::path::Path, error: impl std::fmt::Display) -> Box<dyn Error> {
    format!("{flag} {}: {error}", path.display()).into()
}

/// Returns the number of threads to use: `jobs`, or one per core if `jobs` is 0.
fn threads(jobs: usize) -> usize {
    match jobs {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        jobs => jobs,
    }
}

#[derive(Subcommand)]
pub enum Command {
    /// Injects scripted, overlapping faults into nodes and fake engines on real sockets, and checks the five rules on the
    /// observed traffic.
    #[command(alias = "bad-day")]
    FaultScenario(fault_scenario::FaultScenario),
    /// Injects random, overlapping faults into node processes of the platform, and checks the rules from outside.
    Soak(soak::Soak),
    /// Registers an engine in etcd under a lease and renews the lease until interrupted. With --once, writes the record
    /// without a lease and exits.
    Register(register::Register),
    /// Marks an engine as draining in etcd.
    Drain(register::Drain),
    /// Measures how soon nodes act on watch events under load, and the CPU time of a change by the number of engines.
    #[command(alias = "drains")]
    DrainLatency(drain_latency::DrainLatency),
    /// Measures in virtual time how soon peers detect a failed node, how often they declare a running node dead, and the
    /// network traffic that detection takes.
    Peers(peers::PeersCommand),
    /// Runs daemons as processes with a relay on each directed link, injects the faults of a plan, and reports.
    Cluster(cluster::ClusterCommand),
    /// Runs a deployment as processes on this machine and reports the resources that each role uses. With --vary, varies
    /// a single quantity over several sizes.
    Scale(ivyward_testbed::scale::command::ScaleFlags),
    /// Computes the resources that a deployment of a given size needs, from the slopes recorded by scale runs. Without
    /// flags, computes them for the planned size.
    Capacity(ivyward_testbed::capacity::command::CapacityFlags),
    /// Simulates the routing decisions of one node among all engines of a fleet, and reports how many KV caches are
    /// transferred within a rack, within a zone and between zones.
    #[command(alias = "handover")]
    KvTransfer(ivyward_testbed::kv_transfer::KvTransferFlags),
    /// Runs one process of a scale run. Started by the `scale` command.
    #[command(name = ivyward_testbed::scale::stub_process::SUBCOMMAND, hide = true)]
    ScaleProcess(ScaleProcess),
    /// Simulates clusters in virtual time under faults generated from a seed, and checks the rules, for one seed or a
    /// range of seeds.
    #[command(aliases = ["seed", "seeds"])]
    Simulate(simulate::Simulate),
    /// Activates each mutation in turn and simulates seeds until one detects it. Available only when built with
    /// RUSTFLAGS="--cfg mutations".
    #[cfg(mutations)]
    #[command(alias = "planted")]
    Mutations(mutations::Mutations),
    /// Runs one fake engine. Commands on standard input, one per line, make it drain, hang, slow down, fail, crash and
    /// restart.
    Engine(manual::Engine),
    /// Runs a small in-memory store that serves the etcd API.
    Store(manual::Store),
    /// Runs a fleet of fake engines and prints the flags with which a daemon uses it. Accepts commands on standard input,
    /// one per line, in the form: ID ORDER.
    Fleet(manual::Fleet),
    /// Sends one request, prints its tokens as they arrive, and prints the outcome.
    #[command(alias = "ask")]
    Request(manual::Request),
    /// Prints the JSON schema of registration records.
    Schema,
    /// Measures the overhead of a node: streams read directly from an engine are compared with the same streams through a
    /// node. Also measures the CPU time of a routing decision by the number of engines.
    #[command(alias = "relay")]
    RelayOverhead(relay_overhead::RelayOverhead),
    /// Replays a node's recording into a new router and compares every action with the recorded one.
    ReplayRecord(replay_record::ReplayRecord),
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandResult {
        match self {
            Command::FaultScenario(command) => command.run(),
            Command::Soak(command) => command.run(),
            Command::Register(command) => command.run(),
            Command::Drain(command) => command.run(),
            Command::DrainLatency(command) => command.run(),
            Command::Peers(command) => command.run(),
            Command::Cluster(command) => command.run(),
            Command::Scale(flags) => {
                flags.run()?;
                Ok(ExitCode::SUCCESS)
            }
            Command::Capacity(flags) => {
                print!("{}", flags.answer()?);
                Ok(ExitCode::SUCCESS)
            }
            Command::KvTransfer(flags) => {
                print!("{}", ivyward_testbed::kv_transfer::simulate(flags).text());
                Ok(ExitCode::SUCCESS)
            }
            Command::ScaleProcess(command) => command.run(),
            Command::Simulate(command) => command.run(),
            #[cfg(mutations)]
            Command::Mutations(command) => command.run(),
            Command::Engine(command) => command.run(),
            Command::Store(command) => command.run(),
            Command::Fleet(command) => command.run(),
            Command::Request(command) => command.run(),
            Command::Schema => {
                println!("{}", ivyward::registration::schema());
                Ok(ExitCode::SUCCESS)
            }
            Command::RelayOverhead(command) => command.run(),
            Command::ReplayRecord(command) => command.run(),
        }
    }
}

#[derive(clap::Args)]
pub struct ScaleProcess {
    /// Role of the process and its parameters, as JSON.
    role: String,
}

impl ScaleProcess {
    fn run(self) -> CommandResult {
        let role = serde_json::from_str(&self.role)
            .map_err(|error| format!("{:?}: {error}", self.role))?;
        ivyward_testbed::scale::stub::run(role)?;
        Ok(ExitCode::SUCCESS)
    }
}
