//! The server for clients: malformed requests get an error or a close in time and reach no engine, and neither malformed
//! requests nor slow or silent connections prevent other clients from being served.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::runtime::{timeout_at, Conn, RuntimeExt};

/// Returns a valid request in which `from` is replaced by `to`.
fn modified_request(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(request("bad", "draft", 4_800)).unwrap();
    assert!(text.contains(from), "{from}");
    text.replace(from, to).into_bytes()
}

/// Returns malformed requests, each with the name of its defect.
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
        ("300 zero bytes", vec![0; 300]),
        (
            "incomplete head",
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a".to_vec(),
        ),
        (
            "incomplete body",
            request("bad", "draft", 4_800)[..request("bad", "draft", 4_800).len() - 30].to_vec(),
        ),
        ("empty request", Vec::new()),
    ];
    let changes = [
        ("negative length", length.as_str(), "Content-Length: -4"),
        ("signed length", &length, "Content-Length: +4"),
        (
            "huge length",
            &length,
            "Content-Length: 99999999999999999999999",
        ),
        ("length of 60 MB", &length, "Content-Length: 60000000"),
        (
            "length and transfer coding",
            "Host: app.svc",
            "Host: app.svc\r\nTransfer-Encoding: chunked",
        ),
        (
            "two lengths",
            "Host: app.svc",
            "Host: app.svc\r\nContent-Length: 3",
        ),
        (
            "unsupported transfer coding",
            &length,
            "Transfer-Encoding: gzip",
        ),
        (
            "unknown class",
            "X-Priority-Class: draft",
            "X-Priority-Class: gold",
        ),
        ("no class", "X-Priority-Class: draft\r\n", ""),
        ("unknown tenant", "X-Tenant-Id: acme", "X-Tenant-Id: nobody"),
        (
            "malformed timeout",
            "X-Timeout-Ms: 4800",
            "X-Timeout-Ms: soon",
        ),
        ("negative timeout", "X-Timeout-Ms: 4800", "X-Timeout-Ms: -1"),
        ("no timeout", "X-Timeout-Ms: 4800\r\n", ""),
        ("no id", "X-Request-ID: bad\r\n", ""),
        ("empty id", "X-Request-ID: bad", "X-Request-ID: "),
        ("too many tokens", "prompt_len=40", "prompt_len=1e300"),
        ("negative tokens", "prompt_len=40", "prompt_len=-3"),
        ("tokens not a number", "max_out=80", "max_out=NaN"),
        ("malformed JSON", "{\"model\"", "[\"model\""),
        (
            "unknown path",
            "POST /v1/chat/completions",
            "POST /v1/other",
        ),
        ("unsupported method", "POST /v1", "PUT /v1"),
    ];
    malformed.extend(
        changes
            .into_iter()
            .map(|(defect, from, to)| (defect, modified_request(from, to))),
    );
    malformed
}

#[test]
fn malformed_requests_get_an_error_or_a_close_in_time() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
        for (defect, bytes) in malformed_requests() {
            let begun = cluster.client.now();
            let mut conn = cluster.connect().await;
            // The node may close the connection before all bytes are written.
            let _ = conn.write_all(&bytes).await;
            let response = read_response(&cluster.client, &mut conn).await;
            assert!(
                response.status == 0 || response.status >= 400,
                "{defect}: {}",
                response.status
            );
            assert!(
                response.ended_at - begun < 3_000_000,
                "{defect}: {} us",
                response.ended_at - begun
            );
            if !matches!(defect, "empty request" | "incomplete head") {
                assert!(response.status >= 400, "{defect}: closed without an error");
            }
            if response.status >= 400 {
                let body: serde_json::Value = serde_json::from_slice(&response.body).expect(defect);
                assert!(body["error"]["message"].is_string(), "{defect}: {body}");
            }
            assert!(
                cluster.engine_requests().is_empty(),
                "{defect}: reached an engine"
            );
            assert_eq!(cluster.service.node().open_requests(), 0, "{defect}");
        }
        assert_eq!(cluster.send_request("good", "draft").await.status, 200);
    });
}

/// A client that sends a body of 4 MB, above the limit, and reads only after the last byte still receives the error. The
/// server discards the body, so that no reset of the connection destroys the error.
#[test]
fn a_body_that_is_too_long_is_discarded_after_its_error() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        let mut conn = cluster.connect().await;
        let head = modified_request(
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

/// A request with the id of a request in flight is rejected, and the one in flight is served normally.
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
        assert_eq!((response.status, response.complete), (200, true));
        assert_eq!(cluster.attempts("same").len(), 2, "one prefill, one decode");
        // After the response the id may be used again for what may run twice, and not for what may not.
        assert_eq!(cluster.send_request("same", "send").await.status, 409);
        assert_eq!(cluster.attempts("same").len(), 2, "it ran again");
        for _ in 0..2 {
            assert_eq!(cluster.send_request("safe", "draft").await.status, 200);
        }
    });
}

/// With five times as many silent connections as the limit on client connections, and more than the node has file
/// descriptors, other clients are served on older and on new connections, and the client connections stay within the limit.
#[test]
fn silent_connections_do_not_prevent_service() {
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
            "silent connections are evicted before one that had a request"
        );
        let mut open = 0;
        for conn in &mut silent {
            let mut byte = [0];
            let ended = timeout_at(
                &cluster.client,
                cluster.client.now() + 1,
                conn.read(&mut byte),
            )
            .await;
            open += usize::from(ended.is_none());
        }
        assert!(
            open <= bound,
            "{open} silent connections are open, the limit is {bound}"
        );
        // The node closes the rest within 3 s of connecting.
        cluster.client.sleep(2_500_000).await;
        for conn in &mut silent {
            let mut byte = [0];
            assert!(timeout_at(
                &cluster.client,
                cluster.client.now() + 1,
                conn.read(&mut byte)
            )
            .await
            .is_some());
        }
    });
}

/// 300 requests at once exceed the limit on open requests. None of the responses is truncated, and the requests that were
/// rejected with 503 were not sent to engines.
#[test]
fn requests_beyond_the_limit_are_rejected_and_not_sent() {
    let setup = ClusterSetup::with_sockets(256, |received| {
        if received.engine >= 2 {
            EngineBehavior::Delayed(200_000)
        } else {
            EngineBehavior::Normal
        }
    });
    setup.run(|cluster| async move {
        let (done, responses) = async_channel::unbounded();
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
        while let Ok((id, response)) = responses.recv().await {
            served += usize::from(response.status == 200 && response.complete);
            if response.status == 503 {
                assert!(
                    cluster.attempts(&id).is_empty(),
                    "{id} was rejected by the node but sent to an engine"
                );
            }
            assert!(
                response.status != 200 || response.complete,
                "{id} was truncated"
            );
        }
        assert!(served > 20, "{served} served");
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// Bytes behind a request in flight are parsed as the next request after its response.
#[test]
fn pipelined_requests_are_served_in_order() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        let mut conn = cluster.connect().await;
        let both = [request("a", "draft", 4_800), request("b", "draft", 4_800)].concat();
        conn.write_all(&both).await.unwrap();
        for _ in 0..2 {
            let response = read_response(&cluster.client, &mut conn).await;
            assert_eq!((response.status, response.complete), (200, true));
        }
        assert_eq!(cluster.attempts("b").len(), 2);
    });
}

/// When a client disconnects, the connection of its attempt to the engine is closed within 50 ms.
#[test]
fn a_client_disconnect_ends_the_attempt() {
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
        let connection = cluster.attempts("one")[1].connection;
        drop(conn);
        let closed = || cluster.log.lock().unwrap().closed_at(connection).is_some();
        let disconnected_at = cluster.runtime.now();
        wait_until(&cluster.runtime, "a close", closed).await;
        assert!(cluster.runtime.now() - disconnected_at < 50_000);
        assert_eq!(cluster.service.node().open_requests(), 0);
    });
}

/// If no engine responds, the request fails before the client's timeout, and no attempt begins after its response.
#[test]
fn a_request_without_an_engines_response_fails_in_time() {
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
            response.ended_at - begun <= 2_010_000,
            "{} us",
            response.ended_at - begun
        );
        let attempts = cluster.attempts("one").len();
        cluster.runtime.sleep(5_000_000).await;
        assert_eq!(
            cluster.attempts("one").len(),
            attempts,
            "an attempt began after the response"
        );
    });
}

/// Prompts beyond the node's budget are rejected and not sent to engines. Once the other prompts have been dropped, requests
/// are served again.
#[test]
fn prompts_beyond_the_budget_are_rejected() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let bound = setup.config().bounds.prompt_bytes;
    setup.run(move |cluster| async move {
        let head = modified_request(
            &format!("Content-Length: {}", BODY.len()),
            "Content-Length: 250000",
        );
        let mut conns = Vec::new();
        for _ in 0..bound / 240_000 + 12 {
            let mut conn = cluster.connect().await;
            // The node may close a rejected connection before all bytes are written.
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

/// A client that reads its response slowly but steadily receives all of it. A client that reads nothing counts as
/// disconnected after the stall timeout, and its request ends.
#[test]
fn a_slow_client_is_served_and_a_stalled_one_is_disconnected() {
    for reads in [true, false] {
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
        setup.sim.update_network(|net| net.buffer_bytes = 2 << 10);
        setup.run(move |cluster| async move {
            let mut conn = cluster.connect().await;
            conn.write_all(&request("slow", "send", 4_800))
                .await
                .unwrap();
            wait_until(&cluster.runtime, "a stream", || {
                cluster.attempts("slow").iter().any(is_decode)
            })
            .await;
            if !reads {
                cluster.runtime.sleep(12_000_000).await;
                assert_eq!(
                    cluster.service.node().open_requests(),
                    0,
                    "the stalled client's request is still open"
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

/// A request that takes 3 s arrives on an idle connection while that connection is being evicted. Accepting waits for
/// evicted connections to close, but not for this request: clients that connect meanwhile are served.
#[test]
fn a_request_on_an_evicted_connection_does_not_block_accepts() {
    for offset in (0..300u64).step_by(10) {
        let setup = ClusterSetup::with_sockets(160, |received| {
            if received.id == "long" {
                EngineBehavior::Delayed(3_000_000)
            } else {
                EngineBehavior::Normal
            }
        });
        let bound = setup.config().bounds.client_connections;
        setup.sim.update_network(|net| net.jitter = 0);
        let (sim, node) = (setup.sim.clone(), setup.node.id());
        setup.run(move |cluster| async move {
            let mut first = cluster.connect().await;
            let mut rest = Vec::new();
            for _ in 1..bound {
                rest.push(cluster.connect().await);
            }
            let (client, address) = (cluster.client.clone(), cluster.address);
            let (done, connected) = async_channel::bounded(1);
            // The node is paused, so that it finds the request and the new connection at the same time.
            sim.set_paused(node, true);
            let (sender, resumer) = (cluster.client.clone(), cluster.client.clone());
            cluster.client.run(async move {
                sender.sleep(offset).await;
                // The connection may have been evicted already.
                let _ = first.write_all(&request("long", "draft", 7_000)).await;
                std::future::pending::<()>().await;
                drop(first);
            });
            cluster.client.run(async move {
                // The request takes one network latency to arrive, as does the connection: depending on the offset, the
                // request arrives before, with or after the connection.
                client.sleep(150).await;
                let connection = client.connect(address).await;
                client.sleep(10_000).await;
                done.send(connection).await.unwrap();
            });
            cluster.client.run(async move {
                resumer.sleep(2_000).await;
                sim.set_paused(node, false);
            });
            let _connection = connected.recv().await.unwrap();
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
