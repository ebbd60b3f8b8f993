//! Stand-ins of a platform that speaks HTTP/1.1: engines, discovery, and what they and clients observed.
//!
//! - [`exchange`]: whole requests and answers from a connection.
//! - [`observe`]: one log of what crossed the sockets, by request id.
//! - [`engine`]: an engine whose process can crash, hang, slow down or turn requests away.
//! - [`discovery`]: the list of engines, with watches that can be reset or fall silent.

pub mod discovery;
pub mod engine;
pub mod exchange;
pub mod observe;
