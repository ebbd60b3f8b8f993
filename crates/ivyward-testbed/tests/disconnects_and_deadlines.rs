//! Terms of service on the gRPC side, in the virtual world: what happens after a client left, which deadlines engines are
//! told, and that answers reach their clients when a node stops.

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
/// Nothing begins for a client later than this after it left.
const LEFT_WITHIN: Micros = 100 * MS;
/// How far the time told to an engine may lie past the client's end.
const DEADLINE_SLACK: Micros = 150 * MS;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    ResetsItsCall,
    ClosesItsConnection,
}

/// What a scene is played with.
struct Cast {
    node: Node,
    address: SocketAddr,
    node_host: HostId,
    listed: Vec<Listed>,
    runtime: RuntimeRef,
    log: EventLog,
}

impl Cast {
    async fn client(&self) -> Client {
        self.node
            .update_endpoints(ListKind::Full, self.listed.clone())
            .await;
        Client::connect(&self.runtime, &self.log, self.address)
            .await
            .unwrap()
    }
}

/// A stage with one node, which may or may not call attempts off.
fn cast(stage: &VirtualCluster, may_cancel: bool) -> Cast {
    let mut settings = NodeSettings {
        seed: 7,
        ..settings()
    };
    settings.router.may_cancel = may_cancel;
    let (node, address, _, node_host) = stage.node_with(settings);
    let (runtime, log) = (stage.runtime.clone(), stage.log.clone());
    Cast {
        node,
        address,
        node_host,
        listed: stage.listed(),
        runtime,
        log,
    }
}

fn ask(call: u64, words: u32, client_timeout: Micros) -> ClientRequest {
    let habit = ClientBehavior {
        client_timeout,
        ..ClientBehavior::default()
    };
    let request = request(call, &prompt(call as u32, words), call as u32);
    ClientRequest {
        request,
        operation: call,
        idempotency: CallIdempotency::Idempotent,
        node: 0,
        behavior: habit,
    }
}

/// When the last call of these kinds came to an engine, after a moment.
fn latest(log: &EventLog, kinds: &[CallKind], since: Micros) -> Micros {
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

/// Sends a request, leaves when `moment` is over, and returns how long after that the last attempt came to an engine.
async fn leaves(
    cast: &Cast,
    ask: &ClientRequest,
    how: Leaves,
    moment: impl Future<Output = ()>,
) -> Micros {
    let client = cast.client().await;
    let closing = client.clone();
    let leaving = async {
        moment.await;
        if how == Leaves::ClosesItsConnection {
            closing.close();
        }
    };
    let end = client.send_until(ask, leaving).await;
    assert_eq!(end.outcome, ClientOutcome::Disconnected, "{end:?}");
    let left = cast.runtime.now();
    cast.runtime.sleep(5_000 * MS).await;
    latest(&cast.log, &[CallKind::Prefill, CallKind::Decode], left)
}

fn ways() -> impl Iterator<Item = (Leaves, bool)> {
    let ways = [Leaves::ResetsItsCall, Leaves::ClosesItsConnection];
    ways.into_iter().flat_map(|how| [(how, true), (how, false)])
}

/// Connections to engines come up late, and the client leaves meanwhile: whether attempts may be called off or not.
#[test]
fn nothing_begins_for_a_client_that_left_during_a_dial() {
    for (how, may_cancel) in ways() {
        let stage = virtual_cluster();
        let cast = cast(&stage, may_cancel);
        // A dial takes 220 ms, of 250 that it may take.
        for engine in &stage.engine_hosts {
            stage
                .sim
                .set_extra_latency(cast.node_host, *engine, 110 * MS);
        }
        let played = stage.sim.run(&stage.script, HOUR, async move {
            let clock = cast.runtime.clone();
            let moment = async move { clock.sleep(50 * MS).await };
            leaves(&cast, &ask(1, 50, 4_000 * MS), how, moment).await
        });
        assert!(
            played.as_ref().is_ok_and(|late| *late <= LEFT_WITHIN),
            "{how:?}, may cancel {may_cancel}: {played:?}"
        );
    }
}

/// The read goes on where it may not be called off, and no write follows it.
#[test]
fn no_write_follows_the_read_of_a_client_that_left() {
    for (how, may_cancel) in ways() {
        let stage = virtual_cluster();
        let cast = cast(&stage, may_cancel);
        let played = stage.sim.run(&stage.script, HOUR, async move {
            let (clock, log) = (cast.runtime.clone(), cast.log.clone());
            let moment = async move {
                while latest(&log, &[CallKind::Prefill], 0) == 0 {
                    clock.sleep(MS).await;
                }
            };
            // The read takes half a second.
            let late = leaves(&cast, &ask(1, 2_000, 4_000 * MS), how, moment).await;
            (
                late,
                cast.node.open_requests(),
                cast.node.pending_releases(),
            )
        });
        assert!(
            matches!(played, Ok((0, 0, 0))),
            "{how:?}, may cancel {may_cancel}: {played:?}"
        );
    }
}

/// How long after its client's end, if it left, the last attempt came that sends a prompt of some 170 kB at 100 kB a second.
fn slow_upload(how: Leaves, may_cancel: bool, leave_after: Micros) -> Micros {
    let stage = virtual_cluster();
    let cast = cast(&stage, may_cancel);
    let sim = stage.sim.clone();
    sim.update_network(|net| net.buffer_bytes = 8 << 10);
    let played = stage.sim.run(&stage.script, HOUR, async move {
        let clock = cast.runtime.clone();
        let moment = async move {
            // The client's own part of the way is quick.
            clock.sleep(5 * MS).await;
            sim.update_network(|net| net.bytes_per_second = 100_000);
            clock.sleep(leave_after).await;
        };
        leaves(&cast, &ask(1, 60_000, 6_000 * MS), how, moment).await
    });
    played.unwrap()
}

/// A long prompt leaves slowly: its last bytes stay here when the client leaves meanwhile.
#[test]
fn a_prompt_that_is_still_leaving_stays_here_when_its_client_leaves() {
    for (how, may_cancel) in ways() {
        assert_eq!(
            slow_upload(how, may_cancel, 300 * MS),
            0,
            "{how:?}, may cancel {may_cancel}"
        );
    }
}

/// What calls told their engines, as far as their kind is among these: when they came, and the time they stated.
fn told(log: &EventLog, call: u64, kinds: &[CallKind]) -> Vec<(Micros, Option<Micros>)> {
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

/// Reads, writes and holds, first and further ones, tell engines what the client has left and no more: after late dials and
/// after attempts that failed.
#[test]
fn engines_are_told_what_the_client_has_left() {
    for lag in [0, 110 * MS] {
        let mut stage = virtual_cluster();
        let cast = cast(&stage, true);
        for engine in &stage.engine_hosts {
            stage.sim.set_extra_latency(cast.node_host, *engine, lag);
        }
        // Some of what engines do is reset at its end: further attempts follow late.
        for engine in &stage.engines {
            engine.fault(|f| f.reset = 0.2);
        }
        let engines = std::mem::take(&mut stage.engines);
        let log = stage.log.clone();
        let played = stage.sim.run(&stage.script, HOUR, async move {
            let client = cast.client().await;
            let client_timeout = 3_000 * MS;
            let (mut reads, mut writes, mut further) = (0, 0, 0);
            for call in 1..=80 {
                // Long enough for engines that failed to be tried again.
                cast.runtime.sleep(3_000 * MS).await;
                let began = cast.runtime.now();
                client.send(&ask(call, 50, client_timeout)).await;
                let all = told(
                    &log,
                    call,
                    &[CallKind::Prefill, CallKind::Decode, CallKind::Reserve],
                );
                for (at, timeout) in &all {
                    let timeout =
                        timeout.unwrap_or_else(|| panic!("call {call}: no deadline was told"));
                    let left = (began + client_timeout).saturating_sub(*at);
                    assert!(
                        timeout <= left + DEADLINE_SLACK,
                        "call {call}: {timeout} told, {left} left"
                    );
                }
                // A writer may take as long as the client waits, less the node's margin.
                for (at, timeout) in told(&log, call, &[CallKind::Decode]) {
                    let left = (began + client_timeout).saturating_sub(at);
                    let least = left.saturating_sub(settings().answer_margin + lag + 5 * MS);
                    assert!(
                        timeout.unwrap() >= least,
                        "call {call}: {timeout:?} told, {left} left"
                    );
                    writes += 1;
                }
                reads += told(&log, call, &[CallKind::Prefill]).len();
                let attempts = told(&log, call, &[CallKind::Prefill, CallKind::Decode]).len();
                further += attempts.saturating_sub(2);
            }
            drop(engines);
            (reads, writes, further)
        });
        let (reads, writes, further) = played.unwrap();
        assert!(
            reads >= 20 && writes >= 10 && further >= 10,
            "{reads} reads, {writes} writes, {further} further"
        );
    }
}

/// A client without a deadline has none for its stream: its writer is told none, its reader its class's.
#[test]
fn without_a_clients_deadline_only_reads_have_one() {
    let stage = virtual_cluster();
    let cast = cast(&stage, true);
    let log = stage.log.clone();
    let played = stage.sim.run(&stage.script, HOUR, async move {
        let client = cast.client().await;
        let mut one = ask(1, 50, 60_000 * MS);
        one.behavior.omit_deadline = true;
        let end = client.send(&one).await;
        (
            end.outcome,
            told(&log, 1, &[CallKind::Prefill]),
            told(&log, 1, &[CallKind::Decode]),
        )
    });
    let (how, reads, writes) = played.unwrap();
    assert_eq!(how, ClientOutcome::Served);
    let deadline = settings().classes[0].settings.deadline;
    assert!(
        reads
            .iter()
            .all(|(_, timeout)| timeout.is_some_and(|t| t <= deadline)),
        "{reads:?}"
    );
    assert!(
        !writes.is_empty() && writes.iter().all(|(_, timeout)| timeout.is_none()),
        "{writes:?}"
    );
}

/// An engine that its node cannot reach any more ends the work by itself when the client's time is over.
#[test]
fn an_engine_behind_a_cut_drops_what_is_over() {
    let mut stage = virtual_cluster();
    // One writer alone, and it takes five seconds over its answer.
    stage.engines[4].set_draining(true);
    stage.engines[3].fault(|f| f.slowdown = 300.0);
    let cast = cast(&stage, true);
    let (log, sim, hosts) = (
        stage.log.clone(),
        stage.sim.clone(),
        stage.engine_hosts.clone(),
    );
    let engines = std::mem::take(&mut stage.engines);
    let played = stage.sim.run(&stage.script, HOUR, async move {
        let client = cast.client().await;
        let began = cast.runtime.now();
        let (clock, cuts, seen) = (cast.runtime.clone(), sim.clone(), log.clone());
        let node = cast.node_host;
        cast.runtime.run(async move {
            while latest(&seen, &[CallKind::Decode], 0) == 0 {
                clock.sleep(MS).await;
            }
            for host in hosts {
                cuts.set_partitioned(node, host, true);
            }
        });
        let client_timeout = 2_000 * MS;
        client.send(&ask(1, 50, client_timeout)).await;
        cast.runtime.sleep(3_000 * MS).await;
        drop(engines);
        let ended = log.all().into_iter().rev().find_map(|s| match s.event {
            ObservedEvent::AttemptEnded { engine: 4, .. } => Some(s.at),
            _ => None,
        });
        ended.map(|at| at.saturating_sub(began + client_timeout))
    });
    assert_eq!(
        played,
        Ok(Some(0)),
        "the work goes on past the client's end"
    );
}

/// A node is told to stop while clients with slow links read their answers: each gets its whole answer, though the process
/// ends as soon as the stop is done.
#[test]
fn a_stop_waits_until_answers_have_reached_slow_clients() {
    let stage = virtual_cluster();
    let cast = cast(&stage, true);
    let sim = stage.sim.clone();
    let played = stage.sim.run(&stage.script, HOUR, async move {
        let client = cast.client().await;
        let mut one = ask(1, 50, 20_000 * MS);
        one.request.max_output_tokens = 400;
        one.behavior.read_pause = 5 * MS;
        let (done, wait) = async_channel::bounded(1);
        let log = cast.log.clone();
        cast.runtime.run(async move {
            let _ = done.send(client.send(&one).await).await;
        });
        while !log
            .all()
            .iter()
            .any(|s| matches!(s.event, ObservedEvent::FirstTokenReceived { .. }))
        {
            cast.runtime.sleep(MS).await;
        }
        cast.node.stop(10_000 * MS).await;
        sim.kill(cast.node_host, true);
        wait.recv().await.unwrap()
    });
    let end = played.unwrap();
    assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
}
