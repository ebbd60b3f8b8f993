//! The datagram format of messages between nodes: a version byte, a keyed BLAKE3 tag of 32 bytes, and the message as protobuf.

use ivyward_core::peers::{
    Message, MessageBody, NodeInfo, PeerId, ReportedState, Update, MAX_UPDATES,
};
use ivyward_proto::peers as pb;
use prost::Message as _;
use std::net::{IpAddr, SocketAddr};

/// Version of the datagram format. Datagrams of other versions are dropped.
const VERSION: u8 = 1;
/// Length of the version byte and the tag, in bytes.
const HEADER_LENGTH: usize = 33;
/// Context string of the key derivation, so that another use of the same secret gets another key. Part of the format: a change
/// makes nodes reject each other's datagrams.
const KEY_CONTEXT: &str = "ivyward 2026-12 seal of datagrams between nodes";

/// Encodes and decodes authenticated datagrams.
#[derive(Clone)]
pub struct DatagramCodec {
    key: [u8; 32],
    /// Whether only loopback addresses are accepted, because no secret is set.
    pub(crate) loopback_only: bool,
}

/// Why a datagram is dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is truncated, of another version or malformed.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] ContentError),
    /// The tag does not match: the sender has another key, or the datagram was altered.
    #[error("the authentication tag does not match: is IVYWARD_PEER_KEY the same on all nodes?")]
    Authentication,
    /// The datagram has an address other than loopback, and no secret is set.
    #[error("{0} is not a loopback address and needs a key: set IVYWARD_PEER_KEY on all nodes")]
    NonLoopback(SocketAddr),
}

/// Why the content of a datagram is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContentError {
    /// The header is truncated or of another version.
    #[error("the header is truncated or of another version")]
    Header,
    /// The body is not a valid protobuf message.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// A node is missing.
    #[error("a node is missing")]
    MissingNode,
    /// An address is shorter than its port, two bytes.
    #[error("an address of fewer than two bytes")]
    ShortAddress,
    /// An IP address has neither 4 nor 16 bytes.
    #[error("an IP address that has neither 4 nor 16 bytes")]
    AddressLength,
    /// An address is unspecified, multicast or without a port.
    #[error("an address that is unspecified, multicast or without a port")]
    UnreachableAddress,
    /// A zone is over 255.
    #[error("zone {0} is over 255")]
    Zone(u32),
    /// An update has a state that this version does not know.
    #[error("an update of unknown state {0}")]
    UnknownState(u32),
    /// A message has more updates than [`MAX_UPDATES`].
    #[error("{0} updates, more than a message may have")]
    TooManyUpdates(usize),
    /// The message has no body, or one that this version does not know.
    #[error("the message body is missing or of an unknown type")]
    UnknownBody,
}

impl DatagramCodec {
    /// Derives the key from a secret. Without one, the codec accepts only loopback addresses.
    pub fn new(secret: Option<&str>) -> DatagramCodec {
        let key = blake3::derive_key(KEY_CONTEXT, secret.unwrap_or_default().as_bytes());
        DatagramCodec {
            key,
            loopback_only: secret.is_none(),
        }
    }

    /// Encodes a message as a datagram.
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let body = encode_message(message).encode_to_vec();
        let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(blake3::keyed_hash(&self.key, &body).as_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Authenticates and decodes a datagram. `source` is its source address, which anyone can forge.
    ///
    /// # Errors
    /// Returns [`DecodeError`] if the datagram has to be dropped.
    pub fn decode(&self, bytes: &[u8], source: SocketAddr) -> Result<Message, DecodeError> {
        if bytes.len() < HEADER_LENGTH || bytes[0] != VERSION {
            return Err(ContentError::Header.into());
        }
        let (header, body) = bytes.split_at(HEADER_LENGTH);
        let tag: [u8; 32] = header[1..].try_into().map_err(|_| ContentError::Header)?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&self.key, body) != blake3::Hash::from(tag) {
            return Err(DecodeError::Authentication);
        }
        let message = pb::Message::decode(body).map_err(ContentError::from)?;
        let message = decode_message(message)?;
        if self.loopback_only {
            let mut addresses = std::iter::once(source).chain(addresses(&message));
            if let Some(foreign) = addresses.find(|address| !address.ip().is_loopback()) {
                return Err(DecodeError::NonLoopback(foreign));
            }
        }
        Ok(message)
    }
}

/// Returns all addresses in a message.
fn addresses(message: &Message) -> impl Iterator<Item = SocketAddr> + '_ {
    let (page, relayed) = match &message.body {
        MessageBody::ViewPage { updates, .. } => (updates.as_slice(), None),
        MessageBody::PingRequest { to, .. } => (&[][..], Some(to.address)),
        _ => (&[][..], None),
    };
    let address = |update: &Update| update.node.address;
    std::iter::once(message.from.address)
        .chain(message.updates.iter().map(address))
        .chain(relayed)
        .chain(page.iter().map(address))
}

fn encode_node(node: &NodeInfo) -> pb::Card {
    let mut address = match node.address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    address.extend_from_slice(&node.address.port().to_be_bytes());
    pb::Card {
        id: node.id.0,
        start: node.incarnation,
        zone: u32::from(node.zone),
        address,
    }
}

fn decode_node(node: Option<pb::Card>) -> Result<NodeInfo, ContentError> {
    let node = node.ok_or(ContentError::MissingNode)?;
    let port_at = node
        .address
        .len()
        .checked_sub(2)
        .ok_or(ContentError::ShortAddress)?;
    let (ip, port) = node.address.split_at(port_at);
    let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
        (Ok(ip), _) => IpAddr::from(ip),
        (_, Ok(ip)) => IpAddr::from(ip),
        _ => return Err(ContentError::AddressLength),
    };
    let address = SocketAddr::new(ip, u16::from_be_bytes([port[0], port[1]]));
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(ContentError::UnreachableAddress);
    }
    let zone = u8::try_from(node.zone).map_err(|_| ContentError::Zone(node.zone))?;
    Ok(NodeInfo {
        id: PeerId(node.id),
        incarnation: node.start,
        zone,
        address,
    })
}

fn encode_update(update: &Update) -> pb::Claim {
    let (state, since) = match update.state {
        ReportedState::Alive => (0, 0),
        ReportedState::Suspected { unanswered_for } => (1, unanswered_for / 1_000),
        ReportedState::Left => (2, 0),
    };
    let age_ms = update.age.div_ceil(1_000);
    pb::Claim {
        card: Some(encode_node(&update.node)),
        beat: update.heartbeat,
        ago: age_ms,
        about: state,
        since,
    }
}

fn decode_update(update: pb::Claim) -> Result<Update, ContentError> {
    let state = match update.about {
        0 => ReportedState::Alive,
        1 => ReportedState::Suspected {
            unanswered_for: update.since.saturating_mul(1_000),
        },
        2 => ReportedState::Left,
        _ => return Err(ContentError::UnknownState(update.about)),
    };
    let age = update.ago.saturating_mul(1_000);
    Ok(Update {
        node: decode_node(update.card)?,
        heartbeat: update.beat,
        age,
        state,
    })
}

fn decode_updates(updates: Vec<pb::Claim>) -> Result<Vec<Update>, ContentError> {
    if updates.len() > MAX_UPDATES {
        return Err(ContentError::TooManyUpdates(updates.len()));
    }
    updates.into_iter().map(decode_update).collect()
}

fn encode_message(message: &Message) -> pb::Message {
    use pb::message::Body as Out;
    let body = match &message.body {
        MessageBody::Ping { seq } => Out::Ping(*seq),
        MessageBody::Ack { seq, of } => Out::Ack(pb::Ack {
            seq: *seq,
            of: of.0,
        }),
        MessageBody::PingRequest { seq, to } => Out::Relay(pb::Relay {
            seq: *seq,
            to: Some(encode_node(to)),
        }),
        MessageBody::Nack { seq } => Out::Nack(*seq),
        MessageBody::ViewRequest { after, complete } => Out::Ask(pb::Ask {
            after: after.map(|a| a.0),
            whole: *complete,
        }),
        MessageBody::ViewPage {
            updates,
            next,
            last,
            sender_complete,
        } => Out::Page(pb::Page {
            claims: updates.iter().map(encode_update).collect(),
            next: next.map(|n| n.0),
            last: *last,
            sure: *sender_complete,
        }),
        MessageBody::Leave => Out::Leave(true),
        MessageBody::Updates => Out::Gossip(true),
    };
    pb::Message {
        from: Some(encode_node(&message.from)),
        beat: message.heartbeat,
        view: message.view_digest,
        claims: message.updates.iter().map(encode_update).collect(),
        body: Some(body),
    }
}

fn decode_message(message: pb::Message) -> Result<Message, ContentError> {
    use pb::message::Body as In;
    let body = match message.body.ok_or(ContentError::UnknownBody)? {
        In::Ping(seq) => MessageBody::Ping { seq },
        In::Ack(ack) => MessageBody::Ack {
            seq: ack.seq,
            of: PeerId(ack.of),
        },
        In::Relay(relay) => MessageBody::PingRequest {
            seq: relay.seq,
            to: decode_node(relay.to)?,
        },
        In::Nack(seq) => MessageBody::Nack { seq },
        In::Ask(ask) => MessageBody::ViewRequest {
            after: ask.after.map(PeerId),
            complete: ask.whole,
        },
        In::Page(page) => {
            let updates = decode_updates(page.claims)?;
            MessageBody::ViewPage {
                updates,
                next: page.next.map(PeerId),
                last: page.last,
                sender_complete: page.sure,
            }
        }
        In::Leave(_) => MessageBody::Leave,
        In::Gossip(_) => MessageBody::Updates,
    };
    let (from, updates) = (decode_node(message.from)?, decode_updates(message.claims)?);
    Ok(Message {
        from,
        heartbeat: message.beat,
        view_digest: message.view,
        body,
        updates,
    })
}

#[cfg(test)]
mod tests;
