//! How fast a target works: estimates that start at what it reports and follow
//! what passes through it.
//!
//! Load pattern: a queue grows, and asks carry deadlines.

use crate::cost::Cost;
use hickory_unit::{rate, size};
use std::time::{Duration, Instant};

/// The part of the reported prefill rate that is left beside decode steps.
/// A full batch takes about a quarter of the time of a step.
const PREFILL_FRACTION: f64 = 0.75;

/// The speed of a cold target as a part of its full speed, at least. Targets
/// that prefill at a fifth when cold are common; one that is slower still
/// shows it in the rates that are measured.
const MIN_COLD_SPEED: f64 = 0.2;

/// The time between two tokens of a stream before any was measured.
const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(15);

/// Time constants over which the rate of a queue is measured, short and
/// long: many times what one ask of that size takes.
const RATE_WINDOWS_S: [f64; 2] = [2.0, 10.0];

/// The least rate that is believed, as a part of the first estimate: a target
/// that stood still for a while must not refuse all that comes after.
const MIN_RATE_FRACTION: f64 = 0.05;

/// Calls a second that one slot of a plain service is first taken to do.
const INITIAL_CALLS_PER_SLOT: f64 = 20.0;

/// The weight of a new measurement against the old.
const EWMA_WEIGHT: f64 = 0.3;

/// The learned rates of one target.
#[derive(Clone, Debug)]
pub struct Throughput {
    reported_prefill_rate: u64,
    /// From 0 to 1, by the warmth that the target reports.
    warmth_factor: f64,
    token_time: Duration,
    /// The first estimate of work a second.
    initial_rate: f64,
    /// Work that left the queue while asks waited, decayed over the window;
    /// short and long.
    recent_grants: [f64; 2],
    advanced_at: Option<Instant>,
}

impl Throughput {
    /// What a target does that reports to prefill `prefill_rate` tokens a
    /// second and to bear `slots` streams; rate zero is a plain service.
    pub fn open(prefill_rate: u64, slots: u32) -> Self {
        let initial_rate = match prefill_rate {
            0 => f64::from(slots.max(1)) * INITIAL_CALLS_PER_SLOT,
            rate => rate as f64 * PREFILL_FRACTION,
        };
        Self {
            reported_prefill_rate: prefill_rate,
            warmth_factor: 1.0,
            token_time: INITIAL_TOKEN_TIME,
            initial_rate,
            recent_grants: RATE_WINDOWS_S.map(|window| initial_rate * window),
            advanced_at: None,
        }
    }

    /// Sets how warm the target is, from 0 to 100.
    pub fn set_warmth(&mut self, warmth: u8) {
        self.warmth_factor = (f64::from(warmth.min(100)) / 100.0).max(MIN_COLD_SPEED);
    }

    /// Prompt tokens a second at present warmth, with nothing beside them.
    pub fn current_prefill_rate(&self) -> u64 {
        (self.reported_prefill_rate as f64 * self.warmth_factor) as u64
    }

    /// Prompt tokens a second beside the decode of other streams.
    pub fn shared_prefill_rate(&self) -> u64 {
        (self.current_prefill_rate() as f64 * PREFILL_FRACTION) as u64
    }

    /// The time a first token takes with `tokens` to prefill up to it.
    pub fn time_to_first_token(&self, tokens: size::Tokens) -> Duration {
        rate::TokensPerSecond(self.shared_prefill_rate().max(1) as f64).time_for(tokens)
            + self.token_time
    }

    /// The time to keep for work of this cost once it is granted, of the time
    /// that it came with. An answer may be shorter than its greatest length,
    /// so its decode is given half of that time at most: an ask is not refused
    /// because of tokens that may never come. Work without tokens is a call of
    /// a plain service, of which nothing is known.
    pub fn service_time(&self, cost: Cost, time_at_arrival: Duration) -> Duration {
        if cost.kv().0 == 0 {
            return Duration::ZERO;
        }
        let steps = u32::try_from(cost.decode.0).unwrap_or(u32::MAX);
        let decode = self.token_time.saturating_mul(steps).min(time_at_arrival / 2);
        self.time_to_first_token(cost.prefill).saturating_add(decode)
    }

    /// The time until `work` has left the queue.
    pub fn queue_time(&self, work: u64, long: bool) -> Duration {
        rate::TokensPerSecond(self.grant_rate(long)).time_for(size::Tokens(work))
    }

    /// Work a second that leaves the queue.
    pub fn grant_rate(&self, long: bool) -> f64 {
        let size = usize::from(long);
        let measured = self.recent_grants[size] / RATE_WINDOWS_S[size];
        measured.max(self.initial_rate * MIN_RATE_FRACTION)
    }

    /// Notes work that left the queue.
    pub fn record_grant(&mut self, work: u64, long: bool) {
        self.recent_grants[usize::from(long)] += work as f64;
    }

    /// Learns the time between tokens from a stream that is whole.
    pub fn record_decode(&mut self, tokens: size::Tokens, took: Duration) {
        if tokens.0 < 2 {
            return;
        }
        let measured = took.as_secs_f64() / (tokens.0 - 1) as f64;
        let token_time =
            self.token_time.as_secs_f64() * (1.0 - EWMA_WEIGHT) + measured * EWMA_WEIGHT;
        self.token_time = Duration::from_secs_f64(token_time);
    }

    /// Lets time pass. Only time in which asks of a size wait counts for its
    /// rate: what an idle target was given says nothing of what it can do.
    pub fn advance(&mut self, now: Instant, has_waiting: [bool; 2]) {
        let previous = self.advanced_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(previous).as_secs_f64();
        for (size, granted) in self.recent_grants.iter_mut().enumerate() {
            let decay = (-elapsed / RATE_WINDOWS_S[size]).exp();
            let baseline = self.initial_rate * RATE_WINDOWS_S[size];
            *granted = match has_waiting[size] {
                true => *granted * decay,
                // Back towards the first estimate, so that one bad spell is
                // not held against the next one.
                false => baseline + (*granted - baseline) * decay,
            };
        }
    }
}
