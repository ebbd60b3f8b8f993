//! Injects one fault into the simulated cluster and ends it after its duration.

use super::cluster::SimulatedCluster;
use super::fault::{Fault, RESPONSE_FAULTS};
use super::plan::ScheduledFault;
use super::{lock, MAX_TRANSIT};
use ivyward::registration::State;
use ivyward_fakes::{Engine, Faults, ObservedEvent};
use ivyward_runtime::RuntimeExt;
use ivyward_sim::{HostId, NetworkConfig};
use std::sync::atomic::Ordering;
use std::sync::Arc;

impl SimulatedCluster {
    /// Injects a fault, waits for its duration and ends it. `salt` seeds a node that is started again.
    pub(super) async fn inject(self: Arc<Self>, scheduled: ScheduledFault, salt: u64) {
        let (runtime, duration) = (self.runtime.clone(), scheduled.len);
        let fault =
            |engine: usize, change: &dyn Fn(&mut Faults)| self.engine(engine, |e| e.fault(change));
        match scheduled.fault {
            Fault::Crash {
                engine,
                reset_connections,
            } => {
                let id = self.engine(engine, |e| e.spec().id);
                if !reset_connections {
                    self.log.add(ObservedEvent::EngineUnreachable {
                        engine: id,
                        unreachable: true,
                    });
                }
                self.hosts
                    .silent
                    .store(!reset_connections, Ordering::SeqCst);
                self.engine(engine, Engine::crash);
                self.hosts.silent.store(false, Ordering::SeqCst);
                runtime.sleep(duration / 4).await;
                // The record is deleted late, so the nodes' lists are stale for a quarter of the fault's duration.
                lock(&self.store).delete(&self.key(engine));
                runtime.sleep(duration).await;
                let restarted = self.engine(engine, |e| e.restart(true));
                if !reset_connections {
                    self.log.add(ObservedEvent::EngineUnreachable {
                        engine: id,
                        unreachable: false,
                    });
                }
                if restarted.is_ok() {
                    let host = self.hosts.last_started();
                    lock(&self.engines[engine]).1 = host;
                    self.register(engine, self.runtime.unix_micros());
                }
            }
            Fault::Drain { engine } => {
                self.put(engine, State::Draining, 0);
                runtime.sleep(duration).await;
                self.put(engine, State::Ready, 0);
            }
            Fault::Deregister { engine } => {
                lock(&self.store).delete(&self.key(engine));
                runtime.sleep(duration).await;
                self.put(engine, State::Ready, 0);
            }
            Fault::Hang { engine } => {
                fault(engine, &|f| f.hang = true);
                runtime.sleep(duration).await;
                fault(engine, &|f| f.hang = false);
            }
            Fault::Slow { engine, by } => {
                fault(engine, &|f| f.slowdown = by);
                runtime.sleep(duration).await;
                fault(engine, &|f| f.slowdown = 1.0);
            }
            Fault::FailCalls { engine, share } => {
                fault(engine, &|f| {
                    (f.reset, f.lose_answer, f.reject, f.refuse_stream) =
                        (share, share, share, share)
                });
                runtime.sleep(duration).await;
                fault(engine, &|f| {
                    (f.reset, f.lose_answer, f.reject, f.refuse_stream) = (0.0, 0.0, 0.0, 0.0)
                });
            }
            Fault::MalformedResponses {
                engine,
                share,
                response_fault: how,
            } => {
                let how = RESPONSE_FAULTS.get(how).copied();
                fault(engine, &|f| {
                    (f.malformed, f.response_fault, f.stall, f.drop_states) =
                        (share, how, share / 4.0, share > 0.4);
                });
                runtime.sleep(duration).await;
                fault(engine, &|f| {
                    (f.malformed, f.stall, f.drop_states) = (0.0, 0.0, false)
                });
            }
            Fault::Cut {
                engine,
                node,
                engine_to_node,
            } => {
                let Some((node, _)) = self.node(node) else {
                    return;
                };
                let engine = lock(&self.engines[engine]).1;
                let (from, to) = if engine_to_node {
                    (engine, node)
                } else {
                    (node, engine)
                };
                self.sim.set_partitioned(from, to, true);
                runtime.sleep(duration).await;
                self.sim.set_partitioned(from, to, false);
            }
            Fault::StoreCut { engine } => {
                let links = |on: bool, hosts: (HostId, HostId)| {
                    self.sim.set_partitioned(hosts.0, hosts.1, on);
                    self.sim.set_partitioned(hosts.1, hosts.0, on);
                };
                let hosts = (lock(&self.engines[engine]).1, *lock(&self.store_host));
                links(true, hosts);
                runtime.sleep(duration).await;
                links(false, hosts);
            }
            Fault::NodeKill { node } => {
                self.kill_node(node);
                runtime.sleep(duration).await;
                // Fails only if another fault has already started this node again on its port.
                let _ = self.start_node(node, salt);
            }
            Fault::PeerCut { from, to } => {
                let (Some((_, host)), Some((a, _)), Some((b, _))) =
                    (&self.addresses, self.node(from), self.node(to))
                else {
                    return;
                };
                // The datagrams of a node go to the forwarders' host and come from it.
                let links = if from == to {
                    vec![(a, *host), (*host, a)]
                } else {
                    vec![(a, *host), (*host, b)]
                };
                links
                    .iter()
                    .for_each(|(from, to)| self.sim.set_partitioned(*from, *to, true));
                runtime.sleep(duration).await;
                links
                    .iter()
                    .for_each(|(from, to)| self.sim.set_partitioned(*from, *to, false));
            }
            Fault::PeerDatagramLoss { lose } => {
                self.sim.update_network(|n| {
                    (n.datagram_loss, n.datagram_duplication) = (lose, lose / 2.0)
                });
                runtime.sleep(duration).await;
                self.sim
                    .update_network(|n| (n.datagram_loss, n.datagram_duplication) = (0.0, 0.0));
            }
            Fault::Fragmentation => {
                self.sim
                    .update_network(|n| (n.partial_io, n.jitter) = (0.5, 4_000));
                runtime.sleep(duration).await;
                self.sim
                    .update_network(|n| (n.partial_io, n.jitter) = (0.0, 100));
            }
            Fault::LowBandwidth => {
                self.sim
                    .update_network(|n| (n.bytes_per_second, n.buffer_bytes) = (400_000, 3_000));
                runtime.sleep(duration).await;
                self.sim.update_network(|n| {
                    (n.bytes_per_second, n.buffer_bytes) =
                        (0, NetworkConfig::default().buffer_bytes)
                });
            }
            Fault::StoreCrash => {
                lock(&self.store).crash();
                // Notifications that were written to the store's sockets just before the crash were not delivered: the log takes
                // them back.
                let lost_since = self.runtime.now().saturating_sub(MAX_TRANSIT);
                for (at, node, engine) in std::mem::take(&mut *lock(&self.recent_notices)) {
                    if at >= lost_since {
                        self.log.add(ObservedEvent::NodeNotified {
                            node,
                            engine,
                            ready: true,
                        });
                    }
                }
                runtime.sleep(duration).await;
                // Another fault may have restarted the store already.
                let restarted = lock(&self.store).restart();
                if restarted.is_ok() {
                    *lock(&self.store_host) = self.hosts.last_started();
                }
            }
            Fault::StoreCompacts => {
                lock(&self.store).fault(|f| f.suppress_watch_events = true);
                runtime.sleep(duration).await;
                let store = lock(&self.store);
                store.compact();
                store.fault(|f| f.suppress_watch_events = false);
            }
            Fault::StoreLags => {
                lock(&self.store).fault(|f| f.watch_delays = vec![100_000, 20_000]);
                runtime.sleep(duration).await;
                lock(&self.store).fault(|f| f.watch_delays = vec![]);
            }
        }
    }
}
