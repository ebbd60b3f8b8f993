//! Engines and nodes in the deterministic simulation, for tests that need no faults drawn from a seed.

#![allow(dead_code)] // Each test file uses only some of the items.

use ivyward::{Node, NodeSettings};
use ivyward_core::interface::EndpointState;
use ivyward_fakes::{Engine, EngineSpec, EventLog, Host as Processes, Role};
use ivyward_proto::front::GenerateRequest;
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use ivyward_sim::{Host, HostId, NetworkConfig, Sim};
use ivyward_testbed::local_cluster::{list_entry, settings, RecordingBuffer};
use ivyward_testbed::simulation::Hosts;
use std::net::SocketAddr;
use std::sync::Arc;

pub const HOUR: u64 = 3_600_000_000;

pub fn prompt(seed: u32, length: u32) -> Vec<u32> {
    (0..length).map(|i| i.wrapping_mul(7) ^ seed).collect()
}

pub struct VirtualCluster {
    pub sim: Sim,
    pub script: Arc<Host>,
    pub runtime: RuntimeRef,
    pub log: EventLog,
    pub engines: Vec<Engine>,
    /// Hosts of the engines, in the order of `engines`.
    pub engine_hosts: Vec<HostId>,
}

/// Starts three prefill and two decode engines. The network has no jitter, so that other traffic does not change how long a
/// call takes.
pub fn virtual_cluster() -> VirtualCluster {
    virtual_cluster_of(3, 2)
}

/// Starts the given numbers of prefill and decode engines. The ids of the decode engines follow those of the prefill engines.
pub fn virtual_cluster_of(readers: u64, writers: u64) -> VirtualCluster {
    let sim = Sim::new(
        11,
        NetworkConfig {
            jitter: 0,
            ..NetworkConfig::default()
        },
    );
    let script = sim.host(0);
    let runtime = script.runtime();
    let log = EventLog::new(&runtime);
    let hosts = Arc::new(Hosts::of(&sim));
    let host: Arc<dyn Processes> = hosts.clone();
    let spec = |id| {
        let role = if id <= readers {
            Role::Prefill
        } else {
            Role::Decode
        };
        EngineSpec {
            prefill_rate: 4_000.0,
            kv_fetch_rate: 8_000.0,
            token_interval: 3_000,
            ..EngineSpec::small(id, role)
        }
    };
    let (mut engines, mut engine_hosts) = (Vec::new(), Vec::new());
    for id in 1..=readers + writers {
        engines.push(Engine::start(&host, &log, spec(id)).unwrap());
        engine_hosts.push(hosts.last_started());
    }
    VirtualCluster {
        sim,
        script,
        runtime,
        log,
        engines,
        engine_hosts,
    }
}

impl VirtualCluster {
    /// Starts a node that serves gRPC, and returns it with its address and its recording. The node has no engines until its
    /// endpoints are updated.
    pub fn node(&self, seed: u64) -> (Node, SocketAddr, RecordingBuffer) {
        let (node, address, memory, _) = self.node_at(seed);
        (node, address, memory)
    }
    /// Like `node`, and also returns the id of its host.
    pub fn node_at(&self, seed: u64) -> (Node, SocketAddr, RecordingBuffer, HostId) {
        self.node_with(NodeSettings { seed, ..settings() })
    }
    /// Like `node_at`, with the given settings.
    pub fn node_with(&self, settings: NodeSettings) -> (Node, SocketAddr, RecordingBuffer, HostId) {
        let (host, memory) = (self.sim.host(settings.seed), RecordingBuffer::default());
        let runtime = host.runtime();
        let node = Node::start(runtime.clone(), settings, Some(Box::new(memory.clone()))).unwrap();
        let listener = runtime
            .listen(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        let address = listener.address();
        let serving = node.clone();
        runtime.run(async move { serving.serve(listener).await });
        (node, address, memory, host.id())
    }
    pub fn listed(&self) -> Vec<ivyward::Engine> {
        self.engines
            .iter()
            .map(|e| list_entry(e, EndpointState::Ready, 0))
            .collect()
    }
}

pub fn request(call: u64, words: &[u32], session: u32) -> GenerateRequest {
    GenerateRequest {
        prompt: words.to_vec(),
        max_output_tokens: 6,
        session: format!("s{session}"),
        shared_opening_tokens: 40,
        call_id: call,
        ..GenerateRequest::default()
    }
}
