//! Why a call to the store fails.

use ivyward_grpc::{CallError, Cause};
use std::net::SocketAddr;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EtcdError {
    /// No endpoint could be reached; the address and error of the last one tried.
    #[error("no endpoint of the store answers; the last, {0}: {1}")]
    Unreachable(SocketAddr, String),
    /// The store answered with a status.
    #[error("the store answered with status {code}: {message}")]
    Status {
        /// gRPC's code.
        code: u32,
        /// etcd's text, such as `etcdserver: mvcc: required revision has been compacted`.
        message: String,
    },
    /// The call broke; a write may have been done.
    #[error("the call to the store broke: {0}")]
    Broken(String),
    /// No response in time; a write may have been done.
    #[error("no answer of the store in time")]
    Timeout,
    /// The response does not fit the request.
    #[error("the store's answer makes no sense: {0}")]
    InvalidResponse(String),
}

impl EtcdError {
    pub(crate) fn invalid(reason: impl Into<String>) -> EtcdError {
        EtcdError::InvalidResponse(reason.into())
    }
}

impl From<CallError> for EtcdError {
    fn from(error: CallError) -> EtcdError {
        match error.cause {
            Cause::Status(status) => EtcdError::Status {
                code: status.code,
                message: status.message,
            },
            Cause::Frame(e) => EtcdError::InvalidResponse(e.to_string()),
            cause => EtcdError::Broken(cause.to_string()),
        }
    }
}
