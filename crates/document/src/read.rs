//! Conversion of document values to Rust types.

use crate::ROOT;
use crate::location::{self, Lines};
use compact_str::CompactString;
use hickory_unit::finding::Finding;
use hickory_unit::{id, size};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;

/// Maximum number of characters of an invalid value that a finding shows.
const MAX_SHOWN_CHARS: usize = 32;

/// A value with its location.
#[derive(Clone, Debug)]
pub struct Node<'a> {
    pub(crate) value: &'a Value<'a>,
    pub(crate) path: String,
    pub(crate) line: usize,
    pub(crate) lines: &'a Lines,
}

impl<'a> Node<'a> {
    pub(crate) fn root(value: &'a Value<'a>, lines: &'a Lines) -> Self {
        Self::at(value, String::new(), value.range().start, lines)
    }

    pub(crate) fn at(value: &'a Value<'a>, path: String, offset: usize, lines: &'a Lines) -> Self {
        Self { value, path, line: lines.line(offset), lines }
    }

    /// Returns the path, which is empty for the whole document.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Creates a finding at this location.
    pub fn finding(&self, message: impl Into<String>) -> Finding {
        let field = if self.path.is_empty() { ROOT.to_owned() } else { self.path.clone() };
        Finding { line: self.line, field, message: message.into() }
    }

    /// Creates a finding that the value is not what was expected.
    pub fn mismatch(&self, expected: &str) -> Finding {
        self.finding(format!("expected {expected}, found {}", describe_value(self.value)))
    }

    /// Returns the text of a string value.
    pub fn text(&self) -> Option<&'a str> {
        match self.value {
            Value::StringLit(text) => Some(&text.value),
            _ => None,
        }
    }
}

fn describe_value(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => format!("the text {:?}", truncate(&text.value)),
        Value::NumberLit(number) => format!("the number {}", truncate(number.value)),
        Value::BooleanLit(literal) => literal.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

/// Returns the start of a text, so that a finding stays on one line.
fn truncate(text: &str) -> &str {
    text.char_indices().nth(MAX_SHOWN_CHARS).map_or(text, |(end, _)| &text[..end])
}

/// A type that can be read from a document.
pub trait Read: Sized {
    /// Reads the value and adds all findings about it.
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self>;
}

/// Reads a string and parses it; `expected` describes the expected value in a finding.
pub fn read_parsed<T: FromStr>(
    node: &Node<'_>,
    findings: &mut Vec<Finding>,
    expected: &str,
) -> Option<T> {
    let parsed = node.text().and_then(|text| text.parse().ok());
    if parsed.is_none() {
        findings.push(node.mismatch(expected));
    }
    parsed
}

impl Read for bool {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        match node.value {
            Value::BooleanLit(literal) => Some(literal.value),
            _ => {
                findings.push(node.mismatch("a boolean"));
                None
            }
        }
    }
}

macro_rules! read_integer {
    ($($type:ty)*) => {$(
        impl Read for $type {
            fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
                let parsed = match node.value {
                    Value::NumberLit(literal) => literal.value.parse().ok(),
                    _ => None,
                };
                if parsed.is_none() {
                    let expected = format!("an integer from 0 to {}", Self::MAX);
                    findings.push(node.mismatch(&expected));
                }
                parsed
            }
        }
    )*};
}

read_integer!(u32 u64);

impl Read for f64 {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let parsed: Option<Self> = match node.value {
            Value::NumberLit(literal) => literal.value.parse().ok(),
            _ => None,
        };
        let finite = parsed.filter(|number| number.is_finite());
        if finite.is_none() {
            findings.push(node.mismatch("a finite number"));
        }
        finite
    }
}

impl Read for String {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        read_parsed(node, findings, "a text")
    }
}

impl Read for SocketAddr {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        read_parsed(node, findings, "an address as in \"10.0.0.1:8080\"")
    }
}

macro_rules! read_name {
    ($($type:ty)*) => {$(
        impl Read for $type {
            fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
                read_parsed::<CompactString>(node, findings, "a text").map(Self)
            }
        }
    )*};
}

read_name! {
    id::Node id::Zone id::Account id::Partner id::Target id::Model id::Adapter id::Version
    id::Service
}

impl Read for id::Release {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        u64::read(node, findings).map(Self)
    }
}

impl Read for size::Bytes {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        u64::read(node, findings).map(Self)
    }
}

/// Entries that can't be read are skipped, with their findings.
impl<K: for<'k> From<&'k str> + Ord, V: Read> Read for BTreeMap<K, V> {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let Value::Object(object) = node.value else {
            findings.push(node.mismatch("an object"));
            return None;
        };
        let mut entries = Self::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = location::join_path(&node.path, name);
            let entry = Node::at(&property.value, path, property.range.start, node.lines);
            let Some(value) = V::read(&entry, findings) else {
                continue;
            };
            if entries.insert(K::from(name), value).is_some() {
                findings.push(entry.finding("is a duplicate"));
            }
        }
        Some(entries)
    }
}

/// Elements that can't be read are skipped, with their findings.
impl<T: Read> Read for Vec<T> {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let Value::Array(array) = node.value else {
            findings.push(node.mismatch("an array"));
            return None;
        };
        let elements = array.elements.iter().enumerate().filter_map(|(index, value)| {
            // A text is not named by its value, which may be secret.
            let path = format!("{}[{index}]", node.path);
            T::read(&Node::at(value, path, value.range().start, node.lines), findings)
        });
        Some(elements.collect())
    }
}

/// Elements that can't be read are skipped, with their findings.
impl<T: Read + Ord> Read for BTreeSet<T> {
    fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
        let Value::Array(array) = node.value else {
            findings.push(node.mismatch("an array"));
            return None;
        };
        let mut elements = Self::new();
        for (index, value) in array.elements.iter().enumerate() {
            let path = location::join_element(&node.path, index, value);
            let element = Node::at(value, path, value.range().start, node.lines);
            let Some(value) = T::read(&element, findings) else {
                continue;
            };
            if !elements.insert(value) {
                findings.push(element.finding("is a duplicate"));
            }
        }
        Some(elements)
    }
}
