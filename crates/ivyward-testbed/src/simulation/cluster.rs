//! The running cluster: nodes, engines and the store in virtual time.

use super::hosts::Hosts;
use super::{lock, CLIENT_WINDOW, LAST_MOMENT, LEASE};
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

/// A node, its address and the connection of its clients.
pub(super) struct Place {
    pub(super) node: Option<(HostId, Node)>,
    pub(super) address: SocketAddr,
    pub(super) client: Option<Client>,
}

/// Nodes, engines and a store in virtual time.
pub(super) struct SimulatedCluster {
    /// If nodes know each other: where, and the forwarders' process.
    pub(super) addresses: Option<(PeerAddresses, HostId)>,
    pub(super) sim: Sim,
    pub(super) hosts: Arc<Hosts>,
    pub(super) log: EventLog,
    pub(super) runtime: RuntimeRef,
    pub(super) settings: NodeSettings,
    pub(super) engines: Vec<Mutex<(Engine, HostId)>>,
    pub(super) places: Vec<Mutex<Place>>,
    pub(super) store: Mutex<Store>,
    /// The process that the store is now.
    pub(super) store_host: Mutex<HostId>,
    /// What the store showed to each node.
    pub(super) shown: Mutex<Vec<BTreeSet<u64>>>,
    /// Notices that were shown lately: when, to which run of a node, of which engine.
    pub(super) notices: Mutex<Vec<(Micros, u64, u64)>>,
    /// What each run of a node was told and did.
    pub(super) records: Mutex<Vec<(usize, RecordingBuffer)>>,
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

    /// The engine registers itself.
    pub(super) fn enlist(&self, engine: usize, started: Micros) {
        let endpoints = lock(&self.store).endpoints()[self.places.len()..].to_vec();
        self.engine(engine, |e| {
            registration::keep_registered(e, endpoints, LEASE, started / 1_000, |_| {})
        });
    }

    pub(super) fn register(&self, engine: usize, started: Micros) {
        match engine % 2 {
            0 => self.enlist(engine, started),
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
        let record = RecordingBuffer::default();
        let node = Node::start(runtime.clone(), settings, Some(Box::new(record.clone())));
        let node = node.map_err(|e| e.to_string())?;
        if let Some((addresses, _)) = &self.addresses {
            addresses.start_peers(&node, i)?;
        }
        let mut place = lock(&self.places[i]);
        let listener = runtime.listen(place.address).map_err(|e| e.to_string())?;
        place.address = listener.address();
        let (serving, following) = (node.clone(), node.clone());
        runtime.run(async move { serving.serve(listener).await });
        let follow = WatcherOptions {
            endpoints: lock(&self.store).endpoints()[i..=i].to_vec(),
            silence_timeout: 400_000,
            empty_grace: 3_000_000,
            backoff: (10_000, 200_000),
            ..WatcherOptions::default()
        };
        runtime.run(async move { following.watch_endpoints(follow).await });
        lock(&self.records).push((i, record));
        place.node = Some((host.id(), node));
        place.client = None;
        Ok(())
    }

    pub(super) fn kill_node(&self, i: usize) {
        let (host, run) = {
            let mut place = lock(&self.places[i]);
            place.client = None;
            match place.node.take() {
                Some((host, node)) => (host, node.incarnation()),
                None => return,
            }
        };
        self.log.add(ObservedEvent::NodeKilled { node: i, run });
        self.sim.kill(host, true);
        self.log.add(ObservedEvent::NodeKilled { node: i, run });
        lock(&self.shown)[i].clear();
    }

    pub(super) fn nodes(&self) -> Vec<Option<Node>> {
        (0..self.places.len())
            .map(|i| self.node(i).map(|n| n.1))
            .collect()
    }

    pub(super) fn node(&self, i: usize) -> Option<(HostId, Node)> {
        lock(&self.places[i]).node.clone()
    }

    pub(super) fn engine<T>(&self, i: usize, act: impl FnOnce(&mut Engine) -> T) -> T {
        act(&mut lock(&self.engines[i]).0)
    }

    /// The store's own sight of what it handed to each node's socket is when that node was told.
    pub(super) fn witness(self: &Arc<Self>) {
        let cluster = Arc::downgrade(self);
        lock(&self.store).set_observer(Arc::new(move |door, shown| {
            let Some(cluster) = cluster.upgrade() else {
                return;
            };
            let Some((_, node)) = (door < cluster.places.len())
                .then(|| cluster.node(door))
                .flatten()
            else {
                return;
            };
            let (node, now) = (node.incarnation(), cluster.runtime.now());
            for (engine, ready) in notices(&shown, &mut lock(&cluster.shown)[door]) {
                if !ready {
                    let mut lately = lock(&cluster.notices);
                    lately.retain(|n| n.0 + LAST_MOMENT >= now);
                    lately.push((now, node, engine));
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
            let place = lock(&self.places[i]);
            if let Some(client) = place.client.clone().filter(Client::is_usable) {
                return Some(client);
            }
            place.node.as_ref()?;
            place.address
        };
        let dial = Client::connect_with(&self.runtime, &self.log, address, CLIENT_WINDOW);
        let until = self.runtime.now() + 500_000;
        let client = ivyward_runtime::timeout_at(&self.runtime, until, dial)
            .await?
            .ok()?;
        lock(&self.places[i]).client = Some(client.clone());
        Some(client)
    }
}
