//! Heads of requests and answers.

use crate::body::Framing;
use crate::Limits;

/// Why a head cannot be used. What follows it on the connection means nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// More bytes than allowed without an end.
    #[error("the head is too long")]
    TooLong,
    /// No HTTP/1 head.
    #[error("the head cannot be read")]
    Malformed,
    /// A length that is no number, or lengths that differ.
    #[error("the length of the body cannot be read")]
    InvalidLength,
    /// A body of more bytes than are taken.
    #[error("the body is too long")]
    BodyTooLarge,
    /// Both a length and a transfer coding: one of them hides something.
    #[error("a body has either a length or a transfer coding")]
    LengthAndCoding,
    /// A transfer coding other than chunks.
    #[error("a transfer coding that is not known")]
    UnsupportedCoding,
}

/// Header lines, with names in small letters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    lines: Vec<(String, Vec<u8>)>,
    minor: u8,
}

impl Headers {
    /// The first value of a header, by its name in small letters.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.lines
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_slice())
    }
    /// The same, as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|v| std::str::from_utf8(v).ok())
            .map(str::trim)
    }
    /// All values of a header.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.lines
            .iter()
            .filter(move |(n, _)| n == name)
            .map(|(_, v)| v.as_slice())
    }
    /// Whether a list header holds a word.
    fn lists(&self, name: &str, word: &str) -> bool {
        let words = self.all(name).flat_map(|v| v.split(|b| *b == b','));
        words
            .into_iter()
            .any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }
    /// Whether the connection serves further messages after this one.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor {
            0 => self.lists("connection", "keep-alive"),
            _ => !self.lists("connection", "close"),
        }
    }

    fn framing(&self, limits: &Limits, absent: Framing) -> Result<Framing, HeadError> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return Err(HeadError::InvalidLength);
        }
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), length) {
            (Some(_), Some(_)) => Err(HeadError::LengthAndCoding),
            (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                if codings.next().is_some() || self.minor == 0 {
                    return Err(HeadError::UnsupportedCoding);
                }
                Ok(Framing::Chunked)
            }
            (Some(_), None) => Err(HeadError::UnsupportedCoding),
            (None, None) => Ok(absent),
            (None, Some(length)) => {
                let text = std::str::from_utf8(length)
                    .map_err(|_| HeadError::InvalidLength)?
                    .trim();
                // Digits alone: the standard parser would take a sign.
                if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(HeadError::InvalidLength);
                }
                match text.parse::<u64>() {
                    Ok(length) if length <= limits.max_body_bytes => Ok(Framing::Length(length)),
                    _ => Err(HeadError::BodyTooLarge),
                }
            }
        }
    }
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// Its header lines.
    pub headers: Headers,
    /// Where its body ends.
    pub framing: Framing,
}

/// An answer's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub headers: Headers,
    /// Where its body ends.
    pub framing: Framing,
}

fn lines(headers: &[httparse::Header<'_>], minor: Option<u8>) -> Headers {
    let lines = headers
        .iter()
        .map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec()))
        .collect();
    Headers {
        lines,
        minor: minor.unwrap_or(1),
    }
}

fn unfinished(bytes: &[u8], limits: &Limits) -> Result<(), HeadError> {
    if bytes.len() >= limits.max_head_bytes {
        Err(HeadError::TooLong)
    } else {
        Ok(())
    }
}

impl RequestHead {
    /// A request's head and its length in bytes, or `None` while it is not whole.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
        let mut parsed = httparse::Request::new(&mut space);
        let seen = &bytes[..bytes.len().min(limits.max_head_bytes)];
        match parsed.parse(seen).map_err(|_| HeadError::Malformed)? {
            httparse::Status::Partial => unfinished(bytes, limits).map(|()| None),
            httparse::Status::Complete(used) => {
                let headers = lines(parsed.headers, parsed.version);
                let framing = headers.framing(limits, Framing::Length(0))?;
                let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
                let request = RequestHead {
                    method: method.into(),
                    target: target.into(),
                    headers,
                    framing,
                };
                Ok(Some((request, used)))
            }
        }
    }
}

impl ResponseHead {
    /// An answer's head and its length in bytes, or `None` while it is not whole.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
        let mut parsed = httparse::Response::new(&mut space);
        let seen = &bytes[..bytes.len().min(limits.max_head_bytes)];
        match parsed.parse(seen).map_err(|_| HeadError::Malformed)? {
            httparse::Status::Partial => unfinished(bytes, limits).map(|()| None),
            httparse::Status::Complete(used) => {
                let (headers, status) = (
                    lines(parsed.headers, parsed.version),
                    parsed.code.unwrap_or(0),
                );
                let framing = match status {
                    100..=199 | 204 | 304 => Framing::Length(0),
                    _ => headers.framing(limits, Framing::UntilClose)?,
                };
                Ok(Some((
                    ResponseHead {
                        status,
                        headers,
                        framing,
                    },
                    used,
                )))
            }
        }
    }
}

/// Writes a head: its first line without the line's end, and header lines. Values must hold no line ends.
pub fn write(out: &mut Vec<u8>, first: &str, headers: &[(&str, &str)]) {
    out.extend_from_slice(first.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        for part in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            out.extend_from_slice(part);
        }
    }
    out.extend_from_slice(b"\r\n");
}
