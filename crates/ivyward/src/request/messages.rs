//! The messages to the driver, and the handle that sends them.
//!
//! The modules of the request path that exchange messages depend on this module instead of each other.

use crate::engines::{AttemptResult, Call, Engine, EngineHandle, ReservationStatus};
use ivyward_core::interface::{EndpointId, ListKind, LoadReport, Micros, Request};
use std::sync::Arc;

/// A request that the node has accepted.
pub(crate) struct AcceptedRequest {
    pub(crate) request: Request,
    /// The request fails if it has no first token by this time. Lies one answer margin before the client stops waiting.
    pub(crate) first_token_deadline: Micros,
    /// The response fails if it has not ended by this time; `None` for no limit. Lies one answer margin before the client
    /// stops waiting.
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
    /// The request and the number of an attempt that has arrived at its engine.
    AttemptDelivered(u64, u16),
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
    /// Number of nodes that may be sending requests to the engines.
    ReplicaCount(u32),
    Stop {
        deadline: Micros,
    },
    FlushRecording(async_channel::Sender<()>),
    /// Asks for the clients of all engines in the endpoint list.
    ListEngines(async_channel::Sender<Vec<EngineHandle>>),
}

/// Sends messages to the driver.
///
/// The channel is unbounded, but the limit on open requests bounds its length: each open request adds at most a few messages
/// (its arrival, its client's disconnect, and the delivery, first token and end of each attempt). Messages of the node's owner come
/// on top, but the owner awaits their completion.
#[derive(Clone)]
pub(crate) struct DriverHandle(async_channel::Sender<DriverMessage>);

impl DriverHandle {
    pub(crate) fn new() -> (DriverHandle, async_channel::Receiver<DriverMessage>) {
        let (handle, messages) = async_channel::unbounded();
        (DriverHandle(handle), messages)
    }
    pub(crate) fn send(&self, message: DriverMessage) {
        // Fails only when the driver has ended, which means that the node has stopped.
        let _ = self.0.try_send(message);
    }
}
