//! Errors of the settings object.

/// Why the settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A key without which there is nothing to decide.
    #[error("settings: {key} is missing")]
    Missing {
        /// The key's path.
        key: String,
    },
    /// A value of the wrong type or out of range.
    #[error("settings: impossible value {value} of {key}")]
    Invalid {
        /// The key's path.
        key: String,
        /// The value, as it is shown to people.
        value: String,
    },
    /// An item of a list of the wrong type or out of range.
    #[error("settings: impossible value {value} in {key}")]
    InvalidItem {
        /// The list's path.
        key: String,
        /// The item, as it is shown to people.
        value: String,
    },
}

impl ParseError {
    pub(crate) fn missing(key: &str) -> ParseError {
        ParseError::Missing { key: key.into() }
    }
    pub(crate) fn invalid(key: &str, value: impl ToString) -> ParseError {
        ParseError::Invalid {
            key: key.into(),
            value: value.to_string(),
        }
    }
    /// For a value that is shown in quotes.
    pub(crate) fn invalid_text(key: &str, text: &str) -> ParseError {
        ParseError::invalid(key, format!("{text:?}"))
    }
    pub(crate) fn invalid_item(key: &str, item: &str) -> ParseError {
        ParseError::InvalidItem {
            key: key.into(),
            value: format!("{item:?}"),
        }
    }
}
