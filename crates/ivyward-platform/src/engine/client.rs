//! Implements the driver's [`EngineClient`] for engines over HTTP/1.1.

use super::attempt::Attempt;
use super::endpoint::HttpEngineClient;
use super::reservation::ReservationAttempt;
use crate::call::{HttpCall, Progress};
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::{EndpointId, LoadReport, Outcome};
use ivyward::engines::{
    AttemptRequest, AttemptResult, EngineClient, ReservationStatus, ReserveRequest,
};
use ivyward::runtime::BoxFuture;
use ivyward::NodeContext;
use std::any::Any;
use std::net::SocketAddr;
use std::sync::Arc;

impl EngineClient for HttpEngineClient {
    fn id(&self) -> EndpointId {
        self.endpoint.id
    }

    fn address(&self) -> SocketAddr {
        self.endpoint.address
    }

    fn set_draining(&self, draining: bool) {
        self.endpoint.set_draining(draining);
        if draining {
            self.close();
        }
    }

    fn close(&self) {
        self.endpoint.close_idle();
    }

    fn as_any_arc(self: Arc<Self>) -> Arc<dyn Any + Send + Sync> {
        self
    }

    fn run_attempt(self: Arc<Self>, request: AttemptRequest) -> BoxFuture<AttemptResult> {
        Box::pin(async move {
            let Some(call) = request.call.as_any().downcast_ref::<HttpCall>() else {
                return AttemptResult::new(Outcome::NotSent, "not an HTTP request");
            };
            let attempt = Attempt {
                client: &self,
                request: &request,
                call,
            };
            // A connection that was not returned to the pool is closed when `run` returns, so that the engine does not go on
            // with an attempt that has ended.
            let result = attempt.run().await;
            if !request.prefill_only {
                call.record_outcome(result.outcome);
            }
            call.set_progress(Progress::Ended(request.attempt));
            result
        })
    }

    fn reserve(self: Arc<Self>, request: ReserveRequest) -> BoxFuture<ReservationStatus> {
        Box::pin(async move {
            let Some(call) = request.call.as_any().downcast_ref::<HttpCall>() else {
                return ReservationStatus::Denied;
            };
            let attempt = ReservationAttempt {
                client: &self,
                request: &request,
                call,
            };
            attempt.run().await
        })
    }

    fn health_check(self: Arc<Self>, context: Arc<NodeContext>) -> BoxFuture<(bool, LoadReport)> {
        Box::pin(async move {
            let timeout = 2 * self.pool.connect_timeout;
            let until = context.runtime().now().saturating_add(timeout);
            let path = match self.pool.report_fields.is_empty() {
                true => "/healthz",
                false => "/load",
            };
            match self.call("GET", path, ReusePolicy::Any, until).await {
                Ok(response) => (matches!(response.status, 200 | 503), response.report),
                Err(_) => (false, LoadReport::default()),
            }
        })
    }
}
