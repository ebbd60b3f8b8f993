//! One attempt at an engine, from its connection to its one outcome.

use super::connection::EngineConnection;
use super::endpoint::{CallError, HttpEngineClient};
use super::event_parser::cached_tokens;
use super::stream::{StreamRelay, StreamResult};
use crate::buffered_connection::{read_response_body, read_response_head, ResponseHeadError};
use crate::call::{HttpCall, Progress};
use crate::config::LIMITS;
use crate::prompt_budget::Prompt;
use futures_lite::future::{or, poll_fn};
use ivyward::core::connection_reuse::{self, AttemptTraits, DeliveryCheck};
use ivyward::core::interface::{LoadReport, Micros, Outcome};
use ivyward::engines::{AttemptRequest, AttemptResult, WaitResult};
use ivyward::runtime::{before, BoxFuture, RuntimeRef};
use ivyward_http1::{head, Answer};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

/// How long the rest of a response that is known already, or the engine's close after an attempt was given up, is waited
/// for. Some round trips and an engine's own pause: a matter of networks and machines, not of a deployment's deadlines.
const ABANDON_TIMEOUT: Micros = 50_000;

/// The same for an engine that takes no new connections: a round trip, should it be reachable all the same.
const UNREACHABLE_TIMEOUT: Micros = 10_000;

/// Why an attempt has no response head.
#[derive(Debug, thiserror::Error)]
enum AwaitError {
    /// The engine takes no new connection while its response is overdue.
    #[error("the engine cannot be reached any more")]
    Unreachable,
    /// The connection ended, or brought no response head.
    #[error(transparent)]
    Head(#[from] ResponseHeadError),
}

/// The result of an attempt that ended before it was sent because nobody waits for it.
fn not_sent() -> AttemptResult {
    AttemptResult::new(Outcome::NotSent, "called off before it was sent")
}

/// One attempt at one engine.
pub(super) struct Attempt<'a> {
    pub(super) client: &'a HttpEngineClient,
    pub(super) request: &'a AttemptRequest,
    pub(super) call: &'a HttpCall,
}

impl Attempt<'_> {
    /// Runs the attempt to its one outcome.
    pub(super) async fn run(&self) -> AttemptResult {
        match self.run_steps().await {
            Ok(result) | Err(result) => result,
        }
    }

    /// The steps of an attempt; `Err` is the result of one that ended early.
    async fn run_steps(&self) -> Result<AttemptResult, AttemptResult> {
        self.check_wanted()?;
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

    /// Ends an attempt whose client has disconnected or whose time is over.
    fn check_wanted(&self) -> Result<(), AttemptResult> {
        if self.call.is_disconnected() {
            return Err(not_sent());
        }
        if self.request.deadline <= self.runtime().now() {
            return Err(AttemptResult::new(Outcome::NotSent, "no time left"));
        }
        Ok(())
    }

    /// Whether the attempt may be sent again without harm.
    fn is_repeatable(&self) -> bool {
        self.request.prefill_only || self.call.is_idempotent
    }

    fn traits(&self) -> AttemptTraits {
        let release_within = self.request.context.settings().router.release_within;
        AttemptTraits {
            repeatable: self.is_repeatable(),
            repeats_unknown_outcome: self.call.repeats_effect(),
            kv_state_timeout: self.request.kv_state.as_ref().map(|_| release_within),
            last_response: self.client.endpoint.last_response(),
        }
    }

    /// Takes a connection for the request.
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
                    "no connection in time",
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
            let detail = "the engine drains or is gone";
            return Err(AttemptResult::new(Outcome::NotSent, detail));
        }
        let prompt = self.call.prompt().ok_or_else(not_sent)?;
        let head = self.request_head(&prompt);
        let writing = self.while_connected(self.write(connection, &head, &prompt.bytes));
        match self.request.wait_cancel_first(timer, writing).await {
            WaitResult::Completed(Some(Ok(()))) => Ok(()),
            WaitResult::Completed(Some(Err(error))) => Err(self.write_failed(connection, &error)),
            WaitResult::TimedOut => Err(AttemptResult::new(
                Outcome::ConnectFailed,
                "the engine does not take the request",
            )),
            WaitResult::Completed(None) | WaitResult::Cancelled(_) => Err(not_sent()),
        }
    }

    /// The head of the request, with the time that is left for its response.
    fn request_head(&self, prompt: &Arc<Prompt>) -> Vec<u8> {
        let time_left = self.request.deadline.saturating_sub(self.runtime().now());
        let timeout_ms = (time_left / 1_000).max(1).to_string();
        let host = self.client.endpoint.address.to_string();
        let length = prompt.bytes.len().to_string();
        let mut headers = vec![
            ("Host", host.as_str()),
            ("X-Request-ID", &self.call.id),
            ("X-Timeout-Ms", &timeout_ms),
            ("Content-Type", "application/json"),
            ("Content-Length", &length),
        ];
        // Guards against an effect that happens twice: an engine recognises the retries of a request by this key alone.
        let idempotency_key = self.call.idempotency_key.as_deref();
        headers.extend(idempotency_key.map(|key| ("Idempotency-Key", key)));
        let request_line = format!("{} {} HTTP/1.1", self.call.method, self.call.target);
        let mut request = Vec::with_capacity(256);
        head::write(&mut request, &request_line, &headers);
        request
    }

    /// Writes the request. The last byte of one that may not be sent again is held back for two round trips: a connection
    /// that is closed at the first bytes of a request, as kept ones are, or under a busy engine, has shown it by then, and
    /// nothing can have run.
    async fn write(
        &self,
        connection: &mut EngineConnection,
        head: &[u8],
        body: &[u8],
    ) -> io::Result<()> {
        connection.has_pending_request = true;
        if self.is_repeatable() || body.is_empty() {
            return connection.write(head, body).await;
        }
        let (most, last_byte) = body.split_at(body.len() - 1);
        connection.write(head, most).await?;
        let until = self
            .runtime()
            .now()
            .saturating_add(2 * connection.round_trip);
        match before(self.runtime(), until, connection.fill()).await {
            // An engine that takes the request is silent.
            None => connection.write(last_byte, &[]).await,
            Some(Ok(received)) if received > 0 => connection.write(last_byte, &[]).await,
            Some(Ok(_)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Some(Err(error)) => Err(error),
        }
    }

    /// The last byte was never sent, so the request never ran; the connection is closed with the rest of it.
    fn write_failed(&self, connection: &EngineConnection, error: &io::Error) -> AttemptResult {
        self.client.pool.record_use(connection.idle_time, true);
        // That its engine closed an idle connection says nothing of the engine.
        let outcome = match connection.idle_time {
            Some(_) => Outcome::NotSent,
            None => Outcome::ConnectFailed,
        };
        AttemptResult::new(outcome, error.to_string())
    }

    /// Runs `sending` only while the client is connected. Guards against an attempt that begins after its client has
    /// disconnected, where a node is busy, a connection is opened late or a body is sent slowly: whether attempts may be
    /// cancelled or not, what was not sent by then stays here.
    async fn while_connected<T>(&self, sending: impl Future<Output = T>) -> Option<T> {
        let mut sending = pin!(sending);
        poll_fn(|cx| match self.call.is_disconnected() {
            true => Poll::Ready(None),
            false => sending.as_mut().poll(cx).map(Some),
        })
        .await
    }

    /// When to check that a request on a reused connection, for which a state waits at another engine, was delivered.
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
    ) -> Result<Answer, AttemptResult> {
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
                let detail = "no answer in time";
                return Err(self.abandon(connection, Outcome::TimedOut, detail).await);
            }
            WaitResult::Cancelled(_) => {
                let detail = "called off";
                return Err(self.abandon(connection, Outcome::Cancelled, detail).await);
            }
        };
        Err(self.head_failed(connection, &error).await)
    }

    /// Waits for the head of the response, and checks meanwhile that the engine is reachable. Guards against a request that
    /// was sent into a network partition which had just begun: it has not arrived, and the state that it was to fetch would
    /// wait for as long as the request.
    async fn read_head_checking_delivery(
        &self,
        connection: &mut EngineConnection,
        check: DeliveryCheck,
    ) -> Result<Answer, AwaitError> {
        let mut head = pin!(read_response_head(connection, &LIMITS));
        if let Some(head) = before(self.runtime(), check.connect_at, head.as_mut()).await {
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

    /// The result of an attempt without a response head.
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
            AwaitError::Head(ResponseHeadError::Closed | ResponseHeadError::Io(_)) => {
                self.client.pool.record_use(connection.idle_time, true);
                AttemptResult::new(Outcome::Reset, detail)
            }
            AwaitError::Head(
                ResponseHeadError::Invalid(_) | ResponseHeadError::TooManyInterimResponses,
            ) => self.abandon(connection, Outcome::Error, detail).await,
        }
    }

    /// Reads the rest of the response as its status asks for.
    async fn handle_response(
        &self,
        mut connection: EngineConnection,
        response: Answer,
        mut timer: BoxFuture<()>,
    ) -> AttemptResult {
        let report = self.client.load_report(response.head.text("x-server-load"));
        match (response.status, self.request.prefill_only) {
            (200, false) => {
                return self
                    .relay_stream(connection, &response, report, &mut timer)
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
        if let Some(Some(_)) = before(self.runtime(), until, body).await {
            self.client.keep_idle(connection, response.head.keeps());
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
        response: &Answer,
        report: LoadReport,
        timer: &mut BoxFuture<()>,
    ) -> AttemptResult {
        let reading = read_response_body(&mut connection, response, &LIMITS);
        let (outcome, detail) = match self.request.wait(timer, reading).await {
            WaitResult::Completed(Some(body)) => {
                self.client.keep_idle(connection, response.head.keeps());
                let result: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
                return AttemptResult {
                    cached_tokens: cached_tokens(&result),
                    report,
                    ..AttemptResult::new(Outcome::Prefilled, "read")
                };
            }
            WaitResult::Completed(None) => (Outcome::Error, "the answer to a read is spoilt"),
            WaitResult::TimedOut => (Outcome::TimedOut, "the end of a read did not come"),
            WaitResult::Cancelled(_) => (Outcome::Cancelled, "called off"),
        };
        self.abandon(&mut connection, outcome, detail).await
    }

    /// Passes a streamed response on to the client.
    async fn relay_stream(
        &self,
        mut connection: EngineConnection,
        response: &Answer,
        report: LoadReport,
        timer: &mut BoxFuture<()>,
    ) -> AttemptResult {
        let mut relay = StreamRelay::new(self.client, self.request, self.call, response.framing);
        match relay.run(&mut connection, timer, report).await {
            StreamResult::Ended(result) => {
                if result.outcome == Outcome::Served {
                    self.client.keep_idle(connection, response.head.keeps());
                }
                result
            }
            StreamResult::Abandoned { outcome, detail } => {
                self.abandon(&mut connection, outcome, detail).await
            }
        }
    }

    /// Gives the attempt up while its engine may still work on it.
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

/// The result of an attempt without a connection.
fn connect_failed(error: &CallError) -> AttemptResult {
    let outcome = match error.is_local() {
        // Nothing is known of an engine that was not asked.
        true => Outcome::NotSent,
        false => Outcome::ConnectFailed,
    };
    AttemptResult::new(outcome, error.to_string())
}

/// The result of an attempt whose response is an error.
fn error_result(response: &Answer) -> AttemptResult {
    let never_ran = response.head.text("x-not-processed") == Some("1");
    match response.status {
        status @ (503 | 504) if never_ran => {
            AttemptResult::new(Outcome::Rejected, format!("turned away with {status}"))
        }
        410 if never_ran => AttemptResult::new(Outcome::KvCacheMiss, "no state to fetch"),
        status => AttemptResult::new(Outcome::Error, format!("status {status}")),
    }
}
