//! What the end-to-end tests share.
#![allow(dead_code)]

use ivyward_fakes::event_log::{CallKind, ClientOutcome, LoggedEvent, ObservedEvent};
use ivyward_fakes::{ClientRequest, ClientResult, EngineSpec, Role};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, LocalCluster};
use std::sync::Arc;

/// Classes of the scenes.
pub const QUICK: usize = 0;
pub const ORDER: usize = 2;
pub const NOTE: usize = 3;

pub fn prompt(seed: u32, length: u32) -> Vec<u32> {
    (0..length).map(|i| i.wrapping_mul(7) ^ seed).collect()
}

/// Engines 1.. readers, then writers.
pub fn pools(readers: u64, writers: u64) -> Vec<EngineSpec> {
    let reader = |i| EngineSpec::small(i, Role::Prefill);
    let writer = |i| EngineSpec::small(i, Role::Decode);
    (1..=readers)
        .map(reader)
        .chain((readers + 1..=readers + writers).map(writer))
        .collect()
}

pub fn build(make: ClusterBuilder) -> Arc<LocalCluster> {
    Arc::new(make.build().expect("a scene on loopback"))
}

/// Sends many requests at once and returns their ends in order.
pub async fn all(scene: &Arc<LocalCluster>, asks: Vec<ClientRequest>) -> Vec<ClientResult> {
    let mut waits = Vec::new();
    for ask in asks {
        let (tell, wait) = async_channel::bounded(1);
        let one = scene.clone();
        scene.runtime.run(async move {
            let end = one.send(&ask).await;
            let _ = tell.send(end.expect("the node is there")).await;
        });
        waits.push(wait);
    }
    let mut ends = Vec::new();
    for wait in waits {
        ends.push(wait.recv().await.expect("the request ends"));
    }
    ends
}

/// Waits until something was seen. The span only keeps a broken build from standing still.
pub async fn seen(scene: &LocalCluster, what: impl Fn(&ObservedEvent) -> bool) -> LoggedEvent {
    for _ in 0..10_000 {
        if let Some(seen) = scene.log.all().into_iter().find(|s| what(&s.event)) {
            return seen;
        }
        scene.runtime.sleep(1_000).await;
    }
    panic!("it was not seen within ten seconds");
}

/// A client that leaves as soon as something was seen of its own call; it must not have been answered before.
pub async fn leaves_when(
    scene: &LocalCluster,
    ask: &ClientRequest,
    what: impl Fn(&ObservedEvent) -> bool,
) {
    let leave = async {
        seen(scene, what).await;
    };
    let end = scene
        .send_until(ask, leave)
        .await
        .expect("the node is there");
    assert_eq!(end.outcome, ClientOutcome::Disconnected, "{end:?}");
}

/// Attempts of a kind that came to engines for a call.
pub fn attempts(scene: &LocalCluster, call: u64, kind: CallKind) -> usize {
    let of = |s: &LoggedEvent| matches!(s.event, ObservedEvent::AttemptArrived { call: c, kind: k, .. } if c == call && k == kind);
    scene.log.all().iter().filter(|s| of(s)).count()
}

/// Times that something ran for a call.
pub fn runs(scene: &LocalCluster, call: u64) -> usize {
    let of =
        |s: &LoggedEvent| matches!(s.event, ObservedEvent::AttemptRan { call: c, .. } if c == call);
    scene.log.all().iter().filter(|s| of(s)).count()
}

/// Everything ends, nothing is kept, and all rules held.
pub async fn clean(scene: &LocalCluster) {
    scene.wait_until_idle(10_000_000).await;
    let open: usize = (0..scene.nodes())
        .filter_map(|n| scene.node(n))
        .map(|n| n.open_requests())
        .sum();
    let kept: usize = (0..scene.engines())
        .map(|e| scene.engine(e).retained_count())
        .sum();
    assert_eq!((open, kept), (0, 0), "requests in hand, states kept");
    let audit = scene.audit();
    assert_eq!(audit.violations(), Vec::<String>::new());
}
