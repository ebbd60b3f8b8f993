//! Which connections count, and which one is evicted.

use super::*;

/// A connection that was told to close counts until it has closed, also when it receives a request after all: a caller that
/// waits for the last one sees it at every moment.
#[test]
fn a_connection_counts_until_it_has_closed() {
    let table = ConnectionTable::new(4);
    let first = table.admit(1).unwrap();
    let second = table.admit(2).unwrap();
    assert!(!first.close_requested.is_closed());
    table.set_idle(first.id, 3);
    table.close_idle();
    assert!(first.close_requested.is_closed() && second.close_requested.is_closed());
    assert_eq!((table.len(), table.unclosed()), (0, 2));
    // The first one receives a request that crossed the close, and is closed after its response.
    table.set_busy(first.id);
    assert_eq!((table.len(), table.unclosed()), (1, 2));
    table.remove(second.id);
    assert_eq!((table.len(), table.unclosed()), (1, 1));
    table.close_idle();
    assert_eq!(table.len(), 1, "it has a request");
    table.remove(first.id);
    assert_eq!((table.len(), table.unclosed()), (0, 0));
}

/// At the limit new connections are evicted first, then the one idle longest, and none that has a request.
#[test]
fn new_and_longest_idle_connections_are_evicted_first() {
    let table = ConnectionTable::new(3);
    let entries: Vec<_> = (0..3).map(|at| table.admit(at).unwrap()).collect();
    for entry in &entries[..2] {
        table.set_busy(entry.id);
        table.set_idle(entry.id, 20 - entry.id);
    }
    let closed = || {
        let requested = entries
            .iter()
            .map(|entry| entry.close_requested.is_closed());
        requested.collect::<Vec<_>>()
    };
    let third = table.admit(30).unwrap();
    assert_eq!(closed(), [false, false, true], "the new one");
    table.set_busy(third.id);
    let fourth = table.admit(31).unwrap();
    assert_eq!(closed(), [false, true, true], "the one idle longest");
    table.set_busy(fourth.id);
    table.set_busy(entries[0].id);
    assert!(table.admit(32).is_none(), "all have a request");
}
