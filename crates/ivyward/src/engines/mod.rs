//! The interface between the driver and the protocols that engines speak.
//!
//! A protocol knows the form of prompts, answers and the keys under which engines hold things; the driver passes them on
//! without looking. The driver knows requests, deadlines, timers and reservations; a protocol decides nothing of that.
//!
//! - [`connect`]: opens a connection, whatever the protocol.
//! - `connection_pool` and `keepalive`: connections of the gRPC protocol.

pub mod connect;
pub(crate) mod connection_pool;
pub(crate) mod keepalive;

pub use ivyward_core::reservations::ReservationStatus;

use crate::context::NodeContext;
use crate::response::{AlreadyFinished, FinalStatus, TokenBuffer};
use futures_lite::future::{or, poll_fn};
use ivyward_core::interface::{Endpoint, EndpointId, LoadReport, Micros, Outcome};
use ivyward_runtime::{BoxFuture, RuntimeRef};
use std::any::Any;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

/// An engine as a list names it, with its address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// What the router is told. `machine_type` is an index into the router's roles.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why the driver cancels an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The router no longer waits for it. An attempt whose stream has begun goes on.
    ByRouter,
    /// Nobody wants its answer any more.
    RequestFinished,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// What the router is told.
    pub outcome: Outcome,
    /// Prompt tokens that were found in the engine's cache.
    pub cached_tokens: u32,
    /// The engine's load report, if one came along.
    pub report: LoadReport,
    /// A text for logs and clients.
    pub detail: String,
}

impl AttemptResult {
    /// A result without cached tokens and load report.
    pub fn new(outcome: Outcome, detail: impl Into<String>) -> AttemptResult {
        AttemptResult {
            outcome,
            cached_tokens: 0,
            report: LoadReport::default(),
            detail: detail.into(),
        }
    }
}

/// A request as its protocol holds it: the prompt, and the path of the answer to the client.
pub trait Call: Send + Sync + 'static {
    /// Sets the final answer; only the first one counts. Returns whether this was the first.
    fn finish(&self, end: FinalStatus) -> bool;
    /// For the protocol to downcast to its own type.
    fn as_any(&self) -> &dyn Any;
    /// The request's name outside this node, for logs.
    fn name(&self) -> &str;
}

/// The client of one engine, as the driver holds it.
pub trait EngineClient: Send + Sync + 'static {
    /// Which engine.
    fn id(&self) -> EndpointId;
    /// Where it listens.
    fn address(&self) -> SocketAddr;
    /// Sets whether the engine drains or was removed: then nothing that has not left yet is sent to it.
    fn set_draining(&self, draining: bool);
    /// Closes all connections.
    fn close(&self);
    /// For the protocol to downcast to its own type.
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync>;
    /// Runs one attempt to its one outcome. Ends only when no byte of it is under way any more.
    fn run_attempt(self: Arc<Self>, request: AttemptRequest) -> BoxFuture<AttemptResult>;
    /// Reserves a decode slot, unless the request stops needing one first.
    fn reserve(self: Arc<Self>, request: ReserveRequest) -> BoxFuture<ReservationStatus>;
    /// Checks the engine's health: whether it answered, and its load report.
    fn health_check(self: Arc<Self>, context: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)>;
}

/// A shared engine client.
pub type EngineHandle = Arc<dyn EngineClient>;

/// A protocol that engines speak.
pub trait Protocol: Send + Sync + 'static {
    /// The client of an engine that is new or has moved.
    fn engine_client(&self, context: &Arc<NodeContext>, engine: &Engine) -> EngineHandle;
    /// Whether reservations are released one by one. Otherwise one release ends all that is held for its request anywhere,
    /// and is asked for once, when no attempt is in flight and none follows.
    fn releases_individually(&self) -> bool;
    /// Releases reservations, as a task of its own.
    fn release(&self, context: &Arc<NodeContext>, request: ReleaseRequest);
    /// A prefill of this request ended well, so that a release still under way would take away the state that it left.
    /// Returns whether there was such a release: it is to be asked for again.
    fn withdraw_release(&self, _request: u64) -> bool {
        false
    }
}

/// What the driver asks of one attempt.
pub struct AttemptRequest {
    /// The node's context.
    pub context: Arc<NodeContext>,
    /// The request as its protocol holds it.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// The attempt's number.
    pub attempt: u16,
    /// Whether the engine only prefills.
    pub prefill_only: bool,
    /// The engine that holds the KV state to fetch, and the prefill attempt that left it there.
    pub kv_state: Option<(EngineHandle, u16)>,
    /// When it ends without a first token.
    pub deadline: Micros,
    /// When the node ends the stream, if the client stated a time for the whole answer.
    pub stream_deadline: Option<Micros>,
    /// When it ends unless its last byte has left: engines hold something meanwhile, and that time runs on.
    pub send_deadline: Micros,
    pub(crate) cancel: async_channel::Receiver<CancelReason>,
    pub(crate) on_first_token: Box<dyn Fn() + Send + Sync>,
}

impl AttemptRequest {
    /// Reports that the answer began to stream: from now on the attempt belongs to the client.
    pub fn notify_first_token(&self) {
        (self.on_first_token)();
    }
    /// Returns when the driver cancels this attempt.
    pub async fn cancelled(&self) -> CancelReason {
        // Without a driver there is no node.
        self.cancel
            .recv()
            .await
            .unwrap_or(CancelReason::RequestFinished)
    }
    /// Waits for `next`, a cancellation, or the timer.
    pub async fn wait<T>(
        &self,
        timer: &mut BoxFuture<()>,
        next: impl Future<Output = T>,
    ) -> WaitResult<T> {
        or(async { WaitResult::Completed(next.await) }, async {
            or(
                async { WaitResult::Cancelled(self.cancelled().await) },
                async {
                    timer.await;
                    WaitResult::TimedOut
                },
            )
            .await
        })
        .await
    }
    /// Like [`AttemptRequest::wait`], but a cancellation goes first: nothing that can still be left undone is done after it.
    pub async fn wait_cancel_first<T>(
        &self,
        timer: &mut BoxFuture<()>,
        next: impl Future<Output = T>,
    ) -> WaitResult<T> {
        or(
            async { WaitResult::Cancelled(self.cancelled().await) },
            self.wait(timer, next),
        )
        .await
    }
    /// Waits until the client's buffer has room.
    ///
    /// # Errors
    /// When nobody wants the answer any more.
    pub async fn wait_for_capacity<T: Copy>(
        &self,
        buffer: &TokenBuffer<T>,
    ) -> Result<(), AlreadyFinished> {
        let has_room = poll_fn(|cx| buffer.poll_capacity(cx));
        let abandoned = async {
            while self.cancelled().await == CancelReason::ByRouter {}
            Err(AlreadyFinished)
        };
        or(has_room, abandoned).await
    }
}

/// What ends a wait.
pub enum WaitResult<T> {
    /// The result waited for.
    Completed(T),
    /// The driver cancelled the attempt.
    Cancelled(CancelReason),
    /// The timer fired.
    TimedOut,
}

/// Finds streams without progress, with one timer for each span rather than for each piece.
pub struct StallDetector {
    span: Micros,
    /// When the stream last made progress.
    pub last_progress: Micros,
    /// The timer to wait for; after it fired, call [`StallDetector::is_stalled`].
    pub timer: BoxFuture<()>,
}

impl StallDetector {
    /// For a stream that made progress just now.
    pub fn new(runtime: &RuntimeRef, span: Micros) -> StallDetector {
        let last_progress = runtime.now();
        StallDetector {
            span,
            last_progress,
            timer: runtime.sleep_until(last_progress.saturating_add(span)),
        }
    }
    /// Whether the span is over without progress; if not, the timer is set anew.
    pub fn is_stalled(&mut self, runtime: &RuntimeRef) -> bool {
        let due = self.last_progress.saturating_add(self.span);
        if runtime.now() >= due {
            return true;
        }
        self.timer = runtime.sleep_until(due);
        false
    }
}

/// A call for a decode slot.
pub struct ReserveRequest {
    /// The node's context.
    pub context: Arc<NodeContext>,
    /// The request as its protocol holds it.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// The prefill attempt beside which it is asked for.
    pub attempt: u16,
    /// When the client's time for a first token is over: a slot is of no use from then on.
    pub deadline: Micros,
    pub(crate) finished: async_channel::Receiver<()>,
}

impl ReserveRequest {
    /// Returns when the request no longer needs a slot.
    pub async fn until_finished(&self) {
        // Ends when the sender is dropped.
        let _ = self.finished.recv().await;
    }
    /// Whether the request no longer needs a slot.
    pub fn is_finished(&self) -> bool {
        self.finished.is_closed()
    }
}

/// Something that an engine may hold for a request.
pub type Reservation = ivyward_core::reservations::Reservation<EngineHandle>;

/// Reservations to release.
pub struct ReleaseRequest {
    /// The request as its protocol holds it.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// What may be held; never empty.
    pub reservations: Vec<Reservation>,
}
