//! Sends pending releases to engines.

use super::endpoint::{CallError, CallResponse, HttpEngineClient};
use super::pending_releases::{DueRelease, PendingReleases};
use super::pool::{EnginePool, PooledEndpoint};
use super::reservation::reservation_path;
use crate::call::HttpCall;
use futures_lite::future::or;
use ivyward::core::connection_reuse::ReusePolicy;
use ivyward::core::interface::EndpointId;
use ivyward::core::release::{ReleaseResult, ReleaseTarget};
use ivyward::engines::ReleaseRequest;
use ivyward::runtime::RuntimeExt;
use ivyward::NodeContext;
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::debug;

/// Queues the release of a request's reservations. The first release starts the task that sends releases.
pub(super) fn release(pool: &Arc<EnginePool>, context: &Arc<NodeContext>, request: ReleaseRequest) {
    let Some(call) = request.call.as_any().downcast_ref::<HttpCall>() else {
        return;
    };
    if pool.releases.start(context) {
        let dispatcher = ReleaseDispatcher {
            context: context.clone(),
            pool: pool.clone(),
        };
        context.runtime().run(async move { dispatcher.run().await });
    }
    let path = reservation_path(call.id.as_str());
    pool.releases
        .enqueue(request.request, path, request.reservations);
}

/// Sends the pending releases for as long as the node runs.
struct ReleaseDispatcher {
    context: Arc<NodeContext>,
    pool: Arc<EnginePool>,
}

impl ReleaseDispatcher {
    fn releases(&self) -> &PendingReleases {
        &self.pool.releases
    }

    async fn run(&self) {
        let runtime = self.context.runtime();
        loop {
            let changed = self.releases().listen();
            match self.releases().next_deadline() {
                Some(at) if at <= runtime.now() => self.dispatch(),
                Some(at) => or(changed, runtime.sleep_until(at)).await,
                None => changed.await,
            }
        }
    }

    /// Returns the endpoints that releases can be sent to, one for each engine.
    fn endpoints(&self) -> BTreeMap<EndpointId, Arc<PooledEndpoint>> {
        let mut endpoints: BTreeMap<EndpointId, Arc<PooledEndpoint>> = BTreeMap::new();
        for endpoint in self.pool.endpoints() {
            // An engine whose address changed may have two endpoints; the one that does not drain is in the list.
            let known = endpoints.get(&endpoint.id);
            if known.is_none_or(|known| known.is_draining()) {
                endpoints.insert(endpoint.id, endpoint);
            }
        }
        endpoints
    }

    /// Sends each release that is due in its own task.
    fn dispatch(&self) {
        let endpoints = self.endpoints();
        let targets: Vec<ReleaseTarget> = endpoints
            .values()
            .map(|endpoint| endpoint.release_target())
            .collect();
        for due in self.releases().next_attempts(&self.context, &targets) {
            if let Some(endpoint) = endpoints.get(&due.attempt.target) {
                self.send(endpoint, due);
            }
        }
    }

    fn send(&self, endpoint: &Arc<PooledEndpoint>, due: DueRelease) {
        let client = HttpEngineClient {
            endpoint: endpoint.clone(),
            pool: self.pool.clone(),
        };
        self.context.metrics().releases.add(1);
        self.context.runtime().run(async move {
            let DueRelease { attempt, path } = due;
            let reuse = match attempt.may_reuse_connection {
                true => ReusePolicy::Any,
                false => ReusePolicy::Never,
            };
            let response = client.call("DELETE", &path, reuse, attempt.deadline).await;
            debug!(
                request = attempt.request,
                %path,
                engine = client.endpoint.id.0,
                may_reuse_connection = attempt.may_reuse_connection,
                ?response,
                "release sent"
            );
            let result = release_result(&response);
            client.pool.releases.on_result(&attempt, result);
        });
    }
}

fn release_result(response: &Result<CallResponse, CallError>) -> ReleaseResult {
    match response {
        Ok(response) if (200..=299).contains(&response.status) => ReleaseResult::Accepted,
        Err(error) if error.is_local() => ReleaseResult::NoLocalResources,
        _ => ReleaseResult::Failed,
    }
}
