//! Engines and clients that the project plays itself, and the auditor of the five rules.
//!
//! - [`text`]: answers as a function of the prompt.
//! - [`sight`]: what engines, clients and the script saw, in one log.
//! - [`engine`]: an engine on a loopback socket; [`faults`]: what may be wrong with it.
//! - [`etcd`]: a small store that speaks etcd's API.
//! - [`client`]: a scripted client of a node's door.
//! - [`platform`]: engines and discovery of a platform that speaks HTTP/1.1.
//! - [`audit`]: the five rules, checked from the log.

pub mod audit;
pub mod client;
pub mod engine;
pub mod etcd;
pub mod faults;
pub mod platform;
pub mod sight;
pub mod text;

pub use audit::{audit, audit_so_far, Audit, Limits, Live};
pub use client::{Ask, Client, End, Habit};
pub use engine::{Engine, Host, Role, Spec};
pub use faults::{Faults, Twist};
pub use sight::{Kind, Log, Seen, Sight};
