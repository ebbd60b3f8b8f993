//! Membership of nodes: a failure detector and gossip protocol based on SWIM. The inputs are received messages and the
//! time; the outputs are messages to send and changes of the view.
//!
//! The module does no I/O, reads no clock and depends on no hash order: the caller transports the messages and passes in
//! the time. The protocol knows nothing about requests. docs/peers.md compares the alternatives.
//!
//! | module | holds |
//! | --- | --- |
//! | `messages` | messages and actions |
//! | `members` | the table of known nodes, and the rules for evidence of them |
//! | `probing` | direct and indirect pings, suspicion, death, reconnection |
//! | `dissemination` | piggybacked updates, refutation |
//! | `view_sync` | comparison and transfer of complete views |
//! | `leases` | leases at the store, the replica count |
//!
//! Properties:
//! - The evidence that a node is alive is its *heartbeat*: the node's own uptime, sent in each of its messages and passed
//!   on by the nodes that received it. A higher heartbeat is later evidence, whoever sends it. A refutation therefore needs
//!   no new incarnation, and no update can declare a node dead. Each node decides on its own that another one is dead:
//!   when, for [`PeerSettings::death_timeout`] since a ping that the node left unanswered, none of the nodes from which
//!   messages arrive has received anything from it.
//! - A failed probe, direct and indirect, only raises a suspicion. The suspicion is disseminated with the last known
//!   heartbeat, and a node that knows a later heartbeat refutes the suspicion with it. If two nodes cannot reach each other
//!   while other nodes reach both, the link between the two is at fault ([`Peer::indirect_only`]).
//! - A node that finds, by its own clock, that it was paused suspects itself first: the time of its pause does not count as
//!   a silence of the others. A node that receives no messages at all waits several times as long as usual before it
//!   declares others dead.
//! - A heartbeat further ahead than the time since the first one allows is forged or due to a faulty clock, and is dropped.
//!   A heartbeat far behind the latest one is a replay. The ack of this node's own ping is always accepted as evidence.
//! - The count of nodes that may still be sending ([`Peers::replica_count`]) falls for nodes that left, that restarted, or
//!   that are dead and whose lease and the grace after it have ended. It never falls for silence alone.
//! - Replies go to the address that a node announces. The source address of a message is not visible to this module.

mod dissemination;
mod leases;
mod members;
mod messages;
mod probing;
mod view_sync;

pub use members::{Peer, PeerState};
pub use messages::{
    Message, MessageBody, NodeInfo, PeerAction, PeerId, ReportedState, Update, MAX_UPDATES,
};

use crate::hash::mix;
use crate::interface::Micros;
use dissemination::PendingUpdates;
use members::{EvidenceSource, Members};
use probing::{Probe, RelayedPing};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use view_sync::{PageEnd, ViewSync, MIN_RESYNC_INTERVAL};

/// A node that has received no message for this many probe intervals is isolated.
const ISOLATED_PROBE_INTERVALS: u64 = 4;

/// Settings of the failure detector and the gossip protocol. Times are microseconds.
#[derive(Clone, Copy, Debug)]
pub struct PeerSettings {
    /// Interval between probes. Each probe pings one node.
    pub probe_interval: Micros,
    /// A probe without an ack after this time is repeated through other nodes, as indirect pings.
    pub ack_timeout: Micros,
    /// Number of nodes that are asked for an indirect ping when a probe is not answered.
    pub indirect_probes: usize,
    /// A node that has fetched another node's view considers its own view complete this long after its start, even if the
    /// view has fewer nodes than expected. Nodes that start together need this limit, because none of them has a complete
    /// view to start with.
    pub complete_view_timeout: Micros,
    /// A node that does not answer a probe is suspected, and other nodes are notified, after this time.
    pub suspicion_timeout: Micros,
    /// A suspected node from which no node has received anything for this long is dead.
    pub death_timeout: Micros,
    /// Minimum time from when this node learns of a suspicion until it declares the suspected node dead.
    pub min_suspicion_duration: Micros,
    /// A gap between two ticks that is longer than this counts as a pause of this node.
    pub pause_threshold: Micros,
    /// Mean interval between rounds of pings to dead nodes and to seeds at which no node is known.
    pub reconnect_interval: Micros,
    /// Mean interval between comparisons of a random page of the view with a random node.
    pub sync_interval: Micros,
    /// Dead nodes, and nodes that left, are forgotten after this time without evidence of them.
    pub tombstone_ttl: Micros,
    /// Maximum time for which a node continues to send after its lease at the store has ended.
    pub lease_grace: Micros,
    /// Whether the node takes its own health into account (local health awareness): it waits longer for acks the more
    /// of them it misses, ignores silences from before a pause of its own, and pings a suspect itself before it
    /// declares it dead. Turned off only for baseline measurements.
    pub local_health: bool,
    /// Maximum number of nodes in the view. Further nodes are ignored.
    pub max_peers: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            probe_interval: 125_000,
            ack_timeout: 80_000,
            indirect_probes: 3,
            complete_view_timeout: 60_000_000,
            suspicion_timeout: 900_000,
            death_timeout: 2_400_000,
            min_suspicion_duration: 1_000_000,
            pause_threshold: 600_000,
            reconnect_interval: 1_000_000,
            sync_interval: 10_000_000,
            tombstone_ttl: 3_600_000_000,
            lease_grace: 5_000_000,
            local_health: true,
            max_peers: 4_096,
        }
    }
}

/// Numbers of dropped updates and messages since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedCounts {
    /// The sender or the reported node has a higher incarnation by now.
    pub superseded: u64,
    /// The heartbeat is further ahead than the elapsed time allows.
    pub implausible: u64,
    /// The heartbeat is far behind the sender's latest message: a replayed message, or one delayed for a long time.
    pub replayed: u64,
    /// The node is new and [`PeerSettings::max_peers`] is reached.
    pub over_limit: u64,
}

/// One node's view of the others. The module documentation describes the protocol.
pub struct Peers {
    local: NodeInfo,
    started_at: Micros,
    settings: PeerSettings,
    random_state: u64,
    members: Members,
    pending_updates: PendingUpdates,
    /// Configured addresses, which are never forgotten.
    seeds: Vec<SocketAddr>,
    /// Nodes in the order in which they are probed; the last one is next.
    probe_order: Vec<PeerId>,
    seq: u64,
    probes: BTreeMap<u64, Probe>,
    relayed_pings: BTreeMap<u64, RelayedPing>,
    /// Sequence numbers of the latest contact pings, which are sent outside the regular probing.
    contact_pings: VecDeque<u64>,
    next_probe: Micros,
    next_reconnect: Micros,
    next_sync: Micros,
    last_tick: Micros,
    /// When this node last resumed after a pause.
    resumed_at: Micros,
    last_received: Micros,
    /// Number of signs that this node misses messages, up to `MAX_HEALTH_PENALTY`; 0 for a healthy node.
    health_penalty: u32,
    superseded: bool,
    /// Minimum replica count while the view is not complete.
    expected_replicas: u32,
    complete_view: bool,
    /// Whether all pages of some node's view were fetched, even if that node did not consider its view complete.
    synced_once: bool,
    view_sync: Option<ViewSync>,
    last_sync: Micros,
    /// When a message from a node with the same view was last received.
    last_agreement: Micros,
    /// Address of the last node from which a message with a different view was received.
    differing_peer: Option<SocketAddr>,
    resync_interval: Micros,
    /// The digest of this node's view at the last synchronization with a node whose view differed.
    compared_digest: u32,
    /// Incarnations that hold a lease at the store, whether messages of these nodes arrive or not.
    leases: BTreeMap<PeerId, u64>,
}

impl Peers {
    /// Creates the view of a node that knows only itself and the addresses in `seeds`. `seed` initializes its random
    /// choices.
    pub fn new(
        now: Micros,
        local: NodeInfo,
        seeds: Vec<SocketAddr>,
        settings: PeerSettings,
        seed: u64,
    ) -> Peers {
        Peers {
            local,
            started_at: now,
            settings,
            random_state: mix(seed ^ local.incarnation),
            members: Members::new(settings.max_peers),
            pending_updates: PendingUpdates::default(),
            seeds,
            probe_order: Vec::new(),
            seq: 0,
            probes: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            contact_pings: VecDeque::new(),
            next_probe: now,
            next_reconnect: now,
            next_sync: now,
            last_tick: now,
            resumed_at: now,
            last_received: now,
            health_penalty: 0,
            superseded: false,
            expected_replicas: 1,
            complete_view: false,
            synced_once: false,
            view_sync: None,
            last_sync: now,
            last_agreement: now,
            differing_peer: None,
            resync_interval: MIN_RESYNC_INTERVAL,
            compared_digest: 0,
            leases: BTreeMap::new(),
        }
    }

    /// Returns the interval at which to call [`Peers::tick`], in microseconds.
    pub fn tick_interval(&self) -> Micros {
        (self.settings.ack_timeout / 2).max(1)
    }

    /// Returns all known peers in the order of their ids, including dead ones and those that left.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.members.all()
    }

    /// Returns a known peer.
    pub fn peer(&self, id: PeerId) -> Option<&Peer> {
        self.members.get(id)
    }

    /// Returns the id, incarnation, zone and address that this node announces.
    pub fn local_node(&self) -> NodeInfo {
        self.local
    }

    /// Returns whether the view is complete, and the replica count therefore reliable.
    pub fn has_complete_view(&self) -> bool {
        self.complete_view
    }

    /// Returns whether no message has been received for several probe intervals, a pause of this node not counted.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let silence = now.saturating_sub(self.last_received.max(self.resumed_at));
        silence > ISOLATED_PROBE_INTERVALS * self.settings.probe_interval
    }

    /// Returns whether another process has taken over this node's id with a higher incarnation, so that this one must stop.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the numbers of dropped updates and messages.
    pub fn dropped(&self) -> DroppedCounts {
        self.members.dropped
    }

    /// Announces to all present nodes, once each, that this node leaves.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let present: Vec<SocketAddr> = self
            .members
            .present()
            .map(|peer| peer.node.address)
            .collect();
        for to in present {
            self.send(now, to, MessageBody::Leave, out);
        }
    }

    /// Handles a received message and appends the resulting actions to `out`.
    pub fn handle_message(&mut self, now: Micros, message: Message, out: &mut Vec<PeerAction>) {
        let from = message.from;
        if from.id == self.local.id {
            self.on_own_incarnation(now, from.incarnation);
            return;
        }
        let source = if self.is_ack_of_ping(from.id, &message.body) {
            EvidenceSource::Ack
        } else {
            EvidenceSource::Itself
        };
        let evidence = Update {
            node: from,
            heartbeat: message.heartbeat,
            age: 0,
            state: ReportedState::Alive,
        };
        if !self.apply_evidence(now, evidence, source, out) {
            self.notify_superseded(now, from, out);
            return;
        }
        self.last_received = now;
        self.compare_views(now, from.address, message.view_digest);
        self.handle_body(now, from, message.body, out);
        self.on_updates(now, from, message.updates, out);
    }

    /// Returns whether a message is the pinged node's own answer to a ping of this node. Only the pinged node knows the
    /// sequence number of the ping, so the answer proves that the node is alive now, even if its heartbeat is implausible.
    fn is_ack_of_ping(&self, from: PeerId, body: &MessageBody) -> bool {
        let MessageBody::Ack { seq, of } = body else {
            return false;
        };
        let is_probe = || self.probes.get(seq).is_some_and(|probe| probe.is_of(*of));
        *of == from && (is_probe() || self.contact_pings.contains(seq))
    }

    /// Notifies a node that a higher incarnation of its id is known. The node was superseded without noticing, or its clock
    /// went backwards.
    fn notify_superseded(&mut self, now: Micros, from: NodeInfo, out: &mut Vec<PeerAction>) {
        let known = self.members.get(from.id).copied();
        if let Some(peer) = known.filter(|peer| peer.node.incarnation > from.incarnation) {
            let update = Some(peer.update(now));
            self.send_with(now, from.address, MessageBody::Updates, update, out);
        }
    }

    fn handle_body(
        &mut self,
        now: Micros,
        from: NodeInfo,
        body: MessageBody,
        out: &mut Vec<PeerAction>,
    ) {
        match body {
            MessageBody::Ping { seq } => {
                let of = self.local.id;
                self.send(now, from.address, MessageBody::Ack { seq, of }, out);
            }
            MessageBody::Ack { seq, of } => self.on_ack(now, seq, of, out),
            MessageBody::PingRequest { seq, to } => self.on_ping_request(now, from, seq, to, out),
            MessageBody::Nack { seq } => self.on_nack(seq),
            MessageBody::ViewRequest { after, complete } => {
                self.on_view_request(now, from, after, complete, out);
            }
            MessageBody::ViewPage {
                updates,
                next,
                last,
                sender_complete,
            } => {
                let end = PageEnd {
                    next,
                    last,
                    sender_complete,
                };
                self.on_page(now, from.address, &end, out);
                self.on_updates(now, from, updates, out);
            }
            MessageBody::Leave => self.on_left(from, out),
            MessageBody::Updates => {}
        }
    }

    /// Advances the time to `now`: sends probes, declares suspects dead, reconnects to dead nodes and synchronizes views.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let gap = now.saturating_sub(self.last_tick);
        if self.checks_own_health() && gap > self.settings.pause_threshold {
            self.resume(now, out);
        }
        self.last_tick = now;
        self.check_probes(now, out);
        self.check_suspects(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.probe_next(now, out);
        }
        // New updates are sent in messages of their own. Without new updates there are no such messages.
        if self.pending_updates.has_urgent() {
            if let Some(to) = self.random_peer() {
                self.send(now, to, MessageBody::Updates, out);
            }
        }
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.jittered(self.settings.reconnect_interval);
            self.reconnect(now, out);
        }
        self.advance_view_sync(now, out);
        if now >= self.next_sync {
            self.next_sync = now + self.jittered(self.settings.sync_interval);
            self.sync_random_page(now, out);
        }
    }

    /// Returns a random present node, and a suspected one only if there are no others. Guards against most messages
    /// going to dead nodes after many nodes have failed at once.
    fn random_peer(&mut self) -> Option<SocketAddr> {
        let alive = self
            .members
            .present()
            .filter(|peer| peer.state == PeerState::Alive)
            .count();
        let any = alive == 0;
        let candidates = if any {
            self.members.present().count()
        } else {
            alive
        };
        let at = self.random_below(candidates);
        self.members
            .present()
            .filter(|peer| any || peer.state == PeerState::Alive)
            .nth(at)
            .map(|peer| peer.node.address)
    }

    /// Returns this node's heartbeat: its uptime in milliseconds.
    fn heartbeat(&self, now: Micros) -> u64 {
        now.saturating_sub(self.started_at) / 1_000
    }

    /// Returns a digest of the nodes that may still be sending, this one included, and of which of them are dead. It is
    /// never 0, which stands for no digest.
    fn view_digest(&mut self) -> u32 {
        let own = members::digest_of(&self.local);
        ((self.members.digest() ^ own) as u32).max(1)
    }

    /// Returns a sequence number that other nodes cannot guess, so that an ack with it must answer this ping.
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        mix(self.next_random() ^ self.seq)
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.random_state
    }

    /// Returns a random number below `bound`; 0 if `bound` is 0.
    fn random_below(&mut self, bound: usize) -> usize {
        (mix(self.next_random()) % bound.max(1) as u64) as usize
    }

    /// Returns a random time from 0.5 to 1.5 times `interval`.
    fn jittered(&mut self, interval: Micros) -> Micros {
        interval / 2 + self.random_below(interval.max(1) as usize) as Micros
    }
}
