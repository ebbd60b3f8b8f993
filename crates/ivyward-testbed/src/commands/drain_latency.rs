//! `drain-latency`: how soon nodes follow watch events.

use super::{exit_code, CommandResult};
use ivyward_testbed::drain_latency::{changes, followed, text};

/// Nodes that follow the store.
const NODES: usize = 2;
/// Changes of each fleet whose cost is measured.
const CHANGES: usize = 200;

#[derive(clap::Args)]
pub struct DrainLatency {
    /// Drains and departures.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    drains: u64,
    /// Engines in the fleet, for the cost of a change; may be given several times.
    #[arg(long, default_values_t = [100, 1_000, 10_000], value_parser = clap::value_parser!(u64).range(1..=50_000))]
    fleet: Vec<u64>,
    /// The store is among the faulty: it lags, batches, restarts, hangs, goes half open, and loses its history.
    #[arg(long)]
    faults: bool,
}

impl DrainLatency {
    pub fn run(self) -> CommandResult {
        let sizes: Vec<usize> = self.fleet.iter().map(|engines| *engines as usize).collect();
        let followed = followed(self.drains as usize, NODES, self.faults)?;
        let changes = changes(&sizes, CHANGES)?;
        print!("{}", text(&followed, &changes));
        Ok(exit_code(followed.broken.is_empty()))
    }
}
