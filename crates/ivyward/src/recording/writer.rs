//! Writes recordings.

use super::{codec, VERSION};
use ivyward_core::interface::{Action, Event, Micros, Settings};
use ivyward_proto::record as pb;
use prost::Message;
use std::io::{self, Write};

/// Writes a recording.
pub struct Recorder {
    out: Box<dyn Write + Send>,
    scratch: Vec<u8>,
}

impl Recorder {
    /// Begins a recording with the router's settings and seed.
    ///
    /// # Errors
    /// When the first entry cannot be written.
    pub fn begin(
        out: Box<dyn Write + Send>,
        settings: &Settings,
        seed: u64,
    ) -> io::Result<Recorder> {
        let mut recorder = Recorder {
            out,
            scratch: Vec::new(),
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
    /// Adds an event and the actions that it led to.
    ///
    /// # Errors
    /// When it cannot be written.
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
    /// Hands what was written so far to the operating system.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
    fn write(&mut self, entry: &pb::Entry) -> io::Result<()> {
        self.scratch.clear();
        entry
            .encode_length_delimited(&mut self.scratch)
            .map_err(io::Error::other)?;
        self.out.write_all(&self.scratch)
    }
}
