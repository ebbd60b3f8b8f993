//! The rule checker reports violations: for each rule, the test acts as a faulty node on real sockets and violates the rule
//! once, which must be reported. The same steps without the fault must not be reported.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward_fakes::event_log::{
    AttemptKey, CallIdempotency, CallKind, ClientOutcome, ObservedEvent,
};
use ivyward_fakes::{check_so_far, EngineSpec, Role};
use ivyward_grpc::{encode, Call, Channel, Options};
use ivyward_proto::engine as pb;
use ivyward_runtime::{Runtime, RuntimeExt, RuntimeRef};
use ivyward_testbed::local_cluster::{ClusterBuilder, LocalCluster};
use std::sync::Arc;

const NODE: u64 = 77;

/// Starts engines without a node. The test sends the calls of a node itself.
fn engines(specs: Vec<EngineSpec>) -> Arc<LocalCluster> {
    let mut builder = ClusterBuilder::new(9, specs);
    (builder.nodes, builder.flight) = (0, 50_000);
    build(builder)
}

/// Which checks report a violation: the five rules in order, then concurrent attempts, then deadlines sent to engines.
fn violated(cluster: &LocalCluster) -> [bool; 7] {
    let audit = cluster.audit();
    let mut out = [false; 7];
    for (i, rule) in audit.rules.iter().enumerate() {
        out[i] = rule.violation_count > 0;
    }
    out[5] = audit.overlap.violation_count > 0;
    out[6] = audit.deadlines.violation_count > 0;
    out
}

fn only(rule: usize) -> [bool; 7] {
    std::array::from_fn(|i| i == rule)
}

async fn dial(cluster: &LocalCluster, engine: usize) -> Channel {
    let runtime: RuntimeRef = cluster.runtime.clone();
    let address = cluster.engine(engine).address();
    let conn = runtime.connect(address).await.unwrap();
    Channel::begin(&runtime, conn, Options::default())
        .await
        .unwrap()
}

fn header(
    cluster: &LocalCluster,
    engine: usize,
    request: u64,
    attempt: u32,
    call: u64,
) -> Option<pb::Header> {
    let key = Some(pb::AttemptKey {
        node: NODE,
        request,
        attempt,
    });
    let engine = cluster.engine(engine).spec().id;
    Some(pb::Header {
        key,
        engine,
        call_id: call,
        ..pb::Header::default()
    })
}

async fn start_decode(
    cluster: &LocalCluster,
    engine: usize,
    request: u64,
    attempt: u32,
    call: u64,
) -> Call {
    let body = pb::WriteRequest {
        header: header(cluster, engine, request, attempt, call),
        prompt: prompt(1, 10),
        max_output_tokens: 5,
        ..pb::WriteRequest::default()
    };
    let channel = dial(cluster, engine).await;
    channel
        .call(
            "/ivyward.engine.v1.Engine/Write",
            encode(&body),
            http::HeaderMap::new(),
        )
        .await
        .unwrap()
}

async fn start_prefill(cluster: &LocalCluster, engine: usize, request: u64, attempt: u32) -> Call {
    let body = pb::ReadRequest {
        header: header(cluster, engine, request, attempt, 1),
        prompt: prompt(1, 10),
        ..pb::ReadRequest::default()
    };
    let channel = dial(cluster, engine).await;
    channel
        .call(
            "/ivyward.engine.v1.Engine/Read",
            encode(&body),
            http::HeaderMap::new(),
        )
        .await
        .unwrap()
}

async fn read_to_end<M: prost::Message + Default>(mut call: Call) {
    while let Ok(Some(_)) = call.next::<M>().await {}
}

fn log_call_started(cluster: &LocalCluster, call: u64, idempotency: CallIdempotency) {
    let until = cluster.log.now() + 1_000_000;
    cluster.log.add(ObservedEvent::CallStarted {
        call,
        operation: call,
        node: 0,
        idempotency,
        until,
    });
}

fn log_call_ended(cluster: &LocalCluster, call: u64, outcome: ClientOutcome) {
    cluster.log.add(ObservedEvent::CallEnded { call, outcome });
}

#[test]
fn rule_1_a_request_without_an_answer_or_with_an_attempt_after_its_end() {
    for (outcome, late, rule) in [
        (ClientOutcome::Served, false, None),
        (ClientOutcome::TimedOut, false, Some(0)),
        (ClientOutcome::Rejected, true, Some(0)),
    ] {
        let cluster = engines(pools(0, 1));
        block_on(async {
            log_call_started(&cluster, 1, CallIdempotency::Idempotent);
            if !late {
                read_to_end::<pb::WriteEvent>(start_decode(&cluster, 0, 1, 0, 1).await).await;
            }
            log_call_ended(&cluster, 1, outcome);
            if late {
                cluster.runtime.sleep(150_000).await;
                read_to_end::<pb::WriteEvent>(start_decode(&cluster, 0, 1, 0, 1).await).await;
            }
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "{outcome:?}"
        );
    }
    // A call that never ends.
    let cluster = engines(pools(0, 1));
    log_call_started(&cluster, 1, CallIdempotency::Idempotent);
    assert_eq!(violated(&cluster), only(0));
}

#[test]
fn rule_2_an_unsafe_request_that_runs_twice_or_is_rejected_after_it_ran() {
    for (idempotency, runs, outcome, rule) in [
        (
            CallIdempotency::NonIdempotent,
            1,
            ClientOutcome::Served,
            None,
        ),
        (
            CallIdempotency::NonIdempotent,
            2,
            ClientOutcome::Served,
            Some(1),
        ),
        (
            CallIdempotency::NonIdempotent,
            1,
            ClientOutcome::Rejected,
            Some(1),
        ),
        (
            CallIdempotency::Idempotent,
            2,
            ClientOutcome::Rejected,
            None,
        ),
    ] {
        let cluster = engines(pools(0, 2));
        block_on(async {
            log_call_started(&cluster, 1, idempotency);
            for attempt in 0..runs {
                read_to_end::<pb::WriteEvent>(
                    start_decode(&cluster, attempt as usize, 1, attempt, 1).await,
                )
                .await;
            }
            cluster.wait_until_idle(1_000_000).await;
            log_call_ended(&cluster, 1, outcome);
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "{idempotency:?} run {runs} times, {outcome:?}"
        );
    }
}

#[test]
fn rule_3_an_attempt_on_a_draining_engine() {
    for (wait, rule) in [(0, None), (500_000, Some(2))] {
        let cluster = engines(pools(0, 1));
        block_on(async {
            let engine = cluster.engine(0).spec().id;
            cluster.log.add(ObservedEvent::NodeNotified {
                node: NODE,
                engine,
                ready: false,
            });
            cluster.runtime.sleep(wait).await;
            read_to_end::<pb::WriteEvent>(start_decode(&cluster, 0, 1, 0, 1).await).await;
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "after {wait} us"
        );
    }
}

#[test]
fn rule_4_a_cold_engine_that_is_overloaded() {
    for (calls, rule) in [(5, None), (80, Some(3))] {
        let mut specs = pools(0, 1);
        // A cold engine has a tenth of a capacity of one per second. Four times that load in a window of 100 s is 40
        // calls, and the check allows two more for chance. The window is far longer than any machine needs for these
        // calls, so that only their number matters.
        let (window, warm) = (100_000_000, 4_000_000_000);
        (specs[0].overload, specs[0].capacity) = ((4.0, window), 1.0);
        specs[0].warm_up = (0.1, warm);
        // Attempts take no time here, because a cold engine would be slow.
        (specs[0].token_interval, specs[0].prefill_rate) = (0, 1e12);
        let mut builder = ClusterBuilder::new(9, specs);
        builder.nodes = 0;
        let router = &mut builder.settings.router;
        (
            router.initial_capacity,
            router.overload_window,
            router.warm_up_duration,
        ) = (0.1, window, warm);
        let cluster = build(builder);
        block_on(async {
            cluster.engine(0).restart(true).unwrap();
            for i in 0..calls {
                if cluster.engine(0).is_running() {
                    read_to_end::<pb::WriteEvent>(start_decode(&cluster, 0, i, 0, i).await).await;
                }
            }
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "{calls} calls"
        );
        assert_eq!(cluster.engine(0).is_running(), rule.is_none());
    }
}

#[test]
fn rule_5_kv_state_that_is_never_released() {
    for (release, rule) in [(true, None), (false, Some(4))] {
        let mut specs = pools(1, 0);
        specs[0].retention = 700_000;
        let cluster = engines(specs);
        block_on(async {
            read_to_end::<pb::ReadReply>(start_prefill(&cluster, 0, 1, 0).await).await;
            if release {
                let key = Some(pb::AttemptKey {
                    node: NODE,
                    request: 1,
                    attempt: 0,
                });
                let body = encode(&pb::ReleaseRequest { key, engine: 1 });
                let path = "/ivyward.engine.v1.Engine/Release";
                let call = dial(&cluster, 0)
                    .await
                    .call(path, body, http::HeaderMap::new())
                    .await
                    .unwrap();
                read_to_end::<pb::ReleaseReply>(call).await;
            }
            wait_for_event(&cluster, |s| matches!(s, ObservedEvent::Released { .. })).await;
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "released: {release}"
        );
    }
}

#[test]
fn two_concurrent_attempts_of_a_request() {
    for (concurrent, rule) in [(false, None), (true, Some(5))] {
        let mut specs = vec![
            EngineSpec::small(1, Role::Decode),
            EngineSpec::small(2, Role::Decode),
        ];
        specs[0].token_interval = 100_000;
        let cluster = engines(specs);
        block_on(async {
            let first = start_decode(&cluster, 0, 1, 0, 1).await;
            let run = async {
                if !concurrent {
                    read_to_end::<pb::WriteEvent>(first).await;
                    return read_to_end::<pb::WriteEvent>(start_decode(&cluster, 1, 1, 1, 1).await)
                        .await;
                }
                let (sender, receiver) = async_channel::bounded::<()>(1);
                cluster.runtime.run(async move {
                    read_to_end::<pb::WriteEvent>(first).await;
                    drop(sender);
                });
                wait_for_event(&cluster, |s| matches!(s, ObservedEvent::AttemptRan { .. })).await;
                read_to_end::<pb::WriteEvent>(start_decode(&cluster, 1, 1, 1, 1).await).await;
                let _ = receiver.recv().await;
            };
            run.await;
            wait_for_event(
                &cluster,
                |s| matches!(s, ObservedEvent::AttemptEnded { key, .. } if key.attempt == 0),
            )
            .await;
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "concurrent: {concurrent}"
        );
    }
}

/// During a run, `check_so_far` reports a violation only when no later event can still resolve it.
#[test]
fn a_run_in_progress_is_checked_by_what_can_still_happen() {
    let cluster = engines(pools(0, 2));
    log_call_started(&cluster, 1, CallIdempotency::Idempotent);
    let violated = |after: u64| {
        let audit = check_so_far(
            &cluster.log.all(),
            &cluster.limits(),
            cluster.log.now() + after,
        );
        (
            audit.rules[0].violation_count,
            audit.overlap.violation_count,
        )
    };
    assert_eq!(violated(0), (0, 0));
    assert_eq!(
        violated(2_000_000),
        (1, 0),
        "the deadline of the client has passed"
    );
    // A second attempt while the first one has not ended.
    for attempt in 0..2 {
        let key = AttemptKey {
            node: NODE,
            request: 1,
            attempt,
        };
        cluster.log.add(ObservedEvent::AttemptArrived {
            engine: u64::from(attempt) + 1,
            key,
            call: 1,
            kind: CallKind::Decode,
            timeout: None,
        });
    }
    assert_eq!(
        violated(0).1,
        0,
        "the end of the first attempt may not be logged yet"
    );
    assert_eq!(violated(100_000).1, 1);
}

#[test]
fn a_deadline_sent_to_an_engine_past_the_clients() {
    for (more, rule) in [(100_000, None), (400_000, Some(6))] {
        let cluster = engines(pools(0, 1));
        block_on(async {
            log_call_started(&cluster, 1, CallIdempotency::Idempotent);
            let body = pb::WriteRequest {
                header: header(&cluster, 0, 1, 0, 1),
                prompt: prompt(1, 10),
                max_output_tokens: 5,
                ..pb::WriteRequest::default()
            };
            let path = "/ivyward.engine.v1.Engine/Write";
            let deadline = cluster.runtime.now() + 1_000_000 + more;
            let call = dial(&cluster, 0)
                .await
                .call_with_deadline(path, encode(&body), Some(deadline))
                .await;
            read_to_end::<pb::WriteEvent>(call.unwrap()).await;
            log_call_ended(&cluster, 1, ClientOutcome::Served);
        });
        assert_eq!(
            violated(&cluster),
            rule.map_or([false; 7], only),
            "{more} us past the client's deadline"
        );
    }
}
