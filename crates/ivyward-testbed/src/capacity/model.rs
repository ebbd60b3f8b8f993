//! Estimates a figure at a size: the value of the line at the base size, plus for each quantity its slope times the
//! difference between the quantity and its base value.
//!
//! A slope counts only if it is significant: if the figure grows over the range of the fitted sizes by more than twice the
//! residual of the line. Otherwise the figure is taken as constant. A falling figure is taken as constant too, because a
//! cost need not fall further beyond the sizes at which it was measured.

use crate::capacity::measurements::Measurements;
use crate::capacity::CapacityError;
use crate::scale::fit::Fit;
use crate::scale::sweep::{Quantity, Sweep};

/// A slope counts only if the figure grows by more than this many times the residual.
const MIN_GROWTH_OVER_RESIDUAL: f64 = 2.0;

/// A quantity and its value at a size.
pub type Amount = (Quantity, f64);

/// Returns the sweep of a quantity and the line fitted to a role's figure.
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

/// Growth of a figure per unit of a quantity; 0 if the figure falls or its growth is not significant.
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

/// Estimates a figure of a role for the given amounts, starting from the base size of the sweep of `from`.
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

/// Value of a quantity at a size.
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
