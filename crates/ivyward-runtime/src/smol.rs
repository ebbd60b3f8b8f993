//! The real surroundings, on async-io and async-executor.
#![allow(clippy::disallowed_methods, clippy::disallowed_types)] // The one place that may ask the system.

use crate::{
    BorrowedFuture, BoxFuture, Conn, Connection, DatagramSocket, Listener, Micros, Peer, Runtime,
};
use async_executor::Executor;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock's fixed moment lies so long before a world begins, so that what started before it has a time on it.
const BEFORE: Micros = 3_600_000_000;
/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// An executor with threads of its own, the system's clock and sockets. [`SmolRuntime::stop`], or dropping the
/// last handle, ends its tasks and closes their sockets, as the death of a process would.
pub struct SmolRuntime {
    begun: Instant,
    random: Mutex<SmallRng>,
    executor: Weak<Executor<'static>>,
    inner: Mutex<Inner>,
    stopped: Arc<AtomicBool>,
}

struct Inner {
    executor: Option<Arc<Executor<'static>>>,
    threads: Vec<JoinHandle<()>>,
    wake: Vec<Arc<Stop>>,
}

/// Tells a thread to end.
#[derive(Default)]
struct Stop {
    waker: Mutex<Option<std::task::Waker>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls until the system call behind it was not interrupted. Guards against EINTR that is taken for the end of a
/// connection: the call did nothing and is simply made again. This is the only place that does so for connections.
fn uninterrupted_poll<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match poll() {
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// The same for a call that is begun anew each time.
async fn uninterrupted<T, F>(mut call: impl FnMut() -> F) -> io::Result<T>
where
    F: std::future::Future<Output = io::Result<T>>,
{
    loop {
        match call().await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

impl SmolRuntime {
    /// Starts `threads` threads (at least one). `seed` feeds [`Runtime::random`].
    pub fn start(threads: usize, seed: u64) -> Arc<SmolRuntime> {
        let executor = Arc::new(Executor::new());
        let stopped = Arc::new(AtomicBool::new(false));
        let (mut handles, mut wake) = (Vec::new(), Vec::new());
        for i in 0..threads.max(1) {
            let (executor, stopped, stop) =
                (executor.clone(), stopped.clone(), Arc::new(Stop::default()));
            wake.push(stop.clone());
            let until = std::future::poll_fn(move |cx: &mut Context<'_>| {
                *lock(&stop.waker) = Some(cx.waker().clone());
                if stopped.load(Ordering::SeqCst) {
                    Poll::Ready(())
                } else {
                    Poll::Pending
                }
            });
            let body = move || async_io::block_on(executor.run(until));
            let spawned = std::thread::Builder::new()
                .name(format!("world-{i}"))
                .spawn(body);
            if let Ok(handle) = spawned {
                handles.push(handle);
            }
        }
        Arc::new(SmolRuntime {
            begun: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            executor: Arc::downgrade(&executor),
            inner: Mutex::new(Inner {
                executor: Some(executor),
                threads: handles,
                wake,
            }),
            stopped,
        })
    }

    /// Ends every task and closes their sockets. Waits until the threads are done, unless called by one of them.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let (executor, threads, wake) = {
            let mut inner = lock(&self.inner);
            (
                inner.executor.take(),
                std::mem::take(&mut inner.threads),
                std::mem::take(&mut inner.wake),
            )
        };
        for stop in wake {
            if let Some(waker) = lock(&stop.waker).take() {
                waker.wake();
            }
        }
        let me = std::thread::current().id();
        for handle in threads {
            if handle.thread().id() != me {
                // A thread that panicked is over as well.
                let _ = handle.join();
            }
        }
        // The last handle: tasks that still wait are dropped here, and with them their sockets.
        drop(executor);
    }

    /// Runs a future on the calling thread, with this world's tasks going on beside it.
    pub fn block_on<T>(&self, future: impl std::future::Future<Output = T>) -> T {
        async_io::block_on(future)
    }
}

impl Drop for SmolRuntime {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Runtime for SmolRuntime {
    fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros + BEFORE
    }
    fn unix_micros(&self) -> Micros {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as Micros)
    }
    fn sleep_until(&self, at: Micros) -> BoxFuture<()> {
        if at == Micros::MAX {
            return Box::pin(std::future::pending());
        }
        // A day at most: far times would overflow, and whoever waits so long asks again.
        let span = at.saturating_sub(self.now()).min(86_400_000_000);
        let timer = async_io::Timer::after(Duration::from_micros(span));
        Box::pin(async move {
            timer.await;
        })
    }
    fn spawn(&self, task: BoxFuture<()>) {
        if let Some(executor) = self.executor.upgrade() {
            // A task that panics must not take its thread along.
            executor
                .spawn(async move {
                    let _ = AssertUnwindSafe(task).catch_unwind().await;
                })
                .detach();
        }
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Conn>> {
        Box::pin(async move {
            // A connection that was interrupted on its way is given up whole: nothing was sent on it.
            let stream = uninterrupted(|| TcpStream::connect(to)).await?;
            Ok(Box::new(Tcp::new(stream)?) as Conn)
        })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            None,
        )?;
        // A process that comes back takes its old port at once.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let socket: std::net::TcpListener = socket.into();
        let address = socket.local_addr()?;
        let socket = TcpListener::from(async_io::Async::new(socket)?);
        Ok(Box::new(TcpDoor { socket, address }))
    }
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn DatagramSocket>> {
        let socket = async_io::Async::<std::net::UdpSocket>::bind(at)?;
        let address = socket.get_ref().local_addr()?;
        Ok(Box::new(Udp { socket, address }))
    }
    fn random(&self) -> u64 {
        lock(&self.random).next_u64()
    }
}

struct TcpDoor {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener for TcpDoor {
    fn accept(&mut self) -> BorrowedFuture<'_, io::Result<(Conn, SocketAddr)>> {
        Box::pin(async move {
            let (stream, peer) = uninterrupted(|| self.socket.accept()).await?;
            Ok((Box::new(Tcp::new(stream)?) as Conn, peer))
        })
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Udp {
    socket: async_io::Async<std::net::UdpSocket>,
    address: SocketAddr,
}

impl DatagramSocket for Udp {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        loop {
            match self.socket.get_ref().send_to(bytes, to) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() != io::ErrorKind::WouldBlock => return Err(e),
                _ => return Ok(()),
            }
        }
    }
    fn receive<'a>(
        &'a mut self,
        into: &'a mut [u8],
    ) -> BorrowedFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(async move {
            loop {
                match self.socket.recv_from(into).await {
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    received => return received,
                }
            }
        })
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Tcp {
    stream: TcpStream,
}

impl Tcp {
    fn new(stream: TcpStream) -> io::Result<Tcp> {
        stream.set_nodelay(true)?;
        Ok(Tcp { stream })
    }
}

impl Connection for Tcp {
    fn reset_on_close(&mut self) {
        // Without it the close is orderly, which only a test would notice.
        let async_socket: Arc<async_io::Async<std::net::TcpStream>> = self.stream.clone().into();
        let _ = socket2::SockRef::from(async_socket.get_ref()).set_linger(Some(Duration::ZERO));
    }
    fn peer(&self) -> Arc<dyn Peer> {
        let socket: Arc<async_io::Async<std::net::TcpStream>> = self.stream.clone().into();
        Arc::new(TcpPeer(Arc::downgrade(&socket)))
    }
}

struct TcpPeer(Weak<async_io::Async<std::net::TcpStream>>);

impl Peer for TcpPeer {
    fn is_disconnected(&self) -> bool {
        let Some(socket) = self.0.upgrade() else {
            return true;
        };
        loop {
            match socket.get_ref().peek(&mut [0]) {
                Ok(n) => return n == 0,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}

impl AsyncRead for Tcp {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        uninterrupted_poll(|| Pin::new(&mut self.stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for Tcp {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        uninterrupted_poll(|| Pin::new(&mut self.stream).poll_write(cx, buf))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        uninterrupted_poll(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        uninterrupted_poll(|| Pin::new(&mut self.stream).poll_flush(cx))
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        uninterrupted_poll(|| Pin::new(&mut self.stream).poll_close(cx))
    }
}
