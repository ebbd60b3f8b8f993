//! Two nodes in one process share no state, and library calls lead to the same decisions as gRPC calls. The tests run in the
//! deterministic simulation, where the times from which a node learns are the same in each run.

mod virtual_cluster;

use ivyward::registration::State;
use ivyward::watcher::WatcherOptions;
use ivyward::{FinalStatus, Node, ResponsePart};
use ivyward_core::interface::ListKind;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::{CallIdempotency, ClientOutcome};
use ivyward_fakes::{text, Client, ClientBehavior, ClientRequest, Host as Processes};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::decisions;
use ivyward_testbed::registration;
use ivyward_testbed::simulation::Hosts;
use std::sync::Arc;
use virtual_cluster::{prompt, request, virtual_cluster, HOUR};

async fn send_and_expect_served(client: &Client, request: GenerateRequest) -> u32 {
    let behavior = ClientBehavior {
        client_timeout: 2_000_000,
        ..ClientBehavior::default()
    };
    let operation = request.call_id;
    let end = client
        .send(&ClientRequest {
            request,
            operation,
            idempotency: CallIdempotency::Idempotent,
            node: 0,
            behavior,
        })
        .await;
    assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
    end.tokens
}

/// Runs sessions of several turns over gRPC, one request at a time, with or without load on a second node. Returns the
/// decisions of the first node.
fn decisions_of_script(with_other_node: bool) -> Vec<String> {
    let cluster = virtual_cluster();
    let (node, address, memory) = cluster.node(7);
    let (other, other_address, _) = cluster.node(8);
    let (listed, runtime, log) = (
        cluster.listed(),
        cluster.runtime.clone(),
        cluster.log.clone(),
    );
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed.clone()).await;
        other.update_endpoints(ListKind::Full, listed).await;
        let client = Client::connect(&runtime, &log, address).await.unwrap();
        let other_client = Client::connect(&runtime, &log, other_address)
            .await
            .unwrap();
        let mut call = 0;
        for session in 0..6u32 {
            let mut words = prompt(session, 60);
            for _ in 0..3 {
                call += 2;
                if with_other_node {
                    send_and_expect_served(&other_client, request(call, &words, session)).await;
                }
                send_and_expect_served(&client, request(call + 1, &words, session)).await;
                words.extend(text::answer(&words, 6));
                words.extend([session; 20]);
            }
        }
        node.flush_recording().await;
    });
    assert_eq!(result, Ok(()));
    // The decisions of the node can be reproduced from its own events alone.
    ivyward::recording::replay(&memory.bytes()[..]).unwrap();
    decisions(&memory.bytes()).unwrap()
}

#[test]
fn a_second_node_does_not_change_a_nodes_decisions() {
    let (alone, with_other) = (decisions_of_script(false), decisions_of_script(true));
    assert!(alone.len() > 20, "{alone:?}");
    assert_eq!(alone, with_other);
}

/// Calls through the library, without a listener, get the same decisions and the same answers as gRPC calls.
#[test]
fn library_calls_are_decided_as_grpc_calls() {
    let run = |over_grpc: bool| {
        let cluster = virtual_cluster();
        let (node, address, memory) = cluster.node(7);
        let (listed, runtime, log) = (
            cluster.listed(),
            cluster.runtime.clone(),
            cluster.log.clone(),
        );
        let answers = cluster.sim.run(&cluster.script, HOUR, async move {
            node.update_endpoints(ListKind::Full, listed).await;
            let client = Client::connect(&runtime, &log, address).await.unwrap();
            let mut answers = Vec::new();
            for i in 0..20 {
                let generate_request = request(i + 1, &prompt(i as u32 / 2, 60), i as u32 / 2);
                if over_grpc {
                    answers.push(send_and_expect_served(&client, generate_request).await);
                } else {
                    let (ids, end) = node
                        .generate(generate_request.clone(), Some(2_000_000))
                        .collect()
                        .await;
                    assert_eq!(
                        (&ids, end),
                        (
                            &text::answer(&generate_request.prompt, 6),
                            FinalStatus::Served
                        )
                    );
                    answers.push(ids.len() as u32);
                }
                // A gRPC call takes longer than a library call, so each request starts at a fixed time.
                runtime.sleep_until((i + 2) * 1_000_000).await;
            }
            node.flush_recording().await;
            answers
        });
        (decisions(&memory.bytes()).unwrap(), answers.unwrap())
    };
    assert_eq!(run(true), run(false));
}

/// Dropping the answer of a library call cancels its request, as if a client had disconnected.
#[test]
fn dropping_an_answer_cancels_the_request() {
    let cluster = virtual_cluster();
    let (node, ..) = cluster.node(13);
    let (listed, runtime) = (cluster.listed(), cluster.runtime.clone());
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        for call in 1..=5 {
            let generate_request = GenerateRequest {
                max_output_tokens: 1_000,
                ..request(call, &prompt(1, 40), 1)
            };
            let mut answer = node.generate(generate_request, None);
            assert!(matches!(answer.next().await, ResponsePart::Tokens(_)));
            drop(answer);
        }
        // Longer than a reset takes to be sent and to arrive.
        runtime.sleep(1_000_000).await;
        (node.open_requests(), node.metrics().disconnected.get())
    });
    assert_eq!(result, Ok((0, 5)));
    assert!(cluster.engines.iter().all(|e| e.retained_count() == 0));
}

/// All endpoints of the store are unreachable for a minute: the last known list stays in use and is marked stale, no pool is
/// emptied, and requests are served throughout.
#[test]
fn a_minute_without_the_store() {
    let cluster = virtual_cluster();
    let host: Arc<dyn Processes> = Arc::new(Hosts::of(&cluster.sim));
    let mut store = Store::start(&host, 1).unwrap();
    for engine in &cluster.engines {
        let (key, record) = registration::record(engine, State::Ready, 0);
        store.put(&key, &record);
    }
    let (node, address, _) = cluster.node(7);
    let (runtime, log) = (cluster.runtime.clone(), cluster.log.clone());
    let follow = WatcherOptions {
        endpoints: vec![store.address()],
        ..WatcherOptions::default()
    };
    let following = node.clone();
    cluster
        .runtime
        .run(async move { following.watch_endpoints(follow).await });
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        let until = |what: fn(&Node) -> bool| {
            let (node, runtime) = (node.clone(), runtime.clone());
            async move {
                while !what(&node) {
                    runtime.sleep(1_000).await;
                }
            }
        };
        until(|n| n.metrics().engines.get() == 5 && n.metrics().list_stale.get() == 0).await;
        let client = Client::connect(&runtime, &log, address).await.unwrap();
        store.crash();
        until(|n| n.metrics().list_stale.get() == 1).await;
        let end = runtime.now() + 60_000_000;
        let mut call = 0;
        while runtime.now() < end {
            call += 1;
            send_and_expect_served(
                &client,
                request(call, &prompt(call as u32, 60), call as u32),
            )
            .await;
            assert_eq!(
                (
                    node.metrics().engines.get(),
                    node.metrics().list_stale.get()
                ),
                (5, 1)
            );
            runtime.sleep(500_000).await;
        }
        assert!(call > 80, "{call} requests in the minute");
        store.restart().unwrap();
        until(|n| n.metrics().list_stale.get() == 0).await;
        send_and_expect_served(&client, request(call + 1, &prompt(1, 60), 1)).await;
    });
    assert_eq!(result, Ok(()));
}
