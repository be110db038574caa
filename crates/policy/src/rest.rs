//! Targets that ask a node for rest.
//!
//! Load pattern: an overloaded target turns a node's request away and states for how long it wants
//! no more of that node. Its other targets are overloaded, too, so that avoiding the worst of them
//! keeps no request away. Each statement binds the node that got the answer, and stands until its
//! end, whatever later answers to requests state: these were under way. A health check that was sent
//! during the rest ends it early if it succeeds, since one caller's requests may have caused it.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Longest rest that is kept.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// Maximum number of targets kept, about 100 KB.
const MAX_TARGETS: usize = 4_096;

/// The targets that have asked this node for rest.
#[derive(Clone, Debug)]
pub struct Resting<K> {
    rests: HashMap<K, Rest>,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    /// When the latest statement arrived.
    since: Instant,
    until: Instant,
}

impl<K> Default for Resting<K> {
    fn default() -> Self {
        Self { rests: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Resting<K> {
    /// Records that a target wants no requests for this time.
    pub fn record(&mut self, now: Instant, target: K, rest: Duration) {
        let until = now + rest.min(MAX_REST);
        let known = self.rests.entry(target).or_insert(Rest { since: now, until });
        *known = Rest { since: now, until: known.until.max(until) };
        if self.rests.len() > MAX_TARGETS {
            let first = self.rests.iter().min_by_key(|(_, rest)| rest.until);
            let first = first.map(|(target, _)| *target);
            first.and_then(|first| self.rests.remove(&first));
        }
    }

    /// Ends the rest of a target that has answered a health check with success. Returns whether it
    /// was resting.
    pub fn end(&mut self, now: Instant, target: K, check_sent_at: Instant) -> bool {
        let is_ended = self.resting_since(now, target).is_some_and(|since| since < check_sent_at);
        if is_ended {
            self.rests.remove(&target);
        }
        is_ended
    }

    /// Returns since when a target wants no requests, if it wants none now.
    pub fn resting_since(&self, now: Instant, target: K) -> Option<Instant> {
        self.rests.get(&target).filter(|rest| now < rest.until).map(|rest| rest.since)
    }

    /// Returns the time until a target may get a request, zero if it may get one now.
    pub fn time_left(&self, now: Instant, target: K) -> Duration {
        let rest = self.rests.get(&target);
        rest.map_or(Duration::ZERO, |rest| rest.until.saturating_duration_since(now))
    }

    /// Returns the targets that want no requests now, each with the time since when it doesn't.
    pub fn resting(&self, now: Instant) -> impl Iterator<Item = (K, Instant)> {
        let resting = self.rests.iter().filter(move |(_, rest)| rest.until > now);
        resting.map(|(target, rest)| (*target, rest.since))
    }

    /// Returns the targets that want no requests now.
    pub fn targets(&self, now: Instant) -> impl Iterator<Item = K> {
        let resting = self.rests.iter().filter(move |(_, rest)| rest.until > now);
        resting.map(|(target, _)| *target)
    }

    /// Removes rests that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.rests.retain(|_, rest| rest.until > now);
    }
}
