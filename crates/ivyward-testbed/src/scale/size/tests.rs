//! Tests of the bounds that a run is held to.

use super::*;

fn refused(size: Size) -> String {
    size.check().unwrap_err().to_string()
}

#[test]
fn the_usual_sizes_and_the_largest_measured_one_are_within_bounds() {
    assert!(Size::default().check().is_ok());
    let largest = Size {
        nodes: 40,
        engines: 1_100,
        real_nodes: 3,
        connections: 1_100,
        ..Size::default()
    };
    assert!(largest.check().is_ok());
}

#[test]
fn a_run_that_is_too_large_is_refused_by_the_bounds_name() {
    assert!(refused(Size {
        real_nodes: 295,
        ..Size::default()
    })
    .starts_with("processes:"));
    let engines = Size {
        engines: 25_000,
        ..Size::default()
    };
    assert!(refused(engines).starts_with("descriptors of a process:"));
    let memory = Size {
        engines: 1_100,
        real_nodes: 200,
        ..Size::default()
    };
    let text = refused(memory);
    assert!(
        text.starts_with("descriptors of a process:") || text.starts_with("MiB of memory:"),
        "{text}"
    );
    assert!(refused(Size {
        seconds: 301,
        ..Size::default()
    })
    .starts_with("seconds of a part:"));
    // The whole target on one machine.
    let whole = Size {
        nodes: 350,
        engines: 1_100,
        real_nodes: 350,
        ..Size::default()
    };
    assert!(refused(whole).starts_with("processes:"));
}

#[test]
fn values_that_cannot_be_are_refused_by_their_flag() {
    assert!(refused(Size {
        nodes: 0,
        ..Size::default()
    })
    .starts_with("--nodes 0:"));
    assert!(refused(Size {
        engines: 40,
        connections: 41,
        ..Size::default()
    })
    .starts_with("--connections 41:"));
    assert!(refused(Size {
        rate: -1.0,
        ..Size::default()
    })
    .starts_with("--rate"));
    assert!(refused(Size {
        rate: f64::NAN,
        ..Size::default()
    })
    .starts_with("--rate"));
    assert!(refused(Size {
        rate: 1e9,
        ..Size::default()
    })
    .starts_with("--rate"));
}
