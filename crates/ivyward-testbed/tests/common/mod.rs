//! Helpers shared by the end-to-end tests on loopback sockets.
#![allow(dead_code)]

use ivyward_fakes::event_log::{CallKind, ClientOutcome, LoggedEvent, ObservedEvent};
use ivyward_fakes::{ClientRequest, ClientResult, EngineSpec, Role};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, LocalCluster};
use std::sync::Arc;

/// Indices of the request classes in the settings of a test cluster.
pub const QUICK: usize = 0;
pub const ORDER: usize = 2;
pub const NOTE: usize = 3;

pub fn prompt(seed: u32, length: u32) -> Vec<u32> {
    (0..length).map(|i| i.wrapping_mul(7) ^ seed).collect()
}

/// Specs of the prefill engines, with ids from 1, followed by those of the decode engines.
pub fn pools(readers: u64, writers: u64) -> Vec<EngineSpec> {
    let reader = |i| EngineSpec::small(i, Role::Prefill);
    let writer = |i| EngineSpec::small(i, Role::Decode);
    (1..=readers)
        .map(reader)
        .chain((readers + 1..=readers + writers).map(writer))
        .collect()
}

pub fn build(make: ClusterBuilder) -> Arc<LocalCluster> {
    Arc::new(make.build().expect("the cluster starts on loopback"))
}

/// Sends all requests concurrently and returns their results in the order of the requests.
pub async fn send_all(
    cluster: &Arc<LocalCluster>,
    client_requests: Vec<ClientRequest>,
) -> Vec<ClientResult> {
    let mut receivers = Vec::new();
    for client_request in client_requests {
        let (sender, receiver) = async_channel::bounded(1);
        let one = cluster.clone();
        cluster.runtime.run(async move {
            let end = one.send(&client_request).await;
            let _ = sender.send(end.expect("the node is running")).await;
        });
        receivers.push(receiver);
    }
    let mut ends = Vec::new();
    for receiver in receivers {
        ends.push(receiver.recv().await.expect("the request ends"));
    }
    ends
}

/// Waits until the log contains a matching event. The limit of ten seconds only keeps a faulty build from hanging.
pub async fn wait_for_event(
    cluster: &LocalCluster,
    what: impl Fn(&ObservedEvent) -> bool,
) -> LoggedEvent {
    for _ in 0..10_000 {
        if let Some(seen) = cluster.log.all().into_iter().find(|s| what(&s.event)) {
            return seen;
        }
        cluster.runtime.sleep(1_000).await;
    }
    panic!("no matching event was logged within ten seconds");
}

/// Sends a request whose client disconnects as soon as a matching event is logged. The request must not have been
/// answered before that.
pub async fn disconnect_when(
    cluster: &LocalCluster,
    client_request: &ClientRequest,
    what: impl Fn(&ObservedEvent) -> bool,
) {
    let disconnect = async {
        wait_for_event(cluster, what).await;
    };
    let end = cluster
        .send_until(client_request, disconnect)
        .await
        .expect("the node is running");
    assert_eq!(end.outcome, ClientOutcome::Disconnected, "{end:?}");
}

/// Number of attempts of this kind that arrived at engines for a call.
pub fn attempt_count(cluster: &LocalCluster, call: u64, kind: CallKind) -> usize {
    let of = |s: &LoggedEvent| matches!(s.event, ObservedEvent::AttemptArrived { call: c, kind: k, .. } if c == call && k == kind);
    cluster.log.all().iter().filter(|s| of(s)).count()
}

/// Number of times that an engine ran an attempt of this call.
pub fn run_count(cluster: &LocalCluster, call: u64) -> usize {
    let of =
        |s: &LoggedEvent| matches!(s.event, ObservedEvent::AttemptRan { call: c, .. } if c == call);
    cluster.log.all().iter().filter(|s| of(s)).count()
}

/// Waits until the cluster is idle, then checks that no request is open, that engines retain no KV state and no decode
/// slot, and that the rule checker finds no violation.
pub async fn assert_clean(cluster: &LocalCluster) {
    cluster.wait_until_idle(10_000_000).await;
    let open: usize = (0..cluster.nodes())
        .filter_map(|n| cluster.node(n))
        .map(|n| n.open_requests())
        .sum();
    let retained: usize = (0..cluster.engines())
        .map(|e| cluster.engine(e).retained_count())
        .sum();
    assert_eq!(
        (open, retained),
        (0, 0),
        "open requests, entries retained by engines"
    );
    let audit = cluster.audit();
    assert_eq!(audit.violations(), Vec::<String>::new());
}
