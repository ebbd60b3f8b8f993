//! Engines, nodes and clients that misbehave, each as a test that causes it.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::core::interface::EndpointState;
use ivyward_fakes::event_log::{CallKind, ClientOutcome, ObservedEvent, RetentionEnd};
use ivyward_fakes::ResponseFault;
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::fault_scenario::{self, FaultScenario};
use ivyward_testbed::local_cluster::ClusterBuilder;

/// A reader that takes a request and never answers is waited out only in part: another one reads in time.
#[test]
fn a_reader_that_stalls_after_accepting_is_left() {
    let cluster = build(ClusterBuilder::new(5, pools(2, 2)));
    block_on(async {
        for i in 0..10 {
            let end = cluster
                .send(&cluster.new_request(0, QUICK, prompt(i, 50), 5))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served);
        }
        cluster.engine(0).fault(|f| f.stall = 1.0);
        for i in 0..10 {
            let end = cluster
                .send(&cluster.new_request(0, QUICK, prompt(i + 50, 50), 5))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        }
        assert_clean(&cluster).await;
    });
}

/// A process that hangs keeps its sockets open: pings find out, and requests go elsewhere.
#[test]
fn an_engine_whose_process_hangs_is_found_by_pings() {
    let cluster = build(ClusterBuilder::new(5, pools(2, 2)));
    block_on(async {
        for hung in [0, 2] {
            cluster.engine(hung).fault(|f| f.hang = true);
            for i in 0..10 {
                let end = cluster
                    .send(&cluster.new_request(0, QUICK, prompt(i, 50), 5))
                    .await
                    .unwrap();
                assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
            }
            cluster.engine(hung).fault(|f| f.hang = false);
        }
        assert_clean(&cluster).await;
    });
}

/// Each way of answering wrongly fails that attempt with a clear reason, and nothing else suffers: requests on the same
/// connections are served.
#[test]
fn wrong_answers_fail_their_attempt_alone() {
    let wrong = [
        (ResponseFault::WrongId, "answered as engine"),
        (ResponseFault::Malformed, "cannot be read"),
        (ResponseFault::Oversized, "over the limit"),
        (
            ResponseFault::OutOfOrder,
            "token 1 came where token 0 was due",
        ),
        (
            ResponseFault::DuplicateToken,
            "token 0 came where token 1 was due",
        ),
        (ResponseFault::StreamReset, "the server reset the stream"),
        (ResponseFault::StreamStalled, "no token for too long"),
        (ResponseFault::MissingFinalMessage, "without its last word"),
    ];
    for (twist, text) in wrong {
        let mut make = ClusterBuilder::new(5, pools(1, 1));
        // Over any pause of a busy machine: it ends one stream here, and is not to end the one beside it.
        make.settings.stream_idle_timeout = 1_000_000;
        let cluster = build(make);
        block_on(async {
            let long = cluster.new_request(0, QUICK, prompt(1_000, 50), 400);
            let (tell, wait) = async_channel::bounded(1);
            let (one, call) = (cluster.clone(), long.request.call_id);
            cluster.runtime.run(async move {
                let _ = tell.send(one.send(&long).await).await;
            });
            wait_for_event(
                &cluster,
                |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
            )
            .await;
            cluster
                .engine(1)
                .fault(|f| (f.malformed, f.response_fault) = (1.0, Some(twist)));
            let end = cluster
                .send(&cluster.new_request(0, ORDER, prompt(1, 50), 10))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Failed, "{twist:?}: {end:?}");
            assert!(end.message.contains(text), "{twist:?}: {end:?}");
            let beside = wait.recv().await.unwrap().unwrap();
            assert_eq!(
                beside.outcome,
                ClientOutcome::Served,
                "{twist:?}: {beside:?}"
            );
            cluster.engine(1).fault(|f| f.malformed = 0.0);
            assert_clean(&cluster).await;
        });
    }
}

/// Tokens after the last word are not passed on, and the answer stands.
#[test]
fn tokens_after_the_end_go_nowhere() {
    let cluster = build(ClusterBuilder::new(5, pools(1, 1)));
    block_on(async {
        cluster.engine(1).fault(|f| {
            (f.malformed, f.response_fault) = (1.0, Some(ResponseFault::TokensAfterEnd))
        });
        let end = cluster
            .send(&cluster.new_request(0, QUICK, prompt(1, 50), 10))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        assert_clean(&cluster).await;
    });
}

/// An engine that restarts under its id and address is used again, and what it kept counts as lost.
#[test]
fn an_engine_restarts_under_its_id() {
    let cluster = build(ClusterBuilder::new(5, pools(1, 2)));
    block_on(async {
        for round in 0..5 {
            for i in 0..5 {
                let end = cluster
                    .send(&cluster.new_request(0, QUICK, prompt(round * 10 + i, 50), 5))
                    .await
                    .unwrap();
                assert!(
                    matches!(end.outcome, ClientOutcome::Served | ClientOutcome::Rejected),
                    "{end:?}"
                );
            }
            for e in 0..3 {
                cluster.engine(e).restart(false).unwrap();
                cluster
                    .notify_all_nodes(e, EndpointState::Ready, Some(cluster.log.now()))
                    .await;
            }
        }
        // Cold ones get little at first; once told otherwise they get all.
        for e in 0..3 {
            cluster
                .notify_all_nodes(e, EndpointState::Ready, None)
                .await;
        }
        let mut served = 0;
        for i in 0..40 {
            let end = cluster
                .send(&cluster.new_request(0, QUICK, prompt(900 + i, 50), 5))
                .await
                .unwrap();
            served += usize::from(end.outcome == ClientOutcome::Served);
            cluster.runtime.sleep(20_000).await;
        }
        assert!(served > 20, "{served} of 40 served after the restarts");
        assert_clean(&cluster).await;
    });
}

/// A node that dies: its clients see it at once, and what is kept for it is let go by the engines' own limit.
#[test]
fn a_node_dies_and_engines_let_go_by_themselves() {
    let mut specs = pools(1, 1);
    // The read is done soon; the fetch takes a second.
    specs[1].kv_fetch_rate = 50.0;
    (specs[0].retention, specs[1].retention) = (1_000_000, 1_000_000);
    specs[1].slots = 1;
    let mut make = ClusterBuilder::new(5, specs);
    make.nodes = 2;
    // The module is to wait for the slow fetch.
    make.settings.classes[QUICK].settings.ttft_objective = 2_000_000;
    let cluster = build(make);
    block_on(async {
        // The second request waits for the only slot while its state is kept at the reader.
        let asks: Vec<_> = (0..2)
            .map(|i| cluster.new_request(0, QUICK, prompt(i, 50), 5))
            .collect();
        let (tell, wait) = async_channel::bounded(2);
        for ask in asks {
            let (one, tell) = (cluster.clone(), tell.clone());
            cluster.runtime.run(async move {
                let _ = tell.send(one.send(&ask).await.unwrap()).await;
            });
        }
        let second = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { kind: CallKind::Decode, key, .. } if key.request == 2);
        wait_for_event(&cluster, second).await;
        cluster.kill_node(0);
        for _ in 0..2 {
            assert_eq!(
                wait.recv().await.unwrap().outcome,
                ClientOutcome::Unreachable
            );
        }
        wait_for_event(&cluster, |s| {
            matches!(
                s,
                ObservedEvent::Released {
                    how: RetentionEnd::Expired,
                    ..
                }
            )
        })
        .await;
        // The other node shares nothing with the dead one and goes on.
        let end = cluster
            .send(&cluster.new_request(1, QUICK, prompt(7, 10), 5))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        assert_clean(&cluster).await;
        cluster.start_node(0).unwrap();
        let end = cluster
            .send(&cluster.new_request(0, QUICK, prompt(8, 10), 5))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
    });
}

/// A state whose engine cannot be reached when it is to be let go: the release is tried again and lets go as soon as
/// the engine is back, well before the engine's own limit.
#[test]
fn a_release_reaches_an_engine_that_was_out_of_reach() {
    let mut specs = pools(1, 1);
    specs[0].retention = 60_000_000;
    let mut make = ClusterBuilder::new(5, specs);
    // The module is to wait until the client leaves.
    make.settings.classes[QUICK].settings.ttft_objective = 2_000_000;
    let cluster = build(make);
    block_on(async {
        // The writer takes the request and does not fetch.
        cluster.engine(1).fault(|f| f.stall = 1.0);
        let ask = cluster.new_request(0, QUICK, prompt(1, 50), 5);
        let call = ask.request.call_id;
        let (leave, left) = async_channel::bounded::<()>(1);
        let (tell, wait) = async_channel::bounded(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            let leave = async {
                let _ = left.recv().await;
            };
            let _ = tell.send(one.send_until(&ask, leave).await.unwrap()).await;
        });
        let came = move |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { call: c, kind: CallKind::Decode, .. } if *c == call);
        wait_for_event(&cluster, came).await;
        // The reader's connections break and break again while the release is due.
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            while !stopped.is_closed() {
                one.engine(0).drop_connections();
                one.runtime.sleep(1_000).await;
            }
        });
        drop(leave);
        let end = wait.recv().await.unwrap();
        assert_eq!(end.outcome, ClientOutcome::Disconnected, "{end:?}");
        drop(stop);
        wait_for_event(&cluster, |s| {
            matches!(
                s,
                ObservedEvent::Released {
                    how: RetentionEnd::Released,
                    ..
                }
            )
        })
        .await;
        cluster.engine(1).fault(|f| f.stall = 0.0);
        assert_clean(&cluster).await;
    });
}

/// A stop in order: nothing new is taken, what is under way ends, and the rest is failed in the stated time.
#[test]
fn a_node_stops_in_order() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 10_000;
    let cluster = build(ClusterBuilder::new(5, specs));
    block_on(async {
        let short = cluster.new_request(0, QUICK, prompt(1, 50), 10);
        let mut long = cluster.new_request(0, QUICK, prompt(2, 50), 5_000);
        long.behavior.client_timeout = 30_000_000;
        let calls = [short.request.call_id, long.request.call_id];
        let (tell, wait) = async_channel::bounded(2);
        for ask in [short, long] {
            let (one, tell) = (cluster.clone(), tell.clone());
            cluster.runtime.run(async move {
                let _ = tell.send(one.send(&ask).await.unwrap()).await;
            });
        }
        for call in calls {
            wait_for_event(
                &cluster,
                |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
            )
            .await;
        }
        let node = cluster.node(0).unwrap();
        node.stop(3_000_000).await;
        let mut ends = [wait.recv().await.unwrap(), wait.recv().await.unwrap()];
        ends.sort_by_key(|e| e.tokens);
        assert_eq!(
            (ends[0].outcome, ends[1].outcome),
            (ClientOutcome::Served, ClientOutcome::Failed),
            "{ends:?}"
        );
        assert!(ends[1].message.contains("the node stopped"), "{ends:?}");
        assert!(!node.is_accepting());
        assert_clean(&cluster).await;
    });
}

/// The whole of it, small: several nodes, every kind of trouble, one final answer each, all rules kept, and the
/// recording replays with the same actions.
#[test]
fn a_small_bad_day_keeps_all_rules() {
    for seed in [1, 2] {
        let mut day = FaultScenario::drawn(seed, 500, &[]);
        day.load.rate = 100.0;
        // Other tests keep the machine busy beside this one.
        day.flight = 500_000;
        let report = fault_scenario::run(day).unwrap();
        assert_eq!(
            (report.audit.rules_passed(), report.audit.violations()),
            (5, vec![]),
            "{}",
            report.text()
        );
        let all = report.all();
        assert_eq!(all.broken, 0);
        assert_eq!(
            all.requests,
            all.served + all.refused + all.failed + all.given_up
        );
        assert!(all.requests >= 450, "{all:?}");
        let done = ivyward::recording::replay(&report.recording[..]).unwrap();
        assert!(done.events > 500 && done.actions > 200, "{done:?}");
    }
}
