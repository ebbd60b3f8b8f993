//! Faults of engines and nodes on loopback sockets, one test per fault.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::core::interface::EndpointState;
use ivyward_fakes::event_log::{CallKind, ClientOutcome, ObservedEvent, RetentionEnd};
use ivyward_fakes::ResponseFault;
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::fault_scenario::{self, FaultScenario};
use ivyward_testbed::local_cluster::ClusterBuilder;

/// A prefill engine that accepts a request and never answers uses up only part of the deadline: another engine runs the
/// prefill in time.
#[test]
fn a_prefill_that_stalls_after_accepting_is_retried_in_time() {
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

/// A process that hangs keeps its sockets open. Pings detect it, and requests go to other engines.
#[test]
fn an_engine_whose_process_hangs_is_detected_by_pings() {
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

/// Each kind of invalid response fails its own attempt with a clear reason, and other requests on the same connection are
/// served.
#[test]
fn invalid_responses_fail_only_their_own_attempt() {
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
    for (response_fault, text) in wrong {
        let mut make = ClusterBuilder::new(5, pools(1, 1));
        // Longer than any pause of a busy machine, because the timeout must end the stalled stream and not the other one.
        make.settings.stream_idle_timeout = 1_000_000;
        // The other stream has 400 tokens to send beside the failing one, however long a busy machine takes.
        make.use_long_deadlines();
        let cluster = build(make);
        block_on(async {
            let long = cluster.new_request(0, QUICK, prompt(1_000, 50), 400);
            let (sender, receiver) = async_channel::bounded(1);
            let (one, call) = (cluster.clone(), long.request.call_id);
            cluster.runtime.run(async move {
                let _ = sender.send(one.send(&long).await).await;
            });
            wait_for_event(
                &cluster,
                |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
            )
            .await;
            cluster
                .engine(1)
                .fault(|f| (f.malformed, f.response_fault) = (1.0, Some(response_fault)));
            let end = cluster
                .send(&cluster.new_request(0, ORDER, prompt(1, 50), 10))
                .await
                .unwrap();
            assert_eq!(
                end.outcome,
                ClientOutcome::Failed,
                "{response_fault:?}: {end:?}"
            );
            assert!(end.message.contains(text), "{response_fault:?}: {end:?}");
            let other = receiver.recv().await.unwrap().unwrap();
            assert_eq!(
                other.outcome,
                ClientOutcome::Served,
                "{response_fault:?}: {other:?}"
            );
            cluster.engine(1).fault(|f| f.malformed = 0.0);
            assert_clean(&cluster).await;
        });
    }
}

/// Tokens after the final message are not passed on, and the request counts as served.
#[test]
fn tokens_after_the_final_message_are_discarded() {
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

/// An engine that restarts with the same id and address is used again, and the KV state that it had retained counts as lost.
#[test]
fn an_engine_that_restarts_with_the_same_id_is_used_again() {
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
        // Cold engines get little work at first. A notification without a start time ends that.
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

/// When a node dies, its clients notice at once, and engines release the KV state retained for it after their own time limit.
#[test]
fn engines_release_the_kv_state_of_a_dead_node_after_their_limit() {
    let mut specs = pools(1, 1);
    // Prefill is short; the KV fetch takes a second.
    specs[1].kv_fetch_rate = 50.0;
    (specs[0].retention, specs[1].retention) = (1_000_000, 1_000_000);
    specs[1].slots = 1;
    let mut make = ClusterBuilder::new(5, specs);
    make.nodes = 2;
    // The router must wait for the slow fetch.
    make.settings.classes[QUICK].settings.ttft_objective = 2_000_000;
    let cluster = build(make);
    block_on(async {
        // The second request waits for the only decode slot while the prefill engine retains its KV state.
        let client_requests: Vec<_> = (0..2)
            .map(|i| cluster.new_request(0, QUICK, prompt(i, 50), 5))
            .collect();
        let (sender, receiver) = async_channel::bounded(2);
        for client_request in client_requests {
            let (one, sender) = (cluster.clone(), sender.clone());
            cluster.runtime.run(async move {
                let _ = sender.send(one.send(&client_request).await.unwrap()).await;
            });
        }
        let second = |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { kind: CallKind::Decode, key, .. } if key.request == 2);
        wait_for_event(&cluster, second).await;
        cluster.kill_node(0);
        for _ in 0..2 {
            assert_eq!(
                receiver.recv().await.unwrap().outcome,
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
        // The other node shares no state with the dead one and continues to serve.
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

/// A release for an engine that cannot be reached is retried. The KV state is released as soon as the engine is reachable
/// again, well before the engine's own time limit.
#[test]
fn a_release_is_retried_until_the_engine_is_reachable() {
    let mut specs = pools(1, 1);
    specs[0].retention = 60_000_000;
    let mut make = ClusterBuilder::new(5, specs);
    // The router must wait until the client disconnects.
    make.settings.classes[QUICK].settings.ttft_objective = 2_000_000;
    let cluster = build(make);
    block_on(async {
        // The decode engine accepts the request and does not fetch the KV state.
        cluster.engine(1).fault(|f| f.stall = 1.0);
        let client_request = cluster.new_request(0, QUICK, prompt(1, 50), 5);
        let call = client_request.request.call_id;
        let (disconnect, disconnected) = async_channel::bounded::<()>(1);
        let (sender, receiver) = async_channel::bounded(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            let disconnect = async {
                let _ = disconnected.recv().await;
            };
            let _ = sender
                .send(one.send_until(&client_request, disconnect).await.unwrap())
                .await;
        });
        let arrived = move |s: &ObservedEvent| matches!(s, ObservedEvent::AttemptArrived { call: c, kind: CallKind::Decode, .. } if *c == call);
        wait_for_event(&cluster, arrived).await;
        // The connections to the prefill engine are dropped repeatedly while the release is pending.
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            while !stopped.is_closed() {
                one.engine(0).drop_connections();
                one.runtime.sleep(1_000).await;
            }
        });
        drop(disconnect);
        let end = receiver.recv().await.unwrap();
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

/// A node that stops accepts no new requests, lets open requests end, and fails those that are still open after the stated
/// time.
#[test]
fn a_stopping_node_finishes_or_fails_its_requests_in_time() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 10_000;
    let cluster = build(ClusterBuilder::new(5, specs));
    block_on(async {
        let short = cluster.new_request(0, QUICK, prompt(1, 50), 10);
        let mut long = cluster.new_request(0, QUICK, prompt(2, 50), 5_000);
        long.behavior.client_timeout = 30_000_000;
        let calls = [short.request.call_id, long.request.call_id];
        let (sender, receiver) = async_channel::bounded(2);
        for client_request in [short, long] {
            let (one, sender) = (cluster.clone(), sender.clone());
            cluster.runtime.run(async move {
                let _ = sender.send(one.send(&client_request).await.unwrap()).await;
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
        let mut ends = [
            receiver.recv().await.unwrap(),
            receiver.recv().await.unwrap(),
        ];
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

/// A short fault scenario with several nodes and every kind of fault: each request has one final answer, no rule is
/// violated, and the recording replays with the same actions.
#[test]
fn a_short_fault_scenario_violates_no_rule() {
    for seed in [1, 2] {
        let mut scenario = FaultScenario::from_seed(seed, 500, &[]);
        scenario.load.rate = 100.0;
        // Other tests run at the same time and keep the machine busy.
        scenario.in_flight_window = 500_000;
        let report = fault_scenario::run(scenario).unwrap();
        assert_eq!(
            (report.audit.rules_passed(), report.audit.violations()),
            (5, vec![]),
            "{}",
            report.text()
        );
        let all = report.all();
        assert_eq!(all.invalid, report.audit.excused_timeouts);
        assert_eq!(
            all.requests - all.invalid,
            all.served + all.rejected + all.failed + all.disconnected
        );
        assert!(all.requests >= 450, "{all:?}");
        let done = ivyward::recording::replay(&report.recording[..]).unwrap();
        assert!(done.events > 500 && done.actions > 200, "{done:?}");
    }
}
