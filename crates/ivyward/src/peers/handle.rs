//! A node's peers as the rest of the node sees them.

use ivyward_core::peers::{NodeInfo, PeerId, PeerState, Peers};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A message to the gossip task.
pub(super) enum PeerCommand {
    /// A record of the store names a node.
    RecordAdded(NodeInfo),
    /// The record of a node is gone.
    RecordRemoved(PeerId),
    /// The node ends: all peers are told, then `done` is dropped.
    Leave { done: async_channel::Sender<()> },
}

/// A node's peers as the rest of the node sees them.
#[derive(Clone)]
pub struct PeersHandle {
    pub(super) view: Arc<Mutex<Peers>>,
    pub(super) commands: async_channel::Sender<PeerCommand>,
    pub(super) address: SocketAddr,
}

pub(super) fn lock(view: &Mutex<Peers>) -> MutexGuard<'_, Peers> {
    view.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The name of a state in logs, metrics and the view's text. `indirect_only` stands for a peer that this node has not heard
/// itself.
pub(super) fn state_name(state: PeerState, indirect_only: bool) -> &'static str {
    match state {
        PeerState::Alive if indirect_only => "unheard",
        PeerState::Alive => "alive",
        PeerState::Suspected => "suspected",
        PeerState::Dead => "dead",
        PeerState::Left => "left",
    }
}

impl PeersHandle {
    /// The address that receives datagrams.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// Reads the view of the peers.
    pub fn with_view<T>(&self, read: impl FnOnce(&Peers) -> T) -> T {
        read(&lock(&self.view))
    }
    /// Tells all peers that this node leaves.
    pub(crate) async fn leave(&self) {
        let (done, wait) = async_channel::bounded(1);
        let leave = PeerCommand::Leave { done };
        if self.commands.send(leave).await.is_ok() {
            // Ends with an error when all were told.
            let _ = wait.recv().await;
        }
    }
    /// The view as text: this node, then a line for each other.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        self.with_view(|peers| {
            let me = peers.local_node();
            let mut out = String::new();
            // Writing to a String cannot fail.
            let _ = writeln!(
                out,
                "self id={:016x} start={} zone={} address={} count={} joined={}",
                me.id.0,
                me.incarnation,
                me.zone,
                me.address,
                peers.replica_count(),
                peers.has_complete_view()
            );
            for peer in peers.peers() {
                let (node, state) = (peer.node, state_name(peer.state, peer.indirect_only));
                let _ = writeln!(
                    out,
                    "peer id={:016x} start={} zone={} address={} state={state} certain={}",
                    node.id.0, node.incarnation, node.zone, node.address, peer.confirmed_stopped
                );
            }
            out
        })
    }
    pub(crate) fn metrics(&self, out: &mut String) {
        use std::fmt::Write;
        self.with_view(|peers| {
            let states = ["alive", "unheard", "suspected", "dead", "left"];
            for state in states {
                let count = peers
                    .peers()
                    .filter(|p| state_name(p.state, p.indirect_only) == state)
                    .count();
                let _ = writeln!(out, "ivyward_peers{{state=\"{state}\"}} {count}");
            }
            let _ = writeln!(out, "ivyward_nodes {}", peers.replica_count());
            let dropped = peers.dropped();
            let reasons = [
                ("stale", dropped.superseded),
                ("implausible", dropped.implausible),
                ("old", dropped.replayed),
                ("over", dropped.over_limit),
            ];
            for (reason, count) in reasons {
                let _ = writeln!(
                    out,
                    "ivyward_peer_words_dropped_total{{reason=\"{reason}\"}} {count}"
                );
            }
        });
    }
}
