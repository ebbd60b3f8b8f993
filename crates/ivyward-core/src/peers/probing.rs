//! Failure detection: direct and indirect pings, suspicion, death, and reconnection to dead nodes.

use super::members::Peer;
use super::messages::{MessageBody, NodeInfo, PeerAction, PeerId};
use super::{PeerState, Peers};
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use std::net::SocketAddr;

/// The highest health penalty. Each point of the penalty lengthens the ack timeout by its base length.
pub(super) const MAX_HEALTH_PENALTY: u32 = 8;
/// After a pause, a node sends its updates to this many others, plus one for every `PEERS_PER_RESUME_MESSAGE` known nodes.
const RESUME_MESSAGES: usize = 8;
const PEERS_PER_RESUME_MESSAGE: usize = 16;
/// Number of dead nodes and seeds without a known node that are pinged in each reconnect interval. The pings also keep this
/// node alive in the views of nodes that receive its messages although their own do not arrive here.
const RECONNECT_PINGS: usize = 3;
/// Number of such pings while this node is isolated. Other nodes may still receive them.
const ISOLATED_RECONNECT_PINGS: usize = 8;
/// How long before it declares a suspect dead, in microseconds, a node starts to ping the suspect itself at each tick.
const FINAL_PING_LEAD: Micros = 320_000;
/// Maximum number of suspects that are pinged in this way in one tick.
const MAX_FINAL_PING_TARGETS: usize = 64;
/// Minimum number of such pings before a suspect is declared dead. There is time for a reply to each of them but the last.
const MIN_FINAL_PINGS: u8 = 5;
/// Number of contact pings (pings outside the regular probing) whose sequence numbers are remembered, to recognize their
/// acks.
const MAX_CONTACT_PINGS: usize = 64;
/// An isolated node waits this many times as long before it declares others dead.
const ISOLATION_MULTIPLE: u64 = 4;

/// A ping of the regular probing that is not answered yet and has not led to a suspicion.
#[derive(Clone, Copy)]
pub(super) struct Probe {
    target: PeerId,
    sent: Micros,
    /// Whether other nodes were asked for an indirect ping.
    indirect: bool,
    /// Number of the asked relays that have sent neither an ack nor a nack.
    unanswered_relays: usize,
}

impl Probe {
    pub(super) fn is_of(&self, id: PeerId) -> bool {
        self.target == id
    }
}

/// An indirect ping, sent on behalf of another node.
#[derive(Clone, Copy)]
pub(super) struct RelayedPing {
    target: PeerId,
    sent: Micros,
    requester: SocketAddr,
    /// The requester's sequence number.
    seq: u64,
}

/// The conditions under which a suspected node is declared dead.
struct DeathCriteria {
    death_timeout: Micros,
    /// Earliest time from which a silence counts.
    earliest_start: Micros,
    /// Minimum time since this node learned of the suspicion.
    min_suspicion_duration: Micros,
    /// Whether this node must ping the suspect itself first.
    needs_final_pings: bool,
}

impl DeathCriteria {
    fn silent_since(&self, peer: &Peer) -> Micros {
        peer.unanswered_since
            .max(peer.last_seen_at)
            .max(self.earliest_start)
    }

    fn is_dead(&self, now: Micros, peer: &Peer) -> bool {
        peer.state == PeerState::Suspected
            && now.saturating_sub(self.silent_since(peer)) >= self.death_timeout
            && now.saturating_sub(peer.suspected_at) >= self.min_suspicion_duration
            && (peer.final_pings >= MIN_FINAL_PINGS || !self.needs_final_pings)
    }
}

impl Peers {
    /// Returns whether this node takes its own health into account.
    pub(super) fn checks_own_health(&self) -> bool {
        self.settings.local_health && !mutations::is_active(Mutation::IgnoreOwnHealth)
    }

    /// Returns how long to wait for an ack. The worse this node's own health is, the longer the time.
    pub(super) fn ack_wait(&self) -> Micros {
        let penalty = if self.checks_own_health() {
            self.health_penalty
        } else {
            0
        };
        self.settings.ack_timeout * u64::from(1 + penalty)
    }

    /// Handles the end of a pause of this node: notifies other nodes, which may suspect this one, that it is alive.
    pub(super) fn resume(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        self.resumed_at = now;
        self.health_penalty = MAX_HEALTH_PENALTY;
        // The update reaches nodes that suspect this one before they declare it dead.
        self.pending_updates.add_urgent(self.local.id);
        for _ in 0..RESUME_MESSAGES + self.members.len() / PEERS_PER_RESUME_MESSAGE {
            if let Some(to) = self.random_peer() {
                self.send(now, to, MessageBody::Updates, out);
            }
        }
        // Replies are missing because of the pause, not because of the pinged nodes.
        self.probes.clear();
        self.relayed_pings.clear();
    }

    /// Probes the next node in order.
    pub(super) fn probe_next(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        for _ in 0..self.probe_order.len() {
            let Some(id) = self.probe_order.pop() else {
                break;
            };
            // The node goes back to a random position in the half that is probed last, so that each node is probed
            // about once per round.
            let at = self.random_below(self.probe_order.len() / 2 + 1);
            self.probe_order.insert(at, id);
            let Some(peer) = self.members.get(id).copied() else {
                continue;
            };
            if matches!(peer.state, PeerState::Dead | PeerState::Left) {
                continue;
            }
            let seq = self.next_seq();
            let probe = Probe {
                target: id,
                sent: now,
                indirect: false,
                unanswered_relays: 0,
            };
            self.probes.insert(seq, probe);
            // The ping carries the suspicion, so that the suspect learns of it first and can refute it.
            let suspicion = (peer.state == PeerState::Suspected).then(|| peer.update(now));
            let body = MessageBody::Ping { seq };
            self.send_with(now, peer.node.address, body, suspicion, out);
            return;
        }
    }

    /// Handles a request for an indirect ping: pings `target` on behalf of the node `from`.
    pub(super) fn on_ping_request(
        &mut self,
        now: Micros,
        from: NodeInfo,
        seq: u64,
        target: NodeInfo,
        out: &mut Vec<PeerAction>,
    ) {
        let relayed_seq = self.next_seq();
        // This limit is high enough for all requests that arrive before earlier ones end, because each node's probes
        // ask only a few others.
        if self.relayed_pings.len() >= self.settings.max_peers {
            return;
        }
        let ping = RelayedPing {
            target: target.id,
            sent: now,
            requester: from.address,
            seq,
        };
        self.relayed_pings.insert(relayed_seq, ping);
        let body = MessageBody::Ping { seq: relayed_seq };
        self.send(now, target.address, body, out);
    }

    pub(super) fn on_nack(&mut self, seq: u64) {
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.unanswered_relays = probe.unanswered_relays.saturating_sub(1);
        }
    }

    pub(super) fn on_ack(&mut self, now: Micros, seq: u64, of: PeerId, out: &mut Vec<PeerAction>) {
        let relayed = self.relayed_pings.get(&seq).copied();
        if let Some(ping) = relayed.filter(|ping| ping.target == of) {
            self.relayed_pings.remove(&seq);
            // The ack carries the relayed node's heartbeat as evidence.
            let evidence = self.members.get(of).map(|peer| peer.update(now));
            let body = MessageBody::Ack { seq: ping.seq, of };
            self.send_with(now, ping.requester, body, evidence, out);
        }
        // Guards against an ack from another node that has taken over the address of the probed node.
        let probe = self.probes.get(&seq).copied();
        if let Some(probe) = probe.filter(|probe| probe.target == of) {
            self.probes.remove(&seq);
            self.health_penalty = self.health_penalty.saturating_sub(1);
            if let Some(peer) = self.members.get_mut(of) {
                // If other nodes reach the node and this one does not, the link between the two is at fault.
                peer.indirect_only = probe.indirect && peer.last_direct_at < probe.sent;
            }
        }
    }

    /// Escalates unanswered probes: requests indirect pings after the ack timeout, and raises a suspicion after the
    /// suspicion timeout.
    pub(super) fn check_probes(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let ack_wait = self.ack_wait();
        // Most pauses of a node end before the suspicion timeout, so that other nodes need not be notified of them. The
        // time from there to the death timeout is enough for the suspicion to reach all nodes.
        let suspect_after = self
            .settings
            .suspicion_timeout
            .min(self.settings.death_timeout * 3 / 8)
            .max(3 * ack_wait);
        let probes: Vec<(u64, Probe)> = self
            .probes
            .iter()
            .map(|(seq, probe)| (*seq, *probe))
            .collect();
        for (seq, probe) in probes {
            let elapsed = now.saturating_sub(probe.sent);
            let Some(target) = self.members.get(probe.target).copied() else {
                self.probes.remove(&seq);
                continue;
            };
            if !probe.indirect && elapsed >= ack_wait {
                self.request_indirect_pings(now, seq, target.node, out);
            } else if probe.indirect && elapsed < suspect_after {
                // Guards against suspicions due to a few lost messages: on a lossy network each suspicion and its
                // refutation would be sent to all nodes.
                self.send(now, target.node.address, MessageBody::Ping { seq }, out);
            } else if probe.indirect {
                self.probes.remove(&seq);
                self.on_probe_failed(now, &probe, &target, ack_wait, out);
            }
        }
        self.expire_relayed_pings(now, out);
    }

    fn request_indirect_pings(
        &mut self,
        now: Micros,
        seq: u64,
        target: NodeInfo,
        out: &mut Vec<PeerAction>,
    ) {
        let relays = self.relays(target.id);
        let requests = self.settings.indirect_probes.min(relays.len());
        for _ in 0..requests {
            let relay = relays[self.random_below(relays.len())];
            let body = MessageBody::PingRequest { seq, to: target };
            self.send(now, relay, body, out);
        }
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.indirect = true;
            probe.unanswered_relays = requests;
        }
    }

    fn on_probe_failed(
        &mut self,
        now: Micros,
        probe: &Probe,
        target: &Peer,
        ack_wait: Micros,
        out: &mut Vec<PeerAction>,
    ) {
        // Relays that do not answer indicate a fault of this node as much as one of the target, unless messages of
        // other nodes arrive: after most nodes were killed at once, most relays are dead.
        if probe.unanswered_relays > 0 && self.last_received < probe.sent + ack_wait {
            self.raise_health_penalty();
        }
        // A node from which any node has received a message since the probe is not suspected.
        if target.last_seen_at < probe.sent {
            self.suspect(now, probe.target, probe.sent, out);
        }
    }

    /// Sends a nack to the requester of each relayed ping that got no reply in time.
    fn expire_relayed_pings(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let ack_timeout = self.settings.ack_timeout;
        let expired: Vec<u64> = self
            .relayed_pings
            .iter()
            .filter(|(_, ping)| now >= ping.sent + ack_timeout)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in expired {
            if let Some(ping) = self.relayed_pings.remove(&seq) {
                let body = MessageBody::Nack { seq: ping.seq };
                self.send(now, ping.requester, body, out);
            }
        }
    }

    /// Returns the addresses of the nodes to ask for an indirect ping. Nodes whose messages arrive here directly are
    /// preferred, because the replies of the others would not arrive.
    fn relays(&self, target: PeerId) -> Vec<SocketAddr> {
        let present = || self.members.present().filter(|peer| peer.node.id != target);
        let direct: Vec<SocketAddr> = present()
            .filter(|peer| peer.state == PeerState::Alive && !peer.indirect_only)
            .map(|peer| peer.node.address)
            .collect();
        if direct.len() < self.settings.indirect_probes {
            present().map(|peer| peer.node.address).collect()
        } else {
            direct
        }
    }

    /// Declares suspects dead that meet the [`DeathCriteria`], and forgets nodes whose tombstone has expired.
    pub(super) fn check_suspects(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let criteria = self.death_criteria(now);
        self.send_final_pings(now, &criteria, out);
        let dead: Vec<PeerId> = self
            .members
            .all()
            .filter(|peer| criteria.is_dead(now, peer))
            .map(|peer| peer.node.id)
            .collect();
        for id in dead {
            if self
                .members
                .transition(id, PeerState::Suspected, PeerState::Dead, out)
            {
                // The update is sent again because, if many nodes failed at once, most earlier transmissions went to
                // dead nodes.
                self.pending_updates.add_non_urgent(id);
            }
        }
        self.members.apply_ended_leases(now);
        for id in self.members.forget(now, self.settings.tombstone_ttl) {
            self.pending_updates.remove(id);
            self.probe_order.retain(|other| *other != id);
        }
    }

    fn death_criteria(&self, now: Micros) -> DeathCriteria {
        let checks_own_health = self.checks_own_health();
        // While no messages arrive at all, the cause is more likely at this node than at all others.
        let isolated = checks_own_health && self.is_isolated(now);
        let (multiple, earliest_start) = if isolated {
            (ISOLATION_MULTIPLE, self.last_received)
        } else {
            (1, 0)
        };
        // A suspicion may arrive late, from a node that waits longer than this one. It must be known here for a minimum
        // time before it can lead to a death, so that the suspect can refute it.
        let min_suspicion_duration = if mutations::is_active(Mutation::IgnoreOwnHealth) {
            0
        } else {
            self.settings
                .min_suspicion_duration
                .min(self.settings.death_timeout / 2)
        };
        DeathCriteria {
            death_timeout: self.settings.death_timeout * multiple,
            earliest_start: self.resumed_at.max(earliest_start),
            min_suspicion_duration,
            needs_final_pings: checks_own_health,
        }
    }

    /// Pings suspects that will soon be declared dead. Guards against declaring a node dead just before its refutation
    /// arrives. Each tick sends a ping and a later tick sees the reply, so that a node that was paused itself pings the
    /// suspect before it declares the suspect dead.
    fn send_final_pings(
        &mut self,
        now: Micros,
        criteria: &DeathCriteria,
        out: &mut Vec<PeerAction>,
    ) {
        let mut targets = Vec::new();
        let nearly_dead = self.members.suspected().filter(|peer| {
            now + FINAL_PING_LEAD >= criteria.silent_since(peer) + criteria.death_timeout
        });
        for peer in nearly_dead.take(MAX_FINAL_PING_TARGETS) {
            peer.final_pings = peer.final_pings.saturating_add(1);
            targets.push((peer.node, peer.final_pings));
        }
        for (node, pings) in targets {
            self.send_contact_ping(now, node.address, out);
            // Every other ping is also sent through a relay, because direct replies of the suspect may not arrive here.
            if pings % 2 == 0 {
                continue;
            }
            let relays = self.relays(node.id);
            if !relays.is_empty() {
                let seq = self.next_seq();
                let relay = relays[self.random_below(relays.len())];
                let body = MessageBody::PingRequest { seq, to: node };
                self.send(now, relay, body, out);
            }
        }
    }

    /// Sends a contact ping, which is a ping outside the regular probing. A node that replies is added to the view, or
    /// becomes alive again.
    pub(super) fn send_contact_ping(
        &mut self,
        now: Micros,
        to: SocketAddr,
        out: &mut Vec<PeerAction>,
    ) {
        let seq = self.next_seq();
        if self.contact_pings.len() >= MAX_CONTACT_PINGS {
            self.contact_pings.pop_front();
        }
        self.contact_pings.push_back(seq);
        self.send(now, to, MessageBody::Ping { seq }, out);
    }

    /// Pings dead nodes, and seeds at which no node is known, so that the parts of a partitioned network find each
    /// other again.
    pub(super) fn reconnect(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let present: Vec<SocketAddr> = self
            .members
            .present()
            .map(|peer| peer.node.address)
            .collect();
        let mut absent: Vec<SocketAddr> = self
            .members
            .all()
            .filter(|peer| peer.state == PeerState::Dead && !peer.confirmed_stopped)
            .map(|peer| peer.node.address)
            .collect();
        absent.extend(
            self.seeds
                .iter()
                .filter(|seed| **seed != self.local.address && !present.contains(seed)),
        );
        let pings = if self.is_isolated(now) {
            ISOLATED_RECONNECT_PINGS
        } else {
            RECONNECT_PINGS
        };
        for _ in 0..pings.min(absent.len()) {
            let to = absent.swap_remove(self.random_below(absent.len()));
            self.send_contact_ping(now, to, out);
        }
    }
}
