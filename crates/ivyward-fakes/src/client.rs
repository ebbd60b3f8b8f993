//! A scripted client of a node's client interface: timeouts, retries, cancellations and disconnects.

use crate::event_log::{CallIdempotency, ClientOutcome, EventLog, ObservedEvent};
use crate::text;
use futures_lite::future::or;
use http::{HeaderMap, HeaderValue};
use ivyward_grpc::{encode, encode_timeout, Cause, Channel, Options, TIMEOUT_HEADER};
use ivyward_proto::front::{GenerateRequest, Tokens};
use ivyward_runtime::{timeout_at, Micros, RuntimeExt, RuntimeRef};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

/// How a client behaves. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// How long the client waits for the complete answer.
    pub client_timeout: Micros,
    /// The client abandons its call after this time. The call's stream is then reset.
    pub disconnect_after: Option<Micros>,
    /// The client abandons its call once it has received this many tokens.
    pub disconnect_at_token: Option<u32>,
    /// The client waits this long before it reads the next message.
    pub read_pause: Micros,
    /// The client does not state its timeout in the call, but applies it all the same.
    pub omit_deadline: bool,
}

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The message that is sent. Its `call_id` identifies this call.
    pub request: GenerateRequest,
    /// Id of the request, the same for all of the client's retries.
    pub operation: u64,
    /// How requests of the class may be repeated.
    pub idempotency: CallIdempotency,
    /// Index of the node in the script.
    pub node: usize,
    /// How the client behaves.
    pub behavior: ClientBehavior,
}

/// How a call ended, with the details that scripts check.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientResult {
    /// How the call ended for the client.
    pub outcome: ClientOutcome,
    /// gRPC status code; 0 if the response ended without a status or with OK.
    pub code: u32,
    /// The status message, or a description of the error.
    pub message: String,
    /// The delay after which the rejection allows a retry, in microseconds.
    pub pushback: Option<Micros>,
    /// Time from the start of the call to the first token, in microseconds.
    pub first_token_after: Option<Micros>,
    /// Time from the start to the end of the call, in microseconds.
    pub duration: Micros,
    /// Number of tokens received.
    pub tokens: u32,
}

/// A connection to a node's client interface.
#[derive(Clone)]
pub struct Client {
    runtime: RuntimeRef,
    log: EventLog,
    channel: Arc<Channel>,
}

/// Path of the only method of the client interface.
pub const GENERATE: &str = "/ivyward.front.v1.Front/Generate";

/// Returns the headers that state a client's timeout to the node.
pub fn deadline(client_timeout: Micros) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&encode_timeout(client_timeout)) {
        headers.insert(TIMEOUT_HEADER, value);
    }
    headers
}

/// Returns the metadata of a final status: the name of the outcome, and the delay before a retry in milliseconds.
pub fn final_metadata(metadata: &HeaderMap) -> (Option<&str>, Option<i64>) {
    let text = |name: &str| metadata.get(name).and_then(|v| v.to_str().ok());
    (
        text("ivyward-outcome"),
        text("grpc-retry-pushback-ms").and_then(|t| t.parse().ok()),
    )
}

impl Client {
    /// Connects to a node.
    ///
    /// # Errors
    /// Returns the error of the connection attempt.
    pub async fn connect(
        runtime: &RuntimeRef,
        log: &EventLog,
        address: SocketAddr,
    ) -> std::io::Result<Client> {
        Client::connect_with(runtime, log, address, Options::default().stream_window).await
    }
    /// Connects to a node with a limit on the number of bytes of each response that may arrive before they are read.
    ///
    /// # Errors
    /// Returns the error of the connection attempt.
    pub async fn connect_with(
        runtime: &RuntimeRef,
        log: &EventLog,
        address: SocketAddr,
        stream_window: u32,
    ) -> std::io::Result<Client> {
        let conn = runtime.connect(address).await?;
        let options = Options {
            streams: 4_096,
            stream_window,
            ..Options::default()
        };
        let channel = Channel::begin(runtime, conn, options)
            .await
            .map_err(std::io::Error::other)?;
        Ok(Client {
            runtime: runtime.clone(),
            log: log.clone(),
            channel: Arc::new(channel),
        })
    }
    /// Whether the connection can still be used for new calls.
    pub fn is_usable(&self) -> bool {
        self.channel.is_usable()
    }
    /// Closes the connection. Calls in progress fail.
    pub fn close(&self) {
        self.channel.close();
    }

    /// Sends a request and reads its response to the end.
    pub async fn send(&self, request: &ClientRequest) -> ClientResult {
        self.send_until(request, std::future::pending()).await
    }

    /// Like [`Client::send`], but the client also abandons its call as soon as `disconnect` completes: at an event instead
    /// of a time.
    pub async fn send_until(
        &self,
        request: &ClientRequest,
        disconnect: impl Future<Output = ()>,
    ) -> ClientResult {
        let (call, started) = (request.request.call_id, self.runtime.now());
        let until = started.saturating_add(request.behavior.client_timeout);
        self.log.add(ObservedEvent::CallStarted {
            call,
            operation: request.operation,
            node: request.node,
            idempotency: request.idempotency,
            until: self
                .log
                .now()
                .saturating_add(request.behavior.client_timeout),
        });
        let mut result = ClientResult {
            outcome: ClientOutcome::TimedOut,
            code: 0,
            message: String::new(),
            pushback: None,
            first_token_after: None,
            duration: 0,
            tokens: 0,
        };
        let disconnect_at = request
            .behavior
            .disconnect_after
            .map_or(Micros::MAX, |span| started.saturating_add(span));
        let reading = self.read_response(request, started, &mut result);
        let outcome = or(
            async {
                Some(
                    timeout_at(&self.runtime, until, reading)
                        .await
                        .unwrap_or(ClientOutcome::TimedOut),
                )
            },
            async {
                or(disconnect, self.runtime.sleep_until(disconnect_at)).await;
                None
            },
        )
        .await
        .unwrap_or(ClientOutcome::Disconnected);
        result.outcome = outcome;
        result.duration = self.runtime.now() - started;
        self.log.add(ObservedEvent::CallEnded { call, outcome });
        result
    }

    async fn read_response(
        &self,
        request: &ClientRequest,
        started: Micros,
        result: &mut ClientResult,
    ) -> ClientOutcome {
        let headers = match request.behavior.omit_deadline {
            true => HeaderMap::new(),
            false => deadline(request.behavior.client_timeout),
        };
        let mut call = match self
            .channel
            .call(GENERATE, encode(&request.request), headers)
            .await
        {
            Ok(call) => call,
            Err(e) => {
                result.message = e.to_string();
                return ClientOutcome::Unreachable;
            }
        };
        let digest = text::digest(&request.request.prompt);
        let length = text::length(digest, request.request.max_output_tokens);
        loop {
            match call.next::<Tokens>().await {
                Ok(Some(run)) => {
                    if result.first_token_after.is_none() {
                        result.first_token_after = Some(self.runtime.now() - started);
                        self.log.add(ObservedEvent::FirstTokenReceived {
                            call: request.request.call_id,
                        });
                    }
                    let matches_expected = run.first_index == result.tokens
                        && run
                            .ids
                            .iter()
                            .zip(result.tokens..)
                            .all(|(id, i)| *id == text::token(digest, i));
                    result.tokens += run.ids.len() as u32;
                    if !matches_expected || result.tokens > length {
                        result.message = format!(
                            "unexpected tokens in the message that starts at token {}",
                            run.first_index
                        );
                        return ClientOutcome::Wrong;
                    }
                    if request
                        .behavior
                        .disconnect_at_token
                        .is_some_and(|at| result.tokens >= at)
                    {
                        return ClientOutcome::Disconnected;
                    }
                    if request.behavior.read_pause > 0 {
                        self.runtime.sleep(request.behavior.read_pause).await;
                    }
                }
                Ok(None) if result.tokens == length => return ClientOutcome::Served,
                Ok(None) => {
                    result.message = format!(
                        "the response ended after {} of {length} tokens",
                        result.tokens
                    );
                    return ClientOutcome::Wrong;
                }
                Err(e) => {
                    result.message = e.to_string();
                    let Cause::Status(status) = e.cause else {
                        return ClientOutcome::Unreachable;
                    };
                    result.code = status.code;
                    let (outcome_name, pushback) = final_metadata(&status.metadata);
                    let detail = status.metadata.contains_key("grpc-status-details-bin");
                    // The kind of outcome is derived from the status code, pushback and details, as an independent client
                    // would do. The name of the outcome must agree.
                    let rejected =
                        matches!(status.code, 8 | 14) && pushback.is_some_and(|p| p >= 0) && detail;
                    result.pushback = pushback.filter(|_| rejected).map(|ms| ms as u64 * 1_000);
                    return match (rejected, outcome_name) {
                        (true, Some("refused")) => ClientOutcome::Rejected,
                        (false, Some("failed")) => ClientOutcome::Failed,
                        _ => ClientOutcome::Wrong,
                    };
                }
            }
        }
    }
}
