//! Tracks how far this node is behind revisions that its peers have announced.

use hickory_store::store::Revision;
use std::time::{Duration, Instant};

/// How long an announcement remains valid after it was last repeated. The node that made it
/// may have died, in which case another node delivers the revision within seconds. A false
/// announcement must not make a node defer its refusals forever.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(10);

/// Tracks the newest announced revision of the operators' data that this node doesn't have.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagTracker {
    announcement: Option<Announcement>,
}

/// A revision that is newer than the known one.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    revision: Revision,
    first_at: Instant,
    last_at: Instant,
}

/// How far a node is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// How long the node has known that a newer revision exists.
    pub time: Duration,
}

impl LagTracker {
    /// Records a revision that a peer announced; `known` is this node's own revision.
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

    /// Records this node's own revision. If it reaches the announced one, returns how long
    /// the node has waited for it.
    pub fn note_known(&mut self, now: Instant, known: Revision) -> Option<Duration> {
        let announcement =
            self.announcement.take_if(|announcement| announcement.revision <= known)?;
        Some(now.saturating_duration_since(announcement.first_at))
    }

    /// Returns how far a node with the revision `known` is behind.
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
