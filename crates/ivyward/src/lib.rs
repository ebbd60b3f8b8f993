//! A router node for language-model serving, as a library.
//!
//! The way of a request: [`Node::generate`] or the gRPC door -> the driver, the one task that owns the module
//! (`ivyward_core::router::Router`) -> an attempt task -> a connection to an engine -> tokens back through a bounded
//! buffer. Two nodes in one process share nothing.
//!
//! - [`settings`]: what a node is told, and the checks on it.
//! - [`Node`], [`ResponseStream`]: the handles of owner and client.
//! - [`response`]: the final answers, and the bounded buffer to a client.
//! - [`request`]: the way of a request; the door, the driver, the attempts.
//! - [`engines`]: the seam between the driver and the protocols that engines speak, and the links of one of them.
//! - [`membership`]: which engines there are.
//! - [`peers`]: other nodes, by datagrams and by records in the store.
//! - [`recording`]: recordings of what the module was told and did, and their replay.
//! - [`metrics`]: counters; [`admin`]: health and metrics over HTTP.
//!
//! `settings`, `metrics`, `response` and `context` lie below all others and know none of them; `engines` knows these alone.

pub mod admin;
pub mod close_reason;
mod context;
pub mod engines;
pub mod membership;
pub mod metrics;
mod node;
pub mod peers;
pub mod recording;
pub mod request;
pub mod response;
pub mod settings;

pub use close_reason::CloseReason;
pub use context::NodeContext;
pub use engines::Engine;
pub use membership::{registration, snapshot, watcher};
pub use node::{Node, ResponseStream, StartError};
pub use peers::{PeerError, PeerOptions, PeerStore, PeersHandle};
pub use request::grpc_server;
pub use response::{FailureReason, FinalStatus, RejectReason, ResponsePart, TokenRun};
pub use settings::{Class, NodeSettings, SettingsError, Tenant, KINDS};

pub use ivyward_core as core;
pub use ivyward_proto as proto;
pub use ivyward_runtime as runtime;
