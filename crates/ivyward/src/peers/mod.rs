//! A node's peers: other nodes, known by gossip and by records in the store.
//!
//! Whom to probe, whom to believe and how many there are is decided by [`ivyward_core::peers`]. Off unless the node's owner
//! starts it with [`crate::Node::peers`].
//!
//! - `options`: what the owner says.
//! - `gossip`: the task that sends and receives datagrams; `codec`: their bytes.
//! - `records`: records of nodes in the store.
//! - `handle`: the view that the rest of the node reads.

mod codec;
mod gossip;
mod handle;
mod options;
mod records;

pub use codec::{ContentError, DecodeError, Seal};
pub use handle::PeersHandle;
pub use options::{PeerOptions, PeerStore};
pub use records::{NodeRecord, NodeRecordError, NODES};

use crate::context::NodeContext;
use crate::settings::SettingsError;
use gossip::Gossip;
use ivyward_core::peers::{NodeInfo, PeerId, Peers};
use ivyward_runtime::{metered, RuntimeExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

/// Commands that wait for the gossip task; whoever sends one more waits.
const COMMAND_CAPACITY: usize = 64;

/// Why a node does not get to know others.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// An option cannot hold.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The port cannot be taken.
    #[error("--peer-listen {address}: {error}")]
    Listen {
        /// The address asked for.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
}

/// What the peers need of their node.
#[derive(Clone)]
pub(crate) struct PeerHost {
    pub(crate) context: Arc<NodeContext>,
    /// Tells the router how many nodes may be sending.
    pub(crate) report_replica_count: Arc<dyn Fn(u32) + Send + Sync>,
}

/// Starts to know others. The settings' replica count holds as the least one until a complete view was seen.
pub(crate) fn start(host: PeerHost, options: PeerOptions) -> Result<PeersHandle, PeerError> {
    options.check()?;
    let context = &host.context;
    let runtime = metered(&context.runtime, &context.metrics.peer_traffic);
    let listen = options.listen;
    let socket = runtime
        .datagrams(listen)
        .map_err(|error| PeerError::Listen {
            address: listen,
            error,
        })?;
    let address = socket.address();
    let announce = options.announce.unwrap_or(address);
    let name = options.name.unwrap_or_else(|| announce.to_string());
    let rules = &context.settings.rules;
    let local = NodeInfo {
        id: PeerId(xxh3_64(name.as_bytes())),
        incarnation: runtime.unix_micros(),
        zone: rules.zone,
        address: announce,
    };
    let now = runtime.now();
    let mut peers = Peers::new(now, local, options.peers, options.spans, runtime.random());
    peers.set_expected_replicas(rules.replica_count);
    let view = Arc::new(Mutex::new(peers));
    let (commands, receiver) = async_channel::bounded(COMMAND_CAPACITY);
    let handle = PeersHandle {
        view: view.clone(),
        commands: commands.clone(),
        address,
    };
    info!(id = %format_args!("{:016x}", local.id.0), address = %announce, name, "gossip listener started");
    let gossip = Gossip {
        view,
        socket,
        seal: Seal::new(options.key.as_deref()),
        commands: receiver,
        replica_count: rules.replica_count,
        host: host.clone(),
    };
    runtime.run(gossip.run());
    if let Some(store) = options.store {
        records::start(host, &store, local, commands);
    }
    Ok(handle)
}
