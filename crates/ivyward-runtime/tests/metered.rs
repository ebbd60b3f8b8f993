//! Tests of the counters of a metered runtime.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{metered, Meter, RuntimeRef, SmolRuntime};
use std::net::SocketAddr;
use std::sync::Arc;

fn free_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[test]
fn bytes_and_connections_are_counted_on_both_sides() {
    let smol = SmolRuntime::start(1, 1);
    let plain: RuntimeRef = smol.clone();
    let (client_meter, server_meter) = (Arc::new(Meter::default()), Arc::new(Meter::default()));
    let (client, server) = (
        metered(&plain, &client_meter),
        metered(&plain, &server_meter),
    );
    smol.block_on(async {
        let mut listener = server.listen(free_loopback_port()).unwrap();
        let address = listener.address();
        let serve = async {
            let (mut conn, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 5];
            conn.read_exact(&mut bytes).await.unwrap();
            conn.write_all(b"abc").await.unwrap();
            conn
        };
        let call = async {
            let mut conn = client.connect(address).await.unwrap();
            conn.write_all(b"hello").await.unwrap();
            let mut bytes = [0; 3];
            conn.read_exact(&mut bytes).await.unwrap();
            conn
        };
        let (accepted, conn) = futures_lite::future::zip(serve, call).await;
        let (client_usage, server_usage) = (client_meter.usage(), server_meter.usage());
        assert_eq!(
            (
                client_usage.bytes_out,
                client_usage.writes,
                client_usage.bytes_in
            ),
            (5, 1, 3)
        );
        assert_eq!(
            (
                server_usage.bytes_in,
                server_usage.bytes_out,
                server_usage.writes
            ),
            (5, 3, 1)
        );
        assert_eq!(
            (
                client_usage.opened,
                client_usage.open,
                server_usage.opened,
                server_usage.open
            ),
            (1, 1, 1, 1)
        );
        drop((conn, accepted));
        assert_eq!(
            (
                client_meter.usage().open,
                client_meter.usage().opened,
                server_meter.usage().open
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
        let (sender, mut receiver) = (
            runtime.bind_datagram(free_loopback_port()).unwrap(),
            runtime.bind_datagram(free_loopback_port()).unwrap(),
        );
        sender.send(b"four", receiver.address()).unwrap();
        let mut buffer = [0; 16];
        assert_eq!(receiver.receive(&mut buffer).await.unwrap().0, 4);
    });
    let usage = meter.usage();
    assert_eq!(
        (usage.bytes_out, usage.writes, usage.bytes_in, usage.reads),
        (4, 1, 4, 1)
    );
}
