//! Tests of decoding registration records and their keys.

use super::*;

fn record_json(more_fields: &str) -> String {
    format!(
        r#"{{"version":1,"id":7,"role":"decode","address":"127.0.0.1:9000","state":"ready"{more_fields}}}"#
    )
}

#[test]
fn record_is_read_and_unknown_fields_are_ignored() {
    let member = read(
        EndpointId(7),
        record_json(r#","cell":3,"colour":"red","started_ms":5"#).as_bytes(),
        9,
    )
    .unwrap();
    assert_eq!(
        (
            member.endpoint.machine_type,
            member.endpoint.rack,
            member.endpoint.started_at,
            member.revision
        ),
        (1, 3, 5_000, 9)
    );
    assert!(schema().contains("started_ms"));
}

#[test]
fn error_of_a_rejected_record_names_the_problem() {
    let rejected = [
        (record_json(r#","weight":0"#), "weight"),
        (record_json(r#","weight":"heavy""#), "malformed"),
        (record_json("").replace(":1,", ":2,"), "version"),
        (
            record_json("").replace(":7", ":8"),
            "id 8 below the key of 7",
        ),
        (
            record_json("").replace("127.0.0.1:9000", "somewhere"),
            "not IP:PORT",
        ),
        (
            record_json("").replace("127.0.0.1:9000", "0.0.0.0:9000"),
            "nobody can be reached",
        ),
        (record_json("").replace("ready", "asleep"), "malformed"),
        ("{".into(), "malformed"),
        (
            format!("{}{}", record_json(""), " ".repeat(MAX_RECORD_BYTES)),
            "bytes",
        ),
    ];
    for (json, expected) in rejected {
        let error = read(EndpointId(7), json.as_bytes(), 1)
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{json}: {error}");
    }
    assert_eq!(key_id(b"e/", b"e/7"), Some(EndpointId(7)));
    for key in ["e/07", "e/+7", "e/x", "e/", "f/7", "e/7/8"] {
        assert_eq!(key_id(b"e/", key.as_bytes()), None, "{key}");
    }
}
