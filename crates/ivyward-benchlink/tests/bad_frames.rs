//! Malformed frames and settings: one clear line and a non-zero exit.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ivyward-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first fault.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = ((records.len() * 56 + tail.len()) as u32)
        .to_le_bytes()
        .to_vec();
    frame.extend(5u64.to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    for record in records {
        frame.extend(record);
        frame.resize(frame.len() + 56 - record.len(), 0);
    }
    frame.extend(tail);
    frame
}

fn create(env: &str) -> Vec<u8> {
    let mut record = vec![3u8];
    record.extend(1u64.to_le_bytes());
    record.extend(0u32.to_le_bytes());
    record.extend((env.len() as u32).to_le_bytes());
    batch(&[vec![9, 2, 0, 0, 0], record], env.as_bytes())
}

fn faulty(input: &[u8], names: &str) {
    let out = adapter(input);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "{text}");
    assert!(text.contains(names) && text.lines().count() == 1, "{text}");
    assert!(out.stdout.is_empty(), "no partial reply");
}

const ENV: &str =
    "balancers=2\nclasses.count=1\nclasses.0.target_us=800000\nclasses.0.deadline_us=4000000\n\
    classes.0.semantics=retryable\nfamily_info.kind_role=read,write\nsomething.new=7\n";

#[test]
fn an_empty_batch_and_settings_with_unknown_keys_are_answered() {
    let out = adapter(&batch(&[], &[]));
    assert!(out.status.success() && out.stdout == [0; 8]);
    let out = adapter(&create(ENV));
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert_eq!(out.stdout, [0; 8]);
}

#[test]
fn malformed_frames_and_settings_get_one_plain_line() {
    faulty(&[1, 0], "batch header cut short");
    faulty(&batch(&[], &[])[..9], "cut short");
    faulty(
        &batch(&[vec![9, 0, 0, 0, 0], vec![222]], &[]),
        "unknown event code 222",
    );
    faulty(&batch(&[vec![4]], &[]), "before any TARGET_INSTANCE");
    faulty(
        &create(&ENV.replace("balancers=2\n", "")),
        "balancers is missing",
    );
    faulty(
        &create(&ENV.replace("balancers=2", "balancers=many")),
        "balancers",
    );
    faulty(
        &create(&ENV.replace("retryable", "maybe")),
        "classes.0.semantics",
    );
    faulty(&create(&ENV.replace("read,write", "read,sing")), "sing");
}
