//! Tests of frame scanning and of waiting for a reset.

use super::*;

fn frame(kind: u8, stream: u32, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_be_bytes();
    [&length[1..], &[kind, 0], &stream.to_be_bytes(), body].concat()
}

#[test]
fn frames_are_found_in_chunks_of_any_size() {
    let bytes = [
        frame(4, 0, &[0; 12]),
        frame(HEADERS, 1, &[7; 300]),
        frame(0, 1, &[9; 1000]),
        frame(RST_STREAM, 1, &[0, 0, 0, 8]),
        frame(GOAWAY, 0, &[0, 0, 0, 5, 0, 0, 0, 0, 1, 2, 3]),
        frame(6, 0, &[0; 8]),
    ]
    .concat();
    for size in [1, 2, 3, 8, 9, 10, 13, 100, bytes.len()] {
        let (mut scanner, mut frames) = (FrameScanner::default(), Vec::new());
        for chunk in bytes.chunks(size) {
            scanner.scan(chunk, |header, payload| {
                frames.push((header.kind, header.stream, payload.to_vec()))
            });
        }
        let kinds: Vec<(u8, u32)> = frames.iter().map(|f| (f.0, f.1)).collect();
        assert_eq!(
            kinds,
            [
                (4, 0),
                (HEADERS, 1),
                (0, 1),
                (RST_STREAM, 1),
                (GOAWAY, 0),
                (6, 0)
            ],
            "chunks of {size}"
        );
        assert_eq!(frames[4].2, [0, 0, 0, 5]);
    }
}

#[test]
fn reset_is_reported_only_after_its_last_byte_is_written() {
    let observer = FrameObserver::default();
    let written = observer.await_reset(3);
    let mut scanner = FrameScanner::default();
    let bytes = frame(RST_STREAM, 3, &[0, 0, 0, 8]);
    scanner.scan(&bytes[..12], |header, _| {
        observer.record_sent_frame(&header)
    });
    assert!(written.try_recv().is_err() && !written.is_closed());
    scanner.scan(&bytes[12..], |header, _| {
        observer.record_sent_frame(&header)
    });
    assert!(written.try_recv().is_ok());
}
