//! Typed lookups of the values of the settings object by their paths.

use crate::error::ParseError;
use ivyward_core::interface::Micros;
use std::collections::BTreeMap;
use std::str::FromStr;

/// The settings object: values as text by their paths, such as `classes.0.deadline_us`.
pub(crate) struct Keys(BTreeMap<String, String>);

impl Keys {
    pub(crate) fn from_paths(paths: BTreeMap<String, String>) -> Keys {
        Keys(paths)
    }
    /// Parses the text form. Lines without `=` are ignored.
    pub(crate) fn from_lines(text: &str) -> Keys {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Keys(
            pairs
                .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
                .collect(),
        )
    }
    /// Returns the value as text, or `None` if the key is absent.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
    /// Returns the parsed value, or `None` if the key is absent.
    pub(crate) fn get<T: FromStr>(&self, key: &str) -> Result<Option<T>, ParseError> {
        match self.text(key) {
            None => Ok(None),
            Some(text) => text
                .parse()
                .map(Some)
                .map_err(|_| ParseError::invalid_text(key, text)),
        }
    }
    /// Returns the parsed value, or an error if the key is absent.
    pub(crate) fn require<T: FromStr>(&self, key: &str) -> Result<T, ParseError> {
        self.get(key)?.ok_or_else(|| ParseError::missing(key))
    }
    /// Returns a number, or `None` if the key is absent. The number must be finite and at least 0.
    pub(crate) fn number(&self, key: &str) -> Result<Option<f64>, ParseError> {
        match self.get::<f64>(key)? {
            Some(value) if !is_valid(value) => Err(ParseError::invalid(key, value)),
            other => Ok(other),
        }
    }
    pub(crate) fn number_or_zero(&self, key: &str) -> Result<f64, ParseError> {
        Ok(self.number(key)?.unwrap_or(0.0))
    }
    /// Returns a duration in microseconds, or 0 if the key is absent. Fractions of a microsecond are dropped.
    pub(crate) fn duration(&self, key: &str) -> Result<Micros, ParseError> {
        Ok(self.number_or_zero(key)? as Micros)
    }
    /// Returns a duration in microseconds, or an error if the key is absent.
    pub(crate) fn require_duration(&self, key: &str) -> Result<Micros, ParseError> {
        let value = self.number(key)?.ok_or_else(|| ParseError::missing(key))?;
        Ok(value as Micros)
    }
    /// Returns a boolean (`true` or `false`), or false if the key is absent.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, ParseError> {
        Ok(self.get(key)?.unwrap_or(false))
    }
    /// Returns the items of a list that are not empty; none if the key is absent.
    pub(crate) fn list(&self, key: &str) -> impl Iterator<Item = &str> {
        let text = self.text(key).unwrap_or("");
        text.split(',').filter(|item| !item.is_empty())
    }
    /// Returns the items of a list as owned strings.
    pub(crate) fn names(&self, key: &str) -> Vec<String> {
        self.list(key).map(str::to_owned).collect()
    }
    /// Returns the names of the first `count` objects in the list at `path`; an empty string for an object without a name.
    pub(crate) fn indexed_names(&self, path: &str, count: usize) -> Vec<String> {
        let name = |index| self.text(&format!("{path}.{index}.name")).unwrap_or("");
        (0..count).map(|index| name(index).to_owned()).collect()
    }
    /// Returns the items of a list as numbers, which must be finite and at least 0.
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>, ParseError> {
        let parse = |item: &str| {
            let value = item.parse::<f64>().ok().filter(|value| is_valid(*value));
            value.ok_or_else(|| ParseError::invalid_item(key, item))
        };
        self.list(key).map(parse).collect()
    }
    /// Returns the value that `choices` assigns to the text of the key. If the key is absent, returns `default`, or an error
    /// if there is no default.
    pub(crate) fn one_of<T: Copy>(
        &self,
        key: &str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Result<T, ParseError> {
        let Some(text) = self.text(key) else {
            return default.ok_or_else(|| ParseError::missing(key));
        };
        choices
            .iter()
            .find(|(choice, _)| *choice == text)
            .map(|(_, value)| *value)
            .ok_or_else(|| ParseError::invalid_text(key, text))
    }
}

/// Returns whether a number is valid for any key: finite and at least 0.
fn is_valid(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
