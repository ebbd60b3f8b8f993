//! Registration records: each engine writes one below a prefix of the store, under its id.

use garde::Validate;
use ivyward_core::interface::{Endpoint, EndpointId, EndpointState};
use ivyward_core::membership::Member;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the records that this program writes and reads.
pub const VERSION: u32 = 1;
/// Default prefix of the records.
pub const DEFAULT_ENGINE_PREFIX: &str = "ivyward/engines/";
/// Longest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 10;

/// The role of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills.
    Prefill,
    /// Decodes.
    Decode,
    /// Does both.
    Mixed,
}

/// Whether an engine accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It accepts work.
    Ready,
    /// It finishes its work and accepts nothing new.
    Draining,
}

/// A registration record, as JSON. Unknown fields are ignored, so that later versions may add some.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
pub struct Record {
    /// 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// The engine's id; the same number that names its key.
    #[garde(skip)]
    pub id: u64,
    /// Its role.
    #[garde(skip)]
    pub role: Role,
    /// IP:PORT.
    #[garde(length(min = 3, max = 64))]
    pub address: String,
    /// Its zone.
    #[garde(skip)]
    #[serde(default)]
    pub zone: u8,
    /// Its rack.
    #[garde(skip)]
    #[serde(default)]
    pub cell: u16,
    /// Its size relative to others of its machine type.
    #[garde(range(min = 0.001, max = 1_000_000.0))]
    #[serde(default = "one")]
    pub weight: f64,
    /// When its process started, in milliseconds since the Unix epoch by its own clock; 0 for long ago.
    #[garde(skip)]
    #[serde(default)]
    pub started_ms: u64,
    /// Whether it accepts work.
    #[garde(skip)]
    pub state: State,
}

fn one() -> f64 {
    1.0
}

/// Why a record is not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The key does not end in an id.
    #[error("the key does not end in an engine's id")]
    Key,
    /// Too long.
    #[error("the record has {0} bytes; {MAX_RECORD_BYTES} at most")]
    Long(usize),
    /// Not JSON of a record.
    #[error("the record is malformed: {0}")]
    Malformed(String),
    /// It contradicts itself or its key.
    #[error("the record contradicts itself: {0}")]
    Contradiction(String),
}

/// The engine's id that a key names.
pub fn key_id(prefix: &[u8], key: &[u8]) -> Option<EndpointId> {
    let name = std::str::from_utf8(key.strip_prefix(prefix)?).ok()?;
    // Only one way of writing a number, so that two keys never name one engine.
    name.parse()
        .ok()
        .filter(|id: &u64| id.to_string() == name)
        .map(EndpointId)
}

/// Reads the record of an engine.
///
/// # Errors
/// [`RecordError`].
pub fn read(id: EndpointId, value: &[u8], revision: i64) -> Result<Member, RecordError> {
    if value.len() > MAX_RECORD_BYTES {
        return Err(RecordError::Long(value.len()));
    }
    let record: Record =
        serde_json::from_slice(value).map_err(|e| RecordError::Malformed(e.to_string()))?;
    record
        .validate()
        .map_err(|e| RecordError::Malformed(e.to_string().trim().replace('\n', "; ")))?;
    if record.id != id.0 {
        return Err(RecordError::Contradiction(format!(
            "id {} below the key of {}",
            record.id, id.0
        )));
    }
    let address: SocketAddr = record
        .address
        .parse()
        .map_err(|_| RecordError::Malformed(format!("{:?} is not IP:PORT", record.address)))?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(RecordError::Contradiction(format!(
            "nobody can be reached at {address}"
        )));
    }
    let kind = match record.role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    };
    let condition = match record.state {
        State::Ready => EndpointState::Ready,
        State::Draining => EndpointState::Draining,
    };
    let entry = Endpoint {
        id,
        zone: record.zone,
        machine_type: kind,
        rack: record.cell,
        state: condition,
        weight: record.weight,
        started_at: record.started_ms.saturating_mul(1_000),
    };
    Ok(Member {
        endpoint: entry,
        address,
        revision,
    })
}

/// The JSON schema of records.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schemars::schema_for!(Record)).unwrap_or_default()
}

#[cfg(test)]
mod tests;
