//! What the parts of a node share, and what they tell the driver.

use crate::driver::Engine;
use crate::engines::{Call, End, Held, LinkRef, Protocol};
use crate::metrics::Metrics;
use crate::settings::NodeSettings;
use ivyward_core::interface as core;
use ivyward_core::interface::{Arrival, ListKind, Micros, ServerId};
use ivyward_world::WorldRef;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// A request that was taken in.
pub(crate) struct Taken {
    pub(crate) arrival: Arrival,
    /// Without a first token by then, the client gives up.
    pub(crate) first_by: Micros,
    /// Without the end by then, the client gives up; `None` for never.
    pub(crate) end_by: Option<Micros>,
    pub(crate) call: Arc<dyn Call>,
}

pub(crate) struct Ended {
    pub(crate) request: u64,
    pub(crate) attempt: u16,
    pub(crate) end: End,
}

/// What the driver is told.
pub(crate) enum Notice {
    Request(Box<Taken>),
    Gone(u64),
    First(u64, u16),
    Ended(Ended),
    Place { request: u64, attempt: u16, link: LinkRef, call: Arc<dyn Call>, held: Held },
    Probed { server: ServerId, alive: bool, report: core::Report },
    Fleet { kind: ListKind, engines: Vec<Engine>, done: async_channel::Sender<()> },
    Stop { by: Micros },
    Flush(async_channel::Sender<()>),
}

/// What the parts of a node share.
pub struct Shared {
    pub(crate) world: WorldRef,
    pub(crate) settings: NodeSettings,
    pub(crate) router_settings: core::Settings,
    pub(crate) protocol: Arc<dyn Protocol>,
    /// Names this run of the node to engines.
    pub(crate) incarnation: u64,
    /// Holds at most a few notices for each open request (its arrival, its end, and each attempt's first token
    /// and end) beside what the node's owner tells and awaits, so `most_open` bounds it.
    pub(crate) notices: async_channel::Sender<Notice>,
    pub(crate) open: AtomicUsize,
    pub(crate) next_id: AtomicU64,
    pub(crate) stopping: AtomicBool,
    pub(crate) stop_told: event_listener::Event,
    pub(crate) releases: AtomicUsize,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn tell(&self, notice: Notice) {
        // Fails only when the driver is gone, and the node with it.
        let _ = self.notices.try_send(notice);
    }
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
