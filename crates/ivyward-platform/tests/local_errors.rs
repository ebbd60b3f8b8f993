//! Accepts and connects that fail on the node's own machine. A runtime injects the failures.

mod common;

use common::{request, ClusterSetup, EngineBehavior, EngineRequest};
use futures_lite::AsyncWriteExt;
use ivyward::runtime::{
    BorrowedFuture, BoxFuture, Conn, DatagramSocket, Listener, Micros, Runtime, RuntimeExt,
    RuntimeRef,
};
use ivyward_platform::Service;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

const ECONNABORTED: i32 = 103;
const EADDRNOTAVAIL: i32 = 99;

/// The failures that a runtime injects.
#[derive(Default)]
struct Failures {
    /// If set, the next accept never returns, and every second accept after it fails with ECONNABORTED.
    accepts: AtomicBool,
    /// The number of connects to engines that will fail with EADDRNOTAVAIL, as without a free local port.
    connects: AtomicUsize,
    /// The number of connects that failed so far.
    failed_connects: AtomicUsize,
}

struct FailingRuntime {
    runtime: RuntimeRef,
    failures: Arc<Failures>,
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
        let is_engine = to.port() == 8080;
        let decrement = |remaining: usize| remaining.checked_sub(1);
        let (connects, order) = (&self.failures.connects, Ordering::SeqCst);
        if is_engine && connects.fetch_update(order, order, decrement).is_ok() {
            self.failures.failed_connects.fetch_add(1, order);
            return Box::pin(async { Err(io::Error::from_raw_os_error(EADDRNOTAVAIL)) });
        }
        self.runtime.connect(to)
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let (listener, failures) = (self.runtime.listen(at)?, self.failures.clone());
        Ok(Box::new(FailingListener {
            listener,
            failures,
            has_blocked: false,
            has_failed: false,
        }))
    }
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn DatagramSocket>> {
        self.runtime.bind_datagram(at)
    }
    fn random(&self) -> u64 {
        self.runtime.random()
    }
}

struct FailingListener {
    listener: Box<dyn Listener>,
    failures: Arc<Failures>,
    /// Whether one accept has been blocked.
    has_blocked: bool,
    /// Whether the last accept failed.
    has_failed: bool,
}

impl Listener for FailingListener {
    fn accept(&mut self) -> BorrowedFuture<'_, io::Result<(Conn, SocketAddr)>> {
        if self.failures.accepts.load(Ordering::SeqCst) {
            if !std::mem::replace(&mut self.has_blocked, true) {
                return Box::pin(std::future::pending());
            }
            self.has_failed = !self.has_failed;
            if self.has_failed {
                return Box::pin(async { Err(io::Error::from_raw_os_error(ECONNABORTED)) });
            }
        }
        self.listener.accept()
    }
    fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

/// Waits until a node is ready.
async fn wait_until_ready(client: &RuntimeRef, address: SocketAddr) {
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

/// At a stop the node accepts the connections that are still in the accept queue. An aborted connection among them must not
/// end this: those behind it would be reset when the listener closes.
#[test]
fn queued_connections_behind_an_aborted_one_are_served_at_a_stop() {
    let setup = ClusterSetup::new(|_: &EngineRequest| EngineBehavior::Normal);
    let failures = Arc::<Failures>::default();
    let runtime: RuntimeRef = Arc::new(FailingRuntime {
        runtime: setup.runtime.clone(),
        failures: failures.clone(),
    });
    let (config, client) = (setup.config(), setup.client.runtime());
    let result = setup.sim.run(&setup.node, common::RUN_TIMEOUT, async move {
        let service = Service::start(runtime.clone(), config).await.unwrap();
        let address = service.address();
        wait_until_ready(&client, address).await;
        failures.accepts.store(true, Ordering::SeqCst);
        // This connection is accepted by the pending accept; those behind it stay in the queue.
        let _accepted = client.connect(address).await.unwrap();
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
                (response.status, response.complete),
                (200, true),
                "request {n} of the queue"
            );
        }
        // Returns an error when the sender is dropped.
        let _ = ended.recv().await;
    });
    result.unwrap();
}

/// A temporary lack of local ports must not count as a failure of engines, and the requests are still served.
#[test]
fn a_temporary_lack_of_local_ports_fails_no_request_and_no_engine() {
    const CONNECTS: usize = 8;
    let setup = ClusterSetup::new(|_: &EngineRequest| EngineBehavior::Normal);
    let failures = Arc::<Failures>::default();
    let runtime: RuntimeRef = Arc::new(FailingRuntime {
        runtime: setup.runtime.clone(),
        failures: failures.clone(),
    });
    let (config, client) = (setup.config(), setup.client.runtime());
    let result = setup.sim.run(&setup.node, common::RUN_TIMEOUT, async move {
        let service = Service::start(runtime.clone(), config).await.unwrap();
        let address = service.address();
        wait_until_ready(&client, address).await;
        failures.connects.store(CONNECTS, Ordering::SeqCst);
        for n in 0..4 {
            let mut conn = client.connect(address).await.unwrap();
            conn.write_all(&request(&format!("d{n}"), "draft", 4_800))
                .await
                .unwrap();
            let response = common::read_response(&client, &mut conn).await;
            assert_eq!(
                (response.status, response.complete),
                (200, true),
                "request {n}"
            );
        }
        assert_eq!(failures.failed_connects.load(Ordering::SeqCst), CONNECTS);
        let failed = ivyward::metrics::OUTCOMES
            .iter()
            .position(|(_, name)| *name == "connect_failed")
            .unwrap();
        assert_eq!(
            service.node().metrics().outcomes[failed].get(),
            0,
            "a local failure was counted as a failed connection to an engine"
        );
    });
    result.unwrap();
}
