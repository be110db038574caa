//! The clock interface. Code that makes decisions by time receives its clock as an
//! argument.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest time that is accepted from outside, about 31 years: sums of such times don't reach the
/// end of the clock.
pub const MAX_TIME: Duration = Duration::from_secs(1_000_000_000);

/// A source of time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns monotonic time, for durations and leases.
    fn now(&self) -> Instant;
    /// Returns wall-clock time, only for values that are exchanged between hosts (deadlines
    /// within ids).
    fn wall(&self) -> SystemTime;

    /// Returns wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        self.wall().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }
}

/// The system's monotonic clock.
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

/// A clock that keeps counting while the machine is suspended.
///
/// The usual monotonic clock stops during a suspension, so that a deadline or lease
/// measured by it would be extended by the length of the suspension. This clock reads the
/// boot-time clock and reports it on the same scale.
#[derive(Clone, Copy, Debug)]
pub struct BootTime {
    origin: Instant,
    boot_time_at_origin: Duration,
}

impl BootTime {
    /// Creates a clock that agrees with [`System`] at this moment.
    pub fn start() -> Self {
        Self { origin: Instant::now(), boot_time_at_origin: read_boot_time() }
    }
}

impl Clock for BootTime {
    fn now(&self) -> Instant {
        self.origin + read_boot_time().saturating_sub(self.boot_time_at_origin)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn read_boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// A clock that only advances by [`Manual::advance`], for tests and simulations.
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// Creates a clock whose wall-clock time starts one day after the Unix epoch.
    pub fn start() -> Self {
        Self { start: Instant::now(), elapsed: Arc::default() }
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.lock() += step;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Duration> {
        self.elapsed.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
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
