//! Errors that end the daemon.

use ivyward::{PeerError, StartError};
use ivyward_platform::{service::ServiceError, ConfigError};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that ends the daemon. The text is one line, printed on standard error.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The log filter cannot be parsed.
    #[error("--log {filter}: {error}")]
    LogFilter {
        /// The value of `--log`.
        filter: String,
        /// The reason given by the parser.
        error: tracing_subscriber::filter::ParseError,
    },
    /// The log subscriber cannot be installed, for example because one is installed already.
    #[error("cannot set up logging: {0}")]
    Logs(Box<dyn std::error::Error + Send + Sync>),
    /// A signal handler cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(io::Error),
    /// The file for the recording cannot be created.
    #[error("--record {}: cannot create the file: {error}", path.display())]
    Record {
        /// The value of `--record`.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A listening socket cannot be opened.
    #[error("{flag} {address}: cannot listen: {error}")]
    Listen {
        /// The flag that states the address.
        flag: &'static str,
        /// The address as given.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The gRPC node cannot be set up.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Gossip between nodes cannot be set up.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// The configuration file of the platform is unreadable or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The platform node cannot be set up.
    #[error(transparent)]
    Service(#[from] ServiceError),
}
