//! A small scale run with real processes: it completes and reports its counts. Times are not checked.

use ivyward_testbed::scale::cluster::Programs;
use ivyward_testbed::scale::run::{run, Part, Report};
use ivyward_testbed::scale::size::Size;
use std::path::PathBuf;
use std::process::Command;

/// Paths of the testbed and of the daemon, which is in the same directory. The daemon exists after a test run of the whole
/// workspace and is built here otherwise.
fn programs() -> Programs {
    let testbed = PathBuf::from(env!("CARGO_BIN_EXE_ivyward-testbed"));
    let daemon = testbed.with_file_name("ivywardd");
    if !daemon.exists() {
        let built = Command::new(env!("CARGO"))
            .args(["build", "-p", "ivywardd"])
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "`cargo build -p ivywardd` failed"
        );
    }
    Programs { testbed, daemon }
}

fn part<'a>(report: &'a Report, name: &str) -> &'a Part {
    report
        .parts
        .iter()
        .find(|part| part.name == name)
        .unwrap_or_else(|| panic!("no part {name}"))
}

#[test]
fn a_small_run_completes_all_parts_and_reports_what_each_role_uses() {
    let size = Size {
        nodes: 10,
        engines: 40,
        real_nodes: 1,
        connections: 40,
        rate: 4.0,
        seconds: 2,
        ..Size::default()
    };
    let report = run(size, programs()).unwrap();
    let names: Vec<&str> = report.parts.iter().map(|part| part.name.as_str()).collect();
    let all = [
        "join",
        "quiet",
        "requests",
        "zone lost",
        "zone back",
        "store restarted",
        "a day",
        "daemon restarted",
    ];
    assert_eq!(names, all);
    let quiet = part(&report, "quiet");
    let node = &quiet.roles["node"];
    // One descriptor per connection to an engine, and some for the node itself.
    assert!(
        (41.0..120.0).contains(&node.descriptors),
        "{} descriptors",
        node.descriptors
    );
    assert!(
        node.resident_kib < 256.0 * 1_024.0,
        "{} KiB",
        node.resident_kib
    );
    let engines = &node.parts["engines"];
    assert!(
        engines.bytes_in > 0.0 && engines.bytes_out > 0.0,
        "idle connections are checked"
    );
    assert!(
        node.parts["peers"].messages_out > 0.0,
        "peers exchange messages"
    );
    assert!(
        quiet.roles["store"].parts["all"].bytes_in > 0.0,
        "leases are renewed"
    );
    let requests = part(&report, "requests").clients.clone().unwrap();
    assert_eq!(requests.failed, 0, "{requests:?}");
    // While a zone of engines is lost, the remaining engines serve requests.
    let lost = part(&report, "zone lost").clients.clone().unwrap();
    assert!(lost.served > 0, "{lost:?}");
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(
        serde_json::from_str::<Report>(&text).unwrap().parts.len(),
        report.parts.len()
    );
}

#[test]
fn a_run_over_a_limit_fails_before_any_process_starts() {
    let programs = Programs {
        testbed: PathBuf::from("/nowhere"),
        daemon: PathBuf::from("/nowhere"),
    };
    let error = run(
        Size {
            real_nodes: 1_000,
            ..Size::default()
        },
        programs,
    )
    .unwrap_err();
    assert!(error.to_string().starts_with("processes:"), "{error}");
}
