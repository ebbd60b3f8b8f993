//! `relay-overhead`: measures the latency that a node adds to a stream and the CPU time of a routing decision.

use super::CommandResult;
use ivyward_testbed::relay_overhead::{format_tables, measure_decision_costs, measure_streams};
use std::process::ExitCode;

/// Number of requests whose routing decisions are timed at each fleet size.
const DECISIONS: usize = 1_600;

#[derive(clap::Args)]
pub struct RelayOverhead {
    /// Number of concurrent streams. May be given several times; each number is measured by itself.
    #[arg(long, default_values_t = [1, 64, 1000], value_parser = clap::value_parser!(u64).range(1..=4_000))]
    streams: Vec<u64>,
    /// Number of engines in the fleet for which the decision time is measured. May be given several times.
    #[arg(long, default_values_t = [30, 130, 500, 2000], value_parser = clap::value_parser!(u64).range(4..=4_000))]
    fleet: Vec<u64>,
    /// Number of measured rounds for each number of streams, after one warm-up round.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
    rounds: u64,
}

impl RelayOverhead {
    pub fn run(self) -> CommandResult {
        let sizes = |values: &[u64]| values.iter().map(|n| *n as usize).collect::<Vec<_>>();
        let rows = measure_streams(&sizes(&self.streams), self.rounds as usize)?;
        let costs = measure_decision_costs(&sizes(&self.fleet), DECISIONS)?;
        print!("{}", format_tables(&rows, &costs));
        Ok(ExitCode::SUCCESS)
    }
}
