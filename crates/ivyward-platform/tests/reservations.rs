//! Rule 5 of the platform: a reservation whose request has no attempt at an engine is used or released within the settings'
//! time limit, even during network partitions.

mod common;
use common::*;
use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;
use ivyward::runtime::{RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

const RELEASE_WITHIN: Micros = 300_000;
const MS: Micros = 1_000;

/// Returns the longest reservation without an attempt among these requests, up to now.
fn longest_reservation(cluster: &Cluster, ids: &[String]) -> Micros {
    let (log, now) = (cluster.log.lock().unwrap(), cluster.runtime.now());
    ids.iter()
        .map(|id| log.longest_reservation(id, now))
        .max()
        .unwrap_or(0)
}

/// While no engine is reachable, releases stay pending and are retried at a limited rate. They are accepted once an engine
/// is reachable again.
#[test]
fn releases_stay_pending_until_an_engine_is_reachable() {
    let setup = ClusterSetup::new(|received| {
        if is_decode(received) {
            respond_with(REJECTED_UNPROCESSED)
        } else {
            EngineBehavior::Normal
        }
    });
    setup.run(|cluster| async move {
        // Each request is at its prefill engine when the partition begins.
        let mut conns = Vec::new();
        for n in 0..20 {
            let mut conn = cluster.connect().await;
            conn.write_all(&request(&format!("a{n}"), "send", 4_800))
                .await
                .unwrap();
            conns.push(conn);
        }
        cluster.runtime.sleep(600).await;
        cluster.partition(&[0, 1, 2, 3], true);
        drop(conns);
        cluster.runtime.sleep(30_000 * MS).await;
        let pending = cluster.service.node().pending_releases();
        assert!(pending > 0, "no release is pending");
        let sent_releases = cluster.service.node().metrics().releases.get();
        assert!(
            sent_releases < 20 * 60,
            "{sent_releases} releases were sent in 30 s"
        );
        cluster.partition(&[3], false);
        let healed_at = cluster.runtime.now();
        wait_until(&cluster.runtime, "no release is pending", || {
            cluster.service.node().pending_releases() == 0
        })
        .await;
        let took = cluster.runtime.now() - healed_at;
        // No other response shows that the engine is reachable. Releases try the four engines in turn, with a backoff of up
        // to eight release times before each.
        assert!(took < (4 * 8 + 2) * RELEASE_WITHIN, "{took} us");
        assert_eq!(cluster.service.node().metrics().releases_dropped.get(), 0);
    });
}

/// A node that is stopped during a partition sends its releases before it ends. If no engine is reachable, it still ends,
/// and counts the dropped release.
#[test]
fn a_stopping_node_releases_before_it_ends() {
    for reachable in [true, false] {
        let setup = ClusterSetup::new(|received| {
            if is_decode(received) {
                respond_with(REJECTED_UNPROCESSED)
            } else {
                EngineBehavior::Normal
            }
        });
        setup.run(move |cluster| async move {
            let mut conn = cluster.connect().await;
            conn.write_all(&request("last", "send", 4_800))
                .await
                .unwrap();
            wait_until(&cluster.runtime, "a prefill", || {
                cluster.attempts("last").iter().any(is_prefill)
            })
            .await;
            let prefilled_at = cluster.runtime.now();
            cluster.partition(if reachable { &[0, 1, 2] } else { &[0, 1, 2, 3] }, true);
            drop(conn);
            cluster.service.stop().await;
            let took = cluster.runtime.now() - prefilled_at;
            assert_eq!(cluster.service.node().open_requests(), 0);
            match reachable {
                true => {
                    let log = cluster.log.lock().unwrap();
                    assert!(
                        log.longest_reservation("last", cluster.runtime.now()) <= RELEASE_WITHIN
                    );
                    assert_eq!(cluster.service.node().metrics().releases_dropped.get(), 0);
                }
                false => {
                    assert_eq!(
                        cluster.service.node().metrics().releases_dropped.get(),
                        1,
                        "the dropped release is not counted"
                    )
                }
            }
            assert!(took < 12 * RELEASE_WITHIN + 1_000 * MS, "{took} us");
        });
    }
}

/// Returns what an engine does with a request, drawn from the request's id, the engine's number and a salt.
fn draw_fault(received: &EngineRequest, salt: u64) -> EngineBehavior {
    let hash = |text: &str| {
        text.bytes().fold(salt, |hash, byte| {
            (hash ^ u64::from(byte))
                .wrapping_mul(0x100_0000_01b3)
                .rotate_left(17)
        })
    };
    let id = if received.id.is_empty() {
        received.target.trim_start_matches("/v1/holds/")
    } else {
        &received.id
    };
    match (hash(id) ^ (received.engine as u64 * 7)) % 16 {
        _ if received.method == "DELETE" => EngineBehavior::Normal,
        // The connection closes without a response, so that the node does not know whether the request ran.
        0 | 1 => EngineBehavior::RespondAndClose(Vec::new()),
        2 | 3 => respond_with(REJECTED_UNPROCESSED),
        4 => EngineBehavior::Silent,
        5 => respond_with("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"),
        // The response to a reservation is late.
        6 | 7 if received.id.is_empty() => EngineBehavior::Delayed(300 * MS),
        8 => EngineBehavior::Delayed(900 * MS),
        9 if is_decode(received) => {
            respond_with("HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        }
        _ => EngineBehavior::Normal,
    }
}

/// Runs one client, which sends a request and waits for its response or disconnects.
async fn run_client(client: RuntimeRef, address: SocketAddr, n: u64, id: String) {
    client.sleep(n * 25 * MS).await;
    let class = if n % 3 == 0 { "send" } else { "draft" };
    let mut conn = client.connect(address).await.unwrap();
    conn.write_all(&request(&id, class, 800 + n * 31))
        .await
        .unwrap();
    if n % 4 == 1 {
        // The times of these disconnects cover all stages of a request.
        client.sleep((n * 37) % 900 * 1_000).await;
    } else {
        read_response(&client, &mut conn).await;
    }
}

/// Engines fail, do not respond, lose their response or confirm a reservation too late, and clients disconnect at any stage.
/// 120 requests of an idempotent and a non-idempotent class arrive 25 ms apart, about 60 of them open at once.
#[test]
fn reservations_are_released_in_time_however_attempts_end() {
    for salt in 0..12u64 {
        let setup = ClusterSetup::new(move |received| draw_fault(received, salt));
        setup.run(move |cluster| async move {
            let ids: Vec<String> = (0..120).map(|n| format!("w{n}")).collect();
            for (n, id) in ids.iter().enumerate() {
                let (client, address) = (cluster.client.clone(), cluster.address);
                let task = run_client(client, address, n as u64, id.clone());
                cluster.client.run(task);
            }
            cluster.runtime.sleep(15_000 * MS).await;
            let longest = longest_reservation(&cluster, &ids);
            assert!(
                longest <= RELEASE_WITHIN + 50 * MS,
                "salt {salt}: reserved for {longest} us"
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

/// Guards against a state that a cancelled prefill leaves while the response already streams from another engine.
#[test]
fn what_a_cancelled_prefill_leaves_during_the_stream_is_released() {
    let prefills = AtomicUsize::new(0);
    let setup = ClusterSetup::new(move |received| {
        match is_prefill(received) && prefills.fetch_add(1, Ordering::SeqCst) == 0 {
            true => EngineBehavior::Silent,
            false => EngineBehavior::Normal,
        }
    });
    setup.run(|cluster| async move {
        assert_eq!(cluster.send_request("one", "draft").await.status, 200);
        cluster.runtime.sleep(2_000 * MS).await;
        let attempts = cluster.attempts("one");
        assert_eq!(attempts.iter().filter(|a| is_prefill(a)).count(), 2);
        let streamed_at = attempts.iter().find(|a| is_decode(a)).unwrap().at;
        let releases = cluster.releases("one");
        let after = releases.iter().filter(|release| release.at > streamed_at);
        // The cancelled prefill may still be on its way, so its release is repeated twice.
        assert_eq!(after.count(), 3, "{releases:?}");
        assert_eq!(cluster.service.node().pending_releases(), 0);
    });
}

/// The engine with the reservation is removed from the list or begins to drain. The release is sent to an engine that is
/// still in the list.
#[test]
fn reservations_at_removed_or_draining_engines_are_released() {
    for state in ["removed", "draining"] {
        let setup = ClusterSetup::new(|received| {
            if is_decode(received) {
                EngineBehavior::Delayed(500 * MS)
            } else {
                EngineBehavior::Normal
            }
        });
        setup.run(move |cluster| async move {
            let mut conn = cluster.connect().await;
            conn.write_all(&request("one", "draft", 4_800))
                .await
                .unwrap();
            wait_until(&cluster.runtime, "a decode", || {
                cluster.attempts("one").iter().any(is_decode)
            })
            .await;
            cluster.update_list(list(&[state, state, "up", "up"]));
            cluster.runtime.sleep(50 * MS).await;
            drop(conn);
            cluster.runtime.sleep(3_000 * MS).await;
            let longest = longest_reservation(&cluster, &["one".into()]);
            assert!(
                longest <= RELEASE_WITHIN,
                "{state}: reserved for {longest} us"
            );
            assert!(
                cluster.releases("one").iter().all(|r| r.engine >= 2),
                "a release was sent to an engine that is {state}"
            );
            assert_eq!(cluster.service.node().pending_releases(), 0);
        });
    }
}

/// A release time of 20 ms, 60 ms or 120 ms is met, with a round trip of about 0.4 ms.
#[test]
fn a_short_release_time_is_met() {
    for within in [20, 60, 120] {
        let mut setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        setup.config = setup.config.replace(
            "\"let_go_by_us\":300000",
            &format!("\"let_go_by_us\":{}", within * MS),
        );
        for decode_engine in 2..4 {
            setup
                .sim
                .set_partitioned(setup.node.id(), setup.engines[decode_engine].id(), true);
        }
        setup.run(move |cluster| async move {
            let ids: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
            for id in &ids {
                cluster.send_request(id, "send").await;
            }
            cluster.runtime.sleep(2_000 * MS).await;
            let longest = longest_reservation(&cluster, &ids);
            assert!(
                longest <= within * MS,
                "release time {within} ms: reserved for {longest} us"
            );
        });
    }
}

/// Nodes start and serve requests with times that are 0, or much shorter or longer than usual.
#[test]
fn nodes_start_with_unusual_times() {
    let changes = [
        ("\"let_go_by_us\":300000", "\"let_go_by_us\":20000"),
        ("\"drain_grace_us\":1000000", "\"drain_grace_us\":100000"),
        ("\"retry_after\":true", "\"retry_after\":false"),
        ("\"dial_timeout_us\":250000", "\"dial_timeout_us\":1500000"),
        ("\"fall_us\":3000000", "\"fall_us\":0"),
        ("\"warm_after_us\":10000000", "\"warm_after_us\":0"),
        ("\"let_go_by_us\":300000", "\"let_go_by_us\":0"),
        ("\"dial_timeout_us\":250000", "\"dial_timeout_us\":400"),
        ("\"target_us\":1500000", "\"target_us\":9500000"),
        ("\"target_us\":1500000", "\"target_us\":0"),
        ("\"deadline_us\":7500000", "\"deadline_us\":400000"),
        ("\"deadline_us\":7500000", "\"deadline_us\":36000000000"),
        (
            "fragile\",\"target_us\":1500000,\"deadline_us\":7500000",
            "fragile\",\"target_us\":9,\"deadline_us\":9",
        ),
        ("\"semantics\":\"fragile\"", "\"semantics\":\"dedup\""),
        ("\"key_ttl_us\":5000000", "\"key_ttl_us\":0"),
    ];
    for (usual, unusual) in changes {
        let mut setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        assert!(setup.config.contains(usual), "{usual}");
        setup.config = setup.config.replace(usual, unusual);
        setup.run(|cluster| async move {
            assert_eq!(cluster.send_request("one", "draft").await.status, 200);
        });
    }
}

/// Requests of a keyed class whose deduplication window is 0 are served, but not retried: engines would not recognise the
/// retry.
#[test]
fn keyed_requests_without_a_deduplication_window_are_not_retried() {
    let mut setup = ClusterSetup::new(|received| {
        if is_decode(received) {
            EngineBehavior::RespondAndClose(Vec::new())
        } else {
            EngineBehavior::Normal
        }
    });
    setup.config = setup
        .config
        .replace("fragile", "dedup")
        .replace("\"key_ttl_us\":5000000", "\"key_ttl_us\":0");
    setup.run(|cluster| async move {
        assert_ne!(cluster.send_request("one", "send").await.status, 200);
        assert_eq!(
            cluster
                .attempts("one")
                .iter()
                .filter(|s| is_decode(s))
                .count(),
            1
        );
    });
}

/// 300 requests arrive at once, over 100 of them reach engines that do not respond, and all clients disconnect together. The
/// releases are sent although all other connections to engines are in use.
#[test]
fn releases_are_sent_while_all_other_connections_are_in_use() {
    let setup = ClusterSetup::with_sockets(700, |received| match received.method.as_str() {
        "POST" if received.id.starts_with('h') => EngineBehavior::Silent,
        _ => EngineBehavior::Normal,
    });
    setup.run(|cluster| async move {
        let ids: Vec<String> = (0..300).map(|n| format!("h{n}")).collect();
        let mut conns = Vec::new();
        for id in &ids {
            let mut conn = cluster.connect().await;
            conn.write_all(&request(id, "draft", 9_000)).await.unwrap();
            conns.push(conn);
        }
        let attempts = || {
            let log = cluster.log.lock().unwrap();
            log.requests
                .iter()
                .filter(|s| s.method == "POST" && !s.id.is_empty())
                .count()
        };
        wait_until(&cluster.runtime, "100 attempts at engines", || {
            attempts() >= 100
        })
        .await;
        drop(conns);
        cluster.runtime.sleep(3_000 * MS).await;
        let longest = longest_reservation(&cluster, &ids);
        assert!(longest <= RELEASE_WITHIN, "reserved for {longest} us");
        assert_eq!(cluster.service.node().pending_releases(), 0);
    });
}

/// A partition begins while a prefill, a reservation or a decode is being sent, and ends after the last release of the
/// request. Bytes of an abandoned attempt must not be retransmitted then: the engine would reserve something after the
/// release.
#[test]
fn requests_sent_into_a_partition_do_not_arrive_after_it() {
    for engines in [vec![0, 1], vec![2, 3], vec![0, 1, 2, 3], vec![0, 2]] {
        for disconnects in [false, true] {
            for after in (0..1_600).step_by(100) {
                let engines = engines.clone();
                ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
                    cluster.log.lock().unwrap().reservations_need_prefills = true;
                    // These requests open connections, so that the next one is sent without connecting.
                    for n in 0..4 {
                        cluster.send_request(&format!("w{n}"), "draft").await;
                    }
                    let mut conn = cluster.connect().await;
                    conn.write_all(&request("one", "draft", 700)).await.unwrap();
                    cluster.runtime.sleep(after).await;
                    cluster.partition(&engines, true);
                    if disconnects {
                        cluster.runtime.sleep(100 * MS).await;
                        drop(conn);
                    } else {
                        read_response(&cluster.client, &mut conn).await;
                    }
                    cluster.runtime.sleep(5_000 * MS).await;
                    let healed_at = cluster.runtime.now();
                    cluster.partition(&engines, false);
                    cluster.runtime.sleep(3_000 * MS).await;
                    let scenario = format!(
                        "partition of engines {engines:?} {after} us after the request, disconnects {disconnects}"
                    );
                    let is_attempt = |s: &&EngineRequest| {
                        s.id == "one" || s.target.ends_with("/one") && s.method == "POST"
                    };
                    let late = cluster
                        .engine_requests()
                        .iter()
                        .filter(is_attempt)
                        .filter(|s| s.at > healed_at)
                        .count();
                    assert_eq!(late, 0, "{scenario}: an abandoned attempt arrived");
                    // In the other partitions a decode may be lost, or no engine is reachable, until the partition ends.
                    if engines == [0, 1] {
                        let longest = longest_reservation(&cluster, &["one".into()]);
                        assert!(longest <= RELEASE_WITHIN, "{scenario}: {longest} us");
                    }
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

/// A decode is sent on an idle connection into a partition and does not arrive. The KV state that it was to fetch is
/// released in time, and does not stay reserved until the deadline of the decode.
#[test]
fn a_decode_sent_into_a_partition_does_not_delay_the_release() {
    for class in ["draft", "send"] {
        let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        setup.run(move |cluster| async move {
            // These requests open connections to all engines, which are then idle for 1.5 s.
            for n in 0..8 {
                assert_eq!(
                    cluster
                        .send_request(&format!("warm{n}"), class)
                        .await
                        .status,
                    200
                );
            }
            cluster.runtime.sleep(1_500 * MS).await;
            cluster.partition(&[2, 3], true);
            let mut conns = Vec::new();
            for n in 0..4 {
                let mut conn = cluster.connect().await;
                conn.write_all(&request(&format!("cut{n}"), class, 4_800))
                    .await
                    .unwrap();
                conns.push(conn);
            }
            cluster.runtime.sleep(3_000 * MS).await;
            let ids: Vec<String> = (0..4).map(|n| format!("cut{n}")).collect();
            assert!(
                longest_reservation(&cluster, &ids) <= RELEASE_WITHIN,
                "{class}: reserved for {} us",
                longest_reservation(&cluster, &ids)
            );
        });
    }
}

/// As above, with a partition that begins 20 ms after the engines' last response, so that the node cannot detect it before
/// it sends the decode.
#[test]
fn a_decode_sent_into_a_new_partition_does_not_delay_the_release() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.run(|cluster| async move {
        for n in 0..8 {
            assert_eq!(
                cluster
                    .send_request(&format!("warm{n}"), "draft")
                    .await
                    .status,
                200
            );
        }
        cluster.runtime.sleep(20 * MS).await;
        cluster.partition(&[2, 3], true);
        let mut conns = Vec::new();
        for n in 0..4 {
            let mut conn = cluster.connect().await;
            conn.write_all(&request(&format!("cut{n}"), "draft", 4_800))
                .await
                .unwrap();
            conns.push(conn);
        }
        cluster.runtime.sleep(3_000 * MS).await;
        let ids: Vec<String> = (0..4).map(|n| format!("cut{n}")).collect();
        assert!(
            longest_reservation(&cluster, &ids) <= RELEASE_WITHIN,
            "reserved for {} us",
            longest_reservation(&cluster, &ids)
        );
    });
}
