//! Reservations for prompts that exceed one engine's memory.
//!
//! All engines of a prompt are reserved or none. They are requested in the order of their ids, and
//! each answers immediately, so that two prompts can't each hold some of what both need and
//! deadlock.
//!
//! Load pattern: prompts of up to twice an engine's memory beside all other work.

use crate::cost::Cost;
use crate::limit::Ticket;
use crate::place::Candidate;
use hickory_unit::{id, size};
use std::time::Duration;

/// One of this many tokens of an engine's memory is left to short work, as in [`crate::room`].
const HEADROOM_DIVISOR: u64 = 8;

/// First and maximum delay after a failed reservation. The maximum is less than the time for which
/// an engine holds capacity after it refused an urgent request ([`crate::limit::CLAIM_LIFETIME`]).
const BASE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// A chunk of a prompt and the engine that is to hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The engine.
    pub target: id::Target,
    /// Index among the chunks, from 0. The engine of the last chunk decodes the answer.
    pub index: u32,
    /// Number of prompt tokens before this chunk.
    pub prompt_offset: size::Tokens,
    /// Cost of the chunk on its engine.
    pub cost: Cost,
}

/// Why a prompt can't be split into chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impossible {
    /// It exceeds the memory of all engines together.
    TooLong,
    /// The prefill exceeds the remaining time by this.
    NoTime(Duration),
    /// Too little memory is free at present.
    NoMemory,
}

/// Splits a prompt into chunks on as few engines as can hold it, those with the most free memory
/// first.
pub fn plan_chunks(
    cost: Cost,
    time_left: Duration,
    candidates: &[Candidate],
) -> Result<Vec<Chunk>, Impossible> {
    let total_kv: u64 =
        candidates.iter().map(|c| c.kv_capacity.0 - c.kv_capacity.0 / HEADROOM_DIVISOR).sum();
    if total_kv < cost.kv().0 {
        return Err(Impossible::TooLong);
    }
    let mut by_free_kv: Vec<(u64, &Candidate)> =
        candidates.iter().map(|c| (usable_kv(c), c)).filter(|&(tokens, _)| tokens > 0).collect();
    by_free_kv.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.target.cmp(&y.target)));
    let mut chunks = Vec::new();
    let mut prefill_time = Duration::ZERO;
    let mut prompt_offset = 0;
    for (tokens, candidate) in by_free_kv {
        let prompt_left = cost.prefill.0 - prompt_offset;
        let is_last = prompt_left + cost.decode.0 <= tokens;
        // The engine of the last chunk decodes the answer, so no earlier chunk may end the prompt.
        let prefill = if is_last { prompt_left } else { tokens.min(prompt_left.saturating_sub(1)) };
        let decode = if is_last { cost.decode } else { size::Tokens(0) };
        prefill_time +=
            Duration::from_secs_f64(prefill as f64 / candidate.prefill_rate.max(1) as f64);
        chunks.push(Chunk {
            target: candidate.target.clone(),
            index: chunks.len() as u32,
            prompt_offset: size::Tokens(prompt_offset),
            cost: Cost { prefill: size::Tokens(prefill), decode },
        });
        prompt_offset += prefill;
        if is_last {
            return match prefill_time.checked_sub(time_left).filter(|excess| !excess.is_zero()) {
                Some(excess) => Err(Impossible::NoTime(excess)),
                None => Ok(chunks),
            };
        }
    }
    Err(Impossible::NoMemory)
}

fn usable_kv(candidate: &Candidate) -> u64 {
    let has_slot = candidate.running < candidate.max_streams;
    let bulk_kv = candidate.kv_capacity.0 - candidate.kv_capacity.0 / HEADROOM_DIVISOR;
    if has_slot { candidate.kv_free.0.min(bulk_kv) } else { 0 }
}

/// Returns the delay before retry `round` (from 1) of a failed reservation. The random part keeps
/// two prompts from blocking each other again.
pub fn backoff(round: u32, random: u64) -> Duration {
    let max_delay = BASE_BACKOFF.saturating_mul(1 << round.min(8)).min(MAX_BACKOFF);
    max_delay / 2 + max_delay.mul_f64((random >> 11) as f64 / (1_u64 << 54) as f64)
}

/// Next step of a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an urgent permit request for this chunk and pass the result to [`Reservation::answer`].
    Request(Chunk),
    /// All chunks are held, in the order of the prompt.
    Complete(Vec<(Chunk, Ticket)>),
}

/// A reservation of all chunks of one prompt.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// In the order of the engines' ids.
    chunks: Vec<Chunk>,
    held: Vec<Ticket>,
}

impl Reservation {
    /// Creates a reservation that holds no chunk yet.
    pub fn open(mut chunks: Vec<Chunk>) -> Self {
        chunks.sort_by(|a, b| a.target.cmp(&b.target));
        Self { chunks, held: Vec::new() }
    }

    /// Returns the next step.
    pub fn next_step(&self) -> Step {
        if let Some(chunk) = self.chunks.get(self.held.len()) {
            return Step::Request(chunk.clone());
        }
        let held = self.chunks.iter().cloned().zip(self.held.iter().copied());
        let mut held: Vec<_> = held.collect();
        held.sort_by_key(|(chunk, _)| chunk.index);
        Step::Complete(held)
    }

    /// Records the result of the last permit request. A refusal ends the round; the returned
    /// permits must be released immediately.
    pub fn answer(&mut self, granted: Option<Ticket>) -> Vec<(id::Target, Ticket)> {
        match granted {
            Some(ticket) => {
                self.held.push(ticket);
                Vec::new()
            }
            None => self.release(),
        }
    }

    /// Ends the round and returns all permits that are held.
    pub fn release(&mut self) -> Vec<(id::Target, Ticket)> {
        let targets = self.chunks.iter().map(|chunk| chunk.target.clone());
        targets.zip(std::mem::take(&mut self.held)).collect()
    }
}
