//! How far KV state is handed over: one node's decisions among all engines of a fleet, in synthetic time. Simulated: engines
//! take a stated time for everything, and no bytes move.

use ivyward::core::interface::{
    Action, Endpoint, EndpointId, EndpointState, Event, ListKind, LoadReport, Micros, Outcome,
    Request, RequestId, Settings,
};
use ivyward::core::router::Router;
use ivyward::NodeSettings;
use std::collections::{BTreeMap, BTreeSet};

/// Prompt tokens of a request, and output tokens.
const PROMPT: f64 = 2_000.0;
const OUTPUT: f64 = 306.0;
/// How long a read, a first token and a whole answer take.
const READ: Micros = 150_000;
const FIRST: Micros = 60_000;
const ANSWER: Micros = 8_000_000;
/// Requests of the beginning that are not counted: a node has to learn first.
const WARM_UP: u64 = 400;

/// What is played.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct KvTransferFlags {
    /// Engines.
    #[arg(long, default_value_t = 1_100, value_parser = clap::value_parser!(u64).range(2..=20_000))]
    engines: u64,
    /// Nodes of the fleet, of which one is played.
    #[arg(long, default_value_t = 350, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    nodes: u32,
    /// Zones; the node stands in the first.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=255))]
    zones: u64,
    /// Engines of a rack.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    rack: u64,
    /// Prefill engines in a hundred.
    #[arg(long, default_value_t = 35, value_parser = clap::value_parser!(u64).range(1..=99))]
    prefill: u64,
    /// Requests a second at the node.
    #[arg(long, default_value_t = 10.3)]
    rate: f64,
    /// Requests.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    requests: u64,
    /// --transfer-price of the node.
    #[arg(long, default_value_t = 0.0)]
    transfer_price: f64,
    /// --cross-zone-price of the node.
    #[arg(long, default_value_t = 0.0)]
    cross_zone_price: f64,
    /// Feeds the node's choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Where states went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTransferCounts {
    /// Requests that were counted.
    pub requests: u64,
    /// States handed over within a rack.
    pub in_rack: u64,
    /// To another rack of the zone.
    pub in_zone: u64,
    /// To another zone.
    pub between_zones: u64,
    /// Requests that were read where they were written: nothing was handed over.
    pub in_place: u64,
    /// Requests that were refused or not sent.
    pub not_sent: u64,
}

impl KvTransferCounts {
    /// A line for people.
    pub fn text(&self) -> String {
        let percent = |n: u64| n as f64 / self.requests.max(1) as f64 * 100.0;
        format!(
            "{} requests: handed over within a rack {:.1}%, within a zone {:.1}%, between zones {:.1}%; read in place {:.1}%; not sent {:.1}%\n",
            self.requests,
            percent(self.in_rack),
            percent(self.in_zone),
            percent(self.between_zones),
            percent(self.in_place),
            percent(self.not_sent)
        )
    }
}

/// What happens at engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrives(u64),
    ReadEnds(u64, u16),
    FirstToken(u64, u16),
    AnswerEnds(u64, u16),
    Timer(u64),
}

struct Play {
    flags: KvTransferFlags,
    router: Router,
    engines: BTreeMap<EndpointId, Endpoint>,
    due: BTreeSet<(Micros, u64, Step)>,
    steps: u64,
    /// Where requests were read, and how many attempts they had.
    read_at: BTreeMap<u64, EndpointId>,
    attempts: BTreeMap<u64, u16>,
    seen: KvTransferCounts,
}

fn fleet(flags: &KvTransferFlags) -> Vec<Endpoint> {
    let entry = |id: u64| {
        let reads = id * flags.prefill / 100 != (id + 1) * flags.prefill / 100;
        let rack = id / flags.rack;
        Endpoint {
            id: EndpointId(id + 1),
            zone: (rack % flags.zones) as u8,
            machine_type: u8::from(!reads),
            rack: rack as u16,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: 0,
        }
    };
    (0..flags.engines).map(entry).collect()
}

/// Plays it.
pub fn simulate(flags: KvTransferFlags) -> KvTransferCounts {
    let node = NodeSettings {
        classes: crate::local_cluster::classes(),
        router: Settings {
            replica_count: flags.nodes,
            transfer_price: flags.transfer_price,
            cross_zone_price: flags.cross_zone_price,
            ..NodeSettings::default().router
        },
        ..NodeSettings::default()
    };
    let entries = fleet(&flags);
    let mut play = Play {
        flags,
        router: Router::new(node.router_settings(), flags.seed),
        engines: entries.iter().map(|e| (e.id, *e)).collect(),
        due: BTreeSet::new(),
        steps: 0,
        read_at: BTreeMap::new(),
        attempts: BTreeMap::new(),
        seen: KvTransferCounts::default(),
    };
    let begin = 3_600_000_000;
    play.tell(
        begin,
        Event::EndpointList {
            kind: ListKind::Full,
            endpoints: entries,
        },
    );
    play.plan(begin, Step::Arrives(1));
    while let Some((at, _, step)) = play.due.pop_first() {
        play.step(at, step);
    }
    play.seen
}

impl Play {
    fn plan(&mut self, at: Micros, step: Step) {
        self.steps += 1;
        self.due.insert((at, self.steps, step));
    }

    fn step(&mut self, now: Micros, step: Step) {
        match step {
            Step::Arrives(id) => self.arrives(now, id),
            Step::ReadEnds(id, attempt) => self.ends(now, id, attempt, Outcome::Prefilled),
            Step::FirstToken(id, attempt) => {
                self.tell(
                    now,
                    Event::FirstToken {
                        request: RequestId(id),
                        attempt,
                    },
                );
            }
            Step::AnswerEnds(id, attempt) => self.ends(now, id, attempt, Outcome::Served),
            // Timers of the last requests would go on without end.
            Step::Timer(token) if !self.attempts.is_empty() => self.tell(now, Event::Timer(token)),
            Step::Timer(_) => {}
        }
    }

    fn arrives(&mut self, now: Micros, id: u64) {
        if id < self.flags.requests {
            self.plan(
                now + (1e6 / self.flags.rate) as Micros,
                Step::Arrives(id + 1),
            );
        }
        self.attempts.insert(id, 0);
        if id > WARM_UP {
            self.seen.requests += 1;
        }
        let arrival = Request {
            id: RequestId(id),
            session: 1 + id % 600,
            prefix: 1 + id % 40,
            client_timeout: 20_000_000,
            prompt_tokens: PROMPT,
            prefix_tokens: 400.0,
            max_output: OUTPUT,
            ..Request::default()
        };
        self.tell(now, Event::Request(arrival));
    }

    fn ends(&mut self, now: Micros, id: u64, attempt: u16, outcome: Outcome) {
        let finished = outcome == Outcome::Served;
        if finished {
            self.attempts.remove(&id);
            self.read_at.remove(&id);
        }
        let (request, report) = (RequestId(id), LoadReport::default());
        self.tell(
            now,
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                cached_tokens: 0,
                finished,
                report,
            },
        );
    }

    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint: server,
                    ..
                } => self.sent(now, request.0, server),
                Action::SetTimer { at, token } => self.plan(at.max(now + 1), Step::Timer(token)),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.attempts.remove(&request.0);
                    self.seen.not_sent += u64::from(request.0 > WARM_UP);
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, now: Micros, id: u64, server: EndpointId) {
        let Some(engine) = self.engines.get(&server).copied() else {
            return;
        };
        let Some(attempts) = self.attempts.get_mut(&id) else {
            return;
        };
        let attempt = *attempts;
        *attempts += 1;
        if engine.machine_type == 0 {
            self.read_at.insert(id, server);
            return self.plan(now + READ, Step::ReadEnds(id, attempt));
        }
        if id > WARM_UP {
            self.count(id, &engine);
        }
        self.plan(now + FIRST, Step::FirstToken(id, attempt));
        self.plan(now + ANSWER, Step::AnswerEnds(id, attempt));
    }

    fn count(&mut self, id: u64, writer: &Endpoint) {
        let reader = self
            .read_at
            .get(&id)
            .and_then(|reader| self.engines.get(reader));
        let counter = match reader {
            None => &mut self.seen.in_place,
            Some(reader) if reader.rack == writer.rack => &mut self.seen.in_rack,
            Some(reader) if reader.zone == writer.zone => &mut self.seen.in_zone,
            Some(_) => &mut self.seen.between_zones,
        };
        *counter += 1;
    }
}
