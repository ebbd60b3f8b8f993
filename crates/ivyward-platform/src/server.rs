//! The HTTP/1.1 server for clients.
//!
//! - `connection_table`: the states of the client connections, and the limit on them; `connection`: the requests on one
//!   connection.
//! - `request_reader`: reads a request; `request_headers`: parses and checks its headers.
//! - `request`: handles one request; `in_flight`: tells the node when a client disconnects.
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
use crate::request_id::IdRegistry;
use connection_table::{ConnectionTable, TableEntry};
use futures_lite::future::{or, poll_once, yield_now};
use ivyward::core::interface::Micros;
use ivyward::memory_budget::{BudgetShare, MemoryBudget};
use ivyward::runtime::{Conn, ErrorOrigin, Listener, RuntimeExt, RuntimeRef};
use ivyward::Node;
use ivyward_settings::NamedSettings;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tracing::debug;

/// The pause after an accept that failed for want of local resources, or after too many failures in a row: 5 ms.
const ACCEPT_RETRY_PAUSE: Micros = 5_000;
/// The number of accepts that may fail in a row before each further failure is followed by a pause.
const MAX_FAILURES_WITHOUT_PAUSE: usize = 16;
/// The number of accepts that may fail at shutdown before the remaining connections in the accept queue are abandoned.
const MAX_FAILURES_AT_STOP: usize = 200;

/// The HTTP/1.1 server of one node.
pub(crate) struct Server {
    node: Node,
    runtime: RuntimeRef,
    deployment: NamedSettings,
    bounds: Bounds,
    /// The memory of requests: received bytes, heads and prompts.
    request_memory: Arc<MemoryBudget>,
    /// The memory of responses, from the engines' connections to the clients' sockets.
    response_memory: Arc<MemoryBudget>,
    table: ConnectionTable,
    request_ids: Arc<IdRegistry>,
    pub(crate) ready: AtomicBool,
}

impl Server {
    pub(crate) fn new(
        node: Node,
        runtime: RuntimeRef,
        deployment: NamedSettings,
        bounds: Bounds,
        response_memory: Arc<MemoryBudget>,
    ) -> Arc<Server> {
        let request_id_seed = runtime.random();
        Arc::new(Server {
            node,
            runtime,
            deployment,
            request_memory: MemoryBudget::new(bounds.prompt_bytes, 0),
            response_memory,
            bounds,
            table: ConnectionTable::new(bounds.client_connections),
            request_ids: IdRegistry::new(request_id_seed),
            ready: AtomicBool::new(false),
        })
    }

    /// Returns the number of client connections in the table.
    pub(crate) fn connections(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of client connections that have not closed yet, including those that are closing.
    pub(crate) fn unclosed_connections(&self) -> usize {
        self.table.unclosed()
    }

    /// Returns the budget of requests: received bytes, heads and prompts.
    pub(crate) fn request_memory(&self) -> &MemoryBudget {
        &self.request_memory
    }

    /// Returns the budget of responses.
    pub(crate) fn response_memory(&self) -> &MemoryBudget {
        &self.response_memory
    }

    /// Closes the connections that have no request in progress.
    pub(crate) fn close_idle(&self) {
        self.table.close_idle();
    }

    fn is_stopping(&self) -> bool {
        self.node.is_closing()
    }

    /// Accepts connections until the sender of `stop` is dropped, and then those that are still in the accept queue.
    pub(crate) async fn serve(
        self: Arc<Self>,
        mut listener: Box<dyn Listener>,
        stop: async_channel::Receiver<()>,
    ) {
        let stopped = async {
            // Returns an error when the sender is dropped.
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
                    // The accept queue may never be empty.
                    yield_now().await;
                }
                Err(error) => {
                    failures_in_a_row += 1;
                    self.accept_failed(&error, failures_in_a_row).await;
                }
            }
        }
    }

    /// Accepts the connections that are in the listener's accept queue. Clients may have connected just before the stop, or
    /// while [`ConnectionTable::all_closed`] was awaited; closing the listener would reset their connections, including
    /// those on which a request was sent.
    async fn accept_queued(self: &Arc<Self>, listener: &mut dyn Listener) {
        let mut failures = 0;
        while let Some(accepted) = poll_once(listener.accept()).await {
            match accepted {
                Ok((conn, _)) => self.clone().admit(conn),
                // An aborted connection, or a temporary lack of descriptors, must not cause a reset of the connections
                // behind it in the queue.
                Err(error) if failures < MAX_FAILURES_AT_STOP => {
                    failures += 1;
                    self.accept_failed(&error, failures).await;
                }
                Err(_) => return,
            }
        }
    }

    /// Logs a failed accept. Pauses if this machine lacks resources, which closing connections will free, or after too many
    /// failures in a row. An aborted connection (ECONNABORTED and the like) does not affect the next one in the queue, so
    /// there is no pause after it.
    async fn accept_failed(&self, error: &std::io::Error, failures_in_a_row: usize) {
        debug!(%error, "accept failed");
        if ErrorOrigin::of(error) == ErrorOrigin::Local
            || failures_in_a_row > MAX_FAILURES_WITHOUT_PAUSE
        {
            self.runtime.sleep(ACCEPT_RETRY_PAUSE).await;
        }
    }

    /// Serves a new connection in its own task. Closes the connection if the table is full and every connection in it has a
    /// request.
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
            let memory = BudgetShare::new(&self.request_memory);
            let connection = BufferedConnection::new(conn, memory);
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
