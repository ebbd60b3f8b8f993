//! Messages between nodes as datagrams: a version, a keyed BLAKE3 tag, and the message by prost.

use ivyward_core::peers::{
    Message, MessageBody, NodeInfo, PeerId, ReportedState, Update, MAX_UPDATES,
};
use ivyward_proto::peers as pb;
use prost::Message as _;
use std::net::{IpAddr, SocketAddr};

/// Version of the datagrams that this program sends and takes.
const VERSION: u8 = 1;
/// Bytes before the message.
const HEAD: usize = 33;
/// What a key is derived for; another use of the same words gives another key.
const CONTEXT: &str = "ivyward 2026-12 seal of datagrams between nodes";

/// Seals and opens datagrams.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
    /// Without a key of the owner: only what stays on this machine is taken.
    pub(crate) loopback_only: bool,
}

/// Why a datagram is dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Cut off, of another version or no message at all.
    #[error("it is no message: {0}")]
    Malformed(String),
    /// Its tag does not belong to it: another key, or it was changed.
    #[error("its seal does not hold: is IVYWARD_PEER_KEY the same at all nodes?")]
    Seal,
    /// It names addresses beyond this machine, and there is no key.
    #[error("it names {0}, which needs a key: set IVYWARD_PEER_KEY at all nodes")]
    Foreign(SocketAddr),
}

impl Seal {
    /// By the words of the owner, or without any.
    pub fn new(words: Option<&str>) -> Seal {
        let key = blake3::derive_key(CONTEXT, words.unwrap_or_default().as_bytes());
        Seal {
            key,
            loopback_only: words.is_none(),
        }
    }

    /// A message as a datagram.
    pub fn close(&self, message: &Message) -> Vec<u8> {
        let body = message_out(message).encode_to_vec();
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
        let malformed = |what: &str| DecodeError::Malformed(what.to_owned());
        if bytes.len() < HEAD || bytes[0] != VERSION {
            return Err(malformed("another version, or cut off"));
        }
        let (head, body) = bytes.split_at(HEAD);
        let tag: [u8; 32] = head[1..].try_into().map_err(|_| malformed("cut off"))?;
        // Compared in constant time.
        if blake3::keyed_hash(&self.key, body) != blake3::Hash::from(tag) {
            return Err(DecodeError::Seal);
        }
        let message = pb::Message::decode(body).map_err(|e| malformed(&e.to_string()))?;
        let message = message_in(message).map_err(malformed)?;
        if self.loopback_only {
            let named = message.updates.iter().map(|c| c.node.address);
            let paged = match &message.body {
                MessageBody::ViewPage {
                    updates: claims, ..
                } => claims.as_slice(),
                _ => &[],
            };
            let relayed = match &message.body {
                MessageBody::PingRequest { to, .. } => Some(to.address),
                _ => None,
            };
            let all = [source, message.from.address]
                .into_iter()
                .chain(named)
                .chain(relayed);
            let mut all = all.chain(paged.iter().map(|c| c.node.address));
            if let Some(foreign) = all.find(|a| !a.ip().is_loopback()) {
                return Err(DecodeError::Foreign(foreign));
            }
        }
        Ok(message)
    }
}

fn card_out(card: &NodeInfo) -> pb::Card {
    let mut address = match card.address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    address.extend_from_slice(&card.address.port().to_be_bytes());
    pb::Card {
        id: card.id.0,
        start: card.incarnation,
        zone: u32::from(card.zone),
        address,
    }
}

fn card_in(card: Option<pb::Card>) -> Result<NodeInfo, &'static str> {
    let card = card.ok_or("no card")?;
    let at = card.address.len().checked_sub(2).ok_or("a short address")?;
    let (ip, port) = card.address.split_at(at);
    let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
        (Ok(ip), _) => IpAddr::from(ip),
        (_, Ok(ip)) => IpAddr::from(ip),
        _ => return Err("no address of 4 or 16 bytes"),
    };
    let address = SocketAddr::new(ip, u16::from_be_bytes([port[0], port[1]]));
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err("an address that nobody has");
    }
    let zone = u8::try_from(card.zone).map_err(|_| "a zone over 255")?;
    Ok(NodeInfo {
        id: PeerId(card.id),
        incarnation: card.start,
        zone,
        address,
    })
}

fn claim_out(claim: &Update) -> pb::Claim {
    let (about, since) = match claim.state {
        ReportedState::Alive => (0, 0),
        ReportedState::Suspected { since } => (1, since / 1_000),
        ReportedState::Left => (2, 0),
    };
    let ago = claim.age.div_ceil(1_000);
    pb::Claim {
        card: Some(card_out(&claim.node)),
        beat: claim.heartbeat,
        ago,
        about,
        since,
    }
}

fn claim_in(claim: pb::Claim) -> Result<Update, &'static str> {
    let about = match claim.about {
        0 => ReportedState::Alive,
        1 => ReportedState::Suspected {
            since: claim.since.saturating_mul(1_000),
        },
        2 => ReportedState::Left,
        _ => return Err("a claim of an unknown kind"),
    };
    let ago = claim.ago.saturating_mul(1_000);
    Ok(Update {
        node: card_in(claim.card)?,
        heartbeat: claim.beat,
        age: ago,
        state: about,
    })
}

fn claims_in(claims: Vec<pb::Claim>) -> Result<Vec<Update>, &'static str> {
    if claims.len() > MAX_UPDATES {
        return Err("too many claims");
    }
    claims.into_iter().map(claim_in).collect()
}

fn message_out(message: &Message) -> pb::Message {
    use pb::message::Body as Out;
    let body = match &message.body {
        MessageBody::Ping { seq } => Out::Ping(*seq),
        MessageBody::Ack { seq, of } => Out::Ack(pb::Ack {
            seq: *seq,
            of: of.0,
        }),
        MessageBody::PingRequest { seq, to } => Out::Relay(pb::Relay {
            seq: *seq,
            to: Some(card_out(to)),
        }),
        MessageBody::Nack { seq } => Out::Nack(*seq),
        MessageBody::ViewRequest { after, whole } => Out::Ask(pb::Ask {
            after: after.map(|a| a.0),
            whole: *whole,
        }),
        MessageBody::ViewPage {
            updates: claims,
            next,
            last,
            confirmed: sure,
        } => {
            let claims = claims.iter().map(claim_out).collect();
            Out::Page(pb::Page {
                claims,
                next: next.map(|n| n.0),
                last: *last,
                sure: *sure,
            })
        }
        MessageBody::Leave => Out::Leave(true),
        MessageBody::Updates => Out::Gossip(true),
    };
    pb::Message {
        from: Some(card_out(&message.from)),
        beat: message.heartbeat,
        view: message.view_digest,
        claims: message.updates.iter().map(claim_out).collect(),
        body: Some(body),
    }
}

fn message_in(message: pb::Message) -> Result<Message, &'static str> {
    use pb::message::Body as In;
    let body = match message.body.ok_or("no body, or one of a later version")? {
        In::Ping(seq) => MessageBody::Ping { seq },
        In::Ack(ack) => MessageBody::Ack {
            seq: ack.seq,
            of: PeerId(ack.of),
        },
        In::Relay(relay) => MessageBody::PingRequest {
            seq: relay.seq,
            to: card_in(relay.to)?,
        },
        In::Nack(seq) => MessageBody::Nack { seq },
        In::Ask(ask) => MessageBody::ViewRequest {
            after: ask.after.map(PeerId),
            whole: ask.whole,
        },
        In::Page(page) => {
            let claims = claims_in(page.claims)?;
            MessageBody::ViewPage {
                updates: claims,
                next: page.next.map(PeerId),
                last: page.last,
                confirmed: page.sure,
            }
        }
        In::Leave(_) => MessageBody::Leave,
        In::Gossip(_) => MessageBody::Updates,
    };
    let (from, claims) = (card_in(message.from)?, claims_in(message.claims)?);
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
