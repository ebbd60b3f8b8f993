//! The interface between the driver and the protocols that engines speak.
//!
//! A protocol knows the format of prompts and responses, and the keys under which engines store KV states and decode slots;
//! to the driver all of these are opaque. The driver manages requests, deadlines, timers and reservations; a protocol makes no
//! decision about them.
//!
//! - [`connect`]: opens a connection, for any protocol.
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

/// An engine of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// The endpoint as the router sees it. Its `machine_type` is an index into the router's roles.
    pub endpoint: Endpoint,
    /// The address on which the engine listens.
    pub address: SocketAddr,
}

/// Why the driver cancels an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// The router no longer waits for the attempt. An attempt whose stream has started ignores this.
    ByRouter,
    /// The request has its final status, or its client disconnected.
    RequestFinished,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The outcome that the router receives.
    pub outcome: Outcome,
    /// Number of prompt tokens that were in the engine's cache.
    pub cached_tokens: u32,
    /// The engine's load report; empty if the engine sent none.
    pub report: LoadReport,
    /// Details for logs. The client receives them if the request fails and this is the last failed attempt.
    pub detail: String,
}

impl AttemptResult {
    /// Creates a result without cached tokens and without a load report.
    pub fn new(outcome: Outcome, detail: impl Into<String>) -> AttemptResult {
        AttemptResult {
            outcome,
            cached_tokens: 0,
            report: LoadReport::default(),
            detail: detail.into(),
        }
    }
}

/// The protocol's part of a request: its prompt, and where the response for the client goes.
pub trait Call: Send + Sync + 'static {
    /// Sets the final status, unless one is set. Returns whether this call set it.
    fn finish(&self, status: FinalStatus) -> bool;
    /// Returns `self` for the protocol to downcast to its own type.
    fn as_any(&self) -> &dyn Any;
    /// The request's name outside this node, for logs; empty if it has none.
    fn name(&self) -> &str;
}

/// The driver's client of one engine.
pub trait EngineClient: Send + Sync + 'static {
    /// The engine's id.
    fn id(&self) -> EndpointId;
    /// The address on which the engine listens.
    fn address(&self) -> SocketAddr;
    /// Sets whether the engine drains or was removed. While it does, the client starts no new call to it; calls that were
    /// already sent continue.
    fn set_draining(&self, draining: bool);
    /// Closes all connections to the engine. Their calls fail.
    fn close(&self);
    /// Returns `self` for the protocol to downcast to its own type.
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync>;
    /// Runs one attempt to its single outcome. Completes only when the node sends no further byte of the attempt.
    fn run_attempt(self: Arc<Self>, request: AttemptRequest) -> BoxFuture<AttemptResult>;
    /// Reserves a decode slot, unless the request stops needing one first.
    fn reserve(self: Arc<Self>, request: ReserveRequest) -> BoxFuture<ReservationStatus>;
    /// Checks the engine's health. Returns whether the engine answered, and its load report.
    fn health_check(self: Arc<Self>, context: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)>;
}

/// A shared reference to the client of an engine.
pub type EngineHandle = Arc<dyn EngineClient>;

/// A protocol that engines speak.
pub trait Protocol: Send + Sync + 'static {
    /// Creates the client of an engine that is new or has a new address.
    fn engine_client(&self, context: &Arc<NodeContext>, engine: &Engine) -> EngineHandle;
    /// Whether each reservation is released by a call of its own. Otherwise one release covers all reservations of its request
    /// on all engines, and is sent once, when no attempt is in flight and none follows.
    fn releases_individually(&self) -> bool;
    /// Whether an engine reserves a decode slot only while the prefill of the same request is in progress. If so, a reserved
    /// slot shows that the prefill has arrived at its engine.
    fn slot_confirms_prefill(&self) -> bool {
        false
    }
    /// Starts a task that releases reservations.
    fn release(&self, context: &Arc<NodeContext>, request: ReleaseRequest);
    /// Stops a release of this request that is still in progress. The driver calls this when a prefill succeeded, whose KV
    /// state that release would delete. Returns whether there was such a release; the driver then releases again later.
    fn withdraw_release(&self, _request: u64) -> bool {
        false
    }
}

/// One attempt that the driver asks an engine client to run.
pub struct AttemptRequest {
    /// The runtime, settings and metrics of the node.
    pub context: Arc<NodeContext>,
    /// The protocol's part of the request.
    pub call: Arc<dyn Call>,
    /// The request's id at this node.
    pub request: u64,
    /// The attempt's index within its request, from 0.
    pub attempt: u16,
    /// Whether the engine computes the prompt's KV state only, without generating tokens.
    pub prefill_only: bool,
    /// The engine to fetch the KV state from, and the prefill attempt that computed it there; `None` if there is none.
    pub kv_state: Option<(EngineHandle, u16)>,
    /// The time at which the attempt ends unless the first token was received.
    pub deadline: Micros,
    /// The time at which the node ends the stream; `None` if the client set no timeout for the whole response.
    pub stream_deadline: Option<Micros>,
    /// The time at which the attempt ends unless its last byte was sent. An engine's
    /// reservation for the attempt expires after a limited time, which passes meanwhile.
    pub send_deadline: Micros,
    pub(crate) cancel: async_channel::Receiver<CancelReason>,
    pub(crate) on_delivered: Box<dyn Fn() + Send + Sync>,
    pub(crate) on_first_token: Box<dyn Fn() + Send + Sync>,
}

impl AttemptRequest {
    /// Notifies the driver that the attempt has arrived at its engine, before the response shows it.
    pub fn notify_delivered(&self) {
        (self.on_delivered)();
    }
    /// Notifies the driver that the response has started to stream. From then on the router neither cancels nor retries the
    /// attempt.
    pub fn notify_first_token(&self) {
        (self.on_first_token)();
    }
    /// Waits until the driver cancels this attempt.
    pub async fn cancelled(&self) -> CancelReason {
        // The channel is closed when the driver has ended, and the node with it.
        self.cancel
            .recv()
            .await
            .unwrap_or(CancelReason::RequestFinished)
    }
    /// Waits until `next` completes, the attempt is cancelled, or the timer fires; if several are ready, the first of them in
    /// this order counts.
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
    /// Like [`AttemptRequest::wait`], but a cancellation takes precedence over `next`, which is then not polled any more. For
    /// steps that must not happen after a cancellation.
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
    /// Waits until the client's buffer has capacity.
    ///
    /// # Errors
    /// [`AlreadyFinished`] when the request has its final status or its client disconnected.
    pub async fn wait_for_capacity<T: Copy>(
        &self,
        buffer: &TokenBuffer<T>,
    ) -> Result<(), AlreadyFinished> {
        let has_capacity = poll_fn(|cx| buffer.poll_capacity(cx));
        let abandoned = async {
            while self.cancelled().await == CancelReason::ByRouter {}
            Err(AlreadyFinished)
        };
        or(has_capacity, abandoned).await
    }
}

/// Why a wait ended.
pub enum WaitResult<T> {
    /// The future completed with this result.
    Completed(T),
    /// The driver cancelled the attempt.
    Cancelled(CancelReason),
    /// The timer fired first.
    TimedOut,
}

/// An item of a stream may take this many times the idle timeout, if parts of it arrive all the time.
const MAX_ITEM_TIMEOUTS: Micros = 6;

/// Detects streams without progress. Sets one timer per timeout interval instead of one for each received message.
pub struct StallDetector {
    timeout: Micros,
    /// The time at which the stream last made progress.
    last_progress: Micros,
    /// The time at which the last complete item was received.
    last_item: Micros,
    /// The timer to wait for. After it fired, call [`StallDetector::is_stalled`].
    pub timer: BoxFuture<()>,
}

impl StallDetector {
    /// Creates a detector for a stream that made progress just now and is stalled after `timeout` microseconds without any.
    pub fn new(runtime: &RuntimeRef, timeout: Micros) -> StallDetector {
        let now = runtime.now();
        StallDetector {
            timeout,
            last_progress: now,
            last_item: now,
            timer: runtime.sleep_until(now.saturating_add(timeout)),
        }
    }
    /// Records that a complete item was received and can be forwarded.
    pub fn item_received(&mut self, now: Micros) {
        self.last_progress = now;
        self.last_item = now;
    }
    /// Records that a part of an item was received. An item that never ends is no progress in the long run.
    pub fn part_received(&mut self, now: Micros) {
        self.last_progress = now;
    }
    fn due(&self) -> Micros {
        let item_timeout = self.timeout.saturating_mul(MAX_ITEM_TIMEOUTS);
        let idle = self.last_progress.saturating_add(self.timeout);
        idle.min(self.last_item.saturating_add(item_timeout))
    }
    /// Returns whether the timeout passed without progress. If not, the timer is set again.
    pub fn is_stalled(&mut self, runtime: &RuntimeRef) -> bool {
        let due = self.due();
        if runtime.now() >= due {
            return true;
        }
        self.timer = runtime.sleep_until(due);
        false
    }
}

/// A request to an engine client to reserve a decode slot.
pub struct ReserveRequest {
    /// The runtime, settings and metrics of the node.
    pub context: Arc<NodeContext>,
    /// The protocol's part of the request.
    pub call: Arc<dyn Call>,
    /// The request's id at this node.
    pub request: u64,
    /// The prefill attempt during which the slot is reserved.
    pub attempt: u16,
    /// The first-token deadline of the request. After it a slot is of no use.
    pub deadline: Micros,
    pub(crate) finished: async_channel::Receiver<()>,
}

impl ReserveRequest {
    /// Waits until the request no longer needs a slot.
    pub async fn until_finished(&self) {
        // Completes when the driver drops the sender.
        let _ = self.finished.recv().await;
    }
    /// Whether the request no longer needs a slot.
    pub fn is_finished(&self) -> bool {
        self.finished.is_closed()
    }
}

/// A decode slot or KV state that an engine may have reserved for a request.
pub type Reservation = ivyward_core::reservations::Reservation<EngineHandle>;

/// Reservations of one request to release.
pub struct ReleaseRequest {
    /// The protocol's part of the request.
    pub call: Arc<dyn Call>,
    /// The request's id at this node.
    pub request: u64,
    /// The reservations that engines may have; never empty.
    pub reservations: Vec<Reservation>,
}
