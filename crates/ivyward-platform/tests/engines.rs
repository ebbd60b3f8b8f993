//! Engines: what proves that an attempt never ran, spoilt and stalled streams, connections, and what is let go of.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward_sim::{HostId, Sim};
use std::sync::{Arc, OnceLock};

#[test]
fn a_request_is_read_then_written_and_passes_unchanged() {
    Rig::new(|_| Play::Usual).play(|scene| async move {
        for id in ["one", "two"] {
            let got = scene.ask(id, "draft").await;
            assert_eq!((got.status, got.whole), (200, true));
            assert_eq!(String::from_utf8(got.body).unwrap(), SERVED);
            let sends = scene.sends(id);
            assert_eq!(sends.len(), 2, "{sends:?}");
            assert!(
                sends[0].engine < 2 && sends[1].engine >= 2,
                "read, then written"
            );
            for send in &sends {
                assert_eq!(send.target, "/v1/chat/completions?a=b");
                assert_eq!(send.body, BODY.as_bytes());
                assert!(
                    (2_500..=4_800).contains(&send.timeout_ms),
                    "{}",
                    send.timeout_ms
                );
            }
        }
        // A place is asked for behind the read's last byte, and a connection serves again.
        let mut holds = scene
            .seen()
            .into_iter()
            .filter(|s| s.target == "/v1/holds/one" && s.method == "POST");
        let (hold, read) = (holds.next().unwrap(), &scene.sends("one")[0]);
        assert!(hold.at >= read.at && hold.engine >= 2);
        assert_eq!(
            scene.sends("one")[0].connection,
            scene.sends("two")[0].connection
        );
        assert!(
            scene.releases("one").is_empty(),
            "the stream itself lets go"
        );
    });
}

/// Engines drop the repeats of a keyed request by its `Idempotency-Key`: every attempt brings it as the client sent it, and one
/// that cannot be passed on is turned away.
#[test]
fn an_idempotency_key_reaches_every_attempt_unchanged() {
    let mut rig = Rig::new(|seen| {
        if writes(seen) && seen.engine == 2 {
            say(AWAY)
        } else {
            Play::Usual
        }
    });
    rig.config = rig.config.replace("\"retryable\"", "\"dedup\"");
    rig.play(|scene| async move {
        for n in 0..4 {
            let (id, key) = (format!("k{n}"), format!("a81b-{n}"));
            let with_key = format!("\r\nIdempotency-Key: {key}\r\nContent-Length");
            let text = String::from_utf8(request(&id, "draft", 4_800)).unwrap();
            let mut conn = scene.connect().await;
            let keyed = text.replace("\r\nContent-Length", &with_key);
            conn.write_all(keyed.as_bytes()).await.unwrap();
            assert_eq!(got(&scene.client, &mut conn).await.status, 200);
            let sends = scene.sends(&id);
            assert!(
                sends.len() >= 2 && sends.iter().all(|s| s.idempotency_key == key),
                "{sends:?}"
            );
        }
        assert!(
            scene.seen().iter().any(|s| writes(s) && s.engine == 2),
            "some were turned away and sent again"
        );
        for value in [&b""[..], b"\xff\xfe"] {
            let text = request("bad", "draft", 4_800);
            let at = text
                .windows(14)
                .position(|w| w == b"Content-Length")
                .unwrap();
            let keyed = [
                &text[..at],
                b"Idempotency-Key: ",
                value,
                b"\r\n",
                &text[at..],
            ]
            .concat();
            let mut conn = scene.connect().await;
            conn.write_all(&keyed).await.unwrap();
            assert_eq!(got(&scene.client, &mut conn).await.status, 400);
        }
        assert!(scene.sends("bad").is_empty());
    });
}

/// A keyed request that may have run at one writer is repeated at the other within its window. That one is cut off just then:
/// bytes that left on a connection of before would land when the cut ends, after the window.
#[test]
fn a_keyed_repeat_does_not_land_after_a_cut() {
    // Set when the rig stands: the network, the node's host and the engines'.
    let network: Arc<OnceLock<(Sim, HostId, Vec<HostId>)>> = Arc::default();
    let cut: Arc<OnceLock<usize>> = Arc::default();
    let (cuts, cut_now) = (network.clone(), cut.clone());
    let mut rig = Rig::new(move |seen| {
        if !writes(seen) || seen.id != "keyed" || cut_now.get().is_some() {
            return Play::Usual;
        }
        let other = 5 - seen.engine;
        let (sim, node, engines) = cuts.get().unwrap();
        sim.cut(*node, engines[other], true);
        sim.cut(engines[other], *node, true);
        cut_now.set(other).unwrap();
        Play::SayAndClose(Vec::new())
    });
    let hosts: Vec<HostId> = rig.engines.iter().map(|e| e.id()).collect();
    assert!(network.set((rig.sim.clone(), rig.node.id(), hosts)).is_ok());
    let keyed = rig.config.replace("\"fragile\"", "\"dedup\"");
    rig.config = keyed.replace("\"key_ttl_us\":5000000", "\"key_ttl_us\":1000000");
    rig.play(move |scene| async move {
        // Connections to both writers, idle for less than they are kept.
        while !(2..4).all(|engine| scene.seen().iter().any(|s| writes(s) && s.engine == engine)) {
            let id = format!("warm{}", scene.seen().len());
            assert_eq!(scene.ask(&id, "send").await.status, 200);
        }
        let mut conn = scene.connect().await;
        conn.write_all(&request("keyed", "send", 4_800))
            .await
            .unwrap();
        until(&scene.runtime, "a write", || cut.get().is_some()).await;
        let other = *cut.get().unwrap();
        scene.runtime.sleep(3_000_000).await;
        scene.cut(&[other], false);
        got(&scene.client, &mut conn).await;
        scene.runtime.sleep(2_000_000).await;
        let writes: Vec<Seen> = scene.sends("keyed").into_iter().filter(writes).collect();
        assert_eq!(writes.len(), 1, "{writes:?}");
    });
}

/// Spoilt before the first event: the attempt may have run, so a safe request is sent again and an unsafe one is not.
#[test]
fn what_is_spoilt_before_its_first_event_may_have_run() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    let spoilt = [
        "\x01\x02\x03 noise \r\n\r\n".to_owned(),
        format!("{head}X-Long: {}", "y".repeat(40_000)),
        format!("{head}Content-Length: 5\r\n\r\n5\r\ndata:\r\n"),
        format!("{head}\r\nzz\r\ndata: {{}}\n\n\r\n"),
        format!("{head}\r\nbb800000\r\n{}", "a".repeat(5_000)),
        format!("{head}\r\n5\r\ndata:\r\nqq\r\n"),
        format!("{head}\r\n7\r\nnoise\n\n\r\n"),
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".to_owned(),
        // Without its own word that nothing ran, a status proves nothing.
        "HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: {}\n".to_owned(),
    ];
    for (i, noise) in spoilt.into_iter().enumerate() {
        let spoil = noise.clone();
        let rig = Rig::new(move |seen| match writes(seen) && seen.engine == 2 {
            true => say(&spoil),
            false => Play::Usual,
        });
        rig.play(move |scene| async move {
            for n in 0..6 {
                let (safe, once) = (format!("safe{n}"), format!("once{n}"));
                let got = scene.ask(&safe, "draft").await;
                assert_eq!((got.status, got.whole), (200, true), "spoilt {i}");
                assert_eq!(got.body, SERVED.as_bytes(), "spoilt {i}");
                let got = scene.ask(&once, "send").await;
                let sends: Vec<Seen> = scene.sends(&once).into_iter().filter(writes).collect();
                assert_eq!(sends.len(), 1, "spoilt {i}: no effect twice");
                let want = if sends[0].engine == 2 { 502 } else { 200 };
                assert_eq!(got.status, want, "spoilt {i}");
                scene.runtime.sleep(3_000_000).await;
            }
            let met = scene
                .seen()
                .iter()
                .filter(|s| writes(s) && s.engine == 2)
                .count();
            assert!(
                met >= 2,
                "spoilt {i}: the spoilt engine was met {met} times"
            );
        });
    }
}

/// An engine's own word that nothing ran lets an unsafe request go elsewhere; so does a connection that never came up.
#[test]
fn what_never_ran_is_sent_again() {
    for status in [503, 504, 410] {
        let turned = std::sync::Mutex::new(std::collections::BTreeSet::new());
        let rig = Rig::new(move |seen| {
            let first =
                writes(seen) && seen.engine == 2 && turned.lock().unwrap().insert(seen.id.clone());
            match first {
                true => say(&format!(
                    "HTTP/1.1 {status} No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                )),
                false => Play::Usual,
            }
        });
        rig.play(move |scene| async move {
            for n in 0..4 {
                let got = scene.ask(&format!("r{n}"), "send").await;
                assert_eq!((got.status, got.whole), (200, true), "{status}");
            }
            assert!(
                scene.seen().iter().any(|s| writes(s) && s.engine == 2),
                "{status}: never met"
            );
        });
    }
    let rig = Rig::new(|_| Play::Usual);
    rig.sim.kill(rig.engines[2].id(), true);
    rig.play(|scene| async move {
        for n in 0..4 {
            assert_eq!(scene.ask(&format!("r{n}"), "send").await.status, 200);
        }
    });
}

/// After the first event the stream is the client's: it ends without its last chunk, and nothing is sent again.
#[test]
fn what_is_spoilt_later_breaks_the_clients_stream() {
    for noise in [
        "zz\r\n",
        "5\r\ndata:qq",
        "bb800000\r\ndata: {}\n\n",
        "9\r\nnoise!!\n\n\r\n",
        "0\r\n\r\n",
        "",
    ] {
        let rig = Rig::new(move |seen| match writes(seen) {
            true => Play::AfterFirst(noise.as_bytes().to_vec()),
            false => Play::Usual,
        });
        rig.play(move |scene| async move {
            let got = scene.ask("one", "draft").await;
            assert_eq!((got.status, got.whole), (200, false), "{noise:?}");
            assert!(
                SERVED.as_bytes().starts_with(&got.body) && !got.body.is_empty(),
                "{noise:?}"
            );
            assert!(
                got.at - got.last < 5_000_000,
                "{noise:?}: left waiting {} us",
                got.at - got.last
            );
            scene.runtime.sleep(1_000_000).await;
            assert_eq!(
                scene.sends("one").iter().filter(|s| writes(s)).count(),
                1,
                "{noise:?}"
            );
            // The engine's connection ended too.
            let at = scene
                .sends("one")
                .into_iter()
                .find(writes)
                .unwrap()
                .connection;
            assert!(
                scene.book.lock().unwrap().closed.iter().any(|c| c.1 == at),
                "{noise:?}"
            );
        });
    }
}

/// More than belongs to an answer is survived, and its connection is not used again where it stays unclear.
#[test]
fn extras_around_a_good_answer_are_survived() {
    let body = format!("{:x}\r\n{SERVED}\r\n0\r\n\r\n", SERVED.len());
    let head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Server-Load: TEXT inflight=\x7e, util\r\n\r\n";
    let second = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhey";
    let extras = [
        (
            format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n{head}{body}"),
            true,
        ),
        (format!("{head}{body}{second}"), false),
    ];
    for (extra, again) in extras {
        let rig = Rig::new(move |seen| {
            if writes(seen) {
                say(&extra)
            } else {
                Play::Usual
            }
        });
        rig.play(move |scene| async move {
            let mut connections = Vec::new();
            for n in 0..8 {
                let id = format!("r{n}");
                let got = scene.ask(&id, "draft").await;
                assert_eq!(
                    (got.status, got.whole, got.body.as_slice()),
                    (200, true, SERVED.as_bytes())
                );
                connections.extend(
                    scene
                        .sends(&id)
                        .iter()
                        .filter(|s| writes(s))
                        .map(|s| s.connection),
                );
                scene.runtime.sleep(10_000).await;
            }
            let all = connections.len();
            connections.sort_unstable();
            connections.dedup();
            assert_eq!(connections.len() < all, again, "{connections:?} of {all}");
        });
    }
}

/// A read that was not used is let go of in time, and not before its last attempt is over.
#[test]
fn what_is_held_is_let_go_in_time() {
    let rig = Rig::new(|seen| match writes(seen) {
        true => say(AWAY),
        false => Play::Usual,
    });
    rig.play(|scene| async move {
        let got = scene.ask("one", "draft").await;
        assert_eq!(got.status, 429, "refused: nothing ran");
        assert!(got
            .retry_after
            .is_some_and(|r| r.parse::<f64>().is_ok_and(|r| r > 0.0)));
        until(&scene.runtime, "a release", || {
            !scene.releases("one").is_empty()
        })
        .await;
        let (release, last) = (
            scene.releases("one")[0].at,
            scene.sends("one").last().unwrap().at,
        );
        assert!(
            release >= last && release - last <= 300_000,
            "{} us",
            release - last
        );
    });
}

/// An attempt that is given up is over at its engine before the next one is anywhere, however much longer the first one's
/// way is: with effects that may not be repeated it would be a second copy.
#[test]
fn what_is_given_up_is_over_before_the_next_attempt_comes() {
    let rig = Rig::new(|seen| {
        match seen.engine < 2 && seen.id.starts_with('h') && seen.timeout_ms > 3_000 {
            true => Play::Silent,
            false => Play::Usual,
        }
    });
    rig.sim.lag(rig.node.id(), rig.engines[0].id(), 1_500);
    rig.play(|scene| async move {
        let mut over = 0;
        for n in 0..40 {
            // Both readers are usual ones again for the node.
            for usual in 0..4 {
                scene.ask(&format!("u{n}-{usual}"), "draft").await;
                scene.runtime.sleep(1_000_000).await;
            }
            let id = format!("h{n}");
            scene.ask(&id, "send").await;
            let sends = scene.sends(&id);
            let book = scene.book.lock().unwrap();
            for pair in sends
                .windows(2)
                .filter(|p| p[0].engine == 0 && p[0].timeout_ms > 3_000)
            {
                let end = book
                    .closed
                    .iter()
                    .find(|c| c.1 == pair[0].connection)
                    .map(|c| c.2);
                assert!(
                    end.is_some_and(|at| at <= pair[1].at),
                    "{id}: {end:?}, next at {}",
                    pair[1].at
                );
                over += 1;
            }
        }
        assert!(over > 5, "{over} attempts were given up");
    });
}

/// Behind a cut no writer's connection comes up: what was read is let go of in time all the same, however many are tried.
#[test]
fn writers_that_cannot_be_reached_keep_no_state_waiting() {
    for class in ["draft", "send"] {
        let rig = Rig::new(|_| Play::Usual);
        for writer in 2..4 {
            rig.sim.cut(rig.node.id(), rig.engines[writer].id(), true);
        }
        rig.play(move |scene| async move {
            let got = scene.ask("one", class).await;
            assert_eq!(got.status, 429, "refused: nothing ran");
            until(&scene.runtime, "a release", || {
                !scene.releases("one").is_empty()
            })
            .await;
            let reads = scene.sends("one");
            for (i, read) in reads.iter().enumerate() {
                let next = reads.get(i + 1).map_or(Micros::MAX, |r| r.at);
                let release = scene
                    .releases("one")
                    .iter()
                    .map(|r| r.at)
                    .find(|at| *at > read.at);
                let kept = release.unwrap_or(Micros::MAX).min(next) - read.at;
                assert!(
                    kept <= 300_000,
                    "{class}: what read {i} left was kept for {kept} us"
                );
            }
        });
    }
}

/// Where the engine that holds something does not answer, another one is asked: any engine takes a release.
#[test]
fn a_release_finds_an_engine_that_answers() {
    let rig = Rig::new(|seen| match (seen.method.as_str(), seen.engine) {
        ("DELETE", engine) if engine != 3 => Play::Silent,
        ("POST", engine) if engine >= 2 && !seen.id.is_empty() => Play::Silent,
        _ => Play::Usual,
    });
    rig.play(|scene| async move {
        let mut conn = scene.connect().await;
        conn.write_all(&request("one", "draft", 4_800))
            .await
            .unwrap();
        until(&scene.runtime, "a write", || {
            scene.sends("one").iter().any(writes)
        })
        .await;
        let left = scene.runtime.now();
        drop(conn);
        until(&scene.runtime, "a release", || {
            scene.releases("one").iter().any(|s| s.engine == 3)
        })
        .await;
        let took = scene.runtime.now() - left;
        assert!(took < 600_000, "{took} us");
        // Nothing is sent for a client that left.
        let sends = scene.sends("one").len();
        scene.runtime.sleep(2_000_000).await;
        assert_eq!(scene.sends("one").len(), sends);
    });
}

/// Descriptors: connections to engines stay within their bound while engines are replaced, and those to engines that
/// are gone are closed.
#[test]
fn engines_that_are_replaced_leave_no_connections() {
    let rig = Rig::new(|_| Play::Usual);
    rig.play(|scene| async move {
        for round in 0..10 {
            // The same four addresses under ids that were never there before.
            let text = list(&["up"; 4]).replace("\"s-", &format!("\"r{round}-"));
            scene.relist(text);
            scene.runtime.sleep(50_000).await;
            for n in 0..3 {
                assert_eq!(
                    scene.ask(&format!("q{round}-{n}"), "draft").await.status,
                    200
                );
            }
        }
        scene.runtime.sleep(50_000).await;
        let book = scene.book.lock().unwrap();
        assert!(book.standing <= 6, "{} connections stand", book.standing);
        assert!(
            book.connections >= 20,
            "each new engine had connections of its own: {}",
            book.connections
        );
        let metrics = scene.service.node().metrics();
        assert_eq!(
            (metrics.engines.get(), metrics.engines_known.get()),
            (4, 4),
            "the module forgot the others"
        );
        assert_eq!(scene.service.node().open_requests(), 0);
    });
}

/// A connection that ends while a request comes: an engine that got no whole request ran nothing, and the node can tell.
#[test]
fn a_connection_that_ends_under_a_coming_request_ran_nothing() {
    let rig = Rig::new(|_| Play::Usual);
    let (host, at) = (rig.sim.host(50), address(9));
    let runtime = host.runtime();
    let mut listener = runtime.listen(at).unwrap();
    let met = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let (meets, inner) = (met.clone(), runtime.clone());
    runtime.run(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            let meets = meets.clone();
            inner.run(async move {
                let mut piece = [0; 100];
                if conn.read(&mut piece).await.is_ok_and(|n| n > 0) {
                    meets.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    conn.reset_on_close();
                }
            });
        }
    });
    rig.play(move |scene| async move {
        let breaks = entry(2, "up")
            .replace("s-2", "s-9")
            .replace(&address(2).to_string(), &at.to_string());
        scene.relist(format!("{},{breaks}", list(&["up", "up", "up", "removed"])));
        scene.runtime.sleep(20_000).await;
        for n in 0..12 {
            let got = scene.ask(&format!("r{n}"), "send").await;
            assert_eq!((got.status, got.whole), (200, true), "r{n}");
            scene.runtime.sleep(2_000_000).await;
        }
        assert!(
            met.load(std::sync::atomic::Ordering::SeqCst) >= 2,
            "the engine that breaks was met"
        );
    });
}

/// Engines that end a connection kept for a tenth of a second at its next request: what may not be sent again is not
/// lost to that, and the rest learns to leave such connections alone.
#[test]
fn kept_connections_that_end_at_the_next_request() {
    let last = std::sync::Mutex::new(std::collections::BTreeMap::new());
    let rig = Rig::new(move |seen| {
        let before = last.lock().unwrap().insert(seen.connection, seen.at);
        let idle = before.map_or(0, |b| seen.at - b);
        match !seen.id.is_empty() && (100_000..1_000_000).contains(&idle) {
            true => Play::SayAndClose(Vec::new()),
            false => Play::Usual,
        }
    });
    rig.play(|scene| async move {
        let mut sends = 0;
        for n in 0..60 {
            let (id, class) = (format!("r{n}"), if n % 3 == 0 { "send" } else { "draft" });
            let got = scene.ask(&id, class).await;
            assert_eq!((got.status, got.whole), (200, true), "{id}");
            sends += scene.sends(&id).len();
            scene.runtime.sleep(250_000).await;
        }
        assert!(
            sends <= 2 * 60 + 8,
            "{} sends were lost to kept connections",
            sends - 2 * 60
        );
    });
}
