//! When a client's gRPC connection is closed for want of an answer to a ping.

mod virtual_cluster;

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_grpc::{Channel, Options};
use ivyward_runtime::{Micros, RuntimeExt};
use ivyward_sim::Sim;
use std::net::SocketAddr;
use virtual_cluster::{virtual_cluster, HOUR};

const MS: Micros = 1_000;
const SETTINGS: u8 = 4;
const WINDOW_UPDATE: u8 = 8;

/// Returns a frame of the connection itself.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let header = [0, 0, payload.len() as u8, kind, 0, 0, 0, 0, 0];
    [&header, payload].concat()
}

fn options() -> Options {
    Options {
        ping_interval: 300 * MS,
        ping_timeout: 300 * MS,
        ..Options::default()
    }
}

/// Starts a server that reads everything and answers no ping. It sends a frame each 50 ms until `sends_until`.
fn start_busy_server(sim: &Sim, sends_until: Micros) -> SocketAddr {
    let runtime = sim.host(20).runtime();
    let mut listener = runtime.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.address();
    let server = runtime.clone();
    runtime.run(async move {
        let (conn, _) = listener.accept().await.unwrap();
        let began = server.now();
        let (mut input, mut output) = futures_lite::io::split(conn);
        server.run(async move {
            let mut buffer = [0; 1_024];
            while input.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
        });
        output.write_all(&frame(SETTINGS, &[])).await.unwrap();
        while server.now() - began < sends_until {
            let update = frame(WINDOW_UPDATE, &[0, 0, 0, 1]);
            if output.write_all(&update).await.is_err() {
                return;
            }
            server.sleep(50 * MS).await;
        }
        std::future::pending().await
    });
    address
}

/// Guards against a connection that is closed with all its streams because the answer to a ping waits behind other bytes. One
/// on which nothing arrives any more is still closed in time.
#[test]
fn a_connection_that_receives_is_not_closed_for_a_late_ping_answer() {
    let cluster = virtual_cluster();
    let address = start_busy_server(&cluster.sim, 2_000 * MS);
    let runtime = cluster.runtime.clone();
    let closed_after = cluster.sim.run(&cluster.script, HOUR, async move {
        let conn = runtime.connect(address).await.unwrap();
        let began = runtime.now();
        let channel = Channel::begin(&runtime, conn, options()).await.unwrap();
        channel.check(100 * MS).await;
        while !channel.is_closed() {
            runtime.sleep(10 * MS).await;
        }
        runtime.now() - began
    });
    let closed_after = closed_after.unwrap();
    assert!(
        (2_000 * MS..2_400 * MS).contains(&closed_after),
        "closed after {closed_after} us"
    );
}
