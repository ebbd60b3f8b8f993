//! Counters and gauges of a node, and their output in Prometheus' text format.

use crate::close_reason::CloseReason;
use crate::response::RejectReason;
use ivyward_core::interface::Outcome;
use ivyward_core::invariants::Rule;
use ivyward_runtime::Meter;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// An atomic number, used as a counter or a gauge.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds `n`.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }
    /// Sets the value. Only for gauges.
    pub fn set(&self, n: u64) {
        self.0.store(n, Ordering::Relaxed);
    }
    /// Raises the value to `n` if it is lower. For gauges that record a maximum.
    pub fn raise_to(&self, n: u64) {
        self.0.fetch_max(n, Ordering::Relaxed);
    }
    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// All metrics of a node. Counts are since the node's start.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests that the node passed to its router.
    pub requests: Counter,
    /// Requests that failed validation.
    pub invalid: Counter,
    /// Requests with the final status served.
    pub served: Counter,
    /// Requests with the final status rejected, including those rejected at the node's own limits.
    pub rejected: Counter,
    /// Requests with the final status failed, without invalid ones.
    pub failed: Counter,
    /// Requests whose client disconnected before the final status.
    pub disconnected: Counter,
    /// Attempts that were started.
    pub attempts: Counter,
    /// Ended attempts by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [Counter; 10],
    /// Retries by the outcome of the previous attempt, in the order of [`OUTCOMES`].
    pub retries: [Counter; 10],
    /// Violated invariants, in the order of [`Rule::ALL`].
    pub violations: [Counter; Rule::ALL.len()],
    /// Rejections by reason, in the order of [`REJECT_REASONS`].
    pub rejections: [Counter; REJECT_REASONS.len()],
    /// Closed client connections by reason, in the order of [`CloseReason::ALL`].
    pub client_closes: [Counter; CloseReason::ALL.len()],
    /// Releases requested from engines.
    pub releases: Counter,
    /// Releases that did not succeed: the engine's own time limit ends the reservation.
    pub releases_dropped: Counter,
    /// Releases of reservations while an attempt was in flight that was not known to have arrived.
    pub unconfirmed_releases: Counter,
    /// Gauge: engines in the endpoint list.
    pub engines: Counter,
    /// Gauge: engines that the router knows, including removed ones that may still have reservations of this node.
    pub engines_known: Counter,
    /// Gauge: 1 while the endpoint list may be out of date, because the store does not answer or a change was missed; else 0.
    pub list_stale: Counter,
    /// Gauge: the store revision up to which the endpoint list is known.
    pub list_revision: Counter,
    /// Malformed registration records.
    pub records_malformed: Counter,
    /// Failed writes of the endpoint list's snapshot.
    pub snapshot_write_failures: Counter,
    /// Gaps in the watch of the endpoint list: the watch broke, its revision was compacted away, or it became unresponsive.
    pub list_gaps: Counter,
    /// Busy time of the driver in microseconds, including the router's.
    pub driver_us: Counter,
    /// Busy time of the router in microseconds.
    pub router_us: Counter,
    /// Gauge: the highest number of tokens that were ever buffered for one client.
    pub max_buffered_tokens: Counter,
    /// Datagrams sent to peers.
    pub peer_datagrams_sent: Counter,
    /// Bytes of the datagrams sent to peers.
    pub peer_bytes_sent: Counter,
    /// Datagrams received on the peer port.
    pub peer_datagrams_received: Counter,
    /// Malformed datagrams among those received.
    pub peer_datagrams_malformed: Counter,
    /// Changes to the node's view of its peers.
    pub peer_changes: Counter,
    /// Client connections closed at once because of the connection limit.
    pub clients_rejected: Counter,
    /// Traffic and busy time of connections to engines.
    pub engine_traffic: Arc<Meter>,
    /// Traffic and busy time of the watch of the endpoint list.
    pub list_traffic: Arc<Meter>,
    /// Traffic and busy time of the exchange with peers.
    pub peer_traffic: Arc<Meter>,
    /// Traffic and busy time of client connections.
    pub client_traffic: Arc<Meter>,
}

/// The outcomes of attempts, with their label values in metrics.
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

/// The reasons of rejections, with their label values in metrics.
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
    /// The total number of violated invariants.
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
    /// Returns the metrics in Prometheus' text format. `open` is the number of open requests.
    pub fn text(&self, open: usize) -> String {
        let mut out = String::new();
        self.write_unlabelled(&mut out, open);
        self.write_labelled(&mut out);
        self.write_traffic(&mut out);
        out
    }
    fn write_unlabelled(&self, out: &mut String, open: usize) {
        let metrics = [
            ("requests_total", &self.requests),
            ("invalid_total", &self.invalid),
            ("attempts_total", &self.attempts),
            ("releases_total", &self.releases),
            ("releases_dropped_total", &self.releases_dropped),
            ("unconfirmed_releases_total", &self.unconfirmed_releases),
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
        // Writing to a String cannot fail.
        for (name, counter) in metrics {
            let _ = writeln!(out, "ivyward_{name} {}", counter.get());
        }
        let _ = writeln!(out, "ivyward_open_requests {open}");
    }
    /// Writes the metrics with a label for an outcome, a reason or a rule.
    fn write_labelled(&self, out: &mut String) {
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
    /// Writes the traffic with engines, store, peers and clients, and the busy time of the tasks that handle each.
    fn write_traffic(&self, out: &mut String) {
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

/// Writes the counters of one metric, one line per label value.
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
