//! Membership from a store's watch: nothing new goes to an engine later than the grace after its notice, whatever happens
//! to the store.

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

/// These tests are about notices: what the machine needs for everything else is not held against the node here. Sends
/// after a notice are judged as strictly as anywhere.
fn quiet_about_time(make: &mut ClusterBuilder) {
    make.use_long_deadlines();
    make.flight = 2_000_000;
}

struct Rig {
    cluster: Arc<LocalCluster>,
    store: Store,
}

fn rig(silence: u64) -> Rig {
    rig_of(silence, 600_000)
}

fn rig_of(silence: u64, empty_grace: u64) -> Rig {
    rig_from(41, 2, 1, |f| {
        (f.silence_timeout, f.empty_grace) = (silence, empty_grace)
    })
}

/// Nodes that follow a store with so many doors.
fn rig_from(
    seed: u64,
    nodes: usize,
    doors: usize,
    change: impl FnOnce(&mut WatcherOptions),
) -> Rig {
    let host: Arc<dyn Host> = Arc::new(ThreadPerProcess);
    let mut store = Store::start(&host, 1).unwrap();
    store.open_endpoints(doors).unwrap();
    let mut make = ClusterBuilder::new(seed, pools(4, 8));
    let mut follow = WatcherOptions {
        endpoints: store.endpoints().to_vec(),
        backoff: (5_000, 100_000),
        ..WatcherOptions::default()
    };
    change(&mut follow);
    (make.nodes, make.watcher) = (nodes, Some(follow));
    quiet_about_time(&mut make);
    Rig {
        cluster: build(make),
        store,
    }
}

impl Rig {
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
    /// Notes that all nodes are told of an engine now, which is before they can know.
    fn told(&self, engine: usize, ready: bool) {
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
    /// An engine's record says that it drains, and all nodes heard it.
    async fn drained(&self, engine: usize) {
        self.put(engine, State::Draining);
        self.heard_all().await;
        self.told(engine, false);
    }
    fn engines_known(&self) -> Vec<u64> {
        (0..self.cluster.nodes())
            .map(|n| self.cluster.node(n).unwrap().metrics().engines.get())
            .collect()
    }
    async fn until(&self, what: impl Fn(&Rig) -> bool) {
        for _ in 0..10_000 {
            if what(self) {
                return;
            }
            self.cluster.runtime.sleep(1_000).await;
        }
        let m = self.cluster.node(0).unwrap().metrics().text(0);
        panic!(
            "it did not come about within ten seconds: {:?} {m}",
            self.engines_known()
        );
    }
    /// All nodes heard all that the store holds.
    async fn heard_all(&self) {
        let heard = |n: usize| self.cluster.node(n).unwrap().metrics().list_revision.get() as i64;
        self.until(|rig| (0..rig.cluster.nodes()).all(|n| heard(n) >= rig.store.revision()))
            .await;
    }
    async fn all_known(&self, count: u64) {
        self.until(|rig| rig.engines_known().iter().all(|n| *n == count))
            .await;
    }
    /// Eight clients that ask again as soon as they are answered, until the sender is dropped: as much as the machine
    /// does, and never more in hand, however busy it is.
    fn load(&self) -> (async_channel::Sender<()>, async_channel::Receiver<()>) {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (done, wait) = async_channel::bounded::<()>(1);
        for client in 0..8 {
            let (cluster, stopped, done) = (self.cluster.clone(), stopped.clone(), done.clone());
            self.cluster.runtime.run(async move {
                let mut i = client * 100_000;
                while !stopped.is_closed() {
                    let ask = cluster.new_request(client as usize % 2, QUICK, prompt(i, 40), 4);
                    cluster.send(&ask).await;
                    i += 1;
                    cluster.runtime.sleep(2_000).await;
                }
                drop(done);
            });
        }
        (stop, wait)
    }
    async fn served(&self, i: u32) {
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
fn drains_and_departures_are_kept_under_load() {
    let rig = rig(500_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        let (stop, done) = rig.load();
        for round in 0..20 {
            let engine = [0, 4, 5, 1, 6][round % 5];
            match round % 2 {
                0 => rig.put(engine, State::Draining),
                _ => rig.delete(engine),
            }
            rig.told(engine, false);
            rig.cluster.runtime.sleep(300_000).await;
            rig.told(engine, true);
            rig.put(engine, State::Ready);
            rig.cluster.runtime.sleep(30_000).await;
        }
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&rig.cluster).await;
        let checked = rig.cluster.audit().rules[2].checked;
        assert!(checked >= 40, "{checked} checks");
    });
}

/// The check can fail: a node that does not hear a notice goes on sending, and the auditor says so.
#[test]
fn a_notice_that_is_ignored_is_caught() {
    let rig = rig(60_000_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.store.fault(|f| f.suppress_watch_events = true);
        let (stop, done) = rig.load();
        for engine in 4..8 {
            rig.put(engine, State::Draining);
            rig.told(engine, false);
        }
        rig.until(|rig| rig.cluster.audit().rules[2].violation_count > 0)
            .await;
        drop(stop);
        let _ = done.recv().await;
        rig.cluster.wait_until_idle(5_000_000).await;
    });
}

/// A watch that fell silent and was compacted away: deletions are found by the next list's difference.
#[test]
fn a_watch_that_is_compacted_away_is_made_up_for() {
    let rig = rig(150_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        // Nothing comes while changes pass, and the history of them is dropped.
        rig.store.fault(|f| f.suppress_watch_events = true);
        rig.delete(4);
        rig.put(5, State::Draining);
        rig.delete(6);
        rig.put(6, State::Ready);
        rig.store.compact();
        rig.store.fault(|f| f.suppress_watch_events = false);
        rig.all_known(11).await;
        let gaps = rig.cluster.node(0).unwrap().metrics().list_gaps.get();
        assert!(gaps >= 1);
        rig.told(5, false);
        rig.served(1).await;
        assert_clean(&rig.cluster).await;
    });
}

/// The store restarts in the middle of a drain: the drain is not forgotten, the engine is not taken as gone for good,
/// and while the store is down the old list stands.
#[test]
fn the_store_restarts_in_the_middle_of_a_drain() {
    let mut rig = rig(300_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.drained(4).await;
        rig.store.crash();
        rig.until(|rig| rig.cluster.node(0).unwrap().metrics().list_stale.get() == 1)
            .await;
        assert_eq!(rig.engines_known(), [12, 12]);
        rig.served(1).await;
        rig.store.restart().unwrap();
        rig.until(|rig| {
            (0..2).all(|n| rig.cluster.node(n).unwrap().metrics().list_stale.get() == 0)
        })
        .await;
        rig.served(2).await;
        rig.told(4, true);
        rig.put(4, State::Ready);
        rig.heard_all().await;
        rig.served(3).await;
        assert_clean(&rig.cluster).await;
    });
}

/// A store that comes back empty does not empty the pools at once; engines that register again are there.
#[test]
fn a_store_that_restarts_empty_is_doubted() {
    // Far longer than the few steps until the engines are there again.
    let rig = rig_of(200_000, 5_000_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.store.reset_empty();
        rig.until(|rig| {
            (0..2).all(|n| rig.cluster.node(n).unwrap().metrics().list_gaps.get() >= 1)
        })
        .await;
        assert_eq!(rig.engines_known(), [12, 12]);
        rig.served(1).await;
        (0..6).for_each(|e| rig.put(e, State::Ready));
        rig.all_known(6).await;
        rig.served(2).await;
        // Empty for good: believed in the end, and refused honestly.
        rig.store.reset_empty();
        rig.all_known(0).await;
        let end = rig
            .cluster
            .send(&rig.cluster.new_request(0, QUICK, prompt(3, 40), 4))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Rejected, "{end:?}");
        assert_clean(&rig.cluster).await;
    });
}

/// Bad records are counted once and hurt no other; an engine that moves under a running stream ends that stream in peace.
#[test]
fn bad_records_hurt_nobody_and_moves_break_no_stream() {
    let rig = rig(500_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.store.put("ivyward/engines/4", "{");
        rig.store.put("ivyward/engines/x", "{}");
        rig.store.put(
            "ivyward/engines/77",
            &rig.cluster.registration(4, State::Ready, 0).1,
        );
        rig.until(|rig| {
            rig.cluster
                .node(0)
                .unwrap()
                .metrics()
                .records_malformed
                .get()
                == 3
        })
        .await;
        assert_eq!(rig.engines_known(), [12, 12]);
        // A long answer runs while all writers are told to be elsewhere, and come back.
        let ask = rig.cluster.new_request(0, QUICK, prompt(1, 40), 400);
        let (one, call) = (rig.cluster.clone(), ask.request.call_id);
        let (tell, wait) = async_channel::bounded(1);
        rig.cluster.runtime.run(async move {
            let _ = tell.send(one.send(&ask).await.unwrap()).await;
        });
        wait_for_event(
            &rig.cluster,
            |s| matches!(s, ObservedEvent::FirstTokenReceived { call: c } if *c == call),
        )
        .await;
        for engine in 4..12 {
            let (key, record) = rig.cluster.registration(engine, State::Ready, 0);
            let own = rig.cluster.engine(engine).address().to_string();
            rig.store.put(&key, &record.replace(&own, "127.0.0.1:9"));
        }
        rig.put_all();
        let end = wait.recv().await.unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        rig.served(2).await;
        assert_clean(&rig.cluster).await;
    });
}

/// A node that starts while the store is down serves by the list that the last one kept; without one it refuses.
#[test]
fn a_kept_list_serves_while_the_store_is_down() {
    let mut rig = rig(200_000);
    let path = std::env::temp_dir().join(format!("ivyward-kept-{}", std::process::id()));
    let follow = rig.cluster.builder().watcher.clone().unwrap();
    rig.put_all();
    block_on(async {
        let keeping = WatcherOptions {
            snapshot: Some(path.clone()),
            ..follow.clone()
        };
        let start = |seed: u64, follow: WatcherOptions| {
            let runtime = ivyward_runtime::SmolRuntime::start(1, seed);
            let as_ref: ivyward_runtime::RuntimeRef = runtime.clone();
            let node =
                ivyward::Node::start(as_ref, rig.cluster.builder().settings.clone(), None).unwrap();
            let following = node.clone();
            runtime.run(async move { following.watch_endpoints(follow).await });
            (runtime, node)
        };
        let (first, node) = start(1, keeping.clone());
        rig.until(|_| node.metrics().engines.get() == 12 && path.exists())
            .await;
        first.stop();
        rig.store.crash();
        let (_second, node) = start(2, keeping);
        rig.until(|_| node.metrics().engines.get() == 12).await;
        let ask = rig.cluster.new_request(0, QUICK, prompt(1, 40), 4).request;
        assert_eq!(
            node.generate(ask.clone(), Some(2_000_000))
                .collect()
                .await
                .1,
            ivyward::FinalStatus::Served
        );
        assert_eq!(node.metrics().list_stale.get(), 1);
        let (_third, node) = start(3, follow);
        let end = node.generate(ask, Some(2_000_000)).collect().await.1;
        assert!(
            matches!(end, ivyward::FinalStatus::Rejected { .. }),
            "{end:?}"
        );
    });
    std::fs::remove_file(&path).unwrap();
}

/// Guards against a disk that takes nothing for a while: the list that could not be written is written when it can be,
/// though it did not change.
#[test]
fn a_list_that_could_not_be_kept_is_kept_later() {
    let rig = rig(200_000);
    let folder = std::env::temp_dir().join(format!("ivyward-kept-later-{}", std::process::id()));
    let path = folder.join("engines");
    let follow = rig.cluster.builder().watcher.clone().unwrap();
    rig.put_all();
    block_on(async {
        let runtime = ivyward_runtime::SmolRuntime::start(1, 1);
        let as_ref: ivyward_runtime::RuntimeRef = runtime.clone();
        let node =
            ivyward::Node::start(as_ref, rig.cluster.builder().settings.clone(), None).unwrap();
        let (following, keeping) = (
            node.clone(),
            WatcherOptions {
                snapshot: Some(path.clone()),
                ..follow
            },
        );
        runtime.run(async move { following.watch_endpoints(keeping).await });
        rig.until(|_| node.metrics().engines.get() == 12).await;
        rig.until(|_| node.metrics().snapshot_write_failures.get() > 0)
            .await;
        std::fs::create_dir(&folder).unwrap();
        rig.until(|_| path.exists()).await;
        rig.until(|_| ivyward::snapshot::read(&path).unwrap().unwrap().len() == 12)
            .await;
        assert!(!path.with_extension("new").exists());
        runtime.stop();
    });
    std::fs::remove_dir_all(&folder).unwrap();
}

/// A large fleet of records and a burst of changes within a second while requests run: all of it is taken in, in few
/// lists, drains among it are heeded, and nobody is harmed by it.
#[test]
fn a_burst_of_changes_in_a_large_fleet_is_taken_in() {
    let rig = rig(10_000_000);
    let (fleet, burst) = (10_000, 5_000);
    let record = |id: u64, state: &str| {
        let address = format!("127.9.{}.{}:9", id >> 8 & 255, id & 255);
        format!(
            r#"{{"version":1,"id":{id},"role":"decode","address":"{address}","state":"{state}"}}"#
        )
    };
    // Records of engines that drain: known, and never sent anything.
    for id in 1_000..1_000 + fleet {
        rig.store
            .put(&format!("ivyward/engines/{id}"), &record(id, "draining"));
    }
    rig.put_all();
    block_on(async {
        rig.all_known(12 + fleet).await;
        let (stop, done) = rig.load();
        rig.served(1).await;
        for part in 0..50 {
            for id in 0..burst / 50 {
                rig.store.delete(&format!(
                    "ivyward/engines/{}",
                    1_000 + part * burst / 50 + id
                ));
            }
            if part == 25 {
                rig.drained(4).await;
            }
            rig.cluster.runtime.sleep(20_000).await;
        }
        rig.all_known(12 + fleet - burst).await;
        rig.served(2).await;
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&rig.cluster).await;
    });
}

/// A store with a door for each node.
fn rig_of_doors(silence: u64, behind_grace: u64) -> Rig {
    rig_from(42, 2, 2, |f| {
        (f.silence_timeout, f.behind_grace) = (silence, behind_grace)
    })
}

/// Watches that lag by different spans: each node heeds a notice within the grace after it was shown to that node, and
/// the other one's sends meanwhile are no fault of it.
#[test]
fn watches_that_lag_by_different_spans() {
    let rig = rig_of_doors(5_000_000, 1_000_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.store.fault(|f| f.watch_delays = vec![0, 700_000]);
        rig.store.set_observer(rig.cluster.store_observer());
        let (stop, done) = rig.load();
        for engine in 4..8 {
            rig.put(engine, State::Draining);
            rig.heard_all().await;
        }
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&rig.cluster).await;
        let all = rig.cluster.log.all();
        let told = |engine: u64| -> Vec<u64> {
            let of = |s: &ObservedEvent| matches!(s, ObservedEvent::NodeNotified { engine: e, ready: false, .. } if *e == engine);
            all.iter().filter(|s| of(&s.event)).map(|s| s.at).collect()
        };
        for engine in 5..9 {
            // Both were told, the second no sooner than its lag after the first.
            assert!(
                matches!(told(engine)[..], [a, b] if b >= a + 600_000),
                "{:?}",
                told(engine)
            );
        }
    });
}

/// Two endpoints of one store of which one answers as of long ago: it is not believed, and the node goes on with the
/// other one.
#[test]
fn endpoints_that_disagree() {
    // One node, which knows both doors.
    let rig = rig_from(43, 1, 2, |f| {
        (f.silence_timeout, f.behind_grace) = (300_000, 60_000_000)
    });
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        let old = rig.store.revision();
        (4..8).for_each(|e| rig.put(e, State::Draining));
        rig.delete(8);
        rig.all_known(11).await;
        rig.told(4, false);
        for door in [0, 1] {
            let mut behind = vec![0, 0];
            behind[door] = old;
            rig.store.fault(|f| f.stale_revisions = behind);
            for _ in 0..4 {
                let gaps = rig.cluster.node(0).unwrap().metrics().list_gaps.get();
                // Again and again, for one before the watch stands is missed.
                let gap = |r: &Rig| {
                    r.store.cancel_watches();
                    r.cluster.node(0).unwrap().metrics().list_gaps.get() > gaps
                };
                rig.until(gap).await;
                rig.until(|r| r.cluster.node(0).unwrap().metrics().list_stale.get() == 0)
                    .await;
                assert_eq!(rig.engines_known(), [11]);
            }
        }
        let end = rig
            .cluster
            .send(&rig.cluster.new_request(0, QUICK, prompt(1, 40), 4))
            .await
            .unwrap();
        assert_eq!(end.outcome, ClientOutcome::Served, "{end:?}");
        assert_clean(&rig.cluster).await;
    });
}

/// A store that is restored from an older copy under its old name: doubted first, then believed; and what it says after
/// that is heard.
#[test]
fn a_store_restored_from_an_older_copy() {
    let path = std::env::temp_dir().join(format!("ivyward-store-{}", std::process::id()));
    for history in [true, false] {
        let mut rig = rig_of_doors(200_000, 500_000);
        rig.put_all();
        rig.delete(11);
        rig.store.snapshot().save(&path).unwrap();
        let copy = ivyward_fakes::etcd::StoreSnapshot::load(&path).unwrap();
        block_on(async {
            rig.all_known(11).await;
            rig.put(11, State::Ready);
            rig.put(4, State::Draining);
            rig.all_known(12).await;
            rig.heard_all().await;
            let high = rig.store.revision();
            rig.store.crash();
            rig.store.restore(if history {
                copy
            } else {
                copy.without_history()
            });
            assert!(rig.store.revision() < high);
            rig.store.restart().unwrap();
            rig.all_known(11).await;
            rig.served(1).await;
            rig.drained(5).await;
            rig.served(2).await;
            assert_clean(&rig.cluster).await;
        });
    }
    std::fs::remove_file(&path).unwrap();
}

/// A link to the store that is open on one side only: nothing comes and nothing breaks. It is found by silence, and the
/// old list stands meanwhile; requests are served.
#[test]
fn a_link_that_is_open_on_one_side() {
    let rig = rig(150_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.store.fault(|f| f.half_open = true);
        rig.delete(4);
        let stale = |on: u64| {
            move |rig: &Rig| {
                (0..2).all(|n| rig.cluster.node(n).unwrap().metrics().list_stale.get() == on)
            }
        };
        rig.until(stale(1)).await;
        assert_eq!(rig.engines_known(), [12, 12]);
        rig.served(1).await;
        rig.store.fault(|f| f.half_open = false);
        rig.all_known(11).await;
        rig.until(stale(0)).await;
        rig.served(2).await;
        assert_clean(&rig.cluster).await;
    });
}

/// Slow links and responses that are batched, cut in fragments and late: what is told is told whole.
#[test]
fn a_slow_link_and_batched_responses() {
    let rig = rig(2_000_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.store.fault(|f| {
            (f.bytes_per_second, f.batch_interval, f.watch_delays) = (200_000, 30_000, vec![20_000])
        });
        let (stop, done) = rig.load();
        for round in 0..3 {
            for id in 0..300 {
                rig.store.put(
                    &format!("ivyward/engines/{}", 1_000 + id),
                    &format!(r#"{{"version":1,"id":{},"role":"decode","address":"127.0.0.1:9","state":"draining"}}"#, 1_000 + id),
                );
            }
            rig.all_known(312).await;
            rig.drained(4 + round).await;
            for id in 0..300 {
                rig.store.delete(&format!("ivyward/engines/{}", 1_000 + id));
            }
            rig.all_known(12).await;
        }
        drop(stop);
        let _ = done.recv().await;
        assert_clean(&rig.cluster).await;
    });
}

/// All endpoints gone for long: the old list stands and is marked stale, no pool is emptied, and no attempt to reach
/// them is made without a pause.
#[test]
fn all_endpoints_gone() {
    let mut rig = rig(200_000);
    rig.put_all();
    block_on(async {
        rig.all_known(12).await;
        rig.drained(4).await;
        rig.store.crash();
        rig.until(|rig| {
            (0..2).all(|n| rig.cluster.node(n).unwrap().metrics().list_stale.get() == 1)
        })
        .await;
        // Thirty lists in vain at the longest pause of this rig.
        let until = rig.cluster.log.now() + 3_000_000;
        let mut i = 0;
        while rig.cluster.log.now() < until {
            rig.served(i).await;
            i += 1;
            assert_eq!(rig.engines_known(), [12, 12]);
            rig.cluster.runtime.sleep(50_000).await;
        }
        rig.store.restart().unwrap();
        rig.until(|rig| {
            (0..2).all(|n| rig.cluster.node(n).unwrap().metrics().list_stale.get() == 0)
        })
        .await;
        rig.served(i).await;
        assert_clean(&rig.cluster).await;
    });
}

/// Engines register themselves; one that dies leaves the list with its lease, and one whose store forgot everything
/// comes back with the record that it had: who was told to drain is not ready again.
#[test]
fn engines_that_register_themselves() {
    let rig = rig_of(2_000_000, 60_000_000);
    let endpoints = [rig.store.address()];
    for engine in 0..12 {
        rig.cluster.keep_engine_registered(engine, &endpoints, 3, 0);
    }
    block_on(async {
        rig.all_known(12).await;
        rig.cluster.engine(5).crash();
        rig.all_known(11).await;
        // Drained by hand, under the lease that it has.
        let key = rig.cluster.registration(4, State::Ready, 0).0;
        let value = rig.store.value(&key).unwrap().replace("ready", "draining");
        rig.store.put_keeping_lease(&key, &value);
        // The keeper sees the change with its next renewal, of which there are three in a lease's time; then the store
        // loses everything.
        let renewed = rig.store.renewals();
        rig.until(|rig| rig.store.renewals() >= renewed + 40).await;
        rig.store.reset_empty();
        let back = |rig: &Rig| rig.store.keys().len() == 11;
        rig.until(back).await;
        assert!(rig.store.value(&key).unwrap().contains("draining"));
        rig.all_known(11).await;
    });
}
