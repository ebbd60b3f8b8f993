//! The fault plan of a soak run, drawn from a seed in waves of overlapping faults.

use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

/// The time without faults before the first wave, and at the end of the run, in milliseconds.
const FAULT_FREE_MS: u64 = 1_500;
/// The range of the time between the starts of two waves, in milliseconds.
const WAVE_INTERVAL_MS: (u64, u64) = (1_200, 2_800);
/// The interval within which the faults of a wave begin, in milliseconds.
const WAVE_SPREAD_MS: u64 = 500;
/// The range of a fault's duration, in milliseconds.
const DURATION_MS: (u64, u64) = (300, 2_500);
/// The shortest duration of an engine's drain, in milliseconds.
const MIN_DRAIN_MS: u64 = 2_500;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A node is paused for some milliseconds, several times (SIGSTOP, SIGCONT).
    #[serde(rename = "node_held_up")]
    NodePaused,
    /// A node is terminated (SIGTERM) and started again when it has ended.
    NodeRestart,
    /// A node is killed (SIGKILL) and started again.
    NodeKilled,
    /// A node reloads its configuration twice (SIGHUP), each time with another discovery address.
    NodeReload,
    /// An engine's process ends and restarts with an empty cache.
    EngineCrash,
    /// An engine accepts requests and never answers.
    EngineHang,
    /// An engine drains.
    EngineDrain,
    /// An engine rejects requests.
    #[serde(rename = "engine_turns_away")]
    EngineRejects,
    /// An engine takes five times as long for its work.
    EngineSlow,
    /// An engine breaks off some of its streams.
    #[serde(rename = "streams_break")]
    StreamsReset,
    /// No bytes pass between the nodes and an engine; connections stay open.
    LinkCut,
    /// The connections to an engine are reset.
    LinkReset,
    /// All open connections to the engines of one role fall silent; new ones work.
    OpenConnectionsSilent,
    /// What arrives at the engines of one role within a moment of each second is lost, and its connections stay silent.
    BytesLost,
    /// A third of the new connections to the engines of one role open and are silent.
    NewConnectionsSilent,
    /// Four in five engines of one role accept connections and bytes, and do not read them.
    RoleHangs,
    /// Discovery accepts requests and does not answer.
    #[serde(rename = "discovery_silent")]
    DiscoveryUnresponsive,
    /// The connections of all discovery watches are reset.
    WatchReset,
    /// Socket calls of a node are interrupted.
    Interrupted,
    /// A node's reads and writes transfer fewer bytes than asked for.
    ShortCalls,
    /// A node's accept calls fail.
    AcceptFails,
    /// A node's connections fail with ETIMEDOUT and EHOSTUNREACH.
    ConnectionsBreak,
    /// The wall clock of a node is an hour ahead.
    ClockAhead,
    /// The wall clock of a node is an hour behind.
    ClockBehind,
    /// Clients send three times as many requests.
    Burst,
    /// Many clients disconnect before their answer.
    #[serde(rename = "clients_leave")]
    ClientsDisconnect,
    /// Clients send half a request and leave the connection open.
    HalfRequests,
    /// Hundreds of clients connect to a node and send nothing.
    Crowd,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [FaultKind; 28] = [
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
        FaultKind::OpenConnectionsSilent,
        FaultKind::BytesLost,
        FaultKind::NewConnectionsSilent,
        FaultKind::RoleHangs,
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
        FaultKind::Crowd,
    ];
}

/// A fault with its time and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// When the fault begins, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The fault's duration, in milliseconds.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// The kind of fault.
    pub kind: FaultKind,
    /// The node, engine or role, as a number modulo the number of nodes, engines or roles.
    #[serde(rename = "which")]
    pub target: usize,
}

/// The fault plan of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that the plan was drawn from. It also seeds the run's other random choices.
    pub seed: u64,
    /// The faults in the order of their start times.
    #[serde(rename = "troubles")]
    pub faults: Vec<ScheduledFault>,
}

impl Plan {
    /// Draws a plan for a run of the given duration in seconds.
    pub fn draw(seed: u64, seconds: u64) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let end = (seconds * 1_000).saturating_sub(FAULT_FREE_MS);
        let (mut faults, mut wave) = (Vec::new(), FAULT_FREE_MS);
        while wave < end {
            for _ in 0..random.random_range(2..=3) {
                let kind = FaultKind::ALL[random.random_range(0..FaultKind::ALL.len())];
                let drawn_ms = random.random_range(DURATION_MS.0..=DURATION_MS.1);
                let duration_ms = if kind == FaultKind::EngineDrain {
                    drawn_ms.max(MIN_DRAIN_MS)
                } else {
                    drawn_ms
                };
                let at_ms = wave + random.random_range(0..=WAVE_SPREAD_MS);
                faults.push(ScheduledFault {
                    at_ms,
                    duration_ms,
                    kind,
                    target: random.next_u32() as usize,
                });
            }
            wave += random.random_range(WAVE_INTERVAL_MS.0..=WAVE_INTERVAL_MS.1);
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Plan { seed, faults }
    }

    /// Returns the pairs of kinds whose faults overlap in time, each with the smaller kind first.
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
