//! Counters and gauges of a node, and their text format.

use crate::close_reason::CloseReason;
use crate::response::RejectReason;
use ivyward_core::interface::Outcome;
use ivyward_core::invariants::Rule;
use ivyward_runtime::Meter;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A counter or a gauge.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to it.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }
    /// Sets it, if it is a gauge.
    pub fn set(&self, n: u64) {
        self.0.store(n, Ordering::Relaxed);
    }
    /// Raises it to `n`, if it is lower.
    pub fn raise_to(&self, n: u64) {
        self.0.fetch_max(n, Ordering::Relaxed);
    }
    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// All metrics of a node.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests accepted.
    pub requests: Counter,
    /// Invalid requests.
    pub invalid: Counter,
    /// Final answers: served.
    pub served: Counter,
    /// Final answers: rejected, also at the server's bounds.
    pub rejected: Counter,
    /// Final answers: failed.
    pub failed: Counter,
    /// Requests whose client disconnected first.
    pub disconnected: Counter,
    /// Attempts sent.
    pub attempts: Counter,
    /// Ends of attempts, in the order of [`OUTCOMES`].
    pub outcomes: [Counter; 10],
    /// Attempts that follow one which ended so, in the order of [`OUTCOMES`].
    pub retries: [Counter; 10],
    /// Steps that an invariant forbade, in the order of [`Rule::ALL`].
    pub violations: [Counter; Rule::ALL.len()],
    /// Rejections by their reason, in the order of [`REJECT_REASONS`].
    pub rejections: [Counter; REJECT_REASONS.len()],
    /// Client connections that were closed, in the order of [`CloseReason::ALL`].
    pub client_closes: [Counter; CloseReason::ALL.len()],
    /// Releases asked of engines.
    pub releases: Counter,
    /// Releases left to the engines' own limit.
    pub releases_dropped: Counter,
    /// Engines in the list.
    pub engines: Counter,
    /// Engines that the router remembers: also removed ones that may still hold something for this node.
    pub engines_known: Counter,
    /// 1 while the list of engines may be out of date: the store does not answer, or something was missed.
    pub list_stale: Counter,
    /// The store's revision up to which the list is known.
    pub list_revision: Counter,
    /// Registration records that could not be read.
    pub records_malformed: Counter,
    /// Failed writes of the endpoint snapshot.
    pub snapshot_write_failures: Counter,
    /// Gaps: watches that broke, were compacted away or fell silent.
    pub list_gaps: Counter,
    /// Microseconds that the driver was busy, the router included.
    pub driver_us: Counter,
    /// Microseconds that the router was busy.
    pub router_us: Counter,
    /// Most tokens that ever waited for one client.
    pub max_buffered_tokens: Counter,
    /// Datagrams sent to peers, and their bytes.
    pub peer_datagrams_sent: Counter,
    /// See `peer_datagrams_sent`.
    pub peer_bytes_sent: Counter,
    /// Datagrams received, and those of them that could not be read.
    pub peer_datagrams_received: Counter,
    /// See `peer_datagrams_received`.
    pub peer_datagrams_malformed: Counter,
    /// Changes of the view of the peers.
    pub peer_changes: Counter,
    /// Client connections closed at once at the server's bound.
    pub clients_rejected: Counter,
    /// Traffic with engines.
    pub engine_traffic: Arc<Meter>,
    /// Traffic with the store for the list of engines.
    pub list_traffic: Arc<Meter>,
    /// Traffic with other nodes.
    pub peer_traffic: Arc<Meter>,
    /// Traffic with clients.
    pub client_traffic: Arc<Meter>,
}

/// The outcomes of attempts, with their names in metrics.
pub const OUTCOMES: [(Outcome, &str); 10] = [
    (Outcome::Served, "served"),
    (Outcome::Prefilled, "read"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "full"),
    (Outcome::KvCacheMiss, "state_lost"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];

/// The reasons of rejections, with their names in metrics.
pub const REJECT_REASONS: [(RejectReason, &str); 3] = [
    (RejectReason::Overloaded, "overload"),
    (RejectReason::NodeFull, "node_full"),
    (RejectReason::Stopping, "stopping"),
];

impl Metrics {
    /// Counts a closed client connection.
    pub fn count_client_close(&self, reason: CloseReason) {
        self.client_closes[reason as usize].add(1);
    }
    /// Steps that an invariant forbade, over all rules.
    pub fn all_violations(&self) -> u64 {
        self.violations.iter().map(Counter::get).sum()
    }
    pub(crate) fn count_rejection(&self, rejected_for: RejectReason) {
        if let Some(i) = REJECT_REASONS
            .iter()
            .position(|(reason, _)| *reason == rejected_for)
        {
            self.rejections[i].add(1);
        }
    }
    pub(crate) fn count_retry(&self, outcome: Outcome) {
        if let Some(i) = OUTCOMES.iter().position(|(o, _)| *o == outcome) {
            self.retries[i].add(1);
        }
    }
    pub(crate) fn count_outcome(&self, outcome: Outcome) {
        if let Some(i) = OUTCOMES.iter().position(|(o, _)| *o == outcome) {
            self.outcomes[i].add(1);
        }
    }
    /// The metrics in Prometheus' text format.
    pub fn text(&self, open: usize) -> String {
        let mut out = String::new();
        self.plain_text(&mut out, open);
        self.labelled_text(&mut out);
        self.traffic_text(&mut out);
        out
    }
    /// Metrics without labels.
    fn plain_text(&self, out: &mut String, open: usize) {
        let metrics = [
            ("requests_total", &self.requests),
            ("invalid_total", &self.invalid),
            ("attempts_total", &self.attempts),
            ("releases_total", &self.releases),
            ("releases_dropped_total", &self.releases_dropped),
            ("clients_turned_away_total", &self.clients_rejected),
            ("peer_datagrams_sent_total", &self.peer_datagrams_sent),
            ("peer_bytes_sent_total", &self.peer_bytes_sent),
            ("peer_datagrams_taken_total", &self.peer_datagrams_received),
            (
                "peer_datagrams_unread_total",
                &self.peer_datagrams_malformed,
            ),
            ("peer_changes_total", &self.peer_changes),
            ("list_stale", &self.list_stale),
            ("list_revision", &self.list_revision),
            ("list_keep_failures_total", &self.snapshot_write_failures),
            ("list_gaps_total", &self.list_gaps),
            ("records_unread_total", &self.records_malformed),
            ("driver_busy_us_total", &self.driver_us),
            ("module_us_total", &self.router_us),
            ("buffered_tokens_most", &self.max_buffered_tokens),
            ("engines", &self.engines),
            ("engines_known", &self.engines_known),
        ];
        // Writing to a String cannot fail, here and below.
        for (name, counter) in metrics {
            let _ = writeln!(out, "ivyward_{name} {}", counter.get());
        }
        let _ = writeln!(out, "ivyward_open_requests {open}");
    }
    /// Metrics that are split by an outcome or a reason.
    fn labelled_text(&self, out: &mut String) {
        let answers = [
            ("served", &self.served),
            ("refused", &self.rejected),
            ("failed", &self.failed),
            ("gone", &self.disconnected),
        ];
        write_family(out, "answers_total", "final", answers);
        let outcomes = || OUTCOMES.iter().map(|(_, name)| *name);
        let ends = outcomes().zip(&self.outcomes);
        write_family(out, "attempt_ends_total", "outcome", ends);
        let retries = outcomes().zip(&self.retries);
        write_family(out, "retries_total", "after", retries);
        let reasons = REJECT_REASONS.iter().map(|(_, name)| *name);
        write_family(
            out,
            "refusals_total",
            "reason",
            reasons.zip(&self.rejections),
        );
        let closes = CloseReason::ALL.iter().map(|reason| reason.name());
        write_family(
            out,
            "client_closes_total",
            "reason",
            closes.zip(&self.client_closes),
        );
        let rules = Rule::ALL.iter().map(|(_, name)| *name);
        let violations = rules.zip(&self.violations);
        write_family(out, "invariant_violations_total", "rule", violations);
    }
    /// Traffic with each kind of peer, and what its tasks cost.
    fn traffic_text(&self, out: &mut String) {
        let parts = [
            ("engines", &self.engine_traffic),
            ("list", &self.list_traffic),
            ("peers", &self.peer_traffic),
            ("clients", &self.client_traffic),
        ];
        for (part, meter) in parts {
            let usage = meter.usage();
            let lines = [
                ("traffic_bytes_total", ",way=\"in\"", usage.bytes_in),
                ("traffic_bytes_total", ",way=\"out\"", usage.bytes_out),
                ("traffic_messages_total", ",way=\"in\"", usage.reads),
                ("traffic_messages_total", ",way=\"out\"", usage.writes),
                ("traffic_busy_us_total", "", usage.busy),
                ("connections", "", usage.open),
                ("connections_opened_total", "", usage.opened),
            ];
            for (name, way, value) in lines {
                // Writing to a String cannot fail.
                let _ = writeln!(out, "ivyward_{name}{{part=\"{part}\"{way}}} {value}");
            }
        }
    }
}

/// Writes the counters of one metric, each with the value of its label.
fn write_family<'a>(
    out: &mut String,
    metric: &str,
    label: &str,
    counters: impl IntoIterator<Item = (&'static str, &'a Counter)>,
) {
    for (value, counter) in counters {
        // Writing to a String cannot fail.
        let _ = writeln!(
            out,
            "ivyward_{metric}{{{label}=\"{value}\"}} {}",
            counter.get()
        );
    }
}

#[cfg(test)]
mod tests;
