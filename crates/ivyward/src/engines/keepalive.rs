//! The budget of checks of connections at rest, shared by a node's connections to all engines.

use crate::settings::NodeSettings;
use ivyward_core::interface::Micros;
use ivyward_core::keepalive::{Ask, BeforeUse, Keepalive, KeepaliveSettings};
use ivyward_grpc::RestingChecks;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The decider, as all connections share it.
pub(crate) struct EngineKeepalive {
    decider: Mutex<Keepalive>,
    runtime: RuntimeRef,
}

impl EngineKeepalive {
    pub(crate) fn new(runtime: &RuntimeRef, settings: &NodeSettings) -> Arc<EngineKeepalive> {
        let settings = KeepaliveSettings {
            silence: settings.ping_every,
            timeout: settings.ping_timeout,
            resting_checks: settings.resting_checks,
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

    /// What is to be done before a call leaves on a connection on which something was last heard at `heard`.
    pub(crate) fn before_use(&self, heard: Micros) -> BeforeUse {
        self.decider().before_use(self.runtime.now(), heard)
    }
}

impl RestingChecks for EngineKeepalive {
    fn rested(&self) {
        self.decider().rested();
    }
    fn roused(&self) {
        self.decider().roused();
    }
    fn next_check(&self, now: Micros) -> Option<Micros> {
        let jitter = self.runtime.unit();
        self.decider().next_check(now, jitter)
    }
    fn ask_again(&self, now: Micros) -> Option<Micros> {
        let jitter = self.runtime.unit();
        match self.decider().ask(now, jitter) {
            Ask::Check => None,
            Ask::Again(at) => Some(at),
        }
    }
}
