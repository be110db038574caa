//! Answers that weigh against crashes under the same request.
//!
//! Load pattern: a sound stream comes again and again, and meets targets that crash for other reasons;
//! or the stream itself crashes the targets that run all of it, and is resumed past each of them.

use crate::part::{Change, Evidence, MAX_CRASHES, Part, Quarantine, SETTLING_TIME};
use std::hash::Hash;
use std::time::Instant;

/// Maximum number of answers kept. Each cancels a crash.
const MAX_ANSWERS: usize = MAX_CRASHES;

/// An answer to a whole request that one target ran from its first byte to its last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The whole request, which its repetitions share.
    pub whole: Part,
    /// Identifies the caller's attempt.
    pub request: u64,
    /// When it began to be written.
    pub began_at: Instant,
}

impl<K: Copy + Eq + Hash> Evidence<K> {
    /// Records an answer to a whole request, unless it is known, or cancels no crash and lifts no
    /// quarantine.
    pub fn record_answer(&mut self, now: Instant, answer: Answer) -> Change {
        let is_known =
            |known: &Answer| known.whole == answer.whole && known.request == answer.request;
        let mut change = Change::default();
        if !self.is_suspect(answer.whole) || self.answers.iter().any(is_known) {
            return change;
        }
        let refutes = |quarantine: &Quarantine| {
            quarantine.parts.contains(&answer.whole) && quarantine.last_crash < answer.began_at
        };
        let quarantines = std::mem::take(&mut self.quarantines);
        (change.lifted, self.quarantines) = quarantines.into_iter().partition(refutes);
        let count = |evidence: &Self| evidence.series(now + SETTLING_TIME, answer.whole).len();
        let crash_count = count(self);
        let index = self.answers.partition_point(|known| known.began_at <= answer.began_at);
        self.answers.insert(index, answer);
        if !change.lifted.is_empty() {
            change.is_new = true;
        } else if count(self) == crash_count {
            self.answers.remove(index);
        } else {
            // Other nodes need not know of an answer to a request under which one target crashed.
            change.is_new = self.count_crashes_of(answer.whole) > 1;
        }
        if self.answers.len() > MAX_ANSWERS {
            self.answers.remove(0);
        }
        change
    }

    /// Returns the answers to a whole request that began after `since`.
    pub(crate) fn answers_to(&self, whole: Part, since: Option<Instant>) -> Vec<Answer> {
        let is_in_time = |answer: &&Answer| since.is_none_or(|since| answer.began_at > since);
        let answers = self.answers.iter().filter(|answer| answer.whole == whole);
        answers.filter(is_in_time).copied().collect()
    }
}
