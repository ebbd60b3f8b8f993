//! The list of engines in the JSON form in which discovery sends it.

use ivyward::core::interface::EndpointState;
use serde::Deserialize;

/// A full list of engines, or the changes to an earlier list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct List {
    /// The version of the list, 0 if absent. The next call asks for the changes after this version.
    #[serde(default)]
    pub version: u64,
    /// Whether `servers` is the full list; false for changes.
    #[serde(default)]
    pub full: bool,
    /// The entries. Each is parsed on its own, so that a malformed entry does not affect the others.
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

/// Why an entry is invalid. The messages use the field names of the JSON form.
#[derive(Debug, thiserror::Error)]
pub(super) enum EntryError {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("state {0:?} must be up, draining or removed")]
    State(String),
    #[error("weight {0} must be greater than 0")]
    Weight(f64),
    #[error("zone {0} is not configured")]
    Zone(serde_json::Value),
    #[error("kind {0} is not configured")]
    MachineType(serde_json::Value),
    #[error("addr {0:?} must be IP:PORT")]
    Address(String),
}

/// Returns the state for its name in the JSON form, or `None` if the name is unknown.
pub(super) fn endpoint_state(name: &str) -> Option<EndpointState> {
    match name {
        "up" => Some(EndpointState::Ready),
        "draining" => Some(EndpointState::Draining),
        "removed" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// Returns the index of a name in `names`. A JSON number is taken as the index itself. Returns `None` if the name is unknown
/// or the index is over 255.
pub(super) fn index_of(names: &[String], value: &serde_json::Value) -> Option<u8> {
    let index = match value {
        serde_json::Value::String(name) => ivyward_settings::index_of(names, name)?,
        other => usize::try_from(other.as_u64()?).ok()?,
    };
    u8::try_from(index).ok()
}
