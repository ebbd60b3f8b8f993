//! The decision module. Its interface (types, events, actions) is `src/interface.rs`.
//!
//! One mechanism decides the ordinary path: PPD of "Not All Prefills Are Equal" (arXiv:2603.13358), online: a
//! later turn is read where its state is held or takes the prefill path, by a score per workload cell.
//! docs/design.md tells what was kept, what was changed and when each exception acts.

use crate::interface::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

// ---- Constants: shares, counts, or multiples of told or learned figures; none is a deployment's figure.

/// Weight of the relative first-token gain in the score (the paper's balanced setting).
const WEIGHT_TTFT: f64 = 1.0;
/// Weight of the relative pace loss in the score (the paper's balanced setting).
const WEIGHT_TPOT: f64 = 1.0;
/// A cell without both averages goes local only under this many new tokens (design page).
const EMPTY_CELL_NEW: f64 = 2_000.0;
/// Local only when the new tokens are under this share of the prompt (design page).
const LOCAL_SHARE: f64 = 0.25;
/// Local only when the holder has at most this multiple of our median streams (design page).
const LOCAL_CROWD: f64 = 2.0;
/// Share of local decisions sent the prefill path all the same, so that both averages stay fed.
const REMOTE_SHARE: f64 = 0.05;
/// Part of its told memory that is first taken to pass before a writer forgets a session.
const HOLDS_FIRST: f64 = 0.75;
/// A session found forgotten or kept moves the learned span that far below or above what had passed.
const HOLDS_STEP: f64 = 0.8;
/// An average with less weight than this counts as empty: two or three answers.
const CELL_MIN: f64 = 2.5;
/// Averages forget over this span: several think times, far less than a day.
const CELL_AGE: f64 = 60e6;
/// A session row is dropped after this idle time (design page).
const ROW_IDLE: Micros = 120_000_000;
/// A reader takes at most this multiple of the readers' mean waiting tokens before a prefix spills.
const RING_BOUND: f64 = 1.5;
/// A reader is preferred by its rack's share of writers over its share of readers, within these bounds.
const PULL_LEAST: f64 = 0.3;
const PULL_MOST: f64 = 1.6;
/// A prefix has one home for each mean reader's load that it brings, times this.
const HOMES: f64 = 0.6;
/// Step of running means: about the last ten answers.
const STEP: f64 = 0.1;
/// Lengths of streams are not judged by fewer ends than this.
const NORM_MIN: u32 = 20;
/// No answer moves a pool's mean by more than one part in so many.
const NORM_LEAST: f64 = 4.0;
/// One observation may not count for more than this multiple of what was expected.
const CLIP: f64 = 3.0;
/// A wait of this multiple of its expected time, and of this part of the aim, without progress there is a stall.
const STALL: f64 = 6.0;
const STALL_LEAST: f64 = 0.4;
/// Several streams of which none ends for this multiple of their expected length have stalled.
const STREAM_STALL: f64 = 3.0;
/// Part of the time left that an attempt may take while another could follow.
const ATTEMPT_PART: f64 = 0.65;
/// No time-out is set under this multiple of what the attempt is expected to take.
const PATIENT: f64 = 4.0;
/// Stalled servers are looked for this many times in the shortest wanted first-token time.
const TICKS: u64 = 8;
/// First pause before a doubted server is tried again, as a share of its time to warm; it doubles.
const TRIAL_GAP: f64 = 0.05;
/// Part of the cold budget that is spent at most: the learned rate is a guess and chance has a say.
const COLD_SAFETY: f64 = 0.8;
/// A part of arrivals is refused while first tokens come later than this share of their aim on average.
const DELAY_TARGET: f64 = 0.8;
/// The mean of first-token delays fades over this span, so that a node that refused much soon tries again.
const DELAY_AGE: f64 = 2e6;
/// The rate at which answers begin is counted over this span.
const DELAY_QUEUE: f64 = 4e6;
/// Or over the span in which so many requests arrive, if that is longer.
const DELAY_ANSWERS: f64 = 8.0;
/// No more than this part is refused, so that answers go on telling how things stand.
const SHED_MOST: f64 = 0.8;
/// A move out of the rack, and again one out of the zone, is worth this multiple of a writer's load.
const OUTSIDE: f64 = 1.5;
/// Rates, and a server's slowness (one that gets little work must not stay avoided), fade over this span.
const RECENT: f64 = 10e6;
/// Readers that take this share of the wanted time are jammed: a first turn may be read where it is written.
const JAMMED: f64 = 0.3;
/// Multiple of the readers' time that an op without answers so far is taken to need.
const UNSEEN: f64 = 3.0;
/// A tenant is taken to ask for its share until about so many arrivals have told otherwise.
const TENANT_PRIOR: f64 = 5.0;
/// A server is taken for a usual one until about so many answers have told otherwise.
const JUDGE_PRIOR: f64 = 3.0;
/// Log lines per start.
const LOG_LINES: u32 = 40;

// ---- Fleet and health

/// What an attempt asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Op {
    Read,
    Fetch,
    Local,
    Stream,
}

#[derive(Clone, Copy)]
struct Wait {
    sent: Micros,
    tokens: f64,
    expected: f64,
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    /// Changes when the process is known to have restarted or broken off: what it kept is gone.
    epoch: u64,
    /// Our attempts there that have not been read or begun to stream.
    waiting: BTreeMap<(RequestId, u16), Wait>,
    /// Our running streams there, with what they are expected to last.
    streams: BTreeMap<(RequestId, u16), Wait>,
    /// When a stream of ours last came to its end there.
    ended: Micros,
    /// Mean of observed over expected latency; 1 is a usual server of its pool.
    slow: f64,
    /// Faded count of the answers behind it.
    judged: (f64, Micros),
    /// Grows with failures; at 1 or more only trials are sent.
    doubt: f64,
    trial_at: Micros,
    trial_gap: Micros,
    progress: Micros,
    full_until: Micros,
    /// Recent sends, kept while it is cold.
    sends: VecDeque<Micros>,
}

impl Server {
    fn load(&self) -> f64 {
        (self.streams.len() + self.waiting.len()) as f64
    }
    fn waiting_tokens(&self) -> f64 {
        self.waiting.values().map(|w| w.tokens).sum()
    }
    /// Counts an answer's time against what was expected: the fewer answers lately, the more each tells.
    fn judge(&mut self, now: Micros, ratio: f64) {
        self.judged = (faded(self.judged, now, RECENT) + 1.0, now);
        self.slow += (1.0 / (self.judged.0 + JUDGE_PRIOR)).max(STEP) * (ratio - self.slow);
    }
    /// Age of the oldest wait: tells of a queue that other nodes filled.
    fn oldest(&self, now: Micros) -> f64 {
        self.waiting.values().map(|w| now.saturating_sub(w.sent)).max().unwrap_or(0) as f64
    }
    /// Guards against servers that take work and answer none, for any cause (hang, cut link, pause): a wait
    /// far over its own expected time, which is long for a heavy prompt, with nothing back meanwhile. May
    /// harm when all latencies jump at once; the pool is not emptied then, for pickers fall back on these.
    fn stalled(&self, now: Micros) -> bool {
        let over = |w: &Wait, last: Micros, n: f64| (now - w.sent.max(last).min(now)) as f64 > n * w.expected;
        self.waiting.values().any(|w| over(w, self.progress, STALL))
            || self.streams.len() > 2 && self.streams.values().any(|w| over(w, self.ended, STREAM_STALL))
    }
    /// 0: use freely; 1: full of late; 2: doubted or stalled, only when nothing else is left.
    fn grade(&self, now: Micros) -> u8 {
        let trial_due = now >= self.trial_at && self.waiting.is_empty();
        if self.doubt >= 1.0 && !trial_due || self.stalled(now) {
            return 2;
        }
        u8::from(now < self.full_until)
    }
}

/// A pool's recent mean of latency and of the work behind it.
#[derive(Clone, Copy, Default)]
struct Norm {
    latency: f64,
    work: f64,
    weight: f64,
    at: Micros,
    count: u32,
}

impl Norm {
    fn expect(&self, work: f64) -> Option<f64> {
        (self.count > 0).then(|| self.latency * (0.5 + 0.5 * work / self.work.max(1.0)))
    }
    /// Recent answers count, of a pool that answers seldom the last few.
    fn learn(&mut self, now: Micros, latency: f64, work: f64) {
        self.weight = faded((self.weight, self.at), now, RECENT).min(1.0 / STEP) + 1.0;
        self.at = now;
        let latency = if self.count > 0 { latency.min(self.latency * CLIP) } else { latency };
        self.latency += (latency - self.latency) / self.weight.max(NORM_LEAST);
        self.work += (work - self.work) / self.weight.max(NORM_LEAST);
        if self.count == 0 {
            (self.latency, self.work) = (latency, work);
        }
        self.count = self.count.saturating_add(1);
    }
}

// ---- Sessions and cells

#[derive(Clone, Copy)]
struct Row {
    writer: ServerId,
    /// Whose state it is.
    session: u64,
    epoch: u64,
    used: Micros,
    /// The session's prompt when it was last answered: its next prompt starts with all of it.
    context: f64,
    /// All writers' flow when it was last used.
    flow: f64,
}

#[derive(Clone, Copy, Default)]
struct Average {
    mean: f64,
    weight: f64,
    at: Micros,
}

impl Average {
    fn weight(&self, now: Micros) -> f64 {
        faded((self.weight, self.at), now, CELL_AGE)
    }
    fn add(&mut self, now: Micros, value: f64) {
        self.weight = self.weight(now) + 1.0;
        self.mean += (value - self.mean) / self.weight;
        self.at = now;
    }
}

/// First-token time and pace of one path in one workload cell.
#[derive(Clone, Copy, Default)]
struct PathStats {
    ttft: Average,
    pace: Average,
}

impl PathStats {
    fn empty(&self, now: Micros) -> bool {
        self.ttft.weight(now) < CELL_MIN || self.pace.weight(now) < CELL_MIN
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Local,
    Remote,
}

type CellKey = (u8, u8, u8);
type Out = Vec<Action>;

/// All cells of one bin of new tokens: judged by while a node has too few answers for the cell itself.
fn coarse(cell: CellKey) -> CellKey {
    (u8::MAX, cell.1, u8::MAX)
}

/// The paper's score, from the averages of a cell: positive means local.
fn score(local: &PathStats, remote: &PathStats) -> f64 {
    let gain = (remote.ttft.mean - local.ttft.mean) / remote.ttft.mean.max(1.0);
    let loss = (local.pace.mean - remote.pace.mean) / remote.pace.mean.max(1.0);
    WEIGHT_TTFT * gain - WEIGHT_TPOT * loss
}

// ---- Requests

struct Attempt {
    server: ServerId,
    op: Op,
    sent: Micros,
    tokens: f64,
    out: bool,
    streaming: bool,
}

#[derive(Default)]
struct Request {
    a: Arrival,
    arrived: Micros,
    deadline: Micros,
    aim: f64,
    /// Prompt tokens that are taken to be kept nowhere.
    new: f64,
    attempts: Vec<Attempt>,
    /// Where its read state waits.
    state_at: Option<ServerId>,
    /// Where a place is held ahead.
    held_at: Option<ServerId>,
    /// The first attempt that may have run: server and send time.
    may_have_run: Option<(ServerId, Micros)>,
    tried: Vec<ServerId>,
    path: Option<(Path, CellKey)>,
    /// Tokens that had passed through the holder when a local read was sent.
    passed: f64,
    first_token: Option<Micros>,
    over: bool,
}

/// Decides for one node. See [`Router::handle`].
#[derive(Default)]
pub struct Router {
    cfg: Settings,
    random: u64,
    fleet: BTreeMap<ServerId, Server>,
    rows: BTreeMap<(bool, u64), Row>,
    cells: BTreeMap<CellKey, [PathStats; 2]>,
    open: BTreeMap<RequestId, Request>,
    norms: BTreeMap<(Op, Role), Norm>,
    /// Decayed count of what each kind of machine got done for us (storms of retries must not count).
    kind_done: Vec<(f64, Micros)>,
    /// Sum of weights and count of the listed machines of each kind, and the seed of this node's lots.
    kinds: Vec<(f64, f64)>,
    /// For each rack its share of writers over its share of readers, within bounds.
    racks: BTreeMap<u16, f64>,
    /// Faded sum and count of read times over their expectation, at racks of little pull and of much.
    by_pull: [(f64, f64, Micros); 2],
    /// Recent prompt tokens of each prefix, and of all.
    prefixes: BTreeMap<u64, (f64, Micros)>,
    asked: (f64, Micros),
    lots: u64,
    /// Prompt tokens of ours that came into writers' memory so far, and those of our running streams.
    flow: f64,
    running: f64,
    /// For each kind: tokens of all nodes that may pass through one writer before it forgets a session.
    holds: Vec<f64>,
    next_sweep: Micros,
    ticking: bool,
    /// Faded sum and count of first-token times over aims; faded count of arrivals; the part of arrivals refused; running mean of worth.
    delay: (f64, f64),
    arrivals: (f64, Micros),
    /// Faded count of first tokens.
    begun: (f64, Micros),
    shed: f64,
    steered: Micros,
    worth: f64,
    logged: u32,
    /// Recent arrivals of each tenant.
    tenants: Vec<(f64, Micros)>,
}

/// Timer tokens.
const SUBSCRIBE: u64 = 0;
const TICK: u64 = 1;

/// A count that fades over a span.
fn faded((count, at): (f64, Micros), now: Micros, span: f64) -> f64 {
    count * (-(now.saturating_sub(at) as f64) / span).exp()
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Tokens of the answer: the hint, else the told maximum.
fn output(a: &Arrival) -> f64 {
    a.hinted_output.unwrap_or(a.max_output).max(1.0)
}

/// The keys of an arrival's rows: its session's, and its shared opening's.
fn row_keys(a: &Arrival) -> impl Iterator<Item = (bool, u64)> {
    [(true, a.session), (false, a.prefix)].into_iter().filter(|key| key.1 != 0)
}

impl Router {
    /// A router that knows only its settings. `seed` feeds its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let kinds = settings.roles.len();
        let kind_done = vec![(0.0, 0); kinds];
        let kinds = vec![(0.0, 0.0); kinds];
        let memory = |kind| settings.memory_tokens.get(kind).map_or(f64::INFINITY, |m| m * HOLDS_FIRST);
        let holds = (0..settings.roles.len()).map(memory).collect();
        let (random, lots) = (mix(seed), mix(!seed));
        Router { cfg: settings, random, lots, kind_done, kinds, holds, ..Router::default() }
    }

    /// Takes in one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Fleet { kind, entries } => self.on_fleet(now, kind, &entries, out),
            Event::Request(arrival) => self.on_request(now, arrival, out),
            Event::FirstToken { request, attempt } => self.on_first_token(now, request, attempt),
            Event::PlaceAnswer { request, server, held } => {
                let asked = self.open.get_mut(&request).filter(|r| r.held_at == Some(server) && !held);
                asked.into_iter().for_each(|r| r.held_at = None);
            }
            Event::AttemptEnded { request, attempt, outcome, kept_tokens, finished, .. } => {
                self.on_ended(now, request, attempt, (outcome, kept_tokens, finished), out);
            }
            Event::ClientGone(request) => self.on_gone(now, request, out),
            Event::Timer(SUBSCRIBE) => out.push(Action::Subscribe),
            Event::Timer(TICK) => self.on_tick(now, out),
            Event::Timer(_) | Event::Probed { .. } => {}
        }
    }

    fn on_fleet(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry], out: &mut Out) {
        match kind {
            ListKind::Failed => out.push(Action::SetTimer { at: now + 1_000_000, token: SUBSCRIBE }),
            ListKind::Cached if self.cfg.must_subscribe => out.push(Action::Subscribe),
            _ => {}
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            for server in self.fleet.values_mut() {
                server.entry.condition = Condition::Gone;
            }
        }
        for entry in entries.iter().filter(|e| usize::from(e.kind) < self.cfg.roles.len()) {
            let new = || Server { entry: *entry, slow: 1.0, ..Server::default() };
            let server = self.fleet.entry(entry.id).or_insert_with(new);
            if server.entry.started != entry.started || entry.condition == Condition::Gone {
                // Restarted or gone: nothing it kept is there any more, and its past tells nothing.
                server.epoch += 1;
                (server.slow, server.doubt, server.full_until) = (1.0, 0.0, 0);
            }
            server.entry = *entry;
        }
        let listed: Vec<ServerEntry> = self.listed().map(|s| s.entry).collect();
        self.kinds = vec![(0.0, 0.0); self.cfg.roles.len()];
        for entry in &listed {
            let (sum, count) = &mut self.kinds[usize::from(entry.kind)];
            (*sum, *count) = (*sum + entry.weight.max(0.01), *count + 1.0);
        }
        self.racks.clear();
        let (mut all, mut racks) = ([0.0; 2], BTreeMap::<u16, [f64; 2]>::new());
        for entry in &listed {
            let side = usize::from(self.cfg.roles[usize::from(entry.kind)] != Role::Prefill);
            racks.entry(entry.cell).or_default()[side] += self.size(entry);
            all[side] += self.size(entry);
        }
        for (rack, [read, write]) in racks {
            let pull = (write / all[1].max(0.01)) / (read / all[0].max(0.01)).max(0.01);
            self.racks.insert(rack, pull.clamp(PULL_LEAST, PULL_MOST));
        }
    }

    fn role(&self, server: &Server) -> Role {
        self.cfg.roles[usize::from(server.entry.kind)]
    }

    fn listed(&self) -> impl Iterator<Item = &Server> {
        self.fleet.values().filter(|s| s.entry.condition == Condition::Ready)
    }

    /// The part of its capacity that a server has; 1 when warm. Growth is not told: 3/4 of a line is taken.
    fn capacity_share(&self, entry: &ServerEntry, now: Micros) -> f64 {
        let (age, warm) = (now.saturating_sub(entry.started) as f64, self.cfg.warm_after as f64);
        if entry.started == 0 || age >= warm {
            return 1.0;
        }
        let start = self.cfg.start_capacity.min(1.0);
        start + (1.0 - start) * 0.75 * age / warm.max(1.0)
    }

    /// Guards a cold server: this node's part of the told budget, with what warm ones of its kind do for it
    /// as the guide to its size. Retries and later turns spend it too. A part under one send becomes a chance of
    /// one send a window, drawn by lot, so that many nodes that each see little keep the budget together.
    fn cold_room(&self, server: &Server, now: Micros) -> bool {
        let share = self.capacity_share(&server.entry, now);
        if share >= 1.0 || self.cfg.fall_multiple <= 0.0 {
            return true;
        }
        let window = self.cfg.fall_window.max(1);
        let sent = server.sends.iter().filter(|t| now.saturating_sub(**t) < window).count() as f64;
        let kind = usize::from(server.entry.kind);
        let rate = faded(self.kind_done[kind], now, RECENT) / RECENT;
        let usual = rate * window as f64 * self.size(&server.entry) / self.kinds[kind].1.max(1.0);
        let budget = COLD_SAFETY * self.cfg.fall_multiple * share * usual;
        let lot = mix(self.lots ^ mix(server.entry.id.0) ^ mix(now / window)) >> 11;
        sent + 1.0 <= budget || sent == 0.0 && (lot as f64 / (1u64 << 53) as f64) < budget
    }

    /// Size against the mean of its kind: told weights compare servers of one kind only.
    fn size(&self, entry: &ServerEntry) -> f64 {
        let (sum, count) = self.kinds[usize::from(entry.kind)];
        entry.weight.max(0.01) * count.max(1.0) / sum.max(0.01)
    }

    fn pull(&self, entry: &ServerEntry) -> f64 {
        self.racks.get(&entry.cell).copied().unwrap_or(1.0)
    }

    /// Read times against their expectation at readers beside few writers and beside many.
    fn times_by_pull(&self, now: Micros) -> [f64; 2] {
        self.by_pull.map(|(sum, count, at)| {
            let fade = faded((1.0, at), now, RECENT);
            (sum * fade + JUDGE_PRIOR) / (count * fade + JUDGE_PRIOR)
        })
    }

    fn effective_weight(&self, server: &Server, now: Micros) -> f64 {
        self.size(&server.entry) * self.capacity_share(&server.entry, now) / server.slow.max(0.5)
    }

    fn expected(&self, server: &Server, op: Op, work: f64, aim: f64) -> f64 {
        let norm = |key| self.norms.get(&key).and_then(|n| n.expect(work));
        // A writer that has not yet read for us is taken to read more slowly than the readers do.
        let norm = norm((op, self.role(server))).or(norm((Op::Read, Role::Prefill)).map(|e| e * UNSEEN));
        (norm.unwrap_or(aim / 4.0) * server.slow.clamp(1.0, 2.0)).max(STALL_LEAST * aim / STALL)
    }

    /// A server that was listed once stays known.
    fn at(&mut self, id: ServerId) -> &mut Server {
        self.fleet.get_mut(&id).expect("a server once listed stays known")
    }

    /// Takes note of a failure that says something of the server.
    fn blame(&mut self, id: ServerId, now: Micros, amount: f64, out: &mut Out) {
        let first_gap = (self.cfg.warm_after as f64 * TRIAL_GAP) as Micros + 100_000;
        let server = self.at(id);
        let before = server.doubt;
        server.doubt = (server.doubt + amount).min(3.0);
        if server.doubt >= 1.0 {
            let longest = first_gap * 4;
            server.trial_gap = if before < 1.0 { first_gap } else { (server.trial_gap * 2).min(longest) };
            server.trial_at = now + server.trial_gap;
            let waits = server.waiting.len();
            if before < 1.0 && self.logged < LOG_LINES {
                self.logged += 1;
                out.push(Action::Log(format!("server {:x} doubted, {waits} more of ours wait there", id.0)));
            }
        }
    }

    // ---- Reader ring

    /// Consistent hashing with bounded loads: in the order of the hash, the first reader within the bound. A
    /// prefix has as many homes as its share of what was asked fills, and a session keeps to one of them.
    fn pick_reader(&self, now: Micros, r: &Request) -> Option<ServerId> {
        let session = if r.a.session != 0 { r.a.session } else { r.a.id.0 };
        let key = if r.a.prefix != 0 { r.a.prefix } else { session };
        let readers =
            self.listed().filter(|s| self.role(s) == Role::Prefill && !r.tried.contains(&s.entry.id));
        let readers: Vec<&Server> = readers.filter(|s| self.cold_room(s, now)).collect();
        let best = readers.iter().map(|s| s.grade(now)).min()?;
        let mut ring: Vec<&Server> = readers.into_iter().filter(|s| s.grade(now) == best).collect();
        let place = |s: &Server, key: u64| {
            let drawn = (mix(mix(key) ^ mix(s.entry.id.0)) >> 11) as f64 + 1.0;
            // Nothing learned here: all nodes are to name the same homes.
            let weight = self.size(&s.entry) * self.capacity_share(&s.entry, now) * self.pull(&s.entry);
            -(drawn / (1u64 << 53) as f64).ln() / weight
        };
        ring.sort_by_cached_key(|s| (place(s, key).to_bits(), s.entry.id));
        let asked = self.prefixes.get(&key).map_or(0.0, |p| faded(*p, now, CELL_AGE));
        let share = asked / faded(self.asked, now, CELL_AGE).max(1.0);
        let homes = ((share * ring.len() as f64 * HOMES) as usize + 1).min(ring.len());
        let home = (0..homes).min_by(|a, b| place(ring[*a], session).total_cmp(&place(ring[*b], session)));
        ring.rotate_left(home.unwrap_or(0));
        // What other nodes sent there shows in the age of our own oldest wait, and in the recent times of racks
        // like its own. Elsewhere than at home the shared opening is to be read as well.
        let norm = self.norms.get(&(Op::Read, Role::Prefill)).copied().unwrap_or_default();
        let rate = if norm.count > 0 { norm.work / norm.latency.max(1.0) } else { 0.0 };
        let times = self.times_by_pull(now);
        let cost = |(i, s): (usize, &&Server)| {
            let work = if i < homes { r.new } else { r.a.prompt_tokens };
            let filled = norm.work + work + s.waiting_tokens().max(s.oldest(now) * rate);
            filled * times[usize::from(self.pull(&s.entry) >= 1.0)] / self.effective_weight(s, now)
        };
        let costs: Vec<f64> = ring.iter().enumerate().map(cost).collect();
        let bound = RING_BOUND * costs.iter().copied().fold(f64::INFINITY, f64::min);
        costs.iter().position(|c| *c <= bound).map(|i| ring[i].entry.id)
    }

    // ---- Writer choice

    /// The writer with the fewest of our streams for its size: the best of the reader's rack, of its zone and of
    /// the rest, then the cheapest of these. What all nodes would decide alike is drawn by lot: a server's load
    /// beyond our own streams is not seen, so parts of one stream are random.
    fn pick_writer(&self, now: Micros, from: Option<ServerId>, r: &Request, reads: bool) -> Option<ServerId> {
        let from = from.and_then(|id| self.fleet.get(&id)).map(|s| s.entry);
        let can = |s: &&Server| match self.role(s) {
            Role::Prefill => false,
            Role::Mixed => true,
            Role::Decode => !reads || self.cfg.decode_may_prefill,
        };
        let writers = self.listed().filter(can).filter(|s| !r.tried.contains(&s.entry.id));
        let writers = writers.filter(|s| self.cold_room(s, now) && self.repeat_allowed(r, s, now));
        let (mut count, mut ours) = (0.0, 0.0);
        let mut tiers: [Option<(u8, f64, f64, ServerId)>; 3] = [None; 3];
        let lot = mix(self.random ^ r.a.id.0);
        for s in writers {
            count += 1.0;
            ours += s.load();
            let tier = usize::from(from.is_some_and(|f| f.cell != s.entry.cell))
                + usize::from(from.map_or(self.cfg.zone, |f| f.zone) != s.entry.zone);
            let drawn = (mix(lot ^ mix(s.entry.id.0)) >> 11) as f64 / (1u64 << 53) as f64;
            let mut unit = (1.0 + s.oldest(now) / r.aim.max(1.0)) / self.effective_weight(s, now);
            if reads {
                unit *= self.expected(s, Op::Local, r.a.prompt_tokens, r.aim);
            }
            let better = (s.grade(now), (s.load() + drawn) * unit, unit, s.entry.id);
            let worse = |b: &(u8, f64, f64, ServerId)| (better.0, better.1) < (b.0, b.1);
            if tiers[tier].as_ref().is_none_or(worse) {
                tiers[tier] = Some(better);
            }
        }
        // Others' streams are taken to lie as ours do on the mean: with many nodes our own few decide little.
        let others = f64::from(self.cfg.nodes.saturating_sub(1)) * ours / f64::max(count, 1.0);
        let ranked = tiers.iter().enumerate().filter_map(|(tier, best)| {
            let (grade, _, unit, id) = (*best)?;
            let load = (self.fleet[&id].load() + 1.0 + others) * unit * OUTSIDE.powi(tier as i32);
            Some((grade, load, id))
        });
        ranked.min_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).unwrap_or(Ordering::Equal)).map(|t| t.2)
    }

    // ---- Request life cycle

    fn on_request(&mut self, now: Micros, a: Arrival, out: &mut Out) {
        if now >= self.next_sweep {
            self.next_sweep = now + ROW_IDLE / 16;
            self.rows.retain(|_, row| now.saturating_sub(row.used) < ROW_IDLE);
            self.prefixes.retain(|_, p| now.saturating_sub(p.1) < ROW_IDLE);
        }
        let Some(class) = self.cfg.classes.get(a.class) else {
            out.push(Action::Refuse { request: a.id, retry_after: 0 });
            return;
        };
        let aim = class.ttft_aim as f64 + class.ttft_aim_per_1000 * a.prompt_tokens / 1000.0;
        let (new, deadline) = (self.new_tokens(&a), now + a.patience);
        let count = |c: (f64, Micros)| (faded(c, now, CELL_AGE) + a.prompt_tokens, now);
        self.asked = count(self.asked);
        self.arrivals = (faded(self.arrivals, now, RECENT) + 1.0, now);
        if a.prefix != 0 {
            let of = self.prefixes.entry(a.prefix).or_default();
            *of = count(*of);
        }
        let request = Request { a, arrived: now, deadline, aim, new, ..Request::default() };
        if self.sheds(&request) {
            return self.give_up(now, request, out);
        }
        self.step(now, request, out);
    }

    /// Overload: first-token times over their aims steer the part of arrivals that is refused at once, least
    /// worth first. Guards against queues that make every answer late, whatever fills them (burst, lost ones,
    /// slow links). May harm when a few sick servers alone make the mean late; health is to catch those.
    fn sheds(&mut self, r: &Request) -> bool {
        self.steer(r.arrived);
        let worth = self.cfg.classes[r.a.class].worth.max(0.01);
        self.worth += if self.worth == 0.0 { worth } else { STEP * (worth - self.worth) };
        let part = self.shed * (self.worth / worth).clamp(0.5, 2.0) * self.over_share(r);
        self.shed > 0.0 && self.chance() < part.min(SHED_MOST)
    }

    /// A tenant's part of what came lately over its share, squared; 1 without shares. Guards the others when one
    /// tenant asks too much or its clients repeat without end. May harm where a zone has tenants of its own.
    fn over_share(&mut self, r: &Request) -> f64 {
        let now = r.arrived;
        let quota = |t: &TenantSettings| t.quota_per_s.unwrap_or(0.0);
        let all: f64 = self.cfg.tenants.iter().map(quota).sum();
        let share = self.cfg.tenants.get(r.a.tenant).map_or(0.0, quota) / all.max(1e-9);
        self.tenants.resize(self.cfg.tenants.len(), (0.0, 0));
        let Some(own) = self.tenants.get_mut(r.a.tenant).filter(|_| share > 0.0) else { return 1.0 };
        *own = (faded(*own, now, RECENT) + 1.0, now);
        let own = own.0;
        let count: f64 = self.tenants.iter().map(|t| faded(*t, now, RECENT)).sum();
        let over = (own + TENANT_PRIOR * share) / (count + TENANT_PRIOR) / share;
        (over * over).clamp(0.1, 10.0)
    }

    fn learn_delay(&mut self, ratio: f64) {
        self.delay = (self.delay.0 + ratio.min(2.0), self.delay.1 + 1.0);
    }

    fn steer(&mut self, now: Micros) {
        let span = now.saturating_sub(self.steered).min(1_000_000) as f64;
        self.steered = now;
        self.fleet.values_mut().for_each(|s| s.slow += (1.0 - s.slow) * (span / RECENT).min(1.0));
        // A node that sees little looks back longer, so that the mean still rests on several answers.
        let arrivals = faded(self.arrivals, now, RECENT) / RECENT;
        let fade = (-span / (DELAY_ANSWERS / arrivals.max(1e-9)).clamp(DELAY_AGE, RECENT)).exp();
        self.delay = (self.delay.0 * fade, self.delay.1 * fade);
        let mean = self.delay.0 / (self.delay.1 + 1.0);
        // What waits now, over what gets done (Little's law), tells of a queue before its answers are late.
        let (mut waiting, mut aims) = (0.0, 0.0);
        for r in self.open.values().filter(|r| !r.over && r.first_token.is_none()) {
            (waiting, aims) = (waiting + 1.0, aims + r.aim);
        }
        let done = faded(self.begun, now, DELAY_QUEUE) / DELAY_QUEUE;
        let queue = (waiting - 1.0_f64).max(0.0)
            / (done + 1.0 / DELAY_QUEUE)
            / (aims / f64::max(waiting, 1.0)).max(1.0);
        self.shed = (self.shed + (mean.max(queue) - DELAY_TARGET) * span / 1e6).clamp(0.0, SHED_MOST);
    }

    /// The next thing to do for a request with no attempt out: an attempt, or the final answer.
    fn step(&mut self, now: Micros, mut r: Request, out: &mut Out) {
        let left = (self.cfg.max_attempts as usize).saturating_sub(r.attempts.len());
        // Overload: nothing is read again for what is already late, so that retries do not keep a jam alive.
        let late = (now - r.arrived) as f64 > r.aim && !r.attempts.is_empty() && r.state_at.is_none();
        let in_time = now < r.deadline && !(late && self.shed > SHED_MOST / 2.0);
        let mut target = None;
        if left > 0 && in_time && self.repeat_open(&r, now) {
            if let Some(reader) = r.state_at {
                let held = r.held_at.and_then(|id| self.fleet.get(&id)).filter(|s| {
                    s.entry.condition == Condition::Ready && s.grade(now) < 2 && self.cold_room(s, now)
                });
                let held = held.map(|s| s.entry.id).filter(|id| !r.tried.contains(id));
                let writer = held.or_else(|| self.pick_writer(now, Some(reader), &r, false));
                target = writer.map(|w| (w, Op::Fetch));
            } else {
                target = self.local_writer(now, &mut r).map(|w| (w, Op::Local));
                if target.is_none() && left > 1 {
                    let reader = self.pick_reader(now, &r);
                    target = reader.filter(|id| !self.direct_wins(now, *id, &r)).map(|s| (s, Op::Read));
                }
                if target.is_none() {
                    // No reader or no attempt for two steps: a server that reads for itself.
                    target = self.pick_writer(now, None, &r, true).map(|w| (w, Op::Local));
                }
            }
        }
        match target {
            Some((server, op)) => self.send(now, r, server, op, out),
            None => self.give_up(now, r, out),
        }
    }

    /// Whether a turn is better read where it is written although it is no later turn: its reader would take
    /// much of the wanted time, and a writer a fraction of that. Guards against a jammed or lost reader pool
    /// beside idle writers; may harm running streams, so it needs twice the gain.
    fn direct_wins(&self, now: Micros, reader: ServerId, r: &Request) -> bool {
        let reader = &self.fleet[&reader];
        let read = self.expected(reader, Op::Read, r.new + reader.waiting_tokens(), r.aim);
        let writer = self.pick_writer(now, None, r, true).map(|id| &self.fleet[&id]);
        let margin = |s: &Server| if self.role(s) == Role::Mixed { 1.0 } else { 2.0 };
        let direct = |s: &Server| margin(s) * self.expected(s, Op::Local, r.a.prompt_tokens, r.aim);
        read > JAMMED * r.aim && writer.is_some_and(|s| s.grade(now) == 0 && direct(s) < read)
    }

    /// Tokens of a prompt that nobody has kept. The design page's prompt minus shared opening, extended: what
    /// the session's last prompt held is history, kept where it was read or written, and not new.
    fn new_tokens(&self, a: &Arrival) -> f64 {
        let row = self.rows.get(&(true, a.session)).filter(|_| a.session != 0);
        let history = row.map_or(0.0, |row| row.context).min(a.prompt_tokens);
        (a.prompt_tokens - a.prefix_tokens.max(history)).max(1.0)
    }

    /// The PPD decision for a later turn: the writer that holds its session, if it should read there.
    fn local_writer(&mut self, now: Micros, r: &mut Request) -> Option<ServerId> {
        if r.path.is_some() {
            return None;
        }
        let fresh = |row: &&Row| now.saturating_sub(row.used) < ROW_IDLE;
        let held =
            |row: &Row| self.fleet.get(&row.writer).filter(|s| s.epoch == row.epoch).map(|s| s.entry.id);
        let mut rows = row_keys(&r.a).filter_map(|key| self.rows.get(&key).filter(fresh));
        let mixed = |row: &Row| self.role(&self.fleet[&row.writer]) == Role::Mixed;
        let row = rows.find(|row| held(row).is_some() && (row.session == r.a.session || mixed(row)))?;
        let server = &self.fleet[&row.writer];
        let writers = self.listed().filter(|s| self.role(s) != Role::Prefill);
        let mut loads: Vec<f64> = writers.map(Server::load).collect();
        loads.sort_by(f64::total_cmp);
        let median = loads.get(loads.len() / 2).copied().unwrap_or(0.0);
        // What a writer has forgotten is new again; see `learn_holds`.
        // Tokens of all nodes, by our part, that came since the row's use or that streams hold push it out.
        // Judged by the pool: one node sends any one writer too little to tell.
        let passed =
            (self.flow - row.flow + self.running) * f64::from(self.cfg.nodes) / loads.len().max(1) as f64;
        let kept = passed < self.holds[usize::from(server.entry.kind)] || r.a.prompt_tokens < EMPTY_CELL_NEW;
        let new = if kept { r.new } else { r.a.prompt_tokens };
        let output = output(&r.a);
        let crowd = server.load() / median.max(1.0);
        let key = (
            (r.a.prompt_tokens / 512.0).max(1.0).log2().min(8.0) as u8,
            (new / output * 2.0 + 1.0).log2().min(6.0) as u8,
            (crowd * 2.0).min(5.0) as u8,
        );
        r.path = Some((Path::Remote, key));
        let limits = new < LOCAL_SHARE * r.a.prompt_tokens && server.load() <= LOCAL_CROWD * median.max(1.0);
        let able = self.role(server) == Role::Mixed || self.cfg.decode_may_prefill;
        let well = server.entry.condition == Condition::Ready && server.grade(now) == 0;
        if !(limits && able && well && self.cold_room(server, now)) {
            return None;
        }
        let writer = row.writer;
        let cells = [key, coarse(key)].into_iter().filter_map(|key| self.cells.get(&key));
        let mut fed = cells.filter(|cell| cell.iter().all(|path| !path.empty(now)));
        let local_wins =
            fed.next().map_or(new < EMPTY_CELL_NEW, |[local, remote]| score(local, remote) > 0.0);
        if !local_wins || self.chance() < REMOTE_SHARE {
            return None;
        }
        r.path = Some((Path::Local, key));
        r.passed = passed;
        Some(writer)
    }

    fn learn_cell(&mut self, cell: CellKey, path: Path, learn: impl Fn(&mut PathStats)) {
        for key in [cell, coarse(cell)] {
            learn(&mut self.cells.entry(key).or_default()[path as usize]);
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn send(&mut self, now: Micros, mut r: Request, to: ServerId, op: Op, out: &mut Out) {
        let left = (self.cfg.max_attempts as usize).saturating_sub(r.attempts.len());
        let attempt = r.attempts.len() as u16;
        let tokens = if op == Op::Fetch { r.a.prompt_tokens } else { r.new };
        let server = &self.fleet[&to];
        let ahead = if op == Op::Read { server.waiting_tokens() } else { 0.0 };
        let expected = self.expected(server, op, tokens + ahead, r.aim);
        // A time-out leaves time for another attempt, unless a repeat is ruled out.
        let remaining = r.deadline.saturating_sub(now);
        let once = op != Op::Read && self.cfg.classes[r.a.class].effect != Effect::Safe;
        // A time-out that is no clear multiple of the expected time would only give up places in a jam.
        let part = remaining as f64 * ATTEMPT_PART;
        let stall = if self.cfg.may_cancel { part } else { STALL * expected };
        let timeout =
            if once || left <= 1 || part < PATIENT * expected { 0 } else { part.min(stall) as Micros };
        out.push(Action::Send { request: r.a.id, server: to, timeout });
        let window = self.cfg.fall_window;
        let server = self.at(to);
        if server.entry.started > 0 {
            server.sends.push_back(now);
            while server.sends.front().is_some_and(|t| now.saturating_sub(*t) >= window) {
                server.sends.pop_front();
            }
        }
        server.waiting.insert((r.a.id, attempt), Wait { sent: now, tokens, expected });
        let work = tokens + ahead;
        r.attempts.push(Attempt { server: to, op, sent: now, tokens: work, out: true, streaming: false });
        if op == Op::Read && self.cfg.hold_ahead && left > 1 {
            r.held_at = self.pick_writer(now, Some(to), &r, false);
            if let Some(writer) = r.held_at {
                out.push(Action::HoldAhead { request: r.a.id, server: writer });
            }
        }
        self.open.insert(r.a.id, r);
        self.set_tick(now, out);
    }

    fn set_tick(&mut self, now: Micros, out: &mut Out) {
        let shortest = self.cfg.classes.iter().map(|c| c.ttft_aim).min().unwrap_or(0);
        if !self.ticking && !self.open.is_empty() {
            self.ticking = true;
            out.push(Action::SetTimer { at: now + (shortest / TICKS).max(1_000), token: TICK });
        }
    }

    /// Calls off what waits at stalled servers, so that a hang is not waited out. Where half of a pool seems
    /// stalled it is jammed, and no place in it is better. What may not be repeated stays where it is.
    fn on_tick(&mut self, now: Micros, out: &mut Out) {
        self.ticking = false;
        self.steer(now);
        let stalled = |s: &&Server| s.stalled(now);
        let mut lost = Vec::new();
        for reader in [true, false] {
            let pool = || self.listed().filter(|s| (self.role(s) == Role::Prefill) == reader);
            let hung: Vec<ServerId> = pool().filter(stalled).map(|s| s.entry.id).collect();
            if hung.len() * 2 < pool().count() || pool().count() == 1 {
                lost.extend(hung);
            }
        }
        let called = lost.iter().flat_map(|id| self.fleet[id].waiting.keys().copied());
        let waits: Vec<(RequestId, u16)> = called.collect();
        for (request, attempt) in waits.into_iter().filter(|_| self.cfg.may_cancel) {
            let Some(r) = self.open.get(&request).filter(|r| !r.over) else { continue };
            let op = r.attempts[usize::from(attempt)].op;
            let repeatable = op == Op::Read || self.cfg.classes[r.a.class].effect == Effect::Safe;
            if repeatable && r.attempts.len() < self.cfg.max_attempts as usize {
                out.push(Action::Cancel { request, attempt });
            }
        }
        for id in lost {
            // A server already doubted is blamed again only for a trial that it failed.
            if self.fleet[&id].doubt < 1.0 || !self.fleet[&id].waiting.is_empty() {
                self.blame(id, now, 1.0, out);
            }
            (self.at(id).progress, self.at(id).ended) = (now, now);
        }
        self.set_tick(now, out);
    }

    fn on_first_token(&mut self, now: Micros, id: RequestId, attempt: u16) {
        let Some(r) = self.open.get_mut(&id) else { return };
        let Some(t) = r.attempts.get_mut(usize::from(attempt)).filter(|t| t.out && !t.streaming) else {
            return;
        };
        t.streaming = true;
        r.first_token = Some(now);
        r.state_at = None;
        r.held_at = None;
        let (to, op, sent, tokens) = (t.server, t.op, t.sent, t.tokens);
        let (path, arrived, keys, context) = (r.path, r.arrived, row_keys(&r.a), r.a.prompt_tokens);
        let (session, output, ratio) = (r.a.session, output(&r.a), (now - arrived) as f64 / r.aim.max(1.0));
        self.learn_delay(ratio);
        self.begun = (faded(self.begun, now, DELAY_QUEUE) + 1.0, now);
        if let Some((path, cell)) = path {
            self.learn_cell(cell, path, |stats| stats.ttft.add(now, (now - arrived) as f64));
        }

        self.progress(now, to, op, now - sent, tokens);
        let lasts = self.norms.get(&(Op::Stream, self.role(&self.fleet[&to])));
        let lasts = lasts.filter(|n| n.count > NORM_MIN).and_then(|n| n.expect(output));
        let expected = lasts.unwrap_or(f64::INFINITY);
        let server = self.at(to);
        server.waiting.remove(&(id, attempt));
        server.streams.insert((id, attempt), Wait { sent: now, tokens: context, expected });
        let epoch = server.epoch;
        self.running += context;
        self.flow += if op == Op::Fetch { context } else { tokens };
        let row = Row { writer: to, session, epoch, used: now, context, flow: self.flow };
        self.rows.extend(keys.map(|key| (key, row)));
    }

    /// A server did what it was asked: it clears doubt, and its time against its pool's tells its speed.
    fn progress(&mut self, now: Micros, id: ServerId, op: Op, took: Micros, work: f64) {
        let role = self.role(&self.fleet[&id]);
        let norm = self.norms.entry((op, role)).or_default();
        let ratio = norm.expect(work).map_or(1.0, |e| (took as f64 / e.max(1.0)).min(CLIP));
        norm.learn(now, took as f64, work);
        if op == Op::Read {
            let rich = usize::from(self.pull(&self.fleet[&id].entry) >= 1.0);
            let (sum, count, at) = self.by_pull[rich];
            let fade = faded((1.0, at), now, RECENT);
            self.by_pull[rich] = (sum * fade + ratio, count * fade + 1.0, now);
        }
        let done = &mut self.kind_done[usize::from(self.fleet[&id].entry.kind)];
        *done = (faded(*done, now, RECENT) + 1.0, now);
        let server = self.at(id);
        server.judge(now, ratio);
        server.doubt *= 0.3;
        server.progress = now;
    }

    fn on_ended(&mut self, now: Micros, id: RequestId, no: u16, end: (Outcome, u32, bool), out: &mut Out) {
        let (attempt, (outcome, kept, finished)) = (no, end);
        let Some(mut r) = self.open.remove(&id) else { return };
        let Some(t) = r.attempts.get_mut(usize::from(attempt)).filter(|t| t.out) else {
            self.open.insert(id, r);
            return;
        };
        t.out = false;
        let (to, op, sent, work) = (t.server, t.op, t.sent, t.tokens);
        self.at(to).waiting.remove(&(id, attempt));
        let ended = self.at(to).streams.remove(&(id, attempt));
        self.running -= ended.map_or(0.0, |w| w.tokens);
        match outcome {
            Outcome::Read => {
                self.progress(now, to, op, now - sent, work);
                r.state_at = Some(to);
            }
            Outcome::Served => {
                if op == Op::Local && r.path.is_some_and(|(p, _)| p == Path::Local) {
                    self.learn_holds(to, r.a.prompt_tokens - r.new, kept, r.passed);
                }
                if let (Some((path, cell)), Some(first)) = (r.path, r.first_token) {
                    let pace = (now - first) as f64 / output(&r.a);
                    self.learn_cell(cell, path, |stats| stats.pace.add(now, pace));
                }
                if let Some(first) = r.first_token {
                    (self.at(to).progress, self.at(to).ended) = (now, now);
                    let role = self.role(&self.fleet[&to]);
                    let norm = self.norms.entry((Op::Stream, role)).or_default();
                    norm.learn(now, (now - first) as f64, output(&r.a));
                }
                for key in row_keys(&r.a) {
                    self.rows.get_mut(&key).into_iter().for_each(|row| row.used = now);
                }
            }
            Outcome::Full => self.at(to).full_until = now + (r.aim / 4.0) as Micros,
            Outcome::StateLost => r.state_at = None,
            Outcome::ConnectFailed | Outcome::Reset => {
                self.at(to).epoch += 1;
                self.blame(to, now, if outcome == Outcome::Reset { 0.5 } else { 1.0 }, out);
            }
            // A busy server that got other work done meanwhile is not a sick one.
            Outcome::TimedOut | Outcome::Cancelled if !r.over => {
                self.at(to).judge(now, CLIP);
                if outcome == Outcome::TimedOut && self.at(to).progress < sent {
                    self.blame(to, now, 0.6, out);
                }
            }
            Outcome::Error => self.blame(to, now, 0.3, out),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if !matches!(outcome, Outcome::Read | Outcome::StateLost | Outcome::NotSent) {
            r.tried.push(to);
        }
        let may_run =
            matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if may_run && op != Op::Read && r.may_have_run.is_none() {
            r.may_have_run = Some((to, sent));
        }
        if r.held_at == Some(to) && outcome != Outcome::Read && op != Op::Read {
            r.held_at = None;
        }
        if finished || r.over {
            self.close(now, r, out);
        } else if r.attempts.iter().any(|t| t.out) {
            self.open.insert(id, r);
        } else {
            self.step(now, r, out);
        }
    }

    /// Guards against writers that forgot (other sessions, a flush, an unseen restart): a local turn is a
    /// full read among running streams. The kept count tells at once, long before the cell's averages do, how
    /// much may pass through that writer. May harm where kept counts are not told.
    fn learn_holds(&mut self, id: ServerId, expected: f64, kept: u32, passed: f64) {
        let kind = usize::from(self.fleet[&id].entry.kind);
        let holds = &mut self.holds[kind];
        if f64::from(kept) < 0.5 * expected {
            *holds += 0.5 * (holds.min(passed * HOLDS_STEP) - *holds);
        } else {
            *holds = holds.max(passed / HOLDS_STEP);
        }
    }

    fn on_gone(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let Some(r) = self.open.remove(&id) else { return };
        for (i, _) in r.attempts.iter().enumerate().filter(|(_, t)| t.out && !t.streaming) {
            if self.cfg.may_cancel {
                out.push(Action::Cancel { request: id, attempt: i as u16 });
            }
        }
        self.close(now, r, out);
    }

    // ---- Rule guards

    /// Whether a request that may have run may be sent again at all (no effect twice).
    fn repeat_open(&self, r: &Request, now: Micros) -> bool {
        let class = &self.cfg.classes[r.a.class];
        match (class.effect, r.may_have_run) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed, Some((_, sent))) => now.saturating_sub(sent) < class.repeat_window,
        }
    }

    /// Whether this server drops repeats of a keyed request that may have run.
    fn repeat_allowed(&self, r: &Request, to: &Server, now: Micros) -> bool {
        let class = &self.cfg.classes[r.a.class];
        let Some((ran_at, _)) = r.may_have_run.filter(|_| class.effect != Effect::Safe) else { return true };
        let Some(ran_at) = self.fleet.get(&ran_at) else { return false };
        self.repeat_open(r, now)
            && match class.group {
                RepeatGroup::All => true,
                RepeatGroup::Zone => ran_at.entry.zone == to.entry.zone,
                RepeatGroup::Cell => ran_at.entry.cell == to.entry.cell,
            }
    }

    /// The final answer of a request that cannot be served: a refusal where trying again does no harm.
    fn give_up(&mut self, now: Micros, r: Request, out: &mut Out) {
        let class = &self.cfg.classes[r.a.class];
        let keyed_everywhere = class.effect == Effect::Keyed && class.group == RepeatGroup::All;
        let harmless = class.effect == Effect::Safe || r.may_have_run.is_none() || keyed_everywhere;
        out.push(match harmless && now < r.deadline {
            true => Action::Refuse { request: r.a.id, retry_after: self.cfg.max_retry_after },
            false => Action::Fail(r.a.id),
        });
        self.close(now, r, out);
    }

    /// Ends a request: lets go of what is held, and forgets it once its attempts are in.
    fn close(&mut self, now: Micros, mut r: Request, out: &mut Out) {
        if !r.over {
            if r.first_token.is_none() && !r.attempts.is_empty() {
                // A client of little patience tells no more than how long it waited.
                let ratio = (now - r.arrived) as f64 / r.aim.max(1.0);
                self.learn_delay(ratio);
            }
            if let (Some((path, cell)), None) = (r.path, r.first_token) {
                // An unserved request must not flatter its path: the time it cost counts.
                let cost = (now - r.arrived).max(r.aim as Micros) as f64;
                self.learn_cell(cell, path, |stats| stats.ttft.add(now, cost));
            }
        }
        if r.first_token.is_none() {
            // Nothing is left pinned, also when a late outcome of an ended request leaves a state behind.
            out.push(Action::Release(r.a.id));
        }
        r.over = true;
        if r.attempts.iter().any(|t| t.out) {
            self.open.insert(r.a.id, r);
        }
    }
}
