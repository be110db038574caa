//! Failures of commands, with the exit codes that scripts see.

use hickory_admin::problem::{Code, Problem};
use hickory_unit::finding::{self, Finding};
use hickory_unit::id;

/// The reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// A file can't be read, or an answer can't be parsed.
    Local(String),
    /// Wrong usage that the argument parser does not detect.
    Usage(String),
    /// The configuration has changed since the version that the note is against.
    Conflict {
        /// The current version.
        present: Option<id::Release>,
        /// A description for people.
        detail: String,
    },
    /// A document is invalid.
    Invalid {
        /// The file.
        file: String,
        /// All findings.
        findings: Vec<Finding>,
    },
    /// No node answered; holds the reason for each.
    Unreachable(Vec<String>),
    /// There is no token, or it is not the token of an operator.
    Unauthorized(String),
    /// The answer was lost, and reading the operation back was inconclusive.
    Unknown {
        /// The operation's id.
        operation: String,
        /// A description for people.
        detail: String,
    },
    /// The platform can't be reached; nothing was done.
    Unavailable(String),
    /// The node refused for another reason.
    Refused(String),
}

impl Failure {
    /// Returns the exit code.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Self::Local(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Invalid { .. } => 4,
            Self::Unreachable(_) => 5,
            Self::Unauthorized(_) => 6,
            Self::Unknown { .. } => 7,
            Self::Unavailable(_) => 8,
            Self::Refused(_) => 9,
        }
    }

    /// Returns the failure's name in the output.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Local(_) => "local",
            Self::Usage(_) => "usage",
            Self::Conflict { .. } => "conflict",
            Self::Invalid { .. } => "invalid",
            Self::Unreachable(_) => "unreachable",
            Self::Unauthorized(_) => "unauthorized",
            Self::Unknown { .. } => "unknown",
            Self::Unavailable(_) => "unavailable",
            Self::Refused(_) => "refused",
        }
    }

    /// Returns a description for people in one line; findings are printed separately.
    pub(crate) fn detail(&self) -> String {
        match self {
            Self::Local(detail)
            | Self::Usage(detail)
            | Self::Unauthorized(detail)
            | Self::Unavailable(detail)
            | Self::Refused(detail)
            | Self::Conflict { detail, .. } => detail.clone(),
            Self::Invalid { file, findings } => {
                format!("{file}: {}", finding::count_text(findings))
            }
            Self::Unreachable(reasons) => format!("no node answered: {}", reasons.join("; ")),
            Self::Unknown { operation, detail } => {
                format!("{detail}; ask later with: hickory release find {operation}")
            }
        }
    }
}

/// Converts a problem document to a failure; `file` names the document that was sent.
pub(crate) fn failure_of(problem: Problem, file: &str) -> Failure {
    let Problem { code, detail, present, operation, findings, .. } = problem;
    match code {
        Code::Unauthorized => Failure::Unauthorized(detail),
        Code::Conflict => Failure::Conflict { present, detail },
        Code::Invalid => Failure::Invalid { file: file.to_owned(), findings },
        Code::Unavailable | Code::NotReady => Failure::Unavailable(detail),
        Code::Unknown => Failure::Unknown { operation: operation.unwrap_or_default(), detail },
        Code::NotFound | Code::BadMethod | Code::BadHeader | Code::TooLarge | Code::Incomplete => {
            Failure::Refused(format!("{code}: {detail}"))
        }
    }
}
