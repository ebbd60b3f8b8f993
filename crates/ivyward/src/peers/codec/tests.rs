//! Tests of the datagram format: lengths, authentication and validation.

use super::*;
use ivyward_runtime::MAX_DATAGRAM_BYTES;

fn node(address: &str) -> NodeInfo {
    NodeInfo {
        id: PeerId(u64::MAX),
        incarnation: u64::MAX,
        zone: 255,
        address: address.parse().unwrap(),
    }
}
fn update(address: &str) -> Update {
    // Large values, so that their protobuf encoding is long: a heartbeat of 2^42 and ages of an hour.
    let state = ReportedState::Suspected {
        unanswered_for: 3_600_000_000,
    };
    Update {
        node: node(address),
        heartbeat: 1 << 42,
        age: 3_600_000_000,
        state,
    }
}
const LONG_ADDRESS: &str = "[2001:db8::1]:65535";

#[test]
fn longest_messages_fit_a_datagram_and_round_trip() {
    let codec = DatagramCodec::new(Some("a key of sixteen bytes or more"));
    let page_updates = MAX_UPDATES - 4;
    let page = |n: usize| MessageBody::ViewPage {
        updates: vec![update(LONG_ADDRESS); n],
        next: Some(PeerId(1)),
        last: true,
        sender_complete: true,
    };
    let bodies = [
        (page(page_updates), 4),
        (
            MessageBody::PingRequest {
                seq: u64::MAX,
                to: node(LONG_ADDRESS),
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
    for (body, updates) in bodies {
        let message = Message {
            view_digest: 0,
            from: node(LONG_ADDRESS),
            heartbeat: 1 << 42,
            body,
            updates: vec![update(LONG_ADDRESS); updates],
        };
        let bytes = codec.encode(&message);
        assert!(
            bytes.len() <= MAX_DATAGRAM_BYTES,
            "{}: {message:?}",
            bytes.len()
        );
        assert_eq!(codec.decode(&bytes, message.from.address), Ok(message));
    }
}

#[test]
fn altered_truncated_or_differently_keyed_datagram_is_rejected() {
    let address = "127.0.0.1:7000";
    let (codec, other) = (
        DatagramCodec::new(Some("a key of sixteen bytes or more")),
        DatagramCodec::new(Some("the key of another deployment")),
    );
    let message = Message {
        view_digest: 0,
        from: node(address),
        heartbeat: 7,
        body: MessageBody::Ping { seq: 1 },
        updates: vec![update(address)],
    };
    let bytes = codec.encode(&message);
    let source = message.from.address;
    assert_eq!(
        other.decode(&bytes, source),
        Err(DecodeError::Authentication)
    );
    assert_eq!(
        DatagramCodec::new(None).decode(&bytes, source),
        Err(DecodeError::Authentication)
    );
    for at in 0..bytes.len() {
        assert!(
            codec.decode(&bytes[..at], source).is_err(),
            "truncated at {at}"
        );
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(codec.decode(&changed, source).is_err(), "bit {bit} of {at}");
        }
    }
}

#[test]
fn without_a_key_non_loopback_addresses_are_rejected() {
    let (loopback, remote) = ("127.0.0.1:7000", "192.0.2.1:7000");
    let codec = DatagramCodec::new(None);
    let local: SocketAddr = loopback.parse().unwrap();
    let ping = MessageBody::Ping { seq: 1 };
    let message = |from: &str, body, updates| Message {
        view_digest: 0,
        from: node(from),
        heartbeat: 7,
        body,
        updates,
    };
    let accepted = message(loopback, ping.clone(), vec![update(loopback)]);
    assert_eq!(
        codec.decode(&codec.encode(&accepted), local),
        Ok(accepted.clone())
    );
    assert!(matches!(
        codec.decode(&codec.encode(&accepted), remote.parse().unwrap()),
        Err(DecodeError::NonLoopback(_))
    ));
    let page = MessageBody::ViewPage {
        updates: vec![update(remote)],
        next: None,
        last: false,
        sender_complete: false,
    };
    let rejected_messages = [
        message(remote, ping.clone(), vec![]),
        message(loopback, ping, vec![update(remote)]),
        message(
            loopback,
            MessageBody::PingRequest {
                seq: 1,
                to: node(remote),
            },
            vec![],
        ),
        message(loopback, page, vec![]),
    ];
    for rejected in rejected_messages {
        assert!(
            matches!(
                codec.decode(&codec.encode(&rejected), local),
                Err(DecodeError::NonLoopback(_))
            ),
            "{rejected:?}"
        );
    }
}

#[test]
fn unreachable_addresses_and_unknown_states_are_rejected() {
    let codec = DatagramCodec::new(Some("a key of sixteen bytes or more"));
    let local: SocketAddr = "127.0.0.1:7000".parse().unwrap();
    let valid = Message {
        view_digest: 0,
        from: node("127.0.0.1:7000"),
        heartbeat: 1,
        body: MessageBody::Leave,
        updates: vec![],
    };
    let authenticated = |message: pb::Message| {
        let body = message.encode_to_vec();
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(blake3::keyed_hash(&codec.key, &body).as_bytes());
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
    assert!(codec
        .decode(&authenticated(encode_message(&valid)), local)
        .is_ok());
    for change in changes {
        let mut message = encode_message(&valid);
        change(&mut message);
        assert!(matches!(
            codec.decode(&authenticated(message), local),
            Err(DecodeError::Malformed(_))
        ));
    }
    let too_many = Message {
        updates: vec![update("127.0.0.1:7000"); MAX_UPDATES + 1],
        ..valid
    };
    assert!(matches!(
        codec.decode(&codec.encode(&too_many), local),
        Err(DecodeError::Malformed(_))
    ));
}
