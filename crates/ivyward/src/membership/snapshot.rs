//! The last list of engines in a file, for starts while the store is down.
//!
//! The first line holds a title, the version, the number of bytes that follow and their checksum; then follow the records as
//! JSON. The file is written under another name and renamed, so that a reader sees the old one or the new one.

use crate::membership::registration::{self, Record, Role, State};
use ivyward_core::interface::{EndpointId, EndpointState};
use ivyward_core::membership::Member;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;

const TITLE: &str = "ivyward-engines";
const VERSION: u32 = 1;
/// Longest file, in bytes: some 100,000 engines.
const MAX_FILE: u64 = 64 << 20;
/// Longest first line, in bytes.
const MAX_FIRST_LINE: usize = 200;

/// Why a snapshot is not read or written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// It cannot be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No snapshot, or one of another version.
    #[error("it is no list of engines of version {VERSION}")]
    Foreign,
    /// Truncated or corrupted.
    #[error("it is torn: {0}")]
    Torn(&'static str),
}

fn record(member: &Member) -> Record {
    let e = &member.endpoint;
    Record {
        version: registration::VERSION,
        id: e.id.0,
        role: [Role::Prefill, Role::Decode, Role::Mixed][usize::from(e.machine_type).min(2)],
        address: member.address.to_string(),
        zone: e.zone,
        cell: e.rack,
        weight: e.weight,
        started_ms: e.started_at / 1_000,
        state: if e.state == EndpointState::Ready {
            State::Ready
        } else {
            State::Draining
        },
    }
}

/// Replaces the snapshot, durably.
///
/// # Errors
/// When the system reports one. Either the old file stands then, or the new one does and may not survive a crash of the
/// machine.
pub fn write(path: &Path, members: &[Member]) -> Result<(), SnapshotError> {
    let records: Vec<Record> = members.iter().map(record).collect();
    let body = serde_json::to_vec(&records).map_err(io::Error::other)?;
    let beside = path.with_extension("new");
    let written = write_whole(&beside, &body).and_then(|()| std::fs::rename(&beside, path));
    if let Err(e) = written {
        // A partial file is of no use, and takes space that may be what is lacking.
        let _ = std::fs::remove_file(&beside);
        return Err(e.into());
    }
    // The rename is durable only with the folder.
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()?;
    Ok(())
}

fn write_whole(path: &Path, body: &[u8]) -> io::Result<()> {
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

/// Reads a snapshot; `None` if there is no file. States and start times are as they were when it was written.
///
/// # Errors
/// [`SnapshotError`] when the file is torn, foreign or cannot be read.
pub fn read(path: &Path) -> Result<Option<Vec<Member>>, SnapshotError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE).read_to_end(&mut bytes)?;
    let body = checked_body(&bytes)?;
    let records: Vec<Record> =
        serde_json::from_slice(body).map_err(|_| SnapshotError::Torn("its records"))?;
    let members: Result<Vec<Member>, SnapshotError> = records.into_iter().map(member).collect();
    members.map(Some)
}

/// The bytes behind the first line, if they are those that it says.
fn checked_body(bytes: &[u8]) -> Result<&[u8], SnapshotError> {
    let end = bytes
        .iter()
        .take(MAX_FIRST_LINE)
        .position(|b| *b == b'\n')
        .ok_or(SnapshotError::Foreign)?;
    let line = std::str::from_utf8(&bytes[..end]).map_err(|_| SnapshotError::Foreign)?;
    let parts: Vec<&str> = line.split(' ').collect();
    let [title, version, length, checksum] = parts[..] else {
        return Err(SnapshotError::Foreign);
    };
    if title != TITLE || version != VERSION.to_string() {
        return Err(SnapshotError::Foreign);
    }
    let body = &bytes[end + 1..];
    if length.parse() != Ok(body.len()) {
        return Err(SnapshotError::Torn("its length is another"));
    }
    if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(body)) {
        return Err(SnapshotError::Torn("its checksum is another"));
    }
    Ok(body)
}

fn member(record: Record) -> Result<Member, SnapshotError> {
    let text = serde_json::to_vec(&record).map_err(io::Error::other)?;
    registration::read(EndpointId(record.id), &text, 0).map_err(|_| SnapshotError::Torn("a record"))
}

#[cfg(test)]
mod tests;
