//! Plain counters, and their text form for whoever scrapes them.

use crate::close_reason::CloseReason;
use crate::response::RejectReason;
use ivyward_core::interface::Outcome;
use ivyward_core::invariants::Rule;
use ivyward_runtime::Meter;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A number that only this node changes.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to it.
    pub fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }
    /// Sets it, for what goes up and down.
    pub fn set(&self, n: u64) {
        self.0.store(n, Ordering::Relaxed);
    }
    /// Raises it to this, where it is lower.
    pub fn most(&self, n: u64) {
        self.0.fetch_max(n, Ordering::Relaxed);
    }
    /// Its value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// All counters of a node.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests taken.
    pub requests: Counter,
    /// Requests that were wrong in themselves.
    pub invalid: Counter,
    /// Final answers: served.
    pub served: Counter,
    /// Final answers: refused, those at the door's bounds among them.
    pub refused: Counter,
    /// Final answers: failed.
    pub failed: Counter,
    /// Requests whose client left first.
    pub gone: Counter,
    /// Attempts sent.
    pub attempts: Counter,
    /// Ends of attempts, in the order of [`OUTCOMES`].
    pub outcomes: [Counter; 10],
    /// Attempts that follow one which ended so, in the order of [`OUTCOMES`].
    pub retries: [Counter; 10],
    /// Steps that an invariant forbade, in the order of [`Rule::ALL`].
    pub violations: [Counter; Rule::ALL.len()],
    /// Refusals by their reason, in the order of [`REFUSALS`].
    pub refusals: [Counter; REFUSALS.len()],
    /// Client connections that were closed, in the order of [`CloseReason::ALL`].
    pub closes: [Counter; CloseReason::ALL.len()],
    /// Releases asked of engines.
    pub releases: Counter,
    /// Releases left to the engines' own limit.
    pub releases_dropped: Counter,
    /// Engines in the list.
    pub engines: Counter,
    /// Engines that the module remembers, those that are gone and still have something of ours among them.
    pub engines_known: Counter,
    /// 1 while the list of engines may be out of date: the store does not answer, or something was missed.
    pub list_stale: Counter,
    /// The store's revision up to which the list is known.
    pub list_revision: Counter,
    /// Registration records that could not be read.
    pub records_unread: Counter,
    /// Times the list of engines could not be written to its file.
    pub list_keep_failures: Counter,
    /// Gaps: watches that broke, were compacted away or fell silent.
    pub list_gaps: Counter,
    /// Microseconds that the driver was at work, the module's among them.
    pub driver_us: Counter,
    /// Microseconds that the module took of that.
    pub module_us: Counter,
    /// Most tokens that ever waited for one client.
    pub buffered_most: Counter,
    /// Datagrams sent to peers, and their bytes.
    pub peer_datagrams_sent: Counter,
    /// See `peer_datagrams_sent`.
    pub peer_bytes_sent: Counter,
    /// Datagrams that came, and those of them that could not be read.
    pub peer_datagrams_taken: Counter,
    /// See `peer_datagrams_taken`.
    pub peer_datagrams_unread: Counter,
    /// Changes of the view of the peers.
    pub peer_changes: Counter,
    /// Client connections turned away at the door's bound.
    pub clients_turned_away: Counter,
    /// Connections to engines.
    pub engine_traffic: Arc<Meter>,
    /// The store, as far as the list of engines goes.
    pub list_traffic: Arc<Meter>,
    /// Other nodes.
    pub peer_traffic: Arc<Meter>,
    /// Clients.
    pub client_traffic: Arc<Meter>,
}

/// How attempts end, as the metrics name it.
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

/// Why requests are refused, as the metrics name it.
pub const REFUSALS: [(RejectReason, &str); 3] = [
    (RejectReason::Overloaded, "overload"),
    (RejectReason::NodeFull, "node_full"),
    (RejectReason::Stopping, "stopping"),
];

impl Metrics {
    /// Counts a client connection that was closed.
    pub fn closed(&self, reason: CloseReason) {
        self.closes[reason as usize].add(1);
    }
    /// Steps that invariants forbade, all rules together.
    pub fn all_violations(&self) -> u64 {
        self.violations.iter().map(Counter::get).sum()
    }
    pub(crate) fn refused_for(&self, why: RejectReason) {
        if let Some(i) = REFUSALS.iter().position(|(reason, _)| *reason == why) {
            self.refusals[i].add(1);
        }
    }
    pub(crate) fn retry_after(&self, outcome: Outcome) {
        if let Some(i) = OUTCOMES.iter().position(|(o, _)| *o == outcome) {
            self.retries[i].add(1);
        }
    }
    pub(crate) fn outcome(&self, outcome: Outcome) {
        if let Some(i) = OUTCOMES.iter().position(|(o, _)| *o == outcome) {
            self.outcomes[i].add(1);
        }
    }
    /// The counters in the usual text form.
    pub fn text(&self, open: usize) -> String {
        let mut out = String::new();
        let finals = [
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("gone", &self.gone),
        ];
        let plain = [
            ("ivyward_requests_total", self.requests.get()),
            ("ivyward_invalid_total", self.invalid.get()),
            ("ivyward_attempts_total", self.attempts.get()),
            ("ivyward_releases_total", self.releases.get()),
            (
                "ivyward_releases_dropped_total",
                self.releases_dropped.get(),
            ),
            (
                "ivyward_clients_turned_away_total",
                self.clients_turned_away.get(),
            ),
            (
                "ivyward_peer_datagrams_sent_total",
                self.peer_datagrams_sent.get(),
            ),
            ("ivyward_peer_bytes_sent_total", self.peer_bytes_sent.get()),
            (
                "ivyward_peer_datagrams_taken_total",
                self.peer_datagrams_taken.get(),
            ),
            (
                "ivyward_peer_datagrams_unread_total",
                self.peer_datagrams_unread.get(),
            ),
            ("ivyward_peer_changes_total", self.peer_changes.get()),
            ("ivyward_list_stale", self.list_stale.get()),
            ("ivyward_list_revision", self.list_revision.get()),
            (
                "ivyward_list_keep_failures_total",
                self.list_keep_failures.get(),
            ),
            ("ivyward_list_gaps_total", self.list_gaps.get()),
            ("ivyward_records_unread_total", self.records_unread.get()),
            ("ivyward_driver_busy_us_total", self.driver_us.get()),
            ("ivyward_module_us_total", self.module_us.get()),
            ("ivyward_buffered_tokens_most", self.buffered_most.get()),
            ("ivyward_engines", self.engines.get()),
            ("ivyward_engines_known", self.engines_known.get()),
            ("ivyward_open_requests", open as u64),
        ];
        // Writing to a String cannot fail.
        for (name, value) in plain {
            let _ = writeln!(out, "{name} {value}");
        }
        for (name, counter) in finals {
            let _ = writeln!(
                out,
                "ivyward_answers_total{{final=\"{name}\"}} {}",
                counter.get()
            );
        }
        for (counter, (_, name)) in self.outcomes.iter().zip(OUTCOMES) {
            let _ = writeln!(
                out,
                "ivyward_attempt_ends_total{{outcome=\"{name}\"}} {}",
                counter.get()
            );
        }
        for (counter, (_, name)) in self.retries.iter().zip(OUTCOMES) {
            let _ = writeln!(
                out,
                "ivyward_retries_total{{after=\"{name}\"}} {}",
                counter.get()
            );
        }
        for (counter, (_, name)) in self.refusals.iter().zip(REFUSALS) {
            let _ = writeln!(
                out,
                "ivyward_refusals_total{{reason=\"{name}\"}} {}",
                counter.get()
            );
        }
        for (counter, reason) in self.closes.iter().zip(CloseReason::ALL) {
            let _ = writeln!(
                out,
                "ivyward_client_closes_total{{reason=\"{}\"}} {}",
                reason.name(),
                counter.get()
            );
        }
        for (counter, (_, name)) in self.violations.iter().zip(Rule::ALL) {
            let _ = writeln!(
                out,
                "ivyward_invariant_violations_total{{rule=\"{name}\"}} {}",
                counter.get()
            );
        }
        self.traffic_text(&mut out);
        out
    }
    /// What goes to and comes from each kind of peer, and what its tasks cost.
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
