//! A world that counts what goes through it: bytes, reads and writes of its connections, and the time its tasks run.

use crate::{
    BorrowedFuture, BoxFuture, Conn, Connection, DatagramSocket, Listener, Micros, Peer, Runtime,
    RuntimeRef,
};
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// What has gone through a metered world so far.
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

/// A reading of a [`Meter`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that came in.
    pub bytes_in: u64,
    /// Bytes that went out.
    pub bytes_out: u64,
    /// Reads that brought something, datagrams among them.
    pub reads: u64,
    /// Writes that took something, datagrams among them.
    pub writes: u64,
    /// Microseconds that tasks were polled.
    pub busy: Micros,
    /// Connections that were opened or accepted.
    pub opened: u64,
    /// Those of them that are open.
    pub open: u64,
}

impl Meter {
    /// What it shows now.
    pub fn usage(&self) -> Usage {
        let get = |value: &AtomicU64| value.load(Ordering::Relaxed);
        let (opened, closed) = (get(&self.opened), get(&self.closed));
        Usage {
            bytes_in: get(&self.bytes_in),
            bytes_out: get(&self.bytes_out),
            reads: get(&self.reads),
            writes: get(&self.writes),
            busy: get(&self.busy),
            opened,
            open: opened.saturating_sub(closed),
        }
    }
    fn came(&self, bytes: usize) {
        if bytes > 0 {
            self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
            self.reads.fetch_add(1, Ordering::Relaxed);
        }
    }
    fn went(&self, bytes: usize) {
        if bytes > 0 {
            self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
            self.writes.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Counts what crosses a connection.
    pub fn wrap(self: &Arc<Self>, conn: Conn) -> Conn {
        self.opened.fetch_add(1, Ordering::Relaxed);
        Box::new(MeteredConn {
            conn,
            meter: self.clone(),
        })
    }
}

/// The same world, with what is done through this handle counted.
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
        self.runtime.spawn(Box::pin(Timed {
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
}

/// A task whose polls are timed.
struct Timed {
    task: BoxFuture<()>,
    runtime: RuntimeRef,
    meter: Arc<Meter>,
}

impl Future for Timed {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let began = self.runtime.now();
        let polled = self.task.as_mut().poll(cx);
        let took = self.runtime.now().saturating_sub(began);
        self.meter.busy.fetch_add(took, Ordering::Relaxed);
        polled
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
            self.meter.came(*bytes);
        }
        read
    }
}

impl MeteredConn {
    fn wrote(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.meter.went(*bytes);
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
        self.wrote(&written);
        written
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.conn).poll_write_vectored(cx, bufs);
        self.wrote(&written);
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
        self.meter.went(bytes.len());
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
            meter.came(received.0);
            Ok(received)
        })
    }
    fn address(&self) -> SocketAddr {
        self.socket.address()
    }
}
