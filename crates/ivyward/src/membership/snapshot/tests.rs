//! Tests of the parts of `snapshot` that nobody outside sees.

use super::*;

#[test]
fn snapshot_round_trips_and_corrupted_or_foreign_file_is_rejected() {
    let path = std::env::temp_dir().join(format!("ivyward-snapshot-{}", std::process::id()));
    assert!(read(&path).unwrap().is_none());
    let text =
        br#"{"version":1,"id":7,"role":"mixed","address":"127.0.0.1:9000","state":"draining","cell":4}"#;
    let member = registration::read(EndpointId(7), text, 0).unwrap();
    write(&path, &[member]).unwrap();
    assert_eq!(read(&path).unwrap(), Some(vec![member]));
    let whole = std::fs::read(&path).unwrap();
    for cut in [whole.len() - 1, whole.len() / 2, 40] {
        std::fs::write(&path, &whole[..cut]).unwrap();
        assert!(
            matches!(read(&path), Err(SnapshotError::Torn(_))),
            "cut at {cut}"
        );
    }
    let mut changed = whole.clone();
    let last = changed.len() - 5;
    changed[last] ^= 1;
    std::fs::write(&path, &changed).unwrap();
    assert!(matches!(read(&path), Err(SnapshotError::Torn(_))));
    for foreign in [
        &b""[..],
        b"ivyward-engines 2 0 0\n",
        b"#!/bin/sh\n",
        &[0xff; 300],
    ] {
        std::fs::write(&path, foreign).unwrap();
        assert!(
            matches!(read(&path), Err(SnapshotError::Foreign)),
            "{foreign:?}"
        );
    }
    std::fs::remove_file(&path).unwrap();
}
