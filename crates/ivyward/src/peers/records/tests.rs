//! Tests of the parts of `records` that nobody outside sees.

use super::*;

#[test]
fn record_round_trips_and_bad_record_error_names_the_problem() {
    let address = "127.0.0.1:7431".parse().unwrap();
    let card = NodeInfo {
        id: PeerId(0xab),
        incarnation: 7,
        zone: 3,
        address,
    };
    let key = NodeRecord::key(DEFAULT_NODE_PREFIX, card.id);
    assert_eq!(key, "ivyward/nodes/00000000000000ab");
    let text = serde_json::to_string(&NodeRecord::of(&card)).unwrap();
    assert_eq!(
        NodeRecord::read(DEFAULT_NODE_PREFIX, key.as_bytes(), text.as_bytes()),
        Ok(card)
    );
    let bad = [
        (
            key.as_str(),
            text.replace("7431", "0"),
            "nobody can be reached",
        ),
        (
            key.as_str(),
            text.replace("127.0.0.1:7431", "there"),
            "not IP:PORT",
        ),
        (
            key.as_str(),
            text.replace("\"version\":1", "\"version\":2"),
            "version",
        ),
        (
            key.as_str(),
            text.replace("171", "172"),
            "not of its key's node",
        ),
        (key.as_str(), "{".into(), "malformed"),
        (
            key.as_str(),
            format!("{text}{}", " ".repeat(MAX_RECORD)),
            "bytes",
        ),
        ("ivyward/nodes/ab", text.clone(), "16 hexadecimal"),
        (
            "ivyward/nodes/00000000000000AB",
            text.clone(),
            "16 hexadecimal",
        ),
        ("elsewhere/00000000000000ab", text.clone(), "16 hexadecimal"),
    ];
    for (key, text, what) in bad {
        let problem = NodeRecord::read(DEFAULT_NODE_PREFIX, key.as_bytes(), text.as_bytes())
            .unwrap_err()
            .to_string();
        assert!(problem.contains(what), "{text}: {problem}");
    }
}
