//! Membership of nodes: a failure detector and gossip protocol in the manner of SWIM. Received messages and the time go in;
//! messages to send and changes of the view come out.
//!
//! No I/O, no clock, no hash order: the caller moves messages and time. Nothing here knows about requests. docs/peers.md
//! compares the alternatives.
//!
//! | module | holds |
//! | --- | --- |
//! | `messages` | messages and actions |
//! | `members` | the table of known nodes, what counts as evidence |
//! | `probing` | direct and indirect pings, suspicion, death, reconnection |
//! | `dissemination` | piggybacked updates, refutation |
//! | `view_sync` | comparison and transfer of complete views |
//! | `leases` | leases at the store, the replica count |
//!
//! Properties:
//! - Evidence is a *heartbeat*: a node's own uptime, sent in each of its messages and passed on by nodes that heard it. A
//!   higher heartbeat is later evidence, whoever sends it. So no refutation needs a new incarnation, and no update kills: a
//!   node dies of silence alone, judged by each node for itself: when no node that can be heard has heard it for
//!   [`PeerSettings::death_timeout`] since a ping that it left unanswered.
//! - A failed probe, direct and indirect, only raises a suspicion. The suspicion spreads with the last known heartbeat; a
//!   node with a later one passes that on. If two nodes cannot hear each other while others can, the link between them is
//!   at fault ([`Peer::indirect_only`]).
//! - A node that was paused, by its own clock, suspects itself first: its pause is no silence of the others. A node that
//!   hears nobody waits several times as long.
//! - A heartbeat ahead of what the time since the first one allows is a lie or a broken clock, and is dropped; one far
//!   behind the last is a replay. The ack of this node's own ping is proof in itself.
//! - The count of nodes that may still be sending ([`Peers::replica_count`]) falls for nodes that left, restarted, or are
//!   dead with their lease and its grace over; never for silence alone.
//! - Replies go to the address that a node announces; the source address of a message is never seen here.

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

/// A node that received nothing for this many probe intervals is isolated.
const ISOLATED_PROBE_INTERVALS: u64 = 4;

/// Settings. Times are microseconds.
#[derive(Clone, Copy, Debug)]
pub struct PeerSettings {
    /// One node is probed in each interval.
    pub probe_interval: Micros,
    /// Without an ack for this long other nodes are asked for indirect pings.
    pub ack_timeout: Micros,
    /// How many nodes are asked for indirect pings.
    pub indirect_probes: usize,
    /// Nodes that start together consider their view complete after this time, even if it is smaller than expected.
    pub settle_time: Micros,
    /// A silent node is suspected, and others are told, after this time.
    pub suspicion_timeout: Micros,
    /// A node that no node has heard for this long is dead.
    pub death_timeout: Micros,
    /// A suspicion is known here for at least this long before it becomes a death.
    pub suspicion_notice: Micros,
    /// A longer gap between two ticks is a pause of this node.
    pub pause_threshold: Micros,
    /// Dead nodes are pinged once in each interval.
    pub reconnect_interval: Micros,
    /// A page of the view is compared with a random node in each interval.
    pub sync_interval: Micros,
    /// Dead nodes are forgotten after this time.
    pub tombstone_ttl: Micros,
    /// A node whose lease ended goes on sending for at most this long.
    pub lease_grace: Micros,
    /// The node considers its own health: it waits longer the worse it hears, ignores silences from before a pause of its
    /// own, and pings for itself before it declares a death. Off only as a baseline for measurements.
    pub local_health: bool,
    /// The most nodes that are remembered; further ones are ignored.
    pub max_peers: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            probe_interval: 125_000,
            ack_timeout: 80_000,
            indirect_probes: 3,
            settle_time: 60_000_000,
            suspicion_timeout: 900_000,
            death_timeout: 2_400_000,
            suspicion_notice: 1_000_000,
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

/// Counts of dropped updates and messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedCounts {
    /// From superseded incarnations.
    pub superseded: u64,
    /// With heartbeats ahead of what time allows.
    pub implausible: u64,
    /// Far behind their sender's latest message: replays, and messages delayed for long.
    pub replayed: u64,
    /// About nodes beyond the bound.
    pub over_limit: u64,
}

/// The view of one node. See the module's documentation.
pub struct Peers {
    local: NodeInfo,
    started_at: Micros,
    settings: PeerSettings,
    random_state: u64,
    members: Members,
    pending_updates: PendingUpdates,
    /// Configured addresses; kept for good.
    seeds: Vec<SocketAddr>,
    /// Nodes in the order of the next probes, last first.
    probe_order: Vec<PeerId>,
    seq: u64,
    probes: BTreeMap<u64, Probe>,
    relayed_pings: BTreeMap<u64, RelayedPing>,
    /// Sequence numbers of the latest pings outside the regular probing.
    contact_pings: VecDeque<u64>,
    next_probe: Micros,
    next_reconnect: Micros,
    next_sync: Micros,
    last_tick: Micros,
    /// When this node last resumed after a pause.
    resumed_at: Micros,
    last_received: Micros,
    /// How badly this node itself seems to hear.
    health_penalty: u32,
    superseded: bool,
    /// The least number of nodes to count while the view is not complete.
    expected_replicas: u32,
    complete_view: bool,
    /// Some node's complete view was fetched, whether that node considered it complete or not.
    synced_once: bool,
    view_sync: Option<ViewSync>,
    last_sync: Micros,
    /// When a message last came from a node with the same view, and a node with another one.
    last_agreement: Micros,
    differing_peer: Option<SocketAddr>,
    resync_interval: Micros,
    /// The digest at the last synchronization with a differing node.
    compared_digest: u32,
    /// Incarnations that hold a lease at the store, whether they are heard or not.
    leases: BTreeMap<PeerId, u64>,
}

impl Peers {
    /// A node that knows itself and some addresses. `seed` feeds its random choices.
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

    /// How often [`Peers::tick`] is to be called.
    pub fn tick_interval(&self) -> Micros {
        (self.settings.ack_timeout / 2).max(1)
    }

    /// All known peers, in the order of their ids.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.members.all()
    }

    /// One of them.
    pub fn peer(&self, id: PeerId) -> Option<&Peer> {
        self.members.get(id)
    }

    /// How this node announces itself.
    pub fn local_node(&self) -> NodeInfo {
        self.local
    }

    /// Whether the view is complete, and the replica count therefore reliable.
    pub fn has_complete_view(&self) -> bool {
        self.complete_view
    }

    /// Whether no node has been heard for long although others are known.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let silence = now.saturating_sub(self.last_received.max(self.resumed_at));
        silence > ISOLATED_PROBE_INTERVALS * self.settings.probe_interval
    }

    /// Whether a higher incarnation of this node's id was heard: this one is to stop.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Counts of what was dropped.
    pub fn dropped(&self) -> DroppedCounts {
        self.members.dropped
    }

    /// This node leaves: announces it to all present nodes, once each.
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

    /// Takes in a message.
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

    /// Whether a message answers a ping of this node. Only the pinged node knows the ping's number, so this is proof of life
    /// now, whatever is thought of its clock.
    fn is_ack_of_ping(&self, from: PeerId, body: &MessageBody) -> bool {
        let MessageBody::Ack { seq, of } = body else {
            return false;
        };
        let is_probe = || self.probes.get(seq).is_some_and(|probe| probe.is_of(*of));
        *of == from && (is_probe() || self.contact_pings.contains(seq))
    }

    /// Tells a node that a higher incarnation of it is known: it does not know that it ended, or that its clock went back.
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

    /// Moves time on: probes, judges silences, reconnects, synchronizes views.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let gap = now.saturating_sub(self.last_tick);
        if self.checks_own_health() && gap > self.settings.pause_threshold {
            self.resume(now, out);
        }
        self.last_tick = now;
        self.check_probes(now, out);
        self.check_silences(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.probe_next(now, out);
        }
        // New updates get messages of their own; in quiet times none are sent.
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

    /// A random present node; one that is not suspected, if there is any. Guards against most messages going to the dead,
    /// where many died at once.
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

    /// This node's uptime in milliseconds.
    fn heartbeat(&self, now: Micros) -> u64 {
        now.saturating_sub(self.started_at) / 1_000
    }

    /// A digest of the nodes that may be sending, this one included, and of which are dead; never 0.
    fn view_digest(&mut self) -> u32 {
        let own = members::digest_of(&self.local);
        ((self.members.digest() ^ own) as u32).max(1)
    }

    /// A sequence number that cannot be guessed: an ack with it answers this ping.
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        mix(self.next_random() ^ self.seq)
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.random_state
    }

    /// A random number below a bound.
    fn random_below(&mut self, bound: usize) -> usize {
        (mix(self.next_random()) % bound.max(1) as u64) as usize
    }

    /// A random time from half of an interval to one and a half.
    fn jittered(&mut self, interval: Micros) -> Micros {
        interval / 2 + self.random_below(interval.max(1) as usize) as Micros
    }
}
