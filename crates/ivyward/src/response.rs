//! The bounded buffer between an attempt and the client, and the final status of a request.

use ivyward_core::interface::Micros;
use ivyward_core::mutations::{self, Mutation};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// The capacity of a buffer is a multiple of this number of bytes.
const CAPACITY_STEP: usize = 1 << 10;

/// Why a request was rejected. Nothing was done for it, so a retry is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The router rejected the request because of overload or because no engine may run it, or its deadline had passed on
    /// arrival.
    Overloaded,
    /// The number of open requests is at the node's limit.
    NodeFull,
    /// The node is stopping.
    Stopping,
}

/// Why a request failed. An engine may or may not have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request's deadline has passed.
    Deadline,
    /// No attempt was successful, and another one is not allowed because it could do harm. Contains the last attempt's error.
    AttemptsExhausted(String),
    /// The stream broke after it had started. Contains the error.
    StreamBroken(String),
    /// The node stopped before the end of the response.
    NodeStopped,
    /// The request is invalid and was not accepted. Contains the message for the client.
    InvalidRequest(String),
}

/// The final status of a request. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// The whole response was streamed.
    Served,
    /// Nothing was done for the request, so a retry is harmless.
    Rejected {
        /// How long the client should wait before a retry, in microseconds; `None` for no advice.
        retry_after: Option<Micros>,
        /// Why the request was rejected.
        reason: RejectReason,
    },
    /// The request failed. An engine may or may not have run it.
    Failed(FailureReason),
}

/// Consecutive tokens of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRun {
    /// Index of the first token in the response, from 0.
    pub first_index: u32,
    /// The token ids, in order.
    pub ids: Vec<u32>,
}

/// The next part of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Tokens that follow those received before.
    Tokens(TokenRun),
    /// The end of the response; nothing follows.
    End(FinalStatus),
}

struct State<T> {
    /// Number of items that the reader has taken; wraps around.
    delivered_items: u32,
    items: Vec<T>,
    final_status: Option<FinalStatus>,
    final_status_delivered: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Buffers a response between an attempt and the client: tokens, or other items in which a protocol delivers responses.
///
/// The writer waits for [`TokenBuffer::poll_capacity`] before the next chunk, which it may push while the buffer contains fewer
/// items than its bound. The buffer therefore never contains more than the bound plus one chunk.
pub struct TokenBuffer<T = u32> {
    state: Mutex<State<T>>,
    bound: usize,
}

/// The request already has its final status, after which the buffer accepts nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlreadyFinished;

impl<T: Copy> TokenBuffer<T> {
    /// Creates an empty buffer with this bound, in items.
    pub fn new(bound: usize) -> TokenBuffer<T> {
        let state = State {
            delivered_items: 0,
            items: Vec::new(),
            final_status: None,
            final_status_delivered: false,
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
    /// Appends a chunk, also if the bound is exceeded. Returns the number of items that the client has not taken.
    ///
    /// # Errors
    /// [`AlreadyFinished`] when the request has its final status.
    pub fn push(&self, items: &[T]) -> Result<usize, AlreadyFinished> {
        let mut state = self.lock();
        if state.final_status.is_some() {
            return Err(AlreadyFinished);
        }
        let needed = state.items.len() + items.len();
        if needed > state.items.capacity() {
            // Many buffers that double their capacity would hold far more memory than their bounds say.
            let capacity = needed.next_multiple_of(CAPACITY_STEP / size_of::<T>());
            let added = capacity - state.items.len();
            state.items.reserve_exact(added);
        }
        state.items.extend_from_slice(items);
        let (reader, buffered) = (state.reader.take(), state.items.len());
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
        Ok(buffered)
    }
    /// Is ready when the buffer contains fewer items than its bound, or with an error when the request has its final status.
    pub fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<Result<(), AlreadyFinished>> {
        let mut state = self.lock();
        if state.final_status.is_some() {
            return Poll::Ready(Err(AlreadyFinished));
        }
        if state.items.len() < self.bound || mutations::is_active(Mutation::NoBackpressure) {
            return Poll::Ready(Ok(()));
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Sets the final status, unless one is set. Returns whether this call set it. Any status but `Served` discards the items
    /// that the client has not taken, so that the client learns of it without delay.
    pub fn finish(&self, status: FinalStatus) -> bool {
        let mut state = self.lock();
        if state.final_status.is_some() {
            return false;
        }
        if status != FinalStatus::Served {
            state.items = Vec::new();
        }
        state.final_status = Some(status);
        let wakers = [state.reader.take(), state.writer.take()];
        drop(state);
        wakers.into_iter().flatten().for_each(Waker::wake);
        true
    }
    /// Is ready when the request has its final status. Only for use before the response starts, because this method and
    /// [`TokenBuffer::poll_capacity`] register their waker in the same place.
    pub(crate) fn poll_finished(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.final_status.is_some() {
            return Poll::Ready(());
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Takes all buffered items, with the index of the first one in the response, or returns the final status as an error.
    pub fn poll_items(&self, cx: &mut Context<'_>) -> Poll<Result<(u32, Vec<T>), FinalStatus>> {
        let mut state = self.lock();
        if !state.items.is_empty() {
            let items = std::mem::take(&mut state.items);
            if mutations::is_active(Mutation::DuplicateTokens)
                && state.final_status.is_some()
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
        if let Some(status) = state.final_status.clone() {
            state.final_status_delivered = true;
            return Poll::Ready(Err(status));
        }
        state.reader = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Whether the client has taken the final status.
    pub fn is_delivered(&self) -> bool {
        self.lock().final_status_delivered
    }
}

impl TokenBuffer<u32> {
    /// Takes all buffered tokens, or returns the end.
    pub(crate) fn poll_part(&self, cx: &mut Context<'_>) -> Poll<ResponsePart> {
        self.poll_items(cx).map(|part| match part {
            Ok((first_index, ids)) => ResponsePart::Tokens(TokenRun { first_index, ids }),
            Err(status) => ResponsePart::End(status),
        })
    }
}

#[cfg(test)]
mod tests;
