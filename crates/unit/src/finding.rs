//! What is wrong with a document, and where.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("line {line}: {field}: {message}")]
pub struct Finding {
    /// The line, from 1; 0 where the document has no such line.
    pub line: usize,
    /// The path of the field, as in `accounts.mawe-shop.models`.
    pub field: String,
    /// What is wrong.
    pub message: String,
}

impl Finding {
    /// A finding without a line, for checks that do not see the text.
    pub fn at(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { line: 0, field: field.into(), message: message.into() }
    }

    /// The finding with its file, as compilers print theirs; a line that is
    /// not known is left out.
    pub fn in_file(&self, file: &impl std::fmt::Display) -> String {
        let Self { line, field, message } = self;
        match line {
            0 => format!("{file}: {field}: {message}"),
            line => format!("{file}:{line}: {field}: {message}"),
        }
    }
}

/// How many findings there are, as text.
pub fn count_text(findings: &[Finding]) -> String {
    match findings.len() {
        1 => "1 finding".to_owned(),
        count => format!("{count} findings"),
    }
}
