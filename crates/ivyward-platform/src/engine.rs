//! Engines over HTTP/1.1: connections, attempts, holds and releases.
//!
//! - `pool`: how many connections there may be; `link`: one engine, its idle connections and short calls.
//! - `attempt`: one attempt; `events`: the events of its answer; `report`: load reports.
//!
//! What proves that an attempt never ran is decided here, by the platform's table; what follows from it is the module's.
//! Nothing is ever sent again at this level.

mod attempt;
mod endpoint;
mod events;
mod pool;
mod report;

pub(crate) use endpoint::{CallError, HttpEngineClient};
pub(crate) use pool::EnginePool;

use crate::release::Releases;
use ivyward::engines::{EngineHandle, Protocol, ReleaseRequest};
use ivyward::{Engine, NodeContext};
use std::sync::Arc;

/// The platform's engines, as the driver asks for them.
pub(crate) struct HttpProtocol(pub(crate) Arc<EnginePool>);

impl Protocol for HttpProtocol {
    fn engine_client(&self, _: &Arc<NodeContext>, engine: &Engine) -> EngineHandle {
        HttpEngineClient::new(engine, &self.0)
    }
    fn releases_individually(&self) -> bool {
        false
    }
    fn release(&self, shared: &Arc<NodeContext>, job: ReleaseRequest) {
        Releases::owe(&self.0, shared, job);
    }
    fn withdraw_release(&self, request: u64) -> bool {
        self.0.releases.needed(request)
    }
}
