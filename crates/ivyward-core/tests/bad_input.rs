//! Odd events for the module.

mod common;
use common::*;
use ivyward_core::interface::*;

#[test]
fn events_for_the_unknown_change_nothing() {
    let mut rig = Rig::new(settings(), &[server(1, 0), server(11, 1)]);
    rig.event(Event::Timer(99));
    assert!(rig.done.is_empty());
    rig.event(Event::ClientDisconnected(RequestId(9)));
    assert!(rig.done.is_empty());
    rig.first(9, 0);
    assert!(rig.done.is_empty());
    assert_eq!(rig.end(9, 3, Outcome::Served), None);
    assert!(rig.done.is_empty());
    rig.event(Event::ReservationResult {
        request: RequestId(9),
        endpoint: EndpointId(77),
        reserved: true,
    });
    rig.event(Event::HealthCheckResult {
        endpoint: EndpointId(77),
        alive: true,
        report: LoadReport::default(),
    });
    assert!(rig.done.is_empty());
}

#[test]
fn odd_sizes_lists_and_clocks_do_not_panic() {
    let odd = [0.0, 1.0, 1e30];
    let mut rig = Rig::new(settings(), &[server(1, 0), server(11, 1), server(5, 200)]);
    for (id, (prompt, prefix)) in odd
        .iter()
        .flat_map(|p| odd.iter().map(move |q| (*p, *q)))
        .enumerate()
    {
        let id = id as u64;
        rig.ask(Request {
            prompt_tokens: prompt,
            prefix_tokens: prefix,
            max_output: 0.0,
            ..arrival(id, 5, 0.0)
        });
        rig.end(id, 0, Outcome::Prefilled);
        rig.first(id, 1);
        rig.now += 1 << 40;
        rig.end(id, 1, Outcome::Served);
    }
    rig.fleet(ListKind::Full, &[]);
    rig.ask(arrival(50, 5, 1_000.0));
    assert!(rig.refused());
    rig.ask(Request {
        class: 99,
        ..arrival(51, 5, 1_000.0)
    });
    assert!(rig.refused());
}
