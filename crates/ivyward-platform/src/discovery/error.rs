//! Errors of calls to discovery.

use crate::buffered_connection::ResponseHeadError;
use ivyward::core::long_poll::CallFailure;
use std::io;

/// Why a call to discovery returned no list.
#[derive(Debug, thiserror::Error)]
pub(super) enum ListCallError {
    /// The connection was refused, or failed while it was opened.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection was not open in time, or nothing was received for too long.
    #[error("no response within the timeout")]
    NoResponse,
    /// The response was still arriving at the end of its time limit.
    #[error("the response was not complete within its time limit")]
    SlowResponse,
    /// The request could not be written.
    #[error("cannot send the request: {0}")]
    Write(io::Error),
    /// No valid response head was received.
    #[error("{0}")]
    Head(#[from] ResponseHeadError),
    /// The connection ended within the body, or the body is malformed or longer than the limit.
    #[error("the response body is incomplete, malformed or too long")]
    Body,
    /// Discovery is overloaded: status 429 or 503.
    #[error("rejected with status {0}")]
    Rejected(u16),
    /// The response has another status than 200, 429 and 503.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The body is not a list in the JSON form.
    #[error("the response is not a list of engines: {0}")]
    Json(#[from] serde_json::Error),
    /// The response contains changes of an older version than the list that the node has.
    #[error("changes of version {version} received after version {newest}")]
    Outdated {
        /// The version of the changes.
        version: u64,
        /// The version of the list that the node has.
        newest: u64,
    },
}

impl ListCallError {
    /// Returns the kind of failure, on which the time of the next call depends.
    pub(super) fn kind(&self) -> CallFailure {
        match self {
            ListCallError::NoResponse => CallFailure::NoResponse,
            ListCallError::SlowResponse => CallFailure::SlowResponse,
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
