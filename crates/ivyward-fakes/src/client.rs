//! A scripted client of a node's door: patience, retries, cancels and impatience.

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

/// How a client behaves. Times are microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// How long it waits for the whole answer.
    pub client_timeout: Micros,
    /// Leaves without a word after this time.
    pub disconnect_after: Option<Micros>,
    /// Leaves after so many tokens.
    pub disconnect_at_token: Option<u32>,
    /// Waits so long before it takes the next message.
    pub read_pause: Micros,
    /// Sends no deadline with its call, and waits as long all the same.
    pub omit_deadline: bool,
}

/// A request as a client makes it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// What is sent; `call_id` names this try.
    pub request: GenerateRequest,
    /// The same for all tries of one request.
    pub operation: u64,
    /// How far its class may be repeated.
    pub idempotency: CallIdempotency,
    /// Which node, as the script counts them.
    pub node: usize,
    /// The client's ways.
    pub behavior: ClientBehavior,
}

/// How a try ended, with what a script wants to know.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientResult {
    /// How.
    pub outcome: ClientOutcome,
    /// gRPC's status code; 0 where none came.
    pub code: u32,
    /// What the status said.
    pub message: String,
    /// When the refusal says to come back.
    pub pushback: Option<Micros>,
    /// From the call to the first token.
    pub first_token_after: Option<Micros>,
    /// From the call to the end.
    pub duration: Micros,
    /// Tokens that came.
    pub tokens: u32,
}

/// A connection to a node's door.
#[derive(Clone)]
pub struct Client {
    runtime: RuntimeRef,
    log: EventLog,
    channel: Arc<Channel>,
}

/// The door's one method.
pub const GENERATE: &str = "/ivyward.front.v1.Front/Generate";

/// A call's headers that tell the door how long its client waits.
pub fn deadline(client_timeout: Micros) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&encode_timeout(client_timeout)) {
        headers.insert(TIMEOUT_HEADER, value);
    }
    headers
}

/// What a final answer says beside its status: its outcome, and when to come back, in milliseconds.
pub fn final_metadata(metadata: &HeaderMap) -> (Option<&str>, Option<i64>) {
    let text = |name: &str| metadata.get(name).and_then(|v| v.to_str().ok());
    (
        text("ivyward-outcome"),
        text("grpc-retry-pushback-ms").and_then(|t| t.parse().ok()),
    )
}

impl Client {
    /// Connects to a door.
    ///
    /// # Errors
    /// What the network says.
    pub async fn connect(
        runtime: &RuntimeRef,
        log: &EventLog,
        door: SocketAddr,
    ) -> std::io::Result<Client> {
        Client::connect_with(runtime, log, door, Options::default().stream_window).await
    }
    /// The same, with so many bytes of each answer that may come before they are read.
    ///
    /// # Errors
    /// What the network says.
    pub async fn connect_with(
        runtime: &RuntimeRef,
        log: &EventLog,
        door: SocketAddr,
        stream_window: u32,
    ) -> std::io::Result<Client> {
        let conn = runtime.connect(door).await?;
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
    /// Whether it may still be used.
    pub fn is_usable(&self) -> bool {
        self.channel.is_usable()
    }
    /// Closes the connection; its calls break.
    pub fn close(&self) {
        self.channel.close();
    }

    /// Makes one try and follows it to its end.
    pub async fn send(&self, ask: &ClientRequest) -> ClientResult {
        self.send_until(ask, std::future::pending()).await
    }

    /// The same; the client leaves without a word as soon as `leave` is over: at an event instead of a time.
    pub async fn send_until(
        &self,
        ask: &ClientRequest,
        leave: impl Future<Output = ()>,
    ) -> ClientResult {
        let (call, began) = (ask.request.call_id, self.runtime.now());
        let until = began.saturating_add(ask.behavior.client_timeout);
        self.log.add(ObservedEvent::CallStarted {
            call,
            operation: ask.operation,
            node: ask.node,
            idempotency: ask.idempotency,
            until: self.log.now().saturating_add(ask.behavior.client_timeout),
        });
        let mut end = ClientResult {
            outcome: ClientOutcome::TimedOut,
            code: 0,
            message: String::new(),
            pushback: None,
            first_token_after: None,
            duration: 0,
            tokens: 0,
        };
        let leave_at = ask
            .behavior
            .disconnect_after
            .map_or(Micros::MAX, |span| began.saturating_add(span));
        let followed = self.follow(ask, began, &mut end);
        let how = or(
            async {
                Some(
                    timeout_at(&self.runtime, until, followed)
                        .await
                        .unwrap_or(ClientOutcome::TimedOut),
                )
            },
            async {
                or(leave, self.runtime.sleep_until(leave_at)).await;
                None
            },
        )
        .await
        .unwrap_or(ClientOutcome::Disconnected);
        end.outcome = how;
        end.duration = self.runtime.now() - began;
        self.log
            .add(ObservedEvent::CallEnded { call, outcome: how });
        end
    }

    async fn follow(
        &self,
        ask: &ClientRequest,
        began: Micros,
        end: &mut ClientResult,
    ) -> ClientOutcome {
        let headers = match ask.behavior.omit_deadline {
            true => HeaderMap::new(),
            false => deadline(ask.behavior.client_timeout),
        };
        let mut call = match self
            .channel
            .call(GENERATE, encode(&ask.request), headers)
            .await
        {
            Ok(call) => call,
            Err(e) => {
                end.message = e.to_string();
                return ClientOutcome::Unreachable;
            }
        };
        let digest = text::digest(&ask.request.prompt);
        let length = text::length(digest, ask.request.max_output_tokens);
        loop {
            match call.next::<Tokens>().await {
                Ok(Some(run)) => {
                    if end.first_token_after.is_none() {
                        end.first_token_after = Some(self.runtime.now() - began);
                        self.log.add(ObservedEvent::FirstTokenReceived {
                            call: ask.request.call_id,
                        });
                    }
                    let right = run.first_index == end.tokens
                        && run
                            .ids
                            .iter()
                            .zip(end.tokens..)
                            .all(|(id, i)| *id == text::token(digest, i));
                    end.tokens += run.ids.len() as u32;
                    if !right || end.tokens > length {
                        end.message = format!("a run from token {} on is wrong", run.first_index);
                        return ClientOutcome::Wrong;
                    }
                    if ask
                        .behavior
                        .disconnect_at_token
                        .is_some_and(|at| end.tokens >= at)
                    {
                        return ClientOutcome::Disconnected;
                    }
                    if ask.behavior.read_pause > 0 {
                        self.runtime.sleep(ask.behavior.read_pause).await;
                    }
                }
                Ok(None) if end.tokens == length => return ClientOutcome::Served,
                Ok(None) => {
                    end.message = format!("{} tokens came of {length}", end.tokens);
                    return ClientOutcome::Wrong;
                }
                Err(e) => {
                    end.message = e.to_string();
                    let Cause::Status(status) = e.cause else {
                        return ClientOutcome::Unreachable;
                    };
                    end.code = status.code;
                    let (said, pushback) = final_metadata(&status.metadata);
                    let detail = status.metadata.contains_key("grpc-status-details-bin");
                    // Told by code and pushback alone, as any client would; the outcome's name must agree.
                    let refused =
                        matches!(status.code, 8 | 14) && pushback.is_some_and(|p| p >= 0) && detail;
                    end.pushback = pushback.filter(|_| refused).map(|ms| ms as u64 * 1_000);
                    return match (refused, said) {
                        (true, Some("refused")) => ClientOutcome::Rejected,
                        (false, Some("failed")) => ClientOutcome::Failed,
                        _ => ClientOutcome::Wrong,
                    };
                }
            }
        }
    }
}
