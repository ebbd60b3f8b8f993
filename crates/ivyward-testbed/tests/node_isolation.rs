//! Two nodes in one process share nothing, and a node in process decides as one behind a socket. In the virtual world,
//! where what is learned from times is the same in each run.

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

async fn served(client: &Client, request: GenerateRequest) -> u32 {
    let habit = ClientBehavior {
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
            behavior: habit,
        })
        .await;
    assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
    end.tokens
}

/// Sessions of several turns, one request at a time, by gRPC; with a busy node beside it or without.
fn scripted(neighbour: bool) -> Vec<String> {
    let stage = virtual_cluster();
    let (node, address, memory) = stage.node(7);
    let (other, its_address, _) = stage.node(8);
    let (listed, runtime, log) = (stage.listed(), stage.runtime.clone(), stage.log.clone());
    let played = stage.sim.run(&stage.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed.clone()).await;
        other.update_endpoints(ListKind::Full, listed).await;
        let client = Client::connect(&runtime, &log, address).await.unwrap();
        let beside = Client::connect(&runtime, &log, its_address).await.unwrap();
        let mut call = 0;
        for session in 0..6u32 {
            let mut words = prompt(session, 60);
            for _ in 0..3 {
                call += 2;
                if neighbour {
                    served(&beside, request(call, &words, session)).await;
                }
                served(&client, request(call + 1, &words, session)).await;
                words.extend(text::answer(&words, 6));
                words.extend([session; 20]);
            }
        }
        node.flush_recording().await;
    });
    assert_eq!(played, Ok(()));
    // Whatever it decided, its own events alone led to it.
    ivyward::recording::replay(&memory.bytes()[..]).unwrap();
    decisions(&memory.bytes()).unwrap()
}

#[test]
fn a_node_decides_the_same_alone_and_beside_another() {
    let (alone, beside) = (scripted(false), scripted(true));
    assert!(alone.len() > 20, "{alone:?}");
    assert_eq!(alone, beside);
}

/// A library user who never opens a door gets the same decisions and the same answers.
#[test]
fn in_process_calls_are_decided_as_calls_through_the_door() {
    let run = |door: bool| {
        let stage = virtual_cluster();
        let (node, address, memory) = stage.node(7);
        let (listed, runtime, log) = (stage.listed(), stage.runtime.clone(), stage.log.clone());
        let answers = stage.sim.run(&stage.script, HOUR, async move {
            node.update_endpoints(ListKind::Full, listed).await;
            let client = Client::connect(&runtime, &log, address).await.unwrap();
            let mut answers = Vec::new();
            for i in 0..20 {
                let ask = request(i + 1, &prompt(i as u32 / 2, 60), i as u32 / 2);
                if door {
                    answers.push(served(&client, ask).await);
                } else {
                    let (ids, end) = node.generate(ask.clone(), Some(2_000_000)).collect().await;
                    assert_eq!(
                        (&ids, end),
                        (&text::answer(&ask.prompt, 6), FinalStatus::Served)
                    );
                    answers.push(ids.len() as u32);
                }
                // Ways to the door take time; the next request comes at a time of its own.
                runtime.sleep_until((i + 2) * 1_000_000).await;
            }
            node.flush_recording().await;
            answers
        });
        (decisions(&memory.bytes()).unwrap(), answers.unwrap())
    };
    assert_eq!(run(true), run(false));
}

/// A handle that is dropped gives its request up, as a client that leaves.
#[test]
fn dropping_an_answer_gives_the_request_up() {
    let stage = virtual_cluster();
    let (node, ..) = stage.node(13);
    let (listed, runtime) = (stage.listed(), stage.runtime.clone());
    let played = stage.sim.run(&stage.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        for call in 1..=5 {
            let ask = GenerateRequest {
                max_output_tokens: 1_000,
                ..request(call, &prompt(1, 40), 1)
            };
            let mut answer = node.generate(ask, None);
            assert!(matches!(answer.next().await, ResponsePart::Tokens(_)));
            drop(answer);
        }
        // As long as a reset takes to be written, and to cross.
        runtime.sleep(1_000_000).await;
        (node.open_requests(), node.metrics().disconnected.get())
    });
    assert_eq!(played, Ok((0, 5)));
    assert!(stage.engines.iter().all(|e| e.retained_count() == 0));
}

/// All endpoints of the store gone for a minute: the old list stands and is marked stale, no pool is emptied, requests
/// are served all the while.
#[test]
fn a_minute_without_the_store() {
    let stage = virtual_cluster();
    let host: Arc<dyn Processes> = Arc::new(Hosts::of(&stage.sim));
    let mut store = Store::start(&host, 1).unwrap();
    for engine in &stage.engines {
        let (key, record) = registration::record(engine, State::Ready, 0);
        store.put(&key, &record);
    }
    let (node, address, _) = stage.node(7);
    let (runtime, log) = (stage.runtime.clone(), stage.log.clone());
    let follow = WatcherOptions {
        endpoints: vec![store.address()],
        ..WatcherOptions::default()
    };
    let following = node.clone();
    stage
        .runtime
        .run(async move { following.watch_endpoints(follow).await });
    let played = stage.sim.run(&stage.script, HOUR, async move {
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
            served(
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
        served(&client, request(call + 1, &prompt(1, 60), 1)).await;
    });
    assert_eq!(played, Ok(()));
}
