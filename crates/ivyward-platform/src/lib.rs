//! The node for the platform: HTTP/1.1 to clients, engines and discovery, configured by the platform's file.
//!
//! - [`config`]: parses the configuration file and derives the node's bounds from its limits.
//! - [`service`]: a running node, which the daemon starts, reloads and stops.
//! - `server`: client connections and their requests.
//! - `engine`: connections, attempts, reservations and releases at engines.
//! - `discovery`: follows the list of engines.
//! - `call`: the HTTP part of a client's request; `request_id`: its id.
//! - `buffered_connection`: a connection with a read buffer; `body_buffer`: the body of a request.
//!
//! The crate implements the traits of [`ivyward::engines`], through which the driver runs attempts. The router makes all
//! routing decisions.

mod body_buffer;
mod buffered_connection;
mod call;
pub mod config;
mod discovery;
mod engine;
mod request_id;
mod server;
pub mod service;
mod sync;

pub use config::{Config, ConfigError};
pub use service::Service;
