//! Tests of `Peer`, which tells whether the peer has disconnected, on loopback sockets.

use futures_lite::AsyncWriteExt;
use ivyward_runtime::{Conn, RuntimeExt, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;

async fn connected_pair(runtime: &RuntimeRef) -> (Conn, Conn) {
    let mut listener = runtime
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
        .unwrap();
    let remote = runtime.connect(listener.address()).await.unwrap();
    let (local, _) = listener.accept().await.unwrap();
    (local, remote)
}

/// Waits until a close has arrived over loopback, which is at once or soon. The time limit is the test runner's.
async fn until_disconnected(runtime: &RuntimeRef, peer: &dyn ivyward_runtime::Peer) {
    while !peer.is_disconnected() {
        runtime.sleep(1_000).await;
    }
}

#[test]
fn a_close_reset_half_close_or_local_drop_counts_as_disconnected() {
    let smol = SmolRuntime::start(1, 1);
    let runtime: RuntimeRef = smol.clone();
    smol.block_on(async {
        for how in 0..4 {
            let (local, mut remote) = connected_pair(&runtime).await;
            let peer = local.peer();
            assert!(!peer.is_disconnected());
            match how {
                0 => drop(remote),
                1 => {
                    remote.reset_on_close();
                    drop(remote);
                }
                2 => remote.close().await.unwrap(),
                _ => {
                    // A `Peer` handle does not keep the connection open: dropping its one owner closes it.
                    drop(local);
                    assert!(peer.is_disconnected());
                    let mut byte = [0];
                    assert_eq!(
                        futures_lite::AsyncReadExt::read(&mut remote, &mut byte)
                            .await
                            .unwrap(),
                        0
                    );
                    continue;
                }
            }
            until_disconnected(&runtime, &*peer).await;
        }
    });
    smol.stop();
}

/// `is_disconnected` consumes no bytes, and returns `false` while received bytes have not been read.
#[test]
fn is_disconnected_consumes_no_bytes() {
    let smol = SmolRuntime::start(1, 1);
    let runtime: RuntimeRef = smol.clone();
    smol.block_on(async {
        let (mut local, mut remote) = connected_pair(&runtime).await;
        remote.write_all(b"ab").await.unwrap();
        drop(remote);
        let peer = local.peer();
        assert!(!peer.is_disconnected());
        let mut bytes = Vec::new();
        futures_lite::AsyncReadExt::read_to_end(&mut local, &mut bytes)
            .await
            .unwrap();
        assert_eq!(bytes, b"ab");
        until_disconnected(&runtime, &*peer).await;
    });
    smol.stop();
}
