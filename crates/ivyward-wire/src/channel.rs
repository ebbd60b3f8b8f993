//! One connection to a server, its calls, pings and close.

use crate::frame::{Decoder, FrameError};
use crate::keepalive::{Activity, Keepalive, RestingChecks};
use crate::timeout::{encode_timeout, TIMEOUT_HEADER};
use crate::watch::{Trace, Watched};
use bytes::Bytes;
use futures_lite::future::{or, poll_fn};
use h2::client::{ResponseFuture, SendRequest};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use ivyward_world::io::Io;
use ivyward_world::{before, Conn, Micros, WorldExt, WorldRef};
use prost::Message;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// How a connection behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Flow-control window of each stream, in bytes: what a peer may send ahead of the reader.
    pub stream_window: u32,
    /// Streams that the connection's window has room for, so that slow ones do not hold up the others.
    pub streams: u32,
    /// Largest message taken, in bytes.
    pub most_message: usize,
    /// A ping is sent when nothing came in for this span, with calls in flight or without; 0 for never. Connections that are
    /// begun with [`Channel::begin_resting`] are pinged so only with calls in flight.
    pub ping_every: Micros,
    /// A connection on which a ping stays without answer for this span is closed.
    pub ping_timeout: Micros,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            stream_window: 16 << 10,
            streams: 100,
            most_message: 4 << 20,
            ping_every: 1_000_000,
            ping_timeout: 1_000_000,
        }
    }
}

/// The least that a token's frame carries: a gRPC prefix and a message of a few bytes.
const LEAST_FRAME: usize = 12;
/// What h2 counts for keeping a small frame, in bytes.
const FRAME_COST: usize = 256;

impl Options {
    /// Guards against h2's own guard: token streams are all small frames, and a budget made for a few of them would
    /// close the connection, with every stream on it, as soon as some readers are slow. So it covers all windows full
    /// of the smallest frames, which is what bounds the memory then.
    fn frame_budget(&self) -> usize {
        let frames = self.stream_window as usize / LEAST_FRAME + 1;
        (self.streams as usize).saturating_mul(frames).saturating_mul(FRAME_COST)
    }
}

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
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let code = text("grpc-status")?.parse().unwrap_or(2);
        let message = text("grpc-message").map(|m| unescape(&m)).unwrap_or_default();
        Some(Status { code, message, metadata: headers })
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

/// One HTTP/2 connection as its user holds it. Clones share the connection.
#[derive(Clone)]
pub struct Channel {
    send: SendRequest<Bytes>,
    trace: Arc<Trace>,
    close: async_channel::Sender<()>,
    activity: Arc<Activity>,
    /// How many bytes had come in when a check was not answered in time; none more since: it may be gone.
    unanswered: Arc<AtomicU64>,
    options: Options,
    world: WorldRef,
}

/// How a call begins.
#[derive(Debug, Default)]
struct Opening {
    /// Headers of its own.
    headers: HeaderMap,
    /// When its answer is of no use any more; told to the server as what is left when the call leaves.
    deadline: Option<Micros>,
    /// More messages may follow the first one.
    more: bool,
}

/// Counts a call among those open.
struct Counted(Arc<Activity>);

impl Counted {
    fn begin(activity: &Arc<Activity>) -> Counted {
        activity.begin();
        Counted(activity.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// No check was left unanswered.
const ALL_ANSWERED: u64 = u64::MAX;

impl Channel {
    /// Begins HTTP/2 on a connection. Its frames and pings run as a task of the world until it closes.
    ///
    /// # Errors
    /// When the preface cannot be written.
    pub async fn begin(world: &WorldRef, conn: Conn, options: Options) -> Result<Channel, h2::Error> {
        Channel::begin_resting(world, conn, options, None).await
    }

    /// The same, where `resting` decides when the connection is checked while no call is in flight on it.
    ///
    /// # Errors
    /// When the preface cannot be written.
    pub async fn begin_resting(
        world: &WorldRef,
        conn: Conn,
        options: Options,
        resting: Option<Arc<dyn RestingChecks>>,
    ) -> Result<Channel, h2::Error> {
        let trace = Arc::new(Trace::default());
        let watched = Watched::new(conn, trace.clone(), world.clone());
        let window = options.stream_window.saturating_mul(options.streams).max(1 << 16);
        let (send, mut connection) = h2::client::Builder::new()
            .initial_window_size(options.stream_window)
            .initial_connection_window_size(window.min((1 << 31) - 1))
            .data_frame_budget(options.frame_budget())
            .enable_push(false)
            .handshake(Io(watched))
            .await?;
        let (close, closed) = async_channel::bounded::<()>(1);
        let pings = connection.ping_pong();
        let activity = Arc::new(Activity::default());
        let (task_trace, world_ref) = (trace.clone(), world.clone());
        let keepalive = Keepalive {
            world: world_ref,
            options,
            trace: trace.clone(),
            activity: activity.clone(),
            resting,
        };
        world.run(async move {
            let frames = async {
                // Errors reach the calls by themselves.
                let _ = connection.await;
            };
            let told = async {
                let _ = closed.recv().await;
            };
            let pinging = async {
                if let Some(pings) = pings.filter(|_| options.ping_every > 0) {
                    keepalive.run(pings).await;
                } else {
                    std::future::pending::<()>().await;
                }
            };
            // Dropping the frames' future closes the socket.
            or(frames, or(told, pinging)).await;
            task_trace.close();
        });
        let unanswered = Arc::new(AtomicU64::new(ALL_ANSWERED));
        Ok(Channel { send, trace, close, activity, unanswered, options, world: world.clone() })
    }

    /// Whether new calls may be made on it.
    pub fn usable(&self) -> bool {
        !self.trace.closed() && !self.trace.going_away()
    }
    /// Whether it is gone.
    pub fn closed(&self) -> bool {
        self.trace.closed()
    }
    /// Calls open on it.
    pub fn calls(&self) -> usize {
        self.activity.calls.load(Ordering::SeqCst)
    }
    /// When bytes last came in, or when it was opened.
    pub fn heard(&self) -> Micros {
        self.trace.heard()
    }
    /// Whether a check was not answered in time, and nothing came in since.
    pub fn doubtful(&self) -> bool {
        self.unanswered.load(Ordering::SeqCst) == self.trace.received()
    }
    /// Returns when something comes in, or when it has closed.
    pub async fn answered(&self) {
        let seen = self.trace.received();
        self.stirred_since(seen).await;
    }
    async fn stirred_since(&self, seen: u64) {
        loop {
            let stirred = self.trace.listen();
            if self.trace.closed() || self.trace.received() != seen {
                return;
            }
            stirred.await;
        }
    }
    /// Pings it now and waits for any bytes; whether some came within this span.
    pub async fn check(&self, within: Micros) -> bool {
        let seen = self.trace.received();
        self.activity.ask_check();
        let by = self.world.now().saturating_add(within);
        before(&self.world, by, self.stirred_since(seen)).await;
        let answered = self.trace.received() != seen;
        if !answered {
            self.unanswered.store(seen, Ordering::SeqCst);
        }
        answered && !self.closed()
    }
    /// Streams that the server takes at once, as far as it told.
    pub fn room(&self) -> usize {
        self.send.current_max_send_streams()
    }
    /// Closes the connection; its calls break.
    pub fn close(&self) {
        // Full means that it was told already.
        let _ = self.close.try_send(());
    }

    /// Makes a call with one request message. The upload and the answer go on in [`Call::next`].
    ///
    /// # Errors
    /// When the call could not even begin; it never ran then.
    pub async fn call(&self, path: &'static str, body: Bytes, headers: HeaderMap) -> Result<Call, CallError> {
        self.begin_call(path, body, Opening { headers, ..Opening::default() }).await
    }

    /// Makes a call with one request message, and tells the server how long its answer is waited for: what is left to
    /// `deadline` in the moment in which the call leaves, however long it waited for a stream.
    ///
    /// # Errors
    /// When the call could not even begin, or no time is left; it never ran then.
    pub async fn call_before(
        &self,
        path: &'static str,
        body: Bytes,
        deadline: Option<Micros>,
    ) -> Result<Call, CallError> {
        self.begin_call(path, body, Opening { deadline, ..Opening::default() }).await
    }

    /// Makes a call whose request goes on: more messages follow by [`Call::send`].
    ///
    /// # Errors
    /// When the call could not even begin; it never ran then.
    pub async fn open(&self, path: &'static str, body: Bytes, headers: HeaderMap) -> Result<Call, CallError> {
        self.begin_call(path, body, Opening { headers, more: true, ..Opening::default() }).await
    }

    async fn begin_call(&self, path: &'static str, body: Bytes, opening: Opening) -> Result<Call, CallError> {
        let never = |cause| CallError { cause, never_ran: true };
        let broken = |e: h2::Error| never(Cause::Broken(e.to_string()));
        let mut send = self.send.clone().ready().await.map_err(broken)?;
        let mut request = Request::new(());
        *request.method_mut() = http::Method::POST;
        *request.version_mut() = http::Version::HTTP_2;
        *request.uri_mut() = http::Uri::builder()
            .scheme("http")
            .authority("engine")
            .path_and_query(path)
            .build()
            .map_err(|e| never(Cause::Broken(e.to_string())))?;
        *request.headers_mut() = opening.headers;
        if let Some(deadline) = opening.deadline {
            let left = deadline.saturating_sub(self.world.now());
            if left == 0 {
                return Err(never(Cause::Late));
            }
            let value = HeaderValue::from_str(&encode_timeout(left));
            let value = value.map_err(|e| never(Cause::Broken(e.to_string())))?;
            request.headers_mut().insert(HeaderName::from_static(TIMEOUT_HEADER), value);
        }
        let fixed = [("content-type", "application/grpc"), ("te", "trailers")];
        for (name, value) in fixed {
            request.headers_mut().insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let counted = Counted::begin(&self.activity);
        let (response, upload) = send.send_request(request, false).map_err(broken)?;
        Ok(Call {
            stream: u32::from(upload.stream_id()),
            upload,
            body: Some(body),
            more: opening.more,
            answer: Answer::Awaited(response),
            decoder: Decoder::new(self.options.most_message),
            channel: self.clone(),
            over: false,
            _counted: counted,
        })
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
        let refused = error.is_reset() && error.is_remote() && error.reason() == Some(Reason::REFUSED_STREAM);
        // Below a GOAWAY's last stream, or once HEADERS left, the server may have worked on it.
        let never_ran = refused || trace.disowned(self.stream) || !trace.left(self.stream);
        let text = error.to_string();
        let cause =
            if error.is_reset() && error.is_remote() { Cause::Reset(text) } else { Cause::Broken(text) };
        CallError { cause, never_ran }
    }

    /// The next message, as [`Call::next`] returns it.
    pub fn poll_message<M: Message + Default>(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<M>, CallError>> {
        let failed = |cause| Poll::Ready(Err(CallError { cause, never_ran: false }));
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
                            let message =
                                format!("HTTP status {} instead of a gRPC answer", head.status.as_u16());
                            return failed(Cause::Status(Status { code: 2, message, ..Status::default() }));
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
        let world = self.channel.world.clone();
        let wait = before(&world, world.now().saturating_add(within), written.recv()).await;
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
