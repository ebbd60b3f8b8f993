//! The runtime on the operating system's clock and sockets, with async-io and async-executor.
#![allow(clippy::disallowed_methods, clippy::disallowed_types)] // The only module that may use the system's clock and sockets.

use crate::{
    BorrowedFuture, BoxFuture, Conn, Connection, DatagramSocket, Listener, Micros, Peer, Runtime,
    TurnMonitor,
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

/// What the monotonic clock shows when the runtime starts: one hour, so that moments before the start have a time on it
/// as well.
const CLOCK_AT_START: Micros = 3_600_000_000;
/// How many connections may wait to be accepted by one listener.
const LISTEN_BACKLOG: i32 = 1024;
/// The longest duration of one timer, in microseconds: a day. Later times would overflow the timer's clock.
const MAX_TIMER: Micros = 86_400_000_000;

/// A runtime with an executor and threads of its own, on the system's clock and sockets. [`SmolRuntime::stop`], or
/// dropping the last handle, ends its tasks and closes their sockets, as the death of a process would.
pub struct SmolRuntime {
    started_at: Instant,
    random: Mutex<SmallRng>,
    executor: Weak<Executor<'static>>,
    inner: Mutex<Inner>,
    stopped: Arc<AtomicBool>,
    turn_monitor: Arc<TurnMonitor>,
}

struct Inner {
    executor: Option<Arc<Executor<'static>>>,
    threads: Vec<JoinHandle<()>>,
    stop_signals: Vec<Arc<StopSignal>>,
}

/// Wakes an executor thread, so that it sees `SmolRuntime::stopped` and ends.
#[derive(Default)]
struct StopSignal {
    waker: Mutex<Option<std::task::Waker>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls again as long as the system call is interrupted (EINTR). An interrupted call has done nothing; without the
/// retry, its error would be taken for the end of the connection. This is the only place that retries reads and writes
/// of connections.
fn retry_interrupted_poll<T>(mut poll: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match poll() {
            Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Like [`retry_interrupted_poll`], for a call that is started anew for each retry.
async fn retry_interrupted<T, F>(mut call: impl FnMut() -> F) -> io::Result<T>
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
    /// Starts a runtime with `threads` threads, at least one. `seed` initializes the generator behind
    /// [`Runtime::random`].
    pub fn start(threads: usize, seed: u64) -> Arc<SmolRuntime> {
        let executor = Arc::new(Executor::new());
        let stopped = Arc::new(AtomicBool::new(false));
        let (mut handles, mut stop_signals) = (Vec::new(), Vec::new());
        for i in 0..threads.max(1) {
            let (executor, stopped, signal) = (
                executor.clone(),
                stopped.clone(),
                Arc::new(StopSignal::default()),
            );
            stop_signals.push(signal.clone());
            let until = std::future::poll_fn(move |cx: &mut Context<'_>| {
                *lock(&signal.waker) = Some(cx.waker().clone());
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
            started_at: Instant::now(),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            executor: Arc::downgrade(&executor),
            inner: Mutex::new(Inner {
                executor: Some(executor),
                threads: handles,
                stop_signals,
            }),
            stopped,
            turn_monitor: Arc::default(),
        })
    }

    /// Ends all tasks and closes their sockets. Waits until the threads have ended, except for the calling thread if it
    /// is one of them.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let (executor, threads, stop_signals) = {
            let mut inner = lock(&self.inner);
            (
                inner.executor.take(),
                std::mem::take(&mut inner.threads),
                std::mem::take(&mut inner.stop_signals),
            )
        };
        for signal in stop_signals {
            if let Some(waker) = lock(&signal.waker).take() {
                waker.wake();
            }
        }
        let current = std::thread::current().id();
        for handle in threads {
            if handle.thread().id() != current {
                // An error means that the thread panicked; it has ended as well.
                let _ = handle.join();
            }
        }
        // The last strong reference: pending tasks are dropped here, and their sockets with them.
        drop(executor);
    }

    /// Runs a future on the calling thread, while the tasks of this runtime run on its own threads.
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
        self.started_at.elapsed().as_micros() as Micros + CLOCK_AT_START
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
        // A caller that waits for longer than the limit is woken early and has to wait again.
        let duration = at.saturating_sub(self.now()).min(MAX_TIMER);
        let timer = async_io::Timer::after(Duration::from_micros(duration));
        Box::pin(async move {
            timer.await;
        })
    }
    fn spawn(&self, task: BoxFuture<()>) {
        if let Some(executor) = self.executor.upgrade() {
            // A panic must end the task only, not the executor thread.
            executor
                .spawn(async move {
                    let _ = AssertUnwindSafe(task).catch_unwind().await;
                })
                .detach();
        }
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Conn>> {
        Box::pin(async move {
            // An interrupted connection attempt is dropped and begun anew: nothing was sent on it.
            let stream = retry_interrupted(|| TcpStream::connect(to)).await?;
            Ok(Box::new(TcpConnection::new(stream)?) as Conn)
        })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            None,
        )?;
        // A restarted process can bind its old port at once, without waiting for TIME_WAIT to end.
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let socket: std::net::TcpListener = socket.into();
        let address = socket.local_addr()?;
        let socket = TcpListener::from(async_io::Async::new(socket)?);
        Ok(Box::new(SmolListener { socket, address }))
    }
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn DatagramSocket>> {
        let socket = async_io::Async::<std::net::UdpSocket>::bind(at)?;
        let address = socket.get_ref().local_addr()?;
        Ok(Box::new(UdpSocket { socket, address }))
    }
    fn random(&self) -> u64 {
        lock(&self.random).next_u64()
    }
    fn turn_monitor(&self) -> Option<&Arc<TurnMonitor>> {
        Some(&self.turn_monitor)
    }
}

struct SmolListener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener for SmolListener {
    fn accept(&mut self) -> BorrowedFuture<'_, io::Result<(Conn, SocketAddr)>> {
        Box::pin(async move {
            let (stream, peer) = retry_interrupted(|| self.socket.accept()).await?;
            Ok((Box::new(TcpConnection::new(stream)?) as Conn, peer))
        })
    }
    fn address(&self) -> SocketAddr {
        self.address
    }
}

struct UdpSocket {
    socket: async_io::Async<std::net::UdpSocket>,
    address: SocketAddr,
}

impl DatagramSocket for UdpSocket {
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

struct TcpConnection {
    stream: TcpStream,
}

impl TcpConnection {
    fn new(stream: TcpStream) -> io::Result<TcpConnection> {
        stream.set_nodelay(true)?;
        Ok(TcpConnection { stream })
    }
}

impl Connection for TcpConnection {
    fn reset_on_close(&mut self) {
        // If this fails, the close is orderly instead, which only tests would notice.
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

impl AsyncRead for TcpConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted_poll(|| Pin::new(&mut self.stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for TcpConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted_poll(|| Pin::new(&mut self.stream).poll_write(cx, buf))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted_poll(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted_poll(|| Pin::new(&mut self.stream).poll_flush(cx))
    }
    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted_poll(|| Pin::new(&mut self.stream).poll_close(cx))
    }
}
