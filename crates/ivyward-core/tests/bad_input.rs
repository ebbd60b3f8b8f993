//! Malformed and extreme events.

mod common;
use common::*;
use ivyward_core::interface::*;

#[test]
fn events_for_unknown_requests_and_endpoints_change_nothing() {
    let mut harness = Harness::new(settings(), &[endpoint(1, 0), endpoint(11, 1)]);
    harness.event(Event::Timer(99));
    assert!(harness.actions.is_empty());
    harness.event(Event::ClientDisconnected(RequestId(9)));
    assert!(harness.actions.is_empty());
    harness.first_token(9, 0);
    assert!(harness.actions.is_empty());
    assert_eq!(harness.end_attempt(9, 3, Outcome::Served), None);
    assert!(harness.actions.is_empty());
    harness.event(Event::ReservationResult {
        request: RequestId(9),
        endpoint: EndpointId(77),
        reserved: true,
    });
    harness.event(Event::HealthCheckResult {
        endpoint: EndpointId(77),
        alive: true,
        report: LoadReport::default(),
    });
    assert!(harness.actions.is_empty());
}

#[test]
fn extreme_sizes_lists_and_clocks_do_not_panic() {
    let sizes = [0.0, 1.0, 1e30];
    let mut harness = Harness::new(
        settings(),
        &[endpoint(1, 0), endpoint(11, 1), endpoint(5, 200)],
    );
    for (id, (prompt, prefix)) in sizes
        .iter()
        .flat_map(|prompt| sizes.iter().map(move |prefix| (*prompt, *prefix)))
        .enumerate()
    {
        let id = id as u64;
        harness.request(Request {
            prompt_tokens: prompt,
            prefix_tokens: prefix,
            max_output: 0.0,
            ..arrival(id, 5, 0.0)
        });
        harness.end_attempt(id, 0, Outcome::Prefilled);
        harness.first_token(id, 1);
        harness.now += 1 << 40;
        harness.end_attempt(id, 1, Outcome::Served);
    }
    harness.update_endpoints(ListKind::Full, &[]);
    harness.request(arrival(50, 5, 1_000.0));
    assert!(harness.rejected());
    harness.request(Request {
        class: 99,
        ..arrival(51, 5, 1_000.0)
    });
    assert!(harness.rejected());
}
