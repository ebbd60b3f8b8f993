//! Dissemination: updates piggybacked on messages, and how received updates change the view.

use super::members::{EvidenceSource, REQUIRED_WITNESSES};
use super::messages::{
    Message, MessageBody, NodeInfo, PeerAction, PeerId, ReportedState, Update, MAX_UPDATES,
};
use super::probing::MAX_HEALTH_PENALTY;
use super::{PeerState, Peers};
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node that suspects others wrongly is told so about at most this many at once.
const MAX_REFUTATIONS: usize = 4;
/// A node that started less than this many microseconds ago and learns of a higher incarnation of its id has a clock that
/// went back: it takes an incarnation after that. Later on, another process has taken its id.
const YOUNG: Micros = 10_000_000;
/// An incarnation is taken over from others only if it is at most this far ahead of one's own: ten years in microseconds.
const MAX_INCARNATION_STEP: u64 = 10 * 366 * 86_400 * 1_000_000;
/// A new update gets messages of its own this many times: enough to reach nearly all, if each receiver does the same.
/// Nodes that it does not reach probe for themselves before they declare a node dead.
const URGENT_TRANSMISSIONS: u32 = 3;
/// An update received from another node counts as this many transmissions: after a few it has reached all but one in
/// hundreds, who probe for themselves. A suspicion must reach all in time and counts less.
const ECHO_TRANSMISSIONS: u32 = 6;
const SUSPICION_ECHO_TRANSMISSIONS: u32 = 2;

/// How often an update is transmitted without echo: reaches nearly all over a network with much loss.
fn max_transmissions(nodes: usize) -> u32 {
    3 * (usize::BITS - nodes.leading_zeros() + 1)
}

/// The place of an update in the queue: the least transmitted first, of these the latest, as old ones have spread already.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    transmissions: u32,
    reverse_order: u64,
}

/// Nodes with an update to disseminate. Each update is built from the node's state when it is sent.
#[derive(Default)]
pub(super) struct PendingUpdates {
    queue: BTreeMap<QueueKey, PeerId>,
    keys: BTreeMap<PeerId, QueueKey>,
    added: u64,
}

impl PendingUpdates {
    /// Adds an urgent update, in place of an earlier one about the node.
    pub(super) fn add(&mut self, id: PeerId) {
        self.remove(id);
        self.insert(0, id);
    }

    /// Adds an update that is not urgent: view synchronization finds it where it is missed.
    pub(super) fn add_quietly(&mut self, id: PeerId) {
        self.remove(id);
        self.insert(URGENT_TRANSMISSIONS, id);
    }

    /// Another node sent the same update: it has spread already and needs fewer transmissions by this node.
    pub(super) fn record_echo(&mut self, id: PeerId, is_suspicion: bool, nodes: usize) {
        let echo = if is_suspicion {
            SUSPICION_ECHO_TRANSMISSIONS
        } else {
            ECHO_TRANSMISSIONS
        };
        if let Some(key) = self.keys.get(&id).copied() {
            self.remove(id);
            if key.transmissions + echo < max_transmissions(nodes) {
                self.insert(key.transmissions + echo, id);
            }
        }
    }

    pub(super) fn remove(&mut self, id: PeerId) {
        if let Some(key) = self.keys.remove(&id) {
            self.queue.remove(&key);
        }
    }

    /// Whether an update is so new that it is worth a message of its own.
    pub(super) fn has_urgent(&self) -> bool {
        self.queue
            .first_key_value()
            .is_some_and(|(key, _)| key.transmissions < URGENT_TRANSMISSIONS)
    }

    fn insert(&mut self, transmissions: u32, id: PeerId) {
        self.added += 1;
        let key = QueueKey {
            transmissions,
            reverse_order: u64::MAX - self.added,
        };
        self.queue.insert(key, id);
        self.keys.insert(id, key);
    }

    /// Takes up to `capacity` updates, least transmitted first, and counts the transmission.
    fn take(
        &mut self,
        capacity: usize,
        nodes: usize,
        update_of: impl Fn(PeerId) -> Option<Update>,
    ) -> Vec<Update> {
        let limit = max_transmissions(nodes);
        let keys: Vec<QueueKey> = self.queue.keys().take(capacity).copied().collect();
        let mut updates = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(id) = self.queue.remove(&key) else {
                continue;
            };
            self.keys.remove(&id);
            if let Some(update) = update_of(id) {
                updates.push(update);
                if key.transmissions + 1 < limit {
                    self.insert(key.transmissions + 1, id);
                }
            }
        }
        updates
    }
}

impl Peers {
    /// Another node knows this incarnation of this node's id.
    pub(super) fn on_own_incarnation(&mut self, now: Micros, incarnation: u64) {
        if incarnation <= self.local.incarnation {
            return;
        }
        if now.saturating_sub(self.started_at) >= YOUNG {
            self.superseded = true;
        } else if incarnation - self.local.incarnation < MAX_INCARNATION_STEP {
            self.local.incarnation = incarnation + 1;
        }
    }

    /// Takes in updates, and refutes wrong suspicions among them. The sender is told at once, not by the random order of
    /// dissemination: it may hear few nodes, and has little time.
    pub(super) fn on_updates(
        &mut self,
        now: Micros,
        from: NodeInfo,
        updates: Vec<Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let refuted: Vec<PeerId> = updates
            .into_iter()
            .filter_map(|update| self.on_update(now, from, update, out))
            .collect();
        if refuted.is_empty() {
            return;
        }
        let refutations: Vec<Update> = refuted
            .into_iter()
            .take(MAX_REFUTATIONS)
            .filter_map(|id| self.members.get(id))
            .map(|peer| peer.update(now))
            .collect();
        self.send_exactly(now, from.address, MessageBody::Updates, refutations, out);
    }

    /// Takes in one update. Returns the node if the update is a suspicion that this node can refute.
    fn on_update(
        &mut self,
        now: Micros,
        from: NodeInfo,
        update: Update,
        out: &mut Vec<PeerAction>,
    ) -> Option<PeerId> {
        let id = update.node.id;
        if id == self.local.id {
            return self.on_update_of_self(now, update);
        }
        if self
            .members
            .get(id)
            .is_some_and(|peer| peer.agrees_with(&update))
        {
            let is_suspicion = matches!(update.state, ReportedState::Suspected { .. });
            let nodes = self.members.len();
            self.pending_updates.record_echo(id, is_suspicion, nodes);
        }
        match update.state {
            ReportedState::Alive => self.on_alive(now, from, update, out),
            ReportedState::Suspected { unanswered_for } => {
                let unanswered_since = now.saturating_sub(unanswered_for);
                return self.on_suspected(now, from, update, unanswered_since, out);
            }
            ReportedState::Left => self.on_reported_left(from, update, out),
        }
        None
    }

    fn on_update_of_self(&mut self, now: Micros, update: Update) -> Option<PeerId> {
        let id = self.local.id;
        self.on_own_incarnation(now, update.node.incarnation);
        let is_alive = update.state == ReportedState::Alive;
        if update.node.incarnation != self.local.incarnation || is_alive {
            return None;
        }
        // Some node cannot hear this one: it refutes, and suspects its own health first.
        self.pending_updates.add(id);
        self.raise_health_penalty();
        Some(id)
    }

    fn on_alive(&mut self, now: Micros, from: NodeInfo, update: Update, out: &mut Vec<PeerAction>) {
        let id = update.node.id;
        let before = self.members.get(id).map(|peer| peer.state);
        let accepted = self.apply_evidence(now, update, EvidenceSource::Other(from.id), out);
        let after = self.members.get(id).map(|peer| peer.state);
        // A node's own refutation is passed on although it is not suspected here.
        if accepted && id == from.id && before == after {
            self.pending_updates.add(id);
        }
    }

    fn on_suspected(
        &mut self,
        now: Micros,
        from: NodeInfo,
        update: Update,
        unanswered_since: Micros,
        out: &mut Vec<PeerAction>,
    ) -> Option<PeerId> {
        let id = update.node.id;
        let knows_better = self.members.get(id).is_some_and(|peer| {
            peer.node.incarnation > update.node.incarnation || peer.last_seen_at > unanswered_since
        });
        if knows_better {
            // A refutation that is not sent leaves the others with their suspicion.
            return (!mutations::is_active(Mutation::RefutationKept)).then_some(id);
        }
        if self.apply_evidence(now, update, EvidenceSource::Other(from.id), out) {
            self.suspect(now, id, unanswered_since, out);
        }
        None
    }

    fn on_reported_left(&mut self, from: NodeInfo, update: Update, out: &mut Vec<PeerAction>) {
        let id = update.node.id;
        let incarnation = update.node.incarnation;
        let is_new = self.members.get(id).is_some_and(|peer| {
            peer.node.incarnation == incarnation && peer.state != PeerState::Left
        });
        if is_new && self.members.add_witness(id, incarnation, true, from.id) >= REQUIRED_WITNESSES
        {
            self.on_left(update.node, out);
        }
    }

    /// A node left.
    pub(super) fn on_left(&mut self, node: NodeInfo, out: &mut Vec<PeerAction>) {
        if self.members.leave(node, out) {
            self.pending_updates.add(node.id);
        }
    }

    /// Marks a node as suspected that has not answered since a ping at `unanswered_since`.
    pub(super) fn suspect(
        &mut self,
        now: Micros,
        id: PeerId,
        unanswered_since: Micros,
        out: &mut Vec<PeerAction>,
    ) {
        if let Some(peer) = self.members.get_mut(id) {
            // A silence is as old as the first ping in it; before that, nobody asked.
            if peer.state == PeerState::Alive {
                peer.unanswered_since = unanswered_since;
                peer.suspected_at = now;
                peer.final_pings = 0;
            }
            peer.unanswered_since = peer.unanswered_since.min(unanswered_since);
        }
        if self
            .members
            .transition(id, PeerState::Alive, PeerState::Suspected, out)
        {
            self.pending_updates.add(id);
        }
    }

    /// Takes in evidence of a node. Returns whether it counts (it need not be news).
    pub(super) fn apply_evidence(
        &mut self,
        now: Micros,
        update: Update,
        source: EvidenceSource,
        out: &mut Vec<PeerAction>,
    ) -> bool {
        let id = update.node.id;
        let before = self.members.get(id).copied();
        if !self
            .members
            .apply(now, &update, source, &self.settings, out)
        {
            return false;
        }
        let Some(peer) = self.members.get(id).copied() else {
            return false;
        };
        let Some(before) = before else {
            if source.is_direct()
                && (!self.complete_view || self.seeds.contains(&peer.node.address))
            {
                self.start_view_sync(now, peer.node.address, out);
            }
            // A node that was dead before it was known here is no news to others.
            if peer.state == PeerState::Alive {
                self.pending_updates.add_quietly(id);
            }
            let at = self.random_below(self.probe_order.len() + 1);
            self.probe_order.insert(at, id);
            return true;
        };
        let is_back = before.state != PeerState::Alive && peer.state == PeerState::Alive;
        if is_back || before.node.incarnation != peer.node.incarnation {
            self.pending_updates.add(id);
        }
        if is_back && before.state == PeerState::Dead && source.is_direct() {
            // The network was partitioned: both sides compare their complete views.
            self.start_view_sync(now, peer.node.address, out);
        }
        true
    }

    /// Sends a message with piggybacked updates.
    pub(super) fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: MessageBody,
        out: &mut Vec<PeerAction>,
    ) {
        self.send_with(now, to, body, None, out);
    }

    /// Sends a message with one given update and with piggybacked ones.
    pub(super) fn send_with(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: MessageBody,
        extra: Option<Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let in_page = if let MessageBody::ViewPage { updates, .. } = &body {
            updates.len()
        } else {
            0
        };
        let capacity = (MAX_UPDATES - in_page).saturating_sub(usize::from(extra.is_some()));
        let own = Update {
            node: self.local,
            heartbeat: self.heartbeat(now),
            age: 0,
            state: ReportedState::Alive,
        };
        let members = &self.members;
        let update_of = |id: PeerId| {
            if id == own.node.id {
                Some(own)
            } else {
                members.get(id).map(|peer| peer.update(now))
            }
        };
        let mut updates = self
            .pending_updates
            .take(capacity, members.len(), update_of);
        updates.extend(extra);
        self.send_exactly(now, to, body, updates, out);
    }

    /// Sends a message without piggybacked updates.
    fn send_exactly(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: MessageBody,
        updates: Vec<Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let message = Message {
            from: self.local,
            heartbeat: self.heartbeat(now),
            view_digest: self.view_digest(),
            body,
            updates,
        };
        out.push(PeerAction::Send { to, message });
    }

    pub(super) fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }
}
