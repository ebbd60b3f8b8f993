//! Converts the lists that discovery sends to the node's engines.

use super::list::{endpoint_state, index_of, Entry, EntryError, List};
use ivyward::core::interface::{Endpoint, EndpointId, EndpointState, Micros};
use ivyward::core::start_time::StartTimes;
use ivyward::runtime::RuntimeRef;
use ivyward::Engine;
use ivyward_settings::NamedSettings;
use serde::Deserialize;
use std::collections::btree_map::{self, BTreeMap};
use std::net::SocketAddr;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of characters of an invalid entry that are logged.
const MAX_LOGGED_CHARS: usize = 200;

/// Returns the router's id of an engine: the hash of its name, so that all nodes use the same id.
pub(crate) fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// Returns an engine with only its state changed.
fn with_state(engine: &Engine, state: EndpointState) -> Engine {
    Engine {
        endpoint: Endpoint {
            state,
            ..engine.endpoint
        },
        ..*engine
    }
}

/// Converts lists to engines, with start times on this node's clock. Keeps the engines of the current list.
pub(crate) struct ListReader {
    deployment: NamedSettings,
    runtime: RuntimeRef,
    /// Unix time minus this node's clock, in microseconds. Measured once at the start, so that later steps of the wall clock
    /// have no effect.
    clock_offset: Micros,
    /// The engines of the current list, with all changes applied.
    known: BTreeMap<EndpointId, Engine>,
    start_times: StartTimes,
}

impl ListReader {
    pub(crate) fn new(deployment: NamedSettings, runtime: &RuntimeRef) -> ListReader {
        ListReader {
            deployment,
            runtime: runtime.clone(),
            clock_offset: runtime.unix_micros().saturating_sub(runtime.now()),
            known: BTreeMap::new(),
            start_times: StartTimes::new(),
        }
    }

    /// Returns the engines of a list that was just received from discovery, and records the time of the response.
    pub(crate) fn read(&mut self, list: &List) -> Vec<Engine> {
        let engines = self.read_cached(list);
        if list.full {
            let known = &self.known;
            self.start_times
                .apply_complete_list(|id| known.contains_key(&id));
        }
        self.start_times.record_response(self.runtime.now());
        engines
    }

    /// Returns the engines of a list that was received earlier, each once. An invalid entry is logged, and its engine stays
    /// as it was in the current list.
    pub(crate) fn read_cached(&mut self, list: &List) -> Vec<Engine> {
        let engines = self.parse_entries(list);
        if list.full {
            self.known.clear();
        }
        for engine in &engines {
            let id = engine.endpoint.id;
            if engine.endpoint.state == EndpointState::Removed {
                self.start_times.remove(id);
                self.known.remove(&id);
            } else {
                self.known.insert(id, *engine);
            }
        }
        engines
    }

    fn parse_entries(&mut self, list: &List) -> Vec<Engine> {
        let mut engines: Vec<Engine> = Vec::with_capacity(list.servers.len());
        let mut indexes = BTreeMap::new();
        for value in &list.servers {
            let parsed = self.parse_entry(value);
            let engine = parsed.map_or_else(|error| self.known_engine(value, &error), Some);
            let Some(engine) = engine else { continue };
            match indexes.entry(engine.endpoint.id) {
                // If two entries have the same id, the last one is used.
                btree_map::Entry::Occupied(index) => engines[*index.get()] = engine,
                btree_map::Entry::Vacant(index) => {
                    index.insert(engines.len());
                    engines.push(engine);
                }
            }
        }
        engines
    }

    /// Returns the engine of an invalid entry as it was in the current list, so that one bad field does not remove it. A
    /// valid state `draining` or `removed` is applied nevertheless; `up` is not, since an entry that is partly invalid is no
    /// proof that the engine takes requests.
    fn known_engine(&self, value: &serde_json::Value, error: &EntryError) -> Option<Engine> {
        let entry: String = value.to_string().chars().take(MAX_LOGGED_CHARS).collect();
        let text = |field: &str| value.get(field).and_then(serde_json::Value::as_str);
        let id = text("id").map(endpoint_id);
        let Some(known) = id.and_then(|id| self.known.get(&id)) else {
            warn!(entry, %error, "endpoint ignored");
            return None;
        };
        warn!(entry, %error, "endpoint update ignored");
        let state = text("state")
            .and_then(endpoint_state)
            .filter(|state| *state != EndpointState::Ready);
        Some(with_state(known, state.unwrap_or(known.endpoint.state)))
    }

    fn parse_entry(&mut self, value: &serde_json::Value) -> Result<Engine, EntryError> {
        let entry = Entry::deserialize(value)?;
        let id = endpoint_id(&entry.id);
        let Some(state) = endpoint_state(&entry.state) else {
            return Err(EntryError::State(entry.state));
        };
        // The entry of a removed engine needs only its id and state if the engine is known.
        if let (EndpointState::Removed, Some(known)) = (state, self.known.get(&id)) {
            return Ok(with_state(known, state));
        }
        if !entry.weight.is_finite() || entry.weight <= 0.0 {
            return Err(EntryError::Weight(entry.weight));
        }
        let Some(zone) = index_of(&self.deployment.zones, &entry.zone) else {
            return Err(EntryError::Zone(entry.zone));
        };
        let Some(machine_type) = index_of(&self.deployment.machine_types, &entry.machine_type)
        else {
            return Err(EntryError::MachineType(entry.machine_type));
        };
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            return Err(EntryError::Address(entry.address));
        };
        let mut endpoint = Endpoint {
            id,
            zone,
            machine_type,
            rack: entry.rack,
            state,
            weight: entry.weight,
            started_at: entry.started_ms.saturating_mul(1_000),
        };
        let now = self.runtime.now();
        let unix_now = now.saturating_add(self.clock_offset);
        endpoint.started_at = self
            .start_times
            .resolve_with_shared_clock(&endpoint, now, unix_now);
        Ok(Engine { endpoint, address })
    }
}

#[cfg(test)]
mod tests;
