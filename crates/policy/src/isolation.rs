//! Signs that most other nodes have stopped answering, and what a node does then.
//!
//! A node probes others at a fixed rate, so that it needs the longer to find the dead ones the more
//! nodes have died for each that is left. If most of its probes go unanswered, it therefore probes more
//! nodes at a time, and asks those on which it relies directly whether they are alive.
//!
//! Load pattern: nearly all nodes die at once, or a node is cut off from all others.

use hickory_unit::id;
use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum number of nodes probed at a time.
const MAX_PROBES: usize = 64;

/// Number of nodes probed at a time from which on nodes are checked: most probes of two intervals went
/// unanswered.
const MIN_CHECKING_PROBES: usize = 4;

/// Time without an answer after which a checked node counts as silent. An answer takes milliseconds, or
/// tens of them if a host has no processor time.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Time after which an unanswered check proves nothing any more. By then a dead node is suspected.
const CHECK_TTL: Duration = Duration::from_secs(3);

/// How many of the latest probes were answered, and the nodes that were checked.
#[derive(Clone, Debug)]
pub(crate) struct Isolation {
    /// Number of nodes probed at a time.
    probes: usize,
    /// Number of probes answered, and not answered in time, since the last interval.
    answered: usize,
    unanswered: usize,
    last_check: Option<Instant>,
    /// The checked nodes that haven't answered, and when they were asked.
    checked: HashMap<id::Node, Instant>,
}

impl Default for Isolation {
    fn default() -> Self {
        Self { probes: 1, answered: 0, unanswered: 0, last_check: None, checked: HashMap::new() }
    }
}

impl Isolation {
    /// Records that a probe was answered.
    pub(crate) fn note_answer(&mut self) {
        self.answered += 1;
    }

    /// Records that a probe was not answered in time.
    pub(crate) fn note_unanswered(&mut self) {
        self.unanswered += 1;
    }

    /// Records that a node sent something.
    pub(crate) fn note_heard(&mut self, node: &id::Node) {
        self.checked.remove(node);
    }

    /// Returns the number of nodes to probe now, by the probes of the last interval.
    pub(crate) fn count_probes(&mut self) -> usize {
        self.probes = match self.answered.cmp(&self.unanswered) {
            Ordering::Greater => (self.probes / 2).max(1),
            Ordering::Less => (self.probes * 2).min(MAX_PROBES),
            Ordering::Equal => self.probes,
        };
        (self.answered, self.unanswered) = (0, 0);
        self.probes
    }

    /// Returns whether nodes should be checked now.
    pub(crate) fn is_check_due(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < CHECK_INTERVAL;
        self.probes >= MIN_CHECKING_PROBES && !self.last_check.is_some_and(is_recent)
    }

    /// Records a check.
    pub(crate) fn begin_check<'a>(
        &mut self,
        now: Instant,
        nodes: impl Iterator<Item = &'a id::Node>,
    ) {
        self.last_check = Some(now);
        self.checked.retain(|_, at| now.saturating_duration_since(*at) < CHECK_TTL);
        for node in nodes {
            self.checked.entry(node.clone()).or_insert(now);
        }
    }

    /// Returns whether a node was checked and hasn't answered.
    pub(crate) fn is_silent(&self, now: Instant, node: &id::Node) -> bool {
        self.checked.get(node).is_some_and(|at| {
            (CHECK_TIMEOUT..CHECK_TTL).contains(&now.saturating_duration_since(*at))
        })
    }

    /// Discards what is known, as this node itself was suspended.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
