//! Malformed frames and settings end the adapter with one line on standard error, no output and a non-zero exit status.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ivyward-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The write fails if the adapter has already ended at the first error.
    let _ = child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input);
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

fn create(settings: &str) -> Vec<u8> {
    let mut record = vec![3u8];
    record.extend(1u64.to_le_bytes());
    record.extend(0u32.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    batch(&[vec![9, 2, 0, 0, 0], record], settings.as_bytes())
}

fn assert_fails(input: &[u8], expected: &str) {
    let out = run_adapter(input);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "{text}");
    assert!(
        text.contains(expected) && text.lines().count() == 1,
        "{text}"
    );
    assert!(out.stdout.is_empty(), "a partial reply was written");
}

const SETTINGS: &str =
    "balancers=2\nclasses.count=1\nclasses.0.target_us=800000\nclasses.0.deadline_us=4000000\n\
    classes.0.semantics=retryable\nfamily_info.kind_role=read,write\nsomething.new=7\n";

#[test]
fn empty_batch_and_unknown_settings_keys_are_accepted() {
    let out = run_adapter(&batch(&[], &[]));
    assert!(out.status.success() && out.stdout == [0; 8]);
    let out = run_adapter(&create(SETTINGS));
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    assert_eq!(out.stdout, [0; 8]);
}

#[test]
fn malformed_input_is_reported_in_one_line() {
    assert_fails(&[1, 0], "batch header cut short");
    assert_fails(&batch(&[], &[])[..9], "cut short");
    assert_fails(
        &batch(&[vec![9, 0, 0, 0, 0], vec![222]], &[]),
        "unknown event code 222",
    );
    assert_fails(&batch(&[vec![4]], &[]), "before any TARGET_INSTANCE");
    assert_fails(
        &create(&SETTINGS.replace("balancers=2\n", "")),
        "balancers is missing",
    );
    assert_fails(
        &create(&SETTINGS.replace("balancers=2", "balancers=many")),
        "balancers",
    );
    assert_fails(
        &create(&SETTINGS.replace("retryable", "maybe")),
        "classes.0.semantics",
    );
    assert_fails(
        &create(&SETTINGS.replace("read,write", "read,sing")),
        "sing",
    );
}
