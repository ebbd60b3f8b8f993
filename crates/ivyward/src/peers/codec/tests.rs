//! Tests of the parts of `wire` that nobody outside sees.

use super::*;
use ivyward_runtime::MOST_DATAGRAM;

fn card(address: &str) -> NodeInfo {
    NodeInfo {
        id: PeerId(u64::MAX),
        incarnation: u64::MAX,
        zone: 255,
        address: address.parse().unwrap(),
    }
}
fn claim(address: &str) -> Update {
    // A beat of centuries, evidence of an hour.
    let about = ReportedState::Suspected {
        unanswered_for: 3_600_000_000,
    };
    Update {
        node: card(address),
        heartbeat: 1 << 42,
        age: 3_600_000_000,
        state: about,
    }
}
const FAR: &str = "[2001:db8::1]:65535";

#[test]
fn longest_messages_fit_a_datagram_and_round_trip() {
    let seal = Seal::new(Some("a key of the owner"));
    let taken = MAX_UPDATES - 4;
    let page = |n: usize| MessageBody::ViewPage {
        updates: vec![claim(FAR); n],
        next: Some(PeerId(1)),
        last: true,
        sender_complete: true,
    };
    let bodies = [
        (page(taken), 4),
        (
            MessageBody::PingRequest {
                seq: u64::MAX,
                to: card(FAR),
            },
            MAX_UPDATES,
        ),
        (
            MessageBody::ViewRequest {
                after: Some(PeerId(u64::MAX)),
                complete: true,
            },
            MAX_UPDATES,
        ),
        (
            MessageBody::Ack {
                seq: u64::MAX,
                of: PeerId(u64::MAX),
            },
            MAX_UPDATES,
        ),
        (MessageBody::Ping { seq: 0 }, 0),
        (MessageBody::Nack { seq: 3 }, 1),
        (MessageBody::Leave, 2),
        (MessageBody::Updates, MAX_UPDATES),
    ];
    for (body, claims) in bodies {
        let message = Message {
            view_digest: 0,
            from: card(FAR),
            heartbeat: 1 << 42,
            body,
            updates: vec![claim(FAR); claims],
        };
        let bytes = seal.close(&message);
        assert!(bytes.len() <= MOST_DATAGRAM, "{}: {message:?}", bytes.len());
        assert_eq!(seal.open(&bytes, message.from.address), Ok(message));
    }
}

#[test]
fn altered_truncated_or_differently_keyed_datagram_is_rejected() {
    let here = "127.0.0.1:7000";
    let (seal, other) = (
        Seal::new(Some("a key of the owner")),
        Seal::new(Some("another of somebody")),
    );
    let message = Message {
        view_digest: 0,
        from: card(here),
        heartbeat: 7,
        body: MessageBody::Ping { seq: 1 },
        updates: vec![claim(here)],
    };
    let bytes = seal.close(&message);
    let source = message.from.address;
    assert_eq!(other.open(&bytes, source), Err(DecodeError::Seal));
    assert_eq!(Seal::new(None).open(&bytes, source), Err(DecodeError::Seal));
    for at in 0..bytes.len() {
        assert!(seal.open(&bytes[..at], source).is_err(), "cut off at {at}");
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(seal.open(&changed, source).is_err(), "bit {bit} of {at}");
        }
    }
}

#[test]
fn without_a_key_non_loopback_addresses_are_rejected() {
    let (here, far) = ("127.0.0.1:7000", "192.0.2.1:7000");
    let seal = Seal::new(None);
    let local: SocketAddr = here.parse().unwrap();
    let ping = MessageBody::Ping { seq: 1 };
    let of = |from: &str, body, claims| Message {
        view_digest: 0,
        from: card(from),
        heartbeat: 7,
        body,
        updates: claims,
    };
    let good = of(here, ping.clone(), vec![claim(here)]);
    assert_eq!(seal.open(&seal.close(&good), local), Ok(good.clone()));
    assert!(matches!(
        seal.open(&seal.close(&good), far.parse().unwrap()),
        Err(DecodeError::Foreign(_))
    ));
    let page = MessageBody::ViewPage {
        updates: vec![claim(far)],
        next: None,
        last: false,
        sender_complete: false,
    };
    let bad = [
        of(far, ping.clone(), vec![]),
        of(here, ping, vec![claim(far)]),
        of(
            here,
            MessageBody::PingRequest {
                seq: 1,
                to: card(far),
            },
            vec![],
        ),
        of(here, page, vec![]),
    ];
    for message in bad {
        assert!(
            matches!(
                seal.open(&seal.close(&message), local),
                Err(DecodeError::Foreign(_))
            ),
            "{message:?}"
        );
    }
}

#[test]
fn unreachable_addresses_and_unknown_states_are_rejected() {
    let seal = Seal::new(Some("a key of the owner"));
    let local: SocketAddr = "127.0.0.1:7000".parse().unwrap();
    let good = Message {
        view_digest: 0,
        from: card("127.0.0.1:7000"),
        heartbeat: 1,
        body: MessageBody::Leave,
        updates: vec![],
    };
    let sealed = |message: pb::Message| {
        let body = message.encode_to_vec();
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(blake3::keyed_hash(&seal.key, &body).as_bytes());
        bytes.extend(body);
        bytes
    };
    let changes: [fn(&mut pb::Message); 6] = [
        |m| m.body = None,
        |m| m.from = None,
        |m| m.from.as_mut().unwrap().address = vec![0, 0, 0, 0, 1, 1],
        |m| m.from.as_mut().unwrap().address = vec![127, 0, 0, 1, 0, 0],
        |m| m.from.as_mut().unwrap().address = vec![1],
        |m| m.from.as_mut().unwrap().zone = 256,
    ];
    assert!(seal.open(&sealed(encode_message(&good)), local).is_ok());
    for change in changes {
        let mut message = encode_message(&good);
        change(&mut message);
        assert!(matches!(
            seal.open(&sealed(message), local),
            Err(DecodeError::Malformed(_))
        ));
    }
    let many = Message {
        updates: vec![claim("127.0.0.1:7000"); MAX_UPDATES + 1],
        ..good
    };
    assert!(matches!(
        seal.open(&seal.close(&many), local),
        Err(DecodeError::Malformed(_))
    ));
}
