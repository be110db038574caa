//! The time between two tries of a failed call.

use std::time::Duration;

/// Exponential backoff with jitter.
///
/// All nodes meet the same outage. Without the jitter their calls would come in step
/// and the service would fall over each time it returns; without the growth they would
/// keep it down.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    most: Duration,
    failures: u32,
    state: u64,
}

impl Backoff {
    /// Waits of `first` after one failure, doubled with each further one up to
    /// `most`; each is then shortened at random by up to a half.
    pub fn open(first: Duration, most: Duration, seed: u64) -> Self {
        Self { first, most, failures: 0, state: seed }
    }

    /// The wait after one more failure.
    pub fn fail(&mut self) -> Duration {
        let full = self.first.saturating_mul(1 << self.failures.min(16)).min(self.most);
        self.failures = self.failures.saturating_add(1);
        full.mul_f64(0.5 + self.unit() / 2.0)
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// A random share of `most`, to spread what many nodes do at one event.
    pub fn spread(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.unit())
    }

    /// A number from 0 to 1, by the SplitMix64 generator.
    fn unit(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
