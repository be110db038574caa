//! Outlier ejection: which targets are avoided since they fail more than their
//! fellows.
//!
//! What counts is the rate of failures, over the requests of all nodes. A count
//! of failures would grow with the fleet, and a service whose application fails
//! one request in ten would have most of its replicas ejected at any moment. A
//! rate is compared with the median of the service, so that at most half of the
//! targets are avoided, whatever they all suffer from.
//!
//! A target that refuses to read parts of prompts for other engines is given no
//! part for a time, whatever its own streams come to: it is leaving unheard, and
//! looks idle since all that is sent there is refused.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The weight of the last outcome in a target's rate.
const OUTCOME_WEIGHT: f64 = 0.4;

/// Half-life of a rate without outcomes, after which a target is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// What a failed attempt costs its caller.
const FAILED_ATTEMPT_COST: Duration = Duration::from_millis(450);

/// A lower expected cost is not told from chance.
const MIN_COST: Duration = Duration::from_millis(60);

/// The greatest expected cost.
const MAX_COST: Duration = Duration::from_secs(4);

/// Rates below this are forgotten.
const MIN_RATE: f64 = 0.01;

/// How long a target is given no parts, doubled by each further refusal.
const PART_REFUSAL_BACKOFF: Duration = Duration::from_secs(3);

/// Doublings of that at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Rate {
    failures: f64,
    at: Instant,
}

impl Rate {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.failures * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

#[derive(Clone, Copy, Debug)]
struct PartRefusals {
    count: u32,
    until: Instant,
}

/// The targets that failed lately.
#[derive(Clone, Debug)]
pub struct Ejection<K> {
    rates: HashMap<K, Rate>,
    part_refusals: HashMap<K, PartRefusals>,
}

impl<K> Default for Ejection<K> {
    fn default() -> Self {
        Self { rates: HashMap::new(), part_refusals: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Ejection<K> {
    /// Notes how a request ended at a target.
    pub fn record_outcome(&mut self, now: Instant, target: K, is_success: bool) {
        let previous = self.rate(now, target);
        let failures = previous + OUTCOME_WEIGHT * (f64::from(u8::from(!is_success)) - previous);
        if failures < MIN_RATE {
            self.rates.remove(&target);
            return;
        }
        self.rates.insert(target, Rate { failures, at: now });
        if !is_success {
            self.rates.retain(|_, rate| rate.decayed(now) >= MIN_RATE);
        }
    }

    /// Notes that nothing listens at a target: no chance brings that about.
    pub fn record_unreachable(&mut self, now: Instant, target: K) {
        self.rates.insert(target, Rate { failures: 1.0, at: now });
    }

    fn rate(&self, now: Instant, target: K) -> f64 {
        self.rates.get(&target).map_or(0.0, |rate| rate.decayed(now))
    }

    /// What it is expected to cost to try each of a service's targets, beyond
    /// what it costs to try any of them.
    pub fn expected_costs(&self, now: Instant, targets: impl Iterator<Item = K>) -> Vec<Duration> {
        let rates: Vec<f64> = targets.map(|target| self.rate(now, target)).collect();
        let mut sorted = rates.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let median = sorted.get(rates.len().saturating_sub(1) / 2).copied().unwrap_or_default();
        rates.into_iter().map(|rate| cost(rate, median)).collect()
    }

    /// Notes that a target refused to read a part for another one. Several prompts
    /// that are refused at the same moment count once.
    pub fn record_part_refusal(&mut self, now: Instant, target: K) {
        let known = self.part_refusals.get(&target);
        if known.is_some_and(|part_refusals| now < part_refusals.until) {
            return;
        }
        let count = known.map_or(0, |part_refusals| part_refusals.count + 1);
        let until = now + PART_REFUSAL_BACKOFF * 2_u32.pow(count.min(MAX_BACKOFF_DOUBLINGS));
        self.part_refusals.insert(target, PartRefusals { count, until });
        self.part_refusals
            .retain(|_, part_refusals| part_refusals.until + PART_REFUSAL_BACKOFF * 4 > now);
    }

    /// Whether a target is given no parts.
    pub fn refuses_parts(&self, now: Instant, target: K) -> bool {
        self.part_refusals.get(&target).is_some_and(|part_refusals| now < part_refusals.until)
    }
}

/// The cost of the failures that come before a success, where each attempt
/// fails by the rate beyond the median.
fn cost(rate: f64, median: f64) -> Duration {
    let excess = (rate - median).max(0.0) / (1.0 - median).max(MIN_RATE);
    let odds = excess / (1.0 - excess).max(MIN_RATE);
    let cost = FAILED_ATTEMPT_COST.mul_f64(odds).min(MAX_COST);
    if cost < MIN_COST { Duration::ZERO } else { cost }
}
