//! Recordings of a router, and their replay. A recording is a sequence of length-delimited protobuf messages: the settings and
//! the seed of the router, then each event with the actions that the router returned for it.
//!
//! - `writer`: [`Recorder`], which the node's driver calls for each event.
//! - `reader`: [`RecordingReader`] reads a recording; [`replay`] checks that a new router takes the same actions.
//! - `codec`: conversion between the types of the router's interface and protobuf messages.

mod codec;
mod reader;
mod writer;

pub use codec::DecodeError;
pub use reader::{replay, EntryError, RecordingReader, ReplaySummary, Step};
pub use writer::Recorder;

use ivyward_core::interface::{Action, Micros};
use std::io;

/// Version of the recording format. Recordings of other versions are rejected.
pub const VERSION: u32 = 1;

/// Why a recording cannot be read or replayed.
#[derive(Debug, thiserror::Error)]
pub enum RecordingError {
    /// The input returned an error.
    #[error("the recording cannot be read: {0}")]
    Io(#[from] io::Error),
    /// An entry of the recording is malformed.
    #[error("entry {entry} of the recording is malformed: {problem}")]
    Malformed {
        /// Number of the entry, from 0.
        entry: usize,
        /// What is wrong with the entry.
        problem: EntryError,
    },
    /// The recording has another version than [`VERSION`].
    #[error("the recording has version {0}; this program reads version {VERSION}")]
    Version(u32),
    /// The replayed router took other actions than the recorded one.
    #[error("step {step} at {at} us: recorded {recorded:?}, replayed {replayed:?}")]
    Mismatch {
        /// Number of the step, from 0.
        step: usize,
        /// Time of the event on the recorded node's clock, in microseconds.
        at: Micros,
        /// The actions in the recording.
        recorded: Vec<Action>,
        /// The actions of the replayed router.
        replayed: Vec<Action>,
    },
}

#[cfg(test)]
mod tests;
