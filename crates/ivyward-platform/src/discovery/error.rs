//! Why a call to discovery brought no list.

use crate::buffered_connection::ResponseHeadError;
use ivyward::core::long_poll::CallFailure;
use std::io;

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListCallError {
    /// Discovery could not be connected to.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// No connection came up in time, or nothing was received for too long.
    #[error("timed out")]
    Silent,
    /// The response was still coming when its time was over.
    #[error("timed out within the response")]
    Slow,
    /// The request could not be written.
    #[error("{0}")]
    Write(io::Error),
    /// The connection brought no response.
    #[error("{0}")]
    Head(#[from] ResponseHeadError),
    /// The body broke, or is longer than the limit.
    #[error("the list is malformed or too long")]
    Body,
    /// Discovery has too much to do.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// A status that stands for no list.
    #[error("status {0}")]
    Status(u16),
    /// The body is no list.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// Changes that are older than the list.
    #[error("changes of version {version} after version {newest}")]
    Outdated {
        /// The version of the changes.
        version: u64,
        /// The version of the list.
        newest: u64,
    },
}

impl ListCallError {
    /// The failure as the long poll's schedule distinguishes them.
    pub(super) fn kind(&self) -> CallFailure {
        match self {
            ListCallError::Silent => CallFailure::NoResponse,
            ListCallError::Slow => CallFailure::SlowResponse,
            ListCallError::Rejected(_) => CallFailure::Rejected,
            ListCallError::Connect(_)
            | ListCallError::Write(_)
            | ListCallError::Head(_)
            | ListCallError::Body
            | ListCallError::Status(_)
            | ListCallError::Json(_)
            | ListCallError::Outdated { .. } => CallFailure::Failed,
        }
    }
}
