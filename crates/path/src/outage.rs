//! Decides which removals may be lease expiries caused by a store outage.

use std::time::Duration;

/// An answer to a watch that takes longer than this reports a change that happened while
/// the store was reachable. Changes that happened before are reported immediately.
const MAX_IMMEDIATE_ANSWER_TIME: Duration = Duration::from_millis(500);

/// The store's outages as one watcher observes them.
///
/// Entries of live targets expire while the targets can't renew them, so an entry that is
/// missing after an outage doesn't prove that its target is gone. But if a target that
/// leaves right after the outage were treated the same way, requests would be sent to it
/// for as long as its entry counts as lapsed. Therefore only removals in an immediate first
/// answer after the outage count as possible lapses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    is_failing: bool,
}

impl Outage {
    /// Returns whether the store is currently unreachable.
    pub fn is_ongoing(self) -> bool {
        self.is_failing
    }

    /// Records a failed call.
    pub fn note_failure(&mut self) {
        self.is_failing = true;
    }

    /// Records an answer that took this long. Returns whether entries that are missing in
    /// it may have lapsed.
    pub fn note_answer(&mut self, took: Duration) -> bool {
        let was_failing = std::mem::replace(&mut self.is_failing, false);
        was_failing && took < MAX_IMMEDIATE_ANSWER_TIME
    }
}
