//! HTTP/1.1 framing without I/O.
//!
//! - [`head`]: parses and writes the heads of requests and responses.
//! - [`head_progress`]: decides when a head that arrives in pieces is parsed again.
//! - [`body`]: decodes bodies that are delimited by a length, by chunks or by the end of the connection, and writes chunks.
//!
//! The caller owns the socket. It passes the received bytes in, and gets back what they contain and how many of them were
//! consumed. The caller keeps the bytes that were not consumed; [`Limits`] bounds the length of everything that is parsed.

pub mod body;
pub mod head;
pub mod head_progress;

pub use body::{BodyDecoder, BodyError, Decoded, Framing};
pub use head::{HeadError, Headers, RequestHead, ResponseHead};
pub use head_progress::HeadProgress;

/// Limits on the size of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of a head in bytes, including its start line.
    pub max_head_bytes: usize,
    /// The maximum number of header lines.
    pub max_headers: usize,
    /// The maximum value of `Content-Length`. Bodies with another framing are not limited in total.
    pub max_body_bytes: u64,
    /// The maximum size of one chunk in bytes.
    pub max_chunk_bytes: u64,
}
