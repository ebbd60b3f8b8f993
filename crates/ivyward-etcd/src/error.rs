//! Errors of calls to the store.

use ivyward_grpc::{CallError, Cause};
use std::net::SocketAddr;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EtcdError {
    /// No endpoint could be reached. Has the address and the error of the last one tried.
    #[error("no endpoint of the store could be reached; the last one tried was {0}: {1}")]
    Unreachable(SocketAddr, String),
    /// The store returned an error status.
    #[error("the store returned status {code}: {message}")]
    Status {
        /// The gRPC status code.
        code: u32,
        /// The status message of etcd, such as `etcdserver: mvcc: required revision has been compacted`.
        message: String,
    },
    /// The connection failed during the call. A write may have been applied.
    #[error("the connection failed during a call to the store: {0}")]
    Broken(String),
    /// No response arrived within the call timeout. A write may have been applied.
    #[error("the store did not respond in time")]
    Timeout,
    /// The response is malformed or does not match the request.
    #[error("invalid response of the store: {0}")]
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
