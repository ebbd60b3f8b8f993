//! Fault plans, drawn from a seed.

use super::fault::{Fault, RESPONSE_FAULTS};
use super::{Size, ARRIVAL_WINDOW};
use ivyward::core::interface::Micros;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// A fault with the time at which it begins and its duration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Microseconds from the start of the run.
    pub at: Micros,
    /// The fault's duration, in microseconds.
    pub len: Micros,
    /// The fault.
    pub fault: Fault,
}

/// The longest duration of a cut link, of a cut from the store or from peers, and of any other fault: first at intensity
/// 1, which it is scaled by, then at any intensity.
pub(super) const MAX_CUT: (Micros, Micros) = (100_000, 2_000_000);
pub(super) const MAX_STORE_OR_PEER_CUT: (Micros, Micros) = (2_500_000, 5_000_000);
pub(super) const MAX_DURATION: (Micros, Micros) = (900_000, 4_000_000);

/// Draws a plan of faults from a seed.
pub fn plan(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let engines = usize::from(size.racks) * 4;
    let mut plan = Vec::new();
    let mut last = 0;
    for _ in 0..size.faults {
        let engine = random.random_range(0..engines);
        let node = random.random_range(0..size.nodes);
        let intensity = size.intensity.max(0.1);
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
                by: random.random_range(2.0..2.0 + 18.0 * intensity),
            },
            7 | 8 => Fault::FailCalls {
                engine,
                share: random.random_range(0.05..(0.5 * intensity).min(0.95)),
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
                let response_fault = random.random_range(0..RESPONSE_FAULTS.len());
                Fault::MalformedResponses {
                    engine,
                    share: random.random_range(0.05..(0.5 * intensity).min(0.95)),
                    response_fault,
                }
            }
            20 | 21 => Fault::NodeKill { node },
            22 | 23 => Fault::PeerCut {
                from: node,
                to: random.random_range(0..size.nodes),
            },
            24 | 25 => Fault::PeerDatagramLoss {
                lose: random.random_range(0.0..(0.3 * intensity).min(0.9)),
            },
            // Only engines with even numbers register themselves.
            _ => Fault::StoreCut {
                engine: engine & !1,
            },
        };
        // A third of the faults begin at the same time as the fault drawn before.
        let at = if random.random_bool(0.33) {
            last
        } else {
            random.random_range(100_000..ARRIVAL_WINDOW)
        };
        last = at;
        let (at_intensity_1, limit) = match fault {
            Fault::Cut { .. } => MAX_CUT,
            Fault::StoreCut { .. } | Fault::PeerCut { .. } => MAX_STORE_OR_PEER_CUT,
            _ => MAX_DURATION,
        };
        let max_duration = ((at_intensity_1 as f64 * intensity) as Micros).clamp(30_000, limit);
        plan.push(ScheduledFault {
            at,
            len: random.random_range(20_000..max_duration),
            fault,
        });
    }
    plan.sort_by_key(|t| t.at);
    plan
}
