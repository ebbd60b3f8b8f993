//! Clients: what cannot be read is answered or closed in time and reaches no engine; usual ones go on beside it.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::runtime::{before, Conn, RuntimeExt};

fn changed(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(request("bad", "draft", 4_800)).unwrap();
    assert!(text.contains(from), "{from}");
    text.replace(from, to).into_bytes()
}

#[test]
fn what_cannot_be_read_gets_an_error_or_a_close_in_time() {
    let length = format!("Content-Length: {}", BODY.len());
    let mut bad: Vec<(&str, Vec<u8>)> = vec![
        (
            "head without end",
            [
                b"POST /v1/chat/completions HTTP/1.1\r\nX: ".to_vec(),
                vec![b'y'; 60_000],
            ]
            .concat(),
        ),
        ("noise", vec![0; 300]),
        (
            "half a head",
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a".to_vec(),
        ),
        (
            "half a body",
            request("bad", "draft", 4_800)[..request("bad", "draft", 4_800).len() - 30].to_vec(),
        ),
        ("no byte", Vec::new()),
    ];
    let changes = [
        ("negative length", length.as_str(), "Content-Length: -4"),
        ("signed length", &length, "Content-Length: +4"),
        (
            "huge length",
            &length,
            "Content-Length: 99999999999999999999999",
        ),
        ("60 MB", &length, "Content-Length: 60000000"),
        (
            "length and coding",
            "Host: app.svc",
            "Host: app.svc\r\nTransfer-Encoding: chunked",
        ),
        (
            "two lengths",
            "Host: app.svc",
            "Host: app.svc\r\nContent-Length: 3",
        ),
        ("coding", &length, "Transfer-Encoding: gzip"),
        ("class", "X-Priority-Class: draft", "X-Priority-Class: gold"),
        ("no class", "X-Priority-Class: draft\r\n", ""),
        ("tenant", "X-Tenant-Id: acme", "X-Tenant-Id: nobody"),
        ("deadline", "X-Timeout-Ms: 4800", "X-Timeout-Ms: soon"),
        (
            "negative deadline",
            "X-Timeout-Ms: 4800",
            "X-Timeout-Ms: -1",
        ),
        ("no deadline", "X-Timeout-Ms: 4800\r\n", ""),
        ("no id", "X-Request-ID: bad\r\n", ""),
        ("empty id", "X-Request-ID: bad", "X-Request-ID: "),
        ("tokens", "prompt_len=40", "prompt_len=1e300"),
        ("negative tokens", "prompt_len=40", "prompt_len=-3"),
        ("no number of tokens", "max_out=80", "max_out=NaN"),
        ("no JSON", "{\"model\"", "[\"model\""),
        ("path", "POST /v1/chat/completions", "POST /v1/other"),
        ("method", "POST /v1", "PUT /v1"),
    ];
    bad.extend(
        changes
            .into_iter()
            .map(|(what, from, to)| (what, changed(from, to))),
    );
    Rig::new(|_| Play::Usual).play(move |scene| async move {
        for (what, bytes) in bad {
            let begun = scene.client.now();
            let mut conn = scene.connect().await;
            // The peer may close while we still write.
            let _ = conn.write_all(&bytes).await;
            let got = got(&scene.client, &mut conn).await;
            assert!(
                got.status == 0 || got.status >= 400,
                "{what}: {}",
                got.status
            );
            assert!(got.at - begun < 3_000_000, "{what}: {} us", got.at - begun);
            if !matches!(what, "no byte" | "half a head") {
                assert!(got.status >= 400, "{what}: an error, not a close");
            }
            if got.status >= 400 {
                let said: serde_json::Value = serde_json::from_slice(&got.body).expect(what);
                assert!(said["error"]["message"].is_string(), "{what}: {said}");
            }
            assert!(scene.seen().is_empty(), "{what}: reached an engine");
            assert_eq!(scene.service.node().open_requests(), 0, "{what}");
        }
        assert_eq!(scene.ask("good", "draft").await.status, 200);
    });
}

/// 60 MB at full speed: the error reaches a client that reads it only when all is sent, and is not held in memory.
#[test]
fn a_body_too_long_is_read_away_behind_its_error() {
    Rig::new(|_| Play::Usual).play(|scene| async move {
        let mut conn = scene.connect().await;
        let head = changed(
            &format!("Content-Length: {}", BODY.len()),
            "Content-Length: 4000000",
        );
        conn.write_all(&head).await.unwrap();
        for _ in 0..40 {
            conn.write_all(&vec![b'x'; 99_000]).await.unwrap();
        }
        assert_eq!(got(&scene.client, &mut conn).await.status, 413);
    });
}

/// The id of another client's open request is turned away, and the open one goes on unharmed.
#[test]
fn an_id_that_is_open_is_turned_away() {
    let rig = Rig::new(|seen| {
        if seen.id == "same" {
            Play::Late(400_000)
        } else {
            Play::Usual
        }
    });
    rig.play(|scene| async move {
        let mut first = scene.connect().await;
        first
            .write_all(&request("same", "send", 4_800))
            .await
            .unwrap();
        until(&scene.runtime, "an attempt", || {
            !scene.sends("same").is_empty()
        })
        .await;
        assert_eq!(scene.ask("same", "send").await.status, 409);
        let got = got(&scene.client, &mut first).await;
        assert_eq!((got.status, got.whole), (200, true));
        assert_eq!(scene.sends("same").len(), 2, "one read, one write");
        // Once it is answered the id may come again.
        assert_eq!(scene.ask("same", "send").await.status, 200);
    });
}

/// More silent connections than descriptors: a usual client is served beside them, on a connection that was there before
/// and on a new one, and the node's own connections stay within their bound.
#[test]
fn silent_connections_crowd_nobody_out() {
    let rig = Rig::with(160, |_| Play::Usual);
    let bound = rig.config().bounds.client_connections;
    rig.play(move |scene| async move {
        let mut old = scene.connect().await;
        old.write_all(&request("old0", "draft", 4_800))
            .await
            .unwrap();
        assert_eq!(got(&scene.client, &mut old).await.status, 200);
        let mut silent: Vec<Conn> = Vec::new();
        for n in 0..5 * bound {
            silent.push(scene.connect().await);
            if n % bound == 0 {
                assert_eq!(scene.ask(&format!("new{n}"), "draft").await.status, 200);
            }
        }
        old.write_all(&request("old1", "draft", 4_800))
            .await
            .unwrap();
        assert_eq!(
            got(&scene.client, &mut old).await.status,
            200,
            "the silent ones go first"
        );
        let mut open = 0;
        for conn in &mut silent {
            let mut byte = [0];
            let ended = before(&scene.client, scene.client.now() + 1, conn.read(&mut byte)).await;
            open += usize::from(ended.is_none());
        }
        assert!(open <= bound, "{open} silent connections stand of {bound}");
        // And the rest of them within 3 s of their connecting.
        scene.client.sleep(2_500_000).await;
        for conn in &mut silent {
            let mut byte = [0];
            assert!(
                before(&scene.client, scene.client.now() + 1, conn.read(&mut byte))
                    .await
                    .is_some()
            );
        }
    });
}

/// A flood of requests past the bound on what is open: each one gets an answer, and the refusals came of nothing sent.
#[test]
fn a_flood_is_answered_to_the_last() {
    let rig = Rig::with(256, |seen| {
        if seen.engine >= 2 {
            Play::Late(200_000)
        } else {
            Play::Usual
        }
    });
    rig.play(|scene| async move {
        let (done, answers) = async_channel::unbounded();
        for n in 0..300 {
            let (client, address, done) = (scene.client.clone(), scene.address, done.clone());
            scene.client.run(async move {
                let id = format!("f{n}");
                let got = match client.connect(address).await {
                    Ok(mut conn) => {
                        let _ = conn.write_all(&request(&id, "draft", 3_000)).await;
                        got(&client, &mut conn).await
                    }
                    Err(_) => Got::default(),
                };
                let _ = done.send((id, got)).await;
            });
        }
        drop(done);
        let mut served = 0;
        while let Ok((id, got)) = answers.recv().await {
            served += usize::from(got.status == 200 && got.whole);
            if got.status == 503 {
                assert!(
                    scene.sends(&id).is_empty(),
                    "{id} was refused by the door and sent all the same"
                );
            }
            assert!(got.status != 200 || got.whole, "{id} was cut");
        }
        assert!(served > 20, "{served} served");
        assert_eq!(scene.service.node().open_requests(), 0);
    });
}

/// Bytes behind an open request wait for its end, and are then a request like any other.
#[test]
fn requests_on_one_connection_are_answered_in_turn() {
    Rig::new(|_| Play::Usual).play(|scene| async move {
        let mut conn = scene.connect().await;
        let both = [request("a", "draft", 4_800), request("b", "draft", 4_800)].concat();
        conn.write_all(&both).await.unwrap();
        for _ in 0..2 {
            let got = got(&scene.client, &mut conn).await;
            assert_eq!((got.status, got.whole), (200, true));
        }
        assert_eq!(scene.sends("b").len(), 2);
    });
}

/// A client that goes away takes its attempt along: the engine's connection ends.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let rig = Rig::new(|seen| {
        if seen.engine >= 2 {
            Play::Silent
        } else {
            Play::Usual
        }
    });
    rig.play(|scene| async move {
        let mut conn = scene.connect().await;
        conn.write_all(&request("one", "send", 4_800))
            .await
            .unwrap();
        until(&scene.runtime, "a write", || scene.sends("one").len() == 2).await;
        let at = scene.sends("one")[1].connection;
        drop(conn);
        let closed = || scene.book.lock().unwrap().closed.iter().any(|c| c.1 == at);
        let left = scene.runtime.now();
        until(&scene.runtime, "a close", closed).await;
        assert!(scene.runtime.now() - left < 50_000);
        assert_eq!(scene.service.node().open_requests(), 0);
    });
}

/// The client's time: a request that no engine answers has failed before it ends, and nothing is sent later.
#[test]
fn a_request_without_an_answer_fails_in_time() {
    let rig = Rig::new(|seen| {
        if seen.id.is_empty() {
            Play::Usual
        } else {
            Play::Silent
        }
    });
    rig.play(|scene| async move {
        let begun = scene.client.now();
        let mut conn = scene.connect().await;
        conn.write_all(&request("one", "send", 2_000))
            .await
            .unwrap();
        let got = got(&scene.client, &mut conn).await;
        assert!(matches!(got.status, 429 | 502 | 504), "{}", got.status);
        assert!(got.at - begun <= 2_010_000, "{} us", got.at - begun);
        let sends = scene.sends("one").len();
        scene.runtime.sleep(5_000_000).await;
        assert_eq!(
            scene.sends("one").len(),
            sends,
            "nothing is sent after the answer"
        );
    });
}

/// More bytes of prompts than the node may hold: those beyond are turned away, nothing was sent for them, and when the
/// others are gone a usual client is served again.
#[test]
fn prompts_past_the_bytes_that_are_held_are_turned_away() {
    let rig = Rig::new(|_| Play::Usual);
    let bound = rig.config().bounds.prompt_bytes;
    rig.play(move |scene| async move {
        let head = changed(
            &format!("Content-Length: {}", BODY.len()),
            "Content-Length: 250000",
        );
        let mut conns = Vec::new();
        for _ in 0..bound / 240_000 + 12 {
            let mut conn = scene.connect().await;
            // One that is turned away may be closed under our writing.
            let _ = conn
                .write_all(&[head.clone(), vec![b'x'; 240_000]].concat())
                .await;
            conns.push(conn);
        }
        let mut turned_away = 0;
        for conn in &mut conns {
            let got = got(&scene.client, conn).await;
            assert!(matches!(got.status, 503 | 408), "{}", got.status);
            turned_away += usize::from(got.status == 503);
        }
        assert!(
            (1..=12).contains(&turned_away),
            "{turned_away} were turned away"
        );
        assert!(scene.seen().is_empty());
        assert_eq!(scene.ask("good", "draft").await.status, 200);
    });
}

/// A request comes in the very moment in which its idle connection is told to go, and takes seconds: those who connect
/// meanwhile are taken all the same.
/// A client that takes its answer slowly and steadily gets all of it; one that takes nothing for long has gone away, and its
/// engine is let go.
#[test]
fn a_slow_reader_gets_its_whole_answer_and_a_still_one_is_closed() {
    for reads_on in [true, false] {
        let event = format!("data: {{\"x\":\"{}\"}}\n\n", "y".repeat(1_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let rest = format!(
            "{}{:x}\r\n{SERVED}\r\n0\r\n\r\n",
            chunk.repeat(60),
            SERVED.len()
        );
        let rig = Rig::new(move |seen| match writes(seen) {
            true => Play::AfterFirst(rest.clone().into_bytes()),
            false => Play::Usual,
        });
        rig.sim.net(|net| net.buffer = 2 << 10);
        rig.play(move |scene| async move {
            let mut conn = scene.connect().await;
            conn.write_all(&request("slow", "send", 4_800))
                .await
                .unwrap();
            until(&scene.runtime, "a stream", || {
                scene.sends("slow").iter().any(writes)
            })
            .await;
            if !reads_on {
                scene.runtime.sleep(12_000_000).await;
                assert_eq!(
                    scene.service.node().open_requests(),
                    0,
                    "nothing waits for it"
                );
                return;
            }
            let mut got = Vec::new();
            let mut piece = [0; 400];
            while !got.ends_with(b"0\r\n\r\n") {
                scene.client.sleep(200_000).await;
                match conn.read(&mut piece).await {
                    Ok(n) if n > 0 => got.extend_from_slice(&piece[..n]),
                    _ => break,
                }
            }
            assert!(
                got.len() > 60_000 && got.ends_with(b"0\r\n\r\n"),
                "{} bytes",
                got.len()
            );
        });
    }
}

#[test]
fn a_request_that_crosses_its_eviction_holds_up_nobody() {
    for offset in (0..300u64).step_by(10) {
        let rig = Rig::with(160, |seen| {
            if seen.id == "long" {
                Play::Late(3_000_000)
            } else {
                Play::Usual
            }
        });
        let bound = rig.config().bounds.client_connections;
        rig.sim.net(|net| net.jitter = 0);
        let (sim, node) = (rig.sim.clone(), rig.node.id());
        rig.play(move |scene| async move {
            let mut first = scene.connect().await;
            let mut rest = Vec::new();
            for _ in 1..bound {
                rest.push(scene.connect().await);
            }
            let (client, address) = (scene.client.clone(), scene.address);
            let (done, other) = async_channel::bounded(1);
            // The node comes to both at once.
            sim.freeze(node, true);
            let (asks, thaws) = (scene.client.clone(), scene.client.clone());
            scene.client.run(async move {
                asks.sleep(offset).await;
                // It may have been told to go already.
                let _ = first.write_all(&request("long", "draft", 7_000)).await;
                std::future::pending::<()>().await;
                drop(first);
            });
            scene.client.run(async move {
                // A dial takes a way there; the request may come before it, with it or after it.
                client.sleep(150).await;
                let dialled = client.connect(address).await;
                client.sleep(10_000).await;
                done.send(dialled).await.unwrap();
            });
            scene.client.run(async move {
                thaws.sleep(2_000).await;
                sim.freeze(node, false);
            });
            let _both = other.recv().await.unwrap();
            let begun = scene.client.now();
            for n in 0..3 {
                assert_eq!(scene.ask(&format!("new{n}"), "draft").await.status, 200);
            }
            let took = scene.client.now() - begun;
            assert!(took < 500_000, "offset {offset}: {took} us");
        });
    }
}
