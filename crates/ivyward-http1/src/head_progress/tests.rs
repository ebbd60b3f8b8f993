//! Heads in pieces of one byte.

use super::*;
use crate::{RequestHead, ResponseHead};

const LIMITS: Limits = Limits {
    max_head_bytes: 16 << 10,
    max_headers: 64,
    max_body_bytes: 0,
    max_chunk_bytes: 0,
};

/// Adds one byte after the other, and returns the bytes that all parses together look at.
fn parsed_bytes(bytes: &[u8]) -> usize {
    let mut progress = HeadProgress::default();
    (1..=bytes.len())
        .filter(|length| progress.needs_parse(&bytes[..*length], &LIMITS))
        .sum()
}

/// Guards against work that grows with the square of a head: one byte at a time, each byte looked at all bytes before it.
#[test]
fn the_work_for_a_head_in_one_byte_pieces_is_linear() {
    let long_line = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(16_000));
    let short_lines = format!("GET / HTTP/1.1\r\n{}", "a:\n".repeat(5_000));
    for head in [
        long_line,
        short_lines,
        "\r\n".repeat(8_000),
        "\n".repeat(16_000),
    ] {
        let limit = (EARLY_PARSES + 4) * head.len();
        let parsed = parsed_bytes(head.as_bytes());
        assert!(parsed <= limit, "{parsed} bytes of {:?}", &head[..20]);
    }
}

#[test]
fn a_complete_head_in_pieces_of_any_size_is_parsed_at_its_last_byte() {
    let filler = "x".repeat(1_000);
    for line_end in ["\r\n", "\n"] {
        let head = format!("\r\nGET / HTTP/1.1{line_end}X: {filler}{line_end}{line_end}");
        let bytes = head.as_bytes();
        for piece in [1, 2, 3, 7, bytes.len()] {
            let mut progress = HeadProgress::default();
            for end in (piece..bytes.len()).step_by(piece) {
                progress.needs_parse(&bytes[..end], &LIMITS);
            }
            assert!(progress.needs_parse(bytes, &LIMITS));
            assert!(RequestHead::parse(bytes, &LIMITS).unwrap().is_some());
        }
    }
}

#[test]
fn a_head_over_the_limit_is_parsed_and_rejected() {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX: {}",
        "x".repeat(LIMITS.max_head_bytes)
    );
    let mut progress = HeadProgress::default();
    let length = (1..=head.len())
        .find(|length| {
            let bytes = &head.as_bytes()[..*length];
            progress.needs_parse(bytes, &LIMITS) && ResponseHead::parse(bytes, &LIMITS).is_err()
        })
        .unwrap();
    assert_eq!(length, LIMITS.max_head_bytes);
}
