//! How lists are read.

use super::*;
use ivyward_sim::{Net, Sim};

/// Every machine reads one clock, so an engine that started just before this node is cold to it, and one of long ago
/// is not.
#[test]
fn starts_are_told_on_this_nodes_clock() {
    let world = Sim::new(1, Net::default()).host(1).world();
    let (zones, kinds) = (vec!["a".to_owned()], vec!["m1".to_owned(), "m2".to_owned()]);
    let mut reader = Reader::new(Told { zones, kinds, ..Told::default() }, &world);
    let unix_ms = world.unix_micros() / 1_000;
    let entry = |id: &str, started: u64| serde_json::json!({"id": id, "addr": "10.0.0.1:80", "zone": "a", "kind": "m2", "state": "up", "started_ms": started});
    let servers = vec![entry("s-1", unix_ms - 500), entry("s-2", 0), entry("s-3", unix_ms - 86_400_000)];
    let engines = reader.read(&List { version: 1, full: true, servers });
    let started: Vec<Micros> = engines.iter().map(|e| e.entry.started).collect();
    assert_eq!(started[0], world.now() - 500_000);
    assert_eq!(started[1], 0, "long ago");
    assert_eq!(started[2], 1, "before the clock's begin");
    // What is removed needs no more than its id.
    let servers =
        vec![serde_json::json!({"id": "s-1", "state": "removed"}), serde_json::json!({"id": "s-7"})];
    let engines = reader.read(&List { version: 2, full: false, servers });
    assert_eq!(engines.len(), 1);
    assert_eq!((engines[0].entry.condition, engines[0].entry.kind), (Condition::Gone, 1));
}
