//! The table of known nodes, and what counts as evidence of them.

use super::messages::{NodeInfo, PeerAction, PeerId, ReportedState, Update};
use super::{DroppedCounts, PeerSettings};
use crate::hash::mix;
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat may be ahead of the time since the first one by this many milliseconds, as that one was delayed. A message
/// this far behind its sender's last one is a replay.
const HEARTBEAT_TOLERANCE: u64 = 2_000;
/// Heartbeats this many milliseconds apart count as the same news.
const SAME_HEARTBEAT_TOLERANCE: u64 = 1_000;
/// Clocks drift by at most one part in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// How many other nodes must report that a node left or restarted, if it did not say so here itself.
pub(super) const REQUIRED_WITNESSES: usize = 2;

/// The state of a node as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It is heard, by this node or others.
    Alive,
    /// It does not answer; no node is known to have heard it since.
    Suspected,
    /// No node has heard it for long.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// Where evidence of a node comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvidenceSource {
    /// Its own message.
    Itself,
    /// Its ack of a ping of this node, whose number nobody else knows.
    Ack,
    /// An update from another node.
    Other(PeerId),
}

impl EvidenceSource {
    pub(super) fn is_direct(self) -> bool {
        !matches!(self, EvidenceSource::Other(_))
    }
}

/// A heartbeat and when it was heard: the limit for later ones. It does not move with them, so that no series of small
/// lies moves it.
#[derive(Clone, Copy, Debug)]
struct HeartbeatAnchor {
    at: Micros,
    heartbeat: u64,
    direct: bool,
}

impl HeartbeatAnchor {
    /// Whether the node can have reached this heartbeat by now.
    fn allows(&self, now: Micros, heartbeat: u64) -> bool {
        let elapsed = now.saturating_sub(self.at) / 1_000;
        heartbeat <= self.heartbeat + elapsed + elapsed / CLOCK_DRIFT_DIVISOR + HEARTBEAT_TOLERANCE
    }
}

/// A node as this one knows it.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    /// How it announced itself.
    pub node: NodeInfo,
    /// Its state.
    pub state: PeerState,
    /// Heard by other nodes, but not by this one.
    pub indirect_only: bool,
    /// It is certain that it sends no more.
    pub confirmed_stopped: bool,
    /// The latest known heartbeat, and when some node heard it.
    heartbeat: u64,
    pub(super) last_seen_at: Micros,
    /// When this node itself heard it, and its heartbeat then.
    pub(super) last_direct_at: Micros,
    direct_heartbeat: u64,
    anchor: HeartbeatAnchor,
    /// Its lease at the store ended; it sends nothing from then on.
    pub(super) sends_until: Option<Micros>,
    /// While suspected: when the first unanswered ping was sent.
    pub(super) unanswered_since: Micros,
    /// While suspected: when that became known here.
    pub(super) suspected_at: Micros,
    /// Pings that this node itself sent before it declares a death.
    pub(super) final_pings: u8,
}

impl Peer {
    fn new(now: Micros, update: &Update, direct: bool, fresh: Micros) -> Peer {
        let last_seen_at = now.saturating_sub(update.age);
        let (state, unanswered_since) = match update.state {
            ReportedState::Suspected { unanswered_for } => {
                let state = if unanswered_for >= fresh {
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

    /// Whether an update reports what is known here, or later news.
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

    /// The update that reports this node to others.
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

    /// Whether a heartbeat is plausible; moves the anchor to the first one from the node itself, and to each ack.
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

    /// Whether a heartbeat is later than the last one of the same kind of source.
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

    /// Whether evidence is later than the first unanswered ping.
    fn ends_suspicion(
        &self,
        now: Micros,
        update: &Update,
        source: EvidenceSource,
        fresh: Micros,
    ) -> bool {
        let seen_at = now.saturating_sub(update.age);
        let is_later = seen_at > self.unanswered_since && now.saturating_sub(seen_at) < fresh;
        source.is_direct() || is_later
    }

    fn is_absent(&self) -> bool {
        matches!(self.state, PeerState::Dead | PeerState::Left)
    }
}

/// A node's part of a view's digest.
pub(super) fn digest_of(node: &NodeInfo) -> u64 {
    mix(node.id.0 ^ mix(node.incarnation))
}

/// Something that only a node itself can announce, reported by others: that its incarnation ended, or began.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IncarnationReport {
    id: PeerId,
    incarnation: u64,
    ended: bool,
}

/// The table of known nodes.
pub(super) struct Members {
    /// Over the nodes that may be sending and which of them are dead; none while it must be computed anew.
    digest: Option<u64>,
    peers: BTreeMap<PeerId, Peer>,
    /// The nodes that sent each report.
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

    /// Nodes that are neither dead nor left.
    pub(super) fn present(&self) -> impl Iterator<Item = &Peer> {
        self.all().filter(|peer| !peer.is_absent())
    }

    pub(super) fn get(&self, id: PeerId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: PeerId) -> Option<&mut Peer> {
        self.peers.get_mut(&id)
    }

    /// Takes in evidence. Returns whether it counts. Evidence that brings a node back must be younger than the death
    /// timeout.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        update: &Update,
        source: EvidenceSource,
        settings: &PeerSettings,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let fresh = settings.death_timeout;
        let new = Peer::new(now, update, source.is_direct(), fresh);
        let Some(known) = self.peers.get(&update.node.id) else {
            return self.insert(update, new, settings.tombstone_ttl, out);
        };
        match update.node.incarnation.cmp(&known.node.incarnation) {
            Ordering::Less => {
                self.dropped.superseded += 1;
                false
            }
            Ordering::Greater => self.replace(now, new, source, fresh, out),
            Ordering::Equal => self.refresh(now, update, source, fresh, out),
        }
    }

    fn insert(
        &mut self,
        update: &Update,
        new: Peer,
        tombstone_ttl: Micros,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        // A tombstone is as old as the last news of its node, from whomever it comes, and expires then.
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

    /// Replaces a node by its next incarnation. The earlier one certainly ended if the new one says so itself. If one other
    /// node reports it, an incarnation that is still heard stays: a liar may name any.
    fn replace(
        &mut self,
        now: Micros,
        new: Peer,
        source: EvidenceSource,
        fresh: Micros,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let id = new.node.id;
        let Some(known) = self.peers.get(&id).copied() else {
            return false;
        };
        let still_seen = now.saturating_sub(known.last_seen_at) < fresh;
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

    /// Takes in evidence of a known incarnation.
    fn refresh(
        &mut self,
        now: Micros,
        update: &Update,
        source: EvidenceSource,
        fresh: Micros,
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
        if was != PeerState::Alive && peer.ends_suspicion(now, update, source, fresh) {
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

    /// Dead nodes whose lease ended are certainly gone.
    pub(super) fn apply_ended_leases(&mut self, now: Micros) {
        for peer in self.peers.values_mut() {
            let lease_ended = peer.sends_until.is_some_and(|at| at <= now);
            if peer.state == PeerState::Dead && lease_ended && !peer.confirmed_stopped {
                peer.confirmed_stopped = true;
                self.digest = None;
            }
        }
    }

    /// Changes a node's state if it is `from`. Returns whether it did.
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

    /// Marks a node as left. Returns whether that is news.
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

    /// Notes who reported that an incarnation ended or began. Returns the number of witnesses so far.
    pub(super) fn add_witness(
        &mut self,
        id: PeerId,
        incarnation: u64,
        ended: bool,
        reporter: PeerId,
    ) -> usize {
        // A liar may name any incarnation: the number of reports is bounded.
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

    /// Forgets nodes that have been dead or left for long, and returns them.
    pub(super) fn forget(&mut self, now: Micros, tombstone_ttl: Micros) -> Vec<PeerId> {
        if mutations::is_active(Mutation::TombstoneStays) {
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
