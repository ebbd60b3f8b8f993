//! Connections with network faults: a limited send rate, or half-open.

use super::state::SharedState;
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_runtime::{Conn, Connection, Micros, Peer, RuntimeRef};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Number of bytes that a half-open connection discards before it blocks the writer.
const MAX_LOST_BYTES: usize = 1 << 20;

/// A connection that can be slow or half-open. A half-open connection accepts and discards up to [`MAX_LOST_BYTES`], then
/// blocks the writer.
pub(super) struct FaultyConnection {
    pub(super) conn: Conn,
    pub(super) shared: Arc<SharedState>,
    pub(super) runtime: RuntimeRef,
    /// Earliest time of the next write, under the rate limit.
    pub(super) writable_at: Micros,
    pub(super) timer: Option<ivyward_runtime::BoxFuture<()>>,
    pub(super) lost_bytes: usize,
}

impl FaultyConnection {
    pub(super) fn wrap(conn: Conn, shared: &Arc<SharedState>, runtime: &RuntimeRef) -> Conn {
        let (shared, runtime) = (shared.clone(), runtime.clone());
        Box::new(FaultyConnection {
            conn,
            shared,
            runtime,
            writable_at: 0,
            timer: None,
            lost_bytes: 0,
        })
    }
}

impl Connection for FaultyConnection {
    fn reset_on_close(&mut self) {
        self.conn.reset_on_close();
    }

    fn peer(&self) -> Arc<dyn Peer> {
        self.conn.peer()
    }
}

impl AsyncRead for FaultyConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.conn).poll_read(cx, buf)
    }
}

impl AsyncWrite for FaultyConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let (rate, half_open) = {
            let faults = &self.shared.lock().faults;
            (faults.bytes_per_second, faults.half_open)
        };
        // Once bytes have been discarded, nothing more may arrive, because the client would see a stream with a gap.
        if half_open || self.lost_bytes > 0 {
            self.lost_bytes += buf.len();
            return if self.lost_bytes > MAX_LOST_BYTES {
                Poll::Pending
            } else {
                Poll::Ready(Ok(buf.len()))
            };
        }
        if rate == 0 {
            return Pin::new(&mut self.conn).poll_write(cx, buf);
        }
        let now = self.runtime.now();
        if self.writable_at > now {
            let (runtime, writable_at) = (self.runtime.clone(), self.writable_at);
            let timer = self
                .timer
                .get_or_insert_with(|| runtime.sleep_until(writable_at));
            std::task::ready!(timer.as_mut().poll(cx));
        }
        self.timer = None;
        // Writes at most the bytes of a tenth of a second at once.
        let chunk_length = buf.len().min((rate / 10).max(1) as usize);
        let written =
            std::task::ready!(Pin::new(&mut self.conn).poll_write(cx, &buf[..chunk_length]))?;
        self.writable_at = self.runtime.now() + written as u64 * 1_000_000 / rate;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}
