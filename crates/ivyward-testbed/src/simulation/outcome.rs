//! The result of one simulation run, and its trace.

use super::START;
use ivyward::core::interface::{Action, Micros};
use ivyward::recording::RecordingReader;
use ivyward_fakes::event_log::LoggedEvent;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The result of one simulation run.
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
    /// How often each of [`COINCIDENCES`](crate::simulation::COINCIDENCES) occurred, how often attempts ended in each outcome,
    /// and how often nodes received each kind of endpoint list.
    pub coincidences: BTreeMap<&'static str, u64>,
    /// The virtual time at the end of the run.
    pub duration: Micros,
    /// The event log of engines, clients and the script, in order.
    pub observed: Vec<LoggedEvent>,
    /// The recording of each incarnation of a node, with the node's number: the events that its router core received, and its
    /// actions.
    pub recordings: Vec<(usize, Vec<u8>)>,
    /// The first violation.
    pub first_violation: Option<Violation>,
}

/// The first violation of a rule in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The number of polls, events and reads before the violation.
    pub step: u64,
    /// The time of the violation on the virtual clock.
    pub at: Micros,
    /// The rule and how it was violated.
    pub rule: String,
    /// The number of events in the event log at the time of the violation.
    pub seen: usize,
}

impl Outcome {
    /// Returns a line for each event of the event log and for each event and action of the nodes' router cores, with the time
    /// in milliseconds from the start of the run. Timers that a core sets are left out.
    pub fn trace(&self) -> String {
        let ms = |at: Micros| at.saturating_sub(START) as f64 / 1e3;
        let mut lines = Vec::new();
        for (i, LoggedEvent { at, event: what }) in self.observed.iter().enumerate() {
            lines.push((*at, format!("seen    {what:?}")));
            if let Some(violation) = self.first_violation.as_ref().filter(|b| b.seen == i + 1) {
                lines.push((
                    *at,
                    format!("BROKEN  {} (step {})", violation.rule, violation.step),
                ));
            }
        }
        for (node, bytes) in &self.recordings {
            let Ok(mut reader) = RecordingReader::begin(&bytes[..]) else {
                continue;
            };
            // The replay of the recording reports a malformed step.
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

    /// Returns the last `count` events of the event log, up to the first violation.
    pub fn last_steps(&self, count: usize) -> Vec<String> {
        let until = self
            .first_violation
            .as_ref()
            .map_or(self.observed.len(), |b| b.seen);
        let from = until.saturating_sub(count);
        let line = |s: &LoggedEvent| {
            format!(
                "{:.3} ms {:?}",
                s.at.saturating_sub(START) as f64 / 1e3,
                s.event
            )
        };
        self.observed[from..until].iter().map(line).collect()
    }
}
