//! Recordings: the events that a router got and the actions that it took, as length-delimited protobuf, and their replay.
//!
//! - `writer`: [`Recorder`], which the driver holds.
//! - `reader`: [`RecordingReader`] and [`replay`].
//! - `codec`: the interface's types as protobuf messages, both ways.

mod codec;
mod reader;
mod writer;

pub use codec::DecodeError;
pub use reader::{replay, EntryError, RecordingReader, ReplaySummary, Step};
pub use writer::Recorder;

use ivyward_core::interface::{Action, Micros};
use std::io;

/// Version of the recordings that this program writes and reads.
pub const VERSION: u32 = 1;

/// What is wrong with a recording.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// It cannot be read.
    #[error("the recording cannot be read: {0}")]
    Io(#[from] io::Error),
    /// It holds something that is no entry.
    #[error("entry {entry} of the recording is malformed: {problem}")]
    Malformed {
        /// Its number, from 0.
        entry: usize,
        /// What is wrong with it.
        problem: EntryError,
    },
    /// It is of another version.
    #[error("the recording has version {0}; this program reads version {VERSION}")]
    Version(u32),
    /// The router did something else this time.
    #[error("step {step} at {at} us: recorded {recorded:?}, replayed {replayed:?}")]
    Differs {
        /// The step's number, from 0.
        step: usize,
        /// Its time.
        at: Micros,
        /// What was done then.
        recorded: Vec<Action>,
        /// What was done now.
        replayed: Vec<Action>,
    },
}

#[cfg(test)]
mod tests;
