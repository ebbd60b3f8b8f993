//! What a deployment of a size takes, worked out from slopes that were measured. Knows nothing of how they were measured:
//! it reads what scale runs kept.
//!
//! - [`target`]: the size that is asked about, and the budgets.
//! - [`measurements`]: what scale runs kept.
//! - [`model`]: a figure at a size, from a base and slopes.
//! - [`rows`]: the figures of each role, against budgets.
//! - [`table`]: the rows as Markdown.
//! - [`chart`]: cost over size for each role, as SVG.
//! - [`command`]: the `capacity` subcommand.

pub mod chart;
pub mod command;

pub mod measurements;
pub mod model;
pub mod rows;
pub mod table;
pub mod target;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// What was kept cannot be read.
    #[error("{path}: {reason}")]
    MeasurementFile {
        /// The file.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// What was kept has no such figure.
    #[error("no {figure} of {role} was kept in the sweep of {quantity}")]
    Missing {
        /// Which sweep.
        quantity: &'static str,
        /// Which role.
        role: String,
        /// Which figure.
        figure: String,
    },
    /// A size that cannot be.
    #[error("--{flag} {value}: {reason}")]
    Size {
        /// Which flag.
        flag: &'static str,
        /// Its value.
        value: f64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The chart cannot be drawn.
    #[error("the chart: {0}")]
    Chart(String),
}
