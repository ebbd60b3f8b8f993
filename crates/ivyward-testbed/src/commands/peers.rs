//! `peers`: measures failure detection among many nodes in virtual time.

use super::{file_error, threads, CommandResult};
use ivyward_core::peers::PeerSettings;
use ivyward_testbed::peer_simulation;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(clap::Args)]
pub struct PeersCommand {
    /// Number of nodes. May be given several times; each number is measured by itself.
    #[arg(long, default_values_t = [16, 64], value_parser = clap::value_parser!(u64).range(2..=2_000))]
    nodes: Vec<u64>,
    /// Number of seeds to run for each number of nodes.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// Virtual minutes to run with paused nodes, for each seed and each loss rate.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=600))]
    minutes: u64,
    /// Disables local health awareness, for a comparison with SWIM as first published.
    #[arg(long)]
    plain: bool,
    /// Writes an SVG chart to this file that shows how soon the surviving nodes detect a failure.
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
