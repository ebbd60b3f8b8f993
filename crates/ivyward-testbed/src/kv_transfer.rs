//! Counts how far KV state is transferred, by simulating the routing decisions of one node among all engines of a fleet.
//! Engines are simulated: each step takes a fixed virtual time, and no data is transferred.

use ivyward::core::interface::{
    Action, Endpoint, EndpointId, EndpointState, Event, ListKind, LoadReport, Micros, Outcome,
    Request, RequestId, Settings,
};
use ivyward::core::router::Router;
use ivyward::NodeSettings;
use std::collections::{BTreeMap, BTreeSet};

/// Prompt length of each request.
const PROMPT_TOKENS: f64 = 2_000.0;
/// Maximum output length of each request.
const OUTPUT_TOKENS: f64 = 306.0;
/// Duration of a prefill, in microseconds.
const PREFILL_DURATION: Micros = 150_000;
/// Time from the start of decoding to the first token, in microseconds.
const FIRST_TOKEN_DELAY: Micros = 60_000;
/// Time from the start of decoding to the last token, in microseconds.
const DECODE_DURATION: Micros = 8_000_000;
/// Number of requests at the start that are not counted, because the router's estimates need observations first.
const WARM_UP_REQUESTS: u64 = 400;

/// Flags of the simulation.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct KvTransferFlags {
    /// Number of engines in the fleet.
    #[arg(long, default_value_t = 1_100, value_parser = clap::value_parser!(u64).range(2..=20_000))]
    engines: u64,
    /// Number of nodes in the fleet, one of which is simulated.
    #[arg(long, default_value_t = 350, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    nodes: u32,
    /// Number of zones; the simulated node is in the first.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=255))]
    zones: u64,
    /// Number of engines per rack.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    rack: u64,
    /// Share of prefill engines in the fleet, in percent.
    #[arg(long, default_value_t = 35, value_parser = clap::value_parser!(u64).range(1..=99))]
    prefill: u64,
    /// Requests per second that the simulated node receives.
    #[arg(long, default_value_t = 10.3)]
    rate: f64,
    /// Number of requests to simulate, of which the first 400 are not counted.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    requests: u64,
    /// Value of the daemon's setting --transfer-price.
    #[arg(long, default_value_t = 0.0)]
    transfer_price: f64,
    /// Value of the daemon's setting --cross-zone-price.
    #[arg(long, default_value_t = 0.0)]
    cross_zone_price: f64,
    /// Seed of the router's random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Numbers of KV transfers by distance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvTransferCounts {
    /// Requests that were counted.
    pub requests: u64,
    /// KV transfers within a rack.
    pub in_rack: u64,
    /// KV transfers to another rack of the same zone.
    pub in_zone: u64,
    /// KV transfers to another zone.
    pub between_zones: u64,
    /// Requests whose prefill and decode ran on the same engine, without a transfer.
    pub in_place: u64,
    /// Requests that were rejected or failed without reaching a decode engine.
    pub not_sent: u64,
}

impl KvTransferCounts {
    /// Formats the counts as one line, in percent of the requests.
    pub fn text(&self) -> String {
        let percent = |n: u64| n as f64 / self.requests.max(1) as f64 * 100.0;
        format!(
            "{} requests: transferred within a rack {:.1}%, within a zone {:.1}%, between zones {:.1}%; prefilled in place {:.1}%; not sent {:.1}%\n",
            self.requests,
            percent(self.in_rack),
            percent(self.in_zone),
            percent(self.between_zones),
            percent(self.in_place),
            percent(self.not_sent)
        )
    }
}

/// Scheduled events of the simulation. The numbers are the request and the attempt, or the token of the timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    RequestArrives(u64),
    PrefillEnds(u64, u16),
    FirstToken(u64, u16),
    DecodeEnds(u64, u16),
    Timer(u64),
}

struct Simulation {
    flags: KvTransferFlags,
    router: Router,
    engines: BTreeMap<EndpointId, Endpoint>,
    due: BTreeSet<(Micros, u64, Step)>,
    steps: u64,
    /// Engine to which the prefill of each unfinished request was sent.
    prefilled_on: BTreeMap<u64, EndpointId>,
    /// Number of attempts sent so far, for each unfinished request.
    attempts: BTreeMap<u64, u16>,
    counts: KvTransferCounts,
}

fn fleet(flags: &KvTransferFlags) -> Vec<Endpoint> {
    let entry = |id: u64| {
        let is_prefill = id * flags.prefill / 100 != (id + 1) * flags.prefill / 100;
        let rack = id / flags.rack;
        Endpoint {
            id: EndpointId(id + 1),
            zone: (rack % flags.zones) as u8,
            machine_type: u8::from(!is_prefill),
            rack: rack as u16,
            state: EndpointState::Ready,
            weight: 1.0,
            started_at: 0,
        }
    };
    (0..flags.engines).map(entry).collect()
}

/// Simulates all requests and returns the counts.
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
    let mut simulation = Simulation {
        flags,
        router: Router::new(node.router_settings(), flags.seed),
        engines: entries.iter().map(|e| (e.id, *e)).collect(),
        due: BTreeSet::new(),
        steps: 0,
        prefilled_on: BTreeMap::new(),
        attempts: BTreeMap::new(),
        counts: KvTransferCounts::default(),
    };
    let start = 3_600_000_000;
    simulation.handle_event(
        start,
        Event::EndpointList {
            kind: ListKind::Full,
            endpoints: entries,
        },
    );
    simulation.schedule(start, Step::RequestArrives(1));
    while let Some((at, _, step)) = simulation.due.pop_first() {
        simulation.step(at, step);
    }
    simulation.counts
}

impl Simulation {
    fn schedule(&mut self, at: Micros, step: Step) {
        self.steps += 1;
        self.due.insert((at, self.steps, step));
    }

    fn step(&mut self, now: Micros, step: Step) {
        match step {
            Step::RequestArrives(id) => self.request_arrives(now, id),
            Step::PrefillEnds(id, attempt) => {
                self.attempt_ends(now, id, attempt, Outcome::Prefilled)
            }
            Step::FirstToken(id, attempt) => {
                self.handle_event(
                    now,
                    Event::FirstToken {
                        request: RequestId(id),
                        attempt,
                    },
                );
            }
            Step::DecodeEnds(id, attempt) => self.attempt_ends(now, id, attempt, Outcome::Served),
            // Timers are dropped when no request is left; otherwise the router would set new ones forever.
            Step::Timer(token) if !self.attempts.is_empty() => {
                self.handle_event(now, Event::Timer(token))
            }
            Step::Timer(_) => {}
        }
    }

    fn request_arrives(&mut self, now: Micros, id: u64) {
        if id < self.flags.requests {
            self.schedule(
                now + (1e6 / self.flags.rate) as Micros,
                Step::RequestArrives(id + 1),
            );
        }
        self.attempts.insert(id, 0);
        if id > WARM_UP_REQUESTS {
            self.counts.requests += 1;
        }
        let arrival = Request {
            id: RequestId(id),
            session: 1 + id % 600,
            prefix: 1 + id % 40,
            client_timeout: 20_000_000,
            prompt_tokens: PROMPT_TOKENS,
            prefix_tokens: 400.0,
            max_output: OUTPUT_TOKENS,
            ..Request::default()
        };
        self.handle_event(now, Event::Request(arrival));
    }

    fn attempt_ends(&mut self, now: Micros, id: u64, attempt: u16, outcome: Outcome) {
        let finished = outcome == Outcome::Served;
        if finished {
            self.attempts.remove(&id);
            self.prefilled_on.remove(&id);
        }
        let (request, report) = (RequestId(id), LoadReport::default());
        self.handle_event(
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

    fn handle_event(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    endpoint: server,
                    ..
                } => self.attempt_sent(now, request.0, server),
                Action::SetTimer { at, token } => {
                    self.schedule(at.max(now + 1), Step::Timer(token))
                }
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.attempts.remove(&request.0);
                    self.counts.not_sent += u64::from(request.0 > WARM_UP_REQUESTS);
                }
                _ => {}
            }
        }
    }

    fn attempt_sent(&mut self, now: Micros, id: u64, server: EndpointId) {
        let Some(engine) = self.engines.get(&server).copied() else {
            return;
        };
        let Some(attempts) = self.attempts.get_mut(&id) else {
            return;
        };
        let attempt = *attempts;
        *attempts += 1;
        if engine.machine_type == 0 {
            self.prefilled_on.insert(id, server);
            return self.schedule(now + PREFILL_DURATION, Step::PrefillEnds(id, attempt));
        }
        if id > WARM_UP_REQUESTS {
            self.count(id, &engine);
        }
        self.schedule(now + FIRST_TOKEN_DELAY, Step::FirstToken(id, attempt));
        self.schedule(now + DECODE_DURATION, Step::DecodeEnds(id, attempt));
    }

    fn count(&mut self, id: u64, decode_engine: &Endpoint) {
        let prefill_engine = self
            .prefilled_on
            .get(&id)
            .and_then(|engine| self.engines.get(engine));
        let counter = match prefill_engine {
            None => &mut self.counts.in_place,
            Some(prefill_engine) if prefill_engine.rack == decode_engine.rack => {
                &mut self.counts.in_rack
            }
            Some(prefill_engine) if prefill_engine.zone == decode_engine.zone => {
                &mut self.counts.in_zone
            }
            Some(_) => &mut self.counts.between_zones,
        };
        *counter += 1;
    }
}
