//! Tests of decoding node records and their keys.

use super::*;

#[test]
fn record_round_trips_and_error_of_a_rejected_record_names_the_problem() {
    let address = "127.0.0.1:7431".parse().unwrap();
    let node = NodeInfo {
        id: PeerId(0xab),
        incarnation: 7,
        zone: 3,
        address,
    };
    let key = NodeRecord::key(DEFAULT_NODE_PREFIX, node.id);
    assert_eq!(key, "ivyward/nodes/00000000000000ab");
    let json = serde_json::to_string(&NodeRecord::new(&node)).unwrap();
    assert_eq!(
        NodeRecord::read(DEFAULT_NODE_PREFIX, key.as_bytes(), json.as_bytes()),
        Ok(node)
    );
    let rejected = [
        (
            key.as_str(),
            json.replace("7431", "0"),
            "nobody can be reached",
        ),
        (
            key.as_str(),
            json.replace("127.0.0.1:7431", "there"),
            "not IP:PORT",
        ),
        (
            key.as_str(),
            json.replace("\"version\":1", "\"version\":2"),
            "version",
        ),
        (
            key.as_str(),
            json.replace("171", "172"),
            "differs from the id in its key",
        ),
        (key.as_str(), "{".into(), "malformed"),
        (
            key.as_str(),
            format!("{json}{}", " ".repeat(MAX_RECORD_BYTES)),
            "bytes",
        ),
        ("ivyward/nodes/ab", json.clone(), "16 hexadecimal"),
        (
            "ivyward/nodes/00000000000000AB",
            json.clone(),
            "16 hexadecimal",
        ),
        ("elsewhere/00000000000000ab", json.clone(), "16 hexadecimal"),
    ];
    for (key, json, expected) in rejected {
        let error = NodeRecord::read(DEFAULT_NODE_PREFIX, key.as_bytes(), json.as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{json}: {error}");
    }
}
