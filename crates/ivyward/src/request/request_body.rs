//! The body of a gRPC call that is being received, with its share of the memory for requests.

use crate::memory_budget::{BudgetExhausted, BudgetShare, MemoryBudget};
use crate::request::grpc_server::node_full;
use bytes::Bytes;
use http::HeaderMap;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use ivyward_core::interface::Micros;
use ivyward_runtime::BoxFuture;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tonic::Status;

/// What a parsed header line occupies in addition to its name and its value, in bytes: its entry and index in the map, and the
/// allocation of its name.
const HEADER_OVERHEAD: usize = 128;

/// The body of a call. After each part that exceeds the limit on memory it waits until other calls have been shed.
pub(super) struct CountedBody {
    body: Incoming,
    /// The memory of the headers, and of all data that was received.
    memory: BudgetShare,
    /// The wait for memory.
    grant: Option<BoxFuture<Result<(), BudgetExhausted>>>,
    /// What clients are told about when to retry, in microseconds.
    retry_after: Micros,
}

impl CountedBody {
    /// Wraps the body of a call with these headers.
    pub(super) fn new(
        body: Incoming,
        headers: &HeaderMap,
        budget: &Arc<MemoryBudget>,
        retry_after: Micros,
    ) -> CountedBody {
        let mut counted = CountedBody {
            body,
            memory: BudgetShare::new(budget),
            grant: None,
            retry_after,
        };
        counted.add(header_memory(headers));
        counted
    }

    /// Counts received bytes.
    fn add(&mut self, bytes: usize) {
        let bytes = self.memory.bytes() + bytes;
        self.memory.resize(bytes);
        if self.memory.budget().is_exceeded() {
            let budget = self.memory.budget().clone();
            self.grant = Some(Box::pin(async move { budget.grant(bytes).await }));
        }
    }

    /// Is ready when the memory of all received bytes is granted.
    fn poll_granted(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BudgetExhausted>> {
        let Some(grant) = self.grant.as_mut() else {
            return Poll::Ready(Ok(()));
        };
        let granted = ready!(grant.as_mut().poll(cx));
        self.grant = None;
        Poll::Ready(granted)
    }
}

/// Returns the memory that the headers of a call occupy, in bytes.
fn header_memory(headers: &HeaderMap) -> usize {
    let line = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        name.as_str().len() + value.len() + HEADER_OVERHEAD
    };
    headers.iter().map(line).sum()
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Err(BudgetExhausted) = ready!(self.poll_granted(cx)) {
            let status: Status = node_full(self.retry_after);
            return Poll::Ready(Some(Err(status.into())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(data) = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref()) {
            self.add(data.len());
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
