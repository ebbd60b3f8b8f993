//! The test harness: a node in a simulation with fakes of engines and discovery, and a log of what the engines received.
#![allow(dead_code, unused_imports)] // Each test file uses only a part of the harness.

mod cluster;
mod deployment;
mod discovery;
mod engine;
mod request_log;

pub use cluster::{Cluster, ClusterSetup, RUN_TIMEOUT};
pub use deployment::{address, config, list, list_entry, request, BODY};
pub use discovery::{start_discovery, DiscoveryBehavior, DiscoveryFaults};
pub use engine::{
    is_decode, is_prefill, respond_with, EngineBehavior, EngineRequest, REJECTED_UNPROCESSED,
    SERVED_EVENTS,
};
use ivyward::runtime::{timeout_at, RuntimeExt, RuntimeRef};
use ivyward_fakes::platform::exchange::read_request;
pub use ivyward_fakes::platform::exchange::{read_response, ReceivedResponse as Response};
pub use request_log::RequestLog;

/// Waits until `condition` is true; panics with `name` after one minute of virtual time.
pub async fn wait_until(runtime: &RuntimeRef, name: &str, condition: impl Fn() -> bool) {
    let waited = timeout_at(runtime, runtime.now() + 60_000_000, async {
        while !condition() {
            runtime.sleep(1_000).await;
        }
    });
    assert!(
        waited.await.is_some(),
        "waited a virtual minute in vain: {name}"
    );
}
