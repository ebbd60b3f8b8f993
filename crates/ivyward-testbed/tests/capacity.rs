//! The capacity page contains the table that the `capacity` command computes from the stored measurements.

use ivyward_testbed::capacity::command::markdown;
use ivyward_testbed::capacity::measurements::Measurements;
use ivyward_testbed::capacity::rows::{rows, Basis};
use ivyward_testbed::capacity::target::Target;
use ivyward_testbed::capacity::{chart, CapacityError};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn measurements() -> Measurements {
    Measurements::load(&docs().join("capacity")).unwrap()
}

#[test]
fn the_page_contains_the_computed_table_and_chart() {
    let (measurements, target) = (measurements(), Target::default());
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let table = markdown(&rows(&measurements, &target).unwrap());
    assert!(
        page.contains(&table),
        "docs/CAPACITY.md lacks what `ivyward-testbed capacity` prints:\n{table}"
    );
    let drawn = chart::svg(&measurements, &target).unwrap();
    assert_eq!(
        std::fs::read_to_string(docs().join("capacity/cost.svg")).unwrap(),
        drawn
    );
}

#[test]
fn costs_do_not_fall_as_the_target_grows() {
    let measurements = measurements();
    let at = |target: Target, role: &str, what: &str| {
        let rows = rows(&measurements, &target).unwrap();
        rows.iter()
            .find(|row| row.role == role && row.what == what)
            .unwrap()
            .value
    };
    let half = Target {
        engines: 550.0,
        ..Target::default()
    };
    for what in ["memory", "descriptors"] {
        let (small, large) = (
            at(half, "node, control", what),
            at(Target::default(), "node, control", what),
        );
        assert!(
            small < large,
            "{what}: {small} at 550 engines, {large} at 1,100"
        );
    }
    // Checks of idle connections stay within a budget, so these costs do not grow with the number of connections.
    for what in ["processor", "bytes with headers"] {
        let (small, large) = (
            at(half, "node, control", what),
            at(Target::default(), "node, control", what),
        );
        assert!(
            small <= large,
            "{what}: {small} at 550 engines, {large} at 1,100"
        );
    }
    let crowded = Target {
        rate: 7_200.0,
        ..Target::default()
    };
    let processor = |target| at(target, "node, requests", "processor");
    assert!((processor(crowded) / processor(Target::default()) - 2.0).abs() < 1e-6);
}

#[test]
fn limits_without_a_mechanism_are_marked() {
    let rows = rows(&measurements(), &Target::default()).unwrap();
    let missing: Vec<&str> = rows
        .iter()
        .filter(|row| row.basis == Basis::NoMechanism)
        .map(|row| row.what)
        .collect();
    assert_eq!(missing.len(), 1);
    assert!(missing[0].starts_with("other settings in force"));
}

#[test]
fn invalid_sizes_and_missing_files_are_named_in_the_error() {
    for (target, text) in [
        (
            Target {
                nodes: 0.0,
                ..Target::default()
            },
            "--nodes 0:",
        ),
        (
            Target {
                rate: f64::NAN,
                ..Target::default()
            },
            "--rate NaN:",
        ),
        (
            Target {
                engines: 1e12,
                ..Target::default()
            },
            "--engines 1000000000000:",
        ),
    ] {
        let error = rows(&measurements(), &target).unwrap_err();
        assert!(error.to_string().starts_with(text), "{error}");
    }
    let error = Measurements::load(Path::new("/nowhere")).unwrap_err();
    assert!(
        matches!(error, CapacityError::MeasurementFile { .. }),
        "{error}"
    );
}
