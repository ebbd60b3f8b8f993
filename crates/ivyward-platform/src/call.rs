//! A request as the platform's protocol holds it: what is sent to engines, and the way of the answer to the client.

use event_listener::Event;
use ivyward::engines::Call;
use ivyward::Final;
use ivyward_http1::Request;
use std::any::Any;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

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
        Arc::new(Budget { held: AtomicUsize::new(0), most })
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
        Share { budget: budget.clone(), bytes: 0 }
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
    /// It may be sent again although it may have run.
    pub(crate) again: bool,
    /// Let go of with the first event: from then on nothing is sent again.
    prompt: Mutex<Option<Arc<Prompt>>>,
    progress: Mutex<Option<Progress>>,
    moved: Event,
    pub(crate) outlet: Outlet,
}

impl PlatformCall {
    pub(crate) fn new(
        id: &str,
        request: &Request,
        again: bool,
        prompt: Prompt,
        bound: usize,
    ) -> PlatformCall {
        PlatformCall {
            id: id.into(),
            method: request.method.clone(),
            target: request.target.clone(),
            again,
            prompt: Mutex::new(Some(Arc::new(prompt))),
            progress: Mutex::new(None),
            moved: Event::new(),
            outlet: Outlet { inner: Mutex::default(), bound },
        }
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
    fn finish(&self, end: Final) -> bool {
        self.drop_prompt();
        self.outlet.finish(end)
    }
    fn as_any(&self) -> &dyn Any {
        self
    }
}

/// What a client gets next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Bytes of the engine's events.
    Data(Vec<u8>),
    /// The end; nothing follows.
    End(Final),
}

#[derive(Default)]
struct Inner {
    data: Vec<u8>,
    end: Option<Final>,
    told: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// Events on their way from an attempt to the client. A slow client holds up its own engine: no more is read while the
/// bound waits.
pub(crate) struct Outlet {
    inner: Mutex<Inner>,
    bound: usize,
}

/// The request has its final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Over;

impl Outlet {
    pub(crate) fn push(&self, data: &[u8]) -> Result<(), Over> {
        let mut inner = lock(&self.inner);
        if inner.end.is_some() {
            return Err(Over);
        }
        inner.data.extend_from_slice(data);
        let reader = inner.reader.take();
        drop(inner);
        reader.into_iter().for_each(Waker::wake);
        Ok(())
    }
    /// Ready when less waits than the bound.
    pub(crate) fn poll_room(&self, cx: &mut Context<'_>) -> Poll<Result<(), Over>> {
        let mut inner = lock(&self.inner);
        if inner.end.is_some() {
            return Poll::Ready(Err(Over));
        }
        if inner.data.len() < self.bound {
            return Poll::Ready(Ok(()));
        }
        inner.writer = Some(cx.waker().clone());
        Poll::Pending
    }
    fn finish(&self, end: Final) -> bool {
        let mut inner = lock(&self.inner);
        if inner.end.is_some() {
            return false;
        }
        if end != Final::Served {
            inner.data = Vec::new();
        }
        inner.end = Some(end);
        let wakers = [inner.reader.take(), inner.writer.take()];
        drop(inner);
        wakers.into_iter().flatten().for_each(Waker::wake);
        true
    }
    pub(crate) fn poll_part(&self, cx: &mut Context<'_>) -> Poll<Part> {
        let mut inner = lock(&self.inner);
        if !inner.data.is_empty() {
            let data = std::mem::take(&mut inner.data);
            let writer = inner.writer.take();
            drop(inner);
            writer.into_iter().for_each(Waker::wake);
            return Poll::Ready(Part::Data(data));
        }
        if let Some(end) = inner.end.clone() {
            inner.told = true;
            return Poll::Ready(Part::End(end));
        }
        inner.reader = Some(cx.waker().clone());
        Poll::Pending
    }
    /// Whether the final answer was taken.
    pub(crate) fn told(&self) -> bool {
        lock(&self.inner).told
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ivyward::Failure;

    #[test]
    fn a_slow_client_stops_its_engine_at_the_bound_and_the_first_end_counts() {
        let outlet = Outlet { inner: Mutex::default(), bound: 8 };
        let mut cx = Context::from_waker(Waker::noop());
        outlet.push(b"12345").unwrap();
        assert!(outlet.poll_room(&mut cx).is_ready());
        outlet.push(b"6789").unwrap();
        assert!(outlet.poll_room(&mut cx).is_pending(), "nine bytes wait of eight");
        assert_eq!(outlet.poll_part(&mut cx), Poll::Ready(Part::Data(b"123456789".to_vec())));
        assert!(outlet.poll_room(&mut cx).is_ready());
        outlet.push(b"0").unwrap();
        assert!(outlet.finish(Final::Failed(Failure::Deadline)));
        assert!(!outlet.finish(Final::Served));
        assert_eq!(outlet.push(b"late"), Err(Over));
        // A failure does not wait behind bytes that nobody took.
        assert!(!outlet.told());
        assert_eq!(outlet.poll_part(&mut cx), Poll::Ready(Part::End(Final::Failed(Failure::Deadline))));
        assert!(outlet.told());
    }

    #[test]
    fn shares_of_the_budget_are_given_back() {
        let budget = Budget::new(100);
        let (mut one, mut other) = (Share::new(&budget), Share::new(&budget));
        assert!(one.grow(60) && !other.grow(60));
        drop(other);
        assert!(one.grow(40) && budget.held() == 100);
        drop(one);
        assert_eq!(budget.held(), 0);
    }
}
