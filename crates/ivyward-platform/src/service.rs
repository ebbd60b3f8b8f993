//! A node in service: what the daemon starts, reloads and stops.

use crate::config::{list_limits, Config};
use crate::discovery::{Discovery, ListReader};
use crate::engine::{EnginePool, HttpProtocol};
use crate::release::Releases;
use crate::server::Server;
use ivyward::core::interface::{ListKind, Micros};
use ivyward::core::release::ReleaseSettings;
use ivyward::runtime::{RuntimeExt, RuntimeRef};
use ivyward::{Node, StartError};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing::info;

/// New connections are taken for so long after the word to stop: the front learns of it late.
const ACCEPTS: Micros = 650_000;
/// How often idle connections to engines are looked through.
const SWEEP: Micros = 500_000;
/// How often the counters are logged.
const REPORT: Micros = 10_000_000;

/// Why a node is not in service.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// It cannot listen.
    #[error("listen {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The node does not start.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// A node in service.
pub struct Service {
    node: Node,
    runtime: RuntimeRef,
    server: Arc<Server>,
    discovery: Arc<Discovery>,
    releases: Arc<Releases>,
    /// Dropped to stop listening.
    listening: Option<async_channel::Sender<()>>,
    /// Ends when the listener is gone, and what the system had taken by then is in the table of connections.
    accepting: async_channel::Receiver<()>,
    address: SocketAddr,
}

impl Service {
    /// Starts a node: it listens when this returns, and is ready when it holds a list.
    ///
    /// # Errors
    /// When it cannot listen or the node does not start.
    pub async fn start(runtime: RuntimeRef, config: Config) -> Result<Service, ServiceError> {
        let Config {
            told,
            bounds,
            node: settings,
            ..
        } = config;
        let costly = told.module.must_subscribe;
        let let_go = ReleaseSettings {
            within: settings.rules.release_within,
            max_concurrent_attempts: bounds.spare,
            max_pending: bounds.releases,
        };
        let (dial, fields) = (settings.dial_timeout, &told.report_fields);
        let engines = EnginePool::new(
            &runtime,
            dial,
            told.keepalive,
            bounds.engines,
            fields,
            let_go,
        );
        let releases = engines.releases.clone();
        let protocol = Arc::new(HttpProtocol(engines.clone()));
        let node = Node::start_with(runtime.clone(), settings, None, protocol)?;
        let mut reader = ListReader::new(told.clone(), &runtime);
        if let Some(known) = &config.known {
            node.update_endpoints(ListKind::Cached, reader.read_held(known))
                .await;
        }
        let listener = runtime
            .listen(config.listen)
            .map_err(|e| ServiceError::Listen(config.listen, e))?;
        let address = listener.address();
        let server = Server::new(node.clone(), runtime.clone(), told, bounds);
        let (listening, stopped) = async_channel::bounded::<()>(1);
        let accepting = server.clone();
        let (accepts, accepting_ends) = async_channel::bounded::<()>(1);
        runtime.run(async move {
            let _accepts = accepts;
            accepting.serve(listener, stopped).await;
        });
        let discovery = Arc::new(Discovery::new(config.discovery));
        let (follows, following, clock) = (discovery.clone(), node.clone(), runtime.clone());
        let limits = list_limits(&bounds);
        runtime.run(async move {
            follows
                .follow(&following, &mut reader, &clock, &limits, costly)
                .await
        });
        let (looks, counted, clock) = (server.clone(), node.clone(), runtime.clone());
        runtime.run(async move {
            let mut next = clock.now().saturating_add(REPORT);
            loop {
                if counted.metrics().engines.get() > 0 {
                    looks.ready.store(true, Ordering::SeqCst);
                    clock.sleep(SWEEP).await;
                } else {
                    clock.sleep(5_000).await;
                }
                engines.sweep();
                if clock.now() >= next {
                    next = clock.now().saturating_add(REPORT);
                    let m = counted.metrics();
                    info!(
                        open = counted.open_requests(),
                        clients = looks.connections(),
                        connections = engines.connections(),
                        prompt_bytes = looks.prompt_bytes(),
                        engines = m.engines.get(),
                        known = m.engines_known.get(),
                        requests = m.requests.get(),
                        served = m.served.get(),
                        refused = m.refused.get(),
                        failed = m.failed.get(),
                        gone = m.gone.get(),
                        violations = m.all_violations(),
                        attempts = m.attempts.get(),
                        module_us = m.module_us.get(),
                        driver_us = m.driver_us.get(),
                        "counters"
                    );
                }
            }
        });
        info!(name = config.name, %address, discovery = %config.discovery, ?bounds, "taking requests");
        Ok(Service {
            node,
            runtime,
            server,
            discovery,
            releases,
            listening: Some(listening),
            accepting: accepting_ends,
            address,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    /// The node.
    pub fn node(&self) -> &Node {
        &self.node
    }
    /// A new configuration: discovery may answer elsewhere. Other values need a restart.
    pub fn reload(&self, config: &Config) {
        self.discovery.move_to(config.discovery);
    }
    /// Takes what still comes for the stated time, lets all that was taken end, and returns when nothing is open. How
    /// long that may take is for whoever called: a node that ends before its requests loses them.
    pub async fn stop(&mut self) {
        self.server.stopping.store(true, Ordering::SeqCst);
        info!(open = self.node.open_requests(), "stopping");
        self.runtime.sleep(ACCEPTS).await;
        self.listening = None;
        // Guards against an end before the last connections are looked at. Ends when the sender is dropped.
        let _ = self.accepting.recv().await;
        self.server.close_idle();
        let mut told = false;
        // Guards against a node that ends in the midst of a cut and leaves pinned what it held, and against one that ends
        // before a connection that was told to close, and may bring a request just then, has closed.
        while self.node.open_requests() > 0
            || self.server.unclosed() > 0
            || self.node.pending_releases() > 0
        {
            if self.node.open_requests() == 0 && !std::mem::replace(&mut told, true) {
                self.releases.ends();
            }
            self.runtime.sleep(5_000).await;
            self.server.close_idle();
        }
        info!("stopped");
    }
}
