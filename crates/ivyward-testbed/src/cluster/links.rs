//! Directed links between processes on loopback: each through a relay of its own, with faults of its own.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{
    Conn, DatagramSocket, Listener, Micros, RuntimeExt, RuntimeRef, MAX_DATAGRAM_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Datagrams that wait in one relay; one more is lost.
const MOST_WAITING: usize = 4_096;
/// Connections through one relay; one more is closed at once.
const MOST_STREAMS: usize = 512;
/// Bytes of a stream that its relay takes in before they went on.
const CHUNK: usize = 16 << 10;

/// Who stands at the end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// A node, as the rig counts them.
    Node(usize),
    /// The store.
    Store,
    /// An engine, by its id.
    Engine(u64),
}

/// What a directed link does to what crosses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFault {
    /// Nothing comes through. Bytes of a stream wait, as they would for TCP's next try.
    pub cut: bool,
    /// The part of datagrams that are lost.
    pub lose: f64,
    /// The part of datagrams that come twice, the second time up to a second later.
    pub repeat: f64,
    /// Milliseconds that everything takes longer.
    pub delay_ms: u64,
    /// Up to so many milliseconds more, by lot for each datagram: they overtake one another.
    pub jitter_ms: u64,
}

#[derive(Default)]
struct State {
    faults: BTreeMap<(End, End), LinkFault>,
    everywhere: LinkFault,
    /// Datagrams and bytes that came to relays.
    came: (u64, u64),
    /// Connections of a link are broken at each new number.
    breaks: BTreeMap<(End, End), u64>,
    /// Datagrams from nobody who was started here.
    foreign: u64,
    /// Datagrams that a node sent to its own relay: answers that went to a source.
    to_self: u64,
    sources: BTreeMap<SocketAddr, usize>,
}

/// All links. Clones are handles to the same ones.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<State>>);

impl Links {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Sets what a link does from now on.
    pub fn set(&self, from: End, to: End, fault: LinkFault) {
        self.lock().faults.insert((from, to), fault);
    }
    /// Sets what all links between nodes do that have no fault of their own.
    pub fn set_between_all_nodes(&self, fault: LinkFault) {
        self.lock().everywhere = fault;
    }
    /// Cuts or mends both directions between two sets of nodes.
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
    /// All links are as they should be again.
    pub fn clear_faults(&self) {
        let mut state = self.lock();
        state.faults.clear();
        state.everywhere = LinkFault::default();
    }
    /// Breaks the connections that go over a link, in whichever direction they were opened.
    pub fn break_streams(&self, from: End, to: End) {
        *self.lock().breaks.entry((from, to)).or_default() += 1;
    }
    fn fault(&self, from: End, to: End) -> LinkFault {
        let state = self.lock();
        let between_nodes = matches!((from, to), (End::Node(_), End::Node(_)));
        let usual = if between_nodes {
            state.everywhere
        } else {
            LinkFault::default()
        };
        state.faults.get(&(from, to)).copied().unwrap_or(usual)
    }
    fn broken(&self, from: End, to: End) -> u64 {
        self.lock().breaks.get(&(from, to)).copied().unwrap_or(0)
    }
    /// From where a node's datagrams come.
    pub fn set_source(&self, at: SocketAddr, node: usize) {
        self.lock().sources.insert(at, node);
    }
    /// Datagrams and bytes that all nodes sent each other.
    pub fn total_traffic(&self) -> (u64, u64) {
        self.lock().came
    }
    /// Datagrams that nobody of the rig sent, and those that a node sent to where they came from.
    pub fn misdirected_datagrams(&self) -> (u64, u64) {
        let state = self.lock();
        (state.foreign, state.to_self)
    }
}

/// Passes on the datagrams for one node that come to its announced address, until the world ends.
pub async fn relay_datagrams(
    runtime: RuntimeRef,
    links: Links,
    mut door: Box<dyn DatagramSocket>,
    node: usize,
    to: SocketAddr,
) {
    let mut waiting: BTreeMap<(Micros, u64), Vec<u8>> = BTreeMap::new();
    let (mut bytes, mut count) = ([0u8; MAX_DATAGRAM_BYTES + 1], 0);
    let me = End::Node(node);
    loop {
        let due = waiting
            .first_key_value()
            .map_or(Micros::MAX, |(key, _)| key.0);
        let came = or(async { Some(door.receive(&mut bytes).await) }, async {
            runtime.sleep_until(due).await;
            None
        });
        match came.await {
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
                            state.foreign += 1;
                            continue;
                        }
                    }
                };
                let fault = links.fault(from, me);
                let lot = |share: f64| runtime.random_f64() < share;
                let lost = fault.cut || lot(fault.lose) || waiting.len() >= MOST_WAITING;
                {
                    let mut state = links.lock();
                    state.came.0 += 1;
                    state.came.1 += got as u64;
                }
                if lost {
                    continue;
                }
                let jitter = (runtime.random_f64() * fault.jitter_ms as f64 * 1e3) as Micros;
                let at = runtime.now() + fault.delay_ms * 1_000 + jitter;
                count += 1;
                waiting.insert((at, count), bytes[..got].to_vec());
                if lot(fault.repeat) {
                    count += 1;
                    let again = at + (runtime.random_f64() * 1e6) as Micros;
                    waiting.insert((again, count), bytes[..got].to_vec());
                }
            }
        }
        let now = runtime.now();
        while let Some(entry) = waiting.first_entry().filter(|e| e.key().0 <= now) {
            // What the system does not take is lost, as on any way.
            let _ = door.send(&entry.remove(), to);
        }
    }
}

/// Passes on the connections that one end opens to another, until the world ends.
pub async fn relay_streams(
    runtime: RuntimeRef,
    links: Links,
    mut door: Box<dyn Listener>,
    ends: (End, End),
    to: SocketAddr,
) {
    let open = Arc::new(());
    loop {
        let Ok((conn, _)) = door.accept().await else {
            runtime.sleep(1_000).await;
            continue;
        };
        if Arc::strong_count(&open) > MOST_STREAMS {
            continue;
        }
        let (as_ref, links, place) = (runtime.clone(), links.clone(), open.clone());
        runtime.run(async move {
            stream(&as_ref, &links, conn, ends, to).await;
            drop(place);
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
        passable(runtime, links, from, to).await;
        let Ok(target) = runtime.connect(address).await else {
            return;
        };
        let (read, write) = futures_lite::io::split(conn);
        let (read_back, write_back) = futures_lite::io::split(target);
        // An end of one direction is passed on; the other goes on until its own.
        let there = one_way(runtime, links, (from, to), read, write_back);
        let back = one_way(runtime, links, (to, from), read_back, write);
        futures_lite::future::zip(there, back).await;
    };
    or(both, broken).await;
}

/// Waits until a link is not cut.
async fn passable(runtime: &RuntimeRef, links: &Links, from: End, to: End) {
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
        passable(runtime, links, from, to).await;
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
