//! A request as the platform's protocol holds it: what is sent to engines, and the way of the answer to the client.

use event_listener::Event;
use ivyward::core::interface::Outcome;
use ivyward::engines::Call;
use ivyward::response::{FinalStatus, TokenBuffer};
use ivyward::runtime::Peer;
use ivyward_http1::Request;
use std::any::Any;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The header by which engines recognise a repeat of a request, in small letters.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Bytes of prompts that the node holds in all.
#[derive(Debug)]
pub(crate) struct Budget {
    held: AtomicUsize,
    most: usize,
}

impl Budget {
    pub(crate) fn new(most: usize) -> Arc<Budget> {
        Arc::new(Budget {
            held: AtomicUsize::new(0),
            most,
        })
    }
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
pub(crate) struct Share {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Share {
    pub(crate) fn new(budget: &Arc<Budget>) -> Share {
        Share {
            budget: budget.clone(),
            bytes: 0,
        }
    }
    /// Takes more; `false` where nothing is left.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let held = self.budget.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        held <= self.budget.most
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// How far the latest attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The request's last byte left.
    Sent(u16),
    /// It is over.
    Ended(u16),
}

/// A prompt with its share of the budget.
pub(crate) struct Prompt {
    pub(crate) bytes: Vec<u8>,
    pub(crate) _share: Share,
}

pub(crate) struct PlatformCall {
    /// The client's `X-Request-ID`, under which engines hold things too.
    pub(crate) id: String,
    pub(crate) method: String,
    pub(crate) target: String,
    /// The client's `Idempotency-Key`, by which engines recognise a repeat.
    pub(crate) idempotency_key: Option<String>,
    /// It may be sent again although it may have run.
    pub(crate) again: bool,
    /// Let go of with the first event: from then on nothing is sent again.
    prompt: Mutex<Option<Arc<Prompt>>>,
    progress: Mutex<Option<Progress>>,
    moved: Event,
    client: Arc<dyn Peer>,
    disconnected: AtomicBool,
    /// An attempt that has an effect may have run.
    may_have_run: AtomicBool,
    /// The engine's events. A slow client holds up its own engine: no more is read while the bound waits.
    pub(crate) outlet: TokenBuffer<u8>,
}

impl PlatformCall {
    pub(crate) fn new(
        id: &str,
        request: &Request,
        again: bool,
        prompt: Prompt,
        client: Arc<dyn Peer>,
        bound: usize,
    ) -> PlatformCall {
        PlatformCall {
            id: id.into(),
            method: request.method.clone(),
            target: request.target.clone(),
            idempotency_key: request.head.text(IDEMPOTENCY_KEY).map(str::to_owned),
            again,
            prompt: Mutex::new(Some(Arc::new(prompt))),
            progress: Mutex::new(None),
            moved: Event::new(),
            client,
            disconnected: AtomicBool::new(false),
            may_have_run: AtomicBool::new(false),
            outlet: TokenBuffer::new(bound),
        }
    }
    /// The client has left: it is known from now on.
    pub(crate) fn set_disconnected(&self) {
        self.disconnected.store(true, Ordering::SeqCst);
    }
    /// Whether the client has left. Its connection is looked at as well: on a busy node the word of its end may still wait
    /// to be read, or stand in a queue.
    pub(crate) fn is_disconnected(&self) -> bool {
        if !self.disconnected.load(Ordering::SeqCst) && self.client.left() {
            self.set_disconnected();
        }
        self.disconnected.load(Ordering::SeqCst)
    }
    /// Takes note of how an attempt that has an effect ended.
    pub(crate) fn note_outcome(&self, outcome: Outcome) {
        if outcome.may_have_run() {
            self.may_have_run.store(true, Ordering::SeqCst);
        }
    }
    /// Whether the next attempt repeats something that may have run and is not harmless to repeat.
    pub(crate) fn repeats_effect(&self) -> bool {
        !self.again && self.may_have_run.load(Ordering::SeqCst)
    }
    pub(crate) fn prompt(&self) -> Option<Arc<Prompt>> {
        lock(&self.prompt).clone()
    }
    pub(crate) fn drop_prompt(&self) {
        lock(&self.prompt).take();
    }
    pub(crate) fn mark(&self, progress: Progress) {
        *lock(&self.progress) = Some(progress);
        self.moved.notify(usize::MAX);
    }
    /// Waits until the last byte of an attempt left; `false` when that attempt is over, or another one has begun.
    pub(crate) async fn sent(&self, attempt: u16) -> bool {
        loop {
            let listener = self.moved.listen();
            let progress = *lock(&self.progress);
            match progress {
                Some(Progress::Sent(no)) if no == attempt => return true,
                Some(Progress::Ended(no)) if no >= attempt => return false,
                Some(Progress::Sent(no)) if no > attempt => return false,
                _ => listener.await,
            }
        }
    }
}

impl Call for PlatformCall {
    fn finish(&self, end: FinalStatus) -> bool {
        self.drop_prompt();
        self.outlet.finish(end)
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
