//! Doubt about the targets of a zone of which several have just failed.
//!
//! Load pattern: a zone fails at once under many streams. The nodes report one target after
//! another, each when a stream breaks there or a connection is refused. Until then a dead target
//! looks idle, since the streams that were cut there have ended, and it attracts the streams that
//! are to be resumed. After a few such reports, the other targets of the zone are therefore avoided
//! for a moment.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Time within which the failures of a zone count together. The nodes find a broken connection's
/// cause within 200 ms.
const FAILURE_WINDOW: Duration = Duration::from_millis(200);

/// Maximum time that a zone is in doubt.
const MAX_DOUBT: Duration = Duration::from_secs(1);

/// Time after a failure in which answers of the zone don't count: they were sent before it.
const ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Sum of the weights of a zone's failures that puts it in doubt: two targets that refuse
/// connections, or more that fail in other ways. Poison requests crash two targets in a longer
/// time, and an application's errors rarely come from four targets without an answer between.
const MIN_WEIGHT: u32 = 4;

/// How a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// It failed a request, or was silent.
    Request,
    /// It refuses connections.
    Unreachable,
}

impl Failure {
    fn weight(self) -> u32 {
        match self {
            Self::Request => 1,
            Self::Unreachable => 2,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record<K> {
    target: K,
    failure: Failure,
    at: Instant,
}

/// The latest failures of a zone.
#[derive(Clone, Debug)]
struct Zone<K> {
    /// The latest failure of each target.
    records: Vec<Record<K>>,
    doubted_since: Option<Instant>,
}

impl<K> Default for Zone<K> {
    fn default() -> Self {
        Self { records: Vec::new(), doubted_since: None }
    }
}

impl<K> Zone<K> {
    fn is_doubted(&self, now: Instant) -> bool {
        self.doubted_since.is_some_and(|since| now.saturating_duration_since(since) < MAX_DOUBT)
    }

    fn expire(&mut self, now: Instant) {
        if self.doubted_since.is_some() && !self.is_doubted(now) {
            *self = Self::default();
        }
        self.records.retain(|record| now.saturating_duration_since(record.at) <= FAILURE_WINDOW);
    }
}

/// The latest failures by zone. The same zone has a key for each service.
#[derive(Clone, Debug)]
pub struct Doubt<Z, K> {
    zones: HashMap<Z, Zone<K>>,
}

impl<Z, K> Default for Doubt<Z, K> {
    fn default() -> Self {
        Self { zones: HashMap::new() }
    }
}

impl<Z: Clone + Ord + Hash, K: Copy + Eq> Doubt<Z, K> {
    /// Records a failure of a target. Returns whether it puts the zone in doubt.
    pub fn record_failure(&mut self, now: Instant, zone: &Z, target: K, failure: Failure) -> bool {
        self.expire(now);
        let zone = self.zones.entry(zone.clone()).or_default();
        let previous = zone.records.iter().position(|record| record.target == target);
        let previous = previous.map(|index| zone.records.swap_remove(index).failure);
        let failure = failure.max(previous.unwrap_or(failure));
        zone.records.push(Record { target, failure, at: now });
        let weight: u32 = zone.records.iter().map(|record| record.failure.weight()).sum();
        let begins = weight >= MIN_WEIGHT && zone.doubted_since.is_none();
        if begins {
            zone.doubted_since = Some(now);
        }
        begins
    }

    /// Records an answer of a target in a zone. It ends the doubt and forgets the failures, unless
    /// it may have been sent before the latest of them. Returns whether it ended a doubt.
    pub fn record_answer(&mut self, now: Instant, zone: &Z) -> bool {
        let Some(known) = self.zones.get(zone) else { return false };
        let failed_at = known.records.iter().map(|record| record.at).chain(known.doubted_since);
        let is_later =
            failed_at.max().is_none_or(|at| now.saturating_duration_since(at) > ANSWER_DELAY);
        let was_doubted = known.is_doubted(now);
        if is_later {
            self.zones.remove(zone);
        }
        is_later && was_doubted
    }

    /// Removes what is outdated.
    pub fn expire(&mut self, now: Instant) {
        self.zones.retain(|_, zone| {
            zone.expire(now);
            zone.doubted_since.is_some() || !zone.records.is_empty()
        });
    }

    /// Returns whether nothing is in doubt and no recent failure is known.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns for each of a service's targets, given by their zones, whether it is in doubt: all
    /// targets of the zones that are, the earliest first, as long as these are at most half of the
    /// targets.
    pub fn doubted(&self, now: Instant, zones: &[Z]) -> Vec<bool> {
        let since = |zone: &Zone<K>| zone.doubted_since.filter(|_| zone.is_doubted(now));
        let doubted = self.zones.iter().filter_map(|(key, zone)| Some((since(zone)?, key)));
        let count = |key: &Z| zones.iter().filter(|zone| *zone == key).count();
        let mut doubted: Vec<(Instant, &Z, usize)> =
            doubted.map(|(since, key)| (since, key, count(key))).collect();
        doubted.sort_unstable();
        let mut total = 0;
        doubted.retain(|(_, _, count)| {
            let is_within_half = (total + count) * 2 <= zones.len();
            total += if is_within_half { *count } else { 0 };
            is_within_half
        });
        zones.iter().map(|zone| doubted.iter().any(|(_, key, _)| *key == zone)).collect()
    }
}

/// How a choice of targets serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// It is expected to meet its goal, maybe after it has waited.
    InTime,
    /// It runs, and is expected to miss its goal.
    Late,
    /// It is rejected.
    None,
}

/// Chooses between a decision for the targets outside of doubt and one for all targets. Those in
/// doubt are used only if the request gets better service that way.
pub fn choose<T>(trusted: T, all: impl FnOnce() -> T, service: impl Fn(&T) -> Service) -> T {
    let trusted_service = service(&trusted);
    if trusted_service == Service::InTime {
        return trusted;
    }
    let all = all();
    match trusted_service == Service::None || service(&all) == Service::InTime {
        true => all,
        false => trusted,
    }
}
