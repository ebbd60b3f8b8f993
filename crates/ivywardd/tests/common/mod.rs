//! Helpers shared by the tests that run the daemon as a process: configuration files, process handles, fake HTTP servers and
//! injected system call faults.
#![allow(dead_code)] // Each test file uses only some of the helpers.

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

/// A temporary file with the process id in its name, removed on drop.
pub struct TempFile(pub PathBuf);

impl TempFile {
    pub fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("ivywardd-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A child process that is killed on drop, also when the test panics.
pub struct ProcessGuard(pub Child);

impl ProcessGuard {
    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill")
            .args([name, &self.0.id().to_string()])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a fake HTTP server, which answers each request with what `respond` returns for its request line. `None` leaves the
/// request without an answer and the connection open.
///
/// Returns the address of the server.
pub fn start_fake_server(
    runtime: &std::sync::Arc<SmolRuntime>,
    respond: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
) -> SocketAddr {
    use ivyward_runtime::RuntimeExt;
    let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let (address, respond, task_runtime) = (
        listener.address(),
        std::sync::Arc::new(respond),
        runtime.clone(),
    );
    runtime.run(async move {
        while let Ok((mut conn, _)) = listener.accept().await {
            let respond = respond.clone();
            task_runtime.run(async move {
                let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
                while let Ok(n) = conn.read(&mut chunk).await {
                    if n == 0 {
                        return;
                    }
                    bytes.extend_from_slice(&chunk[..n]);
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    // Waits for the complete head and, for chat requests, the complete body. Other requests have none.
                    let Some((head, body)) = text.split_once("\r\n\r\n") else {
                        continue;
                    };
                    if head.starts_with("POST /v1/chat") && body.len() < BODY.len() {
                        continue;
                    }
                    bytes.clear();
                    match respond(head.lines().next().unwrap_or("")) {
                        Some(response) => drop(conn.write_all(response.as_bytes()).await),
                        None => return std::future::pending().await,
                    }
                }
            });
        }
    });
    address
}

/// Body of the chat requests that the tests send.
pub const BODY: &str = r#"{"messages":[{"role":"user","content":"x"}]}"#;

/// Makes `command` preload the library that injects the system call faults set in the control file.
pub fn with_faults(command: &mut Command, control: &ControlFile) {
    let test = std::env::current_exe().expect("path of the test executable");
    let library = library_beside(&test).expect("Cargo built the preload library beside this test");
    command
        .env("LD_PRELOAD", library)
        .env(PATH_VARIABLE, control.path());
}

/// Creates a control file for system call faults, with the process id in its name.
pub fn create_control_file(name: &str) -> ControlFile {
    let path = std::env::temp_dir().join(format!("ivywardd-faults-{}-{name}", std::process::id()));
    ControlFile::create(&path, 7).expect("control file is created")
}
