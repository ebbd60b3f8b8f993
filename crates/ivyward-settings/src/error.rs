//! Errors in the settings object.

/// Why the settings object is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// A required key is missing.
    #[error("settings: {key} is missing")]
    Missing {
        /// The path of the key.
        key: String,
    },
    /// The value of a key has the wrong type or is out of range.
    #[error("settings: invalid value {value} of {key}")]
    Invalid {
        /// The path of the key.
        key: String,
        /// The value as displayed in the message: text in quotes, numbers without.
        value: String,
    },
    /// An item of a list has the wrong type or is out of range.
    #[error("settings: invalid value {value} in {key}")]
    InvalidItem {
        /// The path of the list.
        key: String,
        /// The item as displayed in the message, in quotes.
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
    /// Creates a [`ParseError::Invalid`] whose value is displayed in quotes.
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
