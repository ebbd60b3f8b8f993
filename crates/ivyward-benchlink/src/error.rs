//! Errors of the adapter. Each text is one line, printed on standard error.

use crate::fields::MAX_REPORT_VALUES;
use ivyward_settings::ParseError;
use std::io;

/// Why a frame is malformed. Byte positions count from the start of the frame; in an `UPDATE entry`, from the start of the
/// entry.
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
    #[error("{what} refers to data outside the tail (offset {offset}, length {length})")]
    OutsideTail {
        what: &'static str,
        offset: usize,
        length: usize,
    },
    #[error("{what}: {value} at byte {at} is not a token count")]
    NotATokenCount {
        what: &'static str,
        value: f32,
        at: usize,
    },
    #[error("{what}: load report has {len} values; at most {MAX_REPORT_VALUES} are allowed")]
    LongReport { what: &'static str, len: usize },
    #[error("CREATE: settings are not valid UTF-8")]
    SettingsNotText,
    #[error("OUTCOME: unknown outcome {value} at byte {at}")]
    UnknownOutcome { value: u8, at: usize },
    #[error("UPDATE: unknown list kind {value} at byte {at}")]
    UnknownListKind { value: u8, at: usize },
    #[error("UPDATE: unknown endpoint state {value}")]
    UnknownEndpointState { value: u8 },
    #[error("unknown event code {code} at byte {at}")]
    UnknownEvent { code: u8, at: usize },
}

/// Why the adapter ends with an error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Settings(#[from] ParseError),
    #[error("record comes before any TARGET_INSTANCE")]
    NoTarget,
    #[error("event for instance {0}, which does not exist")]
    UnknownInstance(u32),
    #[error("cannot read standard input: {0}")]
    Read(io::Error),
    #[error("cannot write to standard output: {0}")]
    Write(io::Error),
}
