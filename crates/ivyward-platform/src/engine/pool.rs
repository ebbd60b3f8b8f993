//! The pool of connections to engines: the idle connections of each endpoint, and which of them are closed at the limit.

use super::connection::{ConnectionLimit, ConnectionPermit, EngineConnection};
use super::pending_releases::PendingReleases;
use crate::sync::lock;
use ivyward::core::connection_reuse::ReuseHistory;
use ivyward::core::interface::{EndpointId, Micros};
use ivyward::core::release::{reserve_timeout, ReleaseSettings, ReleaseTarget};
use ivyward::memory_budget::MemoryBudget;
use ivyward::runtime::RuntimeRef;
use ivyward::Engine;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// The idle timeout as a fraction of the engines' keep-alive time. It is below 1 because a request that is sent while the
/// engine closes the connection ends in a reset.
const IDLE_FRACTION: f64 = 0.6;
/// The idle timeout if the settings state no keep-alive time: 5 s.
const DEFAULT_IDLE_TIMEOUT: Micros = 5_000_000;

/// The settings of a node's connections to engines.
pub(crate) struct EnginePoolSettings {
    /// The timeout of a connection attempt.
    pub(crate) connect_timeout: Micros,
    /// The time after which engines close an idle connection; 0 if unknown.
    pub(crate) keep_alive: Micros,
    /// The limit on open connections, not counting those reserved for releases and health checks.
    pub(crate) max_connections: usize,
    /// The fields of a load report, in the order that the router expects.
    pub(crate) report_fields: Vec<String>,
    /// The time limit of a release, and the limits on concurrent and pending releases.
    pub(crate) release: ReleaseSettings,
    /// The budget of the memory of responses.
    pub(crate) response_memory: Arc<MemoryBudget>,
    /// The size of one read from an engine, in bytes.
    pub(crate) read_size: usize,
}

/// The state that all engine clients of a node share.
pub(crate) struct EnginePool {
    pub(super) runtime: RuntimeRef,
    pub(super) connect_timeout: Micros,
    pub(super) reserve_timeout: Micros,
    pub(super) report_fields: Vec<String>,
    /// The number of connections that releases and health checks may open beyond the limit.
    pub(super) release_connections: usize,
    pub(crate) releases: Arc<PendingReleases>,
    pub(super) response_memory: Arc<MemoryBudget>,
    /// The size of one read from an engine, in bytes.
    pub(super) read_size: usize,
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
            reserve_timeout: reserve_timeout(settings.release.release_within),
            report_fields: settings.report_fields,
            release_connections: settings.release.max_concurrent_attempts,
            releases: Arc::new(PendingReleases::new(settings.release)),
            response_memory: settings.response_memory,
            read_size: settings.read_size,
            idle_timeout,
            limit: ConnectionLimit::new(settings.max_connections),
            reuse_history: Mutex::default(),
            endpoints: Mutex::default(),
        })
    }

    /// Returns the number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.limit.open()
    }

    /// Adds an endpoint. The pool keeps a weak reference: an endpoint leaves the pool when its last client is dropped.
    pub(super) fn add(&self, engine: &Engine) -> Arc<PooledEndpoint> {
        let endpoint = Arc::new(PooledEndpoint::new(engine));
        lock(&self.endpoints).push(Arc::downgrade(&endpoint));
        endpoint
    }

    /// Returns the endpoints that still have a client, in the order in which they were added.
    pub(super) fn endpoints(&self) -> Vec<Arc<PooledEndpoint>> {
        let endpoints = lock(&self.endpoints);
        endpoints.iter().filter_map(Weak::upgrade).collect()
    }

    /// Closes connections that reached the idle timeout or that their engine closed, and removes dropped endpoints.
    pub(crate) fn sweep(&self) {
        lock(&self.endpoints).retain(|endpoint| endpoint.strong_count() > 0);
        let oldest = self.runtime.now().saturating_sub(self.idle_timeout);
        for endpoint in self.endpoints() {
            // A connection that its engine closed would otherwise use up a file descriptor until the idle timeout.
            lock(&endpoint.idle)
                .retain_mut(|idle| idle.since > oldest && idle.connection.is_reusable());
        }
    }

    /// Acquires a permit for a new connection, or returns `None` at the limit. At the limit, the connection that was idle
    /// longest at any endpoint is closed first. `reserve` extends the limit for releases and health checks, so that
    /// reservations are released even while all other connections are in use.
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

    /// Takes the most recently used idle connection that may be reused. `is_repeatable` states whether the request may be
    /// sent again if the engine closes the connection under it. A connection that its engine closed, or on which more than
    /// the response was received, is dropped.
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
                if connection.is_reusable() {
                    connection.idle_time = Some(idle_time);
                    return Some(connection);
                }
            }
        }
        None
    }

    /// Adds a connection to the idle ones of its endpoint, unless the endpoint drains. `keep_alive`: the response was
    /// received completely and does not ask for a close.
    pub(super) fn return_connection(
        &self,
        endpoint: &PooledEndpoint,
        mut connection: EngineConnection,
        keep_alive: bool,
    ) {
        connection.has_pending_request = false;
        if keep_alive && !endpoint.is_draining() && connection.is_reusable() {
            lock(&endpoint.idle).push_back(IdleConnection {
                connection,
                since: self.runtime.now(),
            });
        }
    }

    /// Records whether the engine closed a connection with this idle time while a request was being sent on it.
    pub(super) fn record_use(&self, idle_time: Option<Micros>, was_closed: bool) {
        lock(&self.reuse_history).record_use(self.runtime.now(), idle_time, was_closed);
    }
}

/// A connection without a request in progress.
struct IdleConnection {
    connection: EngineConnection,
    since: Micros,
}

/// An engine at one address: its idle connections, and the times of its last response and failure.
pub(super) struct PooledEndpoint {
    pub(super) id: EndpointId,
    pub(super) address: SocketAddr,
    /// Ordered by idle time, the longest first.
    idle: Mutex<VecDeque<IdleConnection>>,
    draining: AtomicBool,
    /// When the engine last responded to any call; 0 for never.
    last_response: AtomicU64,
    /// When connecting to the engine last failed or a call to it last ended without a response; 0 for never.
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

    /// Returns whether the engine drains or was removed from the list. No new request is sent to it then.
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

    /// Records a response. Returns whether it is the first one after a failure.
    pub(super) fn record_response(&self, now: Micros) -> bool {
        let had_failed = self.last_failure.load(Ordering::Relaxed) > self.last_response();
        self.last_response.store(now, Ordering::Relaxed);
        had_failed
    }

    pub(super) fn record_failure(&self, now: Micros) {
        self.last_failure.store(now, Ordering::Relaxed);
    }

    /// Returns what [`ivyward::core::release`] needs to choose the target of a release.
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
