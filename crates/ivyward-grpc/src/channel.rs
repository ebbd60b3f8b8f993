//! [`Channel`], the handle of a connection to a server: its state, checking it, closing it.
//!
//! The constructors of [`Channel`] are in `handshake`, the methods that start calls in `start_call`.

use crate::activity::Activity;
use crate::frame_observer::FrameObserver;
use crate::options::Options;
use bytes::Bytes;
use h2::client::SendRequest;
use ivyward_runtime::{timeout_at, Micros, RuntimeExt, RuntimeRef};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A handle to one HTTP/2 connection. Clones share the connection.
#[derive(Clone)]
pub struct Channel {
    pub(crate) send: SendRequest<Bytes>,
    pub(crate) observer: Arc<FrameObserver>,
    pub(crate) close: async_channel::Sender<()>,
    pub(crate) activity: Arc<Activity>,
    /// Total number of bytes received when the last failed check ended; [`NO_FAILED_CHECK`] before the first one. While this
    /// equals the current total, the connection may be dead.
    pub(crate) received_at_failed_check: Arc<AtomicU64>,
    pub(crate) options: Options,
    pub(crate) runtime: RuntimeRef,
}

/// Time for a connection's task to read the bytes that are already in its socket, in microseconds.
const SOCKET_READ_GRACE: Micros = 1_000;
/// Value of `received_at_failed_check` while no check has failed.
pub(crate) const NO_FAILED_CHECK: u64 = u64::MAX;

impl Channel {
    /// Whether new calls may be made on the connection: it is open, and the server sent no GOAWAY.
    pub fn is_usable(&self) -> bool {
        !self.observer.is_closed() && !self.observer.goaway_received()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.observer.is_closed()
    }

    /// Number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.activity.calls_in_flight()
    }

    /// The time at which bytes were last received, or the connection was opened.
    pub fn last_received(&self) -> Micros {
        self.observer.last_received()
    }

    /// Whether the last check failed and nothing was received since then.
    pub fn last_check_failed(&self) -> bool {
        self.received_at_failed_check.load(Ordering::SeqCst) == self.observer.received_bytes()
    }

    /// Waits until bytes are received or the connection closes.
    pub async fn wait_for_bytes(&self) {
        let received = self.observer.received_bytes();
        self.received_more_than(received).await;
    }

    /// Waits until the total number of received bytes differs from `received`, or the connection closes.
    async fn received_more_than(&self, received: u64) {
        loop {
            let changed = self.observer.listen();
            if self.observer.is_closed() || self.observer.received_bytes() != received {
                return;
            }
            changed.await;
        }
    }

    /// Pings the server now. Returns whether any bytes are received within `timeout` microseconds.
    pub async fn check(&self, timeout: Micros) -> bool {
        let received = self.observer.received_bytes();
        self.activity.request_check();
        let deadline = self.runtime.now().saturating_add(timeout);
        if timeout_at(&self.runtime, deadline, self.received_more_than(received))
            .await
            .is_none()
        {
            // If this process was paused during the check, the answer may be in the socket already. It is read before the
            // check counts as failed.
            self.runtime.sleep(SOCKET_READ_GRACE).await;
        }
        let answered = self.observer.received_bytes() != received;
        if !answered {
            self.received_at_failed_check
                .store(received, Ordering::SeqCst);
        }
        answered && !self.is_closed()
    }

    /// Treats the connection like one whose check failed, until bytes are received: a call was not answered in time.
    pub fn record_unanswered_call(&self) {
        let received = self.observer.received_bytes();
        self.received_at_failed_check
            .store(received, Ordering::SeqCst);
    }

    /// Maximum number of concurrent streams that the server allows, as far as it has announced a limit.
    pub fn stream_capacity(&self) -> usize {
        self.send.current_max_send_streams()
    }

    /// Closes the connection. Its calls fail.
    pub fn close(&self) {
        // Fails only when a close is requested already, or the connection's task has ended.
        let _ = self.close.try_send(());
    }
}
