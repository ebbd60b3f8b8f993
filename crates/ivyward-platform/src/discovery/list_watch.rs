//! Follows the list of engines at one discovery address by long polls. Calls may run in parallel: a call that receives
//! nothing stays open while the next one begins.

use super::error::ListCallError;
use super::list::List;
use super::list_call::{ListCall, ListRequest, ListResponse};
use crate::buffered_connection::BufferedConnection;
use futures_lite::future::poll_fn;
use ivyward::core::interface::Micros;
use ivyward::core::long_poll::{CallFailure, LongPoll};
use ivyward::runtime::{timeout_at, BoxFuture, RuntimeRef};
use ivyward_http1::Limits;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Poll;
use tracing::{debug, warn};

/// The platform's limit on the time until the node knows a change, counted from when discovery has the change and is
/// reachable: 6 s.
const MAX_UPDATE_DELAY: Micros = 6_000_000;

/// A call in flight.
struct PendingCall {
    started_at: Micros,
    /// How long the call asked discovery to wait for changes; 0 for the full list.
    wait: Micros,
    received_bytes: Arc<AtomicU64>,
    /// The value of `received_bytes` when [`ListWatch::has_progress`] last read it.
    seen_bytes: u64,
    response: BoxFuture<Result<ListResponse, ListCallError>>,
}

/// A successful response to a call.
struct Received {
    response: ListResponse,
    /// How long after the end of the requested wait the response without changes arrived; `None` if the response contains a
    /// list or changes, or if no wait was requested.
    no_changes_delay: Option<Micros>,
}

/// The calls to discovery at one address, and the version of the list that they returned.
pub(super) struct ListWatch {
    runtime: RuntimeRef,
    address: SocketAddr,
    limits: Limits,
    schedule: LongPoll,
    /// The version of the current list; `None` if the next call must ask for the full list.
    version: Option<u64>,
    /// The connection of the last successful call, which the next one reuses.
    connection: Option<BufferedConnection>,
    /// The calls in flight, in the order of their start.
    pending: Vec<PendingCall>,
    /// Whether a call has failed or received nothing in time, and none has succeeded since.
    is_failing: bool,
}

impl ListWatch {
    /// Creates a watch without a list. Calls are `costly` if discovery sends lists on request only.
    pub(super) fn new(
        runtime: &RuntimeRef,
        address: SocketAddr,
        limits: &Limits,
        costly: bool,
    ) -> ListWatch {
        ListWatch {
            runtime: runtime.clone(),
            address,
            limits: *limits,
            schedule: LongPoll::new(MAX_UPDATE_DELAY, costly, runtime.random()),
            version: None,
            connection: None,
            pending: Vec::new(),
            is_failing: false,
        }
    }

    /// Returns the next list that any call receives: changes, or the full list. Calls and retries until it has one.
    pub(super) async fn next_list(&mut self) -> List {
        let runtime = self.runtime.clone();
        let mut next_call_at = self.start_long_poll();
        let mut was_rejected = false;
        loop {
            let received = timeout_at(&runtime, next_call_at, self.next_response()).await;
            let now = runtime.now();
            match received.map(|result| result.and_then(|r| self.check_version(r))) {
                Some(Ok(received)) => return self.accept(received),
                Some(Err(error)) => {
                    self.log_outage(&error);
                    was_rejected = error.kind() == CallFailure::Rejected;
                    next_call_at = now.saturating_add(self.schedule.call_failed(error.kind()));
                }
                // After a rejection the next call asks for changes again, because the full list costs discovery more.
                None if was_rejected && self.pending.is_empty() => {
                    was_rejected = false;
                    next_call_at = self.start_long_poll();
                }
                None if self.has_progress() => {
                    next_call_at = now.saturating_add(self.schedule.silence_timeout());
                }
                None => {
                    self.start_full_call();
                    next_call_at = now.saturating_add(self.schedule.next_call_delay());
                }
            }
        }
    }

    /// Makes a received list the current one and cancels the other calls.
    fn accept(&mut self, received: Received) -> List {
        match received.no_changes_delay {
            Some(delay) => self.schedule.no_changes_received(delay),
            None => self.schedule.list_received(),
        }
        self.is_failing = false;
        // The other calls asked for the same list.
        self.pending.clear();
        let ListResponse { connection, list } = received.response;
        self.version = Some(list.version);
        self.connection = Some(connection);
        list
    }

    /// Logs a failure if it is the first one since the last success.
    fn log_outage(&mut self, error: &ListCallError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            warn!(address = %self.address, %error, "discovery unavailable, endpoint list unchanged");
        }
    }

    /// Returns whether any call received bytes since the last invocation of this method.
    fn has_progress(&mut self) -> bool {
        let mut progress = false;
        for call in &mut self.pending {
            let received = call.received_bytes.load(Ordering::Relaxed);
            progress |= std::mem::replace(&mut call.seen_bytes, received) != received;
        }
        progress
    }

    /// Starts a call for the changes after the current list, or for the full list if there is no current one. Returns when
    /// the next call in parallel is to start.
    fn start_long_poll(&mut self) -> Micros {
        let now = self.runtime.now();
        match self.version {
            Some(version) => {
                let connection = self.connection.take();
                self.start_call(ListRequest::ChangesAfter {
                    version,
                    connection,
                });
                now.saturating_add(self.schedule.requested_wait() + self.schedule.silence_timeout())
            }
            None => {
                self.start_call(ListRequest::Full);
                now.saturating_add(self.schedule.next_call_delay())
            }
        }
    }

    /// Starts a call for the full list in parallel to calls that receive nothing, unless the maximum number of calls is in
    /// flight.
    fn start_full_call(&mut self) {
        if !self.pending.is_empty() {
            self.log_outage(&ListCallError::NoResponse);
        }
        if self.pending.len() < self.schedule.max_calls() {
            self.start_call(ListRequest::Full);
        }
    }

    fn start_call(&mut self, request: ListRequest) {
        let received_bytes = Arc::default();
        let wait = match &request {
            ListRequest::ChangesAfter { .. } => self.schedule.requested_wait(),
            ListRequest::Full => 0,
        };
        let call = ListCall {
            runtime: self.runtime.clone(),
            address: self.address,
            limits: self.limits,
            schedule: self.schedule.clone(),
            wait,
            received_bytes: Arc::clone(&received_bytes),
        };
        let response = Box::pin(call.run(request));
        self.pending.push(PendingCall {
            started_at: self.runtime.now(),
            wait,
            received_bytes,
            seen_bytes: 0,
            response,
        });
    }

    /// Waits for the first call that ends, successful or not, and removes it from the calls in flight.
    async fn next_response(&mut self) -> Result<Received, ListCallError> {
        let (index, result) = poll_fn(|cx| {
            for (index, call) in self.pending.iter_mut().enumerate() {
                if let Poll::Ready(result) = call.response.as_mut().poll(cx) {
                    return Poll::Ready((index, result));
                }
            }
            Poll::Pending
        })
        .await;
        let call = self.pending.remove(index);
        let took = self.runtime.now() - call.started_at;
        match result {
            Ok(response) => {
                let list = &response.list;
                debug!(
                    took,
                    version = list.version,
                    full = list.full,
                    entries = list.servers.len(),
                    "list call succeeded"
                );
                // Only after a full wait without changes is it known when the response was due.
                let no_changes = call.wait > 0 && !list.full && list.servers.is_empty();
                let no_changes_delay = no_changes.then(|| took.saturating_sub(call.wait));
                Ok(Received {
                    response,
                    no_changes_delay,
                })
            }
            Err(error) => {
                debug!(took, kind = ?error.kind(), %error, "list call failed");
                Err(error)
            }
        }
    }

    /// Rejects changes that are older than the current list, which would undo newer ones. The next call then asks for the
    /// full list.
    fn check_version(&mut self, received: Received) -> Result<Received, ListCallError> {
        let list = &received.response.list;
        match self.version {
            Some(newest) if !list.full && list.version < newest => {
                self.version = None;
                Err(ListCallError::Outdated {
                    version: list.version,
                    newest,
                })
            }
            _ => Ok(received),
        }
    }
}
