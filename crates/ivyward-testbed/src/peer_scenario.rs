//! Peers in whole scenes of the virtual world: each node announces the address of a forwarder, and views and counts are
//! checked as the scene goes on.

use ivyward::core::peers::PeerState;
use ivyward::{Node, PeerOptions, PeersHandle};
use ivyward_runtime::{DatagramSocket, RuntimeExt, RuntimeRef, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Where nodes announce themselves and where they really are.
#[derive(Default)]
pub struct PeerAddresses {
    announced: Vec<SocketAddr>,
    real: Vec<SocketAddr>,
    /// Datagrams that a node sent to its own forwarder: answers that went to where a datagram seemed to come from.
    pub misdirected: Arc<AtomicU64>,
}

impl PeerAddresses {
    /// Opens a forwarder for each node, in a world of their own.
    ///
    /// # Errors
    /// When a port cannot be taken.
    pub fn open(runtime: &RuntimeRef, nodes: usize) -> std::io::Result<PeerAddresses> {
        let mut addresses = PeerAddresses::default();
        for node in 0..nodes {
            let door = runtime.bind_datagram(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let real = SocketAddr::from(([127, 0, 0, 1], 10_000 + node as u16));
            addresses.announced.push(door.address());
            addresses.real.push(real);
            let (as_ref, misdirected) = (runtime.clone(), addresses.misdirected.clone());
            runtime.run(async move { forward(&as_ref, door, real, &misdirected).await });
        }
        Ok(addresses)
    }

    /// A node begins to know the others.
    ///
    /// # Errors
    /// What the node says.
    pub fn start_peers(&self, node: &Node, i: usize) -> Result<PeersHandle, String> {
        let peers = self
            .announced
            .iter()
            .copied()
            .filter(|a| *a != self.announced[i])
            .collect();
        let options = PeerOptions {
            announce: Some(self.announced[i]),
            seed_peers: peers,
            name: Some(i.to_string()),
            ..PeerOptions::new(self.real[i])
        };
        node.start_peers(options).map_err(|e| e.to_string())
    }
}

async fn forward(
    runtime: &RuntimeRef,
    mut door: Box<dyn DatagramSocket>,
    to: SocketAddr,
    misdirected: &AtomicU64,
) {
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        match door.receive(&mut bytes).await {
            Ok((_, from)) if from == to => drop(misdirected.fetch_add(1, Ordering::SeqCst)),
            Ok((got, _)) => {
                let _ = door.send(&bytes[..got], to);
            }
            Err(_) => runtime.sleep(1_000).await,
        }
    }
}

/// What is wrong with the views of these nodes: each is to know all others alive, and to count them.
pub fn disagreements(nodes: &[Option<Node>]) -> Vec<String> {
    let mut wrong = Vec::new();
    let all = nodes.len() as u32;
    for (i, node) in nodes.iter().enumerate() {
        let Some(peers) = node.as_ref().and_then(Node::peers_handle) else {
            continue;
        };
        let (alive, count) = peers.with_view(|p| {
            let alive = p
                .peers()
                .filter(|peer| peer.state == PeerState::Alive)
                .count() as u32;
            (alive + 1, p.replica_count())
        });
        if (alive, count) != (all, all) {
            wrong.push(format!(
                "node {i} takes {alive} of {all} nodes for alive and counts {count}"
            ));
        }
    }
    wrong
}

/// Counts below the number of nodes that are there, each of which may be sending.
pub fn miscounts(nodes: &[Option<Node>]) -> Option<String> {
    let there = nodes.iter().flatten().count() as u32;
    let counts = nodes
        .iter()
        .enumerate()
        .filter_map(|(i, node)| Some((i, node.as_ref()?.peers_handle()?)));
    let mut low = counts
        .map(|(i, peers)| (i, peers.with_view(|p| p.replica_count())))
        .filter(|c| c.1 < there);
    low.next()
        .map(|(i, count)| format!("node {i} counts {count} of {there} nodes that may be sending"))
}
