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
