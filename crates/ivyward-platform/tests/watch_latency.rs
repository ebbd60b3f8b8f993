//! A change of the list takes effect within 6 s after discovery has it and can be reached, whichever calls to discovery fail
//! in between.

mod common;
use common::*;
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward_platform::Config;
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// The limit of 6 s, less 100 ms for a node with a fifth of a core to act on a list.
const MAX_DELAY: Micros = 5_900 * MS;

/// One prefill and one decode engine begin to drain while discovery responds to the next calls with `faults`. Under steady
/// requests the node sends them nothing after `MAX_DELAY`. `silence` also makes the open long poll unresponsive.
fn check_drain_delay(name: &str, silence: bool, faults: &[DiscoveryBehavior]) {
    // Milliseconds after the long poll began to wait: at its beginning, in its middle and just before its end.
    for after in [2, 700, 1_490] {
        let faults = faults.to_vec();
        let name = format!("{name}, {after} ms");
        ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
            // Ends the current long poll, and the node begins the next one.
            cluster.update_list(list(&["up"; 4]));
            cluster.runtime.sleep(after * MS).await;
            {
                let mut discovery = cluster.faults.lock().unwrap();
                discovery.next = faults.into();
                if silence {
                    discovery.silence();
                }
            }
            cluster.update_list(list(&["draining", "up", "draining", "up"]));
            let changed_at = cluster.runtime.now();
            for n in 0..100 {
                cluster.send_request(&format!("r{n}"), "draft").await;
                cluster.runtime.sleep(60 * MS).await;
            }
            let to_draining = |received: &&EngineRequest| {
                matches!(received.engine, 0 | 2) && received.method == "POST"
            };
            let last = cluster
                .engine_requests()
                .iter()
                .filter(to_draining)
                .map(|s| s.at)
                .max()
                .unwrap_or(0);
            assert!(
                last < changed_at + MAX_DELAY,
                "{name}: a request {} us after the change",
                last - changed_at
            );
            let calls = cluster.faults.lock().unwrap().calls;
            assert!(calls < 60, "{name}: {calls} calls to discovery");
        });
    }
}

#[test]
fn an_open_long_poll_becomes_unresponsive() {
    check_drain_delay("unresponsive", true, &[]);
}

#[test]
fn an_unresponsive_long_poll_then_calls_without_a_response() {
    check_drain_delay(
        "unresponsive, then three calls without a response",
        true,
        &[
            DiscoveryBehavior::Silent,
            DiscoveryBehavior::Silent,
            DiscoveryBehavior::Silent,
        ],
    );
}

#[test]
fn calls_that_fail_quickly_one_after_the_other() {
    let faults = [
        DiscoveryBehavior::Reset,
        DiscoveryBehavior::Close,
        DiscoveryBehavior::Status(503),
        DiscoveryBehavior::Truncate(30),
        DiscoveryBehavior::Truncate(200),
        DiscoveryBehavior::Close,
    ];
    check_drain_delay("quick failures", false, &faults);
    check_drain_delay("unresponsive, then quick failures", true, &faults);
}

#[test]
fn responses_that_stall_within_their_head_or_body() {
    check_drain_delay(
        "partial responses",
        false,
        &[DiscoveryBehavior::Stall(10), DiscoveryBehavior::Stall(120)],
    );
    check_drain_delay(
        "unresponsive, then partial responses",
        true,
        &[DiscoveryBehavior::Stall(10), DiscoveryBehavior::Stall(120)],
    );
}

#[test]
fn malformed_responses() {
    let bodies = [
        "{",
        "[]",
        "null",
        "{\"version\":\"x\"}",
        "{\"version\":-1,\"full\":true,\"servers\":[]}",
        "{\"version\":2,\"full\":true,\"servers\":{}}",
    ];
    let faults: Vec<DiscoveryBehavior> = bodies
        .iter()
        .map(|b| DiscoveryBehavior::Body((*b).to_owned()))
        .collect();
    check_drain_delay("malformed", false, &faults);
    check_drain_delay("unresponsive, then malformed", true, &faults);
}

/// Responses with an older version are ignored; the next call returns the current list.
#[test]
fn responses_with_an_older_version() {
    let old = format!(
        r#"{{"version":0,"full":false,"servers":[{}]}}"#,
        list_entry(0, "up")
    );
    check_drain_delay(
        "older version",
        false,
        &[
            DiscoveryBehavior::Body(old.clone()),
            DiscoveryBehavior::Body(old),
        ],
    );
}

/// Changes of an older version do not undo a drain, even if no newer response is received for seconds.
#[test]
fn changes_of_an_older_version_do_not_undo_a_drain() {
    ClusterSetup::new(|_| EngineBehavior::Normal).run(|cluster| async move {
        cluster.update_list(list(&["draining", "up", "draining", "up"]));
        cluster.runtime.sleep(20 * MS).await;
        let changed_at = cluster.runtime.now();
        let older = format!(
            r#"{{"version":1,"full":false,"servers":[{},{}]}}"#,
            list_entry(0, "up"),
            list_entry(2, "up")
        );
        {
            let mut faults = cluster.faults.lock().unwrap();
            // The next long poll returns the older version. The node then requests the full list, and that call hangs.
            faults.next = [DiscoveryBehavior::Body(older), DiscoveryBehavior::Silent].into();
        }
        for n in 0..60 {
            cluster.send_request(&format!("r{n}"), "draft").await;
            cluster.runtime.sleep(50 * MS).await;
        }
        let late = cluster
            .engine_requests()
            .iter()
            .filter(|s| s.at > changed_at && matches!(s.engine, 0 | 2))
            .count();
        assert_eq!(late, 0);
        assert!(
            cluster.faults.lock().unwrap().next.is_empty(),
            "the node made fewer than two calls"
        );
    });
}

/// After a rejection (429 or 503) the node requests the changes again, which cost discovery less than the full list. After
/// any other failure it requests the full list.
#[test]
fn after_a_rejection_changes_are_requested_again() {
    for (fault, requests_changes) in [
        (DiscoveryBehavior::Status(503), true),
        (DiscoveryBehavior::Status(429), true),
        (DiscoveryBehavior::Status(500), false),
    ] {
        ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
            cluster.update_list(list(&["up"; 4]));
            cluster.runtime.sleep(100 * MS).await;
            let calls_before = {
                let mut faults = cluster.faults.lock().unwrap();
                faults.next = [fault.clone()].into();
                faults.targets.len()
            };
            wait_until(&cluster.runtime, "three calls", || {
                cluster.faults.lock().unwrap().targets.len() >= calls_before + 3
            })
            .await;
            let targets =
                cluster.faults.lock().unwrap().targets[calls_before..calls_before + 3].to_vec();
            // The first of the three calls is the long poll after the open one; it gets the fault.
            let changes: Vec<bool> = targets.iter().map(|t| t.contains("from=2")).collect();
            assert_eq!(changes[1], requests_changes, "{fault:?}: {targets:?}");
            assert!(changes[2], "{fault:?}: {targets:?}");
        });
    }
}

/// Discovery takes 1.6 s for each call. The node still receives the list in time: it does not abandon a slow call for the
/// next one, and makes at most 10 calls in 8 s, so that it does not overload discovery further.
#[test]
fn calls_to_an_overloaded_discovery_are_not_abandoned() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.run(|cluster| async move {
        {
            let mut discovery = cluster.faults.lock().unwrap();
            discovery.always = Some(DiscoveryBehavior::Delayed(1_600 * MS));
            discovery.silence();
        }
        cluster.update_list(list(&["draining", "up", "draining", "up"]));
        let (changed_at, calls) = (cluster.runtime.now(), cluster.faults.lock().unwrap().calls);
        for n in 0..140 {
            cluster.send_request(&format!("r{n}"), "draft").await;
            cluster.runtime.sleep(60 * MS).await;
        }
        let to_draining = |received: &&EngineRequest| {
            matches!(received.engine, 0 | 2) && received.method == "POST"
        };
        let last = cluster
            .engine_requests()
            .iter()
            .filter(to_draining)
            .map(|s| s.at)
            .max()
            .unwrap_or(0);
        assert!(
            last < changed_at + MAX_DELAY,
            "a request {} us after the change",
            last - changed_at
        );
        let calls = cluster.faults.lock().unwrap().calls - calls;
        assert!(calls <= 10, "{calls} calls in 8 s");
    });
}

/// While discovery is down for 8 s, the last list stays in use. Once discovery is back, its list takes effect within 1.2 s.
#[test]
fn the_list_is_updated_soon_after_an_outage_of_discovery() {
    for outage in [DiscoveryBehavior::Silent, DiscoveryBehavior::Reset] {
        let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        setup.run(move |cluster| async move {
            {
                let mut discovery = cluster.faults.lock().unwrap();
                discovery.always = Some(outage.clone());
                discovery.silence();
            }
            cluster.update_list(list(&["draining", "up", "draining", "up"]));
            for n in 0..80 {
                assert_eq!(
                    cluster
                        .send_request(&format!("down{n}"), "draft")
                        .await
                        .status,
                    200
                );
                cluster.runtime.sleep(100 * MS).await;
            }
            cluster.faults.lock().unwrap().always = None;
            let recovered_at = cluster.runtime.now();
            for n in 0..60 {
                cluster.send_request(&format!("up{n}"), "draft").await;
                cluster.runtime.sleep(50 * MS).await;
            }
            let to_draining = |received: &&EngineRequest| {
                matches!(received.engine, 0 | 2)
                    && received.method == "POST"
                    && received.at > recovered_at
            };
            let last = cluster
                .engine_requests()
                .iter()
                .filter(to_draining)
                .map(|s| s.at)
                .max()
                .unwrap_or(recovered_at);
            let delay = last - recovered_at;
            assert!(delay < 1_200 * MS, "{outage:?}: {delay} us");
        });
    }
}

/// A node that starts without a cached list during an outage of discovery is ready within 1 s after the outage.
#[test]
fn a_node_started_without_discovery_is_ready_soon_after_the_outage() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.faults.lock().unwrap().always = Some(DiscoveryBehavior::Silent);
    let (faults, client) = (setup.faults.clone(), setup.client.runtime());
    let (runtime, config) = (setup.runtime.clone(), setup.config());
    let result = setup.sim.run(&setup.node, RUN_TIMEOUT, async move {
        let service = ivyward_platform::Service::start(runtime.clone(), config)
            .await
            .unwrap();
        runtime.sleep(8_000 * MS).await;
        faults.lock().unwrap().always = None;
        runtime.sleep(1_000 * MS).await;
        let mut conn = client.connect(service.address()).await.unwrap();
        futures_lite::AsyncWriteExt::write_all(&mut conn, b"GET /healthz HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        assert_eq!(read_response(&client, &mut conn).await.status, 200);
    });
    result.unwrap();
}

/// If a reload changes the address of discovery while a call to the old address hangs, the node calls the new address at
/// once.
#[test]
fn the_address_of_discovery_changes_while_a_call_hangs() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let (new_host, new_address) = (setup.sim.host(44), SocketAddr::from(([127, 0, 2, 2], 8500)));
    let new_list = std::sync::Arc::new(std::sync::Mutex::new((
        70,
        list(&["draining", "up", "draining", "up"]),
    )));
    start_discovery(&new_host, new_address, &new_list, &Default::default());
    let new_config = config(new_address, 1024);
    setup.run(move |cluster| async move {
        {
            let mut discovery = cluster.faults.lock().unwrap();
            discovery.always = Some(DiscoveryBehavior::Silent);
            discovery.silence();
        }
        cluster.runtime.sleep(100 * MS).await;
        cluster
            .service
            .reload(&Config::parse("f", new_config.as_bytes()).unwrap());
        cluster.runtime.sleep(50 * MS).await;
        let changed_at = cluster.runtime.now();
        for n in 0..20 {
            cluster.send_request(&format!("r{n}"), "draft").await;
        }
        let late = cluster
            .engine_requests()
            .iter()
            .filter(|s| s.at > changed_at && matches!(s.engine, 0 | 2))
            .count();
        assert_eq!(late, 0);
    });
}

/// An indented list of 1,500 engines over a slow connection: it is longer than the limit on a request's body (256 KiB), and
/// takes longer than the timeout of the first call.
#[test]
fn a_long_list_over_a_slow_connection() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    {
        let mut list = setup.list.lock().unwrap();
        for n in 0..1_500 {
            let entry = format!(
                ",\n        {{\n            \"id\": \"s-x{n:06}\",\n            \"addr\": \"127.0.3.1:{}\",\n            \"zone\": \"a\",\n            \"kind\": \"prefill\",\n            \"cell\": 3,\n            \"state\": \"draining\",\n            \"weight\": 1.0,\n            \"started_ms\": 0\n        }}",
                10_000 + n
            );
            list.1.push_str(&entry);
        }
        assert!(list.1.len() > 256 << 10);
    }
    // 100 kB/s, which is about 4 s for the list.
    setup.faults.lock().unwrap().always = Some(DiscoveryBehavior::Slow(5_000, 50 * MS));
    setup.run(|cluster| async move {
        assert_eq!(cluster.service.node().metrics().engines.get(), 1_504);
        assert_eq!(cluster.send_request("one", "draft").await.status, 200);
    });
}

/// A cached list that is malformed, or contains a malformed entry, does not prevent a start.
#[test]
fn a_malformed_cached_list_is_ignored() {
    for known in [
        "17",
        "\"x\"",
        "{\"servers\":3}",
        "{\"version\":1,\"full\":true,\"servers\":[{},7]}",
        "null",
    ] {
        let mut setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        setup.config = setup
            .config
            .replacen('{', &format!("{{\"known\":{known},"), 1);
        setup.run(|cluster| async move {
            assert_eq!(cluster.send_request("one", "draft").await.status, 200);
        });
    }
}
