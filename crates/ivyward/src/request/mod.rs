//! The way of a request: [`door`] (gRPC) or a library call -> [`driver`], the one task that owns the module ->
//! [`attempt`], a task each -> tokens back through the bounded buffer of [`crate::response`].
//!
//! - [`notices`]: what the driver is told, and by which way.
//! - [`grpc`]: gRPC to engines, behind the seam of [`crate::engines`].

pub(crate) mod attempt;
pub(crate) mod clients;
pub(crate) mod driver;
pub(crate) mod grpc;
pub mod grpc_server;
pub(crate) mod messages;
