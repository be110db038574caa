//! Which removals may be lapses of a store outage.

use std::time::Duration;

/// An answer that took longer than this was waited for: what it tells happened
/// while the store was in reach. What happened before comes at once.
const MAX_IMMEDIATE_ANSWER_TIME: Duration = Duration::from_millis(500);

/// The outages of the store as one follower meets them.
///
/// Entries of living targets lapse while targets can't renew them, and what is
/// missing after an outage is no word that a target has gone. But a target
/// that goes right after the outage has gone, and callers are sent into it for
/// as long as its entry counts as lapsed. So only what the first answer after
/// the outage tells at once may have lapsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    is_failing: bool,
}

impl Outage {
    /// Whether the store is out of reach.
    pub fn is_ongoing(self) -> bool {
        self.is_failing
    }

    /// Notes a call that failed.
    pub fn note_failure(&mut self) {
        self.is_failing = true;
    }

    /// Notes an answer that took this long; whether entries that it shows to
    /// be gone may have lapsed.
    pub fn note_answer(&mut self, took: Duration) -> bool {
        let was_failing = std::mem::replace(&mut self.is_failing, false);
        was_failing && took < MAX_IMMEDIATE_ANSWER_TIME
    }
}
