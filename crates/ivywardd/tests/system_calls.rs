//! System calls of the daemon that fail in documented ways: what has to hold all the same.

mod common;

use common::{answers, config, control, with_faults, File, Running, BODY};
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

/// One call in five.
const OFTEN: u64 = 200_000;
/// One call in two.
const HALF: u64 = 500_000;
const REQUESTS: usize = 60;
/// The stand-in engines of the gRPC node take their time.
const CALLS: usize = 16;

/// A daemon that listens, with its address and log.
struct Daemon {
    process: Running,
    address: SocketAddr,
    /// Lines of its log. They are taken in as they come, so that it never waits for this test.
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
        let process = Running(child);
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line
            .trim()
            .strip_prefix("listening on ")
            .expect("its address")
            .parse()
            .unwrap();
        let (said, log) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                // The test may be over.
                let _ = said.send(line);
            }
        });
        Daemon {
            process,
            address,
            log,
        }
    }
    fn platform(control: &ControlFile, file: &File) -> Daemon {
        let path = file.0.to_str().expect("a path of letters");
        Daemon::start(control, &["platform".into()], &[("BALANCER_CONFIG", path)])
    }
    fn grpc(control: &ControlFile, scene: &LocalCluster) -> Daemon {
        let listed: Vec<_> = (0..scene.engines())
            .map(|e| scene.entry(e, EndpointState::Ready, 0))
            .collect();
        let mut flags = ivyward_flags(&scene.builder().settings, &listed);
        flags
            .extend(["--listen=127.0.0.1:0", "--threads=1", "--log-format=json"].map(String::from));
        Daemon::start(control, &flags, &[])
    }
    /// Waits for a line of its log; fails where the process ends before.
    fn says(&mut self, word: &str) {
        assert!(
            self.log.iter().any(|line| line.contains(word)),
            "the daemon ended before it said {word:?}"
        );
    }
    fn ends_at_sigterm(&mut self) {
        self.process.signal("-TERM");
        assert!(self.process.0.wait().unwrap().success());
    }
}

/// The next answer on a connection: a stream to its last chunk, or an error with its body.
async fn answer(conn: &mut Conn) -> std::io::Result<String> {
    let (mut text, mut piece) = (Vec::new(), [0; 4096]);
    while !text.ends_with(b"0\r\n\r\n") && !text.ends_with(b"}}") {
        match conn.read(&mut piece).await? {
            0 => break,
            n => text.extend_from_slice(&piece[..n]),
        }
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// The faulty calls of the node: the parties around it are sound, so every request is served, on the one connection that
/// its client opened.
#[test]
fn interrupted_calls_of_a_platform_node_end_no_connection() {
    let runtime = SmolRuntime::start(2, 1);
    let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let stream = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n",
        event("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"),
        event("data: [DONE]\n\n")
    );
    let attempts = Arc::new(AtomicUsize::new(0));
    let counted = attempts.clone();
    let reader = answers(&runtime, |_| {
        Some("HTTP/1.1 202 A\r\nContent-Length: 2\r\n\r\n{}".into())
    });
    let writer = answers(&runtime, move |line| {
        if !line.starts_with("POST /v1/chat") {
            return Some("HTTP/1.1 204 N\r\n\r\n".into());
        }
        counted.fetch_add(1, Ordering::SeqCst);
        Some(stream.clone())
    });
    let entry = |id, kind, at| {
        format!(r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"{kind}","state":"up"}}"#)
    };
    let list = format!(
        r#"{{"version":2,"full":true,"servers":[{},{}]}}"#,
        entry("s-2", "prefill", reader),
        entry("s-3", "decode", writer)
    );
    // The list as it was held is the list: discovery is not needed.
    let text = config("127.0.0.1:0");
    let (before, after) = text.split_once("\"known\":").unwrap();
    let settings = after.split_once("\"settings\"").unwrap().1;
    let file = File::new(
        "interrupted",
        &format!("{before}\"known\":{list},\"settings\"{settings}"),
    );
    let control = control("interrupted");
    let mut daemon = Daemon::platform(&control, &file);
    control
        .set_rate(SystemFault::ReceiveInterrupted, OFTEN)
        .unwrap();
    control
        .set_rate(SystemFault::SendInterrupted, OFTEN)
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
            let text = answer(&mut conn).await.unwrap();
            assert!(text.starts_with("HTTP/1.1 200") && text.contains("[DONE]"), "request {n}: {text:?}");
        }
    });
    assert_eq!(
        attempts.load(Ordering::SeqCst),
        REQUESTS,
        "one write each: none was taken for a failed one"
    );
    assert!(control.hits(SystemFault::ReceiveInterrupted).unwrap() > 0);
    assert!(control.hits(SystemFault::SendInterrupted).unwrap() > 0);
    daemon.ends_at_sigterm();
}

#[test]
fn interrupted_calls_of_a_grpc_node_break_no_stream() {
    let engines: Vec<EngineSpec> = vec![
        EngineSpec::steady(1, Role::Prefill),
        EngineSpec::steady(2, Role::Decode),
    ];
    let mut make = ClusterBuilder::new(23, engines);
    make.use_long_deadlines();
    let scene = make.build().unwrap();
    let control = control("grpc");
    let mut daemon = Daemon::grpc(&control, &scene);
    control
        .set_rate(SystemFault::ReceiveInterrupted, OFTEN)
        .unwrap();
    control
        .set_rate(SystemFault::SendInterrupted, OFTEN)
        .unwrap();
    let runtime: RuntimeRef = scene.runtime.clone();
    let log = EventLog::new(&runtime);
    futures_lite::future::block_on(async {
        let client = Client::connect(&runtime, &log, daemon.address)
            .await
            .unwrap();
        for n in 0..CALLS {
            let prompt = (0..60).map(|token| token ^ n as u32).collect();
            let mut ask = scene.new_request(0, 0, prompt, 6);
            ask.behavior.client_timeout = 30_000_000;
            let end = client.send(&ask).await;
            assert_eq!(end.outcome, ClientOutcome::Served, "call {n}: {end:?}");
        }
        client.close();
    });
    assert!(control.hits(SystemFault::ReceiveInterrupted).unwrap() > 0);
    assert!(control.hits(SystemFault::SendInterrupted).unwrap() > 0);
    daemon.ends_at_sigterm();
}

/// Each wait for a signal may be interrupted. That is no signal: neither daemon ends before it is told to.
#[test]
fn an_interrupted_wait_for_signals_is_no_word_to_end() {
    const RELOADS: usize = 12;
    let file = File::new("waits", &config("127.0.0.1:0"));
    let control_platform = control("waits-platform");
    let mut platform = Daemon::platform(&control_platform, &file);
    let scene = ClusterBuilder::new(
        24,
        vec![
            EngineSpec::steady(1, Role::Prefill),
            EngineSpec::steady(2, Role::Decode),
        ],
    );
    let scene = scene.build().unwrap();
    let control_grpc = control("waits-grpc");
    let mut grpc = Daemon::grpc(&control_grpc, &scene);
    for control in [&control_platform, &control_grpc] {
        control
            .set_rate(SystemFault::ReceiveInterrupted, HALF)
            .unwrap();
    }
    for _ in 0..RELOADS {
        platform.process.signal("-HUP");
        platform.says("configuration reloaded");
        grpc.process.signal("-HUP");
        grpc.says("endpoint list reloaded");
    }
    platform.ends_at_sigterm();
    grpc.ends_at_sigterm();
    for control in [&control_platform, &control_grpc] {
        assert!(control.hits(SystemFault::ReceiveInterrupted).unwrap() > 0);
    }
}
