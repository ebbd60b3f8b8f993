//! Counts the open client connections of a node's listeners, enforces their limit, and reports when all have closed.

use event_listener::Event;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Counts open client connections.
#[derive(Default)]
pub(crate) struct ClientConnections {
    open: AtomicUsize,
    closed: Event,
}

impl ClientConnections {
    /// Counts one more connection, or returns `None` if `max` connections are open.
    pub(crate) fn admit(self: &Arc<Self>, max: usize) -> Option<ClientConnection> {
        let admitted = self
            .open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                (n < max).then_some(n + 1)
            });
        admitted.ok().map(|_| ClientConnection(self.clone()))
    }

    /// Returns when no connection is open.
    pub(crate) async fn all_closed(&self) {
        loop {
            let listener = self.closed.listen();
            if self.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            listener.await;
        }
    }
}

/// Counts one connection as open until it is dropped.
pub(crate) struct ClientConnection(Arc<ClientConnections>);

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
        self.0.closed.notify(usize::MAX);
    }
}
