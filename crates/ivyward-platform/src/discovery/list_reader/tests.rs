//! How lists are read.

use super::*;
use ivyward_sim::{Net, Sim};
use proptest::prelude::*;
use serde_json::{json, Value};

fn reader() -> (ListReader, RuntimeRef) {
    let runtime = Sim::new(1, Net::default()).host(1).runtime();
    let (zones, kinds) = (vec!["a".to_owned()], vec!["m1".to_owned(), "m2".to_owned()]);
    (
        ListReader::new(
            Told {
                zones,
                kinds,
                ..Told::default()
            },
            &runtime,
        ),
        runtime,
    )
}

fn entry(id: &str, state: &str) -> Value {
    json!({"id": id, "addr": "10.0.0.1:80", "zone": "a", "kind": "m2", "state": state})
}

/// What a list of these entries tells: ids and conditions, in its order.
fn conditions(
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

/// A whole list in which an entry cannot be read does not take its engine away; a drain in it counts all the same.
#[test]
fn an_entry_that_cannot_be_read_leaves_its_engine_as_it_was_known() {
    let spoil = |field: &str, value: Value, state: &str| {
        let mut entry = entry("s-1", state);
        entry[field] = value;
        entry
    };
    let spoilt = [
        ("addr", json!("nowhere")),
        ("addr", json!(7)),
        ("zone", json!("z")),
        ("kind", json!({})),
        ("weight", json!(-1)),
        ("weight", json!("x")),
        ("cell", json!(1e9)),
        ("started_ms", json!("soon")),
    ];
    for (field, value) in spoilt {
        for full in [true, false] {
            let (mut reader, _) = reader();
            let one = endpoint_id("s-1");
            assert_eq!(
                conditions(&mut reader, true, vec![spoil(field, value.clone(), "up")]),
                []
            );
            conditions(&mut reader, true, vec![entry("s-1", "up")]);
            let mut told =
                |state| conditions(&mut reader, full, vec![spoil(field, value.clone(), state)]);
            assert_eq!(told("up"), [(one, EndpointState::Ready)], "{field} {value}");
            assert_eq!(
                told("sleeping"),
                [(one, EndpointState::Ready)],
                "{field} {value}"
            );
            assert_eq!(
                told("draining"),
                [(one, EndpointState::Draining)],
                "{field} {value}"
            );
            // It may be up again, or not: that entry cannot be trusted to send something there.
            assert_eq!(
                told("up"),
                [(one, EndpointState::Draining)],
                "{field} {value}"
            );
            assert_eq!(
                told("removed"),
                [(one, EndpointState::Removed)],
                "{field} {value}"
            );
            assert_eq!(told("up"), [], "{field} {value}");
        }
    }
}

/// Two entries under one id: the last one counts, once.
#[test]
fn an_id_that_comes_twice_counts_once() {
    let (mut reader, _) = reader();
    let servers = vec![
        entry("s-1", "up"),
        entry("s-2", "up"),
        entry("s-1", "draining"),
    ];
    let told = conditions(&mut reader, true, servers);
    assert_eq!(
        told,
        [
            (endpoint_id("s-1"), EndpointState::Draining),
            (endpoint_id("s-2"), EndpointState::Ready)
        ],
        "in the order of the list"
    );
}

/// A change for an engine that no list named brings it in, or is nothing where it takes it away.
#[test]
fn changes_of_engines_never_listed() {
    let (mut reader, _) = reader();
    let told = conditions(
        &mut reader,
        false,
        vec![entry("s-1", "up"), json!({"id": "s-2", "state": "removed"})],
    );
    assert_eq!(told, [(endpoint_id("s-1"), EndpointState::Ready)]);
}

proptest! {
    /// Whatever entries hold, a list is read without a panic, and names no engine twice.
    #[test]
    fn any_entries_are_read(texts in prop::collection::vec("(s-[0-3]|[a-z]{0,3}|-?[0-9]{1,20})", 0..40)) {
        let (mut reader, _) = reader();
        for servers in texts.chunks(7) {
            let field = |i: usize| servers.get(i).map_or(Value::Null, |t| t.parse::<i64>().map_or(json!(t), |n| json!(n)));
            let odd = json!({"id": field(0), "addr": field(1), "zone": field(2), "kind": field(3), "state": field(4),
                "weight": field(5), "started_ms": field(6)});
            let servers = vec![odd, entry("s-1", "up"), field(0)];
            let told = conditions(&mut reader, servers.len() % 2 == 0, servers);
            let ids: std::collections::BTreeSet<_> = told.iter().map(|t| t.0).collect();
            prop_assert_eq!(ids.len(), told.len());
        }
    }
}

/// Every machine reads one clock, so an engine that started just before this node is cold to it, and one of long ago
/// is not.
#[test]
fn starts_are_told_on_this_nodes_clock() {
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
    assert_eq!(started[2], 1, "before the clock's begin");
    // What is removed needs no more than its id.
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

/// Guards against a wall clock that is an hour off at the node's start: an engine that has just come would count as warm, or
/// every engine as cold for an hour.
#[test]
fn a_clock_that_is_an_hour_off_makes_nobody_warm_who_has_just_come_and_nobody_start_in_the_future()
{
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
    let came = started(&mut reader, false, "s-2", unix_ms.saturating_sub(HOUR_MS));
    assert_eq!(
        came,
        runtime.now(),
        "an hour ahead: it was not there when the list was read before"
    );
}
