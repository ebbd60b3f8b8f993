//! Runs many seeds, and shrinks the plan of a seed that fails.

use super::fault::Fault;
use super::plan::{plan, ScheduledFault};
use super::run::run;
use super::{lock, Size};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, PoisonError};

/// The combined results of many seeds.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of seeds that were run.
    pub runs: u64,
    /// The seeds that failed, each with its failures and the last events before the first of them.
    pub failures: BTreeMap<u64, Vec<String>>,
    /// The outcomes of calls as clients saw them, summed over all seeds.
    pub client_outcomes: BTreeMap<&'static str, u64>,
    /// Coincidences, outcomes of attempts and kinds of endpoint lists, summed over all seeds.
    pub coincidences: BTreeMap<&'static str, u64>,
    /// The number of injected faults by kind.
    pub faults: BTreeMap<String, u64>,
}

pub(super) fn name(fault: &Fault) -> String {
    match serde_json::to_value(fault) {
        Ok(serde_json::Value::Object(map)) => map.keys().next().cloned().unwrap_or_default(),
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Runs `count` seeds on `jobs` threads, and calls `progress` after each of them. Each seed has its own simulation, so the
/// runs do not affect each other.
pub fn run_seeds(
    from: u64,
    count: u64,
    jobs: usize,
    size: &Size,
    progress: &(dyn Fn(&Summary) + Sync),
) -> Summary {
    let summary = Mutex::new(Summary::default());
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
                let mut summary = lock(&summary);
                summary.runs += 1;
                outcome
                    .coincidences
                    .iter()
                    .for_each(|(what, n)| *summary.coincidences.entry(what).or_default() += n);
                outcome
                    .client_outcomes
                    .iter()
                    .for_each(|(how, n)| *summary.client_outcomes.entry(how).or_default() += n);
                plan.iter()
                    .for_each(|t| *summary.faults.entry(name(&t.fault)).or_default() += 1);
                if !outcome.failures.is_empty() {
                    let last = outcome.last_steps(6);
                    let mut lines = outcome.failures;
                    lines.extend(
                        last.into_iter()
                            .map(|line| format!("  preceding event: {line}")),
                    );
                    summary.failures.insert(seed, lines);
                }
                progress(&summary);
            });
        }
    });
    summary.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the first of `count` seeds that fails, with its first failure.
pub fn first_failing_seed(
    from: u64,
    count: u64,
    jobs: usize,
    size: &Size,
) -> Option<(u64, String)> {
    let (mut at, end) = (from, from.saturating_add(count));
    while at < end {
        let batch = (jobs.max(1) as u64 * 4).min(end - at);
        let found = run_seeds(at, batch, jobs, size, &|_| {});
        if let Some((seed, lines)) = found.failures.into_iter().next() {
            return Some((seed, lines.into_iter().next().unwrap_or_default()));
        }
        at += batch;
    }
    None
}

/// Removes each fault from a plan without which the run still fails.
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
