//! Decides when a head that arrives in pieces is parsed again.
//!
//! A parse looks at all bytes of the head so far. A parse for each piece would make the work grow with the square of the head's
//! length.

use crate::Limits;

/// The number of parses before further ones are left out. Errors in the first pieces of a head are found without a delay.
const EARLY_PARSES: usize = 64;

/// The progress of one head.
#[derive(Clone, Debug, Default)]
pub struct HeadProgress {
    /// The number of bytes at the last parse.
    parsed: usize,
    parses: usize,
    /// The number of bytes in which the end of the head was searched.
    searched: usize,
    /// The length of the empty lines before the head.
    empty_lines: usize,
}

impl HeadProgress {
    /// Returns whether the head that begins with `bytes` is to be parsed now: it may be complete, has reached the maximum length,
    /// or has doubled since the last parse. `bytes` must begin with those of the last call.
    pub fn needs_parse(&mut self, bytes: &[u8], limits: &Limits) -> bool {
        let needs_parse = self.may_be_complete(bytes)
            || self.parses < EARLY_PARSES
            || bytes.len() >= limits.max_head_bytes
            || bytes.len() >= 2 * self.parsed;
        if needs_parse {
            self.parsed = bytes.len();
            self.parses += 1;
        }
        needs_parse
    }

    /// Searches the added bytes for the empty line that ends the head.
    fn may_be_complete(&mut self, bytes: &[u8]) -> bool {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let rest = &bytes[self.empty_lines..];
        self.empty_lines += rest.iter().take_while(|byte| is_line_end(byte)).count();
        // The end may begin with the last two bytes that were searched.
        let from = self.searched.saturating_sub(2).max(self.empty_lines);
        self.searched = bytes.len();
        let added = &bytes[from..];
        added.windows(2).any(|window| window == b"\n\n")
            || added.windows(3).any(|window| window == b"\n\r\n")
    }
}

#[cfg(test)]
mod tests;
