//! A node with engines, discovery and a client in a simulation.

use super::deployment::{config, list, request};
use super::discovery::{start_discovery, DiscoveryFaults};
use super::engine::{start_engine, EngineBehavior, EngineRequest, Script};
use super::request_log::RequestLog;
use super::{read_response, Response};
use futures_lite::AsyncWriteExt;
use ivyward::core::interface::Micros;
use ivyward::runtime::{Conn, RuntimeExt, RuntimeRef};
use ivyward_platform::{Config, Service};
use ivyward_sim::{Host, HostId, NetworkConfig, Sim};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The limit on the virtual time of a run: 10 minutes.
pub const RUN_TIMEOUT: Micros = 600_000_000;

/// The hosts and settings of a run before the node starts. Engines 0 and 1 prefill, engines 2 and 3 decode.
pub struct ClusterSetup {
    pub sim: Sim,
    pub runtime: RuntimeRef,
    pub client: Arc<Host>,
    pub log: Arc<Mutex<RequestLog>>,
    /// The list of discovery: its version, and the JSON text of its entries.
    pub list: Arc<Mutex<(u64, String)>>,
    pub faults: Arc<Mutex<DiscoveryFaults>>,
    pub config: String,
    pub engines: Vec<Arc<Host>>,
    pub discovery: SocketAddr,
    pub node: Arc<Host>,
}

impl ClusterSetup {
    /// Sets up a cluster whose node has 1,024 file descriptors.
    pub fn new(
        script: impl Fn(&EngineRequest) -> EngineBehavior + Send + Sync + 'static,
    ) -> ClusterSetup {
        ClusterSetup::with_sockets(1024, script)
    }

    /// Sets up a cluster whose node has `sockets` file descriptors. `script` determines what engines do with each request.
    pub fn with_sockets(
        sockets: usize,
        script: impl Fn(&EngineRequest) -> EngineBehavior + Send + Sync + 'static,
    ) -> ClusterSetup {
        let net = NetworkConfig {
            latency: 200,
            jitter: 50,
            ..NetworkConfig::default()
        };
        let sim = Sim::new(7, net);
        let (node, client, discovery_host) = (sim.host(1), sim.host(2), sim.host(3));
        let log = Arc::new(Mutex::new(RequestLog::default()));
        let script: Script = Arc::new(script);
        let engines: Vec<Arc<Host>> = (0..4).map(|engine| sim.host(10 + engine)).collect();
        for (engine, host) in engines.iter().enumerate() {
            start_engine(host, engine, &log, &script);
        }
        let list = Arc::new(Mutex::new((1, list(&["up"; 4]))));
        let discovery = SocketAddr::from(([127, 0, 2, 1], 8500));
        let faults = Arc::default();
        start_discovery(&discovery_host, discovery, &list, &faults);
        ClusterSetup {
            sim,
            runtime: node.runtime(),
            client,
            log,
            list,
            faults,
            config: config(discovery, sockets),
            engines,
            discovery,
            node,
        }
    }

    pub fn config(&self) -> Config {
        Config::parse("test", self.config.as_bytes()).unwrap()
    }

    /// Starts the node, waits until it is ready, and runs `test`. Afterwards no invariant of the router may be violated.
    pub fn run<F: Future<Output = ()> + Send + 'static>(
        &self,
        test: impl FnOnce(Cluster) -> F + Send + 'static,
    ) {
        let (runtime, config, client) =
            (self.runtime.clone(), self.config(), self.client.runtime());
        let (log, list, faults) = (self.log.clone(), self.list.clone(), self.faults.clone());
        let (sim, node_host) = (self.sim.clone(), self.node.id());
        let engine_hosts = self.engines.iter().map(|host| host.id()).collect();
        let result = self.sim.run(&self.node, RUN_TIMEOUT, async move {
            let service = Service::start(runtime.clone(), config).await.unwrap();
            let address = service.address();
            while !is_healthy(&client, address).await {
                client.sleep(10_000).await;
            }
            let node = service.node().clone();
            let cluster = Cluster {
                sim,
                node_host,
                engine_hosts,
                service,
                runtime,
                client,
                address,
                log,
                list,
                faults,
            };
            test(cluster).await;
            assert_eq!(
                node.metrics().all_violations(),
                0,
                "violations of the router's invariants; the log names them"
            );
        });
        result.unwrap();
    }
}

/// A running node with its engines, discovery and client.
pub struct Cluster {
    pub sim: Sim,
    pub node_host: HostId,
    pub engine_hosts: Vec<HostId>,
    pub service: Service,
    pub runtime: RuntimeRef,
    pub client: RuntimeRef,
    pub address: SocketAddr,
    pub log: Arc<Mutex<RequestLog>>,
    pub list: Arc<Mutex<(u64, String)>>,
    pub faults: Arc<Mutex<DiscoveryFaults>>,
}

impl Cluster {
    /// Begins or ends a partition between the node and these engines, in both directions.
    pub fn partition(&self, engines: &[usize], is_partitioned: bool) {
        for engine in engines {
            let host = self.engine_hosts[*engine];
            self.sim
                .set_partitioned(self.node_host, host, is_partitioned);
            self.sim
                .set_partitioned(host, self.node_host, is_partitioned);
        }
    }

    /// Returns all requests that engines received, in order of arrival.
    pub fn engine_requests(&self) -> Vec<EngineRequest> {
        self.log.lock().unwrap().requests.clone()
    }

    /// Returns the attempts of a request at engines, without reservations and releases.
    pub fn attempts(&self, id: &str) -> Vec<EngineRequest> {
        let requests = self.engine_requests().into_iter();
        requests.filter(|request| request.id == id).collect()
    }

    /// Returns the releases of a request that engines received.
    pub fn releases(&self, id: &str) -> Vec<EngineRequest> {
        let target = format!("/v1/holds/{id}");
        let requests = self.engine_requests().into_iter();
        requests
            .filter(|request| request.method == "DELETE" && request.target == target)
            .collect()
    }

    /// Replaces the list of discovery, and increments its version.
    pub fn update_list(&self, text: String) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, text);
    }

    /// Connects the client to the node.
    pub async fn connect(&self) -> Conn {
        self.client.connect(self.address).await.unwrap()
    }

    /// Sends one request on a new connection, and returns the response.
    pub async fn send_request(&self, id: &str, class: &str) -> Response {
        let mut conn = self.connect().await;
        conn.write_all(&request(id, class, 4_800)).await.unwrap();
        read_response(&self.client, &mut conn).await
    }
}

/// Returns whether a node is ready: its health check responds with 200.
async fn is_healthy(client: &RuntimeRef, address: SocketAddr) -> bool {
    let Ok(mut conn) = client.connect(address).await else {
        return false;
    };
    conn.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    read_response(client, &mut conn).await.status == 200
}
