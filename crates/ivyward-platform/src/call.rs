//! A request as the HTTP protocol holds it: what is sent to engines, and the response on its way to the client.

use crate::prompt_budget::Prompt;
use crate::sync::lock;
use event_listener::Event;
use ivyward::core::interface::Outcome;
use ivyward::engines::Call;
use ivyward::response::{FinalStatus, TokenBuffer};
use ivyward::runtime::Peer;
use ivyward_http1::Request;
use std::any::Any;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The header by which engines recognise a retry of a request, in lower case.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// How far the latest attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The last byte of this attempt's request was sent.
    Sent(u16),
    /// This attempt is over.
    Ended(u16),
}

/// One client's request, from its arrival to its final status.
pub(crate) struct HttpCall {
    /// The client's `X-Request-ID`, under which engines keep reservations too.
    pub(crate) id: String,
    pub(crate) method: String,
    pub(crate) target: String,
    /// The client's `Idempotency-Key`, by which engines recognise a retry.
    pub(crate) idempotency_key: Option<String>,
    /// It may be sent again although it may have run.
    pub(crate) is_idempotent: bool,
    /// Dropped with the first event: from then on nothing is sent again.
    prompt: Mutex<Option<Arc<Prompt>>>,
    progress: Mutex<Option<Progress>>,
    progress_changed: Event,
    client: Arc<dyn Peer>,
    disconnected: AtomicBool,
    /// An attempt that has an effect may have run.
    may_have_run: AtomicBool,
    /// The engine's events. A slow client slows its own engine down: no more is read while the buffer is full.
    pub(crate) response_buffer: TokenBuffer<u8>,
}

impl HttpCall {
    pub(crate) fn new(
        id: &str,
        request: &Request,
        is_idempotent: bool,
        prompt: Prompt,
        client: Arc<dyn Peer>,
        buffer_capacity: usize,
    ) -> HttpCall {
        HttpCall {
            id: id.into(),
            method: request.method.clone(),
            target: request.target.clone(),
            idempotency_key: request.head.text(IDEMPOTENCY_KEY).map(str::to_owned),
            is_idempotent,
            prompt: Mutex::new(Some(Arc::new(prompt))),
            progress: Mutex::new(None),
            progress_changed: Event::new(),
            client,
            disconnected: AtomicBool::new(false),
            may_have_run: AtomicBool::new(false),
            response_buffer: TokenBuffer::new(buffer_capacity),
        }
    }

    /// Records that the client has disconnected.
    pub(crate) fn set_disconnected(&self) {
        self.disconnected.store(true, Ordering::SeqCst);
    }

    /// Whether the client has disconnected. The state of its connection is looked at as well: on a busy node the end of its
    /// stream may not have been read yet, or its message may wait in a queue.
    pub(crate) fn is_disconnected(&self) -> bool {
        if !self.disconnected.load(Ordering::SeqCst) && self.client.left() {
            self.set_disconnected();
        }
        self.disconnected.load(Ordering::SeqCst)
    }

    /// Records the outcome of an attempt that has an effect.
    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        if outcome.may_have_run() {
            self.may_have_run.store(true, Ordering::SeqCst);
        }
    }

    /// Whether the next attempt repeats something that may have run and is not idempotent.
    pub(crate) fn repeats_effect(&self) -> bool {
        !self.is_idempotent && self.may_have_run.load(Ordering::SeqCst)
    }

    /// The prompt, unless nothing is sent any more.
    pub(crate) fn prompt(&self) -> Option<Arc<Prompt>> {
        lock(&self.prompt).clone()
    }

    /// Frees the prompt.
    pub(crate) fn drop_prompt(&self) {
        lock(&self.prompt).take();
    }

    /// Records how far the latest attempt has come.
    pub(crate) fn set_progress(&self, progress: Progress) {
        *lock(&self.progress) = Some(progress);
        self.progress_changed.notify(usize::MAX);
    }

    /// Waits until the last byte of an attempt's request was sent; `false` if that attempt is over, or another one has begun.
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
        &self.id
    }
}

#[cfg(test)]
mod tests;
