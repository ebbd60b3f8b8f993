//! What came of a soak: a line a seed, faults that took place, and pairs of troubles that met or never did.

use crate::soak::oracle::Violation;
use crate::soak::plan::{FaultKind, Plan};
use ivyward_fault_injection::SystemFault;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::PathBuf;

/// What came of one seed.
pub struct SeedReport {
    /// Its troubles.
    pub plan: Plan,
    /// Its logs and its plan.
    pub folder: PathBuf,
    /// Answers by status, and whether they came whole.
    pub answers: BTreeMap<(u16, bool), u64>,
    /// Rules that did not hold, by what engines and clients observed.
    pub rule_violations: Vec<Violation>,
    /// Invariants that did not hold, by what the nodes' guards say.
    pub invariant_violations: u64,
    /// How often each fault of a system call took place.
    pub faults: BTreeMap<SystemFault, u64>,
}

impl SeedReport {
    /// Whether a rule or an invariant did not hold.
    pub fn has_violations(&self) -> bool {
        !self.rule_violations.is_empty() || self.invariant_violations > 0
    }
    /// One line.
    pub fn summary_line(&self) -> String {
        let total: u64 = self.answers.values().sum();
        let served = self.answers.get(&(200, true)).copied().unwrap_or(0);
        let refused: u64 = self
            .answers
            .iter()
            .filter(|((s, _), _)| matches!(s, 429 | 503))
            .map(|a| a.1)
            .sum();
        let mut rules: BTreeMap<&str, u64> = BTreeMap::new();
        for broken in &self.rule_violations {
            *rules.entry(broken.rule).or_default() += 1;
        }
        let mut line = format!(
            "seed {}: {total} answers, {served} served, {refused} refused, {} troubles, {} overlaps",
            self.plan.seed,
            self.plan.faults.len(),
            self.plan.overlapping_kinds().len()
        );
        if self.has_violations() {
            let folder = self.folder.display();
            let _ = write!(
                line,
                "; BROKEN {rules:?}, guard {}; plan and logs in {folder}",
                self.invariant_violations
            );
            for broken in self.rule_violations.iter().take(4) {
                let _ = write!(
                    line,
                    "\n    {} {}: {}",
                    broken.rule, broken.subject, broken.observed
                );
            }
        }
        line
    }
}

/// What came of all seeds.
#[derive(Default)]
pub struct Report {
    seeds: u64,
    broken: Vec<u64>,
    answers: u64,
    faults: BTreeMap<SystemFault, u64>,
    kinds: BTreeMap<FaultKind, u64>,
    pairs: BTreeSet<(FaultKind, FaultKind)>,
}

impl Report {
    /// Adds a seed.
    pub fn add(&mut self, seed: SeedReport) {
        self.seeds += 1;
        if seed.has_violations() {
            self.broken.push(seed.plan.seed);
        }
        self.answers += seed.answers.values().sum::<u64>();
        for (fault, count) in &seed.faults {
            *self.faults.entry(*fault).or_default() += count;
        }
        for trouble in &seed.plan.faults {
            *self.kinds.entry(trouble.kind).or_default() += 1;
        }
        self.pairs.extend(seed.plan.overlapping_kinds());
    }
    /// Whether every rule held in every seed.
    pub fn all_passed(&self) -> bool {
        self.broken.is_empty()
    }
    /// Pairs of different kinds that never met, the lower one first.
    pub fn pairs_never_overlapped(&self) -> Vec<(FaultKind, FaultKind)> {
        let pairs = FaultKind::ALL
            .iter()
            .flat_map(|a| FaultKind::ALL.iter().map(move |b| (*a, *b)));
        pairs
            .filter(|(a, b)| a < b && !self.pairs.contains(&(*a, *b)))
            .collect()
    }
    /// The end of the report.
    pub fn text(&self) -> String {
        let never = self.pairs_never_overlapped();
        let all = FaultKind::ALL.len() * (FaultKind::ALL.len() - 1) / 2;
        let mut out = format!(
            "{} seeds, {} answers; broken: {:?}\ntroubles: {:?}\nfaults of system calls that took place: {:?}\n",
            self.seeds, self.answers, self.broken, self.kinds, self.faults
        );
        let _ = writeln!(
            out,
            "{} of {all} pairs of troubles met; never met: {never:?}",
            all - never.len()
        );
        out
    }
}
