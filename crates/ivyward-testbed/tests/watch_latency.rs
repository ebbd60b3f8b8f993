//! Membership from an etcd watch: no attempt is sent to a draining or removed engine later than the grace period after
//! the node was notified, whatever happens to the store.

mod common;
use common::*;
use futures_lite::future::block_on;
use ivyward::registration::State;
use ivyward::watcher::WatcherOptions;
use ivyward_fakes::engine::ThreadPerProcess;
use ivyward_fakes::etcd::Store;
use ivyward_fakes::event_log::{ClientOutcome, ObservedEvent};
use ivyward_fakes::Host;
use ivyward_runtime::RuntimeExt;
use ivyward_testbed::local_cluster::{ClusterBuilder, LocalCluster};
use std::sync::Arc;

/// Gives the cluster long deadlines and a long `flight`. These tests check notifications, so slowness of the machine in
/// everything else is no violation here. Attempts sent after a notification are checked as strictly as in other tests.
fn relax_time_limits(make: &mut ClusterBuilder) {
    make.use_long_deadlines();
    make.flight = 2_000_000;
}

struct WatchCluster {
    cluster: Arc<LocalCluster>,
    store: Store,
}

fn start_cluster(silence: u64) -> WatchCluster {
    start_with_empty_grace(silence, 600_000)
}

fn start_with_empty_grace(silence: u64, empty_grace: u64) -> WatchCluster {
    start_with(41, 2, 1, |f| {
        (f.silence_timeout, f.empty_grace) = (silence, empty_grace)
    })
}

/// Starts nodes that watch a store with this number of endpoints.
fn start_with(
    seed: u64,
    nodes: usize,
    endpoints: usize,
    change: impl FnOnce(&mut WatcherOptions),
) -> WatchCluster {
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    let mut store = Store::start(&host, 1).unwrap();
    store.open_endpoints(endpoints).unwrap();
    let mut make = ClusterBuilder::new(seed, pools(4, 8));
    let mut follow = WatcherOptions {
        endpoints: store.endpoints().to_vec(),
        backoff: (5_000, 100_000),
        ..WatcherOptions::default()
    };
    change(&mut follow);
    (make.nodes, make.watcher) = (nodes, Some(follow));
    relax_time_limits(&mut make);
    WatchCluster {
        cluster: build(make),
        store,
    }
}

impl WatchCluster {
    fn put(&self, engine: usize, state: State) {
        let (key, record) = self.cluster.registration(engine, state, 0);
        self.store.put(&key, &record);
    }
    fn delete(&self, engine: usize) {
        self.store
            .delete(&self.cluster.registration(engine, State::Ready, 0).0);
    }
    fn put_all(&self) {
        (0..self.cluster.engines()).for_each(|e| self.put(e, State::Ready));
    }
    /// Logs that all nodes are notified of an engine now, which is before they can receive the change.
    fn log_notification(&self, engine: usize, ready: bool) {
        let id = self.cluster.engine(engine).spec().id;
        for node in 0..self.cluster.nodes() {
            let node = self.cluster.node(node).unwrap().incarnation();
            self.cluster.log.add(ObservedEvent::NodeNotified {
                node,
                engine: id,
                ready,
            });
        }
    }
    /// Writes a record that says that the engine is draining, and waits until all nodes have received it.
    async fn drain_and_wait(&self, engine: usize) {
        self.put(engine, State::Draining);
        self.wait_until_synced().await;
        self.log_notification(engine, false);
    }
    fn engines_known(&self) -> Vec<u64> {
        (0..self.cluster.nodes())
            .map(|n| self.cluster.node(n).unwrap().metrics().engines.get())
            .collect()
    }
    async fn wait_until(&self, what: impl Fn(&WatchCluster) -> bool) {
        for _ in 0..10_000 {
            if what(self) {
                return;
            }
            self.cluster.runtime.sleep(1_000).await;
        }
        let m = self.cluster.node(0).unwrap().metrics().text(0);
        panic!(
            "the condition did not hold within ten seconds: engines known {:?}, {m}",
            self.engines_known()
        );
    }
    /// Waits until all nodes have received the current revision of the store.
    async fn wait_until_synced(&self) {
        let revision =
            |n: usize| self.cluster.node(n).unwrap().metrics().list_revision.get() as i64;
        self.wait_until(|setup| {
            (0..setup.cluster.nodes()).all(|n| revision(n) >= setup.store.revision())
        })
        .await;
    }
    async fn wait_for_engine_count(&self, count: u64) {
        self.wait_until(|setup| setup.engines_known().iter().all(|n| *n == count))
            .await;
    }
    /// Starts eight clients that each send the next request as soon as the last one is answered, until the sender is
    /// dropped. The load adapts to the machine, and no more than eight requests are open, however busy it is.
    fn load(&self) -> (async_channel::Sender<()>, async_channel::Receiver<()>) {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (done, receiver) = async_channel::bounded::<()>(1);
        for client in 0..8 {
            let (cluster, stopped, done) = (self.cluster.clone(), stopped.clone(), done.clone());
            self.cluster.runtime.run(async move {
                let mut i = client * 100_000;
                while !stopped.is_closed() {
                    let client_request =
                        cluster.new_request(client as usize % 2, QUICK, prompt(i, 40), 4);
                    cluster.send(&client_request).await;
                    i += 1;
                    cluster.runtime.sleep(2_000).await;
                }
                drop(done);
            });
        }
        (stop, receiver)
    }
    async fn assert_served(&self, i: u32) {
        for node in 0..2 {
            let end = self
                .cluster
                .send(&self.cluster.new_request(node, QUICK, prompt(i, 40), 4))
                .await
                .unwrap();
            assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        }
    }
}

#[test]
fn draining_and_removed_engines_get_no_attempts_under_load() {
    let setup = start_cluster(500_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        let (stop, done) = setup.load();
        for round in 0..20 {
            let engine = [0, 4, 5, 1, 6][round % 5];
            match round % 2 {
                0 => setup.put(engine, State::Draining),
                _ => setup.delete(engine),
            }
            setup.log_notification(engine, false);
            setup.cluster.runtime.sleep(300_000).await;
            setup.log_notification(engine, true);
            setup.put(engine, State::Ready);
            setup.cluster.runtime.sleep(30_000).await;
        }
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&setup.cluster).await;
        let checked = setup.cluster.audit().rules[2].checked;
        assert!(checked >= 40, "{checked} checks");
    });
}

/// The check can fail: a node that does not receive a notification continues to send attempts, and the rule checker
/// reports that.
#[test]
fn attempts_after_a_missed_notification_are_reported() {
    let setup = start_cluster(60_000_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.store.fault(|f| f.suppress_watch_events = true);
        let (stop, done) = setup.load();
        for engine in 4..8 {
            setup.put(engine, State::Draining);
            setup.log_notification(engine, false);
        }
        setup
            .wait_until(|setup| setup.cluster.audit().rules[2].violation_count > 0)
            .await;
        drop(stop);
        let _ = done.recv().await;
        setup.cluster.wait_until_idle(5_000_000).await;
    });
}

/// A watch that stops delivering events while the store is compacted: the node finds the deletions by comparing the next
/// full list with its own.
#[test]
fn changes_lost_to_compaction_are_found_by_the_next_list() {
    let setup = start_cluster(150_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        // No events are delivered while records change, and the history of the changes is compacted.
        setup.store.fault(|f| f.suppress_watch_events = true);
        setup.delete(4);
        setup.put(5, State::Draining);
        setup.delete(6);
        setup.put(6, State::Ready);
        setup.store.compact();
        setup.store.fault(|f| f.suppress_watch_events = false);
        setup.wait_for_engine_count(11).await;
        let gaps = setup.cluster.node(0).unwrap().metrics().list_gaps.get();
        assert!(gaps >= 1);
        setup.log_notification(5, false);
        setup.assert_served(1).await;
        assert_clean(&setup.cluster).await;
    });
}

/// The store restarts while an engine drains: the engine still counts as draining and not as removed, and while the store
/// is down the last known list stays in use.
#[test]
fn the_store_restarts_while_an_engine_drains() {
    let mut setup = start_cluster(300_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.drain_and_wait(4).await;
        setup.store.crash();
        setup
            .wait_until(|setup| setup.cluster.node(0).unwrap().metrics().list_stale.get() == 1)
            .await;
        assert_eq!(setup.engines_known(), [12, 12]);
        setup.assert_served(1).await;
        setup.store.restart().unwrap();
        setup
            .wait_until(|setup| {
                (0..2).all(|n| setup.cluster.node(n).unwrap().metrics().list_stale.get() == 0)
            })
            .await;
        setup.assert_served(2).await;
        setup.log_notification(4, true);
        setup.put(4, State::Ready);
        setup.wait_until_synced().await;
        setup.assert_served(3).await;
        assert_clean(&setup.cluster).await;
    });
}

/// A store that comes back empty does not empty the pools at once. Engines that register again are used.
#[test]
fn a_store_that_restarts_empty_empties_the_pools_only_after_a_grace() {
    // The grace for an empty list is far longer than the few steps until the engines are registered again.
    let setup = start_with_empty_grace(200_000, 5_000_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.store.reset_empty();
        setup
            .wait_until(|setup| {
                (0..2).all(|n| setup.cluster.node(n).unwrap().metrics().list_gaps.get() >= 1)
            })
            .await;
        assert_eq!(setup.engines_known(), [12, 12]);
        setup.assert_served(1).await;
        (0..6).for_each(|e| setup.put(e, State::Ready));
        setup.wait_for_engine_count(6).await;
        setup.assert_served(2).await;
        // The store stays empty: the nodes accept the empty list in the end, and reject requests.
        setup.store.reset_empty();
        setup.wait_for_engine_count(0).await;
        let end = setup
            .cluster
            .send(&setup.cluster.new_request(0, QUICK, prompt(3, 40), 4))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Rejected, "{end:?}");
        assert_clean(&setup.cluster).await;
    });
}

/// Malformed records are counted once and do not affect other records. A change of an engine's address does not break a
/// running stream.
#[test]
fn malformed_records_affect_no_other_and_address_changes_break_no_stream() {
    let setup = start_cluster(500_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.store.put("ivyward/engines/4", "{");
        setup.store.put("ivyward/engines/x", "{}");
        setup.store.put(
            "ivyward/engines/77",
            &setup.cluster.registration(4, State::Ready, 0).1,
        );
        setup
            .wait_until(|setup| {
                setup
                    .cluster
                    .node(0)
                    .unwrap()
                    .metrics()
                    .records_malformed
                    .get()
                    == 3
            })
            .await;
        assert_eq!(setup.engines_known(), [12, 12]);
        // A long answer is streamed while the addresses of all decode engines change in the store, and change back.
        let client_request = setup.cluster.new_request(0, QUICK, prompt(1, 40), 400);
        let (one, call) = (setup.cluster.clone(), client_request.request.call_id);
        let (sender, receiver) = async_channel::bounded(1);
        setup.cluster.runtime.run(async move {
            let _ = sender.send(one.send(&client_request).await.unwrap()).await;
        });
        wait_for_event(
            &setup.cluster,
            |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
        )
        .await;
        for engine in 4..12 {
            let (key, record) = setup.cluster.registration(engine, State::Ready, 0);
            let own = setup.cluster.engine(engine).address().to_string();
            setup.store.put(&key, &record.replace(&own, "127.0.0.1:9"));
        }
        setup.put_all();
        let end = receiver.recv().await.unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        setup.assert_served(2).await;
        assert_clean(&setup.cluster).await;
    });
}

/// A node that starts while the store is down serves from the snapshot that the previous node wrote. Without a snapshot it
/// rejects requests.
#[test]
fn a_snapshot_is_used_while_the_store_is_down() {
    let mut setup = start_cluster(200_000);
    let path = std::env::temp_dir().join(format!("ivyward-kept-{}", std::process::id()));
    let follow = setup.cluster.builder().watcher.clone().unwrap();
    setup.put_all();
    block_on(async {
        let with_snapshot = WatcherOptions {
            snapshot: Some(path.clone()),
            ..follow.clone()
        };
        let start = |seed: u64, follow: WatcherOptions| {
            let runtime = ivyward_runtime::SmolRuntime::start(1, seed);
            let as_ref: ivyward_runtime::RuntimeRef = runtime.clone();
            let node = ivyward::Node::start(as_ref, setup.cluster.builder().settings.clone(), None)
                .unwrap();
            let following = node.clone();
            runtime.run(async move { following.watch_endpoints(follow).await });
            (runtime, node)
        };
        let (first, node) = start(1, with_snapshot.clone());
        setup
            .wait_until(|_| node.metrics().engines.get() == 12 && path.exists())
            .await;
        first.stop();
        setup.store.crash();
        let (_second, node) = start(2, with_snapshot);
        setup
            .wait_until(|_| node.metrics().engines.get() == 12)
            .await;
        let client_request = setup
            .cluster
            .new_request(0, QUICK, prompt(1, 40), 4)
            .request;
        assert_eq!(
            node.generate(client_request.clone(), Some(2_000_000))
                .collect()
                .await
                .1,
            ivyward::FinalStatus::Served
        );
        assert_eq!(node.metrics().list_stale.get(), 1);
        let (_third, node) = start(3, follow);
        let end = node
            .generate(client_request, Some(2_000_000))
            .collect()
            .await
            .1;
        assert!(
            matches!(end, ivyward::FinalStatus::Rejected { .. }),
            "{end:?}"
        );
    });
    std::fs::remove_file(&path).unwrap();
}

/// Guards against a disk that cannot be written for a while: the snapshot that failed is written as soon as the disk works
/// again, even if the list has not changed since.
#[test]
fn a_snapshot_that_could_not_be_written_is_written_later() {
    let setup = start_cluster(200_000);
    let folder = std::env::temp_dir().join(format!("ivyward-kept-later-{}", std::process::id()));
    let path = folder.join("engines");
    let follow = setup.cluster.builder().watcher.clone().unwrap();
    setup.put_all();
    block_on(async {
        let runtime = ivyward_runtime::SmolRuntime::start(1, 1);
        let as_ref: ivyward_runtime::RuntimeRef = runtime.clone();
        let node =
            ivyward::Node::start(as_ref, setup.cluster.builder().settings.clone(), None).unwrap();
        let (following, with_snapshot) = (
            node.clone(),
            WatcherOptions {
                snapshot: Some(path.clone()),
                ..follow
            },
        );
        runtime.run(async move { following.watch_endpoints(with_snapshot).await });
        setup
            .wait_until(|_| node.metrics().engines.get() == 12)
            .await;
        setup
            .wait_until(|_| node.metrics().snapshot_write_failures.get() > 0)
            .await;
        std::fs::create_dir(&folder).unwrap();
        setup.wait_until(|_| path.exists()).await;
        setup
            .wait_until(|_| ivyward::snapshot::read(&path).unwrap().unwrap().len() == 12)
            .await;
        assert!(!path.with_extension("new").exists());
        runtime.stop();
    });
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A large fleet of records and a burst of changes within a second while requests run: nodes process all changes in few
/// lists, respect the drains among them, and requests are not affected.
#[test]
fn a_burst_of_changes_in_a_large_fleet_is_processed() {
    let setup = start_cluster(10_000_000);
    let (fleet, burst) = (10_000, 5_000);
    let record = |id: u64, state: &str| {
        let address = format!("127.9.{}.{}:9", id >> 8 & 255, id & 255);
        format!(
            r#"{{"version":1,"id":{id},"role":"decode","address":"{address}","state":"{state}"}}"#
        )
    };
    // Records of draining engines: nodes know them and send them nothing.
    for id in 1_000..1_000 + fleet {
        setup
            .store
            .put(&format!("ivyward/engines/{id}"), &record(id, "draining"));
    }
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12 + fleet).await;
        let (stop, done) = setup.load();
        setup.assert_served(1).await;
        for part in 0..50 {
            for id in 0..burst / 50 {
                setup.store.delete(&format!(
                    "ivyward/engines/{}",
                    1_000 + part * burst / 50 + id
                ));
            }
            if part == 25 {
                setup.drain_and_wait(4).await;
            }
            setup.cluster.runtime.sleep(20_000).await;
        }
        setup.wait_for_engine_count(12 + fleet - burst).await;
        setup.assert_served(2).await;
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&setup.cluster).await;
    });
}

/// Starts two nodes and a store with an endpoint for each of them.
fn start_with_two_endpoints(silence: u64, behind_grace: u64) -> WatchCluster {
    start_with(42, 2, 2, |f| {
        (f.silence_timeout, f.behind_grace) = (silence, behind_grace)
    })
}

/// Watches with different delays: each node respects a notification within the grace period after that node received it.
/// Attempts that the other node sends in the meantime are no violation.
#[test]
fn watches_with_different_delays() {
    let setup = start_with_two_endpoints(5_000_000, 1_000_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.store.fault(|f| f.watch_delays = vec![0, 700_000]);
        setup.store.set_observer(setup.cluster.store_observer());
        let (stop, done) = setup.load();
        for engine in 4..8 {
            setup.put(engine, State::Draining);
            setup.wait_until_synced().await;
        }
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&setup.cluster).await;
        let all = setup.cluster.log.all();
        let log_notification = |engine: u64| -> Vec<u64> {
            let of = |s: &ObservedEvent| matches!(s, ObservedEvent::NodeNotified { engine: e, ready: false, .. } if *e == engine);
            all.iter().filter(|s| of(&s.event)).map(|s| s.at).collect()
        };
        for engine in 5..9 {
            // Both nodes were notified, the second one no sooner than its delay after the first.
            assert!(
                matches!(log_notification(engine)[..], [a, b] if b >= a + 600_000),
                "{:?}",
                log_notification(engine)
            );
        }
    });
}

/// One of two endpoints of a store answers with an old revision: the node ignores that answer and uses the other endpoint.
#[test]
fn an_endpoint_with_an_old_revision_is_ignored() {
    // One node, which knows both endpoints.
    let setup = start_with(43, 1, 2, |f| {
        (f.silence_timeout, f.behind_grace) = (300_000, 60_000_000)
    });
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        let old = setup.store.revision();
        (4..8).for_each(|e| setup.put(e, State::Draining));
        setup.delete(8);
        setup.wait_for_engine_count(11).await;
        setup.log_notification(4, false);
        for endpoint in [0, 1] {
            let mut behind = vec![0, 0];
            behind[endpoint] = old;
            setup.store.fault(|f| f.stale_revisions = behind);
            for _ in 0..4 {
                let gaps = setup.cluster.node(0).unwrap().metrics().list_gaps.get();
                // Cancelled repeatedly, because a cancellation before the watch is established has no effect.
                let gap = |r: &WatchCluster| {
                    r.store.cancel_watches();
                    r.cluster.node(0).unwrap().metrics().list_gaps.get() > gaps
                };
                setup.wait_until(gap).await;
                setup
                    .wait_until(|r| r.cluster.node(0).unwrap().metrics().list_stale.get() == 0)
                    .await;
                assert_eq!(setup.engines_known(), [11]);
            }
        }
        let end = setup
            .cluster
            .send(&setup.cluster.new_request(0, QUICK, prompt(1, 40), 4))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        assert_clean(&setup.cluster).await;
    });
}

/// A store is restored from an older backup with the same cluster id: nodes first ignore its older revision, accept it after
/// `behind_grace`, and follow the changes after that.
#[test]
fn a_store_restored_from_an_older_backup() {
    let path = std::env::temp_dir().join(format!("ivyward-store-{}", std::process::id()));
    for history in [true, false] {
        let mut setup = start_with_two_endpoints(200_000, 500_000);
        setup.put_all();
        setup.delete(11);
        setup.store.snapshot().save(&path).unwrap();
        let copy = ivyward_fakes::etcd::StoreSnapshot::load(&path).unwrap();
        block_on(async {
            setup.wait_for_engine_count(11).await;
            setup.put(11, State::Ready);
            setup.put(4, State::Draining);
            setup.wait_for_engine_count(12).await;
            setup.wait_until_synced().await;
            let high = setup.store.revision();
            setup.store.crash();
            setup.store.restore(if history {
                copy
            } else {
                copy.without_history()
            });
            assert!(setup.store.revision() < high);
            setup.store.restart().unwrap();
            setup.wait_for_engine_count(11).await;
            setup.assert_served(1).await;
            setup.drain_and_wait(5).await;
            setup.assert_served(2).await;
            assert_clean(&setup.cluster).await;
        });
    }
    std::fs::remove_file(&path).unwrap();
}

/// A half-open connection to the store delivers nothing and reports no error. Nodes detect it by its silence. The last known
/// list stays in use meanwhile, and requests are served.
#[test]
fn a_half_open_connection_is_detected_by_its_silence() {
    let setup = start_cluster(150_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.store.fault(|f| f.half_open = true);
        setup.delete(4);
        let stale = |on: u64| {
            move |setup: &WatchCluster| {
                (0..2).all(|n| setup.cluster.node(n).unwrap().metrics().list_stale.get() == on)
            }
        };
        setup.wait_until(stale(1)).await;
        assert_eq!(setup.engines_known(), [12, 12]);
        setup.assert_served(1).await;
        setup.store.fault(|f| f.half_open = false);
        setup.wait_for_engine_count(11).await;
        setup.wait_until(stale(0)).await;
        setup.assert_served(2).await;
        assert_clean(&setup.cluster).await;
    });
}

/// Slow links and responses that are batched, fragmented and delayed: nodes still receive every change.
#[test]
fn a_slow_link_and_batched_responses() {
    let setup = start_cluster(2_000_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.store.fault(|f| {
            (f.bytes_per_second, f.batch_interval, f.watch_delays) = (200_000, 30_000, vec![20_000])
        });
        let (stop, done) = setup.load();
        for round in 0..3 {
            for id in 0..300 {
                setup.store.put(
                    &format!("ivyward/engines/{}", 1_000 + id),
                    &format!(r#"{{"version":1,"id":{},"role":"decode","address":"127.0.0.1:9","state":"draining"}}"#, 1_000 + id),
                );
            }
            setup.wait_for_engine_count(312).await;
            setup.drain_and_wait(4 + round).await;
            for id in 0..300 {
                setup
                    .store
                    .delete(&format!("ivyward/engines/{}", 1_000 + id));
            }
            setup.wait_for_engine_count(12).await;
        }
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&setup.cluster).await;
    });
}

/// All endpoints of the store are unreachable for long: the last known list stays in use and is marked stale, no pool is
/// emptied, and there is a pause before each attempt to reach them.
#[test]
fn all_endpoints_unreachable() {
    let mut setup = start_cluster(200_000);
    setup.put_all();
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.drain_and_wait(4).await;
        setup.store.crash();
        setup
            .wait_until(|setup| {
                (0..2).all(|n| setup.cluster.node(n).unwrap().metrics().list_stale.get() == 1)
            })
            .await;
        // As long as thirty failed list calls at the longest backoff of this cluster.
        let until = setup.cluster.log.now() + 3_000_000;
        let mut i = 0;
        while setup.cluster.log.now() < until {
            setup.assert_served(i).await;
            i += 1;
            assert_eq!(setup.engines_known(), [12, 12]);
            setup.cluster.runtime.sleep(50_000).await;
        }
        setup.store.restart().unwrap();
        setup
            .wait_until(|setup| {
                (0..2).all(|n| setup.cluster.node(n).unwrap().metrics().list_stale.get() == 0)
            })
            .await;
        setup.assert_served(i).await;
        assert_clean(&setup.cluster).await;
    });
}

/// Engines register themselves. An engine that dies is removed when its lease ends. When the store loses its data, engines
/// register again with the record that they had: a draining engine does not become ready again.
#[test]
fn engines_that_register_themselves() {
    let setup = start_with_empty_grace(2_000_000, 60_000_000);
    let endpoints = [setup.store.address()];
    for engine in 0..12 {
        setup
            .cluster
            .keep_engine_registered(engine, &endpoints, 3, 0);
    }
    block_on(async {
        setup.wait_for_engine_count(12).await;
        setup.cluster.engine(5).crash();
        setup.wait_for_engine_count(11).await;
        // An operator sets the engine to draining, with the lease that the record has.
        let key = setup.cluster.registration(4, State::Ready, 0).0;
        let value = setup
            .store
            .value(&key)
            .unwrap()
            .replace("ready", "draining");
        setup.store.put_keeping_lease(&key, &value);
        // The registration task sees the change at its next renewal, of which there are three per lease duration. Then
        // the store loses its data.
        let renewed = setup.store.renewals();
        setup
            .wait_until(|setup| setup.store.renewals() >= renewed + 40)
            .await;
        setup.store.reset_empty();
        let back = |setup: &WatchCluster| setup.store.keys().len() == 11;
        setup.wait_until(back).await;
        assert!(setup.store.value(&key).unwrap().contains("draining"));
        setup.wait_for_engine_count(11).await;
    });
}
