//! Straight lines by least squares, and the errors of their predictions at sizes left out of the fit.

use serde::{Deserialize, Serialize};

/// A straight line fitted to measured points.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Growth of the figure per unit of the varied quantity.
    pub slope: f64,
    /// Value of the line where the quantity is 0.
    pub intercept: f64,
    /// Root mean square of the distances of the points from the line, in the unit of the figure.
    pub residual: f64,
    /// Comparison of the line with the measurements at sizes left out of the fit.
    pub predictions: Vec<Prediction>,
}

/// The prediction of a line at a size that was left out of the fit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// Value of the varied quantity.
    pub size: f64,
    /// Value of the line at this size.
    pub predicted: f64,
    /// Mean of the figures measured at this size.
    pub measured: f64,
    /// Error of the prediction in percent of the measured mean; 0 if that mean is 0.
    pub error_percent: f64,
}

/// Fits a line to points of size and figure. Returns `None` for fewer than two different sizes.
pub fn line(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    if points.is_empty() || spread == 0.0 {
        return None;
    }
    let slope = points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>()
        / spread;
    let intercept = mean_y - slope * mean_x;
    let squares = points
        .iter()
        .map(|p| (p.1 - intercept - slope * p.0).powi(2))
        .sum::<f64>();
    Some(Fit {
        slope,
        intercept,
        residual: (squares / count).sqrt(),
        predictions: Vec::new(),
    })
}

impl Fit {
    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Compares the line with points that were left out of the fit, and stores one prediction for each size.
    pub fn predict(&mut self, left_out: &[(f64, f64)]) {
        let mut sizes: Vec<f64> = left_out.iter().map(|p| p.0).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        self.predictions = sizes
            .into_iter()
            .map(|size| self.prediction(size, left_out))
            .collect();
    }

    fn prediction(&self, size: f64, left_out: &[(f64, f64)]) -> Prediction {
        let figures: Vec<f64> = left_out
            .iter()
            .filter(|p| p.0 == size)
            .map(|p| p.1)
            .collect();
        let measured = figures.iter().sum::<f64>() / figures.len().max(1) as f64;
        let predicted = self.at(size);
        let error_percent = match measured == 0.0 {
            true => 0.0,
            false => (predicted - measured) / measured * 100.0,
        };
        Prediction {
            size,
            predicted,
            measured,
            error_percent,
        }
    }
}

#[cfg(test)]
mod tests;
