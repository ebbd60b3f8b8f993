//! A connection with a read buffer, and reading HTTP responses from it.

use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward::core::interface::Micros;
use ivyward::runtime::{timeout_at, Conn, Peer, ReadBudget, RuntimeRef};
use ivyward_http1::{
    BodyDecoder, BodyError, Decoded, HeadError, HeadProgress, Limits, ResponseHead,
};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// The size of one read from the socket, in bytes.
const READ_SIZE: usize = 16 << 10;
/// The limit on interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A connection with a buffer of the received bytes that have not been consumed yet.
pub(crate) struct BufferedConnection {
    conn: Conn,
    buffer: Vec<u8>,
    /// The number of consumed bytes at the beginning of `buffer`.
    consumed: usize,
    /// Counts received bytes, if set by the caller.
    received_bytes: Option<Arc<AtomicU64>>,
    /// The number of received bytes that were dropped because they exceeded a limit.
    discarded_bytes: usize,
    /// Limits what [`BufferedConnection::fill`] reads before it gives the thread back.
    read_budget: ReadBudget,
}

impl BufferedConnection {
    pub(crate) fn new(conn: Conn) -> BufferedConnection {
        BufferedConnection {
            conn,
            buffer: Vec::new(),
            consumed: 0,
            received_bytes: None,
            discarded_bytes: 0,
            read_budget: ReadBudget::default(),
        }
    }

    /// Adds the number of bytes received from now on to a counter, which tells a slow response from an unresponsive peer.
    pub(crate) fn count_received(&mut self, received_bytes: Arc<AtomicU64>) {
        self.received_bytes = Some(received_bytes);
    }

    /// Makes the close of this connection a reset, which discards bytes that have not reached the peer.
    pub(crate) fn reset_on_close(&mut self) {
        self.conn.reset_on_close();
    }

    /// Returns a handle that shows the state of the peer, for use by other tasks.
    pub(crate) fn peer(&self) -> Arc<dyn Peer> {
        self.conn.peer()
    }

    /// Truncates the unread bytes to `limit`, and counts the dropped ones as discarded.
    pub(crate) fn truncate_unread(&mut self, limit: usize) {
        let excess = self.unread().len().saturating_sub(limit);
        self.buffer.truncate(self.buffer.len() - excess);
        self.discarded_bytes += excess;
    }

    /// Returns the number of dropped bytes. If it is not 0, the bytes that follow on the connection cannot be parsed.
    pub(crate) fn discarded_bytes(&self) -> usize {
        self.discarded_bytes
    }

    /// Reads without waiting until `limit` bytes are unread. Returns whether the peer has closed its sending side, or the
    /// connection has failed.
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

    /// Returns the received bytes that have not been consumed yet.
    pub(crate) fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Consumes `count` unread bytes. Frees the memory of an empty buffer, since most connections are idle.
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

    /// Waits for more bytes and returns their number; 0 if the peer has closed its sending side. Gives the thread back from time
    /// to time, also if the peer sends faster than its bytes are processed.
    pub(crate) async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|cx| {
            let mut budget = self.read_budget;
            let received = budget.poll_read(cx, |cx| self.poll_fill(cx));
            self.read_budget = budget;
            received
        })
        .await
    }

    /// Reads a head with `parse`, which returns the head and its length, or `None` if it is incomplete.
    pub(crate) async fn read_head<H>(
        &mut self,
        limits: &Limits,
        parse: impl Fn(&[u8], &Limits) -> Result<Option<(H, usize)>, HeadError>,
    ) -> Result<H, ReadHeadError> {
        let mut progress = HeadProgress::default();
        loop {
            if progress.needs_parse(self.unread(), limits) {
                if let Some((head, used)) = parse(self.unread(), limits)? {
                    self.consume(used);
                    return Ok(head);
                }
            }
            if self.fill().await? == 0 {
                return Err(ReadHeadError::Closed);
            }
        }
    }

    /// Parses the next part of a body from the unread bytes, and appends its data to `output`.
    pub(crate) fn read_body_step(
        &mut self,
        body: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<Decoded, BodyError> {
        let (step, used) = body.decode(self.unread())?;
        if let Decoded::Data(range) = &step {
            output.extend_from_slice(&self.unread()[range.clone()]);
        }
        self.consume(used);
        Ok(step)
    }

    /// Returns whether the connection can be used for another request: the peer has not closed it, and no byte is unread.
    pub(crate) fn is_reusable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.unread().is_empty() && self.poll_fill(&mut cx).is_pending()
    }

    /// Writes both slices. If the future is dropped before it completes, any part of them but the last byte may have been
    /// sent.
    pub(crate) async fn write(&mut self, mut first: &[u8], mut second: &[u8]) -> io::Result<()> {
        while !first.is_empty() || !second.is_empty() {
            let written = self.write_some(first, second).await?;
            let from_first = written.min(first.len());
            first = &first[from_first..];
            second = &second[written - from_first..];
        }
        self.flush().await
    }

    /// Writes to a peer that may be slow. Fails with [`io::ErrorKind::TimedOut`] if no byte can be written for `stall`.
    pub(crate) async fn write_with_stall_timeout(
        &mut self,
        runtime: &RuntimeRef,
        stall: Micros,
        mut bytes: &[u8],
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            let until = runtime.now().saturating_add(stall);
            let result = timeout_at(runtime, until, self.write_some(bytes, &[])).await;
            let written = result.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
            bytes = &bytes[written..];
        }
        self.flush().await
    }

    /// Writes once, and returns the number of bytes that the socket accepted, at least 1.
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

    /// Shuts down the sending side. Unlike a close, this delivers the written bytes to a peer that is still sending.
    pub(crate) async fn close_write(&mut self) {
        // An error means that the peer has already disconnected, and there is nothing left to deliver.
        let _ = poll_fn(|cx| Pin::new(&mut self.conn).poll_close(cx)).await;
    }
}

/// Why no head was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadHeadError {
    /// The peer closed the connection without a complete head.
    #[error("the connection ended without a response")]
    Closed,
    /// Reading from the connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The received bytes are not a valid head.
    #[error("{0}")]
    Invalid(#[from] HeadError),
}

/// Why no response head was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ResponseHeadError {
    /// The next head could not be read.
    #[error(transparent)]
    Head(#[from] ReadHeadError),
    /// More than `MAX_INTERIM_RESPONSES` (8) interim responses were received.
    #[error("more than {MAX_INTERIM_RESPONSES} interim responses")]
    TooManyInterimResponses,
}

/// Reads the head of the final response, skipping interim ones.
pub(crate) async fn read_response_head(
    connection: &mut BufferedConnection,
    limits: &Limits,
) -> Result<ResponseHead, ResponseHeadError> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let response = connection.read_head(limits, ResponseHead::parse).await?;
        if !(100..=199).contains(&response.status) {
            return Ok(response);
        }
    }
    Err(ResponseHeadError::TooManyInterimResponses)
}

/// Reads the whole body of a short response. Returns `None` if the connection fails, or the body is malformed or exceeds
/// the limit.
pub(crate) async fn read_response_body(
    connection: &mut BufferedConnection,
    response: &ResponseHead,
    limits: &Limits,
) -> Option<Vec<u8>> {
    let mut body = BodyDecoder::new(response.framing, limits);
    let mut bytes = Vec::new();
    loop {
        match connection.read_body_step(&mut body, &mut bytes).ok()? {
            Decoded::Done => return Some(bytes),
            _ if bytes.len() as u64 > limits.max_body_bytes => return None,
            Decoded::NeedMoreInput if connection.fill().await.ok()? == 0 => return None,
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
