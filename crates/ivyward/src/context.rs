//! What the parts of a node share: its runtime, settings, counters and limits. This module depends on none of those parts.

use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::response::RejectReason;
use crate::settings::NodeSettings;
use ivyward_core::interface as core;
use ivyward_core::shutdown::Admission;
use ivyward_runtime::RuntimeRef;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The runtime, settings and metrics of a node, which all its parts share.
pub struct NodeContext {
    pub(crate) runtime: RuntimeRef,
    pub(crate) settings: NodeSettings,
    pub(crate) router_settings: core::Settings,
    /// The random number that identifies this run of the node to engines.
    pub(crate) incarnation: u64,
    /// Number of open requests.
    pub(crate) open: AtomicUsize,
    pub(crate) next_request_id: AtomicU64,
    /// The memory of gRPC requests that are being received. The ones that began first are rejected at the limit.
    pub(crate) receiving_memory: Arc<MemoryBudget>,
    /// The memory of the prompts of open requests. Further requests are rejected at the limit.
    pub(crate) prompt_memory: Arc<MemoryBudget>,
    pub(crate) stopping: AtomicBool,
    admission: Mutex<Admission>,
    pub(crate) stopping_event: event_listener::Event,
    /// Releases in progress, the oldest first.
    releases: Mutex<VecDeque<OngoingRelease>>,
    /// Number of releases in progress, and of decode slot reservations in progress, which may need a release.
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
            receiving_memory: MemoryBudget::new(settings.max_request_bytes, 0),
            prompt_memory: MemoryBudget::new(settings.max_request_bytes, 0),
            incarnation: runtime.random(),
            runtime,
            settings,
            router_settings,
            open: AtomicUsize::new(0),
            next_request_id: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            admission: Mutex::default(),
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
    /// The settings that the node was started with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }
    /// The router's part of the settings.
    pub fn router_settings(&self) -> &core::Settings {
        &self.router_settings
    }
    /// The node's metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
    pub(crate) fn count_rejection(&self, reason: RejectReason) {
        self.metrics.rejected.add(1);
        self.metrics.count_rejection(reason);
    }
    pub(crate) fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
    /// Waits until the node stops accepting requests.
    pub(crate) async fn stopped(&self) {
        loop {
            let listener = self.stopping_event.listen();
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }
    /// Starts a release. At the limit of concurrent releases the oldest one is evicted, because its engine's own time limit is the
    /// next to release that reservation in any case.
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
    /// Adds to the number of pending releases. A stopping node waits until it is zero.
    pub fn add_pending_releases(&self, count: usize) {
        self.pending_releases.fetch_add(count, Ordering::SeqCst);
    }
    /// Subtracts from the number of pending releases.
    pub fn finish_pending_releases(&self, count: usize) {
        self.pending_releases.fetch_sub(count, Ordering::SeqCst);
    }
}

struct OngoingRelease {
    number: u64,
    /// Dropped when the release is evicted.
    _eviction: async_channel::Sender<()>,
}

/// Counts one release as in progress until it is dropped.
pub(crate) struct ReleasePermit {
    context: Arc<NodeContext>,
    number: u64,
    evicted: async_channel::Receiver<()>,
}

impl ReleasePermit {
    /// Waits until the release is evicted at the limit.
    pub(crate) async fn evicted(&self) {
        // Completes when the sender is dropped.
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
