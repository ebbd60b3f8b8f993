//! Endpoints that limit one tenant, and endpoints that are replaced.

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

/// Sends a request, served at its decode endpoint unless that limits the tenant; returns where it went.
fn write(harness: &mut Harness, tenant: usize, id: u64, limits: &[u64]) -> Vec<u64> {
    harness.request(of(tenant, id)).expect("sent to a reader");
    harness.now += 50_000;
    let mut tried = Vec::new();
    let mut next = harness.end_attempt(id, 0, Outcome::Prefilled);
    for attempt in 1.. {
        let Some(decode) = next else { return tried };
        tried.push(decode.0);
        harness.now += 20_000;
        if tenant == 0 && limits.contains(&decode.0) {
            next = harness.end_attempt(id, attempt, Outcome::Rejected);
        } else {
            harness.first_token(id, attempt);
            harness.now += 50_000;
            harness.end_attempt(id, attempt, Outcome::Served);
            return tried;
        }
    }
    tried
}

#[test]
fn a_limited_tenant_goes_to_other_endpoints_and_other_tenants_are_not_affected() {
    let endpoints: Vec<Endpoint> = [server(1, 0)]
        .into_iter()
        .chain((11..16).map(|id| server(id, 1)))
        .collect();
    let mut harness = Harness::new(two_tenants(), &endpoints);
    let limits = [11, 12, 13, 14];
    let (mut wasted, mut others) = (0, std::collections::BTreeSet::new());
    for id in 0..80 {
        let tried = write(&mut harness, usize::from(id % 2 == 1), id, &limits);
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
    harness.now += 60 * SECOND;
    let mut seen = std::collections::BTreeSet::new();
    for id in 100..140 {
        seen.extend(write(&mut harness, 0, id, &[]));
    }
    assert!(seen.len() >= 4, "{seen:?}");
}

#[test]
fn replaced_endpoints_are_forgotten() {
    let mut harness = Harness::new(settings(), &[]);
    for round in 0..500 {
        let id = round * 10;
        let entries = [server(id + 1, 0), server(id + 2, 1), server(id + 3, 1)];
        harness.endpoints(ListKind::Full, &entries);
        let decode = harness.turn(round, round % 7, 3_000.0);
        assert!(
            (id..id + 10).contains(&decode.0),
            "sent to one that is gone"
        );
        assert!(
            harness.router.known_endpoints() <= 6,
            "{} servers are remembered",
            harness.router.known_endpoints()
        );
    }
}

/// A removed endpoint stays known while an attempt is in flight there.
#[test]
fn an_endpoint_removed_during_a_request_stays_known() {
    let mut harness = Harness::new(
        settings(),
        &[server(1, 0), server(2, 0), server(11, 1), server(12, 1)],
    );
    let prefill = harness.request(arrival(1, 1, 3_000.0)).unwrap();
    let others = if prefill.0 == 1 {
        server(2, 0)
    } else {
        server(1, 0)
    };
    harness.endpoints(ListKind::Full, &[others, server(11, 1), server(12, 1)]);
    harness.now += 10_000;
    assert_eq!(harness.end_attempt(1, 0, Outcome::Reset), Some(others.id));
    harness.now += 10_000;
    let decode = harness.end_attempt(1, 1, Outcome::Prefilled).unwrap();
    harness.first_token(1, 2);
    let stays = if decode.0 == 11 {
        server(12, 1)
    } else {
        server(11, 1)
    };
    harness.endpoints(ListKind::Full, &[others, stays]);
    harness.end_attempt(1, 2, Outcome::Served);
    harness.endpoints(ListKind::Full, &[others, stays]);
    assert_eq!(harness.router.known_endpoints(), 2);
    // The session was forgotten with its endpoint.
    assert_eq!(harness.request(arrival(2, 1, 3_100.0)), Some(others.id));
}
