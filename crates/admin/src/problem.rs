//! Failures as problem documents (RFC 9457).

use derive_more::Display;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use serde::{Deserialize, Serialize};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// The kind of failure.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The token is missing or does not belong to an operator.
    #[display("unauthorized")]
    Unauthorized,
    /// The path or operation does not exist.
    #[display("not-found")]
    NotFound,
    /// The path does not support the method.
    #[display("bad-method")]
    BadMethod,
    /// A header is malformed or contradicts the body.
    #[display("bad-header")]
    BadHeader,
    /// The body exceeds the size limit.
    #[display("too-large")]
    TooLarge,
    /// The note is invalid; the findings contain the details.
    #[display("invalid")]
    Invalid,
    /// The note was written against another version than the current one.
    #[display("conflict")]
    Conflict,
    /// The node has no configuration yet.
    #[display("not-ready")]
    NotReady,
    /// The platform is unreachable; the request had no effect.
    #[display("unavailable")]
    Unavailable,
    /// The platform did not answer; the note may still take effect.
    #[display("unknown")]
    Unknown,
    /// The connection closed before the end of the body.
    #[display("incomplete")]
    Incomplete,
}

impl Code {
    /// Returns the HTTP status of the code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadHeader | Self::Incomplete => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::BadMethod => 405,
            Self::Conflict => 409,
            Self::TooLarge => 413,
            Self::Invalid => 422,
            Self::NotReady | Self::Unavailable => 503,
            Self::Unknown => 504,
        }
    }
}

/// A problem document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// `urn:hickoryrun:admin:` followed by the code.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code.
    pub code: Code,
    /// The HTTP status.
    pub status: u16,
    /// A description for people.
    pub detail: String,
    /// The current version, if the note conflicts with it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present: Option<id::Release>,
    /// The operation id, if a note was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
    /// The findings of the note.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

impl Problem {
    /// Creates a problem with a code and a description.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:hickoryrun:admin:{code}"),
            code,
            status: code.status(),
            detail: detail.into(),
            present: None,
            operation: None,
            findings: Vec::new(),
        }
    }
}
