//! The HTTP part of a client's request: what is sent to engines, and the buffer of the response.

use crate::body_buffer::Prompt;
use crate::request_id::RequestId;
use crate::sync::lock;
use event_listener::Event;
use ivyward::core::interface::Outcome;
use ivyward::engines::Call;
use ivyward::memory_budget::{BudgetExhausted, BudgetShare, MemoryBudget};
use ivyward::response::{AlreadyFinished, FinalStatus, TokenBuffer};
use ivyward::runtime::Peer;
use ivyward_http1::RequestHead;
use std::any::Any;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The name of the header by which engines recognise a retry of a request, in lower case.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The progress of the latest attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The last byte of this attempt's request was sent.
    Sent(u16),
    /// This attempt has ended.
    Ended(u16),
}

/// One client's request, from its arrival to its final status.
pub(crate) struct HttpCall {
    /// The client's `X-Request-ID`. Engines identify the reservations of the request by it.
    pub(crate) id: RequestId,
    pub(crate) method: String,
    pub(crate) target: String,
    /// The client's `Idempotency-Key`, by which engines recognise a retry.
    pub(crate) idempotency_key: Option<String>,
    /// The request may be sent again after an attempt that may have run.
    pub(crate) is_idempotent: bool,
    /// Dropped at the first event of the response, after which the request is not retried.
    prompt: Mutex<Option<Arc<Prompt>>>,
    progress: Mutex<Option<Progress>>,
    progress_changed: Event,
    client: Arc<dyn Peer>,
    disconnected: AtomicBool,
    /// An attempt other than a prefill may have run.
    may_have_run: AtomicBool,
    /// The engine's events on the way to the client. While the buffer is full nothing is read from the engine, so that a
    /// slow client applies backpressure to its engine.
    pub(crate) response_buffer: ResponseBuffer,
    /// The memory of the strings above, which are kept until the end of the request.
    _memory: BudgetShare,
}

impl HttpCall {
    pub(crate) fn new(
        id: RequestId,
        request: &RequestHead,
        is_idempotent: bool,
        prompt: Prompt,
        client: Arc<dyn Peer>,
        response_buffer: ResponseBuffer,
    ) -> HttpCall {
        let idempotency_key = request.headers.text(IDEMPOTENCY_KEY);
        let mut memory = BudgetShare::new(prompt.memory.budget());
        memory
            .resize(id.as_str().len() + request.target.len() + idempotency_key.map_or(0, str::len));
        HttpCall {
            id,
            method: request.method.clone(),
            target: request.target.clone(),
            idempotency_key: idempotency_key.map(str::to_owned),
            is_idempotent,
            _memory: memory,
            prompt: Mutex::new(Some(Arc::new(prompt))),
            progress: Mutex::new(None),
            progress_changed: Event::new(),
            client,
            disconnected: AtomicBool::new(false),
            may_have_run: AtomicBool::new(false),
            response_buffer,
        }
    }

    /// Records that the client has disconnected.
    pub(crate) fn set_disconnected(&self) {
        self.disconnected.store(true, Ordering::SeqCst);
    }

    /// Returns whether the client has disconnected. Also checks the state of the client's socket, because on a busy node the
    /// end of the stream may not have been read yet, or the driver's message about it may still be queued.
    pub(crate) fn is_disconnected(&self) -> bool {
        if !self.disconnected.load(Ordering::SeqCst) && self.client.is_disconnected() {
            self.set_disconnected();
        }
        self.disconnected.load(Ordering::SeqCst)
    }

    /// Records the outcome of an attempt other than a prefill.
    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        if outcome.may_have_run() {
            self.may_have_run.store(true, Ordering::SeqCst);
        }
        let has_run = outcome.may_have_run() || outcome == Outcome::Served;
        if has_run && !self.is_idempotent {
            self.id.record_run();
        }
    }

    /// Returns whether the next attempt would repeat a non-idempotent request that may have run.
    pub(crate) fn repeats_unknown_outcome(&self) -> bool {
        !self.is_idempotent && self.may_have_run.load(Ordering::SeqCst)
    }

    /// Returns the prompt; `None` once it was dropped and the request is no longer sent.
    pub(crate) fn prompt(&self) -> Option<Arc<Prompt>> {
        lock(&self.prompt).clone()
    }

    /// Drops the prompt and returns its memory to the budget as soon as no attempt uses it.
    pub(crate) fn drop_prompt(&self) {
        lock(&self.prompt).take();
    }

    /// Records the progress of the latest attempt, and wakes the tasks that wait for it.
    pub(crate) fn set_progress(&self, progress: Progress) {
        *lock(&self.progress) = Some(progress);
        self.progress_changed.notify(usize::MAX);
    }

    /// Waits until the last byte of an attempt's request was sent. Returns `false` if that attempt has ended or a later one
    /// has been sent.
    pub(crate) async fn wait_until_sent(&self, attempt: u16) -> bool {
        loop {
            let changed = self.progress_changed.listen();
            let progress = *lock(&self.progress);
            match progress {
                Some(Progress::Sent(sent)) if sent == attempt => return true,
                Some(Progress::Ended(ended)) if ended >= attempt => return false,
                Some(Progress::Sent(sent)) if sent > attempt => return false,
                _ => changed.await,
            }
        }
    }
}

impl Call for HttpCall {
    fn finish(&self, end: FinalStatus) -> bool {
        self.drop_prompt();
        self.response_buffer.finish(end)
    }

    fn as_any(&self) -> &dyn Any {
        self
    }

    fn name(&self) -> &str {
        self.id.as_str()
    }
}

/// The events of a response between its engine and its client, and their memory.
pub(crate) struct ResponseBuffer {
    pub(crate) events: TokenBuffer<u8>,
    /// The memory of the events that have not been written to the client yet.
    memory: Mutex<BudgetShare>,
}

impl ResponseBuffer {
    /// Creates an empty buffer with this bound, in bytes.
    pub(crate) fn new(bound: usize, budget: &Arc<MemoryBudget>) -> ResponseBuffer {
        ResponseBuffer {
            events: TokenBuffer::new(bound),
            memory: Mutex::new(BudgetShare::new(budget)),
        }
    }

    /// Appends events, also if the bound is exceeded.
    pub(crate) fn push(&self, events: &[u8]) -> Result<(), AlreadyFinished> {
        self.events.push(events)?;
        let mut memory = lock(&self.memory);
        let bytes = memory.bytes() + events.len();
        memory.resize(bytes);
        Ok(())
    }

    /// Waits until the memory of the events is granted.
    pub(crate) async fn granted(&self) -> Result<(), BudgetExhausted> {
        let (budget, bytes) = {
            let memory = lock(&self.memory);
            (memory.budget().clone(), memory.bytes())
        };
        budget.grant(bytes).await
    }

    /// Releases the memory of events that were written to the client.
    pub(crate) fn release(&self, bytes: usize) {
        let mut memory = lock(&self.memory);
        let left = memory.bytes().saturating_sub(bytes);
        memory.resize(left);
    }

    /// Sets the final status, unless one is set. Returns whether this call set it. Any status but `Served` discards the events
    /// that the client has not taken.
    fn finish(&self, status: FinalStatus) -> bool {
        let keeps_events = status == FinalStatus::Served;
        let is_set = self.events.finish(status);
        if is_set && !keeps_events {
            lock(&self.memory).resize(0);
        }
        is_set
    }
}

#[cfg(test)]
mod tests;
