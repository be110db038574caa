//! Failures as problem documents (RFC 9457).

use derive_more::Display;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use serde::{Deserialize, Serialize};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// What failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// No token, or one that is no operator's.
    #[display("unauthorized")]
    Unauthorized,
    /// No such path or operation.
    #[display("not-found")]
    NotFound,
    /// The method is not one the path takes.
    #[display("bad-method")]
    BadMethod,
    /// A header can't be read, or contradicts the body.
    #[display("bad-header")]
    BadHeader,
    /// The body is over the bound.
    #[display("too-large")]
    TooLarge,
    /// The note is invalid; the findings say where.
    #[display("invalid")]
    Invalid,
    /// The note was written against another version than the present one.
    #[display("conflict")]
    Conflict,
    /// The node has no configuration yet.
    #[display("not-ready")]
    NotReady,
    /// The platform can't be reached; certainly nothing was done.
    #[display("unavailable")]
    Unavailable,
    /// No answer came from the platform; the note may take effect.
    #[display("unknown")]
    Unknown,
    /// The body broke off before its end.
    #[display("incomplete")]
    Incomplete,
}

impl Code {
    /// The HTTP status that goes with the code.
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
    /// `urn:hickoryrun:admin:` and the code.
    #[serde(rename = "type")]
    pub kind: String,
    /// The code.
    pub code: Code,
    /// The HTTP status.
    pub status: u16,
    /// What a person reads.
    pub detail: String,
    /// The present version, with a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present: Option<id::Release>,
    /// The operation's id, where a note was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
    /// All that is wrong with the note.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

impl Problem {
    /// A problem with nothing but its detail.
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
