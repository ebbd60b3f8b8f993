//! The size that is asked about, and the budgets that it is held against.

use crate::capacity::CapacityError;
use serde::{Deserialize, Serialize};

/// A size of a deployment. Without flags, the one that the operators plan for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::Args)]
pub struct Target {
    /// Nodes.
    #[arg(long, default_value_t = 350.0)]
    pub nodes: f64,
    /// Engines, each of which every node has a connection to.
    #[arg(long, default_value_t = 1_100.0)]
    pub engines: f64,
    /// Tenants.
    #[arg(long, default_value_t = 5_500.0)]
    pub tenants: f64,
    /// Request classes.
    #[arg(long, default_value_t = 7.0)]
    pub classes: f64,
    /// Requests a second, over all nodes.
    #[arg(long, default_value_t = 3_600.0)]
    pub rate: f64,
    /// Sessions at a node.
    #[arg(long, default_value_t = 600.0)]
    pub sessions: f64,
    /// Changes of configuration a day.
    #[arg(long, default_value_t = 620.0)]
    pub changes: f64,
    /// Engines that fail, are restarted or replaced a day.
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
    /// Looks for what cannot be.
    ///
    /// # Errors
    /// The first one found.
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
            .find(|(_, value, least)| !(*least..=1e9).contains(value))
        {
            Some((flag, value, _)) => {
                let reason = "must be a number that a deployment can have";
                Err(CapacityError::Size {
                    flag,
                    value,
                    reason,
                })
            }
            None => Ok(()),
        }
    }

    /// Requests a second at a node.
    pub fn rate_per_node(&self) -> f64 {
        self.rate / self.nodes
    }
    /// Requests a second at an engine.
    pub fn rate_per_engine(&self) -> f64 {
        self.rate / self.engines
    }
    /// Changes of the list an hour: of configuration, and of engines that go and come.
    pub fn changes_per_hour(&self) -> f64 {
        (self.changes + 2.0 * self.replaced) / 24.0
    }
    /// Seconds between two requests from one node to one engine, if all are used alike.
    pub fn request_interval_per_pair(&self) -> f64 {
        self.nodes * self.engines / self.rate
    }
}

/// What a node may use for control, and how soon things are to come about.
pub mod budget {
    /// Percent of a core.
    pub const CORE_PERCENT: f64 = 3.1;
    /// Mebibytes of memory.
    pub const MEMORY_MIB: f64 = 256.0;
    /// Kilobytes a second, both ways together.
    pub const KILOBYTES_PER_SECOND: f64 = 16.0;
    /// Seconds until a change of configuration is in force everywhere.
    pub const CHANGE_SECONDS: f64 = 15.0;
    /// Milliseconds to the first token, for 95 in 100.
    pub const FIRST_TOKEN_MS: f64 = 610.0;
    /// Machines set aside for control.
    pub const CONTROL_MACHINES: f64 = 19.0;
}
