//! The size of a scale run and its upper limits.

use crate::scale::ScaleError;
use serde::{Deserialize, Serialize};

/// Maximum number of processes of a run, including the run itself.
pub const MAX_PROCESSES: u64 = 300;
/// Maximum number of open file descriptors of one process.
pub const MAX_DESCRIPTORS: u64 = 20_000;
/// Maximum memory of all processes together, in MiB: half of the machine's memory.
pub const MAX_MEMORY_MIB: u64 = 12_000;
/// Maximum duration of a part of a run, in seconds.
pub const MAX_SECONDS: u64 = 300;
/// Number of processes that the stub nodes share, and also the number that the stub engines share.
pub const STUB_PROCESSES: u64 = 2;
/// File descriptors that a process has in addition to its connections.
const OWN_DESCRIPTORS: u64 = 64;
/// Memory of a connection (both ends together) and of a process. Rough measurements, used only to estimate a run's memory
/// before it starts.
const CONNECTION_KIB: u64 = 128;
const PROCESS_KIB: u64 = 40 << 10;

/// The size of a scale run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Stub nodes, including the measured one.
    pub nodes: u64,
    /// Stub engines.
    pub engines: u64,
    /// Daemons that serve requests.
    pub real_nodes: u64,
    /// Connections to engines that the measured stub node opens and keeps open.
    pub connections: u64,
    /// Tenants in the nodes' settings.
    pub tenants: u64,
    /// Request classes in the nodes' settings.
    pub classes: u64,
    /// Sessions over which the requests at each daemon are spread.
    pub sessions: u64,
    /// Requests per second at each daemon; 0 for none.
    pub rate: f64,
    /// Changes of engine records per hour.
    pub changes: u64,
    /// Duration of the measurement of each part, in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Size {
    fn default() -> Size {
        Size {
            nodes: 4,
            engines: 100,
            real_nodes: 0,
            connections: 50,
            tenants: 10,
            classes: 4,
            sessions: 200,
            rate: 0.0,
            changes: 0,
            seconds: 5,
            seed: 1,
        }
    }
}

impl Size {
    /// Checks that all values are valid and that the run stays within its limits.
    ///
    /// # Errors
    /// Names the flag of the first invalid value, or the first limit that the run would exceed.
    pub fn check(&self) -> Result<(), ScaleError> {
        let at_least_one = [
            ("nodes", self.nodes),
            ("engines", self.engines),
            ("classes", self.classes),
            ("sessions", self.sessions),
            ("seconds", self.seconds),
        ];
        if let Some((flag, value)) = at_least_one.into_iter().find(|(_, value)| *value == 0) {
            return Err(ScaleError::Flag {
                flag,
                value,
                reason: "must be at least 1",
            });
        }
        if self.connections > self.engines {
            let reason = "must not be greater than the number of engines";
            return Err(ScaleError::Flag {
                flag: "connections",
                value: self.connections,
                reason,
            });
        }
        if !(0.0..=1_000.0).contains(&self.rate) {
            let reason = "must be from 0 to 1000 requests per second";
            return Err(ScaleError::Flag {
                flag: "rate",
                value: self.rate.max(0.0) as u64,
                reason,
            });
        }
        let bounds = [
            ("processes", self.processes(), MAX_PROCESSES),
            (
                "descriptors of a process",
                self.descriptors(),
                MAX_DESCRIPTORS,
            ),
            ("MiB of memory", self.memory_mib(), MAX_MEMORY_MIB),
            ("seconds of a part", self.seconds, MAX_SECONDS),
        ];
        match bounds.into_iter().find(|(_, wanted, max)| wanted > max) {
            Some((bound, wanted, max)) => Err(ScaleError::Bound { bound, wanted, max }),
            None => Ok(()),
        }
    }

    /// Processes of the run: the run itself, the store, the measured node, the stub nodes and engines, and the daemons.
    fn processes(&self) -> u64 {
        3 + 2 * STUB_PROCESSES + self.real_nodes
    }

    /// Connections between nodes and engines once each daemon is connected to all engines.
    fn total_connections(&self) -> u64 {
        (self.real_nodes * self.engines).saturating_add(self.connections)
    }

    /// File descriptors of the process that has the most.
    fn descriptors(&self) -> u64 {
        let engines = self.engines / STUB_PROCESSES + 1;
        let engine_process = engines * 2 + self.total_connections() / STUB_PROCESSES;
        let store = self.engines + 4 * (self.nodes + self.real_nodes + 1);
        engine_process.max(store).max(self.engines) + OWN_DESCRIPTORS
    }

    fn memory_mib(&self) -> u64 {
        let connections =
            self.total_connections() + self.engines + 4 * (self.nodes + self.real_nodes);
        (connections * CONNECTION_KIB + self.processes() * PROCESS_KIB) >> 10
    }
}

#[cfg(test)]
mod tests;
