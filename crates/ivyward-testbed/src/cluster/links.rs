//! Directed links between processes on loopback. Each link goes through its own relay, which injects the link's faults.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{
    Conn, DatagramSocket, Listener, Micros, RuntimeExt, RuntimeRef, MAX_DATAGRAM_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The limit on datagrams that are queued in one relay. Further datagrams are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;
/// The limit on connections through one relay. Further connections are closed at once.
const MAX_STREAMS: usize = 512;
/// The size of a relay's buffer for one direction of a stream, in bytes.
const CHUNK: usize = 16 << 10;

/// The endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A node, by its number in the cluster.
    Node(usize),
    /// The store.
    Store,
    /// An engine, by its id.
    Engine(u64),
}

/// The fault of a directed link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// Whether the link is cut. Datagrams are dropped; bytes of a stream wait, as they would for a TCP retransmission.
    pub cut: bool,
    /// The probability that a datagram is lost, from 0 to 1.
    pub lose: f64,
    /// The probability that a datagram is delivered twice, the second time up to a second later, from 0 to 1.
    pub repeat: f64,
    /// The additional delay of datagrams and bytes, in milliseconds.
    pub delay_ms: u64,
    /// The largest additional random delay of each datagram, in milliseconds. Datagrams may overtake one another.
    pub jitter_ms: u64,
}

#[derive(Default)]
struct State {
    faults: BTreeMap<(End, End), LinkFault>,
    everywhere: LinkFault,
    /// The number of datagrams and bytes that arrived at relays.
    traffic: (u64, u64),
    /// A counter for each link. Incrementing it closes the link's connections.
    breaks: BTreeMap<(End, End), u64>,
    /// The number of datagrams from a source that is not a node of this cluster.
    from_outside: u64,
    /// The number of datagrams that a node sent to its own relay, which are answers to their source address.
    to_self: u64,
    sources: BTreeMap<SocketAddr, usize>,
}

/// All links of a cluster. Clones are handles to the same links.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<State>>);

impl Links {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Sets the fault of a link.
    pub fn set(&self, from: End, to: End, fault: LinkFault) {
        self.lock().faults.insert((from, to), fault);
    }
    /// Sets the fault of all links between nodes that have no fault of their own.
    pub fn set_between_all_nodes(&self, fault: LinkFault) {
        self.lock().everywhere = fault;
    }
    /// Cuts both directions between two sets of nodes.
    pub fn set_partition(&self, some: &[usize], others: &[usize]) {
        for (a, b) in some
            .iter()
            .flat_map(|a| others.iter().map(move |b| (*a, *b)))
        {
            let cut = LinkFault {
                cut: true,
                ..LinkFault::default()
            };
            self.set(End::Node(a), End::Node(b), cut);
            self.set(End::Node(b), End::Node(a), cut);
        }
    }
    /// Removes the faults of all links.
    pub fn clear_faults(&self) {
        let mut state = self.lock();
        state.faults.clear();
        state.everywhere = LinkFault::default();
    }
    /// Closes the connections that were opened from `from` to `to`.
    pub fn break_streams(&self, from: End, to: End) {
        *self.lock().breaks.entry((from, to)).or_default() += 1;
    }
    fn fault(&self, from: End, to: End) -> LinkFault {
        let state = self.lock();
        let between_nodes = matches!((from, to), (End::Node(_), End::Node(_)));
        let default_fault = if between_nodes {
            state.everywhere
        } else {
            LinkFault::default()
        };
        state
            .faults
            .get(&(from, to))
            .copied()
            .unwrap_or(default_fault)
    }
    fn broken(&self, from: End, to: End) -> u64 {
        self.lock().breaks.get(&(from, to)).copied().unwrap_or(0)
    }
    /// Sets the address from which a node sends its datagrams.
    pub fn set_source(&self, at: SocketAddr, node: usize) {
        self.lock().sources.insert(at, node);
    }
    /// Returns the number of datagrams and bytes that nodes sent to each other.
    pub fn total_traffic(&self) -> (u64, u64) {
        self.lock().traffic
    }
    /// Returns the number of datagrams from a source outside the cluster, and of those that a node sent to its own relay.
    pub fn misdirected_datagrams(&self) -> (u64, u64) {
        let state = self.lock();
        (state.from_outside, state.to_self)
    }
}

/// Relays the datagrams that arrive at a node's announced address, until the runtime stops.
pub async fn relay_datagrams(
    runtime: RuntimeRef,
    links: Links,
    mut socket: Box<dyn DatagramSocket>,
    node: usize,
    to: SocketAddr,
) {
    let mut queued: BTreeMap<(Micros, u64), Vec<u8>> = BTreeMap::new();
    let (mut bytes, mut count) = ([0u8; MAX_DATAGRAM_BYTES + 1], 0);
    let me = End::Node(node);
    loop {
        let due = queued
            .first_key_value()
            .map_or(Micros::MAX, |(key, _)| key.0);
        let received = or(async { Some(socket.receive(&mut bytes).await) }, async {
            runtime.sleep_until(due).await;
            None
        });
        match received.await {
            None => {}
            Some(Err(_)) => runtime.sleep(1_000).await,
            Some(Ok((got, source))) => {
                let from = {
                    let mut state = links.lock();
                    match state.sources.get(&source).copied() {
                        Some(from) => {
                            state.to_self += u64::from(from == node);
                            End::Node(from)
                        }
                        None => {
                            state.from_outside += 1;
                            continue;
                        }
                    }
                };
                let fault = links.fault(from, me);
                let occurs = |share: f64| runtime.random_f64() < share;
                let lost = fault.cut || occurs(fault.lose) || queued.len() >= MAX_QUEUED_DATAGRAMS;
                {
                    let mut state = links.lock();
                    state.traffic.0 += 1;
                    state.traffic.1 += got as u64;
                }
                if lost {
                    continue;
                }
                let jitter = (runtime.random_f64() * fault.jitter_ms as f64 * 1e3) as Micros;
                let at = runtime.now() + fault.delay_ms * 1_000 + jitter;
                count += 1;
                queued.insert((at, count), bytes[..got].to_vec());
                if occurs(fault.repeat) {
                    count += 1;
                    let again = at + (runtime.random_f64() * 1e6) as Micros;
                    queued.insert((again, count), bytes[..got].to_vec());
                }
            }
        }
        let now = runtime.now();
        while let Some(entry) = queued.first_entry().filter(|e| e.key().0 <= now) {
            // A datagram that the system does not accept is lost, as on any network.
            let _ = socket.send(&entry.remove(), to);
        }
    }
}

/// Relays the connections that one end opens to another, until the runtime stops.
pub async fn relay_streams(
    runtime: RuntimeRef,
    links: Links,
    mut socket: Box<dyn Listener>,
    ends: (End, End),
    to: SocketAddr,
) {
    let open = Arc::new(());
    loop {
        let Ok((conn, _)) = socket.accept().await else {
            runtime.sleep(1_000).await;
            continue;
        };
        if Arc::strong_count(&open) > MAX_STREAMS {
            continue;
        }
        let (as_ref, links, guard) = (runtime.clone(), links.clone(), open.clone());
        runtime.run(async move {
            stream(&as_ref, &links, conn, ends, to).await;
            drop(guard);
        });
    }
}

async fn stream(
    runtime: &RuntimeRef,
    links: &Links,
    conn: Conn,
    (from, to): (End, End),
    address: SocketAddr,
) {
    let began = links.broken(from, to);
    let broken = async {
        while links.broken(from, to) == began {
            runtime.sleep(5_000).await;
        }
    };
    let both = async {
        wait_until_not_cut(runtime, links, from, to).await;
        let Ok(target) = runtime.connect(address).await else {
            return;
        };
        let (read, write) = futures_lite::io::split(conn);
        let (read_back, write_back) = futures_lite::io::split(target);
        // The end of one direction is forwarded; the other direction continues until its own end.
        let forward = one_way(runtime, links, (from, to), read, write_back);
        let back = one_way(runtime, links, (to, from), read_back, write);
        futures_lite::future::zip(forward, back).await;
    };
    or(both, broken).await;
}

/// Waits until a link is not cut.
async fn wait_until_not_cut(runtime: &RuntimeRef, links: &Links, from: End, to: End) {
    while links.fault(from, to).cut {
        runtime.sleep(5_000).await;
    }
}

async fn one_way(
    runtime: &RuntimeRef,
    links: &Links,
    (from, to): (End, End),
    mut read: impl futures_lite::AsyncRead + Unpin,
    mut write: impl futures_lite::AsyncWrite + Unpin,
) {
    let mut chunk = vec![0u8; CHUNK];
    loop {
        let got = match read.read(&mut chunk).await {
            Ok(got) if got > 0 => got,
            _ => break,
        };
        wait_until_not_cut(runtime, links, from, to).await;
        let delay = links.fault(from, to).delay_ms * 1_000;
        if delay > 0 {
            runtime.sleep(delay).await;
        }
        if write.write_all(&chunk[..got]).await.is_err() || write.flush().await.is_err() {
            break;
        }
    }
    let _ = write.close().await;
}
