//! Which connections count, and which one goes.

use super::*;

/// A connection that was told to close counts until it has closed, also when it brings a request after all: whoever waits
/// for the last one sees it at every moment.
#[test]
fn a_connection_counts_until_it_has_closed() {
    let table = ConnectionTable::new(4);
    let (first, told_first) = table.admit(1).unwrap();
    let (second, told_second) = table.admit(2).unwrap();
    assert!(!told_first.is_closed());
    table.set_idle(first, 3);
    table.close_idle();
    assert!(told_first.is_closed() && told_second.is_closed());
    assert_eq!((table.len(), table.unclosed()), (0, 2));
    // The first one brings a request that crossed the word, and is told again when that is answered.
    table.set_busy(first);
    assert_eq!((table.len(), table.unclosed()), (1, 2));
    table.remove(second);
    assert_eq!((table.len(), table.unclosed()), (1, 1));
    table.close_idle();
    assert_eq!(table.len(), 1, "it has a request");
    table.remove(first);
    assert_eq!((table.len(), table.unclosed()), (0, 0));
}

/// At the bound the new ones go first, then the one idle longest, and none that has a request.
#[test]
fn room_is_made_by_those_that_are_missed_least() {
    let table = ConnectionTable::new(3);
    let conns: Vec<_> = (0..3).map(|at| table.admit(at).unwrap()).collect();
    for (id, _) in &conns[..2] {
        table.set_busy(*id);
        table.set_idle(*id, 20 - id);
    }
    let closed = || conns.iter().map(|c| c.1.is_closed()).collect::<Vec<_>>();
    let (third, _stays) = table.admit(30).unwrap();
    assert_eq!(closed(), [false, false, true], "the one that never asked");
    table.set_busy(third);
    let (fourth, _stays) = table.admit(31).unwrap();
    assert_eq!(closed(), [false, true, true], "the one idle longest");
    table.set_busy(fourth);
    table.set_busy(conns[0].0);
    assert!(table.admit(32).is_none(), "all have a request");
}
