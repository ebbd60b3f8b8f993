//! Messages between nodes as datagrams: a version, a keyed BLAKE3 tag, and the message as protobuf.

use ivyward_core::peers::{
    Message, MessageBody, NodeInfo, PeerId, ReportedState, Update, MAX_UPDATES,
};
use ivyward_proto::peers as pb;
use prost::Message as _;
use std::net::{IpAddr, SocketAddr};

/// Version of the datagrams that this program sends and accepts.
const VERSION: u8 = 1;
/// Bytes before the message.
const HEAD: usize = 33;
/// The context of the key's derivation; another use of the same secret gives another key.
const CONTEXT: &str = "ivyward 2026-12 seal of datagrams between nodes";

/// Authenticates datagrams.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
    /// Whether only loopback addresses are accepted, as the owner set no key.
    pub(crate) loopback_only: bool,
}

/// Why a datagram is dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Truncated, of another version or no message at all.
    #[error("it is no message: {0}")]
    Malformed(#[from] ContentError),
    /// Its tag does not match: another key, or it was altered.
    #[error("its seal does not hold: is IVYWARD_PEER_KEY the same at all nodes?")]
    Seal,
    /// It names addresses beyond this machine, and there is no key.
    #[error("it names {0}, which needs a key: set IVYWARD_PEER_KEY at all nodes")]
    Foreign(SocketAddr),
}

/// Why the content of a datagram is no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ContentError {
    /// The head is missing or of another version.
    #[error("another version, or cut off")]
    Head,
    /// It is no protobuf message of its type.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// A node is missing.
    #[error("no card")]
    NoNode,
    /// An address has no port.
    #[error("a short address")]
    ShortAddress,
    /// An address is neither IPv4 nor IPv6.
    #[error("no address of 4 or 16 bytes")]
    AddressLength,
    /// An address is unspecified, multicast or without a port.
    #[error("an address that nobody has")]
    UnreachableAddress,
    /// A zone is out of its range.
    #[error("zone {0} is over 255")]
    Zone(u32),
    /// An update of a state that this version does not know.
    #[error("an update of unknown state {0}")]
    UnknownState(u32),
    /// More updates than a message may have.
    #[error("{0} updates are too many")]
    TooManyUpdates(usize),
    /// No body, or one of a later version.
    #[error("no body, or one of a later version")]
    UnknownBody,
}

impl Seal {
    /// With a key derived from the owner's secret, if there is one.
    pub fn new(secret: Option<&str>) -> Seal {
        let key = blake3::derive_key(CONTEXT, secret.unwrap_or_default().as_bytes());
        Seal {
            key,
            loopback_only: secret.is_none(),
        }
    }

    /// A message as a datagram.
    pub fn close(&self, message: &Message) -> Vec<u8> {
        let body = encode_message(message).encode_to_vec();
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.push(VERSION);
        bytes.extend_from_slice(blake3::keyed_hash(&self.key, &body).as_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Reads a datagram that seems to come from there.
    ///
    /// # Errors
    /// [`DecodeError`].
    pub fn open(&self, bytes: &[u8], source: SocketAddr) -> Result<Message, DecodeError> {
        if bytes.len() < HEAD || bytes[0] != VERSION {
            return Err(ContentError::Head.into());
        }
        let (head, body) = bytes.split_at(HEAD);
        let tag: [u8; 32] = head[1..].try_into().map_err(|_| ContentError::Head)?;
        // Compared in constant time.
        if blake3::keyed_hash(&self.key, body) != blake3::Hash::from(tag) {
            return Err(DecodeError::Seal);
        }
        let message = pb::Message::decode(body).map_err(ContentError::from)?;
        let message = decode_message(message)?;
        if self.loopback_only {
            let mut addresses = std::iter::once(source).chain(addresses(&message));
            if let Some(foreign) = addresses.find(|address| !address.ip().is_loopback()) {
                return Err(DecodeError::Foreign(foreign));
            }
        }
        Ok(message)
    }
}

/// All addresses that a message names.
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

fn decode_node(card: Option<pb::Card>) -> Result<NodeInfo, ContentError> {
    let card = card.ok_or(ContentError::NoNode)?;
    let at = card
        .address
        .len()
        .checked_sub(2)
        .ok_or(ContentError::ShortAddress)?;
    let (ip, port) = card.address.split_at(at);
    let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
        (Ok(ip), _) => IpAddr::from(ip),
        (_, Ok(ip)) => IpAddr::from(ip),
        _ => return Err(ContentError::AddressLength),
    };
    let address = SocketAddr::new(ip, u16::from_be_bytes([port[0], port[1]]));
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(ContentError::UnreachableAddress);
    }
    let zone = u8::try_from(card.zone).map_err(|_| ContentError::Zone(card.zone))?;
    Ok(NodeInfo {
        id: PeerId(card.id),
        incarnation: card.start,
        zone,
        address,
    })
}

fn encode_update(update: &Update) -> pb::Claim {
    let (about, since) = match update.state {
        ReportedState::Alive => (0, 0),
        ReportedState::Suspected { unanswered_for } => (1, unanswered_for / 1_000),
        ReportedState::Left => (2, 0),
    };
    let ago = update.age.div_ceil(1_000);
    pb::Claim {
        card: Some(encode_node(&update.node)),
        beat: update.heartbeat,
        ago,
        about,
        since,
    }
}

fn decode_update(claim: pb::Claim) -> Result<Update, ContentError> {
    let about = match claim.about {
        0 => ReportedState::Alive,
        1 => ReportedState::Suspected {
            unanswered_for: claim.since.saturating_mul(1_000),
        },
        2 => ReportedState::Left,
        _ => return Err(ContentError::UnknownState(claim.about)),
    };
    let ago = claim.ago.saturating_mul(1_000);
    Ok(Update {
        node: decode_node(claim.card)?,
        heartbeat: claim.beat,
        age: ago,
        state: about,
    })
}

fn decode_updates(claims: Vec<pb::Claim>) -> Result<Vec<Update>, ContentError> {
    if claims.len() > MAX_UPDATES {
        return Err(ContentError::TooManyUpdates(claims.len()));
    }
    claims.into_iter().map(decode_update).collect()
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
            let claims = decode_updates(page.claims)?;
            MessageBody::ViewPage {
                updates: claims,
                next: page.next.map(PeerId),
                last: page.last,
                sender_complete: page.sure,
            }
        }
        In::Leave(_) => MessageBody::Leave,
        In::Gossip(_) => MessageBody::Updates,
    };
    let (from, claims) = (decode_node(message.from)?, decode_updates(message.claims)?);
    Ok(Message {
        from,
        heartbeat: message.beat,
        view_digest: message.view,
        body,
        updates: claims,
    })
}

#[cfg(test)]
mod tests;
