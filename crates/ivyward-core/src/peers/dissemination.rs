//! Dissemination: piggybacks updates on messages, and applies received updates to the view.

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

/// Maximum number of refutations sent at once to a node that suspects others wrongly.
const MAX_REFUTATIONS: usize = 4;
/// A node that learns of a higher incarnation of its id within this many microseconds of its start assumes that its clock
/// went backwards, and takes an incarnation above that one. After this time it assumes that another process has its id.
const STARTUP_PERIOD: Micros = 10_000_000;
/// A node raises its incarnation only if the reported one is at most this far ahead of its own: ten years in microseconds.
const MAX_INCARNATION_STEP: u64 = 10 * 366 * 86_400 * 1_000_000;
/// A new update is sent in messages of its own until it has been transmitted this many times. If each receiver does the
/// same, the update reaches nearly all nodes. The others send pings of their own before they declare a node dead.
const URGENT_TRANSMISSIONS: u32 = 3;
/// Receiving a pending update from another node counts as this many transmissions of it. After a few such echoes the update
/// has reached all but one node in hundreds, and that one sends pings of its own. A suspicion must reach all nodes in time,
/// so its echo counts less.
const ECHO_TRANSMISSIONS: u32 = 6;
const SUSPICION_ECHO_TRANSMISSIONS: u32 = 2;

/// Returns the maximum number of transmissions of an update. Without any echo, this many transmissions reach nearly all
/// nodes even over a network with heavy loss.
fn max_transmissions(nodes: usize) -> u32 {
    3 * (usize::BITS - nodes.leading_zeros() + 1)
}

/// The position of an update in the queue. The least transmitted update comes first. Of these the latest comes first,
/// because older ones have already spread.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    transmissions: u32,
    reverse_order: u64,
}

/// The nodes about which an update is pending. Each update is built from the node's state at the time of sending.
#[derive(Default)]
pub(super) struct PendingUpdates {
    queue: BTreeMap<QueueKey, PeerId>,
    keys: BTreeMap<PeerId, QueueKey>,
    added: u64,
}

impl PendingUpdates {
    /// Adds an urgent update, which replaces an earlier one about the same node.
    pub(super) fn add_urgent(&mut self, id: PeerId) {
        self.remove(id);
        self.insert(0, id);
    }

    /// Adds an update that is only piggybacked on other messages. View synchronization finds the nodes that missed it.
    pub(super) fn add_non_urgent(&mut self, id: PeerId) {
        self.remove(id);
        self.insert(URGENT_TRANSMISSIONS, id);
    }

    /// Records that another node sent the same update. The update has already spread and needs fewer transmissions by this
    /// node.
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

    /// Returns whether an update is pending that must be sent in messages of its own.
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

    /// Returns up to `capacity` updates, least transmitted first, and counts one transmission of each.
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
    /// Handles the report of an incarnation of this node's own id.
    pub(super) fn on_own_incarnation(&mut self, now: Micros, incarnation: u64) {
        if incarnation <= self.local.incarnation {
            return;
        }
        if now.saturating_sub(self.started_at) >= STARTUP_PERIOD {
            self.superseded = true;
        } else if incarnation - self.local.incarnation < MAX_INCARNATION_STEP {
            self.local.incarnation = incarnation + 1;
        }
    }

    /// Applies received updates, and refutes the wrong suspicions among them. The refutations are sent to the sender of the
    /// updates at once, ahead of the dissemination in random order, because the sender may receive messages from few nodes
    /// and may soon declare the suspect dead.
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

    /// Applies one update. Returns the suspected node if the update is a suspicion that this node can refute.
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
        // Some node does not receive this node's messages. This node refutes the suspicion, and takes it as a sign of
        // its own bad health first.
        self.pending_updates.add_urgent(id);
        self.raise_health_penalty();
        Some(id)
    }

    fn on_alive(&mut self, now: Micros, from: NodeInfo, update: Update, out: &mut Vec<PeerAction>) {
        let id = update.node.id;
        let before = self.members.get(id).map(|peer| peer.state);
        let accepted = self.apply_evidence(now, update, EvidenceSource::Other(from.id), out);
        let after = self.members.get(id).map(|peer| peer.state);
        // A node's own refutation is disseminated even if this node does not suspect it.
        if accepted && id == from.id && before == after {
            self.pending_updates.add_urgent(id);
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
        let can_refute = self.members.get(id).is_some_and(|peer| {
            peer.node.incarnation > update.node.incarnation || peer.last_seen_at > unanswered_since
        });
        if can_refute {
            // The mutation drops the refutation, so that other nodes keep their suspicion.
            return (!mutations::is_active(Mutation::NoRefutation)).then_some(id);
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

    /// Marks a node as left and disseminates that.
    pub(super) fn on_left(&mut self, node: NodeInfo, out: &mut Vec<PeerAction>) {
        if self.members.leave(node, out) {
            self.pending_updates.add_urgent(node.id);
        }
    }

    /// Marks an alive node as suspected. The node has not answered since a ping sent at `unanswered_since`.
    pub(super) fn suspect(
        &mut self,
        now: Micros,
        id: PeerId,
        unanswered_since: Micros,
        out: &mut Vec<PeerAction>,
    ) {
        if let Some(peer) = self.members.get_mut(id) {
            // A silence starts with the first unanswered ping: without a ping before it, there was no answer to expect.
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
            self.pending_updates.add_urgent(id);
        }
    }

    /// Records evidence of a node and disseminates what changed. Returns whether the evidence was accepted, which is also
    /// the case if it changed nothing.
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
            // The death of a node that was dead before this node learned of it is not disseminated.
            if peer.state == PeerState::Alive {
                self.pending_updates.add_non_urgent(id);
            }
            let at = self.random_below(self.probe_order.len() + 1);
            self.probe_order.insert(at, id);
            return true;
        };
        let recovered = before.state != PeerState::Alive && peer.state == PeerState::Alive;
        if recovered || before.node.incarnation != peer.node.incarnation {
            self.pending_updates.add_urgent(id);
        }
        if recovered && before.state == PeerState::Dead && source.is_direct() {
            // A network partition has ended: the nodes of both sides exchange their complete views.
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

    /// Sends a message with piggybacked updates and, if given, the update `extra`.
    pub(super) fn send_with(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: MessageBody,
        extra: Option<Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let page_updates = if let MessageBody::ViewPage { updates, .. } = &body {
            updates.len()
        } else {
            0
        };
        let capacity = (MAX_UPDATES - page_updates).saturating_sub(usize::from(extra.is_some()));
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

    /// Sends a message with exactly these updates.
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
