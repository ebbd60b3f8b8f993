//! The virtual world by itself: its clock, its network's troubles, and that a seed plays the same run each time.

use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use ivyward_runtime::{Conn, Runtime, RuntimeExt, RuntimeRef};
use ivyward_sim::{Host, NetworkConfig, RunError, Sim};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

const DAY: u64 = 86_400_000_000;

fn two(net: NetworkConfig) -> (Sim, Arc<Host>, Arc<Host>) {
    let sim = Sim::new(7, net);
    let (a, b) = (sim.host(1), sim.host(2));
    (sim, a, b)
}

/// A server that sends back what it reads.
fn echo(host: &Arc<Host>, port: u16) -> SocketAddr {
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

async fn say(conn: &mut Conn, text: &[u8]) -> std::io::Result<Vec<u8>> {
    conn.write_all(text).await?;
    let mut back = vec![0; text.len()];
    conn.read_exact(&mut back).await?;
    Ok(back)
}

#[test]
fn time_jumps_and_bytes_take_theirs() {
    let (sim, a, b) = two(NetworkConfig {
        latency: 1_000,
        jitter: 0,
        bytes_per_second: 1_000_000,
        ..NetworkConfig::default()
    });
    let address = echo(&b, 0);
    let runtime = a.runtime();
    let took = sim.run(&a, DAY, async move {
        let begun = runtime.now();
        runtime.sleep(3_600_000_000).await;
        assert_eq!(runtime.now() - begun, 3_600_000_000);
        let mut conn = runtime.connect(address).await.unwrap();
        let opened = runtime.now();
        assert_eq!(opened - begun, 3_600_002_000, "there and back");
        assert_eq!(say(&mut conn, &[7; 500]).await.unwrap(), [7; 500]);
        runtime.now() - opened
    });
    // A way each and half a millisecond of bytes each.
    assert_eq!(took, Ok(3_000));
}

#[test]
fn a_seed_plays_the_same_run_and_another_seed_another() {
    let play = |seed: u64| {
        let sim = Sim::new(
            seed,
            NetworkConfig {
                partial_io: 0.7,
                jitter: 5_000,
                ..NetworkConfig::default()
            },
        );
        let (a, b) = (sim.host(1), sim.host(2));
        let address = echo(&b, 0);
        let runtime = a.runtime();
        let order = sim.run(&a, DAY, async move {
            let (tell, told) = async_channel::unbounded();
            for i in 0..20u8 {
                let (one, tell) = (runtime.clone(), tell.clone());
                runtime.run(async move {
                    let mut conn = one.connect(address).await.unwrap();
                    assert_eq!(say(&mut conn, &[i; 300]).await.unwrap(), [i; 300]);
                    tell.try_send(i).unwrap();
                });
            }
            let mut order = Vec::new();
            while order.len() < 20 {
                order.push(told.recv().await.unwrap());
            }
            order
        });
        (order.unwrap(), sim.digest())
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1).1, play(2).1);
    assert_ne!(
        play(1).0,
        play(2).0,
        "events at one instant come in an order that the seed draws"
    );
}

#[test]
fn what_waits_for_nothing_is_told() {
    let (sim, a, _) = two(NetworkConfig::default());
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
fn a_task_that_spins_is_told() {
    let (sim, a, _) = two(NetworkConfig::default());
    let spin = async {
        loop {
            futures_lite::future::yield_now().await;
        }
    };
    let stuck: Result<(), RunError> = sim.run(&a, DAY, spin);
    assert!(matches!(stuck, Err(RunError::Livelock { host, .. }) if host == a.id()));
}

#[test]
fn nobody_listens_and_ports_are_free_again() {
    let (sim, a, b) = two(NetworkConfig::default());
    let address = echo(&b, 0);
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
    assert_eq!(echo(&back, address.port()), address);
}

/// A process that dies is heard of by resets; a machine that loses power is not heard of at all, until it is back and
/// knows nothing of the connection.
#[test]
fn deaths_with_a_word_and_without() {
    for word in [true, false] {
        let (sim, a, b) = two(NetworkConfig::default());
        let address = echo(&b, 0);
        let (runtime, all, dead) = (a.runtime(), sim.clone(), b.id());
        let heard = sim.run(&a, DAY, async move {
            let mut conn = runtime.connect(address).await.unwrap();
            say(&mut conn, b"x").await.unwrap();
            all.kill(dead, word);
            let read = async { say(&mut conn, b"y").await.err().map(|e| e.kind()) };
            or(read, async {
                runtime.sleep(60_000_000).await;
                None
            })
            .await
        });
        assert_eq!(
            heard,
            Ok(word.then_some(ErrorKind::ConnectionReset)),
            "word: {word}"
        );
    }
}

/// A machine that is there again answers with a reset what is said on a connection from before.
#[test]
fn a_machine_that_is_back_knows_no_old_connection() {
    let (sim, a, b) = two(NetworkConfig::default());
    let address = echo(&b, 0);
    let (runtime, all, dead) = (a.runtime(), sim.clone(), b.id());
    let heard = sim.run(&a, DAY, async move {
        let mut conn = runtime.connect(address).await.unwrap();
        say(&mut conn, b"x").await.unwrap();
        all.kill(dead, false);
        conn.write_all(b"lost").await.unwrap();
        runtime.sleep(1_000_000).await;
        echo(&all.host(3), address.port());
        say(&mut conn, b"y").await.err().map(|e| e.kind())
    });
    assert_eq!(heard, Ok(Some(ErrorKind::ConnectionReset)));
}

/// A way that is cut in one direction: what was said before waits, and arrives when it is mended, once and in order.
#[test]
fn a_cut_way_holds_what_is_under_way() {
    let (sim, a, b) = two(NetworkConfig {
        jitter: 0,
        ..NetworkConfig::default()
    });
    let address = echo(&b, 0);
    let (runtime, all, ids) = (a.runtime(), sim.clone(), (a.id(), b.id()));
    let done = sim.run(&a, DAY, async move {
        let mut conn = runtime.connect(address).await.unwrap();
        // The answer's way, not the question's.
        all.set_partitioned(ids.1, ids.0, true);
        conn.write_all(b"one").await.unwrap();
        let mut buf = [0; 3];
        let early = or(async { Some(conn.read_exact(&mut buf).await) }, async {
            runtime.sleep(10_000_000).await;
            None
        });
        assert!(early.await.is_none());
        conn.write_all(b"two").await.unwrap();
        all.set_partitioned(ids.1, ids.0, false);
        let mut both = [0; 6];
        conn.read_exact(&mut both).await.unwrap();
        assert_eq!(&both, b"onetwo");
        // Nobody is dialled over a cut either.
        all.set_partitioned(ids.0, ids.1, true);
        let dial = or(
            async { Some(runtime.connect(address).await.is_ok()) },
            async {
                runtime.sleep(10_000_000).await;
                None
            },
        );
        assert_eq!(dial.await, None);
        all.set_partitioned(ids.0, ids.1, false);
        assert!(runtime.connect(address).await.is_ok());
    });
    assert_eq!(done, Ok(()));
}

/// A frozen process takes bytes until its buffers are full, answers none, and goes on where it was.
#[test]
fn a_frozen_process_and_full_buffers() {
    let (sim, a, b) = two(NetworkConfig {
        buffer_bytes: 100,
        ..NetworkConfig::default()
    });
    let address = echo(&b, 0);
    let (runtime, all, frozen) = (a.runtime(), sim.clone(), b.id());
    let done = sim.run(&a, DAY, async move {
        let mut conn = runtime.connect(address).await.unwrap();
        say(&mut conn, b"x").await.unwrap();
        all.set_paused(frozen, true);
        let mut wrote = 0;
        let fill = async {
            loop {
                wrote += conn.write(&[1; 30]).await.unwrap();
            }
        };
        or(fill, runtime.sleep(1_000_000)).await;
        assert_eq!(wrote, 100);
        all.set_paused(frozen, false);
        let mut back = [0; 100];
        conn.read_exact(&mut back).await.unwrap();
    });
    assert_eq!(done, Ok(()));
}

#[test]
fn an_orderly_end_comes_after_the_bytes_and_a_hard_one_instead() {
    for hard in [false, true] {
        let (sim, a, b) = two(NetworkConfig::default());
        let (server, runtime) = (b.runtime(), a.runtime());
        let mut listener = server
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        let address = listener.address();
        server.clone().run(async move {
            let (mut conn, _) = listener.accept().await.unwrap();
            if hard {
                conn.reset_on_close();
            }
            conn.write_all(b"bye").await.unwrap();
            server.sleep(1_000_000).await;
        });
        let heard = sim.run(&a, DAY, async move {
            let mut conn = runtime.connect(address).await.unwrap();
            let mut text = Vec::new();
            let end = conn.read_to_end(&mut text).await.map_err(|e| e.kind());
            (text, end)
        });
        let end = if hard {
            Err(ErrorKind::ConnectionReset)
        } else {
            Ok(3)
        };
        assert_eq!(heard, Ok((b"bye".to_vec(), end)));
    }
}

/// A clock that is wrong shows another date and the same spans; killed tasks are over at once.
#[test]
fn clocks_and_kills() {
    let (sim, a, b) = two(NetworkConfig::default());
    sim.set_clock_skew(b.id(), -3_600_000_000);
    assert_eq!(a.unix_micros() - b.unix_micros(), 3_600_000_000);
    assert_eq!(a.now(), b.now());
    let (tell, told) = async_channel::bounded::<()>(1);
    let late = b.runtime();
    b.run(async move {
        late.sleep(10).await;
        tell.try_send(()).unwrap();
    });
    sim.kill(b.id(), true);
    let heard = sim.run(&a, DAY, async move { told.recv().await.is_ok() });
    assert_eq!(heard, Ok(false), "its channel was dropped with it");
}
