//! gRPC's length-prefixed messages.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// Length of a message's prefix, in bytes: one byte of flags and four of length.
pub const PREFIX_LENGTH: usize = 5;

/// Why bytes are not a valid message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is larger than the receiver accepts.
    #[error("a message of {length} bytes is over the limit of {limit}")]
    TooLarge {
        /// The message's length, in bytes.
        length: usize,
        /// The receiver's limit, in bytes.
        limit: usize,
    },
    /// The message is compressed, but no compression was negotiated.
    #[error("a message is compressed, which was not agreed on")]
    Compressed,
    /// The bytes do not decode as a message of the expected type.
    #[error("a message cannot be read: {0}")]
    Malformed(String),
    /// The stream ended inside a message.
    #[error("the stream ended inside a message")]
    Truncated,
}

/// Encodes a message with its prefix.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX_LENGTH + length);
    out.put_u8(0);
    out.put_u32(length as u32);
    // Fails only for lack of capacity, which was just reserved.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// Decodes messages from received chunks. If every whole message is taken before the next chunk is added, it buffers at most
/// one message of the maximum size plus one chunk.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    max_message_size: usize,
}

impl Decoder {
    /// Creates a decoder that rejects messages of more than `max_message_size` bytes.
    pub fn new(max_message_size: usize) -> Decoder {
        Decoder {
            buffer: BytesMut::new(),
            max_message_size,
        }
    }

    /// Appends a received chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Whether no part of a message is buffered, so that the stream may end here.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Removes and returns the next message, if a whole one is buffered.
    ///
    /// # Errors
    /// [`FrameError`] when the bytes are not a valid message. The rest of the stream cannot be decoded then.
    pub fn pop<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(prefix) = self.buffer.get(..PREFIX_LENGTH) else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]) as usize;
        if prefix[0] != 0 {
            return Err(FrameError::Compressed);
        }
        if length > self.max_message_size {
            return Err(FrameError::TooLarge {
                length,
                limit: self.max_message_size,
            });
        }
        if self.buffer.len() < PREFIX_LENGTH + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_LENGTH);
        let body = self.buffer.split_to(length);
        M::decode(body)
            .map(Some)
            .map_err(|e| FrameError::Malformed(e.to_string()))
    }
}

#[cfg(test)]
mod tests;
