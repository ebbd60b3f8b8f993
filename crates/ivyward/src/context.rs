//! What the parts of a node share: its runtime, settings and counters. It depends on none of the parts.

use crate::metrics::Metrics;
use crate::settings::NodeSettings;
use ivyward_core::interface as core;
use ivyward_runtime::RuntimeRef;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The runtime, settings and counters that the parts of a node share.
pub struct NodeContext {
    pub(crate) runtime: RuntimeRef,
    pub(crate) settings: NodeSettings,
    pub(crate) router_settings: core::Settings,
    /// The number of this run of the node, as engines see it.
    pub(crate) incarnation: u64,
    pub(crate) open: AtomicUsize,
    pub(crate) next_id: AtomicU64,
    pub(crate) stopping: AtomicBool,
    pub(crate) stopping_event: event_listener::Event,
    /// Releases under way, the oldest first.
    releases: Mutex<VecDeque<OngoingRelease>>,
    /// Releases under way, and calls for decode slots that may lead to one.
    pub(crate) pending_releases: AtomicUsize,
    pub(crate) metrics: Metrics,
}

impl NodeContext {
    pub(crate) fn new(
        runtime: RuntimeRef,
        settings: NodeSettings,
        router_settings: core::Settings,
    ) -> Arc<NodeContext> {
        Arc::new(NodeContext {
            incarnation: runtime.random(),
            runtime,
            settings,
            router_settings,
            open: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            stopping_event: event_listener::Event::new(),
            releases: Mutex::default(),
            pending_releases: AtomicUsize::new(0),
            metrics: Metrics::default(),
        })
    }
    /// The node's clock, tasks and sockets.
    pub fn runtime(&self) -> &RuntimeRef {
        &self.runtime
    }
    /// The settings the node runs with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }
    /// The router's part of them.
    pub fn router_settings(&self) -> &core::Settings {
        &self.router_settings
    }
    /// The node's counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
    /// Returns when the node stops taking requests.
    pub(crate) async fn stopped(&self) {
        loop {
            let listener = self.stopping_event.listen();
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }
    /// Begins a release. At the bound the oldest one ends: its engine's own limit is the next to release that anyway.
    pub(crate) fn begin_release(self: &Arc<Self>) -> ReleasePermit {
        let (eviction, evicted) = async_channel::bounded(1);
        let mut releases = self.releases();
        let number = releases.back().map_or(0, |last| last.number + 1);
        if releases.len() >= self.settings.max_pending_releases {
            releases.pop_front();
        }
        releases.push_back(OngoingRelease {
            number,
            _eviction: eviction,
        });
        self.add_pending_releases(1);
        ReleasePermit {
            context: self.clone(),
            number,
            evicted,
        }
    }
    fn releases(&self) -> MutexGuard<'_, VecDeque<OngoingRelease>> {
        self.releases.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Counts more pending releases.
    pub fn add_pending_releases(&self, count: usize) {
        self.pending_releases.fetch_add(count, Ordering::SeqCst);
    }
    /// Counts off pending releases.
    pub fn finish_pending_releases(&self, count: usize) {
        self.pending_releases.fetch_sub(count, Ordering::SeqCst);
    }
}

struct OngoingRelease {
    number: u64,
    /// Dropped when the release is pushed out.
    _eviction: async_channel::Sender<()>,
}

/// A release under way; it ends when this is dropped.
pub(crate) struct ReleasePermit {
    context: Arc<NodeContext>,
    number: u64,
    evicted: async_channel::Receiver<()>,
}

impl ReleasePermit {
    /// Returns when the release was pushed out at the bound.
    pub(crate) async fn evicted(&self) {
        // Ends when the sender is dropped.
        let _ = self.evicted.recv().await;
    }
}

impl Drop for ReleasePermit {
    fn drop(&mut self) {
        let mut releases = self.context.releases();
        if let Ok(at) = releases.binary_search_by_key(&self.number, |release| release.number) {
            releases.remove(at);
        }
        self.context.finish_pending_releases(1);
    }
}
