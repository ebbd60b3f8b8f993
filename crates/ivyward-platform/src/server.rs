//! The HTTP/1.1 server for clients.
//!
//! - `connection_table`: which client connections there are; `connection`: the requests on one of them.
//! - `request_reader`: reads a request; `request_headers`: what its headers say.
//! - `request`: handles one request; `in_flight`: requests that are being handled.
//! - `response`: writes responses.

mod connection;
mod connection_table;
mod in_flight;
mod request;
mod request_headers;
mod request_reader;
mod response;

use crate::buffered_connection::BufferedConnection;
use crate::config::Bounds;
use crate::prompt_budget::PromptBudget;
use connection_table::{ConnectionTable, TableEntry};
use futures_lite::future::{or, poll_once};
use ivyward::core::interface::Micros;
use ivyward::runtime::{Conn, ErrorOrigin, Listener, RuntimeExt, RuntimeRef};
use ivyward::Node;
use ivyward_settings::NamedSettings;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tracing::debug;

/// Pause after an accept that failed on this machine.
const ACCEPT_PAUSE: Micros = 5_000;
/// Accepts that may fail in a row without a pause.
const MAX_FAILURES_WITHOUT_PAUSE: usize = 16;
/// Failed accepts at a stop, before the connections that the system still queues are given up.
const MAX_FAILURES_AT_STOP: usize = 200;

/// The server of one node.
pub(crate) struct Server {
    node: Node,
    runtime: RuntimeRef,
    deployment: NamedSettings,
    bounds: Bounds,
    prompt_budget: Arc<PromptBudget>,
    table: ConnectionTable,
    /// Ids of the requests in flight; no more than there are connections.
    request_ids: Mutex<BTreeSet<String>>,
    pub(crate) ready: AtomicBool,
    pub(crate) stopping: AtomicBool,
}

impl Server {
    pub(crate) fn new(
        node: Node,
        runtime: RuntimeRef,
        deployment: NamedSettings,
        bounds: Bounds,
    ) -> Arc<Server> {
        Arc::new(Server {
            node,
            runtime,
            deployment,
            prompt_budget: PromptBudget::new(bounds.prompt_bytes),
            bounds,
            table: ConnectionTable::new(bounds.client_connections),
            request_ids: Mutex::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        })
    }

    /// Client connections in the table.
    pub(crate) fn connections(&self) -> usize {
        self.table.len()
    }

    /// Client connections that have not closed yet, closing ones among them.
    pub(crate) fn unclosed_connections(&self) -> usize {
        self.table.unclosed()
    }

    /// Bytes of prompts in memory.
    pub(crate) fn prompt_bytes(&self) -> usize {
        self.prompt_budget.used()
    }

    /// Closes connections without a request.
    pub(crate) fn close_idle(&self) {
        self.table.close_idle();
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Accepts connections until the sender of `stop` is dropped, and then those that the system still queues.
    pub(crate) async fn serve(
        self: Arc<Self>,
        mut listener: Box<dyn Listener>,
        stop: async_channel::Receiver<()>,
    ) {
        let stopped = async {
            // Ends when the sender is dropped.
            let _ = stop.recv().await;
        };
        or(self.accept_all(&mut *listener), stopped).await;
        self.accept_queued(&mut *listener).await;
    }

    async fn accept_all(self: &Arc<Self>, listener: &mut dyn Listener) {
        let mut failures_in_a_row = 0;
        loop {
            match listener.accept().await {
                Ok((conn, _)) => {
                    failures_in_a_row = 0;
                    self.clone().admit(conn);
                    self.table.all_closed().await;
                }
                Err(error) => {
                    failures_in_a_row += 1;
                    self.accept_failed(&error, failures_in_a_row).await;
                }
            }
        }
    }

    /// Accepts the connections that the system queues. Guards against clients that connected just then, or while evicted
    /// connections closed: with the listener they would be reset, whether a request was sent on them or not.
    async fn accept_queued(self: &Arc<Self>, listener: &mut dyn Listener) {
        let mut failures = 0;
        while let Some(accepted) = poll_once(listener.accept()).await {
            match accepted {
                Ok((conn, _)) => self.clone().admit(conn),
                // Guards against one connection that was aborted, or a moment without descriptors: the others behind it
                // would be reset.
                Err(error) if failures < MAX_FAILURES_AT_STOP => {
                    failures += 1;
                    self.accept_failed(&error, failures).await;
                }
                Err(_) => return,
            }
        }
    }

    /// Logs a failed accept, and waits if need be. An aborted connection (ECONNABORTED and the like) says nothing of the next
    /// one in the queue; where this machine lacks something, connections that close make room.
    async fn accept_failed(&self, error: &std::io::Error, failures_in_a_row: usize) {
        debug!(%error, "accept failed");
        if ErrorOrigin::of(error) == ErrorOrigin::Local
            || failures_in_a_row > MAX_FAILURES_WITHOUT_PAUSE
        {
            self.runtime.sleep(ACCEPT_PAUSE).await;
        }
    }

    /// Serves a new connection in a task of its own, if the table has room for it.
    fn admit(self: Arc<Self>, conn: Conn) {
        let Some(TableEntry {
            id,
            close_requested,
        }) = self.table.admit(self.runtime.now())
        else {
            return;
        };
        let runtime = self.runtime.clone();
        runtime.run(async move {
            let _guard = ConnectionGuard {
                table: &self.table,
                id,
            };
            let connection = BufferedConnection::new(conn);
            let reason = self.serve_connection(connection, id, close_requested).await;
            self.node.metrics().count_client_close(reason);
            debug!(
                connection = id,
                reason = reason.name(),
                "client connection closed"
            );
        });
    }
}

/// Removes a connection from the table when its task ends.
struct ConnectionGuard<'a> {
    table: &'a ConnectionTable,
    id: u64,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.table.remove(self.id);
    }
}
