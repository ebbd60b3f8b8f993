//! Requests in flight: notifying the node when a client disconnects.

use crate::call::HttpCall;
use ivyward::Node;

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
