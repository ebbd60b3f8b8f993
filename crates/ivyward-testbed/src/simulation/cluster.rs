//! A running cluster of nodes, engines and a store in virtual time.

use super::hosts::Hosts;
use super::{lock, CLIENT_WINDOW, LEASE_SECONDS, MAX_TRANSIT};
use crate::local_cluster::{notices, RecordingBuffer};
use crate::peer_scenario::PeerAddresses;
use crate::registration;
use ivyward::core::interface::Micros;
use ivyward::registration::{State, DEFAULT_ENGINE_PREFIX};
use ivyward::watcher::WatcherOptions;
use ivyward::{Node, NodeSettings};
use ivyward_fakes::etcd::Store;
use ivyward_fakes::{Client, Engine, EventLog, ObservedEvent};
use ivyward_runtime::{RuntimeExt, RuntimeRef};
use ivyward_sim::{HostId, Sim};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A node with its address and the connection that its clients share. Stays when the node's process ends.
pub(super) struct NodeSlot {
    pub(super) node: Option<(HostId, Node)>,
    pub(super) address: SocketAddr,
    pub(super) client: Option<Client>,
}

/// Nodes, engines and a store in virtual time.
pub(super) struct SimulatedCluster {
    /// The nodes' peer addresses and the host of the datagram forwarders, if nodes exchange peer messages.
    pub(super) addresses: Option<(PeerAddresses, HostId)>,
    pub(super) sim: Sim,
    pub(super) hosts: Arc<Hosts>,
    pub(super) log: EventLog,
    pub(super) runtime: RuntimeRef,
    pub(super) settings: NodeSettings,
    pub(super) engines: Vec<Mutex<(Engine, HostId)>>,
    pub(super) node_slots: Vec<Mutex<NodeSlot>>,
    pub(super) store: Mutex<Store>,
    /// The host of the store's current process.
    pub(super) store_host: Mutex<HostId>,
    /// For each node, the ids of the engines that the store's watch has shown to it.
    pub(super) shown_engines: Mutex<Vec<BTreeSet<u64>>>,
    /// Recent notifications that an engine is no longer ready: the time, the node's incarnation and the engine's id.
    pub(super) recent_notices: Mutex<Vec<(Micros, u64, u64)>>,
    /// The recording of each incarnation of a node, with the node's number.
    pub(super) recordings: Mutex<Vec<(usize, RecordingBuffer)>>,
}

impl SimulatedCluster {
    pub(super) fn key(&self, engine: usize) -> String {
        format!(
            "{DEFAULT_ENGINE_PREFIX}{}",
            lock(&self.engines[engine]).0.spec().id
        )
    }

    pub(super) fn put(&self, engine: usize, state: State, started: Micros) {
        let (key, text) = self.engine(engine, |e| registration::record(e, state, started / 1_000));
        lock(&self.store).put(&key, &text);
    }

    /// Has an engine register itself under a lease that its process keeps alive.
    pub(super) fn keep_registered(&self, engine: usize, started: Micros) {
        let endpoints = lock(&self.store).endpoints()[self.node_slots.len()..].to_vec();
        self.engine(engine, |e| {
            registration::keep_registered(e, endpoints, LEASE_SECONDS, started / 1_000, |_| {})
        });
    }

    pub(super) fn register(&self, engine: usize, started: Micros) {
        match engine % 2 {
            0 => self.keep_registered(engine, started),
            _ => self.put(engine, State::Ready, started),
        }
    }

    pub(super) fn start_node(self: &Arc<Self>, i: usize, salt: u64) -> Result<(), String> {
        let host = self.sim.host(salt);
        let runtime = host.runtime();
        let settings = NodeSettings {
            seed: salt,
            ..self.settings.clone()
        };
        let recording = RecordingBuffer::default();
        let node = Node::start(runtime.clone(), settings, Some(Box::new(recording.clone())));
        let node = node.map_err(|e| e.to_string())?;
        if let Some((addresses, _)) = &self.addresses {
            addresses.start_peers(&node, i)?;
        }
        let mut slot = lock(&self.node_slots[i]);
        let listener = runtime.listen(slot.address).map_err(|e| e.to_string())?;
        slot.address = listener.address();
        let (serving, watching) = (node.clone(), node.clone());
        runtime.run(async move { serving.serve(listener).await });
        let watcher = WatcherOptions {
            endpoints: lock(&self.store).endpoints()[i..=i].to_vec(),
            silence_timeout: 400_000,
            empty_grace: 3_000_000,
            backoff: (10_000, 200_000),
            ..WatcherOptions::default()
        };
        runtime.run(async move { watching.watch_endpoints(watcher).await });
        lock(&self.recordings).push((i, recording));
        slot.node = Some((host.id(), node));
        slot.client = None;
        Ok(())
    }

    pub(super) fn kill_node(&self, i: usize) {
        let (host, run) = {
            let mut slot = lock(&self.node_slots[i]);
            slot.client = None;
            match slot.node.take() {
                Some((host, node)) => (host, node.incarnation()),
                None => return,
            }
        };
        self.log.add(ObservedEvent::NodeKilled { node: i, run });
        self.sim.kill(host, true);
        self.log.add(ObservedEvent::NodeKilled { node: i, run });
        lock(&self.shown_engines)[i].clear();
    }

    pub(super) fn nodes(&self) -> Vec<Option<Node>> {
        (0..self.node_slots.len())
            .map(|i| self.node(i).map(|n| n.1))
            .collect()
    }

    pub(super) fn node(&self, i: usize) -> Option<(HostId, Node)> {
        lock(&self.node_slots[i]).node.clone()
    }

    pub(super) fn engine<T>(&self, i: usize, act: impl FnOnce(&mut Engine) -> T) -> T {
        act(&mut lock(&self.engines[i]).0)
    }

    /// Logs a notification when the store writes it to a node's socket.
    pub(super) fn observe_store(self: &Arc<Self>) {
        let cluster = Arc::downgrade(self);
        lock(&self.store).set_observer(Arc::new(move |endpoint, shown| {
            let Some(cluster) = cluster.upgrade() else {
                return;
            };
            let Some((_, node)) = (endpoint < cluster.node_slots.len())
                .then(|| cluster.node(endpoint))
                .flatten()
            else {
                return;
            };
            let (node, now) = (node.incarnation(), cluster.runtime.now());
            for (engine, ready) in notices(&shown, &mut lock(&cluster.shown_engines)[endpoint]) {
                if !ready {
                    let mut recent = lock(&cluster.recent_notices);
                    recent.retain(|n| n.0 + MAX_TRANSIT >= now);
                    recent.push((now, node, engine));
                }
                cluster.log.add(ObservedEvent::NodeNotified {
                    node,
                    engine,
                    ready,
                });
            }
        }));
    }

    pub(super) async fn client(&self, i: usize) -> Option<Client> {
        let address = {
            let slot = lock(&self.node_slots[i]);
            if let Some(client) = slot.client.clone().filter(Client::is_usable) {
                return Some(client);
            }
            slot.node.as_ref()?;
            slot.address
        };
        let connecting = Client::connect_with(&self.runtime, &self.log, address, CLIENT_WINDOW);
        let until = self.runtime.now() + 500_000;
        let client = ivyward_runtime::timeout_at(&self.runtime, until, connecting)
            .await?
            .ok()?;
        lock(&self.node_slots[i]).client = Some(client.clone());
        Some(client)
    }
}
