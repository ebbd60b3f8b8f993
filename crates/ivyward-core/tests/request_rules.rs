//! Rules for a single request: final answers, retries, drains, cold endpoints, reservations.

mod common;
use common::*;
use ivyward_core::interface::*;

fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint(1, 0),
        endpoint(2, 0),
        endpoint(11, 1),
        endpoint(12, 1),
    ]
}

#[test]
fn an_empty_endpoint_list_rejects_at_once_with_retry_after() {
    let mut harness = Harness::new(settings(), &[]);
    assert_eq!(harness.request(arrival(1, 5, 1_000.0)), None);
    assert!(harness.actions.contains(&Action::Reject {
        request: RequestId(1),
        retry_after: SECOND / 2
    }));
}

#[test]
fn every_request_gets_one_final_answer_when_all_attempts_fail() {
    for outcome in [
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Error,
        Outcome::TimedOut,
    ] {
        let mut harness = Harness::new(settings(), &endpoints());
        harness.request(arrival(1, 5, 1_000.0));
        let (mut answers, mut attempt) = (0, 0);
        while harness.sent().is_some() {
            harness.now += 10_000;
            harness.end_attempt(1, attempt, outcome);
            attempt += 1;
            answers += usize::from(harness.rejected()) + usize::from(harness.failed());
        }
        assert_eq!(answers, 1, "{outcome:?}");
        assert!(attempt <= 4, "{outcome:?}: {attempt} attempts");
    }
}

#[test]
fn an_attempt_timeout_leaves_time_for_another_attempt() {
    let mut harness = Harness::new(settings(), &endpoints());
    harness.request(arrival(1, 5, 1_000.0));
    let timeout = harness.timeout().unwrap();
    assert!(timeout > 0 && timeout < 5 * SECOND, "{timeout}");
}

#[test]
fn after_the_deadline_a_request_fails_and_nothing_is_sent() {
    let mut harness = Harness::new(settings(), &endpoints());
    harness.request(arrival(1, 5, 1_000.0));
    harness.now += 6 * SECOND;
    assert_eq!(harness.end_attempt(1, 0, Outcome::TimedOut), None);
    assert!(harness.failed() || harness.rejected());
}

/// Sends a request of a class to a decode endpoint and ends that attempt with `outcome`. Returns the harness, the decode
/// endpoint, and the endpoint of the next attempt.
fn after_decode_outcome(
    class: usize,
    outcome: Outcome,
) -> (Harness, EndpointId, Option<EndpointId>) {
    let mut far = endpoint(12, 1);
    far.zone = 1;
    let mut harness = Harness::new(
        settings(),
        &[endpoint(1, 0), endpoint(2, 0), endpoint(11, 1), far],
    );
    harness.request(Request {
        class,
        ..arrival(1, 5, 1_000.0)
    });
    let decode = harness.end_attempt(1, 0, Outcome::Prefilled).unwrap();
    harness.now += 100_000;
    let next = harness.end_attempt(1, 1, outcome);
    (harness, decode, next)
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_retry_or_rejection() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let (harness, _, next) = after_decode_outcome(1, outcome);
        assert_eq!(next, None, "{outcome:?}");
        assert!(harness.failed() && !harness.rejected(), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let (_, decode, next) = after_decode_outcome(1, outcome);
        assert!(next.is_some() && next != Some(decode), "{outcome:?}");
    }
}

#[test]
fn a_prefill_may_be_repeated() {
    let mut harness = Harness::new(settings(), &endpoints());
    let prefill = harness
        .request(Request {
            class: 1,
            ..arrival(1, 5, 1_000.0)
        })
        .unwrap();
    let next = harness.end_attempt(1, 0, Outcome::TimedOut);
    assert!(next.is_some() && next != Some(prefill));
}

#[test]
fn a_keyed_request_is_retried_within_its_deduplication_scope_and_window() {
    // There is one decode endpoint per zone, so after a reset only the failed one is in the deduplication scope.
    let (harness, _, next) = after_decode_outcome(2, Outcome::Reset);
    assert_ne!(next, Some(EndpointId(11)));
    assert_ne!(next, Some(EndpointId(12)));
    assert!(
        !harness.rejected(),
        "a retry by the client may reach another zone, so a rejection is not harmless"
    );
}

/// A decode slot was reserved in one zone, then an endpoint in another zone may have run the request. The retry must not
/// use the slot.
#[test]
fn a_keyed_retry_uses_no_slot_reserved_outside_its_scope() {
    let decode_endpoints = [
        endpoint(11, 1),
        Endpoint {
            zone: 1,
            ..endpoint(12, 1)
        },
    ];
    let mut harness = Harness::new(
        Settings {
            reserve_decode_slot: true,
            ..settings()
        },
        &[endpoint(1, 0), decode_endpoints[0], decode_endpoints[1]],
    );
    harness.request(Request {
        class: 2,
        ..arrival(1, 5, 1_000.0)
    });
    let reserved = harness.actions.iter().find_map(|a| match a {
        Action::Reserve { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    let reserved = reserved.expect("a decode slot is requested");
    let entry = decode_endpoints
        .into_iter()
        .find(|endpoint| endpoint.id == reserved)
        .unwrap();
    harness.update_endpoints(
        ListKind::Changes,
        &[Endpoint {
            state: EndpointState::Draining,
            ..entry
        }],
    );
    let ran_at = harness.end_attempt(1, 0, Outcome::Prefilled).unwrap();
    assert_ne!(ran_at, reserved);
    harness.update_endpoints(ListKind::Changes, &[entry]);
    harness.now += 100_000;
    assert_ne!(
        harness.end_attempt(1, 1, Outcome::Reset),
        Some(reserved),
        "the reserved slot is in another zone"
    );
}

/// Another endpoint, in another zone, serves a later turn of the session before the retry. The retry must not follow the
/// session there.
#[test]
fn a_keyed_retry_follows_no_session_out_of_its_scope() {
    // Without prefill endpoints, both turns are prefilled on the endpoint that decodes them.
    let far = Endpoint {
        zone: 1,
        ..endpoint(12, 1)
    };
    let mut harness = Harness::new(settings(), &[endpoint(11, 1), far]);
    let shared = Request {
        prefix_tokens: 7_000.0,
        ..arrival(1, 5, 8_000.0)
    };
    assert_eq!(
        harness.request(Request { class: 2, ..shared }),
        Some(EndpointId(11)),
        "the decode endpoint in this zone"
    );
    // Another turn of the session is served in the other zone.
    harness.update_endpoints(
        ListKind::Changes,
        &[Endpoint {
            state: EndpointState::Draining,
            ..endpoint(11, 1)
        }],
    );
    assert_eq!(
        harness.request(Request {
            id: RequestId(2),
            ..shared
        }),
        Some(EndpointId(12))
    );
    harness.first_token(2, 0);
    harness.end_attempt(2, 0, Outcome::Served);
    assert_ne!(
        harness.end_attempt(1, 0, Outcome::Reset),
        Some(EndpointId(12)),
        "the session's endpoint is in another zone"
    );
}

/// Once a request with an idempotency key may have run, all its attempts stay within the deduplication scope and window,
/// including prefills.
#[test]
fn a_keyed_retry_is_prefilled_within_its_scope_too() {
    let prefill = |id: u64, zone: u8, state| Endpoint {
        zone,
        state,
        ..endpoint(id, 0)
    };
    for zone in [0, 1] {
        // Without prefill endpoints, the first attempt is prefilled on the endpoint that decodes it.
        let mut harness = Harness::new(settings(), &[endpoint(11, 1)]);
        assert_eq!(
            harness.request(Request {
                class: 2,
                ..arrival(1, 5, 1_000.0)
            }),
            Some(EndpointId(11))
        );
        harness.update_endpoints(ListKind::Changes, &[prefill(1, zone, EndpointState::Ready)]);
        let sent = harness.now;
        harness.now += 100_000;
        let next = harness.end_attempt(1, 0, Outcome::Reset);
        assert_eq!(next, (zone == 0).then_some(EndpointId(1)), "zone {zone}");
        if zone == 0 {
            let send_deadline = harness.send_deadline().unwrap();
            assert!(
                send_deadline > harness.now && send_deadline <= sent + 5 * SECOND,
                "{send_deadline}"
            );
        }
    }
}

/// The deduplication window starts with the first attempt that may have run. The last byte of the repeat must be sent
/// within it, because opening a connection may take long.
#[test]
fn a_keyed_retry_is_sent_within_its_deduplication_window() {
    let mut settings = settings();
    settings.classes[2] = ClassSettings {
        deduplication_window: SECOND,
        ..class(Idempotency::WithKey)
    };
    let mut harness = Harness::new(settings, &endpoints());
    harness.request(Request {
        class: 2,
        ..arrival(1, 5, 1_000.0)
    });
    assert!(harness.end_attempt(1, 0, Outcome::Prefilled).is_some());
    let sent = harness.now;
    harness.now += 900_000;
    assert!(
        harness.end_attempt(1, 1, Outcome::Reset).is_some(),
        "repeated within the window"
    );
    let send_deadline = harness.send_deadline().unwrap();
    assert!(
        send_deadline > harness.now && send_deadline <= sent + SECOND,
        "{send_deadline} after {sent}"
    );
    harness.now = sent + SECOND;
    assert_eq!(
        harness.end_attempt(1, 2, Outcome::ConnectFailed),
        None,
        "the window is over"
    );
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_endpoint() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings(), &endpoints());
        let decode = harness.turn(1, 5, 2_000.0);
        harness.update_endpoints(
            ListKind::Changes,
            &[Endpoint {
                state,
                ..endpoint(1, 0)
            }],
        );
        harness.update_endpoints(
            ListKind::Changes,
            &[Endpoint {
                state,
                ..endpoint(decode.0, 1)
            }],
        );
        for id in 2..30 {
            let prefill = harness.request(arrival(id, 5, 2_100.0));
            assert_eq!(prefill, Some(EndpointId(2)), "{state:?}");
            let next = harness.end_attempt(id, 0, Outcome::Prefilled);
            assert!(next.is_some() && next != Some(decode), "{state:?}");
            harness.end_attempt(id, 1, Outcome::Rejected);
        }
    }
}

#[test]
fn an_endpoint_missing_from_a_full_list_is_removed() {
    let mut harness = Harness::new(settings(), &endpoints());
    harness.update_endpoints(ListKind::Full, &[endpoint(2, 0), endpoint(12, 1)]);
    for id in 0..20 {
        assert_eq!(
            harness.request(arrival(id, id, 1_000.0)),
            Some(EndpointId(2))
        );
    }
}

#[test]
fn a_cold_endpoint_gets_its_share_of_the_budget_and_no_more() {
    let mut harness = Harness::new(settings(), &endpoints());
    for id in 0..100 {
        harness.turn(id, 1_000 + id, 1_000.0);
    }
    let cold = Endpoint {
        started_at: harness.now,
        ..endpoint(13, 1)
    };
    harness.update_endpoints(ListKind::Changes, &[cold]);
    // A burst of 60 requests within one window; a decode endpoint usually gets about 3 per window.
    let mut to_cold = 0;
    for id in 200..260 {
        harness.request(arrival(id, 1_000 + id, 1_000.0));
        harness.now += 1_000;
        to_cold +=
            usize::from(harness.end_attempt(id, 0, Outcome::Prefilled) == Some(EndpointId(13)));
    }
    assert!(
        (1..=4).contains(&to_cold),
        "{to_cold} of 60 sent to the cold decode endpoint"
    );
}

#[test]
fn reservations_are_released_when_a_request_ends_without_a_first_token() {
    // The decode endpoint is removed during the prefill, so the KV state cannot be fetched.
    let mut harness = Harness::new(settings(), &[endpoint(1, 0), endpoint(11, 1)]);
    harness.request(arrival(1, 5, 1_000.0));
    harness.update_endpoints(
        ListKind::Changes,
        &[Endpoint {
            state: EndpointState::Removed,
            ..endpoint(11, 1)
        }],
    );
    harness.end_attempt(1, 0, Outcome::Prefilled);
    assert!(harness.rejected() && harness.released());
    // The client disconnects during the prefill: reservations are released then, and again when the prefill ends and
    // leaves KV state.
    let mut harness = Harness::new(settings(), &endpoints());
    harness.request(arrival(1, 5, 1_000.0));
    harness.event(Event::ClientDisconnected(RequestId(1)));
    assert!(harness.released());
    assert_eq!(harness.end_attempt(1, 0, Outcome::Prefilled), None);
    assert!(harness.released() && !harness.rejected() && !harness.failed());
}

#[test]
fn a_lost_kv_state_is_prefilled_again() {
    let (_, _, next) = after_decode_outcome(0, Outcome::KvCacheMiss);
    assert!(next.is_some_and(|s| s.0 < 10));
}

/// Because of a network partition, connections to one decode endpoint after another fail. Each connection attempt is within
/// `release_within`, but all of them together are not.
#[test]
fn consecutive_connect_failures_do_not_keep_kv_state_reserved_too_long() {
    for outcome in [Outcome::Prefilled, Outcome::Reset, Outcome::TimedOut] {
        for class in [0, 1] {
            let endpoints: Vec<Endpoint> = (1..10)
                .map(|i| endpoint(i, 0))
                .chain((11..20).map(|i| endpoint(i, 1)))
                .collect();
            let settings = Settings {
                in_flight_after_last_byte: true,
                max_attempts: 9,
                ..settings()
            };
            let mut harness = Harness::new(settings, &endpoints);
            harness.request(Request {
                class,
                ..arrival(1, 5, 1_000.0)
            });
            assert_eq!(harness.send_deadline(), Some(0), "nothing is reserved yet");
            harness.now += 50_000;
            harness.end_attempt(1, 0, outcome);
            let (reserved_at, mut attempt) = (harness.now, 1);
            while !harness.released() {
                let send_deadline = harness.send_deadline().expect("another attempt is sent");
                assert!(
                    send_deadline > harness.now && send_deadline <= reserved_at + 300_000,
                    "{outcome:?}: {send_deadline} after {reserved_at}"
                );
                harness.now = send_deadline;
                harness.end_attempt(1, attempt, Outcome::ConnectFailed);
                attempt += 1;
            }
            assert!((3..6).contains(&attempt), "{outcome:?}: {attempt}");
            assert!(
                harness.now <= reserved_at + 250_000,
                "{outcome:?}: after {} us there is no time left for the release",
                harness.now - reserved_at
            );
            // The KV state was released, so the prompt is prefilled again.
            assert!(
                harness.sent().is_some_and(|s| s.0 < 10) && harness.send_deadline() == Some(0),
                "{outcome:?}"
            );
        }
    }
}

/// An attempt that reaches its endpoint restarts the reservation time, and the last attempt may use all that is left of it.
#[test]
fn reservation_time_counts_from_the_last_attempt_that_reached_an_endpoint() {
    let endpoints: Vec<Endpoint> = (1..3)
        .map(|i| endpoint(i, 0))
        .chain((11..16).map(|i| endpoint(i, 1)))
        .collect();
    let settings = Settings {
        in_flight_after_last_byte: true,
        max_attempts: 4,
        ..settings()
    };
    let mut harness = Harness::new(settings.clone(), &endpoints);
    harness.request(arrival(1, 5, 1_000.0));
    harness.end_attempt(1, 0, Outcome::Prefilled);
    harness.now += 100_000;
    harness.end_attempt(1, 1, Outcome::ConnectFailed);
    harness.now += 50_000;
    harness.end_attempt(1, 2, Outcome::Rejected);
    assert_eq!(
        harness.send_deadline(),
        Some(harness.now + 210_000),
        "the last attempt"
    );
    assert!(!harness.released());
    // If attempts count as in flight from their send, connecting has no limit.
    let mut harness = Harness::new(
        Settings {
            in_flight_after_last_byte: false,
            ..settings
        },
        &endpoints,
    );
    harness.request(arrival(1, 5, 1_000.0));
    harness.end_attempt(1, 0, Outcome::Prefilled);
    harness.now += 250_000;
    harness.end_attempt(1, 1, Outcome::ConnectFailed);
    harness.now += 250_000;
    assert!(harness
        .end_attempt(1, 2, Outcome::ConnectFailed)
        .is_some_and(|s| s.0 > 10));
    assert!(!harness.released() && harness.send_deadline() == Some(0));
}
