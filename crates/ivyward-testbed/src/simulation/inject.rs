//! Injects one fault into the simulated cluster and ends it after its duration.

use super::cluster::SimulatedCluster;
use super::fault::{Fault, TWISTS};
use super::plan::ScheduledFault;
use super::{lock, LAST_MOMENT};
use ivyward::registration::State;
use ivyward_fakes::{Engine, Faults, ObservedEvent};
use ivyward_runtime::RuntimeExt;
use ivyward_sim::{HostId, NetworkConfig};
use std::sync::atomic::Ordering;
use std::sync::Arc;

impl SimulatedCluster {
    /// One fault from its begin to its end.
    pub(super) async fn play(self: Arc<Self>, timed: ScheduledFault, salt: u64) {
        let (runtime, len) = (self.runtime.clone(), timed.len);
        let fault =
            |engine: usize, change: &dyn Fn(&mut Faults)| self.engine(engine, |e| e.fault(change));
        match timed.fault {
            Fault::Crash {
                engine,
                reset_connections: word,
            } => {
                let id = self.engine(engine, |e| e.spec().id);
                if !word {
                    self.log.add(ObservedEvent::EngineUnreachable {
                        engine: id,
                        unreachable: true,
                    });
                }
                self.hosts.silent.store(!word, Ordering::SeqCst);
                self.engine(engine, Engine::crash);
                self.hosts.silent.store(false, Ordering::SeqCst);
                runtime.sleep(len / 4).await;
                // The list learns of it late, or not before it is back.
                lock(&self.store).delete(&self.key(engine));
                runtime.sleep(len).await;
                let up = self.engine(engine, |e| e.restart(true));
                if !word {
                    self.log.add(ObservedEvent::EngineUnreachable {
                        engine: id,
                        unreachable: false,
                    });
                }
                if up.is_ok() {
                    let host = self.hosts.last_started();
                    lock(&self.engines[engine]).1 = host;
                    self.register(engine, self.runtime.unix_micros());
                }
            }
            Fault::Drain { engine } => {
                self.put(engine, State::Draining, 0);
                runtime.sleep(len).await;
                self.put(engine, State::Ready, 0);
            }
            Fault::Deregister { engine } => {
                lock(&self.store).delete(&self.key(engine));
                runtime.sleep(len).await;
                self.put(engine, State::Ready, 0);
            }
            Fault::Hang { engine } => {
                fault(engine, &|f| f.hang = true);
                runtime.sleep(len).await;
                fault(engine, &|f| f.hang = false);
            }
            Fault::Slow { engine, by } => {
                fault(engine, &|f| f.slowdown = by);
                runtime.sleep(len).await;
                fault(engine, &|f| f.slowdown = 1.0);
            }
            Fault::FailCalls { engine, share } => {
                fault(engine, &|f| {
                    (f.reset, f.lose_answer, f.reject, f.refuse_stream) =
                        (share, share, share, share)
                });
                runtime.sleep(len).await;
                fault(engine, &|f| {
                    (f.reset, f.lose_answer, f.reject, f.refuse_stream) = (0.0, 0.0, 0.0, 0.0)
                });
            }
            Fault::MalformedResponses {
                engine,
                share,
                response_fault: how,
            } => {
                let how = TWISTS.get(how).copied();
                fault(engine, &|f| {
                    (f.malformed, f.response_fault, f.stall, f.drop_states) =
                        (share, how, share / 4.0, share > 0.4);
                });
                runtime.sleep(len).await;
                fault(engine, &|f| {
                    (f.malformed, f.stall, f.drop_states) = (0.0, 0.0, false)
                });
            }
            Fault::Cut {
                engine,
                node,
                engine_to_node: back,
            } => {
                let Some((node, _)) = self.node(node) else {
                    return;
                };
                let engine = lock(&self.engines[engine]).1;
                let (from, to) = if back { (engine, node) } else { (node, engine) };
                self.sim.set_partitioned(from, to, true);
                runtime.sleep(len).await;
                self.sim.set_partitioned(from, to, false);
            }
            Fault::StoreCut { engine } => {
                let ways = |on: bool, hosts: (HostId, HostId)| {
                    self.sim.set_partitioned(hosts.0, hosts.1, on);
                    self.sim.set_partitioned(hosts.1, hosts.0, on);
                };
                let hosts = (lock(&self.engines[engine]).1, *lock(&self.store_host));
                ways(true, hosts);
                runtime.sleep(len).await;
                ways(false, hosts);
            }
            Fault::NodeKill { node } => {
                self.kill_node(node);
                runtime.sleep(len).await;
                // It cannot fail but for a port that another fault's node has taken again.
                let _ = self.start_node(node, salt);
            }
            Fault::PeerCut { from, to } => {
                let (Some((_, host)), Some((a, _)), Some((b, _))) =
                    (&self.addresses, self.node(from), self.node(to))
                else {
                    return;
                };
                // Its datagrams leave towards the forwarders, and come from them.
                let ways = if from == to {
                    vec![(a, *host), (*host, a)]
                } else {
                    vec![(a, *host), (*host, b)]
                };
                ways.iter()
                    .for_each(|(from, to)| self.sim.set_partitioned(*from, *to, true));
                runtime.sleep(len).await;
                ways.iter()
                    .for_each(|(from, to)| self.sim.set_partitioned(*from, *to, false));
            }
            Fault::PeerDatagramLoss { lose } => {
                self.sim.update_network(|n| {
                    (n.datagram_loss, n.datagram_duplication) = (lose, lose / 2.0)
                });
                runtime.sleep(len).await;
                self.sim
                    .update_network(|n| (n.datagram_loss, n.datagram_duplication) = (0.0, 0.0));
            }
            Fault::Fragmentation => {
                self.sim
                    .update_network(|n| (n.partial_io, n.jitter) = (0.5, 4_000));
                runtime.sleep(len).await;
                self.sim
                    .update_network(|n| (n.partial_io, n.jitter) = (0.0, 100));
            }
            Fault::LowBandwidth => {
                self.sim
                    .update_network(|n| (n.bytes_per_second, n.buffer_bytes) = (400_000, 3_000));
                runtime.sleep(len).await;
                self.sim.update_network(|n| {
                    (n.bytes_per_second, n.buffer_bytes) =
                        (0, NetworkConfig::default().buffer_bytes)
                });
            }
            Fault::StoreCrash => {
                lock(&self.store).crash();
                // What it handed to its sockets in its last moment never left them: nobody was told.
                let just = self.runtime.now().saturating_sub(LAST_MOMENT);
                for (at, node, engine) in std::mem::take(&mut *lock(&self.notices)) {
                    if at >= just {
                        self.log.add(ObservedEvent::NodeNotified {
                            node,
                            engine,
                            ready: true,
                        });
                    }
                }
                runtime.sleep(len).await;
                // Another fault may have brought it back.
                let up = lock(&self.store).restart();
                if up.is_ok() {
                    *lock(&self.store_host) = self.hosts.last_started();
                }
            }
            Fault::StoreCompacts => {
                lock(&self.store).fault(|f| f.suppress_watch_events = true);
                runtime.sleep(len).await;
                let store = lock(&self.store);
                store.compact();
                store.fault(|f| f.suppress_watch_events = false);
            }
            Fault::StoreLags => {
                lock(&self.store).fault(|f| f.watch_delays = vec![100_000, 20_000]);
                runtime.sleep(len).await;
                lock(&self.store).fault(|f| f.watch_delays = vec![]);
            }
        }
    }
}
