//! How large a run is, and the bounds that it is held to.

use crate::scale::ScaleError;
use serde::{Deserialize, Serialize};

/// Most processes of a run, itself among them.
pub const MAX_PROCESSES: u64 = 300;
/// Most descriptors of one process.
pub const MAX_DESCRIPTORS: u64 = 20_000;
/// Most memory of all processes together, in MiB: half of the machine's.
pub const MAX_MEMORY_MIB: u64 = 12_000;
/// Longest part of a run, in seconds.
pub const MAX_SECONDS: u64 = 300;
/// Hollow nodes and engines share processes, so many of each kind.
pub const STUB_PROCESSES: u64 = 2;
/// Descriptors that a process has beside its connections.
const OWN_DESCRIPTORS: u64 = 64;
/// Memory of a connection with both of its ends, and of a process, as measured roughly; for the check before a run alone.
const CONNECTION_KIB: u64 = 128;
const PROCESS_KIB: u64 = 40 << 10;

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Hollow nodes.
    pub nodes: u64,
    /// Hollow engines.
    pub engines: u64,
    /// Daemons that take requests.
    pub real_nodes: u64,
    /// Connections to engines that the measured hollow node opens and keeps.
    pub connections: u64,
    /// Tenants that nodes are told of.
    pub tenants: u64,
    /// Request classes that nodes are told of.
    pub classes: u64,
    /// Sessions that requests belong to, at each real node.
    pub sessions: u64,
    /// Requests a second at each real node.
    pub rate: f64,
    /// Changes of engines' records an hour.
    pub changes: u64,
    /// Seconds that each part is measured.
    pub seconds: u64,
    /// Feeds all choices.
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
    /// Looks for what cannot be, or would be larger than a run may be.
    ///
    /// # Errors
    /// The first one found, by the name of its flag or bound.
    pub fn check(&self) -> Result<(), ScaleError> {
        let least = [
            ("nodes", self.nodes),
            ("engines", self.engines),
            ("classes", self.classes),
            ("sessions", self.sessions),
            ("seconds", self.seconds),
        ];
        if let Some((flag, value)) = least.into_iter().find(|(_, value)| *value == 0) {
            return Err(ScaleError::Flag {
                flag,
                value,
                reason: "at least one is needed",
            });
        }
        if self.connections > self.engines {
            let reason = "there are not so many engines";
            return Err(ScaleError::Flag {
                flag: "connections",
                value: self.connections,
                reason,
            });
        }
        if !(0.0..=1_000.0).contains(&self.rate) {
            let reason = "from 0 to 1000 requests a second are possible";
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
        match bounds.into_iter().find(|(_, wanted, most)| wanted > most) {
            Some((bound, wanted, most)) => Err(ScaleError::Bound {
                bound,
                wanted,
                most,
            }),
            None => Ok(()),
        }
    }

    /// This one, the store, the measured node, hollow nodes and engines, and the daemons.
    fn processes(&self) -> u64 {
        3 + 2 * STUB_PROCESSES + self.real_nodes
    }

    /// Connections between nodes and engines, once real nodes have found all of them.
    fn connections_in_all(&self) -> u64 {
        (self.real_nodes * self.engines).saturating_add(self.connections)
    }

    /// Of the process that has most.
    fn descriptors(&self) -> u64 {
        let engines = self.engines / STUB_PROCESSES + 1;
        let engine_process = engines * 2 + self.connections_in_all() / STUB_PROCESSES;
        let store = self.engines + 4 * (self.nodes + self.real_nodes + 1);
        engine_process.max(store).max(self.engines) + OWN_DESCRIPTORS
    }

    fn memory_mib(&self) -> u64 {
        let connections =
            self.connections_in_all() + self.engines + 4 * (self.nodes + self.real_nodes);
        (connections * CONNECTION_KIB + self.processes() * PROCESS_KIB) >> 10
    }
}

#[cfg(test)]
mod tests;
