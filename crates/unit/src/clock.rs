//! The clock, elapsed in wherever time decides something.

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

/// The clock of a machine that may be suspended.
///
/// A suspended machine's monotonic clock stands still, so that a deadline or a
/// lease measured by it would outlive its time by as long as the machine slept.
/// This one counts the boot-time clock and shows it on the same scale.
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    origin: Instant,
    boot_time_at_origin: Duration,
}

impl Boot {
    /// A clock that agrees with [`System`] now.
    pub fn start() -> Self {
        Self { origin: Instant::now(), boot_time_at_origin: read_boot_time() }
    }
}

impl Clock for Boot {
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

/// A clock that stands still until it is moved, for tests and simulations.
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Manual {
    /// A clock that starts at wall-clock time zero plus one day.
    pub fn start() -> Self {
        Self { start: Instant::now(), elapsed: Arc::default() }
    }

    /// Moves the clock on by `step`.
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
