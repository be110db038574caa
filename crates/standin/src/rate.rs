//! A rate limit: excess calls wait in arrival order, as if they queued for a slow service.

use std::time::{Duration, Instant};

/// The rate limit for one kind of calls.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    interval: Duration,
    next_start: Instant,
}

impl RateLimit {
    /// Creates a limit of `per_second` calls per second.
    pub fn open(now: Instant, per_second: u32) -> Self {
        Self { interval: Duration::from_secs(1) / per_second.max(1), next_start: now }
    }

    /// Reserves the next slot and returns how long the call has to wait for it.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        let start = self.next_start.max(now);
        self.next_start = start + self.interval;
        start - now
    }
}
