//! Why the daemon ends with an error.

use ivyward::{PeerError, StartError};
use ivyward_platform::{service::ServiceError, ConfigError};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that ends the daemon, in one line.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A log filter that cannot be parsed.
    #[error("--log {filter}: {error}")]
    LogFilter {
        /// The filter as given.
        filter: String,
        /// What is wrong with it.
        error: tracing_subscriber::filter::ParseError,
    },
    /// Logs that were set up already.
    #[error("logs cannot be set up: {0}")]
    Logs(Box<dyn std::error::Error + Send + Sync>),
    /// Signal handlers that cannot be installed.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// A recording that cannot be created.
    #[error("--record {}: {error}", path.display())]
    Record {
        /// Its path.
        path: PathBuf,
        /// What the system says.
        error: io::Error,
    },
    /// An address that cannot be listened at.
    #[error("{flag} {address}: {error}")]
    Listen {
        /// The flag that gave it.
        flag: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// A node that does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Gossip that does not start.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// A platform configuration that cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A platform node that does not start.
    #[error(transparent)]
    Service(#[from] ServiceError),
}
