//! What a metered world counts.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{metered, Meter, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;
use std::sync::Arc;

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[test]
fn bytes_and_connections_are_counted_on_both_sides() {
    let smol = SmolRuntime::start(1, 1);
    let plain: RuntimeRef = smol.clone();
    let (dialler, acceptor) = (Arc::new(Meter::default()), Arc::new(Meter::default()));
    let (dialling, accepting) = (metered(&plain, &dialler), metered(&plain, &acceptor));
    smol.block_on(async {
        let mut listener = accepting.listen(any()).unwrap();
        let address = listener.address();
        let serve = async {
            let (mut conn, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 5];
            conn.read_exact(&mut bytes).await.unwrap();
            conn.write_all(b"abc").await.unwrap();
            conn
        };
        let ask = async {
            let mut conn = dialling.connect(address).await.unwrap();
            conn.write_all(b"hello").await.unwrap();
            let mut bytes = [0; 3];
            conn.read_exact(&mut bytes).await.unwrap();
            conn
        };
        let (held, conn) = futures_lite::future::zip(serve, ask).await;
        let (one, other) = (dialler.usage(), acceptor.usage());
        assert_eq!((one.bytes_out, one.writes, one.bytes_in), (5, 1, 3));
        assert_eq!((other.bytes_in, other.bytes_out, other.writes), (5, 3, 1));
        assert_eq!(
            (one.opened, one.open, other.opened, other.open),
            (1, 1, 1, 1)
        );
        drop((conn, held));
        assert_eq!(
            (
                dialler.usage().open,
                dialler.usage().opened,
                acceptor.usage().open
            ),
            (0, 1, 0)
        );
    });
}

#[test]
fn datagrams_are_counted() {
    let smol = SmolRuntime::start(1, 1);
    let plain: RuntimeRef = smol.clone();
    let meter = Arc::new(Meter::default());
    let runtime = metered(&plain, &meter);
    smol.block_on(async {
        let (one, mut other) = (
            runtime.bind_datagram(any()).unwrap(),
            runtime.bind_datagram(any()).unwrap(),
        );
        one.send(b"four", other.address()).unwrap();
        let mut into = [0; 16];
        assert_eq!(other.receive(&mut into).await.unwrap().0, 4);
    });
    let usage = meter.usage();
    assert_eq!(
        (usage.bytes_out, usage.writes, usage.bytes_in, usage.reads),
        (4, 1, 4, 1)
    );
}
