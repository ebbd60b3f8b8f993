//! The `capacity` subcommand.

use crate::capacity::measurements::Measurements;
use crate::capacity::rows::{rows, Row};
use crate::capacity::target::Target;
use crate::capacity::{chart, table, CapacityError};
use serde::Serialize;
use std::path::PathBuf;

/// The flags of `capacity`.
#[derive(Debug, clap::Args)]
pub struct CapacityFlags {
    #[command(flatten)]
    target: Target,
    /// What scale runs kept: a file for each quantity, and one for a whole run.
    #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
    slopes: PathBuf,
    /// Prints JSON instead of Markdown.
    #[arg(long)]
    json: bool,
    /// Draws cost over size for each role in this file, as SVG.
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
}

/// What is printed as JSON.
#[derive(Serialize)]
struct Answer<'a> {
    size: &'a Target,
    rows: &'a [Row],
}

/// The tables as Markdown: all rows, and those over their budgets by how far.
pub fn markdown(rows: &[Row]) -> String {
    format!(
        "{}\nOver budget, the farthest first:\n\n{}",
        table::markdown(rows),
        table::ranking(rows)
    )
}

impl CapacityFlags {
    /// What is to be printed; the chart is written where one was asked for.
    ///
    /// # Errors
    /// When what was kept cannot be read or lacks a figure, or the size cannot be.
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
