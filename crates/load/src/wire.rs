//! The documents of the callers' interface.

use crate::mix::Class;
use crate::outcome::Refused;
use compact_str::CompactString;
use hickory_policy::refuse::{Ran, Reason};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Whether tokens are sent as they come.
    pub stream: bool,
    /// Who waits.
    pub class: Class,
}

/// A chunk of a completion.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// The answers; always one.
    pub choices: Vec<Choice>,
    /// The counts, at the end.
    pub usage: Option<Usage>,
}

/// One answer of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// The text.
    #[serde(default)]
    pub text: CompactString,
    /// Why the answer ended; `None` before its end.
    pub finish_reason: Option<CompactString>,
}

/// The server's counts.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Problem {
    reason: String,
    ran: String,
    retry_after_ms: Option<u64>,
}

/// Reads a refusal; `None` where it is none by the interface.
pub fn parse_problem(text: &[u8]) -> Option<Refused> {
    let problem: Problem = serde_json::from_slice(text).ok()?;
    let ran = match problem.ran.as_str() {
        "no" => Ran::No,
        "unknown" => Ran::Unknown,
        _ => return None,
    };
    let retry_after = problem.retry_after_ms.map(Duration::from_millis);
    Some(Refused { reason: Reason::parse(&problem.reason)?, ran, retry_after })
}
