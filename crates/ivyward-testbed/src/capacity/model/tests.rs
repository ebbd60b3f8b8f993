//! Tests of the estimates from slopes.

use super::*;
use crate::scale::run::{Report, Roles};
use crate::scale::sweep::{fits, Point};
use crate::scale::usage::Rates;
use std::collections::BTreeMap;

/// Returns a sweep in which a node's memory follows `memory` and its processor time is 5 percent with noise.
fn sweep(quantity: Quantity, memory: impl Fn(u64) -> f64) -> Sweep {
    let mut points = Vec::new();
    for (i, value) in quantity.fitted().into_iter().enumerate() {
        let noise = if i % 2 == 0 { 0.5 } else { -0.5 };
        let rates = Rates {
            resident_kib: memory(value),
            core_percent: 5.0 + noise,
            ..Rates::default()
        };
        points.push(Point {
            value,
            repetition: 1,
            left_out: false,
            roles: Roles::from([("node".into(), rates)]),
        });
    }
    let fits = fits(&points);
    Sweep {
        quantity,
        base: quantity.size(quantity.fitted()[0], 1),
        points,
        fits,
    }
}

fn measurements() -> Measurements {
    let sweeps = BTreeMap::from([
        (
            Quantity::Connections,
            sweep(Quantity::Connections, |n| 1_000.0 + 30.0 * n as f64),
        ),
        (
            Quantity::Nodes,
            sweep(Quantity::Nodes, |n| 2_450.0 + 12.5 * n as f64),
        ),
    ]);
    Measurements {
        sweeps,
        run: Report {
            size: Quantity::Nodes.size(4, 1),
            parts: Vec::new(),
        },
    }
}

#[test]
fn slopes_of_several_quantities_add_up_from_the_base() {
    let measurements = measurements();
    let amounts = [(Quantity::Nodes, 104.0), (Quantity::Connections, 1_050.0)];
    let memory = figure(
        &measurements,
        Quantity::Nodes,
        "node",
        "resident_kib",
        &amounts,
    )
    .unwrap();
    // 2,500 KiB at the base of 4 nodes and 50 connections, plus 100 nodes and 1,000 connections.
    assert!(
        (memory - (2_500.0 + 1_250.0 + 30_000.0)).abs() < 1e-6,
        "{memory}"
    );
}

#[test]
fn a_slope_within_the_noise_counts_as_zero() {
    let measurements = measurements();
    assert_eq!(
        slope(&measurements, Quantity::Nodes, "node", "core_percent").unwrap(),
        0.0
    );
    let core = figure(
        &measurements,
        Quantity::Nodes,
        "node",
        "core_percent",
        &[(Quantity::Nodes, 1e6)],
    )
    .unwrap();
    assert!((core - 5.0).abs() < 1.0, "{core}");
}

#[test]
fn a_falling_figure_is_taken_as_constant_beyond_the_base() {
    let falling = sweep(Quantity::Nodes, |n| 5_000.0 - 10.0 * n as f64);
    let measurements = Measurements {
        sweeps: BTreeMap::from([(Quantity::Nodes, falling)]),
        ..measurements()
    };
    let memory = figure(
        &measurements,
        Quantity::Nodes,
        "node",
        "resident_kib",
        &[(Quantity::Nodes, 400.0)],
    )
    .unwrap();
    assert!((memory - 4_960.0).abs() < 1e-6, "{memory}");
}

#[test]
fn a_missing_figure_is_named_in_the_error() {
    let error = figure(&measurements(), Quantity::Nodes, "node", "temperature", &[]).unwrap_err();
    assert_eq!(
        error.to_string(),
        "the sweep of nodes has no figure temperature of the role node"
    );
    let error = slope(&measurements(), Quantity::Tenants, "node", "resident_kib").unwrap_err();
    assert_eq!(
        error.to_string(),
        "the sweep of tenants has no figure resident_kib of the role node"
    );
}
