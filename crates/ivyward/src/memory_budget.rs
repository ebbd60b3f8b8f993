//! The limits on the memory that connections hold: the bytes of requests, and the bytes of responses.
//!
//! Memory is counted by the capacity of the buffers. When a budget is used up, the holder that began first is shed: the upload
//! that has been received for the longest time, or the response whose client has not read for the longest time. A client that
//! sends and reads at a normal speed is a holder for a short time only.

use event_listener::Event;
use futures_lite::future::{or, poll_once};
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The budget is scarce when less than one part in this number is left.
const SCARCE_DIVISOR: usize = 4;

/// Counts the bytes that are held, up to a limit.
#[derive(Debug)]
pub struct MemoryBudget {
    used: AtomicUsize,
    max: usize,
    /// The size up to which a share may grow even if the budget is used up.
    guaranteed: usize,
    holders: Mutex<Holders>,
    /// The number of holders that were shed.
    shed: AtomicU64,
    /// Notified when a share shrinks, and when a holder that was shed has ended.
    released: Event,
}

/// The holders that may be shed.
#[derive(Debug, Default)]
struct Holders {
    next_id: u64,
    /// Ordered by their begin. A sender is dropped to shed its holder.
    sheddable: BTreeMap<u64, async_channel::Sender<()>>,
    /// The number of holders that were shed and have not ended yet.
    ending: usize,
}

/// The budget is used up, and no holder can be shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the limit on memory is reached")]
pub struct BudgetExhausted;

impl MemoryBudget {
    /// Creates a budget of `max` bytes. A share of up to `guaranteed` bytes is granted even if the budget is used up.
    pub fn new(max: usize, guaranteed: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            used: AtomicUsize::new(0),
            max,
            guaranteed,
            holders: Mutex::default(),
            shed: AtomicU64::new(0),
            released: Event::new(),
        })
    }

    /// Creates a budget for memory that is limited in another way.
    pub fn unlimited() -> Arc<MemoryBudget> {
        MemoryBudget::new(usize::MAX, usize::MAX)
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the number of holders that were shed so far.
    pub fn shed(&self) -> u64 {
        self.shed.load(Ordering::Relaxed)
    }

    /// Returns whether more than the limit is in use.
    pub fn is_exceeded(&self) -> bool {
        self.used() > self.max
    }

    /// Returns whether little of the budget is left. Bytes that can be dropped without harm are not kept then.
    pub fn is_scarce(&self) -> bool {
        self.used() > self.max - self.max / SCARCE_DIVISOR
    }

    fn holders(&self) -> MutexGuard<'_, Holders> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a share of `held` bytes, which are counted already, is granted.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if the limit is exceeded and no holder can be shed.
    pub async fn grant(&self, held: usize) -> Result<(), BudgetExhausted> {
        match held <= self.guaranteed {
            true => Ok(()),
            false => self.make_room(0).await,
        }
    }

    /// Waits until `bytes` more are within the limit. Sheds holders, the one that began first at first.
    async fn make_room(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        // A listener is an allocation, and most calls need none.
        while !self.has_room(bytes) {
            let released = self.released.listen();
            if self.has_room(bytes) {
                break;
            }
            self.shed_oldest()?;
            released.await;
        }
        Ok(())
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.used().saturating_add(bytes) <= self.max
    }

    /// Sheds the holder that began first, unless one that was shed has not ended yet.
    fn shed_oldest(&self) -> Result<(), BudgetExhausted> {
        let mut holders = self.holders();
        if holders.ending > 0 {
            return Ok(());
        }
        holders.sheddable.pop_first().ok_or(BudgetExhausted)?;
        holders.ending += 1;
        self.shed.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Runs `task` as a holder of memory of this budget. Returns `None` if it is shed, after the task was dropped.
    pub async fn hold<T>(&self, task: impl Future<Output = T>) -> Option<T> {
        let mut task = Box::pin(task);
        // Most tasks need not wait.
        if let Some(result) = poll_once(task.as_mut()).await {
            return Some(result);
        }
        let (holder, shed) = self.register_holder();
        let until_shed = async {
            // Returns an error when the sender is dropped.
            let _ = shed.recv().await;
            None
        };
        let result = or(until_shed, async { Some(task.as_mut().await) }).await;
        drop(task);
        drop(holder);
        result
    }

    fn register_holder(&self) -> (Holder<'_>, async_channel::Receiver<()>) {
        let (sender, shed) = async_channel::bounded(1);
        let mut holders = self.holders();
        let id = holders.next_id;
        holders.next_id += 1;
        holders.sheddable.insert(id, sender);
        (Holder { budget: self, id }, shed)
    }
}

/// Removes a holder from its budget when it ends.
struct Holder<'a> {
    budget: &'a MemoryBudget,
    id: u64,
}

impl Drop for Holder<'_> {
    fn drop(&mut self) {
        let mut holders = self.budget.holders();
        if holders.sheddable.remove(&self.id).is_none() {
            holders.ending -= 1;
            self.budget.released.notify(usize::MAX);
        }
    }
}

/// A share of a budget, which is returned to it on drop.
#[derive(Debug)]
pub struct BudgetShare {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl BudgetShare {
    /// Creates a share of 0 bytes.
    pub fn new(budget: &Arc<MemoryBudget>) -> BudgetShare {
        BudgetShare {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Returns the budget of the share.
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    /// Sets the size of the share. The bytes count even if the budget is used up.
    pub fn resize(&mut self, bytes: usize) {
        let used = &self.budget.used;
        match bytes.checked_sub(self.bytes) {
            Some(added) => {
                used.fetch_add(added, Ordering::Relaxed);
            }
            None => {
                used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
                self.budget.released.notify(usize::MAX);
            }
        }
        self.bytes = bytes;
    }

    /// Returns the size of the share.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Waits until the share is granted.
    ///
    /// # Errors
    /// As for [`MemoryBudget::grant`].
    pub async fn granted(&self) -> Result<(), BudgetExhausted> {
        self.budget.grant(self.bytes).await
    }

    /// Adds `bytes` to the share, once they are within the limit of the budget.
    ///
    /// # Errors
    /// As for [`MemoryBudget::grant`]; the share stays as it was.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        if self.bytes + bytes > self.budget.guaranteed {
            self.budget.make_room(bytes).await?;
        }
        self.resize(self.bytes + bytes);
        Ok(())
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
