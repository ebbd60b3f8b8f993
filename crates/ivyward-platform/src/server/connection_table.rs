//! The table of client connections: the state of each, the limit on them, and which one is closed at the limit.

use crate::sync::lock;
use event_listener::Event;
use ivyward::core::interface::Micros;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;

/// The state of a client connection. The order of the variants and of `since` is the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// No request has been received on the connection yet.
    New { since: Micros },
    /// The connection waits for its next request.
    Idle { since: Micros },
    /// A request is being received or handled; the connection is not evicted.
    Busy,
}

impl State {
    /// Returns the state of a connection that waits for a request since `now`. A connection without any request so far stays
    /// new.
    fn waiting_since(self, now: Micros) -> State {
        match self {
            State::New { .. } => State::New { since: now },
            State::Idle { .. } | State::Busy => State::Idle { since: now },
        }
    }
}

/// The entry of a new connection, as its task uses it.
pub(super) struct TableEntry {
    pub(super) id: u64,
    /// Closed when the table requests the connection to close.
    pub(super) close_requested: async_channel::Receiver<()>,
}

struct ClientConnection {
    state: State,
    /// Dropped to close the connection.
    _close: async_channel::Sender<()>,
}

/// The client connections, at most `max`. A connection that is requested to close is removed at once, and counts as closing
/// until its task has closed it and released its file descriptor.
pub(super) struct ConnectionTable {
    connections: Mutex<BTreeMap<u64, ClientConnection>>,
    max: usize,
    next_id: AtomicU64,
    /// The number of connections that were requested to close and have not closed yet.
    closing: AtomicUsize,
    closed: Event,
}

impl ConnectionTable {
    pub(super) fn new(max: usize) -> ConnectionTable {
        ConnectionTable {
            connections: Mutex::default(),
            max,
            next_id: AtomicU64::new(1),
            closing: AtomicUsize::new(0),
            closed: Event::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Returns the number of connections that have not closed yet. Closing ones are included, because each may still receive
    /// a request that was sent before its client noticed the close.
    pub(super) fn unclosed(&self) -> usize {
        let connections = lock(&self.connections);
        connections.len() + self.closing.load(Ordering::SeqCst)
    }

    /// Adds a new connection. At the limit another connection is evicted; returns `None` if all of them are busy.
    pub(super) fn admit(&self, now: Micros) -> Option<TableEntry> {
        let (close, close_requested) = async_channel::bounded(1);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut connections = lock(&self.connections);
        if connections.len() >= self.max && !self.evict(&mut connections) {
            return None;
        }
        connections.insert(
            id,
            ClientConnection {
                state: State::New { since: now },
                _close: close,
            },
        );
        Some(TableEntry {
            id,
            close_requested,
        })
    }

    /// Closes the oldest new connection, or else the one that was idle longest. Returns `false` if all are busy.
    fn evict(&self, connections: &mut BTreeMap<u64, ClientConnection>) -> bool {
        let candidate = connections
            .iter()
            .filter(|(_, connection)| connection.state != State::Busy)
            .min_by_key(|(_, connection)| connection.state)
            .map(|(id, _)| *id);
        let Some(id) = candidate else {
            return false;
        };
        connections.remove(&id);
        self.closing.fetch_add(1, Ordering::SeqCst);
        true
    }

    /// Marks a connection as waiting for a request.
    pub(super) fn set_idle(&self, id: u64, now: Micros) {
        if let Some(connection) = lock(&self.connections).get_mut(&id) {
            connection.state = connection.state.waiting_since(now);
        }
    }

    /// Marks a connection as busy.
    pub(super) fn set_busy(&self, id: u64) {
        let mut connections = lock(&self.connections);
        if let Some(connection) = connections.get_mut(&id) {
            connection.state = State::Busy;
            return;
        }
        // The connection received a request after the table requested it to close. The request is served: the connection
        // returns to the table, and at the limit another one is evicted.
        let (close, _) = async_channel::bounded(1);
        if connections.len() >= self.max {
            self.evict(&mut connections);
        }
        connections.insert(
            id,
            ClientConnection {
                state: State::Busy,
                _close: close,
            },
        );
        self.count_closed();
    }

    /// Removes a connection that has closed.
    pub(super) fn remove(&self, id: u64) {
        if lock(&self.connections).remove(&id).is_none() {
            self.count_closed();
        }
    }

    /// Requests all connections that are not busy to close.
    pub(super) fn close_idle(&self) {
        let mut connections = lock(&self.connections);
        let before = connections.len();
        connections.retain(|_, connection| connection.state == State::Busy);
        self.closing
            .fetch_add(before - connections.len(), Ordering::SeqCst);
    }

    /// Waits until all closing connections have closed. Without the wait, clients that connect faster than evicted connections
    /// close would use file descriptors beyond the limit, and leave none for discovery and engines.
    pub(super) async fn all_closed(&self) {
        loop {
            let closed = self.closed.listen();
            if self.closing.load(Ordering::SeqCst) == 0 {
                return;
            }
            closed.await;
        }
    }

    /// Decrements the number of closing connections, and wakes the tasks that wait for it.
    fn count_closed(&self) {
        self.closing.fetch_sub(1, Ordering::SeqCst);
        self.closed.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
