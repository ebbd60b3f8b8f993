//! Access to the view of the peers for the rest of the node.

use ivyward_core::peers::{NodeInfo, PeerId, PeerState, Peers};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A command to the gossip task.
pub(super) enum PeerCommand {
    /// The store has a record of this node.
    RecordAdded(NodeInfo),
    /// The record of this node was deleted from the store.
    RecordRemoved(PeerId),
    /// This node stops. The gossip task notifies all peers, then drops `done`.
    Leave { done: async_channel::Sender<()> },
}

/// Handle to a node's peers: its view of them, and their metrics.
#[derive(Clone)]
pub struct PeersHandle {
    pub(super) view: Arc<Mutex<Peers>>,
    pub(super) commands: async_channel::Sender<PeerCommand>,
    pub(super) address: SocketAddr,
}

pub(super) fn lock(view: &Mutex<Peers>) -> MutexGuard<'_, Peers> {
    view.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the name of a state in logs, metrics and the text of the view. `indirect_only` is true for a peer from which this
/// node itself has received nothing.
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
    /// Returns the address that receives datagrams, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// Calls `read` with the view of the peers. The gossip task waits meanwhile, so `read` has to be short.
    pub fn with_view<T>(&self, read: impl FnOnce(&Peers) -> T) -> T {
        read(&lock(&self.view))
    }
    /// Notifies all peers that this node leaves. Returns once the notifications are sent.
    pub(crate) async fn leave(&self) {
        let (done, wait) = async_channel::bounded(1);
        let leave = PeerCommand::Leave { done };
        if self.commands.send(leave).await.is_ok() {
            // The receive fails when the gossip task drops `done`, after it has notified all peers.
            let _ = wait.recv().await;
        }
    }
    /// Formats the view as text: a line for this node, then a line for each peer.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        self.with_view(|peers| {
            let local = peers.local_node();
            let mut out = String::new();
            // Writing to a String cannot fail.
            let _ = writeln!(
                out,
                "self id={:016x} start={} zone={} address={} count={} joined={}",
                local.id.0,
                local.incarnation,
                local.zone,
                local.address,
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
    /// Appends the metrics of the peers in the Prometheus text format.
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
