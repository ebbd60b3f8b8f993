//! One call on a connection: its upload, its answer, its end, and what its end proves.

use crate::channel::Channel;
use crate::frame::{Decoder, FrameError};
use crate::keepalive::Activity;
use bytes::Bytes;
use futures_lite::future::poll_fn;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::HeaderMap;
use ivyward_runtime::{before, Micros};
use prost::Message;
use std::future::Future;
use std::sync::Arc;
use std::task::{Context, Poll};

/// How a call ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{cause}")]
pub struct CallError {
    /// What happened.
    pub cause: Cause,
    /// The server provably did nothing for this call.
    pub never_ran: bool,
}

/// What ended a call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// Its deadline was over before it could leave.
    #[error("no time was left before the call could leave")]
    Late,
    /// The connection broke, or was closed by either side.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The server reset the stream.
    #[error("the server reset the stream: {0}")]
    Reset(String),
    /// The server answered with a status other than OK.
    #[error("the server answered with status {}: {}", .0.code, .0.message)]
    Status(Status),
    /// The server sent something that is not what was agreed on.
    #[error("{0}")]
    Frame(#[from] FrameError),
}

/// A gRPC status with its metadata.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Status {
    /// gRPC's status code; 0 is OK.
    pub code: u32,
    /// For people.
    pub message: String,
    /// The trailers it came in.
    pub metadata: HeaderMap,
}

impl Status {
    fn from_headers(headers: HeaderMap) -> Option<Status> {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let code = text("grpc-status")?.parse().unwrap_or(2);
        let message = text("grpc-message")
            .map(|m| unescape(&m))
            .unwrap_or_default();
        Some(Status {
            code,
            message,
            metadata: headers,
        })
    }
}

/// Takes back the percent-encoding of a status message; what is no valid escape stays as it is.
fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::with_capacity(bytes.len()), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        if let Some(byte) = hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            out.push(byte);
            i += 3;
        } else {
            out.push(bytes[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Counts a call among those open.
pub(crate) struct Counted(Arc<Activity>);

impl Counted {
    pub(crate) fn begin(activity: &Arc<Activity>) -> Counted {
        activity.begin();
        Counted(activity.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.end();
    }
}

enum Answer {
    Awaited(ResponseFuture),
    Body(RecvStream),
}

/// A call in progress. Dropping it resets its stream; [`Call::abandon`] also waits until that is written.
pub struct Call {
    stream: u32,
    upload: SendStream<Bytes>,
    body: Option<Bytes>,
    /// More messages may follow.
    more: bool,
    answer: Answer,
    decoder: Decoder,
    channel: Channel,
    over: bool,
    _counted: Counted,
}

impl Call {
    /// A call whose head was handed to the connection; its request goes out as it is polled.
    pub(crate) fn begun(
        channel: &Channel,
        (response, upload): (ResponseFuture, SendStream<Bytes>),
        (body, more): (Bytes, bool),
        counted: Counted,
    ) -> Call {
        Call {
            stream: u32::from(upload.stream_id()),
            upload,
            body: Some(body),
            more,
            answer: Answer::Awaited(response),
            decoder: Decoder::new(channel.options.most_message),
            channel: channel.clone(),
            over: false,
            _counted: counted,
        }
    }

    /// Puts in as much of the request as the server has room for, so that what waits here stays bounded.
    fn poll_upload(&mut self, cx: &mut Context<'_>) {
        while let Some(body) = self.body.as_mut() {
            self.upload.reserve_capacity(body.len());
            if self.upload.capacity() == 0 {
                match self.upload.poll_capacity(cx) {
                    Poll::Pending => return,
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(_) => {
                        // The answer's side tells what happened.
                        self.body = None;
                        return;
                    }
                }
            }
            let part = body.split_to(self.upload.capacity().min(body.len()));
            let all = body.is_empty();
            if self.upload.send_data(part, all && !self.more).is_err() || all {
                self.body = None;
            }
        }
    }

    fn broken(&mut self, error: &h2::Error) -> CallError {
        self.over = true;
        let trace = &self.channel.trace;
        let refused =
            error.is_reset() && error.is_remote() && error.reason() == Some(Reason::REFUSED_STREAM);
        // Below a GOAWAY's last stream, or once HEADERS left, the server may have worked on it.
        let never_ran = refused || trace.disowned(self.stream) || !trace.left(self.stream);
        let text = error.to_string();
        let cause = if error.is_reset() && error.is_remote() {
            Cause::Reset(text)
        } else {
            Cause::Broken(text)
        };
        CallError { cause, never_ran }
    }

    /// The next message, as [`Call::next`] returns it.
    pub fn poll_message<M: Message + Default>(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<M>, CallError>> {
        let failed = |cause| {
            Poll::Ready(Err(CallError {
                cause,
                never_ran: false,
            }))
        };
        self.poll_upload(cx);
        loop {
            match &mut self.answer {
                Answer::Awaited(response) => match std::pin::Pin::new(response).poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Err(e)) => return Poll::Ready(Err(self.broken(&e))),
                    Poll::Ready(Ok(response)) => {
                        let (head, body) = response.into_parts();
                        if let Some(status) = Status::from_headers(head.headers) {
                            self.over = true;
                            return if status.code == 0 {
                                Poll::Ready(Ok(None))
                            } else {
                                failed(Cause::Status(status))
                            };
                        }
                        if head.status != http::StatusCode::OK {
                            let message = format!(
                                "HTTP status {} instead of a gRPC answer",
                                head.status.as_u16()
                            );
                            return failed(Cause::Status(Status {
                                code: 2,
                                message,
                                ..Status::default()
                            }));
                        }
                        self.answer = Answer::Body(body);
                    }
                },
                Answer::Body(body) => {
                    match self.decoder.pop::<M>() {
                        Ok(Some(message)) => return Poll::Ready(Ok(Some(message))),
                        Ok(None) => {}
                        Err(e) => return failed(Cause::Frame(e)),
                    }
                    match body.poll_data(cx) {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(Some(Ok(chunk))) => {
                            self.decoder.push(&chunk);
                            // Fails only when the stream is over, which the next poll tells.
                            let _ = body.flow_control().release_capacity(chunk.len());
                        }
                        Poll::Ready(Some(Err(e))) => return Poll::Ready(Err(self.broken(&e))),
                        Poll::Ready(None) => match body.poll_trailers(cx) {
                            Poll::Pending => return Poll::Pending,
                            Poll::Ready(Err(e)) => return Poll::Ready(Err(self.broken(&e))),
                            Poll::Ready(Ok(trailers)) => {
                                let status = trailers.and_then(Status::from_headers);
                                let status = status.unwrap_or_else(|| Status {
                                    code: 2,
                                    message: "the answer ended without a status".into(),
                                    ..Status::default()
                                });
                                if status.code != 0 {
                                    return failed(Cause::Status(status));
                                }
                                if !self.decoder.is_empty() {
                                    return failed(Cause::Frame(FrameError::Cut));
                                }
                                self.over = true;
                                return Poll::Ready(Ok(None));
                            }
                        },
                    }
                }
            }
        }
    }

    /// The next message, or `None` after the last one when the status is OK.
    ///
    /// # Errors
    /// [`CallError`] when the call ended in any other way; it says whether the call provably never ran.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, CallError> {
        poll_fn(|cx| self.poll_message(cx)).await
    }

    /// Adds a message to the request of a call that was opened for more. It leaves in [`Call::next`].
    pub fn send(&mut self, body: Bytes) {
        self.body = Some(match self.body.take() {
            Some(before) => [before, body].concat().into(),
            None => body,
        });
    }

    /// The next message if it is there already.
    pub async fn ready<M: Message + Default>(&mut self) -> Option<Result<Option<M>, CallError>> {
        poll_fn(|cx| match self.poll_message(cx) {
            Poll::Pending => Poll::Ready(None),
            Poll::Ready(next) => Poll::Ready(Some(next)),
        })
        .await
    }

    /// Whether its whole request was handed to the connection.
    pub fn uploaded(&self) -> bool {
        self.body.is_none()
    }

    /// Whether anything of it left the socket.
    pub fn left(&self) -> bool {
        self.channel.trace.left(self.stream)
    }

    /// Whether the server has ended the stream, whatever of it was read here.
    fn ended(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            match &mut self.answer {
                Answer::Awaited(response) => match std::pin::Pin::new(response).poll(cx) {
                    Poll::Pending => return false,
                    Poll::Ready(Err(_)) => return true,
                    Poll::Ready(Ok(response)) => self.answer = Answer::Body(response.into_body()),
                },
                Answer::Body(body) => match body.poll_data(cx) {
                    Poll::Pending => return false,
                    Poll::Ready(Some(Ok(chunk))) => {
                        let _ = body.flow_control().release_capacity(chunk.len());
                    }
                    Poll::Ready(None | Some(Err(_))) => return true,
                },
            }
        }
    }

    /// Gives the call up: resets its stream and returns once the reset is written or the connection is closed.
    /// A connection that takes no byte for `within` is closed: nothing gets through it anyway. Tells whether the
    /// call had left the socket.
    pub async fn abandon(mut self, within: Micros) -> bool {
        // A stream that both sides have ended gets no reset any more.
        if self.over || self.channel.closed() || poll_fn(|cx| Poll::Ready(self.ended(cx))).await {
            return self.left();
        }
        let written = self.channel.trace.await_reset(self.stream);
        self.upload.send_reset(Reason::CANCEL);
        let runtime = self.channel.runtime.clone();
        let wait = before(
            &runtime,
            runtime.now().saturating_add(within),
            written.recv(),
        )
        .await;
        // Nor does a call whose HEADERS never left, nor one that ended in the moment of its reset.
        if wait.is_none() && self.left() && !poll_fn(|cx| Poll::Ready(self.ended_well(cx))).await {
            self.channel.close();
            // Ends with an error when the connection is closed.
            let _ = written.recv().await;
        }
        self.left()
    }

    /// Whether the stream ended in order, and not by our own reset.
    fn ended_well(&mut self, cx: &mut Context<'_>) -> bool {
        match &mut self.answer {
            Answer::Awaited(_) => false,
            Answer::Body(body) => matches!(body.poll_data(cx), Poll::Ready(None)),
        }
    }
}
