//! What a caller asks, as decoded from its request's head.

use compact_str::CompactString;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A request's head in the product's terms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's own id of this attempt.
    pub attempt: CompactString,
    /// The host it is for, without a port.
    pub host: CompactString,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The caller's key.
    pub key: Option<CompactString>,
    /// The last event that the caller has of the stream.
    pub resume_after: Option<u64>,
    /// What it weighs on an engine.
    pub prompt: Option<Prompt>,
}

/// The size of a prompt and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// Tokens to read.
    pub tokens: Tokens,
    /// Tokens to write at most.
    pub max_answer: Tokens,
    /// Tokens to write by the caller's guess.
    pub expected_answer: Option<Tokens>,
}
