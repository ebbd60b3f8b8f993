//! A running node, which the daemon starts, reloads and stops.

use crate::config::{list_limits, Bounds, Config};
use crate::discovery::{Discovery, ListReader, Watch};
use crate::engine::{EnginePool, EnginePoolSettings, HttpProtocol, PendingReleases};
use crate::server::Server;
use ivyward::core::interface::{ListKind, Micros};
use ivyward::core::release::ReleaseSettings;
use ivyward::memory_budget::MemoryBudget;
use ivyward::runtime::{RuntimeExt, RuntimeRef};
use ivyward::{Node, NodeSettings, StartError};
use ivyward_settings::NamedSettings;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing::info;

/// The shares of the memory budget that one response has: its engine's connection, an incomplete event, and complete events.
const SHARES_PER_RESPONSE: usize = 3;
/// The interval between two sweeps of the idle connections to engines: 500 ms.
const SWEEP_INTERVAL: Micros = 500_000;
/// The interval between two log lines with the node's counters: 10 s.
const REPORT_INTERVAL: Micros = 10_000_000;
/// The interval at which the node polls for readiness after the start, and for the end of its work at a stop: 5 ms.
const POLL_INTERVAL: Micros = 5_000;

/// Why a node could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The node cannot listen on the configured address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The node cannot be started with these settings.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// A running node: its server, its discovery client and its background tasks.
pub struct Service {
    node: Node,
    runtime: RuntimeRef,
    server: Arc<Server>,
    discovery: Arc<Discovery>,
    releases: Arc<PendingReleases>,
    acceptor: Acceptor,
}

/// The task that accepts connections.
struct Acceptor {
    address: SocketAddr,
    /// Closed to stop listening.
    stop: async_channel::Sender<()>,
    /// Closed when the listener is closed and all connections that it accepted are in the connection table.
    stopped: async_channel::Receiver<()>,
}

impl Service {
    /// Starts a node. It listens when this returns, and is ready (`GET /healthz` answers 200) once it has a list of engines.
    ///
    /// # Errors
    /// Returns an error if the node cannot listen on the configured address, or cannot be started with these settings.
    pub async fn start(runtime: RuntimeRef, config: Config) -> Result<Service, ServiceError> {
        let Config {
            name,
            listen,
            discovery,
            cached_list,
            deployment,
            bounds,
            node: settings,
        } = config;
        // Each client may hold its part of the memory at any time.
        let shares = SHARES_PER_RESPONSE * bounds.client_connections;
        let response_memory =
            MemoryBudget::new(bounds.response_bytes, bounds.response_bytes / shares);
        let pool_settings = pool_settings(&deployment, &bounds, &settings, &response_memory);
        let pool = EnginePool::new(&runtime, pool_settings);
        let protocol = Arc::new(HttpProtocol { pool: pool.clone() });
        let node = Node::start_with(runtime.clone(), settings, None, protocol)?;
        let mut reader = ListReader::new(deployment.clone(), &runtime);
        if let Some(list) = &cached_list {
            node.update_endpoints(ListKind::Cached, reader.read_cached(list))
                .await;
        }
        let watch = Watch {
            node: node.clone(),
            reader,
            runtime: runtime.clone(),
            limits: list_limits(&bounds),
            is_costly: deployment.router.must_subscribe,
        };
        let server = Server::new(
            node.clone(),
            runtime.clone(),
            deployment,
            bounds,
            response_memory,
        );
        let acceptor = start_accepting(&runtime, &server, listen)?;
        let address = acceptor.address;
        let service = Service {
            node,
            runtime,
            server,
            discovery: Arc::new(Discovery::new(discovery)),
            releases: pool.releases.clone(),
            acceptor,
        };
        service.start_watch(watch);
        service.start_maintenance(pool);
        info!(name, %address, %discovery, ?bounds, "taking requests");
        Ok(service)
    }

    /// Starts the task that follows discovery.
    fn start_watch(&self, mut watch: Watch) {
        let discovery = self.discovery.clone();
        self.runtime
            .run(async move { discovery.follow(&mut watch).await });
    }

    /// Starts the task that sweeps idle connections, logs the counters, and sets the server ready.
    fn start_maintenance(&self, pool: Arc<EnginePool>) {
        let (server, node) = (self.server.clone(), self.node.clone());
        let runtime = self.runtime.clone();
        self.runtime.run(async move {
            let mut report_at = runtime.now().saturating_add(REPORT_INTERVAL);
            loop {
                if node.metrics().engines.get() > 0 {
                    server.ready.store(true, Ordering::SeqCst);
                    runtime.sleep(SWEEP_INTERVAL).await;
                } else {
                    runtime.sleep(POLL_INTERVAL).await;
                }
                pool.sweep();
                if runtime.now() >= report_at {
                    report_at = runtime.now().saturating_add(REPORT_INTERVAL);
                    log_counters(&node, &server, &pool, &runtime);
                }
            }
        });
    }

    /// Returns the address on which the node listens, with the port that the system chose if port 0 was configured.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address
    }

    /// Returns the node that runs the requests, with its settings and metrics.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Applies the discovery address of a new configuration. Changes of other values need a restart.
    pub fn reload(&self, config: &Config) {
        self.discovery.set_address(config.discovery);
    }

    /// Stops the node. It accepts connections for another 650 ms and requests for another 680 ms, rejects requests that are
    /// received later, finishes all accepted ones, and returns when no request and no connection is open and no release is pending. There is no
    /// timeout: the caller limits the wait, and requests that are open when the process ends are lost.
    pub async fn stop(&self) {
        let close_at = self.node.close_admission();
        info!(open = self.node.open_requests(), "stopping");
        self.runtime.sleep_until(close_at).await;
        self.acceptor.stop.close();
        // Waits until the last accepted connections are in the table; returns an error when the sender is dropped.
        let _ = self.acceptor.stopped.recv().await;
        self.server.close_idle();
        let mut releases_shut_down = false;
        while !self.is_drained() {
            if self.node.open_requests() == 0 && !releases_shut_down {
                releases_shut_down = true;
                self.releases.shut_down();
            }
            self.runtime.sleep(POLL_INTERVAL).await;
            self.server.close_idle();
        }
        info!("stopped");
    }

    /// Returns whether no request and no connection is open and no release is pending. A node that ended during a network
    /// partition without waiting for its releases would leave reservations behind. A closing connection may still receive a
    /// request until it has closed.
    fn is_drained(&self) -> bool {
        self.node.open_requests() == 0
            && self.server.unclosed_connections() == 0
            && self.node.pending_releases() == 0
    }
}

fn pool_settings(
    deployment: &NamedSettings,
    bounds: &Bounds,
    settings: &NodeSettings,
    response_memory: &Arc<MemoryBudget>,
) -> EnginePoolSettings {
    EnginePoolSettings {
        connect_timeout: settings.dial_timeout,
        keep_alive: deployment.keepalive,
        max_connections: bounds.engine_connections,
        report_fields: deployment.report_fields.clone(),
        release: ReleaseSettings {
            release_within: settings.router.release_within,
            max_concurrent_attempts: bounds.release_connections,
            max_pending: bounds.pending_releases,
        },
        response_memory: response_memory.clone(),
        // What is read of a response beyond its buffer waits with it for the client.
        read_size: bounds.response_buffer / 2,
    }
}

/// Opens the listener, and starts the task that accepts connections.
fn start_accepting(
    runtime: &RuntimeRef,
    server: &Arc<Server>,
    listen: SocketAddr,
) -> Result<Acceptor, ServiceError> {
    let listener = runtime
        .listen(listen)
        .map_err(|error| ServiceError::Listen(listen, error))?;
    let address = listener.address();
    let (stop, stopping) = async_channel::bounded::<()>(1);
    let (running, stopped) = async_channel::bounded::<()>(1);
    let server = server.clone();
    runtime.run(async move {
        let _running = running;
        server.serve(listener, stopping).await;
    });
    Ok(Acceptor {
        address,
        stop,
        stopped,
    })
}

fn log_counters(node: &Node, server: &Server, pool: &EnginePool, runtime: &RuntimeRef) {
    let metrics = node.metrics();
    let longest_turn = runtime.turn_monitor().and_then(|m| m.take_longest());
    info!(
        open = node.open_requests(),
        clients = server.connections(),
        connections = pool.open_connections(),
        prompt_bytes = server.request_memory().used(),
        response_bytes = server.response_memory().used(),
        shed_requests = server.request_memory().shed(),
        shed_responses = server.response_memory().shed(),
        engines = metrics.engines.get(),
        known = metrics.engines_known.get(),
        requests = metrics.requests.get(),
        served = metrics.served.get(),
        refused = metrics.rejected.get(),
        failed = metrics.failed.get(),
        gone = metrics.disconnected.get(),
        violations = metrics.all_violations(),
        attempts = metrics.attempts.get(),
        releases = metrics.releases.get(),
        unconfirmed_releases = metrics.unconfirmed_releases.get(),
        module_us = metrics.router_us.get(),
        driver_us = metrics.driver_us.get(),
        longest_turn_us = longest_turn.map(|turn| turn.duration),
        longest_turn_task = longest_turn.map(|turn| tracing::field::display(turn.task)),
        "counters"
    );
}
