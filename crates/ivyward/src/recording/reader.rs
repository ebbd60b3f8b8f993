//! Reads recordings, and replays them.

use super::codec::{self, DecodeError};
use super::{RecordingError, VERSION};
use ivyward_core::interface::{Action, Event, Micros, Settings};
use ivyward_core::router::Router;
use ivyward_proto::record as pb;
use prost::Message;
use std::io::{self, BufRead};

/// Longest entry, in bytes: a list of some 100,000 engines.
const MAX_ENTRY: u64 = 8 << 20;

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EntryError {
    /// The first entry is something else.
    #[error("a recording begins with a Start")]
    NoStart,
    /// A Start where a step is due.
    #[error("a second Start")]
    SecondStart,
    /// A step without an event.
    #[error("a step without an event")]
    NoEvent,
    /// Its length has too many bytes.
    #[error("its length is no length")]
    Length,
    /// It is longer than any entry.
    #[error("{0} bytes are too long")]
    TooLong(u64),
    /// It holds nothing.
    #[error("it is empty")]
    Empty,
    /// It is no protobuf message of its type.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// A field's value is out of its range.
    #[error(transparent)]
    Value(#[from] DecodeError),
}

/// What a replay compared.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Events.
    pub events: usize,
    /// Actions, all the same as recorded.
    pub actions: usize,
    /// Whether the recording ends inside an entry, as a killed node leaves it.
    pub truncated: bool,
}

/// One event and the actions that it led to.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// When, on the node's clock.
    pub at: Micros,
    /// The event.
    pub event: Event,
    /// The actions.
    pub actions: Vec<Action>,
}

/// Reads a recording.
pub struct RecordingReader<R> {
    input: R,
    /// The router's settings.
    pub settings: Settings,
    /// The seed of its random choices.
    pub seed: u64,
    read: usize,
    truncated: bool,
}

impl<R: BufRead> RecordingReader<R> {
    /// Reads a recording's start.
    ///
    /// # Errors
    /// [`RecordingError`] when it is no recording of this version.
    pub fn begin(mut input: R) -> Result<RecordingReader<R>, RecordingError> {
        let malformed = |problem| RecordingError::Malformed { entry: 0, problem };
        let start = match read_entry(&mut input, 0)? {
            Some(pb::entry::Entry::Start(start)) => start,
            _ => return Err(malformed(EntryError::NoStart)),
        };
        if start.version != VERSION {
            return Err(RecordingError::Version(start.version));
        }
        let settings = codec::decode_settings(&start.settings.unwrap_or_default())
            .map_err(|e| malformed(e.into()))?;
        Ok(RecordingReader {
            input,
            settings,
            seed: start.seed,
            read: 0,
            truncated: false,
        })
    }
    /// The next step, or `None` at the end, which may lie inside an entry: see [`RecordingReader::is_truncated`].
    ///
    /// # Errors
    /// [`RecordingError`] when what follows is no step.
    pub fn step(&mut self) -> Result<Option<Step>, RecordingError> {
        self.read += 1;
        let entry = self.read;
        let malformed = |problem| RecordingError::Malformed { entry, problem };
        let step = match read_entry(&mut self.input, entry) {
            Ok(Some(pb::entry::Entry::Step(step))) => step,
            Ok(Some(_)) => return Err(malformed(EntryError::SecondStart)),
            Ok(None) => return Ok(None),
            Err(RecordingError::Io(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
                self.truncated = true;
                return Ok(None);
            }
            Err(e) => return Err(e),
        };
        decode_step(step).map(Some).map_err(malformed)
    }
    /// Whether the recording ended inside an entry, as a killed node leaves it.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }
}

fn decode_step(step: pb::Step) -> Result<Step, EntryError> {
    let event = step.event.ok_or(EntryError::NoEvent)?;
    let event = codec::decode_event(event)?;
    let actions: Result<Vec<Action>, _> =
        step.actions.into_iter().map(codec::decode_action).collect();
    Ok(Step {
        at: step.at,
        event,
        actions: actions?,
    })
}

/// Gives a recording's events to a fresh router and compares what it does.
///
/// # Errors
/// [`RecordingError`] when the recording cannot be read, or the first step that differs.
pub fn replay(input: impl BufRead) -> Result<ReplaySummary, RecordingError> {
    let mut reader = RecordingReader::begin(input)?;
    let mut router = Router::new(reader.settings.clone(), reader.seed);
    let mut done = ReplaySummary::default();
    while let Some(Step {
        at,
        event,
        actions: recorded,
    }) = reader.step()?
    {
        let mut replayed = Vec::new();
        router.handle(at, event, &mut replayed);
        if recorded != replayed {
            return Err(RecordingError::Differs {
                step: done.events,
                at,
                recorded,
                replayed,
            });
        }
        done.events += 1;
        done.actions += replayed.len();
    }
    done.truncated = reader.is_truncated();
    Ok(done)
}

/// Reads the next entry; `None` at the end of the input.
fn read_entry(
    input: &mut impl BufRead,
    entry: usize,
) -> Result<Option<pb::entry::Entry>, RecordingError> {
    let malformed = |problem| RecordingError::Malformed { entry, problem };
    if input.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let length = read_length(input)?.ok_or_else(|| malformed(EntryError::Length))?;
    if length > MAX_ENTRY {
        return Err(malformed(EntryError::TooLong(length)));
    }
    let mut body = vec![0; length as usize];
    input.read_exact(&mut body)?;
    let decoded = pb::Entry::decode(&body[..]).map_err(|e| malformed(e.into()))?;
    match decoded.entry {
        Some(entry) => Ok(Some(entry)),
        None => Err(malformed(EntryError::Empty)),
    }
}

/// Reads an entry's length, a variable-length number of five bytes at most; `None` when it is longer.
fn read_length(input: &mut impl BufRead) -> io::Result<Option<u64>> {
    let mut length = 0u64;
    for shift in (0..=28).step_by(7) {
        let mut byte = [0u8];
        input.read_exact(&mut byte)?;
        length |= u64::from(byte[0] & 0x7f) << shift;
        if byte[0] < 0x80 {
            return Ok(Some(length));
        }
    }
    Ok(None)
}
