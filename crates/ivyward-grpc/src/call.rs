//! One call on a connection: its upload, its response, its end, and what its end proves.

use crate::activity::InFlightGuard;
use crate::channel::Channel;
use crate::frame::{Decoder, FrameError};
use crate::status::{CallError, Cause, Status};
use bytes::Bytes;
use futures_lite::future::poll_fn;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, Response, StatusCode};
use ivyward_runtime::{before, Micros};
use prost::Message;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// How far the response has come.
enum ResponseState {
    /// Its headers have not been received.
    AwaitingHeaders(ResponseFuture),
    /// Its messages are being received.
    Body(RecvStream),
}

/// What follows a response's headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterHeaders {
    Body,
    /// The headers carry the status of a call without messages ("trailers-only").
    End,
}

/// A call in progress. Dropping it resets its stream; [`Call::abandon`] also waits until the reset is written.
pub struct Call {
    stream: u32,
    upload: SendStream<Bytes>,
    /// What remains of the request messages.
    body: Option<Bytes>,
    /// More request messages may follow.
    client_streaming: bool,
    response: ResponseState,
    decoder: Decoder,
    channel: Channel,
    ended: bool,
    _in_flight: InFlightGuard,
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
    /// Takes over a started call. Its request messages are sent as it is polled.
    pub(crate) fn new(channel: &Channel, start: CallStart) -> Call {
        Call {
            stream: u32::from(start.upload.stream_id()),
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

    /// Sends as much of the request as flow control allows, so that what h2 buffers stays bounded.
    fn poll_upload(&mut self, cx: &mut Context<'_>) {
        while let Some(body) = self.body.as_mut() {
            self.upload.reserve_capacity(body.len());
            if self.upload.capacity() == 0 {
                match self.upload.poll_capacity(cx) {
                    Poll::Pending => return,
                    Poll::Ready(Some(Ok(_))) => continue,
                    Poll::Ready(_) => {
                        // Polling the response reports what happened.
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

    /// Ends the call with an error of its stream or connection.
    fn fail(&mut self, error: &h2::Error) -> CallError {
        self.ended = true;
        let observer = &self.channel.observer;
        let reset_by_server = error.is_reset() && error.is_remote();
        let refused = reset_by_server && error.reason() == Some(Reason::REFUSED_STREAM);
        // The server may have run a call whose HEADERS were sent, unless a GOAWAY's last stream lies below it.
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
                        // Fails only when the stream has ended, which the next poll reports.
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

    /// The next message, or `None` after the last one when the status is OK.
    ///
    /// # Errors
    /// [`CallError`] when the call ended in any other way; it says whether the call provably never ran.
    pub async fn next<M: Message + Default>(&mut self) -> Result<Option<M>, CallError> {
        poll_fn(|cx| self.poll_message(cx)).await
    }

    /// Adds a message to the request of a client-streaming call. [`Call::next`] sends it.
    pub fn send(&mut self, body: Bytes) {
        self.body = Some(match self.body.take() {
            Some(unsent) => [unsent, body].concat().into(),
            None => body,
        });
    }

    /// The next message if it has been received already.
    pub async fn try_next<M: Message + Default>(&mut self) -> Option<Result<Option<M>, CallError>> {
        poll_fn(|cx| match self.poll_message(cx) {
            Poll::Pending => Poll::Ready(None),
            Poll::Ready(next) => Poll::Ready(Some(next)),
        })
        .await
    }

    /// Whether the whole request was handed to the connection.
    pub fn uploaded(&self) -> bool {
        self.body.is_none()
    }

    /// Whether any part of the call was written to the socket.
    pub fn headers_sent(&self) -> bool {
        self.channel.observer.headers_sent(self.stream)
    }

    /// Whether the server has ended the stream. Discards what is received until then.
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
    /// A connection on which the reset is not written within `within` is closed: nothing gets through it anyway.
    /// Returns whether the call had been written to the socket.
    pub async fn abandon(mut self, within: Micros) -> bool {
        // No reset is sent for a stream that both sides have ended.
        if self.ended
            || self.channel.is_closed()
            || poll_fn(|cx| Poll::Ready(self.discard_until_end(cx))).await
        {
            return self.headers_sent();
        }
        let written = self.channel.observer.await_reset(self.stream);
        self.upload.send_reset(Reason::CANCEL);
        let runtime = self.channel.runtime.clone();
        let deadline = runtime.now().saturating_add(within);
        let wait = before(&runtime, deadline, written.recv()).await;
        // Nor for a call whose HEADERS were never sent, nor for one that ended just as it was reset.
        if wait.is_none()
            && self.headers_sent()
            && !poll_fn(|cx| Poll::Ready(self.ended_in_order(cx))).await
        {
            self.channel.close();
            // Ends with an error when the connection is closed.
            let _ = written.recv().await;
        }
        self.headers_sent()
    }

    /// Whether the server ended the stream in order, rather than by our reset.
    fn ended_in_order(&mut self, cx: &mut Context<'_>) -> bool {
        match &mut self.response {
            ResponseState::AwaitingHeaders(_) => false,
            ResponseState::Body(body) => matches!(body.poll_data(cx), Poll::Ready(None)),
        }
    }
}
