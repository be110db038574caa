//! The rate limit of the weight store.

use hickory_unit::size;
use std::time::{Duration, Instant};

/// Limits the reads of a weight store: a bounded number of reads runs at once, and
/// they share one rate in order of arrival.
#[derive(Clone, Debug)]
pub struct ReadLimiter {
    bytes_per_second: size::Bytes,
    max_reads: usize,
    /// The end of each running read, oldest first.
    read_ends: Vec<Instant>,
}

/// The maximum number of reads is already running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

impl ReadLimiter {
    /// Returns a limiter without running reads.
    pub fn new(bytes_per_second: size::Bytes, max_reads: usize) -> Self {
        Self { bytes_per_second, max_reads, read_ends: Vec::new() }
    }

    /// Starts a read and returns the time until it ends.
    pub fn start_read(&mut self, now: Instant, bytes: size::Bytes) -> Result<Duration, Busy> {
        self.read_ends.retain(|end| *end > now);
        if self.read_ends.len() >= self.max_reads {
            return Err(Busy);
        }
        let rate = self.bytes_per_second.0.max(1) as f64;
        let duration = Duration::from_secs_f64(bytes.0 as f64 / rate);
        let end = self.read_ends.last().copied().unwrap_or(now) + duration;
        self.read_ends.push(end);
        Ok(end - now)
    }
}
