//! Bounds the work of one turn of a task whose input may always be ready.
//!
//! A task that never waits keeps its thread: timers, signals and other tasks of the thread do not run meanwhile. Code that
//! loops over input from a peer therefore spends a budget, and gives the thread back when the budget is used up.

use futures_lite::future::poll_fn;
use std::io;
use std::task::{ready, Context, Poll};

/// The budget of one turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnBudget {
    limit: usize,
    left: usize,
}

impl TurnBudget {
    /// Creates a budget of `limit` units for each turn. The unit is the caller's.
    pub const fn new(limit: usize) -> TurnBudget {
        TurnBudget { limit, left: limit }
    }

    /// Takes `cost` units from the budget of this turn.
    pub fn spend(&mut self, cost: usize) {
        self.left = self.left.saturating_sub(cost);
    }

    /// Restores the budget. For a caller that waits, which ends its turn.
    pub fn restore(&mut self) {
        self.left = self.limit;
    }

    /// Is ready while there is budget left. Otherwise ends the turn: the budget is restored, and the task is woken at once, to
    /// run again after the tasks that are ready now.
    pub fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.left > 0 {
            return Poll::Ready(());
        }
        self.restore();
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Gives the thread back if the budget is used up.
    pub async fn wait_if_spent(&mut self) {
        poll_fn(|cx| self.poll_left(cx)).await;
    }
}

/// The number of bytes that may be read from one connection in one turn: 16 KiB. A read may exceed it by what it returns.
const READ_BYTES_PER_TURN: usize = 16 << 10;
/// What a read costs at least, in bytes, so that small pieces, too, use up the budget.
const MIN_READ_COST: usize = 512;

/// The budget for reads from one connection.
#[derive(Clone, Copy, Debug)]
pub struct ReadBudget(TurnBudget);

impl Default for ReadBudget {
    fn default() -> ReadBudget {
        ReadBudget(TurnBudget::new(READ_BYTES_PER_TURN))
    }
}

impl ReadBudget {
    /// Polls `read`, which returns the number of received bytes, unless the budget of this turn is used up.
    pub fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        read: impl FnOnce(&mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        ready!(self.0.poll_left(cx));
        let received = read(cx);
        match &received {
            Poll::Ready(Ok(length)) => self.0.spend((*length).max(MIN_READ_COST)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.0.restore(),
        }
        received
    }
}
