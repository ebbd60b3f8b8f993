//! Servers that limit one tenant, and servers that are replaced.

mod common;
use common::*;
use ivyward_core::interface::*;

fn two_tenants() -> Settings {
    Settings {
        tenants: vec![TenantSettings { quota_per_s: None }; 2],
        max_attempts: 5,
        ..settings()
    }
}

fn of(tenant: usize, id: u64) -> Request {
    Request {
        tenant,
        prefix: id,
        ..arrival(id, id, 1_000.0)
    }
}

/// A read request's writer, which then serves it unless it limits that tenant; where it went last.
fn write(rig: &mut Rig, tenant: usize, id: u64, limits: &[u64]) -> Vec<u64> {
    rig.ask(of(tenant, id)).expect("sent to a reader");
    rig.now += 50_000;
    let mut tried = Vec::new();
    let mut next = rig.end(id, 0, Outcome::Prefilled);
    for attempt in 1.. {
        let Some(writer) = next else { return tried };
        tried.push(writer.0);
        rig.now += 20_000;
        if tenant == 0 && limits.contains(&writer.0) {
            next = rig.end(id, attempt, Outcome::Rejected);
        } else {
            rig.first(id, attempt);
            rig.now += 50_000;
            rig.end(id, attempt, Outcome::Served);
            return tried;
        }
    }
    tried
}

#[test]
fn a_tenant_that_is_limited_goes_where_it_is_not_and_others_go_on() {
    let fleet: Vec<Endpoint> = [server(1, 0)]
        .into_iter()
        .chain((11..16).map(|id| server(id, 1)))
        .collect();
    let mut rig = Rig::new(two_tenants(), &fleet);
    let limits = [11, 12, 13, 14];
    let (mut wasted, mut others) = (0, std::collections::BTreeSet::new());
    for id in 0..80 {
        let tried = write(&mut rig, usize::from(id % 2 == 1), id, &limits);
        if id % 2 == 0 && id >= 40 {
            wasted += tried.len() - 1;
        }
        if id % 2 == 1 && id >= 40 {
            others.insert(*tried.last().unwrap());
        }
    }
    assert!(
        wasted <= 8,
        "{wasted} attempts of 20 requests went where the tenant is limited"
    );
    assert!(
        others.len() >= 4,
        "the other tenant is not kept off those servers: {others:?}"
    );
    // When the limit is over it is found out again, since nothing else is preferred for good.
    rig.now += 60 * SECOND;
    let mut seen = std::collections::BTreeSet::new();
    for id in 100..140 {
        seen.extend(write(&mut rig, 0, id, &[]));
    }
    assert!(seen.len() >= 4, "{seen:?}");
}

#[test]
fn servers_that_are_replaced_all_day_are_forgotten() {
    let mut rig = Rig::new(settings(), &[]);
    for round in 0..500 {
        let id = round * 10;
        let entries = [server(id + 1, 0), server(id + 2, 1), server(id + 3, 1)];
        rig.fleet(ListKind::Full, &entries);
        let writer = rig.turn(round, round % 7, 3_000.0);
        assert!(
            (id..id + 10).contains(&writer.0),
            "sent to one that is gone"
        );
        assert!(
            rig.router.known_endpoints() <= 6,
            "{} servers are remembered",
            rig.router.known_endpoints()
        );
    }
}

/// One that is gone stays known while something of ours is out there.
#[test]
fn a_server_that_is_gone_under_a_request_is_not_missed() {
    let mut rig = Rig::new(
        settings(),
        &[server(1, 0), server(2, 0), server(11, 1), server(12, 1)],
    );
    let reader = rig.ask(arrival(1, 1, 3_000.0)).unwrap();
    let others = if reader.0 == 1 {
        server(2, 0)
    } else {
        server(1, 0)
    };
    rig.fleet(ListKind::Full, &[others, server(11, 1), server(12, 1)]);
    rig.now += 10_000;
    assert_eq!(rig.end(1, 0, Outcome::Reset), Some(others.id));
    rig.now += 10_000;
    let writer = rig.end(1, 1, Outcome::Prefilled).unwrap();
    rig.first(1, 2);
    let stays = if writer.0 == 11 {
        server(12, 1)
    } else {
        server(11, 1)
    };
    rig.fleet(ListKind::Full, &[others, stays]);
    rig.end(1, 2, Outcome::Served);
    rig.fleet(ListKind::Full, &[others, stays]);
    assert_eq!(rig.router.known_endpoints(), 2);
    // The session's row went with its holder.
    assert_eq!(rig.ask(arrival(2, 1, 3_100.0)), Some(others.id));
}
