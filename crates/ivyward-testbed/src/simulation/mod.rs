//! Whole clusters in virtual time: nodes, engines, a store and clients run from one seed under a plan of faults, and the
//! rules are checked on the traffic of the virtual sockets.
//!
//! The nodes and the fake engines run the same code as on real sockets; only their runtime differs.

mod cluster;
mod coincidences;
mod fault;
mod hosts;
mod inject;
mod outcome;
mod plan;
mod recordings;
mod recovery;
mod requests;
mod run;
mod seeds;

pub use coincidences::COINCIDENCES;
pub use fault::Fault;
pub use hosts::Hosts;
pub use outcome::{Outcome, Violation};
pub use plan::{plan, ScheduledFault};
pub use run::run;
pub use seeds::{first_failing_seed, run_seeds, shrink, Summary};

use ivyward::core::interface::Micros;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The size of a simulation run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Racks, each of one prefill engine, one mixed engine and two decode engines.
    pub racks: u16,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of client requests, not counting the clients' retries.
    pub requests: usize,
    /// The number of faults in a plan.
    pub faults: usize,
    /// Whether nodes exchange peer messages and faults also affect the links between nodes.
    pub peers: bool,
    /// The strength of the faults: their durations, probabilities and slow-down factors grow with it. The default is 1.
    pub intensity: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            racks: 2,
            nodes: 2,
            requests: 60,
            faults: 8,
            peers: false,
            intensity: 1.0,
        }
    }
}

/// The interval, from the start of a run, within which requests are sent and faults begin.
const ARRIVAL_WINDOW: Micros = 2_000_000;
/// The time on the virtual clock when a run begins.
const START: Micros = 1_000_000;
/// The longest time that bytes need from one host to another. Notifications that the store sent within this time before
/// it crashes are lost with it.
const MAX_TRANSIT: Micros = 10_000;
/// The nodes' limit on tokens that are buffered for a slow client.
const STREAM_BUFFER: usize = 16;
/// The clients' flow-control window, in bytes: room for a few tokens, so that a slow client applies backpressure to its
/// node.
const CLIENT_WINDOW: u32 = 32;
/// The lease of an engine that registers itself, in seconds.
const LEASE_SECONDS: i64 = 1;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
