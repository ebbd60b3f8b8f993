//! Endpoints that hang, are overloaded, or recover; load shedding.

mod common;
use common::*;
use ivyward_core::interface::*;

fn endpoints() -> Vec<Endpoint> {
    vec![
        server(1, 0),
        server(2, 0),
        server(3, 0),
        server(11, 1),
        server(12, 1),
        server(13, 1),
    ]
}

const TICK: u64 = 1;

/// A prefill endpoint that takes work and answers none, while others answer, loses what waits there and gets no more.
#[test]
fn a_hung_prefill_endpoint_is_detected_and_avoided() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    let hung = harness.request(arrival(100, 100, 1_000.0)).unwrap();
    let mut called_off = false;
    for step in 0..40 {
        harness.now += 100_000;
        harness.event(Event::Timer(TICK));
        called_off |= harness.done.contains(&Action::Cancel {
            request: RequestId(100),
            attempt: 0,
        });
        if called_off {
            assert!(
                step > 2,
                "called off after {step} tenths of a second: noise would do that too"
            );
            break;
        }
    }
    assert!(called_off, "not found within 4 s, four times the aim");
    let next = harness.end_attempt(100, 0, Outcome::Cancelled);
    assert!(next.is_some() && next != Some(hung));
    assert_ne!(harness.request(arrival(101, 101, 1_000.0)), Some(hung));
}

/// A heavy prompt takes long by its size; that is no hang.
#[test]
fn a_long_prompt_is_not_a_stall() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    harness.request(arrival(100, 100, 40_000.0)).unwrap();
    for _ in 0..18 {
        harness.now += 100_000;
        harness.event(Event::Timer(TICK));
        assert!(!harness
            .done
            .iter()
            .any(|a| matches!(a, Action::Cancel { .. })));
    }
}

/// Ejection must never empty a pool: with every prefill endpoint ejected one of them is still used.
#[test]
fn ejection_does_not_empty_a_pool() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..12 {
        harness.request(arrival(id, id, 1_000.0));
        for attempt in 0..4 {
            harness.end_attempt(id, attempt, Outcome::ConnectFailed);
        }
    }
    assert!(harness.request(arrival(50, 50, 1_000.0)).is_some());
}

#[test]
fn an_ejected_endpoint_returns_after_a_probe() {
    let mut harness = Harness::new(settings(), &endpoints());
    let home = harness.request(arrival(1, 1, 1_000.0)).unwrap();
    harness.end_attempt(1, 0, Outcome::ConnectFailed);
    assert_ne!(harness.request(arrival(2, 2, 1_000.0)), Some(home));
    harness.event(Event::ClientDisconnected(RequestId(2)));
    // A node without completed work waits for the warm-up duration, and no longer.
    harness.now += 11 * SECOND;
    assert_eq!(
        harness.request(arrival(3, 3, 1_000.0)),
        Some(home),
        "one trial"
    );
    harness.end_attempt(3, 0, Outcome::Prefilled);
    assert_eq!(
        harness.request(arrival(4, 4, 1_000.0)),
        Some(home),
        "it answered, so it is used again"
    );
}

/// First tokens that all come late lead to refusals, at once and with advice, and these end when all is well.
#[test]
fn overload_is_shed_in_part_and_shedding_ends() {
    let mut harness = Harness::new(settings(), &endpoints());
    let mut rejected = 0;
    // One arrival each tenth of a second; first tokens come two seconds, twice the objective, after it.
    for id in 0..100u64 {
        harness.now += SECOND / 10;
        harness.request(arrival(id, id, 1_000.0));
        rejected += usize::from(harness.rejected());
        harness.end_attempt(id, 0, Outcome::Prefilled);
        if id >= 20 {
            harness.first_token(id - 20, 1);
            harness.end_attempt(id - 20, 1, Outcome::Served);
        }
    }
    assert!((10..80).contains(&rejected), "{rejected} of 100 refused");
    for id in 80..100 {
        harness.event(Event::ClientDisconnected(RequestId(id)));
    }
    harness.now += 20 * SECOND;
    for id in 100..140 {
        harness.now += SECOND;
        harness.request(arrival(id, id, 1_000.0));
        if id > 105 {
            assert!(!harness.rejected(), "request {id}");
        }
        if harness.sent().is_some() {
            harness.end_attempt(id, 0, Outcome::Prefilled);
            harness.first_token(id, 1);
            harness.end_attempt(id, 1, Outcome::Served);
        }
    }
}

/// Retries of late requests keep an overload alive (incident if50adb): while many are rejected, nothing is prefilled again.
#[test]
fn a_late_prefill_is_not_repeated_under_overload() {
    let mut harness = Harness::new(settings(), &endpoints());
    let mut last = None;
    for id in 0..100u64 {
        harness.now += SECOND / 10;
        if harness.request(arrival(id, id, 1_000.0)).is_some() {
            last = Some(id);
        }
        if id >= 20 {
            harness.end_attempt(id - 20, 0, Outcome::Prefilled);
            harness.first_token(id - 20, 1);
            harness.end_attempt(id - 20, 1, Outcome::Served);
        }
    }
    let late = last.expect("some are sent").max(80);
    harness.now += 1_500_000;
    assert_eq!(harness.end_attempt(late, 0, Outcome::TimedOut), None);
    assert!(harness.rejected(), "request {late}");
    let mut calm = Harness::new(settings(), &endpoints());
    calm.request(arrival(1, 1, 1_000.0));
    calm.now += 1_500_000;
    assert!(
        calm.end_attempt(1, 0, Outcome::TimedOut).is_some(),
        "without overload it is read again"
    );
}

/// Waits that grow everywhere at once are an overload: prefilling each prompt again elsewhere would only add to it.
#[test]
fn attempts_are_not_cancelled_repeatedly_when_all_prefill_endpoints_are_overloaded() {
    let prefill_endpoints: Vec<Endpoint> = (1..=30)
        .map(|id| server(id, 0))
        .chain([server(40, 1)])
        .collect();
    let mut harness = Harness::new(settings(), &prefill_endpoints);
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    let (mut cancels, mut next) = (0, 100);
    for step in 0..100 {
        harness.now += 100_000;
        // Two requests a second with prefixes of their own, whose reads take longer than any client waits.
        if step % 5 == 0 {
            next += 1;
            harness.request(Request {
                prefix: next,
                ..arrival(next, next, 1_000.0)
            });
        }
        harness.event(Event::Timer(TICK));
        let called: Vec<_> = harness.done.drain(..).collect();
        for action in called {
            if let Action::Cancel { request, attempt } = action {
                cancels += 1;
                harness.end_attempt(request.0, attempt, Outcome::Cancelled);
            }
        }
    }
    assert!(
        (1..=8).contains(&cancels),
        "{cancels} call-offs for 20 requests"
    );
}

/// An endpoint that fails every request at once has the fewest streams of all, and would attract all requests.
/// What may be sent again finds out; what may not is never the trial.
#[test]
fn an_endpoint_that_fails_at_once_gets_no_non_idempotent_requests() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    let (mut lost, mut erred, mut once) = (0, 0, 0);
    for id in 100..300 {
        let class = usize::from(id % 4 == 0);
        harness
            .request(Request {
                class,
                prefix: id,
                ..arrival(id, id, 1_000.0)
            })
            .expect("sent to a reader");
        harness.now += 50_000;
        let mut decode = harness.end_attempt(id, 0, Outcome::Prefilled);
        once += class;
        for attempt in 1..4 {
            match decode {
                Some(EndpointId(11)) => {
                    erred += 1;
                    harness.now += 2_000;
                    decode = harness.end_attempt(id, attempt, Outcome::Error);
                    if harness.failed() {
                        lost += 1;
                        break;
                    }
                }
                Some(_) => {
                    harness.now += 20_000;
                    harness.first_token(id, attempt);
                    harness.now += 30_000;
                    harness.end_attempt(id, attempt, Outcome::Served);
                    break;
                }
                None => break,
            }
        }
    }
    assert!(lost <= 1, "{lost} of {once} were lost to it");
    assert!(
        (3..=30).contains(&erred),
        "it was tried {erred} times in 20 s"
    );
}
