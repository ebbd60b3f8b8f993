//! The daemon's platform form as a process: its configuration, SIGHUP and SIGTERM.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_world::{SmolWorld, World};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

const SETTINGS: &str = r#"{"balancers":1,"zone":0,"failure_domains":["a"],"host_types":["prefill","decode"],
    "family_info":{"kind_role":["read","write"],"let_go_by_us":300000},
    "classes":[{"name":"draft","semantics":"retryable","target_us":1500000,"deadline_us":7500000,"importance":2.0}],
    "guarantees":{"drain_grace_us":1000000,"fall_multiple":2.5,"fall_us":3000000,"start_capacity":0.4,"warm_after_us":10000000},
    "limits":{"try_limit":5,"retry_after":true,"max_retry_after_us":2000000,"dial_timeout_us":250000}}"#;

fn config(listen: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"127.0.0.1:9","seed":"5","limits":{{"memory_mb":64,"sockets":256}},
        "known":{{"version":1,"full":true,"servers":[{{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"prefill","cell":0,
          "state":"up","weight":1.0,"started_ms":0}}]}},"settings":{SETTINGS}}}"#
    )
}

/// A file of this process's own, removed at the end.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("ivywardd-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn start(file: &File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ivywardd"));
    command.env_clear().arg("platform").env("BALANCER_CONFIG", &file.0);
    command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap()
}

/// The child, ended with the test whatever happens.
struct Running(Child);

impl Running {
    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap().success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn health(world: &SmolWorld, address: SocketAddr) -> u16 {
    world.block_on(async {
        let mut conn = world.connect(address).await.unwrap();
        conn.write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n").await.unwrap();
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
    BufReader::new(child.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening on ").expect("its address").parse().unwrap();
    let world = SmolWorld::start(1, 1);
    while health(&world, address) != 200 {}
    let mut log = BufReader::new(child.0.stderr.take().unwrap());
    let mut until = |word: &str| {
        let mut line = String::new();
        while !line.contains(word) {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the log ended before {word:?}");
        }
    };
    // A file that cannot be read changes nothing; one that can be is taken over, without another signal.
    std::fs::write(&file.0, "{ half").unwrap();
    child.signal("-HUP");
    until("nothing is taken over yet");
    assert_eq!(health(&world, address), 200);
    std::fs::write(&file.0, config("127.0.0.1:0").replace("127.0.0.1:9\",\"seed", "127.0.0.1:10\",\"seed"))
        .unwrap();
    until("discovery moved");
    assert_eq!(health(&world, address), 200);
    child.signal("-TERM");
    until("stopping");
    assert_eq!(health(&world, address), 503, "it goes on accepting, and says that it ends");
    assert_eq!(child.0.wait().unwrap().code(), Some(0));
}

#[test]
fn a_configuration_that_cannot_hold_ends_the_start_in_one_line() {
    for (from, to, what) in [
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "listen here: must be IP:PORT"),
        ("\"sockets\":256", "\"sockets\":9", "limits.sockets 9"),
        ("retryable", "often", "\"often\" of classes.0.semantics"),
    ] {
        let file = File::new("bad", &config("127.0.0.1:0").replace(from, to));
        let mut child = Running(start(&file));
        let mut text = String::new();
        child.0.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        assert!(!child.0.wait().unwrap().success());
        assert!(text.contains(what) && text.trim().lines().count() == 1, "{text}");
    }
}
