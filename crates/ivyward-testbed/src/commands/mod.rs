//! The subcommands: each module holds one command's flags and carries it out.

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

/// How a command ended, or why it could not be carried out.
pub type CommandResult = Result<ExitCode, Box<dyn Error>>;

/// Success if all checks passed.
fn exit_code(passed: bool) -> ExitCode {
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// An error that names the flag and the file it is about.
fn file_error(flag: &str, path: &std::path::Path, error: impl std::fmt::Display) -> Box<dyn Error> {
    format!("{flag} {}: {error}", path.display()).into()
}

/// Threads to use: as many as asked for, or one for each core.
fn threads(jobs: usize) -> usize {
    match jobs {
        0 => std::thread::available_parallelism().map_or(1, usize::from),
        jobs => jobs,
    }
}

#[derive(Subcommand)]
pub enum Command {
    /// Plays scripted, overlapping faults against nodes and fake engines, and checks the five rules from what crossed the sockets.
    #[command(alias = "bad-day")]
    FaultScenario(fault_scenario::FaultScenario),
    /// Plays random, overlapping faults against node processes of the platform, and checks the rules from outside.
    Soak(soak::Soak),
    /// Registers an engine in etcd under a lease and keeps it alive until interrupted, or once with --once.
    Register(register::Register),
    /// Marks an engine as draining in etcd.
    Drain(register::Drain),
    /// Measures how soon nodes follow watch events under load, and what a change costs by the number of engines.
    #[command(alias = "drains")]
    DrainLatency(drain_latency::DrainLatency),
    /// Measures in virtual time how soon peers detect a failure, how often they are wrong, and what it costs.
    Peers(peers::PeersCommand),
    /// Plays a plan of faults on daemons as processes, with a relay on each directed link, and reports.
    Cluster(cluster::ClusterCommand),
    /// Plays a scale run on processes of this machine, and what each role uses. Or, with --vary, one quantity alone at
    /// several sizes.
    Scale(ivyward_testbed::scale::command::ScaleFlags),
    /// Works out what a deployment of a size needs, from slopes that scale runs kept; without flags, of the size to plan for.
    Capacity(ivyward_testbed::capacity::command::CapacityFlags),
    /// Plays one node's decisions among all engines of a fleet, in synthetic time, and reports how far KV caches move.
    #[command(alias = "handover")]
    KvTransfer(ivyward_testbed::kv_transfer::KvTransferFlags),
    /// A process of a scale run, which starts it.
    #[command(name = ivyward_testbed::scale::child::SUBCOMMAND, hide = true)]
    Hollow(Hollow),
    /// Plays clusters in virtual time under faults drawn from a seed, and checks the rules: one seed, or many.
    #[command(aliases = ["seed", "seeds"])]
    Simulate(simulate::Simulate),
    /// Activates each mutation in turn and plays seeds until one finds it. Only with RUSTFLAGS="--cfg mutations".
    #[cfg(mutations)]
    #[command(alias = "planted")]
    Mutations(mutations::Mutations),
    /// Runs one fake engine; lines on standard input make it drain, hang, slow down, fail, die and come back.
    Engine(manual::Engine),
    /// Runs a small store that speaks etcd's API.
    Store(manual::Store),
    /// Runs a fleet of fake engines and prints the daemon's flags for it. Lines on standard input: ID ORDER.
    Fleet(manual::Fleet),
    /// Sends one request, prints its tokens as they come and how it ended.
    #[command(alias = "ask")]
    Request(manual::Request),
    /// Prints the JSON schema of registration records.
    Schema,
    /// Measures what a node adds: streams straight from an engine against the same through a node, and what a decision
    /// costs by the number of engines.
    #[command(alias = "relay")]
    RelayOverhead(relay_overhead::RelayOverhead),
    /// Replays a node's recording into a fresh router and compares every action.
    ReplayRecord(replay_record::ReplayRecord),
}

impl Command {
    /// Carries the command out.
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
                flags.play()?;
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
            Command::Hollow(command) => command.run(),
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
pub struct Hollow {
    /// What it is, as JSON.
    role: String,
}

impl Hollow {
    fn run(self) -> CommandResult {
        let role = serde_json::from_str(&self.role)
            .map_err(|error| format!("{:?}: {error}", self.role))?;
        ivyward_testbed::scale::hollow::run(role)?;
        Ok(ExitCode::SUCCESS)
    }
}
