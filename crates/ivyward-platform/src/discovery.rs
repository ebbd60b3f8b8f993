//! Follows the list of engines at discovery and updates the node's endpoints.
//!
//! - `list`: the list in its JSON form; `list_reader`: converts it to engines.
//! - `list_call`: one call; `error`: errors of calls; `list_watch`: the calls to one address.

mod error;
mod list;
mod list_call;
mod list_reader;
mod list_watch;

use crate::sync::lock;
use event_listener::Event;
use futures_lite::future::or;
use ivyward::core::interface::ListKind;
use ivyward::runtime::RuntimeRef;
use ivyward::Node;
use ivyward_http1::Limits;
use list_watch::ListWatch;
use std::net::SocketAddr;
use std::sync::Mutex;
use tracing::info;

pub use list::List;
pub(crate) use list_reader::ListReader;

/// The address of discovery, which a reload of the configuration may change.
pub(crate) struct Discovery {
    address: Mutex<SocketAddr>,
    /// Notified when `address` changes.
    address_changed: Event,
}

/// Everything that following discovery needs except its address.
pub(crate) struct Watch {
    /// The node whose endpoints are updated.
    pub(crate) node: Node,
    /// Converts the lists to engines.
    pub(crate) reader: ListReader,
    /// The node's runtime.
    pub(crate) runtime: RuntimeRef,
    /// The limits on the size of a response.
    pub(crate) limits: Limits,
    /// Whether discovery sends lists on request only, so that each call has a cost for it.
    pub(crate) is_costly: bool,
}

impl Discovery {
    pub(crate) fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address: Mutex::new(address),
            address_changed: Event::new(),
        }
    }

    /// Sets the address. If it has changed, calls to the old address are cancelled.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        let before = std::mem::replace(&mut *lock(&self.address), address);
        if before != address {
            info!(%address, "discovery address updated");
            self.address_changed.notify(usize::MAX);
        }
    }

    /// Updates the node's endpoints until the future is dropped. While discovery does not respond, the endpoints stay
    /// unchanged.
    pub(crate) async fn follow(&self, watch: &mut Watch) {
        loop {
            let address_changed = self.address_changed.listen();
            let address = *lock(&self.address);
            // Starts with a new watch, because failures and delays at the previous address do not apply to this one.
            let calls = ListWatch::new(&watch.runtime, address, &watch.limits, watch.is_costly);
            or(watch.update_endpoints(calls), address_changed).await;
        }
    }
}

impl Watch {
    /// Updates the node's endpoints with each list that the calls receive. Changes without entries are skipped.
    async fn update_endpoints(&mut self, mut calls: ListWatch) {
        loop {
            let list = calls.next_list().await;
            let kind = match list.full {
                true => ListKind::Full,
                false => ListKind::Changes,
            };
            let engines = self.reader.read(&list);
            if list.full || !engines.is_empty() {
                self.node.update_endpoints(kind, engines).await;
            }
        }
    }
}
