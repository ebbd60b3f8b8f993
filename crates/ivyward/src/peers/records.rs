//! Node records in etcd. Each node writes its own record under a lease and watches those of the others.

use super::handle::PeerCommand;
use super::options::PeerStore;
use super::PeerHost;
use futures_lite::future::or;
use garde::Validate;
use ivyward_core::interface::Micros;
use ivyward_core::peers::{NodeInfo, PeerId};
use ivyward_etcd::{mvccpb, Client, EtcdError, LeaseEvent, Notification};
use ivyward_runtime::{metered, timeout_at, RuntimeExt, RuntimeRef};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Default prefix of the keys of node records.
pub const DEFAULT_NODE_PREFIX: &str = "ivyward/nodes/";
/// Maximum length of a record in bytes. Longer records are ignored.
const MAX_RECORD_BYTES: usize = 1 << 10;
/// Maximum number of keys of invalid records that are remembered as logged.
const MAX_LOGGED_RECORDS: usize = 1_024;
/// Initial and maximum pause after a failure of the store, in microseconds. The pause doubles with each further failure; each
/// time, the wait is a random time between half the pause and the whole pause.
const BACKOFF: (Micros, Micros) = (100_000, 5_000_000);
/// A progress notification is requested on a watch that received nothing for this long, in microseconds. If nothing arrives
/// for as long again, the watch has failed.
const SILENCE_TIMEOUT: Micros = 2_000_000;

/// The record of a node, in JSON. Unknown fields are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Validate)]
pub struct NodeRecord {
    /// Version of the record format. Must be 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Id of the node, a hash of its name. The key ends in the same id as 16 hexadecimal digits.
    #[garde(skip)]
    pub id: u64,
    /// Incarnation of the node: its start time in microseconds since the Unix epoch. A restart gets a greater one.
    #[garde(skip)]
    pub start: u64,
    /// Zone of the node. 0 by default.
    #[garde(skip)]
    #[serde(default)]
    pub zone: u8,
    /// Address at which peers reach the node, as IP:PORT.
    #[garde(length(min = 3, max = 64))]
    pub address: String,
}

/// Why a node record is ignored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeRecordError {
    /// The key does not end in the id of a node.
    #[error("the key does not end in the id of a node, 16 hexadecimal digits")]
    Key,
    /// The value is not a valid record in JSON, or its address cannot be reached.
    #[error("the record is malformed: {0}")]
    Malformed(String),
    /// The id in the record differs from that of its key.
    #[error("the record has the id {0:016x}, which differs from the id in its key")]
    IdMismatch(u64),
}

impl NodeRecord {
    /// Returns the key of a node's record.
    pub fn key(prefix: &str, id: PeerId) -> String {
        format!("{prefix}{:016x}", id.0)
    }

    fn new(node: &NodeInfo) -> NodeRecord {
        NodeRecord {
            version: 1,
            id: node.id.0,
            start: node.incarnation,
            zone: node.zone,
            address: node.address.to_string(),
        }
    }

    /// Returns the id of the node to which a key belongs.
    fn id_of_key(prefix: &str, key: &[u8]) -> Result<PeerId, NodeRecordError> {
        let name = key
            .strip_prefix(prefix.as_bytes())
            .and_then(|k| std::str::from_utf8(k).ok());
        let name = name.ok_or(NodeRecordError::Key)?;
        let id = u64::from_str_radix(name, 16).map_err(|_| NodeRecordError::Key)?;
        // Only 16 lowercase digits are accepted, so that no two keys stand for the same node.
        match NodeRecord::key(prefix, PeerId(id)).as_bytes() == key {
            true => Ok(PeerId(id)),
            false => Err(NodeRecordError::Key),
        }
    }

    /// Decodes and validates the record under a key.
    ///
    /// # Errors
    /// Returns [`NodeRecordError`] if the key or the record is invalid.
    pub fn read(prefix: &str, key: &[u8], value: &[u8]) -> Result<NodeInfo, NodeRecordError> {
        let id = NodeRecord::id_of_key(prefix, key)?;
        let malformed = |e: String| NodeRecordError::Malformed(e);
        if value.len() > MAX_RECORD_BYTES {
            return Err(malformed(format!(
                "{} bytes; {MAX_RECORD_BYTES} at most",
                value.len()
            )));
        }
        let record: NodeRecord =
            serde_json::from_slice(value).map_err(|e| malformed(e.to_string()))?;
        record
            .validate()
            .map_err(|e| malformed(e.to_string().trim().replace('\n', "; ")))?;
        if record.id != id.0 {
            return Err(NodeRecordError::IdMismatch(record.id));
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

/// Keeps this node's record in the store and watches the records of other nodes, until the node stops.
pub(super) fn start(
    host: PeerHost,
    store: &PeerStore,
    local: NodeInfo,
    commands: async_channel::Sender<PeerCommand>,
) {
    let context = &host.context;
    let runtime = metered(&context.runtime, &context.metrics.peer_traffic);
    keep_registered(&host, &runtime, store, local);
    let mut watcher = RecordWatcher {
        client: client(&runtime, store),
        runtime: runtime.clone(),
        prefix: store.prefix.clone(),
        commands,
        known: BTreeSet::new(),
        logged_invalid_records: BTreeSet::new(),
        pause: BACKOFF.0,
    };
    runtime.run(async move { or(watcher.run(), host.context.stopped()).await });
}

fn client(runtime: &RuntimeRef, store: &PeerStore) -> Client {
    Client::new(runtime, store.endpoints.clone(), store.etcd.clone())
}

/// Starts a task that keeps this node's record in the store.
fn keep_registered(host: &PeerHost, runtime: &RuntimeRef, store: &PeerStore, local: NodeInfo) {
    let client = client(runtime, store);
    let (key, lease) = (
        NodeRecord::key(&store.prefix, local.id),
        store.lease_seconds,
    );
    // Serialization of these field types cannot fail.
    let value = serde_json::to_vec(&NodeRecord::new(&local)).unwrap_or_default();
    let (task_runtime, host) = (runtime.clone(), host.clone());
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
        let registration = client.keep_registered(&task_runtime, key.as_bytes(), value, lease, log);
        or(registration, host.context.stopped()).await;
    });
}

/// Why the records have to be listed again.
#[derive(Debug, thiserror::Error)]
enum WatchEnd {
    #[error(transparent)]
    Store(#[from] EtcdError),
    #[error("the store did not answer a progress request in time")]
    Silent,
    #[error("the watch was answered by another cluster than the list")]
    OtherCluster,
    #[error("the watched revision was compacted; the oldest available one is {0}")]
    Compacted(i64),
    #[error("the store cancelled the watch: {0}")]
    Cancelled(String),
}

/// Watches the records of other nodes and passes them to the gossip task.
struct RecordWatcher {
    client: Client,
    runtime: RuntimeRef,
    prefix: String,
    commands: async_channel::Sender<PeerCommand>,
    /// Nodes that have a record. Unchanged while the store cannot be reached.
    known: BTreeSet<PeerId>,
    /// Keys whose invalid record was logged; cleared at [`MAX_LOGGED_RECORDS`].
    logged_invalid_records: BTreeSet<Vec<u8>>,
    /// Pause after the next failure, before jitter.
    pause: Micros,
}

impl RecordWatcher {
    async fn run(&mut self) {
        loop {
            let reason = match self.list_and_watch().await {
                Ok(never) => match never {},
                Err(reason) => reason,
            };
            info!(why = %reason, "node records watch interrupted, listing again");
            self.client.fail_over();
            let pause = (self.pause as f64 * (0.5 + 0.5 * self.runtime.random_f64())) as Micros;
            self.pause = (self.pause * 2).min(BACKOFF.1);
            self.runtime.sleep(pause).await;
        }
    }

    /// Lists the records, then watches them until changes may have been missed.
    async fn list_and_watch(&mut self) -> Result<Infallible, WatchEnd> {
        let prefix = self.prefix.clone().into_bytes();
        let list = self.client.list(&prefix).await?;
        self.apply_list(&list.kvs).await;
        let mut watch = self.client.watch(&prefix, list.revision + 1).await?;
        let mut progress_requested = false;
        loop {
            let until = self.runtime.now().saturating_add(SILENCE_TIMEOUT);
            let Some(notification) = timeout_at(&self.runtime, until, watch.next()).await else {
                if progress_requested {
                    return Err(WatchEnd::Silent);
                }
                progress_requested = true;
                watch.request_progress();
                continue;
            };
            let notification = notification?;
            (progress_requested, self.pause) = (false, BACKOFF.0);
            if watch.cluster().is_some_and(|c| c != list.cluster) {
                return Err(WatchEnd::OtherCluster);
            }
            match notification {
                Notification::Progress(_) => {}
                Notification::Compacted(revision) => return Err(WatchEnd::Compacted(revision)),
                Notification::Cancelled(reason) => return Err(WatchEnd::Cancelled(reason)),
                Notification::Events { events, .. } => {
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
                // Fails only after the gossip task has ended.
                let _ = self.commands.send(PeerCommand::RecordAdded(node)).await;
            }
            Err(error) => {
                if self.logged_invalid_records.len() >= MAX_LOGGED_RECORDS {
                    self.logged_invalid_records.clear();
                }
                if self.logged_invalid_records.insert(record.key.clone()) {
                    let key = String::from_utf8_lossy(&record.key);
                    warn!(%key, problem = %error, "node record ignored");
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
