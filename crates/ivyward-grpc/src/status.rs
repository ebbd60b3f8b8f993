//! gRPC statuses, and the errors of failed calls.

use crate::frame::FrameError;
use http::HeaderMap;

/// gRPC's status code for errors that have no code of their own.
const UNKNOWN: u32 = 2;

/// The error of a failed call. Tells why the call failed and whether the server may have run it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{cause}")]
pub struct CallError {
    /// What ended the call.
    pub cause: Cause,
    /// Whether the server provably did nothing for this call.
    pub never_ran: bool,
}

impl CallError {
    /// A failure after which the server provably did nothing for the call.
    pub(crate) fn never_ran(cause: Cause) -> CallError {
        CallError {
            cause,
            never_ran: true,
        }
    }

    /// A failure after which the server may have run the call.
    pub(crate) fn may_have_run(cause: Cause) -> CallError {
        CallError {
            cause,
            never_ran: false,
        }
    }
}

/// What ended a call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// The call's deadline passed before the call could be sent.
    #[error("no time was left before the call could leave")]
    DeadlinePassed,
    /// The connection broke, or was closed by either side.
    #[error("the connection broke: {0}")]
    ConnectionBroken(String),
    /// The server reset the call's stream.
    #[error("the server reset the stream: {0}")]
    Reset(String),
    /// The server answered with a status other than OK.
    #[error("the server answered with status {}: {}", .0.code, .0.message)]
    Status(Box<Status>),
    /// The server sent bytes that are not a valid gRPC message.
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// A gRPC status with its metadata.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Status {
    /// gRPC's status code; 0 is OK.
    pub code: u32,
    /// The message for developers that came with the code.
    pub message: String,
    /// The headers or trailers that carried the status.
    pub metadata: HeaderMap,
}

impl Status {
    /// Parses the status in headers or trailers; `None` if they contain no status.
    pub(crate) fn from_headers(headers: HeaderMap) -> Option<Status> {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let code = text("grpc-status")?.parse().unwrap_or(UNKNOWN);
        let message = text("grpc-message")
            .map(|m| percent_decode(&m))
            .unwrap_or_default();
        Some(Status {
            code,
            message,
            metadata: headers,
        })
    }

    /// Creates a status with code `UNKNOWN`, for responses without a gRPC status.
    pub(crate) fn unknown(message: impl Into<String>) -> Status {
        Status {
            code: UNKNOWN,
            message: message.into(),
            metadata: HeaderMap::new(),
        }
    }

    pub(crate) fn is_ok(&self) -> bool {
        self.code == 0
    }
}

/// Decodes the percent-encoding of a status message. Invalid escapes are left unchanged.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        if let Some(byte) = digits.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
