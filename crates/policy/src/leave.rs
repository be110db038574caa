//! Targets that state in their answers that they leave.
//!
//! Load pattern: a target is taken away while the store is down or slow, so that its entry goes on
//! saying that it takes requests. Each of its answers reaches one node, while the requests of all
//! nodes go on. Nodes pass statements on to each other.
//!
//! A statement holds for the incarnation of the target. After an outage of the store, entries catch
//! up: the incarnation that stated it may be a newer one than was known then, so that a statement from
//! before the end of the outage holds for the next incarnation, too, for a while.
//!
//! A statement is withdrawn by an answer. Only an answer to a request that was sent
//! after the statement was received can withdraw it, since answers overtake each other. As the target
//! gets no requests, health checks ask it; see [`crate::recheck`].

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// How long a statement holds without a new one. A target that leaves is gone long before.
const STATEMENT_TTL: Duration = Duration::from_secs(600);

/// How long a statement holds for the next incarnation. A target that leaves is gone by then; one that
/// has left and started again in the outage is used again after this time.
const CARRIED_STATEMENT_TTL: Duration = Duration::from_secs(20);

/// Maximum number of statements kept, about 250 KB.
const MAX_STATEMENTS: usize = 4_096;

/// What an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// When the request of the answer was sent.
    pub sent_at: Instant,
    /// When the answer was received.
    pub received_at: Instant,
}

/// The targets that have stated that they leave.
#[derive(Clone, Debug)]
pub struct Leaving<K> {
    statements: HashMap<K, Statement>,
}

impl<K> Default for Leaving<K> {
    fn default() -> Self {
        Self { statements: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Leaving<K> {
    /// Applies the statement of an answer, which this node or another one received. Returns whether
    /// it changes what is known of the target.
    pub fn record(&mut self, now: Instant, target: K, statement: Statement) -> bool {
        let is_known = match self.statements.get(&target) {
            None => !statement.is_leaving,
            Some(known) if statement.is_leaving => {
                known.is_leaving || statement.received_at <= known.received_at
            }
            Some(known) => !known.is_leaving || statement.sent_at <= known.received_at,
        };
        if is_known || !is_valid(&statement, now) {
            return false;
        }
        self.statements.insert(target, statement);
        if self.statements.len() > MAX_STATEMENTS {
            let oldest = self.statements.iter().min_by_key(|(_, known)| known.received_at);
            let oldest = oldest.map(|(target, _)| *target);
            oldest.and_then(|oldest| self.statements.remove(&oldest));
        }
        true
    }

    /// Applies the statement of an incarnation to the next one, of which the entry is known now, if
    /// the store was down until later. Returns whether it does.
    pub fn carry_over(&mut self, now: Instant, from: K, to: K, store_down_until: Instant) -> bool {
        let is_carried = self.is_leaving(now, from)
            && self
                .statements
                .get(&from)
                .is_some_and(|known| known.received_at <= store_down_until);
        if is_carried
            && let Some(received_at) = now.checked_sub(STATEMENT_TTL - CARRIED_STATEMENT_TTL)
        {
            self.statements.insert(to, Statement { is_leaving: true, sent_at: now, received_at });
        }
        is_carried
    }

    /// Returns whether a target has stated that it leaves.
    pub fn is_leaving(&self, now: Instant, target: K) -> bool {
        self.leaving_since(now, target).is_some()
    }

    /// Returns the statements in force that were received within `max_age`.
    pub fn recent(&self, now: Instant, max_age: Duration) -> impl Iterator<Item = (K, Statement)> {
        let is_recent = move |statement: &Statement| {
            statement.is_leaving && now.saturating_duration_since(statement.received_at) <= max_age
        };
        let known = self.statements.iter().map(|(target, statement)| (*target, *statement));
        known.filter(move |(_, statement)| is_recent(statement))
    }

    /// Returns the withdrawals that were received within `max_age`.
    pub fn recent_withdrawals(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = (K, Statement)> {
        let is_recent = move |statement: &Statement| {
            !statement.is_leaving && now.saturating_duration_since(statement.received_at) <= max_age
        };
        let known = self.statements.iter().map(|(target, statement)| (*target, *statement));
        known.filter(move |(_, statement)| is_recent(statement))
    }

    /// Returns since when a target counts as leaving, if it does.
    pub fn leaving_since(&self, now: Instant, target: K) -> Option<Instant> {
        let known = self.statements.get(&target).filter(|known| known.is_leaving);
        known.filter(|known| is_valid(known, now)).map(|known| known.received_at)
    }

    /// Returns the targets that count as leaving, each with the time since when it does.
    pub fn leaving(&self, now: Instant) -> impl Iterator<Item = (K, Instant)> {
        let in_force = move |known: &&Statement| known.is_leaving && is_valid(known, now);
        let known = self.statements.iter();
        known
            .filter(move |(_, known)| in_force(known))
            .map(|(target, known)| (*target, known.received_at))
    }

    /// Returns the number of targets that have stated that they leave.
    pub fn count(&self) -> usize {
        self.statements.values().filter(|statement| statement.is_leaving).count()
    }

    /// Removes outdated statements.
    pub fn expire(&mut self, now: Instant) {
        self.statements.retain(|_, statement| is_valid(statement, now));
    }
}

fn is_valid(statement: &Statement, now: Instant) -> bool {
    now.saturating_duration_since(statement.received_at) < STATEMENT_TTL
}
