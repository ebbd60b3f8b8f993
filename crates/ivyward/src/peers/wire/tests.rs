//! Tests of the parts of `wire` that nobody outside sees.

use super::*;
use ivyward_runtime::MOST_DATAGRAM;

fn card(address: &str) -> Card {
    Card {
        id: PeerId(u64::MAX),
        start: u64::MAX,
        zone: 255,
        address: address.parse().unwrap(),
    }
}
fn claim(address: &str) -> Claim {
    // A beat of centuries, evidence of an hour.
    let about = About::Silent {
        since: 3_600_000_000,
    };
    Claim {
        card: card(address),
        beat: 1 << 42,
        ago: 3_600_000_000,
        about,
    }
}
const FAR: &str = "[2001:db8::1]:65535";

#[test]
fn the_longest_messages_fit_a_datagram_and_come_back_as_they_were() {
    let seal = Seal::new(Some("a key of the owner"));
    let taken = MOST_CLAIMS - 4;
    let page = |n: usize| Body::Page {
        claims: vec![claim(FAR); n],
        next: Some(PeerId(1)),
        last: true,
        sure: true,
    };
    let bodies = [
        (page(taken), 4),
        (
            Body::Relay {
                seq: u64::MAX,
                to: card(FAR),
            },
            MOST_CLAIMS,
        ),
        (
            Body::Ask {
                after: Some(PeerId(u64::MAX)),
                whole: true,
            },
            MOST_CLAIMS,
        ),
        (
            Body::Ack {
                seq: u64::MAX,
                of: PeerId(u64::MAX),
            },
            MOST_CLAIMS,
        ),
        (Body::Ping { seq: 0 }, 0),
        (Body::Nack { seq: 3 }, 1),
        (Body::Leave, 2),
        (Body::Gossip, MOST_CLAIMS),
    ];
    for (body, claims) in bodies {
        let message = Message {
            view: 0,
            from: card(FAR),
            beat: 1 << 42,
            body,
            claims: vec![claim(FAR); claims],
        };
        let bytes = seal.close(&message);
        assert!(bytes.len() <= MOST_DATAGRAM, "{}: {message:?}", bytes.len());
        assert_eq!(seal.open(&bytes, message.from.address), Ok(message));
    }
}

#[test]
fn what_was_changed_cut_off_or_sealed_otherwise_is_not_read() {
    let here = "127.0.0.1:7000";
    let (seal, other) = (
        Seal::new(Some("a key of the owner")),
        Seal::new(Some("another of somebody")),
    );
    let message = Message {
        view: 0,
        from: card(here),
        beat: 7,
        body: Body::Ping { seq: 1 },
        claims: vec![claim(here)],
    };
    let bytes = seal.close(&message);
    let source = message.from.address;
    assert_eq!(other.open(&bytes, source), Err(Unread::Seal));
    assert_eq!(Seal::new(None).open(&bytes, source), Err(Unread::Seal));
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
fn without_a_key_nothing_beyond_this_machine_is_taken() {
    let (here, far) = ("127.0.0.1:7000", "192.0.2.1:7000");
    let seal = Seal::new(None);
    let local: SocketAddr = here.parse().unwrap();
    let ping = Body::Ping { seq: 1 };
    let of = |from: &str, body, claims| Message {
        view: 0,
        from: card(from),
        beat: 7,
        body,
        claims,
    };
    let good = of(here, ping.clone(), vec![claim(here)]);
    assert_eq!(seal.open(&seal.close(&good), local), Ok(good.clone()));
    assert!(matches!(
        seal.open(&seal.close(&good), far.parse().unwrap()),
        Err(Unread::Foreign(_))
    ));
    let page = Body::Page {
        claims: vec![claim(far)],
        next: None,
        last: false,
        sure: false,
    };
    let bad = [
        of(far, ping.clone(), vec![]),
        of(here, ping, vec![claim(far)]),
        of(
            here,
            Body::Relay {
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
                Err(Unread::Foreign(_))
            ),
            "{message:?}"
        );
    }
}

#[test]
fn addresses_that_nobody_has_and_unknown_kinds_are_refused() {
    let seal = Seal::new(Some("a key of the owner"));
    let local: SocketAddr = "127.0.0.1:7000".parse().unwrap();
    let good = Message {
        view: 0,
        from: card("127.0.0.1:7000"),
        beat: 1,
        body: Body::Leave,
        claims: vec![],
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
    assert!(seal.open(&sealed(message_out(&good)), local).is_ok());
    for change in changes {
        let mut message = message_out(&good);
        change(&mut message);
        assert!(matches!(
            seal.open(&sealed(message), local),
            Err(Unread::Malformed(_))
        ));
    }
    let many = Message {
        claims: vec![claim("127.0.0.1:7000"); MOST_CLAIMS + 1],
        ..good
    };
    assert!(matches!(
        seal.open(&seal.close(&many), local),
        Err(Unread::Malformed(_))
    ));
}
