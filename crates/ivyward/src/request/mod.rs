//! The path of a request through a node.
//!
//! A request enters through [`grpc_server`] or a library call and goes to `driver`, the single task that owns the router.
//! The driver runs each attempt in a task of its own (`attempt`). The engine's tokens return to the client through the
//! bounded buffer of [`crate::response`].
//!
//! - `validation`: checks on a client's request.
//! - `messages`: the messages to the driver.
//! - `driver`: the event loop. `attempts` starts, cancels and ends attempts, `reservations` reserves and releases, and
//!   `finish` accepts requests, sets their final status and removes them.
//! - `open_requests`, `engine_table`, `timers`: the state of the driver.
//! - `grpc`: the gRPC protocol to engines, behind the interface of [`crate::engines`]; `answer_stream`: the token stream of
//!   one attempt.
//! - `request_body`: the body of a call that is being received, and its memory.
//! - `clients`: open client connections.

mod answer_stream;
pub(crate) mod attempt;
mod attempts;
pub(crate) mod clients;
pub(crate) mod driver;
mod engine_table;
mod finish;
pub(crate) mod grpc;
pub mod grpc_server;
pub(crate) mod messages;
mod open_requests;
mod request_body;
mod reservations;
mod timers;
pub(crate) mod validation;
