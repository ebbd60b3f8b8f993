//! Requests in flight: their ids, and what happens when a client disconnects.

use super::Server;
use crate::call::HttpCall;
use crate::sync::lock;
use ivyward::Node;

/// The id of a request in flight; no other request may use it until this is dropped.
pub(super) struct RequestId<'a> {
    server: &'a Server,
    id: String,
}

impl<'a> RequestId<'a> {
    /// `None` if a request with this id is in flight.
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

/// A request that the node accepted. If it is dropped before its final status was delivered, its client has disconnected.
pub(super) struct InFlightRequest<'a> {
    pub(super) node: &'a Node,
    pub(super) number: u64,
    pub(super) call: &'a HttpCall,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        if !self.call.response_buffer.is_delivered() {
            self.call.set_disconnected();
            self.node.client_disconnected(self.number);
        }
    }
}
