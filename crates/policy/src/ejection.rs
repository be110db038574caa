//! Outlier ejection: avoids targets whose failure rate is higher than that of the other targets of
//! the service.
//!
//! The failure rate is taken over the requests of all nodes. An absolute count of failures would
//! grow with the size of the fleet, and a service whose application fails one request in ten would
//! have most of its replicas ejected at any time. Each rate is compared with the median rate of the
//! service, so at most half of the targets are avoided, even if all of them fail. Targets that refuse
//! connections are left out of the median: most entries may lead nowhere, and the others are preferred then.
//!
//! A target that refuses to prefill chunks of prompts for other engines receives no chunks for a
//! backoff period, whatever the outcomes of its own streams. Such a target is shutting down without
//! having announced it, and it looks idle because it refuses everything sent to it.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Weight of the newest outcome in the exponential moving average of a target's failure rate.
const OUTCOME_WEIGHT: f64 = 0.4;

/// Half-life of a failure rate without new outcomes; it lets an avoided target be tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Latency that one failed attempt adds to a request.
const FAILED_ATTEMPT_COST: Duration = Duration::from_millis(450);

/// Expected costs below this are treated as zero: they are within the noise.
const MIN_COST: Duration = Duration::from_millis(60);

/// Upper bound of the expected cost.
const MAX_COST: Duration = Duration::from_secs(4);

/// Failure rates below this are dropped.
const MIN_RATE: f64 = 0.01;

/// Backoff after a refused chunk; each further refusal doubles it.
const CHUNK_REFUSAL_BACKOFF: Duration = Duration::from_secs(3);

/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Rate {
    failures: f64,
    /// Whether its last outcome was that it refused a connection.
    is_refusing: bool,
    at: Instant,
}

impl Rate {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.failures * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

#[derive(Clone, Copy, Debug)]
struct ChunkRefusals {
    count: u32,
    until: Instant,
}

/// Failure rates and chunk refusals of the targets.
#[derive(Clone, Debug)]
pub struct Ejection<K> {
    rates: HashMap<K, Rate>,
    chunk_refusals: HashMap<K, ChunkRefusals>,
}

impl<K> Default for Ejection<K> {
    fn default() -> Self {
        Self { rates: HashMap::new(), chunk_refusals: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Ejection<K> {
    /// Records the outcome of a request at a target.
    pub fn record_outcome(&mut self, now: Instant, target: K, is_success: bool) {
        let previous = self.rate(now, target);
        let failures = previous + OUTCOME_WEIGHT * (f64::from(u8::from(!is_success)) - previous);
        if failures < MIN_RATE {
            self.rates.remove(&target);
            return;
        }
        self.rates.insert(target, Rate { failures, is_refusing: false, at: now });
        if !is_success {
            self.rates.retain(|_, rate| rate.decayed(now) >= MIN_RATE);
        }
    }

    /// Records that connections to a target are refused. One such event sets the failure rate to 1,
    /// since it never happens by chance.
    pub fn record_unreachable(&mut self, now: Instant, target: K) {
        self.rates.insert(target, Rate { failures: 1.0, is_refusing: true, at: now });
    }

    fn rate(&self, now: Instant, target: K) -> f64 {
        self.rates.get(&target).map_or(0.0, |rate| rate.decayed(now))
    }

    /// Returns the expected latency cost of failures at each of a service's targets, beyond the
    /// cost at the median target.
    pub fn expected_costs(&self, now: Instant, targets: impl Iterator<Item = K>) -> Vec<Duration> {
        let targets: Vec<K> = targets.collect();
        let rates: Vec<f64> = targets.iter().map(|target| self.rate(now, *target)).collect();
        let is_refusing = |target: &K| self.rates.get(target).is_some_and(|rate| rate.is_refusing);
        let accepting = targets.iter().zip(&rates).filter(|(target, _)| !is_refusing(target));
        let mut sorted: Vec<f64> = accepting.map(|(_, rate)| *rate).collect();
        if sorted.is_empty() {
            sorted.clone_from(&rates);
        }
        sorted.sort_unstable_by(f64::total_cmp);
        let median = sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or_default();
        rates.into_iter().map(|rate| cost(rate, median)).collect()
    }

    /// Records that a target refused to prefill a chunk for another engine. Refusals during a
    /// backoff are ignored, so several prompts refused at the same moment count once.
    pub fn record_chunk_refusal(&mut self, now: Instant, target: K) {
        let known = self.chunk_refusals.get(&target);
        if known.is_some_and(|chunk_refusals| now < chunk_refusals.until) {
            return;
        }
        let count = known.map_or(0, |chunk_refusals| chunk_refusals.count + 1);
        let until = now + CHUNK_REFUSAL_BACKOFF * 2_u32.pow(count.min(MAX_BACKOFF_DOUBLINGS));
        self.chunk_refusals.insert(target, ChunkRefusals { count, until });
        self.chunk_refusals
            .retain(|_, chunk_refusals| chunk_refusals.until + CHUNK_REFUSAL_BACKOFF * 4 > now);
    }

    /// Returns whether a target is in backoff and receives no chunks.
    pub fn refuses_chunks(&self, now: Instant, target: K) -> bool {
        self.chunk_refusals.get(&target).is_some_and(|chunk_refusals| now < chunk_refusals.until)
    }
}

/// Returns the expected cost of the failures before the first success, if each attempt fails with
/// the probability by which `rate` exceeds the median.
fn cost(rate: f64, median: f64) -> Duration {
    let excess = (rate - median).max(0.0) / (1.0 - median).max(MIN_RATE);
    let odds = excess / (1.0 - excess).max(MIN_RATE);
    let cost = FAILED_ATTEMPT_COST.mul_f64(odds).min(MAX_COST);
    if cost < MIN_COST { Duration::ZERO } else { cost }
}
