//! Throughput estimates of a target, which start from its reported rates and follow the measured
//! ones.
//!
//! Load pattern: a queue grows, and requests have deadlines.

use crate::cost::Cost;
use hickory_unit::{rate, size};
use std::time::{Duration, Instant};

/// Fraction of the reported prefill rate that is available beside decode steps. Decoding a full
/// batch takes about a quarter of the time of a step.
const PREFILL_FRACTION: f64 = 0.75;

/// Minimum speed of a cold target as a fraction of its full speed. Targets that prefill at a fifth
/// of their rate when cold are common; if one is even slower, the measured rates show it.
const MIN_COLD_SPEED: f64 = 0.2;

/// Assumed inter-token time before any was measured.
const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(15);

/// Time constants of the measured rates for short and long requests, in seconds: many times the
/// service time of one request of that size.
const RATE_WINDOWS_S: [f64; 2] = [2.0, 10.0];

/// Minimum rate estimate, as a fraction of the initial estimate: a target that stalled for a while
/// must not refuse all later requests.
const MIN_RATE_FRACTION: f64 = 0.05;

/// Calls per second that are assumed initially for each slot of a plain service.
const INITIAL_CALLS_PER_SLOT: f64 = 20.0;

/// Weight of a new measurement in the moving average.
const EWMA_WEIGHT: f64 = 0.3;

/// Throughput estimates of one target.
#[derive(Clone, Debug)]
pub struct Throughput {
    reported_prefill_rate: u64,
    /// Fraction of the full speed, from 0 to 1, by the reported warmth.
    warmth_factor: f64,
    token_time: Duration,
    /// Initial estimate of the work per second.
    initial_rate: f64,
    /// Work granted while requests waited, decayed over the window; short and long.
    recent_grants: [f64; 2],
    advanced_at: Option<Instant>,
}

impl Throughput {
    /// Creates the estimates of a target that reports this prefill rate in tokens per second and
    /// this number of stream slots. A prefill rate of zero means a plain service.
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

    /// Sets the warmth of the target, from 0 to 100.
    pub fn set_warmth(&mut self, warmth: u8) {
        self.warmth_factor = (f64::from(warmth.min(100)) / 100.0).max(MIN_COLD_SPEED);
    }

    /// Returns the prompt tokens prefilled per second at the current warmth without other work.
    pub fn current_prefill_rate(&self) -> u64 {
        (self.reported_prefill_rate as f64 * self.warmth_factor) as u64
    }

    /// Returns the prompt tokens prefilled per second beside the decode of other streams.
    pub fn shared_prefill_rate(&self) -> u64 {
        (self.current_prefill_rate() as f64 * PREFILL_FRACTION) as u64
    }

    /// Returns the time to first token after a prefill of `tokens`.
    pub fn time_to_first_token(&self, tokens: size::Tokens) -> Duration {
        rate::TokensPerSecond(self.shared_prefill_rate().max(1) as f64).time_for(tokens)
            + self.token_time
    }

    /// Returns the service time to reserve for a granted request, of the time that was left when it
    /// arrived. The decode is limited to half of that time, so that a request isn't refused because
    /// of tokens that may never come: an answer may be shorter than its maximum. A request without
    /// tokens is a call of a plain service, whose service time is unknown.
    pub fn service_time(&self, cost: Cost, time_at_arrival: Duration) -> Duration {
        if cost.kv().0 == 0 {
            return Duration::ZERO;
        }
        let steps = u32::try_from(cost.decode.0).unwrap_or(u32::MAX);
        let decode = self.token_time.saturating_mul(steps).min(time_at_arrival / 2);
        self.time_to_first_token(cost.prefill).saturating_add(decode)
    }

    /// Returns the time until `work` has been granted from the queue.
    pub fn queue_time(&self, work: u64, is_long: bool) -> Duration {
        rate::TokensPerSecond(self.grant_rate(is_long)).time_for(size::Tokens(work))
    }

    /// Returns the work per second that is granted from the queue.
    pub fn grant_rate(&self, is_long: bool) -> f64 {
        let size = usize::from(is_long);
        let measured = self.recent_grants[size] / RATE_WINDOWS_S[size];
        measured.max(self.initial_rate * MIN_RATE_FRACTION)
    }

    /// Records work that was granted from the queue.
    pub fn record_grant(&mut self, work: u64, is_long: bool) {
        self.recent_grants[usize::from(is_long)] += work as f64;
    }

    /// Updates the inter-token time from a completed stream.
    pub fn record_decode(&mut self, tokens: size::Tokens, took: Duration) {
        if tokens.0 < 2 {
            return;
        }
        let measured = took.as_secs_f64() / (tokens.0 - 1) as f64;
        let token_time =
            self.token_time.as_secs_f64() * (1.0 - EWMA_WEIGHT) + measured * EWMA_WEIGHT;
        self.token_time = Duration::from_secs_f64(token_time);
    }

    /// Advances the time. Only time in which requests of a size wait counts for the rate of that
    /// size, since the load of an idle target doesn't show its capacity.
    pub fn advance(&mut self, now: Instant, has_waiting: [bool; 2]) {
        let previous = self.advanced_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(previous).as_secs_f64();
        for (size, granted) in self.recent_grants.iter_mut().enumerate() {
            let decay = (-elapsed / RATE_WINDOWS_S[size]).exp();
            let baseline = self.initial_rate * RATE_WINDOWS_S[size];
            *granted = match has_waiting[size] {
                true => *granted * decay,
                // Decays towards the initial estimate, so that a slow period doesn't affect later
                // ones.
                false => baseline + (*granted - baseline) * decay,
            };
        }
    }
}
