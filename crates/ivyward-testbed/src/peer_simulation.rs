//! Simulates failure detection among many peers on a datagram network in virtual time, with kills, pauses, message loss,
//! cut links, network splits and restarts. Only the peer state machines run. Measured are the time until a view is correct
//! and the number of false deaths.

use ivyward_core::interface::Micros;
use ivyward_core::peers::{
    Message, MessageBody, NodeInfo, PeerAction, PeerId, PeerSettings, PeerState, Peers, MAX_UPDATES,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// Returns the address of a node, which encodes its number in the last two octets.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_000))
}

/// Returns the information that a node announces about itself.
pub fn node_info(node: usize, incarnation: u64) -> NodeInfo {
    NodeInfo {
        id: PeerId(node as u64 + 1),
        incarnation,
        zone: (node % 3) as u8,
        address: address(node),
    }
}

/// Behaviour of the directed links. Called with the time, the sending node, the receiving node and a random number, it returns
/// the delay of the message in microseconds, or `None` if the message is lost.
pub type LinkModel = Box<dyn FnMut(Micros, usize, usize, u64) -> Option<Micros>>;

enum Due {
    Tick(usize, u64),
    Message(usize, Box<Message>),
}

/// State of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process runs.
    Running,
    /// The process is paused until this time; messages wait in its socket.
    Paused(Micros),
    /// The process was killed.
    Killed,
}

/// A simulated datagram network and the nodes on it.
pub struct PeerNetwork {
    /// Virtual time in microseconds.
    pub now: Micros,
    /// Peer state machine of each node.
    pub peers: Vec<Peers>,
    /// Process state of each node.
    pub process_states: Vec<ProcessState>,
    incarnations: Vec<u64>,
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Due>,
    seq: u64,
    link: LinkModel,
    /// Changes of the nodes' views: time, observing node, observed peer and its new state.
    pub changes: Vec<(Micros, usize, PeerId, PeerState)>,
    /// Datagrams and bytes sent by each node. A datagram counts as 86 bytes plus 46 per update, which is its size on the wire
    /// with IPv4.
    pub sent: Vec<(u64, u64)>,
    random: u64,
    settings: PeerSettings,
}

/// Returns links that lose nothing and delay each message by 0.2 to 1 ms.
pub fn lossless_links() -> LinkModel {
    Box::new(|_, _, _, random| Some(200 + random % 800))
}

/// Returns links that lose this share of the messages, with the delays of [`lossless_links`].
pub fn lossy_links(share: f64) -> LinkModel {
    Box::new(move |_, _, _, random| {
        ((random % 10_000) as f64 >= share * 10_000.0).then_some(200 + random % 800)
    })
}

impl PeerNetwork {
    /// Creates a network with default peer settings. All nodes start within the first second and know two seed addresses.
    pub fn new(nodes: usize, seed: u64, link: LinkModel) -> PeerNetwork {
        PeerNetwork::with_settings(nodes, seed, link, PeerSettings::default())
    }
    /// Creates a network like [`PeerNetwork::new`], with these peer settings.
    pub fn with_settings(
        nodes: usize,
        seed: u64,
        link: LinkModel,
        settings: PeerSettings,
    ) -> PeerNetwork {
        let mut net = PeerNetwork {
            settings,
            now: 0,
            peers: Vec::new(),
            process_states: vec![ProcessState::Running; nodes],
            incarnations: vec![1; nodes],
            heap: BinaryHeap::new(),
            due: BTreeMap::new(),
            seq: 0,
            link,
            changes: Vec::new(),
            sent: vec![(0, 0); nodes],
            random: seed,
        };
        for node in 0..nodes {
            let peers = net.new_peers(node, 1);
            net.peers.push(peers);
            // All nodes start within one second.
            let at = net.next_random() % SECOND;
            net.schedule(at, Due::Tick(node, 1));
        }
        net
    }
    fn new_peers(&self, node: usize, incarnation: u64) -> Peers {
        let seeds = vec![address(0), address(1)];
        Peers::new(
            self.now,
            node_info(node, incarnation),
            seeds,
            self.settings,
            self.random ^ node as u64,
        )
    }
    fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 20
    }
    fn schedule(&mut self, at: Micros, due: Due) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.due.insert(self.seq, due);
    }
    /// Carries out the actions of a node's state machine: records changes and sends messages.
    pub fn apply_actions(&mut self, node: usize, out: Vec<PeerAction>) {
        for action in out {
            match action {
                PeerAction::Changed {
                    node: info,
                    current: state,
                    ..
                } => self.changes.push((self.now, node, info.id, state)),
                PeerAction::Send { to, message } => {
                    let [_, _, high, low] = match to.ip() {
                        std::net::IpAddr::V4(ip) => ip.octets(),
                        std::net::IpAddr::V6(_) => unreachable!(),
                    };
                    let target = usize::from(high) * 256 + usize::from(low);
                    let updates = message.updates.len()
                        + if let MessageBody::ViewPage { updates: page, .. } = &message.body {
                            page.len()
                        } else {
                            0
                        };
                    debug_assert!(updates <= MAX_UPDATES);
                    self.sent[node].0 += 1;
                    self.sent[node].1 += 86 + 46 * updates as u64;
                    let random = self.next_random();
                    if target < self.peers.len() {
                        if let Some(later) = (self.link)(self.now, node, target, random) {
                            self.schedule(
                                self.now + later,
                                Due::Message(target, Box::new(message)),
                            );
                        }
                    }
                }
            }
        }
    }
    /// Runs the simulation until this time.
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
                // Messages to a paused process wait in its socket.
                ProcessState::Paused(end) if end > at => {
                    self.schedule(end, due);
                    continue;
                }
                _ => self.process_states[node] = ProcessState::Running,
            }
            let mut out = Vec::new();
            match due {
                Due::Tick(node, start) if start == self.incarnations[node] => {
                    self.peers[node].tick(at, &mut out);
                    let next = at + self.peers[node].tick_interval();
                    self.schedule(next, Due::Tick(node, start));
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
    /// Kills the process of a node.
    pub fn kill(&mut self, node: usize) {
        self.process_states[node] = ProcessState::Killed;
    }
    /// Restarts a node under its old id, with the next incarnation.
    pub fn restart(&mut self, node: usize) {
        self.incarnations[node] += 1;
        self.process_states[node] = ProcessState::Running;
        self.peers[node] = self.new_peers(node, self.incarnations[node]);
        self.schedule(self.now, Due::Tick(node, self.incarnations[node]));
    }
    /// Restarts a node with other announced information, such as another id or incarnation.
    pub fn restart_as(&mut self, node: usize, info: NodeInfo) {
        self.incarnations[node] += 1;
        self.process_states[node] = ProcessState::Running;
        self.peers[node] = Peers::new(
            self.now,
            info,
            vec![address(0), address(1)],
            self.settings,
            self.random ^ node as u64,
        );
        self.schedule(self.now, Due::Tick(node, self.incarnations[node]));
    }
    /// Returns the state of node `of` in the view of node `at`, or `None` if it is not listed.
    pub fn peer_state(&self, at: usize, of: usize) -> Option<PeerState> {
        self.peers[at].peer(PeerId(of as u64 + 1)).map(|p| p.state)
    }
    /// Returns the nodes that have not been killed, including paused ones.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.peers.len())
            .filter(|n| self.process_states[*n] != ProcessState::Killed)
            .collect()
    }
    /// Returns whether each node that was not killed lists all other such nodes as alive, and all killed ones as dead or not
    /// at all.
    pub fn converged(&self) -> bool {
        let running = self.running_nodes();
        let right = |at: usize, of: usize| match self.peer_state(at, of) {
            Some(PeerState::Alive) => running.contains(&of),
            Some(PeerState::Suspected) => false,
            _ => !running.contains(&of),
        };
        running
            .iter()
            .all(|at| (0..self.peers.len()).all(|of| of == *at || right(*at, of)))
    }
    /// Runs until the views have converged, for at most `timeout`. Returns the time that it took, or `None` on a timeout.
    pub fn run_until_converged(&mut self, timeout: Micros) -> Option<Micros> {
        let began = self.now;
        while self.now < began + timeout {
            if self.converged() {
                return Some(self.now - began);
            }
            self.run(self.now + 50_000);
        }
        None
    }
    /// Counts the changes of any view to `Dead` since this time.
    pub fn count_deaths(&self, since: Micros) -> usize {
        self.changes
            .iter()
            .filter(|c| c.0 >= since && c.3 == PeerState::Dead)
            .count()
    }
}

/// Measurements at one number of nodes.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// Number of nodes.
    pub nodes: usize,
    /// Milliseconds from a kill until half of the survivors list the node as dead, one value per kill.
    pub half: Vec<u64>,
    /// Milliseconds from a kill until all survivors list the node as dead, one value per kill.
    pub all: Vec<u64>,
    /// Milliseconds from a kill until each survivor lists the node as dead, over all kills, sorted.
    pub detected: Vec<u64>,
    /// Milliseconds from the simultaneous kill of 70% of the nodes until the survivors' views have converged.
    pub mass_kill: Vec<u64>,
    /// Number of kills that not all survivors had detected after ten seconds.
    pub late: usize,
    /// Loss rate, simulated hours, and number of false deaths (a view that lists a running node as dead), with each node
    /// paused for up to two seconds once a minute.
    pub false_deaths: Vec<(f64, f64, usize)>,
    /// Datagrams and bytes per second and node, without faults.
    pub quiet: (f64, f64),
    /// Datagrams and bytes per second and node, with the pauses of `false_deaths` and no loss.
    pub paused: (f64, f64),
    /// Milliseconds from the end of a one-minute split of the network into halves until all views have converged.
    pub healed: Vec<u64>,
}

fn converged_network(
    nodes: usize,
    seed: u64,
    link: LinkModel,
    settings: PeerSettings,
) -> PeerNetwork {
    let mut net = PeerNetwork::with_settings(nodes, seed, link, settings);
    net.run(20 * SECOND);
    net.run_until_converged(60 * SECOND);
    net
}

fn traffic_per_node(net: &PeerNetwork, before: (u64, u64), seconds: f64) -> (f64, f64) {
    let (datagrams, bytes) = total_sent(net);
    let node_seconds = seconds * net.peers.len() as f64;
    (
        (datagrams - before.0) as f64 / node_seconds,
        (bytes - before.1) as f64 / node_seconds,
    )
}

fn total_sent(net: &PeerNetwork) -> (u64, u64) {
    net.sent
        .iter()
        .fold((0, 0), |sum, s| (sum.0 + s.0, sum.1 + s.1))
}

/// Runs for some minutes, in each of which every node is paused once for up to two seconds. Returns the number of false
/// deaths.
fn run_with_pauses(net: &mut PeerNetwork, minutes: u64) -> usize {
    let since = net.now;
    for _ in 0..minutes {
        let began = net.now;
        let mut stops: Vec<(Micros, usize, Micros)> = (0..net.peers.len())
            .map(|node| {
                (
                    began + net.next_random() % (55 * SECOND),
                    node,
                    net.next_random() % (2 * SECOND),
                )
            })
            .collect();
        stops.sort();
        for (at, node, duration) in stops {
            net.run(at);
            net.process_states[node] = ProcessState::Paused(at + duration);
        }
        net.run(began + 60 * SECOND);
    }
    net.count_deaths(since)
}

/// One run of a measurement, with its seed. `Pauses` has the loss rate first.
enum Run {
    Kill(u64),
    MassKill(u64),
    Split(u64),
    Pauses(f64, u64),
}

/// Runs all measurements for one number of nodes, with `seeds` seeds each, on `threads` threads. The result does not depend on
/// the number of threads.
pub fn measure(
    nodes: usize,
    seeds: u64,
    minutes: u64,
    settings: PeerSettings,
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
                let part = measure_run(nodes, run, minutes, settings);
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

fn measure_run(nodes: usize, run: &Run, minutes: u64, settings: PeerSettings) -> Measurements {
    let mut figures = Measurements::default();
    match run {
        Run::Kill(seed) => {
            let mut net = converged_network(nodes, *seed, lossless_links(), settings);
            let before = total_sent(&net);
            net.run(net.now + 20 * SECOND);
            figures.quiet = traffic_per_node(&net, before, 20.0);
            let (killed, at) = ((net.next_random() % nodes as u64) as usize, net.now);
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
            let mut net = converged_network(nodes, *seed, lossless_links(), settings);
            let mut all: Vec<usize> = (0..nodes).collect();
            for _ in 0..nodes * 7 / 10 {
                let at = (net.next_random() % all.len() as u64) as usize;
                net.kill(all.swap_remove(at));
            }
            figures.mass_kill.extend(
                net.run_until_converged(60 * SECOND)
                    .map(|took| took / 1_000),
            );
        }
        Run::Split(seed) => {
            let (from, until) = (80 * SECOND, 140 * SECOND);
            let link: LinkModel = Box::new(move |now, a, b, random| {
                let cut = (from..until).contains(&now) && a % 2 != b % 2;
                (!cut).then_some(200 + random % 800)
            });
            let mut net = converged_network(nodes, *seed, link, settings);
            net.run(until);
            figures.healed.extend(
                net.run_until_converged(60 * SECOND)
                    .map(|took| took / 1_000),
            );
        }
        Run::Pauses(loss, seed) => {
            let mut net = converged_network(nodes, *seed, lossy_links(*loss), settings);
            let before = total_sent(&net);
            let deaths = run_with_pauses(&mut net, minutes);
            if *loss == 0.0 {
                figures.paused = traffic_per_node(&net, before, 60.0 * minutes as f64);
            }
            figures
                .false_deaths
                .push((*loss, minutes as f64 / 60.0, deaths));
        }
    }
    figures
}

/// Returns a quantile of unsorted values, or 0 if there are none.
fn quantile(values: &[u64], fraction: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted
        .get(((sorted.len() as f64 * fraction) as usize).min(sorted.len().saturating_sub(1)))
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

/// Line colours of the chart.
const COLOURS: [&str; 5] = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#8c564b"];

/// Returns an SVG chart of the share of survivors that have detected a kill over time, with one line per number of nodes.
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
         <text x=\"60\" y=\"18\">Share of the survivors that list a killed node as dead, by seconds after the kill (virtual time)</text>\n",
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
        // More than a few hundred points per line would not be visible.
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

/// Header of a Markdown table whose rows are [`Measurements`].
pub const TABLE_HEADER: &str = "| nodes | kills | known to half / all, ms (median) | to all, most ms | healed, most ms | seven in ten killed, all agree, ms (median / most) | false deaths with pauses, by \
     loss | quiet: datagrams, bytes a second | with pauses |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |";
