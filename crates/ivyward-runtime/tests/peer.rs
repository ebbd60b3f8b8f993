//! The other side of a connection, looked at from beside it, on loopback sockets.

use futures_lite::AsyncWriteExt;
use ivyward_runtime::{Conn, RuntimeExt, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;

async fn pair(runtime: &RuntimeRef) -> (Conn, Conn) {
    let mut listener = runtime
        .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
        .unwrap();
    let theirs = runtime.connect(listener.address()).await.unwrap();
    let (ours, _) = listener.accept().await.unwrap();
    (ours, theirs)
}

/// A loopback close is there at once or soon: waits for it, for as long as the test runner lets it.
async fn until_disconnected(runtime: &RuntimeRef, peer: &dyn ivyward_runtime::Peer) {
    while !peer.is_disconnected() {
        runtime.sleep(1_000).await;
    }
}

#[test]
fn closed_reset_half_closed_and_dropped_here() {
    let smol = SmolRuntime::start(1, 1);
    let runtime: RuntimeRef = smol.clone();
    smol.block_on(async {
        for how in 0..4 {
            let (ours, mut theirs) = pair(&runtime).await;
            let peer = ours.peer();
            assert!(!peer.is_disconnected());
            match how {
                0 => drop(theirs),
                1 => {
                    theirs.reset_on_close();
                    drop(theirs);
                }
                2 => theirs.close().await.unwrap(),
                _ => {
                    // Looked at by many, it is still closed by its one holder.
                    drop(ours);
                    assert!(peer.is_disconnected());
                    let mut byte = [0];
                    assert_eq!(
                        futures_lite::AsyncReadExt::read(&mut theirs, &mut byte)
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

/// Looking takes nothing of what came, and bytes that wait hide the end.
#[test]
fn looking_takes_nothing() {
    let smol = SmolRuntime::start(1, 1);
    let runtime: RuntimeRef = smol.clone();
    smol.block_on(async {
        let (mut ours, mut theirs) = pair(&runtime).await;
        theirs.write_all(b"ab").await.unwrap();
        drop(theirs);
        let peer = ours.peer();
        assert!(!peer.is_disconnected());
        let mut bytes = Vec::new();
        futures_lite::AsyncReadExt::read_to_end(&mut ours, &mut bytes)
            .await
            .unwrap();
        assert_eq!(bytes, b"ab");
        until_disconnected(&runtime, &*peer).await;
    });
    smol.stop();
}
