//! Clients: malformed requests get an error or a close in time and reach no engine; others are served beside them.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::runtime::{before, Conn, RuntimeExt};

fn changed(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(request("bad", "draft", 4_800)).unwrap();
    assert!(text.contains(from), "{from}");
    text.replace(from, to).into_bytes()
}

/// Malformed requests, with what is wrong with each.
fn malformed_requests() -> Vec<(&'static str, Vec<u8>)> {
    let length = format!("Content-Length: {}", BODY.len());
    let mut malformed: Vec<(&'static str, Vec<u8>)> = vec![
        (
            "unterminated head",
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
    malformed.extend(
        changes
            .into_iter()
            .map(|(what, from, to)| (what, changed(from, to))),
    );
    malformed
}

#[test]
fn malformed_requests_get_an_error_or_a_close_in_time() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
        for (what, bytes) in malformed_requests() {
            let begun = cluster.client.now();
            let mut conn = cluster.connect().await;
            // The peer may close while we still write.
            let _ = conn.write_all(&bytes).await;
            let response = read_response(&cluster.client, &mut conn).await;
            assert!(
                response.status == 0 || response.status >= 400,
                "{what}: {}",
                response.status
            );
            assert!(
                response.at - begun < 3_000_000,
                "{what}: {} us",
                response.at - begun
            );
            if !matches!(what, "no byte" | "half a head") {
                assert!(response.status >= 400, "{what}: an error, not a close");
            }
            if response.status >= 400 {
                let said: serde_json::Value = serde_json::from_slice(&response.body).expect(what);
                assert!(said["error"]["message"].is_string(), "{what}: {said}");
            }
            assert!(
                cluster.engine_requests().is_empty(),
                "{what}: reached an engine"
            );
            assert_eq!(cluster.service.node().open_requests(), 0, "{what}");
        }
        assert_eq!(cluster.send_request("good", "draft").await.status, 200);
    });
}

/// A client that reads the error only after it has sent all of a long body gets it, and the body is not kept in memory.
#[test]
fn a_body_that_is_too_long_is_discarded_after_its_error() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        let mut conn = cluster.connect().await;
        let head = changed(
            &format!("Content-Length: {}", BODY.len()),
            "Content-Length: 4000000",
        );
        conn.write_all(&head).await.unwrap();
        for _ in 0..40 {
            conn.write_all(&vec![b'x'; 99_000]).await.unwrap();
        }
        assert_eq!(read_response(&cluster.client, &mut conn).await.status, 413);
    });
}

/// A request with the id of one in flight is rejected, and the one in flight goes on unharmed.
#[test]
fn the_id_of_a_request_in_flight_is_rejected() {
    let setup = ClusterSetup::new(|received| {
        if received.id == "same" {
            EngineBehavior::Delayed(400_000)
        } else {
            EngineBehavior::Normal
        }
    });
    setup.run(|cluster| async move {
        let mut first = cluster.connect().await;
        first
            .write_all(&request("same", "send", 4_800))
            .await
            .unwrap();
        wait_until(&cluster.runtime, "an attempt", || {
            !cluster.attempts("same").is_empty()
        })
        .await;
        assert_eq!(cluster.send_request("same", "send").await.status, 409);
        let response = read_response(&cluster.client, &mut first).await;
        assert_eq!((response.status, response.whole), (200, true));
        assert_eq!(cluster.attempts("same").len(), 2, "one prefill, one decode");
        // After its response the id may be used again.
        assert_eq!(cluster.send_request("same", "send").await.status, 200);
    });
}

/// With more silent connections than descriptors another client is served, on an older connection and on a new one, and the
/// node's own connections stay within their limit.
#[test]
fn silent_connections_do_not_starve_others() {
    let setup = ClusterSetup::with_sockets(160, |_| EngineBehavior::Normal);
    let bound = setup.config().bounds.client_connections;
    setup.run(move |cluster| async move {
        let mut old = cluster.connect().await;
        old.write_all(&request("old0", "draft", 4_800))
            .await
            .unwrap();
        assert_eq!(read_response(&cluster.client, &mut old).await.status, 200);
        let mut silent: Vec<Conn> = Vec::new();
        for n in 0..5 * bound {
            silent.push(cluster.connect().await);
            if n % bound == 0 {
                assert_eq!(
                    cluster
                        .send_request(&format!("new{n}"), "draft")
                        .await
                        .status,
                    200
                );
            }
        }
        old.write_all(&request("old1", "draft", 4_800))
            .await
            .unwrap();
        assert_eq!(
            read_response(&cluster.client, &mut old).await.status,
            200,
            "the silent ones are evicted first"
        );
        let mut open = 0;
        for conn in &mut silent {
            let mut byte = [0];
            let ended = before(
                &cluster.client,
                cluster.client.now() + 1,
                conn.read(&mut byte),
            )
            .await;
            open += usize::from(ended.is_none());
        }
        assert!(open <= bound, "{open} silent connections stand of {bound}");
        // The rest of them are closed within 3 s of connecting.
        cluster.client.sleep(2_500_000).await;
        for conn in &mut silent {
            let mut byte = [0];
            assert!(before(
                &cluster.client,
                cluster.client.now() + 1,
                conn.read(&mut byte)
            )
            .await
            .is_some());
        }
    });
}

/// In a flood beyond the limit on open requests each one gets a response, and nothing was sent for the rejected ones.
#[test]
fn every_request_of_a_flood_gets_a_response() {
    let setup = ClusterSetup::with_sockets(256, |received| {
        if received.engine >= 2 {
            EngineBehavior::Delayed(200_000)
        } else {
            EngineBehavior::Normal
        }
    });
    setup.run(|cluster| async move {
        let (done, answers) = async_channel::unbounded();
        for n in 0..300 {
            let (client, address, done) = (cluster.client.clone(), cluster.address, done.clone());
            cluster.client.run(async move {
                let id = format!("f{n}");
                let response = match client.connect(address).await {
                    Ok(mut conn) => {
                        let _ = conn.write_all(&request(&id, "draft", 3_000)).await;
                        read_response(&client, &mut conn).await
                    }
                    Err(_) => Response::default(),
                };
                let _ = done.send((id, response)).await;
            });
        }
        drop(done);
        let mut served = 0;
        while let Ok((id, response)) = answers.recv().await {
            served += usize::from(response.status == 200 && response.whole);
            if response.status == 503 {
                assert!(
                    cluster.attempts(&id).is_empty(),
                    "{id} was refused by the door and sent all the same"
                );
            }
            assert!(
                response.status != 200 || response.whole,
                "{id} was truncated"
            );
        }
        assert!(served > 20, "{served} served");
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// Bytes behind a request in flight wait for its end, and are then read as the next request.
#[test]
fn pipelined_requests_are_served_in_order() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        let mut conn = cluster.connect().await;
        let both = [request("a", "draft", 4_800), request("b", "draft", 4_800)].concat();
        conn.write_all(&both).await.unwrap();
        for _ in 0..2 {
            let response = read_response(&cluster.client, &mut conn).await;
            assert_eq!((response.status, response.whole), (200, true));
        }
        assert_eq!(cluster.attempts("b").len(), 2);
    });
}

/// When a client disconnects, its attempt's connection to the engine is closed.
#[test]
fn a_disconnected_client_ends_its_attempt() {
    let setup = ClusterSetup::new(|received| {
        if received.engine >= 2 {
            EngineBehavior::Silent
        } else {
            EngineBehavior::Normal
        }
    });
    setup.run(|cluster| async move {
        let mut conn = cluster.connect().await;
        conn.write_all(&request("one", "send", 4_800))
            .await
            .unwrap();
        wait_until(&cluster.runtime, "a decode", || {
            cluster.attempts("one").len() == 2
        })
        .await;
        let at = cluster.attempts("one")[1].connection;
        drop(conn);
        let closed = || cluster.log.lock().unwrap().closed_at(at).is_some();
        let left = cluster.runtime.now();
        wait_until(&cluster.runtime, "a close", closed).await;
        assert!(cluster.runtime.now() - left < 50_000);
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// A request without a response of any engine fails before its client's timeout, and nothing is sent later.
#[test]
fn a_request_without_a_response_fails_in_time() {
    let setup = ClusterSetup::new(|received| {
        if received.id.is_empty() {
            EngineBehavior::Normal
        } else {
            EngineBehavior::Silent
        }
    });
    setup.run(|cluster| async move {
        let begun = cluster.client.now();
        let mut conn = cluster.connect().await;
        conn.write_all(&request("one", "send", 2_000))
            .await
            .unwrap();
        let response = read_response(&cluster.client, &mut conn).await;
        assert!(
            matches!(response.status, 429 | 502 | 504),
            "{}",
            response.status
        );
        assert!(
            response.at - begun <= 2_010_000,
            "{} us",
            response.at - begun
        );
        let sends = cluster.attempts("one").len();
        cluster.runtime.sleep(5_000_000).await;
        assert_eq!(
            cluster.attempts("one").len(),
            sends,
            "nothing is sent after the response"
        );
    });
}

/// Prompts beyond the node's budget are rejected and nothing is sent for them; when the others have ended, clients are served
/// again.
#[test]
fn prompts_beyond_the_budget_are_rejected() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let bound = setup.config().bounds.prompt_bytes;
    setup.run(move |cluster| async move {
        let head = changed(
            &format!("Content-Length: {}", BODY.len()),
            "Content-Length: 250000",
        );
        let mut conns = Vec::new();
        for _ in 0..bound / 240_000 + 12 {
            let mut conn = cluster.connect().await;
            // The node may close a rejected one while we write.
            let _ = conn
                .write_all(&[head.clone(), vec![b'x'; 240_000]].concat())
                .await;
            conns.push(conn);
        }
        let mut rejected = 0;
        for conn in &mut conns {
            let response = read_response(&cluster.client, conn).await;
            assert!(matches!(response.status, 503 | 408), "{}", response.status);
            rejected += usize::from(response.status == 503);
        }
        assert!((1..=12).contains(&rejected), "{rejected} were rejected");
        assert!(cluster.engine_requests().is_empty());
        assert_eq!(cluster.send_request("good", "draft").await.status, 200);
    });
}

/// A client that reads its response slowly and steadily gets all of it; one that reads nothing for long counts as
/// disconnected, and its engine's connection is closed.
#[test]
fn a_slow_reader_gets_its_whole_response_and_a_stalled_one_is_closed() {
    for reads_on in [true, false] {
        let event = format!("data: {{\"x\":\"{}\"}}\n\n", "y".repeat(1_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let rest = format!(
            "{}{:x}\r\n{SERVED_EVENTS}\r\n0\r\n\r\n",
            chunk.repeat(60),
            SERVED_EVENTS.len()
        );
        let setup = ClusterSetup::new(move |received| match is_decode(received) {
            true => EngineBehavior::RespondAfterFirstEvent(rest.clone().into_bytes()),
            false => EngineBehavior::Normal,
        });
        setup.sim.net(|net| net.buffer = 2 << 10);
        setup.run(move |cluster| async move {
            let mut conn = cluster.connect().await;
            conn.write_all(&request("slow", "send", 4_800))
                .await
                .unwrap();
            wait_until(&cluster.runtime, "a stream", || {
                cluster.attempts("slow").iter().any(is_decode)
            })
            .await;
            if !reads_on {
                cluster.runtime.sleep(12_000_000).await;
                assert_eq!(
                    cluster.service.node().open_requests(),
                    0,
                    "nothing is kept for it"
                );
                return;
            }
            let mut response = Vec::new();
            let mut piece = [0; 400];
            while !response.ends_with(b"0\r\n\r\n") {
                cluster.client.sleep(200_000).await;
                match conn.read(&mut piece).await {
                    Ok(n) if n > 0 => response.extend_from_slice(&piece[..n]),
                    _ => break,
                }
            }
            assert!(
                response.len() > 60_000 && response.ends_with(b"0\r\n\r\n"),
                "{} bytes",
                response.len()
            );
        });
    }
}

/// A request arrives at the moment in which its idle connection is evicted, and takes seconds: clients that connect meanwhile
/// are accepted all the same.
#[test]
fn a_request_that_crosses_its_eviction_does_not_block_others() {
    for offset in (0..300u64).step_by(10) {
        let setup = ClusterSetup::with_sockets(160, |received| {
            if received.id == "long" {
                EngineBehavior::Delayed(3_000_000)
            } else {
                EngineBehavior::Normal
            }
        });
        let bound = setup.config().bounds.client_connections;
        setup.sim.net(|net| net.jitter = 0);
        let (sim, node) = (setup.sim.clone(), setup.node.id());
        setup.run(move |cluster| async move {
            let mut first = cluster.connect().await;
            let mut rest = Vec::new();
            for _ in 1..bound {
                rest.push(cluster.connect().await);
            }
            let (client, address) = (cluster.client.clone(), cluster.address);
            let (done, other) = async_channel::bounded(1);
            // The node handles both at once.
            sim.freeze(node, true);
            let (asks, thaws) = (cluster.client.clone(), cluster.client.clone());
            cluster.client.run(async move {
                asks.sleep(offset).await;
                // It may have been evicted already.
                let _ = first.write_all(&request("long", "draft", 7_000)).await;
                std::future::pending::<()>().await;
                drop(first);
            });
            cluster.client.run(async move {
                // Connecting takes one way; the request may arrive before, with or after the connection.
                client.sleep(150).await;
                let dialled = client.connect(address).await;
                client.sleep(10_000).await;
                done.send(dialled).await.unwrap();
            });
            cluster.client.run(async move {
                thaws.sleep(2_000).await;
                sim.freeze(node, false);
            });
            let _both = other.recv().await.unwrap();
            let begun = cluster.client.now();
            for n in 0..3 {
                assert_eq!(
                    cluster
                        .send_request(&format!("new{n}"), "draft")
                        .await
                        .status,
                    200
                );
            }
            let took = cluster.client.now() - begun;
            assert!(took < 500_000, "offset {offset}: {took} us");
        });
    }
}
