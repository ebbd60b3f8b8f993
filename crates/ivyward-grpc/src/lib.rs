//! gRPC over h2 on an ivyward world.
//!
//! - [`frame`]: gRPC's length-prefixed messages.
//! - [`watch`]: a connection that notes which HTTP/2 frames crossed it.
//! - [`channel`]: one connection to a server.
//! - [`call`]: one call on it, and what its end proves.
//! - [`keepalive`]: when a connection is pinged.
//! - [`timeout`]: the header that states a call's deadline.

pub mod call;
pub mod channel;
pub mod frame;
pub mod keepalive;
pub mod timeout;
pub mod watch;

pub use call::{Call, CallError, Cause, Status};
pub use channel::{Channel, Options};
pub use frame::{encode, Decoder, FrameError};
pub use keepalive::RestingChecks;
pub use timeout::{encode_timeout, parse_timeout, TIMEOUT_HEADER};
