//! Adapters that give connections the I/O traits of tokio, which h2 uses, and of hyper.
//!
//! Only tokio's traits are used; no tokio runtime runs.

use crate::{ReadBudget, RuntimeExt, RuntimeRef};
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// Wraps a futures-io stream and implements the I/O traits of tokio, for h2, and of hyper. Limits what is read in one turn of
/// the task, because h2 reads for as long as there is something to read.
pub struct Io<C> {
    stream: C,
    read_budget: ReadBudget,
}

impl<C> Io<C> {
    /// Wraps a stream.
    pub fn new(stream: C) -> Io<C> {
        Io {
            stream,
            read_budget: ReadBudget::default(),
        }
    }
}

impl<C: AsyncRead + Unpin> Io<C> {
    fn poll_read_within_budget(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        self.read_budget
            .poll_read(cx, |cx| stream.poll_read(cx, buffer))
    }
}

/// Polls for a read into a buffer that may be uninitialized. Returns the number of bytes that were read into its front.
fn poll_read_uninit<C: AsyncRead + Unpin>(
    io: &mut Io<C>,
    cx: &mut Context<'_>,
    buffer: &mut [MaybeUninit<u8>],
) -> Poll<io::Result<usize>> {
    // futures-io reads into initialized bytes, so the buffer is zeroed first.
    let buffer = {
        buffer.fill(MaybeUninit::new(0));
        // SAFETY: every byte was just initialized.
        unsafe { &mut *(buffer as *mut [MaybeUninit<u8>] as *mut [u8]) }
    };
    io.poll_read_within_budget(cx, buffer)
}

impl<C: AsyncRead + Unpin> tokio::io::AsyncRead for Io<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = ready!(self.poll_read_within_budget(cx, buf.initialize_unfilled()))?;
        buf.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> tokio::io::AsyncWrite for Io<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl<C: AsyncRead + Unpin> hyper::rt::Read for Io<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // SAFETY: `poll_read_uninit` never makes initialized bytes uninitialized, and it has initialized the bytes by
        // which the cursor advances.
        let length = ready!(poll_read_uninit(&mut self, cx, unsafe { buf.as_mut() }))?;
        unsafe { buf.advance(length) };
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> hyper::rt::Write for Io<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Runs the tasks that hyper spawns on a [`Runtime`](crate::Runtime).
#[derive(Clone)]
pub struct HyperExecutor(pub RuntimeRef);

impl<F: Future + Send + 'static> hyper::rt::Executor<F> for HyperExecutor
where
    F::Output: Send,
{
    fn execute(&self, future: F) {
        self.0.run(async move {
            future.await;
        });
    }
}
