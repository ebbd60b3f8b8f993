//! One attempt at an engine, from opening the connection to the outcome. Every attempt has exactly one outcome.

use super::connection::EngineConnection;
use super::endpoint::{CallError, HttpEngineClient};
use super::event_parser::cached_tokens;
use super::stream::{StreamRelay, StreamResult};
use crate::body_buffer::Prompt;
use crate::buffered_connection::{
    read_response_body, read_response_head, ReadHeadError, ResponseHeadError,
};
use crate::call::{HttpCall, Progress};
use crate::config::LIMITS;
use futures_lite::future::{or, poll_fn};
use ivyward::core::connection_reuse::{self, AttemptTraits, DeliveryCheck};
use ivyward::core::interface::{LoadReport, Micros, Outcome};
use ivyward::engines::{AttemptRequest, AttemptResult, WaitResult};
use ivyward::runtime::{timeout_at, BoxFuture, RuntimeRef};
use ivyward_http1::{head, ResponseHead};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

/// The timeout for the rest of a response whose outcome is already known, and for the engine's close after an attempt was
/// abandoned. 50 ms cover a few round trips and a pause of the engine; they depend on networks and machines, not on a
/// deployment's deadlines.
const ABANDON_TIMEOUT: Micros = 50_000;

/// The timeout for the close of an engine that accepts no new connections: 10 ms, one round trip in case the engine is
/// reachable after all.
const UNREACHABLE_TIMEOUT: Micros = 10_000;

/// Why an attempt got no response head.
#[derive(Debug, thiserror::Error)]
enum AwaitError {
    /// The response is overdue, and the engine accepts no new connection.
    #[error("the engine accepts no new connection while its response is overdue")]
    Unreachable,
    /// The connection ended, or no valid response head was received.
    #[error(transparent)]
    Head(#[from] ResponseHeadError),
}

/// Returns the result of an attempt that was cancelled, or whose client disconnected, before the request was sent.
fn not_sent() -> AttemptResult {
    AttemptResult::new(Outcome::NotSent, "cancelled before it was sent")
}

/// One attempt at one engine.
pub(super) struct Attempt<'a> {
    pub(super) client: &'a HttpEngineClient,
    pub(super) request: &'a AttemptRequest,
    pub(super) call: &'a HttpCall,
}

impl Attempt<'_> {
    /// Runs the attempt and returns its outcome.
    pub(super) async fn run(&self) -> AttemptResult {
        match self.run_steps().await {
            Ok(result) | Err(result) => result,
        }
    }

    /// Runs the steps of the attempt. `Err` is the result of an attempt that ended before a response head was received.
    async fn run_steps(&self) -> Result<AttemptResult, AttemptResult> {
        self.check_still_needed()?;
        let mut timer = self.runtime().sleep_until(self.request.send_deadline);
        let traits = self.traits();
        let mut connection = self.connect(&mut timer, &traits).await?;
        self.send(&mut connection, &mut timer).await?;
        self.call.set_progress(Progress::Sent(self.request.attempt));
        timer = self.runtime().sleep_until(self.request.deadline);
        let check = self.delivery_check(&traits, &connection);
        let response = self
            .receive_head(&mut connection, &mut timer, check)
            .await?;
        Ok(self.handle_response(connection, response, timer).await)
    }

    fn runtime(&self) -> &RuntimeRef {
        &self.client.pool.runtime
    }

    /// Ends an attempt whose client has disconnected or whose deadline has passed.
    fn check_still_needed(&self) -> Result<(), AttemptResult> {
        if self.call.is_disconnected() {
            return Err(not_sent());
        }
        if self.request.deadline <= self.runtime().now() {
            return Err(AttemptResult::new(
                Outcome::NotSent,
                "the deadline had passed before it was sent",
            ));
        }
        Ok(())
    }

    /// Returns whether sending the request twice does no harm: it is a prefill or idempotent.
    fn is_repeatable(&self) -> bool {
        self.request.prefill_only || self.call.is_idempotent
    }

    fn traits(&self) -> AttemptTraits {
        let release_within = self.request.context.settings().router.release_within;
        AttemptTraits {
            repeatable: self.is_repeatable(),
            repeats_unknown_outcome: self.call.repeats_unknown_outcome(),
            kv_state_timeout: self.request.kv_state.as_ref().map(|_| release_within),
            last_response: self.client.endpoint.last_response(),
        }
    }

    /// Takes an idle connection from the pool or opens one.
    async fn connect(
        &self,
        timer: &mut BoxFuture<()>,
        traits: &AttemptTraits,
    ) -> Result<EngineConnection, AttemptResult> {
        let reuse = connection_reuse::reuse_policy(self.runtime().now(), traits);
        let connecting = self.client.connect(self.request.send_deadline, reuse, 0);
        match self.request.wait_cancel_first(timer, connecting).await {
            WaitResult::Completed(Ok(connection)) => Ok(connection),
            WaitResult::Completed(Err(error)) => Err(connect_failed(&error)),
            WaitResult::TimedOut => {
                self.client.record_failure();
                Err(AttemptResult::new(
                    Outcome::ConnectFailed,
                    "no connection before the send deadline",
                ))
            }
            WaitResult::Cancelled(_) => Err(not_sent()),
        }
    }

    /// Sends the request to its last byte.
    async fn send(
        &self,
        connection: &mut EngineConnection,
        timer: &mut BoxFuture<()>,
    ) -> Result<(), AttemptResult> {
        // The engine may have begun to drain while the connection was opened.
        if self.client.endpoint.is_draining() {
            let detail = "the engine drains or was removed";
            return Err(AttemptResult::new(Outcome::NotSent, detail));
        }
        let prompt = self.call.prompt().ok_or_else(not_sent)?;
        let head = self.request_head(&prompt);
        let writing = self.while_connected(self.write(connection, &head, &prompt));
        match self.request.wait_cancel_first(timer, writing).await {
            WaitResult::Completed(Some(Ok(()))) => Ok(()),
            WaitResult::Completed(Some(Err(error))) => Err(self.write_failed(connection, &error)),
            WaitResult::TimedOut => Err(AttemptResult::new(
                Outcome::ConnectFailed,
                "the engine did not read the request before the send deadline",
            )),
            WaitResult::Completed(None) | WaitResult::Cancelled(_) => Err(not_sent()),
        }
    }

    /// Builds the head of the request. `X-Timeout-Ms` is the time left until the attempt's deadline, at least 1 ms.
    fn request_head(&self, prompt: &Arc<Prompt>) -> Vec<u8> {
        let time_left = self.request.deadline.saturating_sub(self.runtime().now());
        let timeout_ms = (time_left / 1_000).max(1).to_string();
        let host = self.client.endpoint.address.to_string();
        let length = prompt.body.length.to_string();
        let mut headers = vec![
            ("Host", host.as_str()),
            ("X-Request-ID", self.call.id.as_str()),
            ("X-Timeout-Ms", &timeout_ms),
            ("Content-Type", "application/json"),
            ("Content-Length", &length),
        ];
        // Engines recognise the retries of a request only by this key; without it a retry could have its effect twice.
        let idempotency_key = self.call.idempotency_key.as_deref();
        headers.extend(idempotency_key.map(|key| ("Idempotency-Key", key)));
        let request_line = format!("{} {} HTTP/1.1", self.call.method, self.call.target);
        let mut request = Vec::with_capacity(256);
        head::write(&mut request, &request_line, &headers);
        request
    }

    /// Writes the request. If the request may not be sent twice, its last byte is delayed by two round trips: an idle
    /// connection that the engine has closed, or a connection that a busy engine closes at the first bytes of a request,
    /// fails within that time, and an engine without the last byte cannot have run the request.
    async fn write(
        &self,
        connection: &mut EngineConnection,
        head: &[u8],
        prompt: &Prompt,
    ) -> io::Result<()> {
        connection.has_pending_request = true;
        let mut parts: Vec<&[u8]> = vec![head];
        parts.extend(prompt.body.parts());
        let last_part = parts.last_mut().filter(|_| prompt.body.length > 0);
        let Some(last_part) = last_part.filter(|_| !self.is_repeatable()) else {
            return connection.write(&parts).await;
        };
        let (all_but_last, last_byte) = last_part.split_at(last_part.len() - 1);
        *last_part = all_but_last;
        connection.write(&parts).await?;
        let until = self
            .runtime()
            .now()
            .saturating_add(2 * connection.round_trip);
        match timeout_at(self.runtime(), until, connection.fill()).await {
            // An engine that accepts the request sends nothing before it has the last byte.
            None => connection.write(&[last_byte]).await,
            Some(Ok(received)) if received > 0 => connection.write(&[last_byte]).await,
            Some(Ok(_)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Some(Err(error)) => Err(error),
        }
    }

    /// Returns the result of a failed write. The last byte was never sent, so the request never ran.
    fn write_failed(&self, connection: &EngineConnection, error: &io::Error) -> AttemptResult {
        self.client.pool.record_use(connection.idle_time, true);
        // Engines close idle connections in normal operation; this does not count as a failure of the engine.
        let outcome = match connection.idle_time {
            Some(_) => Outcome::NotSent,
            None => Outcome::ConnectFailed,
        };
        AttemptResult::new(outcome, error.to_string())
    }

    /// Polls `sending` only while the client is connected, and returns `None` once it has disconnected. On a busy node, or
    /// with a slow connection attempt or a slow write, an attempt could otherwise begin after its client has disconnected.
    /// This holds even if the deployment does not allow attempts to be cancelled: the rest of the request is not sent.
    async fn while_connected<T>(&self, sending: impl Future<Output = T>) -> Option<T> {
        let mut sending = pin!(sending);
        poll_fn(|cx| match self.call.is_disconnected() {
            true => Poll::Ready(None),
            false => sending.as_mut().poll(cx).map(Some),
        })
        .await
    }

    /// Returns when to check that a request was delivered: only for a request on a reused connection whose KV state is
    /// reserved at another engine.
    fn delivery_check(
        &self,
        traits: &AttemptTraits,
        connection: &EngineConnection,
    ) -> Option<DeliveryCheck> {
        connection.idle_time?;
        let within = traits.kv_state_timeout?;
        Some(connection_reuse::delivery_check(
            self.runtime().now(),
            within,
        ))
    }

    /// Waits for the head of the response.
    async fn receive_head(
        &self,
        connection: &mut EngineConnection,
        timer: &mut BoxFuture<()>,
        check: Option<DeliveryCheck>,
    ) -> Result<ResponseHead, AttemptResult> {
        let head = match check {
            Some(check) => {
                let checked = self.read_head_checking_delivery(connection, check);
                self.request.wait(timer, checked).await
            }
            None => {
                let unchecked = async { Ok(read_response_head(connection, &LIMITS).await?) };
                self.request.wait(timer, unchecked).await
            }
        };
        let error = match head {
            WaitResult::Completed(Ok(response)) => {
                self.client.pool.record_use(connection.idle_time, false);
                self.client.record_response();
                return Ok(response);
            }
            WaitResult::Completed(Err(error)) => error,
            WaitResult::TimedOut => {
                let detail = "no response head before the deadline";
                return Err(self.abandon(connection, Outcome::TimedOut, detail).await);
            }
            WaitResult::Cancelled(_) => {
                let detail = "cancelled while waiting for the response head";
                return Err(self.abandon(connection, Outcome::Cancelled, detail).await);
            }
        };
        Err(self.head_failed(connection, &error).await)
    }

    /// Waits for the head of the response, and checks in parallel that the engine is reachable by opening a new connection.
    /// A request that is sent just after a network partition began does not arrive; without the check, the KV state that it
    /// was to fetch would stay reserved until the deadline of the attempt.
    async fn read_head_checking_delivery(
        &self,
        connection: &mut EngineConnection,
        check: DeliveryCheck,
    ) -> Result<ResponseHead, AwaitError> {
        let mut head = pin!(read_response_head(connection, &LIMITS));
        if let Some(head) = timeout_at(self.runtime(), check.connect_at, head.as_mut()).await {
            return Ok(head?);
        }
        let received = async { Ok(head.as_mut().await?) };
        let unreachable = async {
            if self.client.is_reachable(check.reachable_by).await {
                std::future::pending::<()>().await;
            }
            Err(AwaitError::Unreachable)
        };
        or(received, unreachable).await
    }

    /// Returns the result of an attempt without a response head.
    async fn head_failed(
        &self,
        connection: &mut EngineConnection,
        error: &AwaitError,
    ) -> AttemptResult {
        let detail = error.to_string();
        match error {
            AwaitError::Unreachable => {
                self.client.record_failure();
                connection
                    .abandon(self.runtime(), UNREACHABLE_TIMEOUT)
                    .await;
                AttemptResult::new(Outcome::TimedOut, detail)
            }
            AwaitError::Head(ResponseHeadError::Head(
                ReadHeadError::Closed | ReadHeadError::Io(_),
            )) => {
                self.client.pool.record_use(connection.idle_time, true);
                AttemptResult::new(Outcome::Reset, detail)
            }
            AwaitError::Head(
                ResponseHeadError::Head(ReadHeadError::Invalid(_) | ReadHeadError::OutOfMemory(_))
                | ResponseHeadError::TooManyInterimResponses,
            ) => self.abandon(connection, Outcome::Error, detail).await,
        }
    }

    /// Reads the rest of the response according to its status.
    async fn handle_response(
        &self,
        mut connection: EngineConnection,
        response: ResponseHead,
        mut timer: BoxFuture<()>,
    ) -> AttemptResult {
        let report = self
            .client
            .load_report(response.headers.text("x-server-load"));
        match (response.status, self.request.prefill_only) {
            (200, false) => {
                return self
                    .relay_stream(connection, response, report, &mut timer)
                    .await
            }
            (202, true) => {
                return self
                    .read_prefill_result(connection, &response, report, &mut timer)
                    .await
            }
            _ => {}
        }
        let until = self.runtime().now().saturating_add(ABANDON_TIMEOUT);
        let body = read_response_body(&mut connection, &response, &LIMITS);
        if let Some(Some(_)) = timeout_at(self.runtime(), until, body).await {
            self.client
                .return_connection(connection, response.headers.is_keep_alive());
        }
        AttemptResult {
            report,
            ..error_result(&response)
        }
    }

    /// Reads the body of a response to a prefill-only request.
    async fn read_prefill_result(
        &self,
        mut connection: EngineConnection,
        response: &ResponseHead,
        report: LoadReport,
        timer: &mut BoxFuture<()>,
    ) -> AttemptResult {
        let reading = read_response_body(&mut connection, response, &LIMITS);
        let (outcome, detail) = match self.request.wait(timer, reading).await {
            WaitResult::Completed(Some(body)) => {
                self.client
                    .return_connection(connection, response.headers.is_keep_alive());
                let result: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
                return AttemptResult {
                    cached_tokens: cached_tokens(&result),
                    report,
                    ..AttemptResult::new(Outcome::Prefilled, "read")
                };
            }
            WaitResult::Completed(None) => (Outcome::Error, "malformed response to a prefill"),
            WaitResult::TimedOut => (
                Outcome::TimedOut,
                "prefill response incomplete at the deadline",
            ),
            WaitResult::Cancelled(_) => (
                Outcome::Cancelled,
                "cancelled while reading the response to a prefill",
            ),
        };
        self.abandon(&mut connection, outcome, detail).await
    }

    /// Forwards a streamed response to the client.
    async fn relay_stream(
        &self,
        mut connection: EngineConnection,
        response: ResponseHead,
        report: LoadReport,
        timer: &mut BoxFuture<()>,
    ) -> AttemptResult {
        let keep_alive = response.headers.is_keep_alive();
        let mut relay = StreamRelay::new(self.client, self.request, self.call, response.framing);
        // A head may be long, and is not needed while the stream is forwarded.
        drop(response);
        match relay.run(&mut connection, timer, report).await {
            StreamResult::Ended(result) => {
                if result.outcome == Outcome::Served {
                    self.client.return_connection(connection, keep_alive);
                }
                result
            }
            StreamResult::Abandoned { outcome, detail } => {
                self.abandon(&mut connection, outcome, detail).await
            }
        }
    }

    /// Ends the attempt while its engine may still be processing it, and waits for the engine to close the connection.
    async fn abandon(
        &self,
        connection: &mut EngineConnection,
        outcome: Outcome,
        detail: impl Into<String>,
    ) -> AttemptResult {
        connection.abandon(self.runtime(), ABANDON_TIMEOUT).await;
        AttemptResult::new(outcome, detail)
    }
}

/// Returns the result of an attempt without a connection.
fn connect_failed(error: &CallError) -> AttemptResult {
    let outcome = match error.is_local() {
        // A local failure does not indicate a failure of the engine, which was not contacted.
        true => Outcome::NotSent,
        false => Outcome::ConnectFailed,
    };
    AttemptResult::new(outcome, error.to_string())
}

/// Returns the result of an attempt whose response is an error. `X-Not-Processed: 1` states that the engine ran nothing.
fn error_result(response: &ResponseHead) -> AttemptResult {
    let never_ran = response.headers.text("x-not-processed") == Some("1");
    match response.status {
        status @ (503 | 504) if never_ran => {
            AttemptResult::new(Outcome::Rejected, format!("rejected with status {status}"))
        }
        410 if never_ran => AttemptResult::new(
            Outcome::KvCacheMiss,
            "no KV state to fetch at the prefill engine",
        ),
        status => AttemptResult::new(Outcome::Error, format!("the engine answered {status}")),
    }
}
