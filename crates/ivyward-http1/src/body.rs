//! Where a body ends.

use crate::Limits;
use std::ops::Range;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks, to an empty one.
    Chunked,
    /// It ends with its connection, so that nobody can tell whether it was whole.
    UntilClose,
}

/// Why a body cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// A chunk's size cannot be read.
    #[error("the size of a chunk cannot be read")]
    InvalidChunkSize,
    /// A chunk of more bytes than are taken.
    #[error("a chunk is too long")]
    ChunkTooLong,
    /// Something else stands where a chunk should end.
    #[error("a chunk does not end where its size says")]
    InvalidChunkEnd,
}

/// What the next bytes are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// More bytes are needed.
    NeedMoreInput,
    /// These bytes of the input belong to the body.
    Data(Range<usize>),
    /// The body is whole.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes of the body, or of a chunk, are left.
    Left(u64),
    Size,
    /// The line end behind a chunk.
    After,
    Trailer,
    Open,
    Done,
}

/// Longest line of a chunk's size with its extensions, and longest trailer line.
const MOST_LINE: usize = 1024;
/// Most trailer lines.
const MOST_TRAILERS: u8 = 32;

/// Follows one body through the bytes as they come.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    chunked: bool,
    most_chunk: u64,
    trailers: u8,
}

impl BodyDecoder {
    /// A body that begins with the next byte.
    pub fn new(framing: Framing, limits: &Limits) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) => State::Left(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::Open,
        };
        BodyDecoder {
            state,
            chunked: framing == Framing::Chunked,
            most_chunk: limits.max_chunk_bytes,
            trailers: 0,
        }
    }

    /// Whether it is whole.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// What the next bytes are, and how many of them are used up by that.
    ///
    /// # Errors
    /// When nothing more can be made of the bytes.
    pub fn decode(&mut self, input: &[u8]) -> Result<(Decoded, usize), BodyError> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            match self.state {
                State::Done => return Ok((Decoded::Done, used)),
                _ if rest.is_empty() => return Ok((Decoded::NeedMoreInput, used)),
                State::Open => return Ok((Decoded::Data(used..input.len()), input.len())),
                State::Left(left) => {
                    let take = left.min(rest.len() as u64);
                    self.state = match (left - take, self.chunked) {
                        (0, true) => State::After,
                        (0, false) => State::Done,
                        (left, _) => State::Left(left),
                    };
                    let end = used + take as usize;
                    return Ok((Decoded::Data(used..end), end));
                }
                State::Size => {
                    let Some(line) = line(rest, BodyError::InvalidChunkSize)? else {
                        return Ok((Decoded::NeedMoreInput, used));
                    };
                    used += line.len() + 2;
                    let size = line
                        .split(|b| *b == b';')
                        .next()
                        .unwrap_or(line)
                        .trim_ascii();
                    self.state = match hex(size)? {
                        0 => State::Trailer,
                        n if n > self.most_chunk => return Err(BodyError::ChunkTooLong),
                        n => State::Left(n),
                    };
                }
                State::After => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = State::Size;
                    }
                    [b'\r'] => return Ok((Decoded::NeedMoreInput, used)),
                    _ => return Err(BodyError::InvalidChunkEnd),
                },
                State::Trailer => {
                    let Some(line) = line(rest, BodyError::InvalidChunkEnd)? else {
                        return Ok((Decoded::NeedMoreInput, used));
                    };
                    used += line.len() + 2;
                    self.trailers += 1;
                    if line.is_empty() {
                        self.state = State::Done;
                    } else if self.trailers > MOST_TRAILERS {
                        return Err(BodyError::InvalidChunkEnd);
                    }
                }
            }
        }
    }
}

/// A line without its end, or `None` while it is not whole.
fn line(bytes: &[u8], error: BodyError) -> Result<Option<&[u8]>, BodyError> {
    let seen = &bytes[..bytes.len().min(MOST_LINE)];
    match seen.iter().position(|b| *b == b'\n') {
        Some(at) if at > 0 && seen[at - 1] == b'\r' => Ok(Some(&seen[..at - 1])),
        Some(_) => Err(error),
        None if bytes.len() >= MOST_LINE => Err(error),
        None => Ok(None),
    }
}

fn hex(digits: &[u8]) -> Result<u64, BodyError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BodyError::InvalidChunkSize);
    }
    // A size of more digits than fit is one that is too long, whatever it says.
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::InvalidChunkSize)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::ChunkTooLong)
}

/// Writes one chunk. Nothing is written for no bytes, which would be the end.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
