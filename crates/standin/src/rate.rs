//! A bound on calls a second: calls beyond it wait in the order in which they
//! come, as behind a slow service.

use std::time::{Duration, Instant};

/// The calls of one kind.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    interval: Duration,
    next_start: Instant,
}

impl RateLimit {
    /// At most `per_second` calls.
    pub fn open(now: Instant, per_second: u32) -> Self {
        Self { interval: Duration::from_secs(1) / per_second.max(1), next_start: now }
    }

    /// How long a call that comes now waits.
    pub fn reserve(&mut self, now: Instant) -> Duration {
        let start = self.next_start.max(now);
        self.next_start = start + self.interval;
        start - now
    }
}
