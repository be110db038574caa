//! Targets that state in health checks that they are cold.
//!
//! Load pattern: a target turns cold while the store is down, so that its entry goes on saying that
//! it is warm, and a full share of the requests would crash it.
//!
//! The statement to the request that was sent last is the one that holds, since answers overtake
//! each other. It ends by itself.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The longest time for which a target counts as cold by one statement.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);

/// Maximum number of statements kept, about 250 KB.
const MAX_STATEMENTS: usize = 4_096;

/// What the answer to a health check states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// When the health check was sent.
    pub sent_at: Instant,
    /// When the target stops being cold; in the past if it isn't cold.
    pub cold_until: Instant,
}

/// The targets that have stated that they are cold.
#[derive(Clone, Debug)]
pub struct Cold<K> {
    statements: HashMap<K, Statement>,
}

impl<K> Default for Cold<K> {
    fn default() -> Self {
        Self { statements: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Cold<K> {
    /// Applies a statement. Returns whether the target counts as cold from now on and didn't before,
    /// or the other way round.
    pub fn record(&mut self, now: Instant, target: K, statement: Statement) -> bool {
        let known = self.statements.get(&target);
        if known.is_some_and(|known| statement.sent_at <= known.sent_at) {
            return false;
        }
        let was_cold = self.is_cold(now, target);
        let cold_until = statement.cold_until.min(now + MAX_COLD_TIME);
        self.statements.insert(target, Statement { cold_until, ..statement });
        if self.statements.len() > MAX_STATEMENTS {
            let oldest = self.statements.iter().min_by_key(|(_, known)| known.cold_until);
            let oldest = oldest.map(|(target, _)| *target);
            oldest.and_then(|oldest| self.statements.remove(&oldest));
        }
        was_cold != self.is_cold(now, target)
    }

    /// Returns whether a target has stated that it is cold at `now`.
    pub fn is_cold(&self, now: Instant, target: K) -> bool {
        self.statements.get(&target).is_some_and(|known| now < known.cold_until)
    }

    /// Returns the number of targets that have stated that they are cold at `now`.
    pub fn count(&self, now: Instant) -> usize {
        self.statements.values().filter(|known| now < known.cold_until).count()
    }

    /// Removes statements that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.statements.retain(|_, known| now < known.cold_until);
    }
}
