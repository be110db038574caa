//! Reservations for prompts greater than one engine's memory: all of a prompt's
//! engines are reserved or none, in the order of their ids, and each answers at
//! once. Two prompts can't hold half of what both need and wait for each other.
//!
//! Load pattern: prompts of up to twice an engine's memory beside all other work.

use crate::cost::Cost;
use crate::limit::Ticket;
use crate::place::Candidate;
use hickory_unit::{id, size};
use std::time::Duration;

/// One of this many tokens of an engine's memory is left to short work, as
/// in [`crate::room`].
const HEADROOM: u64 = 8;

/// The first pause after a reservation that failed, and the greatest: less
/// than the time for which an engine holds room after it refused an urgent
/// ask ([`crate::limit::CLAIM_LIFETIME`]).
const BACK_OFF: Duration = Duration::from_millis(100);
const BACK_OFF_MOST: Duration = Duration::from_secs(1);

/// A part of a prompt and the engine that is to hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The engine.
    pub target: id::Target,
    /// The place among the parts, from 0; the last part generates.
    pub index: u32,
    /// Prompt tokens before it.
    pub from: size::Tokens,
    /// What it weighs on its engine.
    pub cost: Cost,
}

/// Why a prompt can't be cut into parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impossible {
    /// All engines together can't hold it.
    TooLong,
    /// The prefill takes longer than the time that is left; by how much.
    NoTime(Duration),
    /// Too little memory is free at present.
    NoMemory,
}

/// Cuts a prompt into parts, on as few engines as hold it, those with the
/// most free memory first.
pub fn plan_parts(
    cost: Cost,
    left: Duration,
    candidates: &[Candidate],
) -> Result<Vec<Part>, Impossible> {
    let able: u64 = candidates.iter().map(|c| c.kv_capacity.0 - c.kv_capacity.0 / HEADROOM).sum();
    if able < cost.kv().0 {
        return Err(Impossible::TooLong);
    }
    let mut free: Vec<(u64, &Candidate)> =
        candidates.iter().map(|c| (usable(c), c)).filter(|&(tokens, _)| tokens > 0).collect();
    free.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.target.cmp(&y.target)));
    let mut parts = Vec::new();
    let mut time = Duration::ZERO;
    let mut from = 0;
    for (tokens, candidate) in free {
        let rest = cost.prefill.0 - from;
        let last = rest + cost.decode.0 <= tokens;
        // The answer is generated where the last part lies, so no part but
        // the last may end the prompt.
        let prefill = if last { rest } else { tokens.min(rest.saturating_sub(1)) };
        let decode = if last { cost.decode } else { size::Tokens(0) };
        time += Duration::from_secs_f64(prefill as f64 / candidate.prefill_rate.max(1) as f64);
        parts.push(Part {
            target: candidate.target.clone(),
            index: parts.len() as u32,
            from: size::Tokens(from),
            cost: Cost { prefill: size::Tokens(prefill), decode },
        });
        from += prefill;
        if last {
            return match time.checked_sub(left).filter(|late| !late.is_zero()) {
                Some(late) => Err(Impossible::NoTime(late)),
                None => Ok(parts),
            };
        }
    }
    Err(Impossible::NoMemory)
}

fn usable(candidate: &Candidate) -> u64 {
    let room = candidate.running < candidate.bound;
    let bulk = candidate.kv_capacity.0 - candidate.kv_capacity.0 / HEADROOM;
    if room { candidate.kv_free.0.min(bulk) } else { 0 }
}

/// How long to wait before round `round` (from 1) of a reservation that
/// failed. The random part keeps two prompts from failing each other again.
pub fn back_off(round: u32, random: u64) -> Duration {
    let most = BACK_OFF.saturating_mul(1 << round.min(8)).min(BACK_OFF_MOST);
    most / 2 + most.mul_f64((random >> 11) as f64 / (1_u64 << 54) as f64)
}

/// What a reservation needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// An urgent ask for this part, answered by [`Reservation::answer`].
    Ask(Part),
    /// Nothing: every part is held. In the order of the prompt.
    Held(Vec<(Part, Ticket)>),
}

/// The reservation of all parts of one prompt, or none.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// In the order of the engines' ids.
    parts: Vec<Part>,
    held: Vec<Ticket>,
}

impl Reservation {
    /// A reservation that holds nothing yet.
    pub fn open(mut parts: Vec<Part>) -> Self {
        parts.sort_by(|a, b| a.target.cmp(&b.target));
        Self { parts, held: Vec::new() }
    }

    /// What to do next.
    pub fn next_step(&self) -> Step {
        if let Some(part) = self.parts.get(self.held.len()) {
            return Step::Ask(part.clone());
        }
        let held = self.parts.iter().cloned().zip(self.held.iter().copied());
        let mut held: Vec<_> = held.collect();
        held.sort_by_key(|(part, _)| part.index);
        Step::Held(held)
    }

    /// Takes in the answer to the last ask. A refusal ends the round: what is
    /// returned is to be given back at once.
    pub fn answer(&mut self, granted: Option<Ticket>) -> Vec<(id::Target, Ticket)> {
        match granted {
            Some(ticket) => {
                self.held.push(ticket);
                Vec::new()
            }
            None => self.release(),
        }
    }

    /// Gives up all that is held.
    pub fn release(&mut self) -> Vec<(id::Target, Ticket)> {
        let targets = self.parts.iter().map(|part| part.target.clone());
        targets.zip(std::mem::take(&mut self.held)).collect()
    }
}
