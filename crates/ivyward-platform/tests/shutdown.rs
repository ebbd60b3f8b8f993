//! Shutdown on real sockets. Channels put the concurrent events in a fixed order.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::runtime::{Conn, RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward_platform::{Config, Service};
use std::sync::mpsc;

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"5",
    "limits":{"memory_mb":64,"sockets":160},
    "known":{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"prefill","cell":0,
        "state":"up","weight":1.0,"started_ms":0}]},
    "settings":{"balancers":1,"zone":0,"failure_domains":["a"],"host_types":["prefill","decode"],
        "family_info":{"kind_role":["read","write"],"let_go_by_us":300000},
        "classes":[{"name":"draft","semantics":"retryable","target_us":1500000,"deadline_us":7500000,"importance":2.0}],
        "guarantees":{"drain_grace_us":1000000,"fall_multiple":2.5,"fall_us":3000000,"start_capacity":0.4,
            "warm_after_us":10000000},
        "limits":{"try_limit":5,"retry_after":true,"max_retry_after_us":2000000,"dial_timeout_us":250000}}}"#;
const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\n\r\n";

/// The limit on client connections of a node with 160 file descriptors.
const MAX_CLIENTS: usize = 60;

/// Reads the response to a health check, and returns its status line, or `None` if the connection ends without a response.
async fn read_status_line(conn: &mut Conn) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match conn.read(&mut byte).await {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    // The body of the response is `{}`.
    conn.read_exact(&mut [0; 2]).await.ok()?;
    Some(String::from_utf8_lossy(&head).lines().next()?.to_owned())
}

/// Connections that are in the accept queue when the listener closes are served, even if evicted connections have not closed
/// yet. Closing the listener before they are accepted would reset them.
#[test]
fn connections_queued_before_the_listener_closed_are_served() {
    let node = SmolRuntime::start(1, 1);
    let clients: RuntimeRef = SmolRuntime::start(1, 2);
    node.block_on(async {
        let runtime: RuntimeRef = node.clone();
        let service = Service::start(runtime, Config::parse("test", CONFIG.as_bytes()).unwrap())
            .await
            .unwrap();
        let address = service.address();
        // Idle connections up to the node's limit: for each further one an idle one is evicted.
        let mut idle = Vec::new();
        for _ in 0..MAX_CLIENTS {
            let mut conn = clients.connect(address).await.unwrap();
            conn.write_all(HEALTH).await.unwrap();
            assert!(read_status_line(&mut conn).await.is_some());
            idle.push(conn);
        }
        // The node's only thread is blocked from here until it is resumed.
        let (blocked, wait_until_blocked) = async_channel::bounded(1);
        let (resume, wait_for_resume) = mpsc::channel::<()>();
        node.run(async move {
            blocked.send(()).await.unwrap();
            let _ = wait_for_resume.recv();
        });
        wait_until_blocked.recv().await.unwrap();
        let mut queued = Vec::new();
        for _ in 0..8 {
            let mut conn = clients.connect(address).await.unwrap();
            conn.write_all(HEALTH).await.unwrap();
            queued.push(conn);
        }
        // The stop signal to the listener is sent on this thread; then the node's thread is resumed.
        let clock = clients.clone();
        or(service.stop(), async move {
            clock.sleep(750_000).await;
            resume.send(()).unwrap();
            std::future::pending().await
        })
        .await;
        // Stops the node's runtime, as the end of the process would.
        node.stop();
        for (i, conn) in queued.iter_mut().enumerate() {
            let status = read_status_line(conn).await;
            assert!(
                status.as_deref().is_some_and(|s| s.contains("503")),
                "connection {i}: {status:?}"
            );
        }
        assert!(
            clients.connect(address).await.is_err(),
            "the node still listens"
        );
    });
}
