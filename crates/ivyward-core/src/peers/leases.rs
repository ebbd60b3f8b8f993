//! Leases of nodes at the store, and the count of nodes that may be sending.

use super::messages::{NodeInfo, PeerAction, PeerId};
use super::{Peer, PeerState, Peers};
use crate::interface::Micros;
use crate::mutations::{self, Mutation};

impl Peers {
    /// Sets how many nodes there are at most by configuration. It holds until the view is complete.
    pub fn set_expected_replicas(&mut self, nodes: u32) {
        self.expected_replicas = nodes;
    }

    /// The number of nodes that may still be sending, this one included. Falls only when one is certainly gone.
    pub fn replica_count(&self) -> u32 {
        let is_miscounted = |peer: &Peer| {
            mutations::is_active(Mutation::CountOnDoubt) && peer.state != PeerState::Alive
        };
        let known = self
            .members
            .all()
            .filter(|peer| !peer.confirmed_stopped && !is_miscounted(peer))
            .count();
        // The store knows nodes that are not heard here.
        let unheard = self
            .leases
            .keys()
            .filter(|id| self.members.get(**id).is_none())
            .count();
        let count = 1 + (known + unheard) as u32;
        if self.complete_view {
            count
        } else {
            count.max(self.expected_replicas)
        }
    }

    /// The store has a record of a node. It is a hint where to look, and no evidence of life.
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
            _ => self.contact(now, node.address, out),
        }
    }

    /// The store's record of a node is gone: its lease ended. After the grace it is certainly gone, if it is silent.
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
