//! Reading of JSON documents with comments that reports all findings with their locations.
//!
//! `serde` stops at the first error. Operators who send a long note, or start
//! many hosts with one settings file, need all errors at once. [`read::Read`]
//! therefore walks the syntax tree of `jsonc-parser` and continues after each
//! finding.
//!
//! ```
//! use hickory_document::{field::Fields, read::{Node, Read}, read_document};
//! use hickory_unit::finding::Finding;
//!
//! struct Point {
//!     x: u32,
//!     y: u32,
//! }
//!
//! impl Read for Point {
//!     fn read(node: &Node<'_>, findings: &mut Vec<Finding>) -> Option<Self> {
//!         let mut fields = Fields::open(node, findings)?;
//!         let x = fields.required("x");
//!         let y = fields.required("y");
//!         fields.close();
//!         Some(Self { x: x?, y: y? })
//!     }
//! }
//!
//! let parsed = read_document::<Point>("{ \"x\": true, // wrong\n \"z\": 1 }");
//! let lines: Vec<String> = parsed.findings.iter().map(|f| f.to_string()).collect();
//! assert_eq!(
//!     lines,
//!     [
//!         "line 1: x: expected an integer from 0 to 4294967295, found true",
//!         "line 1: y: is missing",
//!         "line 2: z: unknown field",
//!     ],
//! );
//! ```

pub mod field;
pub mod location;
pub mod read;
pub mod rule;

use hickory_unit::finding::Finding;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use location::{Lines, Locations};
use read::{Node, Read};

/// The path of the whole document in findings.
pub const ROOT: &str = "document";

/// The result of reading a document.
#[derive(Clone, Debug, PartialEq)]
pub struct Parsed<T> {
    /// The value, if it could be read, even if there are findings. Its type may replace invalid
    /// fields by defaults.
    pub value: Option<T>,
    /// The findings, sorted by line.
    pub findings: Vec<Finding>,
    /// The lines of all fields, to locate findings of later checks.
    pub locations: Locations,
}

impl<T> Parsed<T> {
    /// Adds findings of later checks and fills in their lines.
    ///
    /// A later finding is dropped if its field, or an object that contains it, already has one: a
    /// value that could not be read was replaced by a default, and a finding about that default
    /// would be misleading.
    pub fn add_findings(&mut self, new_findings: Vec<Finding>) {
        let known = &self.findings;
        let mut located: Vec<Finding> = new_findings
            .into_iter()
            .filter(|finding| !has_finding(known, &finding.field))
            .collect();
        self.locations.locate(&mut located);
        self.findings.append(&mut located);
        self.findings.sort();
    }

    /// Returns whether a field, or an object that contains it, has a finding.
    pub fn has_finding(&self, field: &str) -> bool {
        has_finding(&self.findings, field)
    }

    /// Returns the value if there are no findings.
    pub fn into_result(self) -> Result<T, Vec<Finding>> {
        match self.value {
            Some(value) if self.findings.is_empty() => Ok(value),
            _ => Err(self.findings),
        }
    }
}

/// Reads a document.
pub fn read_document<T: Read>(text: &str) -> Parsed<T> {
    match parse_to_ast(text, &CollectOptions::default(), &parse_options()) {
        Ok(parsed) => match &parsed.value {
            Some(root) => read_root(text, root),
            None => parse_failure(1, "is empty".to_owned()),
        },
        // The parser also counts a lone carriage return as a line end, so its line number is not
        // used.
        Err(error) => {
            parse_failure(Lines::of(text).line(error.range().start), error.kind().to_string())
        }
    }
}

fn has_finding(findings: &[Finding], field: &str) -> bool {
    findings.iter().any(|known| {
        field
            .strip_prefix(known.field.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
    })
}

fn read_root<T: Read>(text: &str, root: &jsonc_parser::ast::Value<'_>) -> Parsed<T> {
    let lines = Lines::of(text);
    let mut findings = Vec::new();
    let value = T::read(&Node::root(root, &lines), &mut findings);
    findings.sort();
    Parsed { value, findings, locations: Locations::of(root, &lines) }
}

fn parse_failure<T>(line: usize, message: String) -> Parsed<T> {
    let findings = vec![Finding { line, field: ROOT.to_owned(), message }];
    Parsed { value: None, findings, locations: Locations::default() }
}

/// Allows JSON with comments and trailing commas, and no further extensions, because a document
/// that another tool might parse differently must be rejected.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
