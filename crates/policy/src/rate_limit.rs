//! Request rates that targets state in their answers.
//!
//! Load pattern: an overloaded target states in its answers how many requests a second it takes
//! from all nodes together. Each answer reaches one node, while the requests of all nodes go on.
//! Nodes pass statements on to the node that places requests, which counts the requests of all.
//!
//! A statement may arrive late or out of order. A stricter limit applies at once; a limit is
//! relaxed only by an answer to a request that was sent after the limit was last stated. After a
//! target has stopped stating a limit, its rate grows step by step, so that a target that is about
//! to recover doesn't get the full load at once.

use hickory_unit::rate::RequestsPerSecond;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Lower bound of an enforced limit. With less, no answer would tell that the limit has ended.
const MIN_RATE: RequestsPerSecond = RequestsPerSecond(0.25);

/// Longest window over which requests are counted.
const MAX_WINDOW: Duration = Duration::from_secs(4);

/// How long a statement is valid without a new one.
const STATEMENT_TTL: Duration = Duration::from_secs(60);

/// Time in which the rate doubles after a target has stopped stating a limit.
const RECOVERY_DOUBLING_TIME: Duration = Duration::from_secs(1);

/// Time after which a target that has stopped stating a limit is no longer limited.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// How long the end of a limit is remembered. It outlasts late statements of the limit.
const LIFTED_TTL: Duration = Duration::from_secs(20);

/// What an answer states about the rate of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The limit; `None` if the answer states none.
    pub limit: Option<RequestsPerSecond>,
    /// When the request of the answer was sent.
    pub sent_at: Instant,
    /// When the answer was received.
    pub received_at: Instant,
}

impl Statement {
    /// Whether this statement replaces an earlier one.
    fn supersedes(&self, known: &Self) -> bool {
        let is_stricter = match (self.limit, known.limit) {
            (Some(limit), Some(known_limit)) => limit <= known_limit,
            (limit, None) => limit.is_some(),
            (None, Some(_)) => false,
        };
        self.sent_at > known.received_at || (is_stricter && self.received_at > known.received_at)
    }
}

/// A change of the limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit before.
    pub before: Option<RequestsPerSecond>,
    /// The limit now.
    pub after: Option<RequestsPerSecond>,
}

#[derive(Clone, Debug)]
struct Entry {
    statement: Statement,
    /// The limit that was last stated, from which the rate grows once none is stated.
    last_limit: RequestsPerSecond,
    /// Whether this node received the answer itself.
    is_direct: bool,
    /// When requests were sent to the target, within the longest window.
    sends: VecDeque<Instant>,
}

impl Entry {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.statement.received_at)
    }

    fn is_valid(&self, now: Instant) -> bool {
        self.age(now) < if self.statement.limit.is_some() { STATEMENT_TTL } else { LIFTED_TTL }
    }

    /// Returns the rate in force; `None` if the target isn't limited.
    fn rate(&self, now: Instant) -> Option<RequestsPerSecond> {
        let age = self.age(now);
        match self.statement.limit {
            Some(limit) => (age < STATEMENT_TTL).then_some(limit.max(MIN_RATE)),
            None => (age < RECOVERY_TIME).then(|| {
                let doublings = age.as_secs_f64() / RECOVERY_DOUBLING_TIME.as_secs_f64();
                RequestsPerSecond(self.last_limit.max(MIN_RATE).0 * doublings.exp2())
            }),
        }
    }
}

/// The stated limits of the targets, and the requests sent to limited ones.
#[derive(Clone, Debug)]
pub struct RateLimits<K> {
    entries: HashMap<K, Entry>,
}

impl<K> Default for RateLimits<K> {
    fn default() -> Self {
        Self { entries: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> RateLimits<K> {
    /// Applies the statement of an answer that this node received.
    pub fn record(&mut self, target: K, statement: Statement) -> Option<Change> {
        self.apply(target, statement, true)
    }

    /// Applies a statement that another node passed on.
    pub fn merge(&mut self, target: K, statement: Statement) -> Option<Change> {
        self.apply(target, statement, false)
    }

    fn apply(&mut self, target: K, statement: Statement, is_direct: bool) -> Option<Change> {
        let Some(entry) = self.entries.get_mut(&target) else {
            let last_limit = statement.limit?;
            let entry = Entry { statement, last_limit, is_direct, sends: VecDeque::new() };
            self.entries.insert(target, entry);
            return Some(Change { before: None, after: statement.limit });
        };
        // Repeating that there is no limit must not start the recovery again.
        let is_repeated_end = statement.limit.is_none() && entry.statement.limit.is_none();
        if is_repeated_end || !statement.supersedes(&entry.statement) {
            return None;
        }
        let before = entry.statement.limit;
        entry.statement = statement;
        entry.last_limit = statement.limit.unwrap_or(entry.last_limit);
        entry.is_direct = is_direct;
        (before != statement.limit).then_some(Change { before, after: statement.limit })
    }

    /// Records that a request was sent to a target.
    pub fn record_send(&mut self, at: Instant, target: K) {
        if let Some(entry) = self.entries.get_mut(&target) {
            entry.sends.push_back(at);
        }
    }

    /// Returns the limit that a target states.
    pub fn stated_limit(&self, now: Instant, target: K) -> Option<RequestsPerSecond> {
        let entry = self.entries.get(&target).filter(|entry| entry.is_valid(now))?;
        entry.statement.limit
    }

    /// Returns whether a target is limited, or has been until recently.
    pub fn is_limited(&self, now: Instant, target: K) -> bool {
        self.entries.get(&target).is_some_and(|entry| entry.rate(now).is_some())
    }

    /// Returns the number of targets that are limited.
    pub fn count_limited(&self, now: Instant) -> usize {
        self.entries.values().filter(|entry| entry.rate(now).is_some()).count()
    }

    /// Returns the time until a request may be sent to a target, zero if it may be sent now. One of
    /// `nodes` that decide without knowledge of each other uses an equal part of the rate.
    pub fn time_until_send(&self, now: Instant, target: K, nodes: usize) -> Duration {
        let Some(entry) = self.entries.get(&target) else { return Duration::ZERO };
        let Some(rate) = entry.rate(now) else { return Duration::ZERO };
        let rate = rate.0 / nodes.max(1) as f64;
        // A whole number of requests in the shortest window of at least a second that holds one.
        let max_sends = rate.ceil();
        let window = Duration::try_from_secs_f64(max_sends / rate).unwrap_or(Duration::MAX);
        if window > MAX_WINDOW {
            return window;
        }
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < window;
        let mut recent: Vec<Instant> = entry.sends.iter().filter(is_recent).copied().collect();
        recent.sort_unstable();
        match recent.len().checked_sub(max_sends as usize) {
            Some(oldest) => (recent[oldest] + window).saturating_duration_since(now),
            None => Duration::ZERO,
        }
    }

    /// Returns the statements that this node received within `max_age`, to pass them on.
    pub fn direct_statements(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = (K, Statement)> {
        let is_due = move |entry: &Entry| {
            entry.is_direct && entry.is_valid(now) && entry.age(now) <= max_age
        };
        let entries = self.entries.iter().filter(move |(_, entry)| is_due(entry));
        entries.map(|(target, entry)| (*target, entry.statement))
    }

    /// Removes outdated statements and sends.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.is_valid(now));
        for entry in self.entries.values_mut() {
            entry.sends.retain(|at| now.saturating_duration_since(*at) < MAX_WINDOW);
        }
    }
}
