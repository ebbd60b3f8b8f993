//! Tests of the parts of `watch` that nobody outside sees.

use super::*;

fn frame(kind: u8, stream: u32, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32).to_be_bytes();
    [&length[1..], &[kind, 0], &stream.to_be_bytes(), body].concat()
}

#[test]
fn frames_are_found_whatever_the_chunks() {
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
        let (mut follower, mut got) = (Follower::default(), Vec::new());
        for chunk in bytes.chunks(size) {
            follower.follow(chunk, |head, body| {
                got.push((head.kind, head.stream, body.to_vec()))
            });
        }
        let kinds: Vec<(u8, u32)> = got.iter().map(|g| (g.0, g.1)).collect();
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
        assert_eq!(got[4].2, [0, 0, 0, 5]);
    }
}

#[test]
fn a_reset_counts_only_when_its_last_byte_left() {
    let trace = Trace::default();
    let wait = trace.await_reset(3);
    let mut follower = Follower::default();
    let bytes = frame(RST_STREAM, 3, &[0, 0, 0, 8]);
    follower.follow(&bytes[..12], |head, _| trace.wrote(&head));
    assert!(wait.try_recv().is_err() && !wait.is_closed());
    follower.follow(&bytes[12..], |head, _| trace.wrote(&head));
    assert!(wait.try_recv().is_ok());
}
