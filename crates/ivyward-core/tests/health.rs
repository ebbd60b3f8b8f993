//! Endpoints that hang, are overloaded, fail or recover, and load shedding.

mod common;
use common::*;
use ivyward_core::interface::*;

fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint(1, 0),
        endpoint(2, 0),
        endpoint(3, 0),
        endpoint(11, 1),
        endpoint(12, 1),
        endpoint(13, 1),
    ]
}

const TICK: u64 = 1;

/// A prefill endpoint accepts requests and does not respond, while others do. The attempt that waits there is cancelled,
/// and the endpoint gets no further requests.
#[test]
fn a_hung_prefill_endpoint_is_detected_and_avoided() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    let hung = harness.request(arrival(100, 100, 1_000.0)).unwrap();
    let mut cancelled = false;
    for step in 0..40 {
        harness.now += 100_000;
        harness.event(Event::Timer(TICK));
        cancelled |= harness.actions.contains(&Action::Cancel {
            request: RequestId(100),
            attempt: 0,
        });
        if cancelled {
            assert!(
                step > 2,
                "cancelled after {step} tenths of a second, which is within normal variation"
            );
            break;
        }
    }
    assert!(
        cancelled,
        "not cancelled within 4 s, four times the first-token objective"
    );
    let next = harness.end_attempt(100, 0, Outcome::Cancelled);
    assert!(next.is_some() && next != Some(hung));
    assert_ne!(harness.request(arrival(101, 101, 1_000.0)), Some(hung));
}

/// A long prompt takes long to prefill, so its wait does not count as a stall.
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
            .actions
            .iter()
            .any(|a| matches!(a, Action::Cancel { .. })));
    }
}

/// When all prefill endpoints are ejected, one of them is still used, because ejection must never empty a pool.
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
    // On a node that has completed no requests, the first probe is due after the warm-up duration.
    harness.now += 11 * SECOND;
    assert_eq!(
        harness.request(arrival(3, 3, 1_000.0)),
        Some(home),
        "the probe"
    );
    harness.end_attempt(3, 0, Outcome::Prefilled);
    assert_eq!(
        harness.request(arrival(4, 4, 1_000.0)),
        Some(home),
        "the endpoint answered the probe, so it is used again"
    );
}

/// While all first tokens are late, a part of the requests is rejected. The rejections end after the overload.
#[test]
fn a_part_of_the_requests_is_rejected_until_the_overload_ends() {
    let mut harness = Harness::new(settings(), &endpoints());
    let mut rejected = 0;
    // One request arrives per tenth of a second; its first token comes two seconds later, which is twice the objective.
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
    assert!((10..80).contains(&rejected), "{rejected} of 100 rejected");
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

/// Retries of late requests would sustain an overload (incident if50adb). While many requests are rejected, none is
/// prefilled again.
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
    let late = last.expect("some requests are sent").max(80);
    harness.now += 1_500_000;
    assert_eq!(harness.end_attempt(late, 0, Outcome::TimedOut), None);
    assert!(harness.rejected(), "request {late}");
    let mut without_overload = Harness::new(settings(), &endpoints());
    without_overload.request(arrival(1, 1, 1_000.0));
    without_overload.now += 1_500_000;
    assert!(
        without_overload
            .end_attempt(1, 0, Outcome::TimedOut)
            .is_some(),
        "without overload the prompt is prefilled again"
    );
}

/// If waits grow at all prefill endpoints at once, the pool is overloaded. Cancelling attempts and prefilling their prompts
/// again elsewhere would add to the overload.
#[test]
fn attempts_are_not_cancelled_repeatedly_when_all_prefill_endpoints_are_overloaded() {
    let prefill_endpoints: Vec<Endpoint> = (1..=30)
        .map(|id| endpoint(id, 0))
        .chain([endpoint(40, 1)])
        .collect();
    let mut harness = Harness::new(settings(), &prefill_endpoints);
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    let (mut cancels, mut next) = (0, 100);
    for step in 0..100 {
        harness.now += 100_000;
        // Two requests per second with distinct prefixes; their prefills take longer than any client waits.
        if step % 5 == 0 {
            next += 1;
            harness.request(Request {
                prefix: next,
                ..arrival(next, next, 1_000.0)
            });
        }
        harness.event(Event::Timer(TICK));
        let actions: Vec<_> = harness.actions.drain(..).collect();
        for action in actions {
            if let Action::Cancel { request, attempt } = action {
                cancels += 1;
                harness.end_attempt(request.0, attempt, Outcome::Cancelled);
            }
        }
    }
    assert!(
        (1..=8).contains(&cancels),
        "{cancels} cancellations for 20 requests"
    );
}

/// An endpoint that fails every request at once always has the fewest streams, so it would attract all requests. Only
/// idempotent requests may be used to probe it.
#[test]
fn an_endpoint_that_fails_at_once_gets_no_non_idempotent_requests() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..30 {
        harness.turn(id, id, 1_000.0);
    }
    let (mut lost, mut errors, mut non_idempotent) = (0, 0, 0);
    for id in 100..300 {
        let class = usize::from(id % 4 == 0);
        harness
            .request(Request {
                class,
                prefix: id,
                ..arrival(id, id, 1_000.0)
            })
            .expect("sent to a prefill endpoint");
        harness.now += 50_000;
        let mut decode = harness.end_attempt(id, 0, Outcome::Prefilled);
        non_idempotent += class;
        for attempt in 1..4 {
            match decode {
                Some(EndpointId(11)) => {
                    errors += 1;
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
    assert!(
        lost <= 1,
        "{lost} of {non_idempotent} non-idempotent requests failed"
    );
    assert!(
        (3..=30).contains(&errors),
        "the failing endpoint got {errors} attempts in 20 s"
    );
}
