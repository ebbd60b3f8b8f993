//! What a run says to its hollow processes, a line of JSON each, and what they answer.

use crate::scale::usage::Counters;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a hollow process is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    /// A store that speaks etcd's API.
    Store,
    /// Engines that register themselves.
    Engines {
        /// The first one's id.
        first: u64,
        /// How many.
        count: u64,
        /// Where they register.
        store: SocketAddr,
    },
    /// Nodes that follow the store and know each other.
    Nodes {
        /// The first one's number, of which its name is made.
        first: u64,
        /// How many.
        count: u64,
        /// The store.
        store: SocketAddr,
        /// Tenants that each is told of.
        tenants: u64,
        /// Request classes that each is told of.
        classes: u64,
    },
}

/// What a hollow process is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StubCommand {
    /// What have you counted?
    #[serde(rename = "Count")]
    ReadCounters,
    /// Nodes: open so many connections to engines each.
    Connect(u64),
    /// Nodes: how many engines does each know?
    #[serde(rename = "Known")]
    KnownEngines,
    /// Nodes, up to which revision does each know the list? The store, at which is it?
    #[serde(rename = "Revision")]
    ListRevision,
    /// The store: write engines' records anew, so many of them.
    #[serde(rename = "Change")]
    ChangeRecords(u64),
    /// The store: die and come back with all that was held.
    Restart,
}

/// What it answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// It runs. A store says where.
    Ready(Option<SocketAddr>),
    /// It is done.
    Done,
    /// What it counted.
    Counted(Counters),
    /// Of each node, connections that were opened or engines that are known.
    #[serde(rename = "Each")]
    PerNode(Vec<u64>),
    /// It could not do that.
    Failed(String),
}
