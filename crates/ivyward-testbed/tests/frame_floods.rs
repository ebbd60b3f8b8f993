//! HTTP/2 frames without end on one client connection do not hold up another client.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::Node;
use ivyward_runtime::{Conn, RuntimeExt, RuntimeRef, SmolRuntime};
use ivyward_testbed::local_cluster::settings;
use std::net::SocketAddr;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const FRAMES_PER_WRITE: usize = 2_000;
/// The number of writes after which a flood ends. The other client has to be answered before.
const MAX_WRITES: usize = 1_000;

/// Returns a frame of the connection itself.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0, 0, payload.len() as u8, kind, 0, 0, 0, 0, 0];
    bytes.extend_from_slice(payload);
    bytes
}

/// Opens an HTTP/2 connection.
async fn connect(clients: &RuntimeRef, address: SocketAddr) -> Conn {
    let mut conn = clients.connect(address).await.unwrap();
    let begin = [PREFACE, &frame(SETTINGS, &[])].concat();
    conn.write_all(&begin).await.unwrap();
    conn
}

/// Sends a ping on a new connection, and waits for its answer.
async fn ping(clients: &RuntimeRef, address: SocketAddr) {
    const PAYLOAD: &[u8] = b"a client";
    let mut conn = connect(clients, address).await;
    conn.write_all(&frame(PING, PAYLOAD)).await.unwrap();
    let mut received = Vec::new();
    let mut buffer = [0; 256];
    while !received
        .windows(PAYLOAD.len())
        .any(|bytes| bytes == PAYLOAD)
    {
        let length = conn.read(&mut buffer).await.unwrap();
        assert!(length > 0, "the node closed the connection");
        received.extend_from_slice(&buffer[..length]);
    }
}

/// Guards against a client that keeps the node's thread with frames that the node reads for as long as there are any.
#[test]
fn frames_without_end_do_not_hold_up_other_clients() {
    let floods = [
        frame(PING, &[7; 8]),
        frame(WINDOW_UPDATE, &[0, 0, 0, 1]),
        frame(SETTINGS, &[]),
    ];
    for flood in floods {
        let smol = SmolRuntime::start(1, 1);
        let others: RuntimeRef = SmolRuntime::start(2, 2);
        let runtime: RuntimeRef = smol.clone();
        let node = Node::start(runtime.clone(), settings(), None).unwrap();
        let listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.address();
        runtime.run(async move { node.serve(listener).await });
        smol.block_on(async {
            let (flooding, wait_until_flooding) = async_channel::bounded(1);
            let (mut answers, mut frames) =
                futures_lite::io::split(connect(&others, address).await);
            // Answers are read meanwhile, so that the node never waits to write one.
            others.run(async move {
                let mut buffer = [0; 64 << 10];
                while answers.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
            });
            let batch = flood.repeat(FRAMES_PER_WRITE);
            let (ended, flood_ended) = async_channel::bounded(1);
            others.run(async move {
                let mut is_open = true;
                for _ in 0..MAX_WRITES {
                    // The node may close the connection of such a client, which ends the flood for good.
                    is_open = is_open && frames.write_all(&batch).await.is_ok();
                    let _ = flooding.try_send(());
                }
                // Kept for the assertion below only if the node has read all frames.
                let _ = ended.send(is_open).await;
            });
            wait_until_flooding.recv().await.unwrap();
            let first = or(
                async {
                    ping(&others, address).await;
                    "the other client"
                },
                async {
                    match flood_ended.recv().await {
                        Ok(true) => "the flood",
                        _ => std::future::pending().await,
                    }
                },
            );
            assert_eq!(first.await, "the other client");
        });
    }
}
