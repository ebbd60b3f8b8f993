//! Many seeds, and shrinking the plan of one that fails.

use super::fault::Fault;
use super::plan::{plan, ScheduledFault};
use super::run::run;
use super::{lock, Size};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, PoisonError};

/// What came of many seeds.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Seeds played.
    pub runs: u64,
    /// Those in which something was wrong, with what.
    pub failures: BTreeMap<u64, Vec<String>>,
    /// How calls ended, over all.
    pub client_outcomes: BTreeMap<&'static str, u64>,
    /// Coincidences and ends of attempts, over all.
    pub coincidences: BTreeMap<&'static str, u64>,
    /// Faults that were played, by kind.
    pub faults: BTreeMap<String, u64>,
}

pub(super) fn name(fault: &Fault) -> String {
    match serde_json::to_value(fault) {
        Ok(serde_json::Value::Object(map)) => map.keys().next().cloned().unwrap_or_default(),
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Plays seeds on so many threads. Each has a world of its own, so that they do not touch each other.
pub fn run_seeds(
    from: u64,
    count: u64,
    jobs: usize,
    size: &Size,
    told: &(dyn Fn(&Summary) + Sync),
) -> Summary {
    let tally = Mutex::new(Summary::default());
    let next = std::sync::atomic::AtomicU64::new(from);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= from.saturating_add(count) {
                    return;
                }
                let plan = plan(seed, size);
                let outcome = run(seed, size, &plan);
                let mut tally = lock(&tally);
                tally.runs += 1;
                outcome
                    .coincidences
                    .iter()
                    .for_each(|(what, n)| *tally.coincidences.entry(what).or_default() += n);
                outcome
                    .client_outcomes
                    .iter()
                    .for_each(|(how, n)| *tally.client_outcomes.entry(how).or_default() += n);
                plan.iter()
                    .for_each(|t| *tally.faults.entry(name(&t.fault)).or_default() += 1);
                if !outcome.failures.is_empty() {
                    let last = outcome.last_steps(6);
                    let mut lines = outcome.failures;
                    lines.extend(last.into_iter().map(|line| format!("  before it: {line}")));
                    tally.failures.insert(seed, lines);
                }
                told(&tally);
            });
        }
    });
    tally.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// The first of so many seeds in which something is wrong, and what.
pub fn first_failing_seed(
    from: u64,
    count: u64,
    jobs: usize,
    size: &Size,
) -> Option<(u64, String)> {
    let (mut at, end) = (from, from.saturating_add(count));
    while at < end {
        let part = (jobs.max(1) as u64 * 4).min(end - at);
        let found = run_seeds(at, part, jobs, size, &|_| {});
        if let Some((seed, lines)) = found.failures.into_iter().next() {
            return Some((seed, lines.into_iter().next().unwrap_or_default()));
        }
        at += part;
    }
    None
}

/// Cuts a plan down: as few faults as can be, with something still wrong.
pub fn shrink(seed: u64, size: &Size, plan: &[ScheduledFault]) -> Vec<ScheduledFault> {
    let mut small = plan.to_vec();
    let mut i = 0;
    while i < small.len() {
        let mut less = small.clone();
        less.remove(i);
        if run(seed, size, &less).failures.is_empty() {
            i += 1;
        } else {
            small = less;
        }
    }
    small
}
