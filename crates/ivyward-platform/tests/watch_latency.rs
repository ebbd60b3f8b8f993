//! A change of the list takes effect 6 s after discovery had it and could be reached, whatever call failed meanwhile.

mod common;
use common::*;
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward_platform::Config;
use std::net::SocketAddr;

const MS: Micros = 1_000;
/// The longest delay, less what a node with a fifth of a core may take to act on a list.
const MAX_DELAY: Micros = 5_900 * MS;

/// One prefill and one decode engine begin to drain while discovery has `faults`; under steady requests the node sends them
/// nothing after the longest delay.
fn check_drain_delay(name: &str, silence: bool, faults: &[DiscoveryBehavior]) {
    // Just after a response, in the middle of a wait, just before its end.
    for after in [2, 700, 1_490] {
        let faults = faults.to_vec();
        let name = format!("{name}, {after} ms");
        ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
            // The long poll begins to wait.
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
            let at = |received: &&EngineRequest| {
                matches!(received.engine, 0 | 2) && received.method == "POST"
            };
            let last = cluster
                .engine_requests()
                .iter()
                .filter(at)
                .map(|s| s.at)
                .max()
                .unwrap_or(0);
            assert!(
                last < changed_at + MAX_DELAY,
                "{name}: a send {} us after the change",
                last - changed_at
            );
            assert!(
                cluster.faults.lock().unwrap().calls < 60,
                "{name}: discovery is not overloaded"
            );
        });
    }
}

#[test]
fn an_open_long_poll_falls_silent() {
    check_drain_delay("silent", true, &[]);
}

#[test]
fn a_silent_long_poll_then_calls_without_a_response() {
    check_drain_delay(
        "silent, three more",
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
    check_drain_delay("quick", false, &faults);
    check_drain_delay("silent, then quick", true, &faults);
}

#[test]
fn responses_that_stall_within_their_head_or_body() {
    check_drain_delay(
        "part",
        false,
        &[DiscoveryBehavior::Stall(10), DiscoveryBehavior::Stall(120)],
    );
    check_drain_delay(
        "silent, then part",
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
    check_drain_delay("silent, then malformed", true, &faults);
}

/// Changes of an older version are outdated; the present list follows with the next call.
#[test]
fn versions_that_go_backwards() {
    let old = format!(
        r#"{{"version":0,"full":false,"servers":[{}]}}"#,
        list_entry(0, "up")
    );
    check_drain_delay(
        "back",
        false,
        &[
            DiscoveryBehavior::Body(old.clone()),
            DiscoveryBehavior::Body(old),
        ],
    );
}

/// A drain is not undone by changes of an older version, though nothing newer is received for long.
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
            // The next watch is answered so; the list is asked for after it, and that call hangs.
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
            "both were asked for"
        );
    });
}

/// After a rejection the changes are asked for again, which cost discovery less than the full list; after any other failure
/// the full list is asked for.
#[test]
fn after_a_rejection_changes_are_asked_for_again() {
    for (fault, news) in [
        (DiscoveryBehavior::Status(503), true),
        (DiscoveryBehavior::Status(429), true),
        (DiscoveryBehavior::Status(500), false),
    ] {
        ClusterSetup::new(|_| EngineBehavior::Normal).run(move |cluster| async move {
            cluster.update_list(list(&["up"; 4]));
            cluster.runtime.sleep(100 * MS).await;
            let sent_releases = {
                let mut faults = cluster.faults.lock().unwrap();
                faults.next = [fault.clone()].into();
                faults.targets.len()
            };
            wait_until(&cluster.runtime, "three calls", || {
                cluster.faults.lock().unwrap().targets.len() >= sent_releases + 3
            })
            .await;
            let targets =
                cluster.faults.lock().unwrap().targets[sent_releases..sent_releases + 3].to_vec();
            // The fault meets the watch that follows the one that is out.
            let again: Vec<bool> = targets.iter().map(|t| t.contains("from=2")).collect();
            assert_eq!(again[1], news, "{fault:?}: {targets:?}");
            assert!(again[2], "{fault:?}: {targets:?}");
        });
    }
}

/// A discovery that needs 1.6 s for each call, and more while many wait, is followed all the same: a call is not abandoned for
/// the next one, and discovery is not overloaded.
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
        let at = |received: &&EngineRequest| {
            matches!(received.engine, 0 | 2) && received.method == "POST"
        };
        let last = cluster
            .engine_requests()
            .iter()
            .filter(at)
            .map(|s| s.at)
            .max()
            .unwrap_or(0);
        assert!(
            last < changed_at + MAX_DELAY,
            "a send {} us after the change",
            last - changed_at
        );
        let calls = cluster.faults.lock().unwrap().calls - calls;
        assert!(calls <= 10, "{calls} calls in 8 s");
    });
}

/// While discovery is down the present list is used; its list at its return takes effect soon after.
#[test]
fn discovery_is_silent_for_eight_seconds_and_back() {
    for down in [DiscoveryBehavior::Silent, DiscoveryBehavior::Reset] {
        let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
        setup.run(move |cluster| async move {
            {
                let mut discovery = cluster.faults.lock().unwrap();
                discovery.always = Some(down.clone());
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
            let back = cluster.runtime.now();
            for n in 0..60 {
                cluster.send_request(&format!("up{n}"), "draft").await;
                cluster.runtime.sleep(50 * MS).await;
            }
            let at = |received: &&EngineRequest| {
                matches!(received.engine, 0 | 2) && received.method == "POST" && received.at > back
            };
            let last = cluster
                .engine_requests()
                .iter()
                .filter(at)
                .map(|s| s.at)
                .max()
                .unwrap_or(back);
            assert!(last - back < 1_200 * MS, "{down:?}: {} us", last - back);
        });
    }
}

/// A node that starts without a cached list while discovery is down is ready soon after discovery is back.
#[test]
fn a_start_without_discovery_is_ready_soon_after_its_return() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    setup.faults.lock().unwrap().always = Some(DiscoveryBehavior::Silent);
    let (faults, client) = (setup.faults.clone(), setup.client.runtime());
    let (runtime, config) = (setup.runtime.clone(), setup.config());
    let played = setup.sim.run(&setup.node, RUN_TIMEOUT, async move {
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
    played.unwrap();
}

/// If discovery moves while a call to the old address hangs, the new one is asked at once.
#[test]
fn discovery_moves_while_a_call_hangs() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    let (other, new) = (setup.sim.host(44), SocketAddr::from(([127, 0, 2, 2], 8500)));
    let newer = std::sync::Arc::new(std::sync::Mutex::new((
        70,
        list(&["draining", "up", "draining", "up"]),
    )));
    start_discovery(&other, new, &newer, &Default::default());
    let moved = config(new, 1024);
    setup.run(move |cluster| async move {
        {
            let mut discovery = cluster.faults.lock().unwrap();
            discovery.always = Some(DiscoveryBehavior::Silent);
            discovery.silence();
        }
        cluster.runtime.sleep(100 * MS).await;
        cluster
            .service
            .reload(&Config::parse("f", moved.as_bytes()).unwrap());
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

/// A list of 1,500 engines, indented, over a slow connection: longer than a request's body may be, and slower than the first
/// call's timeout.
#[test]
fn a_long_list_over_a_slow_connection() {
    let setup = ClusterSetup::new(|_| EngineBehavior::Normal);
    {
        let mut list = setup.list.lock().unwrap();
        for n in 0..1_500 {
            let more = format!(
                ",\n        {{\n            \"id\": \"s-x{n:06}\",\n            \"addr\": \"127.0.3.1:{}\",\n            \"zone\": \"a\",\n            \"kind\": \"prefill\",\n            \"cell\": 3,\n            \"state\": \"draining\",\n            \"weight\": 1.0,\n            \"started_ms\": 0\n        }}",
                10_000 + n
            );
            list.1.push_str(&more);
        }
        assert!(list.1.len() > 256 << 10);
    }
    // 100 kB a second: some four seconds.
    setup.faults.lock().unwrap().always = Some(DiscoveryBehavior::Slow(5_000, 50 * MS));
    setup.run(|cluster| async move {
        assert_eq!(cluster.service.node().metrics().engines.get(), 1_504);
        assert_eq!(cluster.send_request("one", "draft").await.status, 200);
    });
}

/// A cached list that is malformed, or has a malformed entry, does not prevent a start.
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
