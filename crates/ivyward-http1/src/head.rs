//! Heads of requests and responses: start line, header lines and the framing of the body.

use crate::body::Framing;
use crate::Limits;
use std::ops::Range;

/// Why a head is rejected. The rest of the connection cannot be interpreted then, because the end of the message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head has no end within [`Limits::max_head_bytes`].
    #[error("the head is too long")]
    TooLong,
    /// The bytes are not an HTTP/1 head, or there are more header lines than [`Limits::max_headers`].
    #[error("the head cannot be read")]
    Malformed,
    /// `Content-Length` is not a number, or is present with different values.
    #[error("the length of the body cannot be read")]
    InvalidLength,
    /// `Content-Length` is over [`Limits::max_body_bytes`].
    #[error("the body is too long")]
    BodyTooLarge,
    /// Both `Content-Length` and `Transfer-Encoding` are present. Peers that disagree on which one applies also disagree on
    /// where the next message begins, which allows request smuggling.
    #[error("a body has either a length or a transfer coding")]
    LengthAndCoding,
    /// A transfer coding other than a single `chunked`, or `chunked` in an HTTP/1.0 message.
    #[error("a transfer coding that is not known")]
    UnsupportedCoding,
}

/// The header lines of a message, with names in lowercase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    /// The names and values of all lines.
    text: Vec<u8>,
    lines: Vec<HeaderLine>,
    /// The minor version of HTTP/1: 0 or 1.
    minor_version: u8,
}

/// The positions of one header line in the text of its head.
#[derive(Clone, Debug, PartialEq, Eq)]
struct HeaderLine {
    name: Range<usize>,
    value: Range<usize>,
}

impl Headers {
    /// Returns the first value of a header. `name` must be in lowercase.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.all(name).next()
    }
    /// Returns the first value of a header without surrounding whitespace, or `None` if the header is absent or its value
    /// is not UTF-8. `name` must be in lowercase.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|v| std::str::from_utf8(v).ok())
            .map(str::trim)
    }
    /// Returns all values of a header.
    fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.lines
            .iter()
            .filter(move |line| &self.text[line.name.clone()] == name.as_bytes())
            .map(|line| &self.text[line.value.clone()])
    }
    /// Returns the memory that the lines occupy, in bytes.
    fn memory(&self) -> usize {
        self.text.capacity() + self.lines.capacity() * size_of::<HeaderLine>()
    }
    /// Returns whether a header with a comma-separated list contains a token, in any case.
    fn has_token(&self, name: &str, token: &str) -> bool {
        let tokens = self.all(name).flat_map(|v| v.split(|b| *b == b','));
        tokens
            .into_iter()
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }
    /// Returns whether the connection stays open after this message. The default is true for HTTP/1.1 and false for HTTP/1.0;
    /// the `Connection` header changes it.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor_version {
            0 => self.has_token("connection", "keep-alive"),
            _ => !self.has_token("connection", "close"),
        }
    }

    /// Determines the framing of the body; `default` if neither `Content-Length` nor `Transfer-Encoding` is present.
    fn framing(&self, limits: &Limits, default: Framing) -> Result<Framing, HeadError> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return Err(HeadError::InvalidLength);
        }
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), length) {
            (Some(_), Some(_)) => Err(HeadError::LengthAndCoding),
            (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                if codings.next().is_some() || self.minor_version == 0 {
                    return Err(HeadError::UnsupportedCoding);
                }
                Ok(Framing::Chunked)
            }
            (Some(_), None) => Err(HeadError::UnsupportedCoding),
            (None, None) => Ok(default),
            (None, Some(length)) => {
                let text = std::str::from_utf8(length)
                    .map_err(|_| HeadError::InvalidLength)?
                    .trim();
                // Only digits are valid; `parse` would also accept a plus sign.
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

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, as received.
    pub method: String,
    /// The request target (path and query), as received.
    pub target: String,
    /// The header lines.
    pub headers: Headers,
    /// How the end of the body is determined. Without `Content-Length` and `Transfer-Encoding`, a request has no body.
    pub framing: Framing,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header lines.
    pub headers: Headers,
    /// How the end of the body is determined. Responses with status 1xx, 204 and 304 have no body.
    pub framing: Framing,
}

fn to_headers(headers: &[httparse::Header<'_>], minor_version: Option<u8>) -> Headers {
    let length = headers.iter().map(|h| h.name.len() + h.value.len()).sum();
    let mut text = Vec::with_capacity(length);
    let mut lines = Vec::with_capacity(headers.len());
    for header in headers {
        let name = append(&mut text, header.name.as_bytes());
        text[name.clone()].make_ascii_lowercase();
        let value = append(&mut text, header.value);
        lines.push(HeaderLine { name, value });
    }
    Headers {
        text,
        lines,
        minor_version: minor_version.unwrap_or(1),
    }
}

/// Appends `bytes` to `text`, and returns their position.
fn append(text: &mut Vec<u8>, bytes: &[u8]) -> Range<usize> {
    let start = text.len();
    text.extend_from_slice(bytes);
    start..text.len()
}

/// Returns an error if an incomplete head has reached the maximum length.
fn check_incomplete(bytes: &[u8], limits: &Limits) -> Result<(), HeadError> {
    if bytes.len() >= limits.max_head_bytes {
        Err(HeadError::TooLong)
    } else {
        Ok(())
    }
}

impl RequestHead {
    /// Returns the memory that the head occupies, in bytes.
    pub fn memory(&self) -> usize {
        self.method.capacity() + self.target.capacity() + self.headers.memory()
    }

    /// Parses the head of a request at the beginning of `bytes`. Returns the head and its length in bytes, or `None` if it
    /// is incomplete.
    ///
    /// # Errors
    /// Returns an error if the head is malformed or over a limit, or if the framing of its body is invalid.
    pub fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<(RequestHead, usize)>, HeadError> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
        let mut parsed = httparse::Request::new(&mut space);
        let seen = &bytes[..bytes.len().min(limits.max_head_bytes)];
        match parsed.parse(seen).map_err(|_| HeadError::Malformed)? {
            httparse::Status::Partial => check_incomplete(bytes, limits).map(|()| None),
            httparse::Status::Complete(used) => {
                let headers = to_headers(parsed.headers, parsed.version);
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
    /// Parses the head of a response at the beginning of `bytes`. Returns the head and its length in bytes, or `None` if it
    /// is incomplete.
    ///
    /// # Errors
    /// Returns an error if the head is malformed or over a limit, or if the framing of its body is invalid.
    pub fn parse(
        bytes: &[u8],
        limits: &Limits,
    ) -> Result<Option<(ResponseHead, usize)>, HeadError> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.max_headers];
        let mut parsed = httparse::Response::new(&mut space);
        let seen = &bytes[..bytes.len().min(limits.max_head_bytes)];
        match parsed.parse(seen).map_err(|_| HeadError::Malformed)? {
            httparse::Status::Partial => check_incomplete(bytes, limits).map(|()| None),
            httparse::Status::Complete(used) => {
                let (headers, status) = (
                    to_headers(parsed.headers, parsed.version),
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

/// Appends a head to `out`: the start line, which is passed without CRLF, and the header lines. Nothing is escaped, so
/// neither the start line nor the headers may contain line breaks.
pub fn write(out: &mut Vec<u8>, start_line: &str, headers: &[(&str, &str)]) {
    out.extend_from_slice(start_line.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        for part in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
            out.extend_from_slice(part);
        }
    }
    out.extend_from_slice(b"\r\n");
}
