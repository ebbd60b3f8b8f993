//! `simulate`: clusters in virtual time, by one seed or many.

use super::{exit_code, file_error, threads, CommandResult};
use ivyward_testbed::simulation::{self, Size, Summary};
use std::path::PathBuf;
use std::process::ExitCode;

/// Nodes of a cluster in which they know each other.
const NODES_WITH_PEERS: usize = 4;
/// Seeds with something wrong that are printed, and lines of each.
const MAX_PRINTED: usize = 20;
const MAX_LINES: usize = 12;
/// From so many seeds on, every situation of the catalogue has to have occurred.
const SEEDS_FOR_CATALOGUE: u64 = 1_000;
/// Seeds between two lines of progress.
const PROGRESS: u64 = 500;

#[derive(clap::Args)]
pub struct Simulate {
    /// Plays this seed alone and prints its plan; without it, a range of seeds.
    seed: Option<u64>,
    /// The first seed of the range.
    #[arg(long, default_value_t = 1, conflicts_with = "seed")]
    from: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1_000, conflicts_with = "seed")]
    count: u64,
    /// Threads; 0 for one a core.
    #[arg(long, default_value_t = 0, conflicts_with = "seed")]
    jobs: usize,
    /// Faults in each.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=200))]
    faults: u64,
    /// How rough they are: durations, shares and slowness grow with it.
    #[arg(long, default_value_t = 1.0, value_parser = roughness)]
    rough: f64,
    /// Nodes know each other, with faults between them.
    #[arg(long)]
    peers: bool,
    /// Cuts a plan under which something is wrong down to the faults that it takes.
    #[arg(long, requires = "seed")]
    shrink: bool,
    /// Plays only these faults of its plan, numbered from 0 as they are printed: 0,3-5.
    #[arg(long, value_name = "PART", value_parser = fault_numbers, requires = "seed")]
    keep: Option<FaultNumbers>,
    /// Writes what was observed, each router's events and actions, and what was wrong to this file, a line each.
    #[arg(long, value_name = "FILE", requires = "seed")]
    trace: Option<PathBuf>,
}

/// Numbers of faults in a plan.
#[derive(Clone, Debug, PartialEq)]
struct FaultNumbers(Vec<usize>);

/// The size of a cluster, with more nodes where they know each other.
pub fn size(peers: bool, faults: usize, rough: f64) -> Size {
    let usual = Size::default();
    Size {
        faults,
        intensity: rough,
        peers,
        nodes: if peers { NODES_WITH_PEERS } else { usual.nodes },
        ..usual
    }
}

impl Simulate {
    pub fn run(self) -> CommandResult {
        let size = size(self.peers, self.faults as usize, self.rough);
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
        println!("ends: {:?}", outcome.client_outcomes);
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
        let progress = |tally: &Summary| {
            if tally.runs % PROGRESS == 0 {
                let (played, wrong) = (tally.runs, tally.failures.len());
                eprintln!("{played} of {count} seeds, {wrong} with something wrong");
            }
        };
        let tally = simulation::run_seeds(self.from, count, threads(self.jobs), size, &progress);
        let (played, from, faults) = (tally.runs, self.from, size.faults);
        let rough = size.intensity;
        println!("{played} seeds from {from} on, {faults} faults of roughness {rough} in each");
        print_tally(&tally);
        let missed = never_met(&tally);
        // A few seeds need not bring about everything.
        let incomplete = count >= SEEDS_FOR_CATALOGUE && !missed.is_empty();
        if incomplete {
            println!("never met: {}", missed.join("; "));
        }
        print_wrong(&tally);
        exit_code(tally.failures.is_empty() && !incomplete)
    }
}

fn print_tally(tally: &Summary) {
    let ends: Vec<String> = tally
        .client_outcomes
        .iter()
        .map(|(end, count)| format!("{end} {count}"))
        .collect();
    println!("ends: {}", ends.join(", "));
    let faults: Vec<String> = tally
        .faults
        .iter()
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    println!("faults: {}", faults.join(", "));
    println!("met:");
    for (situation, count) in &tally.coincidences {
        println!("  {situation}: {count}");
    }
}

fn never_met(tally: &Summary) -> Vec<&'static str> {
    simulation::COINCIDENCES
        .into_iter()
        .filter(|situation| !tally.coincidences.contains_key(situation))
        .collect()
}

fn print_wrong(tally: &Summary) {
    println!("seeds with something wrong: {}", tally.failures.len());
    for (seed, lines) in tally.failures.iter().take(MAX_PRINTED) {
        println!("seed {seed}:");
        for line in lines.iter().take(MAX_LINES) {
            println!("  {line}");
        }
    }
}

fn roughness(text: &str) -> Result<f64, String> {
    let rough: f64 = text.parse().map_err(|error| format!("{error}"))?;
    match (0.1..=20.0).contains(&rough) {
        true => Ok(rough),
        false => Err("must be from 0.1 to 20".into()),
    }
}

fn fault_numbers(text: &str) -> Result<FaultNumbers, String> {
    let number = |text: &str| {
        text.trim()
            .parse::<usize>()
            .map_err(|_| format!("{text:?} is no number of a fault"))
    };
    let mut numbers = Vec::new();
    for piece in text.split(',') {
        let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
        let (from, to) = (number(from)?, number(to)?);
        if from > to || to >= 1_000 {
            return Err(format!("{piece:?} is no range of faults"));
        }
        numbers.extend(from..=to);
    }
    Ok(FaultNumbers(numbers))
}
