//! Conversion of nested JSON to the paths and values of the text form.

use serde_json::Value;
use std::collections::BTreeMap;

/// Returns the values of a nested object as text, by their paths. A path consists of the names and list indexes from the
/// outermost object to the value, joined by dots. Null values are left out. A list that contains objects has its length at
/// the path `count` below its own; any other list is one value whose items are joined by commas.
pub(crate) fn flatten(object: &Value) -> BTreeMap<String, String> {
    let mut paths = BTreeMap::new();
    collect_paths(String::new(), object, &mut paths);
    paths
}

fn collect_paths(path: String, value: &Value, paths: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(object) => {
            for (name, value) in object {
                collect_paths(join(&path, name), value, paths);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            paths.insert(join(&path, "count"), items.len().to_string());
            for (index, value) in items.iter().enumerate() {
                collect_paths(join(&path, &index.to_string()), value, paths);
            }
        }
        Value::Array(items) => {
            // The text form separates items by commas, so it contains `_` in place of a comma within an item.
            let items: Vec<String> = items
                .iter()
                .map(|item| to_text(item).replace(',', "_"))
                .collect();
            paths.insert(path, items.join(","));
        }
        other => {
            paths.insert(path, to_text(other));
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

fn to_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
