//! `soak`: injects random faults into node processes and checks the rules.

use super::{exit_code, CommandResult};
use ivyward_testbed::soak::{self, Options};
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Soak {
    /// Number of node processes to start.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=40))]
    nodes: u16,
    /// First seed to run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Length of the fault phase of each seed, in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(4..=3_600))]
    seconds: u64,
    /// Runs the plan in this JSON file instead of generating one for each seed.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Directory in which the logs, plans and configurations of all seeds are kept. Without it, only those of seeds with
    /// violations are kept, in the temporary directory of the system.
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Path of the daemon's executable. Defaults to `ivywardd` in the directory of this program.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
}

impl Soak {
    pub fn run(self) -> CommandResult {
        let report = soak::run_seeds(&self.options()?)?;
        print!("{}", report.text());
        Ok(exit_code(report.all_passed()))
    }

    fn options(self) -> Result<Options, Box<dyn std::error::Error>> {
        let daemon = match self.daemon {
            Some(path) => path,
            None => std::env::current_exe()?.with_file_name("ivywardd"),
        };
        let read = |path: PathBuf| {
            let text =
                std::fs::read(&path).map_err(|error| format!("{}: {error}", path.display()))?;
            serde_json::from_slice(&text).map_err(|error| format!("{}: {error}", path.display()))
        };
        Ok(Options {
            daemon,
            nodes: self.nodes.into(),
            seeds: (self.seed, self.seeds),
            seconds: self.seconds,
            plan: self.plan.map(read).transpose()?,
            keep_dir: self.keep,
        })
    }
}
