//! Answers on their way to their clients.

use super::in_flight::TakenRequest;
use super::Server;
use crate::buffered_connection::BufferedConnection;
use crate::call::PlatformCall;
use futures_lite::future::{or, poll_fn};
use ivyward::core::interface::Micros;
use ivyward::runtime::RuntimeExt;
use ivyward::{FailureReason, FinalStatus, RejectReason};
use ivyward_http1::{body, head};

/// A client that takes no byte of its answer for this span has gone away: a matter of its machine, not of its deadline.
const WRITE_STALL: Micros = 5_000_000;
/// Bytes that may wait behind an open request. More are read all the same, for the client's end may follow them, and
/// dropped: then the connection ends with the answer.
pub(super) const PIPELINED_BYTES: usize = 16 << 10;
/// After so many dropped bytes there is a pause before each piece, so that no client takes up the node.
const UNPACED_BYTES: usize = 4 << 20;
const FLOOD_PAUSE: Micros = 500;

impl Server {
    /// Writes a short answer; whether it left.
    pub(super) async fn respond(
        &self,
        connection: &mut BufferedConnection,
        status: u16,
        more: &[(&str, &str)],
        text: &str,
        closes: bool,
    ) -> bool {
        let length = text.len().to_string();
        let mut headers = vec![
            ("Content-Type", "application/json"),
            ("Content-Length", length.as_str()),
        ];
        headers.extend_from_slice(more);
        if closes {
            headers.push(("Connection", "close"));
        }
        let mut out = Vec::new();
        head::write(
            &mut out,
            &format!("HTTP/1.1 {status} {}", reason(status)),
            &headers,
        );
        out.extend_from_slice(text.as_bytes());
        connection
            .write_with_stall_timeout(&self.runtime, WRITE_STALL, &out)
            .await
            .is_ok()
    }

    pub(super) async fn refuse(
        &self,
        connection: &mut BufferedConnection,
        retry_after: Option<Micros>,
        why: RejectReason,
    ) -> bool {
        let status = if why == RejectReason::Overloaded {
            429
        } else {
            503
        };
        let seconds = retry_after
            .filter(|r| *r > 0)
            .map(|r| format!("{:.3}", r as f64 / 1e6));
        let headers: Vec<(&str, &str)> = seconds
            .iter()
            .map(|s| ("Retry-After", s.as_str()))
            .collect();
        self.respond(
            connection,
            status,
            &headers,
            &error_body("refused"),
            self.stops(),
        )
        .await
    }

    /// Waits for the next part of the answer, or for the client's leaving.
    async fn next_part(
        &self,
        connection: &mut BufferedConnection,
        call: &PlatformCall,
    ) -> Option<Result<Vec<u8>, FinalStatus>> {
        let next = async {
            Some(
                poll_fn(|cx| call.outlet.poll_items(cx))
                    .await
                    .map(|(_, data)| data),
            )
        };
        or(next, async {
            loop {
                // Guards against a client whose leaving hides behind a flood: what it sent is read away to its end.
                if connection.discarded_bytes() >= UNPACED_BYTES {
                    self.runtime.sleep(FLOOD_PAUSE).await;
                }
                match connection.fill().await {
                    Ok(n) if n > 0 => connection.truncate_unread(PIPELINED_BYTES),
                    _ => return None,
                }
            }
        })
        .await
    }

    /// Passes the answer on. Whether the connection may go on.
    pub(super) async fn answer(
        &self,
        connection: &mut BufferedConnection,
        taken: &TakenRequest<'_>,
    ) -> bool {
        let mut begun = false;
        loop {
            let Some(part) = self.next_part(connection, taken.call).await else {
                return false;
            };
            let mut out = Vec::new();
            match part {
                Ok(data) => {
                    if !begun {
                        begun = true;
                        let mut headers = vec![
                            ("Content-Type", "text/event-stream"),
                            ("Transfer-Encoding", "chunked"),
                        ];
                        if self.stops() {
                            headers.push(("Connection", "close"));
                        }
                        head::write(&mut out, "HTTP/1.1 200 OK", &headers);
                    }
                    body::chunk(&mut out, &data);
                }
                Err(FinalStatus::Served) if begun => out.extend_from_slice(body::LAST),
                // Without the last chunk the client knows that the stream broke.
                Err(_) if begun => return false,
                Err(FinalStatus::Rejected {
                    retry_after,
                    reason: why,
                }) => return self.refuse(connection, retry_after, why).await,
                Err(end) => {
                    let (status, text) = match end {
                        FinalStatus::Failed(FailureReason::Deadline) => (504, "the time was over"),
                        _ => (502, "no engine answered"),
                    };
                    return self
                        .respond(connection, status, &[], &error_body(text), self.stops())
                        .await;
                }
            }
            let last = out.ends_with(body::LAST) && taken.call.outlet.is_delivered();
            if connection
                .write_with_stall_timeout(&self.runtime, WRITE_STALL, &out)
                .await
                .is_err()
            {
                return false;
            }
            if last {
                return true;
            }
        }
    }
}

/// An error's body. What a client sent may stand in the text, so it is written as JSON writes it.
pub(super) fn error_body(text: &str) -> String {
    serde_json::json!({"error": {"message": text}}).to_string()
}

fn reason(status: u16) -> &'static str {
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
