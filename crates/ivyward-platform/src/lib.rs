//! The platform form of a node: HTTP/1.1 to clients, engines and discovery, and the platform's configuration file.
//!
//! - [`config`]: the configuration file, and the bounds that follow from its limits.
//! - [`service`]: a running node: what the daemon starts, reloads and stops.
//! - `server`: client connections and their requests.
//! - `engine`: connections, attempts, reservations and releases at engines.
//! - `discovery`: follows the list of engines.
//! - `call`: a request as the HTTP protocol holds it; `prompt_budget`: the memory that prompts may take.
//! - `buffered_connection`: a connection with a read buffer.
//!
//! The crate implements [`ivyward::engines`] for the driver; all decisions are made by the router.

mod buffered_connection;
mod call;
pub mod config;
mod discovery;
mod engine;
mod prompt_budget;
mod server;
pub mod service;
mod sync;

pub use config::{Config, ConfigError};
pub use service::Service;
