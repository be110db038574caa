//! The JSON documents of the callers' API.

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
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The service class.
    pub class: Class,
}

/// A chunk of a streamed completion.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// The answers; always exactly one.
    pub choices: Vec<Choice>,
    /// The token counts, in the last chunk.
    pub usage: Option<Usage>,
}

/// One answer of a chunk.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// The text of the chunk.
    #[serde(default)]
    pub text: CompactString,
    /// Why the answer ended; `None` before the end.
    pub finish_reason: Option<CompactString>,
}

/// The server's token counts.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Usage {
    /// Number of tokens generated.
    pub completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Problem {
    reason: String,
    ran: String,
    retry_after_ms: Option<u64>,
}

/// Parses a refusal. Returns `None` if the document is not a valid one.
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
