//! The body of a request.

use ivyward::memory_budget::BudgetShare;
use ivyward_http1::Framing;
use serde::de::IgnoredAny;

/// The size of a block, in bytes.
const BLOCK_SIZE: usize = 4 << 10;

/// A buffer that grows by blocks of one size. Hundreds of buffers that each grew by reallocation would leave gaps of all sizes
/// behind, and the process would need twice the memory.
pub(crate) struct BodyBuffer {
    /// All blocks but the last one are full.
    blocks: Vec<Vec<u8>>,
    /// The number of bytes in the buffer.
    pub(crate) length: usize,
    /// The capacity of all blocks, in bytes.
    pub(crate) capacity: usize,
    /// The length of the body, if it is known.
    max_capacity: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body with this framing.
    pub(crate) fn new(framing: Framing) -> BodyBuffer {
        BodyBuffer {
            blocks: Vec::new(),
            length: 0,
            capacity: 0,
            max_capacity: match framing {
                Framing::Length(length) => length as usize,
                Framing::Chunked | Framing::UntilClose => usize::MAX,
            },
        }
    }

    /// Returns by how much the capacity has to grow for `count` more bytes.
    pub(crate) fn missing(&self, count: usize) -> usize {
        let needed = (self.length + count).min(self.max_capacity);
        let capacity = needed.next_multiple_of(BLOCK_SIZE).min(self.max_capacity);
        capacity.saturating_sub(self.capacity)
    }

    /// Appends received bytes.
    pub(crate) fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let block = self.block_with_space();
            let space = block.capacity() - block.len();
            let (now, rest) = data.split_at(space.min(data.len()));
            block.extend_from_slice(now);
            self.length += now.len();
            data = rest;
        }
    }

    /// Returns the last block, or a new one if that is full.
    fn block_with_space(&mut self) -> &mut Vec<u8> {
        let is_full = |block: &Vec<u8>| block.len() == block.capacity();
        if self.blocks.last().is_none_or(is_full) {
            let left = self.max_capacity - self.capacity;
            let block = Vec::with_capacity(BLOCK_SIZE.min(left.max(1)));
            self.capacity += block.capacity();
            self.blocks.push(block);
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Returns the body in parts, none of which is empty.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(Vec::as_slice)
    }

    /// Returns whether the body is valid JSON.
    pub(crate) fn is_json(&self) -> bool {
        let is_json = |text: &[u8]| serde_json::from_slice::<IgnoredAny>(text).is_ok();
        match self.blocks.as_slice() {
            [text] => is_json(text),
            blocks => is_json(&blocks.concat()),
        }
    }
}

/// The body of a client's request, with its share of the budget.
pub(crate) struct Prompt {
    pub(crate) body: BodyBuffer,
    pub(crate) memory: BudgetShare,
}

#[cfg(test)]
mod tests;
