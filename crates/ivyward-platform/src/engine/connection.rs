//! A connection to an engine, and the limit on how many may be open.

use crate::buffered_connection::BufferedConnection;
use ivyward::core::interface::Micros;
use ivyward::runtime::{before, Conn, RuntimeRef};
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A measured round trip is clamped to these bounds: what a clock and a busy machine show is not the network.
const MIN_ROUND_TRIP: Micros = 200;
const MAX_ROUND_TRIP: Micros = 3_000;

/// Counts the open connections to all engines.
pub(super) struct ConnectionLimit {
    open: AtomicUsize,
    max: usize,
}

impl ConnectionLimit {
    pub(super) fn new(max: usize) -> Arc<ConnectionLimit> {
        Arc::new(ConnectionLimit {
            open: AtomicUsize::new(0),
            max,
        })
    }

    /// Connections that are open now.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether the limit, extended by `reserve`, allows no further connection.
    pub(super) fn is_reached(&self, reserve: usize) -> bool {
        self.open() >= self.max + reserve
    }

    /// Counts one more connection, until the permit is dropped.
    pub(super) fn acquire(self: &Arc<Self>) -> ConnectionPermit {
        self.open.fetch_add(1, Ordering::Relaxed);
        ConnectionPermit(self.clone())
    }
}

/// Counts as an open connection; returned to the limit on drop.
pub(super) struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to an engine.
pub(super) struct EngineConnection {
    connection: BufferedConnection,
    /// How long it had been idle before its present request; `None` for a new connection.
    pub(super) idle_time: Option<Micros>,
    /// The round-trip time, estimated from the time that connecting took.
    pub(super) round_trip: Micros,
    /// A request was begun on it, and its response was not received completely.
    pub(super) has_pending_request: bool,
    _permit: ConnectionPermit,
}

impl EngineConnection {
    /// A connection that was opened in `connect_time`.
    pub(super) fn new(
        conn: Conn,
        connect_time: Micros,
        permit: ConnectionPermit,
    ) -> EngineConnection {
        EngineConnection {
            connection: BufferedConnection::new(conn),
            idle_time: None,
            round_trip: connect_time.clamp(MIN_ROUND_TRIP, MAX_ROUND_TRIP),
            has_pending_request: false,
            _permit: permit,
        }
    }

    /// Closes our sending side, and discards what is received until the engine closes too or `timeout` is over. Guards
    /// against an attempt that reaches another engine before this one learns that its request was given up: for so long
    /// there would be two. The engine's own close says that it knows. One that is cut off or hangs is waited for no longer
    /// than `timeout`.
    pub(super) async fn abandon(&mut self, runtime: &RuntimeRef, timeout: Micros) {
        let until = runtime.now().saturating_add(timeout);
        let closed = async {
            self.connection.close_write().await;
            while self.connection.fill().await.is_ok_and(|n| n > 0) {
                let received = self.connection.unread().len();
                self.connection.consume(received);
            }
        };
        before(runtime, until, closed).await;
    }
}

impl Drop for EngineConnection {
    /// Guards against a request that was given up and arrives long after: bytes in flight when a network partition begins
    /// are sent again by the system when it ends, after the last release of their request. A reset takes them back.
    fn drop(&mut self) {
        if self.has_pending_request {
            self.connection.reset_on_close();
        }
    }
}

impl Deref for EngineConnection {
    type Target = BufferedConnection;
    fn deref(&self) -> &BufferedConnection {
        &self.connection
    }
}

impl DerefMut for EngineConnection {
    fn deref_mut(&mut self) -> &mut BufferedConnection {
        &mut self.connection
    }
}
