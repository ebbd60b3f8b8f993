//! Letting go of what is held: carries out what [`ivyward::core::release`] decides, for all requests of the node.

use crate::call::{lock, PlatformCall};
use crate::engine::{CallError, EnginePool, HttpEngineClient};
use event_listener::Event;
use futures_lite::future::or;
use ivyward::core::interface::{EndpointId, Micros};
use ivyward::core::release::{ReleaseAttempt, ReleaseQueue, ReleaseResult, ReleaseSettings};
use ivyward::engines::{EngineHandle, ReleaseRequest};
use ivyward::runtime::RuntimeExt;
use ivyward::NodeContext;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use tracing::{debug, warn};

struct Owing {
    decider: ReleaseQueue,
    /// What is asked for each request, and the links at which something may be held: those stay known though their
    /// engines leave the list.
    what: BTreeMap<u64, (Arc<str>, Vec<EngineHandle>)>,
}

/// What the node still has to let go of.
pub(crate) struct Releases {
    owing: Mutex<Owing>,
    moved: Event,
    /// Set when something is owed for the first time; from then on a task asks.
    shared: OnceLock<Arc<NodeContext>>,
}

impl Releases {
    pub(crate) fn new(settings: ReleaseSettings) -> Releases {
        let owing = Owing {
            decider: ReleaseQueue::new(settings),
            what: BTreeMap::new(),
        };
        Releases {
            owing: Mutex::new(owing),
            moved: Event::new(),
            shared: OnceLock::new(),
        }
    }

    pub(crate) fn owe(engines: &Arc<EnginePool>, shared: &Arc<NodeContext>, job: ReleaseRequest) {
        let Some(call) = job.call.as_any().downcast_ref::<PlatformCall>() else {
            return;
        };
        let releases = &engines.releases;
        if releases.shared.set(shared.clone()).is_ok() {
            let (asking, engines) = (releases.clone(), engines.clone());
            shared
                .runtime()
                .run(async move { asking.run(&engines).await });
        }
        releases.change(|owing, now| {
            let sure = job.reservations.iter().all(|k| k.confirmed);
            let links = job.reservations.into_iter().map(|k| k.engine).collect();
            owing.what.insert(
                job.request,
                (format!("/v1/holds/{}", call.id).into(), links),
            );
            let left = owing.decider.enqueue(now, job.request, sure);
            left_to_engines(
                shared,
                left.as_slice(),
                "more is owed than the bound allows",
            );
        });
    }

    /// See [`ReleaseQueue::needed`].
    pub(crate) fn needed(&self, request: u64) -> bool {
        self.change(|owing, _| owing.decider.withdraw(request))
            .unwrap_or(false)
    }

    /// An engine that had been silent answered.
    pub(crate) fn heard(&self) {
        self.change(|owing, now| owing.decider.endpoint_recovered(now));
    }

    /// The node is about to end.
    pub(crate) fn ends(&self) {
        self.change(|owing, now| owing.decider.shut_down(now));
    }

    /// Changes what is owed, if anything ever was, keeps the node's count of it, and wakes the task that asks.
    fn change<T>(&self, how: impl FnOnce(&mut Owing, Micros) -> T) -> Option<T> {
        let shared = self.shared.get()?;
        let mut owing = lock(&self.owing);
        let before = owing.decider.pending();
        let out = how(&mut owing, shared.runtime().now());
        let after = owing.decider.pending();
        shared.add_pending_releases(after.saturating_sub(before));
        shared.finish_pending_releases(before.saturating_sub(after));
        if owing.what.len() > after {
            let Owing { decider, what } = &mut *owing;
            what.retain(|request, _| decider.is_pending(*request));
        }
        let wakes = owing.decider.next_deadline().is_some();
        drop(owing);
        if wakes {
            self.moved.notify(usize::MAX);
        }
        Some(out)
    }

    /// Asks engines for as long as the node runs.
    async fn run(self: Arc<Self>, engines: &Arc<EnginePool>) {
        let Some(shared) = self.shared.get().cloned() else {
            return;
        };
        let runtime = shared.runtime();
        loop {
            let listener = self.moved.listen();
            let due = lock(&self.owing).decider.next_deadline();
            match due {
                Some(at) if at <= runtime.now() => self.act(&shared, engines),
                Some(at) => or(listener, runtime.sleep_until(at)).await,
                None => listener.await,
            }
        }
    }

    fn act(self: &Arc<Self>, shared: &Arc<NodeContext>, engines: &Arc<EnginePool>) {
        let mut links: BTreeMap<EndpointId, Arc<HttpEngineClient>> = BTreeMap::new();
        for link in engines.living() {
            // One engine may have two, where it moved: the one that is listed counts.
            if links.get(&link.id).is_none_or(|l| l.leaving()) {
                links.insert(link.id, link);
            }
        }
        let takers: Vec<_> = links.values().map(|l| l.taker()).collect();
        let asks: Vec<(ReleaseAttempt, Arc<str>)> = {
            let mut owing = lock(&self.owing);
            let now = shared.runtime().now();
            let left = owing.decider.take_abandoned(now);
            shared.finish_pending_releases(left.len());
            left_to_engines(shared, &left, "the node ends");
            let asks = owing.decider.next_attempts(now, &takers);
            asks.into_iter()
                .filter_map(|a| Some((a, owing.what.get(&a.request)?.0.clone())))
                .collect()
        };
        for (ask, target) in asks {
            let Some(link) = links.get(&ask.target).cloned() else {
                continue;
            };
            let releases = self.clone();
            shared.metrics().releases.add(1);
            shared.runtime().run(async move {
                let short = link.short("DELETE", &target, ask.deadline).await;
                debug!(request = ask.request, %target, engine = link.id.0, ?short, "asked to let go");
                let answer = match short {
                    Ok((200..=299, _)) => ReleaseResult::Accepted,
                    Err(CallError::Local(_)) => ReleaseResult::NoLocalResources,
                    _ => ReleaseResult::Failed,
                };
                releases.change(|owing, now| owing.decider.on_result(now, &ask, answer));
            });
        }
    }
}

fn left_to_engines(shared: &Arc<NodeContext>, requests: &[u64], why: &str) {
    for request in requests {
        shared.metrics().releases_dropped.add(1);
        warn!(
            request,
            "what may be held is left to the engines' own limit: {why}"
        );
    }
}
