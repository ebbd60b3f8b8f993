//! Typed look-ups of values by their paths.

use crate::error::ParseError;
use ivyward_core::interface::Micros;
use std::collections::BTreeMap;
use std::str::FromStr;

/// The object as paths with their values as text.
pub(crate) struct Keys(BTreeMap<String, String>);

impl Keys {
    pub(crate) fn from_paths(paths: BTreeMap<String, String>) -> Keys {
        Keys(paths)
    }
    pub(crate) fn from_lines(text: &str) -> Keys {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Keys(
            pairs
                .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
                .collect(),
        )
    }
    /// The value as it stands.
    pub(crate) fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }
    pub(crate) fn get<T: FromStr>(&self, key: &str) -> Result<Option<T>, ParseError> {
        match self.text(key) {
            None => Ok(None),
            Some(text) => text
                .parse()
                .map(Some)
                .map_err(|_| ParseError::invalid_text(key, text)),
        }
    }
    pub(crate) fn require<T: FromStr>(&self, key: &str) -> Result<T, ParseError> {
        self.get(key)?.ok_or_else(|| ParseError::missing(key))
    }
    /// A finite number of 0 or more; `None` where the key is absent.
    pub(crate) fn number(&self, key: &str) -> Result<Option<f64>, ParseError> {
        match self.get::<f64>(key)? {
            Some(value) if !is_valid(value) => Err(ParseError::invalid(key, value)),
            other => Ok(other),
        }
    }
    pub(crate) fn number_or_zero(&self, key: &str) -> Result<f64, ParseError> {
        Ok(self.number(key)?.unwrap_or(0.0))
    }
    /// A duration in microseconds; 0 where the key is absent.
    pub(crate) fn duration(&self, key: &str) -> Result<Micros, ParseError> {
        Ok(self.number_or_zero(key)? as Micros)
    }
    pub(crate) fn require_duration(&self, key: &str) -> Result<Micros, ParseError> {
        let value = self.number(key)?.ok_or_else(|| ParseError::missing(key))?;
        Ok(value as Micros)
    }
    pub(crate) fn flag(&self, key: &str) -> Result<bool, ParseError> {
        Ok(self.get(key)?.unwrap_or(false))
    }
    /// The items of a list; none where the key is absent.
    pub(crate) fn list(&self, key: &str) -> impl Iterator<Item = &str> {
        let text = self.text(key).unwrap_or("");
        text.split(',').filter(|item| !item.is_empty())
    }
    pub(crate) fn names(&self, key: &str) -> Vec<String> {
        self.list(key).map(str::to_owned).collect()
    }
    /// The names of `count` numbered objects below a path; empty where one has none.
    pub(crate) fn indexed_names(&self, path: &str, count: usize) -> Vec<String> {
        let name = |index| self.text(&format!("{path}.{index}.name")).unwrap_or("");
        (0..count).map(|index| name(index).to_owned()).collect()
    }
    pub(crate) fn numbers(&self, key: &str) -> Result<Vec<f64>, ParseError> {
        let parse = |item: &str| {
            let value = item.parse::<f64>().ok().filter(|value| is_valid(*value));
            value.ok_or_else(|| ParseError::invalid_item(key, item))
        };
        self.list(key).map(parse).collect()
    }
    /// One of several words; `default` where the key is absent.
    pub(crate) fn word<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        default: Option<T>,
    ) -> Result<T, ParseError> {
        let Some(text) = self.text(key) else {
            return default.ok_or_else(|| ParseError::missing(key));
        };
        words
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, value)| *value)
            .ok_or_else(|| ParseError::invalid_text(key, text))
    }
}

fn is_valid(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
