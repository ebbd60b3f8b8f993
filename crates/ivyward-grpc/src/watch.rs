//! A connection that notes which HTTP/2 frames crossed it.
//!
//! Whether a request may have run turns on facts that h2 does not tell: whether its HEADERS left, up to which
//! stream a GOAWAY promises that work was done, and when a RST_STREAM was written. Only frame heads (nine
//! bytes) and the first bytes of GOAWAY are looked at.

use event_listener::{Event, EventListener};
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_runtime::{Conn, Micros, RuntimeRef};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

const HEAD: usize = 9;
const PREFACE: usize = 24;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;

/// What is known of a connection's frames. Shared by the connection and its calls.
#[derive(Debug, Default)]
pub struct Trace {
    known: Mutex<Known>,
    /// Bytes came in, or the connection closed.
    stirred: Event,
}

#[derive(Debug, Default)]
struct Known {
    /// The highest stream whose HEADERS began to leave.
    headers: u32,
    /// The last stream that a GOAWAY says may have been worked on.
    goaway: Option<u32>,
    /// Who waits for which stream's reset to be written. One entry an abandoned call: bounded by the calls.
    resets: BTreeMap<u32, async_channel::Sender<()>>,
    closed: bool,
    /// Bytes that came in so far.
    received: u64,
    /// When some last did, or when the connection was opened.
    heard: Micros,
}

impl Trace {
    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Whether a stream's HEADERS began to leave the socket.
    pub fn left(&self, stream: u32) -> bool {
        self.known().headers >= stream
    }
    /// Whether the peer promised that it did nothing for a stream.
    pub fn disowned(&self, stream: u32) -> bool {
        self.known().goaway.is_some_and(|last| stream > last)
    }
    /// Whether the peer takes no new streams.
    pub fn going_away(&self) -> bool {
        self.known().goaway.is_some()
    }
    /// Whether the connection is gone.
    pub fn closed(&self) -> bool {
        self.known().closed
    }
    /// Bytes that came in so far.
    pub fn received(&self) -> u64 {
        self.known().received
    }
    /// When bytes last came in, or when the connection was opened.
    pub fn heard(&self) -> Micros {
        self.known().heard
    }
    /// Hears of the next bytes that come in, or of the connection's end.
    pub(crate) fn listen(&self) -> EventListener {
        self.stirred.listen()
    }
    pub(crate) fn hear(&self, bytes: usize, now: Micros) {
        let mut known = self.known();
        known.received += bytes as u64;
        known.heard = known.heard.max(now);
        drop(known);
        self.stirred.notify(usize::MAX);
    }
    /// Ends with an item when the stream's reset is written, or empty when the connection closes.
    pub(crate) fn await_reset(&self, stream: u32) -> async_channel::Receiver<()> {
        let (told, wait) = async_channel::bounded(1);
        let mut known = self.known();
        if !known.closed {
            known.resets.insert(stream, told);
        }
        wait
    }
    pub(crate) fn close(&self) {
        let mut known = self.known();
        known.closed = true;
        known.resets.clear();
        drop(known);
        self.stirred.notify(usize::MAX);
    }
    fn wrote(&self, head: &Head) {
        let mut known = self.known();
        match head.kind {
            HEADERS => known.headers = known.headers.max(head.stream),
            RST_STREAM => {
                if let Some(told) = known.resets.remove(&head.stream) {
                    // The one who waits may have left.
                    let _ = told.try_send(());
                }
            }
            _ => {}
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Head {
    kind: u8,
    stream: u32,
}

/// Follows the frames in a run of bytes.
#[derive(Debug, Default)]
struct Follower {
    /// Bytes to pass over before the next frame head or body of interest.
    skip: usize,
    /// A head, or head and first four bytes of a GOAWAY, as far as seen.
    seen: Vec<u8>,
}

impl Follower {
    /// Goes over bytes that crossed and reports frames. A reset counts once its whole frame crossed, HEADERS once
    /// the head did (a part of a request may be enough for its start), GOAWAY once its last stream is known.
    fn follow(&mut self, mut bytes: &[u8], mut report: impl FnMut(Head, &[u8])) {
        while !bytes.is_empty() {
            if self.skip > 0 {
                let over = self.skip.min(bytes.len());
                self.skip -= over;
                bytes = &bytes[over..];
                continue;
            }
            self.seen.push(bytes[0]);
            bytes = &bytes[1..];
            if self.seen.len() < HEAD {
                continue;
            }
            let s = &self.seen;
            let length = usize::from(s[0]) << 16 | usize::from(s[1]) << 8 | usize::from(s[2]);
            let stream = u32::from_be_bytes([s[5], s[6], s[7], s[8]]) & 0x7fff_ffff;
            let head = Head { kind: s[3], stream };
            let body = match head.kind {
                GOAWAY | RST_STREAM => length.min(4),
                _ => 0,
            };
            if s.len() < HEAD + body {
                continue;
            }
            report(head, &s[HEAD..]);
            self.seen.clear();
            self.skip = length - body;
        }
    }
}

/// A connection whose frames are noted.
pub struct Watched {
    conn: Conn,
    trace: Arc<Trace>,
    runtime: RuntimeRef,
    out: Follower,
    back: Follower,
}

impl Watched {
    /// Notes the frames of a client's connection from its first byte on.
    pub fn new(conn: Conn, trace: Arc<Trace>, runtime: RuntimeRef) -> Watched {
        trace.hear(0, runtime.now());
        Watched {
            conn,
            trace,
            runtime,
            out: Follower {
                skip: PREFACE,
                ..Follower::default()
            },
            back: Follower::default(),
        }
    }
    fn note_out(&mut self, bytes: &[u8]) {
        let trace = &self.trace;
        self.out.follow(bytes, |head, _| trace.wrote(&head));
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let me = &mut *self;
        let got = ready!(Pin::new(&mut me.conn).poll_read(cx, buf))?;
        let trace = &me.trace;
        trace.hear(got, me.runtime.now());
        me.back.follow(&buf[..got], |head, body| {
            if head.kind == GOAWAY && body.len() == 4 {
                let last = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) & 0x7fff_ffff;
                let mut known = trace.known();
                known.goaway = Some(known.goaway.map_or(last, |before| before.min(last)));
            }
        });
        Poll::Ready(Ok(got))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let put = ready!(Pin::new(&mut self.conn).poll_write(cx, buf))?;
        self.note_out(&buf[..put]);
        Poll::Ready(Ok(put))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let put = ready!(Pin::new(&mut self.conn).poll_write_vectored(cx, bufs))?;
        let mut left = put;
        for buf in bufs {
            let part = left.min(buf.len());
            self.note_out(&buf[..part]);
            left -= part;
        }
        Poll::Ready(Ok(put))
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
