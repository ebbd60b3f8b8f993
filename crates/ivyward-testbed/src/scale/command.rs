//! Flags and text report of the `scale` subcommand.

use crate::scale::cluster::Programs;
use crate::scale::run::{run, Part, Report};
use crate::scale::size::Size;
use crate::scale::sweep::{sweep, Quantity, Sweep};
use crate::scale::ScaleError;
use serde::Serialize;
use std::path::{Path, PathBuf};

/// Flags of the `scale` subcommand.
#[derive(Debug, clap::Args)]
pub struct ScaleFlags {
    /// Number of stub nodes, including the measured one. Stub nodes exchange control traffic and serve no requests.
    #[arg(long, default_value_t = 10)]
    nodes: u64,
    /// Number of stub engines.
    #[arg(long, default_value_t = 40)]
    engines: u64,
    /// Number of daemons that serve requests.
    #[arg(long, default_value_t = 1)]
    real_nodes: u64,
    /// Connections to engines that the measured stub node opens and keeps open. Default: one to each engine.
    #[arg(long)]
    connections: Option<u64>,
    /// Number of tenants in the nodes' settings.
    #[arg(long, default_value_t = 10)]
    tenants: u64,
    /// Number of request classes in the nodes' settings.
    #[arg(long, default_value_t = 4)]
    classes: u64,
    /// Number of sessions over which the requests at each daemon are spread.
    #[arg(long, default_value_t = 200)]
    sessions: u64,
    /// Requests per second at each daemon, from 0 to 1000.
    #[arg(long, default_value_t = 4.0)]
    rate: f64,
    /// Duration of the measurement of each part, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Seed of all random choices.
    #[arg(long, env = "IVYWARD_TESTBED_SEED", default_value_t = 1)]
    seed: u64,
    /// Varies only this quantity over a fixed list of sizes and fits lines to the resource use of each role, instead of one
    /// run of the given size.
    #[arg(long)]
    vary: Option<Quantity>,
    /// Measurements of each size with --vary, from 1 to 20.
    #[arg(long = "plays", id = "plays", value_name = "PLAYS", default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=20))]
    repetitions: u64,
    /// Writes the report to this file, as JSON.
    #[arg(long, value_name = "FILE")]
    keep: Option<PathBuf>,
    /// Path of the daemon's program. Default: `ivywardd` in the directory of this program.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
}

impl ScaleFlags {
    fn size(&self) -> Size {
        Size {
            nodes: self.nodes,
            engines: self.engines,
            real_nodes: self.real_nodes,
            connections: self.connections.unwrap_or(self.engines),
            tenants: self.tenants,
            classes: self.classes,
            sessions: self.sessions,
            rate: self.rate,
            changes: 0,
            seconds: self.seconds,
            seed: self.seed,
        }
    }

    fn programs(&self) -> Result<Programs, ScaleError> {
        let testbed =
            std::env::current_exe().map_err(ScaleError::io("finding the path of this program"))?;
        let daemon = self
            .daemon
            .clone()
            .unwrap_or_else(|| testbed.with_file_name("ivywardd"));
        Ok(Programs { testbed, daemon })
    }

    /// Carries out the run or the sweep, prints the report, and writes it as JSON if a file was given.
    ///
    /// # Errors
    /// When the size is invalid or exceeds a limit, a process fails, or the report cannot be written.
    pub fn run(&self) -> Result<(), ScaleError> {
        let programs = self.programs()?;
        if let Some(quantity) = self.vary {
            let before_size = |value, repetition| {
                eprintln!(
                    "measuring {} {value}, repetition {repetition}",
                    quantity.name()
                );
            };
            let swept = sweep(quantity, self.repetitions, &programs, before_size)?;
            print!("{}", sweep_text(&swept));
            return self.keep(&swept);
        }
        let report = run(self.size(), programs)?;
        print!("{}", report_text(&report));
        self.keep(&report)
    }

    fn keep(&self, what: &impl Serialize) -> Result<(), ScaleError> {
        let Some(path) = &self.keep else {
            return Ok(());
        };
        write_json(path, what)
    }
}

/// Writes a report as JSON.
///
/// # Errors
/// When the file cannot be written.
pub fn write_json(path: &Path, what: &impl Serialize) -> Result<(), ScaleError> {
    let text =
        serde_json::to_string_pretty(what).map_err(|e| ScaleError::Process(e.to_string()))?;
    std::fs::write(path, text + "\n").map_err(ScaleError::io(path.display().to_string()))
}

fn part_text(part: &Part) -> String {
    let mut text = format!("{}\n", part.name);
    for (what, took) in &part.took_ms {
        text += &format!("  {what}: {took:.0} ms\n");
    }
    for (role, rates) in &part.roles {
        text += &format!(
            "  {role:<8} {:6.2}% of a core  {:8.0} KiB  {:6.0} descriptors",
            rates.core_percent, rates.resident_kib, rates.descriptors
        );
        for (name, part) in &rates.parts {
            text += &format!(
                "  {name} {:.0} B/s in, {:.0} out, {:.2}%",
                part.bytes_in, part.bytes_out, part.busy_percent
            );
        }
        text.push('\n');
    }
    if let Some(seen) = &part.clients {
        text += &format!(
            "  clients: {} requests ended, {} served, {} refused, {} failed, {} tokens, first token {:.0} ms, 95 in 100 {:.0} ms\n",
            seen.requests, seen.served, seen.rejected, seen.failed, seen.tokens, seen.first_token_ms[0], seen.first_token_ms[1]
        );
    }
    text
}

fn report_text(report: &Report) -> String {
    report.parts.iter().map(part_text).collect()
}

fn sweep_text(swept: &Sweep) -> String {
    let mut text = String::new();
    for (role, fits) in &swept.fits {
        for (figure, fit) in fits {
            text += &format!(
                "{role}.{figure}: {:.4} a {} and {:.2}, residual {:.3};",
                fit.slope,
                swept.quantity.name(),
                fit.intercept,
                fit.residual
            );
            for p in &fit.predictions {
                text += &format!(
                    " at {} predicted {:.2}, measured {:.2} ({:+.0}%);",
                    p.size, p.predicted, p.measured, p.error_percent
                );
            }
            text.push('\n');
        }
    }
    text
}
