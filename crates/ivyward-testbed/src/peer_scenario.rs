//! Peer discovery in simulated clusters: each node announces the address of a forwarder in place of its own, and the nodes'
//! views and replica counts are checked during the run.

use ivyward::core::peers::PeerState;
use ivyward::{Node, PeerOptions, PeersHandle};
use ivyward_runtime::{DatagramSocket, RuntimeExt, RuntimeRef, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Announced and real addresses of the nodes. A forwarder relays datagrams from each announced address to the real one.
#[derive(Default)]
pub struct PeerAddresses {
    announced: Vec<SocketAddr>,
    real: Vec<SocketAddr>,
    /// Number of datagrams that a forwarder received from its own node. Such a datagram is an answer that was sent to the
    /// source address of a datagram instead of the announced address of its sender.
    pub misdirected: Arc<AtomicU64>,
}

impl PeerAddresses {
    /// Starts a forwarder for each node, on a simulated host of their own.
    ///
    /// # Errors
    /// Returns an error if a port cannot be bound.
    pub fn open(runtime: &RuntimeRef, nodes: usize) -> std::io::Result<PeerAddresses> {
        let mut addresses = PeerAddresses::default();
        for node in 0..nodes {
            let forwarder = runtime.bind_datagram(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let real = SocketAddr::from(([127, 0, 0, 1], 10_000 + node as u16));
            addresses.announced.push(forwarder.address());
            addresses.real.push(real);
            let (forwarder_runtime, misdirected) = (runtime.clone(), addresses.misdirected.clone());
            runtime.run(
                async move { forward(&forwarder_runtime, forwarder, real, &misdirected).await },
            );
        }
        Ok(addresses)
    }

    /// Starts peer discovery on node `i`, with the announced addresses of all other nodes as seeds.
    ///
    /// # Errors
    /// Returns the error text of [`Node::start_peers`].
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
    mut forwarder: Box<dyn DatagramSocket>,
    to: SocketAddr,
    misdirected: &AtomicU64,
) {
    let mut bytes = [0u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        match forwarder.receive(&mut bytes).await {
            Ok((_, from)) if from == to => drop(misdirected.fetch_add(1, Ordering::SeqCst)),
            Ok((got, _)) => {
                let _ = forwarder.send(&bytes[..got], to);
            }
            Err(_) => runtime.sleep(1_000).await,
        }
    }
}

/// Returns a text for each node that does not list all others as alive or does not count all nodes as replicas.
pub fn disagreements(nodes: &[Option<Node>]) -> Vec<String> {
    let mut findings = Vec::new();
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
            findings.push(format!(
                "node {i} lists {alive} of {all} nodes as alive and counts {count} replicas"
            ));
        }
    }
    findings
}

/// Returns a text for the first node whose replica count is below the number of running nodes, each of which may
/// be sending to engines.
pub fn miscounts(nodes: &[Option<Node>]) -> Option<String> {
    let running = nodes.iter().flatten().count() as u32;
    let counts = nodes
        .iter()
        .enumerate()
        .filter_map(|(i, node)| Some((i, node.as_ref()?.peers_handle()?)));
    let mut low = counts
        .map(|(i, peers)| (i, peers.with_view(|p| p.replica_count())))
        .filter(|c| c.1 < running);
    low.next().map(|(i, count)| {
        format!("node {i} counts {count} of {running} running nodes, each of which may be sending")
    })
}
