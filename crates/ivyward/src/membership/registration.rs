//! Registration records. Each engine writes one JSON record to etcd; the key is a common prefix followed by the engine's id in
//! decimal.

use garde::Validate;
use ivyward_core::interface::{Endpoint, EndpointId, EndpointState};
use ivyward_core::membership::Member;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the record format. Records of other versions are rejected.
pub const VERSION: u32 = 1;
/// Default prefix of the records' keys.
pub const DEFAULT_ENGINE_PREFIX: &str = "ivyward/engines/";
/// Maximum length of a record in bytes. Longer records are rejected.
pub const MAX_RECORD_BYTES: usize = 4 << 10;

/// What kind of work an engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The engine prefills prompts.
    Prefill,
    /// The engine decodes output tokens.
    Decode,
    /// The engine prefills and decodes.
    Mixed,
}

/// Whether an engine accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The engine accepts new requests.
    Ready,
    /// The engine finishes its running requests and accepts no new ones.
    Draining,
}

/// The registration record of an engine, in JSON. Unknown fields are ignored, so that later versions can add fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
pub struct Record {
    /// Version of the record format. Must be 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Id of the engine. Must equal the id at the end of the record's key.
    #[garde(skip)]
    pub id: u64,
    /// Role of the engine.
    #[garde(skip)]
    pub role: Role,
    /// Address at which nodes reach the engine, as IP:PORT. The IP address must not be unspecified, the port not 0.
    #[garde(length(min = 3, max = 64))]
    pub address: String,
    /// Zone of the engine. 0 by default.
    #[garde(skip)]
    #[serde(default)]
    pub zone: u8,
    /// Rack of the engine. 0 by default.
    #[garde(skip)]
    #[serde(default)]
    pub cell: u16,
    /// Capacity of the engine relative to others of its machine type, from 0.001 to 1000000. 1 by default.
    #[garde(range(min = 0.001, max = 1_000_000.0))]
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Start time of the engine's process in milliseconds since the Unix epoch, by the engine's clock. 0, the default, stands
    /// for an unknown time long ago. A record with another start time stands for a new process, whose KV cache is empty.
    #[garde(skip)]
    #[serde(default)]
    pub started_ms: u64,
    /// Whether the engine accepts new requests.
    #[garde(skip)]
    pub state: State,
}

fn default_weight() -> f64 {
    1.0
}

/// Why a registration record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The key does not end in the id of an engine.
    #[error("the key does not end in an engine's id")]
    Key,
    /// The record is longer than [`MAX_RECORD_BYTES`].
    #[error("the record has {0} bytes; {MAX_RECORD_BYTES} at most")]
    TooLong(usize),
    /// The value is not a valid record in JSON.
    #[error("the record is malformed: {0}")]
    Malformed(String),
    /// The id of the record differs from that of its key, or the address cannot be reached.
    #[error("the record is inconsistent: {0}")]
    Inconsistent(String),
}

/// Returns the id of the engine to which a key belongs, or `None` if the key does not end in the decimal form of an id.
pub fn key_id(prefix: &[u8], key: &[u8]) -> Option<EndpointId> {
    let name = std::str::from_utf8(key.strip_prefix(prefix)?).ok()?;
    // Only the canonical decimal form is accepted (no "07" or "+7"), so that no two keys stand for the same engine.
    name.parse()
        .ok()
        .filter(|id: &u64| id.to_string() == name)
        .map(EndpointId)
}

/// Decodes and validates the record of the engine `id`. `revision` is the store's revision at which it was written.
///
/// # Errors
/// Returns [`RecordError`] if the record is malformed, too long or inconsistent.
pub fn read(id: EndpointId, value: &[u8], revision: i64) -> Result<Member, RecordError> {
    if value.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLong(value.len()));
    }
    let record: Record =
        serde_json::from_slice(value).map_err(|e| RecordError::Malformed(e.to_string()))?;
    record
        .validate()
        .map_err(|e| RecordError::Malformed(e.to_string().trim().replace('\n', "; ")))?;
    if record.id != id.0 {
        return Err(RecordError::Inconsistent(format!(
            "id {} below the key of {}",
            record.id, id.0
        )));
    }
    let address: SocketAddr = record
        .address
        .parse()
        .map_err(|_| RecordError::Malformed(format!("{:?} is not IP:PORT", record.address)))?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(RecordError::Inconsistent(format!(
            "nobody can be reached at {address}"
        )));
    }
    let machine_type = match record.role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    };
    let state = match record.state {
        State::Ready => EndpointState::Ready,
        State::Draining => EndpointState::Draining,
    };
    let endpoint = Endpoint {
        id,
        zone: record.zone,
        machine_type,
        rack: record.cell,
        state,
        weight: record.weight,
        started_at: record.started_ms.saturating_mul(1_000),
    };
    Ok(Member {
        endpoint,
        address,
        revision,
    })
}

/// Returns the JSON schema of registration records.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Record)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
