//! Tests of `ivywardd platform` as a process: its configuration file, SIGHUP and SIGTERM.

mod common;

use common::{config, start_fake_server, ProcessGuard, TempFile, BODY};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{Runtime, SmolRuntime};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

fn start(file: &TempFile) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivywardd"));
    command
        .env_clear()
        .arg("platform")
        .env("BALANCER_CONFIG", &file.0);
    command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn health(runtime: &SmolRuntime, address: SocketAddr) -> u16 {
    runtime.block_on(async {
        let mut conn = runtime.connect(address).await.unwrap();
        conn.write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
            .await
            .unwrap();
        let mut text = [0; 12];
        conn.read_exact(&mut text).await.unwrap();
        std::str::from_utf8(&text[9..]).unwrap().parse().unwrap()
    })
}

#[test]
fn node_serves_reloads_at_sighup_and_exits_at_sigterm() {
    let file = TempFile::new("serves", &config("127.0.0.1:0"));
    let mut child = ProcessGuard(start(&file));
    let mut line = String::new();
    BufReader::new(child.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line
        .trim()
        .strip_prefix("listening on ")
        .expect("its address")
        .parse()
        .unwrap();
    let runtime = SmolRuntime::start(1, 1);
    while health(&runtime, address) != 200 {}
    let mut log = BufReader::new(child.0.stderr.take().unwrap());
    let mut wait_for_log = |text: &str| {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the log ended without {text:?}"
            );
        }
    };
    // An unreadable file changes nothing. Once the file is valid, the reload that is being retried applies it without
    // another signal.
    std::fs::write(&file.0, "{ half").unwrap();
    child.signal("-HUP");
    wait_for_log("configuration reload failed, will retry");
    assert_eq!(health(&runtime, address), 200);
    std::fs::write(
        &file.0,
        config("127.0.0.1:0").replace("127.0.0.1:9\",\"seed", "127.0.0.1:10\",\"seed"),
    )
    .unwrap();
    wait_for_log("discovery address updated");
    assert_eq!(health(&runtime, address), 200);
    child.signal("-TERM");
    wait_for_log("stopping");
    assert_eq!(
        health(&runtime, address),
        503,
        "a stopping node still accepts connections and reports that it is not ready"
    );
    assert_eq!(child.0.wait().unwrap().code(), Some(0));
}

/// An unreadable configuration file is read again for a while after SIGHUP. SIGTERM does not wait for these retries, and a
/// further SIGHUP makes the node read the current file at once.
#[test]
fn signals_interrupt_the_retries_of_a_reload() {
    let file = TempFile::new("signals", &config("127.0.0.1:0"));
    let mut process = ProcessGuard(start(&file));
    let mut listening = String::new();
    BufReader::new(process.0.stdout.take().unwrap())
        .read_line(&mut listening)
        .unwrap();
    assert!(listening.starts_with("listening on"), "{listening}");
    let mut log = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    std::fs::write(&file.0, "{").unwrap();
    process.signal("-HUP");
    assert!(log.any(|line| line.contains("configuration reload failed, will retry")));
    std::fs::write(
        &file.0,
        config("127.0.0.1:0").replace("127.0.0.1:9\",\"seed", "127.0.0.1:19\",\"seed"),
    )
    .unwrap();
    process.signal("-HUP");
    let line = log.find(|line| {
        line.contains("discovery address updated") || line.contains("keeping the current one")
    });
    assert!(
        line.as_deref()
            .is_some_and(|l| l.contains("discovery address updated")),
        "{line:?}"
    );
    std::fs::write(&file.0, "{").unwrap();
    process.signal("-HUP");
    assert!(log.any(|line| line.contains("configuration reload failed, will retry")));
    process.signal("-TERM");
    let line =
        log.find(|line| line.contains("stopping") || line.contains("keeping the current one"));
    assert!(
        line.as_deref().is_some_and(|l| l.contains("stopping")),
        "{line:?}"
    );
    assert!(process.0.wait().unwrap().success());
}

/// Guards against a stopping node that never hears of a drain: SIGHUP after SIGTERM was ignored, and a reload that SIGTERM had
/// interrupted was not taken up again, so the node stayed with a discovery service that is gone. A second SIGTERM ends nothing.
#[test]
fn a_stopping_node_still_reloads_its_configuration() {
    let file = TempFile::new("stopping", &config("127.0.0.1:0"));
    let with_discovery_at = |port: u16| {
        let address = format!("127.0.0.1:{port}\",\"seed");
        config("127.0.0.1:0").replace("127.0.0.1:9\",\"seed", &address)
    };
    let mut process = ProcessGuard(start(&file));
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address: SocketAddr = line
        .trim()
        .strip_prefix("listening on ")
        .expect("its address")
        .parse()
        .unwrap();
    let mut log = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    // The node waits for the rest of this request, so it does not end before the signals below.
    let runtime = SmolRuntime::start(1, 1);
    let mut half = runtime.block_on(runtime.connect(address)).unwrap();
    std::fs::write(&file.0, "{").unwrap();
    process.signal("-HUP");
    assert!(log.any(|line| line.contains("configuration reload failed, will retry")));
    runtime
        .block_on(half.write_all(b"POST /v1/chat/completions HTTP/1.1\r\n"))
        .unwrap();
    process.signal("-TERM");
    assert!(log.any(|line| line.contains("stopping")));
    let mut reloaded_before_the_end = |port: u16| {
        let applied = format!("address=127.0.0.1:{port}");
        let line = log.find(|line| {
            line.contains("stopped")
                || line.contains("discovery address updated") && line.contains(&applied)
        });
        assert!(
            line.as_deref().is_some_and(|line| line.contains("updated")),
            "{port}: {line:?}"
        );
    };
    std::fs::write(&file.0, with_discovery_at(19)).unwrap();
    reloaded_before_the_end(19);
    process.signal("-TERM");
    std::fs::write(&file.0, with_discovery_at(20)).unwrap();
    process.signal("-HUP");
    reloaded_before_the_end(20);
    assert!(process.0.wait().unwrap().success());
}

/// A node without an endpoint list, because discovery accepts its calls and never answers, is not ready. It reloads its
/// configuration at each SIGHUP, also at two in a row and if nothing changed, and exits at SIGTERM.
#[test]
fn node_without_endpoint_list_handles_signals() {
    let runtime = SmolRuntime::start(1, 1);
    let discovery = start_fake_server(&runtime, |_| None);
    let text = config("127.0.0.1:0").replace(
        "\"discovery\":\"127.0.0.1:9\"",
        &format!("\"discovery\":\"{discovery}\""),
    );
    let (before, known) = text.split_once("\"known\":").unwrap();
    let (_, settings) = known.split_once("\"settings\":").unwrap();
    let file = TempFile::new("first-list", &format!("{before}\"settings\":{settings}"));
    let mut process = ProcessGuard(start(&file));
    let mut line = String::new();
    BufReader::new(process.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line
        .trim()
        .strip_prefix("listening on ")
        .expect("its address")
        .parse()
        .unwrap();
    let mut log = BufReader::new(process.0.stderr.take().unwrap())
        .lines()
        .map_while(Result::ok);
    assert_eq!(
        health(&runtime, address),
        503,
        "a node without an endpoint list is not ready"
    );
    for _ in 0..2 {
        process.signal("-HUP");
        process.signal("-HUP");
        assert!(log.any(|line| line.contains("configuration reloaded")));
    }
    assert_eq!(health(&runtime, address), 503);
    process.signal("-TERM");
    assert!(log.any(|line| line.contains("stopped")));
    assert!(process.0.wait().unwrap().success());
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    for (from, to, expected) in [
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "listen here: must be IP:PORT",
        ),
        ("\"sockets\":256", "\"sockets\":9", "limits.sockets 9"),
        ("retryable", "often", "\"often\" of classes.0.semantics"),
    ] {
        let file = TempFile::new("bad", &config("127.0.0.1:0").replace(from, to));
        let mut child = ProcessGuard(start(&file));
        let mut text = String::new();
        child
            .0
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        assert!(!child.0.wait().unwrap().success());
        assert!(
            text.contains(expected) && text.trim().lines().count() == 1,
            "{text}"
        );
    }
}

fn open_descriptors(process: &ProcessGuard) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.0.id())).map_or(0, Iterator::count)
}

/// Idle client connections use up the node's share of file descriptors while discovery is down. When discovery answers
/// again, the node still has descriptors to receive the list, to connect to a new engine and to serve a request, and it
/// never exceeds the descriptor limit of the process.
#[test]
fn idle_clients_do_not_use_up_the_file_descriptors() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let runtime = SmolRuntime::start(2, 1);
    let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let stream = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n",
        event("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"),
        event("data: [DONE]\n\n")
    );
    let prefill = start_fake_server(&runtime, |_| {
        Some("HTTP/1.1 202 A\r\nContent-Length: 2\r\n\r\n{}".into())
    });
    let decode = start_fake_server(&runtime, move |line| {
        Some(if line.starts_with("POST /v1/chat") {
            stream.clone()
        } else {
            "HTTP/1.1 204 N\r\n\r\n".into()
        })
    });
    let up = std::sync::Arc::new(AtomicBool::new(false));
    let (is_up, discovery_called) = (up.clone(), std::sync::Arc::new(AtomicBool::new(false)));
    let mark_called = discovery_called.clone();
    let discovery = start_fake_server(&runtime, move |_| {
        mark_called.store(true, Ordering::SeqCst);
        let entry = |id, kind, at| {
            format!(r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"{kind}","state":"up"}}"#)
        };
        let list = format!(
            r#"{{"version":2,"full":true,"servers":[{},{}]}}"#,
            entry("s-2", "prefill", prefill),
            entry("s-3", "decode", decode)
        );
        is_up.load(Ordering::SeqCst).then(|| {
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            )
        })
    });
    const LIMIT: usize = 160;
    let text = config("127.0.0.1:0").replace("\"sockets\":256", &format!("\"sockets\":{LIMIT}"));
    let file = TempFile::new(
        "idle",
        &text.replace(
            "\"discovery\":\"127.0.0.1:9\"",
            &format!("\"discovery\":\"{discovery}\""),
        ),
    );
    // Sets the descriptor limit of the process to the configured one, so that the system rejects a descriptor if the node's
    // own limits are wrong.
    let mut command = Command::new("sh");
    command.args([
        "-c",
        &format!("ulimit -n {LIMIT}; exec \"$0\" platform"),
        env!("CARGO_BIN_EXE_ivywardd"),
    ]);
    command
        .env_clear()
        .env("BALANCER_CONFIG", &file.0)
        .env("IVYWARD_LOG", "debug");
    let mut child = ProcessGuard(
        command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    let mut line = String::new();
    BufReader::new(child.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address: SocketAddr = line
        .trim()
        .strip_prefix("listening on ")
        .expect("its address")
        .parse()
        .unwrap();
    // A thread reads the log all the time, so that the daemon never blocks on a full pipe.
    let mut log = BufReader::new(child.0.stderr.take().unwrap());
    let (log_sender, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        while log.read_line(&mut line).is_ok_and(|n| n > 0) {
            let _ = log_sender.send(std::mem::take(&mut line));
        }
    });
    while !discovery_called.load(Ordering::SeqCst) {
        std::thread::yield_now();
    }
    let mut max_descriptors = 0;
    // Up to 600 idle connections stay open; for each further one the oldest is closed.
    let mut idle: std::collections::VecDeque<_> = std::collections::VecDeque::new();
    // The process is paused while the clients connect, so that it finds all connections pending at once.
    let mut connect_idle_clients = |n: usize, max_descriptors: &mut usize| {
        child.signal("-STOP");
        for _ in 0..n {
            if let Ok(conn) = runtime.block_on(runtime.connect(address)) {
                idle.push_back(conn);
            }
            if idle.len() > 600 {
                idle.pop_front();
            }
        }
        child.signal("-CONT");
        assert_eq!(health(&runtime, address) / 100, 2);
        *max_descriptors = (*max_descriptors).max(open_descriptors(&child));
    };
    connect_idle_clients(600, &mut max_descriptors);
    up.store(true, Ordering::SeqCst);
    // A served request shows that the node applied the new list, because it needs connections to engines that were not
    // listed before.
    let mut served = String::new();
    for n in 0.. {
        connect_idle_clients(20, &mut max_descriptors);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: r{n}\r\nX-Priority-Class: draft\r\nX-Timeout-Ms: 2000\r\n\
             X-Route-Key: k\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{BODY}",
            BODY.len()
        );
        served.clear();
        runtime.block_on(async {
            let mut conn = runtime.connect(address).await.unwrap();
            let sent = conn.write_all(head.as_bytes()).await;
            sent.expect("the node prefers a client with a request to idle ones");
            let _ = conn.read_to_string(&mut served).await;
        });
        if served.starts_with("HTTP/1.1 200") {
            break;
        }
        // Until the node has the new list, it knows only one engine, which cannot be reached.
        runtime.block_on(ivyward_runtime::RuntimeExt::sleep(&*runtime, 20_000));
    }
    assert!(served.contains("[DONE]"), "{served}");
    assert!(max_descriptors < LIMIT, "{max_descriptors} descriptors");
    let failures: Vec<String> = lines
        .try_iter()
        .filter(|l| l.contains("Too many open files"))
        .collect();
    assert!(
        failures.is_empty(),
        "{} times no descriptor was free: {}",
        failures.len(),
        failures[0]
    );
}
