//! The result of one run, and its trace.

use super::BEGIN;
use ivyward::core::interface::{Action, Micros};
use ivyward::recording::RecordingReader;
use ivyward_fakes::event_log::LoggedEvent;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The result of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The digest over every byte, poll and event.
    pub digest: u64,
    /// The number of polls, events and reads in the digest.
    pub events: u64,
    /// Violations, a line each; empty if all rules held and everything ended.
    pub failures: Vec<String>,
    /// The outcomes of calls as clients saw them.
    pub client_outcomes: BTreeMap<&'static str, u64>,
    /// Coincidences of [`CATALOGUE`](crate::simulation::CATALOGUE) that came about, and ends of attempts, as often as they did.
    pub coincidences: BTreeMap<&'static str, u64>,
    /// Virtual time from begin to end.
    pub duration: Micros,
    /// The event log of engines, clients and the script, in order.
    pub observed: Vec<LoggedEvent>,
    /// The recording of each run of a node, with the node's number: what its module was told and did.
    pub recordings: Vec<(usize, Vec<u8>)>,
    /// The first violation.
    pub first_violation: Option<Violation>,
}

/// The first thing that broke in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Polls, events and reads before it.
    pub step: u64,
    /// When, on the virtual clock.
    pub at: Micros,
    /// The rule, and how.
    pub rule: String,
    /// How many things had been seen.
    pub seen: usize,
}

impl Outcome {
    /// What was seen, and what each node's module was told and did, a line each, in milliseconds from the scene's begin.
    pub fn trace(&self) -> String {
        let ms = |at: Micros| at.saturating_sub(BEGIN) as f64 / 1e3;
        let mut lines = Vec::new();
        for (i, LoggedEvent { at, event: what }) in self.observed.iter().enumerate() {
            lines.push((*at, format!("seen    {what:?}")));
            if let Some(broke) = self.first_violation.as_ref().filter(|b| b.seen == i + 1) {
                lines.push((*at, format!("BROKEN  {} (step {})", broke.rule, broke.step)));
            }
        }
        for (node, bytes) in &self.recordings {
            let Ok(mut reader) = RecordingReader::begin(&bytes[..]) else {
                continue;
            };
            // What is malformed is told by the replay.
            while let Ok(Some(step)) = reader.step() {
                lines.push((step.at, format!("node {node}  told {:?}", step.event)));
                for action in step
                    .actions
                    .iter()
                    .filter(|a| !matches!(a, Action::SetTimer { .. }))
                {
                    lines.push((step.at, format!("node {node}  does {action:?}")));
                }
            }
        }
        lines.sort_by_key(|l| l.0);
        let mut out = String::new();
        for (at, line) in lines {
            // Writing to a String cannot fail.
            let _ = writeln!(out, "{:>10.3} {line}", ms(at));
        }
        out
    }

    /// The last things seen up to what broke first.
    pub fn last_steps(&self, count: usize) -> Vec<String> {
        let until = self
            .first_violation
            .as_ref()
            .map_or(self.observed.len(), |b| b.seen);
        let from = until.saturating_sub(count);
        let line = |s: &LoggedEvent| {
            format!(
                "{:.3} ms {:?}",
                s.at.saturating_sub(BEGIN) as f64 / 1e3,
                s.event
            )
        };
        self.observed[from..until].iter().map(line).collect()
    }
}
