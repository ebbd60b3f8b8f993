//! A figure at a size: what was measured at the base, and for each quantity its slope times what it has more.
//!
//! A slope counts only where it stands out of the noise: where the figure grows over the measured sizes by more than twice
//! what the points lie off their line. Everything else is held to be flat, and so is what falls: a cost is not taken to fall
//! beyond the sizes at which it was seen to.

use crate::capacity::measurements::Measurements;
use crate::capacity::CapacityError;
use crate::scale::fit::Fit;
use crate::scale::sweep::{Quantity, Sweep};

/// So many times the residual is what a figure has to grow by for its slope to count.
const MIN_GROWTH_OVER_RESIDUAL: f64 = 2.0;

/// How much of a quantity a size has.
pub type Amount = (Quantity, f64);

/// The line of a figure in a sweep.
///
/// # Errors
/// When the sweep has no such figure.
pub fn fit<'a>(
    measurements: &'a Measurements,
    quantity: Quantity,
    role: &str,
    figure: &str,
) -> Result<(&'a Sweep, &'a Fit), CapacityError> {
    let missing = || CapacityError::Missing {
        quantity: quantity.name(),
        role: role.to_owned(),
        figure: figure.to_owned(),
    };
    let sweep = measurements.sweeps.get(&quantity).ok_or_else(missing)?;
    let fit = sweep
        .fits
        .get(role)
        .and_then(|fits| fits.get(figure))
        .ok_or_else(missing)?;
    Ok((sweep, fit))
}

/// How much a figure grows with one more of a quantity; 0 where it falls, or does not stand out of the noise.
///
/// # Errors
/// When the sweep has no such figure.
pub fn slope(
    measurements: &Measurements,
    quantity: Quantity,
    role: &str,
    figure: &str,
) -> Result<f64, CapacityError> {
    let (sweep, fit) = fit(measurements, quantity, role, figure)?;
    let sizes = || {
        sweep
            .points
            .iter()
            .filter(|p| !p.left_out)
            .map(|p| p.value as f64)
    };
    let range = sizes().fold(f64::MIN, f64::max) - sizes().fold(f64::MAX, f64::min);
    let grows = fit.slope * range;
    Ok(if grows > MIN_GROWTH_OVER_RESIDUAL * fit.residual {
        fit.slope
    } else {
        0.0
    })
}

/// A figure of a role at a size, from the smallest size of a sweep on.
///
/// # Errors
/// When a sweep has no such figure.
pub fn figure(
    measurements: &Measurements,
    from: Quantity,
    role: &str,
    figure: &str,
    amounts: &[Amount],
) -> Result<f64, CapacityError> {
    let (sweep, fit) = fit(measurements, from, role, figure)?;
    let base = &sweep.base;
    let mut value = fit.at(amount_of(from, base));
    for (quantity, amount) in amounts {
        value +=
            slope(measurements, *quantity, role, figure)? * (amount - amount_of(*quantity, base));
    }
    Ok(value.max(0.0))
}

/// How much of a quantity a size has.
fn amount_of(quantity: Quantity, size: &crate::scale::size::Size) -> f64 {
    match quantity {
        Quantity::Nodes => size.nodes as f64,
        Quantity::Engines => size.engines as f64,
        Quantity::Connections => size.connections as f64,
        Quantity::Tenants => size.tenants as f64,
        Quantity::Classes => size.classes as f64,
        Quantity::Sessions => size.sessions as f64,
        Quantity::Requests => size.rate,
        Quantity::Changes => size.changes as f64,
    }
}

#[cfg(test)]
mod tests;
