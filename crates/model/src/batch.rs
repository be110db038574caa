//! Streams in a batch, and the steps that move them on.

use crate::option::Options;
use hickory_target::engine::{Handle, Priority, Weights};
use hickory_unit::id;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The place of a stream among others: the greater priority first, then the
/// earlier.
pub(crate) type Key = (Reverse<Priority>, u64);

/// Where streams stop to move on, as a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stall {
    /// They move.
    #[default]
    None,
    /// After so many tokens; 0 is before the first.
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
    /// Leading blocks held in the prefix cache.
    pub(crate) shared_blocks: usize,
    /// Tokens reserved beside them.
    pub(crate) reserved_tokens: u64,
    pub(crate) prefill_left: u64,
    pub(crate) generated: u64,
}

impl Sequence {
    /// Whether it holds cached blocks and shares its own; one whose KV cache
    /// goes to or comes from a handle keeps it apart.
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

/// What a step does, and when it is done.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) ends_at: Instant,
    pub(crate) prefill: Vec<(Key, u64)>,
    pub(crate) decode: Vec<Key>,
}

/// Makes the next step of a batch; `None` where nothing can move.
///
/// The prefill budget of a step bounds how long the decoding streams wait
/// for their next token; it goes to the first streams in the order of `Key`.
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

/// The time that a warm engine takes to prefill `chunk` tokens behind
/// `context`.
pub fn prefill_seconds(context: u64, chunk: u64, options: &Options) -> f64 {
    let middle = context as f64 + chunk as f64 / 2.0;
    let factor = 1.0 + middle / options.double_cost_context.0.max(1) as f64;
    chunk as f64 * factor / options.prefill_rate.max(1) as f64
}

/// The time that a warm engine takes to decode one token of each of
/// `streams`, which hold `kv_read` tokens together.
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
