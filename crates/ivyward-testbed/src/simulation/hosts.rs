//! Processes of the virtual world.

use super::lock;
use ivyward_fakes::engine::Kill;
use ivyward_fakes::Host;
use ivyward_runtime::RuntimeRef;
use ivyward_sim::{HostId, Sim};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Processes in the virtual world. The next ones to be killed die with a word or without.
pub struct Hosts {
    sim: Sim,
    pub(super) silent: Arc<AtomicBool>,
    last: Mutex<HostId>,
}

impl Hosts {
    /// Processes of a world.
    pub fn of(sim: &Sim) -> Hosts {
        Hosts {
            sim: sim.clone(),
            silent: Arc::default(),
            last: Mutex::new(0),
        }
    }
    /// The process that was started last.
    pub fn last_started(&self) -> HostId {
        *lock(&self.last)
    }
}

impl Host for Hosts {
    fn process(&self, seed: u64) -> (RuntimeRef, Kill) {
        let host = self.sim.host(seed);
        let (sim, id, silent) = (self.sim.clone(), host.id(), self.silent.clone());
        *lock(&self.last) = id;
        (
            host.runtime(),
            Box::new(move || sim.kill(id, !silent.load(Ordering::SeqCst))),
        )
    }
}
