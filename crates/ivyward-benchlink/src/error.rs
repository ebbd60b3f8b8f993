//! Errors of the adapter: what is wrong with a frame, its settings, or its input and output.

use ivyward_settings::ParseError;
use std::io;

/// Why a frame cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("{what} cut short at byte {at}")]
    CutShort { what: &'static str, at: usize },
    #[error("batch of {length} bytes cut short at byte {at}")]
    BatchCutShort { length: u64, at: usize },
    #[error("batch of {count} records cut short at byte {at}")]
    RecordsCutShort { count: usize, at: usize },
    #[error("record {index}: {error}")]
    Record {
        index: usize,
        error: Box<FrameError>,
    },
    #[error("{what} points outside the tail ({offset} + {length})")]
    OutsideTail {
        what: &'static str,
        offset: usize,
        length: usize,
    },
    #[error("{what}: {value} is no token count at byte {at}")]
    NotATokenCount {
        what: &'static str,
        value: f32,
        at: usize,
    },
    #[error("{what}: load report of {len} values")]
    LongReport { what: &'static str, len: usize },
    #[error("CREATE: settings are not text")]
    SettingsNotText,
    #[error("OUTCOME: unknown outcome {value} at byte {at}")]
    UnknownOutcome { value: u8, at: usize },
    #[error("UPDATE: unknown kind of list {value} at byte {at}")]
    UnknownListKind { value: u8, at: usize },
    #[error("UPDATE: unknown condition {value}")]
    UnknownEndpointState { value: u8 },
    #[error("unknown event code {code} at byte {at}")]
    UnknownEvent { code: u8, at: usize },
}

/// Why the adapter ends.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Settings(#[from] ParseError),
    #[error("an event comes before any TARGET_INSTANCE")]
    NoTarget,
    #[error("an event for instance {0}, which was not created")]
    UnknownInstance(u32),
    #[error("cannot read: {0}")]
    Read(io::Error),
    #[error("cannot write: {0}")]
    Write(io::Error),
}
