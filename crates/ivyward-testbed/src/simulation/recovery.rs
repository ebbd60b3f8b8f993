//! Checks that the cluster recovers once all faults have ended.

use super::cluster::SimulatedCluster;
use super::lock;
use super::recordings::lists;
use crate::peer_scenario::disagreements;
use ivyward::core::interface::{EndpointState, ListKind, Micros};
use ivyward::metrics::OUTCOMES;
use ivyward_fakes::event_log::ClientOutcome;
use ivyward_fakes::{ClientBehavior, ClientRequest};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::RuntimeExt;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

/// The number of requests that are sent to each node after the faults.
pub(super) const FINAL_REQUESTS: u64 = 6;
/// The longest time for which such a request may be rejected before it counts as not served.
pub(super) const MAX_REJECTION_TIME: Micros = 5_000_000;
/// The time after the last fault and request within which connections recover. After it, every attempt must reach its
/// engine.
pub(super) const RECOVERY_TIME: Micros = 3_000_000;
/// The additional time within which the nodes' views of their peers must agree.
pub(super) const PEER_AGREEMENT_TIME: Micros = 10_000_000;

impl SimulatedCluster {
    /// Checks that the cluster has recovered, and returns what is failures_found: nodes' peer views agree, every node has all engines
    /// as ready, requests are served once they are no longer rejected, and no attempt fails to connect.
    pub(super) async fn check_recovery(&self) -> Vec<String> {
        self.runtime.sleep(RECOVERY_TIME).await;
        let mut failures_found = Vec::new();
        if let Some((addresses, _)) = &self.addresses {
            let until = self.runtime.now() + PEER_AGREEMENT_TIME;
            while !disagreements(&self.nodes()).is_empty() && self.runtime.now() < until {
                self.runtime.sleep(50_000).await;
            }
            failures_found.extend(disagreements(&self.nodes()));
            let misdirected = addresses.misdirected.load(Ordering::SeqCst);
            if misdirected > 0 {
                failures_found.push(format!(
                    "{misdirected} datagrams were answers to their apparent source address"
                ));
            }
        }
        // Every fault ends with its engine ready again, so the last lists that a node's router core received must say so.
        let all: BTreeSet<u64> = self.engines.iter().map(|e| lock(e).0.spec().id).collect();
        for i in 0..self.node_slots.len() {
            let recording = lock(&self.recordings)
                .iter()
                .rev()
                .find(|r| r.0 == i)
                .map(|r| r.1.bytes());
            let ready = ready_engines(&recording.unwrap_or_default());
            if ready != all {
                failures_found.push(format!(
                    "node {i} has engines {ready:?} as ready after the last fault and request, not {all:?}"
                ));
            }
        }
        let failed = OUTCOMES
            .iter()
            .position(|o| o.1 == "connect_failed")
            .unwrap_or(0);
        for i in 0..self.node_slots.len() {
            let (Some((_, node)), Some(client)) = (self.node(i), self.client(i).await) else {
                failures_found.push(format!(
                    "node {i} is not running {} s after the last fault and request",
                    RECOVERY_TIME / 1_000_000
                ));
                continue;
            };
            let before = node.metrics().outcomes[failed].get();
            for no in 0..FINAL_REQUESTS {
                let call = (1 << 32) + (i as u64) * FINAL_REQUESTS + no;
                let request = GenerateRequest {
                    prompt: (0..100).map(|t| t ^ (call as u32)).collect(),
                    max_output_tokens: 4,
                    session: format!("last{call}"),
                    call_id: call,
                    ..GenerateRequest::default()
                };
                let behavior = ClientBehavior {
                    client_timeout: 2_500_000,
                    ..ClientBehavior::default()
                };
                let idempotency = ivyward_fakes::event_log::CallIdempotency::Idempotent;
                let call_request = ClientRequest {
                    request,
                    operation: call,
                    idempotency,
                    node: i,
                    behavior,
                };
                let mut result = client.send(&call_request).await;
                // A node that limited its load during the faults raises that limit again only gradually.
                let until = self.runtime.now() + MAX_REJECTION_TIME;
                while result.outcome == ClientOutcome::Rejected && self.runtime.now() < until {
                    self.runtime.sleep(result.pushback.unwrap_or(50_000)).await;
                    result = client.send(&call_request).await;
                }
                if result.outcome != ClientOutcome::Served {
                    failures_found.push(format!(
                        "a request after the last fault and request was not served: {result:?}"
                    ));
                }
            }
            let failures = node.metrics().outcomes[failed].get() - before;
            if failures > 0 {
                failures_found.push(format!(
                    "{failures} attempts of node {i} failed to connect after the last fault and request"
                ));
            }
        }
        failures_found
    }
}

/// Returns the engines that are ready according to the lists in a recording.
pub(super) fn ready_engines(recording: &[u8]) -> BTreeSet<u64> {
    let mut ready = BTreeSet::new();
    for (kind, entries) in lists(recording) {
        if kind != ListKind::Changes {
            ready.clear();
        }
        for entry in entries {
            match entry.state {
                EndpointState::Ready => ready.insert(entry.id.0),
                _ => ready.remove(&entry.id.0),
            };
        }
    }
    ready
}
