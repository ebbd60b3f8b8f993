//! The faults that a simulated cluster is put through.

use ivyward_fakes::ResponseFault;
use serde::{Deserialize, Serialize};

/// A fault. Engines and nodes are numbered from 0; durations are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An engine's process dies, with or without resetting its connections, and restarts cold.
    #[serde(rename = "die")]
    Crash {
        /// The engine.
        engine: usize,
        /// Its connections are reset, so that peers notice.
        #[serde(rename = "word")]
        reset_connections: bool,
    },
    /// It drains by its record, and is ready again.
    Drain {
        /// The engine.
        engine: usize,
    },
    /// Its record is deleted, and written again.
    #[serde(rename = "leave")]
    Deregister {
        /// The engine.
        engine: usize,
    },
    /// Its process hangs.
    Hang {
        /// The engine.
        engine: usize,
    },
    /// It works so many times as slowly.
    Slow {
        /// The engine.
        engine: usize,
        /// The factor.
        by: f64,
    },
    /// It resets, loses answers, turns away and refuses streams, each with this chance.
    #[serde(rename = "ill")]
    FailCalls {
        /// The engine.
        engine: usize,
        /// The probability of each.
        share: f64,
    },
    /// It answers in a wrong way, takes calls that it never answers, and loses the states that it keeps.
    #[serde(rename = "odd")]
    MalformedResponses {
        /// The engine.
        engine: usize,
        /// The probability of each.
        share: f64,
        /// Which of [`TWISTS`].
        #[serde(rename = "how")]
        response_fault: usize,
    },
    /// The way between an engine and a node is cut, in one direction.
    Cut {
        /// The engine.
        engine: usize,
        /// The node.
        node: usize,
        /// Cut from the engine to the node; otherwise the other way.
        #[serde(rename = "back")]
        engine_to_node: bool,
    },
    /// An engine that registered itself cannot reach the store, nor the store it: its lease may run out.
    #[serde(rename = "lone")]
    StoreCut {
        /// The engine.
        engine: usize,
    },
    /// A node is killed and comes back.
    NodeKill {
        /// The node.
        node: usize,
    },
    /// All bytes go in small pieces, and take longer.
    #[serde(rename = "pieces")]
    Fragmentation,
    /// Every link is narrow, and its buffers are small.
    #[serde(rename = "narrow")]
    LowBandwidth,
    /// The store dies and comes back.
    #[serde(rename = "store_dies")]
    StoreCrash,
    /// Watches tell nothing while changes pass, and history is dropped.
    StoreCompacts,
    /// What watches tell is late, for one node more than for the others.
    StoreLags,
    /// The way from one node to another's datagrams is cut, or to all of them and back.
    PeerCut {
        /// The sending node.
        from: usize,
        /// The receiving node; every node if it is the same.
        to: usize,
    },
    /// Datagrams are lost, repeated and overtake one another.
    #[serde(rename = "peers_rough")]
    PeerDatagramLoss {
        /// The share that is lost.
        lose: f64,
    },
}

/// Wrong answers that plans draw from.
pub(super) const TWISTS: [ResponseFault; 10] = [
    ResponseFault::WrongId,
    ResponseFault::Malformed,
    ResponseFault::Oversized,
    ResponseFault::OutOfOrder,
    ResponseFault::DuplicateToken,
    ResponseFault::TokensAfterEnd,
    ResponseFault::StreamReset,
    ResponseFault::StreamStalled,
    ResponseFault::StatusExhausted,
    ResponseFault::MissingFinalMessage,
];
