//! Tests of the simulated runtime: its clock, network faults, killed and paused hosts, and that a seed always gives the
//! same run.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{Conn, Runtime, RuntimeExt, RuntimeRef};
use ivyward_sim::{Host, NetworkConfig, RunError, Sim};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

const DAY: u64 = 86_400_000_000;

fn sim_with_two_hosts(net: NetworkConfig) -> (Sim, Arc<Host>, Arc<Host>) {
    let sim = Sim::new(7, net);
    let (a, b) = (sim.host(1), sim.host(2));
    (sim, a, b)
}

/// Starts a server that sends back what it reads, and returns its address.
fn start_echo_server(host: &Arc<Host>, port: u16) -> SocketAddr {
    let runtime: RuntimeRef = host.runtime();
    let mut listener = runtime
        .listen(SocketAddr::from(([127, 0, 0, 1], port)))
        .unwrap();
    let address = listener.address();
    let inner = runtime.clone();
    runtime.run(async move {
        loop {
            let Ok((mut conn, _)) = listener.accept().await else {
                return;
            };
            inner.run(async move {
                let mut buf = [0; 1000];
                while let Ok(got @ 1..) = conn.read(&mut buf).await {
                    if conn.write_all(&buf[..got]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn echo_round_trip(conn: &mut Conn, text: &[u8]) -> std::io::Result<Vec<u8>> {
    conn.write_all(text).await?;
    let mut back = vec![0; text.len()];
    conn.read_exact(&mut back).await?;
    Ok(back)
}

#[test]
fn sleeps_skip_ahead_and_transfers_take_latency_and_bandwidth() {
    let (sim, a, b) = sim_with_two_hosts(NetworkConfig {
        latency: 1_000,
        jitter: 0,
        bytes_per_second: 1_000_000,
        ..NetworkConfig::default()
    });
    let address = start_echo_server(&b, 0);
    let runtime = a.runtime();
    let took = sim.run(&a, DAY, async move {
        let begun = runtime.now();
        runtime.sleep(3_600_000_000).await;
        assert_eq!(runtime.now() - begun, 3_600_000_000);
        let mut conn = runtime.connect(address).await.unwrap();
        let opened = runtime.now();
        assert_eq!(
            opened - begun,
            3_600_002_000,
            "connecting takes one round trip"
        );
        assert_eq!(
            echo_round_trip(&mut conn, &[7; 500]).await.unwrap(),
            [7; 500]
        );
        runtime.now() - opened
    });
    // In each direction 1 ms of latency and 0.5 ms for 500 bytes at 1 MB/s.
    assert_eq!(took, Ok(3_000));
}

#[test]
fn same_seed_gives_same_run_and_other_seed_another() {
    let run_with_seed = |seed: u64| {
        let sim = Sim::new(
            seed,
            NetworkConfig {
                partial_io: 0.7,
                jitter: 5_000,
                ..NetworkConfig::default()
            },
        );
        let (a, b) = (sim.host(1), sim.host(2));
        let address = start_echo_server(&b, 0);
        let runtime = a.runtime();
        let order = sim.run(&a, DAY, async move {
            let (sender, receiver) = async_channel::unbounded();
            for i in 0..20u8 {
                let (client, sender) = (runtime.clone(), sender.clone());
                runtime.run(async move {
                    let mut conn = client.connect(address).await.unwrap();
                    assert_eq!(
                        echo_round_trip(&mut conn, &[i; 300]).await.unwrap(),
                        [i; 300]
                    );
                    sender.try_send(i).unwrap();
                });
            }
            let mut order = Vec::new();
            while order.len() < 20 {
                order.push(receiver.recv().await.unwrap());
            }
            order
        });
        (order.unwrap(), sim.digest())
    };
    assert_eq!(run_with_seed(1), run_with_seed(1));
    assert_ne!(run_with_seed(1).1, run_with_seed(2).1);
    assert_ne!(
        run_with_seed(1).0,
        run_with_seed(2).0,
        "the order of events at one instant depends on the seed"
    );
}

#[test]
fn run_that_cannot_finish_ends_with_deadlock_or_timeout() {
    let (sim, a, _) = sim_with_two_hosts(NetworkConfig::default());
    let stuck = sim.run(&a, DAY, std::future::pending::<()>());
    assert!(
        matches!(stuck, Err(RunError::Deadlock { waiting, .. }) if waiting.get(&a.id()) == Some(&1))
    );
    let runtime = a.runtime();
    assert_eq!(
        sim.run(&a, 5_000_000, async move { runtime.sleep(DAY).await }),
        Err(RunError::TimedOut { at: 5_000_000 })
    );
}

#[test]
fn task_that_wakes_itself_forever_ends_with_livelock() {
    let (sim, a, _) = sim_with_two_hosts(NetworkConfig::default());
    let spin = async {
        loop {
            futures_lite::future::yield_now().await;
        }
    };
    let stuck: Result<(), RunError> = sim.run(&a, DAY, spin);
    assert!(matches!(stuck, Err(RunError::Livelock { host, .. }) if host == a.id()));
}

#[test]
fn killed_listener_refuses_connections_and_frees_its_port() {
    let (sim, a, b) = sim_with_two_hosts(NetworkConfig::default());
    let address = start_echo_server(&b, 0);
    assert_eq!(
        b.listen(address).err().map(|e| e.kind()),
        Some(ErrorKind::AddrInUse)
    );
    sim.kill(b.id(), true);
    let runtime = a.runtime();
    let refused = sim.run(&a, DAY, async move {
        runtime.connect(address).await.err().map(|e| e.kind())
    });
    assert_eq!(refused, Ok(Some(ErrorKind::ConnectionRefused)));
    let back = sim.host(3);
    assert_eq!(start_echo_server(&back, address.port()), address);
}

/// The peers of a killed process get resets. When a machine loses power, its peers receive nothing until the machine is
/// back and no longer knows the connection.
#[test]
fn kill_resets_connections_only_if_asked() {
    for send_resets in [true, false] {
        let (sim, a, b) = sim_with_two_hosts(NetworkConfig::default());
        let address = start_echo_server(&b, 0);
        let (runtime, sim_handle, dead) = (a.runtime(), sim.clone(), b.id());
        let observed = sim.run(&a, DAY, async move {
            let mut conn = runtime.connect(address).await.unwrap();
            echo_round_trip(&mut conn, b"x").await.unwrap();
            sim_handle.kill(dead, send_resets);
            let read = async {
                echo_round_trip(&mut conn, b"y")
                    .await
                    .err()
                    .map(|e| e.kind())
            };
            or(read, async {
                runtime.sleep(60_000_000).await;
                None
            })
            .await
        });
        assert_eq!(
            observed,
            Ok(send_resets.then_some(ErrorKind::ConnectionReset)),
            "send_resets: {send_resets}"
        );
    }
}

/// A machine that is back after a power loss answers data on an earlier connection with a reset.
#[test]
fn restarted_machine_resets_earlier_connection() {
    let (sim, a, b) = sim_with_two_hosts(NetworkConfig::default());
    let address = start_echo_server(&b, 0);
    let (runtime, sim_handle, dead) = (a.runtime(), sim.clone(), b.id());
    let observed = sim.run(&a, DAY, async move {
        let mut conn = runtime.connect(address).await.unwrap();
        echo_round_trip(&mut conn, b"x").await.unwrap();
        sim_handle.kill(dead, false);
        conn.write_all(b"lost").await.unwrap();
        runtime.sleep(1_000_000).await;
        start_echo_server(&sim_handle.host(3), address.port());
        echo_round_trip(&mut conn, b"y")
            .await
            .err()
            .map(|e| e.kind())
    });
    assert_eq!(observed, Ok(Some(ErrorKind::ConnectionReset)));
}

/// During a partition in one direction, data in that direction waits; when the partition ends, it arrives once and in
/// order.
#[test]
fn partition_delays_data_and_connects_until_it_ends() {
    let (sim, a, b) = sim_with_two_hosts(NetworkConfig {
        jitter: 0,
        ..NetworkConfig::default()
    });
    let address = start_echo_server(&b, 0);
    let (runtime, sim_handle, ids) = (a.runtime(), sim.clone(), (a.id(), b.id()));
    let done = sim.run(&a, DAY, async move {
        let mut conn = runtime.connect(address).await.unwrap();
        // Partitions the direction of the answer; the request still arrives.
        sim_handle.set_partitioned(ids.1, ids.0, true);
        conn.write_all(b"one").await.unwrap();
        let mut buf = [0; 3];
        let early = or(async { Some(conn.read_exact(&mut buf).await) }, async {
            runtime.sleep(10_000_000).await;
            None
        });
        assert!(early.await.is_none());
        conn.write_all(b"two").await.unwrap();
        sim_handle.set_partitioned(ids.1, ids.0, false);
        let mut both = [0; 6];
        conn.read_exact(&mut both).await.unwrap();
        assert_eq!(&both, b"onetwo");
        // A new connection also waits for the end of a partition.
        sim_handle.set_partitioned(ids.0, ids.1, true);
        let connect = or(
            async { Some(runtime.connect(address).await.is_ok()) },
            async {
                runtime.sleep(10_000_000).await;
                None
            },
        );
        assert_eq!(connect.await, None);
        sim_handle.set_partitioned(ids.0, ids.1, false);
        assert!(runtime.connect(address).await.is_ok());
    });
    assert_eq!(done, Ok(()));
}

/// A paused process accepts bytes until its buffers are full, answers none, and continues where it was when resumed.
#[test]
fn paused_host_accepts_bytes_until_its_buffers_are_full() {
    let (sim, a, b) = sim_with_two_hosts(NetworkConfig {
        buffer_bytes: 100,
        ..NetworkConfig::default()
    });
    let address = start_echo_server(&b, 0);
    let (runtime, sim_handle, paused) = (a.runtime(), sim.clone(), b.id());
    let done = sim.run(&a, DAY, async move {
        let mut conn = runtime.connect(address).await.unwrap();
        echo_round_trip(&mut conn, b"x").await.unwrap();
        sim_handle.set_paused(paused, true);
        let mut wrote = 0;
        let fill = async {
            loop {
                wrote += conn.write(&[1; 30]).await.unwrap();
            }
        };
        or(fill, runtime.sleep(1_000_000)).await;
        assert_eq!(wrote, 100);
        sim_handle.set_paused(paused, false);
        let mut back = [0; 100];
        conn.read_exact(&mut back).await.unwrap();
    });
    assert_eq!(done, Ok(()));
}

#[test]
fn orderly_close_follows_the_bytes_and_reset_replaces_the_end() {
    for reset in [false, true] {
        let (sim, a, b) = sim_with_two_hosts(NetworkConfig::default());
        let (server, runtime) = (b.runtime(), a.runtime());
        let mut listener = server
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        let address = listener.address();
        server.clone().run(async move {
            let (mut conn, _) = listener.accept().await.unwrap();
            if reset {
                conn.reset_on_close();
            }
            conn.write_all(b"bye").await.unwrap();
            server.sleep(1_000_000).await;
        });
        let observed = sim.run(&a, DAY, async move {
            let mut conn = runtime.connect(address).await.unwrap();
            let mut text = Vec::new();
            let end = conn.read_to_end(&mut text).await.map_err(|e| e.kind());
            (text, end)
        });
        let end = if reset {
            Err(ErrorKind::ConnectionReset)
        } else {
            Ok(3)
        };
        assert_eq!(observed, Ok((b"bye".to_vec(), end)));
    }
}

/// Clock skew changes the wall clock and not the monotonic clock; killing a host drops its tasks at once.
#[test]
fn clock_skew_affects_wall_clock_only_and_kill_drops_tasks() {
    let (sim, a, b) = sim_with_two_hosts(NetworkConfig::default());
    sim.set_clock_skew(b.id(), -3_600_000_000);
    assert_eq!(a.unix_micros() - b.unix_micros(), 3_600_000_000);
    assert_eq!(a.now(), b.now());
    let (sender, receiver) = async_channel::bounded::<()>(1);
    let late = b.runtime();
    b.run(async move {
        late.sleep(10).await;
        sender.try_send(()).unwrap();
    });
    sim.kill(b.id(), true);
    let observed = sim.run(&a, DAY, async move { receiver.recv().await.is_ok() });
    assert_eq!(
        observed,
        Ok(false),
        "the task's end of the channel was dropped with the task"
    );
}
