//! Fakes of engines, stores and clients for tests, and a checker of the five rules.
//!
//! - [`text`]: computes answers as a function of the prompt.
//! - [`event_log`]: a log of what engines, clients and the test script observed.
//! - [`engine`]: an engine on a loopback socket; [`faults`]: the faults that can be injected into it.
//! - [`etcd`]: a small store that implements etcd's API.
//! - [`client`]: a scripted client of a node.
//! - [`platform`]: the engines and discovery service of a platform that uses HTTP/1.1.
//! - [`rule_checker`]: checks the five rules from the log.

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
