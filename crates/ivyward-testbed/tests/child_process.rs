//! What a rig starts ends with it.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

/// A rig that is killed leaves none of its processes behind.
#[test]
fn processes_of_a_killed_rig_end_with_it() {
    let daemon = std::env::temp_dir().join(format!("ivyward-child-{}", std::process::id()));
    // In place of a daemon: says its number where the rig's log is read, and stays.
    std::fs::write(
        &daemon,
        "#!/bin/sh\necho \"$$\" > \"$0.pid\"\nexec sleep 600\n",
    )
    .unwrap();
    Command::new("chmod")
        .args(["+x", daemon.to_str().unwrap()])
        .status()
        .unwrap();
    let mut rig = Command::new(env!("CARGO_BIN_EXE_ivyward-testbed"))
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
    let number_file = daemon.with_file_name(format!(
        "{}.pid",
        daemon.file_name().unwrap().to_str().unwrap()
    ));
    let number = loop {
        match std::fs::read_to_string(&number_file) {
            Ok(text) if text.ends_with('\n') => break text.trim().to_owned(),
            _ => std::thread::yield_now(),
        }
        assert!(
            rig.try_wait().unwrap().is_none(),
            "the rig ended before it had started its process"
        );
    };
    rig.kill().unwrap();
    rig.wait().unwrap();
    // Its output is the rig's: it ends when all that hold it have ended.
    let mut out = BufReader::new(rig.stdout.take().unwrap());
    let mut text = String::new();
    out.read_to_string(&mut text).unwrap();
    let mut state = String::new();
    while let Ok(file) = std::fs::File::open(format!("/proc/{number}/stat")) {
        state.clear();
        // It may end while it is read.
        let _ = BufReader::new(file).read_line(&mut state);
        if state.contains(") Z ") || state.is_empty() {
            break;
        }
        std::thread::yield_now();
    }
    for file in [&daemon, &number_file] {
        std::fs::remove_file(file).unwrap();
    }
}
