//! A router node for LLM serving, as a library.
//!
//! A request enters through [`Node::generate`] or the gRPC server and goes to the driver, the single task that owns the router
//! (`ivyward_core::router::Router`). For each attempt the driver starts a task, which calls an engine and passes the tokens to
//! the client through a bounded buffer. Nodes in the same process share no state.
//!
//! Modules, in the order of their dependencies:
//!
//! - [`settings`]: the settings of a node, and the checks on them.
//! - [`metrics`], [`close_reason`]: counters and gauges, and the reasons for which client connections are closed.
//! - [`memory_budget`]: limits on the memory that connections and requests hold.
//! - [`response`]: the final status of a request, and the bounded buffer between an attempt and its client.
//! - `context`: the runtime, settings and metrics that all parts of a node share.
//! - [`engines`]: the interface between the driver and the protocols that engines speak, and the connections of the gRPC
//!   protocol.
//! - [`peers`]: the other nodes, known by gossip and from records in the store.
//! - [`recording`]: recordings of the router's events and actions, and their replay.
//! - [`request`]: the path of a request: server, validation, driver, attempts.
//! - `node`: [`Node`], the handle of a node's owner, and [`ResponseStream`], the response to a request.
//! - [`membership`]: the endpoint list, from the store or a snapshot.
//! - [`admin`]: health, metrics and peers over HTTP.
//!
//! `settings`, `metrics`, `response` and `context` depend on no other module in this list; `engines` depends only on these.

pub mod admin;
pub mod close_reason;
mod context;
pub mod engines;
pub mod membership;
pub mod memory_budget;
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
