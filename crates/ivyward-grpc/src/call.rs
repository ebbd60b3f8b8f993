//! One call on a connection: its upload, its response, its end, and whether a failed call provably never ran.

use crate::activity::InFlightGuard;
use crate::channel::Channel;
use crate::frame::{Decoder, FrameError};
use crate::status::{CallError, Cause, Status};
use bytes::Bytes;
use futures_lite::future::poll_fn;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Response, StatusCode};
use ivyward_runtime::{timeout_at, Micros};
use prost::Message;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// The state of the response.
enum ResponseState {
    /// The response headers have not been received.
    AwaitingHeaders(ResponseFuture),
    /// The response headers were received; messages or trailers follow.
    Body(RecvStream),
}

/// What follows the response headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterHeaders {
    /// Messages and trailers follow.
    Body,
    /// Nothing follows: the headers contain the status of a call without messages ("Trailers-Only").
    End,
}

/// A call in progress. Dropping it resets its stream; [`Call::abandon`] also waits until the reset is written.
pub struct Call {
    stream: u32,
    upload: SendStream<Bytes>,
    /// The part of the request messages that has not been handed to h2; `None` if there is none.
    body: Option<Bytes>,
    /// Whether more request messages may follow.
    client_streaming: bool,
    response: ResponseState,
    decoder: Decoder,
    channel: Channel,
    ended: bool,
    _in_flight: InFlightGuard,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.channel.observer.upload_ended(self.stream);
    }
}

/// Tells whether the server has received the whole request of a call, before it answers the call.
pub struct Delivery {
    stream: u32,
    channel: Channel,
}

impl Delivery {
    /// Waits until the server has received the whole request. Returns whether it did before the connection closed.
    ///
    /// A ping is sent after the last byte of the request. Both travel on one connection, so its answer shows that the server
    /// has read the request. An acknowledgement by TCP shows only that the server's machine has it.
    pub async fn confirmed(&self) -> bool {
        self.channel.observer.upload_written(self.stream).await;
        if self.channel.is_closed() {
            return false;
        }
        let check = self.channel.activity.request_check();
        self.channel.activity.answered(check).await;
        true
    }
}

/// A call whose headers were handed to the connection.
pub(crate) struct CallStart {
    pub(crate) response: ResponseFuture,
    pub(crate) upload: SendStream<Bytes>,
    pub(crate) body: Bytes,
    pub(crate) client_streaming: bool,
    pub(crate) in_flight: InFlightGuard,
}

impl Call {
    /// Creates the handle of a started call. The request messages are sent as the call is polled.
    pub(crate) fn new(channel: &Channel, start: CallStart) -> Call {
        let stream = u32::from(start.upload.stream_id());
        channel.observer.upload_began(stream);
        Call {
            stream,
            upload: start.upload,
            body: Some(start.body),
            client_streaming: start.client_streaming,
            response: ResponseState::AwaitingHeaders(start.response),
            decoder: Decoder::new(channel.options.max_message_size),
            channel: channel.clone(),
            ended: false,
            _in_flight: start.in_flight,
        }
    }

    /// Sends as much of the request as flow control allows. This bounds the data that h2 buffers.
    fn poll_upload(&mut self, cx: &mut Context<'_>) {
        while let Some(body) = self.body.as_mut() {
            self.upload.reserve_capacity(body.len());
            if self.upload.capacity() == 0 {
                match self.upload.poll_capacity(cx) {
                    Poll::Pending => return,
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(_) => {
                        // The error is reported when the response is polled.
                        self.body = None;
                        return;
                    }
                }
            }
            let part = body.split_to(self.upload.capacity().min(body.len()));
            let all_sent = body.is_empty();
            let end_of_stream = all_sent && !self.client_streaming;
            if self.upload.send_data(part, end_of_stream).is_err() || all_sent {
                self.body = None;
            }
        }
    }

    /// Marks the call as ended, and returns the error for a failure of its stream or connection.
    fn fail(&mut self, error: &h2::Error) -> CallError {
        self.ended = true;
        let observer = &self.channel.observer;
        let reset_by_server = error.is_reset() && error.is_remote();
        let refused = reset_by_server && error.reason() == Some(Reason::REFUSED_STREAM);
        // The server may have run a call whose HEADERS were sent, unless a GOAWAY named a last stream below the call's.
        let never_ran = refused
            || observer.excluded_by_goaway(self.stream)
            || !observer.headers_sent(self.stream);
        let text = error.to_string();
        let cause = if reset_by_server {
            Cause::Reset(text)
        } else {
            Cause::ConnectionBroken(text)
        };
        CallError { cause, never_ran }
    }

    /// Polls for the next message, as [`Call::next`] returns it.
    pub fn poll_message<M: Message + Default>(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<M>, CallError>> {
        self.poll_upload(cx);
        loop {
            let message = self.decoder.pop::<M>();
            if let Some(message) = message.map_err(|e| CallError::may_have_run(Cause::Frame(e)))? {
                return Poll::Ready(Ok(Some(message)));
            }
            match &mut self.response {
                ResponseState::AwaitingHeaders(response) => {
                    let response = ready!(Pin::new(response).poll(cx));
                    if self.receive_headers(response)? == AfterHeaders::End {
                        return Poll::Ready(Ok(None));
                    }
                }
                ResponseState::Body(body) => match ready!(body.poll_data(cx)) {
                    Some(Ok(chunk)) => {
                        self.decoder.push(&chunk);
                        // Fails only when the stream has ended, which is reported by the next poll.
                        let _ = body.flow_control().release_capacity(chunk.len());
                    }
                    Some(Err(e)) => return Poll::Ready(Err(self.fail(&e))),
                    None => {
                        let trailers = ready!(body.poll_trailers(cx));
                        return Poll::Ready(self.receive_trailers(trailers).map(|()| None));
                    }
                },
            }
        }
    }

    fn receive_headers(
        &mut self,
        response: Result<Response<RecvStream>, h2::Error>,
    ) -> Result<AfterHeaders, CallError> {
        let (head, body) = response.map_err(|e| self.fail(&e))?.into_parts();
        if let Some(status) = Status::from_headers(head.headers) {
            self.ended = true;
            if !status.is_ok() {
                return Err(CallError::may_have_run(Cause::Status(status.into())));
            }
            return Ok(AfterHeaders::End);
        }
        if head.status != StatusCode::OK {
            let code = head.status.as_u16();
            let status = Status::unknown(format!("HTTP status {code} instead of a gRPC answer"));
            return Err(CallError::may_have_run(Cause::Status(status.into())));
        }
        self.response = ResponseState::Body(body);
        Ok(AfterHeaders::Body)
    }

    fn receive_trailers(
        &mut self,
        trailers: Result<Option<HeaderMap>, h2::Error>,
    ) -> Result<(), CallError> {
        let trailers = trailers.map_err(|e| self.fail(&e))?;
        let status = trailers
            .and_then(Status::from_headers)
            .unwrap_or_else(|| Status::unknown("the answer ended without a status"));
        if !status.is_ok() {
            return Err(CallError::may_have_run(Cause::Status(status.into())));
        }
        if !self.decoder.is_empty() {
            return Err(CallError::may_have_run(Cause::Frame(FrameError::Truncated)));
        }
        self.ended = true;
        Ok(())
    }

    /// Waits for the next message. Returns `None` after the last one if the status is OK.
    ///
    /// # Errors
    /// [`CallError`] when the call ended in any other way. The error tells whether the call provably never ran.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, CallError> {
        poll_fn(|cx| self.poll_message(cx)).await
    }

    /// Adds a message to the request of a client-streaming call. Polling the call, as [`Call::next`] does, sends the message.
    pub fn send(&mut self, body: Bytes) {
        self.body = Some(match self.body.take() {
            Some(unsent) => [unsent, body].concat().into(),
            None => body,
        });
    }

    /// Returns the next message, or the end, if it has been received already; else `None`.
    pub async fn try_next<M: Message + Default>(&mut self) -> Option<Result<Option<M>, CallError>> {
        poll_fn(|cx| match self.poll_message(cx) {
            Poll::Pending => Poll::Ready(None),
            Poll::Ready(next) => Poll::Ready(Some(next)),
        })
        .await
    }

    /// Whether all request messages so far were handed to the connection.
    pub fn uploaded(&self) -> bool {
        self.body.is_none()
    }

    /// Returns a handle that tells when the server has received the whole request.
    pub fn delivery(&self) -> Delivery {
        Delivery {
            stream: self.stream,
            channel: self.channel.clone(),
        }
    }

    /// Whether the call's HEADERS were written to the socket, at least in part.
    pub fn headers_sent(&self) -> bool {
        self.channel.observer.headers_sent(self.stream)
    }

    /// Discards the received part of the response. Returns whether the server has ended the stream.
    fn discard_until_end(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            match &mut self.response {
                ResponseState::AwaitingHeaders(response) => match Pin::new(response).poll(cx) {
                    Poll::Pending => return false,
                    Poll::Ready(Err(_)) => return true,
                    Poll::Ready(Ok(response)) => {
                        self.response = ResponseState::Body(response.into_body());
                    }
                },
                ResponseState::Body(body) => match body.poll_data(cx) {
                    Poll::Pending => return false,
                    Poll::Ready(Some(Ok(chunk))) => {
                        let _ = body.flow_control().release_capacity(chunk.len());
                    }
                    Poll::Ready(None | Some(Err(_))) => return true,
                },
            }
        }
    }

    /// Abandons the call: resets its stream and returns once the reset is written or the connection is closed.
    ///
    /// If the reset is not written within `timeout` microseconds, the connection is closed, because nothing can be sent on it.
    /// Returns whether the call's HEADERS were written to the socket, at least in part.
    pub async fn abandon(mut self, timeout: Micros) -> bool {
        // h2 sends no reset for a stream that both sides have ended.
        if self.ended
            || self.channel.is_closed()
            || poll_fn(|cx| Poll::Ready(self.discard_until_end(cx))).await
        {
            return self.headers_sent();
        }
        let written = self.channel.observer.await_reset(self.stream);
        self.upload.send_reset(Reason::CANCEL);
        let runtime = self.channel.runtime.clone();
        let deadline = runtime.now().saturating_add(timeout);
        let wait = timeout_at(&runtime, deadline, written.recv()).await;
        // h2 sends no reset either for a call whose HEADERS were never sent, or for one that ended just as it was reset.
        if wait.is_none()
            && self.headers_sent()
            && !poll_fn(|cx| Poll::Ready(self.ended_normally(cx))).await
        {
            self.channel.close();
            // Returns an error when the connection is closed.
            let _ = written.recv().await;
        }
        self.headers_sent()
    }

    /// Whether the server ended the stream normally, rather than this client by its reset.
    fn ended_normally(&mut self, cx: &mut Context<'_>) -> bool {
        match &mut self.response {
            ResponseState::AwaitingHeaders(_) => false,
            ResponseState::Body(body) => matches!(body.poll_data(cx), Poll::Ready(None)),
        }
    }
}
