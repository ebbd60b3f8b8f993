//! Parses the server-sent events of a streamed response.

use crate::config::MAX_BODY_BYTES;

/// The begin of a line with an event's data.
const DATA_FIELD: &[u8] = b"data:";

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum EventError {
    /// An event is longer than `MAX_BODY_BYTES` (256 KiB).
    #[error("an event of the stream exceeds {MAX_BODY_BYTES} bytes")]
    Unterminated,
    /// A line is neither an event's data nor a comment, or the data is no JSON object.
    #[error("malformed event in the stream")]
    Malformed,
}

/// Splits the bytes of a stream into events, and extracts the cached tokens, the load report and the end of the stream.
#[derive(Default)]
pub(super) struct EventParser {
    /// Received bytes that do not form a complete event yet.
    pub(super) pending: Vec<u8>,
    /// The number of bytes at the beginning of `pending` that contain no end of an event.
    searched: usize,
    /// The number of prompt tokens that the engine found in its KV cache.
    pub(super) cached_tokens: u32,
    /// The last load report in a comment of the stream (`: X-Server-Load: ...`).
    pub(super) load_report: Option<String>,
    /// Whether the terminating event `[DONE]` was received.
    pub(super) is_done: bool,
}

impl EventParser {
    /// Removes the complete events from the pending bytes and returns them.
    pub(super) fn take_complete_events(&mut self) -> Result<Vec<u8>, EventError> {
        let Some(end) = self.find_last_end() else {
            return self.check_incomplete().map(|()| Vec::new());
        };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        self.searched = self.pending.len();
        for line in complete.split(|byte| *byte == b'\n') {
            self.inspect_line(line.strip_suffix(b"\r").unwrap_or(line))?;
        }
        Ok(complete)
    }

    /// Returns the position behind the last complete event, if any. Searches only the bytes that were added since the last call:
    /// an event may come in many pieces, and the work would grow with the square of its length otherwise.
    fn find_last_end(&mut self) -> Option<usize> {
        // The end may begin with the last byte that was searched.
        let from = self.searched.saturating_sub(1);
        self.searched = self.pending.len();
        let added = &self.pending[from..];
        let start = added.windows(2).rposition(|window| window == b"\n\n")?;
        Some(from + start + 2)
    }

    /// Checks the beginning of an event that is not complete yet. One that cannot become valid is rejected without a wait for its end.
    fn check_incomplete(&self) -> Result<(), EventError> {
        if self.pending.len() > MAX_BODY_BYTES {
            return Err(EventError::Unterminated);
        }
        let begin = &self.pending[..self.pending.len().min(DATA_FIELD.len())];
        let may_be_valid = DATA_FIELD.starts_with(begin)
            || matches!(self.pending.first(), Some(b':' | b'\r' | b'\n'));
        match may_be_valid {
            true => Ok(()),
            false => Err(EventError::Malformed),
        }
    }

    fn inspect_line(&mut self, line: &[u8]) -> Result<(), EventError> {
        if let Some(data) = line.strip_prefix(DATA_FIELD) {
            return self.inspect_data(data.trim_ascii());
        }
        if let Some(comment) = line.strip_prefix(b":") {
            self.inspect_comment(&String::from_utf8_lossy(comment));
            return Ok(());
        }
        match line.is_empty() {
            true => Ok(()),
            false => Err(EventError::Malformed),
        }
    }

    fn inspect_comment(&mut self, comment: &str) {
        if let Some((name, value)) = comment.split_once(':') {
            if name.trim().eq_ignore_ascii_case("x-server-load") {
                self.load_report = Some(value.trim().to_owned());
            }
        }
    }

    fn inspect_data(&mut self, data: &[u8]) -> Result<(), EventError> {
        if data == b"[DONE]" {
            self.is_done = true;
        } else if !data.starts_with(b"{") || !data.ends_with(b"}") {
            return Err(EventError::Malformed);
        } else if data.windows(13).any(|window| window == b"cached_tokens") {
            let event: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
            let usage = &event["usage"]["prompt_tokens_details"];
            self.cached_tokens = cached_tokens(usage);
        }
        Ok(())
    }
}

/// Returns `cached_tokens` of a JSON object from an engine; 0 if the field is absent.
pub(super) fn cached_tokens(object: &serde_json::Value) -> u32 {
    let tokens = object["cached_tokens"].as_u64().unwrap_or(0);
    tokens.min(u64::from(u32::MAX)) as u32
}
