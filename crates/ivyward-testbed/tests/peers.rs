//! Membership of peers on a simulated datagram network: what must not be taken for a death, and how soon changes must be
//! known to all.

use ivyward_core::peers::*;
use ivyward_testbed::peer_simulation::*;

#[test]
fn a_hundred_peers_that_join_within_a_second_agree_soon() {
    let mut net = PeerNetwork::new(100, 1, lossless_links());
    net.run(SECOND);
    assert!(net.run_until_converged(10 * SECOND).is_some());
    assert!(net.peers.iter().all(|p| p.replica_count() == 100));
    assert_eq!(net.count_deaths(0), 0);
}

#[test]
fn a_kill_is_known_to_all_and_the_replica_count_stays() {
    let mut net = PeerNetwork::new(64, 2, lossless_links());
    net.run(15 * SECOND);
    assert!(net.converged());
    net.kill(7);
    let took = net
        .run_until_converged(10 * SECOND)
        .expect("all peers know of the kill");
    assert!(took <= 4 * SECOND, "{took}");
    // Silence is no proof of a death: the node may be partitioned from its peers and still send to engines.
    assert!(net.peers[3].replica_count() == 64);
}

/// Guards against a node that declares others dead when it resumes, and against taking a pause of two seconds for a death.
#[test]
fn short_pauses_cause_no_death_and_longer_ones_are_undone() {
    let mut net = PeerNetwork::new(48, 3, lossless_links());
    net.run(15 * SECOND);
    let since = net.now;
    for node in 0..24 {
        net.process_states[node] = ProcessState::Paused(net.now + 2 * SECOND);
    }
    net.run(net.now + 10 * SECOND);
    assert_eq!(net.count_deaths(since), 0);
    assert!(net.converged());
    // A pause longer than the time until a silent peer is declared dead: the others declare node 5 dead, and it does not
    // declare them dead when it resumes. It is alive again as soon as it sends.
    net.process_states[5] = ProcessState::Paused(net.now + 30 * SECOND);
    net.run(net.now + 20 * SECOND);
    assert_eq!(net.peer_state(9, 5), Some(PeerState::Dead));
    let since = net.now;
    net.run(net.now + 10 * SECOND);
    assert!(net.run_until_converged(5 * SECOND).is_some());
    assert!(net
        .changes
        .iter()
        .filter(|c| c.0 >= since)
        .all(|c| c.3 != PeerState::Dead));
}

#[test]
fn loss_and_pauses_together_cause_no_death() {
    for seed in 0..3 {
        let mut net = PeerNetwork::new(40, 10 + seed, lossy_links(0.2));
        net.run(15 * SECOND);
        for minute in 0..2 {
            for node in 0..40 {
                let from = net.now;
                if node % 8 == minute {
                    net.process_states[node] = ProcessState::Paused(from + 2 * SECOND);
                }
            }
            net.run(net.now + 30 * SECOND);
        }
        assert_eq!(net.count_deaths(0), 0, "seed {seed}");
    }
}

/// A cut in one direction between two nodes says something about that link only, and not about a node.
#[test]
fn a_one_sided_cut_of_a_pair_is_no_death() {
    let way: LinkModel = Box::new(|now, from, to, lot| {
        let cut = now > 15 * SECOND && (from, to) == (3, 4);
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::new(24, 4, way);
    net.run(75 * SECOND);
    assert_eq!(net.count_deaths(0), 0);
    assert!(net.converged());
    let of = |at: usize, of: usize| *net.peers[at].peer(PeerId(of as u64 + 1)).unwrap();
    // Messages from 4 reach 3, and probes from 3 do not reach 4. Each knows from others that the other one is alive.
    assert!(of(3, 4).state == PeerState::Alive && of(4, 3).state == PeerState::Alive);
    assert!(of(4, 3).indirect_only, "4 receives nothing from 3 directly");
}

/// A node that receives nothing while its own messages arrive: it does not declare the others dead at once, and it stays
/// alive for all of them.
#[test]
fn a_node_that_receives_nothing_stays_alive_to_the_others() {
    let way: LinkModel =
        Box::new(|now, _, to, lot| (!(now > 15 * SECOND && to == 6)).then_some(200 + lot % 800));
    let mut net = PeerNetwork::new(24, 5, way);
    net.run(22 * SECOND);
    assert!(net.peers[6].is_isolated(net.now));
    assert_eq!(net.count_deaths(0), 0);
    net.run(60 * SECOND);
    // The node answers no probe, so it is suspected repeatedly, but its own messages arrive.
    assert!(net
        .changes
        .iter()
        .all(|c| (c.2, c.3) != (PeerId(7), PeerState::Dead)));
}

#[test]
fn halves_agree_again_after_a_partition() {
    let (from, until) = (15 * SECOND, 75 * SECOND);
    let way: LinkModel = Box::new(move |now, a, b, lot| {
        let cut = (from..until).contains(&now) && a % 2 != b % 2;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::new(40, 6, way);
    net.run(until);
    assert_eq!(net.peer_state(0, 1), Some(PeerState::Dead));
    assert!(
        net.peers.iter().all(|p| p.replica_count() == 40),
        "nodes in the other half may still be sending"
    );
    assert!(net.run_until_converged(10 * SECOND).is_some());
}

#[test]
fn a_restarted_node_replaces_its_earlier_incarnation_at_once() {
    let mut net = PeerNetwork::new(24, 7, lossless_links());
    net.run(15 * SECOND);
    net.restart(9);
    assert!(net.run_until_converged(3 * SECOND).is_some());
    net.run(net.now + 5 * SECOND);
    assert!(net.peers.iter().all(|p| p.replica_count() == 24));
    assert!(net
        .running_nodes()
        .iter()
        .all(|n| *n == 9 || net.peers[*n].peer(PeerId(10)).unwrap().node.incarnation == 2));
    // A message of the old incarnation does not bring it back. The answer notifies the sender of the new incarnation.
    let before = net.peers[2].dropped().superseded;
    let mut out = Vec::new();
    let old = Message {
        view_digest: 0,
        from: node_info(9, 1),
        heartbeat: 99_000,
        body: MessageBody::Ping { seq: 1 },
        updates: vec![],
    };
    let now = net.now;
    net.peers[2].handle_message(now, old, &mut out);
    assert!(
        net.peers[2].dropped().superseded == before + 1
            && net.peers[2].peer(PeerId(10)).unwrap().node.incarnation == 2
    );
    assert!(
        matches!(&out[..], [PeerAction::Send { to, message }] if *to == address(9)
        && message.updates.iter().any(|c| c.node.id == PeerId(10) && c.node.incarnation == 2))
    );
    out.clear();
    net.run(net.now + 10 * SECOND);
    let (now, new) = (
        net.now,
        Message {
            view_digest: 0,
            from: node_info(9, 3),
            heartbeat: 1,
            body: MessageBody::Ping { seq: 1 },
            updates: vec![],
        },
    );
    net.peers[9].handle_message(now, new, &mut out);
    assert!(net.peers[9].superseded());
}

#[test]
fn a_node_that_leaves_is_removed_at_once() {
    let mut net = PeerNetwork::new(24, 8, lossless_links());
    net.run(15 * SECOND);
    let mut out = Vec::new();
    let now = net.now;
    net.peers[4].leave(now, &mut out);
    net.apply_actions(4, out);
    net.run(net.now + 10_000);
    net.kill(4);
    assert!(net.run_until_converged(SECOND).is_some());
    assert!(net
        .running_nodes()
        .iter()
        .all(|n| net.peers[*n].replica_count() == 23));
    // A report of a leave by one other node is not sufficient.
    let claim = Update {
        node: node_info(7, 1),
        heartbeat: 1,
        age: 0,
        state: ReportedState::Left,
    };
    let lie = Message {
        view_digest: 0,
        from: node_info(8, 1),
        heartbeat: 20_000,
        body: MessageBody::Nack { seq: 0 },
        updates: vec![claim],
    };
    net.peers[2].handle_message(now, lie, &mut Vec::new());
    assert_eq!(net.peer_state(2, 7), Some(PeerState::Alive));
}

/// Guards against false reports that cause deaths: one peer reports all others as silent, with heartbeats ahead of any clock.
#[test]
fn false_reports_of_one_peer_cause_no_death() {
    let mut net = PeerNetwork::new(24, 9, lossless_links());
    net.run(15 * SECOND);
    let since = net.now;
    for round in 0..400u64 {
        let now = net.now;
        for node in 1..24 {
            let claims = (1..MAX_UPDATES)
                .map(|of| {
                    let beat = if round % 2 == 0 { 1 } else { u64::MAX / 2 };
                    Update {
                        node: node_info(of, 1),
                        heartbeat: beat,
                        age: 60 * SECOND,
                        state: ReportedState::Suspected { unanswered_for: 0 },
                    }
                })
                .collect();
            let lie = Message {
                view_digest: 0,
                from: node_info(0, 1),
                heartbeat: now / 1_000,
                body: MessageBody::Nack { seq: 0 },
                updates: claims,
            };
            let mut out = Vec::new();
            net.peers[node].handle_message(now, lie, &mut out);
            net.apply_actions(node, out);
        }
        net.run(net.now + 50_000);
    }
    assert_eq!(net.count_deaths(since), 0);
    assert!(net.peers[5].dropped().implausible > 0);
}

#[test]
fn tombstones_expire_and_max_peers_is_respected() {
    let mut net = PeerNetwork::new(6, 10, lossless_links());
    net.run(10 * SECOND);
    net.kill(5);
    net.run(20 * SECOND);
    assert_eq!(net.peer_state(0, 5), Some(PeerState::Dead));
    let settings = PeerSettings {
        max_peers: 8,
        tombstone_ttl: 30 * SECOND,
        ..PeerSettings::default()
    };
    let mut small = Peers::new(0, node_info(0, 1), vec![], settings, 1);
    for node in 1..20 {
        let hello = Message {
            view_digest: 0,
            from: node_info(node, 1),
            heartbeat: 1,
            body: MessageBody::Ping { seq: 1 },
            updates: vec![],
        };
        small.handle_message(1, hello, &mut Vec::new());
    }
    assert_eq!((small.peers().count(), small.dropped().over_limit), (8, 11));
    // All peers become silent: they are declared dead after a while, and their tombstones expire later.
    let mut out = Vec::new();
    for step in 1..2_000 {
        small.tick(step * 40_000, &mut out);
        out.clear();
    }
    assert_eq!(small.peers().count(), 0);
}

#[test]
fn the_bytes_a_node_sends_do_not_grow_with_the_number_of_nodes() {
    let mut rates = Vec::new();
    for nodes in [16, 128] {
        let mut net = PeerNetwork::new(nodes, 11, lossless_links());
        net.run(30 * SECOND);
        let before: u64 = net.sent.iter().map(|s| s.1).sum();
        net.run(60 * SECOND);
        let after: u64 = net.sent.iter().map(|s| s.1).sum();
        rates.push((after - before) / 30 / nodes as u64);
    }
    assert!(rates.iter().all(|r| *r < 3_000), "{rates:?}");
    assert!(rates[1] < rates[0] * 2, "{rates:?}");
}

/// The same seed gives the same run.
#[test]
fn a_run_is_the_same_each_time() {
    let play = || {
        let mut net = PeerNetwork::new(20, 12, lossy_links(0.1));
        net.run(10 * SECOND);
        net.kill(3);
        net.run(20 * SECOND);
        (net.changes, net.sent)
    };
    assert!(play() == play());
}

/// Messages of a zone reach nobody outside of it: the others declare its nodes dead, and they are alive again at once when the
/// link is restored.
#[test]
fn a_zone_cut_off_in_one_direction_is_alive_again_when_the_link_is_restored() {
    let (from, until) = (15 * SECOND, 45 * SECOND);
    let way: LinkModel = Box::new(move |now, a, b, lot| {
        let cut = (from..until).contains(&now) && a % 3 == 0 && b % 3 != 0;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::new(30, 13, way);
    net.run(until);
    assert_eq!(net.peer_state(1, 3), Some(PeerState::Dead));
    assert_eq!(
        net.peer_state(0, 3),
        Some(PeerState::Alive),
        "nodes within the zone are alive to each other"
    );
    assert_eq!(
        net.peer_state(0, 1),
        Some(PeerState::Alive),
        "the zone still receives messages of the others"
    );
    assert!(net.peers.iter().all(|p| p.replica_count() == 30));
    assert!(net.run_until_converged(10 * SECOND).is_some());
}

#[test]
fn three_parts_agree_again_after_a_partition() {
    let (from, until) = (15 * SECOND, 75 * SECOND);
    let way: LinkModel = Box::new(move |now, a, b, lot| {
        let cut = (from..until).contains(&now) && a % 3 != b % 3;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::new(45, 14, way);
    net.run(until);
    assert!(net.peers.iter().all(|p| p.replica_count() == 45));
    assert!(net.run_until_converged(10 * SECOND).is_some());
}

#[test]
fn a_flapping_link_causes_no_death() {
    let way: LinkModel = Box::new(|now, a, b, lot| {
        let off = now > 15 * SECOND && now / 700_000 % 2 == 0 && (a, b) != (b, a) && a + b == 9;
        (!off).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::new(24, 15, way);
    net.run(120 * SECOND);
    assert_eq!(net.count_deaths(0), 0);
}

/// A node restarts on a machine whose clock went back, so its incarnation is lower than the one that all peers know.
#[test]
fn a_new_incarnation_is_raised_above_the_one_that_peers_know() {
    let mut net = PeerNetwork::new(24, 16, lossless_links());
    net.run(15 * SECOND);
    net.restart_as(9, node_info(9, 500));
    assert!(net.run_until_converged(3 * SECOND).is_some());
    net.restart_as(9, node_info(9, 3));
    assert!(net.run_until_converged(10 * SECOND).is_some());
    assert!(net.peers[9].local_node().incarnation > 500 && !net.peers[9].superseded());
    assert!(net
        .running_nodes()
        .iter()
        .all(|n| net.peers[*n].replica_count() == 24));
    // A node that has been running for long does not raise its incarnation: another process has taken its id.
    net.run(net.now + 15 * SECOND);
    let start = net.peers[9].local_node().incarnation;
    let new = Message {
        view_digest: 0,
        from: node_info(9, start + 1),
        heartbeat: 1,
        body: MessageBody::Leave,
        updates: vec![],
    };
    let now = net.now;
    net.peers[9].handle_message(now, new, &mut Vec::new());
    assert!(net.peers[9].superseded() && net.peers[9].local_node().incarnation == start);
}

#[test]
fn a_new_node_under_an_old_address_does_not_keep_the_old_one_alive() {
    let mut net = PeerNetwork::new(24, 17, lossless_links());
    net.run(15 * SECOND);
    let new = NodeInfo {
        id: PeerId(1_000),
        ..node_info(9, 1)
    };
    net.restart_as(9, new);
    net.run(net.now + 6 * SECOND);
    for at in (0..24).filter(|n| *n != 9) {
        assert_eq!(net.peer_state(at, 9), Some(PeerState::Dead), "at {at}");
        assert_eq!(
            net.peers[at].peer(new.id).map(|p| p.state),
            Some(PeerState::Alive),
            "at {at}"
        );
    }
}

#[test]
fn an_old_node_under_a_new_address_is_the_same_node() {
    let mut net = PeerNetwork::new(25, 18, lossless_links());
    net.kill(24);
    net.run(15 * SECOND);
    // The tenth node moves to the address of the last one.
    net.kill(9);
    net.restart_as(
        24,
        NodeInfo {
            address: address(24),
            ..node_info(9, 2)
        },
    );
    net.run(net.now + 6 * SECOND);
    for at in (0..24).filter(|n| *n != 9) {
        let peer = net.peers[at].peer(PeerId(10)).unwrap();
        assert_eq!(
            (peer.state, peer.node.address),
            (PeerState::Alive, address(24)),
            "at {at}"
        );
        assert_eq!(net.peers[at].replica_count(), 24);
    }
}

#[test]
fn three_hundred_peers_that_join_within_a_second_agree_soon() {
    let mut net = PeerNetwork::new(300, 19, lossless_links());
    net.run(SECOND);
    let took = net
        .run_until_converged(10 * SECOND)
        .expect("all peers agree");
    assert!(took < 5 * SECOND, "{took}");
    assert_eq!(
        net.peers
            .iter()
            .filter(|p| !p.has_complete_view() || p.replica_count() != 300)
            .count(),
        0
    );
    assert_eq!(net.count_deaths(0), 0);
}

/// Nodes join over a network that loses a fifth of the messages: lost pages of the view are requested again.
#[test]
fn a_complete_view_is_received_over_a_lossy_network() {
    let mut net = PeerNetwork::new(80, 20, lossy_links(0.2));
    net.run(20 * SECOND);
    assert!(net
        .peers
        .iter()
        .all(|p| p.has_complete_view() && p.replica_count() == 80));
}

/// A node that starts in one half of a partition counts the nodes of the other half as replicas, because they may still be
/// sending.
#[test]
fn a_node_that_starts_in_a_partition_counts_the_other_half() {
    let (from, until) = (15 * SECOND, 60 * SECOND);
    let way: LinkModel = Box::new(move |now, a, b, lot| {
        let cut = (from..until).contains(&now) && a % 2 != b % 2;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::new(30, 21, way);
    net.run(25 * SECOND);
    net.restart(4);
    net.run(35 * SECOND);
    assert_eq!(net.peer_state(4, 5), Some(PeerState::Dead));
    assert_eq!(net.peers[4].replica_count(), 30);
    net.run(until);
    assert!(net.run_until_converged(10 * SECOND).is_some());
}

/// Until a node has received a complete view, its replica count is the expected number that was set.
#[test]
fn the_replica_count_does_not_fall_before_the_view_is_complete() {
    let mut alone = Peers::new(
        0,
        node_info(0, 1),
        vec![address(1)],
        PeerSettings::default(),
        1,
    );
    alone.set_expected_replicas(40);
    assert_eq!(
        (alone.replica_count(), alone.has_complete_view()),
        (40, false)
    );
    let mut net = PeerNetwork::new(6, 22, lossless_links());
    net.peers
        .iter_mut()
        .for_each(|p| p.set_expected_replicas(40));
    net.run(10 * SECOND);
    assert!(net
        .peers
        .iter()
        .all(|p| !p.has_complete_view() && p.replica_count() == 40));
    // After a while the count is the number of nodes found, and a node that joins later receives it at once.
    net.run(65 * SECOND);
    assert!(net
        .peers
        .iter()
        .all(|p| p.has_complete_view() && p.replica_count() == 6));
    net.restart(4);
    net.peers[4].set_expected_replicas(40);
    net.run(70 * SECOND);
    assert!(net.peers[4].has_complete_view() && net.peers[4].replica_count() == 6);
    // As many nodes as expected make the view complete without that wait.
    let mut net = PeerNetwork::new(6, 23, lossless_links());
    net.peers
        .iter_mut()
        .for_each(|p| p.set_expected_replicas(6));
    net.run(10 * SECOND);
    assert!(net
        .peers
        .iter()
        .all(|p| p.has_complete_view() && p.replica_count() == 6));
}

/// The records in the store may differ from the view of the peers.
#[test]
fn store_records_that_differ_from_the_peers_change_the_count_only_when_certain() {
    let mut net = PeerNetwork::new(8, 23, lossless_links());
    net.run(10 * SECOND);
    let (now, mut out) = (net.now, Vec::new());
    // The record of a node that peers hear from is removed: this has no effect.
    net.peers[0].store_record_added(now, node_info(3, 1), &mut out);
    net.peers[0].store_record_removed(now, PeerId(4));
    net.run(net.now + 20 * SECOND);
    assert_eq!(
        (net.peer_state(0, 3), net.peers[0].replica_count()),
        (Some(PeerState::Alive), 8)
    );
    // A record names a node that no peer hears from: it does not count as alive, but it may be sending.
    let ghost = NodeInfo {
        id: PeerId(77),
        incarnation: 5,
        zone: 0,
        address: address(200),
    };
    let now = net.now;
    net.peers[0].store_record_added(now, ghost, &mut out);
    assert!(
        matches!(out.last(), Some(PeerAction::Send { to, .. }) if *to == address(200)),
        "a message is sent to the new address"
    );
    assert_eq!(
        (
            net.peers[0].peer(ghost.id).is_none(),
            net.peers[0].replica_count()
        ),
        (true, 9)
    );
    net.peers[0].store_record_removed(now, ghost.id);
    assert_eq!(net.peers[0].replica_count(), 8);
    // A record of an earlier incarnation ends with that incarnation and says nothing about the present one.
    net.restart(5);
    net.run(net.now + 5 * SECOND);
    let now = net.now;
    net.peers[0].store_record_added(now, node_info(5, 1), &mut out);
    net.peers[0].store_record_removed(now, PeerId(6));
    net.kill(5);
    net.run(net.now + 20 * SECOND);
    assert_eq!(
        (net.peer_state(0, 5), net.peers[0].replica_count()),
        (Some(PeerState::Dead), 8)
    );
    // A record of the present incarnation is removed: the node is no longer counted once it is silent and the grace period is
    // over, and it is counted again if a peer hears from it.
    let now = net.now;
    net.peers[0].store_record_added(now, node_info(5, 2), &mut out);
    net.peers[0].store_record_removed(now, PeerId(6));
    net.run(net.now + SECOND);
    assert_eq!(
        net.peers[0].replica_count(),
        8,
        "the grace period has not ended"
    );
    net.run(net.now + 5 * SECOND);
    assert_eq!(net.peers[0].replica_count(), 7);
    net.restart(5);
    net.run(net.now + 5 * SECOND);
    assert_eq!(net.peers[0].replica_count(), 8);
}

/// Guards against a relay that replays the messages of a dead node, and against sequence numbers that can be guessed.
#[test]
fn a_replayed_message_revives_no_peer_and_an_answer_to_an_own_probe_does() {
    let mut one = Peers::new(0, node_info(0, 1), vec![], PeerSettings::default(), 1);
    let mut out = Vec::new();
    let hello = |beat| Message {
        view_digest: 0,
        from: node_info(1, 1),
        heartbeat: beat,
        body: MessageBody::Ping { seq: 9 },
        updates: vec![],
    };
    one.handle_message(SECOND, hello(1_000), &mut out);
    one.handle_message(10 * SECOND, hello(10_000), &mut out);
    let mut now = 10 * SECOND;
    while now < 30 * SECOND {
        now += one.tick_interval();
        one.tick(now, &mut out);
    }
    let standing = |one: &Peers| one.peer(PeerId(2)).map(|p| p.state);
    assert_eq!(standing(&one), Some(PeerState::Dead));
    one.handle_message(now, hello(10_000), &mut out);
    one.handle_message(now, hello(1_000), &mut out);
    assert_eq!(
        (standing(&one), one.dropped().replayed),
        (Some(PeerState::Dead), 1)
    );
    // Either machine may have been suspended with its clock. The heartbeat is then implausibly far ahead and is accepted only
    // in an answer to an own probe.
    one.handle_message(now, hello(900_000), &mut out);
    assert_eq!(
        (standing(&one), one.dropped().implausible),
        (Some(PeerState::Dead), 1)
    );
    out.clear();
    let asked = loop {
        now += one.tick_interval();
        one.tick(now, &mut out);
        let sent = out.iter().find_map(|o| match o {
            PeerAction::Send {
                message:
                    Message {
                        body: MessageBody::Ping { seq },
                        ..
                    },
                ..
            } => Some(*seq),
            _ => None,
        });
        if let Some(seq) = sent {
            break seq;
        }
    };
    let answer = |seq, of| Message {
        body: MessageBody::Ack {
            seq,
            of: PeerId(of),
        },
        ..hello(900_000)
    };
    one.handle_message(now, answer(asked + 1, 2), &mut out);
    one.handle_message(now, answer(asked, 3), &mut out);
    assert_eq!(
        standing(&one),
        Some(PeerState::Dead),
        "another sequence number or another peer id"
    );
    one.handle_message(now, answer(asked, 2), &mut out);
    assert_eq!(standing(&one), Some(PeerState::Alive));
}
