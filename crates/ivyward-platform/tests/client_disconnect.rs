//! No attempt, first or further, begins more than 0.1 s after its client has disconnected.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::{before, Conn, RuntimeExt};

const MS: Micros = 1_000;
const MAX_DELAY: Micros = 100 * MS;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Closes,
    Resets,
    /// It ends its sending and still reads.
    HalfCloses,
}

const DISCONNECTS: [Disconnect; 3] = [
    Disconnect::Closes,
    Disconnect::Resets,
    Disconnect::HalfCloses,
];

/// Disconnects, and returns what has to stay open for that.
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

/// Deployments in which attempts may be cancelled, and in which they may not.
fn setups(
    script: impl Fn(&EngineRequest) -> EngineBehavior + Send + Sync + Clone + 'static,
) -> impl Iterator<Item = (bool, ClusterSetup)> {
    [true, false].into_iter().map(move |may| {
        let mut setup = ClusterSetup::new(script.clone());
        assert!(setup.config.contains("\"may_cancel\":true"));
        setup.config = setup
            .config
            .replace("\"may_cancel\":true", &format!("\"may_cancel\":{may}"));
        (may, setup)
    })
}

/// How long after `disconnected_at` the last attempt of these requests reached an engine.
fn last_attempt_after(cluster: &Cluster, ids: &[String], disconnected_at: Micros) -> Micros {
    let came = cluster
        .engine_requests()
        .into_iter()
        .filter(|s| ids.contains(&s.id))
        .map(|s| s.at)
        .max();
    came.unwrap_or(0).saturating_sub(disconnected_at)
}

/// Connections to engines come up late, and the client disconnects meanwhile.
#[test]
fn disconnect_while_a_connection_is_opened() {
    for how in DISCONNECTS {
        for (may, setup) in setups(|_| EngineBehavior::Normal) {
            // A dial takes 220 ms, of 250 that it may take.
            for engine in &setup.engines {
                setup.sim.lag(setup.node.id(), engine.id(), 110 * MS);
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
                // What had left before is on its way as long.
                assert!(
                    late <= MAX_DELAY,
                    "{how:?}, may cancel {may}: an attempt {late} us after"
                );
            });
        }
    }
}

/// The prefill goes on where it may not be cancelled, and no decode follows it.
#[test]
fn disconnect_between_prefill_and_decode() {
    for how in DISCONNECTS {
        for class in ["draft", "send"] {
            for (may, setup) in setups(|received| {
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
                        "{how:?}, {class}, may cancel {may}"
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

/// A long body is sent slowly: its last byte is never sent.
#[test]
fn disconnect_while_a_body_is_sent() {
    for how in DISCONNECTS {
        for (may, setup) in setups(|_| EngineBehavior::Normal) {
            // 200 kB at 100 kB a second.
            setup
                .sim
                .net(|net| (net.rate, net.buffer) = (100_000, 8 << 10));
            setup.run(move |cluster| async move {
                cluster.sim.net(|net| net.rate = 0);
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
                cluster.sim.net(|net| net.rate = 100_000);
                cluster.runtime.sleep(300 * MS).await;
                let disconnected_at = cluster.runtime.now();
                let _open = disconnect(conn, how).await;
                cluster.runtime.sleep(6_000 * MS).await;
                assert_eq!(
                    last_attempt_after(&cluster, &["long".into()], disconnected_at),
                    0,
                    "{how:?}, may cancel {may}"
                );
            });
        }
    }
}

/// More bytes than the node keeps wait behind the request, and then the client's close.
#[test]
fn disconnect_behind_pipelined_bytes() {
    for how in DISCONNECTS {
        for more in [100, 20_000, 300_000, 30_000_000] {
            for (may, setup) in setups(|received| {
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
                    // A client that is not read any more leaves with a part of it unsent.
                    let by = cluster.client.now() + 200 * MS;
                    let sent = before(&cluster.client, by, conn.write_all(&vec![b'x'; more])).await;
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
                        "{how:?}, {more} behind, may cancel {may}: {late} us"
                    );
                });
            }
        }
    }
}

/// A client that sent much behind its request gets its response; the connection ends after it.
#[test]
fn many_pipelined_bytes_end_the_connection_after_the_response() {
    for (more, closes) in [(1_000, false), (300_000, true)] {
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
            let many: Vec<u8> = next
                .iter()
                .copied()
                .cycle()
                .take(next.len() * (more / next.len()))
                .collect();
            conn.write_all(&many).await.unwrap();
            let first = read_response(&cluster.client, &mut conn).await;
            assert_eq!((first.status, first.whole), (200, true));
            let mut rest = Vec::new();
            if closes {
                let end = conn.read_to_end(&mut rest).await;
                assert!(
                    end.is_ok() && rest.is_empty(),
                    "an orderly end: {end:?}, {} bytes",
                    rest.len()
                );
            } else {
                assert_eq!(
                    read_response(&cluster.client, &mut conn).await.status,
                    200,
                    "the next one is read"
                );
            }
        });
    }
}

/// The node is frozen while hundreds of clients send and disconnect: it serves none of them when it goes on.
#[test]
fn hundreds_of_clients_disconnect_from_a_busy_node() {
    for how in DISCONNECTS {
        for (may, setup) in setups(|_| EngineBehavior::Normal) {
            let (sim, node) = (setup.sim.clone(), setup.node.id());
            setup.run(move |cluster| async move {
                assert_eq!(cluster.send_request("before", "draft").await.status, 200);
                let ids: Vec<String> = (0..300).map(|n| format!("h{n}")).collect();
                let mut conns = Vec::new();
                for _ in &ids {
                    conns.push(cluster.connect().await);
                }
                sim.freeze(node, true);
                let client = cluster.client.clone();
                let (done, wait) = async_channel::bounded(1);
                let (sent, sims) = (ids.clone(), sim.clone());
                cluster.client.run(async move {
                    let mut open = Vec::new();
                    for (mut conn, id) in conns.into_iter().zip(&sent) {
                        conn.write_all(&request(id, "draft", 4_800)).await.unwrap();
                        open.push(conn);
                    }
                    client.sleep(5 * MS).await;
                    let disconnected_at = client.now();
                    let mut kept = Vec::new();
                    for conn in open {
                        kept.extend(disconnect(conn, how).await);
                    }
                    client.sleep(300 * MS).await;
                    sims.freeze(node, false);
                    client.sleep(3_000 * MS).await;
                    done.send((disconnected_at, kept)).await.unwrap();
                });
                let (disconnected_at, _kept) = wait.recv().await.unwrap();
                let late = last_attempt_after(&cluster, &ids, disconnected_at);
                assert!(late <= MAX_DELAY, "{how:?}, may cancel {may}: {late} us");
                assert_eq!(cluster.service.node().open_requests(), 0);
            });
        }
    }
}
