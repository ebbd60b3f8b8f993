//! Reads the results of scale runs from files: a sweep for each quantity, and a whole run.

use crate::capacity::CapacityError;
use crate::scale::run::{Part, Report};
use crate::scale::sweep::{Quantity, Sweep};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

/// Name of the file with the results of the whole run.
pub const RUN: &str = "run.json";

/// The results of scale runs that a folder contains.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// The sweeps, by the quantity that each varies.
    pub sweeps: BTreeMap<Quantity, Sweep>,
    /// Results of a run with all its parts.
    pub run: Report,
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, CapacityError> {
    let error = |reason: String| CapacityError::MeasurementFile {
        path: path.display().to_string(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| error(e.to_string()))
}

impl Measurements {
    /// Reads the file of each sweep and that of the whole run from a folder.
    ///
    /// # Errors
    /// When a file is missing or malformed.
    pub fn load(folder: &Path) -> Result<Measurements, CapacityError> {
        let mut sweeps = BTreeMap::new();
        for quantity in Quantity::ALL {
            sweeps.insert(
                quantity,
                read(&folder.join(format!("{}.json", quantity.name())))?,
            );
        }
        Ok(Measurements {
            sweeps,
            run: read(&folder.join(RUN))?,
        })
    }

    /// Results of the part `name` of the whole run.
    ///
    /// # Errors
    /// When the run has no part of that name.
    pub fn part(&self, name: &str) -> Result<&Part, CapacityError> {
        let missing = || CapacityError::MeasurementFile {
            path: RUN.into(),
            reason: format!("there is no part {name:?}"),
        };
        self.run
            .parts
            .iter()
            .find(|part| part.name == name)
            .ok_or_else(missing)
    }
}
