//! Straight lines by least squares, and how well they predict what was left out of them.

use serde::{Deserialize, Serialize};

/// A straight line through measured points.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// How much the figure grows with one more of the varied quantity.
    pub slope: f64,
    /// The figure where the quantity is 0.
    pub intercept: f64,
    /// Root of the mean square of what the points lie off the line.
    pub residual: f64,
    /// What the line says of sizes that were left out of it.
    pub predictions: Vec<Prediction>,
}

/// What a line says of a size that was left out of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Prediction {
    /// The size.
    pub size: f64,
    /// What the line says.
    pub predicted: f64,
    /// The mean of what was measured.
    pub measured: f64,
    /// How far off the line is, in percent of what was measured.
    pub error_percent: f64,
}

/// The line through points of size and figure; `None` for fewer than two sizes.
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
    /// What the line says of a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Compares the line with points that were left out of it, one prediction a size.
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
