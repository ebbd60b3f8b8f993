//! One call to discovery: opens a connection if there is none, sends the request and reads the list in the response.

use super::error::ListCallError;
use super::list::List;
use crate::buffered_connection::{read_response_body, read_response_head, BufferedConnection};
use ivyward::core::interface::Micros;
use ivyward::core::long_poll::LongPoll;
use ivyward::memory_budget::{BudgetShare, MemoryBudget};
use ivyward::runtime::{timeout_at, RuntimeRef};
use ivyward_http1::{head, Limits};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// How often the progress of a call is checked within `LongPoll::silence_timeout`.
const CHECKS_PER_TIMEOUT: Micros = 4;

/// The request of a call.
pub(super) enum ListRequest {
    /// Asks for the full list, without a wait.
    Full,
    /// Asks for the changes after a version. Discovery responds as soon as there are changes, or at the end of the requested
    /// wait. The request is sent on `connection`, the connection of the previous call, or on a new one if that is `None`.
    ChangesAfter {
        version: u64,
        connection: Option<BufferedConnection>,
    },
}

/// A list, and the connection on which it was received.
pub(super) struct ListResponse {
    pub(super) connection: BufferedConnection,
    pub(super) list: List,
}

/// The parameters of one call.
pub(super) struct ListCall {
    pub(super) runtime: RuntimeRef,
    pub(super) address: SocketAddr,
    pub(super) limits: Limits,
    pub(super) schedule: LongPoll,
    /// How long discovery is asked to wait for changes, in microseconds; 0 for a full list.
    pub(super) wait: Micros,
    /// The number of bytes received so far, counted by the connection.
    pub(super) received_bytes: Arc<AtomicU64>,
}

impl ListCall {
    /// Runs the call and returns the list with the connection, which the next call may reuse.
    pub(super) async fn run(self, request: ListRequest) -> Result<ListResponse, ListCallError> {
        let (connection, target) = match request {
            ListRequest::ChangesAfter {
                version,
                connection,
            } => {
                let hold_ms = self.wait / 1_000;
                let target = format!("/v1/servers?from={version}&hold_ms={hold_ms}");
                (connection, target)
            }
            ListRequest::Full => (None, "/v1/servers".to_owned()),
        };
        let mut connection = match connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.count_received(self.received_bytes.clone());
        let list = self.fetch(&mut connection, &target).await?;
        Ok(ListResponse { connection, list })
    }

    async fn connect(&self) -> Result<BufferedConnection, ListCallError> {
        let timeout = self.schedule.connect_timeout();
        let until = self.runtime.now().saturating_add(timeout);
        match timeout_at(&self.runtime, until, self.runtime.connect(self.address)).await {
            Some(Ok(conn)) => {
                // The maximum length of a list limits the memory.
                let memory = BudgetShare::new(&MemoryBudget::unlimited());
                Ok(BufferedConnection::new(conn, memory))
            }
            Some(Err(error)) => Err(ListCallError::Connect(error)),
            None => Err(ListCallError::NoResponse),
        }
    }

    /// Sends the request and reads the list. Cancels the call with an error when nothing is received for too long, or when
    /// the response takes too long.
    async fn fetch(
        &self,
        connection: &mut BufferedConnection,
        target: &str,
    ) -> Result<List, ListCallError> {
        let mut exchange = pin!(self.exchange(connection, target));
        let mut progress = Progress::new(self);
        loop {
            let check_at = progress.next_check(self.runtime.now());
            if let Some(list) = timeout_at(&self.runtime, check_at, exchange.as_mut()).await {
                return list;
            }
            progress.check(self)?;
        }
    }

    /// Sends the request and reads the list, without a timeout.
    async fn exchange(
        &self,
        connection: &mut BufferedConnection,
        target: &str,
    ) -> Result<List, ListCallError> {
        let mut request = Vec::new();
        head::write(
            &mut request,
            &format!("GET {target} HTTP/1.1"),
            &[("Host", &self.address.to_string())],
        );
        connection
            .write(&[&request])
            .await
            .map_err(ListCallError::Write)?;
        let response = read_response_head(connection, &self.limits).await?;
        let body = read_response_body(connection, &response, &self.limits)
            .await
            .ok_or(ListCallError::Body)?;
        match response.status {
            200 => Ok(serde_json::from_slice(&body)?),
            status @ (429 | 503) => Err(ListCallError::Rejected(status)),
            status => Err(ListCallError::Status(status)),
        }
    }
}

/// The progress of a call's response, and the times at which the call is cancelled.
struct Progress {
    /// When bytes were last received. Before the first byte: the end of the wait that the call requested from discovery.
    last_progress: Micros,
    /// The number of received bytes at the last check.
    received_bytes: u64,
    /// How long after `last_progress` the call times out if it receives nothing.
    silence_timeout: Micros,
    check_interval: Micros,
    /// When the response must be complete; set when its first bytes are received.
    complete_by: Micros,
}

impl Progress {
    fn new(call: &ListCall) -> Progress {
        Progress {
            last_progress: call.runtime.now().saturating_add(call.wait),
            received_bytes: 0,
            silence_timeout: call.schedule.call_timeout(),
            check_interval: call.schedule.silence_timeout() / CHECKS_PER_TIMEOUT,
            complete_by: Micros::MAX,
        }
    }

    /// Returns when the call times out if it receives nothing more.
    fn times_out_at(&self) -> Micros {
        self.last_progress.saturating_add(self.silence_timeout)
    }

    fn next_check(&self, now: Micros) -> Micros {
        let next = now
            .max(self.last_progress)
            .saturating_add(self.check_interval);
        self.times_out_at().min(next).min(self.complete_by)
    }

    /// Records the bytes that were received. Returns an error if the call has timed out and must be cancelled.
    fn check(&mut self, call: &ListCall) -> Result<(), ListCallError> {
        let now = call.runtime.now();
        let received_bytes = call.received_bytes.load(Ordering::Relaxed);
        if received_bytes != self.received_bytes {
            self.last_progress = now;
            self.received_bytes = received_bytes;
            // A response that has begun makes no long pauses, so a shorter timeout applies to it.
            self.silence_timeout = call.schedule.silence_timeout();
            let complete_by = now.saturating_add(call.schedule.body_timeout());
            self.complete_by = self.complete_by.min(complete_by);
        }
        if now >= self.complete_by {
            return Err(ListCallError::SlowResponse);
        }
        if now >= self.times_out_at() {
            return Err(ListCallError::NoResponse);
        }
        Ok(())
    }
}
