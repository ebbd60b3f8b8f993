//! The last list of engines in a file, for starts while the store is down.
//!
//! One line that says what it is, which version, how many bytes follow and their checksum; then the records as JSON.
//! Written beside and moved into place, so that a reader sees the old file or the new one.

use crate::membership::registration::{self, Record, Role, State};
use ivyward_core::interface::{EndpointId, EndpointState};
use ivyward_core::membership::Member;
use std::fs::File;
use std::io::{self, Read, Write};
use std::path::Path;

const TITLE: &str = "ivyward-engines";
const VERSION: u32 = 1;
/// Longest file taken, in bytes: some 100,000 engines.
const MOST: u64 = 64 << 20;

/// Why a file is not taken.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// It cannot be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Something else, or of another version.
    #[error("it is no list of engines of version {VERSION}")]
    Foreign,
    /// Cut short or changed.
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

/// Writes a list in place of the one before, so that it outlasts the machine's own end.
///
/// # Errors
/// When the system says no. The file before stands then, or the new one does and may not outlast the machine's end.
pub fn write(path: &Path, members: &[Member]) -> Result<(), SnapshotError> {
    let records: Vec<Record> = members.iter().map(record).collect();
    let body = serde_json::to_vec(&records).map_err(io::Error::other)?;
    let beside = path.with_extension("new");
    let written = write_whole(&beside, &body).and_then(|()| std::fs::rename(&beside, path));
    if let Err(e) = written {
        // A half of a file is of no use, and takes space that may be what is lacking.
        let _ = std::fs::remove_file(&beside);
        return Err(e.into());
    }
    // The new name is in the folder, which is a file of its own.
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

/// Reads a list; `None` where there is no file. Conditions and starts are as they were when it was written.
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
    file.take(MOST).read_to_end(&mut bytes)?;
    let end = bytes
        .iter()
        .take(200)
        .position(|b| *b == b'\n')
        .ok_or(SnapshotError::Foreign)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| SnapshotError::Foreign)?;
    let parts: Vec<&str> = head.split(' ').collect();
    let [title, version, length, sum] = parts[..] else {
        return Err(SnapshotError::Foreign);
    };
    if title != TITLE || version != VERSION.to_string() {
        return Err(SnapshotError::Foreign);
    }
    let body = &bytes[end + 1..];
    if length.parse() != Ok(body.len()) {
        return Err(SnapshotError::Torn("its length is another"));
    }
    if u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body)) {
        return Err(SnapshotError::Torn("its checksum is another"));
    }
    let records: Vec<Record> =
        serde_json::from_slice(body).map_err(|_| SnapshotError::Torn("its records"))?;
    let member = |r: Record| {
        let text = serde_json::to_vec(&r).map_err(io::Error::other)?;
        registration::read(EndpointId(r.id), &text, 0).map_err(|_| SnapshotError::Torn("a record"))
    };
    records
        .into_iter()
        .map(member)
        .collect::<Result<_, _>>()
        .map(Some)
}

#[cfg(test)]
mod tests;
