//! The pool of connections to engines: idle connections of each endpoint, and which are closed to make room.

use super::connection::{ConnectionLimit, ConnectionPermit, EngineConnection};
use super::pending_releases::PendingReleases;
use crate::sync::lock;
use ivyward::core::connection_reuse::ReuseHistory;
use ivyward::core::interface::{EndpointId, Micros};
use ivyward::core::release::{ReleaseSettings, ReleaseTarget};
use ivyward::runtime::RuntimeRef;
use ivyward::Engine;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Part of the engines' keep-alive time after which a connection is closed: a request that crosses the engine's own close
/// ends as a reset.
const IDLE_FRACTION: f64 = 0.6;
/// Used where the settings state no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Micros = 5_000_000;

/// What the connections of a node to its engines are bound to.
pub(crate) struct EnginePoolSettings {
    /// A connection attempt fails after this.
    pub(crate) connect_timeout: Micros,
    /// Engines close a connection that was idle for so long; 0 where that is not known.
    pub(crate) keep_alive: Micros,
    /// Most open connections, besides the reserve of releases and health checks.
    pub(crate) max_connections: usize,
    /// Fields of a load report, in the router's order.
    pub(crate) report_fields: Vec<String>,
    /// How releases are sent.
    pub(crate) release: ReleaseSettings,
}

/// What all engine clients of a node share.
pub(crate) struct EnginePool {
    pub(super) runtime: RuntimeRef,
    pub(super) connect_timeout: Micros,
    pub(super) reserve_timeout: Micros,
    pub(super) report_fields: Vec<String>,
    /// Connections that only releases and health checks may open beyond the limit.
    pub(super) release_connections: usize,
    pub(crate) releases: Arc<PendingReleases>,
    idle_timeout: Micros,
    limit: Arc<ConnectionLimit>,
    reuse_history: Mutex<ReuseHistory>,
    endpoints: Mutex<Vec<Weak<PooledEndpoint>>>,
}

impl EnginePool {
    pub(crate) fn new(runtime: &RuntimeRef, settings: EnginePoolSettings) -> Arc<EnginePool> {
        let idle_timeout = match settings.keep_alive {
            0 => DEFAULT_IDLE_TIMEOUT,
            keep_alive => (keep_alive as f64 * IDLE_FRACTION) as Micros,
        };
        Arc::new(EnginePool {
            runtime: runtime.clone(),
            connect_timeout: settings.connect_timeout,
            reserve_timeout: settings.release.reserve_timeout(),
            report_fields: settings.report_fields,
            release_connections: settings.release.max_concurrent_attempts,
            releases: Arc::new(PendingReleases::new(settings.release)),
            idle_timeout,
            limit: ConnectionLimit::new(settings.max_connections),
            reuse_history: Mutex::default(),
            endpoints: Mutex::default(),
        })
    }

    /// Connections that are open now.
    pub(crate) fn open_connections(&self) -> usize {
        self.limit.open()
    }

    /// Adds an endpoint, which belongs to the pool for as long as somebody else holds it.
    pub(super) fn add(&self, engine: &Engine) -> Arc<PooledEndpoint> {
        let endpoint = Arc::new(PooledEndpoint::new(engine));
        lock(&self.endpoints).push(Arc::downgrade(&endpoint));
        endpoint
    }

    /// All endpoints that are still held, in the order of their adding.
    pub(super) fn endpoints(&self) -> Vec<Arc<PooledEndpoint>> {
        let endpoints = lock(&self.endpoints);
        endpoints.iter().filter_map(Weak::upgrade).collect()
    }

    /// Closes connections that were idle for too long or that their engine closed, and forgets dropped endpoints.
    pub(crate) fn sweep(&self) {
        lock(&self.endpoints).retain(|endpoint| endpoint.strong_count() > 0);
        let oldest = self.runtime.now().saturating_sub(self.idle_timeout);
        for endpoint in self.endpoints() {
            // One that its engine closed holds a descriptor for nothing.
            lock(&endpoint.idle)
                .retain_mut(|idle| idle.since > oldest && idle.connection.is_quiet());
        }
    }

    /// Takes a permit for a new connection. At the limit, the connection idle longest at any endpoint is closed. Releases
    /// have a `reserve`, so that reservations are released even while all other connections are in use.
    pub(super) fn permit(&self, reserve: usize) -> Option<ConnectionPermit> {
        if self.limit.is_reached(reserve) {
            self.close_longest_idle();
        }
        match self.limit.is_reached(reserve) {
            true => None,
            false => Some(self.limit.acquire()),
        }
    }

    fn close_longest_idle(&self) {
        let endpoints = self.endpoints();
        let longest_idle = endpoints
            .iter()
            .filter(|endpoint| endpoint.idle_since().is_some())
            .min_by_key(|endpoint| endpoint.idle_since());
        drop(longest_idle.and_then(|endpoint| lock(&endpoint.idle).pop_front()));
    }

    /// The most recently used idle connection that may be reused for a request, which may or may not be sent again. A
    /// connection that its engine closed, or that brought more than its response, is dropped.
    pub(super) fn take_idle(
        &self,
        endpoint: &PooledEndpoint,
        is_repeatable: bool,
    ) -> Option<EngineConnection> {
        let now = self.runtime.now();
        let mut idle = lock(&endpoint.idle);
        let reuse_history = lock(&self.reuse_history);
        for index in (0..idle.len()).rev() {
            let idle_time = now.saturating_sub(idle[index].since);
            if idle_time >= self.idle_timeout
                || !reuse_history.allows_reuse(now, idle_time, is_repeatable)
            {
                continue;
            }
            if let Some(IdleConnection { mut connection, .. }) = idle.remove(index) {
                if connection.is_quiet() {
                    connection.idle_time = Some(idle_time);
                    return Some(connection);
                }
            }
        }
        None
    }

    /// Keeps a connection whose response was received completely, if it `can_be_kept`.
    pub(super) fn keep_idle(
        &self,
        endpoint: &PooledEndpoint,
        mut connection: EngineConnection,
        can_be_kept: bool,
    ) {
        connection.has_pending_request = false;
        if can_be_kept && !endpoint.is_draining() && connection.is_quiet() {
            lock(&endpoint.idle).push_back(IdleConnection {
                connection,
                since: self.runtime.now(),
            });
        }
    }

    /// Records whether a connection with this idle time was closed under a request.
    pub(super) fn record_use(&self, idle_time: Option<Micros>, was_closed: bool) {
        lock(&self.reuse_history).record_use(self.runtime.now(), idle_time, was_closed);
    }
}

/// A connection without a request.
struct IdleConnection {
    connection: EngineConnection,
    since: Micros,
}

/// An engine at one address: its idle connections, and when it last responded.
pub(super) struct PooledEndpoint {
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    /// The connection idle longest first.
    idle: Mutex<VecDeque<IdleConnection>>,
    draining: AtomicBool,
    /// When any call to it last brought a response; 0 for never.
    last_response: AtomicU64,
    /// When a call to it last ended without a response or a connection; 0 for never.
    last_failure: AtomicU64,
}

impl PooledEndpoint {
    fn new(engine: &Engine) -> PooledEndpoint {
        PooledEndpoint {
            id: engine.endpoint.id,
            address: engine.address,
            idle: Mutex::default(),
            draining: AtomicBool::new(false),
            last_response: AtomicU64::new(0),
            last_failure: AtomicU64::new(0),
        }
    }

    /// Whether the engine drains or was removed: nothing new is sent to it.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(super) fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    pub(super) fn close_idle(&self) {
        lock(&self.idle).clear();
    }

    fn idle_since(&self) -> Option<Micros> {
        lock(&self.idle).front().map(|idle| idle.since)
    }

    pub(super) fn last_response(&self) -> Micros {
        self.last_response.load(Ordering::Relaxed)
    }

    /// Records a response; whether it ends a silence that began with a failure.
    pub(super) fn record_response(&self, now: Micros) -> bool {
        let was_silent = self.last_failure.load(Ordering::Relaxed) > self.last_response();
        self.last_response.store(now, Ordering::Relaxed);
        was_silent
    }

    pub(super) fn record_failure(&self, now: Micros) {
        self.last_failure.store(now, Ordering::Relaxed);
    }

    /// What is known of it as a target of releases.
    pub(super) fn release_target(&self) -> ReleaseTarget {
        ReleaseTarget {
            id: self.id,
            last_response: self.last_response(),
            last_failure: self.last_failure.load(Ordering::Relaxed),
            has_idle_connection: !lock(&self.idle).is_empty(),
            is_draining: self.is_draining(),
        }
    }
}

#[cfg(test)]
mod tests;
