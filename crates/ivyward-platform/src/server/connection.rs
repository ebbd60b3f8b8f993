//! Requests on one client connection, one after the other.

use super::in_flight::{OpenId, TakenRequest};
use super::response::{error_body, PIPELINED_BYTES};
use super::Server;
use crate::buffered_connection::BufferedConnection;
use crate::call::{PlatformCall, Prompt, Share};
use crate::config::{LIMITS, MOST_BODY};
use futures_lite::future::or;
use ivyward::core::interface::{Idempotency, Micros};
use ivyward::runtime::before;
use ivyward::CloseReason;
use ivyward_http1::{Body, Request, Step};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// A request that has begun comes whole within this span, or is answered with an error. The platform owes that within 3 s of
/// connecting, whatever the deployment's deadlines.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// A connection without a request is kept for this span after an answer.
const KEEP_ALIVE_TIMEOUT: Micros = 30_000_000;
/// What still comes after an error is read and dropped for this span and up to so many bytes, so that no reset
/// overtakes the error.
const LINGER_TIMEOUT: Micros = 1_500_000;
const LINGER_BYTES: usize = 64 << 20;

/// An error for a client, and whether the connection can go on after it.
pub(super) struct RequestError {
    status: u16,
    text: String,
    closes: bool,
}

impl RequestError {
    pub(super) fn new(status: u16, text: impl Into<String>) -> RequestError {
        RequestError {
            status,
            text: text.into(),
            closes: false,
        }
    }
    fn closing(status: u16, text: impl Into<String>) -> RequestError {
        RequestError {
            status,
            text: text.into(),
            closes: true,
        }
    }
}

/// What one wait on a connection brought.
enum Received {
    /// A request with its body.
    Request(Box<Request>, Prompt),
    /// Something that is answered with an error.
    Invalid(RequestError),
    /// The connection is over.
    Closed,
}

impl Server {
    /// Serves a client's connection to its end; why it ended.
    pub(super) async fn client(
        &self,
        mut connection: BufferedConnection,
        id: u64,
        told_to_close: async_channel::Receiver<()>,
    ) -> CloseReason {
        let mut first = true;
        loop {
            let now = self.runtime.now();
            let by = now.saturating_add(if first {
                REQUEST_TIMEOUT
            } else {
                KEEP_ALIVE_TIMEOUT
            });
            first = false;
            if connection.unread().is_empty() {
                self.table.set_idle(id, now);
                let close = async {
                    // Ends when the entry is dropped.
                    let _ = told_to_close.recv().await;
                    None
                };
                let came = before(
                    &self.runtime,
                    by,
                    or(async { Some(connection.fill().await) }, close),
                )
                .await;
                match came.flatten() {
                    Some(Ok(n)) if n > 0 => {}
                    Some(_) => return CloseReason::ClientLeft,
                    None => return self.unless_stopping(CloseReason::Idle),
                }
            }
            self.table.set_busy(id);
            let by = self.runtime.now().saturating_add(REQUEST_TIMEOUT);
            let bad = match self.receive(&mut connection, by).await {
                Received::Closed => return CloseReason::ClientLeft,
                Received::Invalid(bad) => Some(bad),
                Received::Request(request, prompt) => {
                    let keeps = request.head.keeps();
                    match self.serve_one(&mut connection, *request, prompt).await {
                        Ok(_) if connection.discarded_bytes() > 0 => {
                            self.linger(connection).await;
                            return CloseReason::Pipelined;
                        }
                        Ok(true) if keeps && !self.stops() => None,
                        Ok(true) => return self.unless_stopping(CloseReason::Asked),
                        Ok(false) => return CloseReason::AnswerBroken,
                        Err(bad) => Some(RequestError {
                            closes: bad.closes || !keeps,
                            ..bad
                        }),
                    }
                }
            };
            if let Some(bad) = bad {
                let closes = bad.closes || self.stops();
                if !self
                    .respond(
                        &mut connection,
                        bad.status,
                        &[],
                        &error_body(&bad.text),
                        closes,
                    )
                    .await
                {
                    return CloseReason::ClientLeft;
                }
                if closes {
                    self.linger(connection).await;
                    return self.unless_stopping(CloseReason::InvalidRequest);
                }
            }
        }
    }

    fn unless_stopping(&self, reason: CloseReason) -> CloseReason {
        match self.stops() {
            true => CloseReason::Stopping,
            false => reason,
        }
    }

    /// Ends our sending, and reads away what still comes.
    async fn linger(&self, mut connection: BufferedConnection) {
        connection.close_write().await;
        let until = self.runtime.now().saturating_add(LINGER_TIMEOUT);
        let all = async {
            let mut left = LINGER_BYTES;
            connection.consume(connection.unread().len());
            while let Ok(n) = connection.fill().await {
                connection.consume(n);
                left = left.saturating_sub(n);
                if n == 0 || left == 0 {
                    break;
                }
            }
        };
        before(&self.runtime, until, all).await;
    }

    /// Waits for a whole request.
    async fn receive(&self, connection: &mut BufferedConnection, by: Micros) -> Received {
        match before(&self.runtime, by, self.read_request(connection)).await {
            Some(came) => came,
            None => Received::Invalid(RequestError::closing(
                408,
                "the request did not come whole in time",
            )),
        }
    }

    async fn read_request(&self, connection: &mut BufferedConnection) -> Received {
        let (request, used) = loop {
            match Request::read(connection.unread(), &LIMITS) {
                Ok(Some(read)) => break read,
                Ok(None) => {}
                Err(fault) => {
                    let status = match fault {
                        ivyward_http1::Fault::TooLarge => 413,
                        ivyward_http1::Fault::TooLong => 431,
                        _ => 400,
                    };
                    return Received::Invalid(RequestError::closing(status, fault.to_string()));
                }
            }
            match connection.fill().await {
                Ok(n) if n > 0 => {}
                _ => return Received::Closed,
            }
        };
        connection.consume(used);
        if request
            .head
            .text("expect")
            .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
            && connection
                .write(b"HTTP/1.1 100 Continue\r\n\r\n", &[])
                .await
                .is_err()
        {
            return Received::Closed;
        }
        let mut body = Body::new(request.framing, &LIMITS);
        let mut share = Share::new(&self.budget);
        // A length alone costs nothing: only what came is counted and held.
        let mut bytes = Vec::new();
        loop {
            let before = bytes.len();
            let step = match connection.read_body_step(&mut body, &mut bytes) {
                Ok(step) => step,
                Err(e) => return Received::Invalid(RequestError::closing(400, e.to_string())),
            };
            if bytes.len() > before && !share.grow(bytes.len() - before) {
                return Received::Invalid(RequestError::closing(
                    503,
                    "the node holds as many prompts as it can",
                ));
            }
            match step {
                Step::Done => {
                    return Received::Request(
                        Box::new(request),
                        Prompt {
                            bytes,
                            _share: share,
                        },
                    )
                }
                _ if bytes.len() > MOST_BODY => {
                    return Received::Invalid(RequestError::closing(413, "the body is too long"));
                }
                Step::More => match connection.fill().await {
                    Ok(n) if n > 0 => {}
                    _ => return Received::Closed,
                },
                Step::Data(_) => {}
            }
        }
    }

    /// Answers one request. Whether its connection may go on; an error is said by the caller.
    pub(super) async fn serve_one(
        &self,
        connection: &mut BufferedConnection,
        request: Request,
        prompt: Prompt,
    ) -> Result<bool, RequestError> {
        let path = request.target.split('?').next().unwrap_or("");
        if path == "/healthz" {
            let serves = self.ready.load(Ordering::SeqCst) && !self.stops();
            return Ok(self
                .respond(
                    connection,
                    if serves { 200 } else { 503 },
                    &[],
                    "{}",
                    self.stops(),
                )
                .await);
        }
        if path != "/v1/chat/completions" {
            return Err(RequestError::new(
                404,
                "POST /v1/chat/completions and GET /healthz are served",
            ));
        }
        if request.method != "POST" {
            return Err(RequestError::new(405, "POST is taken"));
        }
        let (id, arrival) = self.arrival(&request, prompt.bytes.len())?;
        if serde_json::from_slice::<serde::de::IgnoredAny>(&prompt.bytes).is_err() {
            return Err(RequestError::new(400, "the body is no JSON"));
        }
        let _open_id = OpenId::new(self, &id)
            .ok_or_else(|| RequestError::new(409, "a request with this id is open"))?;
        let bound = self.bounds.outlet;
        // Guards against work for a client that left while its request waited to be read.
        if connection.peer_has_closed(PIPELINED_BYTES) {
            return Ok(false);
        }
        let again = self.told.module.classes[arrival.class].idempotency == Idempotency::Idempotent;
        let call = Arc::new(PlatformCall::new(
            &id,
            &request,
            again,
            prompt,
            connection.peer(),
            bound,
        ));
        let first_by = self.runtime.now().saturating_add(arrival.client_timeout);
        let first_by = first_by.saturating_sub(self.node.settings().answer_margin);
        let taken = match self.node.accept(arrival, first_by, call.clone()) {
            Ok(number) => TakenRequest {
                node: &self.node,
                number,
                call: &call,
            },
            Err(why) => {
                let retry_after = Some(self.node.settings().rules.max_retry_after);
                return Ok(self.refuse(connection, retry_after, why).await);
            }
        };
        Ok(self.answer(connection, &taken).await)
    }
}
