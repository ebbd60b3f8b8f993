//! What scale runs kept: a sweep for each quantity, and a whole run.

use crate::capacity::CapacityError;
use crate::scale::run::{Part, Report};
use crate::scale::sweep::{Quantity, Sweep};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

/// The file of the whole run.
pub const RUN: &str = "run.json";

/// What scale runs kept in a folder.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// By quantity.
    pub sweeps: BTreeMap<Quantity, Sweep>,
    /// The whole run.
    pub run: Report,
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, CapacityError> {
    let bad = |reason: String| CapacityError::MeasurementFile {
        path: path.display().to_string(),
        reason,
    };
    let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| bad(e.to_string()))
}

impl Measurements {
    /// Reads a folder.
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

    /// A part of the whole run.
    ///
    /// # Errors
    /// When there is none of that name.
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
