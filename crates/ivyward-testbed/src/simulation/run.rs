//! Runs one seed under a plan and checks the rules during the run and at its end.

use super::cluster::{NodeSlot, SimulatedCluster};
use super::coincidences::coincidences;
use super::fault::Fault;
use super::hosts::Hosts;
use super::outcome::{Outcome, Violation};
use super::plan::ScheduledFault;
use super::recordings::lists;
use super::{lock, Size, ARRIVAL_WINDOW, START, STREAM_BUFFER};
use crate::local_cluster::{classes, fleet, limits, settings};
use crate::peer_scenario::{miscounts, PeerAddresses};
use futures_lite::future::or;
use ivyward::core::interface::{ListKind, Micros};
use ivyward::core::invariants::Rule;
use ivyward::recording::replay;
use ivyward::{Node, NodeSettings};
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::LoggedEvent;
use ivyward_fakes::{check, check_so_far, Engine, EngineSpec, EventLog, Host, RuleChecker};
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use ivyward_sim::{NetworkConfig, RunError, Sim};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The longest time that data may be in flight in the virtual network, for the rule checker, in addition to the longest
/// cut.
pub(super) const MAX_FLIGHT: Micros = 50_000;
/// The interval at which the time-based rules are checked during a run.
pub(super) const CHECK_INTERVAL: Micros = 250_000;

/// Runs a seed under a plan. A run that takes more than 120 s of virtual time fails.
pub fn run(seed: u64, size: &Size, plan: &[ScheduledFault]) -> Outcome {
    let sim = Sim::new(seed, NetworkConfig::default());
    let script = sim.host(0);
    let result = {
        let (sim, size, plan, runtime) = (sim.clone(), *size, plan.to_vec(), script.runtime());
        sim.clone().run(&script, 120_000_000, async move {
            run_plan(sim, runtime, seed, size, plan).await
        })
    };
    let (digest, events) = sim.digest();
    let span = sim.now();
    let findings = match result {
        Ok(Ok(findings)) => findings,
        Ok(Err(line)) => RunFindings {
            failures: vec![format!("the simulation run cannot be set up: {line}")],
            ..RunFindings::default()
        },
        Err(stuck @ RunError::Deadlock { .. }) => RunFindings {
            failures: vec![format!("deadlock: {stuck}")],
            ..RunFindings::default()
        },
        Err(stuck) => RunFindings {
            failures: vec![stuck.to_string()],
            ..RunFindings::default()
        },
    };
    let RunFindings {
        mut failures,
        client_outcomes,
        mut coincidence_counts,
        seen,
        records,
        first_violation,
    } = findings;
    // A replay of each recording must agree with the router core's actions in the run, and the digest includes the
    // recordings.
    let mut digest = digest;
    for (node, bytes) in &records {
        digest = xxh3_64_with_seed(bytes, digest);
        for (kind, _) in lists(bytes) {
            let name = match kind {
                ListKind::Full => "list: full",
                ListKind::Changes => "list: changes",
                _ => "list: of another kind",
            };
            *coincidence_counts.entry(name).or_default() += 1;
        }
        if let Err(e) = replay(&bytes[..]) {
            failures.push(format!("node {node}'s recording cannot be replayed: {e}"));
        }
    }
    Outcome {
        digest,
        events,
        failures,
        client_outcomes,
        coincidences: coincidence_counts,
        duration: span,
        observed: seen,
        recordings: records,
        first_violation,
    }
}

#[derive(Default)]
/// The findings of [`run_plan`].
struct RunFindings {
    pub(super) failures: Vec<String>,
    pub(super) client_outcomes: BTreeMap<&'static str, u64>,
    pub(super) coincidence_counts: BTreeMap<&'static str, u64>,
    pub(super) seen: Vec<LoggedEvent>,
    pub(super) records: Vec<(usize, Vec<u8>)>,
    pub(super) first_violation: Option<Violation>,
}

/// Sets up the cluster, injects the plan's faults, sends the requests, and checks the rules during the run and at its end.
async fn run_plan(
    sim: Sim,
    runtime: RuntimeRef,
    seed: u64,
    size: Size,
    plan: Vec<ScheduledFault>,
) -> Result<RunFindings, String> {
    let log = EventLog::new(&runtime);
    let hosts = Arc::new(Hosts::of(&sim));
    let host: Arc<dyn Host> = hosts.clone();
    let mut engines = Vec::new();
    for spec in fleet(size.racks) {
        let spec = EngineSpec {
            prefill_rate: 20_000.0,
            kv_fetch_rate: 200_000.0,
            token_interval: 3_000,
            ..spec
        };
        let engine = Engine::start(&host, &log, spec).map_err(|e| e.to_string())?;
        let id = hosts.last_started();
        engines.push(Mutex::new((engine, id)));
    }
    let mut store = Store::start(&host, 1).map_err(|e| e.to_string())?;
    // An endpoint for each node and one for the engines, so that the store's observer knows which node it notified.
    store
        .open_endpoints(size.nodes + 1)
        .map_err(|e| e.to_string())?;
    let store_host = Mutex::new(hosts.last_started());
    let base = settings();
    let settings = NodeSettings {
        classes: classes(),
        // A node's final answer is never late in virtual time, but a slow client first reads the tokens that precede it.
        answer_margin: 50_000,
        max_buffered_tokens: STREAM_BUFFER,
        // Every second seed runs with reserved decode slots.
        router: ivyward::core::interface::Settings {
            replica_count: size.nodes as u32,
            reserve_decode_slot: seed % 2 == 1,
            ..base.router.clone()
        },
        ..base
    };
    let addresses = match size.peers {
        false => None,
        true => {
            let host = sim.host(seed);
            let opened =
                PeerAddresses::open(&host.runtime(), size.nodes).map_err(|e| e.to_string())?;
            Some((opened, host.id()))
        }
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let slot = |_| {
        Mutex::new(NodeSlot {
            node: None,
            address: free,
            client: None,
        })
    };
    let cluster = Arc::new(SimulatedCluster {
        addresses,
        sim,
        hosts,
        log: log.clone(),
        runtime: runtime.clone(),
        settings,
        engines,
        node_slots: (0..size.nodes).map(slot).collect(),
        store: Mutex::new(store),
        store_host,
        shown_engines: Mutex::new(vec![BTreeSet::new(); size.nodes]),
        recent_notices: Mutex::default(),
        recordings: Mutex::default(),
    });
    cluster.observe_store();
    (0..cluster.engines.len()).for_each(|e| cluster.register(e, 0));
    for i in 0..size.nodes {
        cluster.start_node(i, seed.wrapping_mul(16).wrapping_add(i as u64))?;
    }
    let (done, wait) = async_channel::bounded::<()>(1);
    let mut random = SmallRng::seed_from_u64(seed);
    let planned = plan.clone();
    for (i, timed) in plan.into_iter().enumerate() {
        let (cluster, runtime, done) = (cluster.clone(), runtime.clone(), done.clone());
        let salt = seed.wrapping_mul(16).wrapping_add(8 + i as u64);
        runtime.clone().run(async move {
            runtime.sleep(timed.at).await;
            cluster.inject(timed, salt).await;
            drop(done);
        });
    }
    for no in 1..=size.requests as u64 {
        let (cluster, runtime, done) = (cluster.clone(), runtime.clone(), done.clone());
        let (at, own) = (
            random.random_range(20_000..ARRIVAL_WINDOW),
            SmallRng::seed_from_u64(random.random()),
        );
        runtime.clone().run(async move {
            runtime.sleep(at).await;
            cluster.send_request(no, own).await;
            drop(done);
        });
    }
    drop(done);
    // Checks each event as it is logged. The first violation ends the run.
    let cut = |t: &ScheduledFault| {
        if matches!(t.fault, Fault::Cut { .. }) {
            t.len
        } else {
            0
        }
    };
    let longest_cut = planned.iter().map(cut).max().unwrap_or(0);
    let mut limits = limits(
        &cluster.settings.router,
        MAX_FLIGHT + longest_cut,
        &fleet(size.racks),
    );
    limits.notification_allowance = limits.delivery_allowance;
    let first: Arc<Mutex<Option<Violation>>> = Arc::default();
    let (violation_sender, violation_reported) = async_channel::bounded::<()>(1);
    let report = {
        let (first, cluster) = (first.clone(), Arc::downgrade(&cluster));
        move |at: Micros, seen: usize, rule: String| {
            let step = cluster.upgrade().map_or(0, |s| s.sim.digest().1);
            lock(&first).get_or_insert(Violation {
                step,
                at,
                rule,
                seen,
            });
            // A full channel means that a violation was already reported.
            let _ = violation_sender.try_send(());
        }
    };
    let checker = Mutex::new((RuleChecker::new(limits.clone()), 0));
    // Checks the events that were logged during the set-up.
    let mut setup_violations = Vec::new();
    for seen in log.all() {
        let (rules, count) = &mut *lock(&checker);
        *count += 1;
        setup_violations.extend(rules.step(&seen));
    }
    let report_violation = report.clone();
    log.set_observer(move |seen| {
        let (rule, count) = {
            let (rules, count) = &mut *lock(&checker);
            *count += 1;
            (rules.step(seen), *count)
        };
        if let Some(rule) = rule {
            report_violation(seen.at, count, rule);
        }
    });
    // Checks the rules that are violated by the passing of time alone.
    {
        let (log, limits, clock) = (log.clone(), limits.clone(), runtime.clone());
        let cluster = Arc::downgrade(&cluster);
        runtime.run(async move {
            loop {
                clock.sleep(CHECK_INTERVAL).await;
                let seen = log.all();
                let low = cluster
                    .upgrade()
                    .filter(|s| s.addresses.is_some())
                    .and_then(|s| miscounts(&s.nodes()));
                if let Some(low) = low {
                    return report(log.now(), seen.len(), low);
                }
                let found = check_so_far(&seen, &limits, log.now()).violations();
                if let Some(rule) = found.into_iter().next() {
                    return report(log.now(), seen.len(), rule);
                }
            }
        });
    }
    // Returns an error, and so ends, when the last fault and the last request have dropped their senders.
    let all_ended = wait.recv();
    let _ = or(all_ended, violation_reported.recv()).await;
    // Liveness: open requests and the engines' reservations must fall to zero.
    let outstanding = |cluster: &SimulatedCluster| {
        let open: usize = (0..size.nodes)
            .filter_map(|n| cluster.node(n))
            .map(|n| n.1.open_requests())
            .sum();
        let reserved: usize = (0..cluster.engines.len())
            .map(|e| cluster.engine(e, |e| e.retained_count()))
            .sum();
        (open, reserved)
    };
    let deadline = runtime.now() + 15_000_000;
    while outstanding(&cluster) != (0, 0) && runtime.now() < deadline && lock(&first).is_none() {
        runtime.sleep(20_000).await;
    }
    let first_violation = lock(&first).clone();
    let mut failures = setup_violations;
    if let Some(Violation { step, at, rule, .. }) = &first_violation {
        failures.push(format!("step {step}, {} ms: {rule}", (at - START) / 1_000));
    } else if outstanding(&cluster) != (0, 0) {
        let (open, reserved) = outstanding(&cluster);
        failures.push(format!(
            "{open} requests open and {reserved} reservations 15 s after the last fault and request"
        ));
    }
    if failures.is_empty() {
        failures.extend(cluster.check_recovery().await);
    }
    let buffered = |node: Node| node.metrics().max_buffered_tokens.get();
    let nodes = (0..size.nodes).filter_map(|n| cluster.node(n));
    if let Some(most) = nodes
        .map(|n| buffered(n.1))
        .max()
        .filter(|most| *most > 2 * STREAM_BUFFER as u64)
    {
        failures.push(format!(
            "{most} tokens were buffered for one client, more than twice the limit of {STREAM_BUFFER}"
        ));
    }
    // Requests are still in progress if a violation ended the run early.
    let audit = match first_violation {
        Some(_) => check_so_far(&log.all(), &limits, log.now()),
        None => check(&log.all(), &limits, log.now()),
    };
    if first_violation.is_none() {
        failures.extend(audit.violations());
    }
    let ids: Vec<u64> = fleet(size.racks).iter().map(|s| s.id).collect();
    let mut coincidence_counts = coincidences(&log.all(), &planned, &ids);
    for (_, node) in (0..size.nodes).filter_map(|n| cluster.node(n)) {
        for (counter, (_, name)) in node.metrics().violations.iter().zip(Rule::ALL) {
            if counter.get() > 0 {
                failures.push(format!(
                    "invariant {name} was violated {} times",
                    counter.get()
                ));
            }
        }
        for (counter, (_, name)) in node
            .metrics()
            .outcomes
            .iter()
            .zip(ivyward::metrics::OUTCOMES)
        {
            *coincidence_counts.entry(name).or_default() += counter.get();
        }
    }
    let records = std::mem::take(&mut *lock(&cluster.recordings));
    let records = records
        .into_iter()
        .map(|(node, memory)| (node, memory.bytes()))
        .collect();
    Ok(RunFindings {
        failures,
        client_outcomes: audit.outcomes,
        coincidence_counts,
        seen: log.all(),
        records,
        first_violation,
    })
}
