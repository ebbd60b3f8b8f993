//! Fakes for a platform that uses HTTP/1.1: engines, the discovery service, and a log of what they and clients observed.
//!
//! - [`exchange`]: reads complete requests and responses from a connection.
//! - [`observe`]: the log of what crossed the sockets, by request id.
//! - [`engine`]: an engine whose process can crash, hang, slow down or reject requests.
//! - [`discovery`]: the list of engines, with watches that can be reset or become unresponsive.

pub mod discovery;
pub mod engine;
pub mod exchange;
pub mod observe;
