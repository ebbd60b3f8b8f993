//! gRPC's length-prefixed messages.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;

/// Bytes before each message: one of flags, four of length.
pub const PREFIX: usize = 5;

/// What is wrong with bytes that should hold a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Longer than the receiver takes.
    #[error("a message of {got} bytes is over the limit of {most}")]
    TooLarge {
        /// Its length.
        got: usize,
        /// The limit.
        most: usize,
    },
    /// The flags name a compression that was not agreed on.
    #[error("a message is compressed, which was not agreed on")]
    Compressed,
    /// The bytes are no message of that type.
    #[error("a message cannot be read: {0}")]
    Malformed(String),
    /// The stream ended inside a message.
    #[error("the stream ended inside a message")]
    Cut,
}

/// A message with its prefix.
pub fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut out = BytesMut::with_capacity(PREFIX + length);
    out.put_u8(0);
    out.put_u32(length as u32);
    // Room was just made, which is the only way in which this fails.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// Takes in bytes as they come and gives out whole messages. Holds at most one message's limit plus one chunk.
#[derive(Debug)]
pub struct Decoder {
    held: BytesMut,
    most: usize,
}

impl Decoder {
    /// A decoder that refuses messages of more than `most` bytes.
    pub fn new(most: usize) -> Decoder {
        Decoder {
            held: BytesMut::new(),
            most,
        }
    }
    /// Takes in a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        self.held.extend_from_slice(chunk);
    }
    /// Whether nothing is left over: a stream may end here.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// [`FrameError`] when the bytes are not what was agreed on; the stream is of no more use.
    pub fn pop<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(prefix) = self.held.get(..PREFIX) else {
            return Ok(None);
        };
        let length = u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]) as usize;
        if prefix[0] != 0 {
            return Err(FrameError::Compressed);
        }
        if length > self.most {
            return Err(FrameError::TooLarge {
                got: length,
                most: self.most,
            });
        }
        if self.held.len() < PREFIX + length {
            return Ok(None);
        }
        self.held.advance(PREFIX);
        let body = self.held.split_to(length);
        M::decode(body)
            .map(Some)
            .map_err(|e| FrameError::Malformed(e.to_string()))
    }
}

#[cfg(test)]
mod tests;
