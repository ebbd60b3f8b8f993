//! The table of client connections: their limit, the state of each, and which one closes to make room.

use crate::sync::lock;
use event_listener::Event;
use ivyward::core::interface::Micros;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// It has not received a request yet.
    New { since: Micros },
    /// It waits for its next request.
    Idle { since: Micros },
    /// It has a request.
    Busy,
}

impl State {
    /// Waits for a request: one that never received any stays new.
    fn wait(self, now: Micros) -> State {
        match self {
            State::New { .. } => State::New { since: now },
            State::Idle { .. } | State::Busy => State::Idle { since: now },
        }
    }
}

/// What a new connection's task needs of the table.
pub(super) struct TableEntry {
    pub(super) id: u64,
    /// Closed when the connection is to close.
    pub(super) close_requested: async_channel::Receiver<()>,
}

struct ClientConnection {
    state: State,
    /// Dropped to close the connection.
    _close: async_channel::Sender<()>,
}

/// Client connections, at most `max`. One that has to close leaves the table at once, and is counted as closing until it
/// has closed: it still holds its file descriptor.
pub(super) struct ConnectionTable {
    connections: Mutex<BTreeMap<u64, ClientConnection>>,
    max: usize,
    next_id: AtomicU64,
    /// Connections that have to close and have not yet.
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

    /// Connections that have not closed yet, closing ones among them: each may still receive a request that was sent before
    /// its client saw the close.
    pub(super) fn unclosed(&self) -> usize {
        let connections = lock(&self.connections);
        connections.len() + self.closing.load(Ordering::SeqCst)
    }

    /// Adds a new connection, if need be in place of another one. `None` if all have a request.
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

    /// Closes a connection without a request: new ones first, then the one idle longest. `false` if all have one.
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

    /// The connection waits for a request from now on.
    pub(super) fn set_idle(&self, id: u64, now: Micros) {
        if let Some(connection) = lock(&self.connections).get_mut(&id) {
            connection.state = connection.state.wait(now);
        }
    }

    /// The connection has a request from now on.
    pub(super) fn set_busy(&self, id: u64) {
        let mut connections = lock(&self.connections);
        if let Some(connection) = connections.get_mut(&id) {
            connection.state = State::Busy;
            return;
        }
        // Guards against a request that is received in the moment in which its connection was to close: it is served,
        // and the connection no longer counts as closing; another one is closed in its place.
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
        self.note_closed();
    }

    /// The connection has closed.
    pub(super) fn remove(&self, id: u64) {
        if lock(&self.connections).remove(&id).is_none() {
            self.note_closed();
        }
    }

    /// Tells connections that have no request to close.
    pub(super) fn close_idle(&self) {
        let mut connections = lock(&self.connections);
        let before = connections.len();
        connections.retain(|_, connection| connection.state == State::Busy);
        self.closing
            .fetch_add(before - connections.len(), Ordering::SeqCst);
    }

    /// Waits until all closing connections have closed. Guards against clients that connect faster than others close: each
    /// would hold a descriptor beyond the limit, and none would be left for discovery and engines.
    pub(super) async fn all_closed(&self) {
        loop {
            let closed = self.closed.listen();
            if self.closing.load(Ordering::SeqCst) == 0 {
                return;
            }
            closed.await;
        }
    }

    /// One closing connection less.
    fn note_closed(&self) {
        self.closing.fetch_sub(1, Ordering::SeqCst);
        self.closed.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
