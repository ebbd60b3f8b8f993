//! A socket wrapper that records which HTTP/2 frames crossed it.
//!
//! Whether the server may have run a request depends on facts that h2 does not expose: whether the request's HEADERS were
//! written to the socket, the last stream that a GOAWAY names, and when a RST_STREAM was written. When the last DATA of a
//! request was written matters for confirming its delivery. Only frame headers and the last-stream field of GOAWAY are
//! parsed.

use event_listener::{Event, EventListener};
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_runtime::{Conn, Micros, RuntimeRef};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

/// Length of a frame header, in bytes.
const FRAME_HEADER_LENGTH: usize = 9;
/// Length of the client's connection preface, in bytes.
const PREFACE_LENGTH: usize = 24;
/// Length of the parsed part of a payload, in bytes: GOAWAY's last stream, RST_STREAM's error code.
const PARSED_PAYLOAD: usize = 4;
/// A stream identifier without its reserved bit.
const STREAM_MASK: u32 = 0x7fff_ffff;
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;
/// The flag of a DATA frame that ends its stream.
const END_STREAM: u8 = 1;

/// Records the facts about a connection's frames that decide whether a call may have run. Shared by the connection, its
/// calls and its keepalive.
#[derive(Debug, Default)]
pub struct FrameObserver {
    observed: Mutex<Observed>,
    /// Notified when bytes are received, the last DATA of a request is written, or the connection closes.
    changed: Event,
}

#[derive(Debug, Default)]
struct Observed {
    /// The highest stream whose HEADERS were written, at least in part.
    last_headers_sent: u32,
    /// The last stream that the server may have processed, according to the GOAWAY with the lowest one; `None` without a
    /// GOAWAY.
    goaway_last_stream: Option<u32>,
    /// Senders to notify when the reset of a stream is written. Bounded by the number of calls, because each abandoned call
    /// has one entry.
    reset_waiters: BTreeMap<u32, async_channel::Sender<()>>,
    /// Streams whose last DATA has not been written. Bounded by the number of calls.
    uploads: BTreeSet<u32>,
    closed: bool,
    /// Total number of bytes received.
    received_bytes: u64,
    /// The time at which bytes were last received, or the connection was opened.
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

    /// Whether a GOAWAY of the server guarantees that it did not process a stream.
    pub fn excluded_by_goaway(&self, stream: u32) -> bool {
        self.observed()
            .goaway_last_stream
            .is_some_and(|last| stream > last)
    }

    /// Whether a GOAWAY was received: the server accepts no new streams.
    pub fn goaway_received(&self) -> bool {
        self.observed().goaway_last_stream.is_some()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.observed().closed
    }

    /// Total number of bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.observed().received_bytes
    }

    /// The time at which bytes were last received, or the connection was opened.
    pub fn last_received(&self) -> Micros {
        self.observed().last_received
    }

    /// Returns a listener that is notified when bytes are received or the connection closes.
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

    /// Returns a receiver that gets an item when the reset of a stream is written, and is closed when the connection closes.
    pub(crate) fn await_reset(&self, stream: u32) -> async_channel::Receiver<()> {
        let (waiter, written) = async_channel::bounded(1);
        let mut observed = self.observed();
        if !observed.closed {
            observed.reset_waiters.insert(stream, waiter);
        }
        written
    }

    /// Records that the request of a stream is about to be sent.
    pub(crate) fn upload_began(&self, stream: u32) {
        self.observed().uploads.insert(stream);
    }

    /// Records that the request of a stream will not be sent any further.
    pub(crate) fn upload_ended(&self, stream: u32) {
        self.observed().uploads.remove(&stream);
    }

    /// Waits until the last DATA of a stream is written, or the connection closes.
    pub(crate) async fn upload_written(&self, stream: u32) {
        loop {
            let changed = self.listen();
            if self.is_closed() || !self.observed().uploads.contains(&stream) {
                return;
            }
            changed.await;
        }
    }

    /// Records that the connection is closed.
    pub(crate) fn close(&self) {
        let mut observed = self.observed();
        observed.closed = true;
        observed.reset_waiters.clear();
        drop(observed);
        self.changed.notify(usize::MAX);
    }

    fn record_sent_frame(&self, header: &FrameHeader) {
        let mut observed = self.observed();
        match header.kind {
            DATA if header.flags & END_STREAM != 0 => {
                observed.uploads.remove(&header.stream);
                drop(observed);
                self.changed.notify(usize::MAX);
            }
            HEADERS => observed.last_headers_sent = observed.last_headers_sent.max(header.stream),
            RST_STREAM => {
                if let Some(waiter) = observed.reset_waiters.remove(&header.stream) {
                    // Fails when the call no longer waits.
                    let _ = waiter.try_send(());
                }
            }
            _ => {}
        }
    }

    fn record_received_frame(&self, header: &FrameHeader, payload: &[u8]) {
        if header.kind != GOAWAY {
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
struct FrameHeader {
    kind: u8,
    flags: u8,
    stream: u32,
}

/// Finds the frames in the bytes of one direction of a connection.
#[derive(Debug, Default)]
struct FrameScanner {
    /// Number of bytes to skip before the next frame header.
    skip: usize,
    /// The bytes received so far of the current frame's header and of the parsed part of its payload.
    partial: Vec<u8>,
}

impl FrameScanner {
    /// Scans bytes that were written to or read from the socket, and reports their frames.
    ///
    /// RST_STREAM is reported once the whole frame was scanned, GOAWAY once its last stream is known, and any other frame once
    /// its header was scanned: for HEADERS, part of a request may be enough for the server to start it.
    fn scan(&mut self, mut bytes: &[u8], mut report: impl FnMut(FrameHeader, &[u8])) {
        while !bytes.is_empty() {
            if self.skip > 0 {
                let skipped = self.skip.min(bytes.len());
                self.skip -= skipped;
                bytes = &bytes[skipped..];
                continue;
            }
            self.partial.push(bytes[0]);
            bytes = &bytes[1..];
            if self.partial.len() < FRAME_HEADER_LENGTH {
                continue;
            }
            let s = &self.partial;
            let length = usize::from(s[0]) << 16 | usize::from(s[1]) << 8 | usize::from(s[2]);
            let stream = u32::from_be_bytes([s[5], s[6], s[7], s[8]]) & STREAM_MASK;
            let header = FrameHeader {
                kind: s[3],
                flags: s[4],
                stream,
            };
            let parsed = match header.kind {
                GOAWAY | RST_STREAM => length.min(PARSED_PAYLOAD),
                _ => 0,
            };
            if s.len() < FRAME_HEADER_LENGTH + parsed {
                continue;
            }
            report(header, &s[FRAME_HEADER_LENGTH..]);
            self.partial.clear();
            self.skip = length - parsed;
        }
    }
}

/// A client's connection that reports its frames to a [`FrameObserver`].
///
/// A write fails as soon as the server's reset has arrived, while what the server sent before it, such as a GOAWAY or the end of a
/// response, may still be in the socket. The error is therefore returned by the read that finds nothing more. Bytes that are
/// written meanwhile are dropped, and are not reported as sent.
pub struct ObservedConnection {
    conn: Conn,
    /// Why writes fail, if they do.
    write_error: Option<io::ErrorKind>,
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
            write_error: None,
            observer,
            runtime,
            sent: FrameScanner {
                skip: PREFACE_LENGTH,
                ..FrameScanner::default()
            },
            received: FrameScanner::default(),
        }
    }

    /// Reports the bytes of a write, or keeps its error. Returns how many of the `offered` bytes count as written.
    fn finish_write(
        &mut self,
        cx: &mut Context<'_>,
        written: io::Result<usize>,
        bufs: &[io::IoSlice<'_>],
    ) -> usize {
        let offered = bufs.iter().map(|buf| buf.len()).sum();
        let mut remaining = match written {
            Ok(written) => written,
            Err(error) => {
                self.write_error = Some(error.kind());
                // The read may have found nothing before, and has to return the error.
                cx.waker().wake_by_ref();
                return offered;
            }
        };
        let written = remaining;
        for buf in bufs {
            let part = remaining.min(buf.len());
            self.scan_sent(&buf[..part]);
            remaining -= part;
        }
        written
    }

    fn scan_sent(&mut self, bytes: &[u8]) {
        let observer = &self.observer;
        self.sent
            .scan(bytes, |header, _| observer.record_sent_frame(&header));
    }
}

impl AsyncRead for ObservedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let length = match (
            Pin::new(&mut this.conn).poll_read(cx, buf),
            this.write_error,
        ) {
            (Poll::Ready(read), _) => read?,
            (Poll::Pending, Some(error)) => return Poll::Ready(Err(error.into())),
            (Poll::Pending, None) => return Poll::Pending,
        };
        let observer = &this.observer;
        observer.record_received(length, this.runtime.now());
        this.received.scan(&buf[..length], |header, payload| {
            observer.record_received_frame(&header, payload);
        });
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for ObservedConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = match self.write_error {
            Some(error) => Err(error.into()),
            None => ready!(Pin::new(&mut self.conn).poll_write_vectored(cx, bufs)),
        };
        Poll::Ready(Ok(self.finish_write(cx, written, bufs)))
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
