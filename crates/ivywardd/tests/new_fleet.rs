//! Several daemons, a store and a fleet in which every engine has just started, as processes and stand-ins.

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
use ivyward_testbed::registration::keep;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

const SECOND: u64 = 1_000_000;

/// A daemon that follows a store; ends with the test. It has a key and no peers, as where one environment is all nodes'.
fn start(flags: &[String], store: SocketAddr) -> Process {
    let flags: Vec<String> = flags
        .iter()
        .cloned()
        .chain([format!("--etcd-endpoint={store}")])
        .collect();
    Process::start(
        Path::new(env!("CARGO_BIN_EXE_ivywardd")),
        &flags,
        "a key that nobody needs here",
    )
    .unwrap()
}

async fn engines(daemon: &Process, runtime: &RuntimeRef) -> u64 {
    let text = daemon.ask(runtime, "/metrics").await.unwrap();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("ivyward_engines "));
    line.and_then(|n| n.trim().parse().ok()).unwrap_or(0)
}

fn ask(node: usize, call: u64) -> ClientRequest {
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

/// Guards against a fleet that serves nobody until its engines are warm (15 s of refusals), and against taking a burst
/// at an idle fleet for overload (29 of 60 refused).
#[test]
fn processes_serve_a_fleet_all_new_at_once() {
    let smol = SmolRuntime::start(2, 5);
    let runtime: RuntimeRef = smol.clone();
    let log = EventLog::new(&runtime);
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    // They stay cold for longer than the test takes.
    let cold = (0.3, 600 * SECOND);
    let rules = Settings {
        replica_count: 3,
        warm_up_duration: cold.1,
        ..settings().router
    };
    let spec = |id: u64| {
        let role = if id <= 4 { Role::Prefill } else { Role::Decode };
        EngineSpec {
            warm_up: cold,
            overload: (rules.overload_multiple, rules.overload_window),
            ..EngineSpec::small(id, role)
        }
    };
    let specs: Vec<EngineSpec> = (1..=8).map(spec).collect();
    let store = Store::start(&host, 1).unwrap();
    // It comes back cold under its address, unless another socket took that meanwhile; then another one is tried.
    let cold_one = |spec: &EngineSpec| loop {
        let mut engine = Engine::start(&host, &log, spec.clone()).unwrap();
        engine.crash();
        if engine.restart(true).is_ok() {
            keep(
                &engine,
                vec![store.address()],
                60,
                runtime.unix_micros() / 1_000,
                |_| {},
            );
            return engine;
        }
    };
    let fleet: Vec<Engine> = specs.iter().map(cold_one).collect();
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
            while engines(daemon, &runtime).await < 8 {
                runtime.sleep(10_000).await;
            }
            clients.push(Client::connect(&runtime, &log, daemon.door).await.unwrap());
        }
        // Every node's first call.
        for (node, client) in clients.iter().enumerate() {
            let end = client.send(&ask(node, 1 + node as u64)).await;
            assert_eq!(end.outcome, ClientOutcome::Served, "node {node}: {end:?}");
        }
        // A call at a time: as many as come are served, though all engines stay cold.
        for call in 10..40 {
            let node = call as usize % 3;
            let end = clients[node].send(&ask(node, call)).await;
            assert_eq!(end.outcome, ClientOutcome::Served, "call {call}: {end:?}");
        }
    });
    let audit = check(&log.all(), &limits(&rules, 250_000, &specs), log.now());
    assert_eq!(audit.violations(), Vec::<String>::new());
    assert!(fleet.iter().all(Engine::is_running));
    drop(daemons);
    smol.stop();
}

/// 60 calls in one instant at eight idle engines that are warm: none is refused.
#[test]
fn a_burst_at_idle_processes_is_served() {
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
        .for_each(|e| keep(e, vec![store.address()], 60, 0, |_| {}));
    let mut settings = settings();
    for class in &mut settings.classes {
        class.settings.deadline = 20 * SECOND;
    }
    let daemon = start(&ivyward_flags(&settings, &[]), store.address());
    let refused = block_on(async {
        while engines(&daemon, &runtime).await < 8 {
            runtime.sleep(10_000).await;
        }
        let client = Client::connect(&runtime, &log, daemon.door).await.unwrap();
        let (told, ends) = std::sync::mpsc::sync_channel(60);
        for call in 1..=60u64 {
            let (client, told) = (client.clone(), told.clone());
            let ask = ask(0, call);
            runtime.run(async move {
                let end = client.send(&ask).await;
                let _ = told.send(end.outcome);
            });
        }
        (0..60)
            .filter(|_| ends.recv().unwrap() != ClientOutcome::Served)
            .count()
    });
    assert_eq!(refused, 0);
    drop(daemon);
    smol.stop();
}
