//! Doubts about targets, from what requests met there.
//!
//! Load: a replica answers its health check and fails two requests in five, or
//! has gone without a word. Harm prevented: each request finds out anew, and
//! pays for it with its goal. A failure makes a target cost more, for a time that
//! doubles with each further one; a success halves it. Doubt never excludes: where
//! every engine loses an answer now and then, most are in doubt, and left out they
//! make requests wait at the others beside idle ones.
//!
//! Load: engines leave while the store is away, and nobody hears that they do.
//! They look idle, since all that is sent there is refused, and each long
//! prompt that is split over them fails as a whole. What refused to read a part
//! for another engine is therefore shut: it is given no part for a time,
//! whatever its own streams come to.

use crate::view::Tag;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a first failure counts. Requests come to each target some times a
/// second, so one in this time is enough to see it sound again.
const FIRST: Duration = Duration::from_millis(1_500);

/// Doublings at most: 12 s, after which a mended target is tried again.
const DOUBLINGS_MAX: u32 = 3;

/// What a failure costs: an attempt takes a goal or two until it is left for
/// another target. Each further failure makes the next one likelier.
const COST: Duration = Duration::from_millis(300);

/// How long a target is shut that refused to read a part, doubled by each further
/// refusal. A target that leaves is gone from the store's entries within seconds.
const SHUT: Duration = Duration::from_secs(3);

/// Doublings of that at most: 12 s. One that was only busy is then tried again.
const SHUT_DOUBLINGS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Doubt {
    strikes: u32,
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Shut {
    refusals: u32,
    until: Instant,
}

/// The targets in doubt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Doubts {
    doubts: HashMap<Tag, Doubt>,
    shut: HashMap<Tag, Shut>,
}

impl Doubts {
    /// Notes a failure.
    pub(crate) fn note_failure(&mut self, now: Instant, tag: Tag) {
        let strikes = self.doubts.get(&tag).map_or(1, |doubt| doubt.strikes + 1);
        let until = now + FIRST * 2_u32.pow((strikes - 1).min(DOUBLINGS_MAX));
        self.doubts.insert(tag, Doubt { strikes, until });
        self.doubts.retain(|_, doubt| doubt.until + FIRST * 8 > now);
    }

    /// Notes a success.
    pub(crate) fn note_success(&mut self, tag: Tag) {
        if let Some(doubt) = self.doubts.get_mut(&tag) {
            doubt.strikes /= 2;
            if doubt.strikes == 0 {
                self.doubts.remove(&tag);
            }
        }
    }

    /// What it is expected to cost to try a target.
    pub(crate) fn cost(&self, now: Instant, tag: Tag) -> Duration {
        let doubt = self.doubts.get(&tag).filter(|doubt| now < doubt.until);
        let doublings = doubt.map(|doubt| (doubt.strikes - 1).min(DOUBLINGS_MAX));
        doublings.map_or(Duration::ZERO, |doublings| COST * 2_u32.pow(doublings))
    }

    /// Notes that a target refused to read a part for another one. Several prompts
    /// that are refused at the same moment count once.
    pub(crate) fn note_shut(&mut self, now: Instant, tag: Tag) {
        let known = self.shut.get(&tag);
        if known.is_some_and(|shut| now < shut.until) {
            return;
        }
        let refusals = known.map_or(0, |shut| shut.refusals + 1);
        let until = now + SHUT * 2_u32.pow(refusals.min(SHUT_DOUBLINGS));
        self.shut.insert(tag, Shut { refusals, until });
        self.shut.retain(|_, shut| shut.until + SHUT * 4 > now);
    }

    /// Whether a target is given no parts.
    pub(crate) fn is_shut(&self, now: Instant, tag: Tag) -> bool {
        self.shut.get(&tag).is_some_and(|shut| now < shut.until)
    }
}
