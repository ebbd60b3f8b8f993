//! Tests of the parts of `mod` that nobody outside sees.

use super::*;

#[test]
fn every_event_and_action_comes_back_as_it_was() {
    let (request, server) = (RequestId(7), ServerId(u64::MAX));
    let report = core::Report {
        len: 2,
        values: [0.5, 3.0, 0.0, 0.0],
    };
    let entry = core::ServerEntry {
        id: server,
        kind: 2,
        cell: 9,
        weight: 1.5,
        started: 4,
        ..Default::default()
    };
    let arrival = core::Arrival {
        id: request,
        session: 1,
        hinted_output: Some(9.0),
        ..Default::default()
    };
    let ended = Event::AttemptEnded {
        request,
        attempt: 3,
        outcome: core::Outcome::StateLost,
        kept_tokens: 5,
        finished: true,
        report,
    };
    let events = [
        Event::Fleet {
            kind: core::ListKind::Cached,
            entries: vec![entry],
        },
        Event::Request(arrival),
        Event::FirstToken {
            request,
            attempt: 1,
        },
        Event::PlaceAnswer {
            request,
            server,
            held: true,
        },
        ended,
        Event::ClientGone(request),
        Event::Timer(1 << 63),
        Event::Probed {
            server,
            alive: false,
            report,
        },
        Event::Nodes(300),
    ];
    for event in events {
        assert_eq!(event_in(event_out(&event)), Ok(event));
    }
    let actions = [
        Action::Send {
            request,
            server,
            timeout: 5,
            leave_by: 8,
        },
        Action::Cancel {
            request,
            attempt: 2,
        },
        Action::Refuse {
            request,
            retry_after: 6,
        },
        Action::Fail(request),
        Action::Release(request),
        Action::HoldAhead { request, server },
        Action::SetTimer { at: 8, token: 1 },
        Action::Probe(server),
        Action::Subscribe,
        Action::Log("doubted".into()),
    ];
    for action in actions {
        assert_eq!(action_in(action_out(&action)), Ok(action));
    }
}
