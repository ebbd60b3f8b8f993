//! The messages between nodes, and the actions of [`super::Peers`].

use crate::interface::Micros;
use std::net::SocketAddr;

/// A node's id, the same after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// How a node announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// Its id.
    pub id: PeerId,
    /// Grows with each start: a higher one supersedes all lower ones.
    pub incarnation: u64,
    /// Its zone.
    pub zone: u8,
    /// The address at which it is reached. Replies go there.
    pub address: SocketAddr,
}

/// The state that an update reports of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It was heard with this heartbeat.
    Alive,
    /// It does not answer; the heartbeat is the last one known to the reporter.
    Suspected {
        /// How long ago the first unanswered ping was sent.
        unanswered_for: Micros,
    },
    /// It announced that it leaves.
    Left,
}

/// An update (rumor) about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The node.
    pub node: NodeInfo,
    /// Its last known heartbeat: its own uptime in milliseconds.
    pub heartbeat: u64,
    /// How long ago the reporter learned of that heartbeat.
    pub age: Micros,
    /// The reported state.
    pub state: ReportedState,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks for an [`MessageBody::Ack`] with the same number.
    Ping {
        /// The sender's sequence number.
        seq: u64,
    },
    /// The reply to a ping, or a relay passes that reply on.
    Ack {
        /// The sequence number of the ping.
        seq: u64,
        /// The node that replied.
        of: PeerId,
    },
    /// Asks for an indirect ping of another node.
    PingRequest {
        /// The sender's sequence number.
        seq: u64,
        /// The node to ping.
        to: NodeInfo,
    },
    /// The relay is alive, but the pinged node has not replied to it.
    Nack {
        /// The sequence number of the ping.
        seq: u64,
    },
    /// Asks for a page of the view.
    ViewRequest {
        /// Ids after this one; from the first if there is none.
        after: Option<PeerId>,
        /// The following pages are wanted as well.
        complete: bool,
    },
    /// A page of the view.
    ViewPage {
        /// Nodes that may still be sending.
        updates: Vec<Update>,
        /// Where the next page begins, if that is wanted.
        next: Option<PeerId>,
        /// The complete view was requested, and this is its last page.
        last: bool,
        /// The sender's own view is complete.
        sender_complete: bool,
    },
    /// The sender leaves.
    Leave,
    /// Carries piggybacked updates only.
    Updates,
}

/// A message, as one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: NodeInfo,
    /// The sender's uptime in milliseconds.
    pub heartbeat: u64,
    /// A digest of the sender's view; 0 if it sends none.
    pub view_digest: u32,
    /// The purpose.
    pub body: MessageBody,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}

/// The most updates in a message: with header and authentication tag it stays under 1,200 bytes with any addresses (at most
/// 66 bytes an update, 145 for the rest).
pub const MAX_UPDATES: usize = 15;

/// What [`super::Peers`] wants done or announces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Send a message.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The view changed.
    Changed {
        /// The node.
        node: NodeInfo,
        /// Its previous state; none if it is new.
        previous: Option<super::PeerState>,
        /// Its new state.
        current: super::PeerState,
    },
}
