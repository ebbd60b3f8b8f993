//! Heads and bodies, whole and in pieces, good and bad.

use ivyward_http1::{
    body, BodyDecoder, BodyError, Decoded, Framing, HeadError, Limits, RequestHead, ResponseHead,
};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    max_head_bytes: 2_000,
    max_headers: 16,
    max_body_bytes: 1_000,
    max_chunk_bytes: 1_000,
};

fn head(lines: &str) -> Result<Framing, HeadError> {
    let text = format!("POST /a?b HTTP/1.1\r\n{lines}\r\n");
    RequestHead::parse(text.as_bytes(), &LIMITS).map(|read| read.expect("whole").0.framing)
}

#[test]
fn a_bodys_end_is_told_once_or_not_at_all() {
    assert_eq!(head(""), Ok(Framing::Length(0)));
    assert_eq!(head("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(
        head("Content-Length: 12\r\nContent-Length: 12\r\n"),
        Ok(Framing::Length(12))
    );
    assert_eq!(head("Transfer-Encoding: Chunked\r\n"), Ok(Framing::Chunked));
    assert_eq!(
        head("Content-Length: 12\r\nContent-Length: 13\r\n"),
        Err(HeadError::InvalidLength)
    );
    assert_eq!(
        head("Content-Length: 12\r\nTransfer-Encoding: chunked\r\n"),
        Err(HeadError::LengthAndCoding)
    );
    assert_eq!(
        head("Transfer-Encoding: gzip\r\n"),
        Err(HeadError::UnsupportedCoding)
    );
    assert_eq!(
        head("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        Err(HeadError::UnsupportedCoding)
    );
    for bad in ["-1", "+1", "1 2", "0x10", "", "1,1"] {
        assert_eq!(
            head(&format!("Content-Length: {bad}\r\n")),
            Err(HeadError::InvalidLength),
            "{bad:?}"
        );
    }
    for large in ["1001", "99999999999999999999999"] {
        assert_eq!(
            head(&format!("Content-Length: {large}\r\n")),
            Err(HeadError::BodyTooLarge),
            "{large}"
        );
    }
}

#[test]
fn heads_are_bounded() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(2_000));
    assert_eq!(
        RequestHead::parse(&long.as_bytes()[..1_999], &LIMITS),
        Ok(None)
    );
    assert_eq!(
        RequestHead::parse(long.as_bytes(), &LIMITS),
        Err(HeadError::TooLong)
    );
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(17));
    assert_eq!(
        RequestHead::parse(many.as_bytes(), &LIMITS),
        Err(HeadError::Malformed)
    );
    assert_eq!(
        ResponseHead::parse(b"\x00\x01", &LIMITS),
        Err(HeadError::Malformed)
    );
}

#[test]
fn answers_without_a_body_and_connections_that_end() {
    let read = |text: &str| {
        ResponseHead::parse(text.as_bytes(), &LIMITS)
            .unwrap()
            .unwrap()
            .0
    };
    assert_eq!(read("HTTP/1.1 204 No\r\n\r\n").framing, Framing::Length(0));
    assert_eq!(read("HTTP/1.1 200 OK\r\n\r\n").framing, Framing::UntilClose);
    assert!(read("HTTP/1.1 200 OK\r\n\r\n").headers.is_keep_alive());
    assert!(!read("HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n")
        .headers
        .is_keep_alive());
    assert!(!read("HTTP/1.0 200 OK\r\n\r\n").headers.is_keep_alive());
}

/// Feeds bytes in pieces; the body's bytes, whether it is whole, and how many bytes were used.
fn feed(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, usize), BodyError> {
    let (mut body, mut out, mut all, mut buf) = (
        BodyDecoder::new(framing, &LIMITS),
        Vec::new(),
        0,
        Vec::new(),
    );
    for piece in pieces {
        buf.extend_from_slice(piece);
        loop {
            let (step, used) = body.decode(&buf)?;
            if let Decoded::Data(range) = &step {
                out.extend_from_slice(&buf[range.clone()]);
            }
            buf.drain(..used);
            all += used;
            match step {
                Decoded::Done => return Ok((out, true, all)),
                Decoded::NeedMoreInput => break,
                Decoded::Data(_) => {}
            }
        }
    }
    Ok((out, body.is_done(), all))
}

#[test]
fn chunks_that_cannot_be() {
    for (bytes, error) in [
        ("zz\r\n", BodyError::InvalidChunkSize),
        ("\r\n", BodyError::InvalidChunkSize),
        ("-5\r\nhello\r\n", BodyError::InvalidChunkSize),
        ("5\nhello\r\n", BodyError::InvalidChunkSize),
        ("bb800000\r\n", BodyError::ChunkTooLong),
        ("fffffffffffffffff\r\n", BodyError::ChunkTooLong),
        ("5\r\nhelloX", BodyError::InvalidChunkEnd),
    ] {
        assert_eq!(
            feed(Framing::Chunked, &[bytes.as_bytes()]),
            Err(error),
            "{bytes:?}"
        );
    }
    assert_eq!(
        feed(Framing::Chunked, &[&[b'1'; 2_000]]),
        Err(BodyError::InvalidChunkSize)
    );
    let endless = format!("0\r\n{}", "a: b\r\n".repeat(100));
    assert_eq!(
        feed(Framing::Chunked, &[endless.as_bytes()]),
        Err(BodyError::InvalidChunkEnd)
    );
}

proptest! {
    /// However the bytes are cut, the body is the same, and what follows it is not touched.
    #[test]
    fn pieces_change_nothing(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..200), 0..6),
        cuts in prop::collection::vec(0usize..2_000, 0..12),
    ) {
        let mut bytes = Vec::new();
        chunks.iter().for_each(|c| body::write_chunk(&mut bytes, c));
        bytes.extend_from_slice(body::LAST_CHUNK);
        let length = bytes.len();
        bytes.extend_from_slice(b"GET / next");
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.sort_unstable();
        cuts.push(bytes.len());
        let mut from = 0;
        let mut pieces = Vec::new();
        for cut in cuts {
            pieces.push(&bytes[from..cut]);
            from = cut;
        }
        prop_assert_eq!(feed(Framing::Chunked, &pieces), Ok((chunks.concat(), true, length)));
    }

    /// Nothing makes it panic, and it never claims more than it was given.
    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..3_000)) {
        let _ = RequestHead::parse(&bytes, &LIMITS);
        let _ = ResponseHead::parse(&bytes, &LIMITS);
        if let Ok((out, _, used)) = feed(Framing::Chunked, &[&bytes]) {
            prop_assert!(out.len() <= used && used <= bytes.len());
        }
    }
}
