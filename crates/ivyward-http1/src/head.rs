//! Heads of requests and answers.

use crate::body::Framing;
use crate::Limits;

/// Why a head cannot be used. What follows it on the connection means nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// More bytes than allowed without an end.
    #[error("the head is too long")]
    TooLong,
    /// No HTTP/1 head.
    #[error("the head cannot be read")]
    Unreadable,
    /// A length that is no number, or lengths that differ.
    #[error("the length of the body cannot be read")]
    Length,
    /// A body of more bytes than are taken.
    #[error("the body is too long")]
    TooLarge,
    /// Both a length and a transfer coding: one of them hides something.
    #[error("a body has either a length or a transfer coding")]
    Both,
    /// A transfer coding other than chunks.
    #[error("a transfer coding that is not known")]
    Coding,
}

/// Header lines, with names in small letters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    lines: Vec<(String, Vec<u8>)>,
    minor: u8,
}

impl Head {
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
    pub fn keeps(&self) -> bool {
        match self.minor {
            0 => self.lists("connection", "keep-alive"),
            _ => !self.lists("connection", "close"),
        }
    }

    fn framing(&self, limits: &Limits, absent: Framing) -> Result<Framing, Fault> {
        let mut lengths = self.all("content-length");
        let length = lengths.next();
        if lengths.any(|other| Some(other) != length) {
            return Err(Fault::Length);
        }
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), length) {
            (Some(_), Some(_)) => Err(Fault::Both),
            (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                if codings.next().is_some() || self.minor == 0 {
                    return Err(Fault::Coding);
                }
                Ok(Framing::Chunked)
            }
            (Some(_), None) => Err(Fault::Coding),
            (None, None) => Ok(absent),
            (None, Some(length)) => {
                let text = std::str::from_utf8(length)
                    .map_err(|_| Fault::Length)?
                    .trim();
                // Digits alone: the standard parser would take a sign.
                if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(Fault::Length);
                }
                match text.parse::<u64>() {
                    Ok(length) if length <= limits.body => Ok(Framing::Length(length)),
                    _ => Err(Fault::TooLarge),
                }
            }
        }
    }
}

/// A request's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// Its header lines.
    pub head: Head,
    /// Where its body ends.
    pub framing: Framing,
}

/// An answer's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its header lines.
    pub head: Head,
    /// Where its body ends.
    pub framing: Framing,
}

fn lines(headers: &[httparse::Header<'_>], minor: Option<u8>) -> Head {
    let lines = headers
        .iter()
        .map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec()))
        .collect();
    Head {
        lines,
        minor: minor.unwrap_or(1),
    }
}

fn unfinished(bytes: &[u8], limits: &Limits) -> Result<(), Fault> {
    if bytes.len() >= limits.head {
        Err(Fault::TooLong)
    } else {
        Ok(())
    }
}

impl Request {
    /// A request's head and its length in bytes, or `None` while it is not whole.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn read(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, usize)>, Fault> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.headers];
        let mut parsed = httparse::Request::new(&mut space);
        let seen = &bytes[..bytes.len().min(limits.head)];
        match parsed.parse(seen).map_err(|_| Fault::Unreadable)? {
            httparse::Status::Partial => unfinished(bytes, limits).map(|()| None),
            httparse::Status::Complete(used) => {
                let head = lines(parsed.headers, parsed.version);
                let framing = head.framing(limits, Framing::Length(0))?;
                let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
                let request = Request {
                    method: method.into(),
                    target: target.into(),
                    head,
                    framing,
                };
                Ok(Some((request, used)))
            }
        }
    }
}

impl Answer {
    /// An answer's head and its length in bytes, or `None` while it is not whole.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn read(bytes: &[u8], limits: &Limits) -> Result<Option<(Answer, usize)>, Fault> {
        let mut space = vec![httparse::EMPTY_HEADER; limits.headers];
        let mut parsed = httparse::Response::new(&mut space);
        let seen = &bytes[..bytes.len().min(limits.head)];
        match parsed.parse(seen).map_err(|_| Fault::Unreadable)? {
            httparse::Status::Partial => unfinished(bytes, limits).map(|()| None),
            httparse::Status::Complete(used) => {
                let (head, status) = (
                    lines(parsed.headers, parsed.version),
                    parsed.code.unwrap_or(0),
                );
                let framing = match status {
                    100..=199 | 204 | 304 => Framing::Length(0),
                    _ => head.framing(limits, Framing::UntilClose)?,
                };
                Ok(Some((
                    Answer {
                        status,
                        head,
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
