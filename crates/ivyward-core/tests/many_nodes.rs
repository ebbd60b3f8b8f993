//! What many nodes do together, each knowing only its own traffic.

mod common;
use common::*;
use ivyward_core::interface::*;
use ivyward_core::router::Router;

/// `nodes` routers with seeds of their own, that have each served `turns` requests among `fleet` over ten seconds.
fn nodes(nodes: u32, turns: u64, fleet: &[Endpoint]) -> Vec<Rig> {
    let rigs = (0..nodes).map(|seed| {
        let cfg = Settings {
            replica_count: nodes,
            ..settings()
        };
        let router = Router::new(cfg, u64::from(seed) + 1);
        let mut rig = Rig {
            router,
            now: 100 * SECOND,
            done: Vec::new(),
        };
        rig.fleet(ListKind::Full, fleet);
        for id in 0..turns {
            rig.now = 100 * SECOND + id * (10 * SECOND / turns);
            rig.turn(id, 10_000 * u64::from(seed) + id, 1_000.0);
        }
        rig.now = 111 * SECOND;
        rig
    });
    rigs.collect()
}

#[test]
fn a_cold_server_is_not_pushed_over_by_many_nodes_that_see_little() {
    let mut fleet: Vec<Endpoint> = (1..=10).map(|id| server(id, 0)).collect();
    fleet.extend((11..=30).map(|id| server(id, 1)));
    let mut rigs = nodes(150, 10, &fleet);
    let cold = Endpoint {
        started_at: 111 * SECOND,
        ..server(31, 1)
    };
    let mut sent = 0;
    for rig in &mut rigs {
        rig.fleet(ListKind::Changes, &[cold]);
        // A storm: each node has ten requests within one window.
        for id in 200..210 {
            rig.ask(arrival(id, 1_000_000 + id, 1_000.0));
            rig.now += SECOND / 10;
            sent += u32::from(rig.end(id, 0, Outcome::Prefilled) == Some(EndpointId(31)));
        }
    }
    // 150 requests a second on 20 writers: a warm one does 22.5 in a window of 3 s; 2.5 times 0.3 of it is 17.
    assert!((1..=17).contains(&sent), "{sent} sent to the cold server");
}

/// Equal writers are drawn by lot: a fixed order among equals would send all nodes to the same server.
#[test]
fn nodes_do_not_crowd_on_one_writer_by_equal_ranking() {
    let fleet = [
        server(1, 0),
        server(11, 1),
        server(12, 1),
        server(13, 1),
        server(14, 1),
    ];
    let mut sent = std::collections::BTreeMap::<u64, u32>::new();
    for seed in 0..100 {
        let cfg = Settings {
            replica_count: 100,
            ..settings()
        };
        let mut rig = Rig {
            router: Router::new(cfg, seed),
            now: SECOND,
            done: Vec::new(),
        };
        rig.fleet(ListKind::Full, &fleet);
        rig.ask(arrival(1, 5_000 + seed, 1_000.0));
        *sent
            .entry(rig.end(1, 0, Outcome::Prefilled).unwrap().0)
            .or_default() += 1;
    }
    assert!(
        sent.len() == 4 && sent.values().all(|n| (10..45).contains(n)),
        "{sent:?}"
    );
}

/// States stay in the rack of their reader while its writers are as free as others (incident i31fe7b).
#[test]
fn a_node_that_sees_little_keeps_states_in_their_rack() {
    let near = |id, kind, cell| Endpoint {
        rack: cell,
        ..server(id, kind)
    };
    let mut fleet = vec![near(1, 0, 1), near(11, 1, 1), near(12, 1, 1)];
    fleet.extend((21..=60).map(|id| near(id, 1, 2)));
    let mut rig = Rig {
        router: Router::new(
            Settings {
                replica_count: 150,
                ..settings()
            },
            3,
        ),
        now: SECOND,
        done: vec![],
    };
    rig.fleet(ListKind::Full, &fleet);
    let writers: Vec<u64> = (0..10)
        .map(|id| rig.turn(id, 100 + id, 1_000.0).0)
        .collect();
    assert!(writers.iter().all(|w| *w < 20), "{writers:?}");
}

/// Told weights compare servers of one kind: a kind of small numbers is not a kind of small servers.
#[test]
fn weights_of_two_kinds_are_not_compared() {
    let weighed = |id, kind, weight| Endpoint {
        weight,
        ..server(id, kind)
    };
    let fleet = [server(1, 0), weighed(11, 1, 10.0), weighed(12, 2, 1.0)];
    let mut mixed = 0;
    for seed in 0..100 {
        let mut rig = Rig {
            router: Router::new(settings(), seed),
            now: SECOND,
            done: Vec::new(),
        };
        rig.fleet(ListKind::Full, &fleet);
        rig.ask(arrival(1, 5_000 + seed, 1_000.0));
        mixed += u32::from(rig.end(1, 0, Outcome::Prefilled) == Some(EndpointId(12)));
    }
    assert!(
        (25..75).contains(&mixed),
        "{mixed} of 100 to the mixed server"
    );
}

/// A short-lived try in a slow pool is left to run: a time-out would only give up its place.
#[test]
fn no_time_out_where_little_more_than_the_expected_time_is_left() {
    let mut rig = Rig::new(settings(), &[server(1, 0), server(11, 1)]);
    for id in 0..10 {
        rig.turn(id, id, 1_000.0);
    }
    rig.ask(Request {
        client_timeout: SECOND / 4,
        ..arrival(50, 50, 1_000.0)
    });
    assert_eq!(rig.timeout(), Some(0));
    rig.ask(arrival(51, 51, 1_000.0));
    assert!(rig.timeout().is_some_and(|t| t > 0));
}

/// One tenant whose clients repeat without end does not take the others' service: its tries are refused first.
#[test]
fn a_tenant_over_its_share_is_refused_before_others() {
    let tenant = || TenantSettings {
        quota_per_s: Some(10.0),
    };
    let cfg = Settings {
        tenants: vec![tenant(), tenant()],
        ..settings()
    };
    let mut rig = Rig::new(cfg, &[server(1, 0), server(11, 1)]);
    let (mut asked, mut refused) = ([0.0; 2], [0.0; 2]);
    // Nothing is answered, and nine of ten arrivals are the first tenant's.
    for id in 0..200 {
        rig.now += SECOND / 20;
        let tenant = usize::from(id % 10 == 0);
        rig.ask(Request {
            tenant,
            ..arrival(id, id, 1_000.0)
        });
        asked[tenant] += 1.0;
        refused[tenant] += f64::from(u8::from(rig.refused()));
        if id > 20 {
            rig.event(Event::ClientDisconnected(RequestId(id - 20)));
        }
    }
    let [over, within] = [refused[0] / asked[0], refused[1] / asked[1]];
    assert!(over > 0.5 && within < over / 2.0, "{over} against {within}");
}
