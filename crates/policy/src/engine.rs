//! Cost model of an engine, from the parameters that operators configure. Placement, splitting and
//! refusal are all based on it.
//!
//! Prefill time is not linear: each token attends to all earlier ones, so a prompt of 154,000
//! tokens costs a hundred times as much as one of 5,000, not thirty times.

use hickory_unit::size::Tokens;
use std::time::Duration;

/// Configured parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// KV memory.
    pub kv_capacity: Tokens,
    /// Time of a decode step, not counting the time per stream and per token of context.
    pub base_step_time: Duration,
    /// Time that each decoding stream adds to a step.
    pub step_time_per_stream: Duration,
    /// Time that each thousand tokens of context of the decoding streams add to a step.
    pub step_time_per_kilotoken: Duration,
    /// Prompt tokens prefilled per second, not counting the time for attention.
    pub prefill_rate: f64,
    /// Time that attention adds to a prefill, per million pairs of a token with an earlier one.
    pub attention_time_per_megapair: Duration,
    /// Number of decode steps in an iteration while streams are decoding.
    pub steps_per_iteration: u32,
    /// Time that a prompt whose KV cache is held by several engines adds to each decode step of the
    /// primary engine.
    pub remote_kv_step_time: Duration,
    /// Mean number of answer tokens, used as the expected answer length.
    pub mean_answer: Tokens,
}

impl Profile {
    /// Returns the prefill time of a prompt on one engine without other work.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.0 as f64;
        let linear = tokens / self.prefill_rate.max(1.0);
        let megapairs = tokens * tokens / 2.0 / 1e6;
        saturating_time(linear + megapairs * self.attention_time_per_megapair.as_secs_f64())
    }

    /// Returns the time of an iteration with this many decoding streams and this much context.
    pub fn iteration_time(&self, streams: u32, context: Tokens) -> Duration {
        if streams == 0 {
            return self.base_step_time;
        }
        let context_time = self.step_time_per_kilotoken.as_secs_f64() * context.0 as f64 / 1e3;
        let step = self
            .base_step_time
            .saturating_add(self.step_time_per_stream.saturating_mul(streams))
            .saturating_add(saturating_time(context_time));
        step.saturating_mul(self.steps_per_iteration.max(1))
    }

    /// Returns the decode time of an answer of mean length beside `other_streams`.
    pub fn stream_time(&self, other_streams: u32) -> Duration {
        let step = self.iteration_time(other_streams.saturating_add(1), Tokens(0))
            / self.steps_per_iteration.max(1);
        step.saturating_mul(u32::try_from(self.mean_answer.0).unwrap_or(u32::MAX))
    }

    /// Returns the KV memory that a request uses at its end.
    pub fn kv_needed(&self, prompt: Tokens, answer: Tokens) -> Tokens {
        prompt + answer
    }
}

/// Converts seconds, which may be beyond any duration.
fn saturating_time(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
