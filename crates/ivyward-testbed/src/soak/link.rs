//! The link between the nodes and one engine: a relay that can stop forwarding bytes, lose bytes, and reset its connections.
//!
//! A connection of which bytes were lost is silent from then on: both sides may write, nothing arrives, and neither side sees
//! an error until the other closes the connection.

use futures_lite::future::{or, poll_once, zip};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ivyward_fakes::platform::observe::{Observation, ObservationLog};
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

const POLL_INTERVAL: Micros = 2_000;
const CHUNK: usize = 16 << 10;
/// The timeout for connecting to the engine.
const CONNECT_TIMEOUT: Micros = 10_000_000;

/// Controls a link. Clones are handles to the same link.
#[derive(Clone)]
pub struct Link {
    log: ObservationLog,
    /// Index of the link's engine.
    engine: usize,
    cut: Arc<AtomicBool>,
    resets: Arc<AtomicU64>,
    loses_bytes: Arc<AtomicBool>,
    /// How often all open connections were made silent.
    silenced: Arc<AtomicU64>,
    /// The percentage of new connections that are silent from their start.
    silent_new_percent: Arc<AtomicU64>,
}

/// The direction in which bytes pass a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToEngine,
    ToNode,
}

/// Whether one connection is silent.
struct Silence<'a> {
    link: &'a Link,
    /// The value of [`Link::silenced`] when the connection was opened.
    opened_at: u64,
    has_lost_bytes: AtomicBool,
}

impl Silence<'_> {
    /// Returns whether bytes that arrive now are lost. If so, the connection stays silent.
    fn loses_bytes(&self) -> bool {
        let lost = self.has_lost_bytes.load(Ordering::SeqCst)
            || self.link.loses_bytes.load(Ordering::SeqCst)
            || self.link.silenced.load(Ordering::SeqCst) != self.opened_at;
        self.has_lost_bytes.fetch_or(lost, Ordering::SeqCst);
        lost
    }
}

impl Link {
    /// Creates the link of the engine with this index. Bytes that it loses on their way to a node are recorded in `log`.
    pub fn new(log: &ObservationLog, engine: usize) -> Link {
        Link {
            log: log.clone(),
            engine,
            cut: Arc::default(),
            resets: Arc::default(),
            loses_bytes: Arc::default(),
            silenced: Arc::default(),
            silent_new_percent: Arc::default(),
        }
    }

    /// Stops forwarding bytes, or forwards them again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
    /// Resets all connections of the link.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }
    /// Loses all bytes from now on, or forwards those of new connections again.
    pub fn set_loses_bytes(&self, loses: bool) {
        self.loses_bytes.store(loses, Ordering::SeqCst);
    }
    /// Makes all open connections silent. New connections work.
    pub fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }
    /// Makes this percentage of new connections silent from their start.
    pub fn set_silent_new_percent(&self, percent: u64) {
        self.silent_new_percent.store(percent, Ordering::SeqCst);
    }
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Relays connections to `target` until the runtime stops. Returns the address to connect to.
    ///
    /// # Errors
    /// Fails if the relay cannot listen.
    pub fn serve(&self, runtime: &RuntimeRef, target: SocketAddr) -> std::io::Result<SocketAddr> {
        let mut listener = runtime.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.address();
        let (link, runtime) = (self.clone(), runtime.clone());
        let accepting = runtime.clone();
        accepting.run(async move {
            loop {
                match listener.accept().await {
                    Ok((conn, _)) => {
                        let (link, of) = (link.clone(), runtime.clone());
                        runtime.run(async move { link.relay(&of, conn, target).await });
                    }
                    Err(_) => runtime.sleep(POLL_INTERVAL).await,
                }
            }
        });
        Ok(address)
    }

    async fn wait_until_not_cut(&self, runtime: &RuntimeRef) {
        while self.is_cut() {
            runtime.sleep(POLL_INTERVAL).await;
        }
    }

    async fn relay(&self, runtime: &RuntimeRef, mut node_conn: Conn, target: SocketAddr) {
        let resets = self.resets.load(Ordering::SeqCst);
        // The system has already accepted the connection, which a real cut would have prevented, so it is reset at once.
        let connected = match self.is_cut() {
            true => None,
            false => {
                timeout_at(
                    runtime,
                    runtime.now() + CONNECT_TIMEOUT,
                    runtime.connect(target),
                )
                .await
            }
        };
        let Some(Ok(mut engine_conn)) = connected else {
            node_conn.reset_on_close();
            return;
        };
        let is_silent = runtime.random() % 100 < self.silent_new_percent.load(Ordering::SeqCst);
        let silence = Silence {
            link: self,
            opened_at: self.silenced.load(Ordering::SeqCst),
            has_lost_bytes: AtomicBool::new(is_silent),
        };
        let broke = AtomicBool::new(false);
        let reset = async {
            while self.resets.load(Ordering::SeqCst) == resets && !broke.load(Ordering::SeqCst) {
                runtime.sleep(POLL_INTERVAL).await;
            }
            true
        };
        let broken = {
            let (read_node, write_node) = futures_lite::io::split(&mut node_conn);
            let (read_engine, write_engine) = futures_lite::io::split(&mut engine_conn);
            let forward = self.one_way(
                runtime,
                (Direction::ToEngine, read_node, write_engine),
                &silence,
                &broke,
            );
            let back = self.one_way(
                runtime,
                (Direction::ToNode, read_engine, write_node),
                &silence,
                &broke,
            );
            let both = async {
                zip(forward, back).await;
                broke.load(Ordering::SeqCst)
            };
            or(both, reset).await
        };
        if broken {
            node_conn.reset_on_close();
            engine_conn.reset_on_close();
        }
    }

    /// Forwards one direction until it ends, and sets `broke` if it ended with an error.
    async fn one_way(
        &self,
        runtime: &RuntimeRef,
        (direction, mut read, mut write): (
            Direction,
            impl AsyncRead + Unpin,
            impl AsyncWrite + Unpin,
        ),
        silence: &Silence<'_>,
        broke: &AtomicBool,
    ) {
        let (mut chunk, mut was_cut) = (vec![0; CHUNK], false);
        loop {
            was_cut |= self.is_cut();
            self.wait_until_not_cut(runtime).await;
            let until = runtime.now() + 10 * POLL_INTERVAL;
            let got = match timeout_at(runtime, until, read.read(&mut chunk)).await {
                None => continue,
                Some(Ok(0)) => break,
                Some(Ok(got)) => got,
                Some(Err(_)) => return broke.store(true, Ordering::SeqCst),
            };
            if silence.loses_bytes() {
                if direction == Direction::ToNode {
                    let engine = self.engine;
                    self.log
                        .add(runtime.now(), Observation::ResponseBytesLost { engine });
                }
                continue;
            }
            was_cut |= self.is_cut();
            self.wait_until_not_cut(runtime).await;
            // TCP retransmits bytes sent during a cut when the cut ends. If the sender closed the connection during the
            // cut, they are dropped and the connection is reset.
            let (mut all, mut sender_closed) = (chunk[..got].to_vec(), false);
            while was_cut && !sender_closed {
                match poll_once(read.read(&mut chunk)).await {
                    None => break,
                    Some(Ok(more)) if more > 0 => all.extend_from_slice(&chunk[..more]),
                    Some(_) => sender_closed = true,
                }
            }
            if sender_closed || write.write_all(&all).await.is_err() {
                return broke.store(true, Ordering::SeqCst);
            }
            was_cut = false;
        }
        if silence.loses_bytes() {
            return broke.store(true, Ordering::SeqCst);
        }
        // The other side may have closed the connection.
        let _ = write.close().await;
    }
}
