//! Reading from a peer that never pauses.

use super::*;
use ivyward::memory_budget::MemoryBudget;
use ivyward::runtime::Connection;
use std::future::Future;
use std::pin::pin;

/// The number of reads until the connection ends.
const READS: usize = 100_000;

/// A connection that always has bytes to read. Nothing can be written to it.
struct EndlessConnection {
    piece: usize,
    reads: Arc<AtomicU64>,
}

fn unlimited() -> BudgetShare {
    BudgetShare::new(&MemoryBudget::unlimited())
}

impl Connection for EndlessConnection {
    fn reset_on_close(&mut self) {}
    fn peer(&self) -> Arc<dyn Peer> {
        unreachable!("not used by this test")
    }
}

impl AsyncRead for EndlessConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let reads = self.reads.fetch_add(1, Ordering::SeqCst);
        let length = if reads < READS as u64 { self.piece } else { 0 };
        buffer[..length].fill(b'x');
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for EndlessConnection {
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

/// Guards against a task that keeps its thread, and with it all timers and other requests, while a peer sends without pause.
#[test]
fn reads_from_a_peer_that_never_pauses_give_the_thread_back() {
    for piece in [1, 700, READ_SIZE] {
        let reads = Arc::new(AtomicU64::new(0));
        let connection = EndlessConnection {
            piece,
            reads: reads.clone(),
        };
        let mut connection = BufferedConnection::new(Box::new(connection), unlimited());
        let mut reading = pin!(async {
            while connection.fill().await.unwrap() > 0 {
                connection.consume(connection.unread().len());
            }
        });
        let mut cx = Context::from_waker(Waker::noop());
        for turn in 1..=100 {
            assert!(reading.as_mut().poll(&mut cx).is_pending());
            let reads = reads.load(Ordering::SeqCst) as usize;
            assert!(reads >= turn, "a turn without progress");
            assert!(
                reads * piece <= turn * 2 * READ_SIZE,
                "{reads} reads of {piece} bytes"
            );
            assert!(reads <= turn * 32, "{reads} reads in {turn} turns");
        }
    }
}

/// Guards against a reused connection on which bytes wait: the limit on reads must not look like an empty socket.
#[test]
fn bytes_in_the_socket_are_seen_after_the_reads_of_a_turn_are_used_up() {
    let connection = EndlessConnection {
        piece: READ_SIZE,
        reads: Arc::default(),
    };
    let mut connection = BufferedConnection::new(Box::new(connection), unlimited());
    let mut cx = Context::from_waker(Waker::noop());
    assert!(pin!(connection.fill()).poll(&mut cx).is_ready());
    assert!(pin!(connection.fill()).poll(&mut cx).is_pending());
    assert!(pin!(connection.fill()).poll(&mut cx).is_ready());
    connection.consume(connection.unread().len());
    assert!(!connection.is_reusable());
}
