//! Each flag rejects an invalid value with one line of error that names the flag, the value and the reason.

use std::process::{Command, Output};

const VALID: [&str; 4] = [
    "--check",
    "--class=name=a,ttft-aim=1s,deadline=4s",
    "--server=id=1,address=127.0.0.1:7001,role=prefill",
    "--server=id=2,address=127.0.0.1:7002,role=decode,zone=1,cell=2,weight=1.5",
];

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ivywardd"))
        .env_clear()
        .args(args)
        .output()
        .expect("the daemon runs")
}

fn assert_rejected(args: &[&str], expected: &[&str]) {
    let output = run(args);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{args:?} was accepted");
    assert_eq!(text.lines().count(), 1, "{args:?}: {text}");
    for part in expected {
        assert!(
            text.contains(part),
            "{args:?}: {text:?} does not contain {part:?}"
        );
    }
}

#[test]
fn valid_settings_pass_the_check() {
    let output = run(&VALID);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "settings are valid: 2 engines, 1 classes\n"
    );
}

#[test]
fn each_flag_rejects_an_invalid_value() {
    let invalid = [
        ("--listen=nowhere", "nowhere"),
        ("--admin=1.2.3.4", "1.2.3.4"),
        ("--nodes=0", "--nodes"),
        ("--zone=300", "300"),
        ("--seed=-1", "-1"),
        ("--memory-tokens=1,2", "--memory-tokens"),
        ("--memory-tokens=0,1,1", "--memory-tokens"),
        ("--decode-may-prefill=perhaps", "perhaps"),
        ("--hold-ahead=2", "--hold-ahead"),
        ("--probes=x", "--probes"),
        ("--may-cancel=x", "--may-cancel"),
        ("--report=mood", "mood"),
        (
            "--report=outstanding,outstanding,outstanding,outstanding,outstanding",
            "four values at most",
        ),
        ("--over-share-worth=2", "--over-share-worth"),
        ("--transfer-price=-1", "--transfer-price"),
        ("--cross-zone-price=inf", "--cross-zone-price"),
        ("--max-attempts=0", "--max-attempts"),
        ("--max-retry-after=2h", "--max-retry-after"),
        ("--release-within=0s", "--release-within"),
        ("--drain-grace=2h", "2h"),
        ("--fall-multiple=NaN", "--fall-multiple"),
        ("--fall-window=5", "a unit is missing"),
        ("--start-capacity=1.5", "--start-capacity"),
        ("--warm-after=90m", "an hour at most"),
        ("--answer-margin=0ms", "--answer-margin"),
        (
            "--answer-margin=3s",
            "leaves no time beside --answer-margin 3000ms",
        ),
        (
            "--dial-timeout=300ms",
            "longer than --drain-grace, which is 250ms",
        ),
        (
            "--redial-first=2s",
            "longer than --redial-most, which is 1000ms",
        ),
        ("--redial-most=0s", "--redial-most"),
        (
            "--reset-wait=500ms",
            "must be under --release-within, which is 500ms",
        ),
        ("--stream-stall=0s", "--stream-stall"),
        ("--release-tries=61m", "--release-tries"),
        ("--ping-every=61m", "--ping-every"),
        ("--ping-timeout=0s", "--ping-timeout"),
        ("--stream-buffer=0", "--stream-buffer"),
        ("--calls-per-connection=0", "--calls-per-connection"),
        ("--connections-per-engine=0", "--connections-per-engine"),
        ("--most-open=0", "--most-open"),
        ("--most-request-bytes=0", "--most-request-bytes"),
        ("--most-clients=0", "--most-clients"),
        ("--most-prompt=0", "--most-prompt"),
        ("--most-output=99999999", "--most-output"),
        ("--most-releases=0", "--most-releases"),
        ("--stop-within=61m", "--stop-within"),
        ("--threads=5000", "--threads"),
        ("--log-format=xml", "xml"),
        ("--bogus=1", "--bogus"),
        ("@/nowhere/flags", "@/nowhere/flags"),
        (
            "--server=id=1,address=127.0.0.1:9,role=decode",
            "--server id=1: is given twice",
        ),
        (
            "--server=id=3,address=127.0.0.1:7001,role=decode",
            "--server address=127.0.0.1:7001: is given twice",
        ),
        ("--server=id=3,role=decode", "address is missing"),
        ("--server=id=3,address=localhost,role=decode", "not IP:PORT"),
        (
            "--server=id=3,address=127.0.0.1:9,role=poet",
            "must be one of prefill, decode, mixed",
        ),
        (
            "--server=id=3,address=127.0.0.1:9,role=decode,weight=0",
            "weight=0 must be over 0",
        ),
        (
            "--server=id=3,address=127.0.0.1:9,role=decode,colour=red",
            "colour",
        ),
        (
            "--class=name=a,ttft-aim=1s,deadline=4s",
            "--class a: the name is given twice",
        ),
        ("--class=name=b,ttft-aim=1s", "deadline is missing"),
        (
            "--class=name=b,ttft-aim=5s,deadline=4s",
            "ttft-aim=5000ms is over deadline=4000ms",
        ),
        (
            "--class=name=b,ttft-aim=10ms,deadline=50ms",
            "leaves no time beside --answer-margin",
        ),
        (
            "--class=name=b,ttft-aim=1s,deadline=4s,effect=keyed",
            "effect=keyed needs repeat-window",
        ),
        (
            "--class=name=b,ttft-aim=1s,deadline=4s,repeat-window=1s",
            "repeat-window goes with effect=keyed",
        ),
        (
            "--class=name=b,ttft-aim=1s,deadline=4s,worth=-1",
            "worth=-1",
        ),
        (
            "--class=name=b,ttft-aim=1s,deadline=4s,late-share=2",
            "late-share=2",
        ),
        (
            "--class=name=b,ttft-aim=1s,deadline=4s,deadline=5s",
            "deadline is given twice",
        ),
        (
            "--etcd-endpoint=127.0.0.1:2379",
            "--etcd-endpoint 127.0.0.1:2379: cannot be combined with --server",
        ),
        ("--etcd-endpoint=store", "store"),
        ("--etcd-prefix=", "--etcd-prefix"),
        ("--etcd-silence=0s", "--etcd-silence"),
        ("--etcd-empty-grace=2h", "2h"),
        ("--etcd-user=ivy", "--etcd-password"),
        ("--snapshot=/tmp/list", "--etcd-endpoint"),
        ("--tenant=name=t,quota=0", "quota must be over 0"),
        ("--tenant=quota=1", "name is missing"),
    ];
    for (flag, name) in invalid {
        assert_rejected(&[&VALID[..], &[flag]].concat(), &[name]);
    }
    assert_rejected(&VALID[..2], &["--server"]);
    assert_rejected(&[VALID[0], VALID[2]], &["--class"]);
    assert_rejected(
        &[&VALID[..], &["--tenant=name=t", "--tenant=name=t"]].concat(),
        &["--tenant t: the name is given twice"],
    );
}

#[test]
fn flags_are_read_from_files_and_the_environment() {
    let path = std::env::temp_dir().join(format!("ivywardd-flags-{}", std::process::id()));
    std::fs::write(&path, format!("# engines\n\n{}\n{}\n", VALID[2], VALID[3])).unwrap();
    let file = format!("@{}", path.display());
    let output = Command::new(env!("CARGO_BIN_EXE_ivywardd"))
        .env_clear()
        .env(
            "IVYWARD_CLASSES",
            "name=a,ttft-aim=1s,deadline=4s;name=b,ttft-aim=1s,deadline=4s",
        )
        .args(["--check", &file])
        .output()
        .unwrap();
    assert_eq!(
        String::from_utf8_lossy(&output.stdout),
        "settings are valid: 2 engines, 2 classes\n",
        "{output:?}"
    );
    std::fs::write(&path, "not a flag\n").unwrap();
    assert_rejected(&["--check", &file], &["line 1", "not a flag"]);
    std::fs::remove_file(&path).unwrap();
}

/// The number of idle connections pinged per second may be 0 or the maximum. A larger number is rejected, and so is a
/// number over 0 without pings.
#[test]
fn idle_connection_checks_need_pings_and_have_a_limit() {
    let with = |more: &[&'static str]| [&VALID[..], more].concat();
    for valid in [
        &["--resting-checks=0"][..],
        &["--resting-checks=10000"],
        &["--ping-every=0us"],
    ] {
        let output = run(&with(valid));
        assert!(output.status.success(), "{valid:?}: {output:?}");
    }
    assert_rejected(
        &with(&["--resting-checks=10001"]),
        &["--resting-checks", "10001", "10000 a second at most"],
    );
    assert_rejected(
        &with(&["--resting-checks=5", "--ping-every=0us"]),
        &["--resting-checks", "5", "--ping-every is 0"],
    );
}
