//! What the driver asks of whoever speaks to engines, and what it is told back: the seam between the one driver and the
//! protocols behind it.
//!
//! A protocol knows how a prompt, an answer and the keys under which engines hold things look; the driver passes them on
//! unseen. The driver knows requests, deadlines, timers and what may be held where; a protocol decides nothing of that.

pub mod connect;
pub(crate) mod keepalive;
pub(crate) mod link;

use crate::context::NodeContext;
use crate::response::{FinalStatus, StreamEnd, TokenBuffer};
use futures_lite::future::{or, poll_fn};
use ivyward_core::interface::{Endpoint, EndpointId, LoadReport, Micros, Outcome};
pub use ivyward_core::reservations::ReservationStatus;
use ivyward_runtime::{BoxFuture, RuntimeRef};
use std::any::Any;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

/// An engine as a list names it, with its address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// What the module is told. `kind` is an index into the module's roles.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the driver may tell a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The module no longer waits for it. One whose stream has begun goes on.
    ByRouter,
    /// Nobody wants its answer any more.
    RequestFinished,
}

/// How an attempt ended, and what is to be said of it.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// What the module is told.
    pub outcome: Outcome,
    /// Prompt tokens that were found kept.
    pub cached_tokens: u32,
    /// The engine's load report, if one came along.
    pub report: LoadReport,
    /// For people.
    pub detail: String,
}

impl AttemptResult {
    /// An end with nothing kept and nothing reported.
    pub fn new(outcome: Outcome, detail: impl Into<String>) -> AttemptResult {
        AttemptResult {
            outcome,
            cached_tokens: 0,
            report: LoadReport::default(),
            detail: detail.into(),
        }
    }
}

/// A request as its protocol holds it: the prompt, and the way of the answer to the client.
pub trait Call: Send + Sync + 'static {
    /// Sets the final answer; the first one counts. Whether this was it.
    fn finish(&self, end: FinalStatus) -> bool;
    /// For the protocol to find its own type again.
    fn as_any(&self) -> &dyn Any;
    /// The name under which the request is known outside, for logs.
    fn name(&self) -> &str;
}

/// A link to one engine, as the driver holds it.
pub trait EngineClient: Send + Sync + 'static {
    /// Which engine.
    fn id(&self) -> EndpointId;
    /// Where it listens.
    fn address(&self) -> SocketAddr;
    /// The node was told that the engine drains or is gone, or is not any more: what has not left yet stays here.
    fn set_draining(&self, draining: bool);
    /// Closes all connections.
    fn close(&self);
    /// For the protocol to find its own type again.
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync>;
    /// Runs one attempt to its one outcome. It ends only when nothing of it is on its way any more.
    fn run_attempt(self: Arc<Self>, job: AttemptRequest) -> BoxFuture<AttemptResult>;
    /// Asks for a place, until the request no longer needs one.
    fn reserve(self: Arc<Self>, job: ReserveRequest) -> BoxFuture<ReservationStatus>;
    /// Asks the engine how it is: whether it answered, and its report.
    fn health_check(self: Arc<Self>, context: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)>;
}

/// A link as it is handed around.
pub type EngineHandle = Arc<dyn EngineClient>;

/// How engines are spoken to.
pub trait Protocol: Send + Sync + 'static {
    /// A link to an engine that is new or has moved.
    fn engine_client(&self, context: &Arc<NodeContext>, engine: &Engine) -> EngineHandle;
    /// Whether what is held is let go one by one. Where it is not, a release ends all that is held for its request
    /// anywhere, and is asked for once, when no attempt is out and none follows.
    fn releases_individually(&self) -> bool;
    /// Lets go of what may be held, as a task of its own.
    fn release(&self, context: &Arc<NodeContext>, job: ReleaseRequest);
    /// A read for this request ended well, so that a release that is not done yet would take away what it left. Whether
    /// there was one: it is to be asked for again.
    fn withdraw_release(&self, _request: u64) -> bool {
        false
    }
}

/// One attempt.
pub struct AttemptRequest {
    /// The node's.
    pub context: Arc<NodeContext>,
    /// The request's own.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// The attempt's number.
    pub attempt: u16,
    /// Whether the engine only reads.
    pub prefill_only: bool,
    /// Where the read state waits, and the attempt that read it.
    pub kv_state: Option<(EngineHandle, u16)>,
    /// When it ends without a first token.
    pub deadline: Micros,
    /// When the node ends the stream, if the client stated a time for the whole answer.
    pub stream_deadline: Option<Micros>,
    /// When it ends unless its last byte left: something is held meanwhile, and its time runs on.
    pub send_deadline: Micros,
    pub(crate) cancel: async_channel::Receiver<CancelReason>,
    pub(crate) on_first_token: Box<dyn Fn() + Send + Sync>,
}

impl AttemptRequest {
    /// Says that the answer began to stream: from now on the attempt belongs to the client.
    pub fn notify_first_token(&self) {
        (self.on_first_token)();
    }
    /// The driver's next word on this attempt.
    pub async fn cancelled(&self) -> CancelReason {
        // Without a driver there is no node.
        self.cancel
            .recv()
            .await
            .unwrap_or(CancelReason::RequestFinished)
    }
    /// Waits for what comes next, a word from the driver, or the timer.
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
    /// The same, where the driver's word goes first: nothing that can still be left undone is done after it.
    pub async fn until_cancelled<T>(
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
    /// Waits until the client has room, or nobody wants the answer any more.
    ///
    /// # Errors
    /// When nobody does.
    pub async fn wait_for_capacity<T: Copy>(
        &self,
        buffer: &TokenBuffer<T>,
    ) -> Result<(), StreamEnd> {
        let free = poll_fn(|cx| buffer.poll_capacity(cx));
        let given_up = async {
            while self.cancelled().await == CancelReason::ByRouter {}
            Err(StreamEnd)
        };
        or(free, given_up).await
    }
}

/// What ends a wait.
pub enum WaitResult<T> {
    /// What was waited for.
    Completed(T),
    /// The driver's word.
    Cancelled(CancelReason),
    /// The timer.
    TimedOut,
}

/// Looks for streams without progress with one timer a span, not one for each piece.
pub struct StallDetector {
    span: Micros,
    /// When something came last.
    pub last_progress: Micros,
    /// To wait beside; after it fired ask [`StallDetector::is_stalled`].
    pub timer: BoxFuture<()>,
}

impl StallDetector {
    /// A stream of which something came just now.
    pub fn new(runtime: &RuntimeRef, span: Micros) -> StallDetector {
        let last_progress = runtime.now();
        StallDetector {
            span,
            last_progress,
            timer: runtime.sleep_until(last_progress.saturating_add(span)),
        }
    }
    /// After the timer fired: whether the span is over, else the timer is set anew.
    pub fn is_stalled(&mut self, runtime: &RuntimeRef) -> bool {
        let due = self.last_progress.saturating_add(self.span);
        if runtime.now() >= due {
            return true;
        }
        self.timer = runtime.sleep_until(due);
        false
    }
}

/// A place asked for ahead.
pub struct ReserveRequest {
    /// The node's.
    pub context: Arc<NodeContext>,
    /// The request's own.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// The attempt beside which it is asked for.
    pub attempt: u16,
    /// When the client's time for a first token is over: a place is of no use from then on.
    pub deadline: Micros,
    pub(crate) finished: async_channel::Receiver<()>,
}

impl ReserveRequest {
    /// Returns when the request no longer needs a place.
    pub async fn until_finished(&self) {
        // Ends when the sender is dropped.
        let _ = self.finished.recv().await;
    }
    /// Whether the request no longer needs a place.
    pub fn is_finished(&self) -> bool {
        self.finished.is_closed()
    }
}

/// Something that an engine may hold for a request.
pub type Reservation = ivyward_core::reservations::Reservation<EngineHandle>;

/// Something to let go.
pub struct ReleaseRequest {
    /// The request's own.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// What may be kept; never empty.
    pub reservations: Vec<Reservation>,
}
