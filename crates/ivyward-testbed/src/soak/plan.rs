//! What goes wrong in a soak run, and when: drawn from a seed, in waves whose troubles overlap.

use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// Milliseconds before the first wave, and after the last one.
const QUIET_MS: u64 = 1_500;
/// Waves begin so many milliseconds apart.
const WAVE_MS: (u64, u64) = (1_200, 2_800);
/// The troubles of a wave begin within so many milliseconds of each other.
const SPREAD_MS: u64 = 500;
/// How long a trouble lasts, in milliseconds.
const LASTS_MS: (u64, u64) = (300, 2_500);
/// An engine that drains, or one that restarts, is back after so long at least.
const DRAIN_MS: u64 = 2_500;

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A node stands still for some milliseconds, several times (SIGSTOP, SIGCONT).
    #[serde(rename = "node_held_up")]
    NodePaused,
    /// A node is told to end (SIGTERM) and is started again when it has.
    NodeRestart,
    /// A node is killed (SIGKILL) and started again.
    NodeKilled,
    /// A node reads its configuration again, twice in a row (SIGHUP); discovery moves.
    NodeReload,
    /// An engine's process ends and comes back cold.
    EngineCrash,
    /// An engine takes requests and does nothing.
    EngineHang,
    /// An engine drains.
    EngineDrain,
    /// An engine turns requests away.
    #[serde(rename = "engine_turns_away")]
    EngineRejects,
    /// An engine takes five times as long.
    EngineSlow,
    /// An engine's streams break.
    #[serde(rename = "streams_break")]
    StreamsReset,
    /// Nothing passes between the nodes and an engine; connections stay open.
    LinkCut,
    /// The connections to an engine are reset.
    LinkReset,
    /// Discovery does not answer.
    #[serde(rename = "discovery_silent")]
    DiscoveryUnresponsive,
    /// All watches are reset.
    WatchReset,
    /// Socket calls of a node are interrupted.
    Interrupted,
    /// Reads and writes of a node are short.
    ShortCalls,
    /// Accepts of a node fail.
    AcceptFails,
    /// Connections of a node break with ETIMEDOUT and EHOSTUNREACH.
    ConnectionsBreak,
    /// The wall clock of a node is an hour ahead.
    ClockAhead,
    /// The wall clock of a node is an hour behind.
    ClockBehind,
    /// Three times as many requests come.
    Burst,
    /// Many clients leave early.
    #[serde(rename = "clients_leave")]
    ClientsDisconnect,
    /// Clients send half a request and stay.
    HalfRequests,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 23] = [
        FaultKind::NodePaused,
        FaultKind::NodeRestart,
        FaultKind::NodeKilled,
        FaultKind::NodeReload,
        FaultKind::EngineCrash,
        FaultKind::EngineHang,
        FaultKind::EngineDrain,
        FaultKind::EngineRejects,
        FaultKind::EngineSlow,
        FaultKind::StreamsReset,
        FaultKind::LinkCut,
        FaultKind::LinkReset,
        FaultKind::DiscoveryUnresponsive,
        FaultKind::WatchReset,
        FaultKind::Interrupted,
        FaultKind::ShortCalls,
        FaultKind::AcceptFails,
        FaultKind::ConnectionsBreak,
        FaultKind::ClockAhead,
        FaultKind::ClockBehind,
        FaultKind::Burst,
        FaultKind::ClientsDisconnect,
        FaultKind::HalfRequests,
    ];
}

/// One trouble of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When it begins, in milliseconds of the run.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// What.
    pub kind: FaultKind,
    /// Which node or engine, as a number that is taken modulo how many there are.
    #[serde(rename = "which")]
    pub target: usize,
}

/// A run's troubles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// What it was drawn from; it also feeds the run's other choices.
    pub seed: u64,
    /// By time.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// Draws a plan for a run of so many seconds.
    pub fn draw(seed: u64, seconds: u64) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let end = (seconds * 1_000).saturating_sub(QUIET_MS);
        let (mut troubles, mut wave) = (Vec::new(), QUIET_MS);
        while wave < end {
            for _ in 0..random.random_range(2..=3) {
                let kind = FaultKind::ALL[random.random_range(0..FaultKind::ALL.len())];
                let lasts = random.random_range(LASTS_MS.0..=LASTS_MS.1);
                let for_ms = if kind == FaultKind::EngineDrain {
                    lasts.max(DRAIN_MS)
                } else {
                    lasts
                };
                let at_ms = wave + random.random_range(0..=SPREAD_MS);
                troubles.push(ScheduledFault {
                    at_ms,
                    duration_ms: for_ms,
                    kind,
                    target: random.next_u32() as usize,
                });
            }
            wave += random.random_range(WAVE_MS.0..=WAVE_MS.1);
        }
        troubles.sort_by_key(|trouble| trouble.at_ms);
        Plan {
            seed,
            faults: troubles,
        }
    }

    /// Kinds that overlapped in time, the lower one first.
    pub fn overlapping_kinds(&self) -> Vec<(FaultKind, FaultKind)> {
        let mut pairs = Vec::new();
        for (i, a) in self.faults.iter().enumerate() {
            for b in &self.faults[i + 1..] {
                if b.at_ms < a.at_ms + a.duration_ms {
                    pairs.push((a.kind.min(b.kind), a.kind.max(b.kind)));
                }
            }
        }
        pairs
    }
}
