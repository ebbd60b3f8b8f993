//! Nodes' records in the store: each writes its own under a lease, and reads those of the others.

use super::handle::PeerCommand;
use super::options::PeerStore;
use super::PeerHost;
use futures_lite::future::or;
use garde::Validate;
use ivyward_core::interface::Micros;
use ivyward_core::peers::{NodeInfo, PeerId};
use ivyward_etcd::{mvccpb, Client, EtcdError, LeaseEvent, Notice};
use ivyward_runtime::{before, metered, RuntimeExt, RuntimeRef};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Default prefix of the nodes' records.
pub const DEFAULT_NODE_PREFIX: &str = "ivyward/nodes/";
/// Longest record, in bytes.
const MAX_RECORD: usize = 1 << 10;
/// Most keys of bad records that are remembered as logged.
const MAX_LOGGED_RECORDS: usize = 1_024;
/// First and longest pause after the store failed; it doubles in between, and half of it is random.
const PAUSES: (Micros, Micros) = (100_000, 5_000_000);
/// A watch that was silent for this span is asked for its progress; silent for as long again, it is left.
const SILENCE: Micros = 2_000_000;

/// A node's record, as JSON. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate)]
pub struct NodeRecord {
    /// 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// The node's name as a number; in the key it stands as 16 hexadecimal digits.
    #[garde(skip)]
    pub id: u64,
    /// Its start: later ones are greater.
    #[garde(skip)]
    pub start: u64,
    /// Its zone.
    #[garde(skip)]
    #[serde(default)]
    pub zone: u8,
    /// IP:PORT at which its peers reach it.
    #[garde(length(min = 3, max = 64))]
    pub address: String,
}

/// Why a record is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeRecordError {
    /// The key is no node's.
    #[error("the key does not end in a node's number, 16 hexadecimal digits")]
    Key,
    /// Not JSON of a record.
    #[error("the record is malformed: {0}")]
    Malformed(String),
    /// It contradicts its key.
    #[error("the record is of {0:016x}, not of its key's node")]
    Contradiction(u64),
}

impl NodeRecord {
    /// The key under which it stands.
    pub fn key(prefix: &str, id: PeerId) -> String {
        format!("{prefix}{:016x}", id.0)
    }

    fn of(node: &NodeInfo) -> NodeRecord {
        NodeRecord {
            version: 1,
            id: node.id.0,
            start: node.incarnation,
            zone: node.zone,
            address: node.address.to_string(),
        }
    }

    /// The node that a key names.
    fn id_of_key(prefix: &str, key: &[u8]) -> Result<PeerId, NodeRecordError> {
        let name = key
            .strip_prefix(prefix.as_bytes())
            .and_then(|k| std::str::from_utf8(k).ok());
        let name = name.ok_or(NodeRecordError::Key)?;
        let id = u64::from_str_radix(name, 16).map_err(|_| NodeRecordError::Key)?;
        // Only one way of writing a number, so that two keys never name one node.
        match NodeRecord::key(prefix, PeerId(id)).as_bytes() == key {
            true => Ok(PeerId(id)),
            false => Err(NodeRecordError::Key),
        }
    }

    /// Reads one.
    ///
    /// # Errors
    /// [`NodeRecordError`].
    pub fn read(prefix: &str, key: &[u8], value: &[u8]) -> Result<NodeInfo, NodeRecordError> {
        let id = NodeRecord::id_of_key(prefix, key)?;
        let malformed = |e: String| NodeRecordError::Malformed(e);
        if value.len() > MAX_RECORD {
            return Err(malformed(format!(
                "{} bytes; {MAX_RECORD} at most",
                value.len()
            )));
        }
        let record: NodeRecord =
            serde_json::from_slice(value).map_err(|e| malformed(e.to_string()))?;
        record
            .validate()
            .map_err(|e| malformed(e.to_string().trim().replace('\n', "; ")))?;
        if record.id != id.0 {
            return Err(NodeRecordError::Contradiction(record.id));
        }
        let address: SocketAddr = record
            .address
            .parse()
            .map_err(|_| malformed(format!("{:?} is not IP:PORT", record.address)))?;
        if address.port() == 0 || address.ip().is_unspecified() {
            return Err(malformed(format!("nobody can be reached at {address}")));
        }
        Ok(NodeInfo {
            id,
            incarnation: record.start,
            zone: record.zone,
            address,
        })
    }
}

/// Writes this node's record and follows those of the others, until the node stops.
pub(super) fn start(
    host: PeerHost,
    store: &PeerStore,
    local: NodeInfo,
    commands: async_channel::Sender<PeerCommand>,
) {
    let context = &host.context;
    let runtime = metered(&context.runtime, &context.metrics.peer_traffic);
    keep_record(&host, &runtime, store, local);
    let mut watcher = RecordWatcher {
        client: client(&runtime, store),
        runtime: runtime.clone(),
        prefix: store.prefix.clone(),
        commands,
        known: BTreeSet::new(),
        logged_bad_records: BTreeSet::new(),
        pause: PAUSES.0,
    };
    runtime.run(async move { or(watcher.run(), host.context.stopped()).await });
}

fn client(runtime: &RuntimeRef, store: &PeerStore) -> Client {
    Client::new(runtime, store.endpoints.clone(), store.etcd.clone())
}

/// Keeps this node's record in the store, as a task of its own.
fn keep_record(host: &PeerHost, runtime: &RuntimeRef, store: &PeerStore, local: NodeInfo) {
    let keeper = client(runtime, store);
    let (key, lease) = (
        NodeRecord::key(&store.prefix, local.id),
        store.lease_seconds,
    );
    // A record of these fields is always JSON.
    let value = serde_json::to_vec(&NodeRecord::of(&local)).unwrap_or_default();
    let (keeper_runtime, host) = (runtime.clone(), host.clone());
    runtime.run(async move {
        let mut failing = false;
        let log = |event: LeaseEvent| match event {
            LeaseEvent::Written(lease) => {
                failing = false;
                info!(key, lease = %format_args!("{lease:x}"), "node record written");
            }
            LeaseEvent::Failed(error) if !failing => {
                failing = true;
                warn!(%error, "node record write failed, will retry; gossip continues");
            }
            LeaseEvent::Failed(_) | LeaseEvent::Changed => {}
            LeaseEvent::Deleted => warn!(
                key,
                "node record deleted by someone else, not written again"
            ),
            LeaseEvent::Taken(_) => warn!(key, "node record held by another process of this name"),
        };
        let keep = keeper.keep_registered(&keeper_runtime, key.as_bytes(), value, lease, log);
        or(keep, host.context.stopped()).await;
    });
}

/// Why the list of records is read again.
#[derive(Debug, thiserror::Error)]
enum WatchEnd {
    #[error(transparent)]
    Store(#[from] EtcdError),
    #[error("the watch is silent")]
    Silent,
    #[error("another store answers than the one that was listed")]
    OtherStore,
    #[error("compacted up to {0}")]
    Compacted(i64),
    #[error("cancelled: {0}")]
    Cancelled(String),
}

/// Follows the records of other nodes.
struct RecordWatcher {
    client: Client,
    runtime: RuntimeRef,
    prefix: String,
    commands: async_channel::Sender<PeerCommand>,
    /// Nodes that have a record. While the store cannot be reached they stay known.
    known: BTreeSet<PeerId>,
    /// Keys whose bad record was logged; cleared at [`MAX_LOGGED_RECORDS`].
    logged_bad_records: BTreeSet<Vec<u8>>,
    pause: Micros,
}

impl RecordWatcher {
    async fn run(&mut self) {
        loop {
            let why = match self.list_and_watch().await {
                Ok(never) => match never {},
                Err(why) => why,
            };
            info!(%why, "node records watch interrupted, listing again");
            self.client.fail_over();
            let pause = (self.pause as f64 * (0.5 + 0.5 * self.runtime.unit())) as Micros;
            self.pause = (self.pause * 2).min(PAUSES.1);
            self.runtime.sleep(pause).await;
        }
    }

    /// Lists, then watches until something may have been missed.
    async fn list_and_watch(&mut self) -> Result<Infallible, WatchEnd> {
        let prefix = self.prefix.clone().into_bytes();
        let list = self.client.list(&prefix).await?;
        self.apply_list(&list.kvs).await;
        let mut watch = self.client.watch(&prefix, list.revision + 1).await?;
        let mut progress_requested = false;
        loop {
            let until = self.runtime.now().saturating_add(SILENCE);
            let Some(notice) = before(&self.runtime, until, watch.next()).await else {
                if progress_requested {
                    return Err(WatchEnd::Silent);
                }
                progress_requested = true;
                watch.request_progress();
                continue;
            };
            let notice = notice?;
            (progress_requested, self.pause) = (false, PAUSES.0);
            if watch.cluster().is_some_and(|c| c != list.cluster) {
                return Err(WatchEnd::OtherStore);
            }
            match notice {
                Notice::Progress(_) => {}
                Notice::Compacted(revision) => return Err(WatchEnd::Compacted(revision)),
                Notice::Cancelled(reason) => return Err(WatchEnd::Cancelled(reason)),
                Notice::Events { events, .. } => {
                    for event in events {
                        self.apply_event(event).await;
                    }
                }
            }
        }
    }

    async fn apply_list(&mut self, records: &[mvccpb::KeyValue]) {
        let mut listed = BTreeSet::new();
        for record in records {
            listed.extend(NodeRecord::id_of_key(&self.prefix, &record.key));
            self.add(record).await;
        }
        let missing: Vec<PeerId> = self.known.difference(&listed).copied().collect();
        for id in missing {
            self.remove(id).await;
        }
    }

    async fn apply_event(&mut self, event: mvccpb::Event) {
        let deleted = event.r#type() == mvccpb::event::EventType::Delete;
        let Some(record) = event.kv else { return };
        if !deleted {
            self.add(&record).await;
        } else if let Ok(id) = NodeRecord::id_of_key(&self.prefix, &record.key) {
            self.remove(id).await;
        }
    }

    async fn add(&mut self, record: &mvccpb::KeyValue) {
        match NodeRecord::read(&self.prefix, &record.key, &record.value) {
            Ok(node) => {
                self.known.insert(node.id);
                // Fails only when the gossip task is over.
                let _ = self.commands.send(PeerCommand::RecordAdded(node)).await;
            }
            Err(problem) => {
                if self.logged_bad_records.len() >= MAX_LOGGED_RECORDS {
                    self.logged_bad_records.clear();
                }
                if self.logged_bad_records.insert(record.key.clone()) {
                    let key = String::from_utf8_lossy(&record.key);
                    warn!(%key, %problem, "node record ignored");
                }
            }
        }
    }

    async fn remove(&mut self, id: PeerId) {
        if self.known.remove(&id) {
            let _ = self.commands.send(PeerCommand::RecordRemoved(id)).await;
        }
    }
}

#[cfg(test)]
mod tests;
