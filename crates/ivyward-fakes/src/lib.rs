//! Fakes of engines, stores and clients, and the checker of the five rules.
//!
//! - [`text`]: answers as a function of the prompt.
//! - [`event_log`]: what engines, clients and the script observed, in one log.
//! - [`engine`]: an engine on a loopback socket; [`faults`]: what may be wrong with it.
//! - [`etcd`]: a small store that speaks etcd's API.
//! - [`client`]: a scripted client of a node's door.
//! - [`platform`]: engines and discovery of a platform that speaks HTTP/1.1.
//! - [`rule_checker`]: the five rules, checked from the log.

pub mod client;
pub mod engine;
pub mod etcd;
pub mod event_log;
pub mod faults;
pub mod platform;
pub mod rule_checker;
pub mod text;

pub use client::{Client, ClientBehavior, ClientRequest, ClientResult};
pub use engine::{Engine, EngineSpec, Host, Role};
pub use event_log::{CallKind, EventLog, LoggedEvent, ObservedEvent};
pub use faults::{Faults, ResponseFault};
pub use rule_checker::{check, check_so_far, RuleChecker, RuleLimits, RuleReport};
