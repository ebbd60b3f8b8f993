//! Cold engines whose clocks are wrong, in the deterministic simulation. The share of a cold engine depends on the work
//! that warm engines get, so the load must be the same in each run.

use ivyward::core::interface::Settings;
use ivyward::watcher::WatcherOptions;
use ivyward::{Node, NodeSettings};
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::{CallIdempotency, LoggedEvent};
use ivyward_fakes::{
    check, Client, ClientBehavior, ClientRequest, Engine, EngineSpec, EventLog, Host,
    ObservedEvent, Role,
};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use ivyward_sim::{NetworkConfig, Sim};
use ivyward_testbed::local_cluster::{limits, settings};
use ivyward_testbed::registration::keep_registered;
use ivyward_testbed::simulation::Hosts;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const SECOND: u64 = 1_000_000;
/// Number of decode engines that are warm from the start.
const WARM: u64 = 4;
/// Engines that restart cold later: the index of the engine, and the offset of its clock in seconds.
const COLD: [(usize, i64); 3] = [(6, -3_600), (7, 3_600), (8, -1)];

/// Registers an engine in the store. Its start time is taken from a clock that is `skew` seconds ahead; without `skew`, the
/// engine counts as started long ago.
fn register(engine: &Engine, runtime: &RuntimeRef, store: SocketAddr, skew: Option<i64>) {
    let now = runtime.unix_micros() as i64 / 1_000;
    let started = skew.map_or(0, |s| (now + s * 1_000) as u64);
    keep_registered(engine, vec![store], 60, started, |_| {});
}

/// Cold engines whose clocks are off by up to an hour are not overloaded, whatever start time their records state.
#[test]
fn wrong_clocks_overload_no_cold_engine() {
    let sim = Sim::new(44, NetworkConfig::default());
    let (script, hosts) = (sim.host(0), Arc::new(Hosts::of(&sim)));
    let (runtime, host): (_, Arc<dyn Host>) = (script.runtime(), hosts);
    let log = EventLog::new(&runtime);
    // Little more than its capacity overloads a cold engine, and so would the load that a node sends to a warm one.
    let router_settings = Settings {
        overload_multiple: 1.2,
        replica_count: 2,
        ..settings().router
    };
    let spec = |id| {
        let role = if id <= 2 { Role::Prefill } else { Role::Decode };
        let overload = (
            router_settings.overload_multiple,
            router_settings.overload_window,
        );
        EngineSpec {
            warm_up: (0.3, 4 * SECOND),
            overload,
            capacity: 40.0,
            ..EngineSpec::small(id, role)
        }
    };
    let specs: Vec<EngineSpec> = (1..=2 + WARM + COLD.len() as u64).map(spec).collect();
    let engines: Vec<Engine> = specs
        .iter()
        .map(|s| Engine::start(&host, &log, s.clone()).unwrap())
        .collect();
    let engines = Arc::new(Mutex::new(engines));
    let store = Store::start(&host, 1).unwrap();
    let address = store.address();
    for engine in &engines.lock().unwrap()[..2 + WARM as usize] {
        register(engine, &runtime, address, None);
    }
    let mut nodes = Vec::new();
    for seed in 1..=2 {
        let node_host = sim.host(seed);
        let node_runtime = node_host.runtime();
        let settings = NodeSettings {
            seed,
            router: router_settings.clone(),
            ..settings()
        };
        let node = Node::start(node_runtime.clone(), settings, None).unwrap();
        let listener = node_runtime
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        let (serving, following, front_address) = (node.clone(), node.clone(), listener.address());
        node_runtime.run(async move { serving.serve(listener).await });
        let follow = WatcherOptions {
            endpoints: vec![address],
            ..WatcherOptions::default()
        };
        node_runtime.run(async move { following.watch_endpoints(follow).await });
        nodes.push((node, front_address));
    }
    let (shared_engines, client_log, clock) = (engines.clone(), log.clone(), runtime.clone());
    let result = sim.run(&script, 3_600 * SECOND, async move {
        let known = |count: u64| nodes.iter().all(|n| n.0.metrics().engines.get() == count);
        while !known(2 + WARM) {
            clock.sleep(1_000).await;
        }
        let mut clients = Vec::new();
        for (_, front_address) in &nodes {
            clients.push(
                Client::connect(&clock, &client_log, *front_address)
                    .await
                    .unwrap(),
            );
        }
        // The load matches the capacity of the warm decode engines. Each request has a session of its own.
        for call in 1..=1_000u64 {
            clock.sleep(6_250).await;
            if call == 320 {
                for (i, skew) in COLD {
                    let mut engines = shared_engines.lock().unwrap();
                    engines[i].crash();
                    engines[i].restart(true).unwrap();
                    register(&engines[i], &clock, address, Some(skew));
                }
            }
            let (client, words) = (clients[call as usize % 2].clone(), call as u32);
            let request = GenerateRequest {
                prompt: (0..40).map(|i| (i * 7) ^ (words << 8)).collect(),
                max_output_tokens: 4,
                session: format!("s{call}"),
                class: "quick-ask".into(),
                call_id: call,
                ..GenerateRequest::default()
            };
            let behavior = ClientBehavior {
                client_timeout: 2_500_000,
                ..ClientBehavior::default()
            };
            let client_request = ClientRequest {
                request,
                operation: call,
                idempotency: CallIdempotency::Idempotent,
                node: words as usize % 2,
                behavior,
            };
            clock.run(async move { drop(client.send(&client_request).await) });
        }
        assert!(known(2 + WARM + COLD.len() as u64));
        clock.sleep(5 * SECOND).await;
    });
    assert_eq!(result, Ok(()));
    let audit = check(
        &log.all(),
        &limits(&router_settings, 50_000, &specs),
        log.now(),
    );
    assert_eq!(audit.violations(), Vec::<String>::new());
    let engines = engines.lock().unwrap();
    assert!(COLD.iter().all(|(i, _)| engines[*i].is_running()));
    // The cold engines served requests, and more than an occasional probe.
    for (i, _) in COLD {
        let id = engines[i].spec().id;
        let here = |s: &&LoggedEvent| matches!(s.event, ObservedEvent::AttemptArrived { engine, .. } if engine == id);
        let got = log.all().iter().filter(here).count();
        assert!(got > 10, "engine {id} received {got} calls");
    }
}
