//! Reads complete HTTP/1.1 requests and responses from a connection.

use futures_lite::AsyncReadExt;
use ivyward_http1::{BodyDecoder, Decoded, Limits, RequestHead, ResponseHead};
use ivyward_runtime::{Conn, Micros, RuntimeRef};

/// Size limits, in bytes, of the heads and bodies that are read, and the maximum number of headers.
pub const LIMITS: Limits = Limits {
    max_head_bytes: 16 << 10,
    max_headers: 64,
    max_body_bytes: 1 << 20,
    max_chunk_bytes: 1 << 20,
};
const READ_SIZE: usize = 4_096;

/// A response as a client received it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedResponse {
    /// HTTP status; 0 if the connection ended without a response.
    pub status: u16,
    /// The part of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub complete: bool,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
    /// The value of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// When the response or the connection ended.
    pub ended_at: Micros,
    /// When the last bytes of the body arrived; 0 if none did.
    pub last_data_at: Micros,
}

/// Reads a response. Returns at its end or when the connection ends.
///
/// # Panics
/// Panics if the received bytes are not valid HTTP, because no fake can continue after that.
pub async fn read_response(runtime: &RuntimeRef, conn: &mut Conn) -> ReceivedResponse {
    let (mut bytes, mut out, mut body): (Vec<u8>, ReceivedResponse, Option<BodyDecoder>) =
        (Vec::new(), ReceivedResponse::default(), None);
    loop {
        if body.is_none() {
            if let Some((answer, used)) =
                ResponseHead::parse(&bytes, &LIMITS).expect("a valid HTTP response head")
            {
                bytes.drain(..used);
                out.status = answer.status;
                out.closes_connection = !answer.headers.is_keep_alive();
                out.retry_after = answer.headers.text("retry-after").map(str::to_owned);
                body = Some(BodyDecoder::new(answer.framing, &LIMITS));
            }
        }
        while let Some(body) = body.as_mut() {
            let (step, used) = body.decode(&bytes).expect("a valid HTTP response body");
            if let Decoded::Data(range) = &step {
                out.body.extend_from_slice(&bytes[range.clone()]);
                out.last_data_at = runtime.now();
            }
            bytes.drain(..used);
            match step {
                Decoded::Done => {
                    return ReceivedResponse {
                        complete: true,
                        ended_at: runtime.now(),
                        ..out
                    }
                }
                Decoded::NeedMoreInput => break,
                Decoded::Data(_) => {}
            }
        }
        let mut buffer = [0; READ_SIZE];
        match conn.read(&mut buffer).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
            _ => {
                return ReceivedResponse {
                    ended_at: runtime.now(),
                    ..out
                }
            }
        }
    }
}

/// Reads a request and its body. Bytes received after the request stay in `bytes` for the next call. Returns `None` when the
/// connection ends or the request is malformed.
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
        let mut buffer = [0; READ_SIZE];
        match conn.read(&mut buffer).await {
            Ok(n) if n > 0 => bytes.extend_from_slice(&buffer[..n]),
            _ => return None,
        }
    }
}
