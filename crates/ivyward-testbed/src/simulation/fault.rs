//! The faults that are injected into a simulated cluster.

use ivyward_fakes::ResponseFault;
use serde::{Deserialize, Serialize};

/// A fault. Engines and nodes are numbered from 0; durations are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An engine's process crashes, with or without resetting its connections, and restarts with an empty cache.
    #[serde(rename = "die")]
    Crash {
        /// The engine.
        engine: usize,
        /// Whether the connections are reset, so that peers notice the crash.
        #[serde(rename = "word")]
        reset_connections: bool,
    },
    /// An engine's registration record changes to draining, and back to ready at the end.
    Drain {
        /// The engine.
        engine: usize,
    },
    /// An engine's registration record is deleted, and written again at the end.
    #[serde(rename = "leave")]
    Deregister {
        /// The engine.
        engine: usize,
    },
    /// An engine's process hangs.
    Hang {
        /// The engine.
        engine: usize,
    },
    /// An engine works more slowly by a factor.
    Slow {
        /// The engine.
        engine: usize,
        /// The factor by which each operation takes longer.
        by: f64,
    },
    /// An engine resets calls, loses answers, rejects calls as full and refuses streams, each with the same probability.
    #[serde(rename = "ill")]
    FailCalls {
        /// The engine.
        engine: usize,
        /// The probability of each of these failures.
        share: f64,
    },
    /// An engine sends malformed answers, accepts calls that it never answers (with a quarter of the probability), and, above
    /// a probability of 0.4, drops its KV state.
    #[serde(rename = "odd")]
    MalformedResponses {
        /// The engine.
        engine: usize,
        /// The probability.
        share: f64,
        /// The index of the malformed answer in [`RESPONSE_FAULTS`].
        #[serde(rename = "how")]
        response_fault: usize,
    },
    /// The link between an engine and a node is cut in one direction.
    Cut {
        /// The engine.
        engine: usize,
        /// The node.
        node: usize,
        /// Whether the direction from the engine to the node is cut; otherwise the direction from the node to the engine.
        #[serde(rename = "back")]
        engine_to_node: bool,
    },
    /// The link between the store and an engine that registered itself is cut in both directions. The engine's lease may
    /// expire.
    #[serde(rename = "lone")]
    StoreCut {
        /// The engine.
        engine: usize,
    },
    /// A node is killed, and started again at the end.
    NodeKill {
        /// The node.
        node: usize,
    },
    /// Streams are delivered in small pieces and with more jitter.
    #[serde(rename = "pieces")]
    Fragmentation,
    /// Every link has a low bandwidth and small buffers.
    #[serde(rename = "narrow")]
    LowBandwidth,
    /// The store crashes, and restarts at the end.
    #[serde(rename = "store_dies")]
    StoreCrash,
    /// The store's watches deliver no events, and the history is compacted at the end, so the watches miss changes.
    StoreCompacts,
    /// The store's watch events are delayed, for the first node longer than for the second.
    StoreLags,
    /// The datagrams from one node to another are cut, or between one node and all others in both directions.
    PeerCut {
        /// The sending node.
        from: usize,
        /// The receiving node. If it equals `from`, the node is cut off from every other node.
        to: usize,
    },
    /// Datagrams between nodes are lost, half as many are repeated, and they may overtake one another.
    #[serde(rename = "peers_rough")]
    PeerDatagramLoss {
        /// The probability that a datagram is lost.
        lose: f64,
    },
}

/// The malformed answers that plans choose from.
pub(super) const RESPONSE_FAULTS: [ResponseFault; 10] = [
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
