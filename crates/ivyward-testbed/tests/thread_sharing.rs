//! The driver and the gossip task give their thread back between the many messages that may wait for them.

mod virtual_cluster;

use futures_lite::future::yield_now;
use ivyward::{Node, NodeSettings, PeerOptions};
use ivyward_core::interface::ListKind;
use ivyward_runtime::{Runtime, RuntimeExt, SmolRuntime};
use ivyward_testbed::local_cluster::settings;
use std::sync::mpsc;
use virtual_cluster::{prompt, request, virtual_cluster, HOUR};

/// Returns the largest step of `count` from 0 and from one turn of this task to the next, until `count` is at least `total`.
async fn largest_step(total: u64, count: impl Fn() -> u64) -> u64 {
    let (mut before, mut largest) = (0, 0);
    while before < total {
        let now = count();
        largest = largest.max(now - before);
        before = now;
        yield_now().await;
    }
    largest
}

/// Guards against a driver that handles all waiting messages in one turn, while no timer and no connection is served.
#[test]
fn the_driver_shares_its_thread_while_many_messages_wait() {
    const REQUESTS: u64 = 1_000;
    let cluster = virtual_cluster();
    let (node, ..) = cluster.node_with(NodeSettings {
        max_open_requests: REQUESTS as usize,
        seed: 7,
        ..settings()
    });
    let listed = cluster.listed();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        node.update_endpoints(ListKind::Full, listed).await;
        let _responses: Vec<_> = (1..=REQUESTS)
            .map(|call| node.generate(request(call, &prompt(1, 40), 1), Some(2_000_000)))
            .collect();
        let metrics = node.metrics();
        let handled = || metrics.attempts.get() + metrics.rejected.get();
        largest_step(REQUESTS, handled).await
    });
    let step = result.unwrap();
    assert!(step < REQUESTS / 2, "{step} requests in one step");
}

/// Guards against a flood of datagrams that keeps the gossip task from its commands, and all other tasks from their thread.
#[test]
fn the_gossip_task_shares_its_thread_while_many_datagrams_wait() {
    const DATAGRAMS: u64 = 120;
    let smol = SmolRuntime::start(1, 1);
    let others = SmolRuntime::start(1, 2);
    let node = Node::start(smol.clone(), settings(), None).unwrap();
    let peers = node
        .start_peers(PeerOptions::new("127.0.0.1:0".parse().unwrap()))
        .unwrap();
    let sender = others
        .bind_datagram("127.0.0.1:0".parse().unwrap())
        .unwrap();
    // The node's only thread is blocked while the datagrams are sent.
    let (blocked, wait_until_blocked) = mpsc::channel();
    let (resume, wait_for_resume) = mpsc::channel::<()>();
    smol.run(async move {
        blocked.send(()).unwrap();
        let _ = wait_for_resume.recv();
    });
    wait_until_blocked.recv().unwrap();
    for _ in 0..DATAGRAMS {
        sender.send(b"no message", peers.address()).unwrap();
    }
    let (done, step) = mpsc::channel();
    let watched = node.clone();
    smol.run(async move {
        let received = || watched.metrics().peer_datagrams_received.get();
        done.send(largest_step(DATAGRAMS, received).await).unwrap();
    });
    resume.send(()).unwrap();
    let step = step.recv().unwrap();
    assert!(step < DATAGRAMS / 2, "{step} datagrams in one step");
}
