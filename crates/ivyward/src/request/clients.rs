//! Counts the client connections of a node's listeners: how many are open, and when all have closed.

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
    /// Admits one more connection, unless `max` are open.
    pub(crate) fn admit(self: &Arc<Self>, max: usize) -> Option<ClientConnection> {
        let admitted = self
            .open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                (n < max).then_some(n + 1)
            });
        admitted.ok().map(|_| ClientConnection(self.clone()))
    }

    /// Returns when none is open.
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

/// An open connection; dropped when it has closed.
pub(crate) struct ClientConnection(Arc<ClientConnections>);

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
        self.0.closed.notify(usize::MAX);
    }
}
