//! The node's connections to engines: how many there may be, and which are closed to make room.

use super::endpoint::HttpEngineClient;
use crate::buffered_connection::BufferedConnection;
use crate::call::lock;
use crate::release::Releases;
use ivyward::core::connection_reuse::ReuseHistory;
use ivyward::core::interface::Micros;
use ivyward::core::release::ReleaseSettings;
use ivyward::runtime::RuntimeRef;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Part of the engines' idle time after which a connection is left: a request that crosses their close ends as a reset.
const IDLE_FRACTION: f64 = 0.6;
/// Where no idle time is told.
const IDLE_TIMEOUT: Micros = 5_000_000;

/// What all links of a node share.
pub(crate) struct EnginePool {
    pub(super) runtime: RuntimeRef,
    pub(super) keep: Micros,
    pub(super) dial_timeout: Micros,
    /// Connections there are, and may be.
    pub(super) connections: AtomicUsize,
    pub(super) most: usize,
    /// Beside those, what only releases and probes may take.
    pub(super) spare: usize,
    pub(super) hold_wait: Micros,
    pub(super) fields: Vec<String>,
    pub(super) kept_connections: Mutex<ReuseHistory>,
    pub(super) links: Mutex<Vec<Weak<HttpEngineClient>>>,
    pub(crate) releases: Arc<Releases>,
}

impl EnginePool {
    pub(crate) fn new(
        runtime: &RuntimeRef,
        dial_timeout: Micros,
        keepalive: Micros,
        most: usize,
        fields: &[String],
        let_go: ReleaseSettings,
    ) -> Arc<EnginePool> {
        let spare = let_go.max_concurrent_attempts;
        let keep = if keepalive > 0 {
            (keepalive as f64 * IDLE_FRACTION) as Micros
        } else {
            IDLE_TIMEOUT
        };
        Arc::new(EnginePool {
            runtime: runtime.clone(),
            keep,
            dial_timeout,
            connections: AtomicUsize::new(0),
            most,
            spare,
            hold_wait: let_go.reserve_timeout(),
            fields: fields.to_vec(),
            kept_connections: Mutex::default(),
            links: Mutex::default(),
            releases: Arc::new(Releases::new(let_go)),
        })
    }
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
    pub(crate) fn living(&self) -> Vec<Arc<HttpEngineClient>> {
        lock(&self.links).iter().filter_map(Weak::upgrade).collect()
    }
    /// Closes what was idle too long, and forgets links that are gone.
    pub(crate) fn sweep(&self) {
        lock(&self.links).retain(|l| l.strong_count() > 0);
        let oldest = self.runtime.now().saturating_sub(self.keep);
        for link in self.living() {
            // One that its engine closed holds a descriptor for nothing.
            lock(&link.idle)
                .retain_mut(|(connection, since)| *since > oldest && connection.is_quiet());
        }
    }
    /// Takes a descriptor for a connection: at the bound the one idle longest anywhere goes. Releases have some to spare,
    /// so that what is held is let go of also while every other connection is in use.
    pub(super) fn permit(self: &Arc<Self>, spare: usize) -> Option<ConnectionPermit> {
        let most = self.most + spare;
        if self.connections.load(Ordering::Relaxed) >= most {
            let oldest = |l: &Arc<HttpEngineClient>| lock(&l.idle).front().map(|(_, since)| *since);
            let links = self.living();
            let link = links
                .iter()
                .filter(|l| oldest(l).is_some())
                .min_by_key(|l| oldest(l));
            drop(link.and_then(|l| lock(&l.idle).pop_front()));
        }
        if self.connections.load(Ordering::Relaxed) >= most {
            return None;
        }
        self.connections.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionPermit(self.clone()))
    }
}

/// A connection's place among all; given back when it is closed.
pub(super) struct ConnectionPermit(Arc<EnginePool>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A connection to an engine.
pub(super) struct EngineConnection {
    pub(super) connection: BufferedConnection,
    /// How long it had been idle before its present request; `None` for a new one.
    pub(super) idle: Option<Micros>,
    /// What a way there and back takes, by its connecting.
    pub(super) round_trip: Micros,
    /// A request has begun to leave on it, and its answer has not come whole.
    pub(super) under_way: bool,
    pub(super) _permit: ConnectionPermit,
}

impl Drop for EngineConnection {
    /// Guards against what was given up and lands long after: bytes on their way when a cut begins are sent again by the
    /// system when it ends, after the last release of their request. A reset takes them back.
    fn drop(&mut self) {
        if self.under_way {
            self.connection.reset_on_close();
        }
    }
}

impl Deref for EngineConnection {
    type Target = BufferedConnection;
    fn deref(&self) -> &BufferedConnection {
        &self.connection
    }
}

impl DerefMut for EngineConnection {
    fn deref_mut(&mut self) -> &mut BufferedConnection {
        &mut self.connection
    }
}

#[cfg(test)]
mod tests;
