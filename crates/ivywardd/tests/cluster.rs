//! Daemons as processes that know each other, with a relay on each directed link and faults on them.
//!
//! Each waits for what must come about. Where something must not come about, the spans are far apart: what lasts a
//! second or two against a silence of ten that would be a death.

use ivyward_runtime::RuntimeRef;
use ivyward_testbed::cluster::links::{End, Fault};
use ivyward_testbed::cluster::plan::{Episode, Plan, Trouble};
use ivyward_testbed::cluster::play::play;
use ivyward_testbed::cluster::process::View;
use ivyward_testbed::cluster::{id, Cluster, Size};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;
/// For what never comes about.
const NEVER: u64 = 90 * SECOND;

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

/// Engines are needed for a daemon to start at all; two are enough.
fn rig(size: Size) -> Cluster {
    let cluster = Cluster::start(Size { engines: 2, ..size }).unwrap();
    cluster.until_agreed(NEVER).unwrap();
    cluster
}

fn deaths(cluster: &Cluster, at: usize, of: usize) -> usize {
    let name = format!("\"peer\":\"{:016x}\"", id(of));
    cluster
        .process(at)
        .unwrap()
        .said(&["peer state changed", &name, "\"is\":\"dead\""])
}

fn all_deaths(cluster: &Cluster, nodes: usize) -> usize {
    (0..nodes)
        .flat_map(|at| (0..nodes).map(move |of| (at, of)))
        .map(|(at, of)| deaths(cluster, at, of))
        .sum()
}

/// All that run count so many.
fn counted(views: &BTreeMap<usize, View>, count: u32) -> Vec<String> {
    let wrong = views
        .iter()
        .filter(|(_, view)| view.count != count || !view.joined);
    wrong
        .map(|(node, view)| format!("node {node} counts {}, joined {}", view.count, view.joined))
        .collect()
}

fn state(views: &BTreeMap<usize, View>, at: usize, of: usize) -> String {
    let row = views.get(&at).and_then(|view| view.peers.get(&id(of)));
    row.map_or("unknown".into(), |row| row.state.clone())
}

#[test]
fn a_kill_is_known_to_all_and_a_restarted_one_is_new_at_once() {
    let mut cluster = rig(size(5));
    // They are given one seed, and engines are to tell them apart all the same.
    let runs: BTreeSet<u64> = (0..5).map(|n| cluster.process(n).unwrap().run).collect();
    assert_eq!(runs.len(), 5);
    cluster.until(NEVER, |_, views| counted(views, 5)).unwrap();
    let before = cluster.views()[&0].peers[&id(3)].start;
    cluster.kill(3);
    cluster.until_agreed(NEVER).unwrap();
    // Silence is no proof that it sends nothing.
    assert_eq!(counted(&cluster.views(), 5), Vec::<String>::new());
    cluster.begin(3).unwrap();
    cluster.until_agreed(NEVER).unwrap();
    cluster.until(NEVER, |_, views| counted(views, 5)).unwrap();
    let after = cluster.views()[&0].peers[&id(3)].start;
    assert!(after > before, "{after} after {before}");
}

#[test]
fn those_that_stop_do_not_take_the_others_for_dead_on_waking() {
    let mut cluster = rig(size(6));
    let (stopped, running) = ([0, 1, 2], [3, 4, 5]);
    stopped.iter().for_each(|n| cluster.stop(*n, true));
    // For as long as the others need to take them for dead.
    cluster.until_agreed(NEVER).unwrap();
    assert_eq!(counted(&cluster.views(), 6), Vec::<String>::new());
    cluster.rest(2 * SECOND);
    stopped.iter().for_each(|n| cluster.stop(*n, false));
    cluster.until_agreed(NEVER).unwrap();
    for (at, of) in stopped
        .iter()
        .flat_map(|at| running.iter().map(move |of| (*at, *of)))
    {
        assert_eq!(
            deaths(&cluster, at, of),
            0,
            "node {at} took node {of} for dead"
        );
    }
}

#[test]
fn a_short_stop_loss_repeats_and_overtaking_kill_nobody() {
    let mut cluster = rig(Size {
        death_after: 12 * SECOND,
        ..size(5)
    });
    let sent = |cluster: &Cluster| cluster.links().total().0;
    let rough = Fault {
        lose: 0.2,
        repeat: 0.3,
        jitter_ms: 50,
        ..Fault::default()
    };
    cluster.links().everywhere(rough);
    for other in 0..4 {
        let rougher = Fault {
            lose: 0.6,
            ..Fault::default()
        };
        cluster.links().set(End::Node(4), End::Node(other), rougher);
        cluster.links().set(End::Node(other), End::Node(4), rougher);
    }
    cluster.stop(1, true);
    cluster.rest(2 * SECOND);
    cluster.stop(1, false);
    let before = sent(&cluster);
    while sent(&cluster) < before + 2_000 {
        cluster.rest(50_000);
    }
    assert_eq!(all_deaths(&cluster, 5), 0);
    cluster.links().mend();
    cluster.until_agreed(NEVER).unwrap();
}

#[test]
fn a_cut_of_one_direction_is_a_fact_of_the_link() {
    let cluster = rig(Size {
        death_after: 12 * SECOND,
        ..size(4)
    });
    let cut = Fault {
        cut: true,
        ..Fault::default()
    };
    cluster.links().set(End::Node(1), End::Node(2), cut);
    let unheard = |views: &BTreeMap<usize, View>| match state(views, 2, 1).as_str() {
        "unheard" => vec![],
        other => vec![format!("to node 2, node 1 is {other}")],
    };
    cluster.until(NEVER, |_, views| unheard(views)).unwrap();
    assert_eq!(state(&cluster.views(), 3, 1), "alive");
    cluster.links().mend();
    let heard = |views: &BTreeMap<usize, View>| match state(views, 2, 1).as_str() {
        "alive" => vec![],
        other => vec![format!("to node 2, node 1 is {other}")],
    };
    cluster.until(NEVER, |_, views| heard(views)).unwrap();
    assert_eq!(all_deaths(&cluster, 4), 0);
}

#[test]
fn parts_that_were_apart_find_each_other_and_count_each_other_all_along() {
    let cluster = rig(size(6));
    for parts in [
        vec![vec![0, 1, 2], vec![3, 4, 5]],
        vec![vec![0, 3], vec![1, 4], vec![2, 5]],
    ] {
        for (i, some) in parts.iter().enumerate() {
            parts[i + 1..]
                .iter()
                .for_each(|others| cluster.links().part(some, others));
        }
        let apart = |_: &Cluster, views: &BTreeMap<usize, View>| {
            let pairs = parts.iter().flat_map(|some| {
                let others = (0..6).filter(|n| !some.contains(n)).collect::<Vec<usize>>();
                some.iter()
                    .flat_map(move |at| others.clone().into_iter().map(|of| (*at, of)))
                    .collect::<Vec<_>>()
            });
            let here = pairs.filter(|(at, of)| state(views, *at, *of) != "dead");
            here.map(|(at, of)| format!("{of} is not yet dead to {at}"))
                .collect::<Vec<String>>()
        };
        cluster.until(NEVER, apart).unwrap();
        assert_eq!(counted(&cluster.views(), 6), Vec::<String>::new());
        cluster.links().mend();
        cluster.until_agreed(NEVER).unwrap();
    }
    assert_eq!(cluster.links().astray(), (0, 0));
}

/// What some nodes send reaches none of the others, and all reaches them: dead to those, to whom they are not dead.
#[test]
fn a_part_that_nobody_beyond_it_hears_is_back_when_it_is_mended() {
    let cluster = rig(size(5));
    let (mute, others) = ([0, 1], [2, 3, 4]);
    let cut = Fault {
        cut: true,
        ..Fault::default()
    };
    for (from, to) in mute
        .iter()
        .flat_map(|m| others.iter().map(move |o| (*m, *o)))
    {
        cluster.links().set(End::Node(from), End::Node(to), cut);
    }
    let apart = |_: &Cluster, views: &BTreeMap<usize, View>| {
        let pairs = others
            .iter()
            .flat_map(|at| mute.iter().map(move |of| (*at, *of)));
        let here = pairs.filter(|(at, of)| state(views, *at, *of) != "dead");
        here.map(|(at, of)| format!("{of} is not yet dead to {at}"))
            .collect::<Vec<String>>()
    };
    cluster.until(NEVER, apart).unwrap();
    let views = cluster.views();
    assert_eq!(counted(&views, 5), Vec::<String>::new());
    assert_eq!(
        (state(&views, 0, 1).as_str(), state(&views, 1, 0).as_str()),
        ("alive", "alive")
    );
    cluster.links().mend();
    cluster.until_agreed(NEVER).unwrap();
}

#[test]
fn most_are_killed_at_once_and_all_are_restarted_in_turn() {
    let mut cluster = rig(size(7));
    (0..5).for_each(|n| cluster.kill(n));
    cluster.until_agreed(NEVER).unwrap();
    assert_eq!(counted(&cluster.views(), 7), Vec::<String>::new());
    for n in 0..5 {
        cluster.begin(n).unwrap();
    }
    cluster.until_agreed(NEVER).unwrap();
    for n in 0..7 {
        assert!(cluster.end(n), "node {n} did not end well");
        // It said that it leaves: nobody waits for its silence, and nobody counts it any more.
        cluster.until(NEVER, |_, views| counted(views, 6)).unwrap();
        cluster.begin(n).unwrap();
        cluster.until(NEVER, |_, views| counted(views, 7)).unwrap();
    }
    cluster.until_agreed(NEVER).unwrap();
}

/// Nodes find each other by the store's records alone, and the count falls when lease and grace of a silent one are over.
#[test]
fn records_in_the_store_are_a_way_in_and_an_end() {
    let mut cluster = rig(Size {
        store: true,
        seeds: 0,
        ..size(4)
    });
    cluster.until(NEVER, |_, views| counted(views, 4)).unwrap();
    // Cut off from the store alone: its lease ends, and it is heard.
    let cut = Fault {
        cut: true,
        ..Fault::default()
    };
    cluster.links().set(End::Node(1), End::Store, cut);
    cluster.links().set(End::Store, End::Node(1), cut);
    let key = format!("ivyward/nodes/{:016x}", id(1));
    while cluster.store().unwrap().value(&key).is_some() {
        cluster.rest(50_000);
    }
    cluster.kill(2);
    let gone = |views: &BTreeMap<usize, View>| {
        let wrong = views
            .iter()
            .filter(|(_, v)| v.count != 3 || !v.peers[&id(2)].certain);
        wrong
            .map(|(node, view)| format!("node {node} counts {}", view.count))
            .collect::<Vec<String>>()
    };
    let others = |views: &BTreeMap<usize, View>| {
        views
            .iter()
            .filter(|v| *v.0 != 1)
            .map(|(node, view)| (*node, view.clone()))
            .collect()
    };
    cluster
        .until(NEVER, |_, views| gone(&others(views)))
        .unwrap();
    let views = cluster.views();
    assert_eq!(state(&views, 0, 1), "alive");
    assert_eq!(views[&1].count, 4, "it was not told, and may not guess");
    cluster.links().mend();
    cluster.until(NEVER, |_, views| gone(views)).unwrap();
    while cluster.store().unwrap().value(&key).is_none() {
        cluster.rest(50_000);
    }
}

#[test]
fn nodes_join_by_addresses_while_the_store_is_down() {
    let mut cluster = Cluster::start(Size {
        store: true,
        engines: 2,
        ..size(4)
    })
    .unwrap();
    cluster.until_agreed(NEVER).unwrap();
    cluster.store().unwrap().crash();
    cluster.kill(3);
    cluster.until_agreed(NEVER).unwrap();
    cluster.begin(3).unwrap();
    cluster.until_agreed(NEVER).unwrap();
    cluster.until(NEVER, |_, views| counted(views, 4)).unwrap();
}

/// What has no seal, or another one, is counted and dropped.
#[test]
fn what_somebody_else_sends_is_dropped() {
    let cluster = rig(size(2));
    let runtime: RuntimeRef = cluster.runtime().clone();
    let ask = |path: &str| runtime_ask(&cluster, path);
    let line = ask("/metrics")
        .lines()
        .find(|l| l.starts_with("ivyward_peer_datagrams_unread"))
        .unwrap()
        .to_owned();
    assert!(line.ends_with(" 0"), "{line}");
    let socket = runtime
        .bind_datagram("127.0.0.1:0".parse().unwrap())
        .unwrap();
    let real = cluster.real(0);
    let other = ivyward::peers::DatagramCodec::new(Some("a key of somebody else"));
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
    for bytes in [other.encode(&forged), vec![], vec![1; 1_300]] {
        socket.send(&bytes, real).unwrap();
    }
    loop {
        let text = ask("/metrics");
        if text
            .lines()
            .any(|l| l == "ivyward_peer_datagrams_unread_total 3")
        {
            break;
        }
        cluster.rest(20_000);
    }
    cluster.until_agreed(NEVER).unwrap();
}

fn runtime_ask(cluster: &Cluster, path: &str) -> String {
    let runtime: RuntimeRef = cluster.runtime().clone();
    cluster
        .runtime()
        .block_on(cluster.process(0).unwrap().ask(&runtime, path))
        .unwrap()
}

/// A drawn plan under a load: the five rules, the counts and the views hold.
#[test]
fn a_plan_is_played_and_the_rules_hold() {
    let mut cluster = Cluster::start(Size {
        engines: 5,
        ..size(4)
    })
    .unwrap();
    let fault = |fault, lasts_ms| Episode { fault, lasts_ms };
    let episodes = vec![
        fault(Trouble::Kill(vec![3]), 500),
        fault(Trouble::Split(vec![vec![0, 3], vec![1, 2]]), 4_000),
        fault(Trouble::Mute(vec![0]), 4_000),
        fault(Trouble::Flap(0, 1, 300), 3_000),
    ];
    let plan = Plan {
        seed: 5,
        nodes: 4,
        episodes,
    };
    plan.check().unwrap();
    let report = play(&mut cluster, &plan, |_| {}).unwrap();
    assert_eq!(report.wrong(), Vec::<String>::new());
    assert_eq!((report.rules_kept, report.came.len()), (5, 4));
    assert!(report.calls.1 > 0, "{:?}", report.calls);
}
