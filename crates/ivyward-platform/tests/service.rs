//! The configuration of a node, changes of the list, reload and stop.

mod common;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::runtime::{Conn, RuntimeExt, RuntimeRef};
use ivyward_platform::Config;

#[test]
fn an_invalid_configuration_is_reported_with_its_field_in_one_line() {
    let valid = ClusterSetup::new(|_| EngineBehavior::Normal).config;
    assert!(Config::parse("f", valid.as_bytes()).is_ok());
    let invalid = [
        (
            valid.replace("127.0.0.9:8080", "somewhere"),
            "listen somewhere",
        ),
        (
            valid.replace("\"sockets\":1024", "\"sockets\":20"),
            "limits.sockets 20",
        ),
        (
            valid.replace("\"memory_mb\":64", "\"memory_mb\":1"),
            "limits.memory_mb 1",
        ),
        (
            valid.replace("retryable", "sometimes"),
            "\"sometimes\" of classes.0.semantics",
        ),
        (
            valid.replace("[\"read\",\"write\"]", "[\"read\",\"sing\"]"),
            "kind_role",
        ),
        (
            valid.replace(
                "\"target_us\":1500000,\"deadline_us\":7500000,\"importance\":2.0",
                "\"importance\":2.0",
            ),
            "target_us",
        ),
        (
            valid.replace("\"name\":\"send\"", "\"name\":\"draft\""),
            "draft",
        ),
        (valid[..200].to_owned(), "f: "),
    ];
    for (text, expected) in invalid {
        let error = Config::parse("f", text.as_bytes()).unwrap_err().to_string();
        assert!(
            error.contains(expected) && !error.contains('\n'),
            "{expected}: {error}"
        );
    }
}

/// The bounds never use more file descriptors or memory than the limits allow.
#[test]
fn bounds_fit_into_the_limits() {
    for sockets in [160, 256, 512, 1024] {
        let bounds = ClusterSetup::with_sockets(sockets, |_| EngineBehavior::Normal)
            .config()
            .bounds;
        assert!(
            bounds.client_connections + bounds.engine_connections < sockets,
            "{bounds:?}"
        );
        assert!(
            bounds.client_connections >= sockets / 3,
            "fewer client connections than a third of the descriptors: {bounds:?}"
        );
        assert!(
            bounds.prompt_bytes + bounds.response_buffer * bounds.client_connections
                < 64_000_000 / 2,
            "{bounds:?}"
        );
    }
}

/// Rule 3: no new request is sent to a draining engine. Malformed entries of the list do not affect the others.
#[test]
fn drains_apply_beside_malformed_entries() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        assert_eq!(cluster.send_request("before", "draft").await.status, 200);
        let text = list(&["up", "draining", "up", "removed"]);
        cluster.update_list(format!(
            "{text},{},{}",
            r#"{"id":"s-9","addr":"nowhere","state":"up"}"#, "17"
        ));
        cluster.runtime.sleep(20_000).await;
        let listed_at = cluster.runtime.now();
        for n in 0..12 {
            assert_eq!(
                cluster.send_request(&format!("r{n}"), "draft").await.status,
                200
            );
        }
        let late: Vec<EngineRequest> = cluster
            .engine_requests()
            .into_iter()
            .filter(|s| s.at > listed_at && matches!(s.engine, 1 | 3))
            .collect();
        assert!(late.is_empty(), "{late:?}");
        // An engine that is up again is used again.
        cluster.update_list(list(&["draining", "up", "up", "up"]));
        cluster.runtime.sleep(20_000).await;
        assert_eq!(cluster.send_request("after", "draft").await.status, 200);
        assert_eq!(cluster.attempts("after")[0].engine, 1);
    });
}

/// While discovery is down, the last list stays in use. After a reload with a new address of discovery, the list from there
/// applies.
#[test]
fn the_list_stays_while_discovery_is_down_and_follows_a_new_address() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let (new_host, new_address) = (
        setup.sim.host(44),
        std::net::SocketAddr::from(([127, 0, 2, 2], 8500)),
    );
    let new_list = std::sync::Arc::new(std::sync::Mutex::new((
        70,
        list(&["up", "draining", "up", "draining"]),
    )));
    start_discovery(&new_host, new_address, &new_list, &Default::default());
    let new_config = config(new_address, 1024);
    let sim = setup.sim.clone();
    setup.run(move |cluster| async move {
        // Kills the first discovery: host 2 in the order of creation, counted from 0.
        sim.kill(2, false);
        cluster.runtime.sleep(30_000_000).await;
        assert_eq!(
            cluster.send_request("one", "draft").await.status,
            200,
            "the last list is no longer used"
        );
        cluster
            .service
            .reload(&Config::parse("f", new_config.as_bytes()).unwrap());
        cluster.runtime.sleep(1_000_000).await;
        let listed_at = cluster.runtime.now();
        for n in 0..8 {
            assert_eq!(
                cluster.send_request(&format!("r{n}"), "draft").await.status,
                200
            );
        }
        let late = cluster
            .engine_requests()
            .into_iter()
            .filter(|s| s.at > listed_at && matches!(s.engine, 1 | 3))
            .count();
        assert_eq!(
            late, 0,
            "requests were sent to engines that drain in the new list"
        );
    });
}

/// After a stop signal new requests are accepted for 650 ms, all accepted ones are answered, and then the node stops.
#[test]
fn a_stop_answers_all_accepted_requests() {
    let setup = ClusterSetup::new(|received| {
        if received.engine >= 2 {
            EngineBehavior::Delayed(900_000)
        } else {
            EngineBehavior::Normal
        }
    });
    setup.run(|cluster| async move {
        let (client, address) = (cluster.client.clone(), cluster.address);
        let mut idle = cluster.connect().await;
        idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        assert_eq!(read_response(&client, &mut idle).await.status, 200);
        let mut early = cluster.connect().await;
        early
            .write_all(&request("early", "send", 4_800))
            .await
            .unwrap();
        wait_until(&cluster.runtime, "an attempt", || {
            !cluster.attempts("early").is_empty()
        })
        .await;
        let (done, responses) = async_channel::unbounded();
        for (id, after) in [("late1", 100_000), ("late2", 390_000)] {
            let (client, done) = (client.clone(), done.clone());
            cluster.client.run(async move {
                client.sleep(after).await;
                let mut conn = client.connect(address).await.unwrap();
                conn.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
                    .await
                    .unwrap();
                assert_eq!(read_response(&client, &mut conn).await.status, 503);
                let mut conn = client.connect(address).await.unwrap();
                conn.write_all(&request(id, "send", 4_800)).await.unwrap();
                done.send(read_response(&client, &mut conn).await)
                    .await
                    .unwrap();
            });
        }
        cluster.service.stop().await;
        let early = read_response(&client, &mut early).await;
        assert_eq!((early.status, early.complete), (200, true));
        for _ in 0..2 {
            let late = responses.recv().await.unwrap();
            assert_eq!(
                (late.status, late.complete, late.closes_connection),
                (200, true, true)
            );
        }
        assert!(
            client.connect(address).await.is_err(),
            "the node still listens"
        );
    });
}

/// Two nodes of different deployments in one process share no settings, lists or metrics.
#[test]
fn two_deployments_in_one_process_are_isolated() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let (host, discovery) = (
        setup.sim.host(70),
        std::net::SocketAddr::from(([127, 0, 2, 9], 8500)),
    );
    let other_list = std::sync::Arc::new(std::sync::Mutex::new((
        5,
        list(&["up", "removed", "up", "removed"]),
    )));
    start_discovery(&host, discovery, &other_list, &Default::default());
    let other = config(discovery, 256)
        .replace("127.0.0.9:8080", "127.0.0.8:8080")
        .replace("\"name\":\"draft\"", "\"name\":\"quote\"")
        .replace("\"deadline_us\":7500000", "\"deadline_us\":400000")
        .replace("\"name\":\"acme\"", "\"name\":\"zeta\"");
    setup.run(move |cluster| async move {
        let other = Config::parse("other", other.as_bytes()).unwrap();
        let second = ivyward_platform::Service::start(cluster.runtime.clone(), other)
            .await
            .unwrap();
        wait_until(&cluster.runtime, "the second list", || {
            second.node().metrics().engines.get() == 2
        })
        .await;
        assert_eq!(
            cluster.service.node().metrics().engines.get(),
            4,
            "the first node uses the list of the second"
        );
        assert_eq!(cluster.send_request("one", "draft").await.status, 200);
        assert_eq!(
            cluster.send_request("two", "quote").await.status,
            400,
            "a class of the other deployment was accepted"
        );
        let attempts = cluster.attempts("one");
        assert!(
            attempts[0].timeout_ms > 1_000,
            "the deadline of the other deployment was used: {attempts:?}"
        );
        let mut conn = cluster.client.connect(second.address()).await.unwrap();
        let text = String::from_utf8(request("three", "quote", 4_800))
            .unwrap()
            .replace("acme", "zeta");
        conn.write_all(text.as_bytes()).await.unwrap();
        assert_eq!(read_response(&cluster.client, &mut conn).await.status, 200);
        assert!(cluster
            .attempts("three")
            .iter()
            .all(|s| s.timeout_ms <= 400 && s.engine % 2 == 0));
        assert_eq!(cluster.service.node().metrics().requests.get(), 1);
        assert_eq!(second.node().metrics().requests.get(), 1);
    });
}

/// A request is sent on an idle connection at about the time when a stopping node closes the connection. The request is
/// either answered or not read at all. After the stop, when the process would end, nothing is sent to engines.
#[test]
fn a_request_during_the_close_at_a_stop_is_answered_or_not_read() {
    let (mut answered, mut closed) = (0, 0);
    // The node closes the connection 650 ms after the stop signal; the network latency is 200 us.
    for sent_at in 649_780..649_820 {
        let (outcome, outcomes) = std::sync::mpsc::channel();
        let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        setup.sim.update_network(|net| net.jitter = 0);
        setup.run(move |cluster| async move {
            let client = cluster.client.clone();
            let mut idle = cluster.connect().await;
            idle.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
                .await
                .unwrap();
            assert_eq!(read_response(&client, &mut idle).await.status, 200);
            let (done, response) = async_channel::bounded(1);
            cluster.client.run(async move {
                client.sleep(sent_at).await;
                // The connection may have been closed already.
                let _ = idle.write_all(&request("crosses", "send", 4_800)).await;
                done.send(read_response(&client, &mut idle).await)
                    .await
                    .unwrap();
            });
            cluster.service.stop().await;
            let stopped = cluster.runtime.now();
            cluster.runtime.sleep(2_000_000).await;
            let attempts = cluster.attempts("crosses");
            assert!(
                attempts.iter().all(|a| a.at <= stopped),
                "{sent_at}: attempts after the stop: {attempts:?}"
            );
            let response = response.recv().await.unwrap();
            assert_eq!(
                attempts.is_empty(),
                response.status == 0,
                "{sent_at}: {response:?}"
            );
            assert!(
                response.status == 0
                    || (response.status == 200 && response.complete && response.closes_connection)
            );
            outcome.send(response.status).unwrap();
        });
        match outcomes.recv().unwrap() {
            0 => closed += 1,
            _ => answered += 1,
        }
    }
    assert!(
        answered > 0 && closed > 0,
        "the send times do not cover both cases: {answered} answered, {closed} closed"
    );
}

/// The time after the stop signal after which a request that is cut off by the end of the process counts as lost: 700 ms.
const TAKEN_LATE: u64 = 700_000;
/// The earliest end of the process, counted from the stop signal: 3 s for the longest deadline, and 700 ms.
const EARLIEST_KILL: u64 = 3_700_000;

/// How a client pauses in the middle of its request.
#[derive(Clone, Copy, Debug)]
enum Pause {
    InHead,
    BeforeBody,
    InBody,
    InChunks,
    BeforeLastByte,
    AfterContinue,
}

/// Returns the two parts of a request, between which the client pauses.
fn parts(id: &str, pause: Pause) -> (Vec<u8>, Vec<u8>) {
    let mut bytes = request(id, "draft", 7_500);
    let body_at = bytes.len() - BODY.len();
    let head = |framing: &str| {
        let text = String::from_utf8(bytes[..body_at].to_vec()).unwrap();
        text.replace(&format!("Content-Length: {}", BODY.len()), framing)
    };
    let at = match pause {
        Pause::InHead => body_at / 2,
        Pause::BeforeBody => body_at,
        Pause::InBody => body_at + 10,
        Pause::BeforeLastByte => bytes.len() - 1,
        Pause::InChunks => {
            let (first, second) = BODY.split_at(10);
            let begin = format!(
                "{}{:x}\r\n{first}\r\n",
                head("Transfer-Encoding: chunked"),
                first.len()
            );
            let end = format!("{:x}\r\n{second}\r\n0\r\n\r\n", second.len());
            return (begin.into_bytes(), end.into_bytes());
        }
        Pause::AfterContinue => {
            let expecting = format!("Expect: 100-continue\r\nContent-Length: {}", BODY.len());
            return (head(&expecting).into_bytes(), BODY.as_bytes().to_vec());
        }
    };
    let end = bytes.split_off(at);
    (bytes, end)
}

/// Reads a final response, behind `100 Continue` if there is one.
async fn read_final_response(client: &RuntimeRef, conn: &mut Conn) -> Response {
    let response = read_response(client, conn).await;
    match response.status {
        100 => read_response(client, conn).await,
        _ => response,
    }
}

/// Guards against streams that the end of the process cuts: a request of which a part came before the stop was forwarded whenever
/// its rest came. What is whole within 680 ms of the stop is served, what comes later is rejected and sent to no engine.
#[test]
fn a_request_completed_late_after_a_stop_is_rejected_and_not_forwarded() {
    let pauses = [
        Pause::InHead,
        Pause::BeforeBody,
        Pause::InBody,
        Pause::InChunks,
        Pause::BeforeLastByte,
        Pause::AfterContinue,
    ];
    for pause in pauses {
        for (first_at, last_at) in [(0, 500), (200, 640), (200, 800), (640, 1_100), (640, 2_500)] {
            ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
                let (client, stop_at) = (cluster.client.clone(), cluster.runtime.now());
                let mut conn = cluster.connect().await;
                let (begin, end) = parts("half", pause);
                let (done, response) = async_channel::bounded(1);
                let clients = client.clone();
                client.run(async move {
                    clients.sleep_until(stop_at + first_at * 1_000).await;
                    conn.write_all(&begin).await.unwrap();
                    clients.sleep_until(stop_at + last_at * 1_000).await;
                    conn.write_all(&end).await.unwrap();
                    done.send(read_final_response(&clients, &mut conn).await)
                        .await
                        .unwrap();
                });
                cluster.service.stop().await;
                let took = cluster.runtime.now() - stop_at;
                let response = response.recv().await.unwrap();
                let attempts = cluster.attempts("half");
                let case = format!("{pause:?}, {last_at} ms: {response:?}, {attempts:?}");
                assert!(response.complete && response.closes_connection, "{case}");
                if last_at * 1_000 < TAKEN_LATE {
                    assert_eq!(response.status, 200, "{case}");
                } else {
                    assert_eq!((response.status, attempts.len()), (503, 0), "{case}");
                }
                assert!(took < EARLIEST_KILL, "{case}: stopped after {took} us");
            });
        }
    }
}

/// Guards against a request that was read behind another one and closed without an answer, or forwarded after the stop.
#[test]
fn a_request_behind_another_one_at_a_stop_gets_its_answer() {
    let script = |received: &EngineRequest| match is_decode(received) {
        true => EngineBehavior::Delayed(1_000_000),
        false => EngineBehavior::Normal,
    };
    for first in ["first", "a first request without an id"] {
        ClusterSetup::new(script).run(move |cluster| async move {
            let client = cluster.client.clone();
            let mut conn = cluster.connect().await;
            let id = first.replace(' ', "/");
            let mut bytes = request(&id, "draft", 4_800);
            bytes.extend(request("second", "draft", 4_800));
            let stopping = async {
                cluster.runtime.sleep(10_000).await;
                cluster.service.stop().await;
            };
            let (responses, ()) = futures_lite::future::zip(
                async {
                    conn.write_all(&bytes).await.unwrap();
                    let mut unread = Vec::new();
                    conn.read_to_end(&mut unread).await.unwrap();
                    String::from_utf8(unread).unwrap()
                },
                stopping,
            )
            .await;
            drop(client);
            assert_eq!(responses.matches("HTTP/1.1 ").count(), 2, "{responses}");
        });
    }
}

/// Guards against a late request on a connection whose close was already requested.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_after_a_stop_is_not_forwarded() {
    for sent_after in (649_000..651_200).step_by(100) {
        ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
            let (client, stop_at) = (cluster.client.clone(), cluster.runtime.now());
            let mut conn = cluster.connect().await;
            conn.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
                .await
                .unwrap();
            assert_eq!(read_response(&client, &mut conn).await.status, 200);
            let clients = client.clone();
            let (done, ended) = async_channel::bounded(1);
            client.run(async move {
                clients.sleep_until(stop_at + sent_after).await;
                let _ = conn.write_all(&request("crossing", "draft", 4_800)).await;
                done.send(read_response(&clients, &mut conn).await)
                    .await
                    .unwrap();
            });
            cluster.service.stop().await;
            let response = ended.recv().await.unwrap();
            assert!(
                matches!(response.status, 0 | 200 | 503),
                "{sent_after}: {response:?}"
            );
            let late = cluster.attempts("crossing").into_iter();
            let late: Vec<_> = late.filter(|sent| sent.at > stop_at + TAKEN_LATE).collect();
            assert!(late.is_empty(), "{sent_after}: {late:?}");
        });
    }
}
