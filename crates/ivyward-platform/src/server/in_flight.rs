//! Requests in flight: the uniqueness of their ids, and notifying the node when a client disconnects.

use super::Server;
use crate::call::HttpCall;
use crate::sync::lock;
use ivyward::Node;

/// The id of a request in flight. No other request can use the id until this value is dropped.
pub(super) struct RequestId<'a> {
    server: &'a Server,
    id: String,
}

impl<'a> RequestId<'a> {
    /// Registers an id. Returns `None` if a request with this id is in flight.
    pub(super) fn register(server: &'a Server, id: &str) -> Option<RequestId<'a>> {
        let is_new = lock(&server.request_ids).insert(id.to_owned());
        is_new.then(|| RequestId {
            server,
            id: id.to_owned(),
        })
    }
}

impl Drop for RequestId<'_> {
    fn drop(&mut self) {
        lock(&self.server.request_ids).remove(&self.id);
    }
}

/// A request that the node accepted. Dropping it before its final status was delivered means that the client has
/// disconnected, and notifies the node.
pub(super) struct InFlightRequest<'a> {
    pub(super) node: &'a Node,
    pub(super) number: u64,
    pub(super) call: &'a HttpCall,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        if !self.call.response_buffer.events.is_delivered() {
            self.call.set_disconnected();
            self.node.client_disconnected(self.number);
        }
    }
}
