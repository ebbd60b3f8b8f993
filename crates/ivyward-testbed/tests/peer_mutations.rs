//! A scenario of peers with partitions, pauses and a death, checked throughout. With `RUSTFLAGS="--cfg mutations"`, the
//! scenario must find each defect injected into the peer state machine.

use ivyward_core::peers::*;
use ivyward_testbed::peer_simulation::*;

/// Runs the scenario and returns the first failure.
fn first_failure(seed: u64) -> Option<String> {
    let settings = PeerSettings {
        tombstone_ttl: 60 * SECOND,
        ..PeerSettings::default()
    };
    // Links from peers 0 to 11 to peer 3 are cut for some time. Peer 3 suspects those peers and notifies others of that.
    let way: LinkModel = Box::new(|now, a, b, lot| {
        let cut = (30 * SECOND..60 * SECOND).contains(&now) && b == 3 && a < 12 && a != 3;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::with_settings(16, seed, way, settings);
    net.run(30 * SECOND);
    if !net.converged() {
        return Some("the peers did not agree on the membership".into());
    }
    // The replica counts must be right throughout.
    while net.now < 60 * SECOND {
        net.run(net.now + 50_000);
        if let Some(low) = net.peers.iter().position(|p| p.replica_count() < 16) {
            return Some(format!(
                "{low} counts {} of 16",
                net.peers[low].replica_count()
            ));
        }
    }
    if net.count_deaths(0) > 0 {
        return Some(format!(
            "{} deaths because of cut links alone",
            net.count_deaths(0)
        ));
    }
    // All but two are paused for less time than it takes to declare a peer dead, and then eight of them for longer.
    let since = net.now;
    (0..14).for_each(|n| net.process_states[n] = ProcessState::Paused(since + 2 * SECOND));
    net.run(since + 10 * SECOND);
    if net.count_deaths(since) > 0 {
        return Some(format!(
            "{} deaths of peers that were paused for 2 s",
            net.count_deaths(since)
        ));
    }
    (0..8).for_each(|n| net.process_states[n] = ProcessState::Paused(since + 18 * SECOND));
    net.run(since + 18 * SECOND);
    let resumed = net.now;
    net.run(resumed + 10 * SECOND);
    let declared_by_paused =
        |c: &&(u64, usize, PeerId, PeerState)| c.0 >= resumed && c.1 < 8 && c.3 == PeerState::Dead;
    let wrong_deaths = net.changes.iter().filter(declared_by_paused).count();
    if wrong_deaths > 0 {
        return Some(format!(
            "peers that were paused declared {wrong_deaths} others dead"
        ));
    }
    net.kill(4);
    net.run(net.now + 100 * SECOND);
    let remaining = net
        .running_nodes()
        .iter()
        .filter(|n| net.peers[**n].peer(PeerId(5)).is_some())
        .count();
    if remaining > 0 {
        return Some(format!("{remaining} peers keep a dead one for too long"));
    }
    None
}

#[cfg(not(mutations))]
#[test]
fn the_scenario_does_not_fail() {
    for seed in 1..=12 {
        assert_eq!(first_failure(seed), None, "seed {seed}");
    }
}

#[cfg(mutations)]
#[test]
fn each_injected_defect_of_the_peers_is_found() {
    use ivyward_core::mutations::{activate, Mutation, PEERS};
    // The address that a datagram is answered to is chosen by the node, so this defect is found by the test harness that
    // runs processes.
    for defect in PEERS
        .into_iter()
        .filter(|d| *d != Mutation::ReplyToSourceAddress)
    {
        activate(Some(defect));
        let found = (1..=40).find_map(|seed| first_failure(seed).map(|what| (seed, what)));
        activate(None);
        println!("{defect:?}: {found:?}");
        assert!(found.is_some(), "{defect:?} is not found");
    }
}
