//! Follows the list of engines at one address of discovery, by long polls that may overlap.

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

/// A change is to be known so long after discovery had it and could be reached, as the platform states it.
const MAX_UPDATE_DELAY: Micros = 6_000_000;

/// A call that was sent and not answered yet.
struct PendingCall {
    began: Micros,
    /// How long discovery was asked to wait for changes.
    wait: Micros,
    received_bytes: Arc<AtomicU64>,
    /// The value of `received_bytes` when it was last looked at.
    seen_bytes: u64,
    response: BoxFuture<Result<ListResponse, ListCallError>>,
}

/// The response to a call.
struct Received {
    response: ListResponse,
    /// How much later than asked for discovery said that there are no changes.
    no_changes_delay: Option<Micros>,
}

/// The calls to discovery at one address.
pub(super) struct ListWatch {
    runtime: RuntimeRef,
    address: SocketAddr,
    limits: Limits,
    schedule: LongPoll,
    /// The version of the present list.
    version: Option<u64>,
    /// The connection that brought it.
    connection: Option<BufferedConnection>,
    pending: Vec<PendingCall>,
    /// No call has succeeded since the last failure.
    is_failing: bool,
}

impl ListWatch {
    /// A watch that knows no list yet. Calls are `costly` where discovery sends lists only to those who ask.
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

    /// The next list that any call brings: changes, or the full list.
    pub(super) async fn next_list(&mut self) -> List {
        let runtime = self.runtime.clone();
        let mut next_call_at = self.begin_long_poll();
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
                // After a rejection the changes are asked for again, not the full list, which costs discovery more.
                None if was_rejected && self.pending.is_empty() => {
                    was_rejected = false;
                    next_call_at = self.begin_long_poll();
                }
                None if self.has_progress() => {
                    next_call_at = now.saturating_add(self.schedule.silence_timeout());
                }
                None => {
                    self.begin_full_call();
                    next_call_at = now.saturating_add(self.schedule.next_call_delay());
                }
            }
        }
    }

    /// Takes a list as the present one.
    fn accept(&mut self, received: Received) -> List {
        match received.no_changes_delay {
            Some(delay) => self.schedule.no_changes_received(delay),
            None => self.schedule.list_received(),
        }
        self.is_failing = false;
        // The other calls ask for the same.
        self.pending.clear();
        let ListResponse { connection, list } = received.response;
        self.version = Some(list.version);
        self.connection = Some(connection);
        list
    }

    /// Logs the first failure after a success.
    fn log_outage(&mut self, error: &ListCallError) {
        if !std::mem::replace(&mut self.is_failing, true) {
            warn!(address = %self.address, %error, "discovery unavailable, endpoint list unchanged");
        }
    }

    /// Whether bytes of any response were received since the last look.
    fn has_progress(&mut self) -> bool {
        let mut progress = false;
        for call in &mut self.pending {
            let received = call.received_bytes.load(Ordering::Relaxed);
            progress |= std::mem::replace(&mut call.seen_bytes, received) != received;
        }
        progress
    }

    /// Asks for the changes after the present list, or for the full list where there is none; when the next call is to begin
    /// beside it.
    fn begin_long_poll(&mut self) -> Micros {
        let now = self.runtime.now();
        match self.version {
            Some(version) => {
                let connection = self.connection.take();
                self.begin(ListRequest::ChangesAfter {
                    version,
                    connection,
                });
                now.saturating_add(self.schedule.requested_wait() + self.schedule.silence_timeout())
            }
            None => {
                self.begin(ListRequest::Full);
                now.saturating_add(self.schedule.next_call_delay())
            }
        }
    }

    /// Asks for the full list beside calls that are silent, unless there are too many.
    fn begin_full_call(&mut self) {
        if !self.pending.is_empty() {
            self.log_outage(&ListCallError::Silent);
        }
        if self.pending.len() < self.schedule.max_calls() {
            self.begin(ListRequest::Full);
        }
    }

    fn begin(&mut self, request: ListRequest) {
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
            began: self.runtime.now(),
            wait,
            received_bytes,
            seen_bytes: 0,
            response,
        });
    }

    /// Waits for the first call that ends, with or without a list, and removes it from the pending ones.
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
        let took = self.runtime.now() - call.began;
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
                // Only a call that waited for changes in vain shows how late its response is.
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

    /// Guards against a change that is undone by an older one: the full list is asked for next.
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
