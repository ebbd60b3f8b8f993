//! Flags and output of the `capacity` subcommand.

use crate::capacity::measurements::Measurements;
use crate::capacity::rows::{rows, Row};
use crate::capacity::target::Target;
use crate::capacity::{chart, table, CapacityError};
use serde::Serialize;
use std::path::PathBuf;

/// Flags of the `capacity` subcommand.
#[derive(Debug, clap::Args)]
pub struct CapacityFlags {
    #[command(flatten)]
    target: Target,
    /// Folder with the results of scale runs: a file for each quantity, and `run.json` for a whole run.
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    slopes: PathBuf,
    /// Print JSON instead of Markdown.
    #[arg(long)]
    json: bool,
    /// Write a chart to this file, as SVG: resource use over size for each role.
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
}

/// The JSON output.
#[derive(Serialize)]
struct Answer<'a> {
    size: &'a Target,
    rows: &'a [Row],
}

/// Formats the table of all rows, and the list of those that exceed their budgets, as Markdown.
pub fn markdown(rows: &[Row]) -> String {
    format!(
        "{}\nOver budget, the farthest first:\n\n{}",
        table::markdown(rows),
        table::ranking(rows)
    )
}

impl CapacityFlags {
    /// Returns the text to print, and writes the chart if a file was given for it.
    ///
    /// # Errors
    /// When the results of scale runs cannot be read or lack a figure, the size is invalid, or the chart cannot be drawn or
    /// written.
    pub fn answer(&self) -> Result<String, CapacityError> {
        let measurements = Measurements::load(&self.slopes)?;
        let rows = rows(&measurements, &self.target)?;
        if let Some(path) = &self.chart {
            let text = chart::svg(&measurements, &self.target)?;
            std::fs::write(path, text).map_err(|e| CapacityError::MeasurementFile {
                path: path.display().to_string(),
                reason: e.to_string(),
            })?;
        }
        if self.json {
            let answer = Answer {
                size: &self.target,
                rows: &rows,
            };
            return serde_json::to_string_pretty(&answer)
                .map_err(|e| CapacityError::Chart(e.to_string()));
        }
        Ok(markdown(&rows))
    }
}
