//! Counting of connections, and the choice of the connection to evict.

use super::*;

/// A connection that was requested to close counts as unclosed until it has closed, even if it receives a request in between.
/// A shutdown that waits for the last connection would otherwise end too early.
#[test]
fn a_closing_connection_counts_as_unclosed_until_it_has_closed() {
    let table = ConnectionTable::new(4);
    let first = table.admit(1).unwrap();
    let second = table.admit(2).unwrap();
    assert!(!first.close_requested.is_closed());
    table.set_idle(first.id, 3);
    table.close_idle();
    assert!(first.close_requested.is_closed() && second.close_requested.is_closed());
    assert_eq!((table.len(), table.unclosed()), (0, 2));
    // The first connection receives a request that was sent before its client noticed the close, and closes after the
    // response.
    table.set_busy(first.id);
    assert_eq!((table.len(), table.unclosed()), (1, 2));
    table.remove(second.id);
    assert_eq!((table.len(), table.unclosed()), (1, 1));
    table.close_idle();
    assert_eq!(table.len(), 1, "a busy connection was closed");
    table.remove(first.id);
    assert_eq!((table.len(), table.unclosed()), (0, 0));
}

/// At the limit new connections are evicted first, then the one that was idle longest. Busy connections are never evicted.
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
    assert_eq!(closed(), [false, false, true], "the new connection");
    table.set_busy(third.id);
    let fourth = table.admit(31).unwrap();
    assert_eq!(closed(), [false, true, true], "the connection idle longest");
    table.set_busy(fourth.id);
    table.set_busy(entries[0].id);
    assert!(table.admit(32).is_none(), "all connections are busy");
}
