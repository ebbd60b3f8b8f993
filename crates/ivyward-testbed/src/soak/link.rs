//! The link between the nodes and one engine: a relay that can stop forwarding bytes and reset its connections.

use futures_lite::future::{or, poll_once, zip};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

const POLL_INTERVAL: Micros = 2_000;
const CHUNK: usize = 16 << 10;
/// The timeout for connecting to the engine.
const CONNECT_TIMEOUT: Micros = 10_000_000;

/// Controls a link. Clones are handles to the same link.
#[derive(Clone, Default)]
pub struct Link {
    cut: Arc<AtomicBool>,
    resets: Arc<AtomicU64>,
}

impl Link {
    /// Stops forwarding bytes, or forwards them again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
    /// Resets all connections of the link.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
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
            let forward = self.one_way(runtime, (read_node, write_engine), &broke);
            let back = self.one_way(runtime, (read_engine, write_node), &broke);
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
        (mut read, mut write): (impl AsyncRead + Unpin, impl AsyncWrite + Unpin),
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
        // The other side may have closed the connection.
        let _ = write.close().await;
    }
}
