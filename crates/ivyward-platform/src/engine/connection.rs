//! A connection to an engine, and the limit on how many may be open.

use crate::buffered_connection::BufferedConnection;
use ivyward::core::interface::Micros;
use ivyward::memory_budget::BudgetShare;
use ivyward::runtime::{timeout_at, Conn, RuntimeRef};
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bounds of the estimated round-trip time, in microseconds. The time that connecting took also contains the clock's error
/// and scheduling delays of a busy machine, which are not part of the network's round trip.
const MIN_ROUND_TRIP: Micros = 200;
const MAX_ROUND_TRIP: Micros = 3_000;

/// Counts the open connections to all engines, up to a limit.
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

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns whether the limit plus `reserve` allows no further connection.
    pub(super) fn is_reached(&self, reserve: usize) -> bool {
        self.open() >= self.max + reserve
    }

    /// Counts one more connection until the permit is dropped. Does not check the limit.
    pub(super) fn acquire(self: &Arc<Self>) -> ConnectionPermit {
        self.open.fetch_add(1, Ordering::Relaxed);
        ConnectionPermit(self.clone())
    }
}

/// Counts as one open connection until dropped.
pub(super) struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to an engine.
pub(super) struct EngineConnection {
    connection: BufferedConnection,
    /// How long the connection was idle before its current request; `None` for a new connection.
    pub(super) idle_time: Option<Micros>,
    /// The round-trip time, estimated from the duration of the connection attempt.
    pub(super) round_trip: Micros,
    /// Writing a request has begun, and its response was not received completely.
    pub(super) has_pending_request: bool,
    _permit: ConnectionPermit,
}

impl EngineConnection {
    /// Wraps a connection whose connection attempt took `connect_time`.
    pub(super) fn new(
        conn: Conn,
        connect_time: Micros,
        permit: ConnectionPermit,
        memory: BudgetShare,
        read_size: usize,
    ) -> EngineConnection {
        EngineConnection {
            connection: BufferedConnection::with_read_size(conn, memory, read_size),
            idle_time: None,
            round_trip: connect_time.clamp(MIN_ROUND_TRIP, MAX_ROUND_TRIP),
            has_pending_request: false,
            _permit: permit,
        }
    }

    /// Shuts down the sending side, and discards received bytes until the engine closes the connection or `timeout` ends.
    ///
    /// Without the wait the next attempt could reach another engine before this one notices that its request was abandoned,
    /// and two attempts would run at once. The engine's close confirms that it has noticed. `timeout` bounds the wait for an
    /// engine that is partitioned or unresponsive.
    pub(super) async fn abandon(&mut self, runtime: &RuntimeRef, timeout: Micros) {
        let until = runtime.now().saturating_add(timeout);
        let closed = async {
            self.connection.close_write().await;
            while self.connection.fill().await.is_ok_and(|n| n > 0) {
                let received = self.connection.unread().len();
                self.connection.consume(received);
            }
        };
        timeout_at(runtime, until, closed).await;
    }
}

impl Drop for EngineConnection {
    /// Resets the connection if its request was abandoned. When a network partition ends, the kernel retransmits the bytes
    /// that were in flight when it began, and the request would reach the engine after its reservations were released. A
    /// reset discards these bytes.
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
