//! Tests of the parts of `mod` that nobody outside sees.

use super::*;

#[test]
fn every_event_and_action_comes_back_as_it_was() {
    let (request, server) = (RequestId(7), EndpointId(u64::MAX));
    let report = core::LoadReport {
        len: 2,
        values: [0.5, 3.0, 0.0, 0.0],
    };
    let entry = core::Endpoint {
        id: server,
        machine_type: 2,
        rack: 9,
        weight: 1.5,
        started_at: 4,
        ..Default::default()
    };
    let arrival = core::Request {
        id: request,
        session: 1,
        hinted_output: Some(9.0),
        ..Default::default()
    };
    let ended = Event::AttemptEnded {
        request,
        attempt: 3,
        outcome: core::Outcome::KvCacheMiss,
        cached_tokens: 5,
        finished: true,
        report,
    };
    let events = [
        Event::EndpointList {
            kind: core::ListKind::Cached,
            endpoints: vec![entry],
        },
        Event::Request(arrival),
        Event::FirstToken {
            request,
            attempt: 1,
        },
        Event::ReservationResult {
            request,
            endpoint: server,
            reserved: true,
        },
        ended,
        Event::ClientDisconnected(request),
        Event::Timer(1 << 63),
        Event::HealthCheckResult {
            endpoint: server,
            alive: false,
            report,
        },
        Event::ReplicaCount(300),
    ];
    for event in events {
        assert_eq!(event_in(event_out(&event)), Ok(event));
    }
    let actions = [
        Action::Send {
            request,
            endpoint: server,
            timeout: 5,
            send_deadline: 8,
        },
        Action::Cancel {
            request,
            attempt: 2,
        },
        Action::Reject {
            request,
            retry_after: 6,
        },
        Action::Fail(request),
        Action::ReleaseReservation(request),
        Action::Reserve {
            request,
            endpoint: server,
        },
        Action::SetTimer { at: 8, token: 1 },
        Action::HealthCheck(server),
        Action::Subscribe,
        Action::Log("doubted".into()),
    ];
    for action in actions {
        assert_eq!(action_in(action_out(&action)), Ok(action));
    }
}
