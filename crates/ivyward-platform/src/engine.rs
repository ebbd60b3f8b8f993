//! Engines over HTTP/1.1: connections, attempts, reservations and releases.
//!
//! Each module uses only modules listed before it:
//!
//! - `load_report`, `event_parser`: parse load reports and streamed events of engines.
//! - `connection`: a connection to an engine, and the limit on open connections.
//! - `pending_releases`: releases that no engine has accepted yet.
//! - `pool`: the idle connections of all endpoints, and the state that their clients share.
//! - `endpoint`: the client of one engine: connecting, and requests without a prompt.
//! - `stream`: forwards a streamed response; `attempt`: one attempt; `reservation`: one reservation.
//! - `release_dispatcher`: sends releases.
//! - `client`: implements [`ivyward::engines::EngineClient`].
//!
//! These modules decide, by the platform's table of statuses and connection errors, whether an attempt is known not to have
//! run. The router decides whether to retry; nothing is retried at this level.

mod attempt;
mod client;
mod connection;
mod endpoint;
mod event_parser;
mod load_report;
mod pending_releases;
mod pool;
mod release_dispatcher;
mod reservation;
mod stream;

pub(crate) use pending_releases::PendingReleases;
pub(crate) use pool::{EnginePool, EnginePoolSettings};

use endpoint::HttpEngineClient;
use ivyward::engines::{EngineHandle, Protocol, ReleaseRequest};
use ivyward::{Engine, NodeContext};
use std::sync::Arc;

/// HTTP/1.1 as the driver's protocol to engines.
pub(crate) struct HttpProtocol {
    pub(crate) pool: Arc<EnginePool>,
}

impl Protocol for HttpProtocol {
    fn engine_client(&self, _: &Arc<NodeContext>, engine: &Engine) -> EngineHandle {
        Arc::new(HttpEngineClient::new(engine, &self.pool))
    }

    fn releases_individually(&self) -> bool {
        false
    }

    fn slot_confirms_prefill(&self) -> bool {
        true
    }

    fn release(&self, context: &Arc<NodeContext>, request: ReleaseRequest) {
        release_dispatcher::release(&self.pool, context, request);
    }

    fn withdraw_release(&self, request: u64) -> bool {
        self.pool.releases.withdraw(request)
    }
}
