//! Accounting of the slots, KV memory and prefill work in use on one target, with headroom for
//! short interactive requests.
//!
//! Bulk requests (long or batch) are admitted to only a part of the slots and memory, only one long
//! prefill runs at a time, and short prefill work is sent to the engine no faster than it processes
//! it. Requests therefore queue at the owner, where shares are enforced.
//!
//! Load pattern: long prompts, batch work and short interactive requests meet on one engine.

use crate::cost::Cost;
use crate::fair::Lane;
use hickory_unit::size;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// One of this many stream slots and KV tokens is reserved for short interactive requests. An
/// eighth serves a burst of a third of a second at the rates that engines reach, and costs bulk
/// work little, since that is limited by prefill.
const HEADROOM_DIVISOR: u32 = 8;

/// One of this many stream slots may hold long prompts: KV memory runs out before that, and streams
/// with a long decode slow down each step for all others.
const LONG_SLOTS_DIVISOR: u32 = 4;

/// Maximum prefill work that is sent to the engine ahead of time. It covers one engine step and the
/// network round trip. More would queue in the engine, where shares and deadlines aren't enforced,
/// while another engine may be idle.
const MAX_PREFILL_IN_FLIGHT: Duration = Duration::from_millis(60);

/// Fraction of the prefill rate that a long prefill gets while short requests saturate an engine
/// with strict priorities: long prompts must still complete.
const MIN_LONG_PREFILL_FRACTION: f64 = 0.25;

/// Maximum age of a load report, including the interval between two reports.
const MAX_REPORT_LAG: Duration = Duration::from_millis(500);

/// Minimum estimate of the tokens left of a long prefill until a load report or its first token
/// confirms that it has ended: one engine step. Long prompts slow down as they proceed; without
/// this, the estimate ended seconds early and short prompts were sent to engines that were still
/// busy.
const MIN_UNCONFIRMED_TOKENS: f64 = 2_048.0;

/// Why a request doesn't fit now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// There is no free stream slot.
    Slots,
    /// There is not enough KV memory.
    Memory,
    /// Enough prefill work is in flight.
    Prefill,
}

/// Current capacity of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Stream slots.
    pub slots: u32,
    /// KV memory.
    pub kv: size::Tokens,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: u64,
}

/// Capacity that is kept free for a long request that has waited too long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Stream slots.
    pub slots: u32,
    /// KV memory.
    pub kv: size::Tokens,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    slots: u32,
    kv: u64,
}

/// A prefill in flight, with its estimated remaining tokens.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    ticket: u64,
    tokens_left: f64,
}

/// Capacity in use on one target.
#[derive(Clone, Debug, Default)]
pub struct Room {
    short: Usage,
    bulk: Usage,
    long_slots: u32,
    foreign: Usage,
    /// Short and long prefills in flight, in the order of their grants.
    prefills: [VecDeque<Prefill>; 2],
    prefill_advanced_at: Option<Instant>,
}

impl Room {
    /// Checks whether a request fits.
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

    /// Bulk requests leave the headroom free, but one is admitted if no other runs: otherwise a
    /// request as large as the memory could never run, and a target with one slot would accept no
    /// bulk work.
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

    /// Short requests leave the claimed capacity free, but may always use the headroom.
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

    /// Reserves capacity for a granted request.
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

    /// Releases the capacity of a request.
    pub fn release(&mut self, ticket: u64, lane: Lane, cost: Cost) {
        let usage = if lane.is_short_interactive() { &mut self.short } else { &mut self.bulk };
        usage.slots -= 1;
        usage.kv -= cost.kv().0;
        self.long_slots -= u32::from(lane.is_long);
        self.finish_prefill(ticket, lane);
    }

    /// Ends the prefill of a request when its first token has arrived.
    pub fn finish_prefill(&mut self, ticket: u64, lane: Lane) {
        self.prefills[usize::from(lane.is_long)].retain(|p| p.ticket != ticket);
    }

    /// Advances the estimates of the prefills in flight: the short ones first, as engines with
    /// priorities do, except for the minimum fraction of the long one.
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

    /// Corrects the estimate of one prefill by a load report. The report is out of date by up to
    /// `MAX_REPORT_LAG`, in which the engine may have prefilled more tokens.
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

    /// Sets the usage by streams that this owner didn't grant.
    pub fn set_foreign(&mut self, slots: u32, kv: size::Tokens) {
        self.foreign = Usage { slots, kv: kv.0 };
    }

    /// Returns the slots in use.
    pub fn slots(&self) -> u32 {
        self.short.slots + self.bulk.slots + self.foreign.slots
    }

    /// Returns the KV memory in use.
    pub fn kv(&self) -> u64 {
        self.short.kv + self.bulk.kv + self.foreign.kv
    }

    /// Returns the estimated prompt tokens in flight of short or long prompts.
    pub fn prefill_in_flight(&self, is_long: bool) -> f64 {
        self.prefills[usize::from(is_long)].iter().map(|p| p.tokens_left).sum()
    }
}

/// Removes up to `token_budget` tokens from the front of the queue and returns the unused budget.
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
