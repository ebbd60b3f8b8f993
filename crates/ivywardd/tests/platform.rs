//! The daemon's platform form as a process: its configuration, SIGHUP and SIGTERM.

mod common;

use common::{answers, config, File, Running, BODY};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{Runtime, SmolRuntime};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

fn start(file: &File) -> Child {
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
fn a_node_serves_survives_sighup_and_ends_at_sigterm() {
    let file = File::new("serves", &config("127.0.0.1:0"));
    let mut child = Running(start(&file));
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
    let mut until = |word: &str| {
        let mut line = String::new();
        while !line.contains(word) {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the log ended before {word:?}"
            );
        }
    };
    // A file that cannot be read changes nothing; one that can be is taken over, without another signal.
    std::fs::write(&file.0, "{ half").unwrap();
    child.signal("-HUP");
    until("configuration reload failed, will retry");
    assert_eq!(health(&runtime, address), 200);
    std::fs::write(
        &file.0,
        config("127.0.0.1:0").replace("127.0.0.1:9\",\"seed", "127.0.0.1:10\",\"seed"),
    )
    .unwrap();
    until("discovery address updated");
    assert_eq!(health(&runtime, address), 200);
    child.signal("-TERM");
    until("stopping");
    assert_eq!(
        health(&runtime, address),
        503,
        "it goes on accepting, and says that it ends"
    );
    assert_eq!(child.0.wait().unwrap().code(), Some(0));
}

/// A file that cannot be read at SIGHUP is tried again for a while; the word to end does not wait for that, and a further
/// SIGHUP has the newest file read at once.
#[test]
fn signals_go_before_the_reading_of_a_file_that_cannot_be_read() {
    let file = File::new("signals", &config("127.0.0.1:0"));
    let mut process = Running(start(&file));
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
        line.contains("discovery address updated") || line.contains("stays as it was")
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
    let line = log.find(|line| line.contains("stopping") || line.contains("stays as it was"));
    assert!(
        line.as_deref().is_some_and(|l| l.contains("stopping")),
        "{line:?}"
    );
    assert!(process.0.wait().unwrap().success());
}

/// A node that has no list yet, because discovery takes its calls and answers none, is not ready; it reads its
/// configuration at every SIGHUP, also at two in a row and at one that changes nothing, and ends at SIGTERM.
#[test]
fn a_node_that_waits_for_its_first_list_heeds_its_signals() {
    let runtime = SmolRuntime::start(1, 1);
    let discovery = answers(&runtime, |_| None);
    let text = config("127.0.0.1:0").replace(
        "\"discovery\":\"127.0.0.1:9\"",
        &format!("\"discovery\":\"{discovery}\""),
    );
    let (before, known) = text.split_once("\"known\":").unwrap();
    let (_, settings) = known.split_once("\"settings\":").unwrap();
    let file = File::new("first-list", &format!("{before}\"settings\":{settings}"));
    let mut process = Running(start(&file));
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
    assert_eq!(health(&runtime, address), 503, "it holds no list");
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
fn a_configuration_that_cannot_hold_ends_the_start_in_one_line() {
    for (from, to, what) in [
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "listen here: must be IP:PORT",
        ),
        ("\"sockets\":256", "\"sockets\":9", "limits.sockets 9"),
        ("retryable", "often", "\"often\" of classes.0.semantics"),
    ] {
        let file = File::new("bad", &config("127.0.0.1:0").replace(from, to));
        let mut child = Running(start(&file));
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
            text.contains(what) && text.trim().lines().count() == 1,
            "{text}"
        );
    }
}

fn descriptors(process: &Running) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", process.0.id())).map_or(0, Iterator::count)
}

/// Idle clients fill what there is while discovery is down. It comes back: the node learns from it, dials an engine that it
/// had no connection to, serves a request among the idle ones, and never asked the system for more than it may have.
#[test]
fn idle_clients_fill_the_descriptors_while_discovery_is_down() {
    use std::sync::atomic::{AtomicBool, Ordering};
    let runtime = SmolRuntime::start(2, 1);
    let event = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let stream = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n",
        event("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"),
        event("data: [DONE]\n\n")
    );
    let reader = answers(&runtime, |_| {
        Some("HTTP/1.1 202 A\r\nContent-Length: 2\r\n\r\n{}".into())
    });
    let writer = answers(&runtime, move |line| {
        Some(if line.starts_with("POST /v1/chat") {
            stream.clone()
        } else {
            "HTTP/1.1 204 N\r\n\r\n".into()
        })
    });
    let up = std::sync::Arc::new(AtomicBool::new(false));
    let (is_up, asked) = (up.clone(), std::sync::Arc::new(AtomicBool::new(false)));
    let heard = asked.clone();
    let discovery = answers(&runtime, move |_| {
        heard.store(true, Ordering::SeqCst);
        let entry = |id, kind, at| {
            format!(r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"{kind}","state":"up"}}"#)
        };
        let list = format!(
            r#"{{"version":2,"full":true,"servers":[{},{}]}}"#,
            entry("s-2", "prefill", reader),
            entry("s-3", "decode", writer)
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
    let file = File::new(
        "idle",
        &text.replace(
            "\"discovery\":\"127.0.0.1:9\"",
            &format!("\"discovery\":\"{discovery}\""),
        ),
    );
    // The limit itself, so that the system says no where the node's own bounds are wrong.
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
    let mut child = Running(
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
    // Its log is read as it comes, so that it never waits for us.
    let mut log = BufReader::new(child.0.stderr.take().unwrap());
    let (told, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut line = String::new();
        while log.read_line(&mut line).is_ok_and(|n| n > 0) {
            let _ = told.send(std::mem::take(&mut line));
        }
    });
    while !asked.load(Ordering::SeqCst) {
        std::thread::yield_now();
    }
    let mut most = 0;
    // Some stay for good, and ever new ones come beside them.
    let mut idle: std::collections::VecDeque<_> = std::collections::VecDeque::new();
    // All at once: they wait for a process that stands still.
    let mut crowd = |n: usize, most: &mut usize| {
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
        *most = (*most).max(descriptors(&child));
    };
    crowd(600, &mut most);
    up.store(true, Ordering::SeqCst);
    // What the list says shows as a request that is served, over connections that stood at no time before.
    let mut served = String::new();
    for n in 0.. {
        crowd(20, &mut most);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: r{n}\r\nX-Priority-Class: draft\r\nX-Timeout-Ms: 2000\r\n\
             X-Route-Key: k\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{BODY}",
            BODY.len()
        );
        served.clear();
        runtime.block_on(async {
            let mut conn = runtime.connect(address).await.unwrap();
            let sent = conn.write_all(head.as_bytes()).await;
            sent.expect("a client with a request goes before one without");
            let _ = conn.read_to_string(&mut served).await;
        });
        if served.starts_with("HTTP/1.1 200") {
            break;
        }
        // Until the node has read the list, its one engine of before cannot be reached.
        runtime.block_on(ivyward_runtime::RuntimeExt::sleep(&*runtime, 20_000));
    }
    assert!(served.contains("[DONE]"), "{served}");
    assert!(most < LIMIT, "{most} descriptors");
    let refused: Vec<String> = lines
        .try_iter()
        .filter(|l| l.contains("Too many open files"))
        .collect();
    assert!(
        refused.is_empty(),
        "{} times without a descriptor: {}",
        refused.len(),
        refused[0]
    );
}
