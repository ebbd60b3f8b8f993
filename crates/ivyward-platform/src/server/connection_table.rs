//! Client connections: how many there may be, in which state each is, and which one closes to make room.

use crate::call::lock;
use event_listener::Event;
use ivyward::core::interface::Micros;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;

/// What a client connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum State {
    /// It has never brought a request.
    New { since: Micros },
    /// It waits for its next request.
    Idle { since: Micros },
    /// It has a request.
    Busy,
}

struct ClientConnection {
    state: State,
    /// Dropped to close the connection.
    _close: async_channel::Sender<()>,
}

/// Client connections, at most `most`. One that is told to close leaves the table at once, and is counted until it has
/// closed: it still holds its descriptor.
pub(super) struct ConnectionTable {
    connections: Mutex<BTreeMap<u64, ClientConnection>>,
    most: usize,
    next_id: AtomicU64,
    closing: AtomicUsize,
    closed: Event,
}

impl ConnectionTable {
    pub(super) fn new(most: usize) -> ConnectionTable {
        ConnectionTable {
            connections: Mutex::default(),
            most,
            next_id: AtomicU64::new(1),
            closing: AtomicUsize::new(0),
            closed: Event::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Connections that have not closed yet, those that were told to among them: each may still bring a request that
    /// crosses the word.
    pub(super) fn unclosed(&self) -> usize {
        let connections = lock(&self.connections);
        connections.len() + self.closing.load(Ordering::SeqCst)
    }

    /// Takes a new connection, if need be in another one's place: its id, and what ends when it is to close. `None` where
    /// all have a request.
    pub(super) fn admit(&self, now: Micros) -> Option<(u64, async_channel::Receiver<()>)> {
        let (close, told_to_close) = async_channel::bounded(1);
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut connections = lock(&self.connections);
        if connections.len() >= self.most && !self.evict(&mut connections) {
            return None;
        }
        connections.insert(
            id,
            ClientConnection {
                state: State::New { since: now },
                _close: close,
            },
        );
        Some((id, told_to_close))
    }

    /// At the bound a connection without a request goes: the new ones first, then the one idle longest. `false` where all
    /// have one.
    fn evict(&self, connections: &mut BTreeMap<u64, ClientConnection>) -> bool {
        let without = connections.iter().filter(|(_, c)| c.state != State::Busy);
        let Some(id) = without.min_by_key(|(_, c)| c.state).map(|(id, _)| *id) else {
            return false;
        };
        connections.remove(&id);
        self.closing.fetch_add(1, Ordering::SeqCst);
        true
    }

    /// The connection waits for a request from now on.
    pub(super) fn set_idle(&self, id: u64, now: Micros) {
        if let Some(connection) = lock(&self.connections).get_mut(&id) {
            connection.state = match connection.state {
                State::New { .. } => State::New { since: now },
                State::Idle { .. } | State::Busy => State::Idle { since: now },
            };
        }
    }

    /// The connection has a request from now on.
    pub(super) fn set_busy(&self, id: u64) {
        let mut connections = lock(&self.connections);
        if let Some(connection) = connections.get_mut(&id) {
            connection.state = State::Busy;
            return;
        }
        // Guards against a request that comes in the moment in which its connection was told to close: it is served, and
        // nobody waits for that connection's end; another one goes in its place.
        let (close, _) = async_channel::bounded(1);
        if connections.len() >= self.most {
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

    /// Waits until what was told to close has closed. Guards against a crowd that connects faster than others go: each
    /// would hold a descriptor beyond the bound, and discovery and engines found none.
    pub(super) async fn all_closed(&self) {
        loop {
            let closed = self.closed.listen();
            if self.closing.load(Ordering::SeqCst) == 0 {
                return;
            }
            closed.await;
        }
    }

    /// One less of those that were told to close.
    fn note_closed(&self) {
        self.closing.fetch_sub(1, Ordering::SeqCst);
        self.closed.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
