//! The virtual network: byte streams and datagrams between hosts, with latency, loss, partial reads and partitions.

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

/// First port that is assigned to a listener or socket bound to port 0; ports are not reused.
const FIRST_PORT: u16 = 20_000;
/// Maximum number of connections that wait to be accepted by a listener; a further one is refused.
const BACKLOG: usize = 1_024;

/// Maximum number of datagrams queued at a socket; a further one is lost.
const MAX_QUEUED_DATAGRAMS: usize = 256;

/// One direction of a connection: the bytes in transit or unread, and how the direction ends.
#[derive(Default)]
struct Direction {
    /// Time of arrival and bytes of each write, in order.
    chunks: VecDeque<(Micros, Vec<u8>)>,
    /// Total number of bytes in `chunks`, limited by `NetworkConfig::buffer_bytes`.
    waiting: usize,
    /// Arrival time of the most recently written chunk; the next chunk arrives no earlier.
    last: Micros,
    /// Arrival time of the end of the stream, set when the writer closes.
    end: Option<Micros>,
    /// Time from which the reader gets a connection reset.
    reset: Option<Micros>,
    /// The reading host died without sending resets, so nothing is read any more.
    reader_lost: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct ConnectionState {
    /// The host that connected and the host that accepted; the index is the side.
    hosts: [HostId; 2],
    /// The direction from each side to the other, indexed by the writing side.
    directions: [Direction; 2],
    /// Sides whose stream was dropped or whose host died.
    closed: [bool; 2],
    /// Address of the listener that accepted the connection.
    listener: SocketAddr,
    /// Whether everything written from now on is lost, without an error at either side.
    silent: bool,
}

impl ConnectionState {
    /// Loses what is in transit and everything that is written later.
    fn silence(&mut self) {
        self.silent = true;
        for direction in &mut self.directions {
            direction.chunks.clear();
            direction.waiting = 0;
        }
    }
}

struct ListenerState {
    host: HostId,
    waiting: VecDeque<u64>,
    waker: Option<Waker>,
}

/// State of a datagram socket.
struct DatagramSocketState {
    host: HostId,
    /// Ordered by time of arrival, so that a datagram may overtake one that was sent earlier.
    waiting: BTreeMap<(Micros, u64), (Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

pub(crate) struct Network {
    pub(crate) config: NetworkConfig,
    datagram_sockets: BTreeMap<SocketAddr, DatagramSocketState>,
    next_datagram: u64,
    listeners: BTreeMap<SocketAddr, ListenerState>,
    connections: BTreeMap<u64, ConnectionState>,
    partitions: BTreeSet<(HostId, HostId)>,
    /// Hosts whose new incoming connections are silent from their start.
    silent_hosts: BTreeSet<HostId>,
    /// Extra latency of streams from one host to another.
    extra_latencies: BTreeMap<(HostId, HostId), Micros>,
    /// Wakers of connection attempts that wait for a partition to be lifted.
    connecting: Vec<Waker>,
    next_connection: u64,
    next_port: u16,
}

impl Network {
    pub(crate) fn new(config: NetworkConfig) -> Network {
        Network {
            config,
            datagram_sockets: BTreeMap::new(),
            next_datagram: 0,
            listeners: BTreeMap::new(),
            connections: BTreeMap::new(),
            partitions: BTreeSet::new(),
            silent_hosts: BTreeSet::new(),
            extra_latencies: BTreeMap::new(),
            connecting: Vec::new(),
            next_connection: 1,
            next_port: FIRST_PORT,
        }
    }

    /// Returns `at`, with a port that was never assigned before if its port is 0.
    fn assign_port(&mut self, mut at: SocketAddr) -> Result<SocketAddr> {
        if at.port() == 0 {
            let port = self.next_port;
            self.next_port = port.checked_add(1).ok_or(ErrorKind::AddrNotAvailable)?;
            at.set_port(port);
        }
        Ok(at)
    }

    pub(crate) fn set_extra_latency(&mut self, from: HostId, to: HostId, extra: Micros) {
        self.extra_latencies.insert((from, to), extra);
    }

    /// Returns the one-way latency of streams from one host to another, without jitter.
    fn latency(&self, from: HostId, to: HostId) -> Micros {
        self.config.latency + self.extra_latencies.get(&(from, to)).copied().unwrap_or(0)
    }

    /// Starts or ends a partition in one direction. Returns the wakers of the tasks that it may affect.
    pub(crate) fn set_partitioned(&mut self, from: HostId, to: HostId, on: bool) -> Vec<Waker> {
        match on {
            true => drop(self.partitions.insert((from, to))),
            false => drop(self.partitions.remove(&(from, to))),
        }
        let readers = self
            .connections
            .values_mut()
            .flat_map(|c| c.directions.iter_mut().filter_map(|d| d.reader.take()));
        readers.chain(self.connecting.drain(..)).collect()
    }

    /// Makes all open connections that `host` accepted silent. Returns the wakers of the writers, which continue.
    pub(crate) fn silence_connections(&mut self, host: HostId) -> Vec<Waker> {
        let accepted = |connection: &&mut ConnectionState| connection.hosts[1] == host;
        let mut wakers = Vec::new();
        for connection in self.connections.values_mut().filter(accepted) {
            connection.silence();
            let directions = connection.directions.iter_mut();
            wakers.extend(directions.filter_map(|direction| direction.writer.take()));
        }
        wakers
    }

    /// Sets whether new connections to `host` are silent from their start.
    pub(crate) fn set_silent_host(&mut self, host: HostId, silent: bool) {
        match silent {
            true => drop(self.silent_hosts.insert(host)),
            false => drop(self.silent_hosts.remove(&host)),
        }
    }

    /// Removes the sockets of a dead host. If `send_resets` is set, its peers' connections are reset;
    /// otherwise the peers get no notification. Returns the wakers of the tasks that this affects.
    pub(crate) fn kill_host(&mut self, host: HostId, send_resets: bool, now: Micros) -> Vec<Waker> {
        self.listeners.retain(|_, listener| listener.host != host);
        self.datagram_sockets
            .retain(|_, socket| socket.host != host);
        let mut wakers = Vec::new();
        let after = now + self.config.latency;
        for connection in self.connections.values_mut() {
            for side in 0..2 {
                if connection.hosts[side] != host || connection.closed[side] {
                    continue;
                }
                connection.closed[side] = true;
                let (out, inward) = (side, 1 - side);
                if send_resets {
                    connection.directions[out].reset.get_or_insert(after);
                } else {
                    connection.directions[inward].reader_lost = true;
                }
                wakers.extend(connection.directions[out].reader.take());
                wakers.extend(connection.directions[inward].writer.take());
            }
        }
        wakers
    }
}

fn connection_reset() -> Error {
    ErrorKind::ConnectionReset.into()
}

/// Returns a timer for `duration` from now; the lock is not held while it waits.
fn sleep(inner: &Arc<Inner>, duration: Micros) -> BoxFuture<()> {
    let at = inner.lock().now.saturating_add(duration);
    Box::pin(crate::Timer {
        inner: inner.clone(),
        at,
        key: None,
    })
}

pub(crate) fn connect(inner: Arc<Inner>, from: HostId, to: SocketAddr) -> BoxFuture<Result<Conn>> {
    Box::pin(async move {
        // The host that listens at the address determines the latency; without a listener, `from` itself stands in.
        let (there, back) = {
            let net = &inner.lock().net;
            let host = net.listeners.get(&to).map_or(from, |l| l.host);
            (net.latency(from, host), net.latency(host, from))
        };
        sleep(&inner, there).await;
        let opened = poll_fn(|cx| {
            let mut state = inner.lock();
            let Some(host) = state.net.listeners.get(&to).map(|l| l.host) else {
                return Poll::Ready(Err(Error::from(ErrorKind::ConnectionRefused)));
            };
            if state.net.partitions.contains(&(from, host))
                || state.net.partitions.contains(&(host, from))
            {
                state.net.connecting.push(cx.waker().clone());
                return Poll::Pending;
            }
            let id = state.net.next_connection;
            state.net.next_connection += 1;
            let (hosts, directions) = ([from, host], [Direction::default(), Direction::default()]);
            let silent = state.net.silent_hosts.contains(&host);
            state.net.connections.insert(
                id,
                ConnectionState {
                    hosts,
                    directions,
                    closed: [false; 2],
                    listener: to,
                    silent,
                },
            );
            let waker = match state.net.listeners.get_mut(&to) {
                Some(listener) if listener.waiting.len() < BACKLOG => {
                    listener.waiting.push_back(id);
                    listener.waker.take()
                }
                _ => {
                    state.net.connections.remove(&id);
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
            connection: opened,
            side: 0,
            reset_on_drop: false,
        };
        sleep(&inner, back).await;
        Ok(Box::new(stream) as Conn)
    })
}

pub(crate) fn listen(inner: Arc<Inner>, host: HostId, at: SocketAddr) -> Result<Box<dyn Listener>> {
    let mut state = inner.lock();
    let address = state.net.assign_port(at)?;
    if state.net.listeners.contains_key(&address) {
        return Err(ErrorKind::AddrInUse.into());
    }
    state.net.listeners.insert(
        address,
        ListenerState {
            host,
            waiting: VecDeque::new(),
            waker: None,
        },
    );
    drop(state);
    Ok(Box::new(VirtualListener {
        inner,
        address,
        host,
    }))
}

struct VirtualListener {
    inner: Arc<Inner>,
    address: SocketAddr,
    host: HostId,
}

impl Listener for VirtualListener {
    fn accept(&mut self) -> BorrowedFuture<'_, Result<(Conn, SocketAddr)>> {
        Box::pin(poll_fn(|cx| {
            let mut state = self.inner.lock();
            let Some(listener) = state.net.listeners.get_mut(&self.address) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            let Some(connection) = listener.waiting.pop_front() else {
                listener.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let conn: Conn = Box::new(Stream {
                inner: self.inner.clone(),
                connection,
                side: 1,
                reset_on_drop: false,
            });
            Poll::Ready(Ok((conn, self.address)))
        }))
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        // The listener of a dead host was already removed, and another host may listen at the address by now.
        if state
            .net
            .listeners
            .get(&self.address)
            .is_some_and(|l| l.host == self.host)
        {
            let listener = state.net.listeners.remove(&self.address);
            drop(state);
            drop(listener);
        }
    }
}

pub(crate) fn bind_datagram(
    inner: Arc<Inner>,
    host: HostId,
    at: SocketAddr,
) -> Result<Box<dyn DatagramSocket>> {
    let mut state = inner.lock();
    let address = state.net.assign_port(at)?;
    if state.net.datagram_sockets.contains_key(&address) {
        return Err(ErrorKind::AddrInUse.into());
    }
    state.net.datagram_sockets.insert(
        address,
        DatagramSocketState {
            host,
            waiting: BTreeMap::new(),
            waker: None,
        },
    );
    drop(state);
    Ok(Box::new(VirtualDatagramSocket {
        inner,
        host,
        address,
    }))
}

struct VirtualDatagramSocket {
    inner: Arc<Inner>,
    host: HostId,
    address: SocketAddr,
}

impl DatagramSocket for VirtualDatagramSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> Result<()> {
        let mut state = self.inner.lock();
        let (now, config) = (state.now, state.net.config);
        let Some(host) = state.net.datagram_sockets.get(&to).map(|s| s.host) else {
            return Ok(());
        };
        if state.net.partitions.contains(&(self.host, host))
            || state
                .random
                .random_bool(config.datagram_loss.clamp(0.0, 1.0))
        {
            return Ok(());
        }
        let copies = 1 + usize::from(
            state
                .random
                .random_bool(config.datagram_duplication.clamp(0.0, 1.0)),
        );
        for _ in 0..copies {
            let jitter = if config.jitter > 0 {
                state.random.random_range(0..=config.jitter)
            } else {
                0
            };
            state.net.next_datagram += 1;
            let key = (now + config.latency + jitter, state.net.next_datagram);
            if let Some(socket) = state
                .net
                .datagram_sockets
                .get_mut(&to)
                .filter(|s| s.waiting.len() < MAX_QUEUED_DATAGRAMS)
            {
                socket.waiting.insert(key, (bytes.to_vec(), self.address));
            }
        }
        let waker = state
            .net
            .datagram_sockets
            .get_mut(&to)
            .and_then(|s| s.waker.take());
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
            let Some(socket) = state.net.datagram_sockets.get_mut(&self.address) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            match socket.waiting.first_key_value().map(|(key, _)| key.0) {
                Some(at) if at <= now => {
                    let Some((_, (bytes, from))) = socket.waiting.pop_first() else {
                        return Poll::Pending;
                    };
                    let got = bytes.len().min(into.len());
                    into[..got].copy_from_slice(&bytes[..got]);
                    state.note(6, u64::from(from.port()), &into[..got]);
                    Poll::Ready(Ok((got, from)))
                }
                next => {
                    socket.waker = Some(cx.waker().clone());
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

impl Drop for VirtualDatagramSocket {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        if state
            .net
            .datagram_sockets
            .get(&self.address)
            .is_some_and(|s| s.host == self.host)
        {
            let socket = state.net.datagram_sockets.remove(&self.address);
            drop(state);
            drop(socket);
        }
    }
}

/// One side of a connection, as the host's tasks use it.
struct Stream {
    inner: Arc<Inner>,
    connection: u64,
    side: usize,
    /// Dropping the stream sends a reset instead of an orderly end.
    reset_on_drop: bool,
}

impl Connection for Stream {
    fn reset_on_close(&mut self) {
        self.reset_on_drop = true;
    }
    fn peer(&self) -> Arc<dyn Peer> {
        Arc::new(StreamPeer {
            inner: Arc::downgrade(&self.inner),
            connection: self.connection,
            side: self.side,
        })
    }
}

/// Reports whether the other side of a stream disconnected, without reading from the stream.
struct StreamPeer {
    inner: Weak<Inner>,
    connection: u64,
    side: usize,
}

impl Peer for StreamPeer {
    fn is_disconnected(&self) -> bool {
        let Some(inner) = self.inner.upgrade() else {
            return true;
        };
        let state = inner.lock();
        let Some(connection) = state
            .net
            .connections
            .get(&self.connection)
            .filter(|c| !c.closed[self.side])
        else {
            return true;
        };
        let peer = 1 - self.side;
        let direction = &connection.directions[peer];
        let arrived = |at: Option<Micros>| at.is_some_and(|at| at <= state.now);
        let unreachable = connection.silent
            || state
                .net
                .partitions
                .contains(&(connection.hosts[peer], connection.hosts[self.side]));
        !unreachable
            && (arrived(direction.reset) || direction.chunks.is_empty() && arrived(direction.end))
    }
}

/// Returns how many of `max` bytes a read or write transfers; `NetworkConfig::partial_io` makes it draw fewer.
fn transfer_len(state: &mut State, max: usize) -> usize {
    let partial_io = state.net.config.partial_io;
    if max > 1 && partial_io > 0.0 && state.random.random_bool(partial_io.min(1.0)) {
        return state.random.random_range(1..=max);
    }
    max
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let mut state = self.inner.lock();
        let now = state.now;
        let max = transfer_len(&mut state, buf.len());
        let peer = 1 - self.side;
        let Some(hosts) = state.net.connections.get(&self.connection).map(|c| c.hosts) else {
            return Poll::Ready(Err(connection_reset()));
        };
        let partitioned = state
            .net
            .partitions
            .contains(&(hosts[peer], hosts[self.side]));
        let Some(connection) = state.net.connections.get_mut(&self.connection) else {
            return Poll::Ready(Err(connection_reset()));
        };
        let partitioned = partitioned || connection.silent;
        let direction = &mut connection.directions[peer];
        // A reset that has arrived comes before bytes, and bytes before the end of the stream.
        if !partitioned && direction.reset.is_some_and(|at| at <= now) {
            return Poll::Ready(Err(connection_reset()));
        }
        if !partitioned && direction.chunks.front().is_some_and(|c| c.0 <= now) {
            let mut got = 0;
            if let Some((_, bytes)) = direction.chunks.front_mut() {
                got = bytes.len().min(max);
                buf[..got].copy_from_slice(&bytes[..got]);
                bytes.drain(..got);
                if bytes.is_empty() {
                    direction.chunks.pop_front();
                }
            }
            direction.waiting -= got;
            let writer = direction.writer.take();
            let (connection, side) = (self.connection, self.side as u64);
            state.note(5, connection * 2 + side, &buf[..got]);
            drop(state);
            writer.into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(got));
        }
        if !partitioned && direction.chunks.is_empty() && direction.end.is_some_and(|at| at <= now)
        {
            return Poll::Ready(Ok(0));
        }
        direction.reader = Some(cx.waker().clone());
        // Wakes the reader at the next arrival; during a partition, lifting the partition wakes it.
        let next = [
            direction.chunks.front().map(|c| c.0),
            direction.reset,
            direction.end,
        ];
        let next = next.into_iter().flatten().filter(|at| *at > now).min();
        if let Some(at) = next.filter(|_| !partitioned) {
            state.at(at, cx.waker().clone());
        }
        Poll::Pending
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let mut state = self.inner.lock();
        let (now, config) = (state.now, state.net.config);
        let jitter = if config.jitter > 0 {
            state.random.random_range(0..=config.jitter)
        } else {
            0
        };
        let max = transfer_len(&mut state, buf.len());
        // The peer's process may have been restarted; its machine then knows nothing of this connection.
        let Some(connection) = state.net.connections.get_mut(&self.connection) else {
            return Poll::Ready(Err(connection_reset()));
        };
        let peer = 1 - self.side;
        if connection.directions[peer]
            .reset
            .is_some_and(|at| at <= now)
        {
            return Poll::Ready(Err(connection_reset()));
        }
        let peer_closed = connection.closed[peer];
        let listener = connection.listener;
        // If the address has a listener again, the peer's machine is back. It does not know this connection and
        // answers with a reset.
        let listening_again = self.side == 0 && state.net.listeners.contains_key(&listener);
        let Some(hosts) = state.net.connections.get(&self.connection).map(|c| c.hosts) else {
            return Poll::Ready(Err(connection_reset()));
        };
        let latency = state.net.latency(hosts[self.side], hosts[peer]);
        let Some(connection) = state.net.connections.get_mut(&self.connection) else {
            return Poll::Ready(Err(connection_reset()));
        };
        if connection.silent {
            return Poll::Ready(Ok(buf.len()));
        }
        let direction = &mut connection.directions[self.side];
        if peer_closed && (!direction.reader_lost || listening_again) {
            // The peer has closed: its reset arrives one round trip later.
            let at = now + 2 * config.latency;
            connection.directions[peer].reset.get_or_insert(at);
            let reader = connection.directions[peer].reader.take();
            drop(state);
            reader.into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(buf.len()));
        }
        let capacity = config.buffer_bytes.saturating_sub(direction.waiting);
        if capacity == 0 {
            direction.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let put = max.min(capacity);
        let transmission = (put as u64 * 1_000_000)
            .checked_div(config.bytes_per_second)
            .unwrap_or(0);
        let at = (now + latency + jitter).max(direction.last) + transmission;
        direction.last = at;
        direction.waiting += put;
        direction.chunks.push_back((at, buf[..put].to_vec()));
        // Wakes the reader, which then sets a timer for the arrival.
        let reader = direction.reader.take();
        drop(state);
        reader.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(put))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        let mut state = self.inner.lock();
        let Some(hosts) = state.net.connections.get(&self.connection).map(|c| c.hosts) else {
            return Poll::Ready(Ok(()));
        };
        let after = state.now + state.net.latency(hosts[self.side], hosts[1 - self.side]);
        let Some(connection) = state.net.connections.get_mut(&self.connection) else {
            return Poll::Ready(Ok(()));
        };
        let direction = &mut connection.directions[self.side];
        direction.end.get_or_insert(after.max(direction.last));
        let reader = direction.reader.take();
        drop(state);
        reader.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        let Some(hosts) = state.net.connections.get(&self.connection).map(|c| c.hosts) else {
            return;
        };
        let after = state.now + state.net.latency(hosts[self.side], hosts[1 - self.side]);
        let Some(connection) = state.net.connections.get_mut(&self.connection) else {
            return;
        };
        let (side, peer) = (self.side, 1 - self.side);
        let mut wakers = Vec::new();
        // A side that was closed by the death of its host has already sent its reset, if any.
        if !connection.closed[side] {
            connection.closed[side] = true;
            // Closing with unread incoming bytes sends a reset, as in TCP.
            let unread = !connection.directions[peer].chunks.is_empty();
            let direction = &mut connection.directions[side];
            if self.reset_on_drop || unread {
                direction.reset.get_or_insert(after);
            } else {
                direction.end.get_or_insert(after.max(direction.last));
            }
            wakers.extend(direction.reader.take());
            wakers.extend(connection.directions[peer].writer.take());
        }
        // The second side to close removes the connection. Its wakers are dropped after the lock is released.
        let removed = if connection.closed == [true; 2] {
            state.net.connections.remove(&self.connection)
        } else {
            None
        };
        drop(state);
        drop(removed);
        wakers.into_iter().for_each(Waker::wake);
    }
}
