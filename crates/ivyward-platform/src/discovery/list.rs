//! Discovery's form of the list of engines, and how it is read.

use ivyward::core::interface::{Endpoint, EndpointId, EndpointState, Micros};
use ivyward::core::start_time::StartTimes;
use ivyward::runtime::RuntimeRef;
use ivyward::Engine;
use ivyward_settings::Told;
use serde::Deserialize;
use std::collections::btree_map::{BTreeMap, Entry as Place};
use std::net::SocketAddr;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// So many characters of an entry that cannot be read are logged.
const LOGGED: usize = 200;

/// A list in discovery's form.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct List {
    /// Its version.
    #[serde(default)]
    pub version: u64,
    /// The whole list, or changes.
    #[serde(default)]
    pub full: bool,
    /// Its entries. Each is read by itself, so that one that cannot be read leaves the others.
    #[serde(default)]
    pub servers: Vec<serde_json::Value>,
}

/// One entry of a list.
#[derive(Deserialize)]
struct Entry {
    id: String,
    #[serde(default)]
    addr: String,
    #[serde(default)]
    zone: serde_json::Value,
    #[serde(default)]
    kind: serde_json::Value,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Why an entry cannot be used.
#[derive(Debug, thiserror::Error)]
enum EntryError {
    #[error("{0}")]
    Form(#[from] serde_json::Error),
    #[error("state {0:?} is none of up, draining, removed")]
    State(String),
    #[error("weight {0} must be over 0")]
    Weight(f64),
    #[error("zone {0} is not known")]
    Zone(serde_json::Value),
    #[error("kind {0} is not known")]
    Kind(serde_json::Value),
    #[error("addr {0:?} must be IP:PORT")]
    Address(String),
}

/// The number by which the module knows an engine: the same at all nodes.
pub(crate) fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// The index of a name in a list of names; a number stands for itself.
fn index_of(names: &[String], value: &serde_json::Value) -> Option<u8> {
    let index = match value {
        serde_json::Value::String(name) => ivyward_settings::place(names, name)?,
        other => usize::try_from(other.as_u64()?).ok()?,
    };
    u8::try_from(index).ok()
}

fn condition(state: &str) -> Option<EndpointState> {
    match state {
        "up" => Some(EndpointState::Ready),
        "draining" => Some(EndpointState::Draining),
        "removed" => Some(EndpointState::Removed),
        _ => None,
    }
}

/// Reads lists on this node's clock, and remembers what the last ones said.
pub(crate) struct ListReader {
    told: Told,
    runtime: RuntimeRef,
    /// What this node's clock shows less than Unix time, as it was at the start: steps of the wall clock after it change
    /// nothing.
    behind: Micros,
    known: BTreeMap<EndpointId, Engine>,
    starts: StartTimes,
}

impl ListReader {
    pub(crate) fn new(told: Told, runtime: &RuntimeRef) -> ListReader {
        let behind = runtime.unix_micros().saturating_sub(runtime.now());
        ListReader {
            told,
            runtime: runtime.clone(),
            behind,
            known: BTreeMap::new(),
            starts: StartTimes::new(),
        }
    }

    /// The engines of a list that discovery told just now.
    pub(crate) fn read(&mut self, list: &List) -> Vec<Engine> {
        let engines = self.read_held(list);
        if list.full {
            let known = &self.known;
            self.starts.complete_list(|id| known.contains_key(&id));
        }
        self.starts.record_response(self.runtime.now());
        engines
    }

    /// The engines of a list as it was held once, each once. An entry that cannot be read is named in the log; its engine stays as it was known.
    pub(crate) fn read_held(&mut self, list: &List) -> Vec<Engine> {
        let mut engines: Vec<Engine> = Vec::with_capacity(list.servers.len());
        let mut indexes = BTreeMap::new();
        for value in &list.servers {
            let read = self
                .entry(value)
                .map_or_else(|why| self.as_known(value, &why), Some);
            let Some(engine) = read else { continue };
            match indexes.entry(engine.endpoint.id) {
                // Guards against two entries under one id: the last one counts.
                Place::Occupied(index) => engines[*index.get()] = engine,
                Place::Vacant(index) => {
                    index.insert(engines.len());
                    engines.push(engine);
                }
            }
        }
        if list.full {
            self.known.clear();
        }
        for engine in &engines {
            match engine.endpoint.state {
                EndpointState::Removed => {
                    self.starts.remove(engine.endpoint.id);
                    self.known.remove(&engine.endpoint.id)
                }
                _ => self.known.insert(engine.endpoint.id, *engine),
            };
        }
        engines
    }

    /// Guards against an engine that is lost by one field of its entry: it stays as the last list had it. That it drains or
    /// is removed counts, if that much can be read; that it is up does not.
    fn as_known(&self, value: &serde_json::Value, why: &EntryError) -> Option<Engine> {
        let text: String = value.to_string().chars().take(LOGGED).collect();
        let id = value
            .get("id")
            .and_then(serde_json::Value::as_str)
            .map(endpoint_id);
        let Some(known) = id.and_then(|id| self.known.get(&id)) else {
            warn!(entry = text, "an engine is left out: {why}");
            return None;
        };
        warn!(entry = text, "an engine stays as it was known: {why}");
        let state = value.get("state").and_then(serde_json::Value::as_str);
        let told = state
            .and_then(condition)
            .filter(|told| *told != EndpointState::Ready);
        let condition = told.unwrap_or(known.endpoint.state);
        Some(Engine {
            endpoint: Endpoint {
                state: condition,
                ..known.endpoint
            },
            ..*known
        })
    }

    fn entry(&mut self, value: &serde_json::Value) -> Result<Engine, EntryError> {
        let Entry {
            id,
            addr,
            zone,
            kind,
            cell,
            state,
            weight,
            started_ms,
        } = Entry::deserialize(value)?;
        let id = endpoint_id(&id);
        let Some(condition) = condition(&state) else {
            return Err(EntryError::State(state));
        };
        if let (EndpointState::Removed, Some(known)) = (condition, self.known.get(&id)) {
            return Ok(Engine {
                endpoint: Endpoint {
                    state: condition,
                    ..known.endpoint
                },
                ..*known
            });
        }
        if !weight.is_finite() || weight <= 0.0 {
            return Err(EntryError::Weight(weight));
        }
        let Some(zone_index) = index_of(&self.told.zones, &zone) else {
            return Err(EntryError::Zone(zone));
        };
        let Some(kind_index) = index_of(&self.told.kinds, &kind) else {
            return Err(EntryError::Kind(kind));
        };
        let Ok(address) = addr.parse::<SocketAddr>() else {
            return Err(EntryError::Address(addr));
        };
        let started = started_ms.saturating_mul(1_000);
        let mut entry = Endpoint {
            id,
            zone: zone_index,
            machine_type: kind_index,
            rack: cell,
            state: condition,
            weight,
            started_at: started,
        };
        let now = self.runtime.now();
        entry.started_at = self
            .starts
            .resolve_listed(&entry, now, now.saturating_add(self.behind));
        Ok(Engine {
            endpoint: entry,
            address,
        })
    }
}

#[cfg(test)]
mod tests;
