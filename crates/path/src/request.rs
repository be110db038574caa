//! The parsed head of a caller's request.

use compact_str::CompactString;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The head of a request, independent of the platform's format.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's ID of this attempt.
    pub attempt: CompactString,
    /// The requested host name, without a port.
    pub host: CompactString,
    /// How long the caller waits for the answer.
    pub time_left: Option<Duration>,
    /// The caller's API key.
    pub key: Option<CompactString>,
    /// The ID of the last event of the stream that the caller has received.
    pub resume_after: Option<u64>,
    /// The size of the prompt, for requests to engines.
    pub prompt: Option<Prompt>,
    /// Whether the caller names a version of the weights, without which no target may run it.
    pub names_version: bool,
    /// The IDs of the prompt's parts that other prompts may share, in order.
    pub shared_parts: Vec<CompactString>,
}

/// The size of a prompt and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The number of prompt tokens.
    #[serde(deserialize_with = "hickory_unit::bounded::tokens")]
    pub tokens: Tokens,
    /// The maximum number of answer tokens.
    #[serde(deserialize_with = "hickory_unit::bounded::tokens")]
    pub max_answer: Tokens,
    /// The caller's estimate of the number of answer tokens.
    #[serde(deserialize_with = "hickory_unit::bounded::optional_tokens")]
    pub expected_answer: Option<Tokens>,
}
