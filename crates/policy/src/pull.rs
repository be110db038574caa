//! Timing and kind of the requests for records that this node lacks.
//!
//! Load pattern: changes of nodes are frequent, so that two tables hardly ever agree.

use crate::gossip::Message;
use crate::roster::Roster;
use std::time::{Duration, Instant};

/// Minimum interval between pulls while the table differs from a peer's.
const INTERVAL: Duration = Duration::from_secs(2);

/// Minimum interval while updates spread, since these explain most differences.
const INTERVAL_IN_CHURN: Duration = Duration::from_secs(3);

/// Minimum interval during the start phase, when the table fills.
const INTERVAL_AT_START: Duration = Duration::from_millis(200);

/// Time after the start in which a node fills its table.
pub(crate) const START_PHASE: Duration = Duration::from_secs(3);

/// Number of unanswered syncs after which records are pulled in the way that nodes of an older
/// version understand.
const MAX_UNANSWERED_SYNCS: u32 = 2;

/// The state of a node's pulls.
#[derive(Clone, Debug)]
pub(crate) struct Pulls {
    started: Instant,
    last: Option<Instant>,
    unanswered: u32,
}

impl Pulls {
    pub(crate) fn new(now: Instant) -> Self {
        Self { started: now, last: None, unanswered: 0 }
    }

    /// Returns whether the node is still filling its table.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < START_PHASE
    }

    /// Returns the request to send to a peer whose table differs, if it is time for one.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        roster: &Roster,
        is_churning: bool,
        salt: u64,
    ) -> Option<Message> {
        let interval = match (self.is_starting(now), is_churning) {
            (true, _) => INTERVAL_AT_START,
            (false, false) => INTERVAL,
            (false, true) => INTERVAL_IN_CHURN,
        };
        if self.last.is_some_and(|last| now.saturating_duration_since(last) < interval) {
            return None;
        }
        self.last = Some(now);
        self.unanswered += 1;
        let own = roster.own.clone();
        Some(match self.unanswered > MAX_UNANSWERED_SYNCS {
            true => Message::Pull(own),
            false => Message::Sync { own, summary: roster.summarize(salt) },
        })
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self) {
        self.unanswered = 0;
    }
}
