//! HTTP/1.1 framing without I/O.
//!
//! - [`head`]: heads of requests and answers, read and written.
//! - [`body`]: where a body ends, by length, in chunks, or with the connection.
//!
//! Whoever holds the socket hands over bytes as they come and is told what they mean and how many were used. Nothing is
//! kept beyond the bounds of [`Limits`].

pub mod body;
pub mod head;

pub use body::{BodyDecoder, BodyError, Decoded, Framing};
pub use head::{HeadError, Headers, RequestHead, ResponseHead};

/// Bounds on what is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head, its first line among them.
    pub max_head_bytes: usize,
    /// Header lines.
    pub max_headers: usize,
    /// Bytes of a body that comes by length.
    pub max_body_bytes: u64,
    /// Bytes of one chunk.
    pub max_chunk_bytes: u64,
}
