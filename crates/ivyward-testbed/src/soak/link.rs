//! The way between the nodes and one engine: a relay whose bytes can stop, and whose connections can be reset.

use futures_lite::future::{or, poll_once, zip};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ivyward_runtime::{timeout_at, Conn, Micros, RuntimeExt, RuntimeRef};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

const LOOK: Micros = 2_000;
const PIECE: usize = 16 << 10;
/// An engine that does not accept is given up after this span.
const CONNECT: Micros = 10_000_000;

/// What happens to a link. Clones are handles to the same one.
#[derive(Clone, Default)]
pub struct Link {
    cut: Arc<AtomicBool>,
    resets: Arc<AtomicU64>,
}

impl Link {
    /// Nothing passes, or all does again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Relays connections to `target`, until the world ends; the address to connect to.
    ///
    /// # Errors
    /// When it cannot listen.
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
                    Err(_) => runtime.sleep(LOOK).await,
                }
            }
        });
        Ok(address)
    }

    async fn passable(&self, runtime: &RuntimeRef) {
        while self.is_cut() {
            runtime.sleep(LOOK).await;
        }
    }

    async fn relay(&self, runtime: &RuntimeRef, mut near: Conn, target: SocketAddr) {
        let resets = self.resets.load(Ordering::SeqCst);
        // The system has let the connection come up, which no cut would: it is reset at once.
        let connected = match self.is_cut() {
            true => None,
            false => timeout_at(runtime, runtime.now() + CONNECT, runtime.connect(target)).await,
        };
        let Some(Ok(mut far)) = connected else {
            near.reset_on_close();
            return;
        };
        let broke = AtomicBool::new(false);
        let reset = async {
            while self.resets.load(Ordering::SeqCst) == resets && !broke.load(Ordering::SeqCst) {
                runtime.sleep(LOOK).await;
            }
            true
        };
        let broken = {
            let (read_near, write_near) = futures_lite::io::split(&mut near);
            let (read_far, write_far) = futures_lite::io::split(&mut far);
            let there = self.one_way(runtime, (read_near, write_far), &broke);
            let back = self.one_way(runtime, (read_far, write_near), &broke);
            let both = async {
                zip(there, back).await;
                broke.load(Ordering::SeqCst)
            };
            or(both, reset).await
        };
        if broken {
            near.reset_on_close();
            far.reset_on_close();
        }
    }

    /// Passes on one direction to its end, and says where it broke.
    async fn one_way(
        &self,
        runtime: &RuntimeRef,
        (mut read, mut write): (impl AsyncRead + Unpin, impl AsyncWrite + Unpin),
        broke: &AtomicBool,
    ) {
        let (mut piece, mut was_cut) = (vec![0; PIECE], false);
        loop {
            was_cut |= self.is_cut();
            self.passable(runtime).await;
            let looked = runtime.now() + 10 * LOOK;
            let got = match timeout_at(runtime, looked, read.read(&mut piece)).await {
                None => continue,
                Some(Ok(0)) => break,
                Some(Ok(got)) => got,
                Some(Err(_)) => return broke.store(true, Ordering::SeqCst),
            };
            was_cut |= self.is_cut();
            self.passable(runtime).await;
            // What was sent into a cut is sent again by the sender's system when the cut ends, unless the sender ended the
            // connection meanwhile: that took it back.
            let (mut all, mut given_up) = (piece[..got].to_vec(), false);
            while was_cut && !given_up {
                match poll_once(read.read(&mut piece)).await {
                    None => break,
                    Some(Ok(more)) if more > 0 => all.extend_from_slice(&piece[..more]),
                    Some(_) => given_up = true,
                }
            }
            if given_up || write.write_all(&all).await.is_err() {
                return broke.store(true, Ordering::SeqCst);
            }
            was_cut = false;
        }
        // The other side may have gone.
        let _ = write.close().await;
    }
}
