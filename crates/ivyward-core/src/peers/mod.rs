//! The peers decider: which nodes are here. Messages heard and time in, messages to send and changes of the view out.
//!
//! It decides whom to probe, whom to doubt, when a silence is a death, and what is passed on to whom. No I/O, no clock, no
//! hash order: the caller moves messages and time. Nothing here knows of requests. docs/peers.md weighs the ways.
//!
//! What it holds to:
//! - Evidence is a *beat*: a node's own uptime, told in each of its messages and passed on by those who heard it. A higher
//!   beat is later evidence, whoever brings it. So nothing has to be refuted by number, and no word kills: a node dies of
//!   silence alone, judged by each node for itself: when nobody who can be heard has heard it for `death_after` since a
//!   question that it left unanswered.
//! - A failed probe, direct and through others, only doubts. The doubt spreads with the last beat known; who has heard a
//!   later one passes that on. A pair that cannot hear each other while others can is a fact of a link ([`Peer::unheard`]).
//! - A node that slept, seen by its own clock, doubts itself first: its time away is no silence of the others. One that
//!   hears nobody waits several times as long.
//! - A beat ahead of what the time since the first one allows is a lie or a broken clock, and is dropped; one far behind
//!   the last is a repeat of something old. The answer to this node's own question is proof in itself.
//! - The count of nodes that may still be sending ([`Peers::count`]) falls for those who said that they leave, were started
//!   again, or are silent and their lease and its grace are over; never for silence alone.
//! - Answers go to the address a node announces; the source of a message is never seen here.

mod gossip;
mod view;

pub use gossip::{About, Body, Card, Claim, Message, Out, PeerId, MOST_CLAIMS};
pub use view::{Peer, Standing};

use crate::interface::Micros;
use crate::planted::{self, Defect};
use crate::state::mix;
use gossip::Rumours;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use view::{By, Members, WITNESSES};

/// Claims in one page of an exchange of the whole view.
const PAGE: usize = MOST_CLAIMS - 4;
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
    pub period: Micros,
    /// Without an answer for so long others are asked to probe.
    pub ack_after: Micros,
    /// How many are asked.
    pub relays: usize,
    /// Nodes that started together take what they know for all after this, if the owner said a higher number.
    pub settle: Micros,
    /// A silence is told to others after this.
    pub doubt_after: Micros,
    /// Silence towards everybody that is a death.
    pub death_after: Micros,
    /// A doubt is known here for at least so long before it is a death.
    pub notice: Micros,
    /// A gap in the node's own time that is a pause.
    pub pause: Micros,
    /// One that is dead is looked for in each such span.
    pub reach_out: Micros,
    /// A part of the whole view is compared with some node in each such span.
    pub page_every: Micros,
    /// The dead are forgotten after this time.
    pub keep_dead: Micros,
    /// A run whose lease is over goes on sending for no longer than this.
    pub lease_grace: Micros,
    /// The node looks at itself first: it waits longer the worse it hears, counts no silence from before it woke, and asks
    /// for itself before it counts a death. Without it a baseline to measure against.
    pub own_health: bool,
    /// Most peers that are remembered; later ones are not taken.
    pub most: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        PeerSettings {
            period: 125_000,
            ack_after: 80_000,
            relays: 3,
            settle: 60_000_000,
            doubt_after: 900_000,
            death_after: 2_400_000,
            notice: 1_000_000,
            pause: 600_000,
            reach_out: 1_000_000,
            page_every: 10_000_000,
            keep_dead: 3_600_000_000,
            lease_grace: 5_000_000,
            own_health: true,
            most: 4_096,
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
    me: Card,
    began: Micros,
    settings: PeerSettings,
    random: u64,
    members: Members,
    rumours: Rumours,
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
    /// Somebody's whole view was taken in, whether that one was sure of it or not.
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
    /// A node that knows its own card and some addresses. `seed` feeds its lots.
    pub fn new(
        now: Micros,
        me: Card,
        seeds: Vec<SocketAddr>,
        settings: PeerSettings,
        seed: u64,
    ) -> Peers {
        Peers {
            me,
            began: now,
            settings,
            random: mix(seed ^ me.start),
            members: Members::new(settings.most),
            rumours: Rumours::default(),
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
    pub fn tick_span(&self) -> Micros {
        (self.settings.ack_after / 2).max(1)
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
    pub fn count(&self) -> u32 {
        let doubted = |p: &Peer| planted::is(Defect::CountOnDoubt) && p.standing != Standing::Alive;
        let known = self
            .members
            .all()
            .filter(|p| !p.certain && !doubted(p))
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
    pub fn me(&self) -> Card {
        self.me
    }
    /// Whether the view is whole, and its count therefore good.
    pub fn joined(&self) -> bool {
        self.whole
    }
    /// Whether nobody has been heard for long although others are known.
    pub fn alone(&self, now: Micros) -> bool {
        now.saturating_sub(self.heard_any.max(self.woke)) > 4 * self.settings.period
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
    pub fn record(&mut self, now: Micros, card: Card, out: &mut Vec<Out>) {
        if card.id == self.me.id {
            return;
        }
        if self.leased.len() < self.settings.most || self.leased.contains_key(&card.id) {
            self.leased.insert(card.id, card.start);
        }
        match self.members.get_mut(card.id) {
            Some(peer) if peer.card.start == card.start => peer.lease_over = None,
            Some(peer) if peer.card.start > card.start => {}
            _ => self.call_on(now, card.address, out),
        }
    }

    /// The store's record of a node is gone: its lease is over. After the grace it is certainly gone, if it is silent.
    pub fn record_gone(&mut self, now: Micros, id: PeerId) {
        let Some(start) = self.leased.remove(&id) else {
            return;
        };
        if let Some(peer) = self.members.get_mut(id).filter(|p| p.card.start == start) {
            peer.lease_over = Some(now + self.settings.lease_grace);
        }
    }

    /// This node leaves: everybody who is here is told, once each.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Out>) {
        let all: Vec<SocketAddr> = self.members.here().map(|p| p.card.address).collect();
        all.into_iter()
            .for_each(|to| self.send(now, to, Body::Leave, out));
    }

    /// Takes in a message.
    pub fn hear(&mut self, now: Micros, message: Message, out: &mut Vec<Out>) {
        let Message {
            from,
            beat,
            view,
            body,
            claims,
        } = message;
        if from.id == self.me.id {
            self.hear_of_me(now, from.start);
            return;
        }
        // Only who got the question knows its number: whatever was thought of its clock, that was now.
        let proof = matches!(body, Body::Ack { seq, of }
            if of == from.id && (self.probes.get(&seq).is_some_and(|p| p.of == of) || self.calls.contains(&seq)));
        let by = if proof { By::Proof } else { By::Itself };
        if !self.learn(
            now,
            Claim {
                card: from,
                beat,
                ago: 0,
                about: About::Here,
            },
            by,
            out,
        ) {
            if let Some(peer) = self
                .members
                .get(from.id)
                .filter(|p| p.card.start > from.start)
                .copied()
            {
                // It does not know that it is over, or that its clock went back.
                self.send_with(now, from.address, Body::Gossip, Some(peer.claim(now)), out);
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
            Body::Ping { seq } => self.send(
                now,
                from.address,
                Body::Ack {
                    seq,
                    of: self.me.id,
                },
                out,
            ),
            Body::Ack { seq, of } => self.on_ack(now, seq, of, out),
            Body::Relay { seq, to } => {
                let mine = self.next_seq();
                let errand = Errand {
                    of: to.id,
                    sent: now,
                    back: from.address,
                    seq,
                };
                // As many as come in before they are over; one node's probes ask a few others each.
                if self.errands.len() < self.settings.most {
                    self.errands.insert(mine, errand);
                    self.send(now, to.address, Body::Ping { seq: mine }, out);
                }
            }
            Body::Nack { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    probe.mute = probe.mute.saturating_sub(1);
                }
            }
            Body::Ask { after, whole } => {
                let (page, next) = self.page(now, after);
                let (next, last) = (next.filter(|_| whole), whole && next.is_none());
                let body = Body::Page {
                    claims: page,
                    next,
                    last,
                    sure: self.whole,
                };
                self.send(now, from.address, body, out);
            }
            Body::Page {
                claims,
                next,
                last,
                sure,
            } => {
                self.on_page(now, from.address, next, (last, sure), out);
                self.on_claims(now, from, claims, out);
            }
            Body::Leave => self.left(from, out),
            Body::Gossip => {}
        }
        self.on_claims(now, from, claims, out);
    }

    fn on_ack(&mut self, now: Micros, seq: u64, of: PeerId, out: &mut Vec<Out>) {
        if let Some(errand) = self.errands.get(&seq).copied().filter(|e| e.of == of) {
            self.errands.remove(&seq);
            // With the word that it was heard, which is evidence.
            let heard = self.members.get(of).map(|p| p.claim(now));
            self.send_with(
                now,
                errand.back,
                Body::Ack {
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
                peer.unheard = probe.relayed && peer.direct < probe.sent;
            }
        }
    }

    /// Somebody knows of a run of this node's name that began so.
    fn hear_of_me(&mut self, now: Micros, start: u64) {
        if start <= self.me.start {
            return;
        }
        if now.saturating_sub(self.began) >= YOUNG {
            self.superseded = true;
        } else if start - self.me.start < FAR_START {
            self.me.start = start + 1;
        }
    }

    fn on_claims(&mut self, now: Micros, from: Card, claims: Vec<Claim>, out: &mut Vec<Out>) {
        let better: Vec<PeerId> = claims
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
        let known: Vec<Claim> = known.collect();
        self.say(now, from.address, Body::Gossip, known, out);
    }

    /// Of whom more is known here than the sender knows, if it doubts somebody wrongly.
    fn on_claim(
        &mut self,
        now: Micros,
        from: Card,
        claim: Claim,
        out: &mut Vec<Out>,
    ) -> Option<PeerId> {
        let id = claim.card.id;
        if id == self.me.id {
            self.hear_of_me(now, claim.card.start);
            if claim.card.start == self.me.start && claim.about != About::Here {
                // Somebody cannot hear me: my own word is passed on, and I look at myself first.
                self.rumours.add(id);
                self.strain = (self.strain + 1).min(MOST_STRAIN);
                return Some(id);
            }
            return None;
        }
        if self.members.get(id).is_some_and(|p| p.says(&claim)) {
            let doubt = matches!(claim.about, About::Silent { .. });
            self.rumours.heard(id, doubt, self.members.len());
        }
        match claim.about {
            About::Here => {
                let known = self.members.get(id).map(|p| p.standing);
                let took = self.learn(now, claim, By::Other(from.id), out);
                let is = self.members.get(id).map(|p| p.standing);
                // A node's own answer to a doubt is passed on though there is none here.
                if took && id == from.id && known == is {
                    self.rumours.add(id);
                }
            }
            About::Silent { since } => {
                let asked = now.saturating_sub(since);
                let known = self.members.get(id);
                if known.is_some_and(|p| p.card.start > claim.card.start || p.learned > asked) {
                    // A refutation that is kept to oneself leaves the others with their doubt.
                    if !planted::is(Defect::RefutationKept) {
                        return Some(id);
                    }
                } else if self.learn(now, claim, By::Other(from.id), out) {
                    self.doubt(now, id, asked, out);
                }
            }
            About::Left => {
                let known = self.members.get(id).map(|p| (p.card.start, p.standing));
                if known.is_some_and(|k| k.0 == claim.card.start && k.1 != Standing::Left)
                    && self.members.witness(id, claim.card.start, true, from.id) >= WITNESSES
                {
                    self.left(claim.card, out);
                }
            }
        }
        None
    }

    /// Whether the evidence counts (it need not be news).
    fn learn(&mut self, now: Micros, claim: Claim, by: By, out: &mut Vec<Out>) -> bool {
        let known = self
            .members
            .get(claim.card.id)
            .map(|p| (p.standing, p.card.start));
        let spans = (self.settings.death_after, self.settings.keep_dead);
        if !self.members.learn(now, &claim, by, spans, out) {
            return false;
        }
        let id = claim.card.id;
        let Some(peer) = self.members.get(id).copied() else {
            return false;
        };
        match known {
            None => {
                if by.direct() && (!self.whole || self.seeds.contains(&peer.card.address)) {
                    self.take_whole(now, peer.card.address, out);
                }
                // What was dead before it was known here is no news to others.
                if peer.standing == Standing::Alive {
                    self.rumours.add_quietly(id);
                }
                let at = self.lot(self.ring.len() + 1);
                self.ring.insert(at, id);
            }
            Some((was, start)) => {
                let again = was != Standing::Alive && peer.standing == Standing::Alive;
                if again || start != peer.card.start {
                    self.rumours.add(id);
                }
                if again && was == Standing::Dead && by.direct() {
                    // We were apart: what each half knows is compared whole.
                    self.take_whole(now, peer.card.address, out);
                }
            }
        }
        true
    }

    /// Somebody may be there: whoever answers is known by that.
    fn call_on(&mut self, now: Micros, to: SocketAddr, out: &mut Vec<Out>) {
        let seq = self.next_seq();
        if self.calls.len() >= CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(seq);
        self.send(now, to, Body::Ping { seq }, out);
    }

    /// Begins to take in somebody's whole view, page by page; one at a time, for one that heals a split brings all.
    fn take_whole(&mut self, now: Micros, from: SocketAddr, out: &mut Vec<Out>) {
        if self.paging.is_none() {
            self.paging = Some(Paging {
                from,
                after: None,
                asked: now,
            });
            self.send(
                now,
                from,
                Body::Ask {
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
        (last, sure): (bool, bool),
        out: &mut Vec<Out>,
    ) {
        let Some(paging) = self.paging.as_mut().filter(|p| p.from == by) else {
            return;
        };
        if last {
            (self.paging, self.paged, self.paged_once) = (None, now, true);
            self.whole |= sure;
        } else if next.is_some() && next > paging.after {
            (paging.after, paging.asked) = (next, now);
            self.send(
                now,
                by,
                Body::Ask {
                    after: next,
                    whole: true,
                },
                out,
            );
        }
    }

    /// A page that was lost is asked for again, of somebody else: names have one order everywhere.
    fn page_on(&mut self, now: Micros, out: &mut Vec<Out>) {
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
        // sure, or as many as the owner said, or what there is after a while.
        if !self.whole && self.paged_once {
            let known = 1 + self.members.len() as u32;
            self.whole = known >= self.floor || now >= self.began + self.settings.settle;
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
                self.send(now, to, Body::Ask { after, whole: true }, out);
            }
            _ => self.paging = None,
        }
    }

    fn doubt(&mut self, now: Micros, id: PeerId, asked: Micros, out: &mut Vec<Out>) {
        if let Some(peer) = self.members.get_mut(id) {
            // A silence is as old as the first question in it; before that, nobody asked.
            if peer.standing == Standing::Alive {
                (peer.asked, peer.doubted, peer.last_asks) = (asked, now, 0);
            }
            peer.asked = peer.asked.min(asked);
        }
        if self
            .members
            .set(id, Standing::Alive, Standing::Suspected, out)
        {
            self.rumours.add(id);
        }
    }

    fn left(&mut self, card: Card, out: &mut Vec<Out>) {
        if self.members.leave(card, out) {
            self.rumours.add(card.id);
        }
    }

    /// Moves time on: probes, judges silences, looks for those who are away.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.healthy() && now.saturating_sub(self.last_tick) > self.settings.pause {
            self.woke = now;
            self.strain = MOST_STRAIN;
            // Whoever doubts it by now hears of it before the silence is a death.
            self.rumours.add(self.me.id);
            for _ in 0..WAKE + self.members.len() / 16 {
                if let Some(to) = self.some_peer() {
                    self.send(now, to, Body::Gossip, out);
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
            self.next_probe = now + self.settings.period;
            self.probe(now, out);
        }
        // What is new spreads at once; in quiet times nothing is sent for it.
        if self.rumours.urgent() {
            if let Some(to) = self.some_peer() {
                self.send(now, to, Body::Gossip, out);
            }
        }
        if now >= self.next_reach {
            self.next_reach =
                now + self.settings.reach_out / 2 + self.lot_span(self.settings.reach_out);
            self.reach_out(now, out);
        }
        self.page_on(now, out);
        if now >= self.next_page {
            self.next_page =
                now + self.settings.page_every / 2 + self.lot_span(self.settings.page_every);
            let here: Vec<PeerId> = self.members.here().map(|p| p.card.id).collect();
            if let Some(to) = self.some_peer() {
                let after = here[self.lot(here.len())];
                self.send(
                    now,
                    to,
                    Body::Ask {
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
            .filter(|p| p.standing == Standing::Alive)
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
            .filter(|p| any || p.standing == Standing::Alive);
        those.nth(at).map(|p| p.card.address)
    }

    fn healthy(&self) -> bool {
        self.settings.own_health && !planted::is(Defect::NeverDoubtsItself)
    }

    fn wait(&self) -> Micros {
        self.settings.ack_after * u64::from(1 + if self.healthy() { self.strain } else { 0 })
    }

    fn judge_probes(&mut self, now: Micros, out: &mut Vec<Out>) {
        let wait = self.wait();
        // Most pauses end before it: nobody else need hear of them. What is left is enough to reach all in time.
        let doubt_after = self
            .settings
            .doubt_after
            .min(self.settings.death_after * 3 / 8);
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
                for _ in 0..self.settings.relays.min(others.len()) {
                    let to = others[self.lot(others.len())];
                    self.send(
                        now,
                        to,
                        Body::Relay {
                            seq,
                            to: target.card,
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
                self.send(now, target.card.address, Body::Ping { seq }, out);
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
        let ack_after = self.settings.ack_after;
        let over: Vec<u64> = self
            .errands
            .iter()
            .filter(|e| now >= e.1.sent + ack_after)
            .map(|e| *e.0)
            .collect();
        for seq in over {
            if let Some(errand) = self.errands.remove(&seq) {
                self.send(now, errand.back, Body::Nack { seq: errand.seq }, out);
            }
        }
    }

    fn judge_silences(&mut self, now: Micros, out: &mut Vec<Out>) {
        // While nobody at all is heard, their silence tells of me.
        let healthy = self.healthy();
        let (times, from) = if healthy && self.alone(now) {
            (ALONE, self.heard_any)
        } else {
            (1, 0)
        };
        let (most, from) = (self.settings.death_after * times, self.woke.max(from));
        let since = |p: &Peer| p.asked.max(p.learned).max(from);
        // A doubt that comes late, from one that waits long, is known here for a while before it counts.
        let notice = match planted::is(Defect::NeverDoubtsItself) {
            true => 0,
            false => self.settings.notice.min(self.settings.death_after / 2),
        };
        let silent = |p: &&Peer| {
            p.standing == Standing::Suspected
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
            last.push((peer.card, peer.last_asks % 2 == 1));
        }
        for (card, through) in last {
            self.call_on(now, card.address, out);
            // Through another as well: its answer may not reach us.
            let others = if through {
                self.relays(card.id)
            } else {
                Vec::new()
            };
            if !others.is_empty() {
                let (seq, to) = (self.next_seq(), others[self.lot(others.len())]);
                self.send(now, to, Body::Relay { seq, to: card }, out);
            }
        }
        let dead: Vec<PeerId> = self
            .members
            .all()
            .filter(silent)
            .map(|p| p.card.id)
            .collect();
        for id in dead {
            if self
                .members
                .set(id, Standing::Suspected, Standing::Dead, out)
            {
                // Said again: where many died at once, most of what was said of them went to the dead.
                self.rumours.add_quietly(id);
            }
        }
        self.members.settle_leases(now);
        let keep = self.settings.keep_dead;
        for id in self.members.forget(now, keep) {
            self.rumours.remove(id);
            self.ring.retain(|r| *r != id);
        }
    }

    fn probe(&mut self, now: Micros, out: &mut Vec<Out>) {
        for _ in 0..self.ring.len() {
            let Some(id) = self.ring.pop() else { break };
            // Back in at a place by lot in the older half: each comes up once in about a round.
            let at = self.lot(self.ring.len() / 2 + 1);
            self.ring.insert(at, id);
            let Some(peer) = self.members.get(id).copied() else {
                continue;
            };
            if matches!(peer.standing, Standing::Dead | Standing::Left) {
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
            let extra = (peer.standing == Standing::Suspected).then(|| peer.claim(now));
            self.send_with(now, peer.card.address, Body::Ping { seq }, extra, out);
            return;
        }
    }

    /// Who may be asked to probe another: rather those who are heard here, for another's answer would not come back.
    fn relays(&self, of: PeerId) -> Vec<SocketAddr> {
        let here = || self.members.here().filter(|p| p.card.id != of);
        let heard = here().filter(|p| p.standing == Standing::Alive && !p.unheard);
        let others: Vec<SocketAddr> = heard.map(|p| p.card.address).collect();
        match others.len() < self.settings.relays {
            true => here().map(|p| p.card.address).collect(),
            false => others,
        }
    }

    /// Looks for one that is dead, and for given addresses at which nobody is known: halves that were apart find each
    /// other again by this.
    fn reach_out(&mut self, now: Micros, out: &mut Vec<Out>) {
        let here: Vec<SocketAddr> = self.members.here().map(|p| p.card.address).collect();
        let dead = self
            .members
            .all()
            .filter(|p| p.standing == Standing::Dead && !p.certain);
        let mut away: Vec<SocketAddr> = dead.map(|p| p.card.address).collect();
        away.extend(
            self.seeds
                .iter()
                .filter(|s| **s != self.me.address && !here.contains(s)),
        );
        // One that hears nobody may still be heard, if it speaks.
        let most = if self.alone(now) { WAKE } else { REACH };
        for _ in 0..most.min(away.len()) {
            let to = away.swap_remove(self.lot(away.len()));
            self.call_on(now, to, out);
        }
    }

    fn page(&self, now: Micros, after: Option<PeerId>) -> (Vec<Claim>, Option<PeerId>) {
        // The dead as well, while they may be sending: one that starts in one half is to count the other.
        let mut all = self
            .members
            .all()
            .filter(|p| !p.certain && after.is_none_or(|a| p.card.id > a));
        let claims: Vec<Claim> = all.by_ref().take(PAGE).map(|p| p.claim(now)).collect();
        let next = claims
            .last()
            .map(|c| c.card.id)
            .filter(|_| all.next().is_some());
        (claims, next)
    }

    fn send(&mut self, now: Micros, to: SocketAddr, body: Body, out: &mut Vec<Out>) {
        self.send_with(now, to, body, None, out);
    }

    fn send_with(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: Body,
        extra: impl IntoIterator<Item = Claim>,
        out: &mut Vec<Out>,
    ) {
        let extra: Vec<Claim> = extra.into_iter().collect();
        let taken = if let Body::Page { claims, .. } = &body {
            claims.len()
        } else {
            0
        };
        let room = (MOST_CLAIMS - taken).saturating_sub(extra.len());
        let (me, beat, members) = (self.me, self.beat(now), &self.members);
        let of = |id: PeerId| match id == me.id {
            true => Some(Claim {
                card: me,
                beat,
                ago: 0,
                about: About::Here,
            }),
            false => members.get(id).map(|p| p.claim(now)),
        };
        let mut claims = self.rumours.take(room, members.len(), of);
        claims.extend(extra);
        self.say(now, to, body, claims, out);
    }

    /// Says this and nothing beside it.
    fn say(
        &mut self,
        now: Micros,
        to: SocketAddr,
        body: Body,
        claims: Vec<Claim>,
        out: &mut Vec<Out>,
    ) {
        let message = Message {
            from: self.me,
            beat: self.beat(now),
            view: self.view(),
            body,
            claims,
        };
        out.push(Out::Send { to, message });
    }

    /// This node's uptime in milliseconds.
    fn beat(&self, now: Micros) -> u64 {
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
