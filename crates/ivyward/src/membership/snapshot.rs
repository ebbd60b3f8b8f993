//! The last known list of engines in a file, for a start of the node while etcd cannot be reached.
//!
//! The first line has a title, the format version, the length of the body in bytes and its CRC-32. The body is a JSON array of
//! registration records. The file is written under a temporary name and renamed, so that a reader sees either the old or the
//! new one completely.

use crate::membership::registration::{self, Record, Role, State};
use ivyward_core::interface::{EndpointId, EndpointState};
use ivyward_core::membership::Member;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;

const TITLE: &str = "ivyward-engines";
const VERSION: u32 = 1;
/// Maximum length of the file in bytes. Enough for about 100,000 engines.
const MAX_FILE_BYTES: u64 = 64 << 20;
/// Maximum length of the first line in bytes.
const MAX_HEADER_BYTES: usize = 200;

/// Why a snapshot cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The file cannot be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is not a snapshot of this format version.
    #[error("the file is not an engine list of version {VERSION}")]
    UnknownFormat,
    /// The file is truncated or corrupted.
    #[error("the snapshot is truncated or corrupted: {0}")]
    Corrupted(&'static str),
}

fn record(member: &Member) -> Record {
    let endpoint = &member.endpoint;
    Record {
        version: registration::VERSION,
        id: endpoint.id.0,
        role: [Role::Prefill, Role::Decode, Role::Mixed][usize::from(endpoint.machine_type).min(2)],
        address: member.address.to_string(),
        zone: endpoint.zone,
        cell: endpoint.rack,
        weight: endpoint.weight,
        started_ms: endpoint.started_at / 1_000,
        state: if endpoint.state == EndpointState::Ready {
            State::Ready
        } else {
            State::Draining
        },
    }
}

/// Replaces the snapshot file and syncs it to disk.
///
/// # Errors
/// Returns the I/O error. The old file is then still in place, or the new one is but may not survive a crash of the machine.
pub fn write(path: &Path, members: &[Member]) -> Result<(), SnapshotError> {
    let records: Vec<Record> = members.iter().map(record).collect();
    let body = serde_json::to_vec(&records).map_err(io::Error::other)?;
    let temporary = path.with_extension("new");
    let written = write_synced(&temporary, &body).and_then(|()| std::fs::rename(&temporary, path));
    if let Err(e) = written {
        // The partial file is useless, and the error may be a full disk.
        let _ = std::fs::remove_file(&temporary);
        return Err(e.into());
    }
    // The rename is durable only once the directory is synced.
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty());
    File::open(directory.unwrap_or(Path::new(".")))?.sync_all()?;
    Ok(())
}

fn write_synced(path: &Path, body: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    writeln!(
        file,
        "{TITLE} {VERSION} {} {:08x}",
        body.len(),
        crc32fast::hash(body)
    )?;
    file.write_all(body)?;
    file.sync_all()
}

/// Reads a snapshot. Returns `None` if the file does not exist. States and start times are those of the time of writing.
///
/// # Errors
/// Returns [`SnapshotError`] if the file is truncated, corrupted, of another format or cannot be read.
pub fn read(path: &Path) -> Result<Option<Vec<Member>>, SnapshotError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)?;
    let body = verify_body(&bytes)?;
    let records: Vec<Record> = serde_json::from_slice(body)
        .map_err(|_| SnapshotError::Corrupted("its body is not a JSON array of records"))?;
    let members: Result<Vec<Member>, SnapshotError> = records.into_iter().map(member).collect();
    members.map(Some)
}

/// Returns the body if its length and checksum are those in the first line.
fn verify_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let end = bytes
        .iter()
        .take(MAX_HEADER_BYTES)
        .position(|b| *b == b'\n')
        .ok_or(SnapshotError::UnknownFormat)?;
    let line = std::str::from_utf8(&bytes[..end]).map_err(|_| SnapshotError::UnknownFormat)?;
    let parts: Vec<&str> = line.split(' ').collect();
    let [title, version, length, checksum] = parts[..] else {
        return Err(SnapshotError::UnknownFormat);
    };
    if title != TITLE || version != VERSION.to_string() {
        return Err(SnapshotError::UnknownFormat);
    }
    let body = &bytes[end + 1..];
    if length.parse() != Ok(body.len()) {
        return Err(SnapshotError::Corrupted(
            "its length differs from the one in the first line",
        ));
    }
    if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(body)) {
        return Err(SnapshotError::Corrupted(
            "its checksum differs from the one in the first line",
        ));
    }
    Ok(body)
}

fn member(record: Record) -> Result<Member, SnapshotError> {
    let text = serde_json::to_vec(&record).map_err(io::Error::other)?;
    registration::read(EndpointId(record.id), &text, 0)
        .map_err(|_| SnapshotError::Corrupted("one of its records is invalid"))
}

#[cfg(test)]
mod tests;
