//! The messages to the driver, and the handle that sends them. The parts of the request path that exchange them all depend on
//! this module.

use crate::engines::{AttemptResult, Call, Engine, EngineHandle, ReservationStatus};
use ivyward_core::interface::{EndpointId, ListKind, LoadReport, Micros, Request};
use std::sync::Arc;

/// A request that the node has accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) request: Request,
    /// The client stops waiting if it has no first token by then.
    pub(crate) first_token_deadline: Micros,
    /// The client stops waiting if the answer has not ended by then; `None` for no such time.
    pub(crate) response_deadline: Option<Micros>,
    pub(crate) call: Arc<dyn Call>,
}

/// The end of an attempt.
pub(crate) struct AttemptEnded {
    pub(crate) request: u64,
    pub(crate) attempt: u16,
    pub(crate) result: AttemptResult,
}

/// The end of a call for a decode slot.
pub(crate) struct ReservationResult {
    pub(crate) request: u64,
    pub(crate) attempt: u16,
    pub(crate) engine: EngineHandle,
    pub(crate) call: Arc<dyn Call>,
    pub(crate) status: ReservationStatus,
}

/// A message to the driver.
pub(crate) enum DriverMessage {
    Request(Box<AcceptedRequest>),
    ClientDisconnected(u64),
    FirstToken(u64, u16),
    AttemptEnded(AttemptEnded),
    ReservationResult(ReservationResult),
    HealthCheckResult {
        endpoint: EndpointId,
        alive: bool,
        report: LoadReport,
    },
    EndpointList {
        kind: ListKind,
        engines: Vec<Engine>,
        done: async_channel::Sender<()>,
    },
    /// How many nodes may be sending.
    ReplicaCount(u32),
    Stop {
        deadline: Micros,
    },
    FlushRecording(async_channel::Sender<()>),
    /// Asks for the clients of all engines in the list.
    ListEngines(async_channel::Sender<Vec<EngineHandle>>),
}

/// The sender to the driver. The channel holds at most a few messages for each open request (its arrival, its end, and each
/// attempt's first token and end) beside what the node's owner sends and awaits, so `max_open_requests` bounds it.
#[derive(Clone)]
pub(crate) struct DriverHandle(async_channel::Sender<DriverMessage>);

impl DriverHandle {
    pub(crate) fn new() -> (DriverHandle, async_channel::Receiver<DriverMessage>) {
        let (handle, messages) = async_channel::unbounded();
        (DriverHandle(handle), messages)
    }
    pub(crate) fn send(&self, message: DriverMessage) {
        // Fails only when the driver is gone, and the node with it.
        let _ = self.0.try_send(message);
    }
}
