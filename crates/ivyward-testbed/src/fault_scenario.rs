//! Plays a day's troubles under its load on real sockets, and reports what came of it.

use crate::fault_plan::{FaultKind, Plan, ScheduledFault};
use crate::load::{run_load, Load, RequestRecord};
use crate::local_cluster::{
    settings, ClusterBuilder, LocalCluster, LocalClusterError, NodePlacement, RecordingBuffer,
};
use hdrhistogram::Histogram;
use ivyward::core::interface::{EndpointState, Micros};
use ivyward::registration::State;
use ivyward::watcher::WatcherOptions;
use ivyward::NodeSettings;
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::ClientOutcome;
use ivyward_fakes::rule_checker::RULES;
use ivyward_fakes::{EngineSpec, Host, ResponseFault, Role, RuleReport};
use ivyward_runtime::{Runtime, RuntimeExt};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

/// How the list of engines runs behind, in microseconds, and how much further while it is late.
const LIST_BEHIND: Micros = 150_000;
const LIST_LATE: Micros = 1_500_000;

/// What to play.
#[derive(Clone, Debug)]
pub struct FaultScenario {
    /// The troubles.
    pub plan: Plan,
    /// The load.
    pub load: Load,
    /// How many nodes.
    pub nodes: usize,
    /// How many racks of one reader, one mixed engine and two writers.
    pub racks: u16,
    /// How nodes run.
    pub placement: NodePlacement,
    /// What the auditor takes for in flight on this machine.
    pub flight: Micros,
    /// Nodes follow engines through a store that is among the faulty, instead of being told by the script.
    pub etcd: bool,
}

impl FaultScenario {
    /// A day of so many requests, with these kinds of trouble or all.
    pub fn from_seed(seed: u64, requests: usize, kinds: &[FaultKind]) -> FaultScenario {
        let load = Load {
            requests,
            rate: 200.0,
            output: 24,
        };
        let length = (requests as f64 / load.rate * 1e6) as Micros;
        let plan = Plan::draw(seed, length.max(2_000_000), kinds);
        FaultScenario {
            plan,
            load,
            nodes: 3,
            racks: 4,
            placement: NodePlacement::InProcess,
            flight: 250_000,
            etcd: false,
        }
    }
}

/// The engines of a day: slower than those of tests, so that queues form.
pub fn engines(racks: u16) -> Vec<EngineSpec> {
    let mut specs = crate::local_cluster::fleet(racks);
    for spec in &mut specs {
        spec.token_interval = 4_000;
        spec.kv_fetch_rate = 400_000.0;
        (spec.slots, spec.queue_limit) = (24, 16);
        spec.capacity = 200.0;
        spec.prefill_rate = 15_000.0;
        if spec.role == Role::Prefill {
            (spec.slots, spec.queue_limit) = (4, 24);
            spec.prefill_rate = 25_000.0;
            spec.capacity = 150.0;
        }
    }
    specs
}

/// What came of a scenario.
pub struct Report {
    /// The scenario.
    pub scenario: FaultScenario,
    /// Every try.
    pub requests: Vec<RequestRecord>,
    /// What the auditor found.
    pub audit: RuleReport,
    /// The first node's recording.
    pub recording: Vec<u8>,
}

/// Plays a scenario.
///
/// # Errors
/// When the scene cannot be set up.
pub fn run(scenario: FaultScenario) -> Result<Report, LocalClusterError> {
    let memory = RecordingBuffer::default();
    let store = match scenario.etcd {
        false => None,
        true => {
            let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
            let open = Store::start(&host, 1)
                .and_then(|mut store| store.open_endpoints(scenario.nodes).map(|()| store));
            Some(open.map_err(|error| LocalClusterError::Io {
                what: "starting a store".into(),
                error,
            })?)
        }
    };
    let follow = store.as_ref().map(|store| WatcherOptions {
        endpoints: store.endpoints().to_vec(),
        silence_timeout: 400_000,
        empty_grace: 2_000_000,
        backoff: (10_000, 200_000),
        ..WatcherOptions::default()
    });
    let make = ClusterBuilder {
        seed: scenario.plan.seed,
        engines: engines(scenario.racks),
        settings: NodeSettings {
            router: ivyward_core::interface::Settings {
                replica_count: scenario.nodes as u32,
                ..settings().router
            },
            ..settings()
        },
        nodes: scenario.nodes,
        placement: scenario.placement.clone(),
        flight: scenario.flight,
        watcher: follow,
        recording: Some(memory.clone()),
    };
    let scene = Arc::new(make.build()?);
    if let Some(store) = store {
        scene.watch_store(store);
        for engine in 0..scene.engines() {
            write_record(&scene, engine, EndpointState::Ready, None);
        }
        scene.runtime.clone().block_on(async {
            let all = scene.engines() as u64;
            let knows = |n: usize| {
                scene
                    .node(n)
                    .is_none_or(|n| n.metrics().engines.get() == all)
            };
            while !(0..scene.nodes()).all(knows) {
                scene.runtime.sleep(5_000).await;
            }
        });
    }
    let plan = Arc::new(scenario.plan.clone());
    let requests = scene.runtime.clone().block_on(async {
        let (done, wait) = async_channel::bounded::<()>(1);
        for (i, spell) in plan.faults.iter().enumerate() {
            let (scene, plan, spell, done) =
                (scene.clone(), plan.clone(), spell.clone(), done.clone());
            scene.runtime.clone().run(async move {
                scene.runtime.sleep(spell.at).await;
                trouble(&scene, &plan, &spell, i).await;
                drop(done);
            });
        }
        drop(done);
        let requests = run_load(&scene, &plan, &scenario.load).await;
        // Troubles that outlast the load end by themselves.
        let _ = wait.recv().await;
        scene.wait_until_idle(5_000_000).await;
        if let Some(node) = scene.node(0) {
            node.flush_recording().await;
        }
        requests
    });
    let audit = scene.audit();
    Ok(Report {
        scenario,
        requests,
        audit,
        recording: memory.bytes(),
    })
}

/// Engines for a trouble: up to a share of all, of one role if wanted.
fn some(scene: &LocalCluster, random: &mut SmallRng, share: f64, role: Option<Role>) -> Vec<usize> {
    let fits = |i: &usize| role.is_none_or(|r| scene.engine(*i).spec().role == r);
    let mut all: Vec<usize> = (0..scene.engines()).filter(fits).collect();
    all.shuffle(random);
    let count = ((all.len() as f64 * share).round() as usize).clamp(1, all.len());
    all.truncate(count);
    all
}

/// Writes what the list says of an engine into the store, as the engine would.
fn write_record(
    scene: &LocalCluster,
    engine: usize,
    condition: EndpointState,
    since: Option<Micros>,
) -> bool {
    let unix = scene.runtime.unix_micros();
    let started_ms = since.map_or(0, |at| {
        unix.saturating_sub(scene.log.now().saturating_sub(at)) / 1_000
    });
    let state = if condition == EndpointState::Ready {
        State::Ready
    } else {
        State::Draining
    };
    let (key, record) = scene.registration(engine, state, started_ms);
    let written = scene.with_store(|store| match condition {
        EndpointState::Removed => store.delete(&key),
        _ => store.put(&key, &record),
    });
    written.is_some()
}

/// A store in trouble: it dies and comes back, loses its history while its watches are mute, ends its watches.
async fn store_trouble(scene: &Arc<LocalCluster>, spell: &ScheduledFault) {
    let part = spell.len / 6;
    scene.with_store(|s| s.fault(|f| f.suppress_watch_events = true));
    scene.runtime.sleep(part).await;
    scene.with_store(|s| {
        s.compact();
        s.fault(|f| f.suppress_watch_events = false);
    });
    scene.runtime.sleep(part).await;
    scene.with_store(Store::crash);
    scene.runtime.sleep(part).await;
    for _ in 0..50 {
        if scene.with_store(Store::restart).is_none_or(|up| up.is_ok()) {
            break;
        }
        scene.runtime.sleep(20_000).await;
    }
    scene.runtime.sleep(part).await;
    scene.with_store(|s| s.cancel_watches());
    scene.with_store(|s| s.fault(|f| f.hang = true));
    scene.runtime.sleep(part).await;
    scene.with_store(|s| s.fault(|f| f.hang = false));
}

async fn list(
    scene: &Arc<LocalCluster>,
    plan: &Plan,
    engine: usize,
    condition: EndpointState,
    since: Option<Micros>,
    at: Micros,
) {
    scene.set_listed_state(engine, condition, since);
    if write_record(scene, engine, condition, since) {
        return;
    }
    let late = plan
        .active_fault(FaultKind::DiscoveryStale, at)
        .map_or(0, |s| (LIST_LATE as f64 * s.size) as Micros);
    for node in 0..scene.nodes() {
        // Nodes hear of it one after the other.
        scene
            .runtime
            .sleep((LIST_BEHIND + late) / scene.nodes() as u64)
            .await;
        scene.notify_node(node, engine).await;
    }
}

/// An engine dies, the list learns of it, it comes back cold, and the list learns of that.
async fn crash(scene: &Arc<LocalCluster>, plan: &Plan, engine: usize, spell: &ScheduledFault) {
    scene.engine(engine).crash();
    list(scene, plan, engine, EndpointState::Removed, None, spell.at).await;
    scene.runtime.sleep(spell.len / 2).await;
    come_back(scene, plan, engine, spell).await;
}

async fn come_back(scene: &Arc<LocalCluster>, plan: &Plan, engine: usize, spell: &ScheduledFault) {
    // A port that is still taken is tried again.
    for _ in 0..50 {
        if scene.engine(engine).restart(true).is_ok() {
            break;
        }
        scene.runtime.sleep(20_000).await;
    }
    let since = Some(scene.log.now());
    list(
        scene,
        plan,
        engine,
        EndpointState::Ready,
        since,
        spell.at + spell.len,
    )
    .await;
}

async fn trouble(scene: &Arc<LocalCluster>, plan: &Plan, spell: &ScheduledFault, no: usize) {
    let mut random = SmallRng::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(no as u64));
    let runtime = scene.runtime.clone();
    let size = spell.size;
    let all = |engines: &[usize], change: &dyn Fn(&mut ivyward_fakes::Faults)| {
        engines.iter().for_each(|e| scene.engine(*e).fault(change));
    };
    match spell.kind {
        FaultKind::Crash => {
            for engine in some(scene, &mut random, 0.2 * size, None) {
                crash(scene, plan, engine, spell).await;
            }
        }
        FaultKind::Hang => {
            let hung = some(scene, &mut random, 0.2 * size, None);
            all(&hung, &|f| f.hang = true);
            runtime.sleep(spell.len).await;
            all(&hung, &|f| f.hang = false);
        }
        FaultKind::Slow => {
            let slow = some(scene, &mut random, 0.25, None);
            all(&slow, &|f| f.slowdown = 2.0 + 6.0 * size);
            runtime.sleep(spell.len).await;
            all(&slow, &|f| f.slowdown = 1.0);
        }
        FaultKind::Pauses => {
            let engines = some(scene, &mut random, 0.4 * size, None);
            let until = scene.log.now() + spell.len;
            while scene.log.now() < until {
                let one = engines[random.random_range(0..engines.len())];
                let span = random.random_range(80_000..250_000);
                scene.engine(one).fault(|f| f.hang = true);
                runtime.sleep(span).await;
                scene.engine(one).fault(|f| f.hang = false);
                runtime.sleep(span).await;
            }
        }
        FaultKind::BalancerCrash => {
            let node = random.random_range(0..scene.nodes());
            scene.kill_node(node);
            runtime.sleep(spell.len / 2).await;
            for _ in 0..50 {
                if scene.start_node(node).is_ok() {
                    break;
                }
                runtime.sleep(20_000).await;
            }
        }
        FaultKind::OriginSlow => {
            let readers = some(scene, &mut random, 0.5, Some(Role::Prefill));
            all(&readers, &|f| f.fetch_slowdown = 2.0 + 18.0 * size);
            runtime.sleep(spell.len).await;
            all(&readers, &|f| f.fetch_slowdown = 1.0);
        }
        FaultKind::AnswerLost => {
            let engines = some(scene, &mut random, 0.5, None);
            all(&engines, &|f| {
                (f.lose_answer, f.reset) = (0.06 * size, 0.06 * size)
            });
            runtime.sleep(spell.len).await;
            all(&engines, &|f| (f.lose_answer, f.reset) = (0.0, 0.0));
        }
        FaultKind::Ageing => {
            let engines = some(scene, &mut random, 0.3, Some(Role::Decode));
            for step in 1..=10 {
                all(&engines, &|f| {
                    f.slowdown = 1.0 + 5.0 * size * f64::from(step) / 10.0
                });
                runtime.sleep(spell.len / 10).await;
            }
            let first = engines[0];
            all(&engines, &|f| f.slowdown = 1.0);
            crash(
                scene,
                plan,
                first,
                &ScheduledFault {
                    len: spell.len / 4,
                    ..spell.clone()
                },
            )
            .await;
        }
        FaultKind::Drain => {
            for engine in some(scene, &mut random, 0.15 * size, None) {
                scene.engine(engine).set_draining(true);
                list(scene, plan, engine, EndpointState::Draining, None, spell.at).await;
                runtime.sleep(spell.len / 2).await;
                scene.engine(engine).crash();
                list(scene, plan, engine, EndpointState::Removed, None, spell.at).await;
                come_back(scene, plan, engine, spell).await;
            }
        }
        FaultKind::Malformed => {
            let engines = some(scene, &mut random, 0.3, None);
            let twists = [
                ResponseFault::WrongId,
                ResponseFault::Malformed,
                ResponseFault::Oversized,
                ResponseFault::OutOfOrder,
                ResponseFault::DuplicateToken,
                ResponseFault::TokensAfterEnd,
                ResponseFault::StreamReset,
                ResponseFault::StatusExhausted,
                ResponseFault::MissingFinalMessage,
            ];
            let until = scene.log.now() + spell.len;
            while scene.log.now() < until {
                let twist = twists[random.random_range(0..twists.len())];
                let engine = engines[random.random_range(0..engines.len())];
                scene.engine(engine).fault(|f| {
                    (f.response_fault, f.malformed) = (Some(twist), 0.2 * size);
                    (f.refuse_stream, f.reject, f.stall) = (0.1 * size, 0.1 * size, 0.02 * size);
                });
                runtime.sleep(spell.len / 8).await;
                scene.engine(engine).fault(|f| {
                    (f.malformed, f.refuse_stream, f.reject, f.stall) = (0.0, 0.0, 0.0, 0.0);
                });
            }
        }
        FaultKind::DiscoveryStale => {
            store_trouble(scene, spell).await;
            runtime.sleep(spell.len / 6).await;
        }
        // These are the load's.
        FaultKind::Burst
        | FaultKind::HotKey
        | FaultKind::HeavyTail
        | FaultKind::GiveUp
        | FaultKind::RetryAbuse => runtime.sleep(spell.len).await,
    }
}

/// Ends of a group of tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// All.
    pub requests: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Given up: the client left by its script, or its node was killed.
    pub given_up: u64,
    /// Ended in a way that breaks a rule.
    pub broken: u64,
}

impl Ends {
    fn add(&mut self, how: ClientOutcome) {
        self.requests += 1;
        match how {
            ClientOutcome::Served => self.served += 1,
            ClientOutcome::Rejected => self.refused += 1,
            ClientOutcome::Failed => self.failed += 1,
            ClientOutcome::Disconnected | ClientOutcome::Unreachable => self.given_up += 1,
            ClientOutcome::TimedOut | ClientOutcome::Wrong => self.broken += 1,
        }
    }
}

#[derive(Serialize)]
struct Json<'a> {
    plan: &'a Plan,
    all: Ends,
    classes: BTreeMap<String, Ends>,
    first_token_ms: BTreeMap<String, f64>,
    token_pace_ms: BTreeMap<String, f64>,
    rules_kept: usize,
    rules: BTreeMap<&'a str, (u64, u64)>,
    attempts_side_by_side: (u64, u64),
    longest_overlap_ms: f64,
    broken: Vec<String>,
}

/// Microseconds up to ten minutes, to three digits.
fn histogram() -> Histogram<u64> {
    // The bounds are fixed and right.
    Histogram::new_with_bounds(1, 600_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

fn percentiles(values: impl Iterator<Item = u64>) -> BTreeMap<String, f64> {
    let mut h = histogram();
    values.for_each(|v| h.saturating_record(v.max(1)));
    [50.0, 90.0, 99.0, 99.9]
        .map(|p| (format!("p{p}"), h.value_at_percentile(p) as f64 / 1e3))
        .into()
}

impl Report {
    /// Ends of all tries.
    pub fn all(&self) -> Ends {
        self.ends(|_| true)
    }
    fn ends(&self, of: impl Fn(&RequestRecord) -> bool) -> Ends {
        let mut ends = Ends::default();
        self.requests
            .iter()
            .filter(|t| of(t))
            .for_each(|t| ends.add(t.end.outcome));
        ends
    }
    fn first_tokens(&self, class: Option<usize>) -> BTreeMap<String, f64> {
        let of = self
            .requests
            .iter()
            .filter(|t| class.is_none_or(|c| t.class == c));
        percentiles(of.filter_map(|t| t.end.first_token_after))
    }
    fn paces(&self) -> BTreeMap<String, f64> {
        let served = self
            .requests
            .iter()
            .filter(|t| t.end.outcome == ClientOutcome::Served && t.end.tokens > 1);
        percentiles(served.filter_map(|t| {
            Some((t.end.duration - t.end.first_token_after?) / u64::from(t.end.tokens - 1))
        }))
    }
    fn class_names(&self) -> Vec<String> {
        crate::local_cluster::classes()
            .into_iter()
            .map(|c| c.name)
            .collect()
    }

    /// The last line.
    pub fn verdict(&self) -> String {
        let e = self.all();
        format!(
            "rules kept: {} of 5; requests {}: served {}, refused {}, failed {}, given up {}",
            self.audit.rules_passed(),
            e.requests,
            e.served,
            e.refused,
            e.failed,
            e.given_up + e.broken
        )
    }

    /// All of it as JSON.
    ///
    /// # Errors
    /// Never for these types, but the library says so.
    pub fn json(&self) -> serde_json::Result<String> {
        let classes = self.class_names().into_iter().enumerate();
        let rules = self.audit.rules.iter().zip(RULES);
        let json = Json {
            plan: &self.scenario.plan,
            all: self.all(),
            classes: classes
                .map(|(i, name)| (name, self.ends(|t| t.class == i)))
                .collect(),
            first_token_ms: self.first_tokens(None),
            token_pace_ms: self.paces(),
            rules_kept: self.audit.rules_passed(),
            rules: rules
                .map(|(r, name)| (name, (r.checked, r.violation_count)))
                .collect(),
            attempts_side_by_side: (
                self.audit.overlap.checked,
                self.audit.overlap.violation_count,
            ),
            longest_overlap_ms: self.audit.longest_overlap as f64 / 1e3,
            broken: self.audit.violations(),
        };
        serde_json::to_string_pretty(&json)
    }

    /// All of it as text, the verdict last.
    pub fn text(&self) -> String {
        let mut out = String::new();
        let row = |name: &str, e: Ends| {
            format!(
                "{name:<18}{:>9}{:>9}{:>9}{:>9}{:>10}",
                e.requests,
                e.served,
                e.refused,
                e.failed,
                e.given_up + e.broken
            )
        };
        let mut line = |text: String| {
            // Writing to a String cannot fail.
            let _ = writeln!(out, "{text}");
        };
        line(format!(
            "{:<18}{:>9}{:>9}{:>9}{:>9}{:>10}",
            "class", "requests", "served", "refused", "failed", "given up"
        ));
        for (i, name) in self.class_names().iter().enumerate() {
            line(row(name, self.ends(|t| t.class == i)));
        }
        line(String::new());
        line(format!(
            "{:<18}{:>9}{:>9}{:>9}{:>9}{:>10}",
            "during", "requests", "served", "refused", "failed", "given up"
        ));
        for spell in &self.scenario.plan.faults {
            let during = self.ends(|t| (spell.at..spell.at + spell.len).contains(&t.at));
            line(row(&spell.kind.name(), during));
        }
        let quiet = |t: &RequestRecord| {
            !self
                .scenario
                .plan
                .faults
                .iter()
                .any(|s| (s.at..s.at + s.len).contains(&t.at))
        };
        line(row("(none of these)", self.ends(quiet)));
        line(String::new());
        let show = |p: &BTreeMap<String, f64>| {
            p.iter()
                .map(|(k, v)| format!("{k} {v:.1}"))
                .collect::<Vec<_>>()
                .join("  ")
        };
        line(format!(
            "first token, ms: {}",
            show(&self.first_tokens(None))
        ));
        line(format!("token pace, ms:  {}", show(&self.paces())));
        line(String::new());
        for (rule, name) in self.audit.rules.iter().zip(RULES) {
            line(format!(
                "{name:<18} checked {:>7} times, broken {}",
                rule.checked, rule.violation_count
            ));
        }
        let o = &self.audit.overlap;
        let longest = self.audit.longest_overlap as f64 / 1e3;
        line(format!(
            "{:<18} checked {:>7} times, broken {} (longest {longest:.1} ms, in flight)",
            "side by side", o.checked, o.violation_count
        ));
        for broken in self.audit.violations() {
            line(format!("  {broken}"));
        }
        line(self.verdict());
        out
    }
}
