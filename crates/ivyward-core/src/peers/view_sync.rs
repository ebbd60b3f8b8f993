//! View synchronization: nodes compare digests of their views, and fetch a complete view page by page.

use super::messages::{MessageBody, NodeInfo, PeerAction, PeerId, Update, MAX_UPDATES};
use super::Peers;
use crate::interface::Micros;
use std::net::SocketAddr;

/// Updates in one page.
const PAGE_SIZE: usize = MAX_UPDATES - 4;
/// A lost page is requested again after this, in microseconds.
const PAGE_TIMEOUT: Micros = 300_000;
/// Views that differ for this long, in microseconds, do not converge by dissemination.
pub(super) const MIN_RESYNC_INTERVAL: Micros = 2_000_000;
/// Each time that a synchronization does not help, the interval doubles, up to this.
const MAX_RESYNC_INTERVAL: Micros = 32_000_000;

/// A synchronization in progress.
pub(super) struct ViewSync {
    from: SocketAddr,
    /// The id after which the requested page begins.
    after: Option<PeerId>,
    requested_at: Micros,
}

/// What a page says about the rest of the view.
pub(super) struct PageEnd {
    /// Where the next page begins.
    pub(super) next: Option<PeerId>,
    /// It is the last page.
    pub(super) last: bool,
    /// The sender's view is complete.
    pub(super) sender_complete: bool,
}

struct Page {
    updates: Vec<Update>,
    /// The last id of the page, if there are more.
    next: Option<PeerId>,
}

impl Peers {
    /// Notes whether the sender of a message has the same view; 0 for no digest.
    pub(super) fn compare_views(&mut self, now: Micros, from: SocketAddr, digest: u32) {
        if digest == self.view_digest() {
            self.last_agreement = now;
            self.resync_interval = MIN_RESYNC_INTERVAL;
        } else if digest != 0 {
            self.differing_peer = Some(from);
        }
    }

    /// Begins to fetch a node's complete view, if no synchronization is in progress: one that heals a partition brings all.
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

    /// The page of the view after an id.
    fn page(&self, now: Micros, after: Option<PeerId>) -> Page {
        // With the dead that may be sending: a node that starts on one side of a partition is to count the other side.
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

    /// Goes on to the next page of a synchronization, or completes it.
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

    /// Starts a synchronization where one is needed, and requests lost pages again.
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

    /// Synchronizes if no message for long came from a node with the same view: something was missed. Nodes that start
    /// together are in nobody's complete view, and updates that are sent a few times don't reach all.
    fn resync_differing_view(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let Some(from) = self.differing_peer else {
            return;
        };
        if now < self.last_agreement.max(self.last_sync) + self.resync_interval {
            return;
        }
        if self.view_sync.is_none() {
            // With a link that is cut in one direction views differ for as long as that lasts.
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

    /// Guards against nodes that start together taking each other's small views for complete: a view is complete if it
    /// comes from a node whose view is, or has the expected size, or after a while.
    fn check_complete_view(&mut self, now: Micros) {
        if !self.complete_view && self.synced_once {
            let known = 1 + self.members.len() as u32;
            let settled = now >= self.started_at + self.settings.settle_time;
            self.complete_view = known >= self.expected_replicas || settled;
        }
    }

    /// Requests a lost page again, from another node: ids have the same order everywhere.
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

    /// Compares a random part of the view with a random node.
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
