//! The virtual network: byte streams between hosts, with what happens to them on the way.

use crate::{HostId, Inner, State};
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_runtime::{
    BorrowedFuture, BoxFuture, Conn, Connection, DatagramSocket, Listener, Micros, Peer,
};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::poll_fn;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, Waker};

/// Settings of the virtual network. Times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConfig {
    /// One-way latency between two hosts.
    pub latency: Micros,
    /// Largest random extra latency, drawn for each write or datagram. Bytes of one stream keep their order.
    pub jitter: Micros,
    /// Bandwidth of each direction of a stream, in bytes per second; 0 means unlimited.
    pub bytes_per_second: u64,
    /// Bytes of a stream that may be in transit or unread; at this limit the writer waits.
    pub buffer_bytes: usize,
    /// Fraction of reads and writes that transfer only some of the bytes, at least one.
    pub partial_io: f64,
    /// Fraction of datagrams that are lost.
    pub datagram_loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub datagram_duplication: f64,
}

impl Default for NetworkConfig {
    fn default() -> NetworkConfig {
        NetworkConfig {
            latency: 200,
            jitter: 100,
            bytes_per_second: 0,
            buffer_bytes: 64 << 10,
            partial_io: 0.0,
            datagram_loss: 0.0,
            datagram_duplication: 0.0,
        }
    }
}

/// Ports are given out from here on.
const FIRST_PORT: u16 = 20_000;
/// Connections that may wait to be accepted; one more is refused.
const BACKLOG: usize = 1_024;

/// Datagrams that wait at a socket; one more is lost.
const POST: usize = 256;

/// Bytes on their way from one side of a connection to the other.
#[derive(Default)]
struct Way {
    chunks: VecDeque<(Micros, Vec<u8>)>,
    /// Bytes in `chunks`.
    waiting: usize,
    /// When the last piece arrives; the next is no earlier.
    last: Micros,
    /// The writer closed: the end arrives then.
    end: Option<Micros>,
    /// The connection is broken for the reader from then on.
    reset: Option<Micros>,
    /// Its reader is gone without a word: nothing is taken out any more.
    deaf: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Pair {
    /// Who opened it, and who took it.
    hosts: [HostId; 2],
    /// From each side to the other.
    ways: [Way; 2],
    /// Sides that are there no more.
    closed: [bool; 2],
    /// The door that it was opened at.
    door: SocketAddr,
}

struct Door {
    host: HostId,
    waiting: VecDeque<u64>,
    waker: Option<Waker>,
}

/// A socket for datagrams.
struct Post {
    host: HostId,
    /// By when they arrive: a later one may overtake.
    waiting: BTreeMap<(Micros, u64), (Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

pub(crate) struct Network {
    pub(crate) ways: NetworkConfig,
    posts: BTreeMap<SocketAddr, Post>,
    next_datagram: u64,
    doors: BTreeMap<SocketAddr, Door>,
    pairs: BTreeMap<u64, Pair>,
    cuts: BTreeSet<(HostId, HostId)>,
    /// What the way from one host to another takes longer than others.
    lags: BTreeMap<(HostId, HostId), Micros>,
    /// Those who dial over a cut.
    dialing: Vec<Waker>,
    next_pair: u64,
    next_port: u16,
}

impl Network {
    pub(crate) fn new(ways: NetworkConfig) -> Network {
        Network {
            ways,
            posts: BTreeMap::new(),
            next_datagram: 0,
            doors: BTreeMap::new(),
            pairs: BTreeMap::new(),
            cuts: BTreeSet::new(),
            lags: BTreeMap::new(),
            dialing: Vec::new(),
            next_pair: 1,
            next_port: FIRST_PORT,
        }
    }

    /// The address itself, or with a port that nobody had where it names none.
    fn free(&mut self, mut at: SocketAddr) -> Result<SocketAddr> {
        if at.port() == 0 {
            let port = self.next_port;
            self.next_port = port.checked_add(1).ok_or(ErrorKind::AddrNotAvailable)?;
            at.set_port(port);
        }
        Ok(at)
    }

    pub(crate) fn lag(&mut self, from: HostId, to: HostId, longer: Micros) {
        self.lags.insert((from, to), longer);
    }

    /// What streams take from one host to another.
    fn latency(&self, from: HostId, to: HostId) -> Micros {
        self.ways.latency + self.lags.get(&(from, to)).copied().unwrap_or(0)
    }

    /// Whoever may find something changed is woken.
    pub(crate) fn cut(&mut self, from: HostId, to: HostId, on: bool) -> Vec<Waker> {
        match on {
            true => drop(self.cuts.insert((from, to))),
            false => drop(self.cuts.remove(&(from, to))),
        }
        let readers = self
            .pairs
            .values_mut()
            .flat_map(|p| p.ways.iter_mut().filter_map(|w| w.reader.take()));
        readers.chain(self.dialing.drain(..)).collect()
    }

    /// A host ends. With a word, its peers' connections are reset; without, they hear nothing.
    pub(crate) fn die(&mut self, host: HostId, word: bool, now: Micros) -> Vec<Waker> {
        self.doors.retain(|_, door| door.host != host);
        self.posts.retain(|_, post| post.host != host);
        let mut wakers = Vec::new();
        let after = now + self.ways.latency;
        for pair in self.pairs.values_mut() {
            for side in 0..2 {
                if pair.hosts[side] != host || pair.closed[side] {
                    continue;
                }
                pair.closed[side] = true;
                let (out, inward) = (side, 1 - side);
                if word {
                    pair.ways[out].reset.get_or_insert(after);
                } else {
                    pair.ways[inward].deaf = true;
                }
                wakers.extend(pair.ways[out].reader.take());
                wakers.extend(pair.ways[inward].writer.take());
            }
        }
        wakers
    }
}

fn broken() -> Error {
    ErrorKind::ConnectionReset.into()
}

/// Waits for a span, in a way that does not hold the lock.
fn pause(inner: &Arc<Inner>, span: Micros) -> BoxFuture<()> {
    let at = inner.lock().now.saturating_add(span);
    Box::pin(crate::Timer {
        inner: inner.clone(),
        at,
        key: None,
    })
}

pub(crate) fn connect(inner: Arc<Inner>, from: HostId, to: SocketAddr) -> BoxFuture<Result<Conn>> {
    Box::pin(async move {
        // Whose door it is, or was last, decides which way the first packet goes.
        let (there, back) = {
            let net = &inner.lock().net;
            let host = net.doors.get(&to).map_or(from, |d| d.host);
            (net.latency(from, host), net.latency(host, from))
        };
        pause(&inner, there).await;
        let opened = poll_fn(|cx| {
            let mut state = inner.lock();
            let Some(host) = state.net.doors.get(&to).map(|d| d.host) else {
                return Poll::Ready(Err(Error::from(ErrorKind::ConnectionRefused)));
            };
            if state.net.cuts.contains(&(from, host)) || state.net.cuts.contains(&(host, from)) {
                state.net.dialing.push(cx.waker().clone());
                return Poll::Pending;
            }
            let id = state.net.next_pair;
            state.net.next_pair += 1;
            let (hosts, ways) = ([from, host], [Way::default(), Way::default()]);
            state.net.pairs.insert(
                id,
                Pair {
                    hosts,
                    ways,
                    closed: [false; 2],
                    door: to,
                },
            );
            let waker = match state.net.doors.get_mut(&to) {
                Some(door) if door.waiting.len() < BACKLOG => {
                    door.waiting.push_back(id);
                    door.waker.take()
                }
                _ => {
                    state.net.pairs.remove(&id);
                    return Poll::Ready(Err(Error::from(ErrorKind::ConnectionRefused)));
                }
            };
            state.note(4, id, &[]);
            drop(state);
            waker.into_iter().for_each(Waker::wake);
            Poll::Ready(Ok(id))
        })
        .await?;
        let stream = Stream {
            inner: inner.clone(),
            pair: opened,
            side: 0,
            hard: false,
        };
        pause(&inner, back).await;
        Ok(Box::new(stream) as Conn)
    })
}

pub(crate) fn listen(inner: Arc<Inner>, host: HostId, at: SocketAddr) -> Result<Box<dyn Listener>> {
    let mut state = inner.lock();
    let address = state.net.free(at)?;
    if state.net.doors.contains_key(&address) {
        return Err(ErrorKind::AddrInUse.into());
    }
    state.net.doors.insert(
        address,
        Door {
            host,
            waiting: VecDeque::new(),
            waker: None,
        },
    );
    drop(state);
    Ok(Box::new(Opened {
        inner,
        address,
        host,
    }))
}

struct Opened {
    inner: Arc<Inner>,
    address: SocketAddr,
    host: HostId,
}

impl Listener for Opened {
    fn accept(&mut self) -> BorrowedFuture<'_, Result<(Conn, SocketAddr)>> {
        Box::pin(poll_fn(|cx| {
            let mut state = self.inner.lock();
            let Some(door) = state.net.doors.get_mut(&self.address) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            let Some(pair) = door.waiting.pop_front() else {
                door.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let conn: Conn = Box::new(Stream {
                inner: self.inner.clone(),
                pair,
                side: 1,
                hard: false,
            });
            Poll::Ready(Ok((conn, self.address)))
        }))
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        // A dead host's door is gone, and may be another's by now.
        if state
            .net
            .doors
            .get(&self.address)
            .is_some_and(|d| d.host == self.host)
        {
            let door = state.net.doors.remove(&self.address);
            drop(state);
            drop(door);
        }
    }
}

pub(crate) fn datagrams(
    inner: Arc<Inner>,
    host: HostId,
    at: SocketAddr,
) -> Result<Box<dyn DatagramSocket>> {
    let mut state = inner.lock();
    let address = state.net.free(at)?;
    if state.net.posts.contains_key(&address) {
        return Err(ErrorKind::AddrInUse.into());
    }
    state.net.posts.insert(
        address,
        Post {
            host,
            waiting: BTreeMap::new(),
            waker: None,
        },
    );
    drop(state);
    Ok(Box::new(Mail {
        inner,
        host,
        address,
    }))
}

struct Mail {
    inner: Arc<Inner>,
    host: HostId,
    address: SocketAddr,
}

impl DatagramSocket for Mail {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> Result<()> {
        let mut state = self.inner.lock();
        let (now, ways) = (state.now, state.net.ways);
        let Some(host) = state.net.posts.get(&to).map(|p| p.host) else {
            return Ok(());
        };
        if state.net.cuts.contains(&(self.host, host))
            || state.random.random_bool(ways.datagram_loss.clamp(0.0, 1.0))
        {
            return Ok(());
        }
        let copies = 1 + usize::from(
            state
                .random
                .random_bool(ways.datagram_duplication.clamp(0.0, 1.0)),
        );
        for _ in 0..copies {
            let jitter = if ways.jitter > 0 {
                state.random.random_range(0..=ways.jitter)
            } else {
                0
            };
            state.net.next_datagram += 1;
            let key = (now + ways.latency + jitter, state.net.next_datagram);
            if let Some(post) = state
                .net
                .posts
                .get_mut(&to)
                .filter(|p| p.waiting.len() < POST)
            {
                post.waiting.insert(key, (bytes.to_vec(), self.address));
            }
        }
        let waker = state.net.posts.get_mut(&to).and_then(|p| p.waker.take());
        drop(state);
        waker.into_iter().for_each(Waker::wake);
        Ok(())
    }
    fn receive<'a>(
        &'a mut self,
        into: &'a mut [u8],
    ) -> BorrowedFuture<'a, Result<(usize, SocketAddr)>> {
        Box::pin(poll_fn(move |cx| {
            let mut state = self.inner.lock();
            let now = state.now;
            let Some(post) = state.net.posts.get_mut(&self.address) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            match post.waiting.first_key_value().map(|(key, _)| key.0) {
                Some(at) if at <= now => {
                    let Some((_, (bytes, from))) = post.waiting.pop_first() else {
                        return Poll::Pending;
                    };
                    let got = bytes.len().min(into.len());
                    into[..got].copy_from_slice(&bytes[..got]);
                    state.note(6, u64::from(from.port()), &into[..got]);
                    Poll::Ready(Ok((got, from)))
                }
                next => {
                    post.waker = Some(cx.waker().clone());
                    if let Some(at) = next {
                        state.at(at, cx.waker().clone());
                    }
                    Poll::Pending
                }
            }
        }))
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Mail {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        if state
            .net
            .posts
            .get(&self.address)
            .is_some_and(|p| p.host == self.host)
        {
            let post = state.net.posts.remove(&self.address);
            drop(state);
            drop(post);
        }
    }
}

/// One side of a connection.
struct Stream {
    inner: Arc<Inner>,
    pair: u64,
    side: usize,
    /// Its end is a reset.
    hard: bool,
}

impl Connection for Stream {
    fn reset_on_close(&mut self) {
        self.hard = true;
    }
    fn peer(&self) -> Arc<dyn Peer> {
        Arc::new(OtherSide {
            inner: Arc::downgrade(&self.inner),
            pair: self.pair,
            side: self.side,
        })
    }
}

/// What a stream's other side does, looked at from beside the stream.
struct OtherSide {
    inner: Weak<Inner>,
    pair: u64,
    side: usize,
}

impl Peer for OtherSide {
    fn is_disconnected(&self) -> bool {
        let Some(inner) = self.inner.upgrade() else {
            return true;
        };
        let state = inner.lock();
        let Some(pair) = state
            .net
            .pairs
            .get(&self.pair)
            .filter(|p| !p.closed[self.side])
        else {
            return true;
        };
        let peer = 1 - self.side;
        let way = &pair.ways[peer];
        let came = |at: Option<Micros>| at.is_some_and(|at| at <= state.now);
        let cut = state
            .net
            .cuts
            .contains(&(pair.hosts[peer], pair.hosts[self.side]));
        !cut && (came(way.reset) || way.chunks.is_empty() && came(way.end))
    }
}

/// How many of `most` bytes are taken at once.
fn piece(state: &mut State, most: usize) -> usize {
    let pieces = state.net.ways.partial_io;
    if most > 1 && pieces > 0.0 && state.random.random_bool(pieces.min(1.0)) {
        return state.random.random_range(1..=most);
    }
    most
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let mut state = self.inner.lock();
        let now = state.now;
        let most = piece(&mut state, buf.len());
        let peer = 1 - self.side;
        let Some(hosts) = state.net.pairs.get(&self.pair).map(|p| p.hosts) else {
            return Poll::Ready(Err(broken()));
        };
        let cut = state.net.cuts.contains(&(hosts[peer], hosts[self.side]));
        let Some(pair) = state.net.pairs.get_mut(&self.pair) else {
            return Poll::Ready(Err(broken()));
        };
        let way = &mut pair.ways[peer];
        // The earliest thing that arrives: bytes, a reset, the end.
        if !cut && way.reset.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(broken()));
        }
        if !cut && way.chunks.front().is_some_and(|c| c.0 <= now) {
            let mut got = 0;
            if let Some((_, bytes)) = way.chunks.front_mut() {
                got = bytes.len().min(most);
                buf[..got].copy_from_slice(&bytes[..got]);
                bytes.drain(..got);
                if bytes.is_empty() {
                    way.chunks.pop_front();
                }
            }
            way.waiting -= got;
            let writer = way.writer.take();
            let (pair, side) = (self.pair, self.side as u64);
            state.note(5, pair * 2 + side, &buf[..got]);
            drop(state);
            writer.into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(got));
        }
        if !cut && way.chunks.is_empty() && way.end.is_some_and(|at| at <= now) {
            return Poll::Ready(Ok(0));
        }
        way.reader = Some(cx.waker().clone());
        // Woken when it arrives; over a cut, when that is mended.
        let next = [way.chunks.front().map(|c| c.0), way.reset, way.end];
        let next = next.into_iter().flatten().filter(|at| *at > now).min();
        if let Some(at) = next.filter(|_| !cut) {
            state.at(at, cx.waker().clone());
        }
        Poll::Pending
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let mut state = self.inner.lock();
        let (now, ways) = (state.now, state.net.ways);
        let jitter = if ways.jitter > 0 {
            state.random.random_range(0..=ways.jitter)
        } else {
            0
        };
        let most = piece(&mut state, buf.len());
        // The peer's process may have come back: its machine knows nothing of this connection.
        let Some(pair) = state.net.pairs.get_mut(&self.pair) else {
            return Poll::Ready(Err(broken()));
        };
        let peer = 1 - self.side;
        if pair.ways[peer].reset.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(broken()));
        }
        let peer_gone = pair.closed[peer];
        let door = pair.door;
        // A machine that is there again knows nothing of the connection, and says so.
        let back = self.side == 0 && state.net.doors.contains_key(&door);
        let Some(hosts) = state.net.pairs.get(&self.pair).map(|p| p.hosts) else {
            return Poll::Ready(Err(broken()));
        };
        let latency = state.net.latency(hosts[self.side], hosts[peer]);
        let Some(pair) = state.net.pairs.get_mut(&self.pair) else {
            return Poll::Ready(Err(broken()));
        };
        let way = &mut pair.ways[self.side];
        if peer_gone && (!way.deaf || back) {
            // Nobody is there to read: the answer is a reset, a way there and back later.
            let at = now + 2 * ways.latency;
            pair.ways[peer].reset.get_or_insert(at);
            let reader = pair.ways[peer].reader.take();
            drop(state);
            reader.into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(buf.len()));
        }
        let room = ways.buffer_bytes.saturating_sub(way.waiting);
        if room == 0 {
            way.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let put = most.min(room);
        let carry = (put as u64 * 1_000_000)
            .checked_div(ways.bytes_per_second)
            .unwrap_or(0);
        let at = (now + latency + jitter).max(way.last) + carry;
        way.last = at;
        way.waiting += put;
        way.chunks.push_back((at, buf[..put].to_vec()));
        // Whoever reads looks again, and finds when it arrives.
        let reader = way.reader.take();
        drop(state);
        reader.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(put))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        let mut state = self.inner.lock();
        let Some(hosts) = state.net.pairs.get(&self.pair).map(|p| p.hosts) else {
            return Poll::Ready(Ok(()));
        };
        let after = state.now + state.net.latency(hosts[self.side], hosts[1 - self.side]);
        let Some(pair) = state.net.pairs.get_mut(&self.pair) else {
            return Poll::Ready(Ok(()));
        };
        let way = &mut pair.ways[self.side];
        way.end.get_or_insert(after.max(way.last));
        let reader = way.reader.take();
        drop(state);
        reader.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        let Some(hosts) = state.net.pairs.get(&self.pair).map(|p| p.hosts) else {
            return;
        };
        let after = state.now + state.net.latency(hosts[self.side], hosts[1 - self.side]);
        let Some(pair) = state.net.pairs.get_mut(&self.pair) else {
            return;
        };
        let (side, peer) = (self.side, 1 - self.side);
        let mut wakers = Vec::new();
        // A host that died has said what there was to say.
        if !pair.closed[side] {
            pair.closed[side] = true;
            // What came in and was not read makes the end a reset, as it does in TCP.
            let unread = !pair.ways[peer].chunks.is_empty();
            let way = &mut pair.ways[side];
            if self.hard || unread {
                way.reset.get_or_insert(after);
            } else {
                way.end.get_or_insert(after.max(way.last));
            }
            wakers.extend(way.reader.take());
            wakers.extend(pair.ways[peer].writer.take());
        }
        // The last to go takes the pair along, and with it wakers, which are dropped after the lock.
        let gone = if pair.closed == [true; 2] {
            state.net.pairs.remove(&self.pair)
        } else {
            None
        };
        drop(state);
        drop(gone);
        wakers.into_iter().for_each(Waker::wake);
    }
}
