//! Capacity planning: estimates the resource use of a deployment of a given size from slopes that scale runs measured. The
//! input is the files that scale runs wrote; how they measured is not known here.
//!
//! - [`target`]: the size of the planned deployment, and the budgets.
//! - [`measurements`]: reads the results of scale runs.
//! - [`model`]: estimates a figure at a size from a base value and slopes.
//! - [`rows`]: the figures of each role with their budgets.
//! - [`table`]: prints the rows as Markdown.
//! - [`chart`]: draws resource use over size for each role, as SVG.
//! - [`command`]: the `capacity` subcommand.

pub mod chart;
pub mod command;

pub mod measurements;
pub mod model;
pub mod rows;
pub mod table;
pub mod target;

/// Why the estimate cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum CapacityError {
    /// A file of results cannot be read, parsed or written, or lacks a part.
    #[error("{path}: {reason}")]
    MeasurementFile {
        /// Path of the file.
        path: String,
        /// Why the file cannot be used.
        reason: String,
    },
    /// The results have no such figure.
    #[error("the sweep of {quantity} has no figure {figure} of the role {role}")]
    Missing {
        /// Quantity that the sweep varies.
        quantity: &'static str,
        /// Role whose figure is missing.
        role: String,
        /// Name of the missing figure.
        figure: String,
    },
    /// A value of the deployment's size is invalid.
    #[error("--{flag} {value}: {reason}")]
    Size {
        /// Name of the flag, without dashes.
        flag: &'static str,
        /// The invalid value.
        value: f64,
        /// Why the value is invalid.
        reason: &'static str,
    },
    /// The chart cannot be drawn.
    #[error("cannot draw the chart: {0}")]
    Chart(String),
}
