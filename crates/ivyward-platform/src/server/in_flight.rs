//! Requests in hand: their ids, and what happens when a client leaves.

use super::Server;
use crate::call::{lock, PlatformCall};
use ivyward::Node;

/// An id among those of open requests.
pub(super) struct OpenId<'a>(&'a Server, String);

impl<'a> OpenId<'a> {
    pub(super) fn new(server: &'a Server, id: &str) -> Option<OpenId<'a>> {
        lock(&server.open)
            .insert(id.to_owned())
            .then(|| OpenId(server, id.to_owned()))
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        lock(&self.0.open).remove(&self.1);
    }
}

/// A request in hand: dropped before its end was taken, its client has left.
pub(super) struct TakenRequest<'a> {
    pub(super) node: &'a Node,
    pub(super) number: u64,
    pub(super) call: &'a PlatformCall,
}

impl Drop for TakenRequest<'_> {
    fn drop(&mut self) {
        if !self.call.outlet.is_delivered() {
            self.call.set_disconnected();
            self.node.client_disconnected(self.number);
        }
    }
}
