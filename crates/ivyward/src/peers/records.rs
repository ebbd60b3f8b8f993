//! Nodes' records in the store: each writes its own under a lease, and reads those of the others.

use crate::node::Node;
use crate::peers::{PeerCommand, PeerStore};
use garde::Validate;
use ivyward_core::interface::Micros;
use ivyward_core::peers::{NodeInfo, PeerId};
use ivyward_etcd::{mvccpb, Client, EtcdError, Kept, Notice};
use ivyward_runtime::{before, metered, RuntimeExt, RuntimeRef};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Nodes' records stand below it where nothing else is said.
pub const NODES: &str = "ivyward/nodes/";
/// Longest record, in bytes.
const MOST_RECORD: usize = 1 << 10;
/// First and longest pause after the store failed; it doubles, half of it by chance.
const PAUSES: (Micros, Micros) = (100_000, 5_000_000);
/// A watch without a word for so long is asked, and after as long again left.
const SILENCE: Micros = 2_000_000;

/// A node's record, as JSON. Fields that are not known are passed over.
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

    fn of(card: &NodeInfo) -> NodeRecord {
        NodeRecord {
            version: 1,
            id: card.id.0,
            start: card.incarnation,
            zone: card.zone,
            address: card.address.to_string(),
        }
    }

    /// The node that a key names.
    fn named(prefix: &str, key: &[u8]) -> Result<PeerId, NodeRecordError> {
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
        let id = NodeRecord::named(prefix, key)?;
        let malformed = |e: String| NodeRecordError::Malformed(e);
        if value.len() > MOST_RECORD {
            return Err(malformed(format!(
                "{} bytes; {MOST_RECORD} at most",
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

/// Writes this node's record and follows those of the others, until the node ends.
pub(crate) fn begin(
    node: &Node,
    store: &PeerStore,
    me: NodeInfo,
    orders: async_channel::Sender<PeerCommand>,
) {
    let runtime = metered(&node.context.runtime, &node.context.metrics.peer_traffic);
    let client =
        |runtime: &RuntimeRef| Client::new(runtime, store.endpoints.clone(), store.etcd.clone());
    let keeper = client(&runtime);
    let (key, seconds) = (NodeRecord::key(&store.prefix, me.id), store.lease);
    // A record of these fields is always JSON.
    let value = serde_json::to_vec(&NodeRecord::of(&me)).unwrap_or_default();
    let (as_ref, ending) = (runtime.clone(), node.clone());
    runtime.run(async move {
        let mut troubled = false;
        let told = |kept: Kept| match kept {
            Kept::Written(lease) => {
                troubled = false;
                info!(key, lease = %format_args!("{lease:x}"), "this node's record is in the store");
            }
            Kept::Trouble(e) if !troubled => {
                troubled = true;
                warn!(error = %e, "this node's record cannot be kept; tried again, peers go on");
            }
            Kept::Trouble(_) | Kept::Changed => {}
            Kept::Deleted => warn!(key, "this node's record was deleted; it is left so"),
            Kept::Taken(_) => warn!(key, "another process holds the record of this node's name"),
        };
        let keep = keeper.keep(&as_ref, key.as_bytes(), value, seconds, told);
        futures_lite::future::or(keep, ending.closed()).await;
    });
    let mut follower = Follower {
        client: client(&runtime),
        runtime: runtime.clone(),
        prefix: store.prefix.clone(),
        orders,
        known: BTreeSet::new(),
        unread: BTreeSet::new(),
        pause: PAUSES.0,
    };
    let ending = node.clone();
    runtime.run(async move { futures_lite::future::or(follower.run(), ending.closed()).await });
}

struct Follower {
    client: Client,
    runtime: RuntimeRef,
    prefix: String,
    orders: async_channel::Sender<PeerCommand>,
    /// Whose records stand there. While the store cannot be reached they stand on.
    known: BTreeSet<PeerId>,
    /// Keys whose bad record was logged; cleared at this many.
    unread: BTreeSet<Vec<u8>>,
    pause: Micros,
}

impl Follower {
    async fn run(&mut self) {
        loop {
            let why = match self.once().await {
                Ok(why) => why,
                Err(e) => e.to_string(),
            };
            info!(why, "nodes' records are read again");
            self.client.leave_endpoint();
            let pause = (self.pause as f64 * (0.5 + 0.5 * self.runtime.unit())) as Micros;
            self.pause = (self.pause * 2).min(PAUSES.1);
            self.runtime.sleep(pause).await;
        }
    }

    /// Lists, then watches until something is missed.
    async fn once(&mut self) -> Result<String, EtcdError> {
        let prefix = self.prefix.clone().into_bytes();
        let list = self.client.list(&prefix).await?;
        let mut seen = BTreeSet::new();
        for kv in &list.kvs {
            seen.extend(NodeRecord::named(&self.prefix, &kv.key));
            self.put(kv).await;
        }
        let missing: Vec<PeerId> = self.known.difference(&seen).copied().collect();
        for id in missing {
            self.gone(id).await;
        }
        let mut watch = self.client.watch(&prefix, list.revision + 1).await?;
        let mut asked = false;
        loop {
            let until = self.runtime.now().saturating_add(SILENCE);
            let Some(notice) = before(&self.runtime, until, watch.next()).await else {
                if asked {
                    return Ok("the watch is silent".into());
                }
                asked = true;
                watch.ask_progress();
                continue;
            };
            let notice = notice?;
            (asked, self.pause) = (false, PAUSES.0);
            if watch.cluster().is_some_and(|c| c != list.cluster) {
                return Ok("another store answers than the one that was listed".into());
            }
            match notice {
                Notice::Progress(_) => {}
                Notice::Compacted(revision) => return Ok(format!("compacted up to {revision}")),
                Notice::Cancelled(reason) => return Ok(format!("cancelled: {reason}")),
                Notice::Events { events, .. } => {
                    for event in events {
                        let deleted = event.r#type() == mvccpb::event::EventType::Delete;
                        let Some(kv) = event.kv else { continue };
                        match deleted {
                            true => {
                                if let Ok(id) = NodeRecord::named(&self.prefix, &kv.key) {
                                    self.gone(id).await;
                                }
                            }
                            false => self.put(&kv).await,
                        }
                    }
                }
            }
        }
    }

    async fn put(&mut self, kv: &mvccpb::KeyValue) {
        match NodeRecord::read(&self.prefix, &kv.key, &kv.value) {
            Ok(card) => {
                self.known.insert(card.id);
                // Fails only when the peers' task is over.
                let _ = self.orders.send(PeerCommand::Record(card)).await;
            }
            Err(problem) => {
                if self.unread.len() >= 1_024 {
                    self.unread.clear();
                }
                if self.unread.insert(kv.key.clone()) {
                    let key = String::from_utf8_lossy(&kv.key);
                    warn!(%key, %problem, "a node's record is left out");
                }
            }
        }
    }

    async fn gone(&mut self, id: PeerId) {
        if self.known.remove(&id) {
            let _ = self.orders.send(PeerCommand::Gone(id)).await;
        }
    }
}

#[cfg(test)]
mod tests;
