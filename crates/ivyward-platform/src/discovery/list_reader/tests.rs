//! Tests of the conversion of lists to engines.

use super::*;
use ivyward_sim::{NetworkConfig, Sim};
use proptest::prelude::*;
use serde_json::{json, Value};

fn reader() -> (ListReader, RuntimeRef) {
    let runtime = Sim::new(1, NetworkConfig::default()).host(1).runtime();
    let (zones, machine_types) = (vec!["a".to_owned()], vec!["m1".to_owned(), "m2".to_owned()]);
    (
        ListReader::new(
            NamedSettings {
                zones,
                machine_types,
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

/// Reads a list with these entries and returns the ids and states of its engines, in the order of the list.
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

/// An invalid entry does not remove its engine, in a full list or in changes, but a state `draining` or `removed` in it is
/// applied.
#[test]
fn an_invalid_entry_leaves_its_engine_unchanged_unless_it_drains_or_is_removed() {
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
            // `up` in an invalid entry does not end the drain: the engine may or may not take requests again.
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

/// If two entries of a list have the same id, the last one is used, at the place of the first.
#[test]
fn the_last_of_two_entries_with_the_same_id_is_used() {
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

/// Changes may add an engine that was in no list before. The removal of an engine that is not known is ignored.
#[test]
fn changes_add_unknown_engines_and_ignore_the_removal_of_unknown_ones() {
    let (mut reader, _) = reader();
    let states = read_states(
        &mut reader,
        false,
        vec![entry("s-1", "up"), json!({"id": "s-2", "state": "removed"})],
    );
    assert_eq!(states, [(endpoint_id("s-1"), EndpointState::Ready)]);
}

proptest! {
    /// A list with arbitrary entries is read without a panic and returns each engine at most once.
    #[test]
    fn arbitrary_entries_are_read_without_a_panic(texts in prop::collection::vec("(s-[0-3]|[a-z]{0,3}|-?[0-9]{1,20})", 0..40)) {
        let (mut reader, _) = reader();
        for servers in texts.chunks(7) {
            let field = |i: usize| servers.get(i).map_or(Value::Null, |t| t.parse::<i64>().map_or(json!(t), |n| json!(n)));
            let arbitrary = json!({"id": field(0), "addr": field(1), "zone": field(2), "kind": field(3), "state": field(4),
                "weight": field(5), "started_ms": field(6)});
            let servers = vec![arbitrary, entry("s-1", "up"), field(0)];
            let states = read_states(&mut reader, servers.len() % 2 == 0, servers);
            let ids: std::collections::BTreeSet<_> = states.iter().map(|t| t.0).collect();
            prop_assert_eq!(ids.len(), states.len());
        }
    }
}

/// Start times in a list are Unix times by a clock that all machines share. They are converted to this node's clock, so that
/// an engine that started just before this node is cold and one that started long ago is warm.
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
    assert_eq!(started[1], 0, "a start time of 0 stands for long ago");
    assert_eq!(started[2], 1, "started before the node's clock began");
    // The entry of a removed engine needs only the id and the state.
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

/// Guards against a node whose wall clock is wrong by an hour when it starts: a new engine would count as warm, or every
/// engine as cold for an hour.
#[test]
fn with_a_clock_wrong_by_an_hour_new_engines_are_cold_and_no_start_is_in_the_future() {
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
        "the clock is an hour behind: the start is not in the future"
    );
    let started_at = started(&mut reader, false, "s-2", unix_ms.saturating_sub(HOUR_MS));
    assert_eq!(
        started_at,
        runtime.now(),
        "the clock is an hour ahead: an engine that was not in the list before is new"
    );
}
