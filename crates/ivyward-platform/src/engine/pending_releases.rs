//! Releases that no engine has accepted yet. [`ivyward::core::release`] decides when they are sent and dropped.

use crate::sync::lock;
use event_listener::{Event, EventListener};
use ivyward::core::interface::Micros;
use ivyward::core::release::{
    ReleaseAttempt, ReleaseQueue, ReleaseResult, ReleaseSettings, ReleaseTarget,
};
use ivyward::engines::{EngineHandle, Reservation};
use ivyward::NodeContext;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use tracing::warn;

/// A release that is sent until an engine accepts it.
struct PendingRelease {
    /// The path of the DELETE request.
    path: Arc<str>,
    /// The engines at which something may be reserved. Holding their clients keeps the endpoints in the pool after the
    /// engines were removed from the list.
    _engines: Vec<EngineHandle>,
}

struct State {
    queue: ReleaseQueue,
    /// The releases in the queue, by request number.
    releases: BTreeMap<u64, PendingRelease>,
}

/// A release attempt that is due.
pub(super) struct DueRelease {
    pub(super) attempt: ReleaseAttempt,
    pub(super) path: Arc<str>,
}

/// The pending releases of a node.
pub(crate) struct PendingReleases {
    state: Mutex<State>,
    changed: Event,
    /// Set with the first release, which starts the task that sends releases.
    context: OnceLock<Arc<NodeContext>>,
}

impl PendingReleases {
    pub(super) fn new(settings: ReleaseSettings) -> PendingReleases {
        PendingReleases {
            state: Mutex::new(State {
                queue: ReleaseQueue::new(settings),
                releases: BTreeMap::new(),
            }),
            changed: Event::new(),
            context: OnceLock::new(),
        }
    }

    /// Stores the node's context. Returns `true` for the first release; the caller then starts the task that sends releases.
    pub(super) fn start(&self, context: &Arc<NodeContext>) -> bool {
        self.context.set(context.clone()).is_ok()
    }

    /// Adds a release; see [`ReleaseQueue::enqueue`].
    pub(super) fn enqueue(&self, request: u64, path: String, reservations: Vec<Reservation>) {
        self.update(|state, context, now| {
            let all_confirmed = reservations.iter().all(|r| r.confirmed);
            let release = PendingRelease {
                path: path.into(),
                _engines: reservations.into_iter().map(|r| r.engine).collect(),
            };
            state.releases.insert(request, release);
            let dropped = state.queue.enqueue(now, request, all_confirmed);
            log_dropped(context, dropped.as_slice(), "too many pending releases");
        });
    }

    /// Withdraws the release of a request; see [`ReleaseQueue::withdraw`].
    pub(crate) fn withdraw(&self, request: u64) -> bool {
        self.update(|state, _, _| state.queue.withdraw(request))
            .unwrap_or(false)
    }

    /// Notifies the queue that an engine responds again; see [`ReleaseQueue::endpoint_recovered`].
    pub(super) fn endpoint_recovered(&self) {
        self.update(|state, _, now| state.queue.endpoint_recovered(now));
    }

    /// Notifies the queue that the node shuts down; see [`ReleaseQueue::shut_down`].
    pub(crate) fn shut_down(&self) {
        self.update(|state, _, now| state.queue.shut_down(now));
    }

    /// Records the result of a release attempt; see [`ReleaseQueue::on_result`].
    pub(super) fn on_result(&self, attempt: &ReleaseAttempt, result: ReleaseResult) {
        self.update(|state, _, now| state.queue.on_result(now, attempt, result));
    }

    /// Returns a listener for the next change that leaves a deadline in the queue.
    pub(super) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns when the queue next needs attention; see [`ReleaseQueue::next_deadline`].
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        lock(&self.state).queue.next_deadline()
    }

    /// Drops the abandoned releases, and returns the attempts that are due.
    pub(super) fn next_attempts(
        &self,
        context: &NodeContext,
        targets: &[ReleaseTarget],
    ) -> Vec<DueRelease> {
        let mut state = lock(&self.state);
        let now = context.runtime().now();
        let abandoned = state.queue.take_abandoned(now);
        context.finish_pending_releases(abandoned.len());
        log_dropped(context, &abandoned, "the node shuts down");
        let attempts = state.queue.next_attempts(now, targets);
        attempts
            .into_iter()
            .filter_map(|attempt| {
                let path = state.releases.get(&attempt.request)?.path.clone();
                Some(DueRelease { attempt, path })
            })
            .collect()
    }

    /// Applies `change` to the queue, updates the node's count of pending releases, and wakes the task that sends them.
    /// Returns `None` before the first release, when the queue has never been used.
    fn update<T>(&self, change: impl FnOnce(&mut State, &NodeContext, Micros) -> T) -> Option<T> {
        let context = self.context.get()?;
        let mut state = lock(&self.state);
        let before = state.queue.pending();
        let output = change(&mut state, context, context.runtime().now());
        let after = state.queue.pending();
        context.add_pending_releases(after.saturating_sub(before));
        context.finish_pending_releases(before.saturating_sub(after));
        if state.releases.len() > after {
            let State { queue, releases } = &mut *state;
            releases.retain(|request, _| queue.is_pending(*request));
        }
        let has_deadline = state.queue.next_deadline().is_some();
        drop(state);
        if has_deadline {
            self.changed.notify(usize::MAX);
        }
        Some(output)
    }
}

/// Counts and logs dropped releases. Their reservations end at the engines' own time limit.
fn log_dropped(context: &NodeContext, requests: &[u64], reason: &str) {
    for request in requests {
        context.metrics().releases_dropped.add(1);
        warn!(request, reason, "release dropped");
    }
}
