//! `simulate`: simulates clusters in virtual time for one seed or a range of seeds.

use super::{exit_code, file_error, threads, CommandResult};
use ivyward_testbed::simulation::{self, Size, Summary};
use std::path::PathBuf;
use std::process::ExitCode;

/// Number of nodes of a cluster with peer discovery.
const NODES_WITH_PEERS: usize = 4;
/// Maximum number of failed seeds that are printed.
const MAX_PRINTED: usize = 20;
/// Maximum number of lines that are printed for each failed seed.
const MAX_LINES: usize = 12;
/// A run of at least this many seeds fails if one of the coincidences in the catalogue never occurred.
const SEEDS_FOR_ALL_COINCIDENCES: u64 = 1_000;
/// Number of seeds between two progress lines.
const PROGRESS_INTERVAL: u64 = 500;

#[derive(clap::Args)]
pub struct Simulate {
    /// Simulates only this seed and prints its plan. Without it, a range of seeds is simulated.
    seed: Option<u64>,
    /// First seed of the range.
    #[arg(long, default_value_t = 1, conflicts_with = "seed")]
    from: u64,
    /// Number of seeds in the range.
    #[arg(long, default_value_t = 1_000, conflicts_with = "seed")]
    count: u64,
    /// Number of threads; 0 uses one per core.
    #[arg(long, default_value_t = 0, conflicts_with = "seed")]
    jobs: usize,
    /// Number of faults in the plan of each seed.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=200))]
    faults: u64,
    /// Intensity of the faults, from 0.1 to 20. Their durations, the shares of affected traffic and the slowdowns grow with
    /// it.
    #[arg(long = "rough", value_name = "ROUGH", default_value_t = 1.0, value_parser = intensity)]
    intensity: f64,
    /// Runs peer discovery between the nodes and injects faults between them as well.
    #[arg(long)]
    peers: bool,
    /// If the seed fails, reduces its plan to the faults that are needed for the failure.
    #[arg(long, requires = "seed")]
    shrink: bool,
    /// Injects only these faults of the plan, numbered from 0 in the order in which they are printed, for example 0,3-5.
    #[arg(long, value_name = "PART", value_parser = fault_numbers, requires = "seed")]
    keep: Option<FaultNumbers>,
    /// Writes the observed events, the events and actions of each router, and the failures to this file, one per line.
    #[arg(long, value_name = "FILE", requires = "seed")]
    trace: Option<PathBuf>,
}

/// Numbers of the faults in a plan that `--keep` selects.
#[derive(Clone, Debug, PartialEq)]
struct FaultNumbers(Vec<usize>);

/// Returns the size of a simulated cluster, which has more nodes if peer discovery is on.
pub fn size(peers: bool, faults: usize, intensity: f64) -> Size {
    let default = Size::default();
    Size {
        faults,
        intensity,
        peers,
        nodes: if peers {
            NODES_WITH_PEERS
        } else {
            default.nodes
        },
        ..default
    }
}

impl Simulate {
    pub fn run(self) -> CommandResult {
        let size = size(self.peers, self.faults as usize, self.intensity);
        match self.seed {
            Some(seed) => self.run_one(seed, &size),
            None => Ok(self.run_range(&size)),
        }
    }

    fn run_one(self, seed: u64, size: &Size) -> CommandResult {
        let mut plan = simulation::plan(seed, size);
        if let Some(FaultNumbers(kept)) = self.keep {
            if let Some(number) = kept.iter().find(|number| **number >= plan.len()) {
                let faults = plan.len();
                return Err(format!(
                    "--keep {number}: the plan has {faults} faults, numbered from 0"
                )
                .into());
            }
            let mut number = 0..;
            plan.retain(|_| number.next().is_some_and(|number| kept.contains(&number)));
        }
        let mut outcome = simulation::run(seed, size, &plan);
        if self.shrink && !outcome.failures.is_empty() {
            plan = simulation::shrink(seed, size, &plan);
            outcome = simulation::run(seed, size, &plan);
        }
        if let Some(path) = self.trace {
            std::fs::write(&path, outcome.trace())
                .map_err(|error| file_error("--trace", &path, error))?;
        }
        for timed in &plan {
            println!("{}", serde_json::to_string(timed)?);
        }
        println!("client outcomes: {:?}", outcome.client_outcomes);
        println!(
            "digest {:016x} over {} events in {} ms of virtual time",
            outcome.digest,
            outcome.events,
            outcome.duration / 1_000
        );
        for line in &outcome.failures {
            println!("{line}");
        }
        Ok(exit_code(outcome.failures.is_empty()))
    }

    fn run_range(self, size: &Size) -> ExitCode {
        let count = self.count;
        let progress = |summary: &Summary| {
            if summary.runs % PROGRESS_INTERVAL == 0 {
                let (run, failed) = (summary.runs, summary.failures.len());
                eprintln!("{run} of {count} seeds simulated, {failed} failed");
            }
        };
        let summary = simulation::run_seeds(self.from, count, threads(self.jobs), size, &progress);
        let (run, from, faults) = (summary.runs, self.from, size.faults);
        let intensity = size.intensity;
        println!(
            "{run} seeds simulated from seed {from} on, each with {faults} faults of intensity {intensity}"
        );
        print_summary(&summary);
        let missing = coincidences_not_seen(&summary);
        // A small number of seeds need not produce every coincidence.
        let incomplete = count >= SEEDS_FOR_ALL_COINCIDENCES && !missing.is_empty();
        if incomplete {
            println!("coincidences that never occurred: {}", missing.join("; "));
        }
        print_failures(&summary);
        exit_code(summary.failures.is_empty() && !incomplete)
    }
}

fn print_summary(summary: &Summary) {
    let outcomes: Vec<String> = summary
        .client_outcomes
        .iter()
        .map(|(outcome, count)| format!("{outcome} {count}"))
        .collect();
    println!("client outcomes: {}", outcomes.join(", "));
    let faults: Vec<String> = summary
        .faults
        .iter()
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    println!("faults: {}", faults.join(", "));
    println!("met:");
    for (coincidence, count) in &summary.coincidences {
        println!("  {coincidence}: {count}");
    }
}

fn coincidences_not_seen(summary: &Summary) -> Vec<&'static str> {
    simulation::COINCIDENCES
        .into_iter()
        .filter(|coincidence| !summary.coincidences.contains_key(coincidence))
        .collect()
}

fn print_failures(summary: &Summary) {
    println!("failed seeds: {}", summary.failures.len());
    for (seed, lines) in summary.failures.iter().take(MAX_PRINTED) {
        println!("seed {seed}:");
        for line in lines.iter().take(MAX_LINES) {
            println!("  {line}");
        }
    }
}

fn intensity(text: &str) -> Result<f64, String> {
    let intensity: f64 = text.parse().map_err(|error| format!("{error}"))?;
    match (0.1..=20.0).contains(&intensity) {
        true => Ok(intensity),
        false => Err("must be from 0.1 to 20".into()),
    }
}

fn fault_numbers(text: &str) -> Result<FaultNumbers, String> {
    let number = |text: &str| {
        text.trim()
            .parse::<usize>()
            .map_err(|_| format!("{text:?} is not a fault number"))
    };
    let mut numbers = Vec::new();
    for piece in text.split(',') {
        let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
        let (from, to) = (number(from)?, number(to)?);
        if from > to || to >= 1_000 {
            return Err(format!(
                "{piece:?} is not a range of fault numbers from 0 to 999"
            ));
        }
        numbers.extend(from..=to);
    }
    Ok(FaultNumbers(numbers))
}
