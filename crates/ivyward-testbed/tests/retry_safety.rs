//! What proves that an attempt never ran, and what does not: one row a case, each on real sockets. Unsafe requests are
//! sent again only on proof; keyed ones inside their group and window; reading is no effect.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward_fakes::event_log::{CallKind, ClientOutcome, ObservedEvent};
use ivyward_fakes::{Engine, Faults, ResponseFault};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, LocalCluster};
use std::sync::Arc;

/// One reader (engine 0) and two writers (1 and 2).
fn scene() -> Arc<LocalCluster> {
    let mut make = ClusterBuilder::new(3, pools(1, 2));
    make.settings.stream_idle_timeout = 200_000;
    build(make)
}

/// Makes every call to both writers end in some way, and sends an unsafe request.
async fn unsafe_at(
    scene: &Arc<LocalCluster>,
    client_timeout: u64,
    trouble: impl Fn(&mut Engine),
) -> (ClientOutcome, usize, usize) {
    [1, 2]
        .into_iter()
        .for_each(|e| trouble(&mut scene.engine(e)));
    let mut ask = scene.new_request(0, ORDER, prompt(1, 50), 10);
    ask.behavior.client_timeout = client_timeout;
    let call = ask.request.call_id;
    let end = scene.send(&ask).await.unwrap();
    for e in [1, 2] {
        let mut engine = scene.engine(e);
        match engine.is_running() {
            true => engine.fault(|f| *f = Faults::default()),
            false => engine.restart(false).expect("its port is free"),
        }
    }
    clean(scene).await;
    (
        end.outcome,
        attempts(scene, call, CallKind::Decode),
        runs(scene, call),
    )
}

fn fault(change: impl Fn(&mut Faults) + Copy) -> impl Fn(&mut Engine) {
    move |engine| engine.fault(change)
}

#[test]
fn proof_connection_refused() {
    let scene = scene();
    block_on(async {
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, |e| e.crash()).await;
        // Never sent, and said to be harmless to try again.
        assert_eq!((how, came, ran), (ClientOutcome::Rejected, 0, 0));
    });
}

#[test]
fn proof_refused_stream() {
    let scene = scene();
    block_on(async {
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, fault(|f| f.refuse_stream = 1.0)).await;
        assert_eq!((how, ran), (ClientOutcome::Rejected, 0));
        assert!(came >= 2, "{came} attempts: a refused stream is sent on");
    });
}

#[test]
fn proof_the_engines_own_full_answer() {
    let scene = scene();
    block_on(async {
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, fault(|f| f.reject = 1.0)).await;
        assert_eq!((how, ran), (ClientOutcome::Rejected, 0));
        assert!(came >= 2, "{came} attempts: turned away is sent on");
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, |e| e.set_draining(true)).await;
        assert_eq!((how, ran), (ClientOutcome::Rejected, 0));
        assert!(came >= 1);
    });
}

#[test]
fn no_proof_reset_after_the_bytes_left() {
    let scene = scene();
    block_on(async {
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, fault(|f| f.reset = 1.0)).await;
        assert_eq!((how, came, ran), (ClientOutcome::Failed, 1, 1));
    });
}

#[test]
fn no_proof_deadline() {
    let scene = scene();
    block_on(async {
        // Taken and never begun: the node cannot know that, so nothing is promised.
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, fault(|f| f.stall = 1.0)).await;
        assert_eq!((how, came, ran), (ClientOutcome::Failed, 1, 0));
    });
}

#[test]
fn no_proof_lost_answer() {
    let scene = scene();
    block_on(async {
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, fault(|f| f.lose_answer = 1.0)).await;
        assert_eq!((how, came, ran), (ClientOutcome::Failed, 1, 1));
    });
}

/// RESOURCE_EXHAUSTED as a gRPC status may come from anything between: an engine turns away by its own message.
#[test]
fn no_proof_a_status() {
    let scene = scene();
    block_on(async {
        let trouble = fault(|f| {
            (f.malformed, f.response_fault) = (1.0, Some(ResponseFault::StatusExhausted))
        });
        let (how, came, ran) = unsafe_at(&scene, 1_000_000, trouble).await;
        assert_eq!((how, came, ran), (ClientOutcome::Failed, 1, 1));
    });
}

#[test]
fn no_proof_an_engine_that_dies_at_work() {
    let scene = scene();
    block_on(async {
        scene.engine(1).fault(|f| f.slowdown = 1_000.0);
        scene.engine(2).fault(|f| f.slowdown = 1_000.0);
        let ask = scene.new_request(0, ORDER, prompt(1, 50), 10);
        let call = ask.request.call_id;
        let (tell, wait) = async_channel::bounded(1);
        let one = scene.clone();
        scene.runtime.run(async move {
            let _ = tell.send(one.send(&ask).await).await;
        });
        let came = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { call: c, kind: CallKind::Decode, .. } if *c == call);
        seen(&scene, came).await;
        [1, 2].into_iter().for_each(|e| scene.engine(e).crash());
        let end = wait.recv().await.unwrap().unwrap();
        assert_eq!(
            (end.outcome, attempts(&scene, call, CallKind::Decode)),
            (ClientOutcome::Failed, 1)
        );
        clean(&scene).await;
    });
}

/// A GOAWAY names the last stream that was worked on: what stands above it never ran and is sent again, also when it
/// cannot be repeated; the connection's other streams go on.
#[test]
fn goaway_ends_no_stream_below_it_and_loses_none_above() {
    let scene = scene();
    block_on(async {
        for round in 0..10 {
            let asks: Vec<_> = (0..12)
                .map(|i| scene.new_request(0, ORDER, prompt(round * 100 + i, 50), 10))
                .collect();
            let calls: Vec<u64> = asks.iter().map(|a| a.request.call_id).collect();
            let (one, first) = (scene.clone(), calls[0]);
            let (told, wait) = async_channel::bounded::<()>(1);
            scene.runtime.run(async move {
                seen(
                    &one,
                    |s| matches!(s, ObservedEvent::AttemptArrived { call, .. } if *call == first),
                )
                .await;
                (0..3).for_each(|e| one.engine(e).send_goaway());
                drop(told);
            });
            let ends = all(&scene, asks).await;
            let _ = wait.recv().await;
            for (end, call) in ends.iter().zip(calls) {
                // Overload may refuse some; none fails and none runs twice.
                assert!(
                    matches!(end.outcome, ClientOutcome::Served | ClientOutcome::Rejected),
                    "{end:?}"
                );
                assert_eq!(
                    runs(&scene, call),
                    usize::from(end.outcome == ClientOutcome::Served)
                );
            }
        }
        clean(&scene).await;
    });
}

/// Reading is no effect: whatever becomes of it, an unsafe request is read elsewhere and served.
#[test]
fn a_read_that_broke_is_repeated_for_every_class() {
    let scene = build(ClusterBuilder::new(3, pools(2, 1)));
    block_on(async {
        for (class, seed) in [(QUICK, 1), (ORDER, 2), (NOTE, 3)] {
            scene.engine(0).fault(|f| f.reset = 1.0);
            scene.engine(1).fault(|f| f.reset = 0.0);
            for i in 0..6 {
                let end = scene
                    .send(&scene.new_request(0, class, prompt(seed * 100 + i, 50), 5))
                    .await
                    .unwrap();
                assert_eq!(end.outcome, ClientOutcome::Served, "class {class}: {end:?}");
            }
        }
        clean(&scene).await;
    });
}

/// A keyed request that may have run goes on inside its group: here all engines, which drop its repeat.
#[test]
fn a_keyed_request_is_sent_again_with_its_key() {
    let scene = scene();
    block_on(async {
        for e in [1, 2] {
            scene.engine(e).fault(|f| f.reset = 0.5);
        }
        for i in 0..10 {
            let ask = scene.new_request(0, NOTE, prompt(i, 50), 5);
            let end = scene.send(&ask).await.unwrap();
            assert!(
                matches!(end.outcome, ClientOutcome::Served | ClientOutcome::Rejected),
                "{end:?}"
            );
        }
        clean(&scene).await;
    });
}

#[test]
fn no_more_attempts_than_are_allowed() {
    for most in [1, 2, 4] {
        let mut make = ClusterBuilder::new(3, pools(3, 6));
        make.settings.router.max_attempts = most;
        let scene = build(make);
        block_on(async {
            for i in 0..scene.engines() {
                scene.engine(i).fault(|f| f.reject = 1.0);
            }
            let ask = scene.new_request(0, QUICK, prompt(1, 50), 5);
            let end = scene.send(&ask).await.unwrap();
            assert_eq!(end.outcome, ClientOutcome::Rejected, "{end:?}");
            let call = ask.request.call_id;
            let came = attempts(&scene, call, CallKind::Prefill)
                + attempts(&scene, call, CallKind::Decode);
            assert_eq!(came, most as usize);
            clean(&scene).await;
        });
    }
}
