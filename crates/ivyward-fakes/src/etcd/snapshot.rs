//! Snapshots of a store, in memory and in files.

use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::{Event, KeyValue};
use prost::Message;
use std::collections::BTreeMap;
use std::path::Path;

/// A snapshot of a store: its keys, history and leases as of one revision.
#[derive(Clone)]
pub struct StoreSnapshot {
    pub(super) cluster: u64,
    pub(super) revision: i64,
    pub(super) compacted: i64,
    pub(super) keys: BTreeMap<Vec<u8>, KeyValue>,
    pub(super) history: Vec<Event>,
    /// Lease ids and their TTLs in seconds.
    pub(super) leases: Vec<(i64, i64)>,
    pub(super) next_lease: i64,
}

impl StoreSnapshot {
    /// Writes the snapshot to a file, as length-delimited API messages.
    ///
    /// # Errors
    /// Returns the operating system's error.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        let header = |revision| {
            Some(pb::ResponseHeader {
                cluster_id: self.cluster,
                revision,
                ..Default::default()
            })
        };
        let kvs: Vec<KeyValue> = self.keys.values().cloned().collect();
        let keys = pb::RangeResponse {
            header: header(self.revision),
            kvs,
            ..Default::default()
        };
        let history = pb::WatchResponse {
            header: header(self.next_lease),
            compact_revision: self.compacted,
            events: self.history.clone(),
            ..Default::default()
        };
        let mut bytes = keys.encode_length_delimited_to_vec();
        bytes.extend(history.encode_length_delimited_to_vec());
        for (id, ttl) in &self.leases {
            bytes.extend(
                pb::LeaseGrantRequest { id: *id, ttl: *ttl }.encode_length_delimited_to_vec(),
            );
        }
        std::fs::write(path, bytes)
    }

    /// Reads a snapshot from a file.
    ///
    /// # Errors
    /// Returns the operating system's error, or a decoding error if the file is not a snapshot.
    pub fn load(path: &Path) -> std::io::Result<StoreSnapshot> {
        let bytes = std::fs::read(path)?;
        let mut rest = &bytes[..];
        let keys = pb::RangeResponse::decode_length_delimited(&mut rest)?;
        let history = pb::WatchResponse::decode_length_delimited(&mut rest)?;
        let mut leases = Vec::new();
        while !rest.is_empty() {
            let lease = pb::LeaseGrantRequest::decode_length_delimited(&mut rest)?;
            leases.push((lease.id, lease.ttl));
        }
        let header = keys.header.unwrap_or_default();
        Ok(StoreSnapshot {
            cluster: header.cluster_id,
            revision: header.revision,
            compacted: history.compact_revision,
            keys: keys
                .kvs
                .into_iter()
                .map(|kv| (kv.key.clone(), kv))
                .collect(),
            history: history.events,
            leases,
            next_lease: history.header.unwrap_or_default().revision,
        })
    }

    /// Drops the history, so that a watch from an older revision is cancelled as compacted.
    pub fn without_history(mut self) -> StoreSnapshot {
        (self.compacted, self.history) = (self.revision, Vec::new());
        self
    }
}
