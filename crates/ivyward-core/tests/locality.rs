//! Where prompts are prefilled among racks and zones: locality counts only once first tokens show a difference.

mod common;
use common::*;
use ivyward_core::interface::*;
use ivyward_core::router::Router;

/// Ten prefill endpoints in the rack of all decode endpoints (rack 1), and ten in a rack without any (rack 2).
fn racks() -> Vec<Endpoint> {
    let at = |id, kind, cell| Endpoint {
        rack: cell,
        ..server(id, kind)
    };
    let mut endpoints: Vec<Endpoint> = (1..=10).map(|id| at(id, 0, 1)).collect();
    endpoints.extend((11..=20).map(|id| at(id, 0, 2)));
    endpoints.extend((101..=105).map(|id| at(id, 1, 1)));
    endpoints
}

/// Simulates requests with distinct prefixes, whose first tokens take as long as `takes` says of their prefill endpoint.
/// Returns the share of prefills at endpoints for which `counts`, in the last third.
fn played(
    cfg: Settings,
    endpoints: &[Endpoint],
    takes: impl Fn(u64) -> Micros,
    counts: impl Fn(u64) -> bool,
) -> f64 {
    let mut harness = Harness {
        router: Router::new(cfg, 5),
        now: 100 * SECOND,
        done: Vec::new(),
    };
    harness.endpoints(ListKind::Full, endpoints);
    let (mut of, mut all) = (0.0, 0.0);
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
            of += f64::from(u8::from(counts(prefill)));
        }
        // Each is over before the next: what is slow is the place, not this node's own queue.
        harness.now += SECOND / 50;
        if harness.end_attempt(id, 0, Outcome::Prefilled).is_some() {
            harness.now = 100 * SECOND + id * SECOND / 10 + takes(prefill);
            harness.first_token(id, 1);
            harness.end_attempt(id, 1, Outcome::Served);
        }
    }
    of / all
}

const QUICK: Micros = SECOND / 20;

/// Guards against idle prefill endpoints in racks without decode endpoints: of 93 prefill endpoints 35 stood in racks with
/// decode endpoints, got three quarters of all prefills and were late, and the rest waited for work.
#[test]
fn racks_do_not_count_without_latency_differences() {
    let part = played(settings(), &racks(), |_| QUICK, |id| id <= 10);
    assert!(
        (0.38..0.62).contains(&part),
        "{part} of reads beside writers"
    );
}

/// KV states that cross racks wait for a link: first tokens of remote prefills are late, so prefills move near decode.
#[test]
fn prefills_move_near_decode_endpoints_when_links_between_racks_are_slow() {
    let part = played(
        settings(),
        &racks(),
        |id| if id > 10 { 9 * SECOND / 10 } else { QUICK },
        |id| id <= 10,
    );
    assert!(part > 0.75, "{part} of reads beside writers");
}

/// And back, when those are the slow ones.
#[test]
fn prefills_do_not_move_where_first_tokens_are_late() {
    let part = played(
        settings(),
        &racks(),
        |id| if id <= 10 { 9 * SECOND / 10 } else { QUICK },
        |id| id <= 10,
    );
    assert!(
        (0.38..0.62).contains(&part),
        "{part} of reads beside writers"
    );
}

/// Ten readers in each of two zones. Crossing has a price: near homes come first, until this zone is jammed and the other is
/// not; one that is no better gets no more than the even share that a look at it takes.
#[test]
fn prefills_go_to_the_other_zone_only_while_this_one_is_overloaded() {
    let mut endpoints: Vec<Endpoint> = (1..=10).map(|id| server(id, 0)).collect();
    endpoints.extend((11..=20).map(|id| Endpoint {
        zone: 1,
        ..server(id, 0)
    }));
    endpoints.extend((101..=105).map(|id| server(id, 1)));
    let cfg = || Settings {
        cross_zone_price: 0.02,
        ..settings()
    };
    let slow = 9 * SECOND / 10;
    let calm = played(cfg(), &endpoints, |_| QUICK, |id| id > 10);
    let jammed = played(
        cfg(),
        &endpoints,
        |id| if id <= 10 { slow } else { QUICK },
        |id| id > 10,
    );
    let both = played(cfg(), &endpoints, |_| slow, |id| id > 10);
    assert!((0.1..0.35).contains(&calm), "{calm} across on a calm day");
    assert!(
        jammed > calm + 0.15,
        "{jammed} across while this zone is jammed"
    );
    assert!(both < 0.5, "{both} across while both are");
}
