//! When targets that are kept from requests by a statement are asked again.
//!
//! Load pattern: a statement is false, or true only for a moment: one caller's requests caused it, or
//! the target changed its mind. No request reaches the target, so that no answer can withdraw the
//! statement before it expires. A health check costs one probe and depends on no caller.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The time after a statement until the target is asked, short enough for a false statement to be
/// withdrawn within seconds. Most targets that do leave are gone by then.
const MIN_INTERVAL: Duration = Duration::from_secs(3);

/// The time after a statement until a resting target is asked. Rests of this length are kept in full.
const MIN_REST_INTERVAL: Duration = Duration::from_secs(10);

/// The longest interval between two checks of a target.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// The minimum time between two checks of a target because of requests that leave its address in
/// doubt, so that callers can't cause more checks.
const MIN_DOUBT_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of targets in doubt, about 100 KB.
const MAX_TARGETS: usize = 4_096;

/// Why a target is kept from requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It stated that it leaves, or another target has its address.
    Leaving,
    /// It asked for rest.
    Resting,
}

impl Hold {
    fn min_interval(self) -> Duration {
        match self {
            Self::Leaving => MIN_INTERVAL,
            Self::Resting => MIN_REST_INTERVAL,
        }
    }

    /// Returns whether a target that is kept from requests has to be checked. Checks become rarer as
    /// a statement turns out to be true.
    pub fn is_due(self, now: Instant, held_since: Instant, checked_at: Option<Instant>) -> bool {
        let held = now.saturating_duration_since(held_since);
        let since = checked_at.map_or(held_since, |at| at.max(held_since));
        let interval = (held / 2).clamp(self.min_interval(), MAX_INTERVAL);
        now.saturating_duration_since(since) >= interval
    }
}

/// The targets of which a request has left in doubt whether they still have their address.
#[derive(Clone, Debug)]
pub struct Doubtful<K> {
    /// When each of them was last checked; `None` if it has to be.
    checked_at: HashMap<K, Option<Instant>>,
}

impl<K> Default for Doubtful<K> {
    fn default() -> Self {
        Self { checked_at: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> Doubtful<K> {
    /// Records that a target has to be checked, unless it was a short time ago.
    pub fn record(&mut self, now: Instant, target: K) {
        self.checked_at.retain(|_, at| {
            at.is_none_or(|at| now.saturating_duration_since(at) < MIN_DOUBT_INTERVAL)
        });
        if self.checked_at.len() < MAX_TARGETS {
            self.checked_at.entry(target).or_default();
        }
    }

    /// Takes up to `count` targets that have to be checked.
    pub fn take(&mut self, now: Instant, count: usize) -> Vec<K> {
        let due = self.checked_at.iter_mut().filter(|(_, at)| at.is_none()).take(count);
        due.map(|(target, at)| {
            *at = Some(now);
            *target
        })
        .collect()
    }
}
