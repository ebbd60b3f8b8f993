//! The ordinary path, cancels and deadlines, on loopback sockets.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::core::interface::EndpointState;
use ivyward_fakes::event_log::{AttemptKey, CallKind, ClientOutcome, LoggedEvent, ObservedEvent};
use ivyward_fakes::{text, ClientBehavior, EngineSpec};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{fleet, ClusterBuilder};

#[test]
fn prompts_are_read_and_answered() {
    let scene = build(ClusterBuilder::new(1, fleet(1)));
    block_on(async {
        for i in 0..20 {
            let ask = scene.new_request(0, QUICK, prompt(i, 400), 20);
            let end = scene.send(&ask).await.unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
            assert_eq!(
                end.tokens,
                text::answer(&ask.request.prompt, 20).len() as u32
            );
        }
        clean(&scene).await;
    });
}

#[test]
fn bad_requests_get_a_clear_failure_and_nothing_is_sent() {
    let scene = build(ClusterBuilder::new(1, pools(1, 1)));
    block_on(async {
        let good = || scene.new_request(0, QUICK, prompt(1, 10), 5);
        let mut bad = Vec::new();
        let mut ask = good();
        ask.request.prompt.clear();
        bad.push((ask, "a prompt of 0 tokens"));
        let mut ask = good();
        ask.request.max_output_tokens = 0;
        bad.push((ask, "max_output_tokens 0"));
        let mut ask = good();
        ask.request.class = "mystery".into();
        bad.push((ask, "class \"mystery\" is none of: quick-ask"));
        let mut ask = good();
        ask.request.shared_opening_tokens = 11;
        bad.push((ask, "shared_opening_tokens 11 is over the prompt's 10"));
        let mut ask = scene.new_request(0, NOTE, prompt(1, 10), 5);
        ask.request.idempotency_key.clear();
        bad.push((ask, "needs an idempotency_key"));
        for (ask, text) in bad {
            let end = scene.send(&ask).await.unwrap();
            assert_eq!(
                (end.outcome, end.code),
                (ClientOutcome::Failed, 3),
                "{end:?}"
            );
            assert!(end.message.contains(text), "{end:?}");
            assert_eq!(attempts(&scene, ask.request.call_id, CallKind::Prefill), 0);
        }
        clean(&scene).await;
    });
}

/// Slow enough that a script can step in at each stage.
fn slow_stages(specs: &mut [EngineSpec]) {
    for spec in specs {
        spec.prefill_rate = 1_000.0;
        spec.kv_fetch_rate = 1_000.0;
        spec.token_interval = 20_000;
    }
}

#[test]
fn a_client_may_leave_at_any_stage() {
    let mut specs = pools(2, 2);
    slow_stages(&mut specs);
    let scene = build(ClusterBuilder::new(1, specs));
    block_on(async {
        // Read and fetch take 100 ms each, tokens 20 ms each; the answer has 200.
        for stage in 0..6 {
            let ask = scene.new_request(0, QUICK, prompt(stage, 100), 200);
            let call = ask.request.call_id;
            let arrived = |s: &LoggedEvent| matches!(s.event, ObservedEvent::AttemptArrived { call: c, .. } if c == call);
            let key_of = |s: &LoggedEvent| match s.event {
                ObservedEvent::AttemptArrived { key, .. } => Some(key),
                _ => None,
            };
            let keys = || -> Vec<AttemptKey> {
                scene
                    .log
                    .all()
                    .iter()
                    .filter(|s| arrived(s))
                    .filter_map(key_of)
                    .collect()
            };
            leaves_when(&scene, &ask, |s| match (stage, s) {
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
                // It may never have come so far as an engine.
                scene.wait_until_idle(10_000_000).await;
                continue;
            }
            // All engines that were asked see the end: a stream that nobody reads ends.
            assert!(!keys().is_empty());
            for key in keys() {
                seen(
                    &scene,
                    |s| matches!(s, ObservedEvent::AttemptEnded { key: k, .. } if *k == key),
                )
                .await;
            }
        }
        // In the very moment of the first token.
        for i in 0..20 {
            let mut ask = scene.new_request(0, QUICK, prompt(i, 20), 20);
            ask.behavior.disconnect_at_token = Some(1);
            assert_eq!(
                scene.send(&ask).await.unwrap().outcome,
                ClientOutcome::Disconnected
            );
        }
        clean(&scene).await;
    });
}

/// Guards against answers that come when the client has just left: whatever hangs, the final answer comes a margin
/// before the deadline.
#[test]
fn the_final_answer_comes_before_the_deadline_whatever_hangs() {
    // The margin is what the node has for its last word, on a machine that may be busy with other things.
    let mut make = ClusterBuilder::new(1, pools(2, 2));
    make.settings.answer_margin = 1_000_000;
    let scene = build(make);
    block_on(async {
        for i in 0..scene.engines() {
            scene.engine(i).fault(|f| f.hang = true);
        }
        let asks = (0..40).map(|i| {
            let mut ask = scene.new_request(0, i % 4, prompt(i as u32, 50), 5);
            ask.behavior.client_timeout = 1_300_000 + i as u64 * 5_000;
            ask
        });
        for end in all(&scene, asks.collect()).await {
            assert!(
                matches!(end.outcome, ClientOutcome::Failed | ClientOutcome::Rejected),
                "{end:?}"
            );
        }
        for i in 0..scene.engines() {
            scene.engine(i).fault(|f| f.hang = false);
        }
        clean(&scene).await;
    });
}

/// The call's deadline also ends a stream that has begun: as a failure, before it.
#[test]
fn a_stream_past_the_deadline_is_ended_as_failed() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 100_000;
    let scene = build(ClusterBuilder::new(1, specs));
    block_on(async {
        let mut ask = scene.new_request(0, QUICK, prompt(1, 50), 100);
        ask.behavior.client_timeout = 1_500_000;
        let end = scene.send(&ask).await.unwrap();
        assert_eq!(
            (end.outcome, end.code),
            (ClientOutcome::Failed, 4),
            "{end:?}"
        );
        assert!(end.first_token_after.is_some() && end.tokens < 20);
        clean(&scene).await;
    });
}

/// A call without a deadline has its class's for the first token, and none for the stream.
#[test]
fn without_a_deadline_the_class_counts_for_the_first_token_only() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 150_000;
    let mut make = ClusterBuilder::new(1, specs);
    make.settings.classes[QUICK].settings.deadline = 1_000_000;
    let scene = build(make);
    block_on(async {
        let mut ask = scene.new_request(0, QUICK, prompt(1, 50), 12);
        ask.behavior = ClientBehavior {
            client_timeout: 20_000_000,
            omit_deadline: true,
            ..ClientBehavior::default()
        };
        let end = scene.send(&ask).await.unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        clean(&scene).await;
    });
}

#[test]
fn drains_and_departures_are_kept_and_restarts_are_taken_back() {
    let scene = build(ClusterBuilder::new(1, pools(2, 3)));
    block_on(async {
        for (round, condition) in [EndpointState::Draining, EndpointState::Removed]
            .into_iter()
            .enumerate()
        {
            for engine in [0, 2] {
                scene.notify_all_nodes(engine, condition, None).await;
            }
            for i in 0..30 {
                let ask = scene.new_request(0, QUICK, prompt(i + round as u32 * 100, 50), 5);
                assert_eq!(
                    scene.send(&ask).await.unwrap().outcome,
                    ClientOutcome::Served
                );
            }
            for engine in [0, 2] {
                scene
                    .notify_all_nodes(engine, EndpointState::Ready, None)
                    .await;
            }
        }
        let all_seen = scene.log.all();
        let told = all_seen
            .iter()
            .filter(|s| matches!(s.event, ObservedEvent::NodeNotified { .. }))
            .count();
        assert_eq!(told, 8);
        clean(&scene).await;
    });
}

/// A client that reads slowly holds up its own stream alone, and what waits for it stays bounded.
#[test]
fn a_slow_client_holds_up_its_own_stream_alone() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 0;
    let mut make = ClusterBuilder::new(1, specs);
    make.settings.max_buffered_tokens = 64;
    let scene = build(make);
    block_on(async {
        let mut slow = scene.new_request(0, QUICK, prompt(1, 50), 60_000);
        slow.behavior.read_pause = 400_000;
        slow.behavior.client_timeout = 60_000_000;
        let call = slow.request.call_id;
        let (leave, left) = async_channel::bounded::<()>(1);
        let (tell, wait) = async_channel::bounded(1);
        let one = scene.clone();
        scene.runtime.run(async move {
            let leave = async {
                let _ = left.recv().await;
            };
            let _ = tell
                .send(one.send_until(&slow, leave).await.unwrap().outcome)
                .await;
        });
        seen(
            &scene,
            |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
        )
        .await;
        // Others on the same connection are not held up: each is served while the slow one waits.
        for i in 0..20 {
            let end = scene
                .send(&scene.new_request(0, QUICK, prompt(i + 2, 50), 20))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        }
        drop(leave);
        assert_eq!(wait.recv().await, Ok(ClientOutcome::Disconnected));
        // What left the engine: at most what the client took, the node's buffer (twice its bound) and three windows
        // of 64 KiB of messages of at least four bytes for each token.
        let sent = scene.engine(1).tokens_sent();
        let bound = 4 * 64 + 2 * 64 + 3 * (64 << 10) / 4;
        assert!(
            sent < bound,
            "{sent} tokens left the engine, {bound} at most"
        );
        clean(&scene).await;
    });
}

/// Guards against connections that break under many small frames: slow clients of one engine share its connection, and
/// none of them, nor a quick one beside them, loses its stream by that.
#[test]
fn many_slow_clients_do_not_break_the_connection_they_share() {
    let mut specs = pools(1, 1);
    specs[1].token_interval = 0;
    let mut make = ClusterBuilder::new(1, specs);
    // Forty streams at full speed keep the machine busy: first tokens come late, and the module is not to shed for that,
    // nor to take a wait for a stall. How soon a busy engine takes up what waits in its sockets is not the matter either.
    make.use_long_deadlines();
    make.settings.router.release_within = 20_000_000;
    make.flight = 20_000_000;
    let scene = build(make);
    block_on(async {
        let asks = (0..40).map(|i| {
            let mut ask = scene.new_request(0, QUICK, prompt(i, 50), 20_000);
            ask.behavior.read_pause = 200_000;
            ask.behavior.disconnect_after = Some(1_200_000);
            // Not all in one moment, which the module would take for overload.
            ask.behavior.client_timeout = 10_000_000;
            ask
        });
        let mut waits = Vec::new();
        for ask in asks {
            let (tell, wait) = async_channel::bounded(1);
            let one = scene.clone();
            scene.runtime.run(async move {
                let _ = tell.send(one.send(&ask).await.unwrap()).await;
            });
            scene.runtime.sleep(5_000).await;
            waits.push(wait);
        }
        let mut quick = scene.new_request(0, QUICK, prompt(99, 50), 20);
        quick.behavior.client_timeout = 10_000_000;
        let quick = scene.send(&quick).await.unwrap();
        assert_eq!(quick.outcome, ClientOutcome::Served, "{quick:?}");
        for wait in waits {
            let end = wait.recv().await.unwrap();
            assert!(
                matches!(
                    end.outcome,
                    ClientOutcome::Disconnected | ClientOutcome::Rejected
                ),
                "{end:?}"
            );
        }
        clean(&scene).await;
    });
}
