//! The bounded buffer between an attempt and the client, and how a request ends.

use ivyward_core::interface::Micros;
use ivyward_core::planted::{self, Defect};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Why a request was refused: nothing was done for it, and trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The module's decision: overload, or no engine is left that may take it.
    Shed,
    /// The node has as many requests in hand as it takes.
    NodeFull,
    /// The node is stopping.
    Stopping,
}

/// Why a request failed. Whether any engine ran it is not promised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The time was over.
    Deadline,
    /// No attempt led to an answer, and another could do harm.
    Attempts(String),
    /// The stream broke after it had begun.
    Broken(String),
    /// The node stopped before the answer's end.
    Stopped,
    /// The request itself was wrong; it was never taken.
    Invalid(String),
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// The answer was streamed to its end.
    Served,
    /// Not done; trying again is harmless.
    Refused {
        /// When to come back; `None` for no advice.
        retry_after: Option<Micros>,
        /// Why.
        why: Refusal,
    },
    /// Failed; nothing is promised.
    Failed(Failure),
}

/// A run of answer tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Index of the first one in the answer.
    pub first_index: u32,
    /// The tokens.
    pub ids: Vec<u32>,
}

/// What a client gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Tokens.
    Tokens(Run),
    /// The end; nothing follows.
    End(Final),
}

struct Inner<T> {
    /// Items that were handed out.
    given: u32,
    items: Vec<T>,
    end: Option<Final>,
    told: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Tokens, or whatever a protocol's answers are made of, on their way from an attempt to the client. It holds at most its
/// bound and one piece: a piece is taken while fewer items wait than the bound.
pub struct Buffer<T = u32> {
    inner: Mutex<Inner<T>>,
    bound: usize,
}

/// The request has its final answer; what comes later is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Over;

impl<T: Copy> Buffer<T> {
    /// An empty one.
    pub fn new(bound: usize) -> Buffer<T> {
        let inner = Inner {
            given: 0,
            items: Vec::new(),
            end: None,
            told: false,
            reader: None,
            writer: None,
        };
        Buffer {
            inner: Mutex::new(inner),
            bound,
        }
    }
    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub(crate) fn bound(&self) -> usize {
        self.bound
    }
    /// Takes a piece; how many items wait now.
    ///
    /// # Errors
    /// When the request has its final answer.
    pub fn push(&self, items: &[T]) -> Result<usize, Over> {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return Err(Over);
        }
        inner.items.extend_from_slice(items);
        let (reader, waiting) = (inner.reader.take(), inner.items.len());
        drop(inner);
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(waiting)
    }
    /// Ready when fewer items wait than the bound.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<Result<(), Over>> {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return Poll::Ready(Err(Over));
        }
        if inner.items.len() < self.bound || planted::is(Defect::NoBound) {
            return Poll::Ready(Ok(()));
        }
        inner.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Sets the final answer; the first one counts. A failure does not wait behind items that nobody took.
    pub fn finish(&self, end: Final) -> bool {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return false;
        }
        if end != Final::Served {
            inner.items = Vec::new();
        }
        inner.end = Some(end);
        let wakers = [inner.reader.take(), inner.writer.take()];
        drop(inner);
        wakers.into_iter().flatten().for_each(Waker::wake);
        true
    }
    /// Ready when the request has its final answer. For the time before the answer begins: it takes the place of
    /// [`Buffer::poll_room`].
    pub(crate) fn poll_over(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return Poll::Ready(());
        }
        inner.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// All items that wait, with the place of the first one in the answer, or the end.
    pub fn poll_items(&self, cx: &mut Context<'_>) -> Poll<Result<(u32, Vec<T>), Final>> {
        let mut inner = self.lock();
        if !inner.items.is_empty() {
            let items = std::mem::take(&mut inner.items);
            if planted::is(Defect::AnsweredTwice) && inner.end.is_some() && items.len() > 1 {
                inner.items = items.clone();
            }
            let first = inner.given;
            inner.given = first.wrapping_add(items.len() as u32);
            let writer = inner.writer.take();
            drop(inner);
            if let Some(writer) = writer {
                writer.wake();
            }
            return Poll::Ready(Ok((first, items)));
        }
        if let Some(end) = inner.end.clone() {
            inner.told = true;
            return Poll::Ready(Err(end));
        }
        inner.reader = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Whether the client got its final answer.
    pub fn told(&self) -> bool {
        self.lock().told
    }
}

impl Buffer<u32> {
    /// All tokens that wait, or the end.
    pub(crate) fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Part> {
        self.poll_items(cx).map(|part| match part {
            Ok((first_index, ids)) => Part::Tokens(Run { first_index, ids }),
            Err(end) => Part::End(end),
        })
    }
}

#[cfg(test)]
mod tests;
