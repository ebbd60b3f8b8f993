//! One call to discovery, from its connection to the list in its response.

use super::error::ListCallError;
use super::list::List;
use crate::buffered_connection::{read_response_body, read_response_head, BufferedConnection};
use ivyward::core::interface::Micros;
use ivyward::core::long_poll::LongPoll;
use ivyward::runtime::{timeout_at, RuntimeRef};
use ivyward_http1::{head, Limits};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The progress of a call is checked so often within the time that it may be silent.
const CHECKS_PER_TIMEOUT: Micros = 4;

/// What a call asks for.
pub(super) enum ListRequest {
    /// The full list, at once.
    Full,
    /// Changes after a version, as soon as there are some: on the connection of the call before, or on a new one.
    ChangesAfter {
        version: u64,
        connection: Option<BufferedConnection>,
    },
}

/// A list, and the connection that brought it.
pub(super) struct ListResponse {
    pub(super) connection: BufferedConnection,
    pub(super) list: List,
}

/// What one call needs.
pub(super) struct ListCall {
    pub(super) runtime: RuntimeRef,
    pub(super) address: SocketAddr,
    pub(super) limits: Limits,
    pub(super) schedule: LongPoll,
    /// How long discovery is asked to wait for changes.
    pub(super) wait: Micros,
    /// Counts the bytes of the response.
    pub(super) received_bytes: Arc<AtomicU64>,
}

impl ListCall {
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
            Some(Ok(conn)) => Ok(BufferedConnection::new(conn)),
            Some(Err(error)) => Err(ListCallError::Connect(error)),
            None => Err(ListCallError::Silent),
        }
    }

    /// Sends the request and reads the list. Given up when nothing is received for too long, or when the response takes too
    /// long.
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

    /// Sends the request and reads the list, however long that takes.
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
            .write(&request, &[])
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

/// How the response to a call progresses.
struct Progress {
    /// When bytes were received last; before the first byte, until when discovery may wait itself.
    last_progress: Micros,
    received_bytes: u64,
    /// The call is silent without a byte for this span.
    silence_timeout: Micros,
    check_interval: Micros,
    /// When the response has to be complete.
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

    fn silent_at(&self) -> Micros {
        self.last_progress.saturating_add(self.silence_timeout)
    }

    fn next_check(&self, now: Micros) -> Micros {
        let next = now
            .max(self.last_progress)
            .saturating_add(self.check_interval);
        self.silent_at().min(next).min(self.complete_by)
    }

    /// Takes note of bytes that were received; an error when the call is to be given up.
    fn check(&mut self, call: &ListCall) -> Result<(), ListCallError> {
        let now = call.runtime.now();
        let received_bytes = call.received_bytes.load(Ordering::Relaxed);
        if received_bytes != self.received_bytes {
            self.last_progress = now;
            self.received_bytes = received_bytes;
            // A response that has begun does not pause for long.
            self.silence_timeout = call.schedule.silence_timeout();
            let complete_by = now.saturating_add(call.schedule.body_timeout());
            self.complete_by = self.complete_by.min(complete_by);
        }
        if now >= self.complete_by {
            return Err(ListCallError::Slow);
        }
        if now >= self.silent_at() {
            return Err(ListCallError::Silent);
        }
        Ok(())
    }
}
