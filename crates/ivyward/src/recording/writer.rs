//! Writing recordings.

use super::{codec, VERSION};
use ivyward_core::interface::{Action, Event, Micros, Settings};
use ivyward_proto::record as pb;
use prost::Message;
use std::io::{self, Write};

/// Writes a recording step by step.
pub struct Recorder {
    out: Box<dyn Write + Send>,
    /// Buffer in which each entry is encoded.
    entry_buffer: Vec<u8>,
}

impl Recorder {
    /// Starts a recording: writes and flushes the first entry, which has the router's settings and seed.
    ///
    /// # Errors
    /// Returns the error of `out` if the entry cannot be written.
    pub fn begin(
        out: Box<dyn Write + Send>,
        settings: &Settings,
        seed: u64,
    ) -> io::Result<Recorder> {
        let mut recorder = Recorder {
            out,
            entry_buffer: Vec::new(),
        };
        let start = pb::Start {
            version: VERSION,
            seed,
            settings: Some(codec::encode_settings(settings)),
        };
        recorder.write(&pb::Entry {
            entry: Some(pb::entry::Entry::Start(start)),
        })?;
        recorder.out.flush()?;
        Ok(recorder)
    }
    /// Appends an event and the actions that the router returned for it. `at` is the time of the event on the node's clock,
    /// in microseconds.
    ///
    /// # Errors
    /// Returns the error of the output if the entry cannot be written.
    pub fn step(&mut self, at: Micros, event: &Event, actions: &[Action]) -> io::Result<()> {
        let actions = actions.iter().map(codec::encode_action).collect();
        let step = pb::Step {
            at,
            event: Some(codec::encode_event(event)),
            actions,
        };
        self.write(&pb::Entry {
            entry: Some(pb::entry::Entry::Step(step)),
        })
    }
    /// Flushes the entries written so far to the operating system.
    ///
    /// # Errors
    /// Returns the error of the output if it cannot be flushed.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
    fn write(&mut self, entry: &pb::Entry) -> io::Result<()> {
        self.entry_buffer.clear();
        entry
            .encode_length_delimited(&mut self.entry_buffer)
            .map_err(io::Error::other)?;
        self.out.write_all(&self.entry_buffer)
    }
}
