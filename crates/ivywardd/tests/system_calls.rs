//! Tests of the daemon while its system calls fail in documented ways: a preloaded library injects the failures.

mod common;

use common::{
    config, create_control_file, start_fake_server, with_faults, ProcessGuard, TempFile, BODY,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward::core::interface::EndpointState;
use ivyward_fakes::event_log::ClientOutcome;
use ivyward_fakes::{Client, EngineSpec, EventLog, Role};
use ivyward_fault_injection::{ControlFile, SystemFault};
use ivyward_runtime::{Conn, Runtime, RuntimeRef, SmolRuntime};
use ivyward_testbed::local_cluster::{ivyward_flags, ClusterBuilder, LocalCluster};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;

/// Fault rate, in millionths of the calls: one call in five.
const ONE_IN_FIVE: u64 = 200_000;
/// Fault rate, in millionths of the calls: one call in two.
const ONE_IN_TWO: u64 = 500_000;
/// Number of requests to the platform node.
const REQUESTS: usize = 60;
/// Number of calls to the gRPC node, fewer because its fake engines simulate the time that prefill and decode take.
const CALLS: usize = 16;

/// A daemon process that accepts connections, with its address and its log.
struct Daemon {
    process: ProcessGuard,
    address: SocketAddr,
    /// Lines of the log. A thread reads them all the time, so that the daemon never blocks on a full pipe.
    log: Receiver<String>,
}

impl Daemon {
    fn start(control: &ControlFile, arguments: &[String], environment: &[(&str, &str)]) -> Daemon {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ivywardd"));
        command
            .env_clear()
            .env("IVYWARD_LOG", "debug")
            .envs(environment.iter().copied())
            .args(arguments);
        with_faults(&mut command, control);
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (out, errors) = (child.stdout.take().unwrap(), child.stderr.take().unwrap());
        let process = ProcessGuard(child);
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .expect("its address")
            .parse()
            .unwrap();
        let (log_sender, log) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                // The receiver is dropped when the test has ended.
                let _ = log_sender.send(line);
            }
        });
        Daemon {
            process,
            address,
            log,
        }
    }

    fn start_platform(control: &ControlFile, file: &TempFile) -> Daemon {
        let path = file.0.to_str().expect("path is valid UTF-8");
        Daemon::start(control, &["platform".into()], &[("BALANCER_CONFIG", path)])
    }

    fn start_grpc(control: &ControlFile, cluster: &LocalCluster) -> Daemon {
        let listed: Vec<_> = (0..cluster.engines())
            .map(|e| cluster.entry(e, EndpointState::Ready, 0))
            .collect();
        let mut flags = ivyward_flags(&cluster.builder().settings, &listed);
        flags
            .extend(["--listen=127.0.0.1:0", "--threads=1", "--log-format=json"].map(String::from));
        Daemon::start(control, &flags, &[])
    }

    /// Waits for a line of the log that contains `text`. Panics if the process ends first.
    fn wait_for_log(&mut self, text: &str) {
        assert!(
            self.log.iter().any(|line| line.contains(text)),
            "the daemon ended without logging {text:?}"
        );
    }

    /// Sends SIGTERM and asserts that the process exits successfully.
    fn assert_exits_at_sigterm(&mut self) {
        self.process.signal("-TERM");
        assert!(self.process.0.wait().unwrap().success());
    }
}

/// Reads the next response from a connection: a stream up to its last chunk, or an error with its body.
async fn read_response(conn: &mut Conn) -> std::io::Result<String> {
    let (mut text, mut chunk) = (Vec::new(), [0; 4096]);
    while !text.ends_with(b"0\r\n\r\n") && !text.ends_with(b"}}") {
        match conn.read(&mut chunk).await? {
            0 => break,
            n => text.extend_from_slice(&chunk[..n]),
        }
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Only the node's own receive and send calls are interrupted. Therefore every request must be served, by one attempt, on
/// the single connection that the client opened.
#[test]
fn interrupted_system_calls_of_a_platform_node_close_no_connection() {
    let runtime = SmolRuntime::start(2, 1);
    let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let stream = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n",
        event("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"),
        event("data: [DONE]\n\n")
    );
    let attempts = Arc::new(AtomicUsize::new(0));
    let attempt_counter = attempts.clone();
    let prefill = start_fake_server(&runtime, |_| {
        Some("HTTP/1.1 202 A\r\nContent-Length: 2\r\n\r\n{}".into())
    });
    let decode = start_fake_server(&runtime, move |line| {
        if !line.starts_with("POST /v1/chat") {
            return Some("HTTP/1.1 204 N\r\n\r\n".into());
        }
        attempt_counter.fetch_add(1, Ordering::SeqCst);
        Some(stream.clone())
    });
    let entry = |id, kind, at| {
        format!(r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"{kind}","state":"up"}}"#)
    };
    let list = format!(
        r#"{{"version":2,"full":true,"servers":[{},{}]}}"#,
        entry("s-2", "prefill", prefill),
        entry("s-3", "decode", decode)
    );
    // The configuration file contains the endpoint list, so the test needs no discovery server.
    let text = config("127.0.0.1:0");
    let (before, after) = text.split_once("\"known\":").unwrap();
    let settings = after.split_once("\"settings\"").unwrap().1;
    let file = TempFile::new(
        "interrupted",
        &format!("{before}\"known\":{list},\"settings\"{settings}"),
    );
    let control = create_control_file("interrupted");
    let mut daemon = Daemon::start_platform(&control, &file);
    control
        .set_rate(SystemFault::ReceiveInterrupted, ONE_IN_FIVE)
        .unwrap();
    control
        .set_rate(SystemFault::SendInterrupted, ONE_IN_FIVE)
        .unwrap();
    runtime.block_on(async {
        let mut conn = runtime.connect(daemon.address).await.unwrap();
        for n in 0..REQUESTS {
            let head = format!(
                "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: r{n}\r\nX-Priority-Class: draft\r\n\
                 X-Timeout-Ms: 7000\r\nX-Route-Key: k\r\nContent-Length: {}\r\n\r\n{BODY}",
                BODY.len()
            );
            conn.write_all(head.as_bytes()).await.unwrap();
            let text = read_response(&mut conn).await.unwrap();
            assert!(text.starts_with("HTTP/1.1 200") && text.contains("[DONE]"), "request {n}: {text:?}");
        }
    });
    assert_eq!(
        attempts.load(Ordering::SeqCst),
        REQUESTS,
        "one attempt per request: no interrupted call counts as a failed attempt"
    );
    assert!(control.hits(SystemFault::ReceiveInterrupted).unwrap() > 0);
    assert!(control.hits(SystemFault::SendInterrupted).unwrap() > 0);
    daemon.assert_exits_at_sigterm();
}

#[test]
fn interrupted_system_calls_of_a_grpc_node_break_no_stream() {
    let engines: Vec<EngineSpec> = vec![
        EngineSpec::steady(1, Role::Prefill),
        EngineSpec::steady(2, Role::Decode),
    ];
    let mut builder = ClusterBuilder::new(23, engines);
    builder.use_long_deadlines();
    let cluster = builder.build().unwrap();
    let control = create_control_file("grpc");
    let mut daemon = Daemon::start_grpc(&control, &cluster);
    control
        .set_rate(SystemFault::ReceiveInterrupted, ONE_IN_FIVE)
        .unwrap();
    control
        .set_rate(SystemFault::SendInterrupted, ONE_IN_FIVE)
        .unwrap();
    let runtime: RuntimeRef = cluster.runtime.clone();
    let log = EventLog::new(&runtime);
    futures_lite::future::block_on(async {
        let client = Client::connect(&runtime, &log, daemon.address)
            .await
            .unwrap();
        for n in 0..CALLS {
            let prompt = (0..60).map(|token| token ^ n as u32).collect();
            let mut client_request = cluster.new_request(0, 0, prompt, 6);
            client_request.behavior.client_timeout = 30_000_000;
            let response = client.send(&client_request).await;
            assert_eq!(
                response.outcome,
                ClientOutcome::Served,
                "call {n}: {response:?}"
            );
        }
        client.close();
    });
    assert!(control.hits(SystemFault::ReceiveInterrupted).unwrap() > 0);
    assert!(control.hits(SystemFault::SendInterrupted).unwrap() > 0);
    daemon.assert_exits_at_sigterm();
}

/// An interrupted wait for signals must not be mistaken for SIGTERM: both forms of the daemon go on serving and reloading
/// until SIGTERM arrives.
#[test]
fn interrupted_wait_for_signals_does_not_stop_the_daemon() {
    const RELOADS: usize = 12;
    let file = TempFile::new("waits", &config("127.0.0.1:0"));
    let control_platform = create_control_file("waits-platform");
    let mut platform = Daemon::start_platform(&control_platform, &file);
    let cluster = ClusterBuilder::new(
        24,
        vec![
            EngineSpec::steady(1, Role::Prefill),
            EngineSpec::steady(2, Role::Decode),
        ],
    );
    let cluster = cluster.build().unwrap();
    let control_grpc = create_control_file("waits-grpc");
    let mut grpc = Daemon::start_grpc(&control_grpc, &cluster);
    for control in [&control_platform, &control_grpc] {
        control
            .set_rate(SystemFault::ReceiveInterrupted, ONE_IN_TWO)
            .unwrap();
    }
    for _ in 0..RELOADS {
        platform.process.signal("-HUP");
        platform.wait_for_log("configuration reloaded");
        grpc.process.signal("-HUP");
        grpc.wait_for_log("endpoint list reloaded");
    }
    platform.assert_exits_at_sigterm();
    grpc.assert_exits_at_sigterm();
    for control in [&control_platform, &control_grpc] {
        assert!(control.hits(SystemFault::ReceiveInterrupted).unwrap() > 0);
    }
}
