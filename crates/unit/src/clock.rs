//! The clock, passed in wherever time decides something.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time, for durations and leases.
    fn now(&self) -> Instant;
    /// Wall-clock time, only for what crosses hosts (deadlines within ids).
    fn wall(&self) -> SystemTime;

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        self.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }
}

/// The clock of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is moved, for tests and simulations.
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    passed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// A clock that starts at wall-clock time zero plus one day.
    pub fn start() -> Self {
        Self { start: Instant::now(), passed: Arc::default() }
    }

    /// Moves the clock on by `step`.
    pub fn advance(&self, step: Duration) {
        *self.lock() += step;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Duration> {
        self.passed.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + *self.lock()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(86_400) + *self.lock()
    }
}
