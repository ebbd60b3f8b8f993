//! The auditor can fail: for each rule a bad node, played by hand on real sockets, breaks it once and is caught, beside
//! the same steps done rightly, which are not.

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

/// Engines and no node: the test plays it.
fn engines(specs: Vec<EngineSpec>) -> Arc<LocalCluster> {
    let mut make = ClusterBuilder::new(9, specs);
    (make.nodes, make.flight) = (0, 50_000);
    build(make)
}

/// What the auditor finds broken, by rule; then attempts side by side, and deadlines told to engines.
fn broken(cluster: &LocalCluster) -> [bool; 7] {
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

async fn write(
    cluster: &LocalCluster,
    engine: usize,
    request: u64,
    attempt: u32,
    call: u64,
) -> Call {
    let ask = pb::WriteRequest {
        header: header(cluster, engine, request, attempt, call),
        prompt: prompt(1, 10),
        max_output_tokens: 5,
        ..pb::WriteRequest::default()
    };
    let channel = dial(cluster, engine).await;
    channel
        .call(
            "/ivyward.engine.v1.Engine/Write",
            encode(&ask),
            http::HeaderMap::new(),
        )
        .await
        .unwrap()
}

async fn read(cluster: &LocalCluster, engine: usize, request: u64, attempt: u32) -> Call {
    let ask = pb::ReadRequest {
        header: header(cluster, engine, request, attempt, 1),
        prompt: prompt(1, 10),
        ..pb::ReadRequest::default()
    };
    let channel = dial(cluster, engine).await;
    channel
        .call(
            "/ivyward.engine.v1.Engine/Read",
            encode(&ask),
            http::HeaderMap::new(),
        )
        .await
        .unwrap()
}

async fn to_end<M: prost::Message + Default>(mut call: Call) {
    while let Ok(Some(_)) = call.next::<M>().await {}
}

fn called(cluster: &LocalCluster, call: u64, effect: CallIdempotency) {
    let until = cluster.log.now() + 1_000_000;
    cluster.log.add(ObservedEvent::CallStarted {
        call,
        operation: call,
        node: 0,
        idempotency: effect,
        until,
    });
}

fn heard(cluster: &LocalCluster, call: u64, how: ClientOutcome) {
    cluster
        .log
        .add(ObservedEvent::CallEnded { call, outcome: how });
}

#[test]
fn rule_1_a_request_without_an_answer_and_one_sent_after_its_end() {
    for (how, late, rule) in [
        (ClientOutcome::Served, false, None),
        (ClientOutcome::TimedOut, false, Some(0)),
        (ClientOutcome::Rejected, true, Some(0)),
    ] {
        let cluster = engines(pools(0, 1));
        block_on(async {
            called(&cluster, 1, CallIdempotency::Idempotent);
            if !late {
                to_end::<pb::WriteEvent>(write(&cluster, 0, 1, 0, 1).await).await;
            }
            heard(&cluster, 1, how);
            if late {
                cluster.runtime.sleep(150_000).await;
                to_end::<pb::WriteEvent>(write(&cluster, 0, 1, 0, 1).await).await;
            }
        });
        assert_eq!(broken(&cluster), rule.map_or([false; 7], only), "{how:?}");
    }
    // One that was never heard of again.
    let cluster = engines(pools(0, 1));
    called(&cluster, 1, CallIdempotency::Idempotent);
    assert_eq!(broken(&cluster), only(0));
}

#[test]
fn rule_2_an_unsafe_request_run_twice_or_refused_after_it_ran() {
    for (effect, runs, how, rule) in [
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
            called(&cluster, 1, effect);
            for attempt in 0..runs {
                to_end::<pb::WriteEvent>(write(&cluster, attempt as usize, 1, attempt, 1).await)
                    .await;
            }
            cluster.wait_until_idle(1_000_000).await;
            heard(&cluster, 1, how);
        });
        assert_eq!(
            broken(&cluster),
            rule.map_or([false; 7], only),
            "{effect:?} run {runs} times, {how:?}"
        );
    }
}

#[test]
fn rule_3_work_for_an_engine_that_drains() {
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
            to_end::<pb::WriteEvent>(write(&cluster, 0, 1, 0, 1).await).await;
        });
        assert_eq!(
            broken(&cluster),
            rule.map_or([false; 7], only),
            "after {wait} us"
        );
    }
}

#[test]
fn rule_4_a_cold_engine_that_is_pushed() {
    for (calls, rule) in [(5, None), (80, Some(3))] {
        let mut specs = pools(0, 1);
        // A tenth of one a second, four times that in a hundred seconds: 40, and two for chance. The window is far longer
        // than any machine takes for these calls, so that what counts is how many there are.
        let (window, warm) = (100_000_000, 4_000_000_000);
        (specs[0].overload, specs[0].capacity) = ((4.0, window), 1.0);
        specs[0].warm_up = (0.1, warm);
        // Nothing is worked on meanwhile: a cold engine is slow.
        (specs[0].token_interval, specs[0].prefill_rate) = (0, 1e12);
        let mut make = ClusterBuilder::new(9, specs);
        make.nodes = 0;
        let rules = &mut make.settings.router;
        (
            rules.initial_capacity,
            rules.overload_window,
            rules.warm_up_duration,
        ) = (0.1, window, warm);
        let cluster = build(make);
        block_on(async {
            cluster.engine(0).restart(true).unwrap();
            for i in 0..calls {
                if cluster.engine(0).is_running() {
                    to_end::<pb::WriteEvent>(write(&cluster, 0, i, 0, i).await).await;
                }
            }
        });
        assert_eq!(
            broken(&cluster),
            rule.map_or([false; 7], only),
            "{calls} calls"
        );
        assert_eq!(cluster.engine(0).is_running(), rule.is_none());
    }
}

#[test]
fn rule_5_a_state_that_nobody_lets_go() {
    for (release, rule) in [(true, None), (false, Some(4))] {
        let mut specs = pools(1, 0);
        specs[0].retention = 700_000;
        let cluster = engines(specs);
        block_on(async {
            to_end::<pb::ReadReply>(read(&cluster, 0, 1, 0).await).await;
            if release {
                let key = Some(pb::AttemptKey {
                    node: NODE,
                    request: 1,
                    attempt: 0,
                });
                let ask = encode(&pb::ReleaseRequest { key, engine: 1 });
                let path = "/ivyward.engine.v1.Engine/Release";
                let call = dial(&cluster, 0)
                    .await
                    .call(path, ask, http::HeaderMap::new())
                    .await
                    .unwrap();
                to_end::<pb::ReleaseReply>(call).await;
            }
            wait_for_event(&cluster, |s| matches!(s, ObservedEvent::Released { .. })).await;
        });
        assert_eq!(
            broken(&cluster),
            rule.map_or([false; 7], only),
            "released: {release}"
        );
    }
}

#[test]
fn two_attempts_at_once() {
    for (beside, rule) in [(false, None), (true, Some(5))] {
        let mut specs = vec![
            EngineSpec::small(1, Role::Decode),
            EngineSpec::small(2, Role::Decode),
        ];
        specs[0].token_interval = 100_000;
        let cluster = engines(specs);
        block_on(async {
            let first = write(&cluster, 0, 1, 0, 1).await;
            let run = async {
                if !beside {
                    to_end::<pb::WriteEvent>(first).await;
                    return to_end::<pb::WriteEvent>(write(&cluster, 1, 1, 1, 1).await).await;
                }
                let (tell, wait) = async_channel::bounded::<()>(1);
                cluster.runtime.run(async move {
                    to_end::<pb::WriteEvent>(first).await;
                    drop(tell);
                });
                wait_for_event(&cluster, |s| matches!(s, ObservedEvent::AttemptRan { .. })).await;
                to_end::<pb::WriteEvent>(write(&cluster, 1, 1, 1, 1).await).await;
                let _ = wait.recv().await;
            };
            run.await;
            wait_for_event(
                &cluster,
                |s| matches!(s, ObservedEvent::AttemptEnded { key, .. } if key.attempt == 0),
            )
            .await;
        });
        assert_eq!(
            broken(&cluster),
            rule.map_or([false; 7], only),
            "beside: {beside}"
        );
    }
}

/// A run that goes on: what may still come out right is no break yet, and is one as soon as it cannot any more.
#[test]
fn a_run_that_goes_on_is_judged_by_what_can_still_come() {
    let cluster = engines(pools(0, 2));
    called(&cluster, 1, CallIdempotency::Idempotent);
    let broken = |after: u64| {
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
    assert_eq!(broken(0), (0, 0));
    assert_eq!(broken(2_000_000), (1, 0), "its client's time is over");
    // An attempt beside one that has not ended.
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
    assert_eq!(broken(0).1, 0, "the first's end may be under way");
    assert_eq!(broken(100_000).1, 1);
}

#[test]
fn a_deadline_told_to_an_engine_past_the_clients() {
    for (more, broken_rule) in [(100_000, None), (400_000, Some(6))] {
        let cluster = engines(pools(0, 1));
        block_on(async {
            called(&cluster, 1, CallIdempotency::Idempotent);
            let ask = pb::WriteRequest {
                header: header(&cluster, 0, 1, 0, 1),
                prompt: prompt(1, 10),
                max_output_tokens: 5,
                ..pb::WriteRequest::default()
            };
            let path = "/ivyward.engine.v1.Engine/Write";
            let deadline = cluster.runtime.now() + 1_000_000 + more;
            let call = dial(&cluster, 0)
                .await
                .call_with_deadline(path, encode(&ask), Some(deadline))
                .await;
            to_end::<pb::WriteEvent>(call.unwrap()).await;
            heard(&cluster, 1, ClientOutcome::Served);
        });
        assert_eq!(
            broken(&cluster),
            broken_rule.map_or([false; 7], only),
            "{more} us past its end"
        );
    }
}
