//! Logs on standard error.

use crate::error::DaemonError;
use tracing_subscriber::EnvFilter;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text, with colours or without.
    Text {
        /// Whether the lines carry terminal colours.
        colours: bool,
    },
    /// One JSON object a line.
    Json,
}

/// Sets up the logs: `filter` is written as RUST_LOG is.
///
/// # Errors
/// When the filter is invalid or logs are set up already.
pub fn init(filter: &str, format: LogFormat) -> Result<(), DaemonError> {
    let parsed = EnvFilter::try_new(filter).map_err(|error| DaemonError::LogFilter {
        filter: filter.into(),
        error,
    })?;
    let logs = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(std::io::stderr);
    match format {
        LogFormat::Json => logs.json().try_init(),
        LogFormat::Text { colours: true } => logs.try_init(),
        LogFormat::Text { colours: false } => logs.with_ansi(false).try_init(),
    }
    .map_err(DaemonError::Logs)
}
