//! What the parts of a node share: its surroundings, its settings and its counters. It knows none of the parts.

use crate::metrics::Metrics;
use crate::settings::NodeSettings;
use ivyward_core::interface as core;
use ivyward_runtime::RuntimeRef;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the parts of a node share.
pub struct NodeContext {
    pub(crate) runtime: RuntimeRef,
    pub(crate) settings: NodeSettings,
    pub(crate) router_settings: core::Settings,
    /// Names this run of the node to engines.
    pub(crate) incarnation: u64,
    pub(crate) open: AtomicUsize,
    pub(crate) next_id: AtomicU64,
    pub(crate) stopping: AtomicBool,
    pub(crate) stopping_event: event_listener::Event,
    /// Releases under way, the oldest first; dropping one ends it.
    pub(crate) releases: Mutex<VecDeque<(u64, async_channel::Sender<()>)>>,
    /// What is still to be let go of, or may come to be: releases, and holds under way.
    pub(crate) pending_releases: AtomicUsize,
    pub(crate) metrics: Metrics,
}

impl NodeContext {
    /// The node's surroundings.
    pub fn runtime(&self) -> &RuntimeRef {
        &self.runtime
    }
    /// The settings the node runs with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }
    /// What the module was told of them.
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
    /// Takes a place among the releases under way. At the bound the oldest is left to its engine's own limit, which is
    /// the next to let go of it anyway.
    pub(crate) fn begin_release(self: &Arc<Self>) -> ReleasePermit {
        let (stop, stopped) = async_channel::bounded(1);
        let mut releases = self.releases();
        let no = releases.back().map_or(0, |r| r.0 + 1);
        if releases.len() >= self.settings.most_releases {
            releases.pop_front();
        }
        releases.push_back((no, stop));
        self.add_pending_releases(1);
        ReleasePermit {
            context: self.clone(),
            no,
            stopped,
        }
    }
    fn releases(&self) -> MutexGuard<'_, VecDeque<(u64, async_channel::Sender<()>)>> {
        self.releases.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// More is still to be let go of.
    pub fn add_pending_releases(&self, more: usize) {
        self.pending_releases.fetch_add(more, Ordering::SeqCst);
    }
    /// So much less is.
    pub fn finish_pending_releases(&self, less: usize) {
        self.pending_releases.fetch_sub(less, Ordering::SeqCst);
    }
}

/// A place among the releases under way; given back when dropped.
pub(crate) struct ReleasePermit {
    context: Arc<NodeContext>,
    no: u64,
    stopped: async_channel::Receiver<()>,
}

impl ReleasePermit {
    /// Returns when it is left to the engine's own limit.
    pub(crate) async fn evicted(&self) {
        // Ends when the sender is dropped.
        let _ = self.stopped.recv().await;
    }
}

impl Drop for ReleasePermit {
    fn drop(&mut self) {
        let mut releases = self.context.releases();
        if let Ok(at) = releases.binary_search_by_key(&self.no, |r| r.0) {
            releases.remove(at);
        }
        self.context.finish_pending_releases(1);
    }
}
