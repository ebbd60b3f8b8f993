//! Tests of the validation of a run's size.

use super::*;

fn rejection(size: Size) -> String {
    size.check().unwrap_err().to_string()
}

#[test]
fn the_default_size_and_the_largest_measured_size_are_within_the_limits() {
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
fn a_run_that_exceeds_a_limit_is_rejected_with_the_name_of_the_limit() {
    assert!(rejection(Size {
        real_nodes: 295,
        ..Size::default()
    })
    .starts_with("processes:"));
    let engines = Size {
        engines: 25_000,
        ..Size::default()
    };
    assert!(rejection(engines).starts_with("descriptors of a process:"));
    let memory = Size {
        engines: 1_100,
        real_nodes: 200,
        ..Size::default()
    };
    let text = rejection(memory);
    assert!(
        text.starts_with("descriptors of a process:") || text.starts_with("MiB of memory:"),
        "{text}"
    );
    assert!(rejection(Size {
        seconds: 301,
        ..Size::default()
    })
    .starts_with("seconds of a part:"));
    // The size of the planned deployment does not fit on one machine.
    let whole = Size {
        nodes: 350,
        engines: 1_100,
        real_nodes: 350,
        ..Size::default()
    };
    assert!(rejection(whole).starts_with("processes:"));
}

#[test]
fn an_invalid_value_is_rejected_with_the_name_of_its_flag() {
    assert!(rejection(Size {
        nodes: 0,
        ..Size::default()
    })
    .starts_with("--nodes 0:"));
    assert!(rejection(Size {
        engines: 40,
        connections: 41,
        ..Size::default()
    })
    .starts_with("--connections 41:"));
    assert!(rejection(Size {
        rate: -1.0,
        ..Size::default()
    })
    .starts_with("--rate"));
    assert!(rejection(Size {
        rate: f64::NAN,
        ..Size::default()
    })
    .starts_with("--rate"));
    assert!(rejection(Size {
        rate: 1e9,
        ..Size::default()
    })
    .starts_with("--rate"));
}
