//! Tests of gossip between daemon processes. The traffic of each directed link passes through a relay that injects faults.
//!
//! Each test waits for the expected state. Where something must not happen, the durations differ widely: a fault lasts a
//! second or two, while a node is declared dead only after more than ten seconds of silence.

use ivyward_runtime::RuntimeRef;
use ivyward_testbed::cluster::links::{End, LinkFault};
use ivyward_testbed::cluster::plan::{ClusterFault, Episode, Plan};
use ivyward_testbed::cluster::play::run_plan;
use ivyward_testbed::cluster::process::View;
use ivyward_testbed::cluster::{id, Cluster, Size};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;
/// Time limit for an expected state, in microseconds. It is reached only if the state never occurs.
const WAIT_LIMIT: u64 = 90 * SECOND;

fn size(nodes: usize) -> Size {
    Size {
        nodes,
        engines: 0,
        store: false,
        seeds: 2,
        death_after: 2_400_000,
        lease: 2,
        daemon: env!("CARGO_BIN_EXE_ivywardd").into(),
        seed: 7,
    }
}

/// Starts a cluster with two engines, since a daemon does not start without any, and waits until all nodes agree.
fn start_cluster(size: Size) -> Cluster {
    let cluster = Cluster::start(Size { engines: 2, ..size }).unwrap();
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    cluster
}

/// Returns how often node `at` logged that node `of` is dead.
fn death_count(cluster: &Cluster, at: usize, of: usize) -> usize {
    let name = format!("\"peer\":\"{:016x}\"", id(of));
    cluster
        .process(at)
        .unwrap()
        .count_log_lines(&["peer state changed", &name, "\"is\":\"dead\""])
}

/// Returns how many deaths all nodes have logged.
fn total_death_count(cluster: &Cluster, nodes: usize) -> usize {
    (0..nodes)
        .flat_map(|at| (0..nodes).map(move |of| (at, of)))
        .map(|(at, of)| death_count(cluster, at, of))
        .sum()
}

/// Describes the running nodes that have not joined or do not count `count` nodes. Empty if there are none.
fn wrong_counts(views: &BTreeMap<usize, View>, count: u32) -> Vec<String> {
    let wrong = views
        .iter()
        .filter(|(_, view)| view.count != count || !view.joined);
    wrong
        .map(|(node, view)| format!("node {node} counts {}, joined {}", view.count, view.joined))
        .collect()
}

/// Returns the state of node `of` in the view of node `at`.
fn state(views: &BTreeMap<usize, View>, at: usize, of: usize) -> String {
    let row = views.get(&at).and_then(|view| view.peers.get(&id(of)));
    row.map_or("unknown".into(), |row| row.state.clone())
}

#[test]
fn killed_node_is_detected_and_has_a_later_incarnation_after_restart() {
    let mut cluster = start_cluster(size(5));
    // All nodes have the same seed, but engines must be able to tell them apart.
    let runs: BTreeSet<u64> = (0..5)
        .map(|n| cluster.process(n).unwrap().incarnation)
        .collect();
    assert_eq!(runs.len(), 5);
    cluster
        .wait_until(WAIT_LIMIT, |_, views| wrong_counts(views, 5))
        .unwrap();
    let before = cluster.views()[&0].peers[&id(3)].start;
    cluster.kill_node(3);
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    // Silence does not prove that the killed node sends nothing, so it is still counted.
    assert_eq!(wrong_counts(&cluster.views(), 5), Vec::<String>::new());
    cluster.start_node(3).unwrap();
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    cluster
        .wait_until(WAIT_LIMIT, |_, views| wrong_counts(views, 5))
        .unwrap();
    let after = cluster.views()[&0].peers[&id(3)].start;
    assert!(after > before, "{after} after {before}");
}

#[test]
fn paused_nodes_do_not_declare_the_others_dead_after_resuming() {
    let mut cluster = start_cluster(size(6));
    let (paused, running) = ([0, 1, 2], [3, 4, 5]);
    paused.iter().for_each(|n| cluster.set_paused(*n, true));
    // Waits until the running nodes have declared the paused ones dead.
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    assert_eq!(wrong_counts(&cluster.views(), 6), Vec::<String>::new());
    cluster.sleep(2 * SECOND);
    paused.iter().for_each(|n| cluster.set_paused(*n, false));
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    for (at, of) in paused
        .iter()
        .flat_map(|at| running.iter().map(move |of| (*at, *of)))
    {
        assert_eq!(
            death_count(&cluster, at, of),
            0,
            "node {at} declared node {of} dead"
        );
    }
}

#[test]
fn short_pause_loss_duplication_and_reordering_cause_no_death() {
    let mut cluster = start_cluster(Size {
        death_after: 12 * SECOND,
        ..size(5)
    });
    let sent = |cluster: &Cluster| cluster.links().total_traffic().0;
    let moderate_fault = LinkFault {
        lose: 0.2,
        repeat: 0.3,
        jitter_ms: 50,
        ..LinkFault::default()
    };
    cluster.links().set_between_all_nodes(moderate_fault);
    for other in 0..4 {
        let severe_fault = LinkFault {
            lose: 0.6,
            ..LinkFault::default()
        };
        cluster
            .links()
            .set(End::Node(4), End::Node(other), severe_fault);
        cluster
            .links()
            .set(End::Node(other), End::Node(4), severe_fault);
    }
    cluster.set_paused(1, true);
    cluster.sleep(2 * SECOND);
    cluster.set_paused(1, false);
    let before = sent(&cluster);
    while sent(&cluster) < before + 2_000 {
        cluster.sleep(50_000);
    }
    assert_eq!(total_death_count(&cluster, 5), 0);
    cluster.links().clear_faults();
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
}

#[test]
fn one_way_cut_affects_only_its_link() {
    let cluster = start_cluster(Size {
        death_after: 12 * SECOND,
        ..size(4)
    });
    let cut = LinkFault {
        cut: true,
        ..LinkFault::default()
    };
    cluster.links().set(End::Node(1), End::Node(2), cut);
    let not_yet_unheard = |views: &BTreeMap<usize, View>| match state(views, 2, 1).as_str() {
        "unheard" => vec![],
        other => vec![format!("to node 2, node 1 is {other}")],
    };
    cluster
        .wait_until(WAIT_LIMIT, |_, views| not_yet_unheard(views))
        .unwrap();
    assert_eq!(state(&cluster.views(), 3, 1), "alive");
    cluster.links().clear_faults();
    let not_yet_alive = |views: &BTreeMap<usize, View>| match state(views, 2, 1).as_str() {
        "alive" => vec![],
        other => vec![format!("to node 2, node 1 is {other}")],
    };
    cluster
        .wait_until(WAIT_LIMIT, |_, views| not_yet_alive(views))
        .unwrap();
    assert_eq!(total_death_count(&cluster, 4), 0);
}

#[test]
fn partitioned_nodes_stay_counted_and_rejoin() {
    let cluster = start_cluster(size(6));
    for parts in [
        vec![vec![0, 1, 2], vec![3, 4, 5]],
        vec![vec![0, 3], vec![1, 4], vec![2, 5]],
    ] {
        for (i, some) in parts.iter().enumerate() {
            parts[i + 1..]
                .iter()
                .for_each(|others| cluster.links().set_partition(some, others));
        }
        let not_yet_dead = |_: &Cluster, views: &BTreeMap<usize, View>| {
            let pairs = parts.iter().flat_map(|some| {
                let others = (0..6).filter(|n| !some.contains(n)).collect::<Vec<usize>>();
                some.iter()
                    .flat_map(move |at| others.clone().into_iter().map(|of| (*at, of)))
                    .collect::<Vec<_>>()
            });
            let remaining = pairs.filter(|(at, of)| state(views, *at, *of) != "dead");
            remaining
                .map(|(at, of)| format!("{of} is not yet dead to {at}"))
                .collect::<Vec<String>>()
        };
        cluster.wait_until(WAIT_LIMIT, not_yet_dead).unwrap();
        assert_eq!(wrong_counts(&cluster.views(), 6), Vec::<String>::new());
        cluster.links().clear_faults();
        cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    }
    assert_eq!(cluster.links().misdirected_datagrams(), (0, 0));
}

/// Datagrams from two nodes reach none of the others, while datagrams to the two nodes arrive. The others declare the two
/// nodes dead but still count them, and all nodes agree again once the links are restored.
#[test]
fn nodes_cut_off_in_one_direction_rejoin() {
    let cluster = start_cluster(size(5));
    let (cut_off, others) = ([0, 1], [2, 3, 4]);
    let cut = LinkFault {
        cut: true,
        ..LinkFault::default()
    };
    for (from, to) in cut_off
        .iter()
        .flat_map(|m| others.iter().map(move |o| (*m, *o)))
    {
        cluster.links().set(End::Node(from), End::Node(to), cut);
    }
    let not_yet_dead = |_: &Cluster, views: &BTreeMap<usize, View>| {
        let pairs = others
            .iter()
            .flat_map(|at| cut_off.iter().map(move |of| (*at, *of)));
        let remaining = pairs.filter(|(at, of)| state(views, *at, *of) != "dead");
        remaining
            .map(|(at, of)| format!("{of} is not yet dead to {at}"))
            .collect::<Vec<String>>()
    };
    cluster.wait_until(WAIT_LIMIT, not_yet_dead).unwrap();
    let views = cluster.views();
    assert_eq!(wrong_counts(&views, 5), Vec::<String>::new());
    assert_eq!(
        (state(&views, 0, 1).as_str(), state(&views, 1, 0).as_str()),
        ("alive", "alive")
    );
    cluster.links().clear_faults();
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
}

#[test]
fn most_nodes_killed_at_once_then_rolling_restart() {
    let mut cluster = start_cluster(size(7));
    (0..5).for_each(|n| cluster.kill_node(n));
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    assert_eq!(wrong_counts(&cluster.views(), 7), Vec::<String>::new());
    for n in 0..5 {
        cluster.start_node(n).unwrap();
    }
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    for n in 0..7 {
        assert!(
            cluster.terminate_node(n),
            "node {n} did not exit successfully"
        );
        // The node announced that it leaves, so the others stop counting it without waiting for its silence.
        cluster
            .wait_until(WAIT_LIMIT, |_, views| wrong_counts(views, 6))
            .unwrap();
        cluster.start_node(n).unwrap();
        cluster
            .wait_until(WAIT_LIMIT, |_, views| wrong_counts(views, 7))
            .unwrap();
    }
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
}

/// Nodes find each other by their records in etcd alone. A killed node is no longer counted once its lease and the grace
/// period after it have ended.
#[test]
fn nodes_join_by_etcd_records_and_an_ended_lease_lowers_the_count() {
    let mut cluster = start_cluster(Size {
        store: true,
        seeds: 0,
        ..size(4)
    });
    cluster
        .wait_until(WAIT_LIMIT, |_, views| wrong_counts(views, 4))
        .unwrap();
    // Node 1 is cut off from etcd only: its lease ends, while the other nodes still receive its datagrams.
    let cut = LinkFault {
        cut: true,
        ..LinkFault::default()
    };
    cluster.links().set(End::Node(1), End::Store, cut);
    cluster.links().set(End::Store, End::Node(1), cut);
    let key = format!("ivyward/nodes/{:016x}", id(1));
    while cluster.store().unwrap().value(&key).is_some() {
        cluster.sleep(50_000);
    }
    cluster.kill_node(2);
    let wrong_counts_after_kill = |views: &BTreeMap<usize, View>| {
        let wrong = views
            .iter()
            .filter(|(_, v)| v.count != 3 || !v.peers[&id(2)].certain);
        wrong
            .map(|(node, view)| format!("node {node} counts {}", view.count))
            .collect::<Vec<String>>()
    };
    let without_node_1 = |views: &BTreeMap<usize, View>| {
        views
            .iter()
            .filter(|v| *v.0 != 1)
            .map(|(node, view)| (*node, view.clone()))
            .collect()
    };
    cluster
        .wait_until(WAIT_LIMIT, |_, views| {
            wrong_counts_after_kill(&without_node_1(views))
        })
        .unwrap();
    let views = cluster.views();
    assert_eq!(state(&views, 0, 1), "alive");
    assert_eq!(
        views[&1].count, 4,
        "node 1 is not notified that the lease has ended and must not assume it"
    );
    cluster.links().clear_faults();
    cluster
        .wait_until(WAIT_LIMIT, |_, views| wrong_counts_after_kill(views))
        .unwrap();
    while cluster.store().unwrap().value(&key).is_none() {
        cluster.sleep(50_000);
    }
}

#[test]
fn nodes_join_by_seed_addresses_while_etcd_is_down() {
    let mut cluster = Cluster::start(Size {
        store: true,
        engines: 2,
        ..size(4)
    })
    .unwrap();
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    cluster.store().unwrap().crash();
    cluster.kill_node(3);
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    cluster.start_node(3).unwrap();
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
    cluster
        .wait_until(WAIT_LIMIT, |_, views| wrong_counts(views, 4))
        .unwrap();
}

/// Datagrams that are not authenticated, or are authenticated with another key, are counted and dropped.
#[test]
fn datagrams_without_valid_authentication_are_dropped() {
    let cluster = start_cluster(size(2));
    let runtime: RuntimeRef = cluster.runtime().clone();
    let admin_get = |path: &str| admin_get(&cluster, path);
    let line = admin_get("/metrics")
        .lines()
        .find(|l| l.starts_with("ivyward_peer_datagrams_unread"))
        .unwrap()
        .to_owned();
    assert!(line.ends_with(" 0"), "{line}");
    let socket = runtime
        .bind_datagram("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let target = cluster.peer_address(0);
    let wrong_key_codec = ivyward::peers::DatagramCodec::new(Some("a key of another cluster"));
    let from = ivyward::core::peers::NodeInfo {
        id: ivyward::core::peers::PeerId(id(1)),
        incarnation: u64::MAX,
        zone: 0,
        address: socket.address(),
    };
    let body = ivyward::core::peers::MessageBody::Leave;
    let forged = ivyward::core::peers::Message {
        view_digest: 0,
        from,
        heartbeat: 1,
        body,
        updates: vec![],
    };
    for bytes in [wrong_key_codec.encode(&forged), vec![], vec![1; 1_300]] {
        socket.send(&bytes, target).unwrap();
    }
    loop {
        let text = admin_get("/metrics");
        if text
            .lines()
            .any(|l| l == "ivyward_peer_datagrams_unread_total 3")
        {
            break;
        }
        cluster.sleep(20_000);
    }
    cluster.wait_until_agreed(WAIT_LIMIT).unwrap();
}

/// Sends a GET request to the admin server of node 0 and returns the response.
fn admin_get(cluster: &Cluster, path: &str) -> String {
    let runtime: RuntimeRef = cluster.runtime().clone();
    cluster
        .runtime()
        .block_on(cluster.process(0).unwrap().admin_get(&runtime, path))
        .unwrap()
}

/// Runs a fault plan under load. The five rules must hold, and the counts and views of all nodes must be correct.
#[test]
fn fault_plan_under_load_breaks_no_rule() {
    let mut cluster = Cluster::start(Size {
        engines: 5,
        ..size(4)
    })
    .unwrap();
    let episode = |fault, lasts_ms| Episode { fault, lasts_ms };
    let episodes = vec![
        episode(ClusterFault::Kill(vec![3]), 500),
        episode(ClusterFault::Partition(vec![vec![0, 3], vec![1, 2]]), 4_000),
        episode(ClusterFault::OutboundCut(vec![0]), 4_000),
        episode(ClusterFault::LinkFlap(0, 1, 300), 3_000),
    ];
    let plan = Plan {
        seed: 5,
        nodes: 4,
        episodes,
    };
    plan.check().unwrap();
    let report = run_plan(&mut cluster, &plan, |_| {}).unwrap();
    assert_eq!(report.failures(), Vec::<String>::new());
    assert_eq!((report.rules_satisfied, report.episodes.len()), (5, 4));
    assert!(report.calls.1 > 0, "{:?}", report.calls);
}
