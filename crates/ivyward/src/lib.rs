//! A router node for language-model serving, as a library.
//!
//! The way of a request: [`Node::generate`] or the gRPC door -> the driver, the one task that owns the module
//! (`ivyward_core::rules::Router`) -> an attempt task -> a connection to an engine -> tokens back through a bounded
//! buffer. Two nodes in one process share nothing.
//!
//! - [`settings`]: what a node is told, and the checks on it.
//! - [`Node`], [`Answer`]: the handles of owner and client.
//! - [`answer`]: the final answers and the bounded buffer.
//! - [`door`]: gRPC, and the final answers in its terms.
//! - [`record`]: recordings of what the module was told and did, and their replay.
//! - [`follow`]: engines by etcd's watch API; [`registration`]: the records there; [`snapshot`]: the last list
//!   in a file.
//! - [`metrics`]: counters; [`admin`]: health and metrics over HTTP.
//! - [`engines`]: the seam between the driver and the protocols that engines speak.
//! - `driver`, `grpc`, `attempt`, `link`: the request path.

pub mod admin;
pub mod answer;
mod attempt;
pub mod door;
mod driver;
pub mod engines;
pub mod follow;
mod grpc;
mod link;
pub mod metrics;
mod node;
pub mod record;
pub mod registration;
pub mod settings;
mod shared;
pub mod snapshot;

pub use answer::{Failure, Final, Part, Refusal, Run};
pub use driver::Engine;
pub use node::{Answer, Node, StartError};
pub use settings::{Class, NodeSettings, SettingsError, Tenant, KINDS};
pub use shared::Shared;

pub use ivyward_core as core;
pub use ivyward_proto as proto;
pub use ivyward_world as world;
