//! What the calls of a client's gRPC connection still receive when the server has reset it.

mod virtual_cluster;

use futures_lite::{AsyncRead, AsyncWrite};
use ivyward_grpc::{encode, Call, CallError, Channel, Options};
use ivyward_proto::engine::{ProbeReply, ProbeRequest};
use ivyward_runtime::{Conn, Connection, Micros, Peer, RuntimeExt, RuntimeRef};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use virtual_cluster::{virtual_cluster, HOUR};

const MS: Micros = 1_000;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
/// The flags of HEADERS that end their block and their stream.
const END_OF_HEADERS_AND_STREAM: u8 = 5;
/// Response headers in HPACK: status 200, a content type, and gRPC's status OK.
const STATUS_OK: &[u8] = b"\x88\x5f\x10application/grpc\x40\x0bgrpc-status\x010";
const PATH: &str = "/ivyward.engine.v1.Engine/Probe";

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// What has arrived from a server before its reset, and is read only after a write has failed.
#[derive(Default)]
struct Socket {
    received: Mutex<Vec<u8>>,
    was_reset: AtomicBool,
    write_failed: AtomicBool,
    reader: Mutex<Option<Waker>>,
}

/// A connection whose socket the test holds.
struct TestConnection(Arc<Socket>);

impl AsyncRead for TestConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.0.write_failed.load(Ordering::SeqCst) {
            *self.0.reader.lock().unwrap() = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let mut received = self.0.received.lock().unwrap();
        let length = received.len().min(buf.len());
        buf[..length].copy_from_slice(&received[..length]);
        received.drain(..length);
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for TestConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.0.was_reset.load(Ordering::SeqCst) {
            return Poll::Ready(Ok(buf.len()));
        }
        self.0.write_failed.store(true, Ordering::SeqCst);
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Peer for Socket {
    fn is_disconnected(&self) -> bool {
        false
    }
}

impl Connection for TestConnection {
    fn reset_on_close(&mut self) {}
    fn peer(&self) -> Arc<dyn Peer> {
        self.0.clone()
    }
}

async fn call(channel: &Channel) -> Call {
    let body = encode(&ProbeRequest { engine: 1 });
    let call = channel.call(PATH, body, Default::default()).await;
    call.unwrap()
}

/// Makes two calls, the second one after the server's GOAWAY, the end of the first call and a reset have arrived. Returns how the
/// calls ended.
async fn calls_around_a_reset(
    runtime: &RuntimeRef,
    end_of_first: &[u8],
) -> [Result<Option<ProbeReply>, CallError>; 2] {
    let socket = Arc::new(Socket::default());
    let conn: Conn = Box::new(TestConnection(socket.clone()));
    let channel = Channel::begin(runtime, conn, Options::default())
        .await
        .unwrap();
    let mut first = call(&channel).await;
    assert!(first.try_next::<ProbeReply>().await.is_none());
    runtime.sleep(10 * MS).await;
    let goaway = frame(GOAWAY, 0, 0, &[0, 0, 0, 1, 0, 0, 0, 0]);
    let received = [&frame(SETTINGS, 0, 0, &[]), &goaway, end_of_first].concat();
    *socket.received.lock().unwrap() = received;
    socket.was_reset.store(true, Ordering::SeqCst);
    let mut second = call(&channel).await;
    let second = second.next::<ProbeReply>().await;
    [first.next::<ProbeReply>().await, second]
}

/// Guards against a failed write that hides what the server sent before its reset: the end of a response, and the GOAWAY that
/// proves that a later call never ran.
#[test]
fn what_a_server_sent_before_its_reset_is_read_after_a_failed_write() {
    let cluster = virtual_cluster();
    let runtime = cluster.runtime.clone();
    let result = cluster.sim.run(&cluster.script, HOUR, async move {
        let end = frame(HEADERS, END_OF_HEADERS_AND_STREAM, 1, STATUS_OK);
        let ended = calls_around_a_reset(&runtime, &end).await;
        let open = calls_around_a_reset(&runtime, &[]).await;
        [ended, open]
    });
    let [ended, open] = result.unwrap();
    assert_eq!(ended[0], Ok(None));
    assert!(
        open[0].as_ref().is_err_and(|error| !error.never_ran),
        "{open:?}"
    );
    for [_, second] in [ended, open] {
        assert!(
            second.as_ref().is_err_and(|error| error.never_ran),
            "{second:?}"
        );
    }
}
