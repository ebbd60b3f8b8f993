//! Parser of the settings object, which the simulator's adapter and the platform's configuration share.
//!
//! [`parse`] reads the adapter's text form, one `path=value` line for each value; [`from_json`] reads the same object as
//! nested JSON. Durations are in microseconds. Unknown keys are ignored, so that an older program accepts a newer object.
//!
//! - [`error`]: errors in the object.
//! - `keys`: typed lookups of values by their paths.
//! - `json`: converts nested JSON to paths and values.
//! - `router`: reads the router's settings from the values.

pub mod error;
mod json;
mod keys;
mod router;

pub use error::ParseError;

use ivyward_core::interface::{Micros, Settings};
use keys::Keys;
use serde_json::Value;

/// The router's settings, with the names and the I/O limits that the settings object contains in addition.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedSettings {
    /// The router's settings.
    pub router: Settings,
    /// The names of the request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// The names of the zones, by the zones' indexes.
    pub zones: Vec<String>,
    /// The names of the machine types, in the order of [`Settings::roles`].
    pub machine_types: Vec<String>,
    /// The names of the values in a load report, in the order of [`Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// The time after which an engine closes an idle connection, in microseconds; 0 if not specified.
    pub keepalive: Micros,
    /// The timeout for opening a connection, in microseconds; 0 if not specified.
    pub connect_timeout: Micros,
    /// The maximum number of requests that a node may have open at once; 0 if not specified.
    pub max_open_requests: usize,
}

/// Returns the index of a name in a list of names from the settings object. The list may contain the name with its spaces
/// and commas replaced by `_`.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names
        .iter()
        .position(|candidate| candidate == name || *candidate == name.replace([' ', ','], "_"))
}

/// Parses the router's settings from the text form: lines of `path=value`.
///
/// # Errors
/// Returns an error if a required key is missing or a value is invalid.
pub fn parse(text: &str) -> Result<Settings, ParseError> {
    router::read(&Keys::from_lines(text))
}

/// Parses the settings from nested JSON. The names in nested objects form the same paths as in the text form.
///
/// # Errors
/// Returns an error if a required key is missing or a value is invalid.
pub fn from_json(object: &Value) -> Result<NamedSettings, ParseError> {
    let keys = Keys::from_paths(json::flatten(object));
    let router = router::read(&keys)?;
    let report_fields = if router.report_fields.is_empty() {
        Vec::new()
    } else {
        keys.names("report.fields")
    };
    Ok(NamedSettings {
        classes: keys.indexed_names("classes", router.classes.len()),
        tenants: keys.indexed_names("parties", router.tenants.len()),
        zones: keys.names("failure_domains"),
        machine_types: keys.names("host_types"),
        report_fields,
        keepalive: keys.duration("limits.keepalive_us")?,
        connect_timeout: keys.duration("limits.dial_timeout_us")?,
        max_open_requests: keys.get("limits.max_open")?.unwrap_or(0),
        router,
    })
}
