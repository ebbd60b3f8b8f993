//! Tests that this version reads the files and texts written by an earlier one, and that the metrics keep their names.
//!
//! The samples in `compatibility/` were written by commit c614220: two recordings, a snapshot of the endpoint list, a
//! configuration file of the platform, and the names of all metrics.

use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::{EndpointId, EndpointState, Idempotency};
use ivyward::recording::replay;
use ivyward::{registration, snapshot, Class, Node, NodeSettings, PeerOptions};
use ivyward_platform::Config;
use ivyward_runtime::{Runtime, RuntimeExt, SmolRuntime};
use std::path::{Path, PathBuf};

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/compatibility")
        .join(name)
}

#[test]
fn recordings_of_the_earlier_version_replay_identically() {
    for (name, events, actions) in [("daemon.rec", 31, 19), ("fault-scenario.rec", 578, 302)] {
        let bytes = std::fs::read(sample(name)).unwrap();
        let summary = replay(&bytes[..]).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(
            (summary.events, summary.actions),
            (events, actions),
            "{name}"
        );
        assert!(!summary.truncated, "{name}");
    }
}

#[test]
fn snapshot_of_the_earlier_version_is_read_and_rewritten_identically() {
    let members = snapshot::read(&sample("engines.snapshot"))
        .unwrap()
        .expect("the sample is a snapshot");
    let ids: Vec<u64> = members.iter().map(|member| member.endpoint.id.0).collect();
    assert_eq!(ids, [1, 2, 3, 4, 17, 18, 19, 20]);
    assert!(members
        .iter()
        .all(|member| member.endpoint.state == EndpointState::Ready));
    assert_eq!(members[4].endpoint.rack, 1);
    let name = format!("ivyward-compatibility-{}.snapshot", std::process::id());
    let path = std::env::temp_dir().join(name);
    snapshot::write(&path, &members).unwrap();
    let written = std::fs::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(written, std::fs::read(sample("engines.snapshot")).unwrap());
}

#[test]
fn registration_record_of_the_earlier_version_is_read() {
    let record = br#"{"version":1,"id":18,"role":"mixed","address":"127.0.0.1:9405","zone":2,"cell":3,"weight":1.5,"started_ms":7,"state":"draining"}"#;
    let member = registration::read(EndpointId(18), record, 5).unwrap();
    assert_eq!(member.address, "127.0.0.1:9405".parse().unwrap());
    assert_eq!(member.revision, 5);
    let endpoint = member.endpoint;
    assert_eq!((endpoint.zone, endpoint.rack), (2, 3));
    assert_eq!((endpoint.weight, endpoint.started_at), (1.5, 7_000));
    assert_eq!(endpoint.state, EndpointState::Draining);
}

#[test]
fn platform_configuration_of_the_earlier_version_is_read() {
    let config = Config::read(&sample("platform.json")).unwrap();
    let settings = config.node.router_settings();
    assert_eq!(settings.replica_count, 2);
    assert!(settings.reserve_decode_slot && settings.health_checks && settings.may_cancel);
    assert_eq!(settings.overload_multiple, 2.5);
    assert_eq!(settings.warm_up_duration, 10_000_000);
    let idempotency: Vec<Idempotency> = settings
        .classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    assert_eq!(
        idempotency,
        [
            Idempotency::Idempotent,
            Idempotency::WithKey,
            Idempotency::NonIdempotent
        ]
    );
    assert_eq!(settings.classes[0].ttft_objective, 800_000);
    assert_eq!(settings.classes[0].priority_weight, 2.0);
    assert_eq!(settings.classes[0].late_weight, 0.1);
    assert_eq!(settings.classes[1].deduplication_window, 1_500_000);
}

/// Dashboards and alerts of operators depend on the names and labels of the metrics.
#[test]
fn metrics_keep_their_names_and_labels() {
    let runtime = SmolRuntime::start(1, 7);
    let settings = NodeSettings {
        classes: vec![Class {
            name: "chat".into(),
            settings: class(),
        }],
        ..NodeSettings::default()
    };
    let node = Node::start(runtime.clone(), settings, None).unwrap();
    node.start_peers(PeerOptions::new("127.0.0.1:0".parse().unwrap()))
        .unwrap();
    let listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.address();
    let admin = node.clone();
    runtime.run(async move { admin.serve_admin(listener).await });
    let mut response = String::new();
    block_on(async {
        let mut connection = runtime.connect(address).await.unwrap();
        connection
            .write_all(b"GET /metrics HTTP/1.1\r\nhost: node\r\n\r\n")
            .await
            .unwrap();
        connection.read_to_string(&mut response).await.unwrap();
    });
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    let mut names: Vec<&str> = body
        .lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.rsplit_once(' '))
        .map(|(name, _)| name)
        .collect();
    names.sort_unstable();
    let expected = std::fs::read_to_string(sample("metrics.txt")).unwrap();
    assert_eq!(names, expected.lines().collect::<Vec<_>>());
}

fn class() -> ivyward::core::interface::ClassSettings {
    ivyward::core::interface::ClassSettings {
        ttft_objective: 500_000,
        ttft_objective_per_1000: 0.0,
        tpot_objective: 50_000.0,
        deadline: 10_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        deduplication_scope: ivyward::core::interface::DeduplicationScope::All,
        deduplication_window: 0,
    }
}
