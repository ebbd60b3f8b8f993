//! Bodies of messages: an incremental decoder that finds their end, and writing of chunks.

use crate::Limits;
use std::ops::Range;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body consists of chunks and ends with an empty chunk and the trailer section.
    Chunked,
    /// The body ends when the connection is closed, so an incomplete body cannot be told from a complete one.
    UntilClose,
}

/// Why the rest of a body cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The line with the size of a chunk is malformed, or longer than 1,024 bytes.
    #[error("the size of a chunk cannot be read")]
    InvalidChunkSize,
    /// The size of a chunk is over [`Limits::max_chunk_bytes`].
    #[error("a chunk is too long")]
    ChunkTooLong,
    /// A chunk's data is not followed by CRLF, or the trailer section is malformed or too long.
    #[error("a chunk does not end where its size says")]
    InvalidChunkEnd,
}

/// The result of decoding the next bytes of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The rest of the input is no complete element; the decoder needs more bytes to continue.
    NeedMoreInput,
    /// The bytes of the input in this range belong to the body.
    Data(Range<usize>),
    /// The body is complete. The bytes after it belong to the next message.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The number of bytes that remain of the body or, if it is chunked, of the current chunk.
    Remaining(u64),
    /// The line with the size of the next chunk follows.
    ChunkSize,
    /// The CRLF after a chunk's data follows.
    ChunkEnd,
    /// The trailer section after the last chunk follows.
    Trailer,
    /// All further bytes of the connection belong to the body.
    UntilClose,
    Done,
}

/// The maximum length of a trailer line, and of a chunk size line with its extensions, including CRLF.
const MAX_LINE_BYTES: usize = 1024;
/// The maximum number of trailer lines, not counting the empty line at their end.
const MAX_TRAILERS: u8 = 32;

/// An incremental decoder for one body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    chunked: bool,
    max_chunk_bytes: u64,
    /// The number of trailer lines so far.
    trailers: u8,
}

impl BodyDecoder {
    /// Creates a decoder for a body that begins with the next byte. Only [`Limits::max_chunk_bytes`] is applied here; a head
    /// with a larger length than [`Limits::max_body_bytes`] is rejected when it is parsed.
    pub fn new(framing: Framing, limits: &Limits) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Remaining(n),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder {
            state,
            chunked: framing == Framing::Chunked,
            max_chunk_bytes: limits.max_chunk_bytes,
            trailers: 0,
        }
    }

    /// Returns whether the body is complete. Never true for [`Framing::UntilClose`].
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the beginning of `input`. Returns the result and the number of bytes consumed, which the caller removes from
    /// its input.
    ///
    /// # Errors
    /// Returns an error if the chunked coding is malformed or over a limit. The connection cannot be used any further then.
    pub fn decode(&mut self, input: &[u8]) -> Result<(Decoded, usize), BodyError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                State::Done => return Ok((Decoded::Done, used)),
                _ if rest.is_empty() => return Ok((Decoded::NeedMoreInput, used)),
                State::UntilClose => return Ok((Decoded::Data(used..input.len()), input.len())),
                State::Remaining(left) => {
                    let take = left.min(rest.len() as u64);
                    self.state = match (left - take, self.chunked) {
                        (0, true) => State::ChunkEnd,
                        (0, false) => State::Done,
                        (left, _) => State::Remaining(left),
                    };
                    let end = used + take as usize;
                    return Ok((Decoded::Data(used..end), end));
                }
                State::ChunkSize => {
                    let Some(line) = first_line(rest, BodyError::InvalidChunkSize)? else {
                        return Ok((Decoded::NeedMoreInput, used));
                    };
                    used += line.len() + 2;
                    let size = line
                        .split(|b| *b == b';')
                        .next()
                        .unwrap_or(line)
                        .trim_ascii();
                    self.state = match parse_chunk_size(size)? {
                        0 => State::Trailer,
                        n if n > self.max_chunk_bytes => return Err(BodyError::ChunkTooLong),
                        n => State::Remaining(n),
                    };
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = State::ChunkSize;
                    }
                    [b'\r'] => return Ok((Decoded::NeedMoreInput, used)),
                    _ => return Err(BodyError::InvalidChunkEnd),
                },
                State::Trailer => {
                    let Some(line) = first_line(rest, BodyError::InvalidChunkEnd)? else {
                        return Ok((Decoded::NeedMoreInput, used));
                    };
                    used += line.len() + 2;
                    self.trailers += 1;
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if self.trailers > MAX_TRAILERS {
                        return Err(BodyError::InvalidChunkEnd);
                    }
                }
            }
        }
    }
}

/// Returns the first line of `bytes` without its CRLF, or `None` if the line is incomplete. A line that is too long or ends
/// without CR is reported as `error`.
fn first_line(bytes: &[u8], error: BodyError) -> Result<Option<&[u8]>, BodyError> {
    let seen = &bytes[..bytes.len().min(MAX_LINE_BYTES)];
    match seen.iter().position(|b| *b == b'\n') {
        Some(at) if at > 0 && seen[at - 1] == b'\r' => Ok(Some(&seen[..at - 1])),
        Some(_) => Err(error),
        None if bytes.len() >= MAX_LINE_BYTES => Err(error),
        None => Ok(None),
    }
}

/// Parses the size of a chunk.
fn parse_chunk_size(digits: &[u8]) -> Result<u64, BodyError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BodyError::InvalidChunkSize);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::InvalidChunkSize)?;
    // The text consists of digits, so the only possible error is an overflow: the size is over any limit.
    u64::from_str_radix(text, 16).map_err(|_| BodyError::ChunkTooLong)
}

/// Appends one chunk to `out`. Appends nothing if `data` is empty, because an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk, with an empty trailer section: ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
