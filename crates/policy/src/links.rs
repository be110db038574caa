//! The node's own links to targets: which are down, and which peer to connect through meanwhile.
//!
//! Load pattern: a node is partitioned from all targets, or from some of them, for seconds, while
//! its callers and its peers still reach it. A failed connection doesn't tell whether the link or
//! the target is at fault; a peer that connects to the target does. A node whose links to several
//! targets are down, and that has connected to no target since, connects to all of them through
//! peers, so that not each target costs a request its connect timeout. One link that is down is a
//! reason to check all others.
//!
//! Entries may also lead nowhere, at one address or many. A target that never accepted a connection says
//! nothing on the node's links, so refusals of such targets are no reason to ask peers or to doubt them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Number of links that went down since the last connection, from which on all are presumed down.
const MIN_DOWN_LINKS: usize = 2;

/// Interval between two checks of the targets behind links that are down.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between two checks of a link that may be down.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between two checks of the links to all targets.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// How long a peer is not asked again after it could not connect to a target.
const PEER_BACKOFF: Duration = Duration::from_secs(2);

/// Number of peers that are remembered for having connected to a target.
const MAX_PROVEN_PEERS: usize = 8;

/// Number of targets that are remembered for having accepted a connection, about 100 KB.
const MAX_REACHED_TARGETS: usize = 4_096;

/// One choice in this number goes to any peer in place of a proven one.
const EXPLORATION_DIVISOR: u64 = 8;

/// A change of the state of links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One link went down.
    Down,
    /// All links are presumed down.
    AllDown,
    /// A link works, after all were presumed down.
    Up,
}

/// The node's links to targets.
#[derive(Clone, Debug)]
pub struct Links<K> {
    /// When each link was found to be down.
    down: HashMap<K, Instant>,
    last_connection: Option<Instant>,
    /// The targets that have accepted a connection.
    reached: HashSet<K>,
    /// When each link was last checked because of a silent connection.
    checks: HashMap<K, Instant>,
    last_probe: Option<Instant>,
    last_sweep: Option<Instant>,
    needs_sweep: bool,
    are_all_down: bool,
}

impl<K> Default for Links<K> {
    fn default() -> Self {
        Self {
            down: HashMap::new(),
            last_connection: None,
            reached: HashSet::new(),
            checks: HashMap::new(),
            last_probe: None,
            last_sweep: None,
            needs_sweep: false,
            are_all_down: false,
        }
    }
}

impl<K: Copy + Eq + Hash> Links<K> {
    /// Records a direct connection to a target.
    pub fn record_connection(&mut self, now: Instant, target: K) -> Option<Change> {
        self.down.remove(&target);
        self.last_connection = Some(now);
        if self.reached.len() >= MAX_REACHED_TARGETS {
            self.reached.clear();
        }
        self.reached.insert(target);
        // A working link calls for the check of the others at once.
        self.last_probe = None;
        std::mem::replace(&mut self.are_all_down, false).then_some(Change::Up)
    }

    /// Records that a peer connected to a target to which this node couldn't.
    pub fn record_down(&mut self, now: Instant, target: K) -> Option<Change> {
        let is_new = self.down.insert(target, now).is_none();
        self.needs_sweep |= is_new;
        let is_recent = |at: &&Instant| self.last_connection.is_none_or(|last| **at > last);
        if !self.are_all_down && self.down.values().filter(is_recent).count() >= MIN_DOWN_LINKS {
            self.are_all_down = true;
            return Some(Change::AllDown);
        }
        (is_new && !self.are_all_down).then_some(Change::Down)
    }

    /// Returns whether to connect to a target through a peer.
    pub fn is_down(&self, target: K) -> bool {
        self.are_all_down || self.down.contains_key(&target)
    }

    /// Returns whether all links are presumed down.
    pub fn are_all_down(&self) -> bool {
        self.are_all_down
    }

    /// Returns the number of links that were found to be down.
    pub fn count_down(&self) -> usize {
        self.down.len()
    }

    /// Returns whether a direct connection since `at` shows that the node has working links.
    pub fn has_connected_since(&self, at: Instant) -> bool {
        self.last_connection.is_some_and(|last| last >= at)
    }

    /// Returns whether a target has accepted a connection.
    pub fn has_reached(&self, target: K) -> bool {
        self.reached.contains(&target)
    }

    /// Returns whether the refusal of a target is its own: it never accepted a connection, while others
    /// did and the links to them aren't down.
    pub fn is_dead_entry(&self, target: K) -> bool {
        !self.reached.is_empty() && !self.has_reached(target) && self.down.is_empty()
    }

    /// Returns whether the link to a silent target should be checked now.
    pub fn begin_check(&mut self, now: Instant, target: K) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_CHECK_INTERVAL;
        if self.is_down(target) || self.checks.get(&target).is_some_and(is_recent) {
            return false;
        }
        self.checks.retain(|_, at| is_recent(at));
        self.checks.insert(target, now);
        true
    }

    /// Returns whether to check the links to all targets now, after one was found to be down.
    pub fn take_sweep(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_SWEEP_INTERVAL;
        if !self.needs_sweep || self.last_sweep.is_some_and(is_recent) {
            return false;
        }
        self.needs_sweep = false;
        self.last_sweep = Some(now);
        true
    }

    /// Returns the target whose link to check next, if a check is due. While all links are presumed
    /// down, any target may show that this isn't so.
    pub fn next_probe(&mut self, now: Instant, targets: &[K], random: u64) -> Option<K> {
        self.down.retain(|target, _| targets.contains(target));
        let is_due = |at: Instant| now.saturating_duration_since(at) >= PROBE_INTERVAL;
        if !self.last_probe.is_none_or(is_due) {
            return None;
        }
        let candidates: Vec<K> =
            targets.iter().copied().filter(|target| self.is_down(*target)).collect();
        let index = random.checked_rem(candidates.len() as u64)?;
        self.last_probe = Some(now);
        candidates.get(index as usize).copied()
    }
}

/// The peers through which this node connects to targets.
#[derive(Clone, Debug)]
pub struct Relays<N> {
    failed: HashMap<N, Instant>,
    proven: VecDeque<N>,
}

impl<N> Default for Relays<N> {
    fn default() -> Self {
        Self { failed: HashMap::new(), proven: VecDeque::new() }
    }
}

impl<N: Copy + Eq + Hash> Relays<N> {
    /// Chooses the peer to connect through: mostly one that did so before.
    pub fn choose(&self, now: Instant, peers: &[N], tried: &[N], random: u64) -> Option<N> {
        let is_failed = |node: &N| {
            self.failed
                .get(node)
                .is_some_and(|at| now.saturating_duration_since(*at) < PEER_BACKOFF)
        };
        let is_usable = |node: &N| !tried.contains(node) && !is_failed(node);
        let usable = peers.iter().copied().filter(is_usable);
        let (proven, others): (Vec<N>, Vec<N>) = usable.partition(|n| self.proven.contains(n));
        let explores = random.is_multiple_of(EXPLORATION_DIVISOR) || proven.is_empty();
        let class = if explores && !others.is_empty() { others } else { proven };
        let index = (random / EXPLORATION_DIVISOR).checked_rem(class.len() as u64)?;
        class.get(index as usize).copied()
    }

    /// Records whether a peer could connect to a target, or tell that the target refuses.
    pub fn record(&mut self, now: Instant, node: N, is_success: bool) {
        self.failed.retain(|_, at| now.saturating_duration_since(*at) < PEER_BACKOFF);
        if !is_success {
            self.failed.insert(node, now);
            self.proven.retain(|proven| *proven != node);
        } else if !self.proven.contains(&node) {
            self.proven.truncate(MAX_PROVEN_PEERS - 1);
            self.proven.push_front(node);
        }
    }
}
