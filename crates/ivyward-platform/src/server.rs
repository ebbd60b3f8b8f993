//! The HTTP/1.1 server: client connections in, final answers out.
//!
//! - `table`: which connections there are; `connection`: requests on one of them; `arrival`: what a request's headers say.
//! - `response`: an answer on its way to its client; `open`: requests in hand.

mod arrival;
mod connection;
mod open;
mod response;
mod table;

use crate::call::Budget;
use crate::config::Bounds;
use crate::wire::Wire;
use futures_lite::future::{or, poll_once};
use ivyward::world::{Conn, Listener, WorldExt, WorldRef};
use ivyward::Node;
use ivyward_settings::Told;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use table::ConnectionTable;
use tracing::debug;

/// The server of one node.
pub(crate) struct Server {
    node: Node,
    world: WorldRef,
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
    pub(crate) fn new(node: Node, world: WorldRef, told: Told, bounds: Bounds) -> Arc<Server> {
        Arc::new(Server {
            node,
            world,
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
        while let Some(Ok((conn, _))) = poll_once(listener.accept()).await {
            self.clone().admit(conn);
        }
    }

    async fn accept(self: &Arc<Self>, listener: &mut dyn Listener) {
        loop {
            match listener.accept().await {
                Ok((conn, _)) => {
                    self.clone().admit(conn);
                    self.table.all_closed().await;
                }
                Err(e) => {
                    // One connection's error, or no descriptor: those that close make room.
                    debug!(error = %e, "a connection is not taken");
                    self.world.sleep(5_000).await;
                }
            }
        }
    }

    fn admit(self: Arc<Self>, conn: Conn) {
        let Some((id, told_to_close)) = self.table.admit(self.world.now()) else { return };
        let world = self.world.clone();
        world.run(async move {
            let _guard = ConnectionGuard { table: &self.table, id };
            let reason = self.client(Wire::new(conn), id, told_to_close).await;
            self.node.metrics().closed(reason);
            debug!(connection = id, reason = reason.name(), "a client's connection is closed");
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
