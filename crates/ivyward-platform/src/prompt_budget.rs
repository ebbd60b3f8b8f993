//! The memory that prompts may take in all.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes of prompts that the node holds in all.
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

    /// Bytes that are held now.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// A part of the budget; returned on drop.
#[derive(Debug)]
pub(crate) struct BudgetShare {
    budget: Arc<PromptBudget>,
    bytes: usize,
}

impl BudgetShare {
    /// An empty share.
    pub(crate) fn new(budget: &Arc<PromptBudget>) -> BudgetShare {
        BudgetShare {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Takes more of the budget; whether it allows that.
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

/// A prompt with its share of the budget.
pub(crate) struct Prompt {
    pub(crate) bytes: Vec<u8>,
    pub(crate) _share: BudgetShare,
}

#[cfg(test)]
mod tests;
