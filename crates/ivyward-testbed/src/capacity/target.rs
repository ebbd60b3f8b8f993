//! The size of the planned deployment, and the budgets that its resource use is compared with.

use crate::capacity::CapacityError;
use serde::{Deserialize, Serialize};

/// The size of a deployment. The defaults are the size that the operators plan for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::Args)]
pub struct Target {
    /// Number of nodes.
    #[arg(long, default_value_t = 350.0)]
    pub nodes: f64,
    /// Number of engines. Every node has a connection to each engine.
    #[arg(long, default_value_t = 1_100.0)]
    pub engines: f64,
    /// Number of tenants.
    #[arg(long, default_value_t = 5_500.0)]
    pub tenants: f64,
    /// Number of request classes.
    #[arg(long, default_value_t = 7.0)]
    pub classes: f64,
    /// Requests per second, over all nodes.
    #[arg(long, default_value_t = 3_600.0)]
    pub rate: f64,
    /// Number of sessions at each node.
    #[arg(long, default_value_t = 600.0)]
    pub sessions: f64,
    /// Configuration changes per day.
    #[arg(long, default_value_t = 620.0)]
    pub changes: f64,
    /// Engines that fail, are restarted or are replaced per day.
    #[arg(long, default_value_t = 92.0)]
    pub replaced: f64,
}

impl Default for Target {
    fn default() -> Target {
        Target {
            nodes: 350.0,
            engines: 1_100.0,
            tenants: 5_500.0,
            classes: 7.0,
            rate: 3_600.0,
            sessions: 600.0,
            changes: 620.0,
            replaced: 92.0,
        }
    }
}

impl Target {
    /// Checks that all values are valid.
    ///
    /// # Errors
    /// Names the flag of the first invalid value.
    pub fn check(&self) -> Result<(), CapacityError> {
        let sizes = [
            ("nodes", self.nodes, 1.0),
            ("engines", self.engines, 1.0),
            ("tenants", self.tenants, 0.0),
            ("classes", self.classes, 1.0),
            ("rate", self.rate, 0.0),
            ("sessions", self.sessions, 1.0),
            ("changes", self.changes, 0.0),
            ("replaced", self.replaced, 0.0),
        ];
        match sizes
            .into_iter()
            .find(|(_, value, min)| !(*min..=1e9).contains(value))
        {
            Some((flag, value, _)) => {
                let reason =
                    "must be from 1 to 1e9; 0 is allowed for tenants, rate, changes and replaced";
                Err(CapacityError::Size {
                    flag,
                    value,
                    reason,
                })
            }
            None => Ok(()),
        }
    }

    /// Requests per second at each node.
    pub fn rate_per_node(&self) -> f64 {
        self.rate / self.nodes
    }
    /// Requests per second at each engine.
    pub fn rate_per_engine(&self) -> f64 {
        self.rate / self.engines
    }
    /// Changes of the engine list per hour: configuration changes, and two for each replaced engine (its removal and its
    /// return).
    pub fn changes_per_hour(&self) -> f64 {
        (self.changes + 2.0 * self.replaced) / 24.0
    }
    /// Mean time between two requests from one node to one engine, in seconds, if the load is spread evenly.
    pub fn request_interval_per_pair(&self) -> f64 {
        self.nodes * self.engines / self.rate
    }
}

/// Budgets: how much a node may use for control traffic, and how long operations may take.
pub mod budget {
    /// Processor time of a node, in percent of a core.
    pub const CORE_PERCENT: f64 = 3.1;
    /// Memory of a node, in MiB.
    pub const MEMORY_MIB: f64 = 256.0;
    /// Control traffic of a node, in kB per second, both directions together.
    pub const KILOBYTES_PER_SECOND: f64 = 16.0;
    /// Time until a configuration change is in force on all nodes, in seconds.
    pub const CHANGE_SECONDS: f64 = 15.0;
    /// 95th percentile of the time to the first token, in milliseconds.
    pub const FIRST_TOKEN_MS: f64 = 610.0;
    /// Number of machines reserved for control.
    pub const CONTROL_MACHINES: f64 = 19.0;
}
