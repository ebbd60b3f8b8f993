//! A node on the platform: HTTP/1.1 to clients, engines and discovery, and the platform's configuration file.
//!
//! - [`config`]: the file, and the bounds that follow from its limits.
//! - [`service`]: a node in service: what the daemon starts, reloads and stops.
//! - `server`: clients; `engine`: connections, attempts, holds and releases at engines; `discovery`: the list of engines.
//! - `call`: a request as this protocol holds it; `connection`: a connection with what came and was not used yet.
//!
//! It implements [`ivyward::engines`] for the one driver, and decides nothing.

mod buffered_connection;
mod call;
pub mod config;
mod discovery;
mod engine;
mod release;
mod server;
pub mod service;

pub use config::{Config, ConfigError};
pub use service::Service;
