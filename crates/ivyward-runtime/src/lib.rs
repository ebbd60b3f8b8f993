//! Clock, timers, tasks, sockets and randomness behind one small trait.
//!
//! - [`Runtime`]: what a node, an engine stand-in or a client may ask of its surroundings.
//! - [`SmolRuntime`]: the real surroundings, on async-io and async-executor.
//! - [`metered()`]: the same runtime, with what goes through a handle counted.
//! - [`io`]: the same connections under the I/O traits of hyper and h2.
//!
//! Nothing above this package names a socket, a timer or a clock of the system, so that a virtual clock and a
//! virtual network can drive the very same code.

pub mod io;
mod metered;
mod origin;
mod smol;

pub use metered::{metered, Meter, Usage};
pub use origin::ErrorOrigin;
pub use smol::SmolRuntime;

use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// Microseconds: a point in time on the world's clock, or a span.
pub type Micros = u64;

/// A future that may be moved between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The same, borrowing from who gives it.
pub type BorrowedFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A byte stream to a peer. Dropping it closes it.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {
    /// Makes the coming close a reset instead of an orderly end: what a process that dies leaves behind.
    fn reset_on_close(&mut self);
    /// The other side, to be looked at by whoever does not hold the connection.
    fn peer(&self) -> Arc<dyn Peer>;
}

/// The other side of a connection. Holding it holds no connection open.
pub trait Peer: Send + Sync {
    /// Whether it has closed the connection or ended its sending, or this side has closed it. What it sent before and was
    /// not read yet hides that.
    fn is_disconnected(&self) -> bool;
}

/// Accepts connections at one address. Dropping it stops listening.
pub trait Listener: Send {
    /// The next connection and the peer's address. Errors concern one connection; call again.
    fn accept(&mut self) -> BorrowedFuture<'_, std::io::Result<(Conn, SocketAddr)>>;
    /// The address it listens at, with the port that was really taken.
    fn address(&self) -> SocketAddr;
}

/// Longest datagram that is sent or taken, in bytes: it fits any path without being split.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A socket for datagrams. Each may be lost, repeated or overtaken. Dropping it frees its port.
pub trait DatagramSocket: Send {
    /// Sends one; where there is no room for it now it is lost, as it may be anywhere on its way.
    ///
    /// # Errors
    /// What the system says against it.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> std::io::Result<()>;
    /// The next one: its length, and where it seems to come from. What is longer than `into` is cut off.
    fn receive<'a>(
        &'a mut self,
        into: &'a mut [u8],
    ) -> BorrowedFuture<'a, std::io::Result<(usize, SocketAddr)>>;
    /// The address it is bound to, with the port that was really taken.
    fn address(&self) -> SocketAddr;
}

/// A connection as the rest of the program holds it.
pub type Conn = Box<dyn Connection>;

/// The surroundings of one process: a node, an engine stand-in, a client.
pub trait Runtime: Send + Sync + 'static {
    /// Microseconds since some fixed moment before this process began. Never goes back.
    fn now(&self) -> Micros;
    /// Microseconds since the Unix epoch, by a clock that may jump. Only for times that are shown or exchanged.
    fn unix_micros(&self) -> Micros;
    /// Waits until the clock shows `at` or more. Dropping the future forgets the timer.
    fn sleep_until(&self, at: Micros) -> BoxFuture<()>;
    /// Runs a task to its end, unless the world ends first. A panic in it ends the task only.
    fn spawn(&self, task: BoxFuture<()>);
    /// Opens a connection. Waits as long as the network does: race it against a timer.
    fn connect(&self, to: SocketAddr) -> BoxFuture<std::io::Result<Conn>>;
    /// Listens at an address; port 0 takes a free one.
    fn listen(&self, at: SocketAddr) -> std::io::Result<Box<dyn Listener>>;
    /// A socket for datagrams at an address; port 0 takes a free one.
    fn bind_datagram(&self, at: SocketAddr) -> std::io::Result<Box<dyn DatagramSocket>>;
    /// A random number.
    fn random(&self) -> u64;
}

/// A world as it is handed around.
pub type RuntimeRef = Arc<dyn Runtime>;

/// What most code asks for in one word; for every world.
pub trait RuntimeExt {
    /// Waits for a span of microseconds.
    fn sleep(&self, span: Micros) -> BoxFuture<()>;
    /// Spawns a task given as a plain future.
    fn run(&self, task: impl Future<Output = ()> + Send + 'static);
    /// A number in [0, 1).
    fn random_f64(&self) -> f64;
}

impl<W: Runtime + ?Sized> RuntimeExt for W {
    fn sleep(&self, span: Micros) -> BoxFuture<()> {
        self.sleep_until(self.now().saturating_add(span))
    }
    fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.spawn(Box::pin(task));
    }
    fn random_f64(&self) -> f64 {
        (self.random() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The result of a future, or `None` if the clock shows `at` first.
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
