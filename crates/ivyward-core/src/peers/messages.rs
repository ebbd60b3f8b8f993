//! The messages between nodes, and the actions that [`super::Peers`] returns.

use crate::interface::Micros;
use std::net::SocketAddr;

/// The id of a node. It stays the same after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// A node's announcement of itself, part of each message and update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeInfo {
    /// The node's id.
    pub id: PeerId,
    /// Increases with each start of the node. A higher incarnation supersedes all lower ones.
    pub incarnation: u64,
    /// The zone in which the node runs.
    pub zone: u8,
    /// The address at which the node receives messages. All replies are sent there.
    pub address: SocketAddr,
}

/// The state of a node as reported by an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The reporter knows of a message with the update's heartbeat.
    Alive,
    /// The node does not answer. The update's heartbeat is the latest one known to the reporter.
    Suspected {
        /// How long ago the first unanswered ping was sent, in microseconds.
        unanswered_for: Micros,
    },
    /// The node announced that it leaves.
    Left,
}

/// An update (a rumor, in the terms of gossip protocols) about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// The node that the update is about.
    pub node: NodeInfo,
    /// The node's latest heartbeat known to the reporter: the node's own uptime in milliseconds.
    pub heartbeat: u64,
    /// How long ago some node received that heartbeat, in microseconds.
    pub age: Micros,
    /// The state of the node, as known to the reporter.
    pub state: ReportedState,
}

/// The body of a message, by purpose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageBody {
    /// Asks for a [`MessageBody::Ack`] with the same sequence number.
    Ping {
        /// The sender's sequence number.
        seq: u64,
    },
    /// The reply to a ping, from the pinged node or passed on by a relay.
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
    /// A relay's answer to a [`MessageBody::PingRequest`] when the pinged node has not replied to the relay.
    Nack {
        /// The sequence number of the ping request.
        seq: u64,
    },
    /// Asks for a page of the receiver's view.
    ViewRequest {
        /// The page begins after this id; `None` for the first page.
        after: Option<PeerId>,
        /// Whether the sender fetches the complete view, and will request the following pages as well.
        complete: bool,
    },
    /// A page of the sender's view.
    ViewPage {
        /// Updates about nodes that may still be sending, in the order of their ids.
        updates: Vec<Update>,
        /// The id after which the next page begins; `None` if there is none or a single page was requested.
        next: Option<PeerId>,
        /// Whether the complete view was requested and this is its last page.
        last: bool,
        /// Whether the sender considers its own view complete.
        sender_complete: bool,
    },
    /// Announces that the sender leaves.
    Leave,
    /// No body of its own: the message only carries piggybacked updates.
    Updates,
}

/// A message between nodes. Each is sent as one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's announcement of itself.
    pub from: NodeInfo,
    /// The sender's heartbeat: its uptime in milliseconds.
    pub heartbeat: u64,
    /// A digest of the sender's view; 0 stands for no digest.
    pub view_digest: u32,
    /// The purpose of the message and its fields.
    pub body: MessageBody,
    /// Piggybacked updates, at most [`MAX_UPDATES`] together with those of a [`MessageBody::ViewPage`].
    pub updates: Vec<Update>,
}

/// Maximum number of updates in a message. With this many, a message stays under 1,200 bytes with header and authentication
/// tag, whatever the addresses: an update takes at most 66 bytes, everything else 145.
pub const MAX_UPDATES: usize = 15;

/// An action for the caller of [`super::Peers`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Send a message as one datagram.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// The state of a node in the view changed. Informs the caller; there is nothing to carry out.
    Changed {
        /// The node whose state changed.
        node: NodeInfo,
        /// The node's previous state; `None` if the node is new to the view.
        previous: Option<super::PeerState>,
        /// The node's new state.
        current: super::PeerState,
    },
}
