//! Endpoints that rate-limit one tenant, and endpoints that are replaced.

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

fn request_of(tenant: usize, id: u64) -> Request {
    Request {
        tenant,
        prefix: id,
        ..arrival(id, id, 1_000.0)
    }
}

/// Sends a request and serves it at its decode endpoint, unless tenant 0 is limited there. Returns the decode endpoints that
/// were tried.
fn serve(harness: &mut Harness, tenant: usize, id: u64, limiting: &[u64]) -> Vec<u64> {
    harness
        .request(request_of(tenant, id))
        .expect("sent to a prefill endpoint");
    harness.now += 50_000;
    let mut tried = Vec::new();
    let mut next = harness.end_attempt(id, 0, Outcome::Prefilled);
    for attempt in 1.. {
        let Some(decode) = next else { return tried };
        tried.push(decode.0);
        harness.now += 20_000;
        if tenant == 0 && limiting.contains(&decode.0) {
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
    let endpoints: Vec<Endpoint> = [endpoint(1, 0)]
        .into_iter()
        .chain((11..16).map(|id| endpoint(id, 1)))
        .collect();
    let mut harness = Harness::new(two_tenants(), &endpoints);
    let limiting = [11, 12, 13, 14];
    let (mut rejections, mut used_by_other) = (0, std::collections::BTreeSet::new());
    for id in 0..80 {
        let tried = serve(&mut harness, usize::from(id % 2 == 1), id, &limiting);
        if id % 2 == 0 && id >= 40 {
            rejections += tried.len() - 1;
        }
        if id % 2 == 1 && id >= 40 {
            used_by_other.insert(*tried.last().unwrap());
        }
    }
    assert!(
        rejections <= 8,
        "{rejections} attempts of 20 requests went to endpoints that limit the tenant"
    );
    assert!(
        used_by_other.len() >= 4,
        "the other tenant still uses those endpoints: {used_by_other:?}"
    );
    // When the limits are lifted, the tenant uses all endpoints again, because recorded rejections expire.
    harness.now += 60 * SECOND;
    let mut used = std::collections::BTreeSet::new();
    for id in 100..140 {
        used.extend(serve(&mut harness, 0, id, &[]));
    }
    assert!(used.len() >= 4, "{used:?}");
}

#[test]
fn replaced_endpoints_are_dropped() {
    let mut harness = Harness::new(settings(), &[]);
    for round in 0..500 {
        let id = round * 10;
        let endpoints = [
            endpoint(id + 1, 0),
            endpoint(id + 2, 1),
            endpoint(id + 3, 1),
        ];
        harness.update_endpoints(ListKind::Full, &endpoints);
        let decode = harness.turn(round, round % 7, 3_000.0);
        assert!(
            (id..id + 10).contains(&decode.0),
            "sent to a removed endpoint"
        );
        assert!(
            harness.router.known_endpoints() <= 6,
            "{} endpoints are tracked",
            harness.router.known_endpoints()
        );
    }
}

/// A removed endpoint stays tracked as long as a request with an attempt there is open.
#[test]
fn an_endpoint_removed_during_a_request_stays_tracked() {
    let mut harness = Harness::new(
        settings(),
        &[
            endpoint(1, 0),
            endpoint(2, 0),
            endpoint(11, 1),
            endpoint(12, 1),
        ],
    );
    let prefill = harness.request(arrival(1, 1, 3_000.0)).unwrap();
    let other_prefill = if prefill.0 == 1 {
        endpoint(2, 0)
    } else {
        endpoint(1, 0)
    };
    harness.update_endpoints(
        ListKind::Full,
        &[other_prefill, endpoint(11, 1), endpoint(12, 1)],
    );
    harness.now += 10_000;
    assert_eq!(
        harness.end_attempt(1, 0, Outcome::Reset),
        Some(other_prefill.id)
    );
    harness.now += 10_000;
    let decode = harness.end_attempt(1, 1, Outcome::Prefilled).unwrap();
    harness.first_token(1, 2);
    let other_decode = if decode.0 == 11 {
        endpoint(12, 1)
    } else {
        endpoint(11, 1)
    };
    harness.update_endpoints(ListKind::Full, &[other_prefill, other_decode]);
    harness.end_attempt(1, 2, Outcome::Served);
    harness.update_endpoints(ListKind::Full, &[other_prefill, other_decode]);
    assert_eq!(harness.router.known_endpoints(), 2);
    // The session was dropped with its endpoint.
    assert_eq!(
        harness.request(arrival(2, 1, 3_100.0)),
        Some(other_prefill.id)
    );
}
