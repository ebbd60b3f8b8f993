//! Starts the engines' and the store's processes on hosts of the simulation.

use super::lock;
use ivyward_fakes::engine::Kill;
use ivyward_fakes::Host;
use ivyward_runtime::RuntimeRef;
use ivyward_sim::{HostId, Sim};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Starts processes on simulated hosts. While `silent` is set, a process that is killed does not reset its connections, so
/// its peers are not notified.
pub struct Hosts {
    sim: Sim,
    pub(super) silent: Arc<AtomicBool>,
    last: Mutex<HostId>,
}

impl Hosts {
    /// Starts processes in `sim`.
    pub fn of(sim: &Sim) -> Hosts {
        Hosts {
            sim: sim.clone(),
            silent: Arc::default(),
            last: Mutex::new(0),
        }
    }
    /// Returns the host of the process that was started last.
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
