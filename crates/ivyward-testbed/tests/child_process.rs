//! Processes that a test harness starts end with it.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

/// A harness that is killed leaves none of its child processes running.
#[test]
fn child_processes_of_a_killed_harness_end() {
    let daemon = std::env::temp_dir().join(format!("ivyward-child-{}", std::process::id()));
    // A script in place of the daemon: it writes its process id to a file and keeps running.
    std::fs::write(
        &daemon,
        "#!/bin/sh\necho \"$$\" > \"$0.pid\"\nexec sleep 600\n",
    )
    .unwrap();
    Command::new("chmod")
        .args(["+x", daemon.to_str().unwrap()])
        .status()
        .unwrap();
    let mut harness = Command::new(env!("CARGO_BIN_EXE_ivyward-testbed"))
        .args([
            "soak",
            "--nodes",
            "1",
            "--seeds",
            "1",
            "--daemon",
            daemon.to_str().unwrap(),
        ])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let pid_file = daemon.with_file_name(format!(
        "{}.pid",
        daemon.file_name().unwrap().to_str().unwrap()
    ));
    let pid = loop {
        match std::fs::read_to_string(&pid_file) {
            Ok(text) if text.ends_with('\n') => break text.trim().to_owned(),
            _ => std::thread::yield_now(),
        }
        assert!(
            harness.try_wait().unwrap().is_none(),
            "the harness ended before it had started its process"
        );
    };
    harness.kill().unwrap();
    harness.wait().unwrap();
    // The child shares the standard output of the harness, so reading it ends when both processes have ended.
    let mut out = BufReader::new(harness.stdout.take().unwrap());
    let mut text = String::new();
    out.read_to_string(&mut text).unwrap();
    let mut state = String::new();
    while let Ok(file) = std::fs::File::open(format!("/proc/{pid}/stat")) {
        state.clear();
        // The process may end while its state is read.
        let _ = BufReader::new(file).read_line(&mut state);
        if state.contains(") Z ") || state.is_empty() {
            break;
        }
        std::thread::yield_now();
    }
    for file in [&daemon, &pid_file] {
        std::fs::remove_file(file).unwrap();
    }
}
