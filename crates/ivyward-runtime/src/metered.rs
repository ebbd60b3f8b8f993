//! A runtime that counts the bytes, reads and writes of its connections and UDP sockets, and the time that its tasks
//! run.

use crate::{
    BorrowedFuture, BoxFuture, Conn, Connection, DatagramSocket, Listener, Micros, Peer, Runtime,
    RuntimeRef, TurnMonitor,
};
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Counters of the traffic and the task time of a metered runtime.
#[derive(Debug, Default)]
pub struct Meter {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    busy: AtomicU64,
    opened: AtomicU64,
    closed: AtomicU64,
}

/// The values of a [`Meter`] at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Reads that returned at least one byte, and datagrams received that were not empty.
    pub reads: u64,
    /// Writes that accepted at least one byte, and datagrams sent that were not empty.
    pub writes: u64,
    /// Microseconds spent in polls of tasks, added up over all threads.
    pub busy: Micros,
    /// Connections opened or accepted since the start.
    pub opened: u64,
    /// Connections that are open now.
    pub open: u64,
}

impl Meter {
    /// Returns the current values.
    pub fn usage(&self) -> Usage {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (opened, closed) = (load(&self.opened), load(&self.closed));
        Usage {
            bytes_in: load(&self.bytes_in),
            bytes_out: load(&self.bytes_out),
            reads: load(&self.reads),
            writes: load(&self.writes),
            busy: load(&self.busy),
            opened,
            open: opened.saturating_sub(closed),
        }
    }
    fn count_read(&self, bytes: usize) {
        if bytes > 0 {
            self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
            self.reads.fetch_add(1, Ordering::Relaxed);
        }
    }
    fn count_write(&self, bytes: usize) {
        if bytes > 0 {
            self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
            self.writes.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Wraps a connection so that this meter counts it and what is read from and written to it.
    pub fn wrap(self: &Arc<Self>, conn: Conn) -> Conn {
        self.opened.fetch_add(1, Ordering::Relaxed);
        Box::new(MeteredConn {
            conn,
            meter: self.clone(),
        })
    }
}

/// Returns a handle to the same runtime that counts in `meter` what is done through the handle.
pub fn metered(runtime: &RuntimeRef, meter: &Arc<Meter>) -> RuntimeRef {
    Arc::new(Metered {
        runtime: runtime.clone(),
        meter: meter.clone(),
    })
}

struct Metered {
    runtime: RuntimeRef,
    meter: Arc<Meter>,
}

impl Runtime for Metered {
    fn now(&self) -> Micros {
        self.runtime.now()
    }
    fn unix_micros(&self) -> Micros {
        self.runtime.unix_micros()
    }
    fn sleep_until(&self, at: Micros) -> BoxFuture<()> {
        self.runtime.sleep_until(at)
    }
    fn spawn(&self, task: BoxFuture<()>) {
        let (runtime, meter) = (self.runtime.clone(), self.meter.clone());
        self.runtime.spawn(Box::pin(TimedTask {
            task,
            runtime,
            meter,
        }));
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Conn>> {
        let (connecting, meter) = (self.runtime.connect(to), self.meter.clone());
        Box::pin(async move { Ok(meter.wrap(connecting.await?)) })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        Ok(Box::new(MeteredListener {
            listener: self.runtime.listen(at)?,
            meter: self.meter.clone(),
        }))
    }
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn DatagramSocket>> {
        Ok(Box::new(MeteredDatagramSocket {
            socket: self.runtime.bind_datagram(at)?,
            meter: self.meter.clone(),
        }))
    }
    fn random(&self) -> u64 {
        self.runtime.random()
    }
    fn turn_monitor(&self) -> Option<&Arc<TurnMonitor>> {
        self.runtime.turn_monitor()
    }
}

/// A task that adds the duration of each poll to [`Usage::busy`].
struct TimedTask {
    task: BoxFuture<()>,
    runtime: RuntimeRef,
    meter: Arc<Meter>,
}

impl Future for TimedTask {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let started_at = self.runtime.now();
        let result = self.task.as_mut().poll(cx);
        let duration = self.runtime.now().saturating_sub(started_at);
        self.meter.busy.fetch_add(duration, Ordering::Relaxed);
        result
    }
}

struct MeteredConn {
    conn: Conn,
    meter: Arc<Meter>,
}

impl Drop for MeteredConn {
    fn drop(&mut self) {
        self.meter.closed.fetch_add(1, Ordering::Relaxed);
    }
}

impl Connection for MeteredConn {
    fn reset_on_close(&mut self) {
        self.conn.reset_on_close();
    }
    fn peer(&self) -> Arc<dyn Peer> {
        self.conn.peer()
    }
}

impl AsyncRead for MeteredConn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.conn).poll_read(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &read {
            self.meter.count_read(*bytes);
        }
        read
    }
}

impl MeteredConn {
    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.meter.count_write(*bytes);
        }
    }
}

impl AsyncWrite for MeteredConn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.conn).poll_write(cx, buf);
        self.count_written(&written);
        written
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.conn).poll_write_vectored(cx, bufs);
        self.count_written(&written);
        written
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}

struct MeteredListener {
    listener: Box<dyn Listener>,
    meter: Arc<Meter>,
}

impl Listener for MeteredListener {
    fn accept(&mut self) -> BorrowedFuture<'_, io::Result<(Conn, SocketAddr)>> {
        let meter = self.meter.clone();
        let accepting = self.listener.accept();
        Box::pin(async move { accepting.await.map(|(conn, peer)| (meter.wrap(conn), peer)) })
    }
    fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

struct MeteredDatagramSocket {
    socket: Box<dyn DatagramSocket>,
    meter: Arc<Meter>,
}

impl DatagramSocket for MeteredDatagramSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.meter.count_write(bytes.len());
        self.socket.send(bytes, to)
    }
    fn receive<'a>(
        &'a mut self,
        into: &'a mut [u8],
    ) -> BorrowedFuture<'a, io::Result<(usize, SocketAddr)>> {
        let meter = self.meter.clone();
        let receiving = self.socket.receive(into);
        Box::pin(async move {
            let received = receiving.await?;
            meter.count_read(received.0);
            Ok(received)
        })
    }
    fn address(&self) -> SocketAddr {
        self.socket.address()
    }
}
