//! Many peers on a network of datagrams in virtual time: kills, pauses, loss, cuts, splits, restarts; and what is measured
//! on it. Only the deciders run here: what is asked is how soon a view is right, and how often it is wrong.

use ivyward_core::interface::Micros;
use ivyward_core::peers::{
    Message, MessageBody, NodeInfo, PeerAction, PeerId, PeerSettings, PeerState, Peers, MAX_UPDATES,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// Where a node is reached, by its number.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_000))
}

/// How a node announces itself.
pub fn node_info(node: usize, start: u64) -> NodeInfo {
    NodeInfo {
        id: PeerId(node as u64 + 1),
        incarnation: start,
        zone: (node % 3) as u8,
        address: address(node),
    }
}

/// What a directed link does to a message at that time, from one to another, by a lot: loses it, or how much later it comes.
pub type LinkModel = Box<dyn FnMut(Micros, usize, usize, u64) -> Option<Micros>>;

enum Due {
    Tick(usize, u64),
    Message(usize, Box<Message>),
}

/// How a node's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It runs.
    Running,
    /// It is stopped until then; what comes waits in its socket.
    Paused(Micros),
    /// It was killed.
    Killed,
}

/// The network and its nodes.
pub struct PeerNetwork {
    /// The time.
    pub now: Micros,
    /// The deciders.
    pub peers: Vec<Peers>,
    /// How their processes are.
    pub process_states: Vec<ProcessState>,
    starts: Vec<u64>,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Due>,
    seq: u64,
    way: LinkModel,
    /// When who changed its view of whom to what.
    pub changes: Vec<(Micros, usize, PeerId, PeerState)>,
    /// Datagrams and bytes that each sent, at 86 bytes and 46 a claim, which is what they are on the wire by IPv4.
    pub sent: Vec<(u64, u64)>,
    random: u64,
    spans: PeerSettings,
}

/// A network that loses nothing, with 0.2 to 1 ms of way.
pub fn lossless_links() -> LinkModel {
    Box::new(|_, _, _, lot| Some(200 + lot % 800))
}

/// The same that loses this share.
pub fn lossy_links(share: f64) -> LinkModel {
    Box::new(move |_, _, _, lot| {
        ((lot % 10_000) as f64 >= share * 10_000.0).then_some(200 + lot % 800)
    })
}

impl PeerNetwork {
    /// So many nodes, all of which start within the first second and know two addresses.
    pub fn new(nodes: usize, seed: u64, way: LinkModel) -> PeerNetwork {
        PeerNetwork::with_settings(nodes, seed, way, PeerSettings::default())
    }
    /// The same with other spans.
    pub fn with_settings(
        nodes: usize,
        seed: u64,
        way: LinkModel,
        spans: PeerSettings,
    ) -> PeerNetwork {
        let mut net = PeerNetwork {
            spans,
            now: 0,
            peers: Vec::new(),
            process_states: vec![ProcessState::Running; nodes],
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
        Peers::new(
            self.now,
            node_info(node, start),
            seeds,
            self.spans,
            self.random ^ node as u64,
        )
    }
    fn lot(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 20
    }
    fn at(&mut self, at: Micros, due: Due) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.due.insert(self.seq, due);
    }
    /// Takes out what a decider wants done.
    pub fn apply_actions(&mut self, node: usize, out: Vec<PeerAction>) {
        for one in out {
            match one {
                PeerAction::Changed {
                    node: card,
                    current: is,
                    ..
                } => self.changes.push((self.now, node, card.id, is)),
                PeerAction::Send { to, message } => {
                    let [_, _, high, low] = match to.ip() {
                        std::net::IpAddr::V4(ip) => ip.octets(),
                        std::net::IpAddr::V6(_) => unreachable!(),
                    };
                    let target = usize::from(high) * 256 + usize::from(low);
                    let claims = message.updates.len()
                        + if let MessageBody::ViewPage {
                            updates: claims, ..
                        } = &message.body
                        {
                            claims.len()
                        } else {
                            0
                        };
                    debug_assert!(claims <= MAX_UPDATES);
                    self.sent[node].0 += 1;
                    self.sent[node].1 += 86 + 46 * claims as u64;
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
    /// Plays until then.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, seq))) = self.heap.peek().copied().filter(|d| d.0 .0 < until) {
            self.heap.pop();
            let Some(due) = self.due.remove(&seq) else {
                continue;
            };
            self.now = at;
            let node = match &due {
                Due::Tick(node, _) => *node,
                Due::Message(to, _) => *to,
            };
            match self.process_states[node] {
                ProcessState::Killed => continue,
                // What came meanwhile waits in its socket.
                ProcessState::Paused(end) if end > at => {
                    self.at(end, due);
                    continue;
                }
                _ => self.process_states[node] = ProcessState::Running,
            }
            let mut out = Vec::new();
            match due {
                Due::Tick(node, start) if start == self.starts[node] => {
                    self.peers[node].tick(at, &mut out);
                    let next = at + self.peers[node].tick_interval();
                    self.at(next, Due::Tick(node, start));
                }
                Due::Tick(..) => {}
                Due::Message(node, message) => {
                    self.peers[node].handle_message(at, *message, &mut out)
                }
            }
            self.apply_actions(node, out);
        }
        self.now = until;
    }
    /// Kills a node.
    pub fn kill(&mut self, node: usize) {
        self.process_states[node] = ProcessState::Killed;
    }
    /// Starts a node again, under its old name.
    pub fn restart(&mut self, node: usize) {
        self.starts[node] += 1;
        self.process_states[node] = ProcessState::Running;
        self.peers[node] = self.fresh(node, self.starts[node]);
        self.at(self.now, Due::Tick(node, self.starts[node]));
    }
    /// Starts a process in a node's place that announces itself otherwise: another name, another start.
    pub fn restart_as(&mut self, node: usize, card: NodeInfo) {
        self.starts[node] += 1;
        self.process_states[node] = ProcessState::Running;
        self.peers[node] = Peers::new(
            self.now,
            card,
            vec![address(0), address(1)],
            self.spans,
            self.random ^ node as u64,
        );
        self.at(self.now, Due::Tick(node, self.starts[node]));
    }
    /// What one takes another for.
    pub fn peer_state(&self, at: usize, of: usize) -> Option<PeerState> {
        self.peers[at].peer(PeerId(of as u64 + 1)).map(|p| p.state)
    }
    /// Who was not killed.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.peers.len())
            .filter(|n| self.process_states[*n] != ProcessState::Killed)
            .collect()
    }
    /// Whether each live node takes all live ones for alive, and all others for dead or gone.
    pub fn converged(&self) -> bool {
        let live = self.running_nodes();
        let right = |at: usize, of: usize| match self.peer_state(at, of) {
            Some(PeerState::Alive) => live.contains(&of),
            Some(PeerState::Suspected) => false,
            _ => !live.contains(&of),
        };
        live.iter()
            .all(|at| (0..self.peers.len()).all(|of| of == *at || right(*at, of)))
    }
    /// Plays until all agree; how long that took, if it came about in time.
    pub fn run_until_converged(&mut self, most: Micros) -> Option<Micros> {
        let began = self.now;
        while self.now < began + most {
            if self.converged() {
                return Some(self.now - began);
            }
            self.run(self.now + 50_000);
        }
        None
    }
    /// How often somebody was taken for dead from then on.
    pub fn count_deaths(&self, since: Micros) -> usize {
        self.changes
            .iter()
            .filter(|c| c.0 >= since && c.3 == PeerState::Dead)
            .count()
    }
}

/// What is measured for one number of nodes.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// How many nodes.
    pub nodes: usize,
    /// Milliseconds from a kill until half, and all, of the survivors take it for dead; one of each a kill.
    pub half: Vec<u64>,
    /// See `half`.
    pub all: Vec<u64>,
    /// Milliseconds from a kill until each of the survivors took it for dead, all kills together, in order.
    pub detected: Vec<u64>,
    /// Milliseconds from the kill of seven in ten at once until the others agree on it.
    pub mass_kill: Vec<u64>,
    /// Kills that not all survivors knew of after ten seconds.
    pub late: usize,
    /// Loss, hours played, and false deaths (somebody taken for dead by somebody, who was not) with a pause of up to two
    /// seconds of each node a minute.
    pub false_deaths: Vec<(f64, f64, usize)>,
    /// Datagrams and bytes a second a node, in quiet times and with those pauses.
    pub quiet: (f64, f64),
    /// See `quiet`.
    pub paused: (f64, f64),
    /// Milliseconds from the end of a minute's split into halves until all agree.
    pub healed: Vec<u64>,
}

fn settled(nodes: usize, seed: u64, way: LinkModel, spans: PeerSettings) -> PeerNetwork {
    let mut net = PeerNetwork::with_settings(nodes, seed, way, spans);
    net.run(20 * SECOND);
    net.run_until_converged(60 * SECOND);
    net
}

fn rate(net: &PeerNetwork, before: (u64, u64), seconds: f64) -> (f64, f64) {
    let (datagrams, bytes) = total(net);
    let a_node = seconds * net.peers.len() as f64;
    (
        (datagrams - before.0) as f64 / a_node,
        (bytes - before.1) as f64 / a_node,
    )
}

fn total(net: &PeerNetwork) -> (u64, u64) {
    net.sent
        .iter()
        .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
}

/// Plays minutes in which each node is stopped once for up to two seconds; false deaths.
fn pauses(net: &mut PeerNetwork, minutes: u64) -> usize {
    let since = net.now;
    for _ in 0..minutes {
        let began = net.now;
        let mut stops: Vec<(Micros, usize, Micros)> = (0..net.peers.len())
            .map(|node| {
                (
                    began + net.lot() % (55 * SECOND),
                    node,
                    net.lot() % (2 * SECOND),
                )
            })
            .collect();
        stops.sort();
        for (at, node, span) in stops {
            net.run(at);
            net.process_states[node] = ProcessState::Paused(at + span);
        }
        net.run(began + 60 * SECOND);
    }
    net.count_deaths(since)
}

/// One run of a measurement.
enum Run {
    Kill(u64),
    MassKill(u64),
    Split(u64),
    Pauses(f64, u64),
}

/// Measures for one number of nodes, over so many seeds, on so many threads; with these spans. The same on any number of
/// threads.
pub fn measure(
    nodes: usize,
    seeds: u64,
    minutes: u64,
    spans: PeerSettings,
    threads: usize,
) -> Measurements {
    let losses = [0.0, 0.05, 0.2];
    let mut runs: Vec<Run> = (1..=seeds)
        .flat_map(|seed| [Run::Kill(seed), Run::MassKill(seed), Run::Split(seed)])
        .collect();
    runs.extend(
        losses
            .iter()
            .flat_map(|loss| (1..=seeds).map(|seed| Run::Pauses(*loss, 100 + seed))),
    );
    let next = std::sync::atomic::AtomicUsize::new(0);
    let parts: std::sync::Mutex<BTreeMap<usize, Measurements>> = std::sync::Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                let Some(run) = runs.get(at) else { return };
                let part = one(nodes, run, minutes, spans);
                parts
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner)
                    .insert(at, part);
            });
        }
    });
    let parts = parts
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut figures = Measurements {
        nodes,
        ..Measurements::default()
    };
    figures.false_deaths = losses.iter().map(|loss| (*loss, 0.0, 0)).collect();
    for part in parts.into_values() {
        figures.half.extend(part.half);
        figures.all.extend(part.all);
        figures.late += part.late;
        figures.detected.extend(part.detected);
        figures.healed.extend(part.healed);
        figures.mass_kill.extend(part.mass_kill);
        for (loss, hours, deaths) in part.false_deaths {
            if let Some(sum) = figures.false_deaths.iter_mut().find(|f| f.0 == loss) {
                *sum = (loss, sum.1 + hours, sum.2 + deaths);
            }
        }
        if part.quiet.0 > 0.0 {
            figures.quiet = part.quiet;
        }
        if part.paused.0 > 0.0 {
            figures.paused = part.paused;
        }
    }
    figures.detected.sort_unstable();
    figures
}

fn one(nodes: usize, run: &Run, minutes: u64, spans: PeerSettings) -> Measurements {
    let mut figures = Measurements::default();
    match run {
        Run::Kill(seed) => {
            let mut net = settled(nodes, *seed, lossless_links(), spans);
            let before = total(&net);
            net.run(net.now + 20 * SECOND);
            figures.quiet = rate(&net, before, 20.0);
            let (killed, at) = ((net.lot() % nodes as u64) as usize, net.now);
            net.kill(killed);
            net.run(at + 10 * SECOND);
            let of = PeerId(killed as u64 + 1);
            let known: Vec<Micros> = net
                .changes
                .iter()
                .filter(|c| c.0 >= at && c.2 == of && c.3 == PeerState::Dead)
                .map(|c| (c.0 - at) / 1_000)
                .collect();
            figures.detected.extend(&known);
            if known.len() + 1 >= nodes {
                figures.half.push(known[(nodes - 1) / 2]);
                figures.all.push(known[nodes - 2]);
            } else {
                figures.late += 1;
            }
        }
        Run::MassKill(seed) => {
            let mut net = settled(nodes, *seed, lossless_links(), spans);
            let mut all: Vec<usize> = (0..nodes).collect();
            for _ in 0..nodes * 7 / 10 {
                let at = (net.lot() % all.len() as u64) as usize;
                net.kill(all.swap_remove(at));
            }
            figures.mass_kill.extend(
                net.run_until_converged(60 * SECOND)
                    .map(|took| took / 1_000),
            );
        }
        Run::Split(seed) => {
            let (from, until) = (80 * SECOND, 140 * SECOND);
            let way: LinkModel = Box::new(move |now, a, b, lot| {
                let cut = (from..until).contains(&now) && a % 2 != b % 2;
                (!cut).then_some(200 + lot % 800)
            });
            let mut net = settled(nodes, *seed, way, spans);
            net.run(until);
            figures.healed.extend(
                net.run_until_converged(60 * SECOND)
                    .map(|took| took / 1_000),
            );
        }
        Run::Pauses(loss, seed) => {
            let mut net = settled(nodes, *seed, lossy_links(*loss), spans);
            let before = total(&net);
            let deaths = pauses(&mut net, minutes);
            if *loss == 0.0 {
                figures.paused = rate(&net, before, 60.0 * minutes as f64);
            }
            figures
                .false_deaths
                .push((*loss, minutes as f64 / 60.0, deaths));
        }
    }
    figures
}

/// A quantile of some spans.
fn quantile(spans: &[u64], part: f64) -> u64 {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    sorted
        .get(((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

impl std::fmt::Display for Measurements {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "| {} | {} | ", self.nodes, self.all.len() + self.late)?;
        write!(
            f,
            "{} / {} | ",
            quantile(&self.half, 0.5),
            quantile(&self.all, 0.5)
        )?;
        let late = if self.late > 0 {
            format!(", {} over 10000", self.late)
        } else {
            String::new()
        };
        write!(
            f,
            "{}{late} | {} | ",
            quantile(&self.all, 1.0),
            quantile(&self.healed, 1.0)
        )?;
        write!(
            f,
            "{} / {} | ",
            quantile(&self.mass_kill, 0.5),
            quantile(&self.mass_kill, 1.0)
        )?;
        for (loss, hours, deaths) in &self.false_deaths {
            write!(f, "{:.0}%: {deaths} in {hours:.2} h; ", loss * 100.0)?;
        }
        let ((d, b), (pd, pb)) = (self.quiet, self.paused);
        write!(f, "| {d:.1}, {b:.0} | {pd:.1}, {pb:.0} |")
    }
}

/// Colours of the lines of a chart.
const COLOURS: [&str; 5] = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#8c564b"];

/// A chart as SVG: which part of the survivors knows of a kill so long after it, a line for each number of nodes.
pub fn chart(all: &[Measurements]) -> String {
    use std::fmt::Write;
    let (left, top, width, height) = (60.0, 30.0, 560.0, 260.0);
    let longest = all
        .iter()
        .filter_map(|f| f.detected.last())
        .max()
        .copied()
        .unwrap_or(0);
    let seconds = (longest / 1_000 + 1) as f64;
    let x = |ms: f64| left + width * ms / (1_000.0 * seconds);
    let y = |part: f64| top + height * (1.0 - part);
    let mut out = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"350\" font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"760\" height=\"350\" fill=\"white\"/>\n\
         <text x=\"60\" y=\"18\">Part of the survivors that take a killed node for dead, by seconds after the kill (virtual time)</text>\n",
    );
    // Writing to a String cannot fail.
    for tenth in (0..=10).step_by(2) {
        let at = y(f64::from(tenth) / 10.0);
        let _ = writeln!(
            out,
            "<line x1=\"{left}\" y1=\"{at:.1}\" x2=\"{:.1}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>",
            left + width
        );
        let _ = writeln!(
            out,
            "<text x=\"30\" y=\"{:.1}\">{:.1}</text>",
            at + 4.0,
            f64::from(tenth) / 10.0
        );
    }
    for half in 0..=(2.0 * seconds) as u32 {
        let at = x(f64::from(half) * 500.0);
        let _ = writeln!(
            out,
            "<text x=\"{:.1}\" y=\"{:.1}\">{:.1}</text>",
            at - 8.0,
            top + height + 18.0,
            f64::from(half) / 2.0
        );
    }
    for (i, figures) in all.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let count = figures.detected.len();
        // A few hundred points are as many as can be seen.
        let points = (0..=400).filter_map(|p| {
            let at = (count * p / 400).min(count.saturating_sub(1));
            figures
                .detected
                .get(at)
                .map(|ms| format!("{:.1},{:.1}", x(*ms as f64), y(p as f64 / 400.0)))
        });
        let points: Vec<String> = points.collect();
        let _ = writeln!(
            out,
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\" points=\"{}\"/>",
            points.join(" ")
        );
        let (kills, at) = (
            figures.all.len() + figures.late,
            top + 20.0 + 18.0 * i as f64,
        );
        let _ = writeln!(
            out,
            "<text x=\"630\" y=\"{at:.1}\" fill=\"{colour}\">{} nodes, {kills} kills</text>",
            figures.nodes
        );
    }
    out + "</svg>\n"
}

/// The head of a table of [`Measurements`].
pub const TABLE_HEADER: &str = "| nodes | kills | known to half / all, ms (median) | to all, most ms | healed, most ms | seven in ten killed, all agree, ms (median / most) | false deaths with pauses, by \
     loss | quiet: datagrams, bytes a second | with pauses |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |";
