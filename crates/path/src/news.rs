//! What a node has heard of and does not have yet.

use hickory_store::store::Revision;
use std::time::{Duration, Instant};

/// The newest of what operators wrote that peers have told of.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct News {
    heard: Revision,
    /// When it was first heard that there is something newer than is known.
    since: Option<Instant>,
}

/// How far a node is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lag {
    /// The newest revision heard of.
    pub(crate) heard: Revision,
    /// For how long the node has known of something newer than it has.
    pub(crate) time: Duration,
}

impl News {
    /// Notes a revision that a peer told of, by one who knows `known`.
    pub(crate) fn hear(&mut self, now: Instant, told: Revision, known: Revision) {
        if told > known {
            self.heard = self.heard.max(told);
            self.since.get_or_insert(now);
        }
    }

    /// Notes what is known now; how long it was waited for, if it was.
    pub(crate) fn settle(&mut self, now: Instant, known: Revision) -> Option<Duration> {
        if known < self.heard {
            return None;
        }
        let since = self.since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// How far one who knows `known` is behind.
    pub(crate) fn lag(&self, now: Instant, known: Revision) -> Option<Lag> {
        let since = self.since.filter(|_| self.heard > known)?;
        Some(Lag { heard: self.heard, time: now.saturating_duration_since(since) })
    }
}
