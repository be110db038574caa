//! Comparison of two configurations.

use crate::configuration::Configuration;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// A difference between two configurations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Change {
    /// Only the later configuration has the field.
    #[display("+ {field} = {after}")]
    Added {
        /// The path of the field.
        field: String,
        /// The new value.
        after: String,
    },
    /// The value differs.
    #[display("~ {field} = {after} (was {before})")]
    Changed {
        /// The path of the field.
        field: String,
        /// The old value.
        before: String,
        /// The new value.
        after: String,
    },
    /// Only the earlier configuration has the field.
    #[display("- {field} = {before}")]
    Withdrawn {
        /// The path of the field.
        field: String,
        /// The old value.
        before: String,
    },
}

/// Returns all differences, sorted by field. The version and the operations are ignored, because
/// every note changes them.
pub fn diff_configurations(before: &Configuration, after: &Configuration) -> Vec<Change> {
    let before = flatten_configuration(before);
    let mut after = flatten_configuration(after);
    let mut changes = Vec::new();
    for (field, before) in before {
        match after.remove(&field) {
            None => changes.push(Change::Withdrawn { field, before }),
            Some(after) if after != before => {
                changes.push(Change::Changed { field, before, after });
            }
            Some(_) => {}
        }
    }
    let added = after.into_iter().map(|(field, after)| Change::Added { field, after });
    changes.extend(added);
    changes.sort_by(|a, b| a.field().cmp(b.field()));
    changes
}

impl Change {
    /// Returns the path of the field.
    pub fn field(&self) -> &str {
        match self {
            Self::Added { field, .. }
            | Self::Changed { field, .. }
            | Self::Withdrawn { field, .. } => field,
        }
    }
}

fn flatten_configuration(configuration: &Configuration) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    if let Ok(Value::Object(mut whole)) = serde_json::to_value(configuration) {
        whole.remove("version");
        whole.remove("operations");
        flatten_value(String::new(), &Value::Object(whole), &mut fields);
    }
    fields
}

/// Collects the values of all fields by path. Each name in an array is a field of its own. An entry
/// without fields is treated as a field, so that its addition or withdrawal is reported.
fn flatten_value(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(entries) if !entries.is_empty() => {
            for (name, value) in entries {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten_value(path, value, fields);
            }
        }
        Value::Array(names) => {
            for name in names.iter().filter_map(Value::as_str) {
                fields.insert(format!("{path}.{name}"), "listed".to_owned());
            }
        }
        Value::Object(_) if !path.contains('.') => {}
        scalar => {
            fields.insert(path, scalar.to_string());
        }
    }
}
