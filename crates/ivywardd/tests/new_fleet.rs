//! Tests of several daemon processes, a fake etcd store and a fleet of fake engines that have all just started.

use futures_lite::future::block_on;
use ivyward::core::interface::Settings;
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::{CallIdempotency, ClientOutcome};
use ivyward_fakes::{
    check, Client, ClientBehavior, ClientRequest, Engine, EngineSpec, EventLog, Host, Role,
};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward_testbed::cluster::process::Process;
use ivyward_testbed::local_cluster::{ivyward_flags, limits, settings};
use ivyward_testbed::registration::keep_registered;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

const SECOND: u64 = 1_000_000;

/// Starts a daemon that gets its engines from etcd; the process ends on drop. It has a peer key and no `--peer-listen`, as
/// in a deployment in which all nodes share one environment.
fn start(flags: &[String], store: SocketAddr) -> Process {
    let flags: Vec<String> = flags
        .iter()
        .cloned()
        .chain([format!("--etcd-endpoint={store}")])
        .collect();
    Process::start(
        Path::new(env!("CARGO_BIN_EXE_ivywardd")),
        &flags,
        "a key that is not used here",
    )
    .unwrap()
}

async fn engine_count(daemon: &Process, runtime: &RuntimeRef) -> u64 {
    let text = daemon.admin_get(runtime, "/metrics").await.unwrap();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("ivyward_engines "));
    line.and_then(|n| n.trim().parse().ok()).unwrap_or(0)
}

fn client_request(node: usize, call: u64) -> ClientRequest {
    ClientRequest {
        request: GenerateRequest {
            prompt: (0..300).map(|t| t ^ ((call as u32) << 10)).collect(),
            max_output_tokens: 4,
            session: format!("s{call}"),
            class: "list-review".into(),
            call_id: call,
            ..GenerateRequest::default()
        },
        operation: call,
        idempotency: CallIdempotency::Idempotent,
        node,
        behavior: ClientBehavior {
            client_timeout: 20 * SECOND,
            ..ClientBehavior::default()
        },
    }
}

/// Guards against two failures: a fleet that rejects all requests until its engines are warm (15 s of rejections), and a
/// burst on an idle fleet that is mistaken for overload (29 of 60 requests rejected).
#[test]
fn daemons_serve_while_all_engines_are_cold() {
    let smol = SmolRuntime::start(2, 5);
    let runtime: RuntimeRef = smol.clone();
    let log = EventLog::new(&runtime);
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    // The warm-up lasts longer than the test, so the engines stay cold.
    let warm_up = (0.3, 600 * SECOND);
    let rules = Settings {
        replica_count: 3,
        warm_up_duration: warm_up.1,
        ..settings().router
    };
    let spec = |id: u64| {
        let role = if id <= 4 { Role::Prefill } else { Role::Decode };
        EngineSpec {
            warm_up,
            overload: (rules.overload_multiple, rules.overload_window),
            ..EngineSpec::small(id, role)
        }
    };
    let specs: Vec<EngineSpec> = (1..=8).map(spec).collect();
    let store = Store::start(&host, 1).unwrap();
    // Restarts an engine at its address, so that it is cold. If another socket took the address meanwhile, another engine is
    // started instead.
    let start_cold = |spec: &EngineSpec| loop {
        let mut engine = Engine::start(&host, &log, spec.clone()).unwrap();
        engine.crash();
        if engine.restart(true).is_ok() {
            keep_registered(
                &engine,
                vec![store.address()],
                60,
                runtime.unix_micros() / 1_000,
                |_| {},
            );
            return engine;
        }
    };
    let fleet: Vec<Engine> = specs.iter().map(start_cold).collect();
    let mut settings = ivyward::NodeSettings {
        router: rules.clone(),
        ..settings()
    };
    for class in &mut settings.classes {
        class.settings.deadline = 20 * SECOND;
    }
    let flags = ivyward_flags(&settings, &[]);
    let daemons: Vec<Process> = (0..3).map(|_| start(&flags, store.address())).collect();
    block_on(async {
        let mut clients = Vec::new();
        for daemon in &daemons {
            while engine_count(daemon, &runtime).await < 8 {
                runtime.sleep(10_000).await;
            }
            clients.push(
                Client::connect(&runtime, &log, daemon.client_address)
                    .await
                    .unwrap(),
            );
        }
        // The first call through each node is served.
        for (node, client) in clients.iter().enumerate() {
            let response = client.send(&client_request(node, 1 + node as u64)).await;
            assert_eq!(
                response.outcome,
                ClientOutcome::Served,
                "node {node}: {response:?}"
            );
        }
        // All calls, sent one at a time, are served although all engines stay cold.
        for call in 10..40 {
            let node = call as usize % 3;
            let response = clients[node].send(&client_request(node, call)).await;
            assert_eq!(
                response.outcome,
                ClientOutcome::Served,
                "call {call}: {response:?}"
            );
        }
    });
    let audit = check(&log.all(), &limits(&rules, 250_000, &specs), log.now());
    assert_eq!(audit.violations(), Vec::<String>::new());
    assert!(fleet.iter().all(Engine::is_running));
    drop(daemons);
    smol.stop();
}

/// All of 60 simultaneous calls to eight idle, warm engines are served; none is rejected.
#[test]
fn burst_on_an_idle_fleet_is_served() {
    let smol = SmolRuntime::start(2, 6);
    let runtime: RuntimeRef = smol.clone();
    let log = EventLog::new(&runtime);
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    let spec = |id: u64| EngineSpec::small(id, if id <= 4 { Role::Prefill } else { Role::Decode });
    let store = Store::start(&host, 1).unwrap();
    let fleet: Vec<Engine> = (1..=8)
        .map(|id| Engine::start(&host, &log, spec(id)).unwrap())
        .collect();
    fleet
        .iter()
        .for_each(|e| keep_registered(e, vec![store.address()], 60, 0, |_| {}));
    let mut settings = settings();
    for class in &mut settings.classes {
        class.settings.deadline = 20 * SECOND;
    }
    let daemon = start(&ivyward_flags(&settings, &[]), store.address());
    let not_served = block_on(async {
        while engine_count(&daemon, &runtime).await < 8 {
            runtime.sleep(10_000).await;
        }
        let client = Client::connect(&runtime, &log, daemon.client_address)
            .await
            .unwrap();
        let (outcome_sender, outcomes) = std::sync::mpsc::sync_channel(60);
        for call in 1..=60u64 {
            let (client, outcome_sender) = (client.clone(), outcome_sender.clone());
            let request = client_request(0, call);
            runtime.run(async move {
                let response = client.send(&request).await;
                let _ = outcome_sender.send(response.outcome);
            });
        }
        (0..60)
            .filter(|_| outcomes.recv().unwrap() != ClientOutcome::Served)
            .count()
    });
    assert_eq!(not_served, 0);
    drop(daemon);
    smol.stop();
}
