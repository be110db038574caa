//! The fields of an object.

use crate::location;
use crate::read::{Node, Read};
use hickory_unit::finding::Finding;
use jsonc_parser::ast::{Object, Value};
use std::collections::BTreeSet;

/// Reads the fields of one object by name and reports the fields that were not read.
#[derive(Debug)]
pub struct Fields<'a, 'f> {
    node: &'a Node<'a>,
    object: &'a Object<'a>,
    findings: &'f mut Vec<Finding>,
    requested: BTreeSet<&'static str>,
}

impl<'a, 'f> Fields<'a, 'f> {
    /// Opens the object in `node`, or adds a finding if it is not an object.
    pub fn open(node: &'a Node<'a>, findings: &'f mut Vec<Finding>) -> Option<Self> {
        let Value::Object(object) = node.value else {
            findings.push(node.mismatch("an object"));
            return None;
        };
        Some(Self { node, object, findings, requested: BTreeSet::new() })
    }

    /// Reads a required field; adds a finding if it is missing.
    pub fn required<T: Read>(&mut self, name: &'static str) -> Option<T> {
        match self.take_field(name) {
            Some(node) => T::read(&node, self.findings),
            None => {
                let mut finding = self.node.finding("is missing");
                finding.field = location::join_path(&self.node.path, name);
                self.findings.push(finding);
                None
            }
        }
    }

    /// Reads an optional field.
    pub fn optional<T: Read>(&mut self, name: &'static str) -> Option<T> {
        let node = self.take_field(name)?;
        T::read(&node, self.findings)
    }

    /// Adds a finding for each field that was not read.
    pub fn close(self) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !self.requested.contains(name) {
                let node = self.locate(name, property);
                self.findings.push(node.finding("unknown field"));
            }
        }
    }

    fn take_field(&mut self, name: &'static str) -> Option<Node<'a>> {
        self.requested.insert(name);
        let mut matches = self.object.properties.iter().filter(|p| p.name.as_str() == name);
        let first = matches.next()?;
        for duplicate in matches {
            let finding = self.locate(name, duplicate).finding("is a duplicate");
            self.findings.push(finding);
        }
        Some(self.locate(name, first))
    }

    fn locate(&self, name: &str, property: &'a jsonc_parser::ast::ObjectProp<'a>) -> Node<'a> {
        let path = location::join_path(&self.node.path, name);
        Node::at(&property.value, path, property.range.start, self.node.lines)
    }
}
