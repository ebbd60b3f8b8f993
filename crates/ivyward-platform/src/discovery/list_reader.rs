//! Turns lists of discovery into engines of the node.

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

/// Characters of a malformed entry that are logged.
const MAX_LOGGED_CHARS: usize = 200;

/// The number by which the router knows an engine: the same at all nodes.
pub(crate) fn endpoint_id(name: &str) -> EndpointId {
    EndpointId(xxh3_64(name.as_bytes()))
}

/// An engine as it is known, in another state.
fn with_state(engine: &Engine, state: EndpointState) -> Engine {
    Engine {
        endpoint: Endpoint {
            state,
            ..engine.endpoint
        },
        ..*engine
    }
}

/// Reads lists on this node's clock, and remembers the engines of the last ones.
pub(crate) struct ListReader {
    deployment: NamedSettings,
    runtime: RuntimeRef,
    /// How far this node's clock is behind Unix time, as it was at the start: later steps of the wall clock change nothing.
    clock_offset: Micros,
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

    /// The engines of a list that discovery sent just now.
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

    /// The engines of a list that was received earlier, each once. A malformed entry is logged; its engine stays as it was
    /// known.
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
                // Guards against two entries with one id: the last one counts.
                btree_map::Entry::Occupied(index) => engines[*index.get()] = engine,
                btree_map::Entry::Vacant(index) => {
                    index.insert(engines.len());
                    engines.push(engine);
                }
            }
        }
        engines
    }

    /// Guards against an engine that is lost by one field of its entry: it stays as the last list had it. That it drains or
    /// is removed counts, if that much can be read; that it is up does not.
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
        // The removal of a known engine needs no more than its id.
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
