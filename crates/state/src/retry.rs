//! Retry delays for failed calls.

use std::time::Duration;

/// Exponential backoff with jitter.
///
/// All nodes see the same outage. Without jitter their retries would arrive in lockstep
/// and overload the service each time it returns; without exponential growth they would
/// keep it overloaded.
#[derive(Clone, Debug)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    failures: u32,
    state: u64,
}

impl Backoff {
    /// Starts at `min_delay` after the first failure and doubles with each further one,
    /// up to `max_delay`. Each delay is then shortened at random by up to a half.
    pub fn new(min_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        Self { min_delay, max_delay, failures: 0, state: seed }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let full = self.min_delay.saturating_mul(1 << self.failures.min(16)).min(self.max_delay);
        self.failures = self.failures.saturating_add(1);
        full.mul_f64(0.5 + self.random_unit() / 2.0)
    }

    /// Records a success: the next failure starts at the minimum delay again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns a random duration below `max`, to spread what many nodes do in response to
    /// the same event.
    pub fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.random_unit())
    }

    /// Returns a number from 0 to 1, drawn from the SplitMix64 generator.
    fn random_unit(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
