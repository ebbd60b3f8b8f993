//! Runs one seed under a plan and checks the rules while it goes on.

use super::cluster::{Place, SimulatedCluster};
use super::coincidences::coincidences;
use super::fault::Fault;
use super::hosts::Hosts;
use super::outcome::{Outcome, Violation};
use super::plan::ScheduledFault;
use super::recordings::lists;
use super::{lock, Size, BEGIN, SPAN, STREAM_BUFFER};
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

/// What may be under way in the virtual network, for the auditor, beside what a cut holds up.
pub(super) const FLIGHT: Micros = 50_000;
/// The rules are checked so often while a scene goes on.
pub(super) const AUDIT_EVERY: Micros = 250_000;

/// Plays a seed under a plan.
pub fn run(seed: u64, size: &Size, plan: &[ScheduledFault]) -> Outcome {
    let sim = Sim::new(seed, NetworkConfig::default());
    let script = sim.host(0);
    let played = {
        let (sim, size, plan, runtime) = (sim.clone(), *size, plan.to_vec(), script.runtime());
        sim.clone().run(&script, 120_000_000, async move {
            play_plan(sim, runtime, seed, size, plan).await
        })
    };
    let (digest, events) = sim.digest();
    let span = sim.now();
    let done = match played {
        Ok(Ok(done)) => done,
        Ok(Err(line)) => Done {
            wrong: vec![format!("the scene cannot be set up: {line}")],
            ..Done::default()
        },
        Err(stuck @ RunError::Deadlock { .. }) => Done {
            wrong: vec![format!("deadlock: {stuck}")],
            ..Done::default()
        },
        Err(stuck) => Done {
            wrong: vec![stuck.to_string()],
            ..Done::default()
        },
    };
    let Done {
        mut wrong,
        heard,
        mut met,
        seen,
        records,
        broke,
    } = done;
    // The module's own replay agrees with what it did in the scene, and its events and actions are in the digest.
    let mut digest = digest;
    for (node, bytes) in &records {
        digest = xxh3_64_with_seed(bytes, digest);
        for (kind, _) in lists(bytes) {
            let name = match kind {
                ListKind::Full => "list: full",
                ListKind::Changes => "list: changes",
                _ => "list: of another kind",
            };
            *met.entry(name).or_default() += 1;
        }
        if let Err(e) = replay(&bytes[..]) {
            wrong.push(format!("node {node}'s record does not play again: {e}"));
        }
    }
    Outcome {
        digest,
        events,
        failures: wrong,
        client_outcomes: heard,
        coincidences: met,
        duration: span,
        observed: seen,
        recordings: records,
        first_violation: broke,
    }
}

#[derive(Default)]
/// What [`play_plan`] found.
struct Done {
    pub(super) wrong: Vec<String>,
    pub(super) heard: BTreeMap<&'static str, u64>,
    pub(super) met: BTreeMap<&'static str, u64>,
    pub(super) seen: Vec<LoggedEvent>,
    pub(super) records: Vec<(usize, Vec<u8>)>,
    pub(super) broke: Option<Violation>,
}

/// Sets the cluster up, plays the plan and the requests, and checks the rules meanwhile and afterwards.
async fn play_plan(
    sim: Sim,
    runtime: RuntimeRef,
    seed: u64,
    size: Size,
    plan: Vec<ScheduledFault>,
) -> Result<Done, String> {
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
    // One for each node, and one for the engines, so that what was shown to whom is told apart.
    store
        .open_endpoints(size.nodes + 1)
        .map_err(|e| e.to_string())?;
    let store_host = Mutex::new(hosts.last_started());
    let base = settings();
    let settings = NodeSettings {
        classes: classes(),
        // The virtual machine is never late with an answer; a slow client reads what came before it first.
        answer_margin: 50_000,
        max_buffered_tokens: STREAM_BUFFER,
        // Every other deployment holds places ahead.
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
    let place = |_| {
        Mutex::new(Place {
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
        places: (0..size.nodes).map(place).collect(),
        store: Mutex::new(store),
        store_host,
        shown: Mutex::new(vec![BTreeSet::new(); size.nodes]),
        notices: Mutex::default(),
        records: Mutex::default(),
    });
    cluster.witness();
    (0..cluster.engines.len()).for_each(|e| cluster.register(e, 0));
    for i in 0..size.nodes {
        cluster.start_node(i, seed.wrapping_mul(16).wrapping_add(i as u64))?;
    }
    let (done, wait) = async_channel::bounded::<()>(1);
    let mut random = SmallRng::seed_from_u64(seed);
    let played = plan.clone();
    for (i, timed) in plan.into_iter().enumerate() {
        let (cluster, runtime, done) = (cluster.clone(), runtime.clone(), done.clone());
        let salt = seed.wrapping_mul(16).wrapping_add(8 + i as u64);
        runtime.clone().run(async move {
            runtime.sleep(timed.at).await;
            cluster.play(timed, salt).await;
            drop(done);
        });
    }
    for no in 1..=size.requests as u64 {
        let (cluster, runtime, done) = (cluster.clone(), runtime.clone(), done.clone());
        let (at, own) = (
            random.random_range(20_000..SPAN),
            SmallRng::seed_from_u64(random.random()),
        );
        runtime.clone().run(async move {
            runtime.sleep(at).await;
            cluster.ask(no, own).await;
            drop(done);
        });
    }
    drop(done);
    // After every step: whatever crossed the sockets is looked at as it does, and the first break ends the scene.
    let cut = |t: &ScheduledFault| {
        if matches!(t.fault, Fault::Cut { .. }) {
            t.len
        } else {
            0
        }
    };
    let held_up = played.iter().map(cut).max().unwrap_or(0);
    let mut limits = limits(
        &cluster.settings.router,
        FLIGHT + held_up,
        &fleet(size.racks),
    );
    limits.notification_allowance = limits.delivery_allowance;
    let first: Arc<Mutex<Option<Violation>>> = Arc::default();
    let (broken, broke) = async_channel::bounded::<()>(1);
    let note = {
        let (first, cluster) = (first.clone(), Arc::downgrade(&cluster));
        move |at: Micros, seen: usize, rule: String| {
            let step = cluster.upgrade().map_or(0, |s| s.sim.digest().1);
            lock(&first).get_or_insert(Violation {
                step,
                at,
                rule,
                seen,
            });
            // Full means that it was told already.
            let _ = broken.try_send(());
        }
    };
    let live = Mutex::new((RuleChecker::new(limits.clone()), 0));
    // What was seen while the scene was set up.
    let mut before = Vec::new();
    for seen in log.all() {
        let (live, count) = &mut *lock(&live);
        *count += 1;
        before.extend(live.step(&seen));
    }
    let beside = note.clone();
    log.set_observer(move |seen| {
        let (rule, count) = {
            let (live, count) = &mut *lock(&live);
            *count += 1;
            (live.step(seen), *count)
        };
        if let Some(rule) = rule {
            beside(seen.at, count, rule);
        }
    });
    // And what breaks by time alone.
    {
        let (log, limits, clock) = (log.clone(), limits.clone(), runtime.clone());
        let cluster = Arc::downgrade(&cluster);
        runtime.run(async move {
            loop {
                clock.sleep(AUDIT_EVERY).await;
                let seen = log.all();
                let low = cluster
                    .upgrade()
                    .filter(|s| s.addresses.is_some())
                    .and_then(|s| miscounts(&s.nodes()));
                if let Some(low) = low {
                    return note(log.now(), seen.len(), low);
                }
                let found = check_so_far(&seen, &limits, log.now()).violations();
                if let Some(rule) = found.into_iter().next() {
                    return note(log.now(), seen.len(), rule);
                }
            }
        });
    }
    // Ends with an error when the last fault and the last request are over.
    let over = wait.recv();
    let _ = or(over, broke.recv()).await;
    // Liveness: what is in hand and what is kept falls to nothing.
    let left = |cluster: &SimulatedCluster| {
        let open: usize = (0..size.nodes)
            .filter_map(|n| cluster.node(n))
            .map(|n| n.1.open_requests())
            .sum();
        let kept: usize = (0..cluster.engines.len())
            .map(|e| cluster.engine(e, |e| e.retained_count()))
            .sum();
        (open, kept)
    };
    let until = runtime.now() + 15_000_000;
    while left(&cluster) != (0, 0) && runtime.now() < until && lock(&first).is_none() {
        runtime.sleep(20_000).await;
    }
    let broke = lock(&first).clone();
    let mut wrong = before;
    if let Some(Violation { step, at, rule, .. }) = &broke {
        wrong.push(format!("step {step}, {} ms: {rule}", (at - BEGIN) / 1_000));
    } else if left(&cluster) != (0, 0) {
        let (open, kept) = left(&cluster);
        wrong.push(format!(
            "{open} requests in hand and {kept} states kept 15 s after everything ended"
        ));
    }
    if wrong.is_empty() {
        wrong.extend(cluster.come_back().await);
    }
    let buffered = |node: Node| node.metrics().max_buffered_tokens.get();
    let nodes = (0..size.nodes).filter_map(|n| cluster.node(n));
    if let Some(most) = nodes
        .map(|n| buffered(n.1))
        .max()
        .filter(|most| *most > 2 * STREAM_BUFFER as u64)
    {
        wrong.push(format!(
            "{most} tokens waited for one client where {STREAM_BUFFER} are the bound"
        ));
    }
    // Where it broke off, much is still under way.
    let audit = match broke {
        Some(_) => check_so_far(&log.all(), &limits, log.now()),
        None => check(&log.all(), &limits, log.now()),
    };
    if broke.is_none() {
        wrong.extend(audit.violations());
    }
    let ids: Vec<u64> = fleet(size.racks).iter().map(|s| s.id).collect();
    let mut met = coincidences(&log.all(), &played, &ids);
    for (_, node) in (0..size.nodes).filter_map(|n| cluster.node(n)) {
        for (counter, (_, name)) in node.metrics().violations.iter().zip(Rule::ALL) {
            if counter.get() > 0 {
                wrong.push(format!(
                    "invariant {name} did not hold {} times",
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
            *met.entry(name).or_default() += counter.get();
        }
    }
    let records = std::mem::take(&mut *lock(&cluster.records));
    let records = records
        .into_iter()
        .map(|(node, memory)| (node, memory.bytes()))
        .collect();
    Ok(Done {
        wrong,
        heard: audit.outcomes,
        met,
        seen: log.all(),
        records,
        broke,
    })
}
