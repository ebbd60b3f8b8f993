//! The HTTP/1.1 server: client connections in, final answers out.
//!
//! - `table`: which connections there are; `connection`: requests on one of them; `arrival`: what a request's headers say.
//! - `response`: an answer on its way to its client; `open`: requests in hand.

mod connection;
mod connection_table;
mod in_flight;
mod request_headers;
mod response;

use crate::buffered_connection::BufferedConnection;
use crate::call::Budget;
use crate::config::Bounds;
use connection_table::ConnectionTable;
use futures_lite::future::{or, poll_once};
use ivyward::core::interface::Micros;
use ivyward::runtime::{Conn, ErrorOrigin, Listener, RuntimeExt, RuntimeRef};
use ivyward::Node;
use ivyward_settings::Told;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tracing::debug;

/// Between accepts that this machine could not carry out.
const ACCEPT_PAUSE: Micros = 5_000;
/// Accepts that may fail in a row without a pause.
const FAILED_AT_ONCE: usize = 16;
/// Failed accepts at a stop, before what the system still holds is given up.
const MOST_FAILED_ACCEPTS: usize = 200;

/// The server of one node.
pub(crate) struct Server {
    node: Node,
    runtime: RuntimeRef,
    told: Told,
    bounds: Bounds,
    budget: Arc<Budget>,
    table: ConnectionTable,
    /// Ids of open requests; no more than there are connections.
    open: Mutex<BTreeSet<String>>,
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
}

impl Server {
    pub(crate) fn new(node: Node, runtime: RuntimeRef, told: Told, bounds: Bounds) -> Arc<Server> {
        Arc::new(Server {
            node,
            runtime,
            told,
            budget: Budget::new(bounds.prompts),
            bounds,
            table: ConnectionTable::new(bounds.clients),
            open: Mutex::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        })
    }
    pub(crate) fn connections(&self) -> usize {
        self.table.len()
    }
    /// Connections that have not closed yet, those that were told to among them.
    pub(crate) fn unclosed(&self) -> usize {
        self.table.unclosed()
    }
    pub(crate) fn prompt_bytes(&self) -> usize {
        self.budget.held()
    }
    /// Closes connections that have no request.
    pub(crate) fn close_idle(&self) {
        self.table.close_idle();
    }
    fn stops(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Takes connections until the sender of `stop` is dropped, and then those that the system has taken by itself.
    pub(crate) async fn serve(
        self: Arc<Self>,
        mut listener: Box<dyn Listener>,
        stop: async_channel::Receiver<()>,
    ) {
        let stopped = async {
            // Ends when the sender is dropped.
            let _ = stop.recv().await;
        };
        or(self.accept(&mut *listener), stopped).await;
        // Guards against clients that connected just then, or while evicted ones closed: with the listener they would be
        // reset, a request behind them or not.
        let mut failed = 0;
        while let Some(accepted) = poll_once(listener.accept()).await {
            match accepted {
                Ok((conn, _)) => self.clone().admit(conn),
                // Guards against one connection that was aborted, or a moment without descriptors: the others behind it
                // would be reset.
                Err(error) if failed < MOST_FAILED_ACCEPTS => {
                    failed += 1;
                    self.accept_failed(&error, failed).await;
                }
                Err(_) => return,
            }
        }
    }

    /// A failed accept. One connection's own end (ECONNABORTED and the like) says nothing of the next one in the queue;
    /// where this machine lacks something, connections that close make room.
    async fn accept_failed(&self, error: &std::io::Error, in_a_row: usize) {
        debug!(%error, "a connection is not taken");
        if ErrorOrigin::of(error) == ErrorOrigin::Local || in_a_row > FAILED_AT_ONCE {
            self.runtime.sleep(ACCEPT_PAUSE).await;
        }
    }

    async fn accept(self: &Arc<Self>, listener: &mut dyn Listener) {
        let mut failed_in_a_row = 0;
        loop {
            match listener.accept().await {
                Ok((conn, _)) => {
                    failed_in_a_row = 0;
                    self.clone().admit(conn);
                    self.table.all_closed().await;
                }
                Err(error) => {
                    failed_in_a_row += 1;
                    self.accept_failed(&error, failed_in_a_row).await;
                }
            }
        }
    }

    fn admit(self: Arc<Self>, conn: Conn) {
        let Some((id, told_to_close)) = self.table.admit(self.runtime.now()) else {
            return;
        };
        let runtime = self.runtime.clone();
        runtime.run(async move {
            let _guard = ConnectionGuard {
                table: &self.table,
                id,
            };
            let reason = self
                .client(BufferedConnection::new(conn), id, told_to_close)
                .await;
            self.node.metrics().closed(reason);
            debug!(
                connection = id,
                reason = reason.name(),
                "a client's connection is closed"
            );
        });
    }
}

/// A connection, for as long as its task runs.
struct ConnectionGuard<'a> {
    table: &'a ConnectionTable,
    id: u64,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.table.remove(self.id);
    }
}
