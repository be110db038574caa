//! What one target has room for, and the headroom kept for short work. Bulk work
//! (long or batch) is let into a part of the slots and the memory only, one long
//! prefill runs at a time, and short prefill is handed over no faster than the
//! engine works it off: the queue stands at the owner, where shares are kept.
//!
//! Load pattern: long prompts, batch work and short interactive asks meet on one
//! engine.

use crate::cost::Cost;
use crate::fair::Lane;
use hickory_unit::size;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// One of this many stream slots and KV tokens is kept for short interactive
/// asks. An eighth serves a burst of a third of a second at the rates that
/// engines reach, and costs bulk work little, since it is bound by prefill.
const HEADROOM_DIVISOR: u32 = 8;

/// One of this many stream slots may hold long work: its KV memory is used
/// up before, and slots that decode for long slow each step for all.
const LONG_SLOTS_DIVISOR: u32 = 4;

/// Prefill work that is handed to the engine ahead of time. It covers one of
/// the engine's steps and the way there and back; more would queue in the
/// engine, out of reach of shares and deadlines, where another engine may be
/// idle.
const MAX_PREFILL_IN_FLIGHT: Duration = Duration::from_millis(60);

/// The part of the prefill rate that a long prefill keeps while short work
/// saturates an engine that honours priorities strictly: long work must
/// arrive.
const MIN_LONG_PREFILL_FRACTION: f64 = 0.25;

/// How far a load report may lag behind, with the time between two of them.
const MAX_REPORT_LAG: Duration = Duration::from_millis(500);

/// What is left of a long prefill at least until a report or its first token
/// says that it is over: a step of the engine. Long prompts slow down as they
/// go; by estimate alone they ended seconds early, and short prompts were
/// sent to engines that were still busy with them.
const MIN_UNCONFIRMED_TOKENS: f64 = 2_048.0;

/// Why an ask has no room now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// No stream slot.
    Slots,
    /// No KV memory.
    Memory,
    /// Enough prefill is in flight.
    Prefill,
}

/// What the target bears at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Streams.
    pub slots: u32,
    /// KV memory.
    pub kv: size::Tokens,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
}

/// Room held for a long ask that has waited too long for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Slots.
    pub slots: u32,
    /// KV memory.
    pub kv: size::Tokens,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    slots: u32,
    kv: u64,
}

/// A prefill in flight, by estimate.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    ticket: u64,
    tokens_left: f64,
}

/// What is in use on one target.
#[derive(Clone, Debug, Default)]
pub struct Room {
    short: Usage,
    bulk: Usage,
    long_slots: u32,
    foreign: Usage,
    /// Prefills in flight, short and long, in the order of their grants.
    prefills: [VecDeque<Prefill>; 2],
    prefill_advanced_at: Option<Instant>,
}

impl Room {
    /// Whether an ask fits.
    pub fn fits(&self, bound: Bound, lane: Lane, cost: Cost, claim: Claim) -> Result<(), Full> {
        let kv = cost.kv().0;
        if self.slots() >= bound.slots {
            return Err(Full::Slots);
        }
        if self.kv() + kv > bound.kv.0 {
            return Err(Full::Memory);
        }
        if lane.is_short_interactive() {
            self.fits_claim(bound, kv, claim)?;
        } else {
            self.fits_bulk(bound, lane, kv)?;
            if !lane.is_long {
                self.fits_claim(bound, kv, claim)?;
            }
        }
        self.fits_prefill(bound, lane, cost)
    }

    /// Bulk work leaves the headroom free, but one piece of it is let in
    /// where no other runs: an ask as large as the memory would else never
    /// run, and a target of one slot would take none.
    fn fits_bulk(&self, bound: Bound, lane: Lane, kv: u64) -> Result<(), Full> {
        if self.bulk.slots == 0 {
            return Ok(());
        }
        let bulk_slots = bound.slots - bound.slots / HEADROOM_DIVISOR;
        if self.bulk.slots >= bulk_slots
            || (lane.is_long && self.long_slots >= (bound.slots / LONG_SLOTS_DIVISOR).max(1))
        {
            return Err(Full::Slots);
        }
        if self.bulk.kv + kv > bound.kv.0 - bound.kv.0 / u64::from(HEADROOM_DIVISOR) {
            return Err(Full::Memory);
        }
        Ok(())
    }

    /// Short work leaves what a long ask has claimed, down to the headroom.
    fn fits_claim(&self, bound: Bound, kv: u64, claim: Claim) -> Result<(), Full> {
        if claim == Claim::default() {
            return Ok(());
        }
        let short_slots = bound.slots.saturating_sub(self.bulk.slots + claim.slots);
        if self.short.slots >= short_slots.max(bound.slots / HEADROOM_DIVISOR) {
            return Err(Full::Slots);
        }
        let short_kv = bound.kv.0.saturating_sub(self.bulk.kv + claim.kv.0);
        if self.short.kv + kv > short_kv.max(bound.kv.0 / u64::from(HEADROOM_DIVISOR)) {
            return Err(Full::Memory);
        }
        Ok(())
    }

    fn fits_prefill(&self, bound: Bound, lane: Lane, cost: Cost) -> Result<(), Full> {
        let in_flight = self.prefill_in_flight(lane.is_long);
        if in_flight == 0.0 {
            return Ok(());
        }
        let max_in_flight = bound.prefill_rate as f64 * MAX_PREFILL_IN_FLIGHT.as_secs_f64();
        if lane.is_long || in_flight + cost.prefill.0 as f64 > max_in_flight {
            return Err(Full::Prefill);
        }
        Ok(())
    }

    /// Takes room.
    pub fn acquire(&mut self, ticket: u64, lane: Lane, cost: Cost) {
        let usage = if lane.is_short_interactive() { &mut self.short } else { &mut self.bulk };
        usage.slots += 1;
        usage.kv += cost.kv().0;
        self.long_slots += u32::from(lane.is_long);
        if cost.prefill.0 > 0 {
            let prefill = Prefill { ticket, tokens_left: cost.prefill.0 as f64 };
            self.prefills[usize::from(lane.is_long)].push_back(prefill);
        }
    }

    /// Gives room back.
    pub fn release(&mut self, ticket: u64, lane: Lane, cost: Cost) {
        let usage = if lane.is_short_interactive() { &mut self.short } else { &mut self.bulk };
        usage.slots -= 1;
        usage.kv -= cost.kv().0;
        self.long_slots -= u32::from(lane.is_long);
        self.finish_prefill(ticket, lane);
    }

    /// The first token came: the prefill is over.
    pub fn finish_prefill(&mut self, ticket: u64, lane: Lane) {
        self.prefills[usize::from(lane.is_long)].retain(|p| p.ticket != ticket);
    }

    /// Works the prefills in flight off by estimate: the short ones first, as
    /// engines that honour priorities do, but for the floor of the long one.
    pub fn advance_prefill(&mut self, now: Instant, prefill_rate: u64) {
        let previous = self.prefill_advanced_at.replace(now).unwrap_or(now);
        let budget = prefill_rate as f64 * now.saturating_duration_since(previous).as_secs_f64();
        let long_fraction =
            if self.prefills[1].is_empty() { 0.0 } else { MIN_LONG_PREFILL_FRACTION };
        let short_unused = consume_tokens(&mut self.prefills[0], budget * (1.0 - long_fraction));
        if let Some(long) = self.prefills[1].front_mut() {
            long.tokens_left = (long.tokens_left - budget * long_fraction - short_unused)
                .max(MIN_UNCONFIRMED_TOKENS.min(long.tokens_left));
        }
    }

    /// Corrects the estimate of one prefill by a load report, which lags: by
    /// now the engine may have done as much more as it does in that time.
    pub fn correct_prefill(
        &mut self,
        ticket: u64,
        lane: Lane,
        reported_left: size::Tokens,
        prefill_rate: u64,
    ) {
        if reported_left.0 == 0 {
            return self.finish_prefill(ticket, lane);
        }
        let min_left = reported_left.0 as f64 - prefill_rate as f64 * MAX_REPORT_LAG.as_secs_f64();
        let found =
            self.prefills[usize::from(lane.is_long)].iter_mut().find(|p| p.ticket == ticket);
        if let Some(prefill) = found {
            prefill.tokens_left = prefill.tokens_left.max(min_left);
        }
    }

    /// Sets what runs there that this owner did not grant.
    pub fn set_foreign(&mut self, slots: u32, kv: size::Tokens) {
        self.foreign = Usage { slots, kv: kv.0 };
    }

    /// Slots in use.
    pub fn slots(&self) -> u32 {
        self.short.slots + self.bulk.slots + self.foreign.slots
    }

    /// KV memory in use.
    pub fn kv(&self) -> u64 {
        self.short.kv + self.bulk.kv + self.foreign.kv
    }

    /// Prompt tokens in flight of one size, by estimate.
    pub fn prefill_in_flight(&self, long: bool) -> f64 {
        self.prefills[usize::from(long)].iter().map(|p| p.tokens_left).sum()
    }
}

/// Takes `budget` tokens off the queue's front; returns what is left of it.
fn consume_tokens(prefills: &mut VecDeque<Prefill>, mut token_budget: f64) -> f64 {
    while let Some(first) = prefills.front_mut() {
        if first.tokens_left > token_budget {
            first.tokens_left -= token_budget;
            return 0.0;
        }
        token_budget -= first.tokens_left;
        prefills.pop_front();
    }
    token_budget
}
