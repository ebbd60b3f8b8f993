//! A connection with a read buffer, and the HTTP responses that arrive on it.

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

/// Bytes asked of the system in one read.
const READ_SIZE: usize = 16 << 10;
/// Interim (1xx) responses that are skipped before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A connection and the bytes that were received on it and not consumed yet.
pub(crate) struct BufferedConnection {
    conn: Conn,
    buffer: Vec<u8>,
    /// Bytes of `buffer` that were consumed.
    consumed: usize,
    /// Counts received bytes, where the caller wants to know.
    received_bytes: Option<Arc<AtomicU64>>,
    /// Bytes that were received beyond a limit and dropped.
    discarded_bytes: usize,
}

impl BufferedConnection {
    pub(crate) fn new(conn: Conn) -> BufferedConnection {
        BufferedConnection {
            conn,
            buffer: Vec::new(),
            consumed: 0,
            received_bytes: None,
            discarded_bytes: 0,
        }
    }

    /// Counts the bytes received from now on, so that a slow response can be told from a silent peer.
    pub(crate) fn count_received(&mut self, received_bytes: Arc<AtomicU64>) {
        self.received_bytes = Some(received_bytes);
    }

    /// Makes the close of this connection a reset: bytes that have not arrived by then never will.
    pub(crate) fn reset_on_close(&mut self) {
        self.conn.reset_on_close();
    }

    /// A handle by which others can look at the state of the peer.
    pub(crate) fn peer(&self) -> Arc<dyn Peer> {
        self.conn.peer()
    }

    /// Keeps no more than `limit` unread bytes, and counts those that are dropped.
    pub(crate) fn truncate_unread(&mut self, limit: usize) {
        let excess = self.unread().len().saturating_sub(limit);
        self.buffer.truncate(self.buffer.len() - excess);
        self.discarded_bytes += excess;
    }

    /// Bytes that were dropped: what follows them on the connection cannot be parsed.
    pub(crate) fn discarded_bytes(&self) -> usize {
        self.discarded_bytes
    }

    /// Reads up to `limit` unread bytes without waiting; whether the peer has closed its sending side by then.
    pub(crate) fn peer_has_closed(&mut self, limit: usize) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        while self.unread().len() < limit {
            match self.poll_fill(&mut cx) {
                Poll::Ready(Ok(received)) if received > 0 => {}
                Poll::Ready(_) => return true,
                Poll::Pending => break,
            }
        }
        false
    }

    /// Bytes that were received and not consumed yet.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Consumes `count` unread bytes. An empty buffer frees its memory: most connections are idle.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed >= self.buffer.len() {
            self.buffer = Vec::new();
            self.consumed = 0;
        }
    }

    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_SIZE];
        let read = std::task::ready!(Pin::new(&mut self.conn).poll_read(cx, &mut chunk));
        Poll::Ready(read.inspect(|received| {
            if self.consumed > 0 {
                self.buffer.drain(..self.consumed);
                self.consumed = 0;
            }
            self.buffer.extend_from_slice(&chunk[..*received]);
            if let Some(counter) = &self.received_bytes {
                counter.fetch_add(*received as u64, Ordering::Relaxed);
            }
        }))
    }

    /// Waits for more bytes; 0 at the end of what the peer sends.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| self.poll_fill(cx)).await
    }

    /// Takes the next step of a body; its bytes are appended to `output`.
    pub(crate) fn read_body_step(
        &mut self,
        body: &mut Body,
        output: &mut Vec<u8>,
    ) -> Result<Step, BodyError> {
        let (step, used) = body.step(self.unread())?;
        if let Step::Data(range) = &step {
            output.extend_from_slice(&self.unread()[range.clone()]);
        }
        self.consume(used);
        Ok(step)
    }

    /// Whether nothing was received and the peer has not closed: an idle connection that may be reused.
    pub(crate) fn is_quiet(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.unread().is_empty() && self.poll_fill(&mut cx).is_pending()
    }

    /// Writes both slices. If dropped before its end, an unknown part of them was sent, and the last byte was not.
    pub(crate) async fn write(&mut self, mut first: &[u8], mut second: &[u8]) -> io::Result<()> {
        while !first.is_empty() || !second.is_empty() {
            let written = self.write_some(first, second).await?;
            let from_first = written.min(first.len());
            first = &first[from_first..];
            second = &second[written - from_first..];
        }
        self.flush().await
    }

    /// Writes to a peer that may be slow; fails when it takes no byte for `stall`.
    pub(crate) async fn write_with_stall_timeout(
        &mut self,
        runtime: &RuntimeRef,
        stall: Micros,
        mut bytes: &[u8],
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            let until = runtime.now().saturating_add(stall);
            let result = before(runtime, until, self.write_some(bytes, &[])).await;
            let written = result.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
            bytes = &bytes[written..];
        }
        self.flush().await
    }

    /// Writes what the system takes in one call: at least one byte.
    async fn write_some(&mut self, first: &[u8], second: &[u8]) -> io::Result<usize> {
        let parts = [IoSlice::new(first), IoSlice::new(second)];
        match poll_fn(|cx| Pin::new(&mut self.conn).poll_write_vectored(cx, &parts)).await? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            written => Ok(written),
        }
    }

    async fn flush(&mut self) -> io::Result<()> {
        poll_fn(|cx| Pin::new(&mut self.conn).poll_flush(cx)).await
    }

    /// Closes our sending side, so that what was written reaches a peer that still sends.
    pub(crate) async fn close_write(&mut self) {
        // The peer may have disconnected already; then there is nothing to deliver.
        let _ = poll_fn(|cx| Pin::new(&mut self.conn).poll_close(cx)).await;
    }
}

/// Why no response head was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseHeadError {
    /// The connection was closed by the peer without a response.
    #[error("the connection ended without an answer")]
    Closed,
    /// The connection broke.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What was received is no response head.
    #[error("{0}")]
    Invalid(#[from] ivyward_http1::Fault),
    /// Interim responses kept coming.
    #[error("interim answers without end")]
    TooManyInterimResponses,
}

/// Reads the head of a response; interim ones are skipped.
pub(crate) async fn read_response_head(
    connection: &mut BufferedConnection,
    limits: &Limits,
) -> Result<Answer, ResponseHeadError> {
    let mut interim_responses = 0;
    loop {
        match Answer::read(connection.unread(), limits)? {
            Some((response, used)) => {
                connection.consume(used);
                match response.status {
                    100..=199 if interim_responses < MAX_INTERIM_RESPONSES => {
                        interim_responses += 1;
                    }
                    100..=199 => return Err(ResponseHeadError::TooManyInterimResponses),
                    _ => return Ok(response),
                }
            }
            None => {
                if connection.fill().await? == 0 {
                    return Err(ResponseHeadError::Closed);
                }
            }
        }
    }
}

/// Reads the whole body of a short response; `None` if it breaks or is longer than the limit.
pub(crate) async fn read_response_body(
    connection: &mut BufferedConnection,
    response: &Answer,
    limits: &Limits,
) -> Option<Vec<u8>> {
    let mut body = Body::new(response.framing, limits);
    let mut bytes = Vec::new();
    loop {
        match connection.read_body_step(&mut body, &mut bytes).ok()? {
            Step::Done => return Some(bytes),
            _ if bytes.len() as u64 > limits.body => return None,
            Step::More if connection.fill().await.ok()? == 0 => return None,
            _ => {}
        }
    }
}
