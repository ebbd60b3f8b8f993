//! Accepts and connects that fail on the node's own machine, through a runtime that makes them fail.

mod common;

use common::{request, ClusterSetup, EngineBehavior, EngineRequest};
use futures_lite::AsyncWriteExt;
use ivyward::runtime::{
    BorrowedFuture, BoxFuture, Conn, Datagrams, Listener, Micros, Runtime, RuntimeExt, RuntimeRef,
};
use ivyward_platform::Service;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

const ECONNABORTED: i32 = 103;
const EADDRNOTAVAIL: i32 = 99;

/// What fails in a runtime.
#[derive(Default)]
struct Failing {
    /// The next accept waits for good; those behind it fail in turn.
    accepts: AtomicBool,
    /// So many dials fail from now on for want of a port.
    dials: AtomicUsize,
    /// Dials that failed so.
    failed_dials: AtomicUsize,
}

struct FailingRuntime {
    runtime: RuntimeRef,
    failing: Arc<Failing>,
}

impl Runtime for FailingRuntime {
    fn now(&self) -> Micros {
        self.runtime.now()
    }
    fn unix_micros(&self) -> Micros {
        self.runtime.unix_micros()
    }
    fn sleep_until(&self, at: Micros) -> BoxFuture<()> {
        self.runtime.sleep_until(at)
    }
    fn spawn(&self, task: BoxFuture<()>) {
        self.runtime.spawn(task);
    }
    fn connect(&self, to: SocketAddr) -> BoxFuture<io::Result<Conn>> {
        let engine = to.port() == 8080;
        let one_less = |left: usize| left.checked_sub(1);
        let (dials, order) = (&self.failing.dials, Ordering::SeqCst);
        if engine && dials.fetch_update(order, order, one_less).is_ok() {
            self.failing.failed_dials.fetch_add(1, order);
            return Box::pin(async { Err(io::Error::from_raw_os_error(EADDRNOTAVAIL)) });
        }
        self.runtime.connect(to)
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (listener, failing) = (self.runtime.listen(at)?, self.failing.clone());
        Ok(Box::new(FailingListener {
            listener,
            failing,
            waited: false,
            failed: false,
        }))
    }
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        self.runtime.datagrams(at)
    }
    fn random(&self) -> u64 {
        self.runtime.random()
    }
}

struct FailingListener {
    listener: Box<dyn Listener>,
    failing: Arc<Failing>,
    waited: bool,
    failed: bool,
}

impl Listener for FailingListener {
    fn accept(&mut self) -> BorrowedFuture<'_, io::Result<(Conn, SocketAddr)>> {
        if self.failing.accepts.load(Ordering::SeqCst) {
            if !std::mem::replace(&mut self.waited, true) {
                return Box::pin(std::future::pending());
            }
            self.failed = !self.failed;
            if self.failed {
                return Box::pin(async { Err(io::Error::from_raw_os_error(ECONNABORTED)) });
            }
        }
        self.listener.accept()
    }
    fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

async fn healthy(client: &RuntimeRef, address: SocketAddr) {
    loop {
        let mut conn = client.connect(address).await.unwrap();
        conn.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        if common::read_response(client, &mut conn).await.status == 200 {
            return;
        }
        client.sleep(10_000).await;
    }
}

/// Guards against an aborted connection that ends the accepting of queued connections at a stop: those behind it would be
/// reset with the listener.
#[test]
fn queued_connections_behind_an_aborted_one_are_served_at_a_stop() {
    let setup = ClusterSetup::new(|_: &EngineRequest| EngineBehavior::Normal);
    let failing = Arc::<Failing>::default();
    let runtime: RuntimeRef = Arc::new(FailingRuntime {
        runtime: setup.runtime.clone(),
        failing: failing.clone(),
    });
    let (config, client) = (setup.config(), setup.client.runtime());
    let played = setup.sim.run(&setup.node, common::RUN_TIMEOUT, async move {
        let mut service = Service::start(runtime.clone(), config).await.unwrap();
        let address = service.address();
        healthy(&client, address).await;
        failing.accepts.store(true, Ordering::SeqCst);
        // This one is taken by the accept that is waiting; those behind it stay in the queue.
        let _taken = client.connect(address).await.unwrap();
        client.sleep(10_000).await;
        let mut queued = Vec::new();
        for n in 0..4 {
            let mut conn = client.connect(address).await.unwrap();
            conn.write_all(&request(&format!("q{n}"), "draft", 4_800))
                .await
                .unwrap();
            queued.push(conn);
        }
        let (done, ended) = async_channel::bounded::<()>(1);
        runtime.run(async move {
            service.stop().await;
            drop(done);
        });
        for (n, conn) in queued.iter_mut().enumerate() {
            let response = common::read_response(&client, conn).await;
            assert_eq!(
                (response.status, response.whole),
                (200, true),
                "request {n} of the queue"
            );
        }
        // Ends when the sender is dropped.
        let _ = ended.recv().await;
    });
    played.unwrap();
}

/// Guards against a moment without local ports that counts as failures of the engines.
#[test]
fn a_moment_without_local_ports_fails_no_request_and_no_engine() {
    const DIALS: usize = 8;
    let setup = ClusterSetup::new(|_: &EngineRequest| EngineBehavior::Normal);
    let failing = Arc::<Failing>::default();
    let runtime: RuntimeRef = Arc::new(FailingRuntime {
        runtime: setup.runtime.clone(),
        failing: failing.clone(),
    });
    let (config, client) = (setup.config(), setup.client.runtime());
    let played = setup.sim.run(&setup.node, common::RUN_TIMEOUT, async move {
        let service = Service::start(runtime.clone(), config).await.unwrap();
        let address = service.address();
        healthy(&client, address).await;
        failing.dials.store(DIALS, Ordering::SeqCst);
        for n in 0..4 {
            let mut conn = client.connect(address).await.unwrap();
            conn.write_all(&request(&format!("d{n}"), "draft", 4_800))
                .await
                .unwrap();
            let response = common::read_response(&client, &mut conn).await;
            assert_eq!(
                (response.status, response.whole),
                (200, true),
                "request {n}"
            );
        }
        assert_eq!(failing.failed_dials.load(Ordering::SeqCst), DIALS);
        let failed = ivyward::metrics::OUTCOMES
            .iter()
            .position(|(_, name)| *name == "connect_failed")
            .unwrap();
        assert_eq!(
            service.node().metrics().outcomes[failed].get(),
            0,
            "no engine is taken for one that refuses"
        );
    });
    played.unwrap();
}
