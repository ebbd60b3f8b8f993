//! A socket wrapper that records which HTTP/2 frames crossed it.
//!
//! Whether the server may have run a request depends on facts that h2 does not expose: whether its HEADERS were
//! written to the socket, the last stream that a GOAWAY names, and when a RST_STREAM was written. Only frame heads
//! and the last-stream field of GOAWAY are parsed.

use event_listener::{Event, EventListener};
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_runtime::{Conn, Micros, RuntimeRef};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

/// Length of a frame's head, in bytes.
const HEAD_LENGTH: usize = 9;
/// Length of the client's connection preface, in bytes.
const PREFACE_LENGTH: usize = 24;
/// Length of the payload's part that is parsed: GOAWAY's last stream, RST_STREAM's error code.
const PARSED_PAYLOAD: usize = 4;
/// A stream identifier without its reserved bit.
const STREAM_MASK: u32 = 0x7fff_ffff;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;

/// What the frames of a connection prove. Shared by the connection, its calls and its keepalive.
#[derive(Debug, Default)]
pub struct FrameObserver {
    observed: Mutex<Observed>,
    /// Notified when bytes are received or the connection closes.
    changed: Event,
}

#[derive(Debug, Default)]
struct Observed {
    /// The highest stream whose HEADERS were written, at least in part.
    last_headers_sent: u32,
    /// The last stream that the server may have worked on, according to a GOAWAY.
    goaway_last_stream: Option<u32>,
    /// Notified when a stream's reset is written. One entry for each abandoned call, so bounded by the calls.
    reset_waiters: BTreeMap<u32, async_channel::Sender<()>>,
    closed: bool,
    /// Total of bytes received.
    received_bytes: u64,
    /// When bytes were last received, or when the connection was opened.
    last_received: Micros,
}

impl FrameObserver {
    fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a stream's HEADERS were written to the socket, at least in part.
    pub fn headers_sent(&self, stream: u32) -> bool {
        self.observed().last_headers_sent >= stream
    }

    /// Whether a GOAWAY of the server promises that it did nothing for a stream.
    pub fn excluded_by_goaway(&self, stream: u32) -> bool {
        self.observed()
            .goaway_last_stream
            .is_some_and(|last| stream > last)
    }

    /// Whether the server accepts no new streams.
    pub fn goaway_received(&self) -> bool {
        self.observed().goaway_last_stream.is_some()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.observed().closed
    }

    /// Total of bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.observed().received_bytes
    }

    /// When bytes were last received, or when the connection was opened.
    pub fn last_received(&self) -> Micros {
        self.observed().last_received
    }

    /// Is notified when bytes are received or the connection closes.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn record_received(&self, bytes: usize, now: Micros) {
        let mut observed = self.observed();
        observed.received_bytes += bytes as u64;
        observed.last_received = observed.last_received.max(now);
        drop(observed);
        self.changed.notify(usize::MAX);
    }

    /// Receives an item when the stream's reset is written; is closed when the connection closes.
    pub(crate) fn await_reset(&self, stream: u32) -> async_channel::Receiver<()> {
        let (waiter, written) = async_channel::bounded(1);
        let mut observed = self.observed();
        if !observed.closed {
            observed.reset_waiters.insert(stream, waiter);
        }
        written
    }

    /// Records that the connection is closed.
    pub(crate) fn close(&self) {
        let mut observed = self.observed();
        observed.closed = true;
        observed.reset_waiters.clear();
        drop(observed);
        self.changed.notify(usize::MAX);
    }

    fn record_sent_frame(&self, head: &FrameHead) {
        let mut observed = self.observed();
        match head.kind {
            HEADERS => observed.last_headers_sent = observed.last_headers_sent.max(head.stream),
            RST_STREAM => {
                if let Some(waiter) = observed.reset_waiters.remove(&head.stream) {
                    // Fails when nobody waits any more.
                    let _ = waiter.try_send(());
                }
            }
            _ => {}
        }
    }

    fn record_received_frame(&self, head: &FrameHead, payload: &[u8]) {
        if head.kind != GOAWAY {
            return;
        }
        let Ok(field) = <[u8; PARSED_PAYLOAD]>::try_from(payload) else {
            return;
        };
        let last = u32::from_be_bytes(field) & STREAM_MASK;
        let mut observed = self.observed();
        let lowest = observed.goaway_last_stream.map_or(last, |o| o.min(last));
        observed.goaway_last_stream = Some(lowest);
    }
}

#[derive(Clone, Copy, Debug)]
struct FrameHead {
    kind: u8,
    stream: u32,
}

/// Finds the frames in one direction of a connection's bytes.
#[derive(Debug, Default)]
struct FrameScanner {
    /// Bytes to skip before the next frame head.
    skip: usize,
    /// The current frame's head and the parsed part of its payload, as far as seen.
    seen: Vec<u8>,
}

impl FrameScanner {
    /// Scans bytes that crossed the socket and reports their frames.
    ///
    /// RST_STREAM is reported once its whole frame crossed, HEADERS once the head did (part of a request may be
    /// enough for the server to start it), GOAWAY once its last stream is known.
    fn scan(&mut self, mut bytes: &[u8], mut report: impl FnMut(FrameHead, &[u8])) {
        while !bytes.is_empty() {
            if self.skip > 0 {
                let skipped = self.skip.min(bytes.len());
                self.skip -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            self.seen.push(bytes[0]);
            bytes = &bytes[1..];
            if self.seen.len() < HEAD_LENGTH {
                continue;
            }
            let s = &self.seen;
            let length = usize::from(s[0]) << 16 | usize::from(s[1]) << 8 | usize::from(s[2]);
            let stream = u32::from_be_bytes([s[5], s[6], s[7], s[8]]) & STREAM_MASK;
            let head = FrameHead { kind: s[3], stream };
            let parsed = match head.kind {
                GOAWAY | RST_STREAM => length.min(PARSED_PAYLOAD),
                _ => 0,
            };
            if s.len() < HEAD_LENGTH + parsed {
                continue;
            }
            report(head, &s[HEAD_LENGTH..]);
            self.seen.clear();
            self.skip = length - parsed;
        }
    }
}

/// A client's connection that reports its frames to a [`FrameObserver`].
pub struct ObservedConnection {
    conn: Conn,
    observer: Arc<FrameObserver>,
    runtime: RuntimeRef,
    sent: FrameScanner,
    received: FrameScanner,
}

impl ObservedConnection {
    /// Observes a connection on which nothing has been sent yet.
    pub fn new(
        conn: Conn,
        observer: Arc<FrameObserver>,
        runtime: RuntimeRef,
    ) -> ObservedConnection {
        observer.record_received(0, runtime.now());
        ObservedConnection {
            conn,
            observer,
            runtime,
            sent: FrameScanner {
                skip: PREFACE_LENGTH,
                ..FrameScanner::default()
            },
            received: FrameScanner::default(),
        }
    }

    fn scan_sent(&mut self, bytes: &[u8]) {
        let observer = &self.observer;
        self.sent
            .scan(bytes, |head, _| observer.record_sent_frame(&head));
    }
}

impl AsyncRead for ObservedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let length = ready!(Pin::new(&mut this.conn).poll_read(cx, buf))?;
        let observer = &this.observer;
        observer.record_received(length, this.runtime.now());
        this.received.scan(&buf[..length], |head, payload| {
            observer.record_received_frame(&head, payload);
        });
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for ObservedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.conn).poll_write(cx, buf))?;
        self.scan_sent(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.conn).poll_write_vectored(cx, bufs))?;
        let mut remaining = written;
        for buf in bufs {
            let part = remaining.min(buf.len());
            self.scan_sent(&buf[..part]);
            remaining -= part;
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}

#[cfg(test)]
mod tests;
