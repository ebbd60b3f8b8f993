//! Whole clusters in the virtual world: nodes, engines, a store and clients, played from one seed under a plan of faults,
//! with the rules checked on what crosses the virtual sockets.
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

/// The size of a scene.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Racks of one reader, one mixed engine and two writers.
    pub racks: u16,
    /// Nodes.
    pub nodes: usize,
    /// First tries.
    pub requests: usize,
    /// Faults.
    pub faults: usize,
    /// Nodes know each other, and faults are between them as well.
    pub peers: bool,
    /// How rough they are: spans, shares and slowness grow with it. 1 as a scene is by itself.
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

/// Requests come within this span, and faults begin in it.
const SPAN: Micros = 2_000_000;
/// What the virtual clock shows when a scene begins.
const BEGIN: Micros = 1_000_000;
/// Bytes need so long for a way at most; the store's notices of that span die with it.
const LAST_MOMENT: Micros = 10_000;
/// Tokens that wait for a slow client.
const STREAM_BUFFER: usize = 16;
/// Bytes of an answer that may be under way to a client: a few tokens, so that a slow one holds its node up.
const CLIENT_WINDOW: u32 = 32;
/// Leases of engines that register themselves, in seconds.
const LEASE: i64 = 1;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
