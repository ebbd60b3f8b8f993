//! Which failures prove that an attempt never ran, and which do not: one test per case, on real sockets. Requests that are
//! unsafe to repeat are retried only with such proof, and requests with an idempotency key only within their group and
//! window. Prefill has no side effects, so it may always be retried.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward_fakes::event_log::{CallKind, ClientOutcome, ObservedEvent};
use ivyward_fakes::{Engine, Faults, ResponseFault};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, LocalCluster};
use std::sync::Arc;

/// One prefill engine (0) and two decode engines (1 and 2).
fn cluster() -> Arc<LocalCluster> {
    let mut make = ClusterBuilder::new(3, pools(1, 2));
    make.settings.stream_idle_timeout = 200_000;
    build(make)
}

/// Injects a fault into both decode engines, sends a request that is unsafe to repeat, and repairs the engines. Returns
/// its outcome, the number of decode attempts that arrived at engines, and the number that ran.
async fn unsafe_request_with(
    cluster: &Arc<LocalCluster>,
    client_timeout: u64,
    inject: impl Fn(&mut Engine),
) -> (ClientOutcome, usize, usize) {
    [1, 2]
        .into_iter()
        .for_each(|e| inject(&mut cluster.engine(e)));
    let mut client_request = cluster.new_request(0, ORDER, prompt(1, 50), 10);
    client_request.behavior.client_timeout = client_timeout;
    let call = client_request.request.call_id;
    let end = cluster.send(&client_request).await.unwrap();
    for e in [1, 2] {
        let mut engine = cluster.engine(e);
        match engine.is_running() {
            true => engine.fault(|f| *f = Faults::default()),
            false => engine
                .restart(false)
                .expect("the port of the engine is free"),
        }
    }
    assert_clean(cluster).await;
    (
        end.outcome,
        attempt_count(cluster, call, CallKind::Decode),
        run_count(cluster, call),
    )
}

fn fault(change: impl Fn(&mut Faults) + Copy) -> impl Fn(&mut Engine) {
    move |engine| engine.fault(change)
}

#[test]
fn proof_connection_refused() {
    let cluster = cluster();
    block_on(async {
        let (outcome, arrived, ran) = unsafe_request_with(&cluster, 1_000_000, |e| e.crash()).await;
        // No attempt was sent, and the rejection says that a retry is safe.
        assert_eq!((outcome, arrived, ran), (ClientOutcome::Rejected, 0, 0));
    });
}

#[test]
fn proof_refused_stream() {
    let cluster = cluster();
    block_on(async {
        let (outcome, arrived, ran) =
            unsafe_request_with(&cluster, 1_000_000, fault(|f| f.refuse_stream = 1.0)).await;
        assert_eq!((outcome, ran), (ClientOutcome::Rejected, 0));
        assert!(
            arrived >= 2,
            "{arrived} attempts: a refused stream must be retried"
        );
    });
}

#[test]
fn proof_rejection_by_the_engine() {
    let cluster = cluster();
    block_on(async {
        let (outcome, arrived, ran) =
            unsafe_request_with(&cluster, 1_000_000, fault(|f| f.reject = 1.0)).await;
        assert_eq!((outcome, ran), (ClientOutcome::Rejected, 0));
        assert!(
            arrived >= 2,
            "{arrived} attempts: a rejected attempt must be retried"
        );
        let (outcome, arrived, ran) =
            unsafe_request_with(&cluster, 1_000_000, |e| e.set_draining(true)).await;
        assert_eq!((outcome, ran), (ClientOutcome::Rejected, 0));
        assert!(arrived >= 1);
    });
}

#[test]
fn no_proof_reset_after_the_bytes_left() {
    let cluster = cluster();
    block_on(async {
        let (outcome, arrived, ran) =
            unsafe_request_with(&cluster, 1_000_000, fault(|f| f.reset = 1.0)).await;
        assert_eq!((outcome, arrived, ran), (ClientOutcome::Failed, 1, 1));
    });
}

#[test]
fn no_proof_deadline() {
    let cluster = cluster();
    block_on(async {
        // The engines accept the attempt and never run it. The node cannot know that, so it does not report a safe retry.
        let (outcome, arrived, ran) =
            unsafe_request_with(&cluster, 1_000_000, fault(|f| f.stall = 1.0)).await;
        assert_eq!((outcome, arrived, ran), (ClientOutcome::Failed, 1, 0));
    });
}

#[test]
fn no_proof_lost_answer() {
    let cluster = cluster();
    block_on(async {
        let (outcome, arrived, ran) =
            unsafe_request_with(&cluster, 1_000_000, fault(|f| f.lose_answer = 1.0)).await;
        assert_eq!((outcome, arrived, ran), (ClientOutcome::Failed, 1, 1));
    });
}

/// A gRPC status RESOURCE_EXHAUSTED may come from any proxy in between: an engine rejects an attempt with a message of its
/// own.
#[test]
fn no_proof_a_status() {
    let cluster = cluster();
    block_on(async {
        let inject = fault(|f| {
            (f.malformed, f.response_fault) = (1.0, Some(ResponseFault::StatusExhausted))
        });
        let (outcome, arrived, ran) = unsafe_request_with(&cluster, 1_000_000, inject).await;
        assert_eq!((outcome, arrived, ran), (ClientOutcome::Failed, 1, 1));
    });
}

#[test]
fn no_proof_engine_crash_during_an_attempt() {
    let cluster = cluster();
    block_on(async {
        cluster.engine(1).fault(|f| f.slowdown = 1_000.0);
        cluster.engine(2).fault(|f| f.slowdown = 1_000.0);
        let client_request = cluster.new_request(0, ORDER, prompt(1, 50), 10);
        let call = client_request.request.call_id;
        let (sender, receiver) = async_channel::bounded(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            let _ = sender.send(one.send(&client_request).await).await;
        });
        let arrived = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { call: c, kind: CallKind::Decode, .. } if *c == call);
        wait_for_event(&cluster, arrived).await;
        [1, 2].into_iter().for_each(|e| cluster.engine(e).crash());
        let end = receiver.recv().await.unwrap().unwrap();
        assert_eq!(
            (end.outcome, attempt_count(&cluster, call, CallKind::Decode)),
            (ClientOutcome::Failed, 1)
        );
        assert_clean(&cluster).await;
    });
}

/// A GOAWAY names the last stream that was processed. Streams above it never ran and are retried, including requests
/// that are unsafe to repeat; the other streams of the connection continue.
#[test]
fn goaway_ends_no_stream_up_to_its_last_and_retries_those_above() {
    let cluster = cluster();
    block_on(async {
        for round in 0..10 {
            let client_requests: Vec<_> = (0..12)
                .map(|i| cluster.new_request(0, ORDER, prompt(round * 100 + i, 50), 10))
                .collect();
            let calls: Vec<u64> = client_requests.iter().map(|a| a.request.call_id).collect();
            let (one, first) = (cluster.clone(), calls[0]);
            let (told, receiver) = async_channel::bounded::<()>(1);
            cluster.runtime.run(async move {
                wait_for_event(
                    &one,
                    |s| matches!(s, ObservedEvent::AttemptArrived { call, .. } if *call == first),
                )
                .await;
                (0..3).for_each(|e| one.engine(e).send_goaway());
                drop(told);
            });
            let ends = send_all(&cluster, client_requests).await;
            let _ = receiver.recv().await;
            for (end, call) in ends.iter().zip(calls) {
                // Overload may reject some requests; none fails and none runs twice.
                assert!(
                    matches!(end.outcome, ClientOutcome::Served | ClientOutcome::Rejected),
                    "{end:?}"
                );
                assert_eq!(
                    run_count(&cluster, call),
                    usize::from(end.outcome == ClientOutcome::Served)
                );
            }
        }
        assert_clean(&cluster).await;
    });
}

/// Prefill has no side effects: when it fails, even a request that is unsafe to repeat is prefilled on another engine and
/// served.
#[test]
fn a_failed_prefill_is_retried_for_every_class() {
    let cluster = build(ClusterBuilder::new(3, pools(2, 1)));
    block_on(async {
        for (class, seed) in [(QUICK, 1), (ORDER, 2), (NOTE, 3)] {
            cluster.engine(0).fault(|f| f.reset = 1.0);
            cluster.engine(1).fault(|f| f.reset = 0.0);
            for i in 0..6 {
                let end = cluster
                    .send(&cluster.new_request(0, class, prompt(seed * 100 + i, 50), 5))
                    .await
                    .unwrap();
                assert_eq!(end.outcome, ClientOutcome::Served, "class {class}: {end:?}");
            }
        }
        assert_clean(&cluster).await;
    });
}

/// A request with an idempotency key that may have run is retried within its group, which here contains all engines. The
/// engines discard the duplicate.
#[test]
fn a_request_with_an_idempotency_key_is_retried() {
    let cluster = cluster();
    block_on(async {
        for e in [1, 2] {
            cluster.engine(e).fault(|f| f.reset = 0.5);
        }
        for i in 0..10 {
            let client_request = cluster.new_request(0, NOTE, prompt(i, 50), 5);
            let end = cluster.send(&client_request).await.unwrap();
            assert!(
                matches!(end.outcome, ClientOutcome::Served | ClientOutcome::Rejected),
                "{end:?}"
            );
        }
        assert_clean(&cluster).await;
    });
}

#[test]
fn attempts_are_limited_by_max_attempts() {
    for most in [1, 2, 4] {
        let mut make = ClusterBuilder::new(3, pools(3, 6));
        make.settings.router.max_attempts = most;
        let cluster = build(make);
        block_on(async {
            for i in 0..cluster.engines() {
                cluster.engine(i).fault(|f| f.reject = 1.0);
            }
            let client_request = cluster.new_request(0, QUICK, prompt(1, 50), 5);
            let end = cluster.send(&client_request).await.unwrap();
            assert_eq!(end.outcome, ClientOutcome::Rejected, "{end:?}");
            let call = client_request.request.call_id;
            let arrived = attempt_count(&cluster, call, CallKind::Prefill)
                + attempt_count(&cluster, call, CallKind::Decode);
            assert_eq!(arrived, most as usize);
            assert_clean(&cluster).await;
        });
    }
}
