//! Reads endpoint lists back from recordings.

use ivyward::core::interface::{Endpoint, Event, ListKind};
use ivyward::recording::RecordingReader;

/// The lists that a node's module was told, in their order. What is malformed is told by the replay.
pub(super) fn lists(record: &[u8]) -> Vec<(ListKind, Vec<Endpoint>)> {
    let mut out = Vec::new();
    let Ok(mut reader) = RecordingReader::begin(record) else {
        return out;
    };
    while let Ok(Some(step)) = reader.step() {
        if let Event::EndpointList {
            kind,
            endpoints: entries,
        } = step.event
        {
            out.push((kind, entries));
        }
    }
    out
}
