//! A client that closes or cancels has gone: no attempt, first or further, begins more than 0.1 s after that.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::{before, Conn, RuntimeExt};

const MS: Micros = 1_000;
const WITHIN: Micros = 100 * MS;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Closes,
    Resets,
    /// It ends its sending and still reads.
    HalfCloses,
}

const WAYS: [Leaves; 3] = [Leaves::Closes, Leaves::Resets, Leaves::HalfCloses];

/// Leaves, and returns what has to stay open for that.
async fn leave(mut conn: Conn, how: Leaves) -> Option<Conn> {
    match how {
        Leaves::Closes => None,
        Leaves::Resets => {
            conn.reset_on_close();
            None
        }
        Leaves::HalfCloses => {
            conn.close().await.unwrap();
            Some(conn)
        }
    }
}

/// Deployments that allow attempts to be called off, and such that do not.
fn rigs(
    script: impl Fn(&Seen) -> Play + Send + Sync + Clone + 'static,
) -> impl Iterator<Item = (bool, Rig)> {
    [true, false].into_iter().map(move |may| {
        let mut rig = Rig::new(script.clone());
        assert!(rig.config.contains("\"may_cancel\":true"));
        rig.config = rig
            .config
            .replace("\"may_cancel\":true", &format!("\"may_cancel\":{may}"));
        (may, rig)
    })
}

/// When the last attempt of these requests came to an engine, after `gone`.
fn latest(scene: &Scene, ids: &[String], gone: Micros) -> Micros {
    let came = scene
        .seen()
        .into_iter()
        .filter(|s| ids.contains(&s.id))
        .map(|s| s.at)
        .max();
    came.unwrap_or(0).saturating_sub(gone)
}

/// Connections to engines come up late, and the client leaves meanwhile.
#[test]
fn while_a_connection_is_being_opened() {
    for how in WAYS {
        for (may, rig) in rigs(|_| Play::Usual) {
            // A dial takes 220 ms, of 250 that it may take.
            for engine in &rig.engines {
                rig.sim.lag(rig.node.id(), engine.id(), 110 * MS);
            }
            rig.play(move |scene| async move {
                let mut conn = scene.connect().await;
                conn.write_all(&request("one", "draft", 4_800))
                    .await
                    .unwrap();
                scene.runtime.sleep(50 * MS).await;
                let gone = scene.runtime.now();
                let _held = leave(conn, how).await;
                scene.runtime.sleep(3_000 * MS).await;
                let late = latest(&scene, &["one".into()], gone);
                // What had left before is on its way as long.
                assert!(
                    late <= WITHIN,
                    "{how:?}, may cancel {may}: an attempt {late} us after"
                );
            });
        }
    }
}

/// The read goes on where it may not be called off, and no write follows it.
#[test]
fn between_read_and_write() {
    for how in WAYS {
        for class in ["draft", "send"] {
            for (may, rig) in rigs(|seen| {
                if reads(seen) {
                    Play::Late(500 * MS)
                } else {
                    Play::Usual
                }
            }) {
                rig.play(move |scene| async move {
                    let mut conn = scene.connect().await;
                    conn.write_all(&request("one", class, 4_800)).await.unwrap();
                    until(&scene.runtime, "a read", || {
                        scene.sends("one").iter().any(reads)
                    })
                    .await;
                    let gone = scene.runtime.now();
                    let _held = leave(conn, how).await;
                    scene.runtime.sleep(3_000 * MS).await;
                    assert_eq!(
                        latest(&scene, &["one".into()], gone),
                        0,
                        "{how:?}, {class}, may cancel {may}"
                    );
                    assert_eq!(
                        (
                            scene.service.node().open_requests(),
                            scene.service.node().pending_releases()
                        ),
                        (0, 0)
                    );
                });
            }
        }
    }
}

/// A long body leaves slowly: its last byte stays here.
#[test]
fn while_a_body_is_being_sent() {
    for how in WAYS {
        for (may, rig) in rigs(|_| Play::Usual) {
            // 200 kB at 100 kB a second.
            rig.sim
                .net(|net| (net.rate, net.buffer) = (100_000, 8 << 10));
            rig.play(move |scene| async move {
                scene.sim.net(|net| net.rate = 0);
                let filler = "x".repeat(200_000);
                let body = format!(r#"{{"messages":[{{"role":"user","content":"{filler}"}}]}}"#);
                let text = String::from_utf8(request("long", "draft", 7_000)).unwrap();
                let head = text.split("\r\n\r\n").next().unwrap();
                let head = head.replace(
                    &format!("Content-Length: {}", BODY.len()),
                    &format!("Content-Length: {}", body.len()),
                );
                let mut conn = scene.connect().await;
                conn.write_all(format!("{head}\r\n\r\n{body}").as_bytes())
                    .await
                    .unwrap();
                scene.sim.net(|net| net.rate = 100_000);
                scene.runtime.sleep(300 * MS).await;
                let gone = scene.runtime.now();
                let _held = leave(conn, how).await;
                scene.runtime.sleep(6_000 * MS).await;
                assert_eq!(
                    latest(&scene, &["long".into()], gone),
                    0,
                    "{how:?}, may cancel {may}"
                );
            });
        }
    }
}

/// More bytes than the node keeps wait behind the request, and then the client's end.
#[test]
fn behind_pipelined_bytes() {
    for how in WAYS {
        for more in [100, 20_000, 300_000, 30_000_000] {
            for (may, rig) in rigs(|seen| {
                if reads(seen) {
                    Play::Late(500 * MS)
                } else {
                    Play::Usual
                }
            }) {
                rig.play(move |scene| async move {
                    let mut conn = scene.connect().await;
                    conn.write_all(&request("one", "draft", 4_800))
                        .await
                        .unwrap();
                    // A client that is not read any more leaves with a part of it unsent.
                    let by = scene.client.now() + 200 * MS;
                    let sent = before(&scene.client, by, conn.write_all(&vec![b'x'; more])).await;
                    assert!(sent.is_none_or(|s| s.is_ok()));
                    until(&scene.runtime, "a read", || {
                        scene.sends("one").iter().any(reads)
                    })
                    .await;
                    let gone = scene.runtime.now();
                    let _held = leave(conn, how).await;
                    scene.runtime.sleep(3_000 * MS).await;
                    let late = latest(&scene, &["one".into()], gone);
                    assert!(
                        late <= WITHIN,
                        "{how:?}, {more} behind, may cancel {may}: {late} us"
                    );
                });
            }
        }
    }
}

/// A client that waits gets its answer though it sent much behind its request; the connection ends after it.
#[test]
fn much_behind_a_request_ends_the_connection_after_the_answer() {
    for (more, closes) in [(1_000, false), (300_000, true)] {
        Rig::new(|seen| {
            if writes(seen) {
                Play::Late(300 * MS)
            } else {
                Play::Usual
            }
        })
        .play(move |scene| async move {
            let mut conn = scene.connect().await;
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
            let first = got(&scene.client, &mut conn).await;
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
                    got(&scene.client, &mut conn).await.status,
                    200,
                    "the next one is read"
                );
            }
        });
    }
}

/// The node stands still while hundreds of clients send and leave: what it finds when it goes on is over.
#[test]
fn hundreds_leave_a_node_that_is_busy() {
    for how in WAYS {
        for (may, rig) in rigs(|_| Play::Usual) {
            let (sim, node) = (rig.sim.clone(), rig.node.id());
            rig.play(move |scene| async move {
                assert_eq!(scene.ask("before", "draft").await.status, 200);
                let ids: Vec<String> = (0..300).map(|n| format!("h{n}")).collect();
                let mut conns = Vec::new();
                for _ in &ids {
                    conns.push(scene.connect().await);
                }
                sim.freeze(node, true);
                let client = scene.client.clone();
                let (done, wait) = async_channel::bounded(1);
                let (sent, sims) = (ids.clone(), sim.clone());
                scene.client.run(async move {
                    let mut held = Vec::new();
                    for (mut conn, id) in conns.into_iter().zip(&sent) {
                        conn.write_all(&request(id, "draft", 4_800)).await.unwrap();
                        held.push(conn);
                    }
                    client.sleep(5 * MS).await;
                    let gone = client.now();
                    let mut kept = Vec::new();
                    for conn in held {
                        kept.extend(leave(conn, how).await);
                    }
                    client.sleep(300 * MS).await;
                    sims.freeze(node, false);
                    client.sleep(3_000 * MS).await;
                    done.send((gone, kept)).await.unwrap();
                });
                let (gone, _kept) = wait.recv().await.unwrap();
                let late = latest(&scene, &ids, gone);
                assert!(late <= WITHIN, "{how:?}, may cancel {may}: {late} us");
                assert_eq!(scene.service.node().open_requests(), 0);
            });
        }
    }
}
