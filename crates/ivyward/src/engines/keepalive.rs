//! The rate limit on checks of idle connections, shared by a node's connections to all engines.

use crate::settings::NodeSettings;
use ivyward_core::interface::Micros;
use ivyward_core::keepalive::{BeforeUse, CheckDecision, Keepalive, KeepaliveSettings};
use ivyward_grpc::IdleChecks;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Decides when idle connections to engines are checked. One instance serves all of a node's connections.
pub(crate) struct EngineKeepalive {
    decider: Mutex<Keepalive>,
    runtime: RuntimeRef,
}

impl EngineKeepalive {
    pub(crate) fn new(runtime: &RuntimeRef, settings: &NodeSettings) -> Arc<EngineKeepalive> {
        let settings = KeepaliveSettings {
            ping_after: settings.ping_interval,
            ping_timeout: settings.ping_timeout,
            idle_checks_per_second: settings.idle_checks_per_second,
            dial_timeout: settings.dial_timeout,
        };
        Arc::new(EngineKeepalive {
            decider: Mutex::new(Keepalive::new(settings)),
            runtime: runtime.clone(),
        })
    }

    fn decider(&self) -> MutexGuard<'_, Keepalive> {
        self.decider.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether to check a connection that last received bytes at `last_received` before a call is sent on it.
    pub(crate) fn before_use(&self, last_received: Micros) -> BeforeUse {
        self.decider().before_use(self.runtime.now(), last_received)
    }
}

impl IdleChecks for EngineKeepalive {
    fn connection_idle(&self) {
        self.decider().connection_idle();
    }
    fn connection_active(&self) {
        self.decider().connection_active();
    }
    fn next_check(&self, now: Micros) -> Option<Micros> {
        let jitter = self.runtime.random_f64();
        self.decider().next_check(now, jitter)
    }
    fn retry_check_at(&self, now: Micros) -> Option<Micros> {
        let jitter = self.runtime.random_f64();
        match self.decider().request_check(now, jitter) {
            CheckDecision::Check => None,
            CheckDecision::RetryAt(at) => Some(at),
        }
    }
}
