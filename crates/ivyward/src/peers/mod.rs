//! Peer discovery: a node learns of other nodes by gossip over UDP and by node records in etcd.
//!
//! The protocol itself (probes, failure detection, the count of nodes) is in [`ivyward_core::peers`]; this module does its I/O.
//! Disabled unless [`crate::Node::peers`] is called.
//!
//! - `options`: the options and their validation.
//! - `gossip`: the task that sends and receives datagrams; `codec`: the datagram format.
//! - `records`: node records in etcd.
//! - `handle`: access to the view of the peers for the rest of the node.

mod codec;
mod gossip;
mod handle;
mod options;
mod records;

pub use codec::{ContentError, DatagramCodec, DecodeError};
pub use handle::PeersHandle;
pub use options::{PeerOptions, PeerStore};
pub use records::{NodeRecord, NodeRecordError, DEFAULT_NODE_PREFIX};

use crate::context::NodeContext;
use crate::settings::SettingsError;
use gossip::Gossip;
use ivyward_core::peers::{NodeInfo, PeerId, Peers};
use ivyward_runtime::{metered, RuntimeExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tracing::info;
use xxhash_rust::xxh3::xxh3_64;

/// Capacity of the gossip task's command queue. Senders wait while it is full.
const COMMAND_CAPACITY: usize = 64;

/// Why peer discovery could not be started.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// An option is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The UDP socket could not be bound.
    #[error("--peer-listen {address}: {error}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
}

/// What peer discovery needs from its node.
#[derive(Clone)]
pub(crate) struct PeerHost {
    pub(crate) context: Arc<NodeContext>,
    /// Reports to the router how many nodes may be sending requests to the engines.
    pub(crate) report_replica_count: Arc<dyn Fn(u32) + Send + Sync>,
}

/// Starts peer discovery. Until the node has a complete view of its peers, it counts at least as many nodes as the settings
/// state.
pub(crate) fn start(host: PeerHost, options: PeerOptions) -> Result<PeersHandle, PeerError> {
    options.check()?;
    let context = &host.context;
    let runtime = metered(&context.runtime, &context.metrics.peer_traffic);
    let listen = options.listen;
    let socket = runtime
        .bind_datagram(listen)
        .map_err(|error| PeerError::Listen {
            address: listen,
            error,
        })?;
    let address = socket.address();
    let announce = options.announce.unwrap_or(address);
    let name = options.name.unwrap_or_else(|| announce.to_string());
    let router = &context.settings.router;
    let local = NodeInfo {
        id: PeerId(xxh3_64(name.as_bytes())),
        incarnation: runtime.unix_micros(),
        zone: router.zone,
        address: announce,
    };
    let now = runtime.now();
    let mut peers = Peers::new(
        now,
        local,
        options.seed_peers,
        options.gossip,
        runtime.random(),
    );
    peers.set_expected_replicas(router.replica_count);
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
        datagram_codec: DatagramCodec::new(options.key.as_deref()),
        commands: receiver,
        replica_count: router.replica_count,
        host: host.clone(),
    };
    runtime.run(gossip.run());
    if let Some(store) = options.store {
        records::start(host, &store, local, commands);
    }
    Ok(handle)
}
