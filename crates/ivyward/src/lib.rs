//! A router node for LLM serving, as a library.
//!
//! The path of a request: [`Node::generate`] or the gRPC server -> the driver, the one task that owns the router
//! (`ivyward_core::router::Router`) -> an attempt task -> a connection to an engine -> tokens back through a bounded buffer. Two
//! nodes in one process share nothing.
//!
//! Modules, those that others depend on first:
//!
//! - [`settings`]: the settings of a node, and the checks on them.
//! - [`metrics`], [`close_reason`]: counters, and why client connections are closed.
//! - [`response`]: final answers, and the bounded buffer to a client.
//! - `context`: runtime, settings and counters, shared by all parts of a node.
//! - [`engines`]: the interface between the driver and the protocols that engines speak, and the connections of one of them.
//! - [`peers`]: other nodes, known by gossip and by records in the store.
//! - [`recording`]: recordings of the router's events and actions, and their replay.
//! - [`request`]: the path of a request: server, validation, driver, attempts.
//! - `node`: [`Node`] and [`ResponseStream`], the handles of owner and client.
//! - [`membership`]: the list of engines, from the store or a snapshot.
//! - [`admin`]: health, metrics and peers over HTTP.
//!
//! `settings`, `metrics`, `response` and `context` depend on none of the others; `engines` on these alone.

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
pub use settings::{Class, NodeSettings, SettingsError, Tenant, MACHINE_TYPE_ROLES};

pub use ivyward_core as core;
pub use ivyward_proto as proto;
pub use ivyward_runtime as runtime;
