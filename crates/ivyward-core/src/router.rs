//! The decision module. Its interface (types, events, actions) is `src/interface.rs`.
//!
//! One mechanism decides the ordinary path: PPD of "Not All Prefills Are Equal" (arXiv:2603.13358), online:
//! a later turn is read where its state is held or takes the prefill path, by a score per workload cell.
//! docs/design.md tells what was kept, what was changed and when each exception acts.

use crate::interface::*;
use crate::state::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

// ---- Constants: shares, counts, or multiples of told or learned figures; none is a deployment's figure.

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
/// Averages of cells, and what prefixes bring, fade over this span: several think times.
const CELL_AGE: f64 = 60e6;
/// A session row is dropped after this idle time (design page).
const ROW_IDLE: Micros = 120_000_000;
/// The first reader of the ring is taken whose cost is within this multiple of the least.
const RING_BOUND: f64 = 1.75;
/// A reader is preferred by its rack's share of writers over its share of readers, within these bounds.
const PULL_LEAST: f64 = 0.3;
const PULL_MOST: f64 = 1.6;
/// Where crossing zones has a price, a reader in another zone than this node's has this part of its place.
const FAR_PLACE: f64 = 0.3;
/// How much these two count is learned: first tokens of what was read there against those of the rest, as
/// parts of their aim, move it by their difference a second, over this. Little seen counts as quick.
const LEAN_LEAST: f64 = 0.2;
/// A prefix has one home, and one more for each mean reader's load that it brings, times this.
const HOMES: f64 = 0.6;
/// Step of the running mean of worth: about the last ten arrivals.
const STEP: f64 = 0.1;
/// One observation may not count for more than this multiple of what was expected.
const CLIP: f64 = 3.0;
/// A wait of this multiple of its expected time, and of this part of the aim, without progress is a stall.
const STALL: f64 = 6.0;
const STALL_LEAST: f64 = 0.6;
/// Call-offs are at most this part of arrivals: in a jam each one is work done again.
const CALL_OFFS: f64 = 0.05;
/// Part of the time left that an attempt may take while another could follow.
const ATTEMPT_PART: f64 = 0.65;
/// No time-out is set under this multiple of what the attempt is expected to take.
const PATIENT: f64 = 4.0;
/// Looks for stalled servers in the shortest wanted first-token time.
const TICKS: u64 = 8;
/// First pause before a doubted server is tried again: the time in which it would get a send of ours, but at
/// least this share of its time to warm, and never more than that time. It doubles.
const TRIAL_GAP: f64 = 0.05;
/// Part of the cold budget that is spent at most: the learned rate is a guess and chance has a say.
const COLD_SAFETY: f64 = 0.8;
/// What was sent lately may grow so many times before the window of rule 4 is over.
const BURST: f64 = 2.0;
/// A part of arrivals is refused while first tokens come later than this share of their aim.
const DELAY_TARGET: f64 = 0.8;
/// The mean of first-token delays fades over this span, so that a node that refused much soon tries again,
/// or over the span in which so many requests arrive, if that is longer.
const DELAY_AGE: f64 = 2e6;
const DELAY_ANSWERS: f64 = 8.0;
/// The rate at which answers begin is counted over this span.
const DELAY_QUEUE: f64 = 4e6;
/// No more than this part is refused, so that answers go on telling how things stand.
const SHED_MOST: f64 = 0.8;
/// A tenant is taken to ask for its share, a prefix for none, until about so many arrivals tell otherwise.
const SHARE_PRIOR: f64 = 5.0;
/// A move out of the rack, and again one out of the zone, is worth this multiple of a writer's load.
const OUTSIDE: f64 = 1.5;
/// Streams added to our own when near writers are weighed against far ones: a few alone tell little.
const FEW_STREAMS: f64 = 3.0;
/// Rates, pools' times and a server's slowness (one that gets little must not stay avoided) fade over this.
const RECENT: f64 = 10e6;
/// A server is taken for a usual one until about so many answers have told otherwise.
const JUDGE_PRIOR: f64 = 3.0;
/// Readers that take this share of the wanted time are jammed: a first turn may be read where it is written.
const JAMMED: f64 = 0.3;
/// A decode server reads such a turn only where it is this many times as quick; a mixed one is there to read.
const DIRECT_MARGIN: f64 = 2.0;
/// What is held is let go after this part of its told time if no attempt came to a server; each but the last
/// may take this part of what is left of that, and none begins in the last part of the told time.
const HELD_PART: f64 = 0.7;
const HELD_DIAL: f64 = 0.5;
const HELD_LEAST: f64 = 0.1;
/// Multiple of the readers' time that an op without answers so far is taken to need.
const UNSEEN: f64 = 3.0;
/// What turns a tenant away is remembered for a quarter of the aim, twice as long each time, so many times.
const LIMITED: i32 = 5;
/// Log lines per start, and timer tokens.
const LOG_LINES: u32 = 40;
const SUBSCRIBE: u64 = 0;
const TICK: u64 = 1;

// ---- Fleet and health

impl Server {
    fn load(&self) -> f64 {
        (self.streams + self.waiting.len()) as f64
    }
    fn waiting_tokens(&self) -> f64 {
        self.waiting.values().map(|w| w.tokens).sum()
    }
    /// How much slower than a usual server of its pool: the more answers lately, the more they tell.
    fn slow(&self, now: Micros) -> f64 {
        self.times
            .mean_near(now, self.span.max(RECENT), 1.0, JUDGE_PRIOR)
            .max(0.5)
    }
    /// Age of the oldest wait: tells of a queue that other nodes filled.
    fn oldest(&self, now: Micros) -> f64 {
        self.waiting
            .values()
            .map(|w| now.saturating_sub(w.sent))
            .max()
            .unwrap_or(0) as f64
    }
    /// Guards against servers that take work and answer none, for any cause (hang, cut link, pause): a wait
    /// far over its own expected time, which is long for a heavy prompt, with nothing back meanwhile. May
    /// harm when all latencies jump at once; the pool is not emptied then, for pickers fall back on these.
    fn stalled(&self, now: Micros) -> bool {
        let since = |w: &Wait| now.saturating_sub(w.sent.max(self.progress)) as f64;
        self.waiting.values().any(|w| since(w) > STALL * w.expected)
    }
    /// 0: use freely; 1: full of late, for all or for this tenant; 2: doubted or stalled, only when nothing
    /// else is left.
    fn grade(&self, now: Micros, tenant: usize, once: bool) -> u8 {
        // What may not be sent again is no trial: a server that errs at once is always the least loaded one.
        let trial_due = now >= self.trial_at && self.waiting.is_empty() && !once;
        if self.doubt >= 1.0 && !trial_due || self.stalled(now) {
            return 2;
        }
        let limited = self.turned_away.get(&tenant).is_some_and(|t| now < t.1);
        u8::from(now < self.full_until || limited)
    }
    /// Guards against servers that limit one tenant: its requests are turned away while others' are served,
    /// so each further time makes the memory of it longer, for that tenant alone, until it is served there.
    fn turn_away(&mut self, now: Micros, r: &RequestState) {
        let (times, until) = self.turned_away.entry(r.a.tenant).or_default();
        *times = (*times + 1).min(LIMITED);
        *until = now + (r.aim / 8.0 * 2f64.powi(*times)) as Micros;
        if *times == 1 {
            self.full_until = *until;
        }
    }
}

impl Norm {
    fn expect(&self, work: f64) -> Option<f64> {
        let part = 0.5 + 0.5 * work / self.work.mean().max(1.0);
        (self.work.count > 0.0).then(|| self.latency.mean() * part)
    }
    fn learn(&mut self, now: Micros, latency: f64, work: f64) {
        let most = if self.work.count > 0.0 {
            CLIP * self.latency.mean()
        } else {
            latency
        };
        self.latency.add(now, RECENT, latency.min(most));
        self.work.add(now, RECENT, work);
    }
}

impl PathStats {
    fn fed(&self, now: Micros) -> bool {
        [self.ttft, self.pace]
            .iter()
            .all(|of| of.left(now, CELL_AGE).1 >= CELL_MIN)
    }
}

/// All cells of one bin of new tokens: judged by while a node has too few answers for the cell itself.
fn coarse(cell: CellKey) -> CellKey {
    (u8::MAX, cell.1, u8::MAX)
}

/// The paper's score in its balanced setting, from the averages of a cell: positive means local.
fn score([local, remote]: &[PathStats; 2]) -> f64 {
    let gain = (remote.ttft.mean() - local.ttft.mean()) / remote.ttft.mean().max(1.0);
    let loss = (local.pace.mean() - remote.pace.mean()) / remote.pace.mean().max(1.0);
    gain - loss
}

/// Decides for one node. See [`Router::handle`].
#[derive(Default)]
pub struct Router {
    cfg: Settings,
    random: u64,
    /// The seed of this node's lots on cold servers.
    lots: u64,
    fleet: BTreeMap<EndpointId, Server>,
    /// Sum of weights and count of the listed machines of each kind.
    kinds: Vec<(f64, f64)>,
    /// What they can do now, as so many warm ones of mean size; when that is looked at again.
    present: Vec<f64>,
    next_look: Micros,
    /// Whether any of them is cold.
    cold: bool,
    /// For each rack its share of writers over its share of readers, within bounds.
    racks: BTreeMap<u16, f64>,
    rows: BTreeMap<(bool, u64), Row>,
    cells: BTreeMap<CellKey, [PathStats; 2]>,
    open: BTreeMap<RequestId, RequestState>,
    norms: BTreeMap<(Op, Role), Norm>,
    /// First-token times over aims of what was read beside few writers, and beside many; in other zones, and
    /// in this one; how much each of the two counts.
    by_place: [[Fading; 2]; 2],
    lean: [f64; 2],
    /// What each kind of machine got done for us lately (storms of retries must not count), over what it can.
    kind_done: Vec<Fading>,
    /// Our sends to writers and to readers, and since when requests come without a long gap.
    sent: [Fading; 2],
    since: Micros,
    /// Prompt tokens of ours that came into writers' memory so far, and those of our running streams.
    flow: f64,
    running: f64,
    /// For each kind: tokens of all nodes that may pass through one writer before it forgets a session.
    holds: Vec<f64>,
    /// Recent prompt tokens of each prefix, and of all.
    prefixes: BTreeMap<u64, Fading>,
    asked: Fading,
    next_sweep: Micros,
    ticking: bool,
    /// First-token times over aims; arrivals, of all and of each tenant; first tokens; call-offs.
    delay: Fading,
    arrivals: Fading,
    tenants: Vec<Fading>,
    begun: Fading,
    called_off: Fading,
    /// The part of arrivals refused, when that was last steered, and the running mean of worth.
    shed: f64,
    steered: Micros,
    worth: f64,
    logged: u32,
}

impl Router {
    /// A router that knows only its settings. `seed` feeds its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let kinds = settings.roles.len();
        let memory = |kind| {
            settings
                .memory_tokens
                .get(kind)
                .map_or(f64::INFINITY, |m| m * HOLDS_FIRST)
        };
        Router {
            random: mix(seed),
            lots: mix(!seed),
            kinds: vec![(0.0, 0.0); kinds],
            present: vec![0.0; kinds],
            kind_done: vec![Fading::default(); kinds],
            holds: (0..kinds).map(memory).collect(),
            lean: [0.0, 1.0],
            tenants: vec![Fading::default(); settings.tenants.len()],
            cfg: settings,
            ..Router::default()
        }
    }

    /// Takes in one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if now >= self.next_look {
            self.look(now);
        }
        match event {
            Event::EndpointList { kind, endpoints } => self.on_fleet(now, kind, &endpoints, out),
            Event::Request(arrival) => self.on_request(now, arrival, out),
            Event::FirstToken { request, attempt } => self.on_first_token(now, request, attempt),
            Event::ReservationResult {
                request,
                endpoint,
                reserved,
            } => {
                let asked = self
                    .open
                    .get_mut(&request)
                    .filter(|r| r.held_at == Some(endpoint) && !reserved);
                asked.into_iter().for_each(|r| r.held_at = None);
            }
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                cached_tokens: kept_tokens,
                finished,
                ..
            } => {
                self.on_ended(now, request, attempt, (outcome, kept_tokens, finished), out);
            }
            Event::ClientDisconnected(request) => self.on_gone(now, request, out),
            Event::Timer(SUBSCRIBE) => out.push(Action::Subscribe),
            Event::Timer(TICK) => self.on_tick(now, out),
            Event::ReplicaCount(nodes) => self.cfg.replica_count = nodes,
            Event::Timer(_) | Event::HealthCheckResult { .. } => {}
        }
    }

    fn on_fleet(&mut self, now: Micros, kind: ListKind, entries: &[Endpoint], out: &mut Out) {
        match kind {
            ListKind::Failed => out.push(Action::SetTimer {
                at: now + 1_000_000,
                token: SUBSCRIBE,
            }),
            ListKind::Cached if self.cfg.must_subscribe => out.push(Action::Subscribe),
            _ => {}
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.fleet
                .values_mut()
                .for_each(|s| s.entry.state = EndpointState::Removed);
        }
        for entry in entries
            .iter()
            .filter(|e| usize::from(e.machine_type) < self.cfg.roles.len())
        {
            let new = || Server {
                entry: *entry,
                ..Server::default()
            };
            let server = self.fleet.entry(entry.id).or_insert_with(new);
            if server.entry.started_at != entry.started_at || entry.state == EndpointState::Removed
            {
                // Restarted or gone: nothing it kept is there any more, and its past tells nothing.
                server.epoch += 1;
                (server.times, server.doubt, server.full_until) = (Fading::default(), 0.0, 0);
                server.turned_away.clear();
            }
            server.entry = *entry;
        }
        self.forget_gone();
        let listed: Vec<Endpoint> = self.listed().map(|s| s.entry).collect();
        self.kinds.fill((0.0, 0.0));
        for entry in &listed {
            let (sum, count) = &mut self.kinds[usize::from(entry.machine_type)];
            (*sum, *count) = (*sum + entry.weight.max(0.01), *count + 1.0);
        }
        self.look(now);
        let (mut all, mut racks) = ([0.0; 2], BTreeMap::<u16, [f64; 2]>::new());
        for entry in &listed {
            let side =
                usize::from(self.cfg.roles[usize::from(entry.machine_type)] != Role::Prefill);
            racks.entry(entry.rack).or_default()[side] += self.size(entry);
            all[side] += self.size(entry);
        }
        let pull = |read: f64, write: f64| {
            (write / all[1].max(0.01)) / (read / all[0].max(0.01)).max(0.01)
        };
        let pulls = racks
            .into_iter()
            .map(|(rack, [r, w])| (rack, pull(r, w).clamp(PULL_LEAST, PULL_MOST)));
        self.racks = pulls.collect();
    }

    /// Forgets servers that are gone and to which no request in hand was sent, with the sessions they held.
    fn forget_gone(&mut self) {
        let used: BTreeSet<EndpointId> = self
            .open
            .values()
            .flat_map(|r| r.attempts.iter().map(|t| t.server))
            .collect();
        let before = self.fleet.len();
        self.fleet
            .retain(|id, s| s.entry.state != EndpointState::Removed || used.contains(id));
        if self.fleet.len() < before {
            self.rows
                .retain(|_, row| self.fleet.contains_key(&row.writer));
        }
    }

    /// Servers that are remembered: those listed, and those gone to which a request in hand was sent.
    pub fn known(&self) -> usize {
        self.fleet.len()
    }

    fn role(&self, server: &Server) -> Role {
        self.cfg.roles[usize::from(server.entry.machine_type)]
    }

    fn listed(&self) -> impl Iterator<Item = &Server> {
        self.fleet
            .values()
            .filter(|s| s.entry.state == EndpointState::Ready)
    }

    /// The servers that read for others, or those that write.
    fn pool(&self, readers: bool) -> impl Iterator<Item = &Server> {
        self.listed()
            .filter(move |s| (self.role(s) == Role::Prefill) == readers)
    }

    /// The part of its capacity that a server has; 1 when warm. Growth is not told: 3/4 of a line is taken.
    fn capacity_share(&self, entry: &Endpoint, now: Micros) -> f64 {
        let (age, warm) = (
            now.saturating_sub(entry.started_at) as f64,
            self.cfg.warm_up_duration as f64,
        );
        if entry.started_at == 0 || age >= warm {
            return 1.0;
        }
        let start = self.cfg.initial_capacity.min(1.0);
        start + (1.0 - start) * 0.75 * age / warm.max(1.0)
    }

    /// Takes note of what the listed machines of each kind can do now.
    fn look(&mut self, now: Micros) {
        self.next_look = now + self.cfg.warm_up_duration / 64 + 1;
        let mut present = vec![0.0; self.kinds.len()];
        for s in self.listed() {
            present[usize::from(s.entry.machine_type)] +=
                self.size(&s.entry) * self.capacity_share(&s.entry, now);
        }
        let cold = self
            .listed()
            .any(|s| self.capacity_share(&s.entry, now) < 1.0);
        self.cold = cold;
        self.present = present;
    }

    /// The part of its capacity that it most likely has: that at its start is told as the least, the time
    /// until it is warm as the most. What all send is shared out by this, what each may send by the other.
    fn likely_share(&self, entry: &Endpoint, now: Micros) -> f64 {
        let (age, warm) = (
            now.saturating_sub(entry.started_at) as f64,
            self.cfg.warm_up_duration as f64,
        );
        let (told, start) = (
            self.capacity_share(entry, now),
            self.cfg.initial_capacity.min(1.0),
        );
        let likely = start + (1.0 - start) * (0.1 + age / (0.75 * warm).max(1.0));
        // What is told to be warm is warm.
        likely.min(1.0).max(told.floor())
    }

    /// Guards a cold server: this node's part of the told budget, with what its kind does for it by present
    /// capacity as the guide. Retries and later turns spend it too. A part under one send becomes a chance
    /// of one send a window, drawn by lot, so that many nodes that each see little keep the budget together;
    /// `spread` (see there) tells how seldom an open lot is used, `home` how much more one's own keys bring.
    fn cold_room(&self, server: &Server, now: Micros, spread: f64, home: f64) -> bool {
        let share = self.capacity_share(&server.entry, now);
        if share >= 1.0 || self.cfg.overload_multiple <= 0.0 {
            return true;
        }
        let window = self.cfg.overload_window.max(1);
        let sent = server
            .sends
            .iter()
            .filter(|t| now.saturating_sub(**t) < window)
            .count() as f64;
        // While requests have not come for long, over the time that they have.
        let since = now.saturating_sub(self.since).max(window) as f64;
        let usual = self.usual_rate(&server.entry, now) / (1.0 - (-since / RECENT).exp());
        let usual = usual.max(self.first_rate(&server.entry));
        let budget = COLD_SAFETY * self.cfg.overload_multiple * share * usual * window as f64;
        let used = 1.0 - (-spread * self.size(&server.entry) * share - home).exp();
        let lot = unit(self.lots ^ mix(server.entry.id.0) ^ mix(now / window));
        sent + 1.0 <= budget || sent == 0.0 && lot * used < budget
    }

    /// What this node is to send in a window to each unit of present capacity among those it may use.
    /// Nobody asks for it while all are warm.
    fn spread(&self, now: Micros, readers: bool, r: &RequestState) -> f64 {
        if !self.cold {
            return 0.0;
        }
        let able =
            |s: &&Server| s.grade(now, r.a.tenant, false) < 2 && !r.tried.contains(&s.entry.id);
        let usable = self.pool(readers).filter(able);
        let usable: f64 = usable
            .map(|s| self.size(&s.entry) * self.capacity_share(&s.entry, now))
            .sum();
        BURST * self.sends(now, readers) / usable.max(0.01)
    }

    /// What this node sent to a pool in the window of rule 4.
    fn sends(&self, now: Micros, readers: bool) -> f64 {
        self.sent[usize::from(readers)]
            .left(now, self.cfg.overload_window as f64)
            .1
            .max(1.0)
    }

    /// Guards against a fleet in which all are new: nothing was done yet that could tell what they stand. One
    /// request in the longest wanted time is within any server's means; that, over all nodes.
    fn first_rate(&self, entry: &Endpoint) -> f64 {
        let aim = self
            .cfg
            .classes
            .iter()
            .map(|c| c.ttft_objective)
            .max()
            .unwrap_or(0)
            .max(1);
        self.size(entry) / aim as f64 / f64::from(self.cfg.replica_count.max(1))
    }

    /// What a warm server of that kind and size gets done for this node in a microsecond, by the capacity
    /// that its kind had when it did it: cold ones that do little must not make others look smaller than
    /// they are, nor those that have left make the rest look larger.
    fn usual_rate(&self, entry: &Endpoint, now: Micros) -> f64 {
        self.kind_done[usize::from(entry.machine_type)]
            .left(now, RECENT)
            .0
            / RECENT
            * self.size(entry)
    }

    /// Size against the mean of its kind: told weights compare servers of one kind only.
    fn size(&self, entry: &Endpoint) -> f64 {
        let (sum, count) = self.kinds[usize::from(entry.machine_type)];
        entry.weight.max(0.01) * count.max(1.0) / sum.max(0.01)
    }

    fn pull(&self, entry: &Endpoint) -> f64 {
        self.racks.get(&entry.rack).copied().unwrap_or(1.0)
    }

    fn learn_place(&mut self, now: Micros, reader: EndpointId, ratio: f64) {
        let entry = self.fleet[&reader].entry;
        let near = [self.pull(&entry) >= 1.0, entry.zone == self.cfg.zone];
        for (of, near) in self.by_place.iter_mut().zip(near) {
            of[usize::from(near)].add(now, RECENT, ratio.min(2.0));
        }
    }

    fn effective_weight(&self, server: &Server, now: Micros) -> f64 {
        self.size(&server.entry) * self.likely_share(&server.entry, now) / server.slow(now)
    }

    fn expected(&self, now: Micros, server: &Server, op: Op, work: f64, aim: f64) -> f64 {
        let norm = |key| self.norms.get(&key).and_then(|n| n.expect(work));
        // A writer that has not yet read for us is taken to read more slowly than the readers do.
        let norm =
            norm((op, self.role(server))).or(norm((Op::Read, Role::Prefill)).map(|e| e * UNSEEN));
        (norm.unwrap_or(aim / 4.0) * server.slow(now).clamp(1.0, 2.0))
            .max(STALL_LEAST * aim / STALL)
    }

    /// A server that was listed once stays known.
    fn at(&mut self, id: EndpointId) -> &mut Server {
        self.fleet
            .get_mut(&id)
            .expect("a server once listed stays known")
    }

    /// Takes note of a failure that says something of the server. A pause in which a node would send it
    /// nothing anyway is none, so it is no shorter than the usual time between two sends of ours.
    fn blame(&mut self, id: EndpointId, now: Micros, amount: f64, out: &mut Out) {
        let warm = self.cfg.warm_up_duration as f64;
        let least = warm * TRIAL_GAP + 100_000.0;
        let usual = 1.0 / self.usual_rate(&self.fleet[&id].entry, now).max(1e-12);
        let (first, most) = (usual.clamp(least, warm.max(least)), warm.max(least));
        let server = self.at(id);
        let before = server.doubt;
        server.doubt = (server.doubt + amount).min(3.0);
        if server.doubt >= 1.0 {
            let next = (server.trial_gap as f64 * 2.0)
                .min(first.max(4.0 * least))
                .min(most);
            server.trial_gap = if before < 1.0 { first } else { next } as Micros;
            server.trial_at = now + server.trial_gap;
            let waits = server.waiting.len();
            if before < 1.0 && self.logged < LOG_LINES {
                self.logged += 1;
                out.push(Action::Log(format!(
                    "server {:x} doubted, {waits} more of ours wait there",
                    id.0
                )));
            }
        }
    }

    // ---- Reader ring

    /// Consistent hashing with bounded loads: in the order of the hash, the first reader within the bound.
    /// A prefix has as many homes as its share of what was asked fills, and a session keeps to one of them.
    fn pick_reader(&self, now: Micros, r: &RequestState) -> Option<EndpointId> {
        let session = if r.a.session != 0 {
            r.a.session
        } else {
            r.a.id.0
        };
        let key = if r.a.prefix != 0 { r.a.prefix } else { session };
        let spread = self.spread(now, true, r);
        let may = |s: &&Server| !r.tried.contains(&s.entry.id) && self.repeat_allowed(r, s, now);
        let mut ring: Vec<&Server> = self.pool(true).filter(may).collect();
        let place = |s: &Server, key: u64| {
            // All nodes (of a zone) are to name the same homes: what is learned moves only in a jam.
            let far = s.entry.zone != self.cfg.zone && self.cfg.cross_zone_price > 0.0;
            let near = if far {
                FAR_PLACE.powf(self.lean[1])
            } else {
                1.0
            };
            let near = near * self.pull(&s.entry).powf(self.lean[0]);
            let weight = near * self.size(&s.entry) * self.likely_share(&s.entry, now);
            -(unit(mix(key) ^ mix(s.entry.id.0)) + 1e-16).ln() / weight
        };
        ring.sort_by_cached_key(|s| (place(s, key).to_bits(), s.entry.id));
        let asked = self
            .prefixes
            .get(&key)
            .map_or(0.0, |p| p.left(now, CELL_AGE).0);
        let share =
            asked / (self.asked.left(now, CELL_AGE).0 + SHARE_PRIOR * self.asked.mean()).max(1.0);
        let homes = |ring: &Vec<&Server>| {
            ((share * ring.len() as f64 * HOMES) as usize + 1).min(ring.len())
        };
        // Guards a cold home of an opening that many nodes ask for: more of them use an open lot there.
        let (mut rank, all) = (0.., homes(&ring));
        let home = share * self.sends(now, true) / all as f64;
        ring.retain(|s| {
            self.cold_room(
                s,
                now,
                spread,
                if rank.next() < Some(all) { home } else { 0.0 },
            )
        });
        let best = ring.iter().map(|s| s.grade(now, r.a.tenant, false)).min()?;
        ring.retain(|s| s.grade(now, r.a.tenant, false) == best);
        let homes = homes(&ring);
        let home =
            (0..homes).min_by(|a, b| place(ring[*a], session).total_cmp(&place(ring[*b], session)));
        ring.rotate_left(home.unwrap_or(0));
        // What other nodes sent there shows in the age of our oldest wait. Elsewhere the opening is read too.
        let norm = self
            .norms
            .get(&(Op::Read, Role::Prefill))
            .copied()
            .unwrap_or_default();
        let rate = norm.work.mean() / norm.latency.mean().max(1.0);
        let cost = |(i, s): (usize, &&Server)| {
            let work = if i < homes { r.new } else { r.a.prompt_tokens };
            // A cold one got its smaller place in the ring; only what waits there weighs more than elsewhere.
            let waits =
                s.waiting_tokens().max(s.oldest(now) * rate) / self.likely_share(&s.entry, now);
            (norm.work.mean() + work + waits) * s.slow(now) / self.size(&s.entry)
        };
        let costs: Vec<f64> = ring.iter().enumerate().map(cost).collect();
        let bound = RING_BOUND * costs.iter().copied().fold(f64::INFINITY, f64::min);
        costs
            .iter()
            .position(|c| *c <= bound)
            .map(|i| ring[i].entry.id)
    }

    // ---- Writer choice

    /// The writer with the fewest of our streams for its size: the best of the reader's rack, of its zone
    /// and of the rest, then the cheapest of these. What all nodes would decide alike is drawn by lot: a
    /// server's load beyond our own streams is not seen, so parts of one stream are random.
    fn pick_writer(
        &self,
        now: Micros,
        from: Option<EndpointId>,
        r: &RequestState,
        reads: bool,
    ) -> Option<EndpointId> {
        let from = from.and_then(|id| self.fleet.get(&id)).map(|s| s.entry);
        let able =
            |s: &Server| !reads || self.role(s) == Role::Mixed || self.cfg.decode_may_prefill;
        let writers = self
            .pool(false)
            .filter(|s| able(s) && !r.tried.contains(&s.entry.id));
        let spread = self.spread(now, false, r);
        let writers = writers
            .filter(|s| self.cold_room(s, now, spread, 0.0) && self.repeat_allowed(r, s, now));
        let once = self.cfg.classes[r.a.class].idempotency == Idempotency::NonIdempotent;
        let mut tiers: [Option<(u8, f64, f64, &Server)>; 3] = [None; 3];
        let lot = mix(self.random ^ r.a.id.0);
        for s in writers {
            let tier = usize::from(from.is_some_and(|f| f.rack != s.entry.rack))
                + usize::from(from.map_or(self.cfg.zone, |f| f.zone) != s.entry.zone);
            let mut each = (1.0 + s.oldest(now) / r.aim.max(1.0)) / self.effective_weight(s, now);
            if reads {
                each *= self.expected(now, s, Op::Local, r.a.prompt_tokens, r.aim);
            }
            let cost = (s.load() + unit(lot ^ mix(s.entry.id.0))) * each;
            let grade = s.grade(now, r.a.tenant, once);
            if tiers[tier].is_none_or(|best| (grade, cost) < (best.0, best.1)) {
                tiers[tier] = Some((grade, cost, each, s));
            }
        }
        // Other nodes choose as we do, so our own streams stand for all, as far as so few can.
        let best = tiers.iter().enumerate().filter_map(|(tier, best)| {
            let (grade, _, each, s) = (*best)?;
            Some((
                grade,
                (s.load() + FEW_STREAMS) * each * OUTSIDE.powi(tier as i32),
                s.entry.id,
            ))
        });
        best.min_by(|a, b| {
            (a.0, a.1)
                .partial_cmp(&(b.0, b.1))
                .unwrap_or(Ordering::Equal)
        })
        .map(|t| t.2)
    }

    // ---- RequestState life cycle

    fn on_request(&mut self, now: Micros, a: Request, out: &mut Out) {
        if now >= self.next_sweep {
            self.next_sweep = now + ROW_IDLE / 16;
            self.rows
                .retain(|_, row| now.saturating_sub(row.used) < ROW_IDLE);
            self.prefixes
                .retain(|_, p| now.saturating_sub(p.at) < ROW_IDLE);
        }
        let Some(class) = self.cfg.classes.get(a.class) else {
            out.push(Action::Reject {
                request: a.id,
                retry_after: 0,
            });
            return;
        };
        let aim =
            class.ttft_objective as f64 + class.ttft_objective_per_1000 * a.prompt_tokens / 1000.0;
        if now.saturating_sub(self.asked.at) as f64 > RECENT {
            self.since = now;
        }
        let (new, deadline) = (self.new_tokens(&a), now + a.client_timeout);
        self.asked.add(now, CELL_AGE, a.prompt_tokens);
        if a.prefix != 0 {
            self.prefixes
                .entry(a.prefix)
                .or_default()
                .add(now, CELL_AGE, a.prompt_tokens);
        }
        let request = RequestState {
            a,
            arrived: now,
            deadline,
            aim,
            new,
            ..RequestState::default()
        };
        match self.sheds(&request) {
            true => self.give_up(now, request, out),
            false => self.step(now, request, out),
        }
    }

    /// Overload: first-token times over their aims steer the part of arrivals that is refused at once,
    /// least worth and tenants over their share first. Guards against queues that make every answer late,
    /// whatever fills them (burst, lost ones, slow links). May harm when a few sick servers alone make the
    /// mean late.
    fn sheds(&mut self, r: &RequestState) -> bool {
        self.arrivals.add(r.arrived, RECENT, 0.0);
        self.steer(r.arrived);
        let worth = self.cfg.classes[r.a.class].priority_weight.max(0.01);
        self.worth += if self.worth == 0.0 {
            worth
        } else {
            STEP * (worth - self.worth)
        };
        let part = self.shed * (self.worth / worth).clamp(0.5, 2.0) * self.over_share(r);
        self.shed > 0.0 && self.chance() < part.min(SHED_MOST)
    }

    /// A tenant's part of what came lately over its share, squared; 1 without shares. Guards the others
    /// when one tenant asks too much or its clients repeat without end. May harm where a zone has tenants
    /// of its own.
    fn over_share(&mut self, r: &RequestState) -> f64 {
        let now = r.arrived;
        let quota = |t: &TenantSettings| t.quota_per_s.unwrap_or(0.0);
        let all: f64 = self.cfg.tenants.iter().map(quota).sum();
        let share = self.cfg.tenants.get(r.a.tenant).map_or(0.0, quota) / all.max(1e-9);
        let Some(own) = self.tenants.get_mut(r.a.tenant).filter(|_| share > 0.0) else {
            return 1.0;
        };
        own.add(now, RECENT, 0.0);
        let (own, all) = (own.count, self.arrivals.left(now, RECENT).1);
        let over = (own + SHARE_PRIOR * share) / (all + SHARE_PRIOR) / share;
        (over * over).clamp(0.1, 10.0)
    }

    /// A node that sees little looks back longer, so that the mean delay still rests on several answers.
    fn delay_span(&self, now: Micros) -> f64 {
        let rate = self.arrivals.left(now, RECENT).1 / RECENT;
        (DELAY_ANSWERS / rate.max(1e-12)).clamp(DELAY_AGE, RECENT)
    }

    fn steer(&mut self, now: Micros) {
        let span = now.saturating_sub(self.steered).min(1_000_000) as f64;
        self.steered = now;
        let mean = self.delay.mean_near(now, self.delay_span(now), 0.0, 1.0);
        for (of, lean) in self.by_place.iter().zip(&mut self.lean) {
            let [far, near] = of.map(|of| of.mean_near(now, RECENT, 0.0, 1.0));
            if (far - near).abs() > LEAN_LEAST {
                *lean = (*lean + (far - near) * span / 1e6).clamp(0.0, 1.0);
            }
        }
        // What waits now, over what gets done (Little's law), tells of a queue before its answers are late.
        let waits = self
            .open
            .values()
            .filter(|r| !r.over && r.first_token.is_none());
        let (waiting, aims) = waits.fold((0.0, 0.0), |(n, aims), r| (n + 1.0, aims + r.aim));
        // Guards against a burst after idle time: that nothing began while nobody asked tells of no queue.
        let over = DELAY_QUEUE.min(now.saturating_sub(self.since) as f64);
        let time =
            f64::max(waiting - 1.0, 0.0) * over / (self.begun.left(now, DELAY_QUEUE).1 + 1.0);
        let queue = time * waiting / f64::max(aims, 1.0);
        self.shed =
            (self.shed + (mean.max(queue) - DELAY_TARGET) * span / 1e6).clamp(0.0, SHED_MOST);
    }

    /// The next thing to do for a request with no attempt out: an attempt, or the final answer.
    fn step(&mut self, now: Micros, mut r: RequestState, out: &mut Out) {
        let least = (self.cfg.release_within as f64 * HELD_LEAST) as Micros;
        if self
            .held_until(&r)
            .is_some_and(|until| now + least >= until)
        {
            out.push(Action::ReleaseReservation(r.a.id));
            // A hold that is still on its way may land later.
            (r.state_at, r.held) = (None, r.held_at.take().map(|_| now));
        }
        let left = (self.cfg.max_attempts as usize).saturating_sub(r.attempts.len());
        // Overload: nothing is read again for what is already late, so that retries do not keep a jam
        // alive.
        let late =
            (now - r.arrived) as f64 > r.aim && !r.attempts.is_empty() && r.state_at.is_none();
        let in_time = now < r.deadline && !(late && self.shed > SHED_MOST / 2.0);
        let mut target = None;
        if left > 0 && in_time && self.repeat_open(&r, now) {
            if r.state_at.is_some() {
                let spread = self.spread(now, false, &r);
                let apt = |s: &&Server| {
                    let ready =
                        s.entry.state == EndpointState::Ready && s.grade(now, r.a.tenant, true) < 2;
                    let free =
                        self.cold_room(s, now, spread, 0.0) && !r.tried.contains(&s.entry.id);
                    ready && free && self.repeat_allowed(&r, s, now)
                };
                let held = r.held_at.and_then(|id| self.fleet.get(&id)).filter(apt);
                let writer = held
                    .map(|s| s.entry.id)
                    .or_else(|| self.pick_writer(now, r.state_at, &r, false));
                target = writer.map(|w| (w, Op::Fetch));
            } else {
                target = self.local_writer(now, &mut r).map(|w| (w, Op::Local));
                if target.is_none() && left > 1 {
                    let reader = self.pick_reader(now, &r);
                    target = reader
                        .filter(|id| !self.direct_wins(now, *id, &r))
                        .map(|s| (s, Op::Read));
                }
                // No reader or no attempt for two steps: a server that reads for itself.
                target = target.or_else(|| {
                    self.pick_writer(now, None, &r, true)
                        .map(|w| (w, Op::Local))
                });
            }
        }
        match target {
            Some((server, op)) => self.send(now, r, server, op, out),
            None => self.give_up(now, r, out),
        }
    }

    /// Whether a turn is better read where it is written although it is no later turn: its reader would
    /// take much of the wanted time, and a writer less. Guards against a jammed or lost reader pool beside
    /// idle writers; may harm running streams, so a decode server needs twice the gain.
    fn direct_wins(&self, now: Micros, reader: EndpointId, r: &RequestState) -> bool {
        let reader = &self.fleet[&reader];
        let read = self.expected(
            now,
            reader,
            Op::Read,
            r.new + reader.waiting_tokens(),
            r.aim,
        );
        let margin = |s: &Server| {
            if self.role(s) == Role::Mixed {
                1.0
            } else {
                DIRECT_MARGIN
            }
        };
        let direct =
            |s: &Server| margin(s) * self.expected(now, s, Op::Local, r.a.prompt_tokens, r.aim);
        let writer = || {
            self.pick_writer(now, None, r, true)
                .map(|id| &self.fleet[&id])
        };
        read > JAMMED * r.aim
            && writer().is_some_and(|s| s.grade(now, r.a.tenant, true) == 0 && direct(s) < read)
    }

    /// Tokens of a prompt that nobody has kept. The design page's prompt minus shared opening, extended:
    /// what the session's last prompt held is history, kept where it was read or written, and not new.
    fn new_tokens(&self, a: &Request) -> f64 {
        let row = self.rows.get(&(true, a.session)).filter(|_| a.session != 0);
        let history = row.map_or(0.0, |row| row.context).min(a.prompt_tokens);
        (a.prompt_tokens - a.prefix_tokens.max(history)).max(1.0)
    }

    /// The PPD decision for a later turn: the writer that holds its session, if it should read there. A
    /// first turn counts as one where a mixed server holds its shared opening: such a server is there to
    /// read.
    fn local_writer(&mut self, now: Micros, r: &mut RequestState) -> Option<EndpointId> {
        if r.path.is_some() || self.repeat_until(r).is_some() {
            return None;
        }
        let held = |row: &&Row| {
            let server = &self.fleet[&row.writer];
            let apt = row.session == r.a.session || self.role(server) == Role::Mixed;
            server.epoch == row.epoch && apt && now.saturating_sub(row.used) < ROW_IDLE
        };
        let row = *row_keys(&r.a)
            .filter_map(|key| self.rows.get(&key))
            .find(held)?;
        let server = &self.fleet[&row.writer];
        let mut loads: Vec<f64> = self.pool(false).map(Server::load).collect();
        loads.sort_by(f64::total_cmp);
        let median = loads.get(loads.len() / 2).copied().unwrap_or(0.0).max(1.0);
        // What a writer has forgotten is new again; see `learn_holds`. Tokens of all nodes, by our part,
        // that came since the row's use or that streams hold push it out: of the pool's mean writer, for
        // one node sends any one of them too little to tell.
        let all = (self.flow - row.flow + self.running) * f64::from(self.cfg.replica_count);
        let passed = all / loads.len().max(1) as f64;
        let kept = passed < self.holds[usize::from(server.entry.machine_type)]
            || r.a.prompt_tokens < EMPTY_CELL_NEW;
        let new = if kept { r.new } else { r.a.prompt_tokens };
        let key = (
            (r.a.prompt_tokens / 512.0).max(1.0).log2().min(8.0) as u8,
            (new / output(&r.a) * 2.0 + 1.0).log2().min(6.0) as u8,
            (server.load() / median * 2.0).min(5.0) as u8,
        );
        r.path = Some((Path::Remote, key));
        let limits = new < LOCAL_SHARE * r.a.prompt_tokens && server.load() <= LOCAL_CROWD * median;
        let able = self.role(server) == Role::Mixed || self.cfg.decode_may_prefill;
        let well =
            server.entry.state == EndpointState::Ready && server.grade(now, r.a.tenant, true) == 0;
        if !(limits && able && well && self.cold_room(server, now, self.spread(now, false, r), 0.0))
        {
            return None;
        }
        let cells = [key, coarse(key)]
            .into_iter()
            .filter_map(|key| self.cells.get(&key));
        let fed = cells
            .into_iter()
            .find(|cell| cell.iter().all(|path| path.fed(now)));
        if !fed.map_or(new < EMPTY_CELL_NEW, |cell| score(cell) > 0.0)
            || self.chance() < REMOTE_SHARE
        {
            return None;
        }
        r.path = Some((Path::Local, key));
        r.passed = passed;
        Some(row.writer)
    }

    fn learn_cell(&mut self, path: Option<(Path, CellKey)>, learn: impl Fn(&mut PathStats)) {
        let Some((path, cell)) = path else { return };
        for key in [cell, coarse(cell)] {
            learn(&mut self.cells.entry(key).or_default()[path as usize]);
        }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    fn send(&mut self, now: Micros, mut r: RequestState, to: EndpointId, op: Op, out: &mut Out) {
        let left = (self.cfg.max_attempts as usize).saturating_sub(r.attempts.len());
        let attempt = r.attempts.len() as u16;
        let tokens = if op == Op::Fetch {
            r.a.prompt_tokens
        } else {
            r.new
        };
        let server = &self.fleet[&to];
        let work = tokens
            + if op == Op::Read {
                server.waiting_tokens()
            } else {
                0.0
            };
        let expected = self.expected(now, server, op, work, r.aim);
        // A time-out leaves time for another attempt, unless a repeat is ruled out. Under a clear multiple of
        // the expected time it would only give up places in a jam, or with clients of little patience.
        let once =
            op != Op::Read && self.cfg.classes[r.a.class].idempotency != Idempotency::Idempotent;
        let part = r.deadline.saturating_sub(now) as f64 * ATTEMPT_PART;
        let stall = if self.cfg.may_cancel {
            part
        } else {
            STALL * expected
        };
        let timeout = if once || left <= 1 || part < PATIENT * expected {
            0
        } else {
            part.min(stall) as Micros
        };
        let held_part = if left > 1 { HELD_DIAL } else { 1.0 };
        let dial = |until: Micros| now + (until.saturating_sub(now) as f64 * held_part) as Micros;
        // Guards against a repeat that leaves after its window, as its connection came up late.
        let send_deadline = self
            .held_until(&r)
            .map(dial)
            .into_iter()
            .chain(self.repeat_until(&r))
            .min()
            .unwrap_or(0);
        out.push(Action::Send {
            request: r.a.id,
            endpoint: to,
            timeout,
            send_deadline,
        });
        let window = self.cfg.overload_window;
        self.sent[usize::from(op == Op::Read)].add(now, self.cfg.overload_window as f64, 0.0);
        let server = self.at(to);
        if server.entry.started_at > 0 {
            server.sends.push_back(now);
            while server
                .sends
                .front()
                .is_some_and(|t| now.saturating_sub(*t) >= window)
            {
                server.sends.pop_front();
            }
        }
        server.waiting.insert(
            (r.a.id, attempt),
            Wait {
                sent: now,
                tokens,
                expected,
            },
        );
        r.attempts.push(Attempt {
            server: to,
            op,
            sent: now,
            work,
            out: true,
            streaming: false,
        });
        if op == Op::Read && self.cfg.reserve_decode_slot && left > 1 {
            r.held_at = self.pick_writer(now, Some(to), &r, false);
            out.extend(r.held_at.map(|server| Action::Reserve {
                request: r.a.id,
                endpoint: server,
            }));
        }
        self.open.insert(r.a.id, r);
        self.set_tick(now, out);
    }

    fn set_tick(&mut self, now: Micros, out: &mut Out) {
        let shortest = self
            .cfg
            .classes
            .iter()
            .map(|c| c.ttft_objective)
            .min()
            .unwrap_or(0);
        if !self.ticking && !self.open.is_empty() {
            self.ticking = true;
            out.push(Action::SetTimer {
                at: now + (shortest / TICKS).max(1_000),
                token: TICK,
            });
        }
    }

    /// Calls off what waits at stalled servers, so that a hang is not waited out. Where half of a pool
    /// seems stalled it is jammed, and no place in it is better. What may not be repeated stays where it
    /// is.
    fn on_tick(&mut self, now: Micros, out: &mut Out) {
        self.ticking = false;
        self.steer(now);
        let mut lost = Vec::new();
        for readers in [true, false] {
            let hung: Vec<EndpointId> = self
                .pool(readers)
                .filter(|s| s.stalled(now))
                .map(|s| s.entry.id)
                .collect();
            let count = self.pool(readers).count();
            if hung.len() * 2 < count || count == 1 {
                lost.extend(hung);
            }
        }
        for id in lost {
            // A wave of long prompts looks like hangs to a node that sees one wait at a time.
            if self.called_off.left(now, RECENT).1
                > CALL_OFFS * self.arrivals.left(now, RECENT).1 + 1.0
            {
                break;
            }
            for (request, attempt) in self.fleet[&id].waiting.keys().copied() {
                let Some(r) = self
                    .open
                    .get(&request)
                    .filter(|r| !r.over && self.cfg.may_cancel)
                else {
                    continue;
                };
                let read = r.attempts[usize::from(attempt)].op == Op::Read;
                let repeatable =
                    read || self.cfg.classes[r.a.class].idempotency == Idempotency::Idempotent;
                if repeatable && r.attempts.len() < self.cfg.max_attempts as usize {
                    self.called_off.add(now, RECENT, 0.0);
                    out.push(Action::Cancel { request, attempt });
                }
            }
            self.blame(id, now, 1.0, out);
            self.at(id).progress = now;
        }
        self.set_tick(now, out);
    }

    fn on_first_token(&mut self, now: Micros, id: RequestId, attempt: u16) {
        let Some(r) = self.open.get_mut(&id) else {
            return;
        };
        let Some(t) = r
            .attempts
            .get_mut(usize::from(attempt))
            .filter(|t| t.out && !t.streaming)
        else {
            return;
        };
        t.streaming = true;
        let (to, op, took, work) = (t.server, t.op, now - t.sent, t.work);
        let (path, keys, session, context) =
            (r.path, row_keys(&r.a), r.a.session, r.a.prompt_tokens);
        let tenant = r.a.tenant;
        let read = r
            .attempts
            .iter()
            .rfind(|t| t.op == Op::Read)
            .map(|t| (t.server, now - t.sent));
        let ttft = (now - r.arrived) as f64;
        let (aim, new) = (r.aim.max(1.0), r.new);
        (r.first_token, r.state_at, r.held_at) = (Some(now), None, None);
        read.into_iter()
            .for_each(|(id, took)| self.learn_place(now, id, took as f64 / aim));
        self.begun.add(now, DELAY_QUEUE, 0.0);
        self.learn_delay(now, ttft / aim);
        self.learn_cell(path, |stats| stats.ttft.add(now, CELL_AGE, ttft));
        self.progress(now, to, op, took, work);
        let server = self.at(to);
        server.turned_away.remove(&tenant);
        server.waiting.remove(&(id, attempt));
        server.streams += 1;
        let epoch = server.epoch;
        self.running += context;
        self.flow += if op == Op::Fetch { context } else { new };
        let row = Row {
            writer: to,
            session,
            epoch,
            used: now,
            context,
            flow: self.flow,
        };
        self.rows.extend(keys.map(|key| (key, row)));
    }

    fn learn_delay(&mut self, now: Micros, ratio: f64) {
        let span = self.delay_span(now);
        self.delay.add(now, span, ratio.min(2.0));
    }

    /// A server did what it was asked: it clears doubt, and its time against its pool's tells its speed.
    fn progress(&mut self, now: Micros, id: EndpointId, op: Op, took: Micros, work: f64) {
        let (took, entry) = (took as f64, self.fleet[&id].entry);
        let norm = self
            .norms
            .entry((op, self.cfg.roles[usize::from(entry.machine_type)]))
            .or_default();
        let ratio = norm
            .expect(work)
            .map_or(1.0, |e| (took / e.max(1.0)).min(CLIP));
        norm.learn(now, took, work);
        let kind = usize::from(entry.machine_type);
        self.kind_done[kind].add(now, RECENT, 1.0 / self.present[kind].max(0.1));
        let usual = self.usual_rate(&entry, now);
        let server = self.at(id);
        // A node that asks it seldom remembers its slowness over the time in which an answer comes.
        server.span = (1.0 / usual.max(1e-12)).clamp(RECENT, CELL_AGE);
        server.times.add(now, server.span, ratio);
        server.doubt *= 0.3;
        server.progress = now;
    }

    fn on_ended(
        &mut self,
        now: Micros,
        id: RequestId,
        no: u16,
        end: (Outcome, u32, bool),
        out: &mut Out,
    ) {
        let (outcome, kept, finished) = end;
        let Some(mut r) = self.open.remove(&id) else {
            return;
        };
        let Some(t) = r.attempts.get_mut(usize::from(no)).filter(|t| t.out) else {
            self.open.insert(id, r);
            return;
        };
        t.out = false;
        let (to, op, sent, work) = (t.server, t.op, t.sent, t.work);
        if t.streaming {
            self.at(to).streams -= 1;
            self.running -= r.a.prompt_tokens;
        }
        self.at(to).waiting.remove(&(id, no));
        match outcome {
            Outcome::Prefilled => {
                self.progress(now, to, op, now - sent, work);
                self.at(to).turned_away.remove(&r.a.tenant);
                r.state_at = Some(to);
            }
            Outcome::Served => {
                if r.path
                    .is_some_and(|(path, _)| op == Op::Local && path == Path::Local)
                {
                    self.learn_holds(to, r.a.prompt_tokens - r.new, kept, r.passed);
                }
                if let Some(first) = r.first_token {
                    let pace = (now - first) as f64 / output(&r.a);
                    self.learn_cell(r.path, |stats| stats.pace.add(now, CELL_AGE, pace));
                    self.at(to).progress = now;
                }
                for key in row_keys(&r.a) {
                    self.rows
                        .get_mut(&key)
                        .into_iter()
                        .for_each(|row| row.used = now);
                }
            }
            Outcome::Rejected => self.at(to).turn_away(now, &r),
            Outcome::KvCacheMiss => r.state_at = None,
            Outcome::ConnectFailed | Outcome::Reset => {
                self.at(to).epoch += 1;
                self.blame(
                    to,
                    now,
                    if outcome == Outcome::Reset { 0.5 } else { 1.0 },
                    out,
                );
            }
            // A busy server that got other work done meanwhile is not a sick one.
            Outcome::TimedOut | Outcome::Cancelled if !r.over => {
                let server = self.at(to);
                server.times.add(now, server.span.max(RECENT), CLIP);
                if outcome == Outcome::TimedOut && self.at(to).progress < sent {
                    self.blame(to, now, 0.6, out);
                }
            }
            // Errors are rare where nothing is wrong: two without an answer between them are no chance.
            Outcome::Error => self.blame(to, now, 0.5, out),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if !matches!(
            outcome,
            Outcome::Prefilled | Outcome::KvCacheMiss | Outcome::NotSent
        ) {
            r.tried.push(to);
        }
        let came = !matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent);
        if came && (op == Op::Read || r.held.is_some()) {
            r.held = Some(now);
        }
        if outcome.may_have_run() && op != Op::Read && r.may_have_run.is_none() {
            r.may_have_run = Some((to, sent));
        }
        if r.held_at == Some(to) && outcome != Outcome::Prefilled && op != Op::Read {
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
    /// full read among running streams. The kept count tells at once, long before the cell's averages do,
    /// how much may pass through a writer of that kind. May harm where kept counts are not told.
    fn learn_holds(&mut self, id: EndpointId, expected: f64, kept: u32, passed: f64) {
        let kind = usize::from(self.fleet[&id].entry.machine_type);
        let holds = &mut self.holds[kind];
        if f64::from(kept) < 0.5 * expected {
            *holds += 0.5 * (holds.min(passed * HOLDS_STEP) - *holds);
        } else {
            *holds = holds.max(passed / HOLDS_STEP);
        }
    }

    fn on_gone(&mut self, now: Micros, id: RequestId, out: &mut Out) {
        let Some(r) = self.open.remove(&id) else {
            return;
        };
        let may = self.cfg.may_cancel;
        for (i, _) in r
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, t)| may && t.out && !t.streaming)
        {
            out.push(Action::Cancel {
                request: id,
                attempt: i as u16,
            });
        }
        self.close(now, r, out);
    }

    // ---- Rule guards

    /// Guards against a state that waits while one server after the other cannot be reached: each dial alone
    /// is within its time, and all together are not. An attempt that came to its server starts it anew.
    fn held_until(&self, r: &RequestState) -> Option<Micros> {
        let span = (self.cfg.release_within as f64 * HELD_PART) as Micros;
        r.held
            .filter(|_| self.cfg.in_flight_after_last_byte && span > 0)
            .map(|since| since + span)
    }

    /// Until when a request that may have run may be sent again (no effect twice); `None`: for ever.
    fn repeat_until(&self, r: &RequestState) -> Option<Micros> {
        let class = &self.cfg.classes[r.a.class];
        let (_, sent) = r
            .may_have_run
            .filter(|_| class.idempotency != Idempotency::Idempotent)?;
        Some(if class.idempotency == Idempotency::WithKey {
            sent.saturating_add(class.deduplication_window)
        } else {
            0
        })
    }
    fn repeat_open(&self, r: &RequestState, now: Micros) -> bool {
        self.repeat_until(r).is_none_or(|until| now < until)
    }

    /// Whether this server drops repeats of a keyed request that may have run.
    fn repeat_allowed(&self, r: &RequestState, to: &Server, now: Micros) -> bool {
        let class = &self.cfg.classes[r.a.class];
        let Some((ran_at, _)) = r
            .may_have_run
            .filter(|_| class.idempotency != Idempotency::Idempotent)
        else {
            return true;
        };
        let Some(ran_at) = self.fleet.get(&ran_at) else {
            return false;
        };
        self.repeat_open(r, now)
            && match class.deduplication_scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => ran_at.entry.zone == to.entry.zone,
                DeduplicationScope::Rack => ran_at.entry.rack == to.entry.rack,
            }
    }

    /// The final answer of a request that cannot be served: a refusal where trying again does no harm.
    fn give_up(&mut self, now: Micros, r: RequestState, out: &mut Out) {
        let class = &self.cfg.classes[r.a.class];
        let keyed_everywhere = class.idempotency == Idempotency::WithKey
            && class.deduplication_scope == DeduplicationScope::All;
        let harmless = class.idempotency == Idempotency::Idempotent
            || r.may_have_run.is_none()
            || keyed_everywhere;
        out.push(match harmless && now < r.deadline {
            true => Action::Reject {
                request: r.a.id,
                retry_after: self.cfg.max_retry_after,
            },
            false => Action::Fail(r.a.id),
        });
        self.close(now, r, out);
    }

    /// Ends a request: lets go of what is held, and forgets it once its attempts are in.
    fn close(&mut self, now: Micros, mut r: RequestState, out: &mut Out) {
        if r.first_token.is_none() {
            let waited = (now - r.arrived) as f64;
            if !r.over && !r.attempts.is_empty() {
                // A client of little patience tells no more than how long it waited.
                self.learn_delay(now, waited / r.aim.max(1.0));
            }
            if !r.over {
                // An unserved request must not flatter its path: the time it cost counts.
                self.learn_cell(r.path, |stats| {
                    stats.ttft.add(now, CELL_AGE, waited.max(r.aim))
                });
            }
            // Nothing is left pinned, also when a late outcome of an ended request leaves a state behind.
            out.push(Action::ReleaseReservation(r.a.id));
        }
        r.over = true;
        if r.attempts.iter().any(|t| t.out) {
            self.open.insert(r.a.id, r);
        }
    }
}
