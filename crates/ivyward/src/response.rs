//! The bounded buffer between an attempt and the client, and how a request ends.

use ivyward_core::interface::Micros;
use ivyward_core::mutations::{self, Mutation};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Why a request was rejected: nothing was done for it, and trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The router's decision: overload, or no engine is left that may take it.
    Overloaded,
    /// The node has as many open requests as it accepts.
    NodeFull,
    /// The node is stopping.
    Stopping,
}

/// Why a request failed. An engine may or may not have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Its deadline has passed.
    Deadline,
    /// No attempt led to an answer, and another one could do harm. Holds the last attempt's error.
    AttemptsExhausted(String),
    /// The stream broke after it had begun.
    StreamBroken(String),
    /// The node stopped before the answer's end.
    NodeStopped,
    /// The request is invalid; it was never accepted.
    InvalidRequest(String),
}

/// The final answer of a request; each gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// The answer was streamed to its end.
    Served,
    /// Nothing was done; trying again is harmless.
    Rejected {
        /// When to try again; `None` for no advice.
        retry_after: Option<Micros>,
        /// Why.
        reason: RejectReason,
    },
    /// Failed; an engine may or may not have run it.
    Failed(FailureReason),
}

/// Consecutive tokens of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRun {
    /// Index of the first one in the answer.
    pub first_index: u32,
    /// The tokens.
    pub ids: Vec<u32>,
}

/// The next part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Tokens.
    Tokens(TokenRun),
    /// The end; nothing follows.
    End(FinalStatus),
}

struct State<T> {
    /// How many items were handed out.
    delivered_items: u32,
    items: Vec<T>,
    end: Option<FinalStatus>,
    end_delivered: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Tokens, or whatever a protocol's answers are made of, on their way from an attempt to the client. It holds at most its
/// bound and one piece: a piece is accepted while fewer items wait than the bound.
pub struct TokenBuffer<T = u32> {
    state: Mutex<State<T>>,
    bound: usize,
}

/// The request has its final answer; nothing is accepted after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlreadyFinished;

impl<T: Copy> TokenBuffer<T> {
    /// An empty buffer.
    pub fn new(bound: usize) -> TokenBuffer<T> {
        let state = State {
            delivered_items: 0,
            items: Vec::new(),
            end: None,
            end_delivered: false,
            reader: None,
            writer: None,
        };
        TokenBuffer {
            state: Mutex::new(state),
            bound,
        }
    }
    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
    pub(crate) fn bound(&self) -> usize {
        self.bound
    }
    /// Adds a piece. Returns how many items wait now.
    ///
    /// # Errors
    /// When the request has its final answer.
    pub fn push(&self, items: &[T]) -> Result<usize, AlreadyFinished> {
        let mut state = self.lock();
        if state.end.is_some() {
            return Err(AlreadyFinished);
        }
        state.items.extend_from_slice(items);
        let (reader, waiting) = (state.reader.take(), state.items.len());
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(waiting)
    }
    /// Ready when fewer items wait than the bound.
    pub fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<Result<(), AlreadyFinished>> {
        let mut state = self.lock();
        if state.end.is_some() {
            return Poll::Ready(Err(AlreadyFinished));
        }
        if state.items.len() < self.bound || mutations::is_active(Mutation::NoBound) {
            return Poll::Ready(Ok(()));
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Sets the final answer; only the first one counts. Returns whether this was the first. A failure does not wait behind
    /// items that the client has not taken.
    pub fn finish(&self, end: FinalStatus) -> bool {
        let mut state = self.lock();
        if state.end.is_some() {
            return false;
        }
        if end != FinalStatus::Served {
            state.items = Vec::new();
        }
        state.end = Some(end);
        let wakers = [state.reader.take(), state.writer.take()];
        drop(state);
        wakers.into_iter().flatten().for_each(Waker::wake);
        true
    }
    /// Ready when the request has its final answer. For use before the answer begins, in place of
    /// [`TokenBuffer::poll_capacity`]: both register the same waker.
    pub(crate) fn poll_finished(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.end.is_some() {
            return Poll::Ready(());
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// All items that wait, with the index of the first one in the answer, or the end.
    pub fn poll_items(&self, cx: &mut Context<'_>) -> Poll<Result<(u32, Vec<T>), FinalStatus>> {
        let mut state = self.lock();
        if !state.items.is_empty() {
            let items = std::mem::take(&mut state.items);
            if mutations::is_active(Mutation::AnsweredTwice)
                && state.end.is_some()
                && items.len() > 1
            {
                state.items = items.clone();
            }
            let first = state.delivered_items;
            state.delivered_items = first.wrapping_add(items.len() as u32);
            let writer = state.writer.take();
            drop(state);
            if let Some(writer) = writer {
                writer.wake();
            }
            return Poll::Ready(Ok((first, items)));
        }
        if let Some(end) = state.end.clone() {
            state.end_delivered = true;
            return Poll::Ready(Err(end));
        }
        state.reader = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Whether the client got its final answer.
    pub fn is_delivered(&self) -> bool {
        self.lock().end_delivered
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
