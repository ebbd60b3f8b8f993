//! What the driver asks of whoever speaks to engines, and what it is told back: the seam between the one driver and the
//! protocols behind it.
//!
//! A protocol knows how a prompt, an answer and the keys under which engines hold things look; the driver passes them on
//! unseen. The driver knows requests, deadlines, timers and what may be held where; a protocol decides nothing of that.

pub mod dial;
pub(crate) mod keepalive;
pub(crate) mod link;

use crate::answer::{Buffer, Final, Over};
use crate::shared::Shared;
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
    /// What the module is told. `kind` is an index into the module's roles.
    pub entry: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the driver may tell a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The module no longer waits for it. One whose stream has begun goes on.
    CallOff,
    /// Nobody wants its answer any more.
    GiveUp,
}

/// How an attempt ended, and what is to be said of it.
#[derive(Clone, Debug)]
pub struct End {
    /// What the module is told.
    pub outcome: Outcome,
    /// Prompt tokens that were found kept.
    pub kept: u32,
    /// The engine's load report, if one came along.
    pub report: LoadReport,
    /// For people.
    pub text: String,
}

impl End {
    /// An end with nothing kept and nothing reported.
    pub fn new(outcome: Outcome, text: impl Into<String>) -> End {
        End {
            outcome,
            kept: 0,
            report: LoadReport::default(),
            text: text.into(),
        }
    }
}

/// A request as its protocol holds it: the prompt, and the way of the answer to the client.
pub trait Call: Send + Sync + 'static {
    /// Sets the final answer; the first one counts. Whether this was it.
    fn finish(&self, end: Final) -> bool;
    /// For the protocol to find its own type again.
    fn as_any(&self) -> &dyn Any;
    /// The name under which the request is known outside, for logs.
    fn name(&self) -> &str;
}

/// A link to one engine, as the driver holds it.
pub trait Link: Send + Sync + 'static {
    /// Which engine.
    fn id(&self) -> EndpointId;
    /// Where it listens.
    fn address(&self) -> SocketAddr;
    /// The node was told that the engine drains or is gone, or is not any more: what has not left yet stays here.
    fn set_closing(&self, closing: bool);
    /// Closes all connections.
    fn shut(&self);
    /// For the protocol to find its own type again.
    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync>;
    /// Runs one attempt to its one outcome. It ends only when nothing of it is on its way any more.
    fn attempt(self: Arc<Self>, job: Job) -> BoxFuture<End>;
    /// Asks for a place, until the request no longer needs one.
    fn hold(self: Arc<Self>, job: HoldJob) -> BoxFuture<Held>;
    /// Asks the engine how it is: whether it answered, and its report.
    fn probe(self: Arc<Self>, shared: Arc<Shared>) -> BoxFuture<(bool, LoadReport)>;
}

/// A link as it is handed around.
pub type LinkRef = Arc<dyn Link>;

/// How engines are spoken to.
pub trait Protocol: Send + Sync + 'static {
    /// A link to an engine that is new or has moved.
    fn link(&self, shared: &Arc<Shared>, engine: &Engine) -> LinkRef;
    /// Whether what is held is let go one by one. Where it is not, a release ends all that is held for its request
    /// anywhere, and is asked for once, when no attempt is out and none follows.
    fn one_by_one(&self) -> bool;
    /// Lets go of what may be held, as a task of its own.
    fn release(&self, shared: &Arc<Shared>, job: ReleaseJob);
    /// A read for this request ended well, so that a release that is not done yet would take away what it left. Whether
    /// there was one: it is to be asked for again.
    fn needed(&self, _request: u64) -> bool {
        false
    }
}

/// One attempt.
pub struct Job {
    /// The node's.
    pub shared: Arc<Shared>,
    /// The request's own.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// The attempt's number.
    pub attempt: u16,
    /// Whether the engine only reads.
    pub reads: bool,
    /// Where the read state waits, and the attempt that read it.
    pub state: Option<(LinkRef, u16)>,
    /// When it ends without a first token.
    pub until: Micros,
    /// When the node ends the stream, if the client stated a time for the whole answer.
    pub end_by: Option<Micros>,
    /// When it ends unless its last byte left: something is held meanwhile, and its time runs on.
    pub send_deadline: Micros,
    pub(crate) stop: async_channel::Receiver<Stop>,
    pub(crate) first: Box<dyn Fn() + Send + Sync>,
}

impl Job {
    /// Says that the answer began to stream: from now on the attempt belongs to the client.
    pub fn first(&self) {
        (self.first)();
    }
    /// The driver's next word on this attempt.
    pub async fn stopped(&self) -> Stop {
        // Without a driver there is no node.
        self.stop.recv().await.unwrap_or(Stop::GiveUp)
    }
    /// Waits for what comes next, a word from the driver, or the timer.
    pub async fn wait<T>(
        &self,
        timer: &mut BoxFuture<()>,
        next: impl Future<Output = T>,
    ) -> Woken<T> {
        or(async { Woken::Next(next.await) }, async {
            or(async { Woken::Stopped(self.stopped().await) }, async {
                timer.await;
                Woken::Late
            })
            .await
        })
        .await
    }
    /// The same, where the driver's word goes first: nothing that can still be left undone is done after it.
    pub async fn heed<T>(
        &self,
        timer: &mut BoxFuture<()>,
        next: impl Future<Output = T>,
    ) -> Woken<T> {
        or(
            async { Woken::Stopped(self.stopped().await) },
            self.wait(timer, next),
        )
        .await
    }
    /// Waits until the client has room, or nobody wants the answer any more.
    ///
    /// # Errors
    /// When nobody does.
    pub async fn room<T: Copy>(&self, buffer: &Buffer<T>) -> Result<(), Over> {
        let free = poll_fn(|cx| buffer.poll_room(cx));
        let given_up = async {
            while self.stopped().await == Stop::CallOff {}
            Err(Over)
        };
        or(free, given_up).await
    }
}

/// What ends a wait.
pub enum Woken<T> {
    /// What was waited for.
    Next(T),
    /// The driver's word.
    Stopped(Stop),
    /// The timer.
    Late,
}

/// Looks for streams without progress with one timer a span, not one for each piece.
pub struct Stall {
    span: Micros,
    /// When something came last.
    pub last: Micros,
    /// To wait beside; after it fired ask [`Stall::over`].
    pub timer: BoxFuture<()>,
}

impl Stall {
    /// A stream of which something came just now.
    pub fn new(runtime: &RuntimeRef, span: Micros) -> Stall {
        let last = runtime.now();
        Stall {
            span,
            last,
            timer: runtime.sleep_until(last.saturating_add(span)),
        }
    }
    /// After the timer fired: whether the span is over, else the timer is set anew.
    pub fn over(&mut self, runtime: &RuntimeRef) -> bool {
        let due = self.last.saturating_add(self.span);
        if runtime.now() >= due {
            return true;
        }
        self.timer = runtime.sleep_until(due);
        false
    }
}

/// A place asked for ahead.
pub struct HoldJob {
    /// The node's.
    pub shared: Arc<Shared>,
    /// The request's own.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// The attempt beside which it is asked for.
    pub attempt: u16,
    /// When the client's time for a first token is over: a place is of no use from then on.
    pub until: Micros,
    pub(crate) stopped: async_channel::Receiver<()>,
}

impl HoldJob {
    /// Returns when the request no longer needs a place.
    pub async fn over(&self) {
        // Ends when the sender is dropped.
        let _ = self.stopped.recv().await;
    }
    /// Whether the request no longer needs a place.
    pub fn is_over(&self) -> bool {
        self.stopped.is_closed()
    }
}

/// Whether a place is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// The engine said so.
    Yes,
    /// The engine said no, or nothing left for it.
    No,
    /// It may be.
    Unknown,
}

/// Something that may be kept at an engine for a request.
#[derive(Clone)]
pub struct Kept {
    /// Where.
    pub link: LinkRef,
    /// The attempt whose key it is kept under.
    pub attempt: u16,
    /// A place, not a state.
    pub place: bool,
    /// The engine said so; else its call was given up, and may still be on its way: a release may come before it.
    pub sure: bool,
    /// The write that was sent when the place was known to be held: its engine uses it for that one.
    pub(crate) used_by: Option<u16>,
}

/// Something to let go.
pub struct ReleaseJob {
    /// The request's own.
    pub call: Arc<dyn Call>,
    /// The request's number at this node.
    pub request: u64,
    /// What may be kept; never empty.
    pub kept: Vec<Kept>,
}
