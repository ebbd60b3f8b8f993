//! The calls in flight on a connection and the requests to check it, shared by the connection's calls and its keepalive.
//!
//! Requests of checks are numbered. A check answers all requests that were made before its ping was sent.

use event_listener::{Event, EventListener};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of calls in flight on a connection, and the requested and answered checks of it.
#[derive(Default)]
pub(crate) struct Activity {
    calls_in_flight: AtomicUsize,
    /// The number of the last request of a check; 0 before the first one.
    check_requested: AtomicU64,
    /// The number of the last request for which a ping was sent.
    check_started: AtomicU64,
    /// The number of the last request whose ping was answered.
    check_answered: AtomicU64,
    changed: Event,
}

impl Activity {
    /// Number of calls in flight.
    pub(crate) fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.load(Ordering::SeqCst)
    }

    /// Whether any call is in flight.
    pub(crate) fn in_use(&self) -> bool {
        self.calls_in_flight() > 0
    }

    /// Requests a ping of the connection without delay. Returns the number of the request.
    pub(crate) fn request_check(&self) -> u64 {
        let number = self.check_requested.fetch_add(1, Ordering::SeqCst) + 1;
        self.changed.notify(usize::MAX);
        number
    }

    /// Whether a check was requested for which no ping was sent.
    pub(crate) fn has_check_request(&self) -> bool {
        self.check_requested.load(Ordering::SeqCst) > self.check_started.load(Ordering::SeqCst)
    }

    /// Records that a ping is about to be sent. Returns the number of the last request that it answers.
    pub(crate) fn check_starts(&self) -> u64 {
        let number = self.check_requested.load(Ordering::SeqCst);
        self.check_started.store(number, Ordering::SeqCst);
        number
    }

    /// Records that the ping for requests up to this number was answered.
    pub(crate) fn check_answered(&self, number: u64) {
        self.check_answered.store(number, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Waits until a ping is answered that was sent after the request with this number.
    pub(crate) async fn answered(&self, number: u64) {
        loop {
            let changed = self.listen();
            if self.check_answered.load(Ordering::SeqCst) >= number {
                return;
            }
            changed.await;
        }
    }

    /// Returns a listener that is notified when a call starts, or a check is requested or answered.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

/// Counts one call as in flight until the guard is dropped.
pub(crate) struct InFlightGuard(Arc<Activity>);

impl InFlightGuard {
    pub(crate) fn new(activity: &Arc<Activity>) -> InFlightGuard {
        activity.calls_in_flight.fetch_add(1, Ordering::SeqCst);
        activity.changed.notify(usize::MAX);
        InFlightGuard(activity.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
