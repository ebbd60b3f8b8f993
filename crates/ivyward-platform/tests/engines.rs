//! Attempts at engines: which failures prove that an attempt never ran, malformed and stalled streams, reuse of connections,
//! and releases.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward_sim::{HostId, Sim};
use std::sync::{Arc, OnceLock};

#[test]
fn a_request_is_prefilled_then_decoded_and_its_response_forwarded_unchanged() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        for id in ["one", "two"] {
            let response = cluster.send_request(id, "draft").await;
            assert_eq!((response.status, response.complete), (200, true));
            assert_eq!(String::from_utf8(response.body).unwrap(), SERVED_EVENTS);
            let attempts = cluster.attempts(id);
            assert_eq!(attempts.len(), 2, "{attempts:?}");
            assert!(
                attempts[0].engine < 2 && attempts[1].engine >= 2,
                "not a prefill and then a decode"
            );
            for attempt in &attempts {
                assert_eq!(attempt.target, "/v1/chat/completions?a=b");
                assert_eq!(attempt.body, BODY.as_bytes());
                assert!(
                    (2_500..=4_800).contains(&attempt.timeout_ms),
                    "{}",
                    attempt.timeout_ms
                );
            }
        }
        // The reservation is sent after the prefill's last byte, and the prefill's connection is reused.
        let mut reservations = cluster
            .engine_requests()
            .into_iter()
            .filter(|s| s.target == "/v1/holds/one" && s.method == "POST");
        let reservation = reservations.next().unwrap();
        let prefill = &cluster.attempts("one")[0];
        assert!(reservation.at >= prefill.at && reservation.engine >= 2);
        assert_eq!(
            cluster.attempts("one")[0].connection,
            cluster.attempts("two")[0].connection
        );
        assert!(
            cluster.releases("one").is_empty(),
            "a complete stream releases the reservation itself"
        );
    });
}

/// Engines deduplicate the retries of a keyed request by its `Idempotency-Key`. Every attempt carries the key as the client
/// sent it, and a request with a key that cannot be forwarded is rejected.
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
            let attempts = cluster.attempts(&id);
            assert!(
                attempts.len() >= 2 && attempts.iter().all(|a| a.idempotency_key == key),
                "{attempts:?}"
            );
        }
        assert!(
            cluster
                .engine_requests()
                .iter()
                .any(|s| is_decode(s) && s.engine == 2),
            "no decode was rejected and retried"
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

/// A keyed request that may have run at one decode engine is retried at the other within its deduplication window, and a
/// partition of the other engine begins at that moment. Bytes sent on an idle connection would be retransmitted when the
/// partition ends, after the window, and the request would run a second time.
#[test]
fn a_keyed_retry_does_not_arrive_after_a_partition() {
    // The simulation, the node's host and the engines' hosts; set once the cluster exists.
    let network: Arc<OnceLock<(Sim, HostId, Vec<HostId>)>> = Arc::default();
    let partitioned: Arc<OnceLock<usize>> = Arc::default();
    let (script_network, partitioned_engine) = (network.clone(), partitioned.clone());
    let mut setup = ClusterSetup::new(move |received| {
        if !is_decode(received) || received.id != "keyed" || partitioned_engine.get().is_some() {
            return EngineBehavior::Normal;
        }
        let other = 5 - received.engine;
        let (sim, node, engines) = script_network.get().unwrap();
        sim.set_partitioned(*node, engines[other], true);
        sim.set_partitioned(engines[other], *node, true);
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
        // Opens connections to both decode engines, which are then idle for less than the idle timeout.
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
        let decodes: Vec<EngineRequest> = cluster
            .attempts("keyed")
            .into_iter()
            .filter(is_decode)
            .collect();
        assert_eq!(decodes.len(), 1, "{decodes:?}");
    });
}

/// After a response that is malformed before the first event, the attempt may have run: an idempotent request is retried,
/// and a non-idempotent one is not.
#[test]
fn after_a_malformed_response_only_idempotent_requests_are_retried() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    let malformed = [
        "\x01\x02\x03 noise \r\n\r\n".to_owned(),
        format!("{head}X-Long: {}", "y".repeat(40_000)),
        format!("{head}Content-Length: 5\r\n\r\n5\r\ndata:\r\n"),
        format!("{head}\r\nzz\r\ndata: {{}}\n\n\r\n"),
        format!("{head}\r\nbb800000\r\n{}", "a".repeat(5_000)),
        format!("{head}\r\n5\r\ndata:\r\nqq\r\n"),
        format!("{head}\r\n7\r\nnoise\n\n\r\n"),
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n".to_owned(),
        // A 503 without `X-Not-Processed` does not prove that the request did not run.
        "HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: {}\n".to_owned(),
    ];
    for (i, response) in malformed.into_iter().enumerate() {
        let setup =
            ClusterSetup::new(
                move |received| match is_decode(received) && received.engine == 2 {
                    true => respond_with(&response),
                    false => EngineBehavior::Normal,
                },
            );
        setup.run(move |cluster| async move {
            for n in 0..6 {
                let (idempotent, non_idempotent) = (format!("safe{n}"), format!("once{n}"));
                let response = cluster.send_request(&idempotent, "draft").await;
                assert_eq!(
                    (response.status, response.complete),
                    (200, true),
                    "response {i}"
                );
                assert_eq!(response.body, SERVED_EVENTS.as_bytes(), "response {i}");
                let response = cluster.send_request(&non_idempotent, "send").await;
                let decodes: Vec<EngineRequest> = cluster
                    .attempts(&non_idempotent)
                    .into_iter()
                    .filter(is_decode)
                    .collect();
                assert_eq!(
                    decodes.len(),
                    1,
                    "response {i}: a non-idempotent request was retried"
                );
                let expected = if decodes[0].engine == 2 { 502 } else { 200 };
                assert_eq!(response.status, expected, "response {i}");
                cluster.runtime.sleep(3_000_000).await;
            }
            let faults = cluster
                .engine_requests()
                .iter()
                .filter(|s| is_decode(s) && s.engine == 2)
                .count();
            assert!(
                faults >= 2,
                "response {i}: the engine with the fault was used {faults} times"
            );
        });
    }
}

/// A non-idempotent request is retried at another engine after a response that states that nothing ran, or a failed
/// connection attempt.
#[test]
fn attempts_that_never_ran_are_retried() {
    for status in [503, 504, 410] {
        let rejected = std::sync::Mutex::new(std::collections::BTreeSet::new());
        let setup = ClusterSetup::new(move |received| {
            let first = is_decode(received)
                && received.engine == 2
                && rejected.lock().unwrap().insert(received.id.clone());
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
                assert_eq!(
                    (response.status, response.complete),
                    (200, true),
                    "{status}"
                );
            }
            assert!(
                cluster
                    .engine_requests()
                    .iter()
                    .any(|s| is_decode(s) && s.engine == 2),
                "{status}: the engine that rejects was never used"
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

/// After the first event a request is not retried: the client's stream ends without its last chunk.
#[test]
fn a_response_malformed_after_its_first_event_breaks_the_clients_stream() {
    for malformed in [
        "zz\r\n",
        "5\r\ndata:qq",
        "bb800000\r\ndata: {}\n\n",
        "9\r\nnoise!!\n\n\r\n",
        "0\r\n\r\n",
        "",
    ] {
        let setup = ClusterSetup::new(move |received| match is_decode(received) {
            true => EngineBehavior::RespondAfterFirstEvent(malformed.as_bytes().to_vec()),
            false => EngineBehavior::Normal,
        });
        setup.run(move |cluster| async move {
            let response = cluster.send_request("one", "draft").await;
            assert_eq!(
                (response.status, response.complete),
                (200, false),
                "{malformed:?}"
            );
            assert!(
                SERVED_EVENTS.as_bytes().starts_with(&response.body) && !response.body.is_empty(),
                "{malformed:?}"
            );
            assert!(
                response.ended_at - response.last_data_at < 5_000_000,
                "{malformed:?}: the stream ended {} us after its last byte",
                response.ended_at - response.last_data_at
            );
            cluster.runtime.sleep(1_000_000).await;
            assert_eq!(
                cluster
                    .attempts("one")
                    .iter()
                    .filter(|s| is_decode(s))
                    .count(),
                1,
                "{malformed:?}"
            );
            // The connection to the engine was closed too.
            let connection = cluster
                .attempts("one")
                .into_iter()
                .find(is_decode)
                .unwrap()
                .connection;
            assert!(
                cluster.log.lock().unwrap().closed_at(connection).is_some(),
                "{malformed:?}"
            );
        });
    }
}

/// Interim responses before a response and bytes after it are tolerated. A connection with bytes after a response is not
/// reused, since they could be taken for the next response.
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
    for (response, is_reused) in extras {
        let setup = ClusterSetup::new(move |received| {
            if is_decode(received) {
                respond_with(&response)
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
                    (response.status, response.complete, response.body.as_slice()),
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
            assert_eq!(
                connections.len() < all,
                is_reused,
                "{connections:?} of {all}"
            );
        });
    }
}

/// An unused prefill is released within the settings' 300 ms, and not before the last attempt has ended.
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

/// An abandoned attempt has ended at its engine before the next one reaches any engine, even if the network path of the
/// first engine is much longer. Otherwise two attempts of a non-idempotent request would run at once.
#[test]
fn an_abandoned_attempt_ends_before_the_next_one_arrives() {
    let setup = ClusterSetup::new(|received| {
        match received.engine < 2 && received.id.starts_with('h') && received.timeout_ms > 3_000 {
            true => EngineBehavior::Silent,
            false => EngineBehavior::Normal,
        }
    });
    setup
        .sim
        .set_extra_latency(setup.node.id(), setup.engines[0].id(), 1_500);
    setup.run(|cluster| async move {
        let mut abandoned = 0;
        for n in 0..40 {
            // Successful requests, after which both prefill engines count as healthy again.
            for i in 0..4 {
                cluster.send_request(&format!("u{n}-{i}"), "draft").await;
                cluster.runtime.sleep(1_000_000).await;
            }
            let id = format!("h{n}");
            cluster.send_request(&id, "send").await;
            let attempts = cluster.attempts(&id);
            let log = cluster.log.lock().unwrap();
            for pair in attempts
                .windows(2)
                .filter(|p| p[0].engine == 0 && p[0].timeout_ms > 3_000)
            {
                let end = log.closed_at(pair[0].connection);
                assert!(
                    end.is_some_and(|at| at <= pair[1].at),
                    "{id}: ended at {end:?}, next attempt at {}",
                    pair[1].at
                );
                abandoned += 1;
            }
        }
        assert!(abandoned > 5, "{abandoned} attempts were abandoned");
    });
}

/// In a partition every connection attempt to a decode engine fails. The prefill is still released within 300 ms, however
/// many decode engines are tried.
#[test]
fn unreachable_decode_engines_do_not_delay_a_release() {
    for class in ["draft", "send"] {
        let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        for decode_engine in 2..4 {
            setup
                .sim
                .set_partitioned(setup.node.id(), setup.engines[decode_engine].id(), true);
        }
        setup.run(move |cluster| async move {
            let response = cluster.send_request("one", class).await;
            assert_eq!(response.status, 429, "rejected: nothing ran");
            wait_until(&cluster.runtime, "a release", || {
                !cluster.releases("one").is_empty()
            })
            .await;
            let prefills = cluster.attempts("one");
            for (i, prefill) in prefills.iter().enumerate() {
                let next = prefills.get(i + 1).map_or(Micros::MAX, |p| p.at);
                let release = cluster
                    .releases("one")
                    .iter()
                    .map(|r| r.at)
                    .find(|at| *at > prefill.at);
                let unused = release.unwrap_or(Micros::MAX).min(next) - prefill.at;
                assert!(
                    unused <= 300_000,
                    "{class}: prefill {i} stayed reserved for {unused} us"
                );
            }
        });
    }
}

/// If the engine with the reservation does not respond, the release is sent to another engine. Any engine accepts a release.
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
        let disconnected_at = cluster.runtime.now();
        drop(conn);
        wait_until(&cluster.runtime, "a release", || {
            cluster.releases("one").iter().any(|s| s.engine == 3)
        })
        .await;
        let took = cluster.runtime.now() - disconnected_at;
        assert!(took < 600_000, "{took} us");
        // No further attempt begins for a disconnected client.
        let attempts = cluster.attempts("one").len();
        cluster.runtime.sleep(2_000_000).await;
        assert_eq!(cluster.attempts("one").len(), attempts);
    });
}

/// When engines are replaced, the connections to the removed ones are closed, and the router forgets the removed engines.
#[test]
fn connections_to_replaced_engines_are_closed() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.run(|cluster| async move {
        for round in 0..10 {
            // The same four addresses with new ids.
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
            "{} connections are open",
            log.open_connections
        );
        assert!(
            log.connections >= 20,
            "only {} connections were opened: new engines got none",
            log.connections
        );
        let metrics = cluster.service.node().metrics();
        assert_eq!(
            (metrics.engines.get(), metrics.engines_known.get()),
            (4, 4),
            "the router still knows removed engines"
        );
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// An engine resets connections after the first bytes of a request. It cannot have run an incomplete request, so even a
/// non-idempotent request is retried.
#[test]
fn a_request_whose_connection_is_reset_before_its_last_byte_is_retried() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let (host, at) = (setup.sim.host(50), address(9));
    let runtime = host.runtime();
    let mut listener = runtime.listen(at).unwrap();
    let resets = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let (engine_resets, inner) = (resets.clone(), runtime.clone());
    runtime.run(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            let resets = engine_resets.clone();
            inner.run(async move {
                let mut piece = [0; 100];
                if conn.read(&mut piece).await.is_ok_and(|n| n > 0) {
                    resets.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    conn.reset_on_close();
                }
            });
        }
    });
    setup.run(move |cluster| async move {
        let resetting = list_entry(2, "up")
            .replace("s-2", "s-9")
            .replace(&address(2).to_string(), &at.to_string());
        cluster.update_list(format!(
            "{},{resetting}",
            list(&["up", "up", "up", "removed"])
        ));
        cluster.runtime.sleep(20_000).await;
        for n in 0..12 {
            let response = cluster.send_request(&format!("r{n}"), "send").await;
            assert_eq!((response.status, response.complete), (200, true), "r{n}");
            cluster.runtime.sleep(2_000_000).await;
        }
        assert!(
            resets.load(std::sync::atomic::Ordering::SeqCst) >= 2,
            "the engine that resets connections was used less than twice"
        );
    });
}

/// Engines close a connection at its next request if it was idle for 0.1 s to 1 s. Non-idempotent requests do not fail
/// because of that, and the pool learns not to reuse connections with such idle times.
#[test]
fn connections_that_engines_close_at_reuse_fail_no_request() {
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
        let mut attempts = 0;
        for n in 0..60 {
            let (id, class) = (format!("r{n}"), if n % 3 == 0 { "send" } else { "draft" });
            let response = cluster.send_request(&id, class).await;
            assert_eq!((response.status, response.complete), (200, true), "{id}");
            attempts += cluster.attempts(&id).len();
            cluster.runtime.sleep(250_000).await;
        }
        assert!(
            attempts <= 2 * 60 + 8,
            "{} attempts failed on reused connections",
            attempts - 2 * 60
        );
    });
}
