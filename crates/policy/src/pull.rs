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

/// Minimum interval while the table fills.
const INTERVAL_WHILE_FILLING: Duration = Duration::from_millis(200);

/// Number of records gained by one pull from which on the table still fills. The time that this
/// takes grows with the fleet, so that the start phase can't bound it.
const MIN_GAIN_WHILE_FILLING: usize = 12;

/// Time after the start in which a node fills its table in any case.
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
    /// Number of records that the last pull has brought so far.
    gained: usize,
}

impl Pulls {
    pub(crate) fn new(now: Instant) -> Self {
        Self { started: now, last: None, unanswered: 0, gained: 0 }
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
        let is_filling = self.is_starting(now) || self.gained >= MIN_GAIN_WHILE_FILLING;
        let interval = match (is_filling, is_churning) {
            (true, _) => INTERVAL_WHILE_FILLING,
            (false, false) => INTERVAL,
            (false, true) => INTERVAL_IN_CHURN,
        };
        if self.last.is_some_and(|last| now.saturating_duration_since(last) < interval) {
            return None;
        }
        self.last = Some(now);
        self.gained = 0;
        self.unanswered += 1;
        let own = roster.own.clone();
        Some(match self.unanswered > MAX_UNANSWERED_SYNCS {
            true => Message::Pull(own),
            false => Message::Sync { own, summary: roster.summarize(salt) },
        })
    }

    /// Records an answer, or a part of it, and how many of its records were new.
    pub(crate) fn record_answer(&mut self, gained: usize) {
        self.unanswered = 0;
        self.gained += gained;
    }
}
