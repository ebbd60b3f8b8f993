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

/// Requests to each node then.
pub(super) const LAST_ASKS: u64 = 6;
/// How long one of them is refused at most.
pub(super) const LAST_PATIENCE: Micros = 5_000_000;
/// When all is over and everything had this time, what each node tries it reaches.
pub(super) const QUIET: Micros = 3_000_000;
/// And so much longer views may take to agree.
pub(super) const PEERS_AGREE: Micros = 10_000_000;

impl SimulatedCluster {
    /// When all is over, connections come back: a request is served at its first try, and no attempt finds nobody.
    pub(super) async fn come_back(&self) -> Vec<String> {
        self.runtime.sleep(QUIET).await;
        let mut wrong = Vec::new();
        if let Some((addresses, _)) = &self.addresses {
            let until = self.runtime.now() + PEERS_AGREE;
            while !disagreements(&self.nodes()).is_empty() && self.runtime.now() < until {
                self.runtime.sleep(50_000).await;
            }
            wrong.extend(disagreements(&self.nodes()));
            let astray = addresses.misdirected.load(Ordering::SeqCst);
            if astray > 0 {
                wrong.push(format!(
                    "{astray} datagrams were answers to where one seemed to come from"
                ));
            }
        }
        // Every fault ends with its engine ready again: what a node's module was told last must say so.
        let all: BTreeSet<u64> = self.engines.iter().map(|e| lock(e).0.spec().id).collect();
        for i in 0..self.places.len() {
            let record = lock(&self.records)
                .iter()
                .rev()
                .find(|r| r.0 == i)
                .map(|r| r.1.bytes());
            let ready = ready_at_last(&record.unwrap_or_default());
            if ready != all {
                wrong.push(format!(
                    "node {i} takes {ready:?} for ready after everything ended, not {all:?}"
                ));
            }
        }
        let failed = OUTCOMES
            .iter()
            .position(|o| o.1 == "connect_failed")
            .unwrap_or(0);
        for i in 0..self.places.len() {
            let (Some((_, node)), Some(client)) = (self.node(i), self.client(i).await) else {
                wrong.push(format!(
                    "node {i} is not there, {} s after everything ended",
                    QUIET / 1_000_000
                ));
                continue;
            };
            let before = node.metrics().outcomes[failed].get();
            for no in 0..LAST_ASKS {
                let call = (1 << 32) + (i as u64) * LAST_ASKS + no;
                let request = GenerateRequest {
                    prompt: (0..100).map(|t| t ^ (call as u32)).collect(),
                    max_output_tokens: 4,
                    session: format!("last{call}"),
                    call_id: call,
                    ..GenerateRequest::default()
                };
                let habit = ClientBehavior {
                    client_timeout: 2_500_000,
                    ..ClientBehavior::default()
                };
                let effect = ivyward_fakes::event_log::CallIdempotency::Idempotent;
                let ask = ClientRequest {
                    request,
                    operation: call,
                    idempotency: effect,
                    node: i,
                    behavior: habit,
                };
                let mut end = client.send(&ask).await;
                // What was refused a share of work while it went badly forgets that by and by.
                let until = self.runtime.now() + LAST_PATIENCE;
                while end.outcome == ClientOutcome::Rejected && self.runtime.now() < until {
                    self.runtime.sleep(end.pushback.unwrap_or(50_000)).await;
                    end = client.send(&ask).await;
                }
                if end.outcome != ClientOutcome::Served {
                    wrong.push(format!(
                        "a request after everything ended was not served: {end:?}"
                    ));
                }
            }
            let failures = node.metrics().outcomes[failed].get() - before;
            if failures > 0 {
                wrong.push(format!(
                    "{failures} attempts of node {i} found nobody after everything ended"
                ));
            }
        }
        wrong
    }
}

/// The engines that a module was told last to be ready.
pub(super) fn ready_at_last(record: &[u8]) -> BTreeSet<u64> {
    let mut ready = BTreeSet::new();
    for (kind, entries) in lists(record) {
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
