//! One or more tests for each of the five rules.

mod common;
use common::*;
use ivyward_core::interface::*;

fn fleet() -> Vec<Endpoint> {
    vec![server(1, 0), server(2, 0), server(11, 1), server(12, 1)]
}

#[test]
fn lost_an_empty_fleet_refuses_at_once_with_advice() {
    let mut rig = Rig::new(settings(), &[]);
    assert_eq!(rig.ask(arrival(1, 5, 1_000.0)), None);
    assert!(rig.done.contains(&Action::Reject {
        request: RequestId(1),
        retry_after: SECOND / 2
    }));
}

#[test]
fn lost_every_request_gets_one_final_answer_when_nothing_helps() {
    for outcome in [
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Error,
        Outcome::TimedOut,
    ] {
        let mut rig = Rig::new(settings(), &fleet());
        rig.ask(arrival(1, 5, 1_000.0));
        let (mut finals, mut attempt) = (0, 0);
        while rig.sent().is_some() {
            rig.now += 10_000;
            rig.end(1, attempt, outcome);
            attempt += 1;
            finals += usize::from(rig.refused()) + usize::from(rig.failed());
        }
        assert_eq!(finals, 1, "{outcome:?}");
        assert!(attempt <= 4, "{outcome:?}: {attempt} attempts");
    }
}

#[test]
fn lost_a_time_out_leaves_time_for_another_attempt() {
    let mut rig = Rig::new(settings(), &fleet());
    rig.ask(arrival(1, 5, 1_000.0));
    let timeout = rig.timeout().unwrap();
    assert!(timeout > 0 && timeout < 5 * SECOND, "{timeout}");
}

#[test]
fn lost_the_answer_at_the_deadline_is_a_failure_and_nothing_is_sent() {
    let mut rig = Rig::new(settings(), &fleet());
    rig.ask(arrival(1, 5, 1_000.0));
    rig.now += 6 * SECOND;
    assert_eq!(rig.end(1, 0, Outcome::TimedOut), None);
    assert!(rig.failed() || rig.refused());
}

/// Brings a request of a class to a writer and ends that attempt.
fn at_writer(class: usize, outcome: Outcome) -> (Rig, EndpointId, Option<EndpointId>) {
    let mut far = server(12, 1);
    far.zone = 1;
    let mut rig = Rig::new(
        settings(),
        &[server(1, 0), server(2, 0), server(11, 1), far],
    );
    rig.ask(Request {
        class,
        ..arrival(1, 5, 1_000.0)
    });
    let writer = rig.end(1, 0, Outcome::Prefilled).unwrap();
    rig.now += 100_000;
    let next = rig.end(1, 1, outcome);
    (rig, writer, next)
}

#[test]
fn twice_an_unsafe_request_that_may_have_run_is_failed_and_not_resent_or_refused() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let (rig, _, next) = at_writer(1, outcome);
        assert_eq!(next, None, "{outcome:?}");
        assert!(rig.failed() && !rig.refused(), "{outcome:?}");
    }
}

#[test]
fn twice_an_unsafe_request_that_never_ran_is_sent_on() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let (_, writer, next) = at_writer(1, outcome);
        assert!(next.is_some() && next != Some(writer), "{outcome:?}");
    }
}

#[test]
fn twice_reading_is_no_effect() {
    let mut rig = Rig::new(settings(), &fleet());
    let reader = rig
        .ask(Request {
            class: 1,
            ..arrival(1, 5, 1_000.0)
        })
        .unwrap();
    let next = rig.end(1, 0, Outcome::TimedOut);
    assert!(next.is_some() && next != Some(reader));
}

#[test]
fn twice_a_keyed_request_stays_in_its_group_and_window() {
    // Only one writer a zone: after a reset nothing in the group is left but the one that broke.
    let (rig, _, next) = at_writer(2, Outcome::Reset);
    assert_ne!(next, Some(EndpointId(11)));
    assert_ne!(next, Some(EndpointId(12)));
    assert!(
        !rig.refused(),
        "a refusal would promise too much for a zonal group"
    );
}

/// A place that was held before another writer may have run the request is no way out of its group.
#[test]
fn twice_a_keyed_repeat_takes_no_place_held_outside_its_group() {
    let writers = [
        server(11, 1),
        Endpoint {
            zone: 1,
            ..server(12, 1)
        },
    ];
    let mut rig = Rig::new(
        Settings {
            reserve_decode_slot: true,
            ..settings()
        },
        &[server(1, 0), writers[0], writers[1]],
    );
    rig.ask(Request {
        class: 2,
        ..arrival(1, 5, 1_000.0)
    });
    let held = rig.done.iter().find_map(|a| match a {
        Action::Reserve {
            endpoint: server, ..
        } => Some(*server),
        _ => None,
    });
    let held = held.expect("a place is asked for");
    let entry = writers.into_iter().find(|w| w.id == held).unwrap();
    rig.fleet(
        ListKind::Changes,
        &[Endpoint {
            state: EndpointState::Draining,
            ..entry
        }],
    );
    let ran_at = rig.end(1, 0, Outcome::Prefilled).unwrap();
    assert_ne!(ran_at, held);
    rig.fleet(ListKind::Changes, &[entry]);
    rig.now += 100_000;
    assert_ne!(
        rig.end(1, 1, Outcome::Reset),
        Some(held),
        "it is in another zone"
    );
}

/// Nor is a writer that came to hold its session meanwhile.
#[test]
fn twice_a_keyed_repeat_follows_no_session_out_of_its_group() {
    // Without readers both turns are read where they are written.
    let far = Endpoint {
        zone: 1,
        ..server(12, 1)
    };
    let mut rig = Rig::new(settings(), &[server(11, 1), far]);
    let shared = Request {
        prefix_tokens: 7_000.0,
        ..arrival(1, 5, 8_000.0)
    };
    assert_eq!(
        rig.ask(Request { class: 2, ..shared }),
        Some(EndpointId(11)),
        "the writer of this zone"
    );
    // Another turn of the session is written by the far one.
    rig.fleet(
        ListKind::Changes,
        &[Endpoint {
            state: EndpointState::Draining,
            ..server(11, 1)
        }],
    );
    assert_eq!(
        rig.ask(Request {
            id: RequestId(2),
            ..shared
        }),
        Some(EndpointId(12))
    );
    rig.first(2, 0);
    rig.end(2, 0, Outcome::Served);
    assert_ne!(
        rig.end(1, 0, Outcome::Reset),
        Some(EndpointId(12)),
        "it is in another zone"
    );
}

/// Once a keyed request may have run, whatever is sent for it stays in its group and window: reads as well.
#[test]
fn twice_a_keyed_repeat_is_read_in_its_group_too() {
    let reader = |id: u64, zone: u8, condition| Endpoint {
        zone,
        state: condition,
        ..server(id, 0)
    };
    for zone in [0, 1] {
        // Without readers the first attempt is read where it is written.
        let mut rig = Rig::new(settings(), &[server(11, 1)]);
        assert_eq!(
            rig.ask(Request {
                class: 2,
                ..arrival(1, 5, 1_000.0)
            }),
            Some(EndpointId(11))
        );
        rig.fleet(ListKind::Changes, &[reader(1, zone, EndpointState::Ready)]);
        let sent = rig.now;
        rig.now += 100_000;
        let next = rig.end(1, 0, Outcome::Reset);
        assert_eq!(next, (zone == 0).then_some(EndpointId(1)), "zone {zone}");
        if zone == 0 {
            let send_deadline = rig.send_deadline().unwrap();
            assert!(
                send_deadline > rig.now && send_deadline <= sent + 5 * SECOND,
                "{send_deadline}"
            );
        }
    }
}

/// The window counts from the first attempt that may have run, and holds until the repeat's last byte has left: a dial may
/// take long.
#[test]
fn twice_a_keyed_repeat_leaves_within_its_window() {
    let mut settings = settings();
    settings.classes[2] = ClassSettings {
        deduplication_window: SECOND,
        ..class(Idempotency::WithKey)
    };
    let mut rig = Rig::new(settings, &fleet());
    rig.ask(Request {
        class: 2,
        ..arrival(1, 5, 1_000.0)
    });
    assert!(rig.end(1, 0, Outcome::Prefilled).is_some());
    let sent = rig.now;
    rig.now += 900_000;
    assert!(
        rig.end(1, 1, Outcome::Reset).is_some(),
        "sent on within the window"
    );
    let send_deadline = rig.send_deadline().unwrap();
    assert!(
        send_deadline > rig.now && send_deadline <= sent + SECOND,
        "{send_deadline} after {sent}"
    );
    rig.now = sent + SECOND;
    assert_eq!(
        rig.end(1, 2, Outcome::ConnectFailed),
        None,
        "the window is over"
    );
}

#[test]
fn drains_nothing_is_sent_to_a_draining_or_gone_server() {
    for condition in [EndpointState::Draining, EndpointState::Removed] {
        let mut rig = Rig::new(settings(), &fleet());
        let writer = rig.turn(1, 5, 2_000.0);
        rig.fleet(
            ListKind::Changes,
            &[Endpoint {
                state: condition,
                ..server(1, 0)
            }],
        );
        rig.fleet(
            ListKind::Changes,
            &[Endpoint {
                state: condition,
                ..server(writer.0, 1)
            }],
        );
        for id in 2..30 {
            let reader = rig.ask(arrival(id, 5, 2_100.0));
            assert_eq!(reader, Some(EndpointId(2)), "{condition:?}");
            let next = rig.end(id, 0, Outcome::Prefilled);
            assert!(next.is_some() && next != Some(writer), "{condition:?}");
            rig.end(id, 1, Outcome::Rejected);
        }
    }
}

#[test]
fn drains_a_server_missing_from_a_full_list_is_gone() {
    let mut rig = Rig::new(settings(), &fleet());
    rig.fleet(ListKind::Full, &[server(2, 0), server(12, 1)]);
    for id in 0..20 {
        assert_eq!(rig.ask(arrival(id, id, 1_000.0)), Some(EndpointId(2)));
    }
}

#[test]
fn cold_a_started_server_gets_its_share_of_the_budget_and_no_more() {
    let mut rig = Rig::new(settings(), &fleet());
    for id in 0..100 {
        rig.turn(id, 1_000 + id, 1_000.0);
    }
    let cold = Endpoint {
        started_at: rig.now,
        ..server(13, 1)
    };
    rig.fleet(ListKind::Changes, &[cold]);
    // A burst of 60 within one window; the usual is about 3 a window for each writer.
    let mut to_cold = 0;
    for id in 200..260 {
        rig.ask(arrival(id, 1_000 + id, 1_000.0));
        rig.now += 1_000;
        to_cold += usize::from(rig.end(id, 0, Outcome::Prefilled) == Some(EndpointId(13)));
    }
    assert!(
        (1..=4).contains(&to_cold),
        "{to_cold} of 60 sent to the cold writer"
    );
}

#[test]
fn pinned_a_state_is_let_go_with_every_other_end() {
    // No writer: the read state cannot be taken.
    let mut rig = Rig::new(settings(), &[server(1, 0), server(11, 1)]);
    rig.ask(arrival(1, 5, 1_000.0));
    rig.fleet(
        ListKind::Changes,
        &[Endpoint {
            state: EndpointState::Removed,
            ..server(11, 1)
        }],
    );
    rig.end(1, 0, Outcome::Prefilled);
    assert!(rig.refused() && rig.released());
    // The client leaves during the read: let go then, and again when the state turns up late.
    let mut rig = Rig::new(settings(), &fleet());
    rig.ask(arrival(1, 5, 1_000.0));
    rig.event(Event::ClientDisconnected(RequestId(1)));
    assert!(rig.released());
    assert_eq!(rig.end(1, 0, Outcome::Prefilled), None);
    assert!(rig.released() && !rig.refused() && !rig.failed());
}

#[test]
fn pinned_a_lost_state_is_read_again() {
    let (_, _, next) = at_writer(0, Outcome::KvCacheMiss);
    assert!(next.is_some_and(|s| s.0 < 10));
}

/// A cut leaves one writer after the other without a connection. Each dial alone is within its time.
#[test]
fn pinned_dials_that_fail_in_a_row_do_not_keep_a_state_past_its_time() {
    for outcome in [Outcome::Prefilled, Outcome::Reset, Outcome::TimedOut] {
        for class in [0, 1] {
            let many: Vec<Endpoint> = (1..10)
                .map(|i| server(i, 0))
                .chain((11..20).map(|i| server(i, 1)))
                .collect();
            let settings = Settings {
                in_flight_after_last_byte: true,
                max_attempts: 9,
                ..settings()
            };
            let mut rig = Rig::new(settings, &many);
            rig.ask(Request {
                class,
                ..arrival(1, 5, 1_000.0)
            });
            assert_eq!(rig.send_deadline(), Some(0), "nothing is held yet");
            rig.now += 50_000;
            rig.end(1, 0, outcome);
            let (held, mut attempt) = (rig.now, 1);
            while !rig.released() {
                let send_deadline = rig.send_deadline().expect("sent on");
                assert!(
                    send_deadline > rig.now && send_deadline <= held + 300_000,
                    "{outcome:?}: {send_deadline} after {held}"
                );
                rig.now = send_deadline;
                rig.end(1, attempt, Outcome::ConnectFailed);
                attempt += 1;
            }
            assert!((3..6).contains(&attempt), "{outcome:?}: {attempt}");
            assert!(
                rig.now <= held + 250_000,
                "{outcome:?}: {} us leave no time to let go",
                rig.now - held
            );
            // What was let go of is not there any more: it is read again.
            assert!(
                rig.sent().is_some_and(|s| s.0 < 10) && rig.send_deadline() == Some(0),
                "{outcome:?}"
            );
        }
    }
}

/// An attempt that came to its server starts the time anew, and one attempt alone has all that is left.
#[test]
fn pinned_the_time_counts_from_the_last_attempt_that_came() {
    let many: Vec<Endpoint> = (1..3)
        .map(|i| server(i, 0))
        .chain((11..16).map(|i| server(i, 1)))
        .collect();
    let settings = Settings {
        in_flight_after_last_byte: true,
        max_attempts: 4,
        ..settings()
    };
    let mut rig = Rig::new(settings.clone(), &many);
    rig.ask(arrival(1, 5, 1_000.0));
    rig.end(1, 0, Outcome::Prefilled);
    rig.now += 100_000;
    rig.end(1, 1, Outcome::ConnectFailed);
    rig.now += 50_000;
    rig.end(1, 2, Outcome::Rejected);
    assert_eq!(
        rig.send_deadline(),
        Some(rig.now + 210_000),
        "the last attempt"
    );
    assert!(!rig.released());
    // Where an attempt is out from its send, dials take what they take.
    let mut rig = Rig::new(
        Settings {
            in_flight_after_last_byte: false,
            ..settings
        },
        &many,
    );
    rig.ask(arrival(1, 5, 1_000.0));
    rig.end(1, 0, Outcome::Prefilled);
    rig.now += 250_000;
    rig.end(1, 1, Outcome::ConnectFailed);
    rig.now += 250_000;
    assert!(rig
        .end(1, 2, Outcome::ConnectFailed)
        .is_some_and(|s| s.0 > 10));
    assert!(!rig.released() && rig.send_deadline() == Some(0));
}
