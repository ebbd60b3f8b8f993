//! Clock, timers, tasks, sockets and randomness behind one small trait.
//!
//! - [`Runtime`]: the system services that a node, a fake engine or a client uses.
//! - [`SmolRuntime`]: the implementation on the operating system, with async-io and async-executor.
//! - [`TurnBudget`]: bounds the work of a task whose input may always be ready; [`ReadBudget`]: the same for reads.
//! - [`TurnMonitor`]: the longest time for which a task kept its thread.
//! - [`metered()`]: a handle to a runtime that counts bytes, reads, writes, connections and the time that tasks run.
//! - [`io`]: adapters that give connections the I/O traits of hyper and h2.
//!
//! Packages that depend on this one use the system's sockets, timers and clocks only through [`Runtime`], so that the
//! same code also runs on a virtual clock and a virtual network.

pub mod io;
mod metered;
mod origin;
mod smol;
mod turn_budget;
mod turns;

pub use metered::{metered, Meter, Usage};
pub use origin::ErrorOrigin;
pub use smol::SmolRuntime;
pub use turn_budget::{ReadBudget, TurnBudget};
pub use turns::{Turn, TurnMonitor};

use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::net::SocketAddr;
use std::panic::Location;
use std::pin::Pin;
use std::sync::Arc;

/// Microseconds: a point in time on the clock of a [`Runtime`], or a duration.
pub type Micros = u64;

/// A boxed future that may be moved between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A [`BoxFuture`] that borrows from the value that returned it.
pub type BorrowedFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A byte stream to a peer. Dropping it closes the connection.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {
    /// Makes the connection close with a reset instead of an orderly end, as if the process had died.
    fn reset_on_close(&mut self);
    /// Returns a handle that tells whether the peer has disconnected, for code that does not own the connection.
    fn peer(&self) -> Arc<dyn Peer>;
}

/// A handle to the peer of a connection. It does not keep the connection open.
pub trait Peer: Send + Sync {
    /// Whether the peer has closed the connection or its sending direction, or this side has closed the connection.
    /// Returns `false` as long as there are received bytes that have not been read.
    fn is_disconnected(&self) -> bool;
}

/// Accepts connections at one address. Dropping it stops listening.
pub trait Listener: Send {
    /// Waits for the next connection; returns it with the peer's address. An error concerns one connection only: the
    /// listener stays usable, and the caller calls again.
    fn accept(&mut self) -> BorrowedFuture<'_, std::io::Result<(Conn, SocketAddr)>>;
    /// The address that the listener is bound to, with the actual port if port 0 was asked for.
    fn address(&self) -> SocketAddr;
}

/// Largest datagram that is sent or accepted, in bytes. It fits any path without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A UDP socket. Datagrams may be lost, duplicated or reordered. Dropping the socket frees its port.
pub trait DatagramSocket: Send {
    /// Sends a datagram. A datagram for which the send buffer has no capacity is dropped without an error, as it may be
    /// anywhere in the network.
    ///
    /// # Errors
    /// The error of the system call, other than an interrupted call or a full send buffer.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> std::io::Result<()>;
    /// Waits for the next datagram; returns its length and its source address, which the sender may have forged. A
    /// datagram longer than `into` is truncated.
    fn receive<'a>(
        &'a mut self,
        into: &'a mut [u8],
    ) -> BorrowedFuture<'a, std::io::Result<(usize, SocketAddr)>>;
    /// The address that the socket is bound to, with the actual port if port 0 was asked for.
    fn address(&self) -> SocketAddr;
}

/// A boxed [`Connection`].
pub type Conn = Box<dyn Connection>;

/// Clock, timers, tasks, sockets and random numbers of one process: a node, a fake engine or a client.
pub trait Runtime: Send + Sync + 'static {
    /// Microseconds on a monotonic clock, which counts from a fixed moment before the process started.
    fn now(&self) -> Micros;
    /// Microseconds since the Unix epoch on the wall clock, which may jump. Used only for times that are displayed or
    /// exchanged with other processes.
    fn unix_micros(&self) -> Micros;
    /// Waits until [`Runtime::now`] is at least `at`. Dropping the future cancels the timer. [`SmolRuntime`] waits for a
    /// day at most: a caller with a later time waits again.
    fn sleep_until(&self, at: Micros) -> BoxFuture<()>;
    /// Runs a task in the background until it completes or the runtime stops. A panic ends only this task.
    fn spawn(&self, task: BoxFuture<()>);
    /// Opens a connection. There is no time limit other than the network's own: callers set one with [`timeout_at`].
    fn connect(&self, to: SocketAddr) -> BoxFuture<std::io::Result<Conn>>;
    /// Listens at an address; port 0 selects a free port.
    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>>;
    /// Binds a UDP socket to an address; port 0 selects a free port.
    fn bind_datagram(&self, at: SocketAddr) -> std::io::Result<Box<dyn DatagramSocket>>;
    /// Returns a random number, uniform over all values. Not suitable for secrets.
    fn random(&self) -> u64;
    /// Returns the record of how long tasks kept their thread; `None` if this runtime keeps none.
    fn turn_monitor(&self) -> Option<&Arc<TurnMonitor>> {
        None
    }
}

/// A shared handle to a [`Runtime`].
pub type RuntimeRef = Arc<dyn Runtime>;

/// Shorthands that every [`Runtime`] has.
pub trait RuntimeExt {
    /// Waits for a duration in microseconds.
    fn sleep(&self, duration: Micros) -> BoxFuture<()>;
    /// Boxes a future and runs it in the background with [`Runtime::spawn`]. A [`TurnMonitor`] names the task by its caller.
    #[track_caller]
    fn run(&self, task: impl Future<Output = ()> + Send + 'static);
    /// Returns a random number in [0, 1).
    fn random_f64(&self) -> f64;
}

impl<R: Runtime + ?Sized> RuntimeExt for R {
    fn sleep(&self, duration: Micros) -> BoxFuture<()> {
        self.sleep_until(self.now().saturating_add(duration))
    }
    #[track_caller]
    fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
        let task: BoxFuture<()> = Box::pin(task);
        let started_at = Location::caller();
        match self.turn_monitor().cloned() {
            None => self.spawn(task),
            Some(monitor) => self.spawn(Box::pin(turns::MonitoredTask {
                task,
                started_at,
                monitor,
            })),
        }
    }
    fn random_f64(&self) -> f64 {
        (self.random() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Awaits a future until the clock reaches `at`. Returns `None`, and drops the future, if the deadline comes first. A
/// future that is ready at the first poll wins even if the deadline has passed.
pub async fn timeout_at<T>(
    runtime: &RuntimeRef,
    at: Micros,
    future: impl Future<Output = T>,
) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        runtime.sleep_until(at).await;
        None
    })
    .await
}
