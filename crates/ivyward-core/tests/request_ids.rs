//! Which ids may be used again.

use ivyward_core::request_ids::{RepeatedId, RequestIds};

#[test]
fn an_id_is_free_again_unless_its_request_may_have_run() {
    let mut ids = RequestIds::default();
    assert_eq!(ids.open(1), Ok(()));
    assert_eq!(ids.open(1), Err(RepeatedId::Open));
    assert_eq!(ids.open(2), Ok(()));
    ids.close(1);
    assert_eq!(ids.open(1), Ok(()));
    ids.record_run(1);
    ids.record_run(1);
    ids.close(1);
    assert_eq!(ids.open(1), Err(RepeatedId::MayHaveRun));
}

/// Guards against a table that grows with the ids that clients choose.
#[test]
fn the_oldest_ids_are_forgotten() {
    const MANY: u64 = 100_000;
    const RECENT: u64 = 10_000;
    let mut ids = RequestIds::default();
    for id in 0..MANY {
        assert_eq!(ids.open(id), Ok(()));
        ids.record_run(id);
        ids.close(id);
    }
    assert_eq!(ids.open(0), Ok(()));
    for id in MANY - RECENT..MANY {
        assert_eq!(ids.open(id), Err(RepeatedId::MayHaveRun));
    }
}
