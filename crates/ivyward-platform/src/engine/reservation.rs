//! Reserves a decode slot at an engine ahead of the request that will use it.

use super::endpoint::HttpEngineClient;
use crate::buffered_connection::{read_response_body, read_response_head};
use crate::call::HttpCall;
use crate::config::LIMITS;
use futures_lite::future::or;
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::Micros;
use ivyward::engines::{ReservationStatus, ReserveRequest};
use ivyward::runtime::before;

/// The path under which an engine holds something for a request.
pub(super) fn hold_path(request_id: &str) -> String {
    format!("/v1/holds/{request_id}")
}

/// One reservation at one engine.
pub(super) struct ReservationAttempt<'a> {
    pub(super) client: &'a HttpEngineClient,
    pub(super) request: &'a ReserveRequest,
    pub(super) call: &'a HttpCall,
}

impl ReservationAttempt<'_> {
    /// Asks for a slot, until the request no longer needs one.
    pub(super) async fn run(&self) -> ReservationStatus {
        // An engine knows a reservation only beside its prefill, so it is sent after the prefill's last byte.
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
        // The status if the call is given up: before anything is sent nothing can be held.
        let mut status_if_abandoned = ReservationStatus::Denied;
        let reserving = self.send(until, &mut status_if_abandoned);
        let status = or(before(runtime, until, reserving), async {
            self.request.until_finished().await;
            None
        });
        let status = status.await;
        status.unwrap_or(status_if_abandoned)
    }

    /// Sends the reservation, and reads what the engine says to it.
    async fn send(
        &self,
        until: Micros,
        status_if_abandoned: &mut ReservationStatus,
    ) -> ReservationStatus {
        let client = self.client;
        let Ok(mut connection) = client.connect(until, ReusePolicy::Any, 0).await else {
            return ReservationStatus::Denied;
        };
        // While the connection was opened the engine may have begun to drain, and the request may have ended.
        if client.endpoint.is_draining()
            || self.request.is_finished()
            || self.call.is_disconnected()
        {
            return ReservationStatus::Denied;
        }
        *status_if_abandoned = ReservationStatus::Unknown;
        let path = hold_path(&self.call.id);
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
        client.keep_idle(connection, body.is_some() && response.head.keeps());
        match response.status {
            200 => ReservationStatus::Granted,
            404 | 409 => ReservationStatus::Denied,
            _ => ReservationStatus::Unknown,
        }
    }
}
