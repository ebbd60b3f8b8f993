//! The settings object that the simulator's adapter and the platform's configuration share: one parser for both.
//!
//! [`parse`] reads the adapter's text of `path=value` lines, [`from_json`] the same object as nested JSON. Durations are
//! in microseconds. Unknown keys are ignored, so that an older program accepts a newer object.
//!
//! - [`error`]: what can be wrong with a value.
//! - `keys`: typed look-ups by path.
//! - `json`: nested JSON to paths.
//! - `router`: the router's settings out of the paths.

pub mod error;
mod json;
mod keys;
mod router;

pub use error::ParseError;

use ivyward_core::interface::{Micros, Settings};
use keys::Keys;
use serde_json::Value;

/// The router's settings, with the names and I/O limits that the object holds beside them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedSettings {
    /// The router's settings.
    pub router: Settings,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; a zone's number is its index.
    pub zones: Vec<String>,
    /// Names of the machine types, in the order of [`Settings::roles`].
    pub machine_types: Vec<String>,
    /// Names of the values of a load report, in the order of [`Settings::report_fields`].
    pub report_fields: Vec<String>,
    /// Idle time in microseconds after which an engine closes a connection; 0 where it is not stated.
    pub keepalive: Micros,
    /// Time in microseconds after which a connection attempt counts as failed; 0 where it is not stated.
    pub connect_timeout: Micros,
    /// Requests that a node may have open at once; 0 where it is not stated.
    pub max_open_requests: usize,
}

/// The index of a name among the object's names, in which spaces and commas may have been replaced by `_`.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names
        .iter()
        .position(|candidate| candidate == name || *candidate == name.replace([' ', ','], "_"))
}

/// Reads the router's settings from a text of `path=value` lines.
///
/// # Errors
/// [`ParseError`] names the key and its missing or invalid value.
pub fn parse(text: &str) -> Result<Settings, ParseError> {
    router::read(&Keys::from_lines(text))
}

/// Reads the settings from nested JSON. Its paths are those of the text; lists of plain values are joined by commas.
///
/// # Errors
/// [`ParseError`] names the key and its missing or invalid value.
pub fn from_json(object: &Value) -> Result<NamedSettings, ParseError> {
    let keys = Keys::from_paths(json::paths(object));
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
