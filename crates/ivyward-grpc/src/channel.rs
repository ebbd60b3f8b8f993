//! One connection to a server: how it begins, what is known of it, and its close.

use crate::call::{Call, CallError, Cause, Counted};
use crate::keepalive::{Activity, Keepalive, RestingChecks};
use crate::timeout::{encode_timeout, TIMEOUT_HEADER};
use crate::watch::{Trace, Watched};
use bytes::Bytes;
use futures_lite::future::or;
use h2::client::SendRequest;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use ivyward_runtime::io::Io;
use ivyward_runtime::{before, Conn, Micros, RuntimeExt, RuntimeRef};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

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
        (self.streams as usize)
            .saturating_mul(frames)
            .saturating_mul(FRAME_COST)
    }
}

/// One HTTP/2 connection as its user holds it. Clones share the connection.
#[derive(Clone)]
pub struct Channel {
    send: SendRequest<Bytes>,
    pub(crate) trace: Arc<Trace>,
    close: async_channel::Sender<()>,
    activity: Arc<Activity>,
    /// How many bytes had come in when a check was not answered in time; none more since: it may be gone.
    unanswered: Arc<AtomicU64>,
    pub(crate) options: Options,
    pub(crate) runtime: RuntimeRef,
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

/// Time in which a connection's task reads what waits in its socket, in microseconds.
const READ_WHAT_CAME: Micros = 1_000;
/// No check was left unanswered.
const ALL_ANSWERED: u64 = u64::MAX;

impl Channel {
    /// Begins HTTP/2 on a connection. Its frames and pings run as a task of the world until it closes.
    ///
    /// # Errors
    /// When the preface cannot be written.
    pub async fn begin(
        runtime: &RuntimeRef,
        conn: Conn,
        options: Options,
    ) -> Result<Channel, h2::Error> {
        Channel::begin_resting(runtime, conn, options, None).await
    }

    /// The same, where `resting` decides when the connection is checked while no call is in flight on it.
    ///
    /// # Errors
    /// When the preface cannot be written.
    pub async fn begin_resting(
        runtime: &RuntimeRef,
        conn: Conn,
        options: Options,
        resting: Option<Arc<dyn RestingChecks>>,
    ) -> Result<Channel, h2::Error> {
        let trace = Arc::new(Trace::default());
        let watched = Watched::new(conn, trace.clone(), runtime.clone());
        let window = options
            .stream_window
            .saturating_mul(options.streams)
            .max(1 << 16);
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
        let (task_trace, runtime_ref) = (trace.clone(), runtime.clone());
        let keepalive = Keepalive {
            runtime: runtime_ref,
            options,
            trace: trace.clone(),
            activity: activity.clone(),
            resting,
        };
        runtime.run(async move {
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
        Ok(Channel {
            send,
            trace,
            close,
            activity,
            unanswered,
            options,
            runtime: runtime.clone(),
        })
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
        let by = self.runtime.now().saturating_add(within);
        if before(&self.runtime, by, self.stirred_since(seen))
            .await
            .is_none()
        {
            // Guards against a process that was not scheduled meanwhile: what has come is read before it counts as nothing.
            self.runtime.sleep(READ_WHAT_CAME).await;
        }
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
    pub async fn call(
        &self,
        path: &'static str,
        body: Bytes,
        headers: HeaderMap,
    ) -> Result<Call, CallError> {
        self.begin_call(
            path,
            body,
            Opening {
                headers,
                ..Opening::default()
            },
        )
        .await
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
        self.begin_call(
            path,
            body,
            Opening {
                deadline,
                ..Opening::default()
            },
        )
        .await
    }

    /// Makes a call whose request goes on: more messages follow by [`Call::send`].
    ///
    /// # Errors
    /// When the call could not even begin; it never ran then.
    pub async fn open(
        &self,
        path: &'static str,
        body: Bytes,
        headers: HeaderMap,
    ) -> Result<Call, CallError> {
        self.begin_call(
            path,
            body,
            Opening {
                headers,
                more: true,
                ..Opening::default()
            },
        )
        .await
    }

    async fn begin_call(
        &self,
        path: &'static str,
        body: Bytes,
        opening: Opening,
    ) -> Result<Call, CallError> {
        let never = |cause| CallError {
            cause,
            never_ran: true,
        };
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
            let left = deadline.saturating_sub(self.runtime.now());
            if left == 0 {
                return Err(never(Cause::Late));
            }
            let value = HeaderValue::from_str(&encode_timeout(left));
            let value = value.map_err(|e| never(Cause::Broken(e.to_string())))?;
            request
                .headers_mut()
                .insert(HeaderName::from_static(TIMEOUT_HEADER), value);
        }
        let fixed = [("content-type", "application/grpc"), ("te", "trailers")];
        for (name, value) in fixed {
            request.headers_mut().insert(
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            );
        }
        let counted = Counted::begin(&self.activity);
        let streams = send.send_request(request, false).map_err(broken)?;
        Ok(Call::begun(self, streams, (body, opening.more), counted))
    }
}
