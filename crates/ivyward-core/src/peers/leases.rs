//! Leases of nodes at the store, and the count of nodes that may still be sending.

use super::messages::{NodeInfo, PeerAction, PeerId};
use super::{Peer, PeerState, Peers};
use crate::interface::Micros;
use crate::mutations::{self, Mutation};

impl Peers {
    /// Sets the configured maximum number of nodes. Until the view is complete, [`Peers::replica_count`] is at least this.
    pub fn set_expected_replicas(&mut self, nodes: u32) {
        self.expected_replicas = nodes;
    }

    /// Returns the number of nodes that may still be sending, this one included. The number decreases only for nodes that
    /// certainly send no more.
    pub fn replica_count(&self) -> u32 {
        let is_miscounted = |peer: &Peer| {
            mutations::is_active(Mutation::SuspicionLowersReplicaCount)
                && peer.state != PeerState::Alive
        };
        let known = self
            .members
            .all()
            .filter(|peer| !peer.confirmed_stopped && !is_miscounted(peer))
            .count();
        // Nodes with a lease at the store from which no message or update has arrived here.
        let known_to_store_only = self
            .leases
            .keys()
            .filter(|id| self.members.get(**id).is_none())
            .count();
        let count = 1 + (known + known_to_store_only) as u32;
        if self.complete_view {
            count
        } else {
            count.max(self.expected_replicas)
        }
    }

    /// Handles a record of a node at the store. The record gives the node's address for a first ping, but is no
    /// evidence that the node is alive.
    pub fn store_record_added(&mut self, now: Micros, node: NodeInfo, out: &mut Vec<PeerAction>) {
        if node.id == self.local.id {
            return;
        }
        if self.leases.len() < self.settings.max_peers || self.leases.contains_key(&node.id) {
            self.leases.insert(node.id, node.incarnation);
        }
        match self.members.get_mut(node.id) {
            Some(peer) if peer.node.incarnation == node.incarnation => peer.sends_until = None,
            Some(peer) if peer.node.incarnation > node.incarnation => {}
            _ => self.send_contact_ping(now, node.address, out),
        }
    }

    /// Handles the deletion of a node's record at the store, which means that the node's lease ended. If the node is
    /// dead when [`super::PeerSettings::lease_grace`] is over, it certainly sends no more.
    pub fn store_record_removed(&mut self, now: Micros, id: PeerId) {
        let Some(incarnation) = self.leases.remove(&id) else {
            return;
        };
        if let Some(peer) = self
            .members
            .get_mut(id)
            .filter(|peer| peer.node.incarnation == incarnation)
        {
            peer.sends_until = Some(now + self.settings.lease_grace);
        }
    }
}
