//! `mutations`: reports how many seeds it takes to detect each mutation.

use super::simulate::size;
use super::{exit_code, threads, CommandResult};
use ivyward_core::mutations::{activate, GENERAL, PEERS};
use ivyward_testbed::simulation::{first_failing_seed, Size};

#[derive(clap::Args)]
pub struct Mutations {
    /// Maximum number of seeds to simulate for each mutation.
    #[arg(long, default_value_t = 2_000)]
    count: u64,
    /// Number of threads; 0 uses one per core.
    #[arg(long, default_value_t = 0)]
    jobs: usize,
}

impl Mutations {
    pub fn run(self) -> CommandResult {
        println!("| mutation | seeds | found by |\n| --- | --- | --- |");
        let peers = size(true, Size::default().faults, Size::default().intensity);
        let usual = GENERAL.map(|mutation| (mutation, Size::default()));
        let of_peers = PEERS.map(|mutation| (mutation, peers));
        let mut all_found = true;
        for (mutation, size) in usual.into_iter().chain(of_peers) {
            activate(Some(mutation));
            let found = first_failing_seed(1, self.count, threads(self.jobs), &size);
            all_found &= found.is_some();
            match found {
                Some((seed, line)) => println!("| {mutation:?} | {seed} | {line} |"),
                None => println!("| {mutation:?} | none of {} | |", self.count),
            }
        }
        activate(None);
        Ok(exit_code(all_found))
    }
}
