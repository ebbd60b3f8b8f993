//! A scene of peers that goes through what defects would show in, checked as it goes; and, with
//! `RUSTFLAGS="--cfg mutations"`, that it finds each of those planted in the decider.

use ivyward_core::peers::*;
use ivyward_testbed::peer_simulation::*;

/// Plays it; what was wrong.
fn wrong(seed: u64) -> Option<String> {
    let spans = PeerSettings {
        tombstone_ttl: 60 * SECOND,
        ..PeerSettings::default()
    };
    // The ways from 2 to 3 and from 5 to 3 are cut for some time: others hear who is doubted there.
    let way: LinkModel = Box::new(|now, a, b, lot| {
        let cut = (30 * SECOND..60 * SECOND).contains(&now) && b == 3 && a < 12 && a != 3;
        (!cut).then_some(200 + lot % 800)
    });
    let mut net = PeerNetwork::with_settings(16, seed, way, spans);
    net.run(30 * SECOND);
    if !net.converged() {
        return Some("they do not know each other".into());
    }
    // Counts hold at every moment of it.
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
        return Some(format!("{} deaths by cut links alone", net.count_deaths(0)));
    }
    // All but two sleep for less than a death takes, and half of them again for more.
    let since = net.now;
    (0..14).for_each(|n| net.process_states[n] = ProcessState::Paused(since + 2 * SECOND));
    net.run(since + 10 * SECOND);
    if net.count_deaths(since) > 0 {
        return Some(format!(
            "{} deaths of those that slept for 2 s",
            net.count_deaths(since)
        ));
    }
    (0..8).for_each(|n| net.process_states[n] = ProcessState::Paused(since + 18 * SECOND));
    net.run(since + 18 * SECOND);
    let woke = net.now;
    net.run(woke + 10 * SECOND);
    let by_sleepers =
        |c: &&(u64, usize, PeerId, PeerState)| c.0 >= woke && c.1 < 8 && c.3 == PeerState::Dead;
    let wrongly = net.changes.iter().filter(by_sleepers).count();
    if wrongly > 0 {
        return Some(format!("those that slept took {wrongly} others for dead"));
    }
    net.kill(4);
    net.run(net.now + 100 * SECOND);
    let stays = net
        .running_nodes()
        .iter()
        .filter(|n| net.peers[**n].peer(PeerId(5)).is_some())
        .count();
    if stays > 0 {
        return Some(format!("{stays} remember a dead one for too long"));
    }
    None
}

#[cfg(not(mutations))]
#[test]
fn the_scene_is_clean() {
    for seed in 1..=12 {
        assert_eq!(wrong(seed), None, "seed {seed}");
    }
}

#[cfg(mutations)]
#[test]
fn each_planted_defect_of_the_decider_is_found() {
    use ivyward_core::mutations::{activate, Mutation, PEERS};
    // Where datagrams are answered is the node's own; the rig of processes finds it.
    for defect in PEERS
        .into_iter()
        .filter(|d| *d != Mutation::ReplyToSourceAddress)
    {
        activate(Some(defect));
        let found = (1..=40).find_map(|seed| wrong(seed).map(|what| (seed, what)));
        activate(None);
        println!("{defect:?}: {found:?}");
        assert!(found.is_some(), "{defect:?} is not found");
    }
}
