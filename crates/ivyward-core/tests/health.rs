//! Servers that hang, jam, or come back; overload.

mod common;
use common::*;
use ivyward_core::interface::*;

fn fleet() -> Vec<Endpoint> {
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

/// A reader that takes work and answers none, while its peers answer, loses what waits there and gets no more.
#[test]
fn a_hung_reader_is_found_and_left() {
    let mut rig = Rig::new(settings(), &fleet());
    for id in 0..30 {
        rig.turn(id, id, 1_000.0);
    }
    let hung = rig.ask(arrival(100, 100, 1_000.0)).unwrap();
    let mut called_off = false;
    for step in 0..40 {
        rig.now += 100_000;
        rig.event(Event::Timer(TICK));
        called_off |= rig.done.contains(&Action::Cancel {
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
    let next = rig.end(100, 0, Outcome::Cancelled);
    assert!(next.is_some() && next != Some(hung));
    assert_ne!(rig.ask(arrival(101, 101, 1_000.0)), Some(hung));
}

/// A heavy prompt takes long by its size; that is no hang.
#[test]
fn a_heavy_prompt_is_not_taken_for_a_hang() {
    let mut rig = Rig::new(settings(), &fleet());
    for id in 0..30 {
        rig.turn(id, id, 1_000.0);
    }
    rig.ask(arrival(100, 100, 40_000.0)).unwrap();
    for _ in 0..18 {
        rig.now += 100_000;
        rig.event(Event::Timer(TICK));
        assert!(!rig.done.iter().any(|a| matches!(a, Action::Cancel { .. })));
    }
}

/// Suspicion must never empty a pool: with every reader doubted one of them is still used.
#[test]
fn suspicion_does_not_empty_a_pool() {
    let mut rig = Rig::new(settings(), &fleet());
    for id in 0..12 {
        rig.ask(arrival(id, id, 1_000.0));
        for attempt in 0..4 {
            rig.end(id, attempt, Outcome::ConnectFailed);
        }
    }
    assert!(rig.ask(arrival(50, 50, 1_000.0)).is_some());
}

#[test]
fn a_doubted_server_comes_back_by_a_trial() {
    let mut rig = Rig::new(settings(), &fleet());
    let home = rig.ask(arrival(1, 1, 1_000.0)).unwrap();
    rig.end(1, 0, Outcome::ConnectFailed);
    assert_ne!(rig.ask(arrival(2, 2, 1_000.0)), Some(home));
    rig.event(Event::ClientDisconnected(RequestId(2)));
    // A node that has got nothing done yet waits for the told time to warm, and no longer.
    rig.now += 11 * SECOND;
    assert_eq!(rig.ask(arrival(3, 3, 1_000.0)), Some(home), "one trial");
    rig.end(3, 0, Outcome::Prefilled);
    assert_eq!(
        rig.ask(arrival(4, 4, 1_000.0)),
        Some(home),
        "it answered, so it is used again"
    );
}

/// First tokens that all come late lead to refusals, at once and with advice, and these end when all is well.
#[test]
fn overload_is_refused_in_part_and_the_refusals_end() {
    let mut rig = Rig::new(settings(), &fleet());
    let mut refused = 0;
    // One arrival each tenth of a second; first tokens come two seconds, twice the aim, after it.
    for id in 0..100u64 {
        rig.now += SECOND / 10;
        rig.ask(arrival(id, id, 1_000.0));
        refused += usize::from(rig.refused());
        rig.end(id, 0, Outcome::Prefilled);
        if id >= 20 {
            rig.first(id - 20, 1);
            rig.end(id - 20, 1, Outcome::Served);
        }
    }
    assert!((10..80).contains(&refused), "{refused} of 100 refused");
    for id in 80..100 {
        rig.event(Event::ClientDisconnected(RequestId(id)));
    }
    rig.now += 20 * SECOND;
    for id in 100..140 {
        rig.now += SECOND;
        rig.ask(arrival(id, id, 1_000.0));
        if id > 105 {
            assert!(!rig.refused(), "request {id}");
        }
        if rig.sent().is_some() {
            rig.end(id, 0, Outcome::Prefilled);
            rig.first(id, 1);
            rig.end(id, 1, Outcome::Served);
        }
    }
}

/// Retries of what is already late keep a jam alive (incident if50adb): while much is refused, nothing is read again.
#[test]
fn a_late_read_is_not_repeated_in_overload() {
    let mut rig = Rig::new(settings(), &fleet());
    let mut last = None;
    for id in 0..100u64 {
        rig.now += SECOND / 10;
        if rig.ask(arrival(id, id, 1_000.0)).is_some() {
            last = Some(id);
        }
        if id >= 20 {
            rig.end(id - 20, 0, Outcome::Prefilled);
            rig.first(id - 20, 1);
            rig.end(id - 20, 1, Outcome::Served);
        }
    }
    let late = last.expect("some are sent").max(80);
    rig.now += 1_500_000;
    assert_eq!(rig.end(late, 0, Outcome::TimedOut), None);
    assert!(rig.refused(), "request {late}");
    let mut calm = Rig::new(settings(), &fleet());
    calm.ask(arrival(1, 1, 1_000.0));
    calm.now += 1_500_000;
    assert!(
        calm.end(1, 0, Outcome::TimedOut).is_some(),
        "without overload it is read again"
    );
}

/// Waits that grow everywhere at once are a jam: reading each prompt anew elsewhere would only add to it.
#[test]
fn a_jam_of_all_readers_is_not_called_off_over_and_over() {
    let readers: Vec<Endpoint> = (1..=30)
        .map(|id| server(id, 0))
        .chain([server(40, 1)])
        .collect();
    let mut rig = Rig::new(settings(), &readers);
    for id in 0..30 {
        rig.turn(id, id, 1_000.0);
    }
    let (mut cancels, mut next) = (0, 100);
    for step in 0..100 {
        rig.now += 100_000;
        // Two requests a second with prefixes of their own, whose reads take longer than any client waits.
        if step % 5 == 0 {
            next += 1;
            rig.ask(Request {
                prefix: next,
                ..arrival(next, next, 1_000.0)
            });
        }
        rig.event(Event::Timer(TICK));
        let called: Vec<_> = rig.done.drain(..).collect();
        for action in called {
            if let Action::Cancel { request, attempt } = action {
                cancels += 1;
                rig.end(request.0, attempt, Outcome::Cancelled);
            }
        }
    }
    assert!(
        (1..=8).contains(&cancels),
        "{cancels} call-offs for 20 requests"
    );
}

/// A writer that answers every request with an error at once has the fewest streams of all, and would draw all requests.
/// What may be sent again finds out; what may not is never the trial.
#[test]
fn a_writer_that_errs_at_once_draws_no_request_that_may_not_be_repeated() {
    let mut rig = Rig::new(settings(), &fleet());
    for id in 0..30 {
        rig.turn(id, id, 1_000.0);
    }
    let (mut lost, mut erred, mut once) = (0, 0, 0);
    for id in 100..300 {
        let class = usize::from(id % 4 == 0);
        rig.ask(Request {
            class,
            prefix: id,
            ..arrival(id, id, 1_000.0)
        })
        .expect("sent to a reader");
        rig.now += 50_000;
        let mut writer = rig.end(id, 0, Outcome::Prefilled);
        once += class;
        for attempt in 1..4 {
            match writer {
                Some(EndpointId(11)) => {
                    erred += 1;
                    rig.now += 2_000;
                    writer = rig.end(id, attempt, Outcome::Error);
                    if rig.failed() {
                        lost += 1;
                        break;
                    }
                }
                Some(_) => {
                    rig.now += 20_000;
                    rig.first(id, attempt);
                    rig.now += 30_000;
                    rig.end(id, attempt, Outcome::Served);
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
