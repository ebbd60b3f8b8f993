//! The choice of a prefill endpoint among racks and zones: locality counts only when first-token times differ.

mod common;
use common::*;
use ivyward_core::interface::*;
use ivyward_core::router::Router;

/// Ten prefill endpoints in the rack of all decode endpoints (rack 1), and ten in a rack without any (rack 2).
fn racks() -> Vec<Endpoint> {
    let in_rack = |id, machine_type, rack| Endpoint {
        rack,
        ..endpoint(id, machine_type)
    };
    let mut endpoints: Vec<Endpoint> = (1..=10).map(|id| in_rack(id, 0, 1)).collect();
    endpoints.extend((11..=20).map(|id| in_rack(id, 0, 2)));
    endpoints.extend((101..=105).map(|id| in_rack(id, 1, 1)));
    endpoints
}

/// Simulates 600 requests with distinct prefixes. `ttft` gives the first-token time for each prefill endpoint. Returns which
/// share of the last third of the requests is prefilled at endpoints for which `counted` is true.
fn simulate(
    settings: Settings,
    endpoints: &[Endpoint],
    ttft: impl Fn(u64) -> Micros,
    counted: impl Fn(u64) -> bool,
) -> f64 {
    let mut harness = Harness {
        router: Router::new(settings, 5),
        now: 100 * SECOND,
        actions: Vec::new(),
    };
    harness.update_endpoints(ListKind::Full, endpoints);
    let (mut count, mut all) = (0.0, 0.0);
    for id in 0..600u64 {
        harness.now = 100 * SECOND + id * SECOND / 10;
        let Some(EndpointId(prefill)) = harness.request(Request {
            prefix: 1 + id,
            ..arrival(id, 9_000 + id, 1_000.0)
        }) else {
            continue;
        };
        if id >= 400 {
            all += 1.0;
            count += f64::from(u8::from(counted(prefill)));
        }
        // Each request ends before the next arrives, so that only the endpoint's location makes first tokens late, and not
        // a queue of this node's requests.
        harness.now += SECOND / 50;
        if harness.end_attempt(id, 0, Outcome::Prefilled).is_some() {
            harness.now = 100 * SECOND + id * SECOND / 10 + ttft(prefill);
            harness.first_token(id, 1);
            harness.end_attempt(id, 1, Outcome::Served);
        }
    }
    count / all
}

const FAST: Micros = SECOND / 20;

/// When racks with decode endpoints were always preferred, 35 of 93 prefill endpoints were in such racks, got three quarters
/// of all prefills and were late, while the others were idle.
#[test]
fn racks_do_not_count_without_latency_differences() {
    let share = simulate(settings(), &racks(), |_| FAST, |id| id <= 10);
    assert!(
        (0.38..0.62).contains(&share),
        "{share} of prefills in the rack with decode endpoints"
    );
}

/// If the links between racks are slow, first tokens are late when the KV state has to cross racks, so prefills move to the
/// racks with decode endpoints.
#[test]
fn prefills_move_near_decode_endpoints_when_links_between_racks_are_slow() {
    let share = simulate(
        settings(),
        &racks(),
        |id| if id > 10 { 9 * SECOND / 10 } else { FAST },
        |id| id <= 10,
    );
    assert!(
        share > 0.75,
        "{share} of prefills in the rack with decode endpoints"
    );
}

/// If prefill endpoints in the racks with decode endpoints are the slow ones, those racks are not preferred.
#[test]
fn prefills_do_not_move_to_racks_where_first_tokens_are_late() {
    let share = simulate(
        settings(),
        &racks(),
        |id| if id <= 10 { 9 * SECOND / 10 } else { FAST },
        |id| id <= 10,
    );
    assert!(
        (0.38..0.62).contains(&share),
        "{share} of prefills in the rack with decode endpoints"
    );
}

/// There are ten prefill endpoints in each of two zones, and crossing zones has a price. Prefills stay in this zone unless
/// it is overloaded and the other zone is not. If both are equally slow, the other zone gets less than half of them.
#[test]
fn prefills_go_to_the_other_zone_only_while_this_one_is_overloaded() {
    let mut endpoints: Vec<Endpoint> = (1..=10).map(|id| endpoint(id, 0)).collect();
    endpoints.extend((11..=20).map(|id| Endpoint {
        zone: 1,
        ..endpoint(id, 0)
    }));
    endpoints.extend((101..=105).map(|id| endpoint(id, 1)));
    let settings = || Settings {
        cross_zone_price: 0.02,
        ..settings()
    };
    let slow = 9 * SECOND / 10;
    let normal = simulate(settings(), &endpoints, |_| FAST, |id| id > 10);
    let this_zone_slow = simulate(
        settings(),
        &endpoints,
        |id| if id <= 10 { slow } else { FAST },
        |id| id > 10,
    );
    let both_slow = simulate(settings(), &endpoints, |_| slow, |id| id > 10);
    assert!(
        (0.1..0.35).contains(&normal),
        "{normal} of prefills in the other zone without overload"
    );
    assert!(
        this_zone_slow > normal + 0.15,
        "{this_zone_slow} of prefills in the other zone while this one is slow"
    );
    assert!(
        both_slow < 0.5,
        "{both_slow} of prefills in the other zone while both are slow"
    );
}
