//! The path of a request: [`grpc_server`] or a library call -> `driver`, the one task that owns the router -> `attempt`, a
//! task each -> tokens back through the bounded buffer of [`crate::response`].
//!
//! - `validation`: checks on a client's request.
//! - `messages`: the messages to the driver.
//! - `driver`: the event loop; its steps: `attempts` (start, cancel, end), `reservations` (reserve, release) and
//!   `finish` (acceptance, final answer, removal).
//! - `open_requests`, `engine_table`, `timers`: what the driver keeps.
//! - `grpc`: gRPC to engines, behind the interface of [`crate::engines`]; `answer_stream`: an answer on its way.
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
mod reservations;
mod timers;
pub(crate) mod validation;
