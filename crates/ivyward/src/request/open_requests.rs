//! The table of open requests: those not yet answered, or with an attempt still in flight.

use crate::context::NodeContext;
use crate::engines::{CancelReason, EngineHandle};
use crate::request::messages::AcceptedRequest;
use ivyward_core::interface::Micros;
use ivyward_core::reservations::{ReleaseMode, RequestReservations};
use std::collections::BTreeMap;

/// Open requests by their numbers at this node.
pub(super) type OpenRequests = BTreeMap<u64, OpenRequest>;

/// One attempt of an open request.
pub(super) struct Attempt {
    /// The engine it was sent to; `None` when the engine was no longer known.
    pub(super) engine: Option<EngineHandle>,
    pub(super) prefill_only: bool,
    pub(super) in_flight: bool,
    pub(super) cancel: async_channel::Sender<CancelReason>,
}

/// A request that was accepted.
pub(super) struct OpenRequest {
    pub(super) accepted: Box<AcceptedRequest>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) reservations: RequestReservations<EngineHandle>,
    /// Calls for a decode slot that are under way; dropping one ends its call.
    pub(super) pending_reserves: Vec<async_channel::Sender<()>>,
    pub(super) streaming: bool,
    pub(super) answered: bool,
    /// Its deadline as it stands in [`super::timers::Timers`].
    pub(super) deadline: Micros,
    /// What the last failed attempt said.
    pub(super) last_error: String,
}

impl OpenRequest {
    pub(super) fn new(
        accepted: Box<AcceptedRequest>,
        deadline: Micros,
        mode: ReleaseMode,
    ) -> OpenRequest {
        OpenRequest {
            accepted,
            attempts: Vec::new(),
            reservations: RequestReservations::new(mode),
            pending_reserves: Vec::new(),
            streaming: false,
            answered: false,
            deadline,
            last_error: "no engine could take it".into(),
        }
    }

    pub(super) fn is_in_flight(&self, attempt: u16) -> bool {
        self.attempt_in_flight(attempt).is_some()
    }

    pub(super) fn attempt_in_flight(&self, attempt: u16) -> Option<&Attempt> {
        self.attempts
            .get(usize::from(attempt))
            .filter(|attempt| attempt.in_flight)
    }

    pub(super) fn any_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    pub(super) fn is_done(&self) -> bool {
        self.answered && !self.any_in_flight()
    }

    /// Tells all attempts in flight that nobody wants their answer any more.
    pub(super) fn cancel_attempts(&self) {
        for attempt in self.attempts.iter().filter(|attempt| attempt.in_flight) {
            // A full channel means that the attempt was cancelled before, for a reason that ends it no later.
            let _ = attempt.cancel.try_send(CancelReason::RequestFinished);
        }
    }
}

/// When a request whose time is over at `client_deadline` gets its answer whatever the router and the attempts do: half the
/// margin before its client stops waiting.
pub(super) fn final_deadline(context: &NodeContext, client_deadline: Micros) -> Micros {
    client_deadline.saturating_add(context.settings.answer_margin / 2)
}
