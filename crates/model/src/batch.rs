//! The batch of an engine and the planning of its steps (continuous batching with
//! chunked prefill).

use crate::option::Options;
use hickory_target::engine::{Handle, Priority, Weights};
use hickory_unit::id;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The scheduling order of sequences: higher priority first, then first come, first
/// served.
pub(crate) type Key = (Reverse<Priority>, u64);

/// A fault that stops sequences from making progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stall {
    /// No fault.
    #[default]
    None,
    /// Sequences stop after this number of tokens; 0 is before the first token.
    After(u64),
}

/// A stream that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) stream: id::Stream,
    pub(crate) weights: Weights,
    pub(crate) prompt_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) blocks: Vec<u64>,
    pub(crate) import: Option<Handle>,
    pub(crate) keep_as: Option<Handle>,
    pub(crate) crashes_engine: bool,
    /// Number of leading blocks that are referenced in the prefix cache.
    pub(crate) shared_blocks: usize,
    /// Tokens reserved in addition to these blocks.
    pub(crate) reserved_tokens: u64,
    pub(crate) prefill_left: u64,
    pub(crate) generated: u64,
}

impl Sequence {
    /// Returns whether the sequence uses and fills the prefix cache. A sequence
    /// whose KV cache is imported or kept under a handle doesn't.
    pub(crate) fn uses_prefix_cache(&self) -> bool {
        self.import.is_none() && self.keep_as.is_none()
    }

    fn context_tokens(&self) -> u64 {
        self.prompt_tokens - self.prefill_left + self.generated
    }

    fn is_stalled(&self, stall: Stall) -> bool {
        match stall {
            Stall::None => false,
            Stall::After(0) => true,
            Stall::After(count) => self.generated >= count,
        }
    }
}

/// One step of the engine: the prefill chunks and decoded sequences, and its end.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) ends_at: Instant,
    pub(crate) prefill: Vec<(Key, u64)>,
    pub(crate) decode: Vec<Key>,
}

/// Plans the next step of a batch; returns `None` if no sequence can make progress.
/// The prefill budget of a step bounds the inter-token latency of the decoding
/// sequences. It is assigned to sequences in the order of `Key`.
pub(crate) fn plan_step(
    now: Instant,
    batch: &BTreeMap<Key, Sequence>,
    stall: Stall,
    speed: f64,
    options: &Options,
) -> Option<Step> {
    let mut step = Step { ends_at: now, prefill: Vec::new(), decode: Vec::new() };
    let mut budget = options.prefill_chunk.0;
    let mut seconds = 0.0;
    let mut kv_tokens_read = 0;
    for (key, sequence) in batch.iter().filter(|(_, sequence)| !sequence.is_stalled(stall)) {
        if sequence.prefill_left == 0 {
            step.decode.push(*key);
            kv_tokens_read += sequence.context_tokens();
        } else if budget > 0 {
            let chunk = sequence.prefill_left.min(budget);
            budget -= chunk;
            seconds +=
                prefill_seconds(sequence.prompt_tokens - sequence.prefill_left, chunk, options);
            step.prefill.push((*key, chunk));
        }
    }
    if step.decode.is_empty() && step.prefill.is_empty() {
        return None;
    }
    seconds += decode_time(step.decode.len(), kv_tokens_read, options).as_secs_f64();
    step.ends_at += Duration::from_secs_f64(seconds / (options.speed * speed));
    Some(step)
}

/// Returns the time in seconds that a warm engine takes to prefill `chunk` tokens
/// that follow `context` tokens.
pub fn prefill_seconds(context: u64, chunk: u64, options: &Options) -> f64 {
    let middle = context as f64 + chunk as f64 / 2.0;
    let factor = 1.0 + middle / options.double_cost_context.0.max(1) as f64;
    chunk as f64 * factor / options.prefill_rate.max(1) as f64
}

/// Returns the time that a warm engine takes to decode one token for each of
/// `streams` streams, which together hold `kv_tokens_read` tokens of KV cache.
pub fn decode_time(streams: usize, kv_tokens_read: u64, options: &Options) -> Duration {
    match streams {
        0 => Duration::ZERO,
        n => {
            let further_streams = options.step_time_per_stream * (n as u32 - 1);
            options.step_time
                + further_streams
                + options.step_time_per_million_kv_tokens.mul_f64(kv_tokens_read as f64 / 1e6)
        }
    }
}
