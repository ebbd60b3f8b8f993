//! The limit on the memory of all prompts of a node.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Counts the bytes of all prompts in memory, up to a limit.
#[derive(Debug)]
pub(crate) struct PromptBudget {
    used: AtomicUsize,
    max: usize,
}

impl PromptBudget {
    pub(crate) fn new(max: usize) -> Arc<PromptBudget> {
        Arc::new(PromptBudget {
            used: AtomicUsize::new(0),
            max,
        })
    }

    /// Returns the number of bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// A share of the budget, which is returned to it on drop.
#[derive(Debug)]
pub(crate) struct BudgetShare {
    budget: Arc<PromptBudget>,
    bytes: usize,
}

impl BudgetShare {
    /// Creates a share of 0 bytes.
    pub(crate) fn new(budget: &Arc<PromptBudget>) -> BudgetShare {
        BudgetShare {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Adds `bytes` to the share. Returns whether the total is still within the limit; the bytes count even if it is not.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        used <= self.budget.max
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The body of a client's request, with its share of the budget.
pub(crate) struct Prompt {
    pub(crate) bytes: Vec<u8>,
    pub(crate) _share: BudgetShare,
}

#[cfg(test)]
mod tests;
