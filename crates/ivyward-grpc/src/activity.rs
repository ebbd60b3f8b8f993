//! The calls in flight on a connection and the requests to check it, shared by the connection's calls and its keepalive.

use event_listener::{Event, EventListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of calls in flight on a connection, and whether a check of it is requested.
#[derive(Default)]
pub(crate) struct Activity {
    calls_in_flight: AtomicUsize,
    check_requested: AtomicBool,
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

    /// Requests a ping of the connection without delay.
    pub(crate) fn request_check(&self) {
        self.check_requested.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Whether a check was requested since the last call of this method.
    pub(crate) fn take_check_request(&self) -> bool {
        self.check_requested.swap(false, Ordering::SeqCst)
    }

    /// Returns a listener that is notified when a call starts or a check is requested.
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
