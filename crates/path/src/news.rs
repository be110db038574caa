//! What a node has heard of and does not have yet.

use hickory_store::store::Revision;
use std::time::{Duration, Instant};

/// How long the word of something newer counts after it was last told. Whoever
/// told it may have died, and another node brings it within seconds; a word that
/// was wrong must not make a node hold back its refusals for good.
const TOLD_FOR: Duration = Duration::from_secs(10);

/// The newest of what operators wrote that peers have told of.
#[derive(Clone, Copy, Debug, Default)]
pub struct News {
    told: Option<Told>,
}

/// What was told that is newer than what is known.
#[derive(Clone, Copy, Debug)]
struct Told {
    revision: Revision,
    first: Instant,
    last: Instant,
}

/// How far a node is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// For how long the node has known of something newer than it has.
    pub time: Duration,
}

impl News {
    /// Notes a revision that a peer told of, by one who knows `known`.
    pub fn hear(&mut self, now: Instant, told: Revision, known: Revision) {
        if told <= known {
            return;
        }
        let before = self.told.filter(|before| is_fresh(before, now));
        self.told = Some(match before {
            Some(before) => Told { revision: before.revision.max(told), last: now, ..before },
            None => Told { revision: told, first: now, last: now },
        });
    }

    /// Notes what is known now; how long it was waited for, if it was.
    pub fn settle(&mut self, now: Instant, known: Revision) -> Option<Duration> {
        let told = self.told.take_if(|told| told.revision <= known)?;
        Some(now.saturating_duration_since(told.first))
    }

    /// How far one who knows `known` is behind.
    pub fn lag(&self, now: Instant, known: Revision) -> Option<Lag> {
        let told = self.told.filter(|told| told.revision > known && is_fresh(told, now))?;
        Some(Lag { time: now.saturating_duration_since(told.first) })
    }
}

fn is_fresh(told: &Told, now: Instant) -> bool {
    now.saturating_duration_since(told.last) < TOLD_FOR
}
