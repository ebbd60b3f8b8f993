//! Fault plans, drawn from a seed.

use super::fault::{Fault, TWISTS};
use super::{Size, SPAN};
use ivyward::core::interface::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Microseconds from the start of the run.
    pub at: Micros,
    /// Its duration.
    pub len: Micros,
    /// The fault.
    pub fault: Fault,
}

/// The longest cut, the longest time without the store, and the longest of any other fault, at roughness 1; and at any.
pub(super) const LONGEST_CUT: (Micros, Micros) = (100_000, 2_000_000);
pub(super) const LONGEST_LONE: (Micros, Micros) = (2_500_000, 5_000_000);
pub(super) const LONGEST: (Micros, Micros) = (900_000, 4_000_000);

/// A plan of faults, drawn from a seed.
pub fn plan(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let engines = usize::from(size.racks) * 4;
    let mut plan = Vec::new();
    let mut last = 0;
    for _ in 0..size.faults {
        let engine = random.random_range(0..engines);
        let node = random.random_range(0..size.nodes);
        let rough = size.intensity.max(0.1);
        let fault = match random.random_range(0..if size.peers { 26 } else { 20 }) {
            0 | 1 => Fault::Crash {
                engine,
                reset_connections: random.random_bool(0.6),
            },
            2 | 3 => Fault::Drain { engine },
            4 => Fault::Deregister { engine },
            5 => Fault::Hang { engine },
            6 => Fault::Slow {
                engine,
                by: random.random_range(2.0..2.0 + 18.0 * rough),
            },
            7 | 8 => Fault::FailCalls {
                engine,
                share: random.random_range(0.05..(0.5 * rough).min(0.95)),
            },
            9 | 10 => Fault::Cut {
                engine,
                node,
                engine_to_node: random.random(),
            },
            11 => Fault::NodeKill { node },
            12 => Fault::Fragmentation,
            13 => Fault::LowBandwidth,
            14 => Fault::StoreCrash,
            15 => Fault::StoreCompacts,
            16 => Fault::StoreLags,
            17 | 18 => {
                let response_fault = random.random_range(0..TWISTS.len());
                Fault::MalformedResponses {
                    engine,
                    share: random.random_range(0.05..(0.5 * rough).min(0.95)),
                    response_fault,
                }
            }
            20 | 21 => Fault::NodeKill { node },
            22 | 23 => Fault::PeerCut {
                from: node,
                to: random.random_range(0..size.nodes),
            },
            24 | 25 => Fault::PeerDatagramLoss {
                lose: random.random_range(0.0..(0.3 * rough).min(0.9)),
            },
            // Those with even numbers register themselves.
            _ => Fault::StoreCut {
                engine: engine & !1,
            },
        };
        // A third of them begin in the same instant as the one before.
        let at = if random.random_bool(0.33) {
            last
        } else {
            random.random_range(100_000..SPAN)
        };
        last = at;
        let (longest, ever) = match fault {
            Fault::Cut { .. } => LONGEST_CUT,
            Fault::StoreCut { .. } | Fault::PeerCut { .. } => LONGEST_LONE,
            _ => LONGEST,
        };
        let most = ((longest as f64 * rough) as Micros).clamp(30_000, ever);
        plan.push(ScheduledFault {
            at,
            len: random.random_range(20_000..most),
            fault,
        });
    }
    plan.sort_by_key(|t| t.at);
    plan
}
