//! What the engines received, and when they responded.

use super::engine::{is_decode, is_prefill, EngineRequest};
use ivyward::core::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A connection that ended at its engine.
pub struct ClosedConnection {
    pub engine: usize,
    pub connection: usize,
    pub at: Micros,
}

#[derive(Default)]
pub struct RequestLog {
    /// A reservation without a pending prefill is answered late and with 204, as engines do.
    pub reservations_need_prefills: bool,
    pub requests: Vec<EngineRequest>,
    /// When requests were answered, by their index in `requests`.
    pub responded_at: BTreeMap<usize, Micros>,
    pub closed: Vec<ClosedConnection>,
    pub connections: usize,
    /// Ids of requests whose stream a decode engine has begun.
    pub streamed: BTreeSet<String>,
    /// Connections that are open now, and most ever.
    pub open_connections: usize,
    pub max_open_connections: usize,
}

/// A time in which something was in progress for a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Span {
    begin: Micros,
    end: Micros,
    /// Whether it leaves a reservation behind.
    reserves: bool,
}

impl RequestLog {
    /// Counts a new connection, and returns its number.
    pub fn connection_opened(&mut self) -> usize {
        self.connections += 1;
        self.open_connections += 1;
        self.max_open_connections = self.max_open_connections.max(self.open_connections);
        self.connections
    }

    pub fn connection_closed(&mut self, closed: ClosedConnection) {
        self.open_connections -= 1;
        self.closed.push(closed);
    }

    /// Adds a request, and returns its index.
    pub fn add(&mut self, request: &EngineRequest) -> usize {
        self.requests.push(request.clone());
        self.requests.len() - 1
    }

    /// Records that a request was answered.
    pub fn responded(&mut self, index: usize, now: Micros, is_success: bool) {
        self.responded_at.insert(index, now);
        let request = &self.requests[index];
        if is_success && is_decode(request) {
            self.streamed.insert(request.id.clone());
        }
    }

    /// When a connection was closed.
    pub fn closed_at(&self, connection: usize) -> Option<Micros> {
        let closed = self
            .closed
            .iter()
            .find(|closed| closed.connection == connection);
        closed.map(|closed| closed.at)
    }

    /// Whether a prefill of this request is in progress at an engine.
    pub fn has_pending_prefill(&self, id: &str) -> bool {
        self.requests.iter().enumerate().any(|(index, request)| {
            request.id == id
                && is_prefill(request)
                && self.closed_at(request.connection).is_none()
                && !self.responded_at.contains_key(&index)
        })
    }

    /// The longest time in which something may have been reserved for a request with no attempt at an engine, until `end`:
    /// from the end of the last attempt, of those after a prefill that was not rejected, to the next attempt or a release. A
    /// decode that streams releases everything.
    pub fn longest_reservation(&self, id: &str, end: Micros) -> Micros {
        let spans = self.spans(id, end);
        let releases = self.releases(id);
        let mut longest = 0;
        for (index, span) in spans.iter().enumerate() {
            let streamed = !span.reserves && self.streamed.contains(id);
            let is_reserved = spans[..=index].iter().any(|s| s.reserves) && !streamed;
            let is_in_progress = spans
                .iter()
                .any(|other| other.begin <= span.end && other.end > span.end);
            if is_reserved && !is_in_progress {
                let begins = spans.iter().map(|other| other.begin);
                let next = begins.filter(|at| *at > span.end).min().unwrap_or(end);
                let release = releases.iter().copied().filter(|at| *at >= span.end);
                let release = release.min().unwrap_or(end);
                longest = longest.max(next.min(release).saturating_sub(span.end));
            }
        }
        longest
    }

    /// The attempts and reservations of a request, by their begin.
    fn spans(&self, id: &str, end: Micros) -> Vec<Span> {
        let hold_path = format!("/v1/holds/{id}");
        let mut spans = Vec::new();
        for (index, request) in self.requests.iter().enumerate() {
            if request.id == id {
                let responded = self.responded_at.get(&index).copied();
                let ended = responded.or(self.closed_at(request.connection));
                spans.push(Span {
                    begin: request.at,
                    end: ended.unwrap_or(end),
                    reserves: request.engine < 2,
                });
            } else if request.target == hold_path && request.method != "DELETE" {
                // A reservation counts like the end of an attempt.
                spans.push(Span {
                    begin: request.at,
                    end: request.at,
                    reserves: true,
                });
            }
        }
        spans.sort_unstable();
        spans
    }

    /// When releases of a request were received.
    fn releases(&self, id: &str) -> Vec<Micros> {
        let hold_path = format!("/v1/holds/{id}");
        let releases = self.requests.iter().filter(|request| {
            request.id != id && request.target == hold_path && request.method == "DELETE"
        });
        releases.map(|request| request.at).collect()
    }
}
