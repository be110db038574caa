//! Delays of the soak itself on a busy machine.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(10);

/// Shorter delays aren't recorded.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// Measures how late timers fire.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lag {
    /// The end and length of each delay.
    delays: Arc<Mutex<Vec<(Instant, Duration)>>>,
}

impl Lag {
    /// Measures until the runtime ends.
    pub(crate) fn spawn() -> Self {
        let lag = Self::default();
        let measured = lag.clone();
        tokio::spawn(async move {
            loop {
                let begin = Instant::now();
                tokio::time::sleep(INTERVAL).await;
                let delay = begin.elapsed().saturating_sub(INTERVAL);
                if delay >= MIN_DELAY {
                    measured.lock().push((Instant::now(), delay));
                }
            }
        });
        lag
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(Instant, Duration)>> {
        self.delays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the longest delay that overlaps the interval.
    pub(crate) fn max_between(&self, from: Instant, to: Instant) -> Duration {
        let delays = self.lock();
        let overlapping = delays.iter().filter(|(end, delay)| *end >= from && *end <= to + *delay);
        overlapping.map(|(_, delay)| *delay).max().unwrap_or_default()
    }
}
