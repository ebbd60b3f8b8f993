//! The list of engines in discovery's JSON form.

use ivyward::core::interface::EndpointState;
use serde::Deserialize;

/// A list of engines, or changes to one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub version: u64,
    /// Whether it is the full list, not changes.
    #[serde(default)]
    pub full: bool,
    /// Its entries. Each is parsed by itself, so that a malformed one leaves the others.
    #[serde(default)]
    pub servers: Vec<serde_json::Value>,
}

/// One entry of a list.
#[derive(Deserialize)]
pub(super) struct Entry {
    pub(super) id: String,
    #[serde(default, rename = "addr")]
    pub(super) address: String,
    #[serde(default)]
    pub(super) zone: serde_json::Value,
    #[serde(default, rename = "kind")]
    pub(super) machine_type: serde_json::Value,
    #[serde(default, rename = "cell")]
    pub(super) rack: u16,
    pub(super) state: String,
    #[serde(default = "default_weight")]
    pub(super) weight: f64,
    #[serde(default)]
    pub(super) started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// Why an entry cannot be used. The texts name the fields of the JSON form.
#[derive(Debug, thiserror::Error)]
pub(super) enum EntryError {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("state {0:?} is none of up, draining, removed")]
    State(String),
    #[error("weight {0} must be over 0")]
    Weight(f64),
    #[error("zone {0} is not known")]
    Zone(serde_json::Value),
    #[error("kind {0} is not known")]
    MachineType(serde_json::Value),
    #[error("addr {0:?} must be IP:PORT")]
    Address(String),
}

/// The state of an engine by its name in a list.
pub(super) fn endpoint_state(name: &str) -> Option<EndpointState> {
    match name {
        "up" => Some(EndpointState::Ready),
        "draining" => Some(EndpointState::Draining),
        "removed" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// The index of a name in a list of names; a number stands for itself.
pub(super) fn index_of(names: &[String], value: &serde_json::Value) -> Option<u8> {
    let index = match value {
        serde_json::Value::String(name) => ivyward_settings::index_of(names, name)?,
        other => usize::try_from(other.as_u64()?).ok()?,
    };
    u8::try_from(index).ok()
}
