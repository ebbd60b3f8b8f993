//! The normal request path, cancellation and deadlines, on loopback sockets.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::core::interface::EndpointState;
use ivyward_fakes::event_log::{AttemptKey, CallKind, ClientOutcome, LoggedEvent, ObservedEvent};
use ivyward_fakes::{text, ClientBehavior, EngineSpec};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{fleet, ClusterBuilder};

#[test]
fn requests_are_served_with_the_whole_answer() {
    let cluster = build(ClusterBuilder::new(1, fleet(1)));
    block_on(async {
        for i in 0..20 {
            let client_request = cluster.new_request(0, QUICK, prompt(i, 400), 20);
            let end = cluster.send(&client_request).await.unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
            assert_eq!(
                end.tokens,
                text::answer(&client_request.request.prompt, 20).len() as u32
            );
        }
        assert_clean(&cluster).await;
    });
}

#[test]
fn invalid_requests_fail_with_a_reason_and_no_attempt_is_sent() {
    let cluster = build(ClusterBuilder::new(1, pools(1, 1)));
    block_on(async {
        let good = || cluster.new_request(0, QUICK, prompt(1, 10), 5);
        let mut bad = Vec::new();
        let mut client_request = good();
        client_request.request.prompt.clear();
        bad.push((client_request, "a prompt of 0 tokens"));
        let mut client_request = good();
        client_request.request.max_output_tokens = 0;
        bad.push((client_request, "max_output_tokens 0"));
        let mut client_request = good();
        client_request.request.class = "mystery".into();
        bad.push((client_request, "class \"mystery\" is none of: quick-ask"));
        let mut client_request = good();
        client_request.request.shared_opening_tokens = 11;
        bad.push((
            client_request,
            "shared_opening_tokens 11 is over the prompt's 10",
        ));
        let mut client_request = cluster.new_request(0, NOTE, prompt(1, 10), 5);
        client_request.request.idempotency_key.clear();
        bad.push((client_request, "needs an idempotency_key"));
        for (client_request, text) in bad {
            let end = cluster.send(&client_request).await.unwrap();
            assert_eq!(
                (end.outcome, end.code),
                (ClientOutcome::Failed, 3),
                "{end:?}"
            );
            assert!(end.message.contains(text), "{end:?}");
            assert_eq!(
                attempt_count(&cluster, client_request.request.call_id, CallKind::Prefill),
                0
            );
        }
        assert_clean(&cluster).await;
    });
}

/// Slows the engines down so that the test can disconnect a client at each stage of a request.
fn slow_stages(specs: &mut [EngineSpec]) {
    for spec in specs {
        spec.prefill_rate = 1_000.0;
        spec.kv_fetch_rate = 1_000.0;
        spec.token_interval = 20_000;
    }
}

#[test]
fn a_client_may_disconnect_at_any_stage() {
    let mut specs = pools(2, 2);
    slow_stages(&mut specs);
    let cluster = build(ClusterBuilder::new(1, specs));
    block_on(async {
        // Prefill and KV fetch take 100 ms each, and each of the 200 tokens of the answer takes 20 ms.
        for stage in 0..6 {
            let client_request = cluster.new_request(0, QUICK, prompt(stage, 100), 200);
            let call = client_request.request.call_id;
            let arrived = |s: &LoggedEvent| matches!(s.event, ObservedEvent::AttemptArrived { call: c, .. } if c == call);
            let key_of = |s: &LoggedEvent| match s.event {
                ObservedEvent::AttemptArrived { key, .. } => Some(key),
                _ => None,
            };
            let keys = || -> Vec<AttemptKey> {
                cluster
                    .log
                    .all()
                    .iter()
                    .filter(|s| arrived(s))
                    .filter_map(key_of)
                    .collect()
            };
            disconnect_when(&cluster, &client_request, |s| match (stage, s) {
                (0, ObservedEvent::CallStarted { call: c, .. }) => *c == call,
                (
                    1,
                    ObservedEvent::AttemptArrived {
                        call: c,
                        kind: CallKind::Prefill,
                        ..
                    },
                ) => *c == call,
                (2, ObservedEvent::Retained { key, .. }) => keys().contains(key),
                (
                    3,
                    ObservedEvent::AttemptArrived {
                        call: c,
                        kind: CallKind::Decode,
                        ..
                    },
                ) => *c == call,
                (4, ObservedEvent::Released { key, .. }) => keys().contains(key),
                (5, ObservedEvent::FirstTokenReceived { call: c }) => *c == call,
                _ => false,
            })
            .await;
            if stage == 0 {
                // The request may not have reached an engine before its client disconnected.
                cluster.wait_until_idle(10_000_000).await;
                continue;
            }
            // Every engine that received an attempt sees it end, because its stream is closed once nobody reads it.
            assert!(!keys().is_empty());
            for key in keys() {
                wait_for_event(
                    &cluster,
                    |s| matches!(s, ObservedEvent::AttemptEnded { key: k, .. } if *k == key),
                )
                .await;
            }
        }
        // The client disconnects as soon as it receives the first token.
        for i in 0..20 {
            let mut client_request = cluster.new_request(0, QUICK, prompt(i, 20), 20);
            client_request.behavior.disconnect_at_token = Some(1);
            assert_eq!(
                cluster.send(&client_request).await.unwrap().outcome,
                ClientOutcome::Disconnected
            );
        }
        assert_clean(&cluster).await;
    });
}

/// Guards against final answers that arrive just after the client stopped waiting: whichever engine hangs, the final
/// answer is sent `answer_margin` before the deadline.
#[test]
fn the_final_answer_comes_before_the_deadline_whatever_hangs() {
    // The margin is the time that the node has to send its final answer, on a machine that may be busy with other work.
    let mut make = ClusterBuilder::new(1, pools(2, 2));
    make.settings.answer_margin = 1_000_000;
    let cluster = build(make);
    block_on(async {
        for i in 0..cluster.engines() {
            cluster.engine(i).fault(|f| f.hang = true);
        }
        let client_requests = (0..40).map(|i| {
            let mut client_request = cluster.new_request(0, i % 4, prompt(i as u32, 50), 5);
            client_request.behavior.client_timeout = 1_300_000 + i as u64 * 5_000;
            client_request
        });
        for end in send_all(&cluster, client_requests.collect()).await {
            assert!(
                matches!(end.outcome, ClientOutcome::Failed | ClientOutcome::Rejected),
                "{end:?}"
            );
        }
        for i in 0..cluster.engines() {
            cluster.engine(i).fault(|f| f.hang = false);
        }
        assert_clean(&cluster).await;
    });
}

/// The call's deadline also applies to a stream that has begun: the node ends the stream as failed before the deadline.
#[test]
fn a_stream_past_the_deadline_is_ended_as_failed() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 100_000;
    let cluster = build(ClusterBuilder::new(1, specs));
    block_on(async {
        let mut client_request = cluster.new_request(0, QUICK, prompt(1, 50), 100);
        client_request.behavior.client_timeout = 1_500_000;
        let end = cluster.send(&client_request).await.unwrap();
        assert_eq!(
            (end.outcome, end.code),
            (ClientOutcome::Failed, 4),
            "{end:?}"
        );
        assert!(end.first_token_after.is_some() && end.tokens < 20);
        assert_clean(&cluster).await;
    });
}

/// For a call without a deadline, the deadline of its class applies to the first token, and none applies to the stream.
#[test]
fn without_a_deadline_the_class_counts_for_the_first_token_only() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 150_000;
    let mut make = ClusterBuilder::new(1, specs);
    make.settings.classes[QUICK].settings.deadline = 1_000_000;
    let cluster = build(make);
    block_on(async {
        let mut client_request = cluster.new_request(0, QUICK, prompt(1, 50), 12);
        client_request.behavior = ClientBehavior {
            client_timeout: 20_000_000,
            omit_deadline: true,
            ..ClientBehavior::default()
        };
        let end = cluster.send(&client_request).await.unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        assert_clean(&cluster).await;
    });
}

#[test]
fn draining_and_removed_engines_get_no_attempts_until_ready_again() {
    let cluster = build(ClusterBuilder::new(1, pools(2, 3)));
    block_on(async {
        for (round, condition) in [EndpointState::Draining, EndpointState::Removed]
            .into_iter()
            .enumerate()
        {
            for engine in [0, 2] {
                cluster.notify_all_nodes(engine, condition, None).await;
            }
            for i in 0..30 {
                let client_request =
                    cluster.new_request(0, QUICK, prompt(i + round as u32 * 100, 50), 5);
                assert_eq!(
                    cluster.send(&client_request).await.unwrap().outcome,
                    ClientOutcome::Served
                );
            }
            for engine in [0, 2] {
                cluster
                    .notify_all_nodes(engine, EndpointState::Ready, None)
                    .await;
            }
        }
        let all_events = cluster.log.all();
        let notifications = all_events
            .iter()
            .filter(|s| matches!(s.event, ObservedEvent::NodeNotified { .. }))
            .count();
        assert_eq!(notifications, 8);
        assert_clean(&cluster).await;
    });
}

/// A client that reads slowly delays only its own stream, and the number of tokens buffered for it is bounded.
#[test]
fn a_slow_client_delays_only_its_own_stream() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 0;
    let mut make = ClusterBuilder::new(1, specs);
    make.settings.max_buffered_tokens = 64;
    let cluster = build(make);
    block_on(async {
        let mut slow = cluster.new_request(0, QUICK, prompt(1, 50), 60_000);
        slow.behavior.read_pause = 400_000;
        slow.behavior.client_timeout = 60_000_000;
        let call = slow.request.call_id;
        let (disconnect, disconnected) = async_channel::bounded::<()>(1);
        let (sender, receiver) = async_channel::bounded(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            let disconnect = async {
                let _ = disconnected.recv().await;
            };
            let _ = sender
                .send(one.send_until(&slow, disconnect).await.unwrap().outcome)
                .await;
        });
        wait_for_event(
            &cluster,
            |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
        )
        .await;
        // Other requests on the same connection are not delayed: each is served while the slow one is open.
        for i in 0..20 {
            let end = cluster
                .send(&cluster.new_request(0, QUICK, prompt(i + 2, 50), 20))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        }
        drop(disconnect);
        assert_eq!(receiver.recv().await, Ok(ClientOutcome::Disconnected));
        // The engine sends at most what the client has read, the node's buffer (twice its limit) and three flow-control
        // windows of 64 KiB, where each token takes a message of at least four bytes.
        let sent = cluster.engine(1).tokens_sent();
        let bound = 4 * 64 + 2 * 64 + 3 * (64 << 10) / 4;
        assert!(
            sent < bound,
            "the engine sent {sent} tokens, expected fewer than {bound}"
        );
        assert_clean(&cluster).await;
    });
}

/// Guards against connections that break under many small frames: slow clients of one engine share its connection, and
/// neither their streams nor that of a fast client on the same connection are lost.
#[test]
fn many_slow_clients_do_not_break_the_connection_they_share() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 0;
    let mut make = ClusterBuilder::new(1, specs);
    // Forty streams at full speed keep the machine busy, so first tokens arrive late. The router must not reject
    // requests because of that, nor treat the delay as a stall. How soon a busy engine reads its sockets is not tested
    // here either.
    make.use_long_deadlines();
    make.settings.router.release_within = 20_000_000;
    make.flight = 20_000_000;
    let cluster = build(make);
    block_on(async {
        let client_requests = (0..40).map(|i| {
            let mut client_request = cluster.new_request(0, QUICK, prompt(i, 50), 20_000);
            client_request.behavior.read_pause = 200_000;
            client_request.behavior.disconnect_after = Some(1_200_000);
            // The requests are sent one after another, because the router would treat a burst as overload.
            client_request.behavior.client_timeout = 10_000_000;
            client_request
        });
        let mut receivers = Vec::new();
        for client_request in client_requests {
            let (sender, receiver) = async_channel::bounded(1);
            let one = cluster.clone();
            cluster.runtime.run(async move {
                let _ = sender.send(one.send(&client_request).await.unwrap()).await;
            });
            cluster.runtime.sleep(5_000).await;
            receivers.push(receiver);
        }
        let mut quick = cluster.new_request(0, QUICK, prompt(99, 50), 20);
        quick.behavior.client_timeout = 10_000_000;
        let quick = cluster.send(&quick).await.unwrap();
        assert_eq!(quick.outcome, ClientOutcome::Served, "{quick:?}");
        for receiver in receivers {
            let end = receiver.recv().await.unwrap();
            assert!(
                matches!(
                    end.outcome,
                    ClientOutcome::Disconnected | ClientOutcome::Rejected
                ),
                "{end:?}"
            );
        }
        assert_clean(&cluster).await;
    });
}
