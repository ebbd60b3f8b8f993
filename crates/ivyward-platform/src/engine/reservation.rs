//! Reserves a decode slot at an engine before the decode attempt that will use it.

use super::endpoint::HttpEngineClient;
use crate::buffered_connection::{read_response_body, read_response_head};
use crate::call::HttpCall;
use crate::config::LIMITS;
use futures_lite::future::or;
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::Micros;
use ivyward::engines::{ReservationStatus, ReserveRequest};
use ivyward::runtime::timeout_at;

/// Returns the path of a request's reservation: POST reserves a decode slot, DELETE releases what is reserved.
pub(super) fn reservation_path(request_id: &str) -> String {
    format!("/v1/holds/{request_id}")
}

/// An attempt to reserve a decode slot at one engine.
pub(super) struct ReservationAttempt<'a> {
    pub(super) client: &'a HttpEngineClient,
    pub(super) request: &'a ReserveRequest,
    pub(super) call: &'a HttpCall,
}

impl ReservationAttempt<'_> {
    /// Requests a slot. Stops early if the client's request finishes before the engine responds.
    pub(super) async fn run(&self) -> ReservationStatus {
        // An engine accepts a reservation only while the prefill of the same request is in progress, so the reservation is
        // sent after the last byte of the prefill.
        let prefill_sent = or(self.call.wait_until_sent(self.request.attempt), async {
            self.request.until_finished().await;
            false
        });
        if !prefill_sent.await {
            return ReservationStatus::Denied;
        }
        let runtime = &self.client.pool.runtime;
        let until = runtime
            .now()
            .saturating_add(self.client.pool.reserve_timeout);
        // The status if the call is abandoned: nothing can be reserved before the request is sent.
        let mut status_if_abandoned = ReservationStatus::Denied;
        let reserving = self.send(until, &mut status_if_abandoned);
        let status = or(timeout_at(runtime, until, reserving), async {
            self.request.until_finished().await;
            None
        });
        let status = status.await;
        status.unwrap_or(status_if_abandoned)
    }

    /// Sends the reservation and reads the response. Sets `status_if_abandoned` to `Unknown` once a byte may have been sent.
    async fn send(
        &self,
        until: Micros,
        status_if_abandoned: &mut ReservationStatus,
    ) -> ReservationStatus {
        let client = self.client;
        let Ok(mut connection) = client.connect(until, ReusePolicy::Any, 0).await else {
            return ReservationStatus::Denied;
        };
        // The engine may have begun to drain, or the request may have ended, while the connection was being opened.
        if client.endpoint.is_draining()
            || self.request.is_finished()
            || self.call.is_disconnected()
        {
            return ReservationStatus::Denied;
        }
        *status_if_abandoned = ReservationStatus::Unknown;
        let path = reservation_path(self.call.id.as_str());
        let written = client
            .write_empty_request(&mut connection, "POST", &path)
            .await;
        if written.is_err() {
            return ReservationStatus::Unknown;
        }
        let Ok(response) = read_response_head(&mut connection, &LIMITS).await else {
            return ReservationStatus::Unknown;
        };
        client.record_response();
        let body = read_response_body(&mut connection, &response, &LIMITS).await;
        client.return_connection(
            connection,
            body.is_some() && response.headers.is_keep_alive(),
        );
        match response.status {
            200 => ReservationStatus::Granted,
            404 | 409 => ReservationStatus::Denied,
            _ => ReservationStatus::Unknown,
        }
    }
}
