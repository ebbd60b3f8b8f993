//! Limits on the work of one turn, and the record of the longest turn.

use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_runtime::io::Io;
use ivyward_runtime::{Runtime, RuntimeExt, SmolRuntime, TurnBudget};
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::sync::mpsc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::ReadBuf;

/// The number of reads until the stream ends.
const READS: usize = 100_000;
const PIECE: usize = 9;

/// A stream that always has bytes to read.
struct EndlessStream {
    reads: usize,
}

impl AsyncRead for EndlessStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.reads += 1;
        let length = if self.reads < READS { PIECE } else { 0 };
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for EndlessStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(0))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against an HTTP/2 connection that keeps its thread while its peer sends frames without pause.
#[test]
fn reads_of_h2_from_a_peer_that_never_pauses_give_the_thread_back() {
    let mut stream = Io::new(EndlessStream { reads: 0 });
    let mut reading = pin!(poll_fn(|cx| {
        let mut bytes = [0; 1024];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = tokio::io::AsyncRead::poll_read(Pin::new(&mut stream), cx, &mut buffer);
            match read {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(_) if buffer.filled().is_empty() => return Poll::Ready(()),
                Poll::Ready(_) => {}
            }
        }
    }));
    let mut cx = Context::from_waker(Waker::noop());
    for _ in 0..100 {
        assert!(reading.as_mut().poll(&mut cx).is_pending());
    }
}

#[test]
fn a_spent_budget_ends_the_turn_once() {
    let mut budget = TurnBudget::new(2);
    let mut cx = Context::from_waker(Waker::noop());
    budget.spend(1);
    assert!(budget.poll_left(&mut cx).is_ready());
    budget.spend(5);
    assert!(budget.poll_left(&mut cx).is_pending());
    assert!(budget.poll_left(&mut cx).is_ready());
    budget.spend(1);
    budget.restore();
    budget.spend(1);
    assert!(budget.poll_left(&mut cx).is_ready());
}

#[test]
fn the_longest_turn_is_recorded_with_the_place_that_started_the_task() {
    const HELD: Duration = Duration::from_millis(30);
    let runtime = SmolRuntime::start(1, 1);
    let (ended, wait_for_end) = mpsc::channel();
    let (_sender, never) = mpsc::channel::<()>();
    let line = line!() + 1;
    runtime.run(async move { assert!(never.recv_timeout(HELD).is_err()) });
    runtime.run(async move { ended.send(()).unwrap() });
    wait_for_end.recv().unwrap();
    let monitor = runtime.turn_monitor().unwrap();
    let longest = monitor.take_longest().unwrap();
    assert!(u128::from(longest.duration) >= HELD.as_micros());
    assert_eq!(longest.task.line(), line);
    assert!(longest.task.file().ends_with("turns.rs"));
}
