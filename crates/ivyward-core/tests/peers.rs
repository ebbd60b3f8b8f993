//! Many peers on a network of our own, in virtual time: kills, pauses, loss, cuts, splits, restarts, liars.

use ivyward_core::interface::Micros;
use ivyward_core::peers::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_000))
}

fn card(node: usize, start: u64) -> Card {
    Card { id: PeerId(node as u64 + 1), start, zone: (node % 3) as u8, address: address(node) }
}

/// What a directed link does to a message: None loses it, else it comes so much later.
type Way = Box<dyn FnMut(Micros, usize, usize, u64) -> Option<Micros>>;

enum Due {
    Tick(usize, u64),
    Message(usize, Box<Message>),
}

/// A node is up, stopped until then, or gone.
#[derive(Clone, Copy, PartialEq)]
enum Life {
    Up,
    Stopped(Micros),
    Gone,
}

struct Net {
    now: Micros,
    peers: Vec<Peers>,
    life: Vec<Life>,
    starts: Vec<u64>,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Due>,
    seq: u64,
    way: Way,
    /// (when, who, of whom, what).
    changes: Vec<(Micros, usize, PeerId, Standing)>,
    sent: Vec<(u64, u64)>,
    random: u64,
}

fn easy() -> Way {
    Box::new(|_, _, _, lot| Some(200 + lot % 800))
}

fn lossy(share: f64) -> Way {
    Box::new(move |_, _, _, lot| ((lot % 10_000) as f64 >= share * 10_000.0).then_some(200 + lot % 800))
}

impl Net {
    fn new(nodes: usize, seed: u64, way: Way) -> Net {
        let mut net = Net {
            now: 0,
            peers: Vec::new(),
            life: vec![Life::Up; nodes],
            starts: vec![1; nodes],
            heap: BinaryHeap::new(),
            due: BTreeMap::new(),
            seq: 0,
            way,
            changes: Vec::new(),
            sent: vec![(0, 0); nodes],
            random: seed,
        };
        for node in 0..nodes {
            let peers = net.fresh(node, 1);
            net.peers.push(peers);
            // All join within one second.
            let at = net.lot() % SECOND;
            net.at(at, Due::Tick(node, 1));
        }
        net
    }
    fn fresh(&self, node: usize, start: u64) -> Peers {
        let seeds = vec![address(0), address(1)];
        Peers::new(self.now, card(node, start), seeds, PeerSettings::default(), self.random ^ node as u64)
    }
    fn lot(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 20
    }
    fn at(&mut self, at: Micros, due: Due) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.due.insert(self.seq, due);
    }
    fn carry(&mut self, node: usize, out: Vec<Out>) {
        for one in out {
            match one {
                Out::Changed { card, is, .. } => self.changes.push((self.now, node, card.id, is)),
                Out::Send { to, message } => {
                    let [_, _, high, low] = match to.ip() {
                        std::net::IpAddr::V4(ip) => ip.octets(),
                        std::net::IpAddr::V6(_) => unreachable!(),
                    };
                    let target = usize::from(high) * 256 + usize::from(low);
                    let claims = message.claims.len()
                        + if let Body::Page { claims, .. } = &message.body { claims.len() } else { 0 };
                    assert!(claims <= MOST_CLAIMS);
                    self.sent[node].0 += 1;
                    self.sent[node].1 += 80 + 40 * claims as u64;
                    let lot = self.lot();
                    if target < self.peers.len() {
                        if let Some(later) = (self.way)(self.now, node, target, lot) {
                            self.at(self.now + later, Due::Message(target, Box::new(message)));
                        }
                    }
                }
            }
        }
    }
    fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, seq))) = self.heap.peek().copied().filter(|d| d.0 .0 < until) {
            self.heap.pop();
            let Some(due) = self.due.remove(&seq) else { continue };
            self.now = at;
            let node = match &due {
                Due::Tick(node, _) => *node,
                Due::Message(to, _) => *to,
            };
            match self.life[node] {
                Life::Gone => continue,
                // What came meanwhile waits in its socket.
                Life::Stopped(end) if end > at => {
                    self.at(end, due);
                    continue;
                }
                _ => self.life[node] = Life::Up,
            }
            let mut out = Vec::new();
            match due {
                Due::Tick(node, start) if start == self.starts[node] => {
                    self.peers[node].tick(at, &mut out);
                    let next = at + self.peers[node].tick_span();
                    self.at(next, Due::Tick(node, start));
                }
                Due::Tick(..) => {}
                Due::Message(node, message) => self.peers[node].hear(at, *message, &mut out),
            }
            self.carry(node, out);
        }
        self.now = until;
    }
    fn kill(&mut self, node: usize) {
        self.life[node] = Life::Gone;
    }
    fn restart(&mut self, node: usize) {
        self.starts[node] += 1;
        self.life[node] = Life::Up;
        self.peers[node] = self.fresh(node, self.starts[node]);
        self.at(self.now, Due::Tick(node, self.starts[node]));
    }
    fn standing(&self, at: usize, of: usize) -> Option<Standing> {
        self.peers[at].peer(PeerId(of as u64 + 1)).map(|p| p.standing)
    }
    fn live(&self) -> Vec<usize> {
        (0..self.peers.len()).filter(|n| self.life[*n] != Life::Gone).collect()
    }
    /// Whether each live node takes all live ones for alive, and all others for dead or gone.
    fn agreed(&self) -> bool {
        let live = self.live();
        let right = |at: usize, of: usize| match self.standing(at, of) {
            Some(Standing::Alive) => live.contains(&of),
            Some(Standing::Suspected) => false,
            _ => !live.contains(&of),
        };
        live.iter().all(|at| (0..self.peers.len()).all(|of| of == *at || right(*at, of)))
    }
    fn until_agreed(&mut self, most: Micros) -> Option<Micros> {
        let began = self.now;
        while self.now < began + most {
            if self.agreed() {
                return Some(self.now - began);
            }
            self.run(self.now + 50_000);
        }
        None
    }
    fn deaths(&self, since: Micros) -> usize {
        self.changes.iter().filter(|c| c.0 >= since && c.3 == Standing::Dead).count()
    }
}

#[test]
fn all_that_join_within_a_second_know_each_other_soon() {
    let mut net = Net::new(100, 1, easy());
    net.run(SECOND);
    assert!(net.until_agreed(10 * SECOND).is_some());
    assert!(net.peers.iter().all(|p| p.count() == 100));
    assert_eq!(net.deaths(0), 0);
}

#[test]
fn a_kill_is_known_to_all_and_the_count_stays_until_it_is_certain() {
    let mut net = Net::new(64, 2, easy());
    net.run(15 * SECOND);
    assert!(net.agreed());
    net.kill(7);
    let took = net.until_agreed(10 * SECOND).expect("known to all");
    assert!(took <= 4 * SECOND, "{took}");
    // Silence is no proof: it may be cut off from us and go on sending.
    assert!(net.peers[3].count() == 64);
    net.peers[3].lease_over(PeerId(8), 2);
    assert!(net.peers[3].count() == 64, "another run's lease");
    net.peers[3].lease_over(PeerId(8), 1);
    assert!(net.peers[3].count() == 63);
}

/// Guards against taking the others for dead on waking, and against taking a pause of two seconds for a death.
#[test]
fn pauses_kill_nobody_who_comes_back_in_time() {
    let mut net = Net::new(48, 3, easy());
    net.run(15 * SECOND);
    let since = net.now;
    for node in 0..24 {
        net.life[node] = Life::Stopped(net.now + 2 * SECOND);
    }
    net.run(net.now + 10 * SECOND);
    assert_eq!(net.deaths(since), 0);
    assert!(net.agreed());
    // Longer than the stated silence: dead to the others, who are not dead to it, and back once it speaks.
    net.life[5] = Life::Stopped(net.now + 30 * SECOND);
    net.run(net.now + 20 * SECOND);
    assert_eq!(net.standing(9, 5), Some(Standing::Dead));
    let since = net.now;
    net.run(net.now + 10 * SECOND);
    assert!(net.until_agreed(5 * SECOND).is_some());
    assert!(net.changes.iter().filter(|c| c.0 >= since).all(|c| c.3 != Standing::Dead));
}

#[test]
fn loss_and_pauses_together_are_borne() {
    for seed in 0..3 {
        let mut net = Net::new(40, 10 + seed, lossy(0.2));
        net.run(15 * SECOND);
        for minute in 0..2 {
            for node in 0..40 {
                let from = net.now;
                if node % 8 == minute {
                    net.life[node] = Life::Stopped(from + 2 * SECOND);
                }
            }
            net.run(net.now + 30 * SECOND);
        }
        assert_eq!(net.deaths(0), 0, "seed {seed}");
    }
}

/// A cut of one direction of one pair is a fact of that link.
#[test]
fn a_one_sided_cut_of_a_pair_is_no_death() {
    let way: Way = Box::new(|now, from, to, lot| {
        let cut = now > 15 * SECOND && (from, to) == (3, 4);
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = Net::new(24, 4, way);
    net.run(75 * SECOND);
    assert_eq!(net.deaths(0), 0);
    assert!(net.agreed());
    let of = |at: usize, of: usize| *net.peers[at].peer(PeerId(of as u64 + 1)).unwrap();
    // What 4 sends reaches 3, and 3's probes do not reach 4: each is known to live, by others.
    assert!(of(3, 4).standing == Standing::Alive && of(4, 3).standing == Standing::Alive);
    assert!(of(4, 3).unheard, "4 hears nothing of 3");
}

/// A node that hears nobody, and is heard: the others are not dead for it at once, and it lives for all.
#[test]
fn a_node_that_is_deaf_is_alive_to_the_others() {
    let way: Way = Box::new(|now, _, to, lot| (!(now > 15 * SECOND && to == 6)).then_some(200 + lot % 800));
    let mut net = Net::new(24, 5, way);
    net.run(22 * SECOND);
    assert!(net.peers[6].alone(net.now));
    assert_eq!(net.deaths(0), 0);
    net.run(60 * SECOND);
    assert!((0..24).filter(|n| *n != 6).all(|n| net.standing(n, 6) == Some(Standing::Alive)));
}

#[test]
fn halves_that_were_apart_find_each_other() {
    let (from, until) = (15 * SECOND, 75 * SECOND);
    let way: Way = Box::new(move |now, a, b, lot| {
        let cut = (from..until).contains(&now) && a % 2 != b % 2;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = Net::new(40, 6, way);
    net.run(until);
    assert_eq!(net.standing(0, 1), Some(Standing::Dead));
    assert!(net.peers.iter().all(|p| p.count() == 40), "those apart may be sending");
    assert!(net.until_agreed(10 * SECOND).is_some());
}

#[test]
fn a_restarted_node_is_new_at_once_and_its_old_self_gone() {
    let mut net = Net::new(24, 7, easy());
    net.run(15 * SECOND);
    net.restart(9);
    assert!(net.until_agreed(3 * SECOND).is_some());
    net.run(net.now + 5 * SECOND);
    assert!(net.peers.iter().all(|p| p.count() == 24));
    assert!(net.live().iter().all(|n| *n == 9 || net.peers[*n].peer(PeerId(10)).unwrap().card.start == 2));
    // A word of the old run brings nothing back, and tells the old one that it is over.
    let before = net.peers[2].dropped().stale;
    let mut out = Vec::new();
    let old = Message { from: card(9, 1), beat: 99_000, body: Body::Ping { seq: 1 }, claims: vec![] };
    let now = net.now;
    net.peers[2].hear(now, old, &mut out);
    assert!(out.is_empty() && net.peers[2].dropped().stale == before + 1);
    let new = Message { from: card(9, 3), beat: 1, body: Body::Ping { seq: 1 }, claims: vec![] };
    net.peers[9].hear(now, new, &mut out);
    assert!(net.peers[9].superseded());
}

#[test]
fn one_that_leaves_is_gone_at_once_for_those_it_told() {
    let mut net = Net::new(24, 8, easy());
    net.run(15 * SECOND);
    let mut out = Vec::new();
    let now = net.now;
    net.peers[4].leave(now, &mut out);
    net.carry(4, out);
    net.run(net.now + 10_000);
    net.kill(4);
    assert!(net.until_agreed(SECOND).is_some());
    assert!(net.live().iter().all(|n| net.peers[*n].count() == 23));
    // What one other says of a leave is not enough to be sure of.
    let claim = Claim { card: card(7, 1), beat: 1, ago: 0, about: About::Left };
    let lie = Message { from: card(8, 1), beat: 20_000, body: Body::Nack { seq: 0 }, claims: vec![claim] };
    net.peers[2].hear(now, lie, &mut Vec::new());
    assert_eq!(net.standing(2, 7), Some(Standing::Alive));
}

/// Guards against a word that kills: a peer that forges silences of all, and beats ahead of any clock.
#[test]
fn a_liar_has_no_healthy_node_taken_for_dead() {
    let mut net = Net::new(24, 9, easy());
    net.run(15 * SECOND);
    let since = net.now;
    for round in 0..400u64 {
        let now = net.now;
        for node in 1..24 {
            let claims = (1..MOST_CLAIMS)
                .map(|of| {
                    let beat = if round % 2 == 0 { 1 } else { u64::MAX / 2 };
                    Claim { card: card(of, 1), beat, ago: 60 * SECOND, about: About::Silent { since: 0 } }
                })
                .collect();
            let lie = Message { from: card(0, 1), beat: now / 1_000, body: Body::Nack { seq: 0 }, claims };
            let mut out = Vec::new();
            net.peers[node].hear(now, lie, &mut out);
            net.carry(node, out);
        }
        net.run(net.now + 50_000);
    }
    assert_eq!(net.deaths(since), 0);
    assert!(net.peers[5].dropped().implausible > 0);
}

#[test]
fn tombstones_end_and_the_bound_holds() {
    let mut net = Net::new(6, 10, easy());
    net.run(10 * SECOND);
    net.kill(5);
    net.run(20 * SECOND);
    assert_eq!(net.standing(0, 5), Some(Standing::Dead));
    let settings = PeerSettings { most: 8, keep_dead: 30 * SECOND, ..PeerSettings::default() };
    let mut small = Peers::new(0, card(0, 1), vec![], settings, 1);
    for node in 1..20 {
        let hello = Message { from: card(node, 1), beat: 1, body: Body::Ping { seq: 1 }, claims: vec![] };
        small.hear(1, hello, &mut Vec::new());
    }
    assert_eq!((small.peers().count(), small.dropped().over), (8, 11));
    // All fall silent: dead after a while, and later forgotten.
    let mut out = Vec::new();
    for step in 1..2_000 {
        small.tick(step * 40_000, &mut out);
        out.clear();
    }
    assert_eq!(small.peers().count(), 0);
}

#[test]
fn what_a_node_sends_does_not_grow_with_their_number() {
    let mut rates = Vec::new();
    for nodes in [16, 128] {
        let mut net = Net::new(nodes, 11, easy());
        net.run(30 * SECOND);
        let before: u64 = net.sent.iter().map(|s| s.1).sum();
        net.run(60 * SECOND);
        let after: u64 = net.sent.iter().map(|s| s.1).sum();
        rates.push((after - before) / 30 / nodes as u64);
    }
    assert!(rates.iter().all(|r| *r < 3_000), "{rates:?}");
    assert!(rates[1] < rates[0] * 2, "{rates:?}");
}

/// The same seed plays the same run.
#[test]
fn a_run_is_the_same_each_time() {
    let play = || {
        let mut net = Net::new(20, 12, lossy(0.1));
        net.run(10 * SECOND);
        net.kill(3);
        net.run(20 * SECOND);
        (net.changes, net.sent)
    };
    assert!(play() == play());
}
