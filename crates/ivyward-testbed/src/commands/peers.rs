//! `peers`: failure detection among many nodes in virtual time.

use super::{file_error, threads, CommandResult};
use ivyward_core::peers::PeerSettings;
use ivyward_testbed::peer_simulation;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct PeersCommand {
    /// Nodes; may be given several times.
    #[arg(long, default_values_t = [16, 64], value_parser = clap::value_parser!(u64).range(2..=2_000))]
    nodes: Vec<u64>,
    /// Seeds of each.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// Minutes with pauses, each seed at each loss.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=600))]
    minutes: u64,
    /// Without what a node knows of its own health: SWIM as it was first described, for comparison.
    #[arg(long)]
    plain: bool,
    /// Draws in this file, as SVG, how soon survivors know of a failure.
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
}

impl PeersCommand {
    pub fn run(self) -> CommandResult {
        let settings = PeerSettings {
            local_health: !self.plain,
            ..PeerSettings::default()
        };
        let mut all = Vec::new();
        println!("{}", peer_simulation::TABLE_HEADER);
        for nodes in self.nodes {
            let figures = peer_simulation::measure(
                nodes as usize,
                self.seeds,
                self.minutes,
                settings,
                threads(0),
            );
            println!("{figures}");
            all.push(figures);
        }
        if let Some(path) = self.chart {
            std::fs::write(&path, peer_simulation::chart(&all))
                .map_err(|error| file_error("--chart", &path, error))?;
        }
        Ok(ExitCode::SUCCESS)
    }
}
