//! Tests of the parts of `registration` that nobody outside sees.

use super::*;

fn text(more: &str) -> String {
    format!(
        r#"{{"version":1,"id":7,"role":"decode","address":"127.0.0.1:9000","state":"ready"{more}}}"#
    )
}

#[test]
fn record_is_read_and_unknown_fields_are_ignored() {
    let member = read(
        EndpointId(7),
        text(r#","cell":3,"colour":"red","started_ms":5"#).as_bytes(),
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
fn bad_record_error_names_the_problem() {
    let bad = [
        (text(r#","weight":0"#), "weight"),
        (text(r#","weight":"heavy""#), "malformed"),
        (text("").replace(":1,", ":2,"), "version"),
        (text("").replace(":7", ":8"), "id 8 below the key of 7"),
        (
            text("").replace("127.0.0.1:9000", "somewhere"),
            "not IP:PORT",
        ),
        (
            text("").replace("127.0.0.1:9000", "0.0.0.0:9000"),
            "nobody can be reached",
        ),
        (text("").replace("ready", "asleep"), "malformed"),
        ("{".into(), "malformed"),
        (
            format!("{}{}", text(""), " ".repeat(MAX_RECORD_BYTES)),
            "bytes",
        ),
    ];
    for (text, what) in bad {
        let problem = read(EndpointId(7), text.as_bytes(), 1)
            .unwrap_err()
            .to_string();
        assert!(problem.contains(what), "{text}: {problem}");
    }
    assert_eq!(key_id(b"e/", b"e/7"), Some(EndpointId(7)));
    for key in ["e/07", "e/+7", "e/x", "e/", "f/7", "e/7/8"] {
        assert_eq!(key_id(b"e/", key.as_bytes()), None, "{key}");
    }
}
