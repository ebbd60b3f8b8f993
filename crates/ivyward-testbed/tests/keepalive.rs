//! Idle connections in the deterministic simulation: their checks stay within the budget whatever happens, and a connection
//! that broke while idle loses no call and delays it by no more than a dial. With `RUSTFLAGS="--cfg mutations"`, the same
//! scenarios find each injected defect.

mod virtual_cluster;
use ivyward::core::interface::{EndpointState, ListKind};
use ivyward::{Engine as Listed, Node, NodeSettings};
use ivyward_fakes::event_log::{CallIdempotency, CallKind, ClientOutcome, ObservedEvent};
use ivyward_fakes::{Client, ClientBehavior, ClientRequest, ClientResult, Engine, EventLog};
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};
use ivyward_sim::{HostId, Sim};
use ivyward_testbed::local_cluster::{list_entry, settings};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use virtual_cluster::{prompt, request, virtual_cluster_of, VirtualCluster, HOUR};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
/// Checks of idle connections per second.
const BUDGET: u32 = 4;
/// The class of requests that are unsafe to repeat.
const UNSAFE_CLASS: usize = 2;
/// How much a connection that broke while idle may delay a call.
const DIAL_TIMEOUT: Micros = 250 * MS;

/// After this time without a request a connection counts as idle. It is a ping interval plus a ping timeout, within which a
/// broken connection would not be detected even if it were in use.
const IDLE_TIME: Micros = 2_100 * MS;

/// Describes what failed in a scenario.
type Failure = Option<String>;

/// One node among engines, with a connection to each.
struct Setup {
    node: Node,
    address: SocketAddr,
    node_host: HostId,
    engine_hosts: Vec<HostId>,
    engines: Arc<Mutex<Vec<Engine>>>,
    listed: Vec<Listed>,
    runtime: RuntimeRef,
    log: EventLog,
    sim: Sim,
}

fn node_settings() -> NodeSettings {
    NodeSettings {
        seed: 7,
        ping_interval: SECOND,
        ping_timeout: SECOND,
        idle_checks_per_second: BUDGET,
        ..settings()
    }
}

/// Runs a scenario with these numbers of prefill and decode engines, after the node has connected to all of them.
fn run_scenario<F: Future<Output = Failure> + Send + 'static>(
    (readers, writers): (u64, u64),
    scenario: impl FnOnce(Setup) -> F + Send + 'static,
) -> Failure {
    let cluster = virtual_cluster_of(readers, writers);
    let (node, address, _, node_host) = cluster.node_with(node_settings());
    let listed = cluster.listed();
    let VirtualCluster {
        sim,
        script,
        runtime,
        log,
        engines,
        engine_hosts,
    } = cluster;
    let sim_for_setup = sim.clone();
    let all = readers + writers;
    let body = async move {
        node.update_endpoints(ListKind::Full, listed.clone()).await;
        let opened = node.open_connections(usize::MAX).await;
        if opened as u64 != all {
            return Some(format!("{opened} of {all} connections were opened"));
        }
        let engines = Arc::new(Mutex::new(engines));
        let kept_alive = engines.clone();
        let setup = Setup {
            node,
            address,
            node_host,
            engine_hosts,
            engines,
            listed,
            runtime,
            log,
            sim: sim_for_setup,
        };
        let failure = scenario(setup).await;
        drop(kept_alive);
        failure
    };
    sim.run(&script, HOUR, body)
        .unwrap_or_else(|error| Some(format!("{error:?}")))
}

impl Setup {
    async fn client(&self) -> Client {
        Client::connect(&self.runtime, &self.log, self.address)
            .await
            .unwrap()
    }
    /// Number of messages sent to engines so far. While connections are idle, each message is a ping.
    fn sent(&self) -> u64 {
        self.node.metrics().engine_traffic.usage().writes
    }
    fn open(&self) -> u64 {
        self.node.metrics().engine_traffic.usage().open
    }
    /// Number of pings in each tenth of a second while connections are idle.
    async fn pings(&self, span: Micros) -> Vec<u64> {
        let (mut before, mut pings) = (self.sent(), Vec::new());
        for _ in 0..span / (100 * MS) {
            self.runtime.sleep(100 * MS).await;
            let now = self.sent();
            pings.push(now - before);
            before = now;
        }
        pings
    }
}

fn client_request(call: u64, class: usize) -> ClientRequest {
    let mut request = request(call, &prompt(call as u32, 40), call as u32);
    request.class = settings().classes[class].name.clone();
    let effect = if class == UNSAFE_CLASS {
        CallIdempotency::NonIdempotent
    } else {
        CallIdempotency::Idempotent
    };
    let behavior = ClientBehavior {
        client_timeout: 2_400 * MS,
        ..ClientBehavior::default()
    };
    ClientRequest {
        request,
        operation: call,
        idempotency: effect,
        node: 0,
        behavior,
    }
}

/// The highest number of pings in ten consecutive tenths of a second.
fn max_pings_in_a_second(pings: &[u64]) -> u64 {
    pings
        .windows(10)
        .map(|second| second.iter().sum())
        .max()
        .unwrap_or(0)
}

/// Returns the first call that was not served, or whose first token took more than `usual` plus the time of a dial.
fn first_late_or_failed(ends: &[ClientResult], usual: Micros) -> Failure {
    let most = usual + DIAL_TIMEOUT;
    let bad = ends.iter().find(|end| {
        end.outcome != ClientOutcome::Served || end.first_token_after.is_none_or(|f| f > most)
    });
    bad.map(|end| format!("usual {usual} us: {end:?}"))
}

/// Sends requests that are unsafe to repeat one after the other and returns their results.
async fn send_in_sequence(client: &Client, calls: std::ops::Range<u64>) -> Vec<ClientResult> {
    let mut ends = Vec::new();
    for call in calls {
        ends.push(client.send(&client_request(call, UNSAFE_CLASS)).await);
    }
    ends
}

/// Sends all requests concurrently and returns their results.
async fn send_concurrently(
    setup: &Setup,
    client: &Client,
    calls: std::ops::Range<u64>,
    class: usize,
) -> Vec<ClientResult> {
    let (sender, receiver) = async_channel::unbounded();
    for call in calls {
        let (client, sender) = (client.clone(), sender.clone());
        setup.runtime.run(async move {
            let _ = sender.try_send(client.send(&client_request(call, class)).await);
        });
    }
    drop(sender);
    let mut ends = Vec::new();
    while let Ok(end) = receiver.recv().await {
        ends.push(end);
    }
    ends
}

/// The longest time to the first token on connections in use.
async fn usual(client: &Client) -> Micros {
    let ends = send_in_sequence(client, 1..6).await;
    ends.iter()
        .filter_map(|end| end.first_token_after)
        .max()
        .unwrap_or(0)
}

/// All connections become idle at the same time and stay idle for long: the checks stay within the budget, use at least
/// four tenths of it, and reach every connection.
fn idle_connections_stay_within_the_budget() -> Failure {
    run_scenario((30, 30), |setup| async move {
        let pings = setup.pings(200 * SECOND).await;
        let (most, all) = (max_pings_in_a_second(&pings), pings.iter().sum::<u64>());
        let budget = u64::from(BUDGET) * 200;
        if most > u64::from(BUDGET) + 1 || all > budget {
            return Some(format!(
                "{most} pings in a second, {all} in all, {budget} allowed"
            ));
        }
        (all < budget * 4 / 10).then(|| format!("{all} pings in all of {budget}"))
    })
}

/// Guards against counting a connection again each time it becomes idle, which would make the round of checks longer than
/// the number of connections requires.
fn idle_connections_after_much_use() -> Failure {
    run_scenario((2, 2), |setup| async move {
        let client = setup.client().await;
        for call in 1..=200 {
            client.send(&client_request(call, 0)).await;
            // Longer than it takes until an unused connection counts as idle.
            setup.runtime.sleep(1_100 * MS).await;
        }
        let all: u64 = setup.pings(60 * SECOND).await.iter().sum();
        // A round of four connections takes two seconds, the minimum.
        (all < 60).then(|| format!("{all} pings of four connections in a minute"))
    })
}

/// After a long pause of the node, the checks of all connections are due at once.
fn a_node_that_was_paused() -> Failure {
    run_scenario((30, 30), |setup| async move {
        setup.runtime.sleep(5 * SECOND).await;
        setup.sim.set_paused(setup.node_host, true);
        setup.runtime.sleep(90 * SECOND).await;
        setup.sim.set_paused(setup.node_host, false);
        let pings = setup.pings(100 * SECOND).await;
        let (most, all) = (max_pings_in_a_second(&pings), pings.iter().sum::<u64>());
        if most > u64::from(BUDGET) + 1 || all < u64::from(BUDGET) * 40 {
            return Some(format!(
                "after a pause {most} pings in a second, {all} in 100 s"
            ));
        }
        let client = setup.client().await;
        let ends = send_in_sequence(&client, 1..20).await;
        ends.iter()
            .find(|end| end.outcome != ClientOutcome::Served)
            .map(|end| format!("after a pause: {end:?}"))
    })
}

/// A node is paused for longer than the timeout of a check, while the answer arrives: no connection is taken for broken
/// because of that.
fn a_node_that_pauses_during_a_check() -> Failure {
    run_scenario((2, 2), |setup| async move {
        let client = setup.client().await;
        let opened = || setup.node.metrics().engine_traffic.usage().opened;
        let before = opened();
        for call in 1..=20 {
            setup.runtime.sleep(30 * SECOND).await;
            let (sim, host, clock) = (setup.sim.clone(), setup.node_host, setup.runtime.clone());
            setup.runtime.run(async move {
                // By then the check has been sent, and its answer has not arrived.
                clock.sleep(450).await;
                sim.set_paused(host, true);
                clock.sleep(100 * MS).await;
                sim.set_paused(host, false);
            });
            let end = client.send(&client_request(call, UNSAFE_CLASS)).await;
            if end.outcome != ClientOutcome::Served {
                return Some(format!("{end:?}"));
            }
        }
        (opened() > before)
            .then(|| format!("{} connections were opened without need", opened() - before))
    })
}

/// All idle connections are used at the same time.
fn all_connections_are_used_at_once() -> Failure {
    run_scenario((30, 30), |setup| async move {
        setup.runtime.sleep(30 * SECOND).await;
        let client = setup.client().await;
        let ends = send_concurrently(&setup, &client, 1..61, 0).await;
        if let Some(end) = ends.iter().find(|end| end.outcome != ClientOutcome::Served) {
            return Some(format!("{end:?}"));
        }
        let most = max_pings_in_a_second(&setup.pings(60 * SECOND).await[30..]);
        (most > u64::from(BUDGET) + 1)
            .then(|| format!("{most} pings in a second after all connections were used"))
    })
}

/// An engine's machine fails without closing its idle connection, and a new machine takes over its address: the next call,
/// which is unsafe to repeat, is served there over a new connection.
fn an_engine_is_replaced_while_its_connection_is_idle() -> Failure {
    run_scenario((1, 1), |setup| async move {
        let client = setup.client().await;
        let usual = usual(&client).await;
        for round in 1..=3 {
            for (i, host) in setup.engine_hosts.iter().enumerate() {
                setup.sim.kill(*host, false);
                setup.engines.lock().unwrap()[i].restart(false).unwrap();
            }
            if round > 1 {
                // `engine_hosts` contains only the host ids of the first processes, so restarted ones cannot be killed.
                break;
            }
            setup.runtime.sleep(IDLE_TIME).await;
            let ends = send_in_sequence(&client, round * 10..round * 10 + 1).await;
            // The connections for prefill and for decode are both broken.
            if let Some(failure) = first_late_or_failed(&ends, usual + DIAL_TIMEOUT) {
                return Some(failure);
            }
        }
        None
    })
}

/// A network partition begins while connections are idle, in one direction or both: calls go to other engines, none is lost,
/// and the engines are used again when the partition ends.
fn a_partition_begins_while_connections_are_idle(to_engine: bool, to_node: bool) -> Failure {
    run_scenario((2, 2), move |setup| async move {
        let client = setup.client().await;
        let usual = usual(&client).await;
        setup.runtime.sleep(4 * SECOND).await;
        let cut = |on| {
            for host in [setup.engine_hosts[0], setup.engine_hosts[2]] {
                if to_engine {
                    setup.sim.set_partitioned(setup.node_host, host, on);
                }
                if to_node {
                    setup.sim.set_partitioned(host, setup.node_host, on);
                }
            }
        };
        cut(true);
        setup.runtime.sleep(IDLE_TIME).await;
        let ends = send_in_sequence(&client, 10..20).await;
        // Both the prefill and the decode engine of a call may be partitioned.
        if let Some(failure) = first_late_or_failed(&ends, usual + DIAL_TIMEOUT) {
            return Some(format!(
                "partition to engine {to_engine}, to node {to_node}: {failure}"
            ));
        }
        cut(false);
        setup.runtime.sleep(10 * SECOND).await;
        let mut ends = send_in_sequence(&client, 20..30).await;
        // Under some load, so that one engine of each kind is not enough.
        ends.retain(|end| end.outcome != ClientOutcome::Served);
        send_concurrently(&setup, &client, 30..60, 0).await;
        let used = |engine: u64, calls: std::ops::Range<u64>| {
            let of = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { engine: e, call, .. } if *e == engine && calls.contains(call));
            setup.log.all().iter().any(|s| of(&s.event))
        };
        // Engines that were used before the partition are used again.
        let unused = [1, 3]
            .into_iter()
            .find(|engine| used(*engine, 0..10) && !used(*engine, 20..60));
        let failure = ends
            .first()
            .map(|end| format!("after the partition: {end:?}"));
        failure.or_else(|| {
            unused.map(|engine| format!("engine {engine} is not used again after the partition"))
        })
    })
}

/// An engine hangs during an attempt while all other connections are idle: it is detected as soon as under load.
fn a_hang_with_a_call_in_flight() -> Failure {
    run_scenario((2, 2), |setup| async move {
        let client = setup.client().await;
        setup.runtime.sleep(20 * SECOND).await;
        // The decode engine hangs as soon as the attempt arrives.
        let (engines, log, clock) = (
            setup.engines.clone(),
            setup.log.clone(),
            setup.runtime.clone(),
        );
        let (hung, when) = async_channel::bounded(1);
        setup.runtime.run(async move {
            loop {
                let at = log.all().iter().find_map(|s| match s.event {
                    ObservedEvent::AttemptArrived {
                        engine,
                        kind: CallKind::Decode,
                        ..
                    } => Some((engine, s.at)),
                    _ => None,
                });
                if let Some((engine, at)) = at {
                    engines.lock().unwrap()[engine as usize - 1].fault(|f| f.hang = true);
                    let _ = hung.send((engine, at)).await;
                    return;
                }
                clock.sleep(MS).await;
            }
        });
        let mut one = client_request(1, 0);
        one.behavior.client_timeout = 20 * SECOND;
        one.request.max_output_tokens = 6;
        let end = client.send(&one).await;
        let (engine, at) = when.recv().await.unwrap();
        let next = setup.log.all().iter().find_map(|s| match s.event {
            ObservedEvent::AttemptArrived {
                engine: e,
                kind: CallKind::Decode,
                ..
            } if e != engine => Some(s.at),
            _ => None,
        });
        // A ping interval, a ping timeout and the network latency. The router may have retried the attempt earlier.
        let most = 2 * SECOND + 100 * MS;
        match next {
            Some(next) if next - at <= most && end.outcome == ClientOutcome::Served => None,
            other => Some(format!(
                "hung at {at}, the next decode attempt at {other:?}: {end:?}"
            )),
        }
    })
}

/// An engine closes its connections at the moment when an attempt is sent on an idle one.
fn an_engine_closes_as_an_attempt_is_sent() -> Failure {
    for offset in (0..1_600).step_by(100) {
        let failure = run_scenario((1, 2), move |setup| async move {
            let client = setup.client().await;
            setup.runtime.sleep(10 * SECOND).await;
            let (engines, clock) = (setup.engines.clone(), setup.runtime.clone());
            setup.runtime.run(async move {
                // The request takes 200 us to the node, and another 200 us from there to its engine.
                clock.sleep(offset).await;
                engines
                    .lock()
                    .unwrap()
                    .iter()
                    .for_each(Engine::drop_connections);
            });
            let end = client.send(&client_request(1, UNSAFE_CLASS)).await;
            let ran = setup
                .log
                .all()
                .iter()
                .filter(|s| matches!(s.event, ObservedEvent::AttemptRan { .. }))
                .count();
            let fine = match end.outcome {
                ClientOutcome::Served => ran == 1,
                ClientOutcome::Rejected => ran == 0,
                // The failure reports that the attempt may have run.
                ClientOutcome::Failed => ran <= 1,
                _ => false,
            };
            (!fine).then(|| format!("offset {offset}: ran {ran} times, {end:?}"))
        });
        if failure.is_some() {
            return failure;
        }
    }
    None
}

/// Engines drain and are removed while their connections are idle: connections to removed engines are closed, no attempt is
/// sent to draining ones, and the other connections are checked as before.
fn the_list_changes_while_connections_are_idle() -> Failure {
    run_scenario((10, 10), |setup| async move {
        setup.runtime.sleep(5 * SECOND).await;
        let mut changed = setup.listed.clone();
        let gone = changed.split_off(15);
        for (i, engine) in changed.iter_mut().enumerate().filter(|(i, _)| i % 5 == 0) {
            let engines = setup.engines.lock().unwrap();
            *engine = list_entry(&engines[i], EndpointState::Draining, 0);
        }
        setup
            .node
            .update_endpoints(ListKind::Full, changed.clone())
            .await;
        setup.runtime.sleep(5 * SECOND).await;
        let open = setup.open();
        if open != 20 - gone.len() as u64 {
            return Some(format!(
                "{open} connections are open to {} engines",
                changed.len()
            ));
        }
        let receiver = setup.log.now();
        let client = setup.client().await;
        let ends = send_in_sequence(&client, 1..30).await;
        let late = setup.log.all().into_iter().find(|s| {
            let to_drained = |engine: u64| engine > 15 || (engine - 1) % 5 == 0;
            matches!(s.event, ObservedEvent::AttemptArrived { engine, .. } if to_drained(engine))
                && s.at > receiver
        });
        if late.is_some() || ends.iter().any(|end| end.outcome != ClientOutcome::Served) {
            return Some(format!("{late:?}, {ends:?}"));
        }
        let most = max_pings_in_a_second(&setup.pings(20 * SECOND).await[30..]);
        (most > u64::from(BUDGET) + 1).then(|| format!("{most} pings in a second"))
    })
}

/// A quarter of all engines fails at once while connections are idle, and restarts under the same addresses.
fn a_zone_is_lost_while_connections_are_idle() -> Failure {
    run_scenario((8, 8), |setup| async move {
        let client = setup.client().await;
        let usual = usual(&client).await;
        setup.runtime.sleep(5 * SECOND).await;
        let lost = [0, 1, 8, 9];
        lost.iter()
            .for_each(|i| setup.sim.kill(setup.engine_hosts[*i], false));
        setup.runtime.sleep(IDLE_TIME).await;
        let ends = send_in_sequence(&client, 10..40).await;
        // A call may meet failed engines twice: for prefill and for decode.
        if let Some(failure) = first_late_or_failed(&ends, usual + 2 * DIAL_TIMEOUT) {
            return Some(failure);
        }
        for i in lost {
            setup.engines.lock().unwrap()[i].restart(false).unwrap();
        }
        setup.runtime.sleep(20 * SECOND).await;
        let ends = send_in_sequence(&client, 40..80).await;
        first_late_or_failed(&ends, usual + 2 * DIAL_TIMEOUT)
    })
}

type NamedScenario = (&'static str, fn() -> Failure);

const SCENARIOS: &[NamedScenario] = &[
    (
        "idle_connections_stay_within_the_budget",
        idle_connections_stay_within_the_budget,
    ),
    (
        "idle_connections_after_much_use",
        idle_connections_after_much_use,
    ),
    ("a_node_that_was_paused", a_node_that_was_paused),
    (
        "a_node_that_pauses_during_a_check",
        a_node_that_pauses_during_a_check,
    ),
    (
        "all_connections_are_used_at_once",
        all_connections_are_used_at_once,
    ),
    (
        "an_engine_is_replaced",
        an_engine_is_replaced_while_its_connection_is_idle,
    ),
    ("a_partition_both_ways", || {
        a_partition_begins_while_connections_are_idle(true, true)
    }),
    ("a_partition_to_engines", || {
        a_partition_begins_while_connections_are_idle(true, false)
    }),
    ("a_partition_to_the_node", || {
        a_partition_begins_while_connections_are_idle(false, true)
    }),
    ("a_hang_with_a_call_in_flight", a_hang_with_a_call_in_flight),
    (
        "an_engine_closes_as_an_attempt_is_sent",
        an_engine_closes_as_an_attempt_is_sent,
    ),
    (
        "the_list_changes_while_connections_are_idle",
        the_list_changes_while_connections_are_idle,
    ),
    ("a_zone_is_lost", a_zone_is_lost_while_connections_are_idle),
];

#[cfg(not(mutations))]
#[test]
fn no_scenario_of_idle_connections_fails() {
    let failure: Vec<String> = SCENARIOS
        .iter()
        .filter_map(|(name, scenario)| scenario().map(|failure| format!("{name}: {failure}")))
        .collect();
    assert!(failure.is_empty(), "{failure:#?}");
}

#[cfg(mutations)]
#[test]
fn each_injected_defect_of_the_keepalive_is_found() {
    use ivyward::core::mutations::{activate, KEEPALIVE};
    for defect in KEEPALIVE {
        activate(Some(defect));
        let found = SCENARIOS
            .iter()
            .find_map(|(name, scenario)| scenario().map(|failure| (name, failure)));
        activate(None);
        println!("{defect:?}: {found:?}");
        assert!(found.is_some(), "{defect:?} is not found");
    }
}
