//! The report of a soak run: a line for each seed, the faults that occurred, and the pairs of faults that overlapped or
//! never did.

use crate::soak::oracle::Violation;
use crate::soak::plan::{FaultKind, Plan};
use ivyward_fault_injection::SystemFault;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::PathBuf;

/// The result of one seed.
pub struct SeedReport {
    /// The seed's fault plan.
    pub plan: Plan,
    /// The directory with the logs and the plan.
    pub dir: PathBuf,
    /// The number of answers by status and by whether they were complete.
    pub answers: BTreeMap<(u16, bool), u64>,
    /// Violations of the rules, from the observations of engines and clients.
    pub rule_violations: Vec<Violation>,
    /// The number of invariant violations that the nodes logged.
    pub invariant_violations: u64,
    /// How often each fault of a system call occurred.
    pub faults: BTreeMap<SystemFault, u64>,
}

impl SeedReport {
    /// Returns whether a rule or an invariant was violated.
    pub fn has_violations(&self) -> bool {
        !self.rule_violations.is_empty() || self.invariant_violations > 0
    }
    /// Returns a summary of the seed in one line, followed by a line for each of the first four violations.
    pub fn summary_line(&self) -> String {
        let total: u64 = self.answers.values().sum();
        let served = self.answers.get(&(200, true)).copied().unwrap_or(0);
        let rejected: u64 = self
            .answers
            .iter()
            .filter(|((s, _), _)| matches!(s, 429 | 503))
            .map(|a| a.1)
            .sum();
        let mut rules: BTreeMap<&str, u64> = BTreeMap::new();
        for violation in &self.rule_violations {
            *rules.entry(violation.rule).or_default() += 1;
        }
        let mut line = format!(
            "seed {}: {total} answers, {served} served, {rejected} rejected, {} faults, {} overlaps",
            self.plan.seed,
            self.plan.faults.len(),
            self.plan.overlapping_kinds().len()
        );
        if self.has_violations() {
            let dir = self.dir.display();
            let _ = write!(
                line,
                "; VIOLATED {rules:?}, invariants {}; plan and logs in {dir}",
                self.invariant_violations
            );
            for violation in self.rule_violations.iter().take(4) {
                let _ = write!(
                    line,
                    "\n    {} {}: {}",
                    violation.rule, violation.subject, violation.observed
                );
            }
        }
        line
    }
}

/// The combined results of all seeds.
#[derive(Default)]
pub struct Report {
    seeds: u64,
    seeds_with_violations: Vec<u64>,
    answers: u64,
    faults: BTreeMap<SystemFault, u64>,
    kinds: BTreeMap<FaultKind, u64>,
    pairs: BTreeSet<(FaultKind, FaultKind)>,
}

impl Report {
    /// Adds the result of a seed.
    pub fn add(&mut self, seed: SeedReport) {
        self.seeds += 1;
        if seed.has_violations() {
            self.seeds_with_violations.push(seed.plan.seed);
        }
        self.answers += seed.answers.values().sum::<u64>();
        for (fault, count) in &seed.faults {
            *self.faults.entry(*fault).or_default() += count;
        }
        for fault in &seed.plan.faults {
            *self.kinds.entry(fault.kind).or_default() += 1;
        }
        self.pairs.extend(seed.plan.overlapping_kinds());
    }
    /// Returns whether no seed violated a rule or an invariant.
    pub fn all_passed(&self) -> bool {
        self.seeds_with_violations.is_empty()
    }
    /// Returns the pairs of different kinds that never overlapped, each with the smaller kind first.
    pub fn pairs_never_overlapped(&self) -> Vec<(FaultKind, FaultKind)> {
        let pairs = FaultKind::ALL
            .iter()
            .flat_map(|a| FaultKind::ALL.iter().map(move |b| (*a, *b)));
        pairs
            .filter(|(a, b)| a < b && !self.pairs.contains(&(*a, *b)))
            .collect()
    }
    /// Returns the text that ends the report.
    pub fn text(&self) -> String {
        let never = self.pairs_never_overlapped();
        let all = FaultKind::ALL.len() * (FaultKind::ALL.len() - 1) / 2;
        let mut out = format!(
            "{} seeds, {} answers; seeds with violations: {:?}\nfaults: {:?}\nfaults of system calls: {:?}\n",
            self.seeds, self.answers, self.seeds_with_violations, self.kinds, self.faults
        );
        let _ = writeln!(
            out,
            "{} of {all} pairs of faults overlapped; never overlapped: {never:?}",
            all - never.len()
        );
        out
    }
}
