//! Writes responses to clients.

use super::in_flight::InFlightRequest;
use super::Server;
use crate::buffered_connection::BufferedConnection;
use crate::call::HttpCall;
use futures_lite::future::{or, poll_fn, poll_once};
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward::{FailureReason, FinalStatus, RejectReason};
use ivyward_http1::{body, head};
use std::pin::pin;

/// A client that accepts no byte of its response for 5 s counts as disconnected. The value depends on clients' machines and
/// networks, not on the deadline of the request.
const WRITE_STALL_TIMEOUT: Micros = 5_000_000;
/// The length of the head and of the framing of a chunk in a stream, at most, in bytes.
const STREAM_PART_OVERHEAD: usize = 160;
/// After 4 MiB of discarded bytes each read is preceded by a pause of 0.5 ms, so that one client cannot occupy the node.
pub(super) const MAX_UNTHROTTLED_BYTES: usize = 4 << 20;
const THROTTLE_PAUSE: Micros = 500;

/// Whether a response was delivered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The response was written completely; the connection may be used for the next request.
    Complete,
    /// The response was not written completely; the connection has to be closed.
    Broken,
}

/// A response with a short JSON body.
pub(super) struct ShortResponse<'a> {
    pub(super) status: u16,
    /// Headers in addition to those that describe the body.
    pub(super) headers: &'a [(&'a str, &'a str)],
    pub(super) body: &'a str,
    /// Whether the connection closes after the response.
    pub(super) closes: bool,
}

impl Server {
    /// Writes a response with a short body.
    pub(super) async fn respond(
        &self,
        connection: &mut BufferedConnection,
        response: &ShortResponse<'_>,
    ) -> Delivery {
        let length = response.body.len().to_string();
        let mut headers = vec![
            ("Content-Type", "application/json"),
            ("Content-Length", length.as_str()),
        ];
        headers.extend_from_slice(response.headers);
        if response.closes {
            headers.push(("Connection", "close"));
        }
        let status = response.status;
        let status_line = format!("HTTP/1.1 {status} {}", reason_phrase(status));
        let mut output = Vec::new();
        head::write(&mut output, &status_line, &headers);
        output.extend_from_slice(response.body.as_bytes());
        self.write(connection, &output).await
    }

    /// Responds with status 429 if the engines are overloaded, or else 503. A `retry_after` above 0 is sent as `Retry-After`
    /// in seconds.
    pub(super) async fn reject(
        &self,
        connection: &mut BufferedConnection,
        retry_after: Option<Micros>,
        reason: RejectReason,
    ) -> Delivery {
        let seconds = retry_after
            .filter(|duration| *duration > 0)
            .map(|duration| format!("{:.3}", duration as f64 / 1e6));
        let headers: Vec<(&str, &str)> = seconds
            .iter()
            .map(|seconds| ("Retry-After", seconds.as_str()))
            .collect();
        let response = ShortResponse {
            status: match reason {
                RejectReason::Overloaded => 429,
                _ => 503,
            },
            headers: &headers,
            body: &error_body("refused"),
            closes: self.is_stopping(),
        };
        self.respond(connection, &response).await
    }

    /// Forwards the response to a request to its client.
    pub(super) async fn relay_response(
        &self,
        connection: &mut BufferedConnection,
        request: &InFlightRequest<'_>,
    ) -> Delivery {
        let mut has_begun = false;
        loop {
            let Some(part) = self.next_part(connection, request.call).await else {
                return Delivery::Broken;
            };
            let (output, length) = match part {
                Ok(events) => {
                    let is_first = !std::mem::replace(&mut has_begun, true);
                    (self.stream_part(is_first, &events), events.len())
                }
                Err(FinalStatus::Served) if has_begun => {
                    return self.write(connection, body::LAST_CHUNK).await;
                }
                // The missing last chunk shows the client that the stream is incomplete.
                Err(_) if has_begun => return Delivery::Broken,
                Err(status) => return self.respond_with_status(connection, status).await,
            };
            if self.write(connection, &output).await == Delivery::Broken {
                return Delivery::Broken;
            }
            request.call.response_buffer.release(length);
        }
    }

    /// Waits for the next events or the final status of the response. Returns `None` if the client disconnects.
    async fn next_part(
        &self,
        connection: &mut BufferedConnection,
        call: &HttpCall,
    ) -> Option<Result<Vec<u8>, FinalStatus>> {
        let part = async {
            let items = poll_fn(|cx| call.response_buffer.events.poll_items(cx)).await;
            Some(items.map(|(_, events)| events))
        };
        let disconnected = async {
            loop {
                // All bytes are read, however many the client sends, because its close is only visible behind them.
                if connection.discarded_bytes() >= MAX_UNTHROTTLED_BYTES {
                    self.runtime.sleep(THROTTLE_PAUSE).await;
                }
                match connection.fill_ahead().await {
                    Ok(received) if received > 0 => {}
                    _ => return None,
                }
            }
        };
        or(part, disconnected).await
    }

    /// Returns a part of a stream: one chunk, after the head if it is the first one.
    fn stream_part(&self, is_first: bool, events: &[u8]) -> Vec<u8> {
        let mut output = Vec::with_capacity(events.len() + STREAM_PART_OVERHEAD);
        if is_first {
            let mut headers = vec![
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ];
            if self.is_stopping() {
                headers.push(("Connection", "close"));
            }
            head::write(&mut output, "HTTP/1.1 200 OK", &headers);
        }
        body::write_chunk(&mut output, events);
        output
    }

    /// Responds to a request that ended before the first event of its stream.
    async fn respond_with_status(
        &self,
        connection: &mut BufferedConnection,
        status: FinalStatus,
    ) -> Delivery {
        let (status, text) = match status {
            FinalStatus::Rejected {
                retry_after,
                reason,
            } => return self.reject(connection, retry_after, reason).await,
            FinalStatus::Failed(FailureReason::Deadline) => (504, "the time was over"),
            _ => (502, "no engine answered"),
        };
        let response = ShortResponse {
            status,
            headers: &[],
            body: &error_body(text),
            closes: self.is_stopping(),
        };
        self.respond(connection, &response).await
    }

    /// Writes to a client. The response is shed if its client accepts it slowly and the memory for responses is used up.
    async fn write(&self, connection: &mut BufferedConnection, bytes: &[u8]) -> Delivery {
        let mut writing =
            pin!(connection.write_with_stall_timeout(&self.runtime, WRITE_STALL_TIMEOUT, bytes));
        let written = match poll_once(writing.as_mut()).await {
            Some(written) => Some(written),
            None => self.response_memory.hold(writing).await,
        };
        match written {
            Some(Ok(())) => Delivery::Complete,
            Some(Err(_)) | None => Delivery::Broken,
        }
    }
}

/// Returns the JSON body of an error. The text is escaped, because it may contain bytes from a client.
pub(super) fn error_body(text: &str) -> String {
    serde_json::json!({"error": {"message": text}}).to_string()
}

/// Returns the reason phrase of RFC 9110 for a status; `Error` for a status that the server does not send.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

#[cfg(test)]
mod tests;
