//! Runs a fault plan under load on loopback sockets, and reports the outcomes and the rule violations.

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

/// Time in microseconds from a change of an engine until all nodes are notified of it.
const LISTING_DELAY: Micros = 150_000;
/// Additional delay in microseconds during a `DiscoveryStale` fault of size 1; it scales with the size.
const STALE_LISTING_DELAY: Micros = 1_500_000;

/// A fault plan, the load that runs with it, and the size of the cluster.
#[derive(Clone, Debug)]
pub struct FaultScenario {
    /// Faults to inject.
    pub plan: Plan,
    /// Requests that clients send.
    pub load: Load,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of racks, each with one prefill, one mixed and two decode engines.
    pub racks: u16,
    /// Whether the nodes run in this process or as daemons.
    pub placement: NodePlacement,
    /// Longest time in microseconds that the rule checker accepts for a message in flight on this machine.
    pub in_flight_window: Micros,
    /// Whether nodes watch the engines in an etcd store, which is subject to faults too, instead of being notified by the
    /// script.
    pub etcd: bool,
}

impl FaultScenario {
    /// Returns a scenario of `requests` requests whose plan is generated from `seed`, with faults of these kinds, or of all
    /// kinds if `kinds` is empty.
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
            in_flight_window: 250_000,
            etcd: false,
        }
    }
}

/// Returns the engines of a scenario. They are slower than the engines of other tests, so that queues form.
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

/// Result of a scenario.
pub struct Report {
    /// The scenario that was run.
    pub scenario: FaultScenario,
    /// Every request that was sent, with retries as requests of their own.
    pub requests: Vec<RequestRecord>,
    /// Findings of the rule checker.
    pub audit: RuleReport,
    /// Recording of the first node.
    pub recording: Vec<u8>,
}

/// Runs a scenario to its end and checks the rules.
///
/// # Errors
/// Returns an error if the cluster cannot be set up.
pub fn run(scenario: FaultScenario) -> Result<Report, LocalClusterError> {
    let recording = RecordingBuffer::default();
    let store = match scenario.etcd {
        false => None,
        true => {
            let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
            let opened = Store::start(&host, 1)
                .and_then(|mut store| store.open_endpoints(scenario.nodes).map(|()| store));
            Some(opened.map_err(|error| LocalClusterError::Io {
                what: "starting a store".into(),
                error,
            })?)
        }
    };
    let watcher = store.as_ref().map(|store| WatcherOptions {
        endpoints: store.endpoints().to_vec(),
        silence_timeout: 400_000,
        empty_grace: 2_000_000,
        backoff: (10_000, 200_000),
        ..WatcherOptions::default()
    });
    let builder = ClusterBuilder {
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
        flight: scenario.in_flight_window,
        watcher,
        recording: Some(recording.clone()),
    };
    let cluster = Arc::new(builder.build()?);
    if let Some(store) = store {
        cluster.watch_store(store);
        for engine in 0..cluster.engines() {
            write_record(&cluster, engine, EndpointState::Ready, None);
        }
        cluster.runtime.clone().block_on(async {
            let all = cluster.engines() as u64;
            let lists_all = |n: usize| {
                cluster
                    .node(n)
                    .is_none_or(|n| n.metrics().engines.get() == all)
            };
            while !(0..cluster.nodes()).all(lists_all) {
                cluster.runtime.sleep(5_000).await;
            }
        });
    }
    let plan = Arc::new(scenario.plan.clone());
    let requests = cluster.runtime.clone().block_on(async {
        let (done, wait) = async_channel::bounded::<()>(1);
        for (i, scheduled) in plan.faults.iter().enumerate() {
            let (cluster, plan, scheduled, done) = (
                cluster.clone(),
                plan.clone(),
                scheduled.clone(),
                done.clone(),
            );
            cluster.runtime.clone().run(async move {
                cluster.runtime.sleep(scheduled.at).await;
                inject_fault(&cluster, &plan, &scheduled, i).await;
                drop(done);
            });
        }
        drop(done);
        let requests = run_load(&cluster, &plan, &scenario.load).await;
        // Faults that outlast the load end by themselves. The channel closes when the last one has ended.
        let _ = wait.recv().await;
        cluster.wait_until_idle(5_000_000).await;
        if let Some(node) = cluster.node(0) {
            node.flush_recording().await;
        }
        requests
    });
    let audit = cluster.audit();
    Ok(Report {
        scenario,
        requests,
        audit,
        recording: recording.bytes(),
    })
}

/// Picks a random share of the engines, at least one, optionally of one role only.
fn pick_engines(
    cluster: &LocalCluster,
    random: &mut SmallRng,
    share: f64,
    role: Option<Role>,
) -> Vec<usize> {
    let fits = |i: &usize| role.is_none_or(|r| cluster.engine(*i).spec().role == r);
    let mut all: Vec<usize> = (0..cluster.engines()).filter(fits).collect();
    all.shuffle(random);
    let count = ((all.len() as f64 * share).round() as usize).clamp(1, all.len());
    all.truncate(count);
    all
}

/// Writes the state of an engine into the store, as the engine itself would. Returns false if there is no store.
fn write_record(
    cluster: &LocalCluster,
    engine: usize,
    state: EndpointState,
    since: Option<Micros>,
) -> bool {
    let unix = cluster.runtime.unix_micros();
    let started_ms = since.map_or(0, |at| {
        unix.saturating_sub(cluster.log.now().saturating_sub(at)) / 1_000
    });
    let registered = if state == EndpointState::Ready {
        State::Ready
    } else {
        State::Draining
    };
    let (key, record) = cluster.registration(engine, registered, started_ms);
    let written = cluster.with_store(|store| match state {
        EndpointState::Removed => store.delete(&key),
        _ => store.put(&key, &record),
    });
    written.is_some()
}

/// Injects a sequence of faults into the store: it suppresses watch events while its history is compacted, crashes and
/// restarts, cancels its watches, and hangs.
async fn inject_store_faults(cluster: &Arc<LocalCluster>, scheduled: &ScheduledFault) {
    let part = scheduled.len / 6;
    cluster.with_store(|s| s.fault(|f| f.suppress_watch_events = true));
    cluster.runtime.sleep(part).await;
    cluster.with_store(|s| {
        s.compact();
        s.fault(|f| f.suppress_watch_events = false);
    });
    cluster.runtime.sleep(part).await;
    cluster.with_store(Store::crash);
    cluster.runtime.sleep(part).await;
    for _ in 0..50 {
        if cluster
            .with_store(Store::restart)
            .is_none_or(|up| up.is_ok())
        {
            break;
        }
        cluster.runtime.sleep(20_000).await;
    }
    cluster.runtime.sleep(part).await;
    cluster.with_store(|s| s.cancel_watches());
    cluster.with_store(|s| s.fault(|f| f.hang = true));
    cluster.runtime.sleep(part).await;
    cluster.with_store(|s| s.fault(|f| f.hang = false));
}

/// Changes the listed state of an engine: through the store if there is one, otherwise by notifying each node.
async fn update_listing(
    cluster: &Arc<LocalCluster>,
    plan: &Plan,
    engine: usize,
    state: EndpointState,
    since: Option<Micros>,
    at: Micros,
) {
    cluster.set_listed_state(engine, state, since);
    if write_record(cluster, engine, state, since) {
        return;
    }
    let late = plan
        .active_fault(FaultKind::DiscoveryStale, at)
        .map_or(0, |s| (STALE_LISTING_DELAY as f64 * s.size) as Micros);
    for node in 0..cluster.nodes() {
        // Nodes are notified one after the other.
        cluster
            .runtime
            .sleep((LISTING_DELAY + late) / cluster.nodes() as u64)
            .await;
        cluster.notify_node(node, engine).await;
    }
}

/// Crashes an engine, lists it as removed, restarts it with an empty cache, and lists it as ready.
async fn crash_and_restart(
    cluster: &Arc<LocalCluster>,
    plan: &Plan,
    engine: usize,
    scheduled: &ScheduledFault,
) {
    cluster.engine(engine).crash();
    update_listing(
        cluster,
        plan,
        engine,
        EndpointState::Removed,
        None,
        scheduled.at,
    )
    .await;
    cluster.runtime.sleep(scheduled.len / 2).await;
    restart_engine(cluster, plan, engine, scheduled).await;
}

async fn restart_engine(
    cluster: &Arc<LocalCluster>,
    plan: &Plan,
    engine: usize,
    scheduled: &ScheduledFault,
) {
    // The restart is retried while the port is still in use.
    for _ in 0..50 {
        if cluster.engine(engine).restart(true).is_ok() {
            break;
        }
        cluster.runtime.sleep(20_000).await;
    }
    let since = Some(cluster.log.now());
    update_listing(
        cluster,
        plan,
        engine,
        EndpointState::Ready,
        since,
        scheduled.at + scheduled.len,
    )
    .await;
}

async fn inject_fault(
    cluster: &Arc<LocalCluster>,
    plan: &Plan,
    scheduled: &ScheduledFault,
    index: usize,
) {
    let mut random = SmallRng::seed_from_u64(plan.seed.wrapping_mul(31).wrapping_add(index as u64));
    let runtime = cluster.runtime.clone();
    let size = scheduled.size;
    let all = |engines: &[usize], change: &dyn Fn(&mut ivyward_fakes::Faults)| {
        engines
            .iter()
            .for_each(|e| cluster.engine(*e).fault(change));
    };
    match scheduled.kind {
        FaultKind::Crash => {
            for engine in pick_engines(cluster, &mut random, 0.2 * size, None) {
                crash_and_restart(cluster, plan, engine, scheduled).await;
            }
        }
        FaultKind::Hang => {
            let hung = pick_engines(cluster, &mut random, 0.2 * size, None);
            all(&hung, &|f| f.hang = true);
            runtime.sleep(scheduled.len).await;
            all(&hung, &|f| f.hang = false);
        }
        FaultKind::Slow => {
            let slow = pick_engines(cluster, &mut random, 0.25, None);
            all(&slow, &|f| f.slowdown = 2.0 + 6.0 * size);
            runtime.sleep(scheduled.len).await;
            all(&slow, &|f| f.slowdown = 1.0);
        }
        FaultKind::Pauses => {
            let engines = pick_engines(cluster, &mut random, 0.4 * size, None);
            let until = cluster.log.now() + scheduled.len;
            while cluster.log.now() < until {
                let one = engines[random.random_range(0..engines.len())];
                let duration = random.random_range(80_000..250_000);
                cluster.engine(one).fault(|f| f.hang = true);
                runtime.sleep(duration).await;
                cluster.engine(one).fault(|f| f.hang = false);
                runtime.sleep(duration).await;
            }
        }
        FaultKind::BalancerCrash => {
            let node = random.random_range(0..cluster.nodes());
            cluster.kill_node(node);
            runtime.sleep(scheduled.len / 2).await;
            for _ in 0..50 {
                if cluster.start_node(node).is_ok() {
                    break;
                }
                runtime.sleep(20_000).await;
            }
        }
        FaultKind::OriginSlow => {
            let prefill_engines = pick_engines(cluster, &mut random, 0.5, Some(Role::Prefill));
            all(&prefill_engines, &|f| f.fetch_slowdown = 2.0 + 18.0 * size);
            runtime.sleep(scheduled.len).await;
            all(&prefill_engines, &|f| f.fetch_slowdown = 1.0);
        }
        FaultKind::AnswerLost => {
            let engines = pick_engines(cluster, &mut random, 0.5, None);
            all(&engines, &|f| {
                (f.lose_answer, f.reset) = (0.06 * size, 0.06 * size)
            });
            runtime.sleep(scheduled.len).await;
            all(&engines, &|f| (f.lose_answer, f.reset) = (0.0, 0.0));
        }
        FaultKind::Ageing => {
            let engines = pick_engines(cluster, &mut random, 0.3, Some(Role::Decode));
            for step in 1..=10 {
                all(&engines, &|f| {
                    f.slowdown = 1.0 + 5.0 * size * f64::from(step) / 10.0
                });
                runtime.sleep(scheduled.len / 10).await;
            }
            let first = engines[0];
            all(&engines, &|f| f.slowdown = 1.0);
            crash_and_restart(
                cluster,
                plan,
                first,
                &ScheduledFault {
                    len: scheduled.len / 4,
                    ..scheduled.clone()
                },
            )
            .await;
        }
        FaultKind::Drain => {
            for engine in pick_engines(cluster, &mut random, 0.15 * size, None) {
                cluster.engine(engine).set_draining(true);
                update_listing(
                    cluster,
                    plan,
                    engine,
                    EndpointState::Draining,
                    None,
                    scheduled.at,
                )
                .await;
                runtime.sleep(scheduled.len / 2).await;
                cluster.engine(engine).crash();
                update_listing(
                    cluster,
                    plan,
                    engine,
                    EndpointState::Removed,
                    None,
                    scheduled.at,
                )
                .await;
                restart_engine(cluster, plan, engine, scheduled).await;
            }
        }
        FaultKind::Malformed => {
            let engines = pick_engines(cluster, &mut random, 0.3, None);
            let response_faults = [
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
            let until = cluster.log.now() + scheduled.len;
            while cluster.log.now() < until {
                let response_fault = response_faults[random.random_range(0..response_faults.len())];
                let engine = engines[random.random_range(0..engines.len())];
                cluster.engine(engine).fault(|f| {
                    (f.response_fault, f.malformed) = (Some(response_fault), 0.2 * size);
                    (f.refuse_stream, f.reject, f.stall) = (0.1 * size, 0.1 * size, 0.02 * size);
                });
                runtime.sleep(scheduled.len / 8).await;
                cluster.engine(engine).fault(|f| {
                    (f.malformed, f.refuse_stream, f.reject, f.stall) = (0.0, 0.0, 0.0, 0.0);
                });
            }
        }
        FaultKind::DiscoveryStale => {
            inject_store_faults(cluster, scheduled).await;
            runtime.sleep(scheduled.len / 6).await;
        }
        // The load generator implements these kinds.
        FaultKind::Burst
        | FaultKind::HotKey
        | FaultKind::HeavyTail
        | FaultKind::GiveUp
        | FaultKind::RetryAbuse => runtime.sleep(scheduled.len).await,
    }
}

/// Numbers of requests by outcome. Retries count as requests of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Requests sent.
    pub requests: u64,
    /// Requests served to the end.
    pub served: u64,
    /// Requests that a node rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client disconnected according to its script, or whose node was killed.
    #[serde(rename = "given_up")]
    pub disconnected: u64,
    /// Requests with an outcome that violates a rule: no answer in time or a wrong answer.
    #[serde(rename = "broken")]
    pub invalid: u64,
}

impl OutcomeCounts {
    fn add(&mut self, outcome: ClientOutcome) {
        self.requests += 1;
        match outcome {
            ClientOutcome::Served => self.served += 1,
            ClientOutcome::Rejected => self.rejected += 1,
            ClientOutcome::Failed => self.failed += 1,
            ClientOutcome::Disconnected | ClientOutcome::Unreachable => self.disconnected += 1,
            ClientOutcome::TimedOut | ClientOutcome::Wrong => self.invalid += 1,
        }
    }
}

#[derive(Serialize)]
struct Json<'a> {
    plan: &'a Plan,
    all: OutcomeCounts,
    classes: BTreeMap<String, OutcomeCounts>,
    first_token_ms: BTreeMap<String, f64>,
    #[serde(rename = "token_pace_ms")]
    token_interval_ms: BTreeMap<String, f64>,
    #[serde(rename = "rules_kept")]
    rules_satisfied: usize,
    rules: BTreeMap<&'a str, (u64, u64)>,
    #[serde(rename = "attempts_side_by_side")]
    overlapping_attempts: (u64, u64),
    longest_overlap_ms: f64,
    stalled_ms: f64,
    #[serde(rename = "broken")]
    violations: Vec<String>,
}

/// Returns a histogram of microseconds up to ten minutes, with three significant digits.
fn histogram() -> Histogram<u64> {
    // The bounds are constant and valid.
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
    /// Counts the outcomes of all requests.
    pub fn all(&self) -> OutcomeCounts {
        self.count_outcomes(|_| true)
    }
    fn count_outcomes(&self, of: impl Fn(&RequestRecord) -> bool) -> OutcomeCounts {
        let mut ends = OutcomeCounts::default();
        self.requests
            .iter()
            .filter(|t| of(t))
            .for_each(|t| ends.add(t.result.outcome));
        ends
    }
    fn first_token_times(&self, class: Option<usize>) -> BTreeMap<String, f64> {
        let of = self
            .requests
            .iter()
            .filter(|t| class.is_none_or(|c| t.class == c));
        percentiles(of.filter_map(|t| t.result.first_token_after))
    }
    fn token_intervals(&self) -> BTreeMap<String, f64> {
        let served = self
            .requests
            .iter()
            .filter(|t| t.result.outcome == ClientOutcome::Served && t.result.tokens > 1);
        percentiles(served.filter_map(|t| {
            Some((t.result.duration - t.result.first_token_after?) / u64::from(t.result.tokens - 1))
        }))
    }
    fn class_names(&self) -> Vec<String> {
        crate::local_cluster::classes()
            .into_iter()
            .map(|c| c.name)
            .collect()
    }

    /// Returns the summary line that ends the report.
    pub fn verdict(&self) -> String {
        let e = self.all();
        format!(
            "rules kept: {} of 5; requests {}: served {}, refused {}, failed {}, given up {}",
            self.audit.rules_passed(),
            e.requests,
            e.served,
            e.rejected,
            e.failed,
            e.disconnected + e.invalid
        )
    }

    /// Returns the report as JSON.
    ///
    /// # Errors
    /// Does not occur for these types; serde_json's signature requires it.
    pub fn json(&self) -> serde_json::Result<String> {
        let classes = self.class_names().into_iter().enumerate();
        let rules = self.audit.rules.iter().zip(RULES);
        let json = Json {
            plan: &self.scenario.plan,
            all: self.all(),
            classes: classes
                .map(|(i, name)| (name, self.count_outcomes(|t| t.class == i)))
                .collect(),
            first_token_ms: self.first_token_times(None),
            token_interval_ms: self.token_intervals(),
            rules_satisfied: self.audit.rules_passed(),
            rules: rules
                .map(|(r, name)| (name, (r.checked, r.violation_count)))
                .collect(),
            overlapping_attempts: (
                self.audit.overlap.checked,
                self.audit.overlap.violation_count,
            ),
            longest_overlap_ms: self.audit.longest_overlap as f64 / 1e3,
            stalled_ms: self.audit.stalled as f64 / 1e3,
            violations: self.audit.violations(),
        };
        serde_json::to_string_pretty(&json)
    }

    /// Returns the report as text tables, followed by [`Report::verdict`].
    pub fn text(&self) -> String {
        let mut out = String::new();
        let row = |name: &str, e: OutcomeCounts| {
            format!(
                "{name:<18}{:>9}{:>9}{:>9}{:>9}{:>10}",
                e.requests,
                e.served,
                e.rejected,
                e.failed,
                e.disconnected + e.invalid
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
            line(row(name, self.count_outcomes(|t| t.class == i)));
        }
        line(String::new());
        line(format!(
            "{:<18}{:>9}{:>9}{:>9}{:>9}{:>10}",
            "during", "requests", "served", "refused", "failed", "given up"
        ));
        for scheduled in &self.scenario.plan.faults {
            let during = self
                .count_outcomes(|t| (scheduled.at..scheduled.at + scheduled.len).contains(&t.at));
            line(row(&scheduled.kind.name(), during));
        }
        let outside_faults = |t: &RequestRecord| {
            !self
                .scenario
                .plan
                .faults
                .iter()
                .any(|s| (s.at..s.at + s.len).contains(&t.at))
        };
        line(row("(none of these)", self.count_outcomes(outside_faults)));
        line(String::new());
        let show = |p: &BTreeMap<String, f64>| {
            p.iter()
                .map(|(k, v)| format!("{k} {v:.1}"))
                .collect::<Vec<_>>()
                .join("  ")
        };
        line(format!(
            "first token, ms: {}",
            show(&self.first_token_times(None))
        ));
        line(format!(
            "token pace, ms:  {}",
            show(&self.token_intervals())
        ));
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
        let stalled = self.audit.stalled / 1_000;
        if stalled > 0 {
            line(format!(
                "the process did not run for {stalled} ms, which no duration includes"
            ));
        }
        for broken in self.audit.violations() {
            line(format!("  {broken}"));
        }
        line(self.verdict());
        out
    }
}
