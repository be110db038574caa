//! Which of two prompts goes first where nodes choose at the same moment.
//!
//! Load: long prompts wait at their nodes for the same engines, and all nodes
//! see them become idle at once; 79 nodes hear of a placement after up to ten
//! milliseconds. Harm prevented: engines read the newest part first, so of two
//! prompts that are placed together the first is late by the whole second one,
//! and the streams there pause for both. A node therefore tells what it chose,
//! waits until it must have heard of others that chose the same, and chooses
//! again where another one comes first. And while smaller prompts wait, a larger
//! one lets them choose before it.

use hickory_unit::id;
use hickory_unit::size::Tokens;
use std::time::{Duration, Instant};

/// How long a datagram takes at the most between two of a few nodes: it is
/// gathered for a millisecond and waits for both hosts' turns.
const DELAY: Duration = Duration::from_millis(2);

/// What each further peer adds. A datagram goes to one after the other, each a
/// tenth of a millisecond on a host with an eighth of a core.
const DELAY_PER_PEER: Duration = Duration::from_micros(120);

/// Turns that are waited for at most. What smaller prompts leave then, a larger
/// one may take.
const TURNS_MAX: u32 = 4;

/// How long a node waits after it told what it chose: the way there and back,
/// after which both sides of a contest know of it and judge alike.
pub fn settle_time(peers: usize) -> Duration {
    (DELAY + DELAY_PER_PEER * peers as u32) * 2
}

/// What a node told of a prompt that it placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// When; of a peer's, when it can have been at the latest.
    pub at: Instant,
    /// Its tokens.
    pub prompt: Tokens,
    /// The node.
    pub node: &'a id::Node,
    /// Its number at the node.
    pub number: u32,
}

impl Claim<'_> {
    /// Whether another claim comes first: the earlier one; within the window in
    /// which that can't be told, the smaller prompt, which needs the engines for
    /// less time.
    pub fn yields(&self, other: &Claim<'_>, window: Duration) -> bool {
        if self.at.max(other.at) - self.at.min(other.at) > window {
            return other.at < self.at;
        }
        other.rank() < self.rank()
    }

    fn rank(&self) -> (Tokens, &id::Node, u32) {
        (self.prompt, self.node, self.number)
    }
}

/// The turn of a prompt that could go while smaller ones wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    since: Option<Instant>,
}

impl Turn {
    /// How long it still leaves the engines to this many smaller prompts; zero
    /// once each of them had the time to choose and to be heard of. One that
    /// still waits then waits for more engines, or its node has died.
    pub fn wait(&mut self, now: Instant, ahead: u32, settle: Duration) -> Duration {
        if ahead == 0 {
            return Duration::ZERO;
        }
        let since = *self.since.get_or_insert(now);
        let turns = settle * ahead.min(TURNS_MAX);
        turns.saturating_sub(now.saturating_duration_since(since))
    }
}
