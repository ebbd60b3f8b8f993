//! A connection with a read buffer, and reading HTTP responses from it.

use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward::core::interface::Micros;
use ivyward::memory_budget::{BudgetExhausted, BudgetShare};
use ivyward::runtime::{timeout_at, Conn, Peer, ReadBudget, RuntimeRef, TurnBudget};
use ivyward_http1::{
    BodyDecoder, BodyError, Decoded, HeadError, HeadProgress, Limits, ResponseHead,
};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// The maximum size of one read from the socket, in bytes.
const READ_SIZE: usize = 16 << 10;
/// The size of one read while the memory budget is scarce, in bytes.
const SCARCE_READ_SIZE: usize = 2 << 10;
/// The maximum number of unread bytes: that of the longest head. All other elements are consumed in smaller parts.
const MAX_UNREAD_BYTES: usize = 16 << 10;
/// The smallest capacity of a buffer that is not empty, in bytes.
const MIN_CAPACITY: usize = 512;
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
    /// The size of one read, in bytes.
    read_size: usize,
    /// The memory of `buffer`.
    memory: BudgetShare,
}

impl BufferedConnection {
    /// Wraps a connection. `memory` is an empty share of the budget that the buffer counts against.
    pub(crate) fn new(conn: Conn, memory: BudgetShare) -> BufferedConnection {
        BufferedConnection::with_read_size(conn, memory, READ_SIZE)
    }

    /// Like [`BufferedConnection::new`], with reads of up to `read_size` bytes, at most [`READ_SIZE`].
    pub(crate) fn with_read_size(
        conn: Conn,
        memory: BudgetShare,
        read_size: usize,
    ) -> BufferedConnection {
        BufferedConnection {
            conn,
            buffer: Vec::new(),
            consumed: 0,
            received_bytes: None,
            discarded_bytes: 0,
            read_budget: ReadBudget::default(),
            read_size: read_size.min(READ_SIZE),
            memory,
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

    /// Discards all unread bytes.
    fn discard_unread(&mut self) {
        let unread = self.unread().len();
        self.discarded_bytes += unread;
        self.consume(unread);
    }

    /// Returns the number of dropped bytes. If it is not 0, the bytes that follow on the connection cannot be parsed.
    pub(crate) fn discarded_bytes(&self) -> usize {
        self.discarded_bytes
    }

    /// Reads all that has been received, up to `limit` bytes, and returns whether the peer has closed its sending side behind it, or
    /// the connection has failed. Does not wait for more. Keeps what it read as [`BufferedConnection::fill_ahead`] does.
    pub(crate) async fn peer_has_closed(&mut self, limit: usize) -> bool {
        let has_closed = self.read_received(limit).await;
        self.discard_if_scarce();
        has_closed
    }

    /// Reads up to `limit` received bytes, and returns whether the peer has closed behind them.
    async fn read_received(&mut self, limit: usize) -> bool {
        let (mut read, mut turn) = (0, TurnBudget::new(READ_SIZE));
        while read < limit {
            turn.wait_if_spent().await;
            match self.poll_fill(&mut Context::from_waker(Waker::noop())) {
                Poll::Ready(Ok(received)) if received > 0 => {
                    read += received;
                    turn.spend(received);
                }
                Poll::Ready(_) => return true,
                Poll::Pending => return false,
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
            self.memory.resize(0);
        }
    }

    /// Appends received bytes to the buffer, whose capacity is a power of two of at most [`MAX_UNREAD_BYTES`].
    fn append(&mut self, received: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        let needed = self.buffer.len() + received.len();
        if needed > self.buffer.capacity() {
            let capacity = needed.next_power_of_two().max(MIN_CAPACITY);
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(received);
        self.memory.resize(self.buffer.capacity());
    }

    /// Reads once. If the buffer is full, the received bytes are discarded.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_SIZE];
        let space = MAX_UNREAD_BYTES.saturating_sub(self.unread().len());
        let size = match (space, self.memory.budget().is_scarce()) {
            (0, _) => READ_SIZE,
            (space, true) => space.min(self.read_size).min(SCARCE_READ_SIZE),
            (space, false) => space.min(self.read_size),
        };
        let read = std::task::ready!(Pin::new(&mut self.conn).poll_read(cx, &mut chunk[..size]));
        Poll::Ready(read.inspect(|received| {
            match space {
                0 => self.discarded_bytes += received,
                _ => self.append(&chunk[..*received]),
            }
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

    /// Like [`BufferedConnection::fill`], for bytes that are not needed yet. Keeps them if there is memory for them, and otherwise
    /// discards all unread bytes: what follows discarded bytes cannot be parsed.
    pub(crate) async fn fill_ahead(&mut self) -> io::Result<usize> {
        let received = self.fill().await?;
        self.discard_if_scarce();
        Ok(received)
    }

    /// Discards all unread bytes if there is no memory for them, or if what follows them was discarded.
    fn discard_if_scarce(&mut self) {
        if self.discarded_bytes > 0 || self.memory.budget().is_scarce() {
            self.discard_unread();
        }
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
            self.memory.granted().await?;
        }
    }

    /// Parses the next part of a body from the unread bytes, and passes its data to `output`.
    pub(crate) fn read_body_step(
        &mut self,
        body: &mut BodyDecoder,
        output: impl FnOnce(&[u8]),
    ) -> Result<Decoded, BodyError> {
        let (step, used) = body.decode(self.unread())?;
        if let Decoded::Data(range) = &step {
            output(&self.unread()[range.clone()]);
        }
        self.consume(used);
        Ok(step)
    }

    /// Returns whether the connection can be used for another request: the peer has not closed it, and no byte is unread.
    pub(crate) fn is_reusable(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.unread().is_empty() && self.poll_fill(&mut cx).is_pending()
    }

    /// Writes all parts. If the future is dropped before it completes, any part of them but the last byte may have been sent.
    pub(crate) async fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut parts: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
        let mut rest = parts.as_mut_slice();
        // Removes empty parts, of which a write would return 0.
        IoSlice::advance_slices(&mut rest, 0);
        while !rest.is_empty() {
            let written = self.write_some(rest).await?;
            IoSlice::advance_slices(&mut rest, written);
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
            let result = timeout_at(runtime, until, self.write_some(&[IoSlice::new(bytes)])).await;
            let written = result.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
            bytes = &bytes[written..];
        }
        self.flush().await
    }

    /// Writes once, and returns the number of bytes that the socket accepted, at least 1.
    async fn write_some(&mut self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        match poll_fn(|cx| Pin::new(&mut self.conn).poll_write_vectored(cx, parts)).await? {
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
    /// There is no memory for the head.
    #[error("{0}")]
    OutOfMemory(#[from] BudgetExhausted),
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

/// Reads the whole body of a short response. Returns `None` if the connection fails, there is no memory for the body, or the body is
/// malformed or exceeds the limit.
pub(crate) async fn read_response_body(
    connection: &mut BufferedConnection,
    response: &ResponseHead,
    limits: &Limits,
) -> Option<Vec<u8>> {
    let mut body = BodyDecoder::new(response.framing, limits);
    let mut memory = BudgetShare::new(connection.memory.budget());
    let mut bytes = Vec::new();
    loop {
        let append = |data: &[u8]| bytes.extend_from_slice(data);
        match connection.read_body_step(&mut body, append).ok()? {
            Decoded::Done => return Some(bytes),
            _ if bytes.len() as u64 > limits.max_body_bytes => return None,
            Decoded::NeedMoreInput if connection.fill().await.ok()? == 0 => return None,
            _ => {}
        }
        memory.resize(bytes.capacity());
        memory.granted().await.ok()?;
    }
}

#[cfg(test)]
mod tests;
