//! View synchronization: nodes compare digests of their views, and fetch complete views page by page.

use super::messages::{MessageBody, NodeInfo, PeerAction, PeerId, Update, MAX_UPDATES};
use super::Peers;
use crate::interface::Micros;
use std::net::SocketAddr;

/// Maximum number of updates in one page. The rest of [`MAX_UPDATES`] is left for piggybacked updates.
const PAGE_SIZE: usize = MAX_UPDATES - 4;
/// Minimum time, in microseconds, after which a page that did not arrive is requested again.
const PAGE_TIMEOUT: Micros = 300_000;
/// Two views that have differed for this long, in microseconds, are not expected to converge by dissemination alone.
pub(super) const MIN_RESYNC_INTERVAL: Micros = 2_000_000;
/// The interval doubles each time a synchronization left the views different, up to this many microseconds.
const MAX_RESYNC_INTERVAL: Micros = 32_000_000;

/// The fetch of a complete view that is in progress.
pub(super) struct ViewSync {
    from: SocketAddr,
    /// The id after which the requested page begins; `None` for the first page.
    after: Option<PeerId>,
    requested_at: Micros,
}

/// The fields of a received page that concern the rest of the view.
pub(super) struct PageEnd {
    /// The id after which the next page begins.
    pub(super) next: Option<PeerId>,
    /// Whether this is the last page.
    pub(super) last: bool,
    /// Whether the sender considers its view complete.
    pub(super) sender_complete: bool,
}

struct Page {
    updates: Vec<Update>,
    /// The last id of the page, if further pages follow.
    next: Option<PeerId>,
}

impl Peers {
    /// Compares the digest in a received message with that of this node's view. The digest 0 is ignored.
    pub(super) fn compare_views(&mut self, now: Micros, from: SocketAddr, digest: u32) {
        if digest == self.view_digest() {
            self.last_agreement = now;
            self.resync_interval = MIN_RESYNC_INTERVAL;
        } else if digest != 0 {
            self.differing_peer = Some(from);
        }
    }

    /// Starts to fetch a node's complete view. Does nothing while another synchronization is in progress, which brings all
    /// nodes of a healed partition as well.
    pub(super) fn start_view_sync(
        &mut self,
        now: Micros,
        from: SocketAddr,
        out: &mut Vec<PeerAction>,
    ) {
        if self.view_sync.is_some() {
            return;
        }
        self.view_sync = Some(ViewSync {
            from,
            after: None,
            requested_at: now,
        });
        self.request_page(now, from, None, out);
    }

    fn request_page(
        &mut self,
        now: Micros,
        to: SocketAddr,
        after: Option<PeerId>,
        out: &mut Vec<PeerAction>,
    ) {
        let body = MessageBody::ViewRequest {
            after,
            complete: true,
        };
        self.send(now, to, body, out);
    }

    pub(super) fn on_view_request(
        &mut self,
        now: Micros,
        from: NodeInfo,
        after: Option<PeerId>,
        complete: bool,
        out: &mut Vec<PeerAction>,
    ) {
        let page = self.page(now, after);
        let body = MessageBody::ViewPage {
            updates: page.updates,
            next: page.next.filter(|_| complete),
            last: complete && page.next.is_none(),
            sender_complete: self.complete_view,
        };
        self.send(now, from.address, body, out);
    }

    /// Returns the page of this node's view that begins after an id.
    fn page(&self, now: Micros, after: Option<PeerId>) -> Page {
        // The page includes dead nodes that may still be sending, so that a node that starts on one side of a partition
        // counts the nodes on the other side.
        let mut peers = self.members.all().filter(|peer| {
            !peer.confirmed_stopped && after.is_none_or(|after| peer.node.id > after)
        });
        let updates: Vec<Update> = peers
            .by_ref()
            .take(PAGE_SIZE)
            .map(|peer| peer.update(now))
            .collect();
        let next = updates
            .last()
            .map(|update| update.node.id)
            .filter(|_| peers.next().is_some());
        Page { updates, next }
    }

    /// Requests the next page of the synchronization in progress, or completes the synchronization after the last page.
    pub(super) fn on_page(
        &mut self,
        now: Micros,
        from: SocketAddr,
        end: &PageEnd,
        out: &mut Vec<PeerAction>,
    ) {
        let Some(sync) = self.view_sync.as_mut().filter(|sync| sync.from == from) else {
            return;
        };
        if end.last {
            self.view_sync = None;
            self.last_sync = now;
            self.synced_once = true;
            self.complete_view |= end.sender_complete;
        } else if end.next.is_some() && end.next > sync.after {
            sync.after = end.next;
            sync.requested_at = now;
            self.request_page(now, from, end.next, out);
        }
    }

    /// Starts a synchronization if one is needed, and requests lost pages again.
    pub(super) fn advance_view_sync(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        self.resync_differing_view(now, out);
        self.check_complete_view(now);
        let needs_view = !self.complete_view && self.view_sync.is_none();
        if needs_view && now >= self.last_sync + MIN_RESYNC_INTERVAL {
            if let Some(to) = self.random_peer() {
                self.start_view_sync(now, to, out);
            }
        }
        self.retry_lost_page(now, out);
    }

    /// Starts a synchronization with a node whose view differs if no node with the same view has sent a message for the
    /// resync interval: one of the two has missed an update. Nodes that start together are in no node's complete view,
    /// and updates with a limited number of transmissions do not reach all nodes.
    fn resync_differing_view(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let Some(from) = self.differing_peer else {
            return;
        };
        if now < self.last_agreement.max(self.last_sync) + self.resync_interval {
            return;
        }
        if self.view_sync.is_none() {
            // Views differ permanently while a link is cut in one direction, so the interval grows if the last
            // synchronization changed nothing.
            let digest = self.view_digest();
            let helped = self.compared_digest != digest;
            self.resync_interval = if helped {
                MIN_RESYNC_INTERVAL
            } else {
                (2 * self.resync_interval).min(MAX_RESYNC_INTERVAL)
            };
            self.compared_digest = digest;
        }
        self.start_view_sync(now, from, out);
    }

    /// Marks the view as complete when it has the expected size, or after `complete_view_timeout`. A page from a node
    /// with a complete view marks it as well. Guards against nodes that start together and take each other's small
    /// views for complete.
    fn check_complete_view(&mut self, now: Micros) {
        if !self.complete_view && self.synced_once {
            let known = 1 + self.members.len() as u32;
            let timed_out = now >= self.started_at + self.settings.complete_view_timeout;
            self.complete_view = known >= self.expected_replicas || timed_out;
        }
    }

    /// Requests a lost page again from a random node. Any node can continue the synchronization, because all order
    /// their views by id.
    fn retry_lost_page(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let timeout = self.ack_wait().max(PAGE_TIMEOUT);
        let is_lost = |sync: &ViewSync| now >= sync.requested_at + timeout;
        if !self.view_sync.as_ref().is_some_and(is_lost) {
            return;
        }
        let peer = self.random_peer();
        match (&mut self.view_sync, peer) {
            (Some(sync), Some(to)) => {
                sync.from = to;
                sync.requested_at = now;
                let after = sync.after;
                self.request_page(now, to, after, out);
            }
            _ => self.view_sync = None,
        }
    }

    /// Requests a random page of the view from a random node, to find updates that this node has missed.
    pub(super) fn sync_random_page(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let present: Vec<PeerId> = self.members.present().map(|peer| peer.node.id).collect();
        if let Some(to) = self.random_peer() {
            let after = present[self.random_below(present.len())];
            let body = MessageBody::ViewRequest {
                after: Some(after),
                complete: false,
            };
            self.send(now, to, body, out);
        }
    }
}
