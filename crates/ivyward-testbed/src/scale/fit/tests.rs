//! Tests of least-squares lines and their predictions.

use super::*;

#[test]
fn the_line_of_collinear_points_is_exact() {
    let fit = line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!(
        (fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 3.0).abs() < 1e-9 && fit.residual < 1e-9
    );
    assert!((fit.at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn the_residual_and_the_prediction_errors_are_computed() {
    let mut fit = line(&[(0.0, 1.0), (0.0, -1.0), (10.0, 11.0), (10.0, 9.0)]).unwrap();
    assert!((fit.slope - 1.0).abs() < 1e-9 && (fit.residual - 1.0).abs() < 1e-9);
    fit.predict(&[(20.0, 24.0), (20.0, 26.0), (30.0, 30.0)]);
    let errors: Vec<f64> = fit.predictions.iter().map(|p| p.error_percent).collect();
    assert_eq!(fit.predictions.len(), 2);
    assert!((errors[0] + 20.0).abs() < 1e-9 && errors[1].abs() < 1e-9);
}

#[test]
fn a_single_size_has_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(3.0, 1.0), (3.0, 2.0)]), None);
}
