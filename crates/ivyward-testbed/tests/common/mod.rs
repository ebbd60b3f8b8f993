//! What the end-to-end tests share.
#![allow(dead_code)]

use ivyward_fakes::sight::{Heard, Kind, Seen, Sight};
use ivyward_fakes::{Ask, End, Role, Spec};
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::scene::{Make, Scene};
use std::sync::Arc;

/// Classes of the scenes.
pub const QUICK: usize = 0;
pub const ORDER: usize = 2;
pub const NOTE: usize = 3;

pub fn prompt(seed: u32, length: u32) -> Vec<u32> {
    (0..length).map(|i| i.wrapping_mul(7) ^ seed).collect()
}

/// Engines 1.. readers, then writers.
pub fn pools(readers: u64, writers: u64) -> Vec<Spec> {
    let reader = |i| Spec::small(i, Role::Reader);
    let writer = |i| Spec::small(i, Role::Writer);
    (1..=readers)
        .map(reader)
        .chain((readers + 1..=readers + writers).map(writer))
        .collect()
}

pub fn build(make: Make) -> Arc<Scene> {
    Arc::new(make.build().expect("a scene on loopback"))
}

/// Sends many requests at once and returns their ends in order.
pub async fn all(scene: &Arc<Scene>, asks: Vec<Ask>) -> Vec<End> {
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
pub async fn seen(scene: &Scene, what: impl Fn(&Sight) -> bool) -> Seen {
    for _ in 0..10_000 {
        if let Some(seen) = scene.log.all().into_iter().find(|s| what(&s.what)) {
            return seen;
        }
        scene.runtime.sleep(1_000).await;
    }
    panic!("it was not seen within ten seconds");
}

/// A client that leaves as soon as something was seen of its own call; it must not have been answered before.
pub async fn leaves_when(scene: &Scene, ask: &Ask, what: impl Fn(&Sight) -> bool) {
    let leave = async {
        seen(scene, what).await;
    };
    let end = scene
        .send_until(ask, leave)
        .await
        .expect("the node is there");
    assert_eq!(end.how, Heard::Left, "{end:?}");
}

/// Attempts of a kind that came to engines for a call.
pub fn attempts(scene: &Scene, call: u64, kind: Kind) -> usize {
    let of = |s: &Seen| matches!(s.what, Sight::Arrived { call: c, kind: k, .. } if c == call && k == kind);
    scene.log.all().iter().filter(|s| of(s)).count()
}

/// Times that something ran for a call.
pub fn runs(scene: &Scene, call: u64) -> usize {
    let of = |s: &Seen| matches!(s.what, Sight::Ran { call: c, .. } if c == call);
    scene.log.all().iter().filter(|s| of(s)).count()
}

/// Everything ends, nothing is kept, and all rules held.
pub async fn clean(scene: &Scene) {
    scene.settle(10_000_000).await;
    let open: usize = (0..scene.nodes())
        .filter_map(|n| scene.node(n))
        .map(|n| n.open_requests())
        .sum();
    let kept: usize = (0..scene.engines()).map(|e| scene.engine(e).kept()).sum();
    assert_eq!((open, kept), (0, 0), "requests in hand, states kept");
    let audit = scene.audit();
    assert_eq!(audit.broken(), Vec::<String>::new());
}
