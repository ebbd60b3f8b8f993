//! Tests of writing and reading snapshot files.

use super::*;

#[test]
fn snapshot_round_trips_and_corrupted_or_unknown_file_is_rejected() {
    let path = std::env::temp_dir().join(format!("ivyward-snapshot-{}", std::process::id()));
    assert!(read(&path).unwrap().is_none());
    let record =
        br#"{"version":1,"id":7,"role":"mixed","address":"127.0.0.1:9000","state":"draining","cell":4}"#;
    let member = registration::read(EndpointId(7), record, 0).unwrap();
    write(&path, &[member]).unwrap();
    assert_eq!(read(&path).unwrap(), Some(vec![member]));
    let complete = std::fs::read(&path).unwrap();
    for cut in [complete.len() - 1, complete.len() / 2, 40] {
        std::fs::write(&path, &complete[..cut]).unwrap();
        assert!(
            matches!(read(&path), Err(SnapshotError::Corrupted(_))),
            "cut at {cut}"
        );
    }
    let mut changed = complete.clone();
    let last = changed.len() - 5;
    changed[last] ^= 1;
    std::fs::write(&path, &changed).unwrap();
    assert!(matches!(read(&path), Err(SnapshotError::Corrupted(_))));
    for unknown in [
        &b""[..],
        b"ivyward-engines 2 0 0\n",
        b"#!/bin/sh\n",
        &[0xff; 300],
    ] {
        std::fs::write(&path, unknown).unwrap();
        assert!(
            matches!(read(&path), Err(SnapshotError::UnknownFormat)),
            "{unknown:?}"
        );
    }
    std::fs::remove_file(&path).unwrap();
}
