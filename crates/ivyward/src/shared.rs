//! What the parts of a node share: its surroundings, its settings and its counters. It knows none of the parts.

use crate::metrics::Metrics;
use crate::settings::NodeSettings;
use ivyward_core::interface as core;
use ivyward_world::WorldRef;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// What the parts of a node share.
pub struct Shared {
    pub(crate) world: WorldRef,
    pub(crate) settings: NodeSettings,
    pub(crate) router_settings: core::Settings,
    /// Names this run of the node to engines.
    pub(crate) incarnation: u64,
    pub(crate) open: AtomicUsize,
    pub(crate) next_id: AtomicU64,
    pub(crate) stopping: AtomicBool,
    pub(crate) stop_told: event_listener::Event,
    pub(crate) releases: AtomicUsize,
    pub(crate) metrics: Metrics,
    /// Set once, if the node is to know others. Its own task is behind it; this is only the way to look.
    pub(crate) peers: std::sync::OnceLock<crate::peers::PeersHandle>,
}

impl Shared {
    /// The node's surroundings.
    pub fn world(&self) -> &WorldRef {
        &self.world
    }
    /// The settings the node runs with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }
    /// What the module was told of them.
    pub fn module_settings(&self) -> &core::Settings {
        &self.router_settings
    }
    /// The node's counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
    /// Takes a place among the releases under way; without one the engine's own limit lets go.
    pub fn begin_release(&self) -> bool {
        if self.releases.fetch_add(1, Ordering::SeqCst) >= self.settings.most_releases {
            self.releases.fetch_sub(1, Ordering::SeqCst);
            self.metrics.releases_dropped.add(1);
            return false;
        }
        self.metrics.releases.add(1);
        true
    }
    /// Gives it back.
    pub fn end_release(&self) {
        self.releases.fetch_sub(1, Ordering::SeqCst);
    }
}
