//! What tests of the daemon as a process share: its configuration, its process, and parties that answer by a function.
#![allow(dead_code)] // Each test file uses its part.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_fault_injection::{library_beside, ControlFile, PATH_VARIABLE};
use ivyward_runtime::{Runtime, SmolRuntime};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};

const SETTINGS: &str = r#"{"balancers":1,"zone":0,"failure_domains":["a"],"host_types":["prefill","decode"],
    "family_info":{"kind_role":["read","write"],"let_go_by_us":300000},
    "classes":[{"name":"draft","semantics":"retryable","target_us":1500000,"deadline_us":7500000,"importance":2.0}],
    "guarantees":{"drain_grace_us":1000000,"fall_multiple":2.5,"fall_us":3000000,"start_capacity":0.4,"warm_after_us":10000000},
    "limits":{"try_limit":5,"retry_after":true,"max_retry_after_us":2000000,"dial_timeout_us":250000}}"#;

pub fn config(listen: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"127.0.0.1:9","seed":"5","limits":{{"memory_mb":64,"sockets":256}},
        "known":{{"version":1,"full":true,"servers":[{{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"prefill","cell":0,
          "state":"up","weight":1.0,"started_ms":0}}]}},"settings":{SETTINGS}}}"#
    )
}

/// A file of this process's own, removed at the end.
pub struct File(pub PathBuf);

impl File {
    pub fn new(name: &str, text: &str) -> File {
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

/// The child, ended with the test whatever happens.
pub struct Running(pub Child);

impl Running {
    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Answers each request on each connection by what `says` makes of its first line; `None` for silence.
pub fn answers(
    runtime: &std::sync::Arc<SmolRuntime>,
    says: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
) -> SocketAddr {
    use ivyward_runtime::RuntimeExt;
    let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let (address, says, tasks) = (
        listener.address(),
        std::sync::Arc::new(says),
        runtime.clone(),
    );
    runtime.run(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            let says = says.clone();
            tasks.run(async move {
                let (mut bytes, mut piece) = (Vec::new(), [0; 4096]);
                while let Ok(n) = conn.read(&mut piece).await {
                    if n == 0 {
                        return;
                    }
                    bytes.extend_from_slice(&piece[..n]);
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    // A head, and the body of the one request that has one.
                    let Some((head, body)) = text.split_once("\r\n\r\n") else {
                        continue;
                    };
                    if head.starts_with("POST /v1/chat") && body.len() < BODY.len() {
                        continue;
                    }
                    bytes.clear();
                    match says(head.lines().next().unwrap_or("")) {
                        Some(answer) => drop(conn.write_all(answer.as_bytes()).await),
                        None => return std::future::pending().await,
                    }
                }
            });
        }
    });
    address
}

pub const BODY: &str = r#"{"messages":[{"role":"user","content":"x"}]}"#;

/// Has a program start with system calls that fail as the control file says.
pub fn with_faults(command: &mut Command, control: &ControlFile) {
    let test = std::env::current_exe().expect("this test's own path");
    let library = library_beside(&test).expect("the library that Cargo built beside this test");
    command
        .env("LD_PRELOAD", library)
        .env(PATH_VARIABLE, control.path());
}

/// A control file of this process's own.
pub fn control(name: &str) -> ControlFile {
    let path = std::env::temp_dir().join(format!("ivywardd-faults-{}-{name}", std::process::id()));
    ControlFile::create(&path, 7).expect("a control file")
}
