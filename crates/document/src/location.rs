//! The locations of a document's fields.

use hickory_unit::finding::Finding;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use std::collections::BTreeMap;

/// The offsets at which the lines of a text start.
#[derive(Clone, Debug)]
pub struct Lines(Vec<usize>);

impl Lines {
    /// Finds the lines of `text`.
    pub fn of(text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self(ends.map(|(index, _)| index + 1).collect())
    }

    /// Returns the line number, from 1, of a byte offset.
    pub fn line(&self, offset: usize) -> usize {
        1 + self.0.partition_point(|start| *start <= offset)
    }
}

/// The lines of a document's fields, by path.
///
/// The path of an object's field looks like `accounts.shop.models`. A string in an array is
/// identified by its value, as in `accounts.shop.models.advice`, and any other element by its
/// index, as in `ports[0]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locations(BTreeMap<String, usize>);

impl Locations {
    pub(crate) fn of(root: &Value<'_>, lines: &Lines) -> Self {
        let mut locations = Self::default();
        locations.visit(String::new(), root, lines);
        locations
    }

    /// Fills in the lines of findings that have none, and sorts all findings.
    ///
    /// A field that is missing in the document gets the line of the object that should contain it.
    pub fn locate(&self, findings: &mut [Finding]) {
        for finding in findings.iter_mut().filter(|finding| finding.line == 0) {
            finding.line = self.line(&finding.field);
        }
        findings.sort();
    }

    fn line(&self, field: &str) -> usize {
        let mut path = field;
        loop {
            if let Some(line) = self.0.get(path) {
                return *line;
            }
            match path.rfind(['.', '[']) {
                Some(end) => path = &path[..end],
                None => return self.0.get("").copied().unwrap_or(0),
            }
        }
    }

    fn visit(&mut self, path: String, value: &Value<'_>, lines: &Lines) {
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    let path = join_path(&path, property.name.as_str());
                    let line = lines.line(property.range.start);
                    self.visit(path.clone(), &property.value, lines);
                    self.0.insert(path, line);
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.visit(join_element(&path, index, element), element, lines);
                }
            }
            _ => {}
        }
        self.0.entry(path).or_insert_with(|| lines.line(value.range().start));
    }
}

/// Returns the path of a field in the object at `path`.
pub(crate) fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns the path of an element in the array at `path`.
pub(crate) fn join_element(path: &str, index: usize, element: &Value<'_>) -> String {
    match element {
        Value::StringLit(text) => join_path(path, &text.value),
        _ => format!("{path}[{index}]"),
    }
}
