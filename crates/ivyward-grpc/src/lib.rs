//! A gRPC client over h2 whose clock, tasks and sockets come from `ivyward-runtime`.
//!
//! Modules, in the order of their dependencies: each uses only those above it.
//!
//! - [`frame`]: gRPC's length-prefixed messages.
//! - [`timeout`]: the `grpc-timeout` header, which contains the time left to a call's deadline.
//! - [`status`]: gRPC statuses, and why a call failed.
//! - [`options`]: settings of a connection.
//! - [`frame_observer`]: a socket wrapper that records which HTTP/2 frames crossed it.
//! - `activity`: calls in flight on a connection and requested checks, shared by calls and keepalive.
//! - [`channel`]: the handle of a connection: its state, checking it, closing it.
//! - [`call`]: one call on a connection, and whether a failed call provably never ran.
//! - `start_call`: the methods of [`Channel`] that start a call.
//! - [`keepalive`]: when a connection is pinged.
//! - `handshake`: the constructors of [`Channel`] and the task that drives a connection.

mod activity;
pub mod call;
pub mod channel;
pub mod frame;
pub mod frame_observer;
mod handshake;
pub mod keepalive;
pub mod options;
mod start_call;
pub mod status;
pub mod timeout;

pub use call::{Call, Delivery};
pub use channel::Channel;
pub use frame::{encode, Decoder, FrameError};
pub use keepalive::IdleChecks;
pub use options::Options;
pub use status::{CallError, Cause, Status};
pub use timeout::{encode_timeout, parse_timeout, TIMEOUT_HEADER};
