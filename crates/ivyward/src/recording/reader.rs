//! Reading and replaying recordings.

use super::codec::{self, DecodeError};
use super::{RecordingError, VERSION};
use ivyward_core::interface::{Action, Event, Micros, Settings};
use ivyward_core::router::Router;
use ivyward_proto::record as pb;
use prost::Message;
use std::io::{self, BufRead};

/// Maximum length of an entry in bytes. Enough for a list of about 100,000 engines.
const MAX_ENTRY_BYTES: u64 = 8 << 20;

/// Why an entry of a recording is malformed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EntryError {
    /// The first entry is not a `Start`.
    #[error("the first entry of a recording must be a Start")]
    MissingStart,
    /// A later entry is a `Start` instead of a `Step`.
    #[error("a Start after the first entry, where only steps are allowed")]
    DuplicateStart,
    /// A step has no event.
    #[error("a step without an event")]
    MissingEvent,
    /// The length prefix is longer than five bytes.
    #[error("the length prefix is longer than five bytes")]
    InvalidLength,
    /// The length prefix states more bytes than an entry may have.
    #[error("an entry of {0} bytes; at most {MAX_ENTRY_BYTES} are allowed")]
    TooLong(u64),
    /// The entry is neither a `Start` nor a `Step`.
    #[error("the entry is empty or of an unknown type")]
    Empty,
    /// The entry is not a valid protobuf message.
    #[error(transparent)]
    Protobuf(#[from] prost::DecodeError),
    /// A field has a value that cannot be decoded.
    #[error(transparent)]
    Value(#[from] DecodeError),
}

/// The result of a replay without a mismatch.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Number of replayed events.
    pub events: usize,
    /// Number of replayed actions, all equal to the recorded ones.
    pub actions: usize,
    /// Whether the recording ends in the middle of an entry, as after a kill of the node that wrote it.
    pub truncated: bool,
}

/// An event and the actions that the router returned for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time of the event on the node's clock, in microseconds.
    pub at: Micros,
    /// The event given to the router.
    pub event: Event,
    /// The actions of the router, in order.
    pub actions: Vec<Action>,
}

/// Reads a recording step by step.
pub struct RecordingReader<R> {
    input: R,
    /// Settings of the recorded router.
    pub settings: Settings,
    /// Seed of the recorded router's random choices.
    pub seed: u64,
    /// Number of entries read, without the first one.
    steps_read: usize,
    truncated: bool,
}

impl<R: BufRead> RecordingReader<R> {
    /// Reads the first entry, which has the settings and the seed.
    ///
    /// # Errors
    /// Returns [`RecordingError`] if the input is not a recording of this version.
    pub fn begin(mut input: R) -> Result<RecordingReader<R>, RecordingError> {
        let malformed = |problem| RecordingError::Malformed { entry: 0, problem };
        let start = match read_entry(&mut input, 0)? {
            Some(pb::entry::Entry::Start(start)) => start,
            _ => return Err(malformed(EntryError::MissingStart)),
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
            steps_read: 0,
            truncated: false,
        })
    }
    /// Returns the next step, or `None` at the end of the input. The input may end in the middle of an entry: see
    /// [`RecordingReader::is_truncated`].
    ///
    /// # Errors
    /// Returns [`RecordingError`] if the next entry is not a valid step.
    pub fn step(&mut self) -> Result<Option<Step>, RecordingError> {
        self.steps_read += 1;
        let entry = self.steps_read;
        let malformed = |problem| RecordingError::Malformed { entry, problem };
        let step = match read_entry(&mut self.input, entry) {
            Ok(Some(pb::entry::Entry::Step(step))) => step,
            Ok(Some(_)) => return Err(malformed(EntryError::DuplicateStart)),
            Ok(None) => return Ok(None),
            Err(RecordingError::Io(e)) if e.kind() == io::ErrorKind::UnexpectedEof => {
                self.truncated = true;
                return Ok(None);
            }
            Err(e) => return Err(e),
        };
        decode_step(step).map(Some).map_err(malformed)
    }
    /// Returns whether the recording ended in the middle of an entry, as after a kill of the node that wrote it. Known once
    /// [`RecordingReader::step`] has returned `None`.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }
}

fn decode_step(step: pb::Step) -> Result<Step, EntryError> {
    let event = step.event.ok_or(EntryError::MissingEvent)?;
    let event = codec::decode_event(event)?;
    let actions: Result<Vec<Action>, _> =
        step.actions.into_iter().map(codec::decode_action).collect();
    Ok(Step {
        at: step.at,
        event,
        actions: actions?,
    })
}

/// Passes the events of a recording to a new router and compares its actions with the recorded ones.
///
/// # Errors
/// Returns [`RecordingError`] if the recording cannot be read, or [`RecordingError::Mismatch`] for the first step whose
/// actions differ.
pub fn replay(input: impl BufRead) -> Result<ReplaySummary, RecordingError> {
    let mut reader = RecordingReader::begin(input)?;
    let mut router = Router::new(reader.settings.clone(), reader.seed);
    let mut summary = ReplaySummary::default();
    while let Some(Step {
        at,
        event,
        actions: recorded,
    }) = reader.step()?
    {
        let mut replayed = Vec::new();
        router.handle(at, event, &mut replayed);
        if recorded != replayed {
            return Err(RecordingError::Mismatch {
                step: summary.events,
                at,
                recorded,
                replayed,
            });
        }
        summary.events += 1;
        summary.actions += replayed.len();
    }
    summary.truncated = reader.is_truncated();
    Ok(summary)
}

/// Reads the next entry. Returns `None` at the end of the input.
fn read_entry(
    input: &mut impl BufRead,
    entry: usize,
) -> Result<Option<pb::entry::Entry>, RecordingError> {
    let malformed = |problem| RecordingError::Malformed { entry, problem };
    if input.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let length = read_length(input)?.ok_or_else(|| malformed(EntryError::InvalidLength))?;
    if length > MAX_ENTRY_BYTES {
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

/// Reads the length prefix of an entry, a protobuf varint. Returns `None` if it is longer than five bytes.
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
