//! Nested JSON as the paths and values of the text form.

use serde_json::Value;
use std::collections::BTreeMap;

/// The paths of an object with their values as text.
pub(crate) fn paths(object: &Value) -> BTreeMap<String, String> {
    let mut paths = BTreeMap::new();
    flatten(String::new(), object, &mut paths);
    paths
}

fn flatten(path: String, value: &Value, paths: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(object) => {
            for (name, value) in object {
                flatten(join(&path, name), value, paths);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            paths.insert(join(&path, "count"), items.len().to_string());
            for (index, value) in items.iter().enumerate() {
                flatten(join(&path, &index.to_string()), value, paths);
            }
        }
        Value::Array(items) => {
            // A comma separates items, so the text form replaces it within a name.
            let items: Vec<String> = items
                .iter()
                .map(|item| plain(item).replace(',', "_"))
                .collect();
            paths.insert(path, items.join(","));
        }
        other => {
            paths.insert(path, plain(other));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
