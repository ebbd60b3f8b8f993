//! Parsing of lists.

use super::*;
use ivyward_sim::{NetworkConfig, Sim};
use proptest::prelude::*;
use serde_json::{json, Value};

fn reader() -> (ListReader, RuntimeRef) {
    let runtime = Sim::new(1, NetworkConfig::default()).host(1).runtime();
    let (zones, kinds) = (vec!["a".to_owned()], vec!["m1".to_owned(), "m2".to_owned()]);
    (
        ListReader::new(
            NamedSettings {
                zones,
                machine_types: kinds,
                ..NamedSettings::default()
            },
            &runtime,
        ),
        runtime,
    )
}

fn entry(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "10.0.0.1:80", "zone": "a", "kind": "m2", "state": state})
}

/// The ids and states of the engines in a list with these entries, in its order.
fn read_states(
    reader: &mut ListReader,
    full: bool,
    servers: Vec<Value>,
) -> Vec<(EndpointId, EndpointState)> {
    let engines = reader.read(&List {
        version: 1,
        full,
        servers,
    });
    engines
        .iter()
        .map(|e| (e.endpoint.id, e.endpoint.state))
        .collect()
}

/// A malformed entry of a full list does not remove its engine; that it drains or is removed counts all the same.
#[test]
fn a_malformed_entry_leaves_its_engine_unchanged() {
    let malformed = |field: &str, value: Value, state: &str| {
        let mut entry = entry("s-1", state);
        entry[field] = value;
        entry
    };
    let fields = [
        ("addr", json!("nowhere")),
        ("addr", json!(7)),
        ("zone", json!("z")),
        ("kind", json!({})),
        ("weight", json!(-1)),
        ("weight", json!("x")),
        ("cell", json!(1e9)),
        ("started_ms", json!("soon")),
    ];
    for (field, value) in fields {
        for full in [true, false] {
            let (mut reader, _) = reader();
            let one = endpoint_id("s-1");
            assert_eq!(
                read_states(
                    &mut reader,
                    true,
                    vec![malformed(field, value.clone(), "up")]
                ),
                []
            );
            read_states(&mut reader, true, vec![entry("s-1", "up")]);
            let mut read = |state| {
                read_states(
                    &mut reader,
                    full,
                    vec![malformed(field, value.clone(), state)],
                )
            };
            assert_eq!(read("up"), [(one, EndpointState::Ready)], "{field} {value}");
            assert_eq!(
                read("sleeping"),
                [(one, EndpointState::Ready)],
                "{field} {value}"
            );
            assert_eq!(
                read("draining"),
                [(one, EndpointState::Draining)],
                "{field} {value}"
            );
            // It may be up again, or not: that entry cannot be trusted to send something there.
            assert_eq!(
                read("up"),
                [(one, EndpointState::Draining)],
                "{field} {value}"
            );
            assert_eq!(
                read("removed"),
                [(one, EndpointState::Removed)],
                "{field} {value}"
            );
            assert_eq!(read("up"), [], "{field} {value}");
        }
    }
}

/// Of two entries with one id the last one counts.
#[test]
fn the_last_entry_of_an_id_counts() {
    let (mut reader, _) = reader();
    let servers = vec![
        entry("s-1", "up"),
        entry("s-2", "up"),
        entry("s-1", "draining"),
    ];
    let states = read_states(&mut reader, true, servers);
    assert_eq!(
        states,
        [
            (endpoint_id("s-1"), EndpointState::Draining),
            (endpoint_id("s-2"), EndpointState::Ready)
        ],
        "in the order of the list"
    );
}

/// A change adds an engine that no list has named; the removal of such an engine is ignored.
#[test]
fn changes_of_unknown_engines() {
    let (mut reader, _) = reader();
    let states = read_states(
        &mut reader,
        false,
        vec![entry("s-1", "up"), json!({"id": "s-2", "state": "removed"})],
    );
    assert_eq!(states, [(endpoint_id("s-1"), EndpointState::Ready)]);
}

proptest! {
    /// A list with any entries is read without a panic, and names no engine twice.
    #[test]
    fn any_entries_are_read(texts in prop::collection::vec("(s-[0-3]|[a-z]{0,3}|-?[0-9]{1,20})", 0..40)) {
        let (mut reader, _) = reader();
        for servers in texts.chunks(7) {
            let field = |i: usize| servers.get(i).map_or(Value::Null, |t| t.parse::<i64>().map_or(json!(t), |n| json!(n)));
            let odd = json!({"id": field(0), "addr": field(1), "zone": field(2), "kind": field(3), "state": field(4),
                "weight": field(5), "started_ms": field(6)});
            let servers = vec![odd, entry("s-1", "up"), field(0)];
            let states = read_states(&mut reader, servers.len() % 2 == 0, servers);
            let ids: std::collections::BTreeSet<_> = states.iter().map(|t| t.0).collect();
            prop_assert_eq!(ids.len(), states.len());
        }
    }
}

/// All machines share one clock: an engine that started just before this node is cold, and one of long ago is not.
#[test]
fn start_times_are_converted_to_this_nodes_clock() {
    let (mut reader, runtime) = reader();
    let unix_ms = runtime.unix_micros() / 1_000;
    let entry = |id: &str, started: u64| serde_json::json!({"id": id, "addr": "10.0.0.1:80", "zone": "a", "kind": "m2", "state": "up", "started_ms": started});
    let servers = vec![
        entry("s-1", unix_ms - 500),
        entry("s-2", 0),
        entry("s-3", unix_ms - 86_400_000),
    ];
    let engines = reader.read(&List {
        version: 1,
        full: true,
        servers,
    });
    let started: Vec<Micros> = engines.iter().map(|e| e.endpoint.started_at).collect();
    assert_eq!(started[0], runtime.now() - 500_000);
    assert_eq!(started[1], 0, "long ago");
    assert_eq!(started[2], 1, "before the clock began");
    // A removal needs no more than the id.
    let servers = vec![
        serde_json::json!({"id": "s-1", "state": "removed"}),
        serde_json::json!({"id": "s-7"}),
    ];
    let engines = reader.read(&List {
        version: 2,
        full: false,
        servers,
    });
    assert_eq!(engines.len(), 1);
    assert_eq!(
        (engines[0].endpoint.state, engines[0].endpoint.machine_type),
        (EndpointState::Removed, 1)
    );
}

/// Guards against a wall clock that is an hour off at the node's start: a new engine would count as warm, or every engine as
/// cold for an hour.
#[test]
fn with_a_clock_an_hour_off_new_engines_are_cold_and_none_starts_in_the_future() {
    const HOUR_MS: u64 = 3_600_000;
    let (mut reader, runtime) = reader();
    let started = |reader: &mut ListReader, full: bool, id: &str, started_ms: u64| {
        let mut entry = entry(id, "up");
        entry["started_ms"] = json!(started_ms);
        reader.read(&List {
            version: 1,
            full,
            servers: vec![entry],
        })[0]
            .endpoint
            .started_at
    };
    let unix_ms = runtime.unix_micros() / 1_000;
    assert_eq!(
        started(&mut reader, true, "s-1", unix_ms + HOUR_MS),
        runtime.now(),
        "an hour behind"
    );
    let started_at = started(&mut reader, false, "s-2", unix_ms.saturating_sub(HOUR_MS));
    assert_eq!(
        started_at,
        runtime.now(),
        "an hour ahead: it was not in the list before"
    );
}
