//! A bound on calls a second: calls beyond it wait in the order in which they
//! come, as behind a slow service.

use std::time::{Duration, Instant};

/// The calls of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    gap: Duration,
    free_at: Instant,
}

impl Rate {
    /// At most `per_second` calls.
    pub fn open(now: Instant, per_second: u32) -> Self {
        Self { gap: Duration::from_secs(1) / per_second.max(1), free_at: now }
    }

    /// How long a call that comes now waits.
    pub fn book(&mut self, now: Instant) -> Duration {
        let begins = self.free_at.max(now);
        self.free_at = begins + self.gap;
        begins - now
    }
}
