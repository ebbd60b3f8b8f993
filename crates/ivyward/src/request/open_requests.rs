//! The table of open requests: those without a final status or with an attempt still in flight.

use crate::context::NodeContext;
use crate::engines::{CancelReason, EngineHandle};
use crate::request::messages::AcceptedRequest;
use ivyward_core::interface::Micros;
use ivyward_core::reservations::{ReleaseMode, RequestReservations};
use std::collections::BTreeMap;

/// Open requests by their ids at this node.
pub(super) type OpenRequests = BTreeMap<u64, OpenRequest>;

/// One attempt of an open request.
pub(super) struct Attempt {
    /// The engine that the router chose; `None` if it was no longer in the endpoint list.
    pub(super) engine: Option<EngineHandle>,
    pub(super) prefill_only: bool,
    pub(super) in_flight: bool,
    pub(super) cancel: async_channel::Sender<CancelReason>,
}

/// An accepted request with its attempts and reservations.
pub(super) struct OpenRequest {
    pub(super) accepted: Box<AcceptedRequest>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) reservations: RequestReservations<EngineHandle>,
    /// One sender for each decode slot reservation in progress. Dropping it ends the reservation's call.
    pub(super) pending_reserves: Vec<async_channel::Sender<()>>,
    pub(super) streaming: bool,
    pub(super) has_final_status: bool,
    /// The deadline that is set for this request in [`super::timers::Timers`].
    pub(super) deadline: Micros,
    /// The detail text of the last failed attempt.
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
            has_final_status: false,
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
        self.has_final_status && !self.any_in_flight()
    }

    /// Cancels all attempts in flight because the request has its final status.
    pub(super) fn cancel_attempts(&self) {
        for attempt in self.attempts.iter().filter(|attempt| attempt.in_flight) {
            // Fails if the attempt has ended, or if an earlier cancellation is still pending, which ends the attempt no later.
            let _ = attempt.cancel.try_send(CancelReason::RequestFinished);
        }
    }
}

/// The time at which the driver fails a request with this deadline, whatever the router and the attempts do: half the answer
/// margin later, which is half the margin before the client stops waiting.
pub(super) fn final_deadline(context: &NodeContext, client_deadline: Micros) -> Micros {
    client_deadline.saturating_add(context.settings.answer_margin / 2)
}
