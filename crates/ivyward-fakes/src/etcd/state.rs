//! The store's state: keys, revisions, history and the operations on single keys and ranges.

use super::leases::GrantedLease;
use super::{Observer, StoreFaults};
use event_listener::Event as ChangeEvent;
use ivyward_proto::etcd::etcdserverpb as pb;
use ivyward_proto::etcd::mvccpb::{event::EventType, Event, KeyValue};
use ivyward_runtime::Micros;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tonic::Status;

/// The store's contents. They survive a crash of its process.
pub(super) struct StoreState {
    pub(super) cluster: u64,
    pub(super) revision: i64,
    pub(super) compacted: i64,
    pub(super) keys: BTreeMap<Vec<u8>, KeyValue>,
    /// All changes since the last compaction, in order. Their number is bounded by what a test writes.
    pub(super) history: Vec<Event>,
    pub(super) leases: BTreeMap<i64, GrantedLease>,
    pub(super) next_lease: i64,
    pub(super) faults: StoreFaults,
    /// Incremented to cancel all open watches.
    pub(super) cancel_watches: u64,
    /// Number of the token issued last, and when it expires.
    pub(super) token: (u64, Micros),
    pub(super) renewals: u64,
}

impl StoreState {
    pub(super) fn new(cluster: u64) -> StoreState {
        StoreState {
            cluster,
            revision: 1,
            compacted: 0,
            keys: BTreeMap::new(),
            history: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7_000,
            faults: StoreFaults::default(),
            cancel_watches: 0,
            token: (0, 0),
            renewals: 0,
        }
    }

    pub(super) fn header(&self) -> Option<pb::ResponseHeader> {
        Some(pb::ResponseHeader {
            cluster_id: self.cluster,
            member_id: 1,
            revision: self.revision,
            raft_term: 2,
        })
    }

    pub(super) fn in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
        match end {
            [] => key == from,
            // A single zero byte means that the range has no end.
            [0] => key >= from,
            end => key >= from && key < end,
        }
    }

    /// Returns the keys as of a revision; 0 means the current revision.
    pub(super) fn keys_at(&self, revision: i64) -> BTreeMap<Vec<u8>, KeyValue> {
        if revision == 0 || revision == self.revision {
            return self.keys.clone();
        }
        // Walks the history backwards and restores each later change's previous value.
        let mut keys = self.keys.clone();
        for event in self.history.iter().rev() {
            let Some(kv) = event.kv.as_ref().filter(|kv| kv.mod_revision > revision) else {
                continue;
            };
            match &event.prev_kv {
                Some(before) => drop(keys.insert(kv.key.clone(), before.clone())),
                None => drop(keys.remove(&kv.key)),
            }
        }
        keys
    }

    pub(super) fn range(&self, request: &pb::RangeRequest) -> Result<pb::RangeResponse, Status> {
        if request.revision > self.revision {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision is a future revision",
            ));
        }
        if request.revision > 0 && request.revision < self.compacted {
            return Err(Status::out_of_range(
                "etcdserver: mvcc: required revision has been compacted",
            ));
        }
        if request.key.is_empty() {
            return Err(Status::invalid_argument("etcdserver: key is not provided"));
        }
        let keys_at = self.keys_at(request.revision);
        let all: Vec<&KeyValue> = keys_at
            .values()
            .filter(|kv| StoreState::in_range(&kv.key, &request.key, &request.range_end))
            .collect();
        let count = all.len() as i64;
        let limit = if request.limit > 0 {
            request.limit as usize
        } else {
            usize::MAX
        };
        let value = |kv: &KeyValue| match request.keys_only {
            true => KeyValue {
                value: vec![],
                ..kv.clone()
            },
            false => kv.clone(),
        };
        let kvs = if request.count_only {
            vec![]
        } else {
            all.into_iter().take(limit).map(value).collect()
        };
        let more = !request.count_only && count as u64 > limit as u64;
        Ok(pb::RangeResponse {
            header: self.header(),
            kvs,
            more,
            count,
        })
    }

    pub(super) fn put(
        &mut self,
        request: &pb::PutRequest,
        revision: i64,
    ) -> Result<pb::PutResponse, Status> {
        if request.key.is_empty() {
            return Err(Status::invalid_argument("etcdserver: key is not provided"));
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Status::not_found("etcdserver: requested lease not found"));
        }
        let before = self.keys.get(&request.key).cloned();
        if before.is_none() && (request.ignore_value || request.ignore_lease) {
            return Err(Status::invalid_argument("etcdserver: key not found"));
        }
        let old = before.as_ref();
        let kv = KeyValue {
            key: request.key.clone(),
            create_revision: old.map_or(revision, |kv| kv.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |kv| kv.version + 1),
            value: old
                .filter(|_| request.ignore_value)
                .map_or(request.value.clone(), |kv| kv.value.clone()),
            lease: old
                .filter(|_| request.ignore_lease)
                .map_or(request.lease, |kv| kv.lease),
        };
        self.keys.insert(request.key.clone(), kv.clone());
        self.history.push(Event {
            r#type: EventType::Put.into(),
            kv: Some(kv),
            prev_kv: before.clone(),
        });
        Ok(pb::PutResponse {
            header: None,
            prev_kv: before.filter(|_| request.prev_kv),
        })
    }

    pub(super) fn delete(
        &mut self,
        request: &pb::DeleteRangeRequest,
        revision: i64,
    ) -> pb::DeleteRangeResponse {
        let deleted: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|k| StoreState::in_range(k, &request.key, &request.range_end))
            .cloned()
            .collect();
        let mut prev_kvs = Vec::new();
        for key in &deleted {
            let before = self.keys.remove(key);
            let kv = KeyValue {
                key: key.clone(),
                mod_revision: revision,
                ..KeyValue::default()
            };
            self.history.push(Event {
                r#type: EventType::Delete.into(),
                kv: Some(kv),
                prev_kv: before.clone(),
            });
            prev_kvs.extend(before.filter(|_| request.prev_kv));
        }
        pb::DeleteRangeResponse {
            header: None,
            deleted: deleted.len() as i64,
            prev_kvs,
        }
    }

    /// Drops the history up to and including a revision.
    pub(super) fn compact(&mut self, revision: i64) {
        self.compacted = self.compacted.max(revision);
        self.history.retain(|event| {
            event
                .kv
                .as_ref()
                .is_some_and(|kv| kv.mod_revision > revision)
        });
    }
}

pub(super) struct SharedState {
    pub(super) state: Mutex<StoreState>,
    pub(super) changed: ChangeEvent,
    pub(super) observer: Mutex<Option<Observer>>,
}

impl SharedState {
    pub(super) fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn change<T>(&self, change: impl FnOnce(&mut StoreState) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify(usize::MAX);
        result
    }
}
