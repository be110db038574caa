//! Problems found in a document, with their place.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One problem and its place in the document.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("line {line}: {field}: {message}")]
pub struct Finding {
    /// The line, counted from 1; 0 if the document has no such line.
    pub line: usize,
    /// The path of the field, as in `accounts.mawe-shop.models`.
    pub field: String,
    /// The description of the problem.
    pub message: String,
}

impl Finding {
    /// Creates a finding without a line, for checks that have no access to the text.
    pub fn at(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { line: 0, field: field.into(), message: message.into() }
    }

    /// Formats the finding with its file name, in the style of a compiler; an unknown line
    /// is left out.
    pub fn in_file(&self, file: &impl std::fmt::Display) -> String {
        let Self { line, field, message } = self;
        match line {
            0 => format!("{file}: {field}: {message}"),
            line => format!("{file}:{line}: {field}: {message}"),
        }
    }
}

/// Formats the number of findings.
pub fn count_text(findings: &[Finding]) -> String {
    match findings.len() {
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    }
}
