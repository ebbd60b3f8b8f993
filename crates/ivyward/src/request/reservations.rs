//! Carries out the decisions of [`ivyward_core::reservations`]: asks engines to reserve decode slots and to release
//! reservations.

use crate::engines::{Call, ReleaseRequest, Reservation, ReservationStatus, ReserveRequest};
use crate::request::driver::Driver;
use crate::request::messages::{DriverMessage, ReservationResult};
use ivyward_core::interface::{EndpointId, Event, RequestId};
use ivyward_core::reservations::ReleaseMode;
use ivyward_runtime::RuntimeExt;
use std::sync::Arc;
use tracing::debug;

impl Driver {
    /// Asks an engine to reserve a decode slot, in a task of its own.
    pub(super) fn reserve_decode_slot(&mut self, id: u64, endpoint: EndpointId) {
        let engine = self.engines.get(endpoint).cloned();
        let (Some(open), Some(engine)) = (self.open.get_mut(&id), engine) else {
            return;
        };
        let attempt = (open.attempts.len() as u16).saturating_sub(1);
        let (pending, finished) = async_channel::bounded(1);
        open.pending_reserves.push(pending);
        self.context.add_pending_releases(1);
        let (context, handle) = (self.context.clone(), self.handle.clone());
        let call = open.accepted.call.clone();
        let deadline = open.accepted.first_token_deadline;
        context.runtime.clone().run(async move {
            let reserve = ReserveRequest {
                context: context.clone(),
                call: call.clone(),
                request: id,
                attempt,
                deadline,
                finished,
            };
            let status = engine.clone().reserve(reserve).await;
            handle.send(DriverMessage::ReservationResult(ReservationResult {
                request: id,
                attempt,
                engine,
                call,
                status,
            }));
        });
    }

    pub(super) fn on_reservation_result(&mut self, result: ReservationResult) {
        let ReservationResult {
            request: id,
            attempt,
            engine,
            call,
            status,
        } = result;
        let endpoint = engine.id();
        debug!(
            request = id,
            name = call.name(),
            attempt,
            engine = endpoint.0,
            ?status,
            "decode slot reservation finished"
        );
        let slot = Reservation::decode_slot(engine, endpoint, attempt, status);
        self.context.finish_pending_releases(1);
        let waiting = self
            .open
            .get_mut(&id)
            .filter(|open| !open.has_final_status && !open.streaming);
        let Some(open) = waiting else {
            // The request no longer needs the slot: it has its final status, or its stream has started.
            self.release(id, &call, slot.into_iter().collect());
            return;
        };
        let in_flight = open.is_in_flight(attempt);
        let unneeded = slot.and_then(|slot| open.reservations.slot_reserved(slot, in_flight));
        self.release(id, &call, unneeded.into_iter().collect());
        if status == ReservationStatus::Granted && self.protocol.slot_confirms_prefill() {
            self.on_attempt_delivered(id, attempt);
        }
        self.handle_event(Event::ReservationResult {
            request: RequestId(id),
            endpoint,
            reserved: status == ReservationStatus::Granted,
        });
    }

    /// Releases every decode slot and KV state that engines may have reserved for a request.
    pub(super) fn release_all(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.pending_reserves.clear();
        let (started, in_flight) = (open.attempts.len() as u16, open.any_in_flight());
        let reservations = open.reservations.release_all(started, in_flight);
        let call = open.accepted.call.clone();
        self.release(id, &call, reservations);
    }

    /// Releases the reservations of a request that no attempt at an engine waits for. The others may remain, so that all stay
    /// tracked and are released again at the end of the attempt in flight, unless its stream starts.
    pub(super) fn release_unused(&mut self, id: u64) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let reservations = open.reservations.all();
        if reservations.is_empty() {
            return;
        }
        let call = open.accepted.call.clone();
        debug!(
            request = id,
            name = call.name(),
            attempts = open.attempts.len(),
            "attempt unconfirmed, releasing unused reservations"
        );
        self.context.metrics.unconfirmed_releases.add(1);
        self.release(id, &call, reservations);
    }

    /// Asks engines to release reservations, with one call per reservation or one call for all of them, depending on the
    /// protocol. The first call is sent immediately.
    pub(super) fn release(
        &self,
        request: u64,
        call: &Arc<dyn Call>,
        reservations: Vec<Reservation>,
    ) {
        match self.release_mode() {
            ReleaseMode::PerReservation => {
                for reservation in reservations {
                    self.send_release(request, call.clone(), vec![reservation]);
                }
            }
            ReleaseMode::PerRequest if reservations.is_empty() => {}
            ReleaseMode::PerRequest => self.send_release(request, call.clone(), reservations),
        }
    }

    fn send_release(&self, request: u64, call: Arc<dyn Call>, reservations: Vec<Reservation>) {
        let summary = || {
            reservations
                .iter()
                .map(|r| (r.endpoint.0, r.attempt, r.is_decode_slot, r.confirmed))
                .collect::<Vec<_>>()
        };
        debug!(request, name = call.name(), reservations = ?summary(), "release started");
        let release = ReleaseRequest {
            call,
            request,
            reservations,
        };
        self.protocol.release(&self.context, release);
    }
}
