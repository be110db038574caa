//! Preemption of bulk work by cancel and resume. A stream is preempted only where
//! the time to redo its work is less than the time that the interactive ask would
//! wait, where its own deadline can still be met, and once at most.
//!
//! Load pattern: long or batch streams hold the slots or the memory of every
//! engine that could run an interactive ask.

use crate::cost::{Class, Cost};
use crate::limit::Ticket;
use hickory_unit::size;
use std::time::{Duration, Instant};

/// Waits shorter than this are not worth any preemption: the cancel, its
/// confirmation and the new grant take as long.
const MIN_PREEMPTION_WAIT: Duration = Duration::from_millis(250);

/// How many times the time to redo the wait must be. One would trade a second
/// of one for a second of the other and add the cost of the cancel.
const MIN_WAIT_TO_REDO_RATIO: u32 = 2;

/// A stream that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningStream {
    /// Its permit.
    pub ticket: Ticket,
    /// Who waits for it.
    pub class: Class,
    /// What it weighs.
    pub cost: Cost,
    /// Prompt tokens prefilled, of which the engine's cache keeps nothing.
    pub prefilled: size::Tokens,
    /// Tokens generated; they are not generated again.
    pub generated: size::Tokens,
    /// Its deadline.
    pub deadline: Instant,
    /// How often it was preempted.
    pub preemptions: u32,
}

/// The ask that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// What it weighs.
    pub cost: Cost,
    /// Who waits for it.
    pub class: Class,
    /// How long it will wait where nothing is preempted.
    pub expected_wait: Duration,
    /// KV memory that is free on the engine.
    pub kv_free: size::Tokens,
}

/// How fast the engine works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// Prompt tokens a second.
    pub prefill_rate: u64,
    /// Between two tokens of a stream.
    pub token_time: Duration,
}

/// The stream to preempt for an ask that waits, if it pays: of those that
/// make room and lose nothing but time, the one with the least to redo.
pub fn choose_victim(
    now: Instant,
    waiting: WaitingRequest,
    speed: EngineSpeed,
    running: &[RunningStream],
) -> Option<Ticket> {
    if waiting.class != Class::Interactive
        || waiting.cost.is_long()
        || waiting.expected_wait < MIN_PREEMPTION_WAIT
    {
        return None;
    }
    let eligible = running.iter().filter(|stream| {
        let is_bulk = stream.class == Class::Batch || stream.cost.is_long();
        let frees_enough = waiting.kv_free + stream.cost.kv() >= waiting.cost.kv();
        is_bulk && frees_enough && stream.preemptions == 0
    });
    let worthwhile = eligible.filter(|stream| {
        let redo_time = time_to_prefill(tokens_to_redo(stream), speed);
        redo_time * MIN_WAIT_TO_REDO_RATIO <= waiting.expected_wait
            && now + waiting.expected_wait + time_left(stream, speed) < stream.deadline
    });
    worthwhile
        .min_by_key(|stream| (tokens_to_redo(stream), stream.ticket))
        .map(|stream| stream.ticket)
}

/// Tokens to prefill again: what was prefilled, and what was generated since,
/// which a resume prefills as part of the prompt.
fn tokens_to_redo(stream: &RunningStream) -> size::Tokens {
    stream.prefilled + stream.generated
}

/// The time that a stream needs after its resume.
fn time_left(stream: &RunningStream, speed: EngineSpeed) -> Duration {
    let prefill = time_to_prefill(stream.cost.prefill + stream.generated, speed);
    let tokens = stream.cost.decode.saturating_sub(stream.generated);
    prefill + speed.token_time.saturating_mul(u32::try_from(tokens.0).unwrap_or(u32::MAX))
}

fn time_to_prefill(tokens: size::Tokens, speed: EngineSpeed) -> Duration {
    Duration::from_secs_f64(tokens.0 as f64 / speed.prefill_rate.max(1) as f64)
}
