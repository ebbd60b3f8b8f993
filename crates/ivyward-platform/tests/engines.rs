//! Engines: what proves that an attempt never ran, malformed and stalled streams, connections, and releases.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward_sim::{HostId, Sim};
use std::sync::{Arc, OnceLock};

#[test]
fn a_request_is_prefilled_then_decoded_and_passed_on_unchanged() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        for id in ["one", "two"] {
            let response = cluster.send_request(id, "draft").await;
            assert_eq!((response.status, response.whole), (200, true));
            assert_eq!(String::from_utf8(response.body).unwrap(), SERVED_EVENTS);
            let sends = cluster.attempts(id);
            assert_eq!(sends.len(), 2, "{sends:?}");
            assert!(
                sends[0].engine < 2 && sends[1].engine >= 2,
                "prefilled, then decoded"
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
        // A reservation follows the prefill's last byte, and its connection is reused.
        let mut holds = cluster
            .engine_requests()
            .into_iter()
            .filter(|s| s.target == "/v1/holds/one" && s.method == "POST");
        let (hold, read) = (holds.next().unwrap(), &cluster.attempts("one")[0]);
        assert!(hold.at >= read.at && hold.engine >= 2);
        assert_eq!(
            cluster.attempts("one")[0].connection,
            cluster.attempts("two")[0].connection
        );
        assert!(
            cluster.releases("one").is_empty(),
            "the stream itself releases"
        );
    });
}

/// Engines deduplicate the retries of a keyed request by its `Idempotency-Key`: every attempt carries the key as the client
/// sent it, and a key that cannot be passed on is rejected.
#[test]
fn an_idempotency_key_reaches_every_attempt_unchanged() {
    let mut setup = ClusterSetup::new(|received| {
        if is_decode(received) && received.engine == 2 {
            respond_with(REJECTED_UNPROCESSED)
        } else {
            EngineBehavior::Normal
        }
    });
    setup.config = setup.config.replace("\"retryable\"", "\"dedup\"");
    setup.run(|cluster| async move {
        for n in 0..4 {
            let (id, key) = (format!("k{n}"), format!("a81b-{n}"));
            let with_key = format!("\r\nIdempotency-Key: {key}\r\nContent-Length");
            let text = String::from_utf8(request(&id, "draft", 4_800)).unwrap();
            let mut conn = cluster.connect().await;
            let keyed = text.replace("\r\nContent-Length", &with_key);
            conn.write_all(keyed.as_bytes()).await.unwrap();
            assert_eq!(read_response(&cluster.client, &mut conn).await.status, 200);
            let sends = cluster.attempts(&id);
            assert!(
                sends.len() >= 2 && sends.iter().all(|s| s.idempotency_key == key),
                "{sends:?}"
            );
        }
        assert!(
            cluster
                .engine_requests()
                .iter()
                .any(|s| is_decode(s) && s.engine == 2),
            "some were rejected and retried"
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
            let mut conn = cluster.connect().await;
            conn.write_all(&keyed).await.unwrap();
            assert_eq!(read_response(&cluster.client, &mut conn).await.status, 400);
        }
        assert!(cluster.attempts("bad").is_empty());
    });
}

/// A keyed request that may have run at one decode engine is retried at the other within its window. That one is partitioned
/// just then: bytes that were sent on an older connection would arrive when the partition ends, after the window.
#[test]
fn a_keyed_retry_does_not_arrive_after_a_partition() {
    // Set once the cluster is set up: the network, the node's host and the engines'.
    let network: Arc<OnceLock<(Sim, HostId, Vec<HostId>)>> = Arc::default();
    let partitioned: Arc<OnceLock<usize>> = Arc::default();
    let (cuts, partitioned_engine) = (network.clone(), partitioned.clone());
    let mut setup = ClusterSetup::new(move |received| {
        if !is_decode(received) || received.id != "keyed" || partitioned_engine.get().is_some() {
            return EngineBehavior::Normal;
        }
        let other = 5 - received.engine;
        let (sim, node, engines) = cuts.get().unwrap();
        sim.cut(*node, engines[other], true);
        sim.cut(engines[other], *node, true);
        partitioned_engine.set(other).unwrap();
        EngineBehavior::RespondAndClose(Vec::new())
    });
    let hosts: Vec<HostId> = setup.engines.iter().map(|e| e.id()).collect();
    assert!(network
        .set((setup.sim.clone(), setup.node.id(), hosts))
        .is_ok());
    let keyed = setup.config.replace("\"fragile\"", "\"dedup\"");
    setup.config = keyed.replace("\"key_ttl_us\":5000000", "\"key_ttl_us\":1000000");
    setup.run(move |cluster| async move {
        // Connections to both decode engines, idle for less than the idle timeout.
        while !(2..4).all(|engine| {
            cluster
                .engine_requests()
                .iter()
                .any(|s| is_decode(s) && s.engine == engine)
        }) {
            let id = format!("warm{}", cluster.engine_requests().len());
            assert_eq!(cluster.send_request(&id, "send").await.status, 200);
        }
        let mut conn = cluster.connect().await;
        conn.write_all(&request("keyed", "send", 4_800))
            .await
            .unwrap();
        wait_until(&cluster.runtime, "a decode", || partitioned.get().is_some()).await;
        let other = *partitioned.get().unwrap();
        cluster.runtime.sleep(3_000_000).await;
        cluster.partition(&[other], false);
        read_response(&cluster.client, &mut conn).await;
        cluster.runtime.sleep(2_000_000).await;
        let writes: Vec<EngineRequest> = cluster
            .attempts("keyed")
            .into_iter()
            .filter(is_decode)
            .collect();
        assert_eq!(writes.len(), 1, "{writes:?}");
    });
}

/// Malformed before the first event: the attempt may have run, so an idempotent request is retried and another one is not.
#[test]
fn a_response_malformed_before_its_first_event_may_have_run() {
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
        // Without a statement that nothing ran, a status proves nothing.
        "HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: {}\n".to_owned(),
    ];
    for (i, noise) in spoilt.into_iter().enumerate() {
        let spoil = noise.clone();
        let setup =
            ClusterSetup::new(
                move |received| match is_decode(received) && received.engine == 2 {
                    true => respond_with(&spoil),
                    false => EngineBehavior::Normal,
                },
            );
        setup.run(move |cluster| async move {
            for n in 0..6 {
                let (safe, once) = (format!("safe{n}"), format!("once{n}"));
                let response = cluster.send_request(&safe, "draft").await;
                assert_eq!((response.status, response.whole), (200, true), "spoilt {i}");
                assert_eq!(response.body, SERVED_EVENTS.as_bytes(), "spoilt {i}");
                let response = cluster.send_request(&once, "send").await;
                let sends: Vec<EngineRequest> = cluster
                    .attempts(&once)
                    .into_iter()
                    .filter(is_decode)
                    .collect();
                assert_eq!(sends.len(), 1, "response {i}: no effect twice");
                let want = if sends[0].engine == 2 { 502 } else { 200 };
                assert_eq!(response.status, want, "spoilt {i}");
                cluster.runtime.sleep(3_000_000).await;
            }
            let met = cluster
                .engine_requests()
                .iter()
                .filter(|s| is_decode(s) && s.engine == 2)
                .count();
            assert!(
                met >= 2,
                "response {i}: the engine with the fault was used {met} times"
            );
        });
    }
}

/// A non-idempotent request is retried elsewhere after an engine says that nothing ran, or when no connection came up.
#[test]
fn attempts_that_never_ran_are_retried() {
    for status in [503, 504, 410] {
        let turned = std::sync::Mutex::new(std::collections::BTreeSet::new());
        let setup = ClusterSetup::new(move |received| {
            let first = is_decode(received)
                && received.engine == 2
                && turned.lock().unwrap().insert(received.id.clone());
            match first {
                true => respond_with(&format!(
                    "HTTP/1.1 {status} No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
                )),
                false => EngineBehavior::Normal,
            }
        });
        setup.run(move |cluster| async move {
            for n in 0..4 {
                let response = cluster.send_request(&format!("r{n}"), "send").await;
                assert_eq!((response.status, response.whole), (200, true), "{status}");
            }
            assert!(
                cluster
                    .engine_requests()
                    .iter()
                    .any(|s| is_decode(s) && s.engine == 2),
                "{status}: never met"
            );
        });
    }
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.sim.kill(setup.engines[2].id(), true);
    setup.run(|cluster| async move {
        for n in 0..4 {
            assert_eq!(
                cluster.send_request(&format!("r{n}"), "send").await.status,
                200
            );
        }
    });
}

/// After the first event nothing is retried: the client's stream ends without its last chunk.
#[test]
fn a_response_malformed_after_its_first_event_breaks_the_clients_stream() {
    for noise in [
        "zz\r\n",
        "5\r\ndata:qq",
        "bb800000\r\ndata: {}\n\n",
        "9\r\nnoise!!\n\n\r\n",
        "0\r\n\r\n",
        "",
    ] {
        let setup = ClusterSetup::new(move |received| match is_decode(received) {
            true => EngineBehavior::RespondAfterFirstEvent(noise.as_bytes().to_vec()),
            false => EngineBehavior::Normal,
        });
        setup.run(move |cluster| async move {
            let response = cluster.send_request("one", "draft").await;
            assert_eq!((response.status, response.whole), (200, false), "{noise:?}");
            assert!(
                SERVED_EVENTS.as_bytes().starts_with(&response.body) && !response.body.is_empty(),
                "{noise:?}"
            );
            assert!(
                response.at - response.last < 5_000_000,
                "{noise:?}: left waiting {} us",
                response.at - response.last
            );
            cluster.runtime.sleep(1_000_000).await;
            assert_eq!(
                cluster
                    .attempts("one")
                    .iter()
                    .filter(|s| is_decode(s))
                    .count(),
                1,
                "{noise:?}"
            );
            // The connection to the engine was closed too.
            let at = cluster
                .attempts("one")
                .into_iter()
                .find(is_decode)
                .unwrap()
                .connection;
            assert!(
                cluster.log.lock().unwrap().closed_at(at).is_some(),
                "{noise:?}"
            );
        });
    }
}

/// Extra bytes around a response are tolerated, and its connection is not reused where they stay ambiguous.
#[test]
fn extra_bytes_around_a_response_are_tolerated() {
    let body = format!("{:x}\r\n{SERVED_EVENTS}\r\n0\r\n\r\n", SERVED_EVENTS.len());
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
        let setup = ClusterSetup::new(move |received| {
            if is_decode(received) {
                respond_with(&extra)
            } else {
                EngineBehavior::Normal
            }
        });
        setup.run(move |cluster| async move {
            let mut connections = Vec::new();
            for n in 0..8 {
                let id = format!("r{n}");
                let response = cluster.send_request(&id, "draft").await;
                assert_eq!(
                    (response.status, response.whole, response.body.as_slice()),
                    (200, true, SERVED_EVENTS.as_bytes())
                );
                connections.extend(
                    cluster
                        .attempts(&id)
                        .iter()
                        .filter(|s| is_decode(s))
                        .map(|s| s.connection),
                );
                cluster.runtime.sleep(10_000).await;
            }
            let all = connections.len();
            connections.sort_unstable();
            connections.dedup();
            assert_eq!(connections.len() < all, again, "{connections:?} of {all}");
        });
    }
}

/// An unused prefill is released in time, and not before its last attempt is over.
#[test]
fn an_unused_prefill_is_released_in_time() {
    let setup = ClusterSetup::new(|received| match is_decode(received) {
        true => respond_with(REJECTED_UNPROCESSED),
        false => EngineBehavior::Normal,
    });
    setup.run(|cluster| async move {
        let response = cluster.send_request("one", "draft").await;
        assert_eq!(response.status, 429, "rejected: nothing ran");
        assert!(response
            .retry_after
            .is_some_and(|r| r.parse::<f64>().is_ok_and(|r| r > 0.0)));
        wait_until(&cluster.runtime, "a release", || {
            !cluster.releases("one").is_empty()
        })
        .await;
        let (release, last) = (
            cluster.releases("one")[0].at,
            cluster.attempts("one").last().unwrap().at,
        );
        assert!(
            release >= last && release - last <= 300_000,
            "{} us",
            release - last
        );
    });
}

/// An abandoned attempt is over at its engine before the next one reaches any engine, however much longer the first one's
/// network path is: for a non-idempotent request it would be a duplicate.
#[test]
fn an_abandoned_attempt_is_over_before_the_next_one_arrives() {
    let setup = ClusterSetup::new(|received| {
        match received.engine < 2 && received.id.starts_with('h') && received.timeout_ms > 3_000 {
            true => EngineBehavior::Silent,
            false => EngineBehavior::Normal,
        }
    });
    setup.sim.lag(setup.node.id(), setup.engines[0].id(), 1_500);
    setup.run(|cluster| async move {
        let mut over = 0;
        for n in 0..40 {
            // Both prefill engines count as healthy again.
            for usual in 0..4 {
                cluster
                    .send_request(&format!("u{n}-{usual}"), "draft")
                    .await;
                cluster.runtime.sleep(1_000_000).await;
            }
            let id = format!("h{n}");
            cluster.send_request(&id, "send").await;
            let sends = cluster.attempts(&id);
            let log = cluster.log.lock().unwrap();
            for pair in sends
                .windows(2)
                .filter(|p| p[0].engine == 0 && p[0].timeout_ms > 3_000)
            {
                let end = log.closed_at(pair[0].connection);
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

/// In a partition no connection to a decode engine comes up: the prefill is released in time, however many are tried.
#[test]
fn unreachable_decode_engines_do_not_delay_a_release() {
    for class in ["draft", "send"] {
        let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        for writer in 2..4 {
            setup
                .sim
                .cut(setup.node.id(), setup.engines[writer].id(), true);
        }
        setup.run(move |cluster| async move {
            let response = cluster.send_request("one", class).await;
            assert_eq!(response.status, 429, "rejected: nothing ran");
            wait_until(&cluster.runtime, "a release", || {
                !cluster.releases("one").is_empty()
            })
            .await;
            let reads = cluster.attempts("one");
            for (i, read) in reads.iter().enumerate() {
                let next = reads.get(i + 1).map_or(Micros::MAX, |r| r.at);
                let release = cluster
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

/// If the engine with the reservation does not respond, the release is sent to another one: any engine accepts it.
#[test]
fn a_release_is_sent_to_an_engine_that_responds() {
    let setup = ClusterSetup::new(
        |received| match (received.method.as_str(), received.engine) {
            ("DELETE", engine) if engine != 3 => EngineBehavior::Silent,
            ("POST", engine) if engine >= 2 && !received.id.is_empty() => EngineBehavior::Silent,
            _ => EngineBehavior::Normal,
        },
    );
    setup.run(|cluster| async move {
        let mut conn = cluster.connect().await;
        conn.write_all(&request("one", "draft", 4_800))
            .await
            .unwrap();
        wait_until(&cluster.runtime, "a decode", || {
            cluster.attempts("one").iter().any(is_decode)
        })
        .await;
        let left = cluster.runtime.now();
        drop(conn);
        wait_until(&cluster.runtime, "a release", || {
            cluster.releases("one").iter().any(|s| s.engine == 3)
        })
        .await;
        let took = cluster.runtime.now() - left;
        assert!(took < 600_000, "{took} us");
        // Nothing is sent for a disconnected client.
        let sends = cluster.attempts("one").len();
        cluster.runtime.sleep(2_000_000).await;
        assert_eq!(cluster.attempts("one").len(), sends);
    });
}

/// Connections to engines stay within their limit while engines are replaced, and those to removed engines are closed.
#[test]
fn replaced_engines_leave_no_connections() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.run(|cluster| async move {
        for round in 0..10 {
            // The same four addresses under ids that were never there before.
            let text = list(&["up"; 4]).replace("\"s-", &format!("\"r{round}-"));
            cluster.update_list(text);
            cluster.runtime.sleep(50_000).await;
            for n in 0..3 {
                assert_eq!(
                    cluster
                        .send_request(&format!("q{round}-{n}"), "draft")
                        .await
                        .status,
                    200
                );
            }
        }
        cluster.runtime.sleep(50_000).await;
        let log = cluster.log.lock().unwrap();
        assert!(
            log.open_connections <= 6,
            "{} connections stand",
            log.open_connections
        );
        assert!(
            log.connections >= 20,
            "each new engine had connections of its own: {}",
            log.connections
        );
        let metrics = cluster.service.node().metrics();
        assert_eq!(
            (metrics.engines.get(), metrics.engines_known.get()),
            (4, 4),
            "the router forgot the others"
        );
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// A connection is closed while a request arrives: an engine without the whole request ran nothing, and the node can tell.
#[test]
fn a_connection_closed_within_a_request_ran_nothing() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let (host, at) = (setup.sim.host(50), address(9));
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
    setup.run(move |cluster| async move {
        let breaks = list_entry(2, "up")
            .replace("s-2", "s-9")
            .replace(&address(2).to_string(), &at.to_string());
        cluster.update_list(format!("{},{breaks}", list(&["up", "up", "up", "removed"])));
        cluster.runtime.sleep(20_000).await;
        for n in 0..12 {
            let response = cluster.send_request(&format!("r{n}"), "send").await;
            assert_eq!((response.status, response.whole), (200, true), "r{n}");
            cluster.runtime.sleep(2_000_000).await;
        }
        assert!(
            met.load(std::sync::atomic::Ordering::SeqCst) >= 2,
            "the engine with the fault was used"
        );
    });
}

/// Engines close a connection that was idle for a tenth of a second at its next request: non-idempotent requests are not
/// lost to that, and others learn not to reuse such connections.
#[test]
fn idle_connections_that_are_closed_at_the_next_request() {
    let last = std::sync::Mutex::new(std::collections::BTreeMap::new());
    let setup = ClusterSetup::new(move |received| {
        let before = last
            .lock()
            .unwrap()
            .insert(received.connection, received.at);
        let idle = before.map_or(0, |b| received.at - b);
        match !received.id.is_empty() && (100_000..1_000_000).contains(&idle) {
            true => EngineBehavior::RespondAndClose(Vec::new()),
            false => EngineBehavior::Normal,
        }
    });
    setup.run(|cluster| async move {
        let mut sends = 0;
        for n in 0..60 {
            let (id, class) = (format!("r{n}"), if n % 3 == 0 { "send" } else { "draft" });
            let response = cluster.send_request(&id, class).await;
            assert_eq!((response.status, response.whole), (200, true), "{id}");
            sends += cluster.attempts(&id).len();
            cluster.runtime.sleep(250_000).await;
        }
        assert!(
            sends <= 2 * 60 + 8,
            "{} sends were lost to kept connections",
            sends - 2 * 60
        );
    });
}
