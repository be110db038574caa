//! What a node has heard of and does not have yet.

use hickory_store::store::Revision;
use std::time::{Duration, Instant};

/// How long the word of something newer counts after it was last told. Whoever
/// told it may have died, and another node brings it within seconds; a word that
/// was wrong must not make a node hold back its refusals for good.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// The newest of what operators wrote that peers have told of.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagTracker {
    announcement: Option<Announcement>,
}

/// What was told that is newer than what is known.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    revision: Revision,
    first_at: Instant,
    last_at: Instant,
}

/// How far a node is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// For how long the node has known of something newer than it has.
    pub time: Duration,
}

impl LagTracker {
    /// Notes a revision that a peer told of, by one who knows `known`.
    pub fn note_announced(&mut self, now: Instant, announced: Revision, known: Revision) {
        if announced <= known {
            return;
        }
        let before = self.announcement.filter(|before| is_fresh(before, now));
        self.announcement = Some(match before {
            Some(before) => {
                Announcement { revision: before.revision.max(announced), last_at: now, ..before }
            }
            None => Announcement { revision: announced, first_at: now, last_at: now },
        });
    }

    /// Notes what is known now; how long it was waited for, if it was.
    pub fn note_known(&mut self, now: Instant, known: Revision) -> Option<Duration> {
        let announcement =
            self.announcement.take_if(|announcement| announcement.revision <= known)?;
        Some(now.saturating_duration_since(announcement.first_at))
    }

    /// How far one who knows `known` is behind.
    pub fn lag(&self, now: Instant, known: Revision) -> Option<Lag> {
        let announcement = self
            .announcement
            .filter(|announcement| announcement.revision > known && is_fresh(announcement, now))?;
        Some(Lag { time: now.saturating_duration_since(announcement.first_at) })
    }
}

fn is_fresh(announcement: &Announcement, now: Instant) -> bool {
    now.saturating_duration_since(announcement.last_at) < ANNOUNCEMENT_TTL
}
