//! Messages between a scale run and its stub processes: one line of JSON each, commands on standard input and replies on
//! standard output.

use crate::scale::usage::Counters;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a stub process runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    /// A store that speaks etcd's API.
    Store,
    /// Engines that register themselves in the store.
    Engines {
        /// Id of the first engine; the others have the ids that follow.
        first: u64,
        /// Number of engines.
        count: u64,
        /// Address of the store where the engines register.
        store: SocketAddr,
    },
    /// Nodes that watch the store and exchange state with each other as peers.
    Nodes {
        /// Number of the first node; a node's name is made from its number.
        first: u64,
        /// Number of nodes.
        count: u64,
        /// Address of the store that the nodes watch.
        store: SocketAddr,
        /// Number of tenants in each node's settings.
        tenants: u64,
        /// Number of request classes in each node's settings.
        classes: u64,
    },
}

/// A command to a stub process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StubCommand {
    /// Asks for the traffic and time counters of the process.
    #[serde(rename = "Count")]
    ReadCounters,
    /// To nodes: each node opens this many connections to engines.
    Connect(u64),
    /// To nodes: asks how many engines each node knows.
    #[serde(rename = "Known")]
    KnownEngines,
    /// Asks for revisions of the engine list: nodes answer the revision that each has applied, the store its current one.
    #[serde(rename = "Revision")]
    ListRevision,
    /// To the store: changes this many engine records.
    #[serde(rename = "Change")]
    ChangeRecords(u64),
    /// To the store: crashes and restarts with its data intact.
    Restart,
}

/// A reply of a stub process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The process has started; a store gives the address where it listens.
    Ready(Option<SocketAddr>),
    /// The command was carried out.
    Done,
    /// The counters of the process.
    Counted(Counters),
    /// One value for each node: connections opened, engines known, or the list revision. A store gives one value, its
    /// revision.
    #[serde(rename = "Each")]
    PerNode(Vec<u64>),
    /// The command failed, with the reason.
    Failed(String),
}
