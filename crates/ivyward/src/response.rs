//! The bounded buffer between an attempt and the client, and how a request ends.

use ivyward_core::interface::Micros;
use ivyward_core::mutations::{self, Mutation};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Why a request was refused: nothing was done for it, and trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The module's decision: overload, or no engine is left that may take it.
    Overloaded,
    /// The node has as many requests in hand as it takes.
    NodeFull,
    /// The node is stopping.
    Stopping,
}

/// Why a request failed. Whether any engine ran it is not promised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The time was over.
    Deadline,
    /// No attempt led to an answer, and another could do harm.
    AttemptsExhausted(String),
    /// The stream broke after it had begun.
    StreamBroken(String),
    /// The node stopped before the answer's end.
    NodeStopped,
    /// The request itself was wrong; it was never taken.
    InvalidRequest(String),
}

/// The one final answer of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// The answer was streamed to its end.
    Served,
    /// Not done; trying again is harmless.
    Rejected {
        /// When to come back; `None` for no advice.
        retry_after: Option<Micros>,
        /// Why.
        reason: RejectReason,
    },
    /// Failed; nothing is promised.
    Failed(FailureReason),
}

/// A run of answer tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRun {
    /// Index of the first one in the answer.
    pub first_index: u32,
    /// The tokens.
    pub ids: Vec<u32>,
}

/// What a client gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Tokens.
    Tokens(TokenRun),
    /// The end; nothing follows.
    End(FinalStatus),
}

struct Inner<T> {
    /// Items that were handed out.
    given: u32,
    items: Vec<T>,
    end: Option<FinalStatus>,
    delivered: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Tokens, or whatever a protocol's answers are made of, on their way from an attempt to the client. It holds at most its
/// bound and one piece: a piece is taken while fewer items wait than the bound.
pub struct TokenBuffer<T = u32> {
    inner: Mutex<Inner<T>>,
    bound: usize,
}

/// The request has its final answer; what comes later is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnd;

impl<T: Copy> TokenBuffer<T> {
    /// An empty one.
    pub fn new(bound: usize) -> TokenBuffer<T> {
        let inner = Inner {
            given: 0,
            items: Vec::new(),
            end: None,
            delivered: false,
            reader: None,
            writer: None,
        };
        TokenBuffer {
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
    pub fn push(&self, items: &[T]) -> Result<usize, StreamEnd> {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return Err(StreamEnd);
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
    pub fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<Result<(), StreamEnd>> {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return Poll::Ready(Err(StreamEnd));
        }
        if inner.items.len() < self.bound || mutations::is_active(Mutation::NoBound) {
            return Poll::Ready(Ok(()));
        }
        inner.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Sets the final answer; the first one counts. A failure does not wait behind items that nobody took.
    pub fn finish(&self, end: FinalStatus) -> bool {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return false;
        }
        if end != FinalStatus::Served {
            inner.items = Vec::new();
        }
        inner.end = Some(end);
        let wakers = [inner.reader.take(), inner.writer.take()];
        drop(inner);
        wakers.into_iter().flatten().for_each(Waker::wake);
        true
    }
    /// Ready when the request has its final answer. For the time before the answer begins: it takes the place of
    /// [`TokenBuffer::poll_capacity`].
    pub(crate) fn poll_finished(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut inner = self.lock();
        if inner.end.is_some() {
            return Poll::Ready(());
        }
        inner.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// All items that wait, with the place of the first one in the answer, or the end.
    pub fn poll_items(&self, cx: &mut Context<'_>) -> Poll<Result<(u32, Vec<T>), FinalStatus>> {
        let mut inner = self.lock();
        if !inner.items.is_empty() {
            let items = std::mem::take(&mut inner.items);
            if mutations::is_active(Mutation::AnsweredTwice)
                && inner.end.is_some()
                && items.len() > 1
            {
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
            inner.delivered = true;
            return Poll::Ready(Err(end));
        }
        inner.reader = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Whether the client got its final answer.
    pub fn is_delivered(&self) -> bool {
        self.lock().delivered
    }
}

impl TokenBuffer<u32> {
    /// All tokens that wait, or the end.
    pub(crate) fn poll_part(&self, cx: &mut Context<'_>) -> Poll<ResponsePart> {
        self.poll_items(cx).map(|part| match part {
            Ok((first_index, ids)) => ResponsePart::Tokens(TokenRun { first_index, ids }),
            Err(end) => ResponsePart::End(end),
        })
    }
}

#[cfg(test)]
mod tests;
