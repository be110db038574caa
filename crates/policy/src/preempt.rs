//! Preemption of bulk streams by cancel and resume. A stream is preempted only if redoing its work
//! takes less time than the interactive request would wait, if its own deadline can still be met,
//! and at most once.
//!
//! Load pattern: long or batch streams hold the slots or the memory of every engine that could run
//! an interactive request.

use crate::cost::{Class, Cost};
use crate::limit::Ticket;
use hickory_unit::size;
use std::time::{Duration, Instant};

/// Minimum expected wait that justifies a preemption: the cancel, its confirmation and the new
/// grant take this long.
const MIN_PREEMPTION_WAIT: Duration = Duration::from_millis(250);

/// Minimum ratio of the wait to the time for redoing the work. A ratio of one would exchange equal
/// times and add the cost of the cancel.
const MIN_WAIT_TO_REDO_RATIO: u32 = 2;

/// A running stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningStream {
    /// Its permit.
    pub ticket: Ticket,
    /// Service class.
    pub class: Class,
    /// Estimated cost.
    pub cost: Cost,
    /// Prompt tokens prefilled. The engine's cache keeps none of them.
    pub prefilled: size::Tokens,
    /// Tokens generated, which are not generated again.
    pub generated: size::Tokens,
    /// Its deadline.
    pub deadline: Instant,
    /// Number of times it was preempted.
    pub preemptions: u32,
}

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Estimated cost.
    pub cost: Cost,
    /// Service class.
    pub class: Class,
    /// Expected wait without a preemption.
    pub expected_wait: Duration,
    /// Free KV memory of the engine.
    pub kv_free: size::Tokens,
}

/// Speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpeed {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: u64,
    /// Inter-token time of a stream.
    pub token_time: Duration,
}

/// Chooses the stream to preempt for a waiting request, or `None` if no preemption is worthwhile.
/// Of the streams that free enough memory and can still meet their deadlines, it is the one with
/// the least work to redo.
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

/// Returns the tokens to prefill again: the prefilled ones, and the generated ones, which a resume
/// prefills as part of the prompt.
fn tokens_to_redo(stream: &RunningStream) -> size::Tokens {
    stream.prefilled + stream.generated
}

/// Returns the time that a stream needs after its resume.
fn time_left(stream: &RunningStream, speed: EngineSpeed) -> Duration {
    let prefill = time_to_prefill(stream.cost.prefill + stream.generated, speed);
    let tokens = stream.cost.decode.saturating_sub(stream.generated);
    prefill + speed.token_time.saturating_mul(u32::try_from(tokens.0).unwrap_or(u32::MAX))
}

fn time_to_prefill(tokens: size::Tokens, speed: EngineSpeed) -> Duration {
    Duration::from_secs_f64(tokens.0 as f64 / speed.prefill_rate.max(1) as f64)
}
