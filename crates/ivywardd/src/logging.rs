//! Sets up logging to standard error.

use crate::error::DaemonError;
use tracing_subscriber::EnvFilter;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text {
        /// Whether the lines contain ANSI colour codes.
        colours: bool,
    },
    /// One JSON object per line.
    Json,
}

/// Installs the global log subscriber. `filter` has the syntax of `RUST_LOG`.
///
/// # Errors
/// When the filter is invalid, or a subscriber is already installed.
pub fn init(filter: &str, format: LogFormat) -> Result<(), DaemonError> {
    let parsed = EnvFilter::try_new(filter).map_err(|error| DaemonError::LogFilter {
        filter: filter.into(),
        error,
    })?;
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Json => subscriber.json().try_init(),
        LogFormat::Text { colours: true } => subscriber.try_init(),
        LogFormat::Text { colours: false } => subscriber.with_ansi(false).try_init(),
    }
    .map_err(DaemonError::Logs)
}
