//! The table of known nodes, and the rules by which evidence of them is accepted.

use super::messages::{NodeInfo, PeerAction, PeerId, ReportedState, Update};
use super::{DroppedCounts, PeerSettings};
use crate::hash::mix;
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// How far, in milliseconds, a heartbeat may be ahead of the time elapsed since the anchor heartbeat, which may have been
/// delayed on its way. A message whose heartbeat is further behind its sender's latest one is a replay.
const HEARTBEAT_TOLERANCE: u64 = 2_000;
/// Updates whose heartbeats differ by at most this many milliseconds count as the same update.
const SAME_HEARTBEAT_TOLERANCE: u64 = 1_000;
/// Clocks are assumed to drift by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Number of other nodes that must report that a node left or restarted, unless the node announces that to this one itself.
pub(super) const REQUIRED_WITNESSES: usize = 2;

/// The state of another node in this node's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Messages of the node arrive at this node or at others.
    Alive,
    /// The node does not answer pings, and no other node is known to have received anything from it since.
    Suspected,
    /// No node has received anything from the node for the death timeout.
    Dead,
    /// The node announced that it leaves, or was replaced by a higher incarnation.
    Left,
}

/// The source of evidence of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceSource {
    /// A message from the node itself.
    Itself,
    /// The node's ack of a ping of this node. No other node knows the sequence number of that ping.
    Ack,
    /// An update from another node.
    Other(PeerId),
}

impl EvidenceSource {
    pub(super) fn is_direct(self) -> bool {
        !matches!(self, EvidenceSource::Other(_))
    }
}

/// A heartbeat with the time at which it was received, from which the limit for later heartbeats is computed. Later updates
/// from other nodes do not move the anchor, so that a series of slightly forged heartbeats cannot raise the limit.
#[derive(Clone, Copy, Debug)]
struct HeartbeatAnchor {
    at: Micros,
    heartbeat: u64,
    direct: bool,
}

impl HeartbeatAnchor {
    /// Returns whether the node can have reached this heartbeat by `now`.
    fn allows(&self, now: Micros, heartbeat: u64) -> bool {
        let elapsed = now.saturating_sub(self.at) / 1_000;
        heartbeat <= self.heartbeat + elapsed + elapsed / CLOCK_DRIFT_DIVISOR + HEARTBEAT_TOLERANCE
    }
}

/// Another node, as known to this one.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// The id, incarnation, zone and address that the node announces.
    pub node: NodeInfo,
    /// The node's state in this view.
    pub state: PeerState,
    /// Whether other nodes receive messages of the node while this one does not.
    pub indirect_only: bool,
    /// Whether it is certain that the node sends no more messages: it left, or it is dead and its lease has ended.
    pub confirmed_stopped: bool,
    /// The latest known heartbeat.
    heartbeat: u64,
    /// When some node received the latest known heartbeat.
    pub(super) last_seen_at: Micros,
    /// When this node itself last received a message from the node; 0 for never.
    pub(super) last_direct_at: Micros,
    /// The heartbeat of that message.
    direct_heartbeat: u64,
    anchor: HeartbeatAnchor,
    /// Set when the node's lease at the store has ended: the time from which the node sends nothing.
    pub(super) sends_until: Option<Micros>,
    /// While suspected: when the first unanswered ping was sent.
    pub(super) unanswered_since: Micros,
    /// While suspected: when this node learned of the suspicion.
    pub(super) suspected_at: Micros,
    /// Number of pings that this node sent to the suspect before declaring it dead.
    pub(super) final_pings: u8,
}

impl Peer {
    fn new(now: Micros, update: &Update, direct: bool, death_timeout: Micros) -> Peer {
        let last_seen_at = now.saturating_sub(update.age);
        let (state, unanswered_since) = match update.state {
            ReportedState::Suspected { unanswered_for } => {
                let state = if unanswered_for >= death_timeout {
                    PeerState::Dead
                } else {
                    PeerState::Suspected
                };
                (state, now.saturating_sub(unanswered_for))
            }
            ReportedState::Alive | ReportedState::Left => (PeerState::Alive, 0),
        };
        Peer {
            node: update.node,
            state,
            indirect_only: false,
            confirmed_stopped: false,
            heartbeat: update.heartbeat,
            last_seen_at,
            last_direct_at: if direct { now } else { 0 },
            direct_heartbeat: if direct { update.heartbeat } else { 0 },
            anchor: HeartbeatAnchor {
                at: last_seen_at,
                heartbeat: update.heartbeat,
                direct,
            },
            sends_until: None,
            unanswered_since,
            suspected_at: now,
            final_pings: 0,
        }
    }

    /// Returns whether an update reports the known state, with the known heartbeat or a later one.
    pub(super) fn agrees_with(&self, update: &Update) -> bool {
        let same_state = match update.state {
            ReportedState::Alive => self.state == PeerState::Alive,
            ReportedState::Suspected { .. } => {
                matches!(self.state, PeerState::Suspected | PeerState::Dead)
            }
            ReportedState::Left => self.state == PeerState::Left,
        };
        same_state
            && update.node.incarnation == self.node.incarnation
            && update.heartbeat + SAME_HEARTBEAT_TOLERANCE >= self.heartbeat
    }

    /// Returns the update that reports this peer to others.
    pub(super) fn update(&self, now: Micros) -> Update {
        let state = match self.state {
            PeerState::Alive => ReportedState::Alive,
            PeerState::Suspected | PeerState::Dead => ReportedState::Suspected {
                unanswered_for: now.saturating_sub(self.unanswered_since),
            },
            PeerState::Left => ReportedState::Left,
        };
        Update {
            node: self.node,
            heartbeat: self.heartbeat,
            age: now.saturating_sub(self.last_seen_at),
            state,
        }
    }

    /// Returns whether a heartbeat is plausible. Moves the anchor to the first heartbeat received from the node itself, and
    /// to that of each ack.
    fn accepts(
        &mut self,
        now: Micros,
        heartbeat: u64,
        source: EvidenceSource,
        dropped: &mut DroppedCounts,
    ) -> bool {
        let direct = source.is_direct();
        if source == EvidenceSource::Ack || direct && !self.anchor.direct {
            self.anchor = HeartbeatAnchor {
                at: now,
                heartbeat,
                direct: true,
            };
        } else if direct && heartbeat + HEARTBEAT_TOLERANCE < self.direct_heartbeat {
            // Guards against replays of messages that a node sent before it died.
            dropped.replayed += 1;
            return false;
        } else if !self.anchor.allows(now, heartbeat) {
            dropped.implausible += 1;
            return false;
        }
        true
    }

    /// Returns whether a heartbeat is later than the latest known one: than the latest received directly for direct
    /// evidence.
    fn is_new(&self, heartbeat: u64, source: EvidenceSource) -> bool {
        let last = if source.is_direct() {
            self.direct_heartbeat
        } else {
            self.heartbeat
        };
        heartbeat > last
    }

    fn record_heartbeat(&mut self, now: Micros, update: &Update, source: EvidenceSource) {
        if source.is_direct() {
            self.last_direct_at = now;
            self.direct_heartbeat = update.heartbeat;
            self.indirect_only = false;
            self.node = update.node;
        }
        self.heartbeat = self.heartbeat.max(update.heartbeat);
        self.last_seen_at = self.last_seen_at.max(now.saturating_sub(update.age));
    }

    /// Returns whether evidence ends a suspicion: it is direct, or later than the first unanswered ping and not older than
    /// the death timeout.
    fn ends_suspicion(
        &self,
        now: Micros,
        update: &Update,
        source: EvidenceSource,
        death_timeout: Micros,
    ) -> bool {
        let seen_at = now.saturating_sub(update.age);
        let is_later =
            seen_at > self.unanswered_since && now.saturating_sub(seen_at) < death_timeout;
        source.is_direct() || is_later
    }

    fn is_absent(&self) -> bool {
        matches!(self.state, PeerState::Dead | PeerState::Left)
    }
}

/// Returns a node's contribution to the digest of a view.
pub(super) fn digest_of(node: &NodeInfo) -> u64 {
    mix(node.id.0 ^ mix(node.incarnation))
}

/// A report by another node that an incarnation ended or began. Only the reported node itself can announce that reliably.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IncarnationReport {
    id: PeerId,
    incarnation: u64,
    ended: bool,
}

/// The table of known nodes.
pub(super) struct Members {
    /// Cached digest of the nodes that may still be sending and of which of them are dead; `None` after a change.
    digest: Option<u64>,
    peers: BTreeMap<PeerId, Peer>,
    /// The nodes that sent each report, for reports that are not confirmed yet.
    witnesses: BTreeMap<IncarnationReport, BTreeSet<PeerId>>,
    max_peers: usize,
    pub(super) dropped: DroppedCounts,
}

impl Members {
    pub(super) fn new(max_peers: usize) -> Members {
        Members {
            digest: None,
            peers: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            max_peers,
            dropped: DroppedCounts::default(),
        }
    }

    pub(super) fn digest(&mut self) -> u64 {
        let peers = &self.peers;
        *self.digest.get_or_insert_with(|| {
            peers
                .values()
                .filter(|peer| !peer.confirmed_stopped)
                .fold(0, |digest, peer| {
                    let dead = if peer.state == PeerState::Dead {
                        mix(peer.node.id.0)
                    } else {
                        0
                    };
                    digest ^ digest_of(&peer.node) ^ dead
                })
        })
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(super) fn suspected(&mut self) -> impl Iterator<Item = &mut Peer> {
        self.peers
            .values_mut()
            .filter(|peer| peer.state == PeerState::Suspected)
    }

    /// Returns the nodes that are alive or suspected.
    pub(super) fn present(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|peer| !peer.is_absent())
    }

    pub(super) fn get(&self, id: PeerId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: PeerId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    /// Records evidence of a node. Returns whether the evidence was accepted. To end a suspicion or a death, evidence from
    /// other nodes must be younger than the death timeout.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        update: &Update,
        source: EvidenceSource,
        settings: &PeerSettings,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let death_timeout = settings.death_timeout;
        let new = Peer::new(now, update, source.is_direct(), death_timeout);
        let Some(known) = self.peers.get(&update.node.id) else {
            return self.insert(update, new, settings.tombstone_ttl, out);
        };
        match update.node.incarnation.cmp(&known.node.incarnation) {
            Ordering::Less => {
                self.dropped.superseded += 1;
                false
            }
            Ordering::Greater => self.replace(now, new, source, death_timeout, out),
            Ordering::Equal => self.refresh(now, update, source, death_timeout, out),
        }
    }

    fn insert(
        &mut self,
        update: &Update,
        new: Peer,
        tombstone_ttl: Micros,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        // The age of a tombstone is the age of the latest evidence of its node, whichever node reports it. An expired
        // tombstone must not be added again.
        let expired = new.state != PeerState::Alive && update.age >= tombstone_ttl;
        if update.state == ReportedState::Left || expired {
            return false;
        }
        if self.peers.len() >= self.max_peers {
            self.dropped.over_limit += 1;
            return false;
        }
        self.peers.insert(new.node.id, new);
        self.digest = None;
        out.push(PeerAction::Changed {
            node: new.node,
            previous: None,
            current: new.state,
        });
        true
    }

    /// Replaces a node by a higher incarnation. A message from the new incarnation itself is proof that the earlier one has
    /// ended. If other nodes report the new incarnation while the earlier one still sends, `REQUIRED_WITNESSES` nodes must
    /// report it, because a faulty node may report any incarnation.
    fn replace(
        &mut self,
        now: Micros,
        new: Peer,
        source: EvidenceSource,
        death_timeout: Micros,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let id = new.node.id;
        let Some(known) = self.peers.get(&id).copied() else {
            return false;
        };
        let still_seen = now.saturating_sub(known.last_seen_at) < death_timeout;
        if let EvidenceSource::Other(reporter) = source {
            if still_seen
                && self.add_witness(id, new.node.incarnation, false, reporter) < REQUIRED_WITNESSES
            {
                return false;
            }
        }
        self.peers.insert(id, new);
        self.digest = None;
        self.witnesses.retain(|report, _| report.id != id);
        out.push(PeerAction::Changed {
            node: known.node,
            previous: Some(known.state),
            current: PeerState::Left,
        });
        out.push(PeerAction::Changed {
            node: new.node,
            previous: None,
            current: new.state,
        });
        true
    }

    /// Records evidence of the known incarnation of a node.
    fn refresh(
        &mut self,
        now: Micros,
        update: &Update,
        source: EvidenceSource,
        death_timeout: Micros,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&update.node.id) else {
            return false;
        };
        if peer.state == PeerState::Left {
            return false;
        }
        if !peer.accepts(now, update.heartbeat, source, &mut self.dropped) {
            return false;
        }
        if source != EvidenceSource::Ack && !peer.is_new(update.heartbeat, source) {
            return true;
        }
        let was = peer.state;
        peer.record_heartbeat(now, update, source);
        if was != PeerState::Alive && peer.ends_suspicion(now, update, source, death_timeout) {
            peer.state = PeerState::Alive;
            peer.confirmed_stopped = false;
            self.digest = None;
            out.push(PeerAction::Changed {
                node: peer.node,
                previous: Some(was),
                current: PeerState::Alive,
            });
        }
        true
    }

    /// Marks dead nodes whose lease has ended as stopped.
    pub(super) fn apply_ended_leases(&mut self, now: Micros) {
        for peer in self.peers.values_mut() {
            let lease_ended = peer.sends_until.is_some_and(|at| at <= now);
            if peer.state == PeerState::Dead && lease_ended && !peer.confirmed_stopped {
                peer.confirmed_stopped = true;
                self.digest = None;
            }
        }
    }

    /// Changes a node's state from `from` to `to`. Returns false if the node is not known or in another state.
    pub(super) fn transition(
        &mut self,
        id: PeerId,
        from: PeerState,
        to: PeerState,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&id).filter(|peer| peer.state == from) else {
            return false;
        };
        peer.state = to;
        self.digest = None;
        out.push(PeerAction::Changed {
            node: peer.node,
            previous: Some(from),
            current: to,
        });
        true
    }

    /// Marks a node as left. Returns false if this incarnation is not known or was marked before.
    pub(super) fn leave(&mut self, node: NodeInfo, out: &mut Vec<PeerAction>) -> bool {
        let Some(peer) = self.peers.get_mut(&node.id).filter(|peer| {
            peer.node.incarnation == node.incarnation && peer.state != PeerState::Left
        }) else {
            return false;
        };
        out.push(PeerAction::Changed {
            node,
            previous: Some(peer.state),
            current: PeerState::Left,
        });
        peer.state = PeerState::Left;
        peer.confirmed_stopped = true;
        self.digest = None;
        true
    }

    /// Records which node reported that an incarnation ended or began. Returns the number of nodes that have reported it.
    pub(super) fn add_witness(
        &mut self,
        id: PeerId,
        incarnation: u64,
        ended: bool,
        reporter: PeerId,
    ) -> usize {
        // A faulty node may report any number of incarnations, so the number of reports is limited.
        if self.witnesses.len() >= self.max_peers {
            self.witnesses.clear();
        }
        let report = IncarnationReport {
            id,
            incarnation,
            ended,
        };
        let witnesses = self.witnesses.entry(report).or_default();
        witnesses.insert(reporter);
        witnesses.len()
    }

    /// Removes the nodes that are dead or left and of which there was no evidence for `tombstone_ttl`. Returns their ids.
    pub(super) fn forget(&mut self, now: Micros, tombstone_ttl: Micros) -> Vec<PeerId> {
        if mutations::is_active(Mutation::TombstoneNeverExpires) {
            return Vec::new();
        }
        let expired: Vec<PeerId> = self
            .all()
            .filter(|peer| {
                peer.is_absent() && now.saturating_sub(peer.last_seen_at) >= tombstone_ttl
            })
            .map(|peer| peer.node.id)
            .collect();
        for id in &expired {
            self.peers.remove(id);
            self.digest = None;
            self.witnesses.retain(|report, _| report.id != *id);
        }
        expired
    }
}
