//! Connections at rest in the virtual world: within their budget whatever happens, and no call lost or late by more than a
//! dial on one that went bad meanwhile. With `RUSTFLAGS="--cfg mutations"`: the same scenes find each planted defect.

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
/// Checks of connections at rest in a second.
const BUDGET: u32 = 4;
/// The class of requests that may run once.
const UNSAFE_CLASS: usize = 2;
/// How long a call may be late by a connection that went bad while it rested.
const A_DIAL: Micros = 250 * MS;

/// After so long a connection counts as one that rested: a silence and a time-out, in which nobody finds one in use, either.
const REST: Micros = 2_100 * MS;

/// What a scene has found wrong.
type Wrong = Option<String>;

/// One node among engines, with a connection to each.
struct Scene {
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

/// Plays a scene on so many readers and writers, all of which the node has connections to.
fn play<F: Future<Output = Wrong> + Send + 'static>(
    (readers, writers): (u64, u64),
    scene: impl FnOnce(Scene) -> F + Send + 'static,
) -> Wrong {
    let stage = virtual_cluster_of(readers, writers);
    let (node, address, _, node_host) = stage.node_with(node_settings());
    let listed = stage.listed();
    let VirtualCluster {
        sim,
        script,
        runtime,
        log,
        engines,
        engine_hosts,
    } = stage;
    let runtime_of_scene = sim.clone();
    let all = readers + writers;
    let scene = async move {
        node.update_endpoints(ListKind::Full, listed.clone()).await;
        let opened = node.open_connections(usize::MAX).await;
        if opened as u64 != all {
            return Some(format!("{opened} of {all} connections were opened"));
        }
        let engines = Arc::new(Mutex::new(engines));
        let held = engines.clone();
        let parts = Scene {
            node,
            address,
            node_host,
            engine_hosts,
            engines,
            listed,
            runtime,
            log,
            sim: runtime_of_scene,
        };
        let wrong = scene(parts).await;
        drop(held);
        wrong
    };
    sim.run(&script, HOUR, scene)
        .unwrap_or_else(|stuck| Some(format!("{stuck:?}")))
}

impl Scene {
    async fn client(&self) -> Client {
        Client::connect(&self.runtime, &self.log, self.address)
            .await
            .unwrap()
    }
    /// Messages that have gone to engines so far; at rest each is a ping.
    fn sent(&self) -> u64 {
        self.node.metrics().engine_traffic.usage().writes
    }
    fn open(&self) -> u64 {
        self.node.metrics().engine_traffic.usage().open
    }
    /// Pings in each tenth of a second of a rest.
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

fn ask(call: u64, class: usize) -> ClientRequest {
    let mut request = request(call, &prompt(call as u32, 40), call as u32);
    request.class = settings().classes[class].name.clone();
    let effect = if class == UNSAFE_CLASS {
        CallIdempotency::NonIdempotent
    } else {
        CallIdempotency::Idempotent
    };
    let habit = ClientBehavior {
        client_timeout: 2_400 * MS,
        ..ClientBehavior::default()
    };
    ClientRequest {
        request,
        operation: call,
        idempotency: effect,
        node: 0,
        behavior: habit,
    }
}

/// Most of them in ten that follow each other.
fn most_in_a_second(pings: &[u64]) -> u64 {
    pings
        .windows(10)
        .map(|second| second.iter().sum())
        .max()
        .unwrap_or(0)
}

/// Whether each call was served, and its first token no later than so much after what it takes on a good connection.
fn late_or_lost(ends: &[ClientResult], usual: Micros) -> Wrong {
    let most = usual + A_DIAL;
    let bad = ends.iter().find(|end| {
        end.outcome != ClientOutcome::Served || end.first_token_after.is_none_or(|f| f > most)
    });
    bad.map(|end| format!("usual {usual} us: {end:?}"))
}

/// Sends unsafe requests one after the other and returns their ends.
async fn ask_some(client: &Client, calls: std::ops::Range<u64>) -> Vec<ClientResult> {
    let mut ends = Vec::new();
    for call in calls {
        ends.push(client.send(&ask(call, UNSAFE_CLASS)).await);
    }
    ends
}

/// Sends requests all at once and returns their ends.
async fn ask_at_once(
    scene: &Scene,
    client: &Client,
    calls: std::ops::Range<u64>,
    class: usize,
) -> Vec<ClientResult> {
    let (tell, told) = async_channel::unbounded();
    for call in calls {
        let (client, tell) = (client.clone(), tell.clone());
        scene.runtime.run(async move {
            let _ = tell.try_send(client.send(&ask(call, class)).await);
        });
    }
    drop(tell);
    let mut ends = Vec::new();
    while let Ok(end) = told.recv().await {
        ends.push(end);
    }
    ends
}

/// What a first token takes on connections in use.
async fn usual(client: &Client) -> Micros {
    let ends = ask_some(client, 1..6).await;
    ends.iter()
        .filter_map(|end| end.first_token_after)
        .max()
        .unwrap_or(0)
}

/// All come to rest at once, and rest for long: the budget is kept, most of it is used, and all have their turns.
fn rest_within_the_budget() -> Wrong {
    play((30, 30), |scene| async move {
        let pings = scene.pings(200 * SECOND).await;
        let (most, all) = (most_in_a_second(&pings), pings.iter().sum::<u64>());
        let budget = u64::from(BUDGET) * 200;
        if most > u64::from(BUDGET) + 1 || all > budget {
            return Some(format!(
                "{most} pings in a second, {all} in all, {budget} allowed"
            ));
        }
        (all < budget * 4 / 10).then(|| format!("{all} pings in all of {budget}"))
    })
}

/// Connections that calls take up and leave again count no more than they are: the round stays as long as it is.
fn rests_after_much_use() -> Wrong {
    play((2, 2), |scene| async move {
        let client = scene.client().await;
        for call in 1..=200 {
            client.send(&ask(call, 0)).await;
            // Longer than a connection in use takes to be found at rest.
            scene.runtime.sleep(1_100 * MS).await;
        }
        let all: u64 = scene.pings(60 * SECOND).await.iter().sum();
        // A round of four takes two seconds, the least.
        (all < 60).then(|| format!("{all} pings of four connections in a minute"))
    })
}

/// A node that slept finds all checks due.
fn a_node_that_slept() -> Wrong {
    play((30, 30), |scene| async move {
        scene.runtime.sleep(5 * SECOND).await;
        scene.sim.set_paused(scene.node_host, true);
        scene.runtime.sleep(90 * SECOND).await;
        scene.sim.set_paused(scene.node_host, false);
        let pings = scene.pings(100 * SECOND).await;
        let (most, all) = (most_in_a_second(&pings), pings.iter().sum::<u64>());
        if most > u64::from(BUDGET) + 1 || all < u64::from(BUDGET) * 40 {
            return Some(format!(
                "after a sleep {most} pings in a second, {all} in 100 s"
            ));
        }
        let client = scene.client().await;
        let ends = ask_some(&client, 1..20).await;
        ends.iter()
            .find(|end| end.outcome != ClientOutcome::Served)
            .map(|end| format!("after a sleep: {end:?}"))
    })
}

/// A node stands still for longer than a check waits, while the answer comes: no connection is taken for bad by that.
fn a_node_that_pauses_during_a_check() -> Wrong {
    play((2, 2), |scene| async move {
        let client = scene.client().await;
        let opened = || scene.node.metrics().engine_traffic.usage().opened;
        let before = opened();
        for call in 1..=20 {
            scene.runtime.sleep(30 * SECOND).await;
            let (sim, host, clock) = (scene.sim.clone(), scene.node_host, scene.runtime.clone());
            scene.runtime.run(async move {
                // The check has left by then, and its answer has not come.
                clock.sleep(450).await;
                sim.set_paused(host, true);
                clock.sleep(100 * MS).await;
                sim.set_paused(host, false);
            });
            let end = client.send(&ask(call, UNSAFE_CLASS)).await;
            if end.outcome != ClientOutcome::Served {
                return Some(format!("{end:?}"));
            }
        }
        (opened() > before)
            .then(|| format!("{} connections were opened for nothing", opened() - before))
    })
}

/// All are taken up at once after a rest.
fn all_wake_at_once() -> Wrong {
    play((30, 30), |scene| async move {
        scene.runtime.sleep(30 * SECOND).await;
        let client = scene.client().await;
        let ends = ask_at_once(&scene, &client, 1..61, 0).await;
        if let Some(end) = ends.iter().find(|end| end.outcome != ClientOutcome::Served) {
            return Some(format!("{end:?}"));
        }
        let most = most_in_a_second(&scene.pings(60 * SECOND).await[30..]);
        (most > u64::from(BUDGET) + 1).then(|| format!("{most} pings in a second after all woke"))
    })
}

/// An engine's machine is gone without a word while its connection rests, and a new one is there under its address: the next
/// call, which may run once, is served there by another connection.
fn an_engine_is_replaced_while_its_connection_rests() -> Wrong {
    play((1, 1), |scene| async move {
        let client = scene.client().await;
        let usual = usual(&client).await;
        for round in 1..=3 {
            for (i, host) in scene.engine_hosts.iter().enumerate() {
                scene.sim.kill(*host, false);
                scene.engines.lock().unwrap()[i].restart(false).unwrap();
            }
            if round > 1 {
                // Only the first ones' processes are known by their numbers.
                break;
            }
            scene.runtime.sleep(REST).await;
            let ends = ask_some(&client, round * 10..round * 10 + 1).await;
            // Both the read's and the write's connection have gone bad.
            if let Some(wrong) = late_or_lost(&ends, usual + A_DIAL) {
                return Some(wrong);
            }
        }
        None
    })
}

/// A cut begins while connections rest, in one direction or both: calls go elsewhere, none is lost, and when it ends the
/// engine is used again.
fn a_cut_begins_while_connections_rest(to_engine: bool, to_node: bool) -> Wrong {
    play((2, 2), move |scene| async move {
        let client = scene.client().await;
        let usual = usual(&client).await;
        scene.runtime.sleep(4 * SECOND).await;
        let cut = |on| {
            for host in [scene.engine_hosts[0], scene.engine_hosts[2]] {
                if to_engine {
                    scene.sim.set_partitioned(scene.node_host, host, on);
                }
                if to_node {
                    scene.sim.set_partitioned(host, scene.node_host, on);
                }
            }
        };
        cut(true);
        scene.runtime.sleep(REST).await;
        let ends = ask_some(&client, 10..20).await;
        // A reader and a writer may both be behind the cut.
        if let Some(wrong) = late_or_lost(&ends, usual + A_DIAL) {
            return Some(format!(
                "cut to engine {to_engine}, to node {to_node}: {wrong}"
            ));
        }
        cut(false);
        scene.runtime.sleep(10 * SECOND).await;
        let mut ends = ask_some(&client, 20..30).await;
        // Under some load, so that one engine of each kind is not enough.
        ends.retain(|end| end.outcome != ClientOutcome::Served);
        ask_at_once(&scene, &client, 30..60, 0).await;
        let used = |engine: u64, calls: std::ops::Range<u64>| {
            let of = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { engine: e, call, .. } if *e == engine && calls.contains(call));
            scene.log.all().iter().any(|s| of(&s.event))
        };
        // Whatever was used before the cut is used again.
        let unused = [1, 3]
            .into_iter()
            .find(|engine| used(*engine, 0..10) && !used(*engine, 20..60));
        let wrong = ends.first().map(|end| format!("after the cut: {end:?}"));
        wrong.or_else(|| {
            unused.map(|engine| format!("engine {engine} is not used again after the cut"))
        })
    })
}

/// An engine hangs with a call in flight, while all others rest: found as soon as ever.
fn a_hang_with_a_call_in_flight() -> Wrong {
    play((2, 2), |scene| async move {
        let client = scene.client().await;
        scene.runtime.sleep(20 * SECOND).await;
        // Whoever writes hangs as soon as it has the call.
        let (engines, log, clock) = (
            scene.engines.clone(),
            scene.log.clone(),
            scene.runtime.clone(),
        );
        let (hung, when) = async_channel::bounded(1);
        scene.runtime.run(async move {
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
        let mut one = ask(1, 0);
        one.behavior.client_timeout = 20 * SECOND;
        one.request.max_output_tokens = 6;
        let end = client.send(&one).await;
        let (engine, at) = when.recv().await.unwrap();
        let next = scene.log.all().iter().find_map(|s| match s.event {
            ObservedEvent::AttemptArrived {
                engine: e,
                kind: CallKind::Decode,
                ..
            } if e != engine => Some(s.at),
            _ => None,
        });
        // A silence and a time-out, and the way; the module may have given it up before.
        let most = 2 * SECOND + 100 * MS;
        match next {
            Some(next) if next - at <= most && end.outcome == ClientOutcome::Served => None,
            other => Some(format!(
                "hung at {at}, the next write at {other:?}: {end:?}"
            )),
        }
    })
}

/// An engine closes its connections in the very moment in which a call leaves on one that rested.
fn an_engine_closes_as_a_call_leaves() -> Wrong {
    for offset in (0..1_600).step_by(100) {
        let wrong = play((1, 2), move |scene| async move {
            let client = scene.client().await;
            scene.runtime.sleep(10 * SECOND).await;
            let (engines, clock) = (scene.engines.clone(), scene.runtime.clone());
            scene.runtime.run(async move {
                // The request takes 200 us to the node, and as long on to its engine.
                clock.sleep(offset).await;
                engines
                    .lock()
                    .unwrap()
                    .iter()
                    .for_each(Engine::drop_connections);
            });
            let end = client.send(&ask(1, UNSAFE_CLASS)).await;
            let ran = scene
                .log
                .all()
                .iter()
                .filter(|s| matches!(s.event, ObservedEvent::AttemptRan { .. }))
                .count();
            let fine = match end.outcome {
                ClientOutcome::Served => ran == 1,
                ClientOutcome::Rejected => ran == 0,
                // It may have run, which is said.
                ClientOutcome::Failed => ran <= 1,
                _ => false,
            };
            (!fine).then(|| format!("offset {offset}: ran {ran} times, {end:?}"))
        });
        if wrong.is_some() {
            return wrong;
        }
    }
    None
}

/// Engines drain and leave the list while their connections rest: those that left have none any more, nothing goes to those
/// that drain, and the others are looked after as before.
fn the_list_changes_meanwhile() -> Wrong {
    play((10, 10), |scene| async move {
        scene.runtime.sleep(5 * SECOND).await;
        let mut changed = scene.listed.clone();
        let gone = changed.split_off(15);
        for (i, engine) in changed.iter_mut().enumerate().filter(|(i, _)| i % 5 == 0) {
            let engines = scene.engines.lock().unwrap();
            *engine = list_entry(&engines[i], EndpointState::Draining, 0);
        }
        scene
            .node
            .update_endpoints(ListKind::Full, changed.clone())
            .await;
        scene.runtime.sleep(5 * SECOND).await;
        let open = scene.open();
        if open != 20 - gone.len() as u64 {
            return Some(format!(
                "{open} connections are open to {} engines",
                changed.len()
            ));
        }
        let told = scene.log.now();
        let client = scene.client().await;
        let ends = ask_some(&client, 1..30).await;
        let late = scene.log.all().into_iter().find(|s| {
            let to_drained = |engine: u64| engine > 15 || (engine - 1) % 5 == 0;
            matches!(s.event, ObservedEvent::AttemptArrived { engine, .. } if to_drained(engine))
                && s.at > told
        });
        if late.is_some() || ends.iter().any(|end| end.outcome != ClientOutcome::Served) {
            return Some(format!("{late:?}, {ends:?}"));
        }
        let most = most_in_a_second(&scene.pings(20 * SECOND).await[30..]);
        (most > u64::from(BUDGET) + 1).then(|| format!("{most} pings in a second"))
    })
}

/// A quarter of all engines is gone at once while connections rest, and is back under its addresses.
fn a_zone_is_lost_while_connections_rest() -> Wrong {
    play((8, 8), |scene| async move {
        let client = scene.client().await;
        let usual = usual(&client).await;
        scene.runtime.sleep(5 * SECOND).await;
        let lost = [0, 1, 8, 9];
        lost.iter()
            .for_each(|i| scene.sim.kill(scene.engine_hosts[*i], false));
        scene.runtime.sleep(REST).await;
        let ends = ask_some(&client, 10..40).await;
        // A call may meet lost ones twice: where it is read and where it is written.
        if let Some(wrong) = late_or_lost(&ends, usual + 2 * A_DIAL) {
            return Some(wrong);
        }
        for i in lost {
            scene.engines.lock().unwrap()[i].restart(false).unwrap();
        }
        scene.runtime.sleep(20 * SECOND).await;
        let ends = ask_some(&client, 40..80).await;
        late_or_lost(&ends, usual + 2 * A_DIAL)
    })
}

type Named = (&'static str, fn() -> Wrong);

const SCENES: &[Named] = &[
    ("rest_within_the_budget", rest_within_the_budget),
    ("rests_after_much_use", rests_after_much_use),
    ("a_node_that_slept", a_node_that_slept),
    (
        "a_node_that_pauses_during_a_check",
        a_node_that_pauses_during_a_check,
    ),
    ("all_wake_at_once", all_wake_at_once),
    (
        "an_engine_is_replaced",
        an_engine_is_replaced_while_its_connection_rests,
    ),
    ("a_cut_both_ways", || {
        a_cut_begins_while_connections_rest(true, true)
    }),
    ("a_cut_to_engines", || {
        a_cut_begins_while_connections_rest(true, false)
    }),
    ("a_cut_to_the_node", || {
        a_cut_begins_while_connections_rest(false, true)
    }),
    ("a_hang_with_a_call_in_flight", a_hang_with_a_call_in_flight),
    (
        "an_engine_closes_as_a_call_leaves",
        an_engine_closes_as_a_call_leaves,
    ),
    ("the_list_changes_meanwhile", the_list_changes_meanwhile),
    ("a_zone_is_lost", a_zone_is_lost_while_connections_rest),
];

#[cfg(not(mutations))]
#[test]
fn nothing_is_wrong_with_connections_at_rest() {
    let wrong: Vec<String> = SCENES
        .iter()
        .filter_map(|(name, scene)| scene().map(|wrong| format!("{name}: {wrong}")))
        .collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[cfg(mutations)]
#[test]
fn each_planted_defect_of_the_keepalive_is_found() {
    use ivyward::core::mutations::{activate, KEEPALIVE};
    for defect in KEEPALIVE {
        activate(Some(defect));
        let found = SCENES
            .iter()
            .find_map(|(name, scene)| scene().map(|wrong| (name, wrong)));
        activate(None);
        println!("{defect:?}: {found:?}");
        assert!(found.is_some(), "{defect:?} is not found");
    }
}
