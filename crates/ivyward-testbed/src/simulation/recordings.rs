//! Reads endpoint lists back from recordings.

use ivyward::core::interface::{Endpoint, Event, ListKind};
use ivyward::recording::RecordingReader;

/// Returns the endpoint lists that a node's router core received, in order. Stops at the first malformed step, which the
/// replay of the recording reports.
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
