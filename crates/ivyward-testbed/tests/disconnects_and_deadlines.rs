//! Disconnects and deadlines of gRPC calls, in the deterministic simulation: what happens after a client disconnected, which
//! timeouts are sent to engines, and that answers reach their clients when a node stops.

mod virtual_cluster;
use ivyward::core::interface::ListKind;
use ivyward::{Engine as Listed, Node, NodeSettings};
use ivyward_fakes::event_log::{
    CallIdempotency, CallKind, ClientOutcome, LoggedEvent, ObservedEvent,
};
use ivyward_fakes::{Client, ClientBehavior, ClientRequest, EventLog};
use ivyward_runtime::{Micros, RuntimeExt, RuntimeRef};
use ivyward_sim::HostId;
use ivyward_testbed::local_cluster::settings;
use std::future::Future;
use std::net::SocketAddr;
use virtual_cluster::{prompt, request, virtual_cluster, VirtualCluster, HOUR};

const MS: Micros = 1_000;
/// No attempt arrives at an engine later than this after its client disconnected.
const MAX_DELAY_AFTER_DISCONNECT: Micros = 100 * MS;
/// How much the timeout sent to an engine may exceed the time that the client has left.
const DEADLINE_SLACK: Micros = 150 * MS;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisconnectKind {
    ResetCall,
    CloseConnection,
}

/// A node with its list of engines, and what a test needs to send requests to it.
struct TestNode {
    node: Node,
    address: SocketAddr,
    node_host: HostId,
    listed: Vec<Listed>,
    runtime: RuntimeRef,
    log: EventLog,
}

impl TestNode {
    async fn client(&self) -> Client {
        self.node
            .update_endpoints(ListKind::Full, self.listed.clone())
            .await;
        Client::connect(&self.runtime, &self.log, self.address)
            .await
            .unwrap()
    }
}

/// Starts one node in the cluster. `may_cancel` sets whether the node may cancel attempts.
fn start_node(cluster: &VirtualCluster, may_cancel: bool) -> TestNode {
    let mut settings = NodeSettings {
        seed: 7,
        ..settings()
    };
    settings.router.may_cancel = may_cancel;
    let (node, address, _, node_host) = cluster.node_with(settings);
    let (runtime, log) = (cluster.runtime.clone(), cluster.log.clone());
    TestNode {
        node,
        address,
        node_host,
        listed: cluster.listed(),
        runtime,
        log,
    }
}

fn client_request(call: u64, words: u32, client_timeout: Micros) -> ClientRequest {
    let behavior = ClientBehavior {
        client_timeout,
        ..ClientBehavior::default()
    };
    let request = request(call, &prompt(call as u32, words), call as u32);
    ClientRequest {
        request,
        operation: call,
        idempotency: CallIdempotency::Idempotent,
        node: 0,
        behavior,
    }
}

/// Time from `since` until the last attempt of these kinds arrived at an engine, or 0 if none arrived later.
fn last_arrival(log: &EventLog, kinds: &[CallKind], since: Micros) -> Micros {
    let came = |s: &LoggedEvent| match s.event {
        ObservedEvent::AttemptArrived { kind, .. } if kinds.contains(&kind) => Some(s.at),
        _ => None,
    };
    log.all()
        .iter()
        .filter_map(came)
        .max()
        .unwrap_or(0)
        .saturating_sub(since)
}

/// Sends a request, disconnects the client when `moment` completes, and returns how long after that the last attempt
/// arrived at an engine.
async fn disconnect_and_measure(
    test_node: &TestNode,
    client_request: &ClientRequest,
    how: DisconnectKind,
    moment: impl Future<Output = ()>,
) -> Micros {
    let client = test_node.client().await;
    let closing = client.clone();
    let disconnect = async {
        moment.await;
        if how == DisconnectKind::CloseConnection {
            closing.close();
        }
    };
    let end = client.send_until(client_request, disconnect).await;
    assert_eq!(end.outcome, ClientOutcome::Disconnected, "{end:?}");
    let left = test_node.runtime.now();
    test_node.runtime.sleep(5_000 * MS).await;
    last_arrival(&test_node.log, &[CallKind::Prefill, CallKind::Decode], left)
}

fn disconnect_cases() -> impl Iterator<Item = (DisconnectKind, bool)> {
    let ways = [DisconnectKind::ResetCall, DisconnectKind::CloseConnection];
    ways.into_iter().flat_map(|how| [(how, true), (how, false)])
}

/// The client disconnects while connections to engines are still being opened. No attempt may follow, whether or not the
/// node may cancel attempts.
#[test]
fn no_attempt_arrives_after_a_disconnect_during_a_dial() {
    for (how, may_cancel) in disconnect_cases() {
        let cluster = virtual_cluster();
        let test_node = start_node(&cluster, may_cancel);
        // A dial takes 220 ms; its timeout is 250 ms.
        for engine in &cluster.engine_hosts {
            cluster
                .sim
                .set_extra_latency(test_node.node_host, *engine, 110 * MS);
        }
        let result = cluster.sim.run(&cluster.script, HOUR, async move {
            let clock = test_node.runtime.clone();
            let moment = async move { clock.sleep(50 * MS).await };
            disconnect_and_measure(&test_node, &client_request(1, 50, 4_000 * MS), how, moment)
                .await
        });
        assert!(
            result
                .as_ref()
                .is_ok_and(|delay| *delay <= MAX_DELAY_AFTER_DISCONNECT),
            "{how:?}, may cancel {may_cancel}: {result:?}"
        );
    }
}

/// A prefill attempt continues if the node may not cancel it, but no decode attempt follows it.
#[test]
fn no_decode_follows_the_prefill_of_a_disconnected_client() {
    for (how, may_cancel) in disconnect_cases() {
        let cluster = virtual_cluster();
        let test_node = start_node(&cluster, may_cancel);
        let result = cluster.sim.run(&cluster.script, HOUR, async move {
            let (clock, log) = (test_node.runtime.clone(), test_node.log.clone());
            let moment = async move {
                while last_arrival(&log, &[CallKind::Prefill], 0) == 0 {
                    clock.sleep(MS).await;
                }
            };
            // Prefill takes half a second.
            let delay = disconnect_and_measure(
                &test_node,
                &client_request(1, 2_000, 4_000 * MS),
                how,
                moment,
            )
            .await;
            (
                delay,
                test_node.node.open_requests(),
                test_node.node.pending_releases(),
            )
        });
        assert!(
            matches!(result, Ok((0, 0, 0))),
            "{how:?}, may cancel {may_cancel}: {result:?}"
        );
    }
}

/// Sends a prompt of about 170 kB over links of 100 kB/s, disconnects the client, and returns how long after that the last
/// attempt arrived at an engine.
fn delay_of_slow_upload(how: DisconnectKind, may_cancel: bool, disconnect_after: Micros) -> Micros {
    let cluster = virtual_cluster();
    let test_node = start_node(&cluster, may_cancel);
    let sim = cluster.sim.clone();
    sim.update_network(|net| net.buffer_bytes = 8 << 10);
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        let clock = test_node.runtime.clone();
        let moment = async move {
            // The client sends its request to the node before the links become slow.
            clock.sleep(5 * MS).await;
            sim.update_network(|net| net.bytes_per_second = 100_000);
            clock.sleep(disconnect_after).await;
        };
        disconnect_and_measure(
            &test_node,
            &client_request(1, 60_000, 6_000 * MS),
            how,
            moment,
        )
        .await
    });
    result.unwrap()
}

/// The node takes a while to send a long prompt. It does not send the rest when the client disconnects meanwhile.
#[test]
fn the_rest_of_a_prompt_is_not_sent_after_a_disconnect() {
    for (how, may_cancel) in disconnect_cases() {
        assert_eq!(
            delay_of_slow_upload(how, may_cancel, 300 * MS),
            0,
            "{how:?}, may cancel {may_cancel}"
        );
    }
}

/// Attempts of these kinds that arrived at engines for a call: the time of arrival, and the timeout sent with it.
fn timeouts_sent(log: &EventLog, call: u64, kinds: &[CallKind]) -> Vec<(Micros, Option<Micros>)> {
    let of = |s: &LoggedEvent| match s.event {
        ObservedEvent::AttemptArrived {
            call: c,
            kind,
            timeout,
            ..
        } if c == call && kinds.contains(&kind) => Some((s.at, timeout)),
        _ => None,
    };
    log.all().iter().filter_map(of).collect()
}

/// Prefill, decode and reservation calls, first attempts and retries, send at most the time that the client has left as
/// their timeout: also after slow dials and after attempts that failed.
#[test]
fn timeouts_sent_to_engines_do_not_exceed_the_clients() {
    for lag in [0, 110 * MS] {
        let mut cluster = virtual_cluster();
        let test_node = start_node(&cluster, true);
        for engine in &cluster.engine_hosts {
            cluster
                .sim
                .set_extra_latency(test_node.node_host, *engine, lag);
        }
        // Engines reset some streams at their end, so that retries follow late.
        for engine in &cluster.engines {
            engine.fault(|f| f.reset = 0.2);
        }
        let engines = std::mem::take(&mut cluster.engines);
        let log = cluster.log.clone();
        let result = cluster.sim.run(&cluster.script, HOUR, async move {
            let client = test_node.client().await;
            let client_timeout = 3_000 * MS;
            let (mut prefills, mut decodes, mut retries) = (0, 0, 0);
            for call in 1..=80 {
                // Long enough for engines that failed to be used again.
                test_node.runtime.sleep(3_000 * MS).await;
                let began = test_node.runtime.now();
                client.send(&client_request(call, 50, client_timeout)).await;
                let all = timeouts_sent(
                    &log,
                    call,
                    &[CallKind::Prefill, CallKind::Decode, CallKind::Reserve],
                );
                for (at, timeout) in &all {
                    let timeout =
                        timeout.unwrap_or_else(|| panic!("call {call}: no timeout was sent"));
                    let left = (began + client_timeout).saturating_sub(*at);
                    assert!(
                        timeout <= left + DEADLINE_SLACK,
                        "call {call}: timeout {timeout} was sent, {left} was left"
                    );
                }
                // A decode engine may use all the time that the client has left, less the node's margin.
                for (at, timeout) in timeouts_sent(&log, call, &[CallKind::Decode]) {
                    let left = (began + client_timeout).saturating_sub(at);
                    let least = left.saturating_sub(settings().answer_margin + lag + 5 * MS);
                    assert!(
                        timeout.unwrap() >= least,
                        "call {call}: timeout {timeout:?} was sent, {left} was left"
                    );
                    decodes += 1;
                }
                prefills += timeouts_sent(&log, call, &[CallKind::Prefill]).len();
                let attempts =
                    timeouts_sent(&log, call, &[CallKind::Prefill, CallKind::Decode]).len();
                retries += attempts.saturating_sub(2);
            }
            drop(engines);
            (prefills, decodes, retries)
        });
        let (prefills, decodes, retries) = result.unwrap();
        assert!(
            prefills >= 20 && decodes >= 10 && retries >= 10,
            "{prefills} prefill, {decodes} decode, {retries} retries"
        );
    }
}

/// For a client without a deadline, the prefill attempt has the deadline of the request's class, and the decode attempt has
/// none.
#[test]
fn without_a_clients_deadline_only_prefill_has_one() {
    let cluster = virtual_cluster();
    let test_node = start_node(&cluster, true);
    let log = cluster.log.clone();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        let client = test_node.client().await;
        let mut one = client_request(1, 50, 60_000 * MS);
        one.behavior.omit_deadline = true;
        let end = client.send(&one).await;
        (
            end.outcome,
            timeouts_sent(&log, 1, &[CallKind::Prefill]),
            timeouts_sent(&log, 1, &[CallKind::Decode]),
        )
    });
    let (outcome, prefills, decodes) = result.unwrap();
    assert_eq!(outcome, ClientOutcome::Served);
    let deadline = settings().classes[0].settings.deadline;
    assert!(
        prefills
            .iter()
            .all(|(_, timeout)| timeout.is_some_and(|t| t <= deadline)),
        "{prefills:?}"
    );
    assert!(
        !decodes.is_empty() && decodes.iter().all(|(_, timeout)| timeout.is_none()),
        "{decodes:?}"
    );
}

/// An engine that its node can no longer reach ends the attempt by itself when the client's deadline has passed.
#[test]
fn a_partitioned_engine_ends_attempts_past_their_deadline() {
    let mut cluster = virtual_cluster();
    // Only one decode engine is ready, and it needs five seconds for its answer.
    cluster.engines[4].set_draining(true);
    cluster.engines[3].fault(|f| f.slowdown = 300.0);
    let test_node = start_node(&cluster, true);
    let (log, sim, hosts) = (
        cluster.log.clone(),
        cluster.sim.clone(),
        cluster.engine_hosts.clone(),
    );
    let engines = std::mem::take(&mut cluster.engines);
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        let client = test_node.client().await;
        let began = test_node.runtime.now();
        let (clock, cuts, seen) = (test_node.runtime.clone(), sim.clone(), log.clone());
        let node = test_node.node_host;
        test_node.runtime.run(async move {
            while last_arrival(&seen, &[CallKind::Decode], 0) == 0 {
                clock.sleep(MS).await;
            }
            for host in hosts {
                cuts.set_partitioned(node, host, true);
            }
        });
        let client_timeout = 2_000 * MS;
        client.send(&client_request(1, 50, client_timeout)).await;
        test_node.runtime.sleep(3_000 * MS).await;
        drop(engines);
        let ended = log.all().into_iter().rev().find_map(|s| match s.event {
            ObservedEvent::AttemptEnded { engine: 4, .. } => Some(s.at),
            _ => None,
        });
        ended.map(|at| at.saturating_sub(began + client_timeout))
    });
    assert_eq!(
        result,
        Ok(Some(0)),
        "the attempt continues after the client's deadline"
    );
}

/// A node stops while a slow client reads its answer. The client receives the whole answer, even though the process is
/// killed as soon as the stop completes.
#[test]
fn a_stop_waits_until_answers_have_reached_slow_clients() {
    let cluster = virtual_cluster();
    let test_node = start_node(&cluster, true);
    let sim = cluster.sim.clone();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        let client = test_node.client().await;
        let mut one = client_request(1, 50, 20_000 * MS);
        one.request.max_output_tokens = 400;
        one.behavior.read_pause = 5 * MS;
        let (done, receiver) = async_channel::bounded(1);
        let log = test_node.log.clone();
        test_node.runtime.run(async move {
            let _ = done.send(client.send(&one).await).await;
        });
        while !log
            .all()
            .iter()
            .any(|s| matches!(s.event, ObservedEvent::FirstTokenReceived { .. }))
        {
            test_node.runtime.sleep(MS).await;
        }
        test_node.node.stop(10_000 * MS).await;
        sim.kill(test_node.node_host, true);
        receiver.recv().await.unwrap()
    });
    let end = result.unwrap();
    assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
}
