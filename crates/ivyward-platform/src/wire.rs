//! A connection, with the bytes that came and were not used yet, and the answers that come on it.

use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward::core::interface::Micros;
use ivyward::runtime::{before, Conn, Peer, RuntimeRef};
use ivyward_http1::{Answer, Body, BodyError, Limits, Step};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// Bytes asked of the system at once.
const PIECE: usize = 16 << 10;
/// Heads of interim answers that are passed over.
const MOST_INTERIM: usize = 8;

pub(crate) struct Wire {
    conn: Conn,
    buf: Vec<u8>,
    at: usize,
    /// Bytes that came so far, where someone wants to know.
    came: Option<Arc<AtomicU64>>,
    /// Bytes that came where nothing should, and were dropped.
    dropped: usize,
}

impl Wire {
    pub(crate) fn new(conn: Conn) -> Wire {
        Wire {
            conn,
            buf: Vec::new(),
            at: 0,
            came: None,
            dropped: 0,
        }
    }
    /// Counts the bytes that come from now on, so that a slow answer can be told from a silent one.
    pub(crate) fn count(&mut self, came: Arc<AtomicU64>) {
        self.came = Some(came);
    }
    /// Makes the coming close a reset: what has not arrived yet never will.
    pub(crate) fn reset_on_close(&mut self) {
        self.conn.reset_on_close();
    }
    /// The other side, as others may look at it.
    pub(crate) fn peer(&self) -> Arc<dyn Peer> {
        self.conn.peer()
    }
    /// Keeps no more than `most` bytes of what came and was not used yet, and counts what is dropped.
    pub(crate) fn keep(&mut self, most: usize) {
        let over = self.bytes().len().saturating_sub(most);
        self.buf.truncate(self.buf.len() - over);
        self.dropped += over;
    }
    /// Bytes that were dropped: what follows them on the connection cannot be read.
    pub(crate) fn dropped(&self) -> usize {
        self.dropped
    }
    /// Whether the other side has ended its sending, as far as `most` bytes that wait before that show.
    pub(crate) fn ended(&mut self, most: usize) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        while self.bytes().len() < most {
            match self.poll_fill(&mut cx) {
                Poll::Ready(Ok(n)) if n > 0 => {}
                Poll::Ready(_) => return true,
                Poll::Pending => break,
            }
        }
        false
    }
    /// What came and was not used yet.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.buf[self.at..]
    }
    /// The first `n` of them are used. An empty buffer gives its memory back: most connections are idle.
    pub(crate) fn used(&mut self, n: usize) {
        self.at += n;
        if self.at >= self.buf.len() {
            (self.buf, self.at) = (Vec::new(), 0);
        }
    }
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut piece = [0; PIECE];
        let read = std::task::ready!(Pin::new(&mut self.conn).poll_read(cx, &mut piece));
        Poll::Ready(read.inspect(|n| {
            if self.at > 0 {
                self.buf.drain(..self.at);
                self.at = 0;
            }
            self.buf.extend_from_slice(&piece[..*n]);
            if let Some(came) = &self.came {
                came.fetch_add(*n as u64, Ordering::Relaxed);
            }
        }))
    }
    /// Waits for more bytes; 0 at the peer's end.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }
    /// The next step of a body; its bytes go to `into`.
    pub(crate) fn take(&mut self, body: &mut Body, into: &mut Vec<u8>) -> Result<Step, BodyError> {
        let (step, used) = body.step(self.bytes())?;
        if let Step::Data(range) = &step {
            into.extend_from_slice(&self.bytes()[range.clone()]);
        }
        self.used(used);
        Ok(step)
    }
    /// Whether nothing came and the peer has not closed: an idle connection that may be used.
    pub(crate) fn quiet(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.bytes().is_empty() && self.poll_fill(&mut cx).is_pending()
    }
    /// Writes all parts. Dropped before its end, an unknown part of them has left, and the last byte has not.
    pub(crate) async fn write(&mut self, mut first: &[u8], mut second: &[u8]) -> io::Result<()> {
        while !first.is_empty() || !second.is_empty() {
            let n = self.write_some(first, second).await?;
            let from_first = n.min(first.len());
            first = &first[from_first..];
            second = &second[n - from_first..];
        }
        self.flush().await
    }
    /// Writes to a peer that may be slow: it has gone away when it takes no byte for `stall`.
    pub(crate) async fn write_slowly(
        &mut self,
        runtime: &RuntimeRef,
        stall: Micros,
        mut bytes: &[u8],
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            let until = runtime.now().saturating_add(stall);
            let wrote = before(runtime, until, self.write_some(bytes, &[])).await;
            let n = wrote.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
            bytes = &bytes[n..];
        }
        self.flush().await
    }
    /// Writes what the system takes at once: one byte at least.
    async fn write_some(&mut self, first: &[u8], second: &[u8]) -> io::Result<usize> {
        let parts = [IoSlice::new(first), IoSlice::new(second)];
        match poll_fn(|cx| Pin::new(&mut self.conn).poll_write_vectored(cx, &parts)).await? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            n => Ok(n),
        }
    }
    async fn flush(&mut self) -> io::Result<()> {
        poll_fn(|cx| Pin::new(&mut self.conn).poll_flush(cx)).await
    }
    /// Ends our sending, so that what was written reaches a peer that still sends.
    pub(crate) async fn end_sending(&mut self) {
        // The peer may have gone; there is nothing to lose any more.
        let _ = poll_fn(|cx| Pin::new(&mut self.conn).poll_close(cx)).await;
    }
}

/// Why no answer's head came.
pub(crate) enum NoHead {
    /// The connection broke or ended.
    Broken(String),
    /// What came is no head.
    Bad(String),
    /// The other side cannot be reached any more.
    Unreachable,
}

/// The head of an answer; interim ones are passed over.
pub(crate) async fn answer(wire: &mut Wire, limits: &Limits) -> Result<Answer, NoHead> {
    let mut interim = 0;
    loop {
        match Answer::read(wire.bytes(), limits).map_err(|e| NoHead::Bad(e.to_string()))? {
            Some((answer, used)) => {
                wire.used(used);
                match answer.status {
                    100..=199 if interim < MOST_INTERIM => interim += 1,
                    100..=199 => return Err(NoHead::Bad("interim answers without end".into())),
                    _ => return Ok(answer),
                }
            }
            None => match wire.fill().await {
                Ok(0) => {
                    return Err(NoHead::Broken(
                        "the connection ended without an answer".into(),
                    ))
                }
                Ok(_) => {}
                Err(e) => return Err(NoHead::Broken(e.to_string())),
            },
        }
    }
}

/// The whole body of a short answer, or `None` where it breaks or is longer than the bound.
pub(crate) async fn rest(wire: &mut Wire, answer: &Answer, limits: &Limits) -> Option<Vec<u8>> {
    let (mut body, mut text) = (Body::new(answer.framing, limits), Vec::new());
    loop {
        match wire.take(&mut body, &mut text).ok()? {
            Step::Done => return Some(text),
            _ if text.len() as u64 > limits.body => return None,
            Step::More if wire.fill().await.ok()? == 0 => return None,
            _ => {}
        }
    }
}
