//! Failure detection: direct and indirect pings, suspicion, death, and reconnection to dead nodes.

use super::members::Peer;
use super::messages::{MessageBody, NodeInfo, PeerAction, PeerId};
use super::{PeerState, Peers};
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use std::net::SocketAddr;

/// The highest health penalty; an ack time-out grows by one of its length with each.
pub(super) const MAX_HEALTH_PENALTY: u32 = 8;
/// A node that was paused sends its updates to this many others, and to one more for each `PEERS_PER_RESUME_MESSAGE`.
const RESUME_MESSAGES: usize = 8;
const PEERS_PER_RESUME_MESSAGE: usize = 16;
/// Dead nodes and unknown seeds pinged at each reconnection: nodes that hear this one without being heard must go on
/// hearing it.
const RECONNECT_PINGS: usize = 3;
/// The same while no node is heard: this one may still be heard.
const ISOLATED_RECONNECT_PINGS: usize = 8;
/// This long before it declares a death, in microseconds, a node pings for itself, at each tick,
const FINAL_PING_LEAD: Micros = 320_000;
/// at most this many suspects,
const MAX_FINAL_PING_TARGETS: usize = 64;
/// and each at least this often, with time for a reply to each but the last.
const MIN_FINAL_PINGS: u8 = 5;
/// The numbers of this many contact pings are remembered, to recognize their acks.
const MAX_CONTACT_PINGS: usize = 64;
/// A node that hears nobody waits this many times as long before it declares others dead.
const ISOLATION_MULTIPLE: u64 = 4;

/// A ping of the regular probing, until it is answered or the node is suspected.
#[derive(Clone, Copy)]
pub(super) struct Probe {
    target: PeerId,
    sent: Micros,
    /// Other nodes were asked for an indirect ping.
    indirect: bool,
    /// How many of these have not sent anything back.
    silent_relays: usize,
}

impl Probe {
    pub(super) fn is_of(&self, id: PeerId) -> bool {
        self.target == id
    }
}

/// An indirect ping sent for another node.
#[derive(Clone, Copy)]
pub(super) struct RelayedPing {
    target: PeerId,
    sent: Micros,
    requester: SocketAddr,
    /// The requester's sequence number.
    seq: u64,
}

/// When a silence counts as a death.
struct SilenceLimits {
    death_timeout: Micros,
    /// A silence counts from then on at the earliest.
    counted_from: Micros,
    /// A suspicion is known here for at least so long.
    notice: Micros,
    /// Whether this node pings for itself first.
    needs_final_pings: bool,
}

impl SilenceLimits {
    fn silent_since(&self, peer: &Peer) -> Micros {
        peer.unanswered_since
            .max(peer.last_seen_at)
            .max(self.counted_from)
    }

    fn is_dead(&self, now: Micros, peer: &Peer) -> bool {
        peer.state == PeerState::Suspected
            && now.saturating_sub(self.silent_since(peer)) >= self.death_timeout
            && now.saturating_sub(peer.suspected_at) >= self.notice
            && (peer.final_pings >= MIN_FINAL_PINGS || !self.needs_final_pings)
    }
}

impl Peers {
    /// Whether this node considers its own health.
    pub(super) fn checks_own_health(&self) -> bool {
        self.settings.local_health && !mutations::is_active(Mutation::NeverDoubtsItself)
    }

    /// How long to wait for an ack, by this node's own health.
    pub(super) fn ack_wait(&self) -> Micros {
        let penalty = if self.checks_own_health() {
            self.health_penalty
        } else {
            0
        };
        self.settings.ack_timeout * u64::from(1 + penalty)
    }

    /// Tells others that this node is alive after a pause that they may have noticed.
    pub(super) fn resume(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        self.resumed_at = now;
        self.health_penalty = MAX_HEALTH_PENALTY;
        // Nodes that suspect it by now hear of it before the silence counts as a death.
        self.pending_updates.add(self.local.id);
        for _ in 0..RESUME_MESSAGES + self.members.len() / PEERS_PER_RESUME_MESSAGE {
            if let Some(to) = self.random_peer() {
                self.send(now, to, MessageBody::Updates, out);
            }
        }
        // Missing replies are due to the pause, not to the nodes pinged.
        self.probes.clear();
        self.relayed_pings.clear();
    }

    /// Probes the next node in order.
    pub(super) fn probe_next(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        for _ in 0..self.probe_order.len() {
            let Some(id) = self.probe_order.pop() else {
                break;
            };
            // Back to a random place in the older half: each node's turn comes once in about a round.
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
                silent_relays: 0,
            };
            self.probes.insert(seq, probe);
            // A suspect learns of the suspicion first of all.
            let suspicion = (peer.state == PeerState::Suspected).then(|| peer.update(now));
            let body = MessageBody::Ping { seq };
            self.send_with(now, peer.node.address, body, suspicion, out);
            return;
        }
    }

    /// Pings on behalf of another node.
    pub(super) fn on_ping_request(
        &mut self,
        now: Micros,
        from: NodeInfo,
        seq: u64,
        target: NodeInfo,
        out: &mut Vec<PeerAction>,
    ) {
        let relayed_seq = self.next_seq();
        // Enough for all that arrive before earlier ones end; each node's probes ask a few others.
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
            probe.silent_relays = probe.silent_relays.saturating_sub(1);
        }
    }

    pub(super) fn on_ack(&mut self, now: Micros, seq: u64, of: PeerId, out: &mut Vec<PeerAction>) {
        let relayed = self.relayed_pings.get(&seq).copied();
        if let Some(ping) = relayed.filter(|ping| ping.target == of) {
            self.relayed_pings.remove(&seq);
            // With the evidence that it was heard.
            let evidence = self.members.get(of).map(|peer| peer.update(now));
            let body = MessageBody::Ack { seq: ping.seq, of };
            self.send_with(now, ping.requester, body, evidence, out);
        }
        // Guards against a node that took over its address acknowledging the probe.
        let probe = self.probes.get(&seq).copied();
        if let Some(probe) = probe.filter(|probe| probe.target == of) {
            self.probes.remove(&seq);
            self.health_penalty = self.health_penalty.saturating_sub(1);
            if let Some(peer) = self.members.get_mut(of) {
                // Other nodes reach it, this one does not: the link between them is at fault.
                peer.indirect_only = probe.indirect && peer.last_direct_at < probe.sent;
            }
        }
    }

    /// Escalates unanswered probes: indirect pings first, then suspicion.
    pub(super) fn check_probes(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let ack_wait = self.ack_wait();
        // Most pauses end before it: no other node need learn of them. The rest of the time is enough to reach all.
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
                // Guards against suspicions by chance: in a lossy network each would be sent to and refuted by all.
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
            probe.silent_relays = requests;
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
        // Silent relays say as much about this node as about the target, unless others are heard: where most nodes were
        // killed at once they are most of the relays.
        if probe.silent_relays > 0 && self.last_received < probe.sent + ack_wait {
            self.raise_health_penalty();
        }
        // A node that was heard since, by anybody, is not silent.
        if target.last_seen_at < probe.sent {
            self.suspect(now, probe.target, probe.sent, out);
        }
    }

    /// Reports to the requesters which relayed pings got no reply.
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

    /// Nodes to ask for an indirect ping: preferably those heard directly, as the replies of others would not arrive.
    fn relays(&self, target: PeerId) -> Vec<SocketAddr> {
        let present = || self.members.present().filter(|peer| peer.node.id != target);
        let heard: Vec<SocketAddr> = present()
            .filter(|peer| peer.state == PeerState::Alive && !peer.indirect_only)
            .map(|peer| peer.node.address)
            .collect();
        if heard.len() < self.settings.indirect_probes {
            present().map(|peer| peer.node.address).collect()
        } else {
            heard
        }
    }

    /// Declares suspects dead after a long silence, and forgets nodes that are dead for long.
    pub(super) fn check_silences(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let limits = self.silence_limits(now);
        self.send_final_pings(now, &limits, out);
        let dead: Vec<PeerId> = self
            .members
            .all()
            .filter(|peer| limits.is_dead(now, peer))
            .map(|peer| peer.node.id)
            .collect();
        for id in dead {
            if self
                .members
                .transition(id, PeerState::Suspected, PeerState::Dead, out)
            {
                // Sent again: where many died at once, most earlier updates about them went to the dead.
                self.pending_updates.add_quietly(id);
            }
        }
        self.members.apply_ended_leases(now);
        for id in self.members.forget(now, self.settings.tombstone_ttl) {
            self.pending_updates.remove(id);
            self.probe_order.retain(|other| *other != id);
        }
    }

    fn silence_limits(&self, now: Micros) -> SilenceLimits {
        let checks_own_health = self.checks_own_health();
        // While no node at all is heard, their silence is more likely this node's fault.
        let isolated = checks_own_health && self.is_isolated(now);
        let (multiple, counted_from) = if isolated {
            (ISOLATION_MULTIPLE, self.last_received)
        } else {
            (1, 0)
        };
        // A suspicion that arrives late, from a node that waits long, is known here for a while before it counts.
        let notice = if mutations::is_active(Mutation::NeverDoubtsItself) {
            0
        } else {
            self.settings
                .suspicion_notice
                .min(self.settings.death_timeout / 2)
        };
        SilenceLimits {
            death_timeout: self.settings.death_timeout * multiple,
            counted_from: self.resumed_at.max(counted_from),
            notice,
            needs_final_pings: checks_own_health,
        }
    }

    /// Guards against a death that is declared just before the news of its refutation: a node pings for itself first. Each
    /// tick pings and the next one sees the reply, so a node that was paused pings before it declares.
    fn send_final_pings(&mut self, now: Micros, limits: &SilenceLimits, out: &mut Vec<PeerAction>) {
        let mut targets = Vec::new();
        let nearly_dead = self.members.suspected().filter(|peer| {
            now + FINAL_PING_LEAD >= limits.silent_since(peer) + limits.death_timeout
        });
        for peer in nearly_dead.take(MAX_FINAL_PING_TARGETS) {
            peer.final_pings = peer.final_pings.saturating_add(1);
            targets.push((peer.node, peer.final_pings));
        }
        for (node, pings) in targets {
            self.contact(now, node.address, out);
            // Every other time through a relay as well: its own reply may not arrive here.
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

    /// Pings an address outside the regular probing: a node that replies is known by that.
    pub(super) fn contact(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<PeerAction>) {
        let seq = self.next_seq();
        if self.contact_pings.len() >= MAX_CONTACT_PINGS {
            self.contact_pings.pop_front();
        }
        self.contact_pings.push_back(seq);
        self.send(now, to, MessageBody::Ping { seq }, out);
    }

    /// Pings dead nodes, and seeds at which no node is known: parts of a partitioned network find each other again.
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
            self.contact(now, to, out);
        }
    }
}
