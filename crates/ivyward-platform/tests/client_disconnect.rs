//! No attempt, neither the first nor a later one, begins more than 0.1 s after its client has disconnected.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::{timeout_at, Conn, RuntimeExt};

const MS: Micros = 1_000;
const MAX_DELAY: Micros = 100 * MS;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Closes,
    Resets,
    /// The client shuts down its sending side and still reads.
    HalfCloses,
}

const DISCONNECTS: [Disconnect; 3] = [
    Disconnect::Closes,
    Disconnect::Resets,
    Disconnect::HalfCloses,
];

/// Disconnects a client. Returns the connection of a half-close, which must stay open.
async fn disconnect(mut conn: Conn, how: Disconnect) -> Option<Conn> {
    match how {
        Disconnect::Closes => None,
        Disconnect::Resets => {
            conn.reset_on_close();
            None
        }
        Disconnect::HalfCloses => {
            conn.close().await.unwrap();
            Some(conn)
        }
    }
}

/// Sets up a deployment that allows attempts to be cancelled, and one that does not.
fn setups(
    script: impl Fn(&EngineRequest) -> EngineBehavior + Send + Sync + Clone + 'static,
) -> impl Iterator<Item = (bool, ClusterSetup)> {
    [true, false].into_iter().map(move |may_cancel| {
        let mut setup = ClusterSetup::new(script.clone());
        assert!(setup.config.contains("\"may_cancel\":true"));
        setup.config = setup.config.replace(
            "\"may_cancel\":true",
            &format!("\"may_cancel\":{may_cancel}"),
        );
        (may_cancel, setup)
    })
}

/// Returns how long after `disconnected_at` the last attempt of these requests reached an engine; 0 if before.
fn last_attempt_after(cluster: &Cluster, ids: &[String], disconnected_at: Micros) -> Micros {
    let last = cluster
        .engine_requests()
        .into_iter()
        .filter(|s| ids.contains(&s.id))
        .map(|s| s.at)
        .max();
    last.unwrap_or(0).saturating_sub(disconnected_at)
}

/// The client disconnects while the connection to the engine is being opened.
#[test]
fn disconnect_while_a_connection_is_opened() {
    for how in DISCONNECTS {
        for (may_cancel, setup) in setups(|_| EngineBehavior::Normal) {
            // Connecting takes 220 ms; the connect timeout is 250 ms.
            for engine in &setup.engines {
                setup
                    .sim
                    .set_extra_latency(setup.node.id(), engine.id(), 110 * MS);
            }
            setup.run(move |cluster| async move {
                let mut conn = cluster.connect().await;
                conn.write_all(&request("one", "draft", 4_800))
                    .await
                    .unwrap();
                cluster.runtime.sleep(50 * MS).await;
                let disconnected_at = cluster.runtime.now();
                let _open = disconnect(conn, how).await;
                cluster.runtime.sleep(3_000 * MS).await;
                let late = last_attempt_after(&cluster, &["one".into()], disconnected_at);
                // An attempt that was sent before the disconnect may arrive up to one network latency after it.
                assert!(
                    late <= MAX_DELAY,
                    "{how:?}, may cancel {may_cancel}: an attempt {late} us after"
                );
            });
        }
    }
}

/// The client disconnects during the prefill. Where attempts may not be cancelled the prefill continues; in both deployments
/// no decode follows it, and what the prefill reserved is released.
#[test]
fn disconnect_between_prefill_and_decode() {
    for how in DISCONNECTS {
        for class in ["draft", "send"] {
            for (may_cancel, setup) in setups(|received| {
                if is_prefill(received) {
                    EngineBehavior::Delayed(500 * MS)
                } else {
                    EngineBehavior::Normal
                }
            }) {
                setup.run(move |cluster| async move {
                    let mut conn = cluster.connect().await;
                    conn.write_all(&request("one", class, 4_800)).await.unwrap();
                    wait_until(&cluster.runtime, "a prefill", || {
                        cluster.attempts("one").iter().any(is_prefill)
                    })
                    .await;
                    let disconnected_at = cluster.runtime.now();
                    let _open = disconnect(conn, how).await;
                    cluster.runtime.sleep(3_000 * MS).await;
                    assert_eq!(
                        last_attempt_after(&cluster, &["one".into()], disconnected_at),
                        0,
                        "{how:?}, {class}, may cancel {may_cancel}"
                    );
                    assert_eq!(
                        (
                            cluster.service.node().open_requests(),
                            cluster.service.node().pending_releases()
                        ),
                        (0, 0)
                    );
                });
            }
        }
    }
}

/// The client disconnects while the node is sending a long body to the engine over a slow network. The last byte of the body
/// is not sent.
#[test]
fn disconnect_while_a_body_is_sent() {
    for how in DISCONNECTS {
        for (may_cancel, setup) in setups(|_| EngineBehavior::Normal) {
            // The body of 200 kB takes 2 s at 100 kB/s.
            setup.sim.update_network(|net| {
                (net.bytes_per_second, net.buffer_bytes) = (100_000, 8 << 10)
            });
            setup.run(move |cluster| async move {
                cluster.sim.update_network(|net| net.bytes_per_second = 0);
                let filler = "x".repeat(200_000);
                let body = format!(r#"{{"messages":[{{"role":"user","content":"{filler}"}}]}}"#);
                let text = String::from_utf8(request("long", "draft", 7_000)).unwrap();
                let head = text.split("\r\n\r\n").next().unwrap();
                let head = head.replace(
                    &format!("Content-Length: {}", BODY.len()),
                    &format!("Content-Length: {}", body.len()),
                );
                let mut conn = cluster.connect().await;
                conn.write_all(format!("{head}\r\n\r\n{body}").as_bytes())
                    .await
                    .unwrap();
                cluster
                    .sim
                    .update_network(|net| net.bytes_per_second = 100_000);
                cluster.runtime.sleep(300 * MS).await;
                let disconnected_at = cluster.runtime.now();
                let _open = disconnect(conn, how).await;
                cluster.runtime.sleep(6_000 * MS).await;
                assert_eq!(
                    last_attempt_after(&cluster, &["long".into()], disconnected_at),
                    0,
                    "{how:?}, may cancel {may_cancel}"
                );
            });
        }
    }
}

/// The client sends bytes behind its request, up to far more than the node buffers, and then disconnects. The node reads all
/// of them to detect the close.
#[test]
fn disconnect_behind_pipelined_bytes() {
    for how in DISCONNECTS {
        for pipelined in [100, 20_000, 300_000, 30_000_000] {
            for (may_cancel, setup) in setups(|received| {
                if is_prefill(received) {
                    EngineBehavior::Delayed(500 * MS)
                } else {
                    EngineBehavior::Normal
                }
            }) {
                setup.run(move |cluster| async move {
                    let mut conn = cluster.connect().await;
                    conn.write_all(&request("one", "draft", 4_800))
                        .await
                        .unwrap();
                    // If the node reads slowly, the client disconnects after 200 ms with a part of the bytes unsent.
                    let by = cluster.client.now() + 200 * MS;
                    let bytes = vec![b'x'; pipelined];
                    let sent = timeout_at(&cluster.client, by, conn.write_all(&bytes)).await;
                    assert!(sent.is_none_or(|s| s.is_ok()));
                    wait_until(&cluster.runtime, "a prefill", || {
                        cluster.attempts("one").iter().any(is_prefill)
                    })
                    .await;
                    let disconnected_at = cluster.runtime.now();
                    let _open = disconnect(conn, how).await;
                    cluster.runtime.sleep(3_000 * MS).await;
                    let late = last_attempt_after(&cluster, &["one".into()], disconnected_at);
                    assert!(
                        late <= MAX_DELAY,
                        "{how:?}, {pipelined} pipelined bytes, may cancel {may_cancel}: {late} us"
                    );
                });
            }
        }
    }
}

/// A client receives its response however many bytes it sent behind the request. If the node had to discard some of them,
/// the connection closes after the response; otherwise the next request is served.
#[test]
fn discarded_pipelined_bytes_close_the_connection_after_the_response() {
    for (pipelined, closes) in [(1_000, false), (300_000, true)] {
        ClusterSetup::new(|received| {
            if is_decode(received) {
                EngineBehavior::Delayed(300 * MS)
            } else {
                EngineBehavior::Normal
            }
        })
        .run(move |cluster| async move {
            let mut conn = cluster.connect().await;
            conn.write_all(&request("one", "draft", 4_800))
                .await
                .unwrap();
            let next = request("two", "draft", 4_800);
            let bytes: Vec<u8> = next
                .iter()
                .copied()
                .cycle()
                .take(next.len() * (pipelined / next.len()))
                .collect();
            conn.write_all(&bytes).await.unwrap();
            let first = read_response(&cluster.client, &mut conn).await;
            assert_eq!((first.status, first.complete), (200, true));
            let mut rest = Vec::new();
            if closes {
                let end = conn.read_to_end(&mut rest).await;
                assert!(
                    end.is_ok() && rest.is_empty(),
                    "expected a close without further bytes: {end:?}, {} bytes",
                    rest.len()
                );
            } else {
                assert_eq!(
                    read_response(&cluster.client, &mut conn).await.status,
                    200,
                    "the next request is served"
                );
            }
        });
    }
}

/// The node is paused while 300 clients send requests and disconnect. When it resumes, it sends none of these requests to
/// engines.
fn clients_of_a_busy_node_disconnect_behind(pipelined: usize) {
    for how in DISCONNECTS {
        for (may_cancel, setup) in setups(|_| EngineBehavior::Normal) {
            let (sim, node) = (setup.sim.clone(), setup.node.id());
            setup.run(move |cluster| async move {
                assert_eq!(cluster.send_request("before", "draft").await.status, 200);
                let ids: Vec<String> = (0..300).map(|n| format!("h{n}")).collect();
                let mut conns = Vec::new();
                for _ in &ids {
                    conns.push(cluster.connect().await);
                }
                sim.set_paused(node, true);
                let client = cluster.client.clone();
                let (done, wait) = async_channel::bounded(1);
                let (sent_ids, sim) = (ids.clone(), sim.clone());
                cluster.client.run(async move {
                    let mut open = Vec::new();
                    for (mut conn, id) in conns.into_iter().zip(&sent_ids) {
                        let bytes = [request(id, "draft", 4_800), vec![b'x'; pipelined]];
                        conn.write_all(&bytes.concat()).await.unwrap();
                        open.push(conn);
                    }
                    client.sleep(5 * MS).await;
                    let disconnected_at = client.now();
                    let mut half_closed = Vec::new();
                    for conn in open {
                        half_closed.extend(disconnect(conn, how).await);
                    }
                    client.sleep(300 * MS).await;
                    sim.set_paused(node, false);
                    client.sleep(3_000 * MS).await;
                    done.send((disconnected_at, half_closed)).await.unwrap();
                });
                let (disconnected_at, _half_closed) = wait.recv().await.unwrap();
                let late = last_attempt_after(&cluster, &ids, disconnected_at);
                assert!(
                    late <= MAX_DELAY,
                    "{how:?}, {pipelined} pipelined bytes, may cancel {may_cancel}: {late} us"
                );
                assert_eq!(cluster.service.node().open_requests(), 0);
            });
        }
    }
}

#[test]
fn hundreds_of_clients_disconnect_from_a_busy_node() {
    clients_of_a_busy_node_disconnect_behind(0);
}

/// Guards against a close that is not seen behind more bytes than the node keeps of them.
#[test]
fn hundreds_of_clients_disconnect_from_a_busy_node_behind_unread_bytes() {
    clients_of_a_busy_node_disconnect_behind(40_000);
}

/// Guards against a decode that is sent before the bytes are read behind which its client has closed.
#[test]
fn disconnect_behind_unread_bytes_while_the_node_is_paused_between_prefill_and_decode() {
    for how in DISCONNECTS {
        for pipelined in [1_000, 40_000, 600_000] {
            for (may_cancel, setup) in setups(|received| match is_prefill(received) {
                true => EngineBehavior::Delayed(300 * MS),
                false => EngineBehavior::Normal,
            }) {
                let (sim, node) = (setup.sim.clone(), setup.node.id());
                sim.update_network(|net| net.buffer_bytes = 1 << 20);
                setup.run(move |cluster| async move {
                    assert_eq!(cluster.send_request("before", "draft").await.status, 200);
                    let client = cluster.client.clone();
                    let mut conn = cluster.connect().await;
                    let (done, wait) = async_channel::bounded(1);
                    cluster.client.run(async move {
                        conn.write_all(&request("one", "draft", 4_800))
                            .await
                            .unwrap();
                        client.sleep(100 * MS).await;
                        sim.set_paused(node, true);
                        conn.write_all(&vec![b'x'; pipelined]).await.unwrap();
                        client.sleep(50 * MS).await;
                        let disconnected_at = client.now();
                        let open = disconnect(conn, how).await;
                        client.sleep(300 * MS).await;
                        sim.set_paused(node, false);
                        client.sleep(3_000 * MS).await;
                        done.send((disconnected_at, open)).await.unwrap();
                    });
                    let (disconnected_at, _open) = wait.recv().await.unwrap();
                    assert!(!cluster.attempts("one").is_empty());
                    let late = last_attempt_after(&cluster, &["one".into()], disconnected_at);
                    assert!(
                        late <= MAX_DELAY,
                        "{how:?}, {pipelined} pipelined bytes, may cancel {may_cancel}: {late} us"
                    );
                });
            }
        }
    }
}
