//! Connections under the I/O traits that h2 and hyper expect. Only the traits are used; no runtime runs.

use crate::{BoxFuture, RuntimeRef};
use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// A futures-io stream under the traits of h2 (tokio's) and of hyper.
pub struct Io<C>(pub C);

fn fill<C: AsyncRead + Unpin>(
    stream: &mut C,
    cx: &mut Context<'_>,
    space: &mut [MaybeUninit<u8>],
) -> Poll<io::Result<usize>> {
    // The stream wants plain bytes, so the space is cleared first.
    let space = {
        space.fill(MaybeUninit::new(0));
        // Sound: every byte was just written.
        unsafe { &mut *(space as *mut [MaybeUninit<u8>] as *mut [u8]) }
    };
    Pin::new(stream).poll_read(cx, space)
}

impl<C: AsyncRead + Unpin> tokio::io::AsyncRead for Io<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let got = ready!(Pin::new(&mut self.0).poll_read(cx, buf.initialize_unfilled()))?;
        buf.advance(got);
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> tokio::io::AsyncWrite for Io<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}

impl<C: AsyncRead + Unpin> hyper::rt::Read for Io<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Sound: `fill` only writes, and only what it says was filled is taken as filled.
        let got = ready!(fill(&mut self.0, cx, unsafe { buf.as_mut() }))?;
        unsafe { buf.advance(got) };
        Poll::Ready(Ok(()))
    }
}

impl<C: AsyncWrite + Unpin> hyper::rt::Write for Io<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}

/// Runs hyper's tasks in a world.
#[derive(Clone)]
pub struct HyperExecutor(pub RuntimeRef);

impl<F: Future + Send + 'static> hyper::rt::Executor<F> for HyperExecutor
where
    F::Output: Send,
{
    fn execute(&self, future: F) {
        let task: BoxFuture<()> = Box::pin(async move {
            future.await;
        });
        self.0.spawn(task);
    }
}
