//! Whole requests and answers from a connection.

use futures_lite::AsyncReadExt;
use ivyward_http1::{BodyDecoder, Decoded, Limits, RequestHead, ResponseHead};
use ivyward_runtime::{Conn, Micros, RuntimeRef};

/// Bounds of what is read.
pub const LIMITS: Limits = Limits {
    max_head_bytes: 16 << 10,
    max_headers: 64,
    max_body_bytes: 1 << 20,
    max_chunk_bytes: 1 << 20,
};
const PIECE: usize = 4_096;

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Got {
    /// 0 where the connection ended without one.
    pub status: u16,
    /// What came of the body.
    pub body: Vec<u8>,
    /// The body came to its end.
    pub whole: bool,
    /// The connection does not go on.
    pub closes: bool,
    /// The header of this name.
    pub retry_after: Option<String>,
    /// When its last byte, or the connection's end, came.
    pub at: Micros,
    /// When the body's last byte came.
    pub last: Micros,
}

/// Waits for an answer.
///
/// # Panics
/// When what comes is no HTTP: no stand-in goes on from there.
pub async fn read_answer(runtime: &RuntimeRef, conn: &mut Conn) -> Got {
    let (mut bytes, mut out, mut body): (Vec<u8>, Got, Option<BodyDecoder>) =
        (Vec::new(), Got::default(), None);
    loop {
        if body.is_none() {
            if let Some((answer, used)) =
                ResponseHead::parse(&bytes, &LIMITS).expect("an answer that can be read")
            {
                bytes.drain(..used);
                out.status = answer.status;
                out.closes = !answer.headers.is_keep_alive();
                out.retry_after = answer.headers.text("retry-after").map(str::to_owned);
                body = Some(BodyDecoder::new(answer.framing, &LIMITS));
            }
        }
        while let Some(body) = body.as_mut() {
            let (step, used) = body.decode(&bytes).expect("a body that can be read");
            if let Decoded::Data(range) = &step {
                out.body.extend_from_slice(&bytes[range.clone()]);
                out.last = runtime.now();
            }
            bytes.drain(..used);
            match step {
                Decoded::Done => {
                    return Got {
                        whole: true,
                        at: runtime.now(),
                        ..out
                    }
                }
                Decoded::NeedMoreInput => break,
                Decoded::Data(_) => {}
            }
        }
        let mut piece = [0; PIECE];
        match conn.read(&mut piece).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&piece[..n]),
            _ => {
                return Got {
                    at: runtime.now(),
                    ..out
                }
            }
        }
    }
}

/// A whole request from a connection with what is left of it in `bytes`, or `None` at the connection's end.
pub async fn read_request(conn: &mut Conn, bytes: &mut Vec<u8>) -> Option<(RequestHead, Vec<u8>)> {
    let mut head: Option<(RequestHead, BodyDecoder, Vec<u8>)> = None;
    loop {
        if head.is_none() {
            if let Some((request, used)) = RequestHead::parse(bytes, &LIMITS).ok()? {
                bytes.drain(..used);
                let body = BodyDecoder::new(request.framing, &LIMITS);
                head = Some((request, body, Vec::new()));
            }
        }
        if let Some((_, body, text)) = head.as_mut() {
            loop {
                let (step, used) = body.decode(bytes).ok()?;
                if let Decoded::Data(range) = &step {
                    text.extend_from_slice(&bytes[range.clone()]);
                }
                bytes.drain(..used);
                match step {
                    Decoded::Done => return head.map(|(request, _, text)| (request, text)),
                    Decoded::NeedMoreInput => break,
                    Decoded::Data(_) => {}
                }
            }
        }
        let mut piece = [0; PIECE];
        match conn.read(&mut piece).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&piece[..n]),
            _ => return None,
        }
    }
}
