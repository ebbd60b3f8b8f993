//! Parsing of heads and decoding of bodies: valid and invalid input, complete and in pieces.

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

/// Parses a request head with these header lines and returns the framing of its body.
fn framing(lines: &str) -> Result<Framing, HeadError> {
    let text = format!("POST /a?b HTTP/1.1\r\n{lines}\r\n");
    RequestHead::parse(text.as_bytes(), &LIMITS).map(|parsed| parsed.expect("whole").0.framing)
}

#[test]
fn contradictory_or_invalid_lengths_and_codings_are_rejected() {
    assert_eq!(framing(""), Ok(Framing::Length(0)));
    assert_eq!(framing("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(
        framing("Content-Length: 12\r\nContent-Length: 12\r\n"),
        Ok(Framing::Length(12))
    );
    assert_eq!(
        framing("Transfer-Encoding: Chunked\r\n"),
        Ok(Framing::Chunked)
    );
    assert_eq!(
        framing("Content-Length: 12\r\nContent-Length: 13\r\n"),
        Err(HeadError::InvalidLength)
    );
    assert_eq!(
        framing("Content-Length: 12\r\nTransfer-Encoding: chunked\r\n"),
        Err(HeadError::LengthAndCoding)
    );
    assert_eq!(
        framing("Transfer-Encoding: gzip\r\n"),
        Err(HeadError::UnsupportedCoding)
    );
    assert_eq!(
        framing("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        Err(HeadError::UnsupportedCoding)
    );
    for bad in ["-1", "+1", "1 2", "0x10", "", "1,1"] {
        assert_eq!(
            framing(&format!("Content-Length: {bad}\r\n")),
            Err(HeadError::InvalidLength),
            "{bad:?}"
        );
    }
    for large in ["1001", "99999999999999999999999"] {
        assert_eq!(
            framing(&format!("Content-Length: {large}\r\n")),
            Err(HeadError::BodyTooLarge),
            "{large}"
        );
    }
}

#[test]
fn heads_over_a_limit_are_rejected() {
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
fn responses_without_a_body_and_responses_that_end_the_connection() {
    let parse = |text: &str| {
        ResponseHead::parse(text.as_bytes(), &LIMITS)
            .unwrap()
            .unwrap()
            .0
    };
    assert_eq!(parse("HTTP/1.1 204 No\r\n\r\n").framing, Framing::Length(0));
    assert_eq!(
        parse("HTTP/1.1 200 OK\r\n\r\n").framing,
        Framing::UntilClose
    );
    assert!(parse("HTTP/1.1 200 OK\r\n\r\n").headers.is_keep_alive());
    assert!(!parse("HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n")
        .headers
        .is_keep_alive());
    assert!(!parse("HTTP/1.0 200 OK\r\n\r\n").headers.is_keep_alive());
}

/// Decodes a body whose bytes arrive in pieces. Returns the bytes of the body, whether it is complete, and the number of
/// consumed bytes.
fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, usize), BodyError> {
    let (mut decoder, mut body, mut consumed, mut buffer) = (
        BodyDecoder::new(framing, &LIMITS),
        Vec::new(),
        0,
        Vec::new(),
    );
    for piece in pieces {
        buffer.extend_from_slice(piece);
        loop {
            let (decoded, used) = decoder.decode(&buffer)?;
            if let Decoded::Data(range) = &decoded {
                body.extend_from_slice(&buffer[range.clone()]);
            }
            buffer.drain(..used);
            consumed += used;
            match decoded {
                Decoded::Done => return Ok((body, true, consumed)),
                Decoded::NeedMoreInput => break,
                Decoded::Data(_) => {}
            }
        }
    }
    Ok((body, decoder.is_done(), consumed))
}

#[test]
fn malformed_chunks_are_rejected() {
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
            decode(Framing::Chunked, &[bytes.as_bytes()]),
            Err(error),
            "{bytes:?}"
        );
    }
    assert_eq!(
        decode(Framing::Chunked, &[&[b'1'; 2_000]]),
        Err(BodyError::InvalidChunkSize)
    );
    let endless = format!("0\r\n{}", "a: b\r\n".repeat(100));
    assert_eq!(
        decode(Framing::Chunked, &[endless.as_bytes()]),
        Err(BodyError::InvalidChunkEnd)
    );
}

proptest! {
    /// The decoded body does not depend on how its bytes are split into pieces, and the bytes after it are not consumed.
    #[test]
    fn a_body_in_pieces_is_decoded_like_a_complete_one(
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
        prop_assert_eq!(decode(Framing::Chunked, &pieces), Ok((chunks.concat(), true, length)));
    }

    /// Arbitrary bytes cause no panic, and the decoder never reports more bytes than it was given.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..3_000)) {
        let _ = RequestHead::parse(&bytes, &LIMITS);
        let _ = ResponseHead::parse(&bytes, &LIMITS);
        if let Ok((body, _, consumed)) = decode(Framing::Chunked, &[&bytes]) {
            prop_assert!(body.len() <= consumed && consumed <= bytes.len());
        }
    }
}
