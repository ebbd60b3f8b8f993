//! What the driver is told, and the way to it. What its parts tell each other stands here, below all of them.

use crate::engines::{AttemptResult, Call, Engine, EngineHandle, ReservationStatus};
use ivyward_core::interface::{EndpointId, ListKind, LoadReport, Micros, Request};
use std::sync::Arc;

/// A request that was taken in.
pub(crate) struct AcceptedRequest {
    pub(crate) request: Request,
    /// Without a first token by then, the client gives up.
    pub(crate) first_token_deadline: Micros,
    /// Without the end by then, the client gives up; `None` for never.
    pub(crate) response_deadline: Option<Micros>,
    pub(crate) call: Arc<dyn Call>,
}

pub(crate) struct AttemptEnded {
    pub(crate) request: u64,
    pub(crate) attempt: u16,
    pub(crate) result: AttemptResult,
}

/// What the driver is told.
pub(crate) enum DriverMessage {
    Request(Box<AcceptedRequest>),
    ClientDisconnected(u64),
    FirstToken(u64, u16),
    AttemptEnded(AttemptEnded),
    ReservationResult {
        request: u64,
        attempt: u16,
        engine: EngineHandle,
        call: Arc<dyn Call>,
        status: ReservationStatus,
    },
    HealthCheckResult {
        server: EndpointId,
        alive: bool,
        report: LoadReport,
    },
    EndpointList {
        kind: ListKind,
        engines: Vec<Engine>,
        done: async_channel::Sender<()>,
    },
    /// So many nodes may be sending.
    ReplicaCount(u32),
    Stop {
        deadline: Micros,
    },
    FlushRecording(async_channel::Sender<()>),
    /// Who asks wants the links to all engines in the list.
    ListEngines(async_channel::Sender<Vec<EngineHandle>>),
}

/// The way to the driver. It holds at most a few notices for each open request (its arrival, its end, and each attempt's
/// first token and end) beside what the node's owner tells and awaits, so `most_open` bounds it.
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
