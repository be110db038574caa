//! What a prompt costs on an engine, from the figures that its operators
//! configure.
//!
//! Reading is not linear: each token attends to all before it, so a prompt of
//! 154,000 tokens costs a hundred times one of 5,000 and not thirty times.
//! Placement, splitting and refusal all rest on this one function.

use hickory_unit::size::Tokens;
use std::time::Duration;

/// An engine's configured figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Requests that run at once.
    pub slots: u32,
    /// KV memory.
    pub kv_capacity: Tokens,
    /// Time of a token step without any stream.
    pub base_step_time: Duration,
    /// What each writing stream adds to a step.
    pub step_time_per_stream: Duration,
    /// What each thousand tokens of context of writing streams add to a step.
    pub step_time_per_kilotoken: Duration,
    /// Prompt tokens read a second.
    pub prefill_rate: f64,
    /// What a million pairs of a token with an earlier one add to reading.
    pub attention_time_per_megapair: Duration,
    /// Steps in a pass that has writers.
    pub steps_per_iteration: u32,
    /// What a prompt held by several engines adds to each step of the first.
    pub remote_kv_step_time: Duration,
    /// Tokens of an answer at the mean; what answers are guessed to be.
    pub mean_answer: Tokens,
}

impl Profile {
    /// The time to read a prompt on one engine that does nothing else.
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.0 as f64;
        let linear = tokens / self.prefill_rate.max(1.0);
        let megapairs = tokens * tokens / 2.0 / 1e6;
        Duration::from_secs_f64(linear + megapairs * self.attention_time_per_megapair.as_secs_f64())
    }

    /// The time of a pass with this many writers and this much context.
    pub fn iteration_time(&self, streams: u32, context: Tokens) -> Duration {
        if streams == 0 {
            return self.base_step_time;
        }
        let context_time = self.step_time_per_kilotoken.as_secs_f64() * context.0 as f64 / 1e3;
        let step = self.base_step_time
            + self.step_time_per_stream * streams
            + Duration::from_secs_f64(context_time);
        step * self.steps_per_iteration.max(1)
    }

    /// The time that a stream of the usual length takes beside so many others.
    pub fn stream_time(&self, other_streams: u32) -> Duration {
        let step =
            self.iteration_time(other_streams + 1, Tokens(0)) / self.steps_per_iteration.max(1);
        step * self.mean_answer.0 as u32
    }

    /// The memory that a request takes at its end.
    pub fn kv_needed(&self, prompt: Tokens, answer: Tokens) -> Tokens {
        prompt + answer
    }
}
