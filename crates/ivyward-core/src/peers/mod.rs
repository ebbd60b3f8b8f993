//! The peers decider: which nodes are here. Messages heard and time in, messages to send and changes of the view out.
//!
//! It decides whom to probe, whom to doubt, when a silence is a death, and what is passed on to whom. No I/O, no clock, no
//! hash order: the caller moves messages and time. Nothing here knows of requests. docs/peers.md weighs the ways.
//!
//! What it holds to:
//! - Evidence is a *heartbeat*: a node's own uptime, told in each of its messages and passed on by those who heard it. A higher
//!   heartbeat is later evidence, whoever brings it. So nothing has to be refuted by number, and no word kills: a node dies of
//!   silence alone, judged by each node for itself: when nobody who can be heard has heard it for `death_after` since a
//!   question that it left unanswered.
//! - A failed probe, direct and through others, only doubts. The doubt spreads with the last heartbeat known; who has heard a
//!   later one passes that on. A pair that cannot hear each other while others can is a fact of a link ([`Peer::indirect_only`]).
//! - A node that slept, seen by its own clock, doubts itself first: its time away is no silence of the others. One that
//!   hears nobody waits several times as long.
//! - A heartbeat ahead of what the time since the first one allows is a lie or a broken clock, and is dropped; one far behind
//!   the last is a repeat of something old. The answer to this node's own question is proof in itself.
//! - The count of nodes that may still be sending ([`Peers::replica_count`]) falls for those who said that they leave, were started
//!   again, or are silent and their lease and its grace are over; never for silence alone.
//! - Answers go to the address a node announces; the source of a message is never seen here.

mod gossip;
mod view;

pub use gossip::{
    Message, MessageBody, NodeInfo, PeerAction, PeerId, ReportedState, Update, MAX_UPDATES,
};
pub use view::{Peer, PeerState};

use crate::hash::mix;
use crate::interface::Micros;
use crate::mutations::{self, Mutation};
use gossip::PendingUpdates;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use view::{By, Members, WITNESSES};

/// Claims in one page of an exchange of the whole view.
const PAGE: usize = MAX_UPDATES - 4;
/// Most that a node doubts itself; a wait for an answer grows by one wait with each.
const MOST_STRAIN: u32 = 8;
/// A node that slept says so to so many at once.
const WAKE: usize = 8;
/// So many that are away are looked for at once: whoever hears us, and is not heard, is to go on hearing us.
const REACH: usize = 3;
/// So long before it counts a death a node asks for itself, at each look, so many of those in doubt.
const LAST_ASK: Micros = 320_000;
const LAST_ASKED: usize = 64;
/// And so often it asks at least, with time for an answer to each but the last.
const LAST_ASKS: u8 = 5;
/// A node that doubts wrongly is told so of so many at once.
const TOLD_BETTER: usize = 4;
/// An answer to so many of the last questions to them is known for one.
const CALLS: usize = 64;
/// A node that hears nobody waits so many times as long before it takes others for dead.
const ALONE: u64 = 4;
/// A page that did not come is asked for again after this.
const PAGE_WAIT: Micros = 300_000;
/// Views that differ for so long do not come to agree by what is passed on.
const DIFFER: Micros = 2_000_000;
/// Each time that comparing them whole does not help, that span doubles, up to this.
const MOST_DIFFER: Micros = 32_000_000;
/// A node that started so short a time ago and hears of a later start of its name has a clock that went back: it takes
/// a start after that. Later on, another process has taken its name.
const YOUNG: Micros = 10_000_000;
/// A start is taken over from others only if it is no more than this ahead of one's own, in the unit of starts.
const FAR_START: u64 = 10 * 366 * 86_400 * 1_000_000;

/// The decider's spans and bounds.
#[derive(Clone, Copy, Debug)]
pub struct PeerSettings {
    /// One node is probed in each such span.
    pub probe_interval: Micros,
    /// Without an answer for so long others are asked to probe.
    pub ack_timeout: Micros,
    /// How many are asked.
    pub indirect_probes: usize,
    /// Nodes that started together take what they know for all after this, if the owner said a higher number.
    pub settle_time: Micros,
    /// A silence is told to others after this.
    pub suspicion_timeout: Micros,
    /// Silence towards everybody that is a death.
    pub death_timeout: Micros,
    /// A doubt is known here for at least so long before it is a death.
    pub suspicion_notice: Micros,
    /// A gap in the node's own time that is a pause.
    pub pause_threshold: Micros,
    /// One that is dead is looked for in each such span.
    pub reconnect_interval: Micros,
    /// A part of the whole view is compared with some node in each such span.
    pub sync_interval: Micros,
    /// The dead are forgotten after this time.
    pub tombstone_ttl: Micros,
    /// A run whose lease is over goes on sending for no longer than this.
    pub lease_grace: Micros,
    /// The node looks at itself first: it waits longer the worse it hears, counts no silence from before it woke, and asks
    /// for itself before it counts a death. Without it a baseline to measure against.
    pub local_health: bool,
    /// Most peers that are remembered; later ones are not taken.
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

/// What was dropped, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Words of runs that a later start has ended.
    pub stale: u64,
    /// Beats ahead of what time allows.
    pub implausible: u64,
    /// Messages from far behind what their sender said since: repeats, and what lay somewhere.
    pub old: u64,
    /// Peers beyond the bound.
    pub over: u64,
}

#[derive(Clone, Copy)]
struct Probe {
    of: PeerId,
    sent: Micros,
    relayed: bool,
    /// Relays that were asked and have not said anything.
    mute: usize,
}

/// A probe made for another node.
#[derive(Clone, Copy)]
struct Errand {
    of: PeerId,
    sent: Micros,
    back: SocketAddr,
    seq: u64,
}

/// Decides for one node. See the module's words.
pub struct Peers {
    me: NodeInfo,
    began: Micros,
    settings: PeerSettings,
    random: u64,
    members: Members,
    pending_updates: PendingUpdates,
    /// Addresses that were given; kept for good.
    seeds: Vec<SocketAddr>,
    ring: Vec<PeerId>,
    seq: u64,
    probes: BTreeMap<u64, Probe>,
    errands: BTreeMap<u64, Errand>,
    /// Numbers of the last questions to those who are away.
    calls: VecDeque<u64>,
    next_probe: Micros,
    next_reach: Micros,
    next_page: Micros,
    last_tick: Micros,
    woke: Micros,
    heard_any: Micros,
    strain: u32,
    superseded: bool,
    /// Nodes that may be sending where a view was not seen whole.
    floor: u32,
    whole: bool,
    /// Somebody's whole view was taken in, whether that one was confirmed of it or not.
    paged_once: bool,
    /// A whole view that is being taken in.
    paging: Option<Paging>,
    paged: Micros,
    /// When somebody was heard last who knows the same nodes, and who it was that did not.
    same: Micros,
    differs: Option<SocketAddr>,
    differ_wait: Micros,
    /// The digest when they were compared whole last.
    compared: u32,
    /// Runs that hold a lease at the store, whether they are heard or not.
    leased: BTreeMap<PeerId, u64>,
}

/// How far the taking in of a whole view has come, and from whom.
struct Paging {
    from: SocketAddr,
    after: Option<PeerId>,
    asked: Micros,
}

impl Peers {
    /// A node that knows its own node and some addresses. `seed` feeds its lots.
    pub fn new(
        now: Micros,
        me: NodeInfo,
        seeds: Vec<SocketAddr>,
        settings: PeerSettings,
        seed: u64,
    ) -> Peers {
        Peers {
            me,
            began: now,
            settings,
            random: mix(seed ^ me.incarnation),
            members: Members::new(settings.max_peers),
            pending_updates: PendingUpdates::default(),
            seeds,
            ring: Vec::new(),
            seq: 0,
            probes: BTreeMap::new(),
            errands: BTreeMap::new(),
            calls: VecDeque::new(),
            next_probe: now,
            next_reach: now,
            next_page: now,
            last_tick: now,
            woke: now,
            heard_any: now,
            strain: 0,
            superseded: false,
            floor: 1,
            whole: false,
            paged_once: false,
            paging: None,
            paged: now,
            same: now,
            differs: None,
            differ_wait: DIFFER,
            compared: 0,
            leased: BTreeMap::new(),
        }
    }

    /// How often [`Peers::tick`] is to be called.
    pub fn tick_interval(&self) -> Micros {
        (self.settings.ack_timeout / 2).max(1)
    }
    /// All peers that are known, in the order of their names.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.members.all()
    }
    /// One of them.
    pub fn peer(&self, id: PeerId) -> Option<&Peer> {
        self.members.get(id)
    }
    /// Says how many nodes there are at most by what the owner was told. It holds until a whole view was seen.
    pub fn expect(&mut self, nodes: u32) {
        self.floor = nodes;
    }
    /// Nodes that may still be sending, this one among them. Falls only when one is certainly gone.
    pub fn replica_count(&self) -> u32 {
        let doubted =
            |p: &Peer| mutations::is_active(Mutation::CountOnDoubt) && p.state != PeerState::Alive;
        let known = self
            .members
            .all()
            .filter(|p| !p.confirmed_gone && !doubted(p))
            .count();
        // The store knows of some whom nobody here hears.
        let unknown = self
            .leased
            .keys()
            .filter(|id| self.members.get(**id).is_none())
            .count();
        let count = 1 + (known + unknown) as u32;
        if self.whole {
            count
        } else {
            count.max(self.floor)
        }
    }
    /// How this node announces itself.
    pub fn local_node(&self) -> NodeInfo {
        self.me
    }
    /// Whether the view is whole, and its count therefore good.
    pub fn has_complete_view(&self) -> bool {
        self.whole
    }
    /// Whether nobody has been heard for long although others are known.
    pub fn is_isolated(&self, now: Micros) -> bool {
        now.saturating_sub(self.heard_any.max(self.woke)) > 4 * self.settings.probe_interval
    }
    /// Whether a later start of this node's name was heard: this one is to stop.
    pub fn superseded(&self) -> bool {
        self.superseded
    }
    /// What was dropped.
    pub fn dropped(&self) -> Dropped {
        self.members.dropped
    }

    /// A record of the store names a node. It is a hint where to look, and no evidence of life.
    pub fn record_added(&mut self, now: Micros, node: NodeInfo, out: &mut Vec<PeerAction>) {
        if node.id == self.me.id {
            return;
        }
        if self.leased.len() < self.settings.max_peers || self.leased.contains_key(&node.id) {
            self.leased.insert(node.id, node.incarnation);
        }
        match self.members.get_mut(node.id) {
            Some(peer) if peer.node.incarnation == node.incarnation => peer.lease_over = None,
            Some(peer) if peer.node.incarnation > node.incarnation => {}
            _ => self.call_on(now, node.address, out),
        }
    }

    /// The store's record of a node is gone: its lease is over. After the grace it is certainly gone, if it is silent.
    pub fn record_removed(&mut self, now: Micros, id: PeerId) {
        let Some(start) = self.leased.remove(&id) else {
            return;
        };
        if let Some(peer) = self
            .members
            .get_mut(id)
            .filter(|p| p.node.incarnation == start)
        {
            peer.lease_over = Some(now + self.settings.lease_grace);
        }
    }

    /// This node leaves: everybody who is here is told, once each.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let all: Vec<SocketAddr> = self.members.here().map(|p| p.node.address).collect();
        all.into_iter()
            .for_each(|to| self.send(now, to, MessageBody::Leave, out));
    }

    /// Takes in a message.
    pub fn handle_message(&mut self, now: Micros, message: Message, out: &mut Vec<PeerAction>) {
        let Message {
            from,
            heartbeat,
            view_digest: view,
            body,
            updates,
        } = message;
        if from.id == self.me.id {
            self.hear_of_me(now, from.incarnation);
            return;
        }
        // Only who got the question knows its number: whatever was thought of its clock, that was now.
        let proof = matches!(body, MessageBody::Ack { seq, of }
            if of == from.id && (self.probes.get(&seq).is_some_and(|p| p.of == of) || self.calls.contains(&seq)));
        let by = if proof { By::Proof } else { By::Itself };
        if !self.learn(
            now,
            Update {
                node: from,
                heartbeat,
                age: 0,
                state: ReportedState::Alive,
            },
            by,
            out,
        ) {
            if let Some(peer) = self
                .members
                .get(from.id)
                .filter(|p| p.node.incarnation > from.incarnation)
                .copied()
            {
                // It does not know that it is over, or that its clock went back.
                self.send_with(
                    now,
                    from.address,
                    MessageBody::Updates,
                    Some(peer.claim(now)),
                    out,
                );
            }
            return;
        }
        self.heard_any = now;
        if view == self.view() {
            (self.same, self.differ_wait) = (now, DIFFER);
        } else if view != 0 {
            self.differs = Some(from.address);
        }
        match body {
            MessageBody::Ping { seq } => self.send(
                now,
                from.address,
                MessageBody::Ack {
                    seq,
                    of: self.me.id,
                },
                out,
            ),
            MessageBody::Ack { seq, of } => self.on_ack(now, seq, of, out),
            MessageBody::PingRequest { seq, to } => {
                let mine = self.next_seq();
                let errand = Errand {
                    of: to.id,
                    sent: now,
                    back: from.address,
                    seq,
                };
                // As many as come in before they are over; one node's probes ask a few others each.
                if self.errands.len() < self.settings.max_peers {
                    self.errands.insert(mine, errand);
                    self.send(now, to.address, MessageBody::Ping { seq: mine }, out);
                }
            }
            MessageBody::Nack { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    probe.mute = probe.mute.saturating_sub(1);
                }
            }
            MessageBody::ViewRequest { after, whole } => {
                let (page, next) = self.page(now, after);
                let (next, last) = (next.filter(|_| whole), whole && next.is_none());
                let body = MessageBody::ViewPage {
                    updates: page,
                    next,
                    last,
                    confirmed: self.whole,
                };
                self.send(now, from.address, body, out);
            }
            MessageBody::ViewPage {
                updates,
                next,
                last,
                confirmed,
            } => {
                self.on_page(now, from.address, next, (last, confirmed), out);
                self.on_claims(now, from, updates, out);
            }
            MessageBody::Leave => self.left(from, out),
            MessageBody::Updates => {}
        }
        self.on_claims(now, from, updates, out);
    }

    fn on_ack(&mut self, now: Micros, seq: u64, of: PeerId, out: &mut Vec<PeerAction>) {
        if let Some(errand) = self.errands.get(&seq).copied().filter(|e| e.of == of) {
            self.errands.remove(&seq);
            // With the word that it was heard, which is evidence.
            let heard = self.members.get(of).map(|p| p.claim(now));
            self.send_with(
                now,
                errand.back,
                MessageBody::Ack {
                    seq: errand.seq,
                    of,
                },
                heard,
                out,
            );
        }
        // Guards against an answer by whoever took over its address ending the question to it.
        if let Some(probe) = self.probes.get(&seq).copied().filter(|p| p.of == of) {
            self.probes.remove(&seq);
            self.strain = self.strain.saturating_sub(1);
            if let Some(peer) = self.members.get_mut(of) {
                // Not by me but by others: a fact of the link between us.
                peer.indirect_only = probe.relayed && peer.direct < probe.sent;
            }
        }
    }

    /// Somebody knows of a run of this node's name that began so.
    fn hear_of_me(&mut self, now: Micros, start: u64) {
        if start <= self.me.incarnation {
            return;
        }
        if now.saturating_sub(self.began) >= YOUNG {
            self.superseded = true;
        } else if start - self.me.incarnation < FAR_START {
            self.me.incarnation = start + 1;
        }
    }

    fn on_claims(
        &mut self,
        now: Micros,
        from: NodeInfo,
        updates: Vec<Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let better: Vec<PeerId> = updates
            .into_iter()
            .filter_map(|claim| self.on_claim(now, from, claim, out))
            .collect();
        if better.is_empty() {
            return;
        }
        // Who doubts is told at once, not when it comes up by lot: it may hear few, and has little time.
        let known = better
            .into_iter()
            .take(TOLD_BETTER)
            .filter_map(|id| self.members.get(id))
            .map(|p| p.claim(now));
        let known: Vec<Update> = known.collect();
        self.say(now, from.address, MessageBody::Updates, known, out);
    }

    /// Of whom more is known here than the sender knows, if it doubts somebody wrongly.
    fn on_claim(
        &mut self,
        now: Micros,
        from: NodeInfo,
        claim: Update,
        out: &mut Vec<PeerAction>,
    ) -> Option<PeerId> {
        let id = claim.node.id;
        if id == self.me.id {
            self.hear_of_me(now, claim.node.incarnation);
            if claim.node.incarnation == self.me.incarnation && claim.state != ReportedState::Alive
            {
                // Somebody cannot hear me: my own word is passed on, and I look at myself first.
                self.pending_updates.add(id);
                self.strain = (self.strain + 1).min(MOST_STRAIN);
                return Some(id);
            }
            return None;
        }
        if self.members.get(id).is_some_and(|p| p.says(&claim)) {
            let doubt = matches!(claim.state, ReportedState::Suspected { .. });
            self.pending_updates.heard(id, doubt, self.members.len());
        }
        match claim.state {
            ReportedState::Alive => {
                let known = self.members.get(id).map(|p| p.state);
                let took = self.learn(now, claim, By::Other(from.id), out);
                let is = self.members.get(id).map(|p| p.state);
                // A node's own answer to a doubt is passed on though there is none here.
                if took && id == from.id && known == is {
                    self.pending_updates.add(id);
                }
            }
            ReportedState::Suspected { since } => {
                let asked = now.saturating_sub(since);
                let known = self.members.get(id);
                if known.is_some_and(|p| {
                    p.node.incarnation > claim.node.incarnation || p.learned > asked
                }) {
                    // A refutation that is kept to oneself leaves the others with their doubt.
                    if !mutations::is_active(Mutation::RefutationKept) {
                        return Some(id);
                    }
                } else if self.learn(now, claim, By::Other(from.id), out) {
                    self.doubt(now, id, asked, out);
                }
            }
            ReportedState::Left => {
                let known = self.members.get(id).map(|p| (p.node.incarnation, p.state));
                if known.is_some_and(|k| k.0 == claim.node.incarnation && k.1 != PeerState::Left)
                    && self
                        .members
                        .witness(id, claim.node.incarnation, true, from.id)
                        >= WITNESSES
                {
                    self.left(claim.node, out);
                }
            }
        }
        None
    }

    /// Whether the evidence counts (it need not be news).
    fn learn(&mut self, now: Micros, claim: Update, by: By, out: &mut Vec<PeerAction>) -> bool {
        let known = self
            .members
            .get(claim.node.id)
            .map(|p| (p.state, p.node.incarnation));
        let spans = (self.settings.death_timeout, self.settings.tombstone_ttl);
        if !self.members.learn(now, &claim, by, spans, out) {
            return false;
        }
        let id = claim.node.id;
        let Some(peer) = self.members.get(id).copied() else {
            return false;
        };
        match known {
            None => {
                if by.direct() && (!self.whole || self.seeds.contains(&peer.node.address)) {
                    self.take_whole(now, peer.node.address, out);
                }
                // What was dead before it was known here is no news to others.
                if peer.state == PeerState::Alive {
                    self.pending_updates.add_quietly(id);
                }
                let at = self.lot(self.ring.len() + 1);
                self.ring.insert(at, id);
            }
            Some((was, start)) => {
                let again = was != PeerState::Alive && peer.state == PeerState::Alive;
                if again || start != peer.node.incarnation {
                    self.pending_updates.add(id);
                }
                if again && was == PeerState::Dead && by.direct() {
                    // We were apart: what each half knows is compared whole.
                    self.take_whole(now, peer.node.address, out);
                }
            }
        }
        true
    }

    /// Somebody may be there: whoever answers is known by that.
    fn call_on(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<PeerAction>) {
        let seq = self.next_seq();
        if self.calls.len() >= CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(seq);
        self.send(now, to, MessageBody::Ping { seq }, out);
    }

    /// Begins to take in somebody's whole view, page by page; one at a time, for one that heals a split brings all.
    fn take_whole(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<PeerAction>) {
        if self.paging.is_none() {
            self.paging = Some(Paging {
                from,
                after: None,
                asked: now,
            });
            self.send(
                now,
                from,
                MessageBody::ViewRequest {
                    after: None,
                    whole: true,
                },
                out,
            );
        }
    }

    fn on_page(
        &mut self,
        now: Micros,
        by: SocketAddr,
        next: Option<PeerId>,
        (last, confirmed): (bool, bool),
        out: &mut Vec<PeerAction>,
    ) {
        let Some(paging) = self.paging.as_mut().filter(|p| p.from == by) else {
            return;
        };
        if last {
            (self.paging, self.paged, self.paged_once) = (None, now, true);
            self.whole |= confirmed;
        } else if next.is_some() && next > paging.after {
            (paging.after, paging.asked) = (next, now);
            self.send(
                now,
                by,
                MessageBody::ViewRequest {
                    after: next,
                    whole: true,
                },
                out,
            );
        }
    }

    /// A page that was lost is asked for again, of somebody else: names have one order everywhere.
    fn page_on(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        // Nobody who is heard knows the same nodes: something was missed. Those that begin together are in nobody's whole
        // view, and what is said a few times does not reach all.
        if let Some(from) = self
            .differs
            .filter(|_| now >= self.same.max(self.paged) + self.differ_wait)
        {
            if self.paging.is_none() {
                // One that is cut off on one side sees other things than the rest, for as long as that lasts.
                let view = self.view();
                let helped = self.compared != view;
                self.differ_wait = if helped {
                    DIFFER
                } else {
                    (2 * self.differ_wait).min(MOST_DIFFER)
                };
                self.compared = view;
            }
            self.take_whole(now, from, out);
        }
        // Guards against nodes that start together taking each other's few for all: whole is what comes from one that is
        // confirmed, or as many as the owner said, or what there is after a while.
        if !self.whole && self.paged_once {
            let known = 1 + self.members.len() as u32;
            self.whole = known >= self.floor || now >= self.began + self.settings.settle_time;
        }
        if !self.whole && self.paging.is_none() && now >= self.paged + DIFFER {
            if let Some(to) = self.some_peer() {
                self.take_whole(now, to, out);
            }
        }
        if self
            .paging
            .as_ref()
            .is_none_or(|p| now < p.asked + self.wait().max(PAGE_WAIT))
        {
            return;
        }
        let to = self.some_peer();
        match (&mut self.paging, to) {
            (Some(paging), Some(to)) => {
                (paging.from, paging.asked) = (to, now);
                let after = paging.after;
                self.send(
                    now,
                    to,
                    MessageBody::ViewRequest { after, whole: true },
                    out,
                );
            }
            _ => self.paging = None,
        }
    }

    fn doubt(&mut self, now: Micros, id: PeerId, asked: Micros, out: &mut Vec<PeerAction>) {
        if let Some(peer) = self.members.get_mut(id) {
            // A silence is as old as the first question in it; before that, nobody asked.
            if peer.state == PeerState::Alive {
                (peer.asked, peer.doubted, peer.last_asks) = (asked, now, 0);
            }
            peer.asked = peer.asked.min(asked);
        }
        if self
            .members
            .set(id, PeerState::Alive, PeerState::Suspected, out)
        {
            self.pending_updates.add(id);
        }
    }

    fn left(&mut self, node: NodeInfo, out: &mut Vec<PeerAction>) {
        if self.members.leave(node, out) {
            self.pending_updates.add(node.id);
        }
    }

    /// Moves time on: probes, judges silences, looks for those who are away.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        if self.healthy() && now.saturating_sub(self.last_tick) > self.settings.pause_threshold {
            self.woke = now;
            self.strain = MOST_STRAIN;
            // Whoever doubts it by now hears of it before the silence is a death.
            self.pending_updates.add(self.me.id);
            for _ in 0..WAKE + self.members.len() / 16 {
                if let Some(to) = self.some_peer() {
                    self.send(now, to, MessageBody::Updates, out);
                }
            }
            // What they would have heard meanwhile tells of me, not of those asked.
            self.probes.clear();
            self.errands.clear();
        }
        self.last_tick = now;
        self.judge_probes(now, out);
        self.judge_silences(now, out);
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_interval;
            self.probe(now, out);
        }
        // What is new spreads at once; in quiet times nothing is sent for it.
        if self.pending_updates.urgent() {
            if let Some(to) = self.some_peer() {
                self.send(now, to, MessageBody::Updates, out);
            }
        }
        if now >= self.next_reach {
            self.next_reach = now
                + self.settings.reconnect_interval / 2
                + self.lot_span(self.settings.reconnect_interval);
            self.reach_out(now, out);
        }
        self.page_on(now, out);
        if now >= self.next_page {
            self.next_page =
                now + self.settings.sync_interval / 2 + self.lot_span(self.settings.sync_interval);
            let here: Vec<PeerId> = self.members.here().map(|p| p.node.id).collect();
            if let Some(to) = self.some_peer() {
                let after = here[self.lot(here.len())];
                self.send(
                    now,
                    to,
                    MessageBody::ViewRequest {
                        after: Some(after),
                        whole: false,
                    },
                    out,
                );
            }
        }
    }

    fn some_peer(&mut self) -> Option<SocketAddr> {
        // Guards against most of what is said going to the dead, where many died at once.
        let alive = self
            .members
            .here()
            .filter(|p| p.state == PeerState::Alive)
            .count();
        let any = alive == 0;
        let at = self.lot(if any {
            self.members.here().count()
        } else {
            alive
        });
        let mut those = self
            .members
            .here()
            .filter(|p| any || p.state == PeerState::Alive);
        those.nth(at).map(|p| p.node.address)
    }

    fn healthy(&self) -> bool {
        self.settings.local_health && !mutations::is_active(Mutation::NeverDoubtsItself)
    }

    fn wait(&self) -> Micros {
        self.settings.ack_timeout * u64::from(1 + if self.healthy() { self.strain } else { 0 })
    }

    fn judge_probes(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let wait = self.wait();
        // Most pauses end before it: nobody else need hear of them. What is left is enough to reach all in time.
        let doubt_after = self
            .settings
            .suspicion_timeout
            .min(self.settings.death_timeout * 3 / 8);
        let open: Vec<(u64, Probe)> = self.probes.iter().map(|(seq, p)| (*seq, *p)).collect();
        for (seq, probe) in open {
            let since = now.saturating_sub(probe.sent);
            let Some(target) = self.members.get(probe.of).copied() else {
                self.probes.remove(&seq);
                continue;
            };
            if !probe.relayed && since >= wait {
                let others = self.relays(probe.of);
                let mut asked = 0;
                for _ in 0..self.settings.indirect_probes.min(others.len()) {
                    let to = others[self.lot(others.len())];
                    self.send(
                        now,
                        to,
                        MessageBody::PingRequest {
                            seq,
                            to: target.node,
                        },
                        out,
                    );
                    asked += 1;
                }
                if let Some(probe) = self.probes.get_mut(&seq) {
                    (probe.relayed, probe.mute) = (true, asked);
                }
            } else if probe.relayed && since < doubt_after.max(3 * wait) {
                // Guards against doubts by chance: of a lossy network each would be told to all and answered by all.
                self.send(now, target.node.address, MessageBody::Ping { seq }, out);
            } else if probe.relayed {
                self.probes.remove(&seq);
                // Relays that say nothing tell of me as much as of the one probed, unless others are heard: where most were
                // killed at once they are most of the relays.
                if probe.mute > 0 && self.heard_any < probe.sent + wait {
                    self.strain = (self.strain + 1).min(MOST_STRAIN);
                }
                // Whoever was heard since, by whomever, is not silent.
                if target.learned < probe.sent {
                    self.doubt(now, probe.of, probe.sent, out);
                }
            }
        }
        let ack_after = self.settings.ack_timeout;
        let over: Vec<u64> = self
            .errands
            .iter()
            .filter(|e| now >= e.1.sent + ack_after)
            .map(|e| *e.0)
            .collect();
        for seq in over {
            if let Some(errand) = self.errands.remove(&seq) {
                self.send(now, errand.back, MessageBody::Nack { seq: errand.seq }, out);
            }
        }
    }

    fn judge_silences(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        // While nobody at all is heard, their silence tells of me.
        let healthy = self.healthy();
        let (times, from) = if healthy && self.is_isolated(now) {
            (ALONE, self.heard_any)
        } else {
            (1, 0)
        };
        let (most, from) = (self.settings.death_timeout * times, self.woke.max(from));
        let since = |p: &Peer| p.asked.max(p.learned).max(from);
        // A doubt that comes late, from one that waits long, is known here for a while before it counts.
        let notice = match mutations::is_active(Mutation::NeverDoubtsItself) {
            true => 0,
            false => self
                .settings
                .suspicion_notice
                .min(self.settings.death_timeout / 2),
        };
        let silent = |p: &&Peer| {
            p.state == PeerState::Suspected
                && now.saturating_sub(since(p)) >= most
                && now.saturating_sub(p.doubted) >= notice
                && (p.last_asks >= LAST_ASKS || !healthy)
        };
        // Guards against a death that only came before the word of its end: whoever is about to count one asks for itself.
        // Each look asks and the next one hears: a node that could not look for a while asks first.
        let mut last = Vec::new();
        let near = self
            .members
            .suspected()
            .filter(|p| now + LAST_ASK >= since(p) + most);
        for peer in near.take(LAST_ASKED) {
            peer.last_asks = peer.last_asks.saturating_add(1);
            last.push((peer.node, peer.last_asks % 2 == 1));
        }
        for (node, through) in last {
            self.call_on(now, node.address, out);
            // Through another as well: its answer may not reach us.
            let others = if through {
                self.relays(node.id)
            } else {
                Vec::new()
            };
            if !others.is_empty() {
                let (seq, to) = (self.next_seq(), others[self.lot(others.len())]);
                self.send(now, to, MessageBody::PingRequest { seq, to: node }, out);
            }
        }
        let dead: Vec<PeerId> = self
            .members
            .all()
            .filter(silent)
            .map(|p| p.node.id)
            .collect();
        for id in dead {
            if self
                .members
                .set(id, PeerState::Suspected, PeerState::Dead, out)
            {
                // Said again: where many died at once, most of what was said of them went to the dead.
                self.pending_updates.add_quietly(id);
            }
        }
        self.members.settle_leases(now);
        let keep = self.settings.tombstone_ttl;
        for id in self.members.forget(now, keep) {
            self.pending_updates.remove(id);
            self.ring.retain(|r| *r != id);
        }
    }

    fn probe(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        for _ in 0..self.ring.len() {
            let Some(id) = self.ring.pop() else { break };
            // Back in at a place by lot in the older half: each comes up once in about a round.
            let at = self.lot(self.ring.len() / 2 + 1);
            self.ring.insert(at, id);
            let Some(peer) = self.members.get(id).copied() else {
                continue;
            };
            if matches!(peer.state, PeerState::Dead | PeerState::Left) {
                continue;
            }
            let seq = self.next_seq();
            let probe = Probe {
                of: id,
                sent: now,
                relayed: false,
                mute: 0,
            };
            self.probes.insert(seq, probe);
            // The one in doubt hears of it first of all.
            let extra = (peer.state == PeerState::Suspected).then(|| peer.claim(now));
            self.send_with(
                now,
                peer.node.address,
                MessageBody::Ping { seq },
                extra,
                out,
            );
            return;
        }
    }

    /// Who may be asked to probe another: rather those who are heard here, for another's answer would not come back.
    fn relays(&self, of: PeerId) -> Vec<SocketAddr> {
        let here = || self.members.here().filter(|p| p.node.id != of);
        let heard = here().filter(|p| p.state == PeerState::Alive && !p.indirect_only);
        let others: Vec<SocketAddr> = heard.map(|p| p.node.address).collect();
        match others.len() < self.settings.indirect_probes {
            true => here().map(|p| p.node.address).collect(),
            false => others,
        }
    }

    /// Looks for one that is dead, and for given addresses at which nobody is known: halves that were apart find each
    /// other again by this.
    fn reach_out(&mut self, now: Micros, out: &mut Vec<PeerAction>) {
        let here: Vec<SocketAddr> = self.members.here().map(|p| p.node.address).collect();
        let dead = self
            .members
            .all()
            .filter(|p| p.state == PeerState::Dead && !p.confirmed_gone);
        let mut away: Vec<SocketAddr> = dead.map(|p| p.node.address).collect();
        away.extend(
            self.seeds
                .iter()
                .filter(|s| **s != self.me.address && !here.contains(s)),
        );
        // One that hears nobody may still be heard, if it speaks.
        let most = if self.is_isolated(now) { WAKE } else { REACH };
        for _ in 0..most.min(away.len()) {
            let to = away.swap_remove(self.lot(away.len()));
            self.call_on(now, to, out);
        }
    }

    fn page(&self, now: Micros, after: Option<PeerId>) -> (Vec<Update>, Option<PeerId>) {
        // The dead as well, while they may be sending: one that starts in one half is to count the other.
        let mut all = self
            .members
            .all()
            .filter(|p| !p.confirmed_gone && after.is_none_or(|a| p.node.id > a));
        let updates: Vec<Update> = all.by_ref().take(PAGE).map(|p| p.claim(now)).collect();
        let next = updates
            .last()
            .map(|c| c.node.id)
            .filter(|_| all.next().is_some());
        (updates, next)
    }

    fn send(&mut self, now: Micros, to: SocketAddr, body: MessageBody, out: &mut Vec<PeerAction>) {
        self.send_with(now, to, body, None, out);
    }

    fn send_with(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: MessageBody,
        extra: impl IntoIterator<Item = Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let extra: Vec<Update> = extra.into_iter().collect();
        let taken = if let MessageBody::ViewPage { updates, .. } = &body {
            updates.len()
        } else {
            0
        };
        let room = (MAX_UPDATES - taken).saturating_sub(extra.len());
        let (me, heartbeat, members) = (self.me, self.heartbeat(now), &self.members);
        let of = |id: PeerId| match id == me.id {
            true => Some(Update {
                node: me,
                heartbeat,
                age: 0,
                state: ReportedState::Alive,
            }),
            false => members.get(id).map(|p| p.claim(now)),
        };
        let mut updates = self.pending_updates.take(room, members.len(), of);
        updates.extend(extra);
        self.say(now, to, body, updates, out);
    }

    /// Says this and nothing beside it.
    fn say(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: MessageBody,
        updates: Vec<Update>,
        out: &mut Vec<PeerAction>,
    ) {
        let message = Message {
            from: self.me,
            heartbeat: self.heartbeat(now),
            view_digest: self.view(),
            body,
            updates,
        };
        out.push(PeerAction::Send { to, message });
    }

    /// This node's uptime in milliseconds.
    fn heartbeat(&self, now: Micros) -> u64 {
        now.saturating_sub(self.began) / 1_000
    }

    /// A digest of the nodes that may be here, this one among them, and of who is dead; never 0.
    fn view(&mut self) -> u32 {
        let me = view::mark(&self.me);
        ((self.members.digest() ^ me) as u32).max(1)
    }
    /// A number that nobody guesses who does not hear it: an answer with it is to this question.
    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        mix(self.step() ^ self.seq)
    }
    fn step(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.random
    }
    fn lot(&mut self, below: usize) -> usize {
        (mix(self.step()) % below.max(1) as u64) as usize
    }
    fn lot_span(&mut self, below: Micros) -> Micros {
        self.lot(below.max(1) as usize) as Micros
    }
}
