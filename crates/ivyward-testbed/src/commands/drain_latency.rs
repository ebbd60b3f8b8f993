//! `drain-latency`: measures how soon nodes act on watch events.

use super::{exit_code, CommandResult};
use ivyward_testbed::drain_latency::{
    format_tables, measure_change_costs, measure_watch_latencies,
};

/// Number of nodes that watch the store.
const NODES: usize = 2;
/// Number of record changes that are timed at each fleet size.
const CHANGES: usize = 200;

#[derive(clap::Args)]
pub struct DrainLatency {
    /// Number of times an engine is drained or its record deleted; the two alternate.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    drains: u64,
    /// Number of engines in the fleet for which the cost of a change is measured. May be given several times.
    #[arg(long, default_values_t = [100, 1_000, 10_000], value_parser = clap::value_parser!(u64).range(1..=50_000))]
    fleet: Vec<u64>,
    /// Injects faults into the store as well: late and batched watch events, cancelled watches, compaction, restarts, hangs,
    /// half-open connections and a slow link.
    #[arg(long)]
    faults: bool,
}

impl DrainLatency {
    pub fn run(self) -> CommandResult {
        let sizes: Vec<usize> = self.fleet.iter().map(|engines| *engines as usize).collect();
        let latencies = measure_watch_latencies(self.drains as usize, NODES, self.faults)?;
        let costs = measure_change_costs(&sizes, CHANGES)?;
        print!("{}", format_tables(&latencies, &costs));
        Ok(exit_code(latencies.violations.is_empty()))
    }
}
