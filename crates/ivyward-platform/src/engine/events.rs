//! The events of an answer's stream.

use crate::config::MOST_BODY;

/// The events of a stream, as far as they have come.
pub(super) struct Events {
    pub(super) pending: Vec<u8>,
    pub(super) kept: u32,
    pub(super) report: Option<String>,
    /// The stream's own last word came.
    pub(super) done: bool,
}

impl Events {
    /// Takes out what is whole. Noise is found here: a line that is no event's.
    pub(super) fn whole(&mut self) -> Result<Vec<u8>, &'static str> {
        let end = self
            .pending
            .windows(2)
            .rposition(|w| w == b"\n\n")
            .map_or(0, |at| at + 2);
        if end == 0 && self.pending.len() > MOST_BODY {
            return Err("an event without end");
        }
        let rest = self.pending.split_off(end);
        let whole = std::mem::replace(&mut self.pending, rest);
        for line in whole
            .split(|b| *b == b'\n')
            .map(|l| l.strip_suffix(b"\r").unwrap_or(l))
        {
            if let Some(data) = line.strip_prefix(b"data:") {
                self.data(data.trim_ascii())?;
            } else if let Some(comment) = line.strip_prefix(b":") {
                let text = String::from_utf8_lossy(comment);
                if let Some((name, value)) = text.split_once(':') {
                    if name.trim().eq_ignore_ascii_case("x-server-load") {
                        self.report = Some(value.trim().to_owned());
                    }
                }
            } else if !line.is_empty() {
                return Err("noise in a stream");
            }
        }
        Ok(whole)
    }

    fn data(&mut self, data: &[u8]) -> Result<(), &'static str> {
        if data == b"[DONE]" {
            self.done = true;
        } else if !data.starts_with(b"{") || !data.ends_with(b"}") {
            return Err("noise in a stream");
        } else if data.windows(13).any(|w| w == b"cached_tokens") {
            let said: serde_json::Value = serde_json::from_slice(data).unwrap_or_default();
            let kept = said["usage"]["prompt_tokens_details"]["cached_tokens"]
                .as_u64()
                .unwrap_or(0);
            self.kept = kept.min(u64::from(u32::MAX)) as u32;
        }
        Ok(())
    }
}
